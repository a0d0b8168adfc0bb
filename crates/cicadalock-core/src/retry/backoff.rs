use std::time::Duration;

use crate::time::ClockTime;

/// Delay after the failure that starts the back-off.
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Longest delay between two attempts.
const MAX_DELAY: Duration = Duration::from_millis(2_000);

/// Consecutive failures after which calls pause.
const FAILURE_LIMIT: u32 = 2;

/// Largest number of doublings of the initial delay.
const MAX_DOUBLINGS: u32 = 10;

/// Exponential back-off for a failing endpoint, so that fast failures do not attract more requests.
///
/// After two consecutive failures only one request at a time is admitted, each after a delay that
/// doubles. The first success lifts the limit.
#[derive(Debug, Clone, Default)]
pub struct EndpointBackoff {
    failures: u32,
    blocked_until: ClockTime,
}

impl EndpointBackoff {
    /// Creates a back-off without failures.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many requests may be in progress at `now` at an endpoint with `slots` slots.
    #[must_use]
    pub fn slot_limit(&self, slots: usize, now: ClockTime) -> usize {
        if self.failures < FAILURE_LIMIT {
            slots
        } else if now >= self.blocked_until {
            slots.min(1)
        } else {
            0
        }
    }

    /// Returns when the next attempt is allowed; none if calls are not paused.
    #[must_use]
    pub fn blocked_until(&self, now: ClockTime) -> Option<ClockTime> {
        (self.failures >= FAILURE_LIMIT && now < self.blocked_until).then_some(self.blocked_until)
    }

    /// Returns whether enough consecutive attempts failed to limit calls.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failures >= FAILURE_LIMIT
    }

    /// Records an answer of the endpoint, which ends the back-off.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure of the endpoint.
    pub fn record_failure(&mut self, now: ClockTime) {
        self.failures = self.failures.saturating_add(1);
        let doublings = self
            .failures
            .saturating_sub(FAILURE_LIMIT)
            .min(MAX_DOUBLINGS);
        let delay = INITIAL_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY);
        self.blocked_until = now + delay;
    }
}
