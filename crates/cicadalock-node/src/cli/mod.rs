//! The command line of the binary.
//!
//! Exit codes: 0 fine, 1 a failure at run time, 2 findings in the input.
//!
//! ```
//! use cicadalock_node::cli::{ExitStatus, run_command};
//! use cicadalock_node::gateway::GatewayDialect;
//!
//! /// Checks a configuration, whatever platform the binary is built for.
//! fn check<D: GatewayDialect>(base: &str) -> ExitStatus {
//!     run_command::<D, _>(["check", "--base", base])
//! }
//! ```

mod check;
mod daemon;
mod flags;
mod run;

pub use run::{ExitStatus, main, run_command};
