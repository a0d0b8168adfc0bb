use std::time::Duration;

use crate::time::ClockTime;

/// The wait at a desk between two of its messages, as both sides of a link work it out.
///
/// It shrinks as time passes and grows by what is asked for. A desk speaks up only when this is
/// wrong, which keeps quiet links quiet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitForecast {
    free_at: ClockTime,
}

impl WaitForecast {
    /// Starts anew from a wait that was told.
    pub fn reset(&mut self, wait: Duration, now: ClockTime) {
        self.free_at = now + wait;
    }

    /// Adds the reading of a request.
    pub fn add(&mut self, read: Duration, now: ClockTime) {
        self.free_at = self.free_at.max(now) + read;
    }

    /// The wait at `now`.
    #[must_use]
    pub fn at(&self, now: ClockTime) -> Duration {
        self.free_at.since(now)
    }
}
