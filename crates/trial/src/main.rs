//! The `trial` binary: scenarios, stand-ins, and the product's own command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    trial::cli::main()
}
