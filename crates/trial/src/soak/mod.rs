//! A randomized soak test of routers and desks.
//!
//! Routers and desks run as separate processes, callers send requests over connections that they
//! keep open, and faults are injected one after another and at the same time. The guarantees of the
//! system are checked against what callers and endpoints observe.
//!
//! The seed determines the faults, their times and the requests of the callers. The timing of real
//! processes varies, so the same seed repeats the plan but not the exact interleaving.
//!
//! # Example
//!
//! ```
//! use trial::soak::{FaultPlan, SoakSize};
//!
//! let (length, size) = (std::time::Duration::from_secs(5), SoakSize::scaled(1));
//! assert_eq!(FaultPlan::draw(7, length, size), FaultPlan::draw(7, length, size));
//! ```

mod fault_plan;
mod guarantees;
mod lasting_guarantees;
mod soak_callers;
mod soak_run;
mod soak_testbed;

pub use fault_plan::{
    FaultPlan, FaultStep, SilentGroup, SoakFault, SoakLink, SoakProcess, SoakSize,
};
pub use guarantees::{
    DisturbedPart, EndpointDeparture, EndpointSilence, GuaranteeViolation, NamedLimit,
    SoakDisturbance, SoakEvidence, TokenPeriod, find_violations,
};
pub use soak_callers::{CallKind, CallRecord};
pub use soak_run::{SoakOptions, SoakReport, run_soak};
