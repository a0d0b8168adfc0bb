use std::time::Duration;

use super::crash_report::{CrashReport, ReportId, SuspectRequest};
use crate::collect::SortedMap;
use crate::id::{EndpointId, PartId, ServiceName};
use crate::time::{ClockTime, PastTime};

/// Crashes one after the other, each begun by a request with the part, after which it is refused.
pub(super) const CRASH_LIMIT: usize = 3;

/// Crashed endpoints after which two crashes one after the other are enough: prompts that are read for
/// long crash several endpoints before the first crash is known.
const ENDPOINT_LIMIT: usize = 5;

/// Shortest age of the first of these crashes. By then, answers on a sound part that is in common use
/// have begun and survived again.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Time within which several routers lose their requests at an endpoint in the same crash.
const CRASH_SPREAD: Duration = Duration::from_millis(1_000);

/// A part of prompts that crashes the endpoints of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartVerdict {
    /// Number of endpoints that crashed.
    pub endpoints: usize,
    /// Number of crashes one after the other.
    pub crashes: usize,
    /// Number of processes that reported them.
    pub reporters: usize,
    /// Time of the first and of the last of them.
    pub span: (PastTime, PastTime),
    /// The report of the last crash.
    pub last_report: ReportId,
    /// Other parts that crash endpoints as far as is known, as they were in the same requests each
    /// time. Only requests with all of them are refused.
    pub companions: Vec<PartId>,
}

/// The parts that crash endpoints, by service.
pub type VerdictTable = SortedMap<(ServiceName, PartId), PartVerdict>;

/// A part in a request that was at an endpoint when it crashed.
#[derive(Debug, Clone, Copy)]
struct PartSighting<'a> {
    report: &'a CrashReport,
    request: &'a SuspectRequest,
}

type SightingTable<'a> = SortedMap<(&'a ServiceName, PartId), Vec<PartSighting<'a>>>;

/// Returns the parts that crashes point at with their number, and the earliest request of the crashes.
pub(super) fn count_crashes<'a>(
    reports: impl Iterator<Item = &'a CrashReport>,
    last_sound: impl Fn(&ServiceName, PartId) -> Option<PastTime>,
) -> Vec<((ServiceName, PartId), usize, PastTime)> {
    let sightings = find_sightings(reports, last_sound);
    let counts = sightings.iter().filter_map(|((service, part), list)| {
        let first = list.iter().map(|sighting| sighting.request.started).min()?;
        let key = ((*service).clone(), *part);
        Some((key, CrashCount::of(list).in_turn, first))
    });
    counts.collect()
}

/// Derives the verdicts from reports.
///
/// Counts crashes that began one after the other: endpoints that crash together count as one crash
/// for all parts in use there. An answer on a part that began later and survived clears it of the
/// crashes before.
pub(super) fn judge<'a>(
    reports: impl Iterator<Item = &'a CrashReport>,
    last_sound: impl Fn(&ServiceName, PartId) -> Option<PastTime>,
    now: ClockTime,
) -> VerdictTable {
    let sightings = find_sightings(reports, last_sound);
    let highest = highest_counts(&sightings);
    let mut table = VerdictTable::new();
    for (key, list) in sightings.iter() {
        let own = CrashCount::of(list);
        if !own.is_enough() {
            continue;
        }
        // A crash is put down to the part with the most crashes among those involved.
        let is_unexplained = |sighting: &&PartSighting<'_>| highest_at(&highest, sighting) <= own;
        let list: Vec<_> = list.iter().filter(is_unexplained).copied().collect();
        let count = CrashCount::of(&list);
        let (Some(first), Some(last)) = (list.first(), list.last()) else {
            continue;
        };
        let span = (first.report.crashed_at, last.report.crashed_at);
        if !count.is_enough() || span.0.age(now) < SETTLE_TIME {
            continue;
        }
        let mut reporters: Vec<u64> = list.iter().map(|each| each.report.id.reporter).collect();
        reporters.sort_unstable();
        reporters.dedup();
        let verdict = PartVerdict {
            endpoints: count.endpoints,
            crashes: count.in_turn,
            reporters: reporters.len(),
            span,
            last_report: last.report.id,
            companions: constant_companions(&list, key.1),
        };
        table.insert((key.0.clone(), key.1), verdict);
    }
    let refused: Vec<(ServiceName, PartId)> = table.keys().cloned().collect();
    for ((service, _), verdict) in table.iter_mut() {
        verdict.companions.retain(|part| {
            refused
                .binary_search_by(|(name, id)| (name, id).cmp(&(service, part)))
                .is_ok()
        });
    }
    table
}

