use cicadalock_core::id::EndpointId;
use cicadalock_core::serving::{ListedEndpoint, ListingState};

/// What happened to the entry of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// It was written and names a usable endpoint.
    Ready,
    /// It was written and says that the endpoint is shutting down.
    Draining,
    /// It is of an earlier process or heartbeat than the last known one, and is ignored for a while.
    Outdated,
    /// It was replaced by one that cannot be decoded.
    Unreadable,
    /// It was removed, perhaps only because it could not be renewed during an outage of the store.
    Missing,
    /// It was removed, and the endpoint is no longer listed.
    Removed,
}

/// A change of one endpoint's entry, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointChange {
    /// The endpoint whose entry changed.
    pub endpoint: EndpointId,
    /// What happened to the entry.
    pub kind: ChangeKind,
    /// Start time of the endpoint's process, in milliseconds since 1970.
    pub started: u64,
    /// Number of the heartbeat that last wrote the entry.
    pub heartbeat: u64,
}

impl ChangeKind {
    /// Returns the name used in the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Outdated => "outdated",
            Self::Unreadable => "unreadable",
            Self::Missing => "missing",
            Self::Removed => "removed",
        }
    }
}

impl EndpointChange {
    /// Creates a change to the state that `listed` has.
    #[must_use]
    pub const fn of(endpoint: EndpointId, listed: &ListedEndpoint) -> Self {
        let kind = match listed.state {
            ListingState::Ready => ChangeKind::Ready,
            ListingState::Draining => ChangeKind::Draining,
            ListingState::Missing { .. } => ChangeKind::Missing,
        };
        Self::new(endpoint, kind, listed)
    }

    /// Creates a change of the entry that `listed` was decoded from.
    #[must_use]
    pub const fn new(endpoint: EndpointId, kind: ChangeKind, listed: &ListedEndpoint) -> Self {
        Self {
            endpoint,
            kind,
            started: listed.started,
            heartbeat: listed.heartbeat,
        }
    }
}
