use std::time::{SystemTime, UNIX_EPOCH};

use cicadalock_core::time::{ClockTime, WallTime};
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that includes suspension, and a wall clock that advances with it.
///
/// The system's wall clock is read only at the start of the process, so that wall-clock time never
/// steps.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: ClockTime,
    start_wall: WallTime,
}

impl ProcessClock {
    /// Reads both system clocks.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: boot_time(),
            start_wall: WallTime::from_unix_millis(since_epoch.as_millis() as u64),
        }
    }

    /// Returns the time since the machine booted, including suspension.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        boot_time()
    }

    /// Returns the current wall-clock time.
    #[must_use]
    pub fn wall(&self) -> WallTime {
        self.wall_at(self.now())
    }

    /// Returns the wall-clock time at the monotonic time `at`.
    ///
    /// A time before the start of the process yields the start.
    #[must_use]
    pub const fn wall_at(&self, at: ClockTime) -> WallTime {
        self.start_wall
            .plus_millis(at.since(self.start).as_millis() as u64)
    }

    /// Returns the wall-clock time at the start of the process.
    #[must_use]
    pub const fn started(&self) -> WallTime {
        self.start_wall
    }
}

fn boot_time() -> ClockTime {
    let time = clock_gettime(ClockId::Boottime);
    ClockTime::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
