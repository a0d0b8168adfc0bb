use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// A load and the fleet that serves it, as a file tells them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// The engines' traits.
    pub engine: EngineSettings,
    /// Numbers of processes and the ways between them.
    pub fleet: FleetSettings,
    /// A customer that sends many times its usual.
    pub flood: Option<FloodSettings>,
    /// The customers.
    pub customers: CustomerSettings,
    /// Kinds of request.
    pub kinds: Vec<KindSettings>,
}

/// How an engine spends its time.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Requests in a batch at most.
    pub slots: u32,
    /// Tokens of its memory.
    pub memory_tokens: u64,
    /// Prompt tokens that one step reads at most.
    pub chunk_tokens: u32,
    /// Generated tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Time of a step, in microseconds.
    pub step_us: f64,
    /// Added for each running request, in microseconds.
    pub step_us_per_request: f64,
    /// Added for each 1,000 tokens in the memory of running requests, in microseconds.
    pub step_us_per_context_k: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// Added for each million pairs of tokens of which one attends to the other, in microseconds.
    pub read_us_per_pair_m: f64,
}

/// Numbers of processes and the ways between them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Engines, each with a desk.
    pub engines: usize,
    /// Routers.
    pub routers: usize,
    /// Part of the callers that each router gets, in turn.
    pub router_weights: Vec<f64>,
    /// Availability zones.
    pub zones: usize,
    /// One way between two processes, in microseconds.
    pub link_us: u64,
}

/// A customer that sends many times its usual.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FloodSettings {
    /// Number of the customer.
    pub customer: usize,
    /// Times its usual.
    pub factor: f64,
    /// When it begins, in seconds.
    pub from_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
}

/// The customers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSettings {
    /// How many there are.
    pub count: usize,
    /// Exponent of Zipf's law of their sizes.
    pub skew: f64,
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSettings {
    /// Its name.
    pub name: String,
    /// Requests a second.
    pub per_second: f64,
    /// Texts that requests share.
    pub subjects: usize,
    /// Exponent of Zipf's law of their heat.
    pub subject_skew: f64,
    /// Tokens of a shared text.
    pub shared_tokens: f64,
    /// Tokens of a request's own.
    pub own_tokens: SizeSettings,
    /// Tokens generated.
    pub output_tokens: SizeSettings,
    /// Time to the first event that earns full credit, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between events that earns full credit, in milliseconds.
    pub pause_ms: u64,
    /// Time after which the caller leaves, in milliseconds.
    pub deadline_ms: u64,
    /// Credit of a request of mean size.
    pub worth: f64,
    /// Its credit when late.
    pub late_worth: f64,
}

/// A log-normal size.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeSettings {
    /// Mean.
    pub mean: f64,
    /// Standard deviation of the logarithm.
    pub spread: f64,
    /// Greatest size.
    pub most: f64,
}

/// Why a load cannot be used.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The text is no load.
    #[snafu(display("cannot read the load: {source}"))]
    Unreadable {
        /// Cause.
        source: toml::de::Error,
    },
    /// A field has a value that cannot be.
    #[snafu(display("`{field}` must be above zero"))]
    NotPositive {
        /// The field.
        field: &'static str,
    },
    /// The flooding customer does not exist.
    #[snafu(display("`flood.customer` is {customer}, and there are {count} customers"))]
    NoSuchCustomer {
        /// Its number.
        customer: usize,
        /// How many there are.
        count: usize,
    },
}

impl KindSettings {
    /// Time to the first event that earns full credit.
    #[must_use]
    pub const fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Longest pause that earns full credit.
    #[must_use]
    pub const fn pause(&self) -> Duration {
        Duration::from_millis(self.pause_ms)
    }

    /// Time after which the caller leaves.
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
        for (field, value) in positive.into_iter().chain(kinds) {
            ensure!(value > 0.0, NotPositiveSnafu { field });
        }
        if let Some(flood) = &self.flood {
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
