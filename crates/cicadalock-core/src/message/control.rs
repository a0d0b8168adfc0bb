/// Who opens or accepts a connection.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// Host name of the sender.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Service of a sidecar; empty for a router.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Availability zone of the sender.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Run of the sender's process.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Random bytes that the other side's proof must cover.
    #[prost(bytes = "vec", tag = "5")]
    pub nonce: Vec<u8>,
    /// Whether the sender takes no new work.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}

/// Keyed hash over both hellos.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Proof {
    /// The hash.
    #[prost(bytes = "vec", tag = "1")]
    pub mac: Vec<u8>,
}

/// Waiting requests of one customer and kind.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BidLine {
    /// Customer id.
    #[prost(fixed32, tag = "1")]
    pub customer: u32,
    /// Kind id.
    #[prost(fixed32, tag = "2")]
    pub kind: u32,
    /// Number of requests; zero withdraws the bid.
    #[prost(uint32, tag = "3")]
    pub count: u32,
}

/// Changes of a router's waiting requests.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BidUpdate {
    /// Lines that changed; each replaces the earlier line of its customer and kind.
    #[prost(message, repeated, tag = "1")]
    pub lines: Vec<BidLine>,
}

/// One customer's total at a sidecar.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TotalLine {
    /// Customer id.
    #[prost(fixed32, tag = "1")]
    pub customer: u32,
    /// Cost charged since the sidecar's start, in cost units.
    #[prost(sint64, tag = "2")]
    pub total: i64,
    /// Whether the customer has requests waiting at the sidecar.
    #[prost(bool, tag = "3")]
    pub backlogged: bool,
    /// Lead over the least position, in cost units by share; only in full reports.
    #[prost(float, tag = "4")]
    pub lead: f32,
    /// Part of the total that is estimates of requests in work, in cost units.
    #[prost(sint64, tag = "5")]
    pub pending: i64,
}

/// Service totals of a sidecar.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TotalsReport {
    /// Number of the report within the sidecar's incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Customers that changed.
    #[prost(message, repeated, tag = "2")]
    pub lines: Vec<TotalLine>,
}

/// A sidecar's view of which sidecars are homes of keys.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ViewMessage {
    /// Hash of the set of homes.
    #[prost(fixed64, tag = "1")]
    pub set_hash: u64,
    /// Revision of the host list at which the set last changed.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sender's clock at sending, in microseconds.
    #[prost(uint64, tag = "3")]
    pub stamp: u64,
    /// Newest stamp that the sender has received from the other side; zero if none.
    #[prost(uint64, tag = "4")]
    pub echo: u64,
}

/// The sender takes no new work, or takes it again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeavingNotice {
    /// Whether the sender takes new work again.
    #[prost(bool, tag = "1")]
    pub is_back: bool,
}

/// Sign of life while work is outstanding.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ping {
    /// Whether the receiver is to tell all its bids again.
    #[prost(bool, tag = "1")]
    pub resync: bool,
}

/// Request for a document.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FetchDocument {
    /// Kind of the document, as numbered by `DocumentKind::to_wire`.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
}

/// A document.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DocumentMessage {
    /// Kind of the document, as numbered by `DocumentKind::to_wire`.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Revision of the document.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Text of the document.
    #[prost(string, tag = "3")]
    pub text: String,
}
