//! The command line of the trial binary.

mod flags;
mod run;

pub use run::main;
