use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A point on a monotone clock of one process, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ClockTime {
    micros: u64,
}

impl ClockTime {
    /// The latest point that can be expressed.
    pub const MAX: Self = Self { micros: u64::MAX };

    /// Creates a point from microseconds since the clock's origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Creates a point from milliseconds since the clock's origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self {
            micros: millis * 1_000,
        }
    }

    /// Microseconds since the clock's origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Time passed since `earlier`; zero if `earlier` is later.
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
