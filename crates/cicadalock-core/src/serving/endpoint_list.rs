use std::net::SocketAddr;
use std::time::Duration;

use crate::collect::SortedMap;
use crate::id::{EndpointId, ServiceName, ZoneName};

/// An endpoint's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Service of which the endpoint is a replica.
    pub service: ServiceName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: ZoneName,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub is_draining: bool,
    /// Remaining warm-up time after its start, during which it is slow.
    pub cold_remaining: Duration,
    /// Start time of its process, in milliseconds since 1970; zero if unknown.
    pub started: u64,
    /// Number of the heartbeat that wrote the entry. It counts up from the start of the process.
    pub heartbeat: u64,
}

/// All listed endpoints, by the id of their incarnation.
pub type EndpointList = SortedMap<EndpointId, ListedEndpoint>;
