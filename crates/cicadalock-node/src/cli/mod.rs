//! The command line of the `cicadalock` binary.
//!
//! Exit codes: 0 for success, 1 for a failure at run time, 2 for invalid arguments, settings or
//! configuration files.
//!
//! ```
//! use cicadalock_node::cli::{ExitStatus, run_command};
//! use cicadalock_node::gateway::GatewayDialect;
//!
//! /// Checks a configuration; works the same for every platform `D`.
//! fn check<D: GatewayDialect>(base: &str) -> ExitStatus {
//!     run_command::<D, _>(["check", "--base", base])
//! }
//! ```

mod check;
mod daemon;
mod flags;
mod run;

pub use run::{ExitStatus, main, run_command};
