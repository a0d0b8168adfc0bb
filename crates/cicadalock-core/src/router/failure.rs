use std::time::Duration;

use crate::message::claim_verdict;
use crate::outcome::RequestOutcome;

/// Why a request has no response from its endpoint, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerFailure {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub outcome: RequestOutcome,
    /// Stable identifier of the problem.
    pub problem: &'static str,
    /// Delay after which the caller may retry, absent if no delay is advised.
    pub retry_after: Option<Duration>,
}

/// Retry delay advised to refused callers, such as those refused for lack of capacity.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl CallerFailure {
    /// The customer has reached its limit of waiting requests, or the request was shed to admit one
    /// of another customer.
    #[must_use]
    pub const fn over_bound() -> Self {
        Self::not_run(429, "customer-over-bound")
    }

    /// The router is at its limit of requests or of body bytes.
    #[must_use]
    pub const fn router_full() -> Self {
        Self::not_run(503, "router-full")
    }

    /// No endpoint accepted the request in time.
    #[must_use]
    pub const fn no_capacity() -> Self {
        Self::not_run(503, "no-capacity-in-time")
    }

    /// The router is stopping.
    #[must_use]
    pub const fn stopping() -> Self {
        Self::not_run(503, "router-stopping")
    }

    /// The request was handed over, but its result did not arrive in time.
    #[must_use]
    pub const fn timed_out() -> Self {
        Self::unknown(504, "no-end-heard-in-time")
    }

    /// The response of the endpoint was cut short.
    #[must_use]
    pub const fn broken() -> Self {
        Self::unknown(502, "answer-broke-off")
    }

    /// The home of the request's key did not reply in time.
    #[must_use]
    pub const fn home_silent() -> Self {
        Self::unknown(504, "key-home-silent")
    }

    /// Converts a verdict of the key's home that does not let the request run.
    ///
    /// Any other verdict reports that the request may have run.
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
