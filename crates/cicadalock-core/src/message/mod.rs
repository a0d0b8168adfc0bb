//! Messages between the processes of the fleet, encoded with protocol buffers.
//!
//! Routers and sidecars exchange [`Envelope`]s, which carry the revisions of the sender's documents
//! so that a process with an older document can fetch the newer one from its peer. Routers and
//! desks exchange [`DeskEnvelope`]s. `docs/cicadalock.proto` documents the messages as a schema.
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
    ConfigNotice, CrashFrame, CustomerTotal, DemandFrame, DeskAskFrame, DeskEnvelope, DeskHello,
    DeskMessage, DeskNotice, DeskRefusalFrame, DeskRun, DeskStateFrame, DeskSums, DeskTotals,
    EvidenceFrame, LimitFrame, ShareFrame, SoundFrame, SuspectFrame, UsageFrame,
};
pub use envelope::{Envelope, PeerMessage};
pub use work::{
    AnswerChunk, AnswerEnd, AnswerHead, CancelWork, ClaimKey, ClaimReply, Decline, GrantOffer,
    HandOffKey, HandOver, HeaderField, LedgerHandOff, ReadCredit, Refusal, ReleaseClaim,
    claim_verdict, end_state, refusal_reason,
};
