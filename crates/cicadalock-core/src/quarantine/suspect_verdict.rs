use std::time::Duration;

use super::crash_report::{CrashReport, SuspectRequest};
use super::suspect::Suspect;
use crate::collect::SortedMap;
use crate::id::{EndpointId, ServiceName};
use crate::time::{ClockTime, PastTime};

/// Crashes one after the other, each begun by a request with the part, after which it is refused.
const CRASH_LIMIT: usize = 3;

/// Crashed endpoints after which two crashes one after the other are enough: prompts that are read for
/// long crash several endpoints before the first crash is known.
const ENDPOINT_LIMIT: usize = 5;

/// Shortest age of the first of these crashes. By then, answers on a sound part that is in common use
/// have begun and survived again.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Least pause between crashes that can have ended with a trial of a refused part.
const TRIAL_PAUSE: Duration = Duration::from_millis(4_500);

/// Least time between two crashes one after the other. Reports that a host reads together after it stood
/// still seem to be of the same moment.
const CRASH_GAP: Duration = Duration::from_millis(100);

/// The same for crashes by one request, each attempt of which follows the crash before.
const REQUEST_CRASH_GAP: Duration = Duration::from_millis(20);

/// Crashed endpoints after which two crashes one after the other by the same request are enough. Few requests
/// are sent that often, so that chance says little.
const REQUEST_ENDPOINT_LIMIT: usize = 3;

/// Time within which several routers lose their requests at an endpoint in the same crash.
const CRASH_SPREAD: Duration = Duration::from_millis(1_000);

/// A part of prompts that crashes the endpoints of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectVerdict {
    /// Number of endpoints that crashed.
    pub endpoints: usize,
    /// Number of crashes one after the other.
    pub crashes: usize,
    /// The processes that reported them, the one of the last crash first.
    pub reporters: Vec<u64>,
    /// Time of the first and of the last of them.
    pub span: (PastTime, PastTime),
    /// Number of longer pauses between them; after the first verdict each one ended with a trial.
    pub pauses: u32,
    /// Whether an answer on the part survived before the crashes.
    pub was_sound: bool,
    /// Number of other suspects, in other requests, that may have caused the same crashes as well.
    pub rivals: usize,
    /// Other parts that crash endpoints as far as is known, as they were in the same requests each
    /// time. Only requests with all of them are refused.
    pub companions: Vec<Suspect>,
}

/// The parts that crash endpoints, by service.
pub type VerdictTable = SortedMap<(ServiceName, Suspect), SuspectVerdict>;

/// A part in a request that was at an endpoint when it crashed.
#[derive(Debug, Clone, Copy)]
struct SuspectSighting<'a> {
    suspect: Suspect,
    report: &'a CrashReport,
    request: &'a SuspectRequest,
}

/// The sightings of one part, by time of the crash, without those that a later answer clears.
#[derive(Debug)]
struct RankedSuspect<'a> {
    service: &'a ServiceName,
    suspect: Suspect,
    sightings: Vec<SuspectSighting<'a>>,
    count: CrashCount,
    was_sound: bool,
}

/// A part that is close to being refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct NearVerdict {
    pub(super) service: ServiceName,
    pub(super) suspect: Suspect,
    /// When the first request of its crashes was sent.
    pub(super) started: PastTime,
}

