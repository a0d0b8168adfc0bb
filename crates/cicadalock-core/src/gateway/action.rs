use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::customer_tally::{CustomerShare, RefusalStage};
use crate::desk::UsageComparison;
use crate::id::{CustomerId, EndpointId, RequestId};
use crate::message::DeskMessage;
use crate::quarantine::GuardChange;

/// An operation that the caller of a [`GatewayMachine`](super::GatewayMachine) has to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayAction {
    /// Send a request to an endpoint.
    Start {
        /// Request to send.
        request: RequestId,
        /// Incarnation of the chosen endpoint.
        endpoint: EndpointId,
        /// Address on which the endpoint listens.
        address: SocketAddr,
        /// Time since the request was last queued; excludes earlier attempts.
        waited: Duration,
        /// Time to the first event, as predicted when the endpoint was chosen.
        expected: Duration,
    },
    /// Send a message to the desk of an endpoint.
    SendToDesk {
        /// Endpoint whose desk receives the message.
        endpoint: EndpointId,
        /// Message to send.
        message: DeskMessage,
    },
    /// Check whether an endpoint that broke requests accepts connections.
    CheckEndpoint {
        /// Endpoint to check.
        endpoint: EndpointId,
        /// Address on which the endpoint listens.
        address: SocketAddr,
    },
    /// Report that a part of prompts or a request is refused from now on, or no longer.
    ReportSuspect(GuardChange),
    /// Report that this number of entries of evidence from other routers are not valid.
    ReportInvalid(usize),
    /// Close the connection to a desk that stopped answering.
    CloseDesk(EndpointId),
    /// Tell a caller that its request is refused. It did not start since it was last queued, but an
    /// earlier attempt may have run.
    Refuse {
        /// Refused request.
        request: RequestId,
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Delay after which capacity is likely to be available.
        retry_after: Duration,
        /// What decided, for logs.
        detail: RefusalDetail,
    },
    /// Report what the customers of this router asked for and got since the last report.
    ReportShares(Vec<(CustomerId, CustomerShare)>),
}

/// What decided that a request is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefusalDetail {
    /// Customer of the request.
    pub customer: CustomerId,
    /// Where it was refused.
    pub stage: RefusalStage,
    /// Usage of the customer beside that of the one served most, as the desk knows it; `None` before
    /// any desk was asked.
    pub usage: Option<UsageComparison>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no usable endpoint.
    NoEndpoint,
    /// No endpoint can start the request before its latest useful start.
    NoRoomInTime,
    /// A part of the prompt crashes endpoints.
    CrashingPart,
    /// The request itself crashes endpoints.
    CrashingRequest,
}

/// Why a failed request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenial {
    /// The route's limit on endpoints per request is reached.
    Attempts,
    /// The retry budget of the service is used up.
    Budget,
    /// Too little time is left until the deadline.
    Time,
    /// The request may have run and must not run twice.
    MayHaveRun,
    /// The attempt beside which another one is to be made has ended.
    Ended,
}

impl RefusalReason {
    /// Returns a stable short name for logs and callers.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no-endpoint",
            Self::NoRoomInTime => "no-room-in-time",
            Self::CrashingPart => "crashing-part",
            Self::CrashingRequest => "crashing-request",
        }
    }

    /// Returns whether the same request would be refused again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::CrashingPart | Self::CrashingRequest)
    }
}

impl RetryDenial {
    /// Returns a stable short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Attempts => "attempts-used",
            Self::Budget => "repeat-budget-used",
            Self::Time => "no-time-left",
            Self::MayHaveRun => "may-have-run",
            Self::Ended => "ended",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl fmt::Display for RetryDenial {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
