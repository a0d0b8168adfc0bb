use std::time::Duration;

use crate::time::ClockTime;

/// Time after the stop signal until which every request that has arrived is passed on.
///
/// The load balancer takes the host out within two to three seconds.
const OPEN_TIME: Duration = Duration::from_secs(3);

/// Time that a request has to have left to be passed on later, as a multiple of its route's objective.
const NEEDED_OBJECTIVES: u32 = 4;

/// Decides which requests a router still passes on after it was asked to stop.
///
/// A request that is passed on late would be cut off at the end of the grace period, and its caller would
/// not know whether it ran. It is refused before it is passed on, and its caller goes to another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopWindow {
    stopped_at: ClockTime,
    ends_at: ClockTime,
}

impl StopWindow {
    /// Creates the window of a router that was asked to stop at `stopped_at` and ends `grace` later.
    #[must_use]
    pub fn new(stopped_at: ClockTime, grace: Duration) -> Self {
        Self {
            stopped_at,
            ends_at: stopped_at + grace,
        }
    }

    /// Returns whether a request that no endpoint has got yet may be passed on at `now`.
    ///
    /// `objective` is that of its route; `None` for streams, whose length is not known.
    #[must_use]
    pub fn takes(&self, objective: Option<Duration>, now: ClockTime) -> bool {
        if now.since(self.stopped_at) <= OPEN_TIME {
            return true;
        }
        objective.is_some_and(|objective| {
            self.ends_at.since(now) >= objective.saturating_mul(NEEDED_OBJECTIVES)
        })
    }
}