/// Derives the verdicts from reports, and the parts that are close to one.
///
/// Counts crashes that began one after the other: endpoints that crash together count as one crash
/// for all parts in use there. An answer on a part that began later and survived clears it of the
/// crashes before: all routers know what `shared_sound` returns, and this one also `own_sound`.
pub(super) fn judge<'a>(
    reports: impl Iterator<Item = &'a CrashReport>,
    shared_sound: impl Fn(&ServiceName, Suspect) -> Option<PastTime>,
    own_sound: impl Fn(&ServiceName, Suspect) -> Option<PastTime>,
    now: ClockTime,
) -> (VerdictTable, Vec<NearVerdict>) {
    let mut suspects = find_suspects(reports, shared_sound);
    suspects.retain(|suspect| suspect.count.in_turn + 1 >= CRASH_LIMIT);
    let near = suspects.iter().filter_map(|suspect| {
        let requests = suspect.sightings.iter();
        Some(NearVerdict {
            service: suspect.service.clone(),
            suspect: suspect.suspect,
            started: requests.map(|sighting| sighting.request.started).min()?,
        })
    });
    let near = near.collect();
    for suspect in &mut suspects {
        if let Some(last) = own_sound(suspect.service, suspect.suspect) {
            suspect
                .sightings
                .retain(|sighting| last < sighting.request.started);
            suspect.count = CrashCount::of(&suspect.sightings);
            suspect.was_sound = true;
        }
    }
    suspects.retain(|ranked| ranked.count.is_enough(ranked.suspect));
    let ranks = crash_ranks(&suspects);
    let mut table = VerdictTable::new();
    for suspect in &suspects {
        // A crash is put down to the part with the most crashes among those involved, of several to one
        // that was never answered.
        let is_unexplained =
            |sighting: &&SuspectSighting<'_>| highest_at(&ranks, sighting) <= suspect.rank();
        let list = suspect.sightings.iter().filter(is_unexplained);
        let list: Vec<_> = list.copied().collect();
        let count = CrashCount::of(&list);
        let (Some(first), Some(last)) = (list.first(), list.last()) else {
            continue;
        };
        let span = (first.report.crashed_at, last.report.crashed_at);
        if !count.is_enough(suspect.suspect) || span.0.age(now) < SETTLE_TIME {
            continue;
        }
        let pauses = list.windows(2).filter(|pair| {
            let pause = pair[1].report.crashed_at.since(pair[0].report.crashed_at);
            pause >= TRIAL_PAUSE
        });
        let verdict = SuspectVerdict {
            endpoints: count.endpoints,
            crashes: count.in_turn,
            reporters: latest_reporters(&list),
            span,
            pauses: pauses.count() as u32,
            was_sound: suspect.was_sound,
            rivals: count_rivals(&suspects, suspect),
            companions: constant_companions(&list, suspect.suspect),
        };
        table.insert((suspect.service.clone(), suspect.suspect), verdict);
    }
    let refused: Vec<(ServiceName, Suspect)> = table.keys().cloned().collect();
    for ((service, _), verdict) in table.iter_mut() {
        verdict.companions.retain(|part| {
            refused
                .binary_search_by(|(name, id)| (name, id).cmp(&(service, part)))
                .is_ok()
        });
    }
    (table, near)
}

/// Returns the parts that were in at least two crashes, without those that a later answer clears.
fn find_suspects<'a>(
    reports: impl Iterator<Item = &'a CrashReport>,
    last_sound: impl Fn(&ServiceName, Suspect) -> Option<PastTime>,
) -> Vec<RankedSuspect<'a>> {
    let mut all: Vec<SuspectSighting<'a>> = reports
        .flat_map(|report| {
            let requests = report.requests.iter();
            requests.flat_map(move |request| {
                let suspects = request.suspects.iter();
                suspects.map(move |suspect| SuspectSighting {
                    suspect: *suspect,
                    report,
                    request,
                })
            })
        })
        .collect();
    all.sort_unstable_by(|left, right| {
        let by_suspect = left.suspect.cmp(&right.suspect);
        let by_service = || left.report.service.cmp(&right.report.service);
        let by_time = || left.report.crashed_at.cmp(&right.report.crashed_at);
        by_suspect.then_with(by_service).then_with(by_time)
    });
    let mut suspects = Vec::new();
    let is_same = |left: &SuspectSighting<'_>, right: &SuspectSighting<'_>| {
        left.suspect == right.suspect && left.report.service == right.report.service
    };
    for group in all.chunk_by(is_same).filter(|group| group.len() > 1) {
        let (service, suspect) = (&group[0].report.service, group[0].suspect);
        let last = last_sound(service, suspect);
        let is_open = |sighting: &&SuspectSighting<'a>| {
            last.is_none_or(|last| last < sighting.request.started)
        };
        let sightings: Vec<_> = group.iter().filter(is_open).copied().collect();
        if sightings.len() > 1 {
            suspects.push(RankedSuspect {
                service,
                suspect,
                count: CrashCount::of(&sightings),
                was_sound: last.is_some(),
                sightings,
            });
        }
    }
    suspects
}

