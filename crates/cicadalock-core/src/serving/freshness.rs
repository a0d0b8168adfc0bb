use std::time::Duration;

use crate::time::ClockTime;

/// When this process last knew, by proof of the source itself, that it had missed nothing.
///
/// Revoked tokens must stop working within a bound, so what is older than the bound cannot be used
/// to let a request in. Times are of a clock that counts suspension.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreFreshness {
    confirmed_at: Option<ClockTime>,
}

impl StoreFreshness {
    /// Notes that everything up to `at` is known; an earlier proof changes nothing.
    pub fn confirm(&mut self, at: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Age at `now`; none before the first proof.
    #[must_use]
    pub fn at(&self, now: ClockTime) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Tells whether the knowledge is no older than `limit` at `now`.
    #[must_use]
    pub fn is_within(&self, limit: Duration, now: ClockTime) -> bool {
        self.at(now).is_some_and(|age| age <= limit)
    }
}
