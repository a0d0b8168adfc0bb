use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use snafu::{Snafu, ensure};

/// A number of requests per second; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct RequestRate(f64);

/// Error for a text that is not a rate.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a number of requests per second"))]
pub struct RateError {
    text: String,
}

impl RequestRate {
    /// Creates a rate; a value that is negative or not a number counts as zero.
    #[must_use]
    pub fn per_second(value: f64) -> Self {
        Self(value.clamp(0.0, f64::MAX).max(0.0))
    }

    /// Returns the requests per second.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Returns the time that `count` requests take at this rate, up to a day.
    #[must_use]
    pub fn time_of(self, count: f64) -> Duration {
        const LONGEST: f64 = 86_400.0;
        let seconds = count.max(0.0) / self.0;
        Duration::from_secs_f64(if seconds < LONGEST { seconds } else { LONGEST })
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let value: f64 = text.trim().parse().unwrap_or(f64::NAN);
        ensure!(value.is_finite() && value >= 0.0, RateSnafu { text });
        Ok(Self(value))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}
