//! Entry point of the `cicadalock` binary; the command line is defined in `cicadalock_node::cli`.

use std::process::ExitCode;

fn main() -> ExitCode {
    cicadalock_node::cli::main::<cicadalock_platform::PlatformDialect>()
}
