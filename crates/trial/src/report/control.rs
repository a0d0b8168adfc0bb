use cicadalock_core::collect::SortedMap;
use serde_json::Value;

use super::extremes::max_or_zero;
use super::measure::{ControlCount, ReportInput};

/// Message types that carry callers' requests and responses, and so are not control traffic.
const PAYLOAD_TYPES: [&str; 5] = ["chunk", "credit", "end", "hand_over", "head"];

pub(super) fn control_bytes(input: &ReportInput) -> (f64, f64) {
    let mut rates = Vec::new();
    for (name, after) in input.after.iter() {
        let Some(before) = input.before.get(name) else {
            continue;
        };
        let mut bytes = 0.0;
        for (message_type, counts) in after.as_object().into_iter().flatten() {
            if PAYLOAD_TYPES.contains(&message_type.as_str()) {
                continue;
            }
            for direction in ["sent", "received"] {
                bytes += counter_increase(counts, &before[message_type.as_str()], direction, 1);
            }
        }
        rates.push(bytes / input.length.as_secs_f64());
    }
    let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
    (mean, max_or_zero(&rates))
}

pub(super) fn control_types(input: &ReportInput) -> Vec<ControlCount> {
    let mut sums: SortedMap<String, (f64, f64)> = SortedMap::new();
    for (name, after) in input.after.iter() {
        let Some(before) = input.before.get(name) else {
            continue;
        };
        for (message_type, counts) in after.as_object().into_iter().flatten() {
            let sum = sums.get_or_insert_with(message_type.clone(), || (0.0, 0.0));
            sum.0 += counter_increase(counts, &before[message_type.as_str()], "sent", 0);
            sum.1 += counter_increase(counts, &before[message_type.as_str()], "sent", 1);
        }
    }
    let seconds = input.length.as_secs_f64();
    sums.iter()
        .map(|(name, (messages, bytes))| ControlCount {
            name: name.clone(),
            messages: messages / seconds,
            bytes: bytes / seconds,
        })
        .collect()
}

/// Returns the increase of a counter; a counter that fell was reset by a restart and counts from
/// zero.
///
/// `index` is 0 for messages and 1 for bytes.
pub(super) fn counter_increase(
    after: &Value,
    before: &Value,
    direction: &str,
    index: usize,
) -> f64 {
    let after = after[direction][index].as_f64().unwrap_or(0.0);
    let before = before[direction][index].as_f64().unwrap_or(0.0);
    if after >= before {
        after - before
    } else {
        after
    }
}
