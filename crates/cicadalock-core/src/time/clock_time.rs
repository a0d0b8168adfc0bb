use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A reading of one process's monotonic clock, with a resolution of one microsecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ClockTime {
    micros: u64,
}

impl ClockTime {
    /// The latest time that can be represented.
    pub const MAX: Self = Self { micros: u64::MAX };

    /// Creates a time from microseconds since the clock's origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Creates a time from milliseconds since the clock's origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self {
            micros: millis * 1_000,
        }
    }

    /// Returns the microseconds since the clock's origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}

impl Add<Duration> for ClockTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(micros),
        }
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{:06}s",
            self.micros / 1_000_000,
            self.micros % 1_000_000
        )
    }
}
