use std::time::Duration;

use crate::time::ClockTime;

/// Delay at which a router takes no new work.
///
/// A fifth of the shortest usual objective is left for the work itself; a quota of the processor
/// stops a process for up to 100 ms at a time, which is no overload.
const OVERLOAD_LAG: Duration = Duration::from_millis(150);

/// Readings in a row that make an overload; one alone is a process that was stopped.
const OVERLOAD_READINGS: usize = 3;

/// Time for which a router that was behind leaves new callers to others.
///
/// The balancer asks once a second and acts after two answers; a shorter rest would be missed.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// How far a router runs behind its events.
///
/// Hosts of unequal size get callers by a hash of their names, so a small one may get more than it
/// can relay. It refuses new work while it is behind, and callers come back to other hosts.
#[derive(Debug, Clone, Copy, Default)]
pub struct LagMeter {
    readings: [Duration; OVERLOAD_READINGS],
    /// When it was last behind.
    behind_at: Option<ClockTime>,
}

impl LagMeter {
    /// Takes in how late a timer fired.
    pub fn record(&mut self, lag: Duration, now: ClockTime) {
        self.readings.rotate_left(1);
        self.readings[OVERLOAD_READINGS - 1] = lag;
        if self.is_behind() {
            self.behind_at = Some(now);
        }
    }

    /// Tells whether new work is to be refused.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.readings.iter().all(|lag| *lag > OVERLOAD_LAG)
    }

    /// Tells whether new callers are to be sent to other hosts.
    #[must_use]
    pub fn is_recovering(&self, now: ClockTime) -> bool {
        self.behind_at
            .is_some_and(|behind| now.since(behind) < RECOVERY_TIME)
    }
}
