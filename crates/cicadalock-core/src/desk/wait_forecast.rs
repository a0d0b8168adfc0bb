use std::time::Duration;

use crate::time::ClockTime;

/// Forecast of the wait at a desk between two of its state messages.
///
/// The router and the desk both compute it: the wait shrinks as time passes and grows with each
/// ask. The desk sends its state early only when the forecast is off, which saves messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitForecast {
    free_at: ClockTime,
}

impl WaitForecast {
    /// Restarts the forecast from a wait that the desk reported.
    pub fn reset(&mut self, wait: Duration, now: ClockTime) {
        self.free_at = now + wait;
    }

    /// Adds the prefill time of a request.
    pub fn add(&mut self, prefill: Duration, now: ClockTime) {
        self.free_at = self.free_at.max(now) + prefill;
    }

    /// Returns the expected wait at `now`.
    #[must_use]
    pub fn at(&self, now: ClockTime) -> Duration {
        self.free_at.since(now)
    }
}
