use super::CallerFailure;
use crate::id::{HostName, LinkId, RequestId};
use crate::message::{HeaderField, PeerMessage};

/// What the surroundings of a router machine are to do.
#[derive(Debug, Clone, PartialEq)]
pub enum RouterAction {
    /// Send a message.
    Send {
        /// Where to.
        link: LinkId,
        /// The message.
        message: PeerMessage,
    },
    /// Close a connection that no longer answers.
    Close(LinkId),
    /// Tell a caller something.
    Answer {
        /// Whose request.
        request: RequestId,
        /// What to tell.
        event: CallerEvent,
    },
}

/// What a caller is told; `Complete`, `Break` and `Fail` are the last event of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerEvent {
    /// The request was handed to the sidecar on a host.
    HandedOver(HostName),
    /// Status and header fields of the answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Header fields.
        headers: Vec<HeaderField>,
    },
    /// Part of the answer's body.
    Chunk(Vec<u8>),
    /// The answer is whole.
    Complete,
    /// The answer broke off after its head.
    Break,
    /// There is no answer of the endpoint.
    Fail(CallerFailure),
}

impl CallerEvent {
    /// Tells whether no event follows.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        matches!(self, Self::Complete | Self::Break | Self::Fail(_))
    }
}
