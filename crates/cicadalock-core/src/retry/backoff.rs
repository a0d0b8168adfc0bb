use std::time::Duration;

use crate::time::ClockTime;

/// Pause after the first failure in a row.
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Longest pause between two attempts.
const MAX_DELAY: Duration = Duration::from_millis(2_000);

/// Failures in a row after which calls pause.
const FAILURE_LIMIT: u32 = 2;

/// Largest number of doublings of the first pause.
const MAX_DOUBLINGS: u32 = 10;

/// Pauses work for an endpoint that fails, so that fast failures attract no work.
///
/// After two failures in a row only one request at a time is let through, each after a pause that
/// doubles; the first success opens the endpoint again.
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

    /// Number of requests that may be in work at `now`, given the endpoint's `slots`.
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

    /// When the next attempt is allowed, if calls are paused.
    #[must_use]
    pub fn blocked_until(&self, now: ClockTime) -> Option<ClockTime> {
        (self.failures >= FAILURE_LIMIT && now < self.blocked_until).then_some(self.blocked_until)
    }

    /// Tells whether the last attempts failed.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failures >= FAILURE_LIMIT
    }

    /// Notes an answer of the endpoint.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure of the endpoint.
    pub fn record_failure(&mut self, now: ClockTime) {
        self.failures = self.failures.saturating_add(1);
        let doublings = self
            .failures
            .saturating_sub(FAILURE_LIMIT)
            .min(MAX_DOUBLINGS);
        let pause = INITIAL_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY);
        self.blocked_until = now + pause;
    }
}
