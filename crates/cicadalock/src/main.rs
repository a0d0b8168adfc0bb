//! The `cicadalock` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    cicadalock_node::cli::main::<cicadalock_platform::PlatformDialect>()
}
