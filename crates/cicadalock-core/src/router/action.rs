use super::CallerFailure;
use crate::id::{HostName, LinkId, RequestId};
use crate::message::{HeaderField, PeerMessage};

/// An action that the process embedding a router machine carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum RouterAction {
    /// Sends a message to a sidecar.
    Send {
        /// Connection to send on.
        link: LinkId,
        /// Message to send.
        message: PeerMessage,
    },
    /// Closes the connection to a sidecar that no longer responds.
    Close(LinkId),
    /// Passes an event to the caller of a request.
    Answer {
        /// Request that the event belongs to.
        request: RequestId,
        /// Event to pass on.
        event: CallerEvent,
    },
}

/// Progress of a request as reported to its caller.
///
/// `Complete`, `Break` and `Fail` are terminal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// The request was handed to the sidecar on a host.
    HandedOver(HostName),
    /// The response started.
    Head {
        /// HTTP status code.
        status: u16,
        /// Response header fields.
        headers: Vec<HeaderField>,
    },
    /// Next part of the response body.
    Chunk(Vec<u8>),
    /// The response ended and is complete.
    Complete,
    /// The response was cut short after its head.
    Break,
    /// The request failed without a response from the endpoint.
    Fail(CallerFailure),
}

impl CallerEvent {
    /// Returns whether this is the last event of its request.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        matches!(self, Self::Complete | Self::Break | Self::Fail(_))
    }
}
