//! Small stand-ins for what the fleet meets outside itself.
//!
//! Each speaks the protocol of `docs/INTERFACES.md` and keeps its own log of what it did, against
//! which the fleet's word is checked.

mod engine;
mod http;
mod ledger;
mod platform;
mod service;

pub use engine::{EngineOptions, run_engine};
pub use http::{StandinBody, respond, text_body};
pub use ledger::{EffectEntry, EffectLog, UsageEntry};
pub use platform::{PlatformMode, PlatformStandin, run_platform};
pub use service::{ServiceOptions, run_service};
