//! Experiments by name: a fleet, callers, and events on the way.

mod catalogue;
mod event;
mod plan;
mod run;

pub use catalogue::{SCENARIOS, find_scenario};
pub use event::FleetEvent;
pub use plan::{ScenarioOptions, ScenarioPlan, SizeOptions};
pub use run::{DIRECT, run_scenario};
