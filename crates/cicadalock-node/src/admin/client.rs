use std::net::SocketAddr;

use serde_json::Value;
use snafu::{ResultExt, Snafu};

/// Timeout of a status request, in seconds.
const STATUS_TIMEOUT_SECONDS: u64 = 5;

/// Why the status of a process could not be fetched.
#[derive(Debug, Snafu)]
pub enum StatusError {
    /// The process did not answer in time, or the connection failed.
    #[snafu(display("cannot reach {address}: {source}"))]
    Unreachable {
        /// Address of the status port.
        address: SocketAddr,
        /// Error of the HTTP request.
        source: minreq::Error,
    },
    /// The response body is not JSON.
    #[snafu(display("invalid status response from {address}: {source}"))]
    InvalidStatus {
        /// Address of the status port.
        address: SocketAddr,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Fetches the status of the process whose status port is at `address`.
///
/// # Errors
///
/// Returns an error if the process cannot be reached or the response body is not JSON.
pub fn fetch_status(address: SocketAddr) -> Result<Value, StatusError> {
    let url = format!("http://{address}/status");
    let response = minreq::get(url).with_timeout(STATUS_TIMEOUT_SECONDS).send();
    let response = response.context(UnreachableSnafu { address })?;
    serde_json::from_slice(response.as_bytes()).context(InvalidStatusSnafu { address })
}
