//! Messages between the processes of the fleet, encoded with protocol buffers.
//!
//! Every message travels in an [`Envelope`] that carries the sender's document revisions, so that
//! whoever is behind can fetch from whoever is ahead. `docs/cicadalock.proto` describes the same
//! messages for readers.
//!
//! ```
//! use cicadalock_core::message::{Decline, Envelope, PeerMessage};
//! use prost::Message;
//!
//! let envelope = Envelope::new(PeerMessage::Decline(Decline { grant: 7, left: 0 }));
//! let bytes = envelope.encode_to_vec();
//! assert_eq!(Envelope::decode(bytes.as_slice())?, envelope);
//! # Ok::<(), prost::DecodeError>(())
//! ```

mod control;
mod desk;
mod envelope;
mod work;

pub use control::{
    BidLine, BidUpdate, DocumentMessage, FetchDocument, Hello, LeavingNotice, Ping, Proof,
    TotalLine, TotalsReport, ViewMessage,
};
pub use desk::{
    CustomerTotal, DeskAskFrame, DeskEnvelope, DeskHello, DeskMessage, DeskNotice,
    DeskRefusalFrame, DeskRun, DeskStateFrame, DeskSums, DeskTotals,
};
pub use envelope::{Envelope, PeerMessage};
pub use work::{
    AnswerChunk, AnswerEnd, AnswerHead, CancelWork, ClaimKey, ClaimReply, Decline, GrantOffer,
    HandOver, HandedKey, HeaderField, LedgerHandOff, ReadCredit, Refusal, ReleaseClaim,
    claim_verdict, end_state, refusal_reason,
};
