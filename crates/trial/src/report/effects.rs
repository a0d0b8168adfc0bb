use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use serde_json::Value;

use super::measure::ReportInput;
use crate::load::CallVerdict;
use crate::standin::EffectEntry;

pub(super) fn double_effects(effects: &[EffectEntry]) -> usize {
    let mut counts: SortedMap<(&str, &str), usize> = SortedMap::new();
    for effect in effects.iter().filter(|effect| !effect.key.is_empty()) {
        *counts.get_or_insert_with((&effect.customer, &effect.key), || 0) += 1;
    }
    counts.values().filter(|count| **count > 1).count()
}

/// Requests told as not run whose mark stands in an endpoint's log.
pub(super) fn false_not_run(input: &ReportInput, effects: &[EffectEntry]) -> usize {
    let mut logged: Vec<(&str, &str)> = effects
        .iter()
        .map(|effect| (effect.customer.as_str(), mark_of(&effect.body)))
        .collect();
    logged.sort_unstable();
    input
        .records
        .iter()
        .filter(|record| record.verdict == CallVerdict::NotRun)
        .filter(|record| {
            let customer = input.plan.groups[record.group].customer.as_str();
            logged
                .binary_search(&(customer, record.call_id.as_str()))
                .is_ok()
        })
        .count()
}

/// The mark that a caller put into a body.
pub(super) fn mark_of(body: &str) -> &str {
    match body.strip_prefix("{\"prompt\":\"") {
        Some(rest) => rest.split('"').next().unwrap_or(""),
        None => body,
    }
}

/// Each event, and when the last request sent within 10 s after it ended without a whole answer.
pub(super) fn event_figures(input: &ReportInput) -> Vec<(f64, String, Option<f64>)> {
    let horizon = Duration::from_secs(10);
    input
        .applied
        .iter()
        .map(|(at, name)| {
            let failures = input.records.iter().filter(|record| {
                let end = record.sent + record.total;
                !matches!(record.verdict, CallVerdict::Complete)
                    && end >= *at
                    && record.sent < *at + horizon
            });
            let last = failures.map(|record| record.sent + record.total).max();
            let last = last.map(|end| end.saturating_sub(*at).as_secs_f64());
            (at.as_secs_f64(), name.clone(), last)
        })
        .collect()
}

/// The spans of the request with most of them.
pub(super) fn example_trace(spans: &[Value]) -> Vec<Value> {
    let mut traces: SortedMap<&str, Vec<&Value>> = SortedMap::new();
    for span in spans.iter().take(5_000) {
        if let Some(trace) = span["trace"].as_str() {
            traces.get_or_insert_with(trace, Vec::new).push(span);
        }
    }
    let fullest = traces.values().max_by_key(|spans| spans.len());
    fullest
        .map(|spans| spans.iter().map(|span| (*span).clone()).collect())
        .unwrap_or_default()
}
