use std::net::SocketAddr;
use std::time::Duration;

use crate::collect::SortedMap;
use crate::id::{EndpointId, ServiceName, ZoneName};
use crate::time::ClockTime;

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
    /// Whether it takes new requests.
    pub state: ListingState,
    /// Remaining warm-up time after its start, during which it is slow.
    pub cold_remaining: Duration,
    /// Start time of its process, in milliseconds since 1970; zero if unknown.
    pub started: u64,
    /// Number of the heartbeat that wrote the entry. It counts up from the start of the process.
    pub heartbeat: u64,
}

impl ListedEndpoint {
    /// Returns whether the entry was removed and may be renewed.
    #[must_use]
    pub const fn is_missing(&self) -> bool {
        matches!(self.state, ListingState::Missing { .. })
    }
}

/// What the platform's list says about an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingState {
    /// It takes new requests.
    Ready,
    /// It is shutting down and takes no new requests.
    Draining,
    /// Its entry was removed, perhaps only because it could not be renewed during an outage of the
    /// platform's store.
    Missing {
        /// Time from which the endpoint counts as gone unless its entry is back; `None` during the
        /// outage.
        until: Option<ClockTime>,
    },
}

impl ListingState {
    /// Returns whether the endpoint may still serve new requests at `now`.
    #[must_use]
    pub fn is_available(self, now: ClockTime) -> bool {
        self != Self::Draining && !self.is_expired(now)
    }

    /// Returns whether the endpoint is missing and counts as gone at `now`.
    #[must_use]
    pub fn is_expired(self, now: ClockTime) -> bool {
        matches!(self, Self::Missing { until: Some(until) } if now >= until)
    }
}

/// All listed endpoints, by the id of their incarnation.
pub type EndpointList = SortedMap<EndpointId, ListedEndpoint>;
