use cicadalock_core::collect::SortedMap;

use super::extremes::{greatest, least};
use super::measure::ReportInput;
use crate::standin::UsageEntry;

/// Part of a run that passes before fairness is measured.
const WARM_UP_PART: f64 = 0.2;

/// Cumulative service by customer at the end of each second of the load.
pub(super) fn service_series(input: &ReportInput, usage: &[UsageEntry]) -> Vec<(String, Vec<f64>)> {
    let seconds = input.length.as_secs() as usize;
    let mut lines: SortedMap<String, Vec<f64>> = SortedMap::new();
    for entry in usage {
        let Some(at) = (entry.tenth * 100).checked_sub(input.started_ms) else {
            continue;
        };
        let second = (at / 1_000) as usize;
        let line = lines.get_or_insert_with(entry.customer.clone(), || vec![0.0; seconds]);
        if second < seconds {
            line[second] += entry.cost as f64;
        }
    }
    for line in lines.values_mut() {
        let mut sum = 0.0;
        for value in line {
            sum += *value;
            *value = sum;
        }
    }
    lines
        .iter()
        .map(|(name, line)| (name.clone(), line.clone()))
        .collect()
}

/// Gap between the backlogged customers with most and least service since the start of the load.
pub(super) fn gap_series(backlogged: &[String], series: &[(String, Vec<f64>)]) -> Vec<f64> {
    if backlogged.is_empty() {
        return Vec::new();
    }
    let length = series.first().map_or(0, |(_, line)| line.len());
    (0..length)
        .map(|second| {
            let values = backlogged.iter().map(|name| {
                let line = series.iter().find(|(customer, _)| customer == name);
                line.map_or(0.0, |(_, line)| line[second])
            });
            let values: Vec<f64> = values.collect();
            greatest(&values) - least(&values)
        })
        .collect()
}

pub(super) type FairnessFigures = (Option<(f64, f64)>, Option<f64>, Option<f64>);

pub(super) fn fairness(
    input: &ReportInput,
    series: &[(String, Vec<f64>)],
    gaps: &[f64],
) -> FairnessFigures {
    if gaps.is_empty() {
        return (None, None, None);
    }
    let (first, second) = gaps.split_at(gaps.len() / 2);
    let totals: Vec<f64> = input
        .plan
        .backlogged
        .iter()
        .map(|name| {
            let line = series.iter().find(|(customer, _)| customer == name);
            line.map_or(0.0, |(_, line)| {
                let middle = line.get(line.len() / 2).copied().unwrap_or(0.0);
                line.last().copied().unwrap_or(0.0) - middle
            })
        })
        .collect();
    let mean = totals.iter().sum::<f64>() / totals.len() as f64;
    let error = totals
        .iter()
        .map(|total| (total / mean - 1.0).abs() * 100.0);
    let error: Vec<f64> = error.collect();
    (
        Some((greatest(first), greatest(second))),
        Some(greatest(&error)),
        Some(least(&totals) / mean),
    )
}

pub(super) fn utilisation(input: &ReportInput, usage: &[UsageEntry]) -> f64 {
    let Some(service) = input.plan.fleet.find_service(&input.plan.service) else {
        return 0.0;
    };
    let start = input.started_ms + (input.length.as_millis() as f64 * WARM_UP_PART) as u64;
    let end = input.started_ms + input.length.as_millis() as u64;
    let in_time = usage
        .iter()
        .filter(|entry| (start..end).contains(&(entry.tenth * 100)));
    let done: i64 = in_time.map(|entry| entry.cost).sum();
    let slots = f64::from(service.slots) * service.replicas as f64;
    let seconds = (end - start) as f64 / 1_000.0;
    let rate = if service.is_model {
        1.0 / service.unit_time.as_secs_f64()
    } else {
        1_000.0
    };
    done as f64 / (slots * rate * seconds) * 100.0
}
