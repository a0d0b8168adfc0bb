use std::net::SocketAddr;
use std::time::Duration;

use cicadalock_core::id::HostName;

/// Settings of the desk of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeskSettings {
    /// Name of the host that the desk runs on.
    pub host: HostName,
    /// Address that routers connect to.
    pub listen: SocketAddr,
    /// Time between the stop signal and the end of the process.
    pub grace: Duration,
}
