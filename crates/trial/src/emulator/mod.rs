//! Emulates a fleet with model engines in virtual time, to test scheduling decisions.
//!
//! The gateways and desks are the core's own state machines. The engines model batching, chunked
//! prefill, prefix caching and preemption. There are no processes and no network faults.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use trial::emulator::{EmulatorOptions, LoadFile, emulate};
//!
//! let load: LoadFile = include_str!("../../loads/lending.toml").parse().unwrap();
//! let options = EmulatorOptions { seed: 1, length: Duration::from_secs(2), ..EmulatorOptions::default() };
//! let table = emulate(&load, &options).unwrap();
//! assert!(table.credit_ratio() > 0.5);
//! ```

mod engine_model;
mod load_draw;
mod load_file;
mod outcome_table;
mod prefix_cache;
mod share_check;
mod virtual_fleet;
mod virtual_host;

pub use engine_model::{EngineEvent, EngineModel, EngineRequest};
pub use load_draw::{DrawnCall, draw_load};
pub use load_file::{
    CutSettings, EngineSettings, HostSettings, KindSettings, LoadError, LoadFile, SizeSettings,
    SlowdownSettings,
};
pub use outcome_table::{CallOutcome, OutcomeTable, plot_outcomes};
pub use share_check::ShareBreach;
pub use virtual_fleet::{EmulatorOptions, emulate};
