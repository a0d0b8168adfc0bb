use crate::collect::SortedMap;
use crate::id::ServiceName;
use crate::time::PastTime;

use super::suspect::Suspect;

/// Number of requests in a generation; 64 bytes each.
const GENERATION_SIZE: usize = 512;

/// The requests that endpoints answered last, of this router's requests.
///
/// Unlike parts of prompts, most requests are sent once only. Two generations bound the memory: a full one
/// replaces the one before, so that at least [`GENERATION_SIZE`] requests are remembered.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentRequests {
    current: SortedMap<(ServiceName, Suspect), PastTime>,
    previous: SortedMap<(ServiceName, Suspect), PastTime>,
}

impl RecentRequests {
    /// Records that an answer to the request that began at `begun` did not crash its endpoint.
    pub(super) fn record(&mut self, service: &ServiceName, request: Suspect, begun: PastTime) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        let key = (service.clone(), request);
        let last = self.current.get_or_insert_with(key, || begun);
        *last = begun.max(*last);
    }

    /// Returns when the latest recorded answer to the request began.
    pub(super) fn last(&self, service: &ServiceName, request: Suspect) -> Option<PastTime> {
        let key = (service.clone(), request);
        let current = self.current.get(&key).copied();
        current.max(self.previous.get(&key).copied())
    }
}
