use std::net::SocketAddr;
use std::time::Duration;

use crate::collect::SortedMap;
use crate::id::{EndpointId, ServiceName, ZoneName};

/// One endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Service that it is a replica of.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How much longer it is slow after its start.
    pub cold_remaining: Duration,
    /// Start of its process in milliseconds since 1970; zero if not told.
    pub started: u64,
}

/// Every endpoint that may be used, by the name of its incarnation.
pub type EndpointList = SortedMap<EndpointId, ListedEndpoint>;
