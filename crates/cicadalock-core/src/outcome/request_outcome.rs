use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

/// Outcome of a request, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// The request ran and its answer is complete.
    Complete,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The text is not the name of a [`RequestOutcome`].
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not an outcome"))]
pub struct OutcomeError {
    text: String,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for RequestOutcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "complete" => Ok(Self::Complete),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => OutcomeSnafu { text }.fail(),
        }
    }
}
