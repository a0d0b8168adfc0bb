use std::io;
use std::net::{SocketAddr, TcpListener};

use snafu::{ResultExt, Snafu};

/// Why a gateway or desk could not start or failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// The settings are missing or invalid.
    #[snafu(display("cannot load the settings: {problem}"))]
    Settings {
        /// Description for the operator.
        problem: String,
    },
    /// A listening socket cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address to bind.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread or a socket cannot be created.
    #[snafu(context(false), display("{source}"))]
    System {
        /// Error of the operating system.
        source: io::Error,
    },
}

impl ProcessError {
    pub(crate) fn settings(problem: impl std::fmt::Display) -> Self {
        Self::Settings {
            problem: problem.to_string(),
        }
    }
}

pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address).context(ListenSnafu { address })
}
