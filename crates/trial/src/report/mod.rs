//! Measurements of a scenario run, as text, JSON and plots.

mod callers;
mod control;
mod effects;
mod extremes;
mod fairness;
mod measure;
mod plot;
mod render;
mod traces;
mod uses;

pub(crate) use callers::percentile;
pub use measure::{ControlCount, GroupCount, LatencyStats, ReportInput, RoleUsage, TrialReport};
pub use plot::plot_report;
pub use traces::TraceCollector;
pub use uses::process_usage;
