use cicadalock_core::collect::SortedMap;

use super::extremes::{max_or_zero, min_or_zero};
use super::measure::ReportInput;
use crate::standin::UsageEntry;

/// Fraction of the run that is left out of the measured utilisation, as warm-up.
const WARM_UP_FRACTION: f64 = 0.2;

/// Returns each customer's cumulative service at the end of each second of the load, in cost units.
pub(super) fn service_series(input: &ReportInput, usage: &[UsageEntry]) -> Vec<(String, Vec<f64>)> {
    let seconds = input.length.as_secs() as usize;
    let mut series: SortedMap<String, Vec<f64>> = SortedMap::new();
    for entry in usage {
        let Some(at) = (entry.tenth * 100).checked_sub(input.started_ms) else {
            continue;
        };
        let second = (at / 1_000) as usize;
        let samples = series.get_or_insert_with(entry.customer.clone(), || vec![0.0; seconds]);
        if second < seconds {
            samples[second] += entry.cost as f64;
        }
    }
    for samples in series.values_mut() {
        let mut sum = 0.0;
        for value in samples {
            sum += *value;
            *value = sum;
        }
    }
    series
        .iter()
        .map(|(name, samples)| (name.clone(), samples.clone()))
        .collect()
}

/// Returns, for each second, the gap in cumulative service between the backlogged customers with
/// the most and the least.
pub(super) fn gap_series(backlogged: &[String], series: &[(String, Vec<f64>)]) -> Vec<f64> {
    if backlogged.is_empty() {
        return Vec::new();
    }
    let seconds = series.first().map_or(0, |(_, samples)| samples.len());
    (0..seconds)
        .map(|second| {
            let values = backlogged.iter().map(|name| {
                let samples = series.iter().find(|(customer, _)| customer == name);
                samples.map_or(0.0, |(_, samples)| samples[second])
            });
            let values: Vec<f64> = values.collect();
            max_or_zero(&values) - min_or_zero(&values)
        })
        .collect()
}

/// Greatest gap in the first and second half, share error in percent, and least service over the
/// mean.
pub(super) type FairnessStats = (Option<(f64, f64)>, Option<f64>, Option<f64>);

pub(super) fn fairness(
    input: &ReportInput,
    series: &[(String, Vec<f64>)],
    gaps: &[f64],
) -> FairnessStats {
    if gaps.is_empty() {
        return (None, None, None);
    }
    let (first, second) = gaps.split_at(gaps.len() / 2);
    let totals: Vec<f64> = input
        .plan
        .backlogged
        .iter()
        .map(|name| {
            let samples = series.iter().find(|(customer, _)| customer == name);
            samples.map_or(0.0, |(_, samples)| {
                let middle = samples.get(samples.len() / 2).copied().unwrap_or(0.0);
                samples.last().copied().unwrap_or(0.0) - middle
            })
        })
        .collect();
    let mean = totals.iter().sum::<f64>() / totals.len() as f64;
    let error = totals
        .iter()
        .map(|total| (total / mean - 1.0).abs() * 100.0);
    let error: Vec<f64> = error.collect();
    (
        Some((max_or_zero(first), max_or_zero(second))),
        Some(max_or_zero(&error)),
        Some(min_or_zero(&totals) / mean),
    )
}

/// Returns the work done over the capacity of the measured service, in percent, after the warm-up.
pub(super) fn utilisation(input: &ReportInput, usage: &[UsageEntry]) -> f64 {
    let Some(service) = input.plan.fleet.find_service(&input.plan.service) else {
        return 0.0;
    };
    let start = input.started_ms + (input.length.as_millis() as f64 * WARM_UP_FRACTION) as u64;
    let end = input.started_ms + input.length.as_millis() as u64;
    let measured = usage
        .iter()
        .filter(|entry| (start..end).contains(&(entry.tenth * 100)));
    let done: i64 = measured.map(|entry| entry.cost).sum();
    let slots = f64::from(service.slots) * service.replicas as f64;
    let seconds = (end - start) as f64 / 1_000.0;
    let rate = if service.is_model {
        1.0 / service.unit_time.as_secs_f64()
    } else {
        1_000.0
    };
    done as f64 / (slots * rate * seconds) * 100.0
}
