use std::time::Duration;

use cicadalock_core::collect::SortedMap;

use super::extremes::least;
use super::measure::{GroupCount, ReportInput, WaitFigures};
use crate::load::{CallRecord, CallVerdict};

pub(super) fn count_groups(input: &ReportInput) -> Vec<GroupCount> {
    let mut counts: SortedMap<(String, String), GroupCount> = SortedMap::new();
    for record in &input.records {
        let group = &input.plan.groups[record.group];
        let key = (group.customer.clone(), group.kind.clone());
        let count = counts.get_or_insert_with(key, || GroupCount {
            customer: group.customer.clone(),
            kind: group.kind.clone(),
            ..GroupCount::default()
        });
        match record.verdict {
            CallVerdict::Complete => count.complete += 1,
            CallVerdict::NotRun => count.not_run += 1,
            CallVerdict::Unknown => count.unknown += 1,
            CallVerdict::Broken => count.broken += 1,
            CallVerdict::Unreachable => count.unreachable += 1,
        }
    }
    counts.values().cloned().collect()
}

pub(super) fn waits<'a>(records: impl Iterator<Item = &'a CallRecord>) -> WaitFigures {
    let whole: Vec<&CallRecord> = records
        .filter(|record| record.verdict == CallVerdict::Complete)
        .collect();
    let millis = |span: Duration| span.as_secs_f64() * 1_000.0;
    let mut first: Vec<f64> = whole
        .iter()
        .filter_map(|record| record.first_byte.map(millis))
        .collect();
    let mut total: Vec<f64> = whole.iter().map(|record| millis(record.total)).collect();
    first.sort_by(f64::total_cmp);
    total.sort_by(f64::total_cmp);
    WaitFigures {
        count: whole.len(),
        first_p50: percentile(&first, 0.5),
        first_p95: percentile(&first, 0.95),
        first_p99: percentile(&first, 0.99),
        total_p50: percentile(&total, 0.5),
        total_p99: percentile(&total, 0.99),
    }
}

/// A request is served in time if its first byte comes within this time.
const IN_TIME: Duration = Duration::from_secs(3);

/// Part of other customers' requests that were served in time in the flood, over the time before.
///
/// If every customer floods, the steady groups of all of them are measured.
pub(super) fn flood_figures(input: &ReportInput) -> (Option<f64>, Option<f64>) {
    let Some((begin, end, flooding)) = &input.plan.flood else {
        return (None, None);
    };
    let flooders: Vec<&String> = flooding
        .iter()
        .map(|group| &input.plan.groups[*group].customer)
        .collect();
    let is_all = flooders.len() >= input.plan.groups.len() / 3;
    let mut shares: SortedMap<&String, [(usize, usize); 2]> = SortedMap::new();
    for record in &input.records {
        let customer = &input.plan.groups[record.group].customer;
        let is_flood = flooding.contains(&record.group);
        if is_flood || record.sent >= *end || (!is_all && flooders.contains(&customer)) {
            continue;
        }
        let counts = shares.get_or_insert_with(customer, Default::default);
        let part = &mut counts[usize::from(record.sent >= *begin)];
        part.0 += 1;
        let is_in_time = record.verdict == CallVerdict::Complete
            && record.first_byte.is_some_and(|wait| wait <= IN_TIME);
        part.1 += usize::from(is_in_time);
    }
    let rate = |(asked, whole): (usize, usize)| whole as f64 / asked.max(1) as f64;
    let kept: Vec<f64> = shares
        .values()
        .map(|[before, flood]| rate(*flood) / rate(*before).max(f64::MIN_POSITIVE) * 100.0)
        .collect();
    let mean = kept.iter().sum::<f64>() / kept.len().max(1) as f64;
    (Some(mean), Some(least(&kept)))
}

/// The value below which `part` of the values lie.
pub(crate) fn percentile<T: Copy + Default>(sorted: &[T], part: f64) -> T {
    let index = (sorted.len() as f64 * part) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}
