use std::time::Duration;

use super::endpoint_limits::EndpointLimit;
use crate::desk::{EndpointDesk, GateLimits, WaitForecast};
use crate::place::{EndpointHealth, PrefillRate};
use crate::serving::{ListedEndpoint, ServiceTraits};
use crate::time::ClockTime;

/// State that a gateway keeps for one endpoint.
#[derive(Debug)]
pub(super) struct EndpointState {
    pub(super) listed: ListedEndpoint,
    /// Local desk, which admits requests while the endpoint's own desk is not connected.
    ///
    /// It always tracks the requests that this router runs at the endpoint.
    pub(super) desk: EndpointDesk,
    /// The endpoint's own desk, which tracks the requests of all routers; none while disconnected.
    pub(super) remote: Option<RemoteDesk>,
    pub(super) health: EndpointHealth,
    /// Number of this gateway's requests that run at the endpoint.
    pub(super) own_requests: u32,
    /// Whether another incarnation answered at the address.
    pub(super) is_replaced: bool,
    /// Whether its missing entry is taken to mean that it has left.
    pub(super) is_presumed_gone: bool,
    /// The limit that it named; `None` if it never did.
    pub(super) limit: Option<EndpointLimit>,
    /// When this incarnation became known.
    pub(super) known_since: ClockTime,
    /// Whether it said in an answer that it leaves.
    pub(super) is_leaving: bool,
    /// End of the pause that it asked for.
    pub(super) paused_until: ClockTime,
}

/// Last reported state of an endpoint's desk, with the requests asked since added to the forecast.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RemoteDesk {
    pub(super) rate: PrefillRate,
    pub(super) forecast: WaitForecast,
    pub(super) last_message: ClockTime,
    /// Time that one request takes at the endpoint's limit; zero without one.
    pub(super) spacing: Duration,
    /// Number of routers that are connected to the desk.
    pub(super) routers: u32,
}

impl EndpointState {
    pub(super) fn new(
        listed: ListedEndpoint,
        traits: Option<&ServiceTraits>,
        known_since: ClockTime,
    ) -> Self {
        let limits = gate_limits(&listed, traits);
        let is_presumed_gone = listed.is_missing();
        Self {
            listed,
            desk: EndpointDesk::new(limits),
            remote: None,
            health: EndpointHealth::default(),
            own_requests: 0,
            is_replaced: false,
            is_presumed_gone,
            limit: None,
            known_since,
            is_leaving: false,
            paused_until: ClockTime::default(),
        }
    }

    /// Applies a changed list entry of the same incarnation.
    pub(super) fn update_listing(
        &mut self,
        listed: ListedEndpoint,
        traits: Option<&ServiceTraits>,
    ) {
        let pause = self.desk.gate().limits().pause;
        let limits = GateLimits {
            pause,
            ..gate_limits(&listed, traits)
        };
        self.desk.gate_mut().set_limits(limits);
        if listed.is_missing() != self.listed.is_missing() {
            self.is_presumed_gone = listed.is_missing();
        }
        self.listed = listed;
    }

    /// Returns whether new requests may be sent to the endpoint at `now`.
    pub(super) fn is_usable(&self, now: ClockTime) -> bool {
        self.takes_requests(now) && !self.is_paused(now)
    }

    /// Returns whether the endpoint takes new requests at `now`, or will after its pause.
    pub(super) fn takes_requests(&self, now: ClockTime) -> bool {
        self.listed.state.is_available(now)
            && !self.is_replaced
            && !self.is_presumed_gone
            && !self.is_leaving
    }

    pub(super) fn is_paused(&self, now: ClockTime) -> bool {
        now < self.paused_until
    }

    pub(super) fn is_suspect(&self, now: ClockTime) -> bool {
        self.health.is_suspect(now)
    }

    /// Returns the endpoint's prefill rate, preferably as its own desk reported it.
    pub(super) fn rate(&self) -> PrefillRate {
        self.remote.map_or(self.desk.rate(), |remote| remote.rate)
    }

    /// Returns the expected time until a request that asks now starts.
    pub(super) fn expected_wait(&self, now: ClockTime) -> Duration {
        match &self.remote {
            Some(remote) => remote.forecast.at(now),
            None => self.desk.state(now).wait,
        }
    }
}

/// Requests queued at an application endpoint beyond its slots, as a fraction of the slots.
///
/// A short queue at the endpoint hides the network latency. Further requests wait at the router,
/// because a request cannot be withdrawn from the endpoint's queue.
const APPLICATION_QUEUE_FRACTION: f64 = 0.5;

fn gate_limits(listed: &ListedEndpoint, traits: Option<&ServiceTraits>) -> GateLimits {
    let memory = traits.and_then(|traits| traits.engine_tokens);
    match memory {
        Some(memory) => GateLimits::engine(listed.slots, memory),
        None => {
            let ahead = (f64::from(listed.slots) * APPLICATION_QUEUE_FRACTION).ceil() as u32;
            GateLimits::application(listed.slots + ahead)
        }
    }
}
