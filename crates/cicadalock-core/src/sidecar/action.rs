use crate::id::{CustomerId, FenceNumber, GrantId, KindId, LinkId};
use crate::message::{HandOver, PeerMessage};
use crate::outcome::StoredAnswer;
use crate::time::ClockTime;

/// Action that the caller of a [`SidecarMachine`](super::SidecarMachine) must perform.
#[derive(Debug, Clone, PartialEq)]
pub enum SidecarAction {
    /// Send a message.
    Send {
        /// Connection to send the message on.
        link: LinkId,
        /// Message to send.
        message: PeerMessage,
    },
    /// Close a connection.
    Close(LinkId),
    /// Call the endpoint.
    Start(Box<RunCommand>),
    /// Abort a call whose answer is no longer needed.
    Abort(GrantId),
    /// Extend the flow-control window of an answer, because the router has consumed part of it.
    Credit {
        /// Grant under which the request runs.
        grant: GrantId,
        /// Number of window units consumed.
        units: u32,
    },
}

/// Command to call the endpoint once.
#[derive(Debug, Clone, PartialEq)]
pub struct RunCommand {
    /// Grant under which the request runs.
    pub grant: GrantId,
    /// Connection that receives the answer.
    pub link: LinkId,
    /// Customer that is charged for the call.
    pub customer: CustomerId,
    /// Class of requests that the request belongs to.
    pub kind: KindId,
    /// Request as received from the router.
    pub request: HandOver,
    /// When the grant was offered.
    pub offered: ClockTime,
    /// When the request arrived.
    pub received: ClockTime,
    /// Latest time at which the call may start.
    pub start_by: ClockTime,
    /// Time after which the answer is no longer needed.
    pub deadline: ClockTime,
    /// Whether the call may be aborted once its answer is no longer needed.
    pub is_abortable: bool,
    /// Maximum size of an answer to store, in bytes; zero if the answer is not stored.
    pub keep_bytes: usize,
    /// Fencing number that lets the endpoint reject calls of an earlier sidecar process.
    pub fence: FenceNumber,
}

/// Result of a call to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The endpoint was not reached; the request did not run.
    NotReached,
    /// The latest start time had passed; the request did not run.
    TooLate,
    /// The answer is complete.
    Complete {
        /// HTTP status.
        status: u16,
        /// The answer, if it is to be stored and is small enough.
        kept: Option<StoredAnswer>,
    },
    /// The answer was truncated or missing; the request may have run.
    Broken,
    /// The call was aborted because its answer was no longer needed; the request may have run.
    Abandoned,
}
