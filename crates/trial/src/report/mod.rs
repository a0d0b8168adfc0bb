//! Measures of an experiment, as text, JSON and plots.

mod measure;
mod plot;
mod render;
mod traces;

pub use measure::{
    ControlCount, GroupCount, ReportInput, RoleUse, TrialReport, WaitFigures, process_uses,
};
pub use plot::draw_report;
pub use traces::TraceCollector;
