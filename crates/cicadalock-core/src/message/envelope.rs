use super::{
    AnswerChunk, AnswerEnd, AnswerHead, BidUpdate, CancelWork, ClaimKey, ClaimReply, Decline,
    DocumentMessage, FetchDocument, GrantOffer, HandOver, Hello, LeavingNotice, LedgerHandOff,
    Ping, Proof, ReadCredit, Refusal, ReleaseClaim, TotalsReport, ViewMessage,
};

/// One frame between a router and a sidecar, or between two sidecars.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Revision of the newest configuration that the sender holds; zero if it holds none.
    #[prost(uint64, tag = "1")]
    pub config_revision: u64,
    /// Revision of the newest host list that the sender holds; zero if it holds none.
    #[prost(uint64, tag = "2")]
    pub hosts_revision: u64,
    /// The message; absent if the sender only announces its revisions, or sent a type that this
    /// version does not know.
    #[prost(
        oneof = "PeerMessage",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24"
    )]
    pub message: Option<PeerMessage>,
}

impl Envelope {
    /// Wraps `message` with both revisions set to zero.
    #[must_use]
    pub const fn new(message: PeerMessage) -> Self {
        Self {
            config_revision: 0,
            hosts_revision: 0,
            message: Some(message),
        }
    }
}

/// A message between the processes of the fleet.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerMessage {
    /// First frame of a connection.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Second frame: proof that the sender knows the fleet's key.
    #[prost(message, tag = "4")]
    Proof(Proof),
    /// Changed bids of a router.
    #[prost(message, tag = "5")]
    Bid(BidUpdate),
    /// A sidecar's offer to run one request.
    #[prost(message, tag = "6")]
    Grant(GrantOffer),
    /// The router has no request for the grant.
    #[prost(message, tag = "7")]
    Decline(Decline),
    /// The request that the router runs on a grant.
    #[prost(message, tag = "8")]
    HandOver(HandOver),
    /// The request was not run and will not be run.
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
    /// Flow control: the caller has read part of an answer.
    #[prost(message, tag = "13")]
    Credit(ReadCredit),
    /// The router cancels a request.
    #[prost(message, tag = "14")]
    Cancel(CancelWork),
    /// Per-customer totals of a sidecar.
    #[prost(message, tag = "15")]
    Totals(TotalsReport),
    /// A sidecar's view of which sidecars are homes.
    #[prost(message, tag = "16")]
    View(ViewMessage),
    /// The sender stops accepting new work, or accepts it again.
    #[prost(message, tag = "17")]
    Leaving(LeavingNotice),
    /// Request for a document.
    #[prost(message, tag = "18")]
    Fetch(FetchDocument),
    /// A published document.
    #[prost(message, tag = "19")]
    Document(DocumentMessage),
    /// Keep-alive message while work is outstanding.
    #[prost(message, tag = "20")]
    Ping(Ping),
    /// Asks a key's home whether a request may run.
    #[prost(message, tag = "21")]
    Claim(ClaimKey),
    /// A home's reply to a claim.
    #[prost(message, tag = "22")]
    ClaimReply(ClaimReply),
    /// Ledger of a stopping sidecar, for its successor.
    #[prost(message, tag = "24")]
    HandOff(LedgerHandOff),
    /// The router releases a claim; the request was not run.
    #[prost(message, tag = "23")]
    Release(ReleaseClaim),
}

impl PeerMessage {
    /// Returns the message type's name, used as a label of metrics.
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

    /// Returns whether the message belongs to the transfer of a request or answer rather than to
    /// control traffic.
    #[must_use]
    pub const fn is_payload(&self) -> bool {
        matches!(
            self,
            Self::HandOver(_) | Self::Head(_) | Self::Chunk(_) | Self::End(_) | Self::Credit(_)
        )
    }
}
