/// Introduces the sender; the first frame that each side of a connection sends.
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
    /// Incarnation of the sender's process.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Random challenge that the peer's proof must cover.
    #[prost(bytes = "vec", tag = "5")]
    pub nonce: Vec<u8>,
    /// Whether the sender is draining and accepts no new work.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}

/// Proves knowledge of the fleet's key with a keyed hash over both [`Hello`]s.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Proof {
    /// Message authentication code (keyed hash).
    #[prost(bytes = "vec", tag = "1")]
    pub mac: Vec<u8>,
}

/// Number of requests that one customer has waiting for one kind.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BidLine {
    /// Customer id.
    #[prost(fixed32, tag = "1")]
    pub customer: u32,
    /// Kind id.
    #[prost(fixed32, tag = "2")]
    pub kind: u32,
    /// Number of waiting requests; zero withdraws the bid.
    #[prost(uint32, tag = "3")]
    pub count: u32,
}

/// Changes to a router's bids since its previous update.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BidUpdate {
    /// Changed bids; each replaces the earlier bid of the same customer and kind.
    #[prost(message, repeated, tag = "1")]
    pub lines: Vec<BidLine>,
}

/// Cost that a sidecar has charged to one customer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TotalLine {
    /// Customer id.
    #[prost(fixed32, tag = "1")]
    pub customer: u32,
    /// Cost charged since the sidecar started, in cost units.
    #[prost(sint64, tag = "2")]
    pub total: i64,
    /// Whether the customer has requests waiting at the sidecar.
    #[prost(bool, tag = "3")]
    pub backlogged: bool,
    /// Lead over the customer with the lowest position, in cost units divided by share; only in
    /// full reports.
    #[prost(float, tag = "4")]
    pub lead: f32,
    /// Part of `total` that is estimated for requests still running, in cost units.
    #[prost(sint64, tag = "5")]
    pub pending: i64,
}

/// Per-customer totals of a sidecar, exchanged between the sidecars of a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TotalsReport {
    /// Sequence number of the report within the sidecar's incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Totals that changed since the previous report; all totals in a full report.
    #[prost(message, repeated, tag = "2")]
    pub lines: Vec<TotalLine>,
}

/// A sidecar's view of which sidecars are homes, sent to the peers in its service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ViewMessage {
    /// Hash of the set of homes; peers with equal hashes agree on the homes.
    #[prost(fixed64, tag = "1")]
    pub set_hash: u64,
    /// Revision of the host list at which the set last changed.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sender's clock when the message was sent, in microseconds.
    #[prost(uint64, tag = "3")]
    pub stamp: u64,
    /// Newest `stamp` that the sender has received from the receiver; zero if none.
    #[prost(uint64, tag = "4")]
    pub echo: u64,
}

/// Announces that the sender stops accepting new work, or accepts it again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeavingNotice {
    /// Whether the sender accepts new work again.
    #[prost(bool, tag = "1")]
    pub is_back: bool,
}

/// Keep-alive message while work is outstanding.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ping {
    /// Asks the receiver to send all its bids again.
    #[prost(bool, tag = "1")]
    pub resync: bool,
}

/// Asks the receiver for its newest document of a kind.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FetchDocument {
    /// Document kind, encoded by `DocumentKind::to_wire`.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
}

/// A published document, such as the configuration or the host list.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DocumentMessage {
    /// Document kind, encoded by `DocumentKind::to_wire`.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Revision of the document; greater is newer.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Content of the document as it was published.
    #[prost(string, tag = "3")]
    pub text: String,
}
