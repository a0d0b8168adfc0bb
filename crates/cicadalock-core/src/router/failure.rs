use std::time::Duration;

use crate::message::claim_verdict;
use crate::outcome::RequestOutcome;

/// Why a request has no answer of its endpoint, as the caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerFailure {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: RequestOutcome,
    /// Short name of the problem.
    pub problem: &'static str,
    /// When it is sensible to try again.
    pub retry_after: Option<Duration>,
}

/// Advice to callers that were refused for want of capacity.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl CallerFailure {
    /// The customer has as many requests waiting as it may have.
    #[must_use]
    pub const fn over_bound() -> Self {
        Self::not_run(429, "customer-over-bound")
    }

    /// The router holds as many requests as it can.
    #[must_use]
    pub const fn router_full() -> Self {
        Self::not_run(503, "router-full")
    }

    /// No endpoint took the request in time.
    #[must_use]
    pub const fn no_capacity() -> Self {
        Self::not_run(503, "no-capacity-in-time")
    }

    /// The router stops.
    #[must_use]
    pub const fn stopping() -> Self {
        Self::not_run(503, "router-stopping")
    }

    /// The request was handed over and no end was heard in time.
    #[must_use]
    pub const fn timed_out() -> Self {
        Self::unknown(504, "no-end-heard-in-time")
    }

    /// The answer of the endpoint broke off.
    #[must_use]
    pub const fn broken() -> Self {
        Self::unknown(502, "answer-broke-off")
    }

    /// The home of the request's key gave no word in time.
    #[must_use]
    pub const fn home_silent() -> Self {
        Self::unknown(504, "key-home-silent")
    }

    /// What a verdict of the key's home means to the caller.
    #[must_use]
    pub const fn from_verdict(verdict: u32) -> Self {
        match verdict {
            claim_verdict::IN_PROGRESS => Self {
                retry_after: Some(RETRY_AFTER),
                ..Self::unknown(409, "key-in-progress")
            },
            claim_verdict::CONFLICT => Self {
                retry_after: None,
                ..Self::not_run(422, "key-used-for-another-request")
            },
            claim_verdict::FROM_FUTURE => Self::not_run(400, "key-from-the-future"),
            claim_verdict::FULL => Self::not_run(503, "key-table-full"),
            _ => Self::unknown(409, "key-may-have-run"),
        }
    }

    const fn not_run(status: u16, problem: &'static str) -> Self {
        Self {
            status,
            outcome: RequestOutcome::NotRun,
            problem,
            retry_after: Some(RETRY_AFTER),
        }
    }

    const fn unknown(status: u16, problem: &'static str) -> Self {
        Self {
            status,
            outcome: RequestOutcome::Unknown,
            problem,
            retry_after: None,
        }
    }
}
