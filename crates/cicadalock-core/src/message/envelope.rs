use super::{
    AnswerChunk, AnswerEnd, AnswerHead, BidUpdate, CancelWork, ClaimKey, ClaimReply, Decline,
    DocumentMessage, FetchDocument, GrantOffer, HandOver, Hello, LeavingNotice, LedgerHandOff,
    Ping, Proof, ReadCredit, Refusal, ReleaseClaim, TotalsReport, ViewMessage,
};

/// One frame between two processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Revision of the newest configuration that the sender holds.
    #[prost(uint64, tag = "1")]
    pub config_revision: u64,
    /// Revision of the newest host list that the sender holds.
    #[prost(uint64, tag = "2")]
    pub hosts_revision: u64,
    /// The message; none if the sender only tells its revisions or knows a newer message type.
    #[prost(
        oneof = "PeerMessage",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24"
    )]
    pub message: Option<PeerMessage>,
}

impl Envelope {
    /// Wraps `message` without revisions.
    #[must_use]
    pub const fn new(message: PeerMessage) -> Self {
        Self {
            config_revision: 0,
            hosts_revision: 0,
            message: Some(message),
        }
    }
}

/// What a frame says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerMessage {
    /// First frame of a connection.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Second frame: knowledge of the fleet's key.
    #[prost(message, tag = "4")]
    Proof(Proof),
    /// Waiting requests of a router.
    #[prost(message, tag = "5")]
    Bid(BidUpdate),
    /// Offer of a sidecar to run one request.
    #[prost(message, tag = "6")]
    Grant(GrantOffer),
    /// A grant is not needed.
    #[prost(message, tag = "7")]
    Decline(Decline),
    /// The request for a grant.
    #[prost(message, tag = "8")]
    HandOver(HandOver),
    /// The request was not run.
    #[prost(message, tag = "9")]
    Refusal(Refusal),
    /// Status and header fields of an answer.
    #[prost(message, tag = "10")]
    Head(AnswerHead),
    /// Part of an answer's body.
    #[prost(message, tag = "11")]
    Chunk(AnswerChunk),
    /// End of an answer.
    #[prost(message, tag = "12")]
    End(AnswerEnd),
    /// The caller has taken part of an answer.
    #[prost(message, tag = "13")]
    Credit(ReadCredit),
    /// The request is no longer wanted.
    #[prost(message, tag = "14")]
    Cancel(CancelWork),
    /// Service totals of a sidecar.
    #[prost(message, tag = "15")]
    Totals(TotalsReport),
    /// A sidecar's view of the homes of keys.
    #[prost(message, tag = "16")]
    View(ViewMessage),
    /// The sender takes no new work, or takes it again.
    #[prost(message, tag = "17")]
    Leaving(LeavingNotice),
    /// Request for a document.
    #[prost(message, tag = "18")]
    Fetch(FetchDocument),
    /// A document.
    #[prost(message, tag = "19")]
    Document(DocumentMessage),
    /// Sign of life while work is outstanding.
    #[prost(message, tag = "20")]
    Ping(Ping),
    /// Question to a key's home.
    #[prost(message, tag = "21")]
    Claim(ClaimKey),
    /// Answer of a key's home.
    #[prost(message, tag = "22")]
    ClaimReply(ClaimReply),
    /// Keys that a stopped sidecar ran, kept for its successor.
    #[prost(message, tag = "24")]
    HandOff(LedgerHandOff),
    /// A claim is given back without a run.
    #[prost(message, tag = "23")]
    Release(ReleaseClaim),
}

impl PeerMessage {
    /// Name of the message type, for counters.
    #[must_use]
    pub const fn type_name(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Proof(_) => "proof",
            Self::Bid(_) => "bid",
            Self::Grant(_) => "grant",
            Self::Decline(_) => "decline",
            Self::HandOver(_) => "hand_over",
            Self::Refusal(_) => "refusal",
            Self::Head(_) => "head",
            Self::Chunk(_) => "chunk",
            Self::End(_) => "end",
            Self::Credit(_) => "credit",
            Self::Cancel(_) => "cancel",
            Self::Totals(_) => "totals",
            Self::View(_) => "view",
            Self::Leaving(_) => "leaving",
            Self::Fetch(_) => "fetch",
            Self::Document(_) => "document",
            Self::Ping(_) => "ping",
            Self::Claim(_) => "claim",
            Self::ClaimReply(_) => "claim_reply",
            Self::HandOff(_) => "hand_off",
            Self::Release(_) => "release",
        }
    }

    /// Tells whether the message carries a caller's request or answer rather than control.
    #[must_use]
    pub const fn is_payload(&self) -> bool {
        matches!(
            self,
            Self::HandOver(_) | Self::Head(_) | Self::Chunk(_) | Self::End(_) | Self::Credit(_)
        )
    }
}
