use std::sync::Arc;

use super::hold_queue::QueueKey;
use super::machine::RouterMachine;
use crate::collect::SortedMap;
use crate::config::{FleetConfig, SharingPolicy};
use crate::fair::{GrantScheduler, SchedulerPick};
use crate::id::{GrantId, LinkId, RequestId, ServiceName};
use crate::member::HostRole;
use crate::time::ClockTime;

/// Bit set in grant numbers that routers choose themselves under the pushing policies.
pub const PUSH_GRANT_BIT: u64 = 1 << 63;

/// Under the `Router` policy, a router keeps this many times its part of the slots in requests at
/// sidecars.
const WINDOW_FACTOR: u32 = 2;

/// State of the policies that push requests without grants; they exist for comparison with grants.
#[derive(Debug, Default)]
pub(super) struct PushScheduler {
    schedulers: SortedMap<ServiceName, GrantScheduler>,
    next_grant: u64,
}

impl PushScheduler {
    /// Replaces the schedulers, which only the `Router` policy has.
    pub(super) fn reconfigure(&mut self, config: &Arc<FleetConfig>) {
        self.schedulers.clear();
        if config.limits().policy == SharingPolicy::Router {
            for service in config.services() {
                let scheduler = config.scheduler(service).build();
                self.schedulers.insert(service.name.clone(), scheduler);
            }
        }
    }

    /// Picks the next request of a service and charges its estimated cost.
    ///
    /// The charge is never corrected, as a router knows only the estimates of its own picks.
    fn pick(&mut self, service: &ServiceName, now: ClockTime) -> Option<SchedulerPick> {
        self.schedulers.get_mut(service)?.pick(now)
    }

    fn next_grant(&mut self) -> GrantId {
        self.next_grant += 1;
        GrantId::new(PUSH_GRANT_BIT | self.next_grant)
    }
}

impl RouterMachine {
    /// Pushes waiting requests to the least loaded sidecars if the policy is a pushing one.
    pub(super) fn push_waiting(&mut self, now: ClockTime) {
        match self.policy() {
            SharingPolicy::Push => self.push_in_order(now),
            SharingPolicy::Router => self.push_fairly(now),
            SharingPolicy::Fleet | SharingPolicy::Sidecar => {}
        }
    }

    /// Pushes all waiting requests in order of arrival.
    fn push_in_order(&mut self, now: ClockTime) {
        let mut waiting: Vec<(ClockTime, RequestId, QueueKey)> = Vec::new();
        for (key, _) in self.queue.lengths() {
            for id in self.queue.requests(key) {
                let arrived = self
                    .requests
                    .get(&id)
                    .map_or(now, |request| request.arrived);
                waiting.push((arrived, id, key));
            }
        }
        waiting.sort_unstable();
        for (_, id, key) in waiting {
            self.push_one(id, key, now);
        }
    }

    /// Pushes requests in the order of this router's schedulers, within its window.
    fn push_fairly(&mut self, now: ClockTime) {
        let Some(config) = self.config.clone() else {
            return;
        };
        for service in config.services() {
            self.refresh_push_bids(&config, &service.name, now);
            while self.has_push_window(&service.name, service.slots) {
                let Some(pick) = self.push.pick(&service.name, now) else {
                    break;
                };
                let key = (pick.customer, pick.kind);
                let next = self.queue.requests(key).next();
                if !next.is_some_and(|id| self.push_one(id, key, now)) {
                    break;
                }
            }
        }
    }

    fn refresh_push_bids(&mut self, config: &FleetConfig, service: &ServiceName, now: ClockTime) {
        let lengths: Vec<(QueueKey, usize)> = self.queue.lengths().collect();
        let Some(scheduler) = self.push.schedulers.get_mut(service) else {
            return;
        };
        for customer in config.customers() {
            for kind in config
                .kinds()
                .iter()
                .filter(|kind| kind.service == *service)
            {
                let key = (customer.id, kind.id);
                let index = lengths.binary_search_by_key(&key, |(key, _)| *key);
                let count = index.map_or(0, |index| lengths[index].1 as u32);
                scheduler.set_bid(LinkId::new(0), customer.id, kind.id, count, now);
            }
        }
    }

    /// Returns whether the window of this router at the sidecars of a service has room.
    ///
    /// The window is the router's equal part of the slots, times [`WINDOW_FACTOR`].
    fn has_push_window(&self, service: &ServiceName, slots: u32) -> bool {
        let links = self.links.values().filter(|link| link.service == *service);
        let (count, outstanding) = links.fold((0, 0), |(count, sum), link| {
            (count + 1, sum + link.outstanding)
        });
        let routers = self
            .hosts
            .hosts()
            .iter()
            .filter(|host| host.role == HostRole::Router);
        let routers = (routers.count() as u32).max(1);
        outstanding < (WINDOW_FACTOR * slots * count / routers).max(1)
    }

    /// Hands a request to its least loaded sidecar; returns whether there is one.
    fn push_one(&mut self, id: RequestId, key: QueueKey, now: ClockTime) -> bool {
        let Some(service) = self
            .requests
            .get(&id)
            .map(|request| request.call.service.clone())
        else {
            return false;
        };
        let target = self
            .links
            .iter()
            .filter(|(_, link)| link.service == service && self.is_eligible(link))
            .filter(|(link, _)| {
                self.requests
                    .get(&id)
                    .is_some_and(|held| held.can_run_on(**link))
            })
            .min_by_key(|(_, link)| link.outstanding)
            .map(|(link, _)| *link);
        let Some(link) = target else {
            return false;
        };
        self.queue.remove(key, id);
        let grant = self.push.next_grant();
        self.hand_over(id, link, grant, 0, now);
        true
    }
}
