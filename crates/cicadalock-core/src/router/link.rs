use super::hold_queue::QueueKey;
use crate::collect::SortedMap;
use crate::id::{HostName, ServiceName};
use crate::time::ClockTime;

/// A connection to a sidecar, as the router sees it.
#[derive(Debug, Clone)]
pub(super) struct SidecarLink {
    pub(super) host: HostName,
    pub(super) service: ServiceName,
    /// The sidecar has said that it takes no new work.
    pub(super) is_leaving: bool,
    pub(super) last_heard: ClockTime,
    /// Requests handed over that have not ended.
    pub(super) outstanding: u32,
    /// Waiting requests that the sidecar believes to be here.
    pub(super) told: SortedMap<QueueKey, u32>,
}

impl SidecarLink {
    pub(super) fn new(host: HostName, service: ServiceName, leaving: bool, now: ClockTime) -> Self {
        Self {
            host,
            service,
            is_leaving: leaving,
            last_heard: now,
            outstanding: 0,
            told: SortedMap::new(),
        }
    }

    pub(super) fn told(&self, key: QueueKey) -> u32 {
        self.told.get(&key).copied().unwrap_or(0)
    }

    /// Notes what the sidecar believes after a message.
    pub(super) fn set_announced(&mut self, key: QueueKey, count: u32) {
        if count == 0 {
            self.told.remove(&key);
        } else {
            self.told.insert(key, count);
        }
    }
}
