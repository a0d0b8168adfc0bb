//! Measures of an experiment, as text, JSON and plots.

mod measure;
mod plot;
mod render;
mod traces;

pub use measure::{ControlCount, GroupCount, ReportInput, TrialReport, WaitFigures};
pub use plot::draw_report;
pub use traces::TraceCollector;
