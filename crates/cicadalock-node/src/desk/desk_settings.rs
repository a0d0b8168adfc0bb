use std::net::SocketAddr;
use std::time::Duration;

use cicadalock_core::id::HostName;

/// What the process beside an endpoint is told by its operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeskSettings {
    /// Name of the host.
    pub host: HostName,
    /// Where routers connect.
    pub listen: SocketAddr,
    /// Time between the signal to stop and the end of the process.
    pub grace: Duration,
}
