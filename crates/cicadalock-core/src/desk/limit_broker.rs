use std::time::Duration;

use super::rate_limiter::fleet_rate;
use super::request_rate::RequestRate;
use crate::collect::SortedMap;
use crate::id::{EndpointId, LinkId};
use crate::message::{DemandFrame, ShareFrame};
use crate::time::ClockTime;

/// Time after which a router that says nothing has no share. Routers report every second.
const DEMAND_LIFETIME: Duration = Duration::from_millis(3_500);

/// Share of a router without demand, as a fraction of an even share; with it, new requests start.
const IDLE_FRACTION: f64 = 0.1;

/// Change of a share that is worth a message, as a fraction of the share.
const SHARE_TOLERANCE: f64 = 0.1;

/// Largest number of limited endpoints; further ones are not shared out.
const MAX_ENDPOINTS: usize = 1_024;

/// Shares the limits of endpoints without a desk of their own among routers, by their demand.
///
/// The routers choose the desk that does so for an endpoint. Nothing is lost with it: they report to
/// another one.
#[derive(Debug, Clone, Default)]
pub struct LimitBroker {
    endpoints: SortedMap<EndpointId, SharedLimit>,
}

#[derive(Debug, Clone)]
struct SharedLimit {
    limit: Option<RequestRate>,
    named_at: ClockTime,
    demands: SortedMap<LinkId, RouterDemand>,
}

#[derive(Debug, Clone, Copy)]
struct RouterDemand {
    demand: f64,
    reported_at: ClockTime,
    share_sent: f64,
}

impl LimitBroker {
    /// Handles a router's report; returns the messages to send. `routers` are all connected ones.
    ///
    /// The reporting router always gets an answer, the others if the limit or their share changed.
    pub fn report(
        &mut self,
        link: LinkId,
        frame: &DemandFrame,
        routers: &[LinkId],
        now: ClockTime,
    ) -> Vec<(LinkId, ShareFrame)> {
        let Ok(endpoint) = frame.endpoint.parse::<EndpointId>() else {
            return Vec::new();
        };
        self.expire(now);
        if !self.endpoints.contains_key(&endpoint) && self.endpoints.len() >= MAX_ENDPOINTS {
            return Vec::new();
        }
        let shared = self
            .endpoints
            .get_or_insert_with(endpoint, || SharedLimit::new(now));
        let has_changed = shared.learn(frame, now);
        let demand = RouterDemand {
            demand: f64::from(frame.demand).max(0.0),
            reported_at: now,
            share_sent: -1.0,
        };
        shared.demands.insert(link, demand);
        if has_changed {
            for router in routers {
                shared.demands.get_or_insert_with(*router, || RouterDemand {
                    demand: 0.0,
                    reported_at: now,
                    share_sent: -1.0,
                });
            }
        }
        let limit = shared.limit;
        let shares = shared.changed_shares(link, has_changed);
        let frames = shares.into_iter().map(|(router, share, phase)| {
            let frame = ShareFrame {
                phase,
                endpoint: frame.endpoint.clone(),
                limit: limit.map(RequestRate::get),
                share,
            };
            (router, frame)
        });
        frames.collect()
    }

    /// Removes a router whose connection ended.
    pub fn drop_link(&mut self, link: LinkId) {
        for shared in self.endpoints.values_mut() {
            shared.demands.remove(&link);
        }
    }

    fn expire(&mut self, now: ClockTime) {
        self.endpoints.retain(|_, shared| {
            shared
                .demands
                .retain(|_, demand| now.since(demand.reported_at) < DEMAND_LIFETIME);
            !shared.demands.is_empty()
        });
    }
}

impl SharedLimit {
    const fn new(now: ClockTime) -> Self {
        Self {
            limit: None,
            named_at: now,
            demands: SortedMap::new(),
        }
    }

    /// Applies what the router knows of the limit; returns whether that changes it.
    fn learn(&mut self, frame: &DemandFrame, now: ClockTime) -> bool {
        let age = Duration::from_millis(frame.age_ms.into());
        let limit = frame.limit.map(RequestRate::per_second);
        let is_newer = now.since(self.named_at) >= age;
        let has_changed = (is_newer || self.limit.is_none()) && limit != self.limit;
        if has_changed {
            self.limit = limit;
            self.named_at =
                ClockTime::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        }
        has_changed
    }

    /// Returns share and phase of the reporting router, and of the others whose share changed.
    fn changed_shares(&mut self, reporting: LinkId, is_for_all: bool) -> Vec<(LinkId, f64, f64)> {
        let limit = self.limit.map_or(0.0, |limit| fleet_rate(limit).get());
        let total: f64 = self.demands.values().map(|demand| demand.demand).sum();
        let idle = (total / self.demands.len() as f64 * IDLE_FRACTION).max(f64::MIN_POSITIVE);
        let weight = |demand: &RouterDemand| demand.demand.max(idle);
        let whole: f64 = self.demands.values().map(weight).sum();
        let mut shares = Vec::new();
        let count = self.demands.len() as f64;
        for (index, (link, demand)) in self.demands.iter_mut().enumerate() {
            let share = limit * demand.demand.max(idle) / whole;
            let change = (share - demand.share_sent).abs();
            let is_due = *link == reporting
                || is_for_all
                || change > demand.share_sent.max(share) * SHARE_TOLERANCE;
            if is_due {
                demand.share_sent = share;
                shares.push((*link, share, index as f64 / count));
            }
        }
        shares
    }
}
