use super::hold_queue::QueueKey;
use crate::collect::SortedMap;
use crate::id::{HostName, ServiceName};
use crate::time::ClockTime;

/// A connection to a sidecar, as the router sees it.
#[derive(Debug, Clone)]
pub(super) struct SidecarLink {
    pub(super) host: HostName,
    pub(super) service: ServiceName,
    /// Whether the sidecar has announced that it takes no new work.
    pub(super) is_leaving: bool,
    /// When the last message arrived, or a request was handed over to an idle sidecar.
    pub(super) last_heard: ClockTime,
    /// Number of requests handed over that have not ended.
    pub(super) outstanding: u32,
    /// Number of waiting requests last announced to the sidecar, by queue.
    pub(super) announced: SortedMap<QueueKey, u32>,
}

impl SidecarLink {
    pub(super) fn new(host: HostName, service: ServiceName, leaving: bool, now: ClockTime) -> Self {
        Self {
            host,
            service,
            is_leaving: leaving,
            last_heard: now,
            outstanding: 0,
            announced: SortedMap::new(),
        }
    }

    pub(super) fn announced(&self, key: QueueKey) -> u32 {
        self.announced.get(&key).copied().unwrap_or(0)
    }

    /// Records the count that the sidecar learns from a message.
    pub(super) fn set_announced(&mut self, key: QueueKey, count: u32) {
        if count == 0 {
            self.announced.remove(&key);
        } else {
            self.announced.insert(key, count);
        }
    }
}
