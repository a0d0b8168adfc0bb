//! Callers: they send requests over HTTP and note what they were told.

mod call;
mod caller;

pub use call::{CallAnswer, CallPlan, CallVerdict, call};
pub use caller::{CallRecord, CallerGroup, LoadRun, LoadStyle};
