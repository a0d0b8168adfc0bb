use std::time::Duration;

use crate::time::ClockTime;

/// Time at which the store last confirmed that this process has seen all changes.
///
/// Revoked tokens must stop working within a bound, so a configuration that was confirmed longer
/// ago than the bound must not authorize requests. Times come from a clock that keeps running while
/// the machine is suspended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreFreshness {
    confirmed_at: Option<ClockTime>,
}

impl StoreFreshness {
    /// Records that all changes up to `at` have been seen; ignored if `at` is older than the last
    /// confirmation.
    pub fn confirm(&mut self, at: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the time since the last confirmation; `None` before the first.
    #[must_use]
    pub fn age(&self, now: ClockTime) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Returns whether the last confirmation is at most `limit` old at `now`.
    #[must_use]
    pub fn is_within(&self, limit: Duration, now: ClockTime) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
