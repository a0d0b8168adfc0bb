use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// The contents of a load file: a load and the fleet that serves it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// Performance of each engine.
    pub engine: EngineSettings,
    /// Numbers of processes and the network between them.
    pub fleet: FleetSettings,
    /// Temporary bursts, each of one customer's requests.
    #[serde(default)]
    pub floods: Vec<FloodSettings>,
    /// Number of customers and distribution of their requests.
    pub customers: CustomerSettings,
    /// Kinds of requests; at least one.
    pub kinds: Vec<KindSettings>,
}

/// Capacity of an engine and the time that its steps take.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Memory for running requests and cached prefixes, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of prompt tokens that one step prefills.
    pub chunk_tokens: u32,
    /// Number of generated tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Base time of a step, in microseconds.
    pub step_us: f64,
    /// Time that each running request adds to a step, in microseconds.
    pub step_us_per_request: f64,
    /// Time that each 1,000 tokens in the memory of running requests add to a step, in
    /// microseconds.
    pub step_us_per_context_k: f64,
    /// Number of prompt tokens prefilled in a millisecond, without the cost of attention.
    pub read_per_ms: f64,
    /// Time that each million pairs of a prompt token and a token it attends to add, in
    /// microseconds.
    pub read_us_per_pair_m: f64,
    /// Slow periods, as the machine of an engine has other work; none if it is absent.
    pub slowdown: Option<SlowdownSettings>,
}

/// Periods in which all work of an engine takes longer.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowdownSettings {
    /// Fraction of the periods that are slow.
    pub share: f64,
    /// Factor by which work takes longer in a slow period.
    pub factor: f64,
    /// Length of a period, in milliseconds.
    pub period_ms: u64,
}

/// Numbers of processes and the network between them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Number of engines, each with a desk.
    pub engines: usize,
    /// Number of routers.
    pub routers: usize,
    /// Relative share of requests for each router; the list repeats if there are more routers.
    pub router_weights: Vec<f64>,
    /// Number of availability zones.
    pub zones: usize,
    /// One-way network delay between two processes, in microseconds.
    pub link_us: u64,
    /// Processor time of the routers' hosts; unlimited if it is absent.
    pub hosts: Option<HostSettings>,
    /// Times in which routers reach no engine, although they reach the desks.
    #[serde(default)]
    pub cuts: Vec<CutSettings>,
}

/// A time in which a router reaches no engine.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutSettings {
    /// Index of the router.
    pub router: usize,
    /// Start, in seconds since the start of the load.
    pub from_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Time after which an attempt to connect fails, in milliseconds.
    pub fails_ms: u64,
}

/// Processor time of routers and what their work takes of it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Part of a core that each router has; the list repeats if there are more routers.
    pub cores: Vec<f64>,
    /// Time to read, place and send a request, in microseconds of a core.
    pub request_us: f64,
    /// Time to refuse a request, in microseconds of a core.
    pub refusal_us: f64,
    /// Time to pass on an event of a stream, in microseconds of a core.
    pub event_us: f64,
}

/// A temporary burst of one customer's requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FloodSettings {
    /// Number of the customer, from 0.
    pub customer: usize,
    /// Name of the kind of its requests; all kinds if it is absent.
    pub kind: Option<String>,
    /// Multiple of the customer's usual request rate; the fraction is ignored.
    pub factor: f64,
    /// Start of the burst, in seconds since the start of the load.
    pub from_s: f64,
    /// Duration of the burst, in seconds.
    pub for_s: f64,
}

