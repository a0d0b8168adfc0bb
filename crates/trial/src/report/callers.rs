use std::time::Duration;

use cicadalock_core::collect::SortedMap;

use super::extremes::min_or_zero;
use super::measure::{GroupCount, LatencyStats, ReportInput};
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

pub(super) fn latency_stats<'a>(records: impl Iterator<Item = &'a CallRecord>) -> LatencyStats {
    let complete: Vec<&CallRecord> = records
        .filter(|record| record.verdict == CallVerdict::Complete)
        .collect();
    let millis = |span: Duration| span.as_secs_f64() * 1_000.0;
    let mut first: Vec<f64> = complete
        .iter()
        .filter_map(|record| record.first_byte.map(millis))
        .collect();
    let mut total: Vec<f64> = complete.iter().map(|record| millis(record.total)).collect();
    first.sort_by(f64::total_cmp);
    total.sort_by(f64::total_cmp);
    LatencyStats {
        count: complete.len(),
        first_p50: percentile(&first, 0.5),
        first_p95: percentile(&first, 0.95),
        first_p99: percentile(&first, 0.99),
        total_p50: percentile(&total, 0.5),
        total_p99: percentile(&total, 0.99),
    }
}

/// Time to the first byte within which a request counts as served in time.
const FIRST_BYTE_LIMIT: Duration = Duration::from_secs(3);

/// Returns how well customers are served during a flood: the ratio of their requests served in time
/// during the flood to that before it, in percent, as the mean and the least over customers.
///
/// Customers that cause the flood are left out, unless all of them do: then the steady groups of
/// every customer are measured.
pub(super) fn flood_ratios(input: &ReportInput) -> (Option<f64>, Option<f64>) {
    let Some((begin, end, flooding)) = &input.plan.flood else {
        return (None, None);
    };
    let flooders: Vec<&String> = flooding
        .iter()
        .map(|group| &input.plan.groups[*group].customer)
        .collect();
    let is_all = flooders.len() >= input.plan.groups.len() / 3;
    let mut counts_by_customer: SortedMap<&String, [(usize, usize); 2]> = SortedMap::new();
    for record in &input.records {
        let customer = &input.plan.groups[record.group].customer;
        let is_flood = flooding.contains(&record.group);
        if is_flood || record.sent >= *end || (!is_all && flooders.contains(&customer)) {
            continue;
        }
        let counts = counts_by_customer.get_or_insert_with(customer, Default::default);
        let period = &mut counts[usize::from(record.sent >= *begin)];
        period.0 += 1;
        let is_in_time = record.verdict == CallVerdict::Complete
            && record
                .first_byte
                .is_some_and(|wait| wait <= FIRST_BYTE_LIMIT);
        period.1 += usize::from(is_in_time);
    }
    let rate = |(sent, in_time): (usize, usize)| in_time as f64 / sent.max(1) as f64;
    let kept: Vec<f64> = counts_by_customer
        .values()
        .map(|[before, flood]| rate(*flood) / rate(*before).max(f64::MIN_POSITIVE) * 100.0)
        .collect();
    let mean = kept.iter().sum::<f64>() / kept.len().max(1) as f64;
    (Some(mean), Some(min_or_zero(&kept)))
}

/// Returns the value below which `fraction` of the values lie; the default value if there are none.
pub(crate) fn percentile<T: Copy + Default>(sorted: &[T], fraction: f64) -> T {
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}
