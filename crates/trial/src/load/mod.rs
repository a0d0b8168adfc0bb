//! Callers, which send requests over HTTP and record the responses.

mod call;
mod caller;

pub use call::{CallAnswer, CallPlan, CallVerdict, call};
pub use caller::{CallRecord, CallerGroup, LoadRun, LoadStyle};