/// Returns the processes that reported crashes, the one of the last crash first.
fn latest_reporters(sightings: &[SuspectSighting<'_>]) -> Vec<u64> {
    let mut reporters = Vec::new();
    for sighting in sightings.iter().rev() {
        let reporter = sighting.report.id.reporter;
        if !reporters.contains(&reporter) {
            reporters.push(reporter);
        }
    }
    reporters
}

/// Returns the greatest number of crashes, by time of the crash, such that the request of each was
/// sent after the crash before.
fn count_in_turn(sightings: &[SuspectSighting<'_>]) -> usize {
    let mut counted: Vec<&CrashReport> = Vec::new();
    for sighting in sightings {
        let report = sighting.report;
        let gap = if sighting.suspect.is_request() {
            REQUEST_CRASH_GAP
        } else {
            CRASH_GAP
        };
        let is_in_turn = counted.last().is_none_or(|last| {
            sighting.request.started >= last.crashed_at
                && report.crashed_at.since(last.crashed_at) >= gap
        });
        // An endpoint is seldom back within a second; its later crash is the same as another router saw it.
        let is_recent =
            |other: &&&CrashReport| report.crashed_at.since(other.crashed_at) <= CRASH_SPREAD;
        // One router reports an endpoint again only once it was back.
        let is_same = |other: &CrashReport| {
            let is_back = sighting.suspect.is_request() && other.id.reporter == report.id.reporter;
            other.endpoint == report.endpoint && !is_back
        };
        let mut recent = counted.iter().rev().take_while(is_recent);
        if is_in_turn && !recent.any(|other| is_same(other)) {
            counted.push(report);
        }
    }
    counted.len()
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
    fn of(sightings: &[SuspectSighting<'_>]) -> Self {
        let mut endpoints: Vec<&EndpointId> = sightings
            .iter()
            .map(|sighting| &sighting.report.endpoint)
            .collect();
        // The requests of one report stand together.
        endpoints.dedup();
        endpoints.sort_unstable();
        endpoints.dedup();
        Self {
            in_turn: count_in_turn(sightings),
            endpoints: endpoints.len(),
        }
    }

    const fn is_enough(self, suspect: Suspect) -> bool {
        let endpoints = if suspect.is_request() {
            REQUEST_ENDPOINT_LIMIT
        } else {
            ENDPOINT_LIMIT
        };
        self.in_turn >= CRASH_LIMIT || (self.in_turn >= 2 && self.endpoints >= endpoints)
    }
}

/// How likely a part is the cause of a crash: its crashes, and whether it was never answered.
type SuspectRank = (CrashCount, bool);

impl RankedSuspect<'_> {
    const fn rank(&self) -> SuspectRank {
        (self.count, !self.was_sound)
    }
}

type CrashRanks<'a> = SortedMap<&'a EndpointId, Vec<(PastTime, SuspectRank)>>;

/// Returns for each crash the ranks of the parts in it.
fn crash_ranks<'a>(suspects: &[RankedSuspect<'a>]) -> CrashRanks<'a> {
    let mut ranks = CrashRanks::new();
    for suspect in suspects {
        for sighting in &suspect.sightings {
            let crashes = ranks.get_or_insert_with(&sighting.report.endpoint, Vec::new);
            crashes.push((sighting.report.crashed_at, suspect.rank()));
        }
    }
    ranks
}

/// Returns the highest rank among the parts in a crash, as all routers reported it.
fn highest_at(ranks: &CrashRanks<'_>, sighting: &SuspectSighting<'_>) -> SuspectRank {
    let crashed_at = sighting.report.crashed_at;
    let crashes = ranks.get(&&sighting.report.endpoint);
    let same = crashes.into_iter().flatten().filter(|(at, _)| {
        let apart = at.since(crashed_at).max(crashed_at.since(*at));
        apart <= CRASH_SPREAD
    });
    same.map(|(_, rank)| *rank).max().unwrap_or_default()
}

/// Returns the number of suspects of the same rank that were in the last crash of `suspect`, each in another
/// request there.
fn count_rivals(suspects: &[RankedSuspect<'_>], suspect: &RankedSuspect<'_>) -> usize {
    let Some(last) = suspect.sightings.last() else {
        return 0;
    };
    let is_rival = |other: &&RankedSuspect<'_>| {
        other.suspect != suspect.suspect
            && other.rank() == suspect.rank()
            && other.sightings.iter().any(|sighting| {
                sighting.report.endpoint == last.report.endpoint
                    && !sighting.request.suspects.contains(&suspect.suspect)
            })
    };
    suspects.iter().filter(is_rival).count()
}

/// Returns the suspects that share a request with `suspect` in each of its crashes.
fn constant_companions(sightings: &[SuspectSighting<'_>], suspect: Suspect) -> Vec<Suspect> {
    let mut companions: Option<Vec<Suspect>> = None;
    for crash in sightings.chunk_by(|left, right| left.report.endpoint == right.report.endpoint) {
        let mut here: Vec<Suspect> = crash
            .iter()
            .flat_map(|sighting| sighting.request.suspects.iter().copied())
            .filter(|other| *other != suspect)
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
