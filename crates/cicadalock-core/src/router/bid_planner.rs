use std::time::Duration;

use super::hold_queue::QueueKey;
use crate::collect::SortedMap;
use crate::time::ClockTime;

/// Sidecars that hear of a queue at first.
pub(super) const INITIAL_FANOUT: usize = 2;

/// A queue that waits for longer is told to every sidecar of its service.
pub(super) const FULL_FANOUT_DELAY: Duration = Duration::from_millis(5);

/// Decides to how many sidecars a queue is told.
///
/// A queue is told to a few sidecars first, which suffices while capacity is free, and to all of
/// them once it has waited.
#[derive(Debug, Clone, Default)]
pub(super) struct BidPlanner {
    since: SortedMap<QueueKey, FanoutState>,
}

#[derive(Debug, Clone, Copy)]
struct FanoutState {
    since: ClockTime,
    is_full_fanout: bool,
}

impl BidPlanner {
    /// Notes whether a queue has requests and returns whether every sidecar is to hear of it.
    pub(super) fn update(&mut self, key: QueueKey, has_requests: bool, now: ClockTime) -> bool {
        if !has_requests {
            self.since.remove(&key);
            return false;
        }
        let time = self.since.get_or_insert_with(key, || FanoutState {
            since: now,
            is_full_fanout: false,
        });
        time.is_full_fanout |= now.since(time.since) >= FULL_FANOUT_DELAY;
        time.is_full_fanout
    }

    /// Queues that are told to few sidecars and have waited long enough to be told to all.
    pub(super) fn due_for_full_fanout(&self, now: ClockTime) -> Vec<QueueKey> {
        let is_due =
            |time: &FanoutState| !time.is_full_fanout && now.since(time.since) >= FULL_FANOUT_DELAY;
        self.since
            .iter()
            .filter(|(_, time)| is_due(time))
            .map(|(key, _)| *key)
            .collect()
    }

    /// When the next queue is overdue.
    pub(super) fn next_due(&self) -> Option<ClockTime> {
        let narrow = self.since.values().filter(|time| !time.is_full_fanout);
        narrow.map(|time| time.since + FULL_FANOUT_DELAY).min()
    }
}

/// A belief that is wrong by less than this factor is left to the next grant, whose answer carries
/// the truth.
const STALE_FACTOR: u32 = 8;

/// Tells whether a sidecar's belief differs from the truth by enough to correct it.
///
/// A belief is corrected between none and some, and when it is wrong by a large factor.
pub(super) const fn needs_correction(told: u32, count: u32) -> bool {
    if told == 0 || count == 0 {
        return told != count;
    }
    count >= told.saturating_mul(STALE_FACTOR) || count.saturating_mul(STALE_FACTOR) <= told
}
