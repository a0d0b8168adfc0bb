//! Measures of an experiment, as text, JSON and plots.

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
pub use measure::{ControlCount, GroupCount, ReportInput, RoleUse, TrialReport, WaitFigures};
pub use plot::draw_report;
pub use traces::TraceCollector;
pub use uses::process_uses;
