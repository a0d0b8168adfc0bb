use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{EndpointId, RequestId};
use crate::message::DeskMessage;

/// What the surroundings of a gateway are to do.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayAction {
    /// Send a request to an endpoint.
    Start {
        /// The request.
        request: RequestId,
        /// The endpoint's incarnation.
        endpoint: EndpointId,
        /// Where it listens.
        address: SocketAddr,
        /// Time that the request waited here.
        waited: Duration,
        /// Time to the first event that was expected when it was placed.
        expected: Duration,
    },
    /// Send a message to the desk beside an endpoint.
    SendToDesk {
        /// The endpoint.
        endpoint: EndpointId,
        /// The message.
        message: DeskMessage,
    },
    /// End the connection to a desk that is silent.
    CloseDesk(EndpointId),
    /// Tell a caller that its request did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When there is likely to be room.
        retry_after: Duration,
    },
}

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No endpoint of the service may be used.
    NoEndpoint,
    /// No endpoint can start it while it is of use.
    NoRoomInTime,
}

/// Why a failed request is not sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenial {
    /// The route allows no further endpoint.
    Attempts,
    /// Repeats have reached their part of all requests.
    Budget,
    /// Too little of the caller's time is left.
    Time,
    /// It may have run and must not run twice.
    MayHaveRun,
}

impl RefusalReason {
    /// Short name for logs and callers.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no-endpoint",
            Self::NoRoomInTime => "no-room-in-time",
        }
    }
}

impl RetryDenial {
    /// Short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Attempts => "attempts-used",
            Self::Budget => "repeat-budget-used",
            Self::Time => "no-time-left",
            Self::MayHaveRun => "may-have-run",
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
