use std::ffi::OsString;
use std::process::ExitCode;

use super::check::{bundle, check};
use super::daemon::{run_router, run_sidecar};
use super::flags::{Cicadalock, CicadalockCmd, Status};
use crate::admin::{fetch_status, render_status};
use crate::desk::run_desk;
use crate::gateway::{GatewayDialect, run_gateway};
use crate::process::ProcessError;
use crate::settings::{RouterSettings, SettingsError, SidecarSettings};

/// The result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The command failed at run time.
    Failure,
    /// The arguments, settings or configuration files are invalid.
    Findings,
}

/// Runs the command that this process's arguments name.
#[must_use]
pub fn main<D: GatewayDialect>() -> ExitCode {
    ExitCode::from(run_command::<D, _>(std::env::args_os().skip(1)).code())
}

/// Runs one command with its arguments; `D` is the platform of gateways and desks.
pub fn run_command<D, I>(arguments: I) -> ExitStatus
where
    D: GatewayDialect,
    I: IntoIterator,
    I::Item: Into<OsString>,
{
    let arguments = arguments.into_iter().map(Into::into).collect();
    let flags = match Cicadalock::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            println!("{error}");
            return ExitStatus::Success;
        }
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Findings;
        }
    };
    match flags.subcommand {
        CicadalockCmd::Router(flags) => {
            run_daemon(RouterSettings::load(&flags.settings), run_router)
        }
        CicadalockCmd::Sidecar(flags) => {
            run_daemon(SidecarSettings::load(&flags.settings), run_sidecar)
        }
        CicadalockCmd::Gateway(_) => exit_status(run_gateway::<D>()),
        CicadalockCmd::Desk(_) => exit_status(run_desk::<D>()),
        CicadalockCmd::Check(flags) => check(&flags),
        CicadalockCmd::Bundle(flags) => bundle(&flags),
        CicadalockCmd::Status(flags) => print_status(&flags),
    }
}

impl ExitStatus {
    /// Returns the process's exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Findings => 2,
        }
    }
}

fn run_daemon<S>(
    settings: Result<S, SettingsError>,
    run: fn(S) -> Result<(), super::daemon::DaemonError>,
) -> ExitStatus {
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Findings;
        }
    };
    match run(settings) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::Failure
        }
    }
}

/// Prints the error of a gateway or desk, if any, and returns its exit status.
fn exit_status(result: Result<(), ProcessError>) -> ExitStatus {
    let Err(error) = result else {
        return ExitStatus::Success;
    };
    eprintln!("{error}");
    match error {
        ProcessError::Settings { .. } => ExitStatus::Findings,
        ProcessError::Listen { .. } | ProcessError::System { .. } => ExitStatus::Failure,
    }
}

fn print_status(flags: &Status) -> ExitStatus {
    match fetch_status(flags.address) {
        Ok(status) if flags.json => {
            println!("{status}");
            ExitStatus::Success
        }
        Ok(status) => {
            print!("{}", render_status(&status));
            ExitStatus::Success
        }
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::Failure
        }
    }
}
