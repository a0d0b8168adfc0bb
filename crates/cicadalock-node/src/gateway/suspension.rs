use std::time::Duration;

use cicadalock_core::serving::StoreFreshness;
use cicadalock_core::time::ClockTime;

/// Time without a tick after which the process counts as having been suspended.
///
/// Ticks are due every 100 ms; an overloaded process delays them by a few hundred milliseconds.
const SUSPENSION_LIMIT: Duration = Duration::from_secs(1);

/// Age of the copy of the store, at the time of waking up, up to which it counts as current.
const MAX_COPY_AGE: Duration = Duration::from_millis(300);

/// Maximum time after waking up for which requests are held back, in case the store is unavailable.
const MAX_HOLD: Duration = Duration::from_millis(500);

/// Tells after a suspension of the process when its copy of the store is current again.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspensionGuard {
    last_tick: ClockTime,
    /// When the process was found to have been suspended; `None` once its copy is current.
    woken_at: Option<ClockTime>,
}

impl SuspensionGuard {
    pub(super) const fn new(now: ClockTime) -> Self {
        Self {
            last_tick: now,
            woken_at: None,
        }
    }

    /// Records that the process runs, and returns for how long it was suspended before.
    pub(super) fn tick(&mut self, now: ClockTime) -> Option<Duration> {
        let pause = now.since(self.last_tick);
        self.last_tick = now;
        if pause <= SUSPENSION_LIMIT {
            return None;
        }
        self.woken_at = Some(now);
        Some(pause)
    }

    /// Returns until when requests are held back for a current copy; `None` if it is current.
    pub(super) fn hold_until(
        &mut self,
        freshness: StoreFreshness,
        now: ClockTime,
    ) -> Option<ClockTime> {
        let woken_at = self.woken_at?;
        let until = woken_at + MAX_HOLD;
        if freshness.is_within(MAX_COPY_AGE, woken_at) || now >= until {
            self.woken_at = None;
            return None;
        }
        Some(until)
    }
}
