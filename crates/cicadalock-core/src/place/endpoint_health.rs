use std::time::Duration;

use crate::time::ClockTime;

/// Initial and longest time for which a suspected endpoint gets no requests.
///
/// The endpoint list drops a dead endpoint after three missed heartbeats of about a second. The
/// longest time is below that, so that a wrong suspicion ends before a right one is confirmed.
const SUSPECT_TIME_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(2_500));

/// Consecutive failed answers after which an endpoint is suspected.
const FAILURE_LIMIT: u32 = 3;

/// Failure detector of one endpoint, fed by the outcomes of a router's attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointHealth {
    failures: u32,
    suspicions: u32,
    suspected_until: ClockTime,
}

impl EndpointHealth {
    /// Returns whether requests should go to other endpoints.
    #[must_use]
    pub fn is_suspect(&self, now: ClockTime) -> bool {
        now < self.suspected_until
    }

    /// Records a successful answer and resets the counters.
    ///
    /// A running suspicion still lasts until its end.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.suspicions = 0;
    }

    /// Records an answer that failed, broke off or never came; three in a row raise a suspicion.
    pub fn record_failure(&mut self, now: ClockTime) {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            self.mark_suspect(now);
        }
    }

    /// Suspects the endpoint; the time doubles with each suspicion since the last success, up to a
    /// limit.
    ///
    /// Returns whether the suspicion is new; a running one is not extended.
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