/// Number of customers and distribution of their requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSettings {
    /// Number of customers.
    pub count: usize,
    /// Exponent of the Zipf distribution of requests over customers; 0 is uniform.
    pub skew: f64,
    /// Number of routers that the callers of one customer reach; all routers if it is absent.
    pub routers: Option<usize>,
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSettings {
    /// Name of the kind in the table of results.
    pub name: String,
    /// Mean number of requests a second, of all customers.
    pub per_second: f64,
    /// Number of different shared texts; each request's prompt begins with one of them.
    pub subjects: usize,
    /// Exponent of the Zipf distribution of requests over shared texts; 0 is uniform.
    pub subject_skew: f64,
    /// Length of each shared text, in tokens.
    pub shared_tokens: f64,
    /// Length of the rest of the prompt, which no other request has, in tokens.
    pub own_tokens: SizeSettings,
    /// Number of generated tokens.
    pub output_tokens: SizeSettings,
    /// Longest time to the first event that earns full credit, in milliseconds.
    pub objective_ms: u64,
    /// Longest gap between two events that earns full credit, in milliseconds.
    pub pause_ms: u64,
    /// Time after which the caller cancels the request, in milliseconds.
    pub deadline_ms: u64,
    /// Credit for a complete answer on time to a request of mean size.
    pub worth: f64,
    /// Credit for a complete but late answer to a request of mean size.
    pub late_worth: f64,
}

/// A log-normal distribution of sizes; drawn sizes are clamped to the range from 1 to `most`.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeSettings {
    /// Mean before clamping.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    pub spread: f64,
    /// Upper bound of drawn sizes.
    pub most: f64,
}

/// Why a load cannot be used.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The text is not valid TOML or does not have the fields of a load.
    #[snafu(display("cannot read the load: {source}"))]
    Unreadable {
        /// Error of the TOML parser, with its place.
        source: toml::de::Error,
    },
    /// A field that must be positive is zero or negative.
    #[snafu(display("`{field}` must be above zero"))]
    NotPositive {
        /// Path of the field in the file.
        field: &'static str,
    },
    /// The customer of the burst does not exist.
    #[snafu(display("`floods.customer` is {customer}, and there are {count} customers"))]
    NoSuchCustomer {
        /// Number in the file.
        customer: usize,
        /// Number of customers.
        count: usize,
    },
}

impl KindSettings {
    /// Returns the longest time to the first event that earns full credit.
    #[must_use]
    pub const fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Returns the longest gap between two events that earns full credit.
    #[must_use]
    pub const fn pause(&self) -> Duration {
        Duration::from_millis(self.pause_ms)
    }

    /// Returns the time after which the caller cancels the request.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

impl LoadFile {
    fn check(&self) -> Result<(), LoadError> {
        let positive = [
            ("engine.slots", f64::from(self.engine.slots)),
            ("engine.memory_tokens", self.engine.memory_tokens as f64),
            ("engine.chunk_tokens", f64::from(self.engine.chunk_tokens)),
            (
                "engine.tokens_per_event",
                f64::from(self.engine.tokens_per_event),
            ),
            ("engine.step_us", self.engine.step_us),
            ("engine.read_per_ms", self.engine.read_per_ms),
            ("fleet.engines", self.fleet.engines as f64),
            ("fleet.routers", self.fleet.routers as f64),
            (
                "fleet.router_weights",
                self.fleet.router_weights.iter().sum(),
            ),
            ("fleet.zones", self.fleet.zones as f64),
            ("customers.count", self.customers.count as f64),
            ("kinds", self.kinds.len() as f64),
        ];
        let kinds = self.kinds.iter().flat_map(|kind| {
            [
                ("kinds.per_second", kind.per_second),
                ("kinds.subjects", kind.subjects as f64),
                ("kinds.own_tokens.mean", kind.own_tokens.mean),
                ("kinds.output_tokens.mean", kind.output_tokens.mean),
                ("kinds.worth", kind.worth),
            ]
        });
        let slowdown = self.engine.slowdown.iter().flat_map(|slowdown| {
            [
                ("engine.slowdown.factor", slowdown.factor),
                ("engine.slowdown.period_ms", slowdown.period_ms as f64),
            ]
        });
        for (field, value) in positive.into_iter().chain(kinds).chain(slowdown) {
            ensure!(value > 0.0, NotPositiveSnafu { field });
        }
        for flood in &self.floods {
            let (customer, count) = (flood.customer, self.customers.count);
            ensure!(customer < count, NoSuchCustomerSnafu { customer, count });
        }
        Ok(())
    }
}

impl FromStr for LoadFile {
    type Err = LoadError;

    fn from_str(text: &str) -> Result<Self, LoadError> {
        let load: Self = toml::from_str(text).context(UnreadableSnafu)?;
        load.check()?;
        Ok(load)
    }
}
