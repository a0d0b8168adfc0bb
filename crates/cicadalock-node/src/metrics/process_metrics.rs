use std::sync::atomic::{AtomicU64, Ordering};

use cicadalock_core::message::PeerMessage;

use super::Metric;

/// Message types whose traffic is counted, sorted; `other` counts all types not listed.
const MESSAGE_TYPES: [&str; 23] = [
    "bid",
    "cancel",
    "chunk",
    "claim",
    "claim_reply",
    "credit",
    "decline",
    "document",
    "end",
    "fetch",
    "grant",
    "hand_off",
    "hand_over",
    "head",
    "hello",
    "leaving",
    "other",
    "ping",
    "proof",
    "refusal",
    "release",
    "totals",
    "view",
];

/// Counters and message traffic of one process.
#[derive(Debug)]
pub struct ProcessMetrics {
    counters: Vec<AtomicU64>,
    sent: Vec<TrafficCounter>,
    received: Vec<TrafficCounter>,
}

#[derive(Debug, Default)]
struct TrafficCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Traffic of one message type.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficCount {
    /// Name of the message type.
    pub name: &'static str,
    /// Number of messages sent, and their bytes.
    pub sent: (u64, u64),
    /// Number of messages received, and their bytes.
    pub received: (u64, u64),
}

impl ProcessMetrics {
    /// Creates counters at zero.
    #[must_use]
    pub fn new() -> Self {
        let zero_counters = || {
            MESSAGE_TYPES
                .iter()
                .map(|_| TrafficCounter::default())
                .collect()
        };
        Self {
            counters: Metric::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            sent: zero_counters(),
            received: zero_counters(),
        }
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, metric: Metric, amount: u64) {
        self.counters[metric as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Overwrites a counter whose value is maintained elsewhere.
    pub fn set(&self, metric: Metric, value: u64) {
        self.counters[metric as usize].store(value, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    #[must_use]
    pub fn get(&self, metric: Metric) -> u64 {
        self.counters[metric as usize].load(Ordering::Relaxed)
    }

    /// Counts a sent frame of `bytes` bytes; without a message it counts as `other`.
    pub fn count_sent(&self, message: Option<&PeerMessage>, bytes: usize) {
        self.sent[type_index(message)].count(bytes);
    }

    /// Counts a received frame of `bytes` bytes; without a message it counts as `other`.
    pub fn count_received(&self, message: Option<&PeerMessage>, bytes: usize) {
        self.received[type_index(message)].count(bytes);
    }

    /// Returns the traffic per message type, without types that were never sent or received.
    pub fn traffic(&self) -> impl Iterator<Item = TrafficCount> {
        MESSAGE_TYPES
            .iter()
            .enumerate()
            .map(|(index, name)| TrafficCount {
                name,
                sent: self.sent[index].get(),
                received: self.received[index].get(),
            })
            .filter(|count| count.sent.0 + count.received.0 > 0)
    }
}

impl Default for ProcessMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl TrafficCounter {
    fn count(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn get(&self) -> (u64, u64) {
        (
            self.messages.load(Ordering::Relaxed),
            self.bytes.load(Ordering::Relaxed),
        )
    }
}

fn type_index(message: Option<&PeerMessage>) -> usize {
    let name = message.map_or("other", PeerMessage::type_name);
    let other = || MESSAGE_TYPES.binary_search(&"other").unwrap_or(0);
    MESSAGE_TYPES
        .binary_search(&name)
        .unwrap_or_else(|_| other())
}
