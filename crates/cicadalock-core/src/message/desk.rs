/// First frame that a router sends to a desk on each connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskHello {
    /// Host name of the router.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Number of requests that the endpoint processes concurrently.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Capacity of the endpoint's memory, in tokens.
    #[prost(uint64, tag = "3")]
    pub memory: u64,
    /// Longest pause between events at which a stream is still on time, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub pause_ms: u32,
    /// Requests of this router that are already running at the endpoint.
    #[prost(message, repeated, tag = "5")]
    pub runs: Vec<DeskRun>,
    /// Version of the configuration that the router has in force; absent before the first.
    #[prost(uint64, optional, tag = "6")]
    pub config_version: Option<u64>,
}

/// A request that is already running at the endpoint when its router connects to the desk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskRun {
    /// The ask that the router would send for the request.
    #[prost(message, optional, tag = "1")]
    pub ask: Option<DeskAskFrame>,
    /// Whether the endpoint has finished prefilling the prompt.
    #[prost(bool, tag = "2")]
    pub is_read: bool,
}

/// A request's ask for admission.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskAskFrame {
    /// Number of the request at the router.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Customer id.
    #[prost(fixed32, tag = "2")]
    pub customer: u32,
    /// Prefill work, as the equivalent number of tokens prefilled without preceding context.
    #[prost(float, tag = "3")]
    pub units: f32,
    /// Memory that the request occupies when its answer is complete, in tokens.
    #[prost(uint64, tag = "4")]
    pub memory: u64,
    /// Cost charged to the customer, in cost units.
    #[prost(uint64, tag = "5")]
    pub cost: u64,
    /// Time left until the latest start that can still meet the target latency, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub latest_ms: u32,
    /// Time left until the latest start that is still useful to the caller, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub until_ms: u32,
    /// Exponentially decayed cost that the customer received through this router, in cost units.
    #[prost(float, tag = "8")]
    pub received: f32,
}

/// Names the request that a message without further content is about.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct DeskNotice {
    /// Number of the request at the router.
    #[prost(uint64, tag = "1")]
    pub request: u64,
}

/// The desk refuses to admit a request.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DeskRefusalFrame {
    /// Number of the request at the router.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Expected time until the endpoint has capacity, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub come_back_ms: u32,
    /// Whether the endpoint's limit is the reason, so that other endpoints may have room.
    #[prost(bool, tag = "3")]
    pub is_limited: bool,
    /// Whether the request waited in line until its latest useful start passed.
    #[prost(bool, tag = "4")]
    pub is_overdue: bool,
    /// Recent usage of the request's customer, as the desk knows it; for logs.
    #[prost(message, optional, tag = "5")]
    pub own: Option<UsageFrame>,
    /// Recent usage of the customer served most, as the desk knows it; for logs.
    #[prost(message, optional, tag = "6")]
    pub best: Option<UsageFrame>,
}

/// Recent usage of a customer.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct UsageFrame {
    /// Exponentially decayed cost through all routers, in cost units.
    #[prost(float, tag = "1")]
    pub received: f32,
    /// Time since the router that contributes most reported its part, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// A desk's estimate of its endpoint's load.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DeskStateFrame {
    /// Expected wait of a request that asks now, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub wait_ms: u32,
    /// Prefill rate, in tokens per millisecond.
    #[prost(float, tag = "2")]
    pub rate: f32,
    /// Number of requests running at the endpoint.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests per second that the endpoint takes from all routers together; absent without a limit.
    #[prost(double, optional, tag = "4")]
    pub limit: Option<f64>,
    /// Number of routers that are connected to the desk.
    #[prost(uint32, tag = "5")]
    pub routers: u32,
    /// Newest version of the configuration that other routers are known to have in force.
    #[prost(uint64, optional, tag = "6")]
    pub newest_config: Option<u64>,
    /// Whether the desk has run for long enough that all routers are connected.
    #[prost(bool, tag = "7")]
    pub knows_routers: bool,
}

/// One frame between a router and a desk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskEnvelope {
    /// The message; absent if the peer sent a type that this version does not know.
    #[prost(
        oneof = "DeskMessage",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15"
    )]
    pub message: Option<DeskMessage>,
}