/// Returns the suspects by part, by time of the crash, without those that a later answer clears.
fn find_sightings<'a>(
    reports: impl Iterator<Item = &'a CrashReport>,
    last_sound: impl Fn(&ServiceName, PartId) -> Option<PastTime>,
) -> SightingTable<'a> {
    let mut sightings = SightingTable::new();
    for report in reports {
        for request in &report.requests {
            for part in &request.parts {
                let last = last_sound(&report.service, *part);
                if last.is_none_or(|last| last < request.started) {
                    let list = sightings.get_or_insert_with((&report.service, *part), Vec::new);
                    list.push(PartSighting { report, request });
                }
            }
        }
    }
    for list in sightings.values_mut() {
        list.sort_by_key(|sighting| sighting.report.crashed_at);
    }
    sightings
}

/// Returns the greatest number of crashes, by time of the crash, such that the request of each was
/// sent after the crash before.
fn count_in_turn(sightings: &[PartSighting<'_>]) -> usize {
    let mut count = 0;
    let mut last_crash = None;
    for sighting in sightings {
        if last_crash.is_none_or(|last| sighting.request.started >= last) {
            count += 1;
            last_crash = Some(sighting.report.crashed_at);
        }
    }
    count
}

/// Crashes that a part may have caused, in the order of how much they say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct CrashCount {
    /// Crashes one after the other.
    in_turn: usize,
    /// Endpoints that crashed.
    endpoints: usize,
}

impl CrashCount {
    fn of(sightings: &[PartSighting<'_>]) -> Self {
        let mut endpoints: Vec<&EndpointId> = sightings
            .iter()
            .map(|sighting| &sighting.report.endpoint)
            .collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        Self {
            in_turn: count_in_turn(sightings),
            endpoints: endpoints.len(),
        }
    }

    const fn is_enough(self) -> bool {
        self.in_turn >= CRASH_LIMIT || (self.in_turn >= 2 && self.endpoints >= ENDPOINT_LIMIT)
    }
}

type CrashCounts<'a> = SortedMap<&'a EndpointId, Vec<(PastTime, CrashCount)>>;

/// Returns for each report of a crash the highest count among the parts in it.
fn highest_counts<'a>(sightings: &SightingTable<'a>) -> CrashCounts<'a> {
    let mut counts = CrashCounts::new();
    for list in sightings.values() {
        let count = CrashCount::of(list);
        if !count.is_enough() {
            continue;
        }
        for sighting in list {
            let crashes = counts.get_or_insert_with(&sighting.report.endpoint, Vec::new);
            crashes.push((sighting.report.crashed_at, count));
        }
    }
    counts
}

/// Returns the highest count among the parts in a crash, as all routers reported it.
fn highest_at(counts: &CrashCounts<'_>, sighting: &PartSighting<'_>) -> CrashCount {
    let crashed_at = sighting.report.crashed_at;
    let crashes = counts.get(&&sighting.report.endpoint);
    let same = crashes.into_iter().flatten().filter(|(at, _)| {
        let apart = at.since(crashed_at).max(crashed_at.since(*at));
        apart <= CRASH_SPREAD
    });
    same.map(|(_, count)| *count).max().unwrap_or_default()
}

/// Returns the parts that share a request with `part` in each of its crashes.
fn constant_companions(sightings: &[PartSighting<'_>], part: PartId) -> Vec<PartId> {
    let mut companions: Option<Vec<PartId>> = None;
    for crash in sightings.chunk_by(|left, right| left.report.endpoint == right.report.endpoint) {
        let mut here: Vec<PartId> = crash
            .iter()
            .flat_map(|sighting| sighting.request.parts.iter().copied())
            .filter(|other| *other != part)
            .collect();
        if let Some(before) = &companions {
            here.retain(|other| before.contains(other));
        }
        here.sort_unstable();
        here.dedup();
        companions = Some(here);
    }
    companions.unwrap_or_default()
}
