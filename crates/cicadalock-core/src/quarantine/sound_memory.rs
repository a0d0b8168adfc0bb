use std::time::Duration;

use super::suspect::Suspect;
use crate::collect::SortedMap;
use crate::id::ServiceName;
use crate::time::{ClockTime, PastTime};

/// Number of parts that are remembered; 64 bytes each.
const CAPACITY: usize = 4_096;

/// Time for which an answer on a part is remembered. Reports arrive within a few seconds of a crash.
const LIFETIME: Duration = Duration::from_secs(20);

/// The parts on which endpoints have recently written answers of this router's requests.
///
/// Bounded: while it is full, parts that it does not hold are not recorded.
#[derive(Debug, Clone, Default)]
pub struct SoundMemory {
    parts: SortedMap<(ServiceName, Suspect), PastTime>,
    cleaned_at: ClockTime,
}

impl SoundMemory {
    /// Records that an answer on `part` that began at `begun` did not crash its endpoint.
    pub fn record(
        &mut self,
        service: &ServiceName,
        suspect: Suspect,
        begun: PastTime,
        now: ClockTime,
    ) {
        if self.parts.len() >= CAPACITY {
            self.expire(now);
        }
        let key = (service.clone(), suspect);
        if let Some(last) = self.parts.get_mut(&key) {
            *last = begun.max(*last);
        } else if self.parts.len() < CAPACITY {
            self.parts.insert(key, begun);
        }
    }

    /// Returns when the latest recorded answer on `part` began.
    #[must_use]
    pub fn last(&self, service: &ServiceName, suspect: Suspect) -> Option<PastTime> {
        self.parts.get(&(service.clone(), suspect)).copied()
    }

    /// Returns the number of parts that are held.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is held.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Drops what is older than the lifetime, at most once a second.
    fn expire(&mut self, now: ClockTime) {
        if now.since(self.cleaned_at) >= Duration::from_secs(1) {
            self.cleaned_at = now;
            self.parts.retain(|_, begun| begun.age(now) < LIFETIME);
        }
    }
}
