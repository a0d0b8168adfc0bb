//! A randomized soak: routers and desks of the product as processes, callers that keep their
//! connections, and faults from outside in series and overlapping. What is promised is judged from
//! what callers and endpoints see.
//!
//! The seed decides the faults, their times and the callers' requests. Real processes take their own
//! time, so a seed repeats the plan and not every interleaving.
//!
//! # Example
//!
//! ```
//! use trial::soak::FaultPlan;
//!
//! let plan = FaultPlan::draw(7, std::time::Duration::from_secs(5));
//! assert_eq!(plan, FaultPlan::draw(7, std::time::Duration::from_secs(5)));
//! ```

mod fault_plan;
mod soak_bed;
mod soak_callers;
mod soak_judge;
mod soak_run;

pub use fault_plan::{FaultPlan, FaultStep, SoakFault, SoakLink, SoakProcess};
pub use soak_callers::{CallKind, CallRecord};
pub use soak_judge::{Broken, SoakEvidence, judge};
pub use soak_run::{SoakOptions, SoakReport, run_soak};
