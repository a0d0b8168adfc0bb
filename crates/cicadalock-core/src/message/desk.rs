/// First frame of a router to a desk, on each connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskHello {
    /// Name of the router's host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Requests that the endpoint processes at once.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Tokens of its memory.
    #[prost(uint64, tag = "3")]
    pub memory: u64,
    /// Longest pause of streams that are on time, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub pause_ms: u32,
    /// Requests of this router that run there.
    #[prost(message, repeated, tag = "5")]
    pub runs: Vec<DeskRun>,
}

/// A request that runs at the endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskRun {
    /// The request, as when it asked.
    #[prost(message, optional, tag = "1")]
    pub ask: Option<DeskAskFrame>,
    /// Whether its prompt is read.
    #[prost(bool, tag = "2")]
    pub is_read: bool,
}

/// A request that wants to start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskAskFrame {
    /// Number of the request at the router.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Customer id.
    #[prost(fixed32, tag = "2")]
    pub customer: u32,
    /// Reading, in tokens without context.
    #[prost(float, tag = "3")]
    pub units: f32,
    /// Tokens in memory when the answer is whole.
    #[prost(uint64, tag = "4")]
    pub memory: u64,
    /// Charge, in cost units.
    #[prost(uint64, tag = "5")]
    pub cost: u64,
    /// Time until the latest start at which the answer can be on time, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub latest_ms: u32,
    /// Time until the latest start that is of use, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub until_ms: u32,
    /// What the customer received lately through this router, in cost units.
    #[prost(float, tag = "8")]
    pub received: f32,
}

/// What happened to a request at its router.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct DeskNotice {
    /// Number of the request at the router.
    #[prost(uint64, tag = "1")]
    pub request: u64,
}

/// A request will not start here.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct DeskRefusalFrame {
    /// Number of the request at the router.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// When there is likely to be room, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub come_back_ms: u32,
}

/// What a desk believes of its endpoint.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DeskStateFrame {
    /// Time until a request that asks now would start, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub wait_ms: u32,
    /// Tokens read in a millisecond.
    #[prost(float, tag = "2")]
    pub rate: f32,
    /// Requests that run.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

/// One frame between a router and a desk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskEnvelope {
    /// The message; none from a peer that knows newer ones.
    #[prost(oneof = "DeskMessage", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub message: Option<DeskMessage>,
}

/// What a frame between a router and a desk says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum DeskMessage {
    /// First frame of a router.
    #[prost(message, tag = "1")]
    Hello(DeskHello),
    /// A request wants to start.
    #[prost(message, tag = "2")]
    Ask(DeskAskFrame),
    /// A request no longer wants to start.
    #[prost(message, tag = "3")]
    Withdraw(DeskNotice),
    /// A request's prompt is read.
    #[prost(message, tag = "4")]
    FirstEvent(DeskNotice),
    /// A request is no longer at the endpoint.
    #[prost(message, tag = "5")]
    End(DeskNotice),
    /// A request may start.
    #[prost(message, tag = "6")]
    Grant(DeskNotice),
    /// A request will not start.
    #[prost(message, tag = "7")]
    Refuse(DeskRefusalFrame),
    /// What the desk believes; also its sign of life.
    #[prost(message, tag = "8")]
    State(DeskStateFrame),
    /// What customers received through the router; also its sign of life.
    #[prost(message, tag = "9")]
    Totals(DeskTotals),
    /// What customers received through all routers that the desk knows.
    #[prost(message, tag = "10")]
    Sums(DeskSums),
}

/// What customers received lately through the router that sends it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskTotals {
    /// Customers that received anything.
    #[prost(message, repeated, tag = "1")]
    pub lines: Vec<CustomerTotal>,
    /// Whether the desk is to answer with the sums over all routers.
    #[prost(bool, tag = "2")]
    pub wants_sums: bool,
}

/// What customers received lately through all routers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskSums {
    /// Customers that received anything.
    #[prost(message, repeated, tag = "1")]
    pub lines: Vec<CustomerTotal>,
}

/// What one customer received lately.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct CustomerTotal {
    /// Customer id.
    #[prost(fixed32, tag = "1")]
    pub customer: u32,
    /// Cost units, fading.
    #[prost(float, tag = "2")]
    pub received: f32,
}

impl From<DeskMessage> for DeskEnvelope {
    fn from(message: DeskMessage) -> Self {
        Self {
            message: Some(message),
        }
    }
}
