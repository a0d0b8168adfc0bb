use std::fmt;

/// A wall-clock time, in milliseconds since 1970-01-01 UTC.
///
/// Used only to compare the creation time of an idempotency key with the start of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct WallTime {
    millis: u64,
}

impl WallTime {
    /// Creates a time from milliseconds since 1970-01-01 UTC.
    #[must_use]
    pub const fn from_unix_millis(millis: u64) -> Self {
        Self { millis }
    }

    /// Returns the milliseconds since 1970-01-01 UTC.
    #[must_use]
    pub const fn as_unix_millis(self) -> u64 {
        self.millis
    }

    /// Returns the time `millis` milliseconds earlier, or 1970-01-01 if that would precede it.
    #[must_use]
    pub const fn minus_millis(self, millis: u64) -> Self {
        Self {
            millis: self.millis.saturating_sub(millis),
        }
    }

    /// Returns the time `millis` milliseconds later, saturating at the greatest value.
    #[must_use]
    pub const fn plus_millis(self, millis: u64) -> Self {
        Self {
            millis: self.millis.saturating_add(millis),
        }
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}ms", self.millis)
    }
}
