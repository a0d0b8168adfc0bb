use crate::id::{CustomerId, FenceNumber, GrantId, KindId, LinkId};
use crate::message::{HandOver, PeerMessage};
use crate::outcome::StoredAnswer;
use crate::time::ClockTime;

/// What the surroundings of a sidecar machine are to do.
#[derive(Debug, Clone, PartialEq)]
pub enum SidecarAction {
    /// Send a message.
    Send {
        /// Where to.
        link: LinkId,
        /// The message.
        message: PeerMessage,
    },
    /// Close a connection.
    Close(LinkId),
    /// Call the endpoint.
    Start(Box<RunOrder>),
    /// End a call whose answer nobody wants.
    Abort(GrantId),
    /// A router has taken part of an answer.
    Credit {
        /// Whose answer.
        grant: GrantId,
        /// Window units taken.
        units: u32,
    },
}

/// One call of the endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct RunOrder {
    /// Grant under which the request runs.
    pub grant: GrantId,
    /// Where the answer goes.
    pub link: LinkId,
    /// Customer that is charged.
    pub customer: CustomerId,
    /// Kind of the request.
    pub kind: KindId,
    /// The request.
    pub request: HandOver,
    /// When the grant was offered.
    pub offered: ClockTime,
    /// When the request came.
    pub received: ClockTime,
    /// The call must not begin later than this.
    pub start_by: ClockTime,
    /// When the answer is no longer of use.
    pub deadline: ClockTime,
    /// Whether the call is ended when its answer is no longer of use.
    pub is_abortable: bool,
    /// Greatest answer to be kept, in bytes; zero keeps none.
    pub keep_bytes: usize,
    /// Number by which the endpoint can refuse calls of an earlier sidecar.
    pub fence: FenceNumber,
}

/// How a call of the endpoint ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The endpoint was not reached; the request did not run.
    NotReached,
    /// The latest time to begin had passed; the request did not run.
    TooLate,
    /// The answer is whole.
    Complete {
        /// HTTP status.
        status: u16,
        /// The answer, if it was to be kept and is small enough.
        kept: Option<StoredAnswer>,
    },
    /// The answer broke off or did not come; the request may have run.
    Broken,
    /// The call was ended because nobody takes its answer; the request may have run.
    Abandoned,
}
