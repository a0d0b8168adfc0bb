use std::time::{SystemTime, UNIX_EPOCH};

use cicadalock_core::time::{ClockTime, WallTime};
use rustix::time::{ClockId, clock_gettime};

/// Monotone time that counts suspension, and civil time that follows it from the process's start.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: ClockTime,
    start_wall: WallTime,
}

impl ProcessClock {
    /// Reads both clocks once; civil time later follows the monotone clock and never steps.
    #[must_use]
    pub fn start() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: boot_time(),
            start_wall: WallTime::from_unix_millis(since.as_millis() as u64),
        }
    }

    /// Time since the machine's start, including suspension.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        boot_time()
    }

    /// Civil time.
    #[must_use]
    pub fn wall(&self) -> WallTime {
        self.wall_at(self.now())
    }

    /// Civil time at a monotone point.
    #[must_use]
    pub const fn wall_at(&self, at: ClockTime) -> WallTime {
        self.start_wall
            .plus_millis(at.since(self.start).as_millis() as u64)
    }

    /// Civil time at the start of the process.
    #[must_use]
    pub const fn started(&self) -> WallTime {
        self.start_wall
    }
}

fn boot_time() -> ClockTime {
    let time = clock_gettime(ClockId::Boottime);
    ClockTime::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
