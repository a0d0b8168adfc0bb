//! Named scenarios: each has a fleet, callers, and events that happen during the load.

mod catalogue;
mod event;
mod plan;
mod run;

pub use catalogue::{SCENARIOS, find_scenario};
pub use event::FleetEvent;
pub use plan::{ScenarioOptions, ScenarioPlan, SizeOptions};
pub use run::{DIRECT_POLICY, run_scenario};
