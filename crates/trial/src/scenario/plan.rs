use std::path::PathBuf;
use std::time::Duration;

use super::FleetEvent;
use crate::fleet::FleetBuilder;
use crate::load::CallerGroup;

/// Settings of a scenario run, from the command line.
#[derive(Debug, Clone)]
pub struct ScenarioOptions {
    /// Duration of the load.
    pub length: Duration,
    /// Seed of the random costs, arrival times and choices of routers.
    pub seed: u64,
    /// Scheduling policy as named in the configuration, or [`DIRECT_POLICY`](super::DIRECT_POLICY).
    pub policy: String,
    /// Path of the trial binary, which also runs the stand-ins.
    pub program: PathBuf,
    /// Path of the product's binary; without it the trial binary runs the same code.
    pub binary: Option<PathBuf>,
    /// Overrides of the scenario's sizes.
    pub sizes: SizeOptions,
}

/// Overrides of a scenario's sizes; `None` keeps the scenario's own value.
#[derive(Debug, Clone, Copy, Default)]
pub struct SizeOptions {
    /// Number of routers.
    pub routers: Option<usize>,
    /// Number of endpoints of each service that the scenario uses.
    pub replicas: Option<usize>,
    /// Number of customers: at least 15 are configured, and only `waiting` varies how many send
    /// requests.
    pub customers: Option<usize>,
    /// Requests per second, in scenarios with an adjustable rate.
    pub rate: Option<u32>,
}

/// The fleet, load and events of one scenario.
#[derive(Debug, Clone)]
pub struct ScenarioPlan {
    /// Fleet to start.
    pub fleet: FleetBuilder,
    /// Groups of callers that make the load.
    pub groups: Vec<CallerGroup>,
    /// Events, with their time since the start of the load.
    pub events: Vec<(Duration, FleetEvent)>,
    /// Service whose fairness and utilisation are measured.
    pub service: String,
    /// Customers that always have requests waiting; the fairness gap is measured between them.
    pub backlogged: Vec<String>,
    /// Customer with little load whose latency is reported separately.
    pub small_customer: Option<String>,
    /// Start and end of the flood since the start of the load, and indices of the groups that cause
    /// it.
    pub flood: Option<(Duration, Duration, Vec<usize>)>,
}
