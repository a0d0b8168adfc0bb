use std::net::SocketAddr;

use serde_json::Value;
use snafu::{ResultExt, Snafu};

/// Longest time to wait for a status, in seconds.
const STATUS_TIMEOUT_SECONDS: u64 = 5;

/// Why a process's status could not be had.
#[derive(Debug, Snafu)]
pub enum StatusError {
    /// The process could not be reached.
    #[snafu(display("cannot reach {address}: {source}"))]
    Unreachable {
        /// Address of the status port.
        address: SocketAddr,
        /// Cause.
        source: minreq::Error,
    },
    /// The answer is not a status.
    #[snafu(display("{address} does not answer with a status: {source}"))]
    InvalidStatus {
        /// Address of the status port.
        address: SocketAddr,
        /// Cause.
        source: serde_json::Error,
    },
}

/// Reads the status of the process whose status port is at `address`.
///
/// # Errors
///
/// Fails if the process cannot be reached or does not answer with JSON.
pub fn fetch_status(address: SocketAddr) -> Result<Value, StatusError> {
    let url = format!("http://{address}/status");
    let answer = minreq::get(url).with_timeout(STATUS_TIMEOUT_SECONDS).send();
    let answer = answer.context(UnreachableSnafu { address })?;
    serde_json::from_slice(answer.as_bytes()).context(InvalidStatusSnafu { address })
}
