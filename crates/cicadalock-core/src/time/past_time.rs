use std::time::Duration;

use super::clock_time::ClockTime;

/// A time on this process's clock that may lie before the clock's origin.
///
/// Other processes send the age of what they saw, which may exceed the age of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PastTime {
    micros: i64,
}

impl PastTime {
    /// Creates a time from milliseconds since the clock's origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self {
            micros: millis as i64 * 1_000,
        }
    }

    /// Returns the time that lies `age` before `now`.
    #[must_use]
    pub fn from_age(now: ClockTime, age: Duration) -> Self {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        let Self { micros } = Self::from(now);
        Self {
            micros: micros.saturating_sub(age),
        }
    }

    /// Returns the time from this one to `now`, or zero if this one is later.
    #[must_use]
    pub fn age(self, now: ClockTime) -> Duration {
        Self::from(now).since(self)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        let micros = self.micros.saturating_sub(earlier.micros);
        Duration::from_micros(u64::try_from(micros).unwrap_or_default())
    }
}

impl From<ClockTime> for PastTime {
    fn from(time: ClockTime) -> Self {
        Self {
            micros: i64::try_from(time.as_micros()).unwrap_or(i64::MAX),
        }
    }
}
