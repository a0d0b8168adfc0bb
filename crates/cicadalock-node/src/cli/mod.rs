//! The command line of the binary.
//!
//! Exit codes: 0 fine, 1 a failure at run time, 2 findings in the input.
//!
//! ```
//! use cicadalock_node::cli::{ExitStatus, run_command};
//!
//! assert_eq!(run_command(["check", "--base", "/does/not/exist"]), ExitStatus::Findings);
//! ```

mod check;
mod daemon;
mod flags;
mod run;

pub use run::{ExitStatus, main, run_command};
