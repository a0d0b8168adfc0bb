use std::path::PathBuf;
use std::time::Duration;

use super::FleetEvent;
use crate::fleet::FleetBuilder;
use crate::load::CallerGroup;

/// What a user sets for an experiment.
#[derive(Debug, Clone)]
pub struct ScenarioOptions {
    /// How long the load lasts.
    pub length: Duration,
    /// Seed of costs, arrivals and choices of routers.
    pub seed: u64,
    /// How customers are chosen, as in the configuration.
    pub policy: String,
    /// The trial binary.
    pub program: PathBuf,
    /// The product's binary, if it is another one.
    pub binary: Option<PathBuf>,
    /// Sizes that differ from those of the experiment.
    pub sizes: SizeOptions,
}

/// Sizes of an experiment.
#[derive(Debug, Clone, Copy, Default)]
pub struct SizeOptions {
    /// Number of routers.
    pub routers: Option<usize>,
    /// Number of endpoints of each service.
    pub replicas: Option<usize>,
    /// Number of customers.
    pub customers: Option<usize>,
    /// Requests a second, where the experiment has a rate of its own.
    pub rate: Option<u32>,
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct ScenarioPlan {
    /// The fleet.
    pub fleet: FleetBuilder,
    /// The callers.
    pub groups: Vec<CallerGroup>,
    /// What happens on the way, from the start of the load.
    pub events: Vec<(Duration, FleetEvent)>,
    /// Service whose fairness and utilisation are measured.
    pub service: String,
    /// Customers that always have requests waiting, whose gap is measured.
    pub backlogged: Vec<String>,
    /// Customer whose waits are reported apart.
    pub small: Option<String>,
    /// When a flood lasts, if there is one, and the groups that make it.
    pub flood: Option<(Duration, Duration, Vec<usize>)>,
}
