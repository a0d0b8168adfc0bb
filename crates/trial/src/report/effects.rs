use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use serde_json::Value;

use super::measure::ReportInput;
use crate::load::CallVerdict;
use crate::standin::EffectEntry;

/// Counts the idempotency keys whose effect is logged more than once.
pub(super) fn double_effects(effects: &[EffectEntry]) -> usize {
    let mut counts: SortedMap<(&str, &str), usize> = SortedMap::new();
    for effect in effects.iter().filter(|effect| !effect.key.is_empty()) {
        *counts.get_or_insert_with((&effect.customer, &effect.key), || 0) += 1;
    }
    counts.values().filter(|count| **count > 1).count()
}

/// Counts the requests that were reported as not run although an endpoint logged their effect.
pub(super) fn false_not_run(input: &ReportInput, effects: &[EffectEntry]) -> usize {
    let mut logged: Vec<(&str, &str)> = effects
        .iter()
        .map(|effect| (effect.customer.as_str(), call_id_of(&effect.body)))
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

/// Returns the call identifier that the caller put into the request body.
pub(super) fn call_id_of(body: &str) -> &str {
    match body.strip_prefix("{\"prompt\":\"") {
        Some(rest) => rest.split('"').next().unwrap_or(""),
        None => body,
    }
}

/// Returns the time and name of each event, and the seconds from it to the end of the last request
/// without a complete response.
///
/// Counts requests that ended after the event and were sent before it or less than 10 s after it.
pub(super) fn event_failures(input: &ReportInput) -> Vec<(f64, String, Option<f64>)> {
    let horizon = Duration::from_secs(10);
    input
        .applied_events
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

/// Returns the spans of the request that has the most, among the first 5,000 spans.
pub(super) fn example_trace(spans: &[Value]) -> Vec<Value> {
    let mut traces: SortedMap<&str, Vec<&Value>> = SortedMap::new();
    for span in spans.iter().take(5_000) {
        if let Some(trace) = span["trace"].as_str() {
            traces.get_or_insert_with(trace, Vec::new).push(span);
        }
    }
    let largest = traces.values().max_by_key(|spans| spans.len());
    largest
        .map(|spans| spans.iter().map(|span| (*span).clone()).collect())
        .unwrap_or_default()
}
