use super::action::GatewayAction;
use super::endpoint_state::EndpointState;
use super::machine::GatewayMachine;
use crate::desk::{RequestRate, fleet_rate};
use crate::id::EndpointId;
use crate::message::{DemandFrame, DeskMessage, LimitFrame, ShareFrame};
use crate::place::rendezvous_score;
use crate::time::{ClockTime, PastTime};

/// The limit of an endpoint as this router knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct EndpointLimit {
    /// Requests that the endpoint takes from all routers together; `None` once the limit has ended.
    pub(super) rate: Option<RequestRate>,
    /// When the endpoint last named it, or was found to name none.
    pub(super) named_at: PastTime,
    /// This router's share, as long as no desk of the endpoint decides.
    pub(super) share: Option<RequestRate>,
    /// From 0 to 1, differs between routers: when a small share comes.
    pub(super) phase: f64,
}

impl GatewayMachine {
    /// Records the limit that an endpoint named in the answer to a request sent at `sent`, or that it
    /// named none.
    ///
    /// Returns the limit that was known before if it has changed.
    pub fn record_limit(
        &mut self,
        endpoint: &EndpointId,
        rate: Option<RequestRate>,
        sent: ClockTime,
        now: ClockTime,
    ) -> Option<Option<RequestRate>> {
        let own_phase = self.guard.phase();
        let state = self.endpoints.get_mut(endpoint)?;
        let before = state.limit.and_then(|limit| limit.rate);
        // Only a request that was sent after the limit was named can tell that it has ended.
        let known_at = state.limit.map(|limit| limit.named_at);
        let is_outdated = known_at.is_some_and(|known| PastTime::from(sent) < known);
        if rate.is_none() && (before.is_none() || is_outdated) {
            return None;
        }
        let has_changed = before != rate;
        state.limit = Some(EndpointLimit {
            rate,
            named_at: now.into(),
            share: state.limit.and_then(|limit| limit.share),
            phase: state.limit.map_or(own_phase, |limit| limit.phase),
        });
        if !has_changed {
            return None;
        }
        self.apply_limit(endpoint, now);
        self.report_limit(endpoint, now);
        Some(before)
    }

    /// Applies the limit that an endpoint's own desk told.
    pub(super) fn receive_limit(
        &mut self,
        endpoint: &EndpointId,
        rate: Option<RequestRate>,
        now: ClockTime,
    ) {
        let own_phase = self.guard.phase();
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if state.limit.and_then(|limit| limit.rate) == rate {
            return;
        }
        state.limit = Some(EndpointLimit {
            rate,
            named_at: now.into(),
            share: None,
            phase: own_phase,
        });
        self.apply_limit(endpoint, now);
    }

    /// Applies this router's share of a limit that is shared out by the desk of another endpoint.
    pub(super) fn receive_share(&mut self, frame: &ShareFrame, now: ClockTime) {
        let Ok(endpoint) = frame.endpoint.parse::<EndpointId>() else {
            self.actions.push(GatewayAction::ReportInvalid(1));
            return;
        };
        let Some(state) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let rate = frame.limit.map(RequestRate::per_second);
        let known = state.limit.filter(|limit| limit.rate == rate);
        let is_news = known.is_none();
        state.limit = Some(EndpointLimit {
            rate,
            named_at: known.map_or_else(|| now.into(), |limit| limit.named_at),
            share: Some(RequestRate::per_second(frame.share)),
            phase: frame.phase.clamp(0.0, 1.0),
        });
        self.apply_limit(&endpoint, now);
        if is_news && rate.is_some() {
            self.report_limit(&endpoint, now);
        }
    }

    /// Limits the starts at this router's local desk of the endpoint.
    ///
    /// It decides while the endpoint's own desk is not connected, so the other routers start requests,
    /// too.
    pub(super) fn apply_limit(&mut self, endpoint: &EndpointId, now: ClockTime) {
        let routers = self.router_count();
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let Some(limit) = state.limit else {
            return;
        };
        let even = |rate| RequestRate::per_second(fleet_rate(rate).get() / f64::from(routers));
        let share = limit.rate.map(|rate| limit.share.unwrap_or(even(rate)));
        let gate = state.desk.gate_mut();
        gate.set_rate_share(share, limit.phase, now);
    }

    /// Tells the desk that decides about the endpoint what is known of its limit.
    pub(super) fn report_limit(&mut self, endpoint: &EndpointId, now: ClockTime) {
        let Some(state) = self.endpoints.get(endpoint) else {
            return;
        };
        let Some(limit) = state.limit else {
            return;
        };
        let age_ms = limit.named_at.age(now).as_millis() as u32;
        let rate = limit.rate.map(RequestRate::get);
        if state.remote.is_some() {
            let frame = LimitFrame {
                limit: rate,
                age_ms,
            };
            self.send_to_desk(endpoint, DeskMessage::Limit(frame));
            return;
        }
        let demand = self.request_rate(&state.listed.service, now);
        let frame = DemandFrame {
            endpoint: endpoint.to_string(),
            limit: rate,
            age_ms,
            demand: demand as f32,
        };
        let key = xxhash_rust::xxh3::xxh3_64(frame.endpoint.as_bytes());
        let desks = self.connected_desks();
        let broker = desks.iter().max_by_key(|desk| rendezvous_score(key, desk));
        if let Some(broker) = broker {
            self.send_to_desk(broker, DeskMessage::Demand(frame));
        }
    }

    /// Reports the demand at endpoints whose limits are shared out; they have no desk of their own.
    pub(super) fn report_demands(&mut self, now: ClockTime) {
        let is_shared = |state: &EndpointState| {
            state.remote.is_none() && state.limit.is_some_and(|limit| limit.rate.is_some())
        };
        let states = self.endpoints.iter();
        let limited = states.filter(|(_, state)| is_shared(state));
        let limited: Vec<EndpointId> = limited.map(|(id, _)| id.clone()).collect();
        for endpoint in limited {
            self.report_limit(&endpoint, now);
        }
    }

    /// Returns the number of routers of the fleet, as far as desks told.
    fn router_count(&self) -> u32 {
        let remotes = self.endpoints.values().filter_map(|state| state.remote);
        let counts = remotes.map(|remote| remote.routers);
        counts.chain([self.last_router_count, 1]).max().unwrap_or(1)
    }
}
