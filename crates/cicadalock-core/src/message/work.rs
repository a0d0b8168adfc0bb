/// Values of [`Refusal::reason`].
pub mod refusal_reason {
    /// The grant's lease has expired, or the sidecar does not know the grant.
    pub const LEASE_EXPIRED: u32 = 1;
    /// The sidecar could not connect to the endpoint.
    pub const ENDPOINT_DOWN: u32 = 2;
    /// The request was cancelled before it was run.
    pub const CANCELLED: u32 = 3;
    /// The caller's deadline passed before the request was run.
    pub const OUT_OF_TIME: u32 = 4;
    /// The request's idempotency key is not claimed by its router.
    pub const CLAIM_LOST: u32 = 5;
    /// The sidecar is draining and accepts no new work.
    pub const LEAVING: u32 = 6;
}

/// Values of [`AnswerEnd::state`].
pub mod end_state {
    /// The answer is complete.
    pub const COMPLETE: u32 = 1;
    /// The answer was truncated; the request may have run.
    pub const BROKEN: u32 = 2;
}

/// Values of [`ClaimReply::verdict`].
pub mod claim_verdict {
    /// The claim is granted; the request may run.
    pub const HELD: u32 = 1;
    /// The key was run already; the reply carries the stored answer.
    pub const REPLAY: u32 = 2;
    /// Another request holds the key or is running it.
    pub const IN_PROGRESS: u32 = 3;
    /// Whether the key was run is unknown.
    pub const UNKNOWN: u32 = 4;
    /// The key was used for a request with different content.
    pub const CONFLICT: u32 = 5;
    /// The key's timestamp is in the future.
    pub const FROM_FUTURE: u32 = 6;
    /// The ledger has no room for another key.
    pub const FULL: u32 = 7;
    /// This sidecar is not the key's home, or its view is not confirmed by its peers; the router
    /// claims again later.
    pub const UNSETTLED: u32 = 8;
}

/// A sidecar's offer to run one request of a customer and kind.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GrantOffer {
    /// Grant id, unique within the sidecar's incarnation.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    /// Customer id.
    #[prost(fixed32, tag = "2")]
    pub customer: u32,
    /// Kind id.
    #[prost(fixed32, tag = "3")]
    pub kind: u32,
}

/// A router's reply to a grant for which it has no request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Decline {
    /// Grant id, unique within the sidecar's incarnation.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    /// Number of requests of the customer and kind still waiting at the router.
    #[prost(uint32, tag = "2")]
    pub left: u32,
}

/// An HTTP header field.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HeaderField {
    /// Field name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Field value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// A router's reply to a grant: the request to run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandOver {
    /// Grant id, unique within the sidecar's incarnation.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    /// Number of requests of the customer and kind still waiting at the router.
    #[prost(uint32, tag = "2")]
    pub left: u32,
    /// Number of the request at the router.
    #[prost(uint64, tag = "3")]
    pub request: u64,
    /// HTTP method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// HTTP request target.
    #[prost(string, tag = "5")]
    pub target: String,
    /// Header fields to send to the endpoint.
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<HeaderField>,
    /// Request body.
    #[prost(bytes = "vec", tag = "7")]
    pub body: Vec<u8>,
    /// Time left until the caller's deadline, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub remaining_ms: u64,
    /// Idempotency key that the router has claimed for the request; empty if it has none.
    #[prost(string, tag = "9")]
    pub key: String,
    /// Customer id.
    #[prost(fixed32, tag = "10")]
    pub customer: u32,
    /// Kind id.
    #[prost(fixed32, tag = "11")]
    pub kind: u32,
}

/// The request of a grant was not run and will not be run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Refusal {
    /// Grant id, unique within the sidecar's incarnation.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    /// One of [`refusal_reason`].
    #[prost(uint32, tag = "2")]
    pub reason: u32,
}

/// Status and header fields of an answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AnswerHead {
    /// Grant id; zero in a replay.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    /// HTTP status code.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Header fields of the answer.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
}

/// Part of an answer's body.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AnswerChunk {
    /// Grant id, unique within the sidecar's incarnation.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    /// Offset of the chunk's first byte in the body, in bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Content of the chunk.
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
}

/// End of an answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AnswerEnd {
    /// Grant id, unique within the sidecar's incarnation.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    /// One of [`end_state`].
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// Length of the complete body, in bytes.
    #[prost(uint64, tag = "3")]
    pub length: u64,
}

/// Flow-control credit: the caller has read part of an answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReadCredit {
    /// Grant id, unique within the sidecar's incarnation.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
    /// Flow-control window units read since the last credit.
    #[prost(uint32, tag = "2")]
    pub units: u32,
}

/// Cancels the request of a grant.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CancelWork {
    /// Grant id, unique within the sidecar's incarnation.
    #[prost(uint64, tag = "1")]
    pub grant: u64,
}

/// Asks the home of an idempotency key whether a request may run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimKey {
    /// Number of the request at the router.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Customer id.
    #[prost(fixed32, tag = "2")]
    pub customer: u32,
    /// Kind id.
    #[prost(fixed32, tag = "3")]
    pub kind: u32,
    /// Idempotency key.
    #[prost(string, tag = "4")]
    pub key: String,
    /// SHA-256 of method, target and body.
    #[prost(bytes = "vec", tag = "5")]
    pub digest: Vec<u8>,
}

/// A home's reply to [`ClaimKey`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimReply {
    /// Number of the request at the router.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// One of [`claim_verdict`].
    #[prost(uint32, tag = "2")]
    pub verdict: u32,
    /// HTTP status code of the stored answer, in a replay.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Header fields of the stored answer, in a replay.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<HeaderField>,
    /// Body of the stored answer, in a replay.
    #[prost(bytes = "vec", tag = "5")]
    pub body: Vec<u8>,
}

/// Releases a claim whose request was not handed over to a sidecar.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReleaseClaim {
    /// Number of the request at the router.
    #[prost(uint64, tag = "1")]
    pub request: u64,
}

/// One ledger entry of a [`LedgerHandOff`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandOffKey {
    /// Customer id.
    #[prost(fixed32, tag = "1")]
    pub customer: u32,
    /// Idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// SHA-256 of method, target and body.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
    /// HTTP status code of the stored answer; zero if no answer is stored.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Header fields of the stored answer.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<HeaderField>,
    /// Body of the stored answer.
    #[prost(bytes = "vec", tag = "6")]
    pub body: Vec<u8>,
}

/// Ledger of a stopping sidecar, sent once it runs no more keys.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LedgerHandOff {
    /// Host name of the stopping sidecar.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of its process.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Start of the period that `keys` covers, in milliseconds since 1970; older keys may have been
    /// run by an earlier process.
    #[prost(uint64, tag = "3")]
    pub complete_since: u64,
    /// Keys that the sidecar ran.
    #[prost(message, repeated, tag = "4")]
    pub keys: Vec<HandOffKey>,
}
