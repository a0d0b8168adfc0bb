use std::time::Duration;

use crate::desk::{EndpointDesk, GateLimits, WaitForecast};
use crate::place::{EndpointHealth, ReadRate};
use crate::serving::{ListedEndpoint, ServiceTraits};
use crate::time::ClockTime;

/// What a gateway knows of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointState {
    pub(super) listed: ListedEndpoint,
    /// Decides while no desk beside the endpoint is connected; always knows this router's runs.
    pub(super) desk: EndpointDesk,
    /// The desk beside the endpoint, which knows the runs of every router.
    pub(super) remote: Option<RemoteDesk>,
    pub(super) health: EndpointHealth,
    /// Requests of this gateway at the endpoint.
    pub(super) own_requests: u32,
    /// Another incarnation answered at the address.
    pub(super) is_replaced: bool,
}

/// A desk beside an endpoint, as its last words and what was asked since tell.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RemoteDesk {
    pub(super) rate: ReadRate,
    pub(super) forecast: WaitForecast,
    pub(super) last_message: ClockTime,
}

impl EndpointState {
    pub(super) fn new(listed: ListedEndpoint, traits: Option<&ServiceTraits>) -> Self {
        let limits = gate_limits(&listed, traits);
        Self {
            listed,
            desk: EndpointDesk::new(limits),
            remote: None,
            health: EndpointHealth::default(),
            own_requests: 0,
            is_replaced: false,
        }
    }

    /// Takes in a new entry of the same incarnation.
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
        self.listed = listed;
    }

    /// Tells whether new work may go there.
    pub(super) const fn is_usable(&self) -> bool {
        !self.listed.is_draining && !self.is_replaced
    }

    pub(super) fn is_suspect(&self, now: ClockTime) -> bool {
        self.health.is_suspect(now)
    }

    /// How fast the endpoint reads.
    pub(super) fn rate(&self) -> ReadRate {
        self.remote.map_or(self.desk.rate(), |remote| remote.rate)
    }

    /// Time until a request that asks now is expected to start.
    pub(super) fn expected_wait(&self, now: ClockTime) -> Duration {
        match &self.remote {
            Some(remote) => remote.forecast.at(now),
            None => self.desk.state(now).wait,
        }
    }
}

/// Requests kept at an application endpoint beyond its slots, as a part of them.
///
/// A short queue there hides the way to it; more would wait where nobody can leave.
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
