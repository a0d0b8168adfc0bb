use std::io;
use std::net::{SocketAddr, TcpListener};

use snafu::{ResultExt, Snafu};

/// Why a process could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// There are no usable settings.
    #[snafu(display("cannot use the settings: {problem}"))]
    Settings {
        /// What is wrong.
        problem: String,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A thread or a socket cannot be had.
    #[snafu(context(false), display("{source}"))]
    System {
        /// Cause.
        source: io::Error,
    },
}

impl ProcessError {
    /// Settings that cannot be used, with what is wrong.
    pub(crate) fn settings(problem: impl std::fmt::Display) -> Self {
        Self::Settings {
            problem: problem.to_string(),
        }
    }
}

/// Binds an address.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address).context(ListenSnafu { address })
}