/// A message between a router and a desk.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum DeskMessage {
    /// First frame that a router sends.
    #[prost(message, tag = "1")]
    Hello(DeskHello),
    /// Router to desk: a request asks for admission.
    #[prost(message, tag = "2")]
    Ask(DeskAskFrame),
    /// Router to desk: the ask of a request is withdrawn.
    #[prost(message, tag = "3")]
    Withdraw(DeskNotice),
    /// Router to desk: the endpoint has prefilled the request's prompt and sent its first event.
    #[prost(message, tag = "4")]
    FirstEvent(DeskNotice),
    /// Router to desk: the request has left the endpoint.
    #[prost(message, tag = "5")]
    End(DeskNotice),
    /// Desk to router: the request may start.
    #[prost(message, tag = "6")]
    Grant(DeskNotice),
    /// Desk to router: the request is not admitted.
    #[prost(message, tag = "7")]
    Refuse(DeskRefusalFrame),
    /// Desk to router: estimated load of the endpoint; doubles as the desk's keep-alive.
    #[prost(message, tag = "8")]
    State(DeskStateFrame),
    /// Router to desk: cost received by customers through the router; doubles as its keep-alive.
    #[prost(message, tag = "9")]
    Totals(DeskTotals),
    /// Desk to router: cost received by customers through all routers that the desk knows.
    #[prost(message, tag = "10")]
    Sums(DeskSums),
    /// Both directions: evidence of parts of prompts that crash endpoints. A desk passes on what it
    /// did not know.
    #[prost(message, tag = "11")]
    Evidence(EvidenceFrame),
    /// Router to desk: the limit that the desk's endpoint named, or its end.
    #[prost(message, tag = "12")]
    Limit(LimitFrame),
    /// Router to desk: the limit of an endpoint without a desk, and the router's demand there.
    #[prost(message, tag = "13")]
    Demand(DemandFrame),
    /// Desk to router: the router's share of such a limit.
    #[prost(message, tag = "14")]
    Share(ShareFrame),
    /// Router to desk: the router has a newer configuration in force.
    #[prost(message, tag = "15")]
    Config(ConfigNotice),
}

/// The configuration that a router has in force.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ConfigNotice {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Decayed cost that customers received through the sending router.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskTotals {
    /// Customers with a non-zero total.
    #[prost(message, repeated, tag = "1")]
    pub lines: Vec<CustomerTotal>,
    /// Asks the desk to reply with the sums over all routers.
    #[prost(bool, tag = "2")]
    pub wants_sums: bool,
}

/// Decayed cost that customers received through all routers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DeskSums {
    /// Customers with a non-zero total.
    #[prost(message, repeated, tag = "1")]
    pub lines: Vec<CustomerTotal>,
}

/// Decayed cost that one customer received.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct CustomerTotal {
    /// Customer id.
    #[prost(fixed32, tag = "1")]
    pub customer: u32,
    /// Cost received, exponentially decayed, in cost units.
    #[prost(float, tag = "2")]
    pub received: f32,
}

/// The limit that an endpoint named in an answer.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LimitFrame {
    /// Requests per second from all routers together; absent if the limit has ended.
    #[prost(double, optional, tag = "1")]
    pub limit: Option<f64>,
    /// Time since the answer, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// The limit of an endpoint without a desk, and a router's demand there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DemandFrame {
    /// Id of the endpoint's incarnation.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Requests per second from all routers together; absent if the limit has ended.
    #[prost(double, optional, tag = "2")]
    pub limit: Option<f64>,
    /// Time since the endpoint named the limit, or was found to name none, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Requests per second for the endpoint's service that the router receives.
    #[prost(float, tag = "4")]
    pub demand: f32,
}

/// A router's share of an endpoint's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShareFrame {
    /// Id of the endpoint's incarnation.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Requests per second from all routers together; absent if the limit has ended.
    #[prost(double, optional, tag = "2")]
    pub limit: Option<f64>,
    /// The router's share of the limit, in requests per second.
    #[prost(double, tag = "3")]
    pub share: f64,
    /// From 0 to 1, differs between routers: when a small share comes.
    #[prost(double, tag = "4")]
    pub phase: f64,
}

/// Evidence of parts of prompts that crash endpoints, and of parts that do not.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvidenceFrame {
    /// Crashes of endpoints, as routers saw them.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<CrashFrame>,
    /// Answers that did not crash their endpoints.
    #[prost(message, repeated, tag = "2")]
    pub sound: Vec<SoundFrame>,
}

/// A crash of an endpoint, as one router saw it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashFrame {
    /// Random number of the process that wrote the report.
    #[prost(fixed64, tag = "1")]
    pub reporter: u64,
    /// Number of the report at that process.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// Name of the endpoint's service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Id of the endpoint's incarnation.
    #[prost(string, tag = "4")]
    pub endpoint: String,
    /// Time since the crash, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub crashed_age_ms: u32,
    /// Requests that may have caused it.
    #[prost(message, repeated, tag = "6")]
    pub requests: Vec<SuspectFrame>,
}

/// A request that may have crashed its endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectFrame {
    /// Time since it was sent to the endpoint, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub started_age_ms: u32,
    /// Ids of the parts of its prompt that other requests may share.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
    /// Digest of the request, 16 bytes; empty from routers that compute none.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
}

/// A part or a request on which an endpoint wrote an answer without harm.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SoundFrame {
    /// Name of the endpoint's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Id of the part; not used if there is a digest.
    #[prost(fixed64, tag = "2")]
    pub part: u64,
    /// Time since the answer began, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub begun_age_ms: u32,
    /// Digest of the request that was answered, 16 bytes; empty if the answer is on a part.
    #[prost(bytes = "vec", tag = "4")]
    pub digest: Vec<u8>,
}

impl EvidenceFrame {
    /// Returns whether the message holds nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty()
    }
}

impl From<DeskMessage> for DeskEnvelope {
    fn from(message: DeskMessage) -> Self {
        Self {
            message: Some(message),
        }
    }
}
