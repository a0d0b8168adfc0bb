//! Model engines and a fleet in virtual time: the core's own routers and desks decide, engines batch,
//! read in chunks, keep prefixes and preempt. No processes, no network faults: a test of decisions.
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
mod virtual_fleet;

pub use engine_model::{EngineEvent, EngineModel, EngineRequest};
pub use load_draw::{DrawnCall, draw_load};
pub use load_file::{EngineSettings, KindSettings, LoadError, LoadFile, SizeSettings};
pub use outcome_table::{CallOutcome, OutcomeTable, plot_outcomes};
pub use virtual_fleet::{EmulatorOptions, emulate};
