use std::time::Duration;

use crate::time::ClockTime;

/// First and longest time for which an endpoint that cannot be reached is left alone.
///
/// The list drops a dead endpoint after three missed beats of about a second; the longest time is
/// below that, so that a wrong suspicion ends before a right one is confirmed.
const SUSPECT_TIME_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(2_500));

/// Failed answers in a row after which an endpoint is suspected.
const FAILURE_LIMIT: u32 = 3;

/// What a router has seen of one endpoint's failures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointHealth {
    failures: u32,
    suspicions: u32,
    suspected_until: ClockTime,
}

impl EndpointHealth {
    /// Tells whether work should go elsewhere.
    #[must_use]
    pub fn is_suspect(&self, now: ClockTime) -> bool {
        now < self.suspected_until
    }

    /// Notes an answer that was as it should be.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.suspicions = 0;
    }

    /// Notes an answer that failed, broke off or did not come.
    pub fn record_failure(&mut self, now: ClockTime) {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            self.mark_suspect(now);
        }
    }

    /// Notes that the endpoint was not reached; returns whether the suspicion is new.
    pub fn mark_suspect(&mut self, now: ClockTime) -> bool {
        let is_new = !self.is_suspect(now);
        if is_new {
            let span = SUSPECT_TIME_RANGE.0 * 2_u32.saturating_pow(self.suspicions.min(8));
            self.suspicions += 1;
            self.suspected_until = now + span.min(SUSPECT_TIME_RANGE.1);
        }
        is_new
    }
}
