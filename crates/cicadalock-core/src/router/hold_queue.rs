use std::collections::VecDeque;

use crate::collect::SortedMap;
use crate::id::{CustomerId, KindId, RequestId};

/// Identifies a queue: a router has one for each customer and kind.
pub(super) type QueueKey = (CustomerId, KindId);

/// Requests that wait to be handed over, in order of arrival, one queue per customer and kind.
#[derive(Debug, Clone, Default)]
pub(super) struct HoldQueue {
    queues: SortedMap<QueueKey, VecDeque<RequestId>>,
    total: usize,
}

impl HoldQueue {
    pub(super) fn push(&mut self, key: QueueKey, request: RequestId) {
        self.queues
            .get_or_insert_with(key, VecDeque::new)
            .push_back(request);
        self.total += 1;
    }

    /// Returns a request to the front of its queue.
    pub(super) fn push_front(&mut self, key: QueueKey, request: RequestId) {
        self.queues
            .get_or_insert_with(key, VecDeque::new)
            .push_front(request);
        self.total += 1;
    }

    /// Removes a request and returns whether it was in the queue.
    pub(super) fn remove(&mut self, key: QueueKey, request: RequestId) -> bool {
        let Some(queue) = self.queues.get_mut(&key) else {
            return false;
        };
        let Some(index) = queue.iter().position(|id| *id == request) else {
            return false;
        };
        queue.remove(index);
        self.total -= 1;
        if queue.is_empty() {
            self.queues.remove(&key);
        }
        true
    }

    pub(super) fn requests(&self, key: QueueKey) -> impl Iterator<Item = RequestId> {
        self.queues.get(&key).into_iter().flatten().copied()
    }

    pub(super) fn len(&self, key: QueueKey) -> usize {
        self.queues.get(&key).map_or(0, VecDeque::len)
    }

    /// Returns the newest request of a queue.
    pub(super) fn last(&self, key: QueueKey) -> Option<RequestId> {
        self.queues.get(&key)?.back().copied()
    }

    /// Iterates over the queues with requests and their lengths.
    pub(super) fn lengths(&self) -> impl Iterator<Item = (QueueKey, usize)> {
        self.queues.iter().map(|(key, queue)| (*key, queue.len()))
    }
}
