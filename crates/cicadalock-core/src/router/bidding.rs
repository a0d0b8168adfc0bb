use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::bid_planner::{INITIAL_FANOUT, needs_correction};
use super::hold_queue::QueueKey;
use super::machine::RouterMachine;
use super::request::HeldRequest;
use crate::collect::SortedMap;
use crate::id::LinkId;
use crate::message::{BidLine, BidUpdate, PeerMessage};
use crate::time::ClockTime;

impl RouterMachine {
    /// Returns the number of requests of a queue that `link` may run.
    pub(super) fn count_for(&self, link: LinkId, key: QueueKey) -> u32 {
        let eligible = self.queue.requests(key).filter(|id| {
            self.requests
                .get(id)
                .is_some_and(|request| request.can_run_on(link))
        });
        u32::try_from(eligible.count()).unwrap_or(u32::MAX)
    }

    /// Sends bids for the queues that changed. The pushing policies send none.
    pub(super) fn update_bids(&mut self, now: ClockTime) {
        if self.is_push() {
            self.dirty.clear();
            return;
        }
        let mut dirty = std::mem::take(&mut self.dirty);
        dirty.sort_unstable();
        dirty.dedup();
        let mut updates: SortedMap<LinkId, Vec<BidLine>> = SortedMap::new();
        for key in dirty {
            self.update_queue_bids(key, now, &mut updates);
        }
        for (link, lines) in updates.iter_mut() {
            let lines = std::mem::take(lines);
            self.send(*link, PeerMessage::Bid(BidUpdate { lines }));
        }
    }

    /// Collects the bid lines that sidecars need for a changed queue.
    ///
    /// A sidecar that is no longer eligible gets a count of zero.
    pub(super) fn update_queue_bids(
        &mut self,
        key: QueueKey,
        now: ClockTime,
        updates: &mut SortedMap<LinkId, Vec<BidLine>>,
    ) {
        let has_requests = self.queue.len(key) > 0;
        let is_full_fanout = self.planner.update(key, has_requests, now);
        let service = self.config.as_ref().and_then(|config| config.kind(key.1));
        let service = service.map(|kind| kind.service.clone());
        let candidates: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| Some(&link.service) == service.as_ref() && self.is_eligible(link))
            .map(|(id, _)| *id)
            .collect();
        let selected = self.select_links(&candidates, is_full_fanout, key);
        let recipients: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(id, link)| link.announced(key) > 0 || selected.binary_search(id).is_ok())
            .map(|(id, _)| *id)
            .collect();
        for link in recipients {
            let is_candidate = candidates.binary_search(&link).is_ok();
            let count = if is_candidate {
                self.count_for(link, key)
            } else {
                0
            };
            let Some(sidecar) = self.links.get_mut(&link) else {
                continue;
            };
            if needs_correction(sidecar.announced(key), count) {
                sidecar.set_announced(key, count);
                updates.get_or_insert_with(link, Vec::new).push(BidLine {
                    customer: key.0.get(),
                    kind: key.1.get(),
                    count,
                });
            }
        }
    }

    /// Returns the links to announce a queue to, sorted.
    ///
    /// Homes that hold the claim of a queued request are always included. Below full fan-out,
    /// sidecars that already have a bid count towards [`INITIAL_FANOUT`], and the rest are
    /// consecutive candidates from a pseudorandom start.
    pub(super) fn select_links(
        &mut self,
        candidates: &[LinkId],
        is_full_fanout: bool,
        key: QueueKey,
    ) -> Vec<LinkId> {
        let claimed = self
            .queue
            .requests(key)
            .filter_map(|id| self.requests.get(&id).and_then(HeldRequest::link));
        let mut selected: Vec<LinkId> = claimed.collect();
        if is_full_fanout || candidates.len() <= INITIAL_FANOUT {
            selected.extend(candidates);
        } else {
            let with_bid = candidates.iter().filter(|id| {
                self.links
                    .get(id)
                    .is_some_and(|link| link.announced(key) > 0)
            });
            let with_bid = with_bid.count();
            self.selection_count += 1;
            let start = xxh3_64_with_seed(&self.selection_count.to_le_bytes(), self.seed) as usize;
            for step in 0..INITIAL_FANOUT.saturating_sub(with_bid) {
                selected.push(candidates[start.wrapping_add(step) % candidates.len()]);
            }
        }
        selected.sort_unstable();
        selected.dedup();
        selected
    }
}
