//! Stand-ins for the systems that the fleet depends on: the platform, model engines and plain
//! services.
//!
//! Each implements the protocol of `docs/INTERFACES.md`. The endpoints log the requests that they
//! receive, so that an experiment can compare the outcomes that callers are given with what ran.

mod effect_log;
mod engine;
mod http;
mod platform;
mod service;

pub use effect_log::{EffectEntry, EffectLog, UsageEntry};
pub use engine::{EngineOptions, run_engine};
pub use http::{StandinBody, respond, text_body};
pub use platform::{PlatformMode, PlatformStandin, run_platform};
pub use service::{ServiceOptions, run_service};
