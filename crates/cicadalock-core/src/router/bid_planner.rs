use std::time::Duration;

use super::hold_queue::QueueKey;
use crate::collect::SortedMap;
use crate::time::ClockTime;

/// Number of sidecars that first receive the bid of a queue.
pub(super) const INITIAL_FANOUT: usize = 2;

/// A queue that has waited this long is announced to every sidecar of its service.
pub(super) const FULL_FANOUT_DELAY: Duration = Duration::from_millis(5);

/// Decides whether the bid of a queue goes to a few sidecars or to all.
///
/// A few sidecars are enough while capacity is free. Once the queue has waited for
/// [`FULL_FANOUT_DELAY`], all sidecars receive its bid.
#[derive(Debug, Clone, Default)]
pub(super) struct BidPlanner {
    backlogged: SortedMap<QueueKey, FanoutState>,
}

#[derive(Debug, Clone, Copy)]
struct FanoutState {
    backlogged_since: ClockTime,
    is_full_fanout: bool,
}

impl BidPlanner {
    /// Updates the state of a queue and returns whether its bid goes to every sidecar.
    pub(super) fn update(&mut self, key: QueueKey, has_requests: bool, now: ClockTime) -> bool {
        if !has_requests {
            self.backlogged.remove(&key);
            return false;
        }
        let state = self.backlogged.get_or_insert_with(key, || FanoutState {
            backlogged_since: now,
            is_full_fanout: false,
        });
        state.is_full_fanout |= now.since(state.backlogged_since) >= FULL_FANOUT_DELAY;
        state.is_full_fanout
    }

    /// Returns the queues announced to a few sidecars that are due to be announced to all.
    pub(super) fn due_for_full_fanout(&self, now: ClockTime) -> Vec<QueueKey> {
        let is_due = |state: &FanoutState| {
            !state.is_full_fanout && now.since(state.backlogged_since) >= FULL_FANOUT_DELAY
        };
        self.backlogged
            .iter()
            .filter(|(_, state)| is_due(state))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Returns when the next queue becomes due to be announced to all sidecars.
    pub(super) fn next_due(&self) -> Option<ClockTime> {
        let pending = self
            .backlogged
            .values()
            .filter(|state| !state.is_full_fanout);
        pending
            .map(|state| state.backlogged_since + FULL_FANOUT_DELAY)
            .min()
    }
}

/// A bid that is off by less than this factor is not corrected: the reply to the next grant carries
/// the current number.
const CORRECTION_FACTOR: u32 = 8;

/// Returns whether the bid announced to a sidecar is to be replaced by the current `count`.
///
/// It is replaced when the number becomes zero or stops being zero, and when it is off by
/// [`CORRECTION_FACTOR`] or more.
pub(super) const fn needs_correction(announced: u32, count: u32) -> bool {
    if announced == 0 || count == 0 {
        return announced != count;
    }
    count >= announced.saturating_mul(CORRECTION_FACTOR)
        || count.saturating_mul(CORRECTION_FACTOR) <= announced
}
