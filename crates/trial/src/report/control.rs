use cicadalock_core::collect::SortedMap;
use serde_json::Value;

use super::extremes::greatest;
use super::measure::{ControlCount, ReportInput};

/// Types of messages that carry callers' requests and answers.
const PAYLOAD_TYPES: [&str; 5] = ["chunk", "credit", "end", "hand_over", "head"];

pub(super) fn control_bytes(input: &ReportInput) -> (f64, f64) {
    let mut rates = Vec::new();
    for (name, after) in input.after.iter() {
        let Some(before) = input.before.get(name) else {
            continue;
        };
        let mut bytes = 0.0;
        for (kind, counts) in after.as_object().into_iter().flatten() {
            if PAYLOAD_TYPES.contains(&kind.as_str()) {
                continue;
            }
            for side in ["sent", "received"] {
                bytes += difference(counts, &before[kind.as_str()], side, 1);
            }
        }
        rates.push(bytes / input.length.as_secs_f64());
    }
    let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
    (mean, greatest(&rates))
}

pub(super) fn control_types(input: &ReportInput) -> Vec<ControlCount> {
    let mut sums: SortedMap<String, (f64, f64)> = SortedMap::new();
    for (name, after) in input.after.iter() {
        let Some(before) = input.before.get(name) else {
            continue;
        };
        for (kind, counts) in after.as_object().into_iter().flatten() {
            let sum = sums.get_or_insert_with(kind.clone(), || (0.0, 0.0));
            sum.0 += difference(counts, &before[kind.as_str()], "sent", 0);
            sum.1 += difference(counts, &before[kind.as_str()], "sent", 1);
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

/// Growth of a counter; one that began anew counts from zero.
pub(super) fn difference(after: &Value, before: &Value, side: &str, index: usize) -> f64 {
    let after = after[side][index].as_f64().unwrap_or(0.0);
    let before = before[side][index].as_f64().unwrap_or(0.0);
    if after >= before {
        after - before
    } else {
        after
    }
}
