use std::time::Duration;

use super::call::GatewayCall;
use super::endpoint_state::EndpointState;
use super::machine::GatewayMachine;
use crate::desk::DEFAULT_PAUSE;
use crate::id::EndpointId;
use crate::place::{PrefillRate, rendezvous_score};
use crate::serving::PromptShape;
use crate::time::ClockTime;

/// Penalty for endpoints in another availability zone: the round trip and the price of the traffic.
const CROSS_ZONE_COST: Duration = Duration::from_millis(6);

/// Cost factor for prompt tokens that the endpoint has to prefill although another has them cached.
///
/// The extra prefill delays every stream at the endpoint and evicts other cached parts.
const REREAD_WEIGHT: f64 = 5.0;

/// Assumed service time of an application request, for comparing queues.
const APPLICATION_TIME: Duration = Duration::from_millis(30);

/// Ratio of the fraction of endpoints for long prompts to the fraction of prefill work they cause.
const LONG_ENDPOINT_FACTOR: f64 = 1.0;

/// Rendezvous key that ranks endpoints for long prompts.
const LONG_PROMPT_KEY: u64 = 0x6c6f_6e67;

/// Prefill time above which a prompt is long, as a fraction of the longest pause of the route's
/// streams.
const LONG_READ_FRACTION: f64 = 0.6;

/// Penalty for a long prompt at an endpoint for short ones, where it would stall the streams, and
/// the other way round.
const STALL_PENALTY: Duration = Duration::from_millis(250);

/// The chosen endpoint of a request with the predicted work and times.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PlacementPlan {
    pub(super) endpoint: EndpointId,
    /// Prefill work, in tokens without context.
    pub(super) units: f64,
    /// Predicted prefill time at the endpoint.
    pub(super) read: Duration,
    /// Predicted time to the first event: wait and prefill.
    pub(super) expected: Duration,
    pub(super) is_long: bool,
}

/// Properties of a call's prompt that are the same for all candidate endpoints.
struct PromptProfile<'a> {
    prompt: &'a PromptShape,
    /// Prefill work at an endpoint that has every shared part cached.
    min_work: f64,
    is_long: bool,
    /// Endpoint that the rendezvous hash of the last shared part selects.
    preferred: Option<&'a EndpointId>,
    /// Endpoints set apart for long prompts.
    long_endpoints: Vec<&'a EndpointId>,
}

type Candidate<'a> = (&'a EndpointId, &'a EndpointState);

impl GatewayMachine {
    /// Chooses the endpoint with the lowest cost among those that the call has not tried.
    ///
    /// Suspected endpoints are used only if all candidates are suspected.
    pub(super) fn plan(&self, call: &GatewayCall, now: ClockTime) -> Option<PlacementPlan> {
        let usable = self.endpoints.iter().filter(|(id, state)| {
            state.listed.service == call.service
                && state.is_usable(now)
                && !call.tried.contains(*id)
                && !call.passed_over.contains(*id)
        });
        let mut candidates: Vec<Candidate<'_>> = usable.collect();
        if candidates.iter().any(|(_, state)| !state.is_suspect(now)) {
            candidates.retain(|(_, state)| !state.is_suspect(now));
        }
        let profile = call.prompt.as_ref();
        let profile = profile.map(|prompt| self.profile_prompt(call, prompt, &candidates));
        let plans = candidates.iter().map(|(id, state)| {
            let (mut cost, plan) = match &profile {
                Some(profile) => self.plan_prompt(id, state, profile, now),
                None => plan_application(id, state, now),
            };
            if state.listed.zone != self.zone {
                cost += CROSS_ZONE_COST;
            }
            (cost, plan)
        });
        plans.min_by_key(|(cost, _)| *cost).map(|(_, plan)| plan)
    }

    fn profile_prompt<'a>(
        &self,
        call: &GatewayCall,
        prompt: &'a PromptShape,
        candidates: &[Candidate<'a>],
    ) -> PromptProfile<'a> {
        let min_work = PrefillRate::work(prompt, prompt.tokens() - prompt.own_tokens());
        let rates = candidates
            .iter()
            .map(|(_, state)| state.rate().tokens_per_milli());
        let mean = rates.sum::<f64>() / candidates.len().max(1) as f64;
        let pause = call.pause.unwrap_or(DEFAULT_PAUSE);
        let read = PrefillRate::from_tokens_per_milli(mean).time(min_work);
        let is_long = read > pause.mul_f64(LONG_READ_FRACTION);
        let mut ranked: Vec<&EndpointId> = candidates.iter().map(|(id, _)| *id).collect();
        ranked.sort_by_key(|id| std::cmp::Reverse(rendezvous_score(LONG_PROMPT_KEY, id)));
        let count = self.long_endpoint_count(call, ranked.len());
        let short_endpoints = ranked.split_off(count.min(ranked.len()));
        let key = prompt.shared().last().map(|part| part.id.get());
        let group = if is_long { &ranked } else { &short_endpoints };
        let preferred = key.and_then(|key| {
            group
                .iter()
                .copied()
                .max_by_key(|id| rendezvous_score(key, id))
        });
        PromptProfile {
            prompt,
            min_work,
            is_long,
            preferred,
            long_endpoints: ranked,
        }
    }

    fn plan_prompt(
        &self,
        id: &EndpointId,
        state: &EndpointState,
        profile: &PromptProfile<'_>,
        now: ClockTime,
    ) -> (Duration, PlacementPlan) {
        let units = if profile.preferred == Some(id) {
            profile.min_work
        } else {
            PrefillRate::work(
                profile.prompt,
                self.memory.cached_tokens(id, profile.prompt),
            )
        };
        let rate = state.rate();
        let read = rate.time(units);
        let expected = state.expected_wait(now) + read;
        let mut cost = expected + rate.time((units - profile.min_work).max(0.0) * REREAD_WEIGHT);
        if profile.is_long != profile.long_endpoints.contains(&id) {
            cost += STALL_PENALTY;
        }
        let plan = PlacementPlan {
            endpoint: id.clone(),
            units,
            read,
            expected,
            is_long: profile.is_long,
        };
        (cost, plan)
    }

    /// Returns how many of `count` endpoints are set apart for long prompts.
    fn long_endpoint_count(&self, call: &GatewayCall, count: usize) -> usize {
        let traffic = self.traffic.get(&call.service);
        let fraction = traffic.map_or(0.0, |traffic| {
            traffic.long_fraction() * LONG_ENDPOINT_FACTOR
        });
        let long_count = (count as f64 * fraction).round() as usize;
        if fraction > 0.0 && count > 1 {
            long_count.clamp(1, count / 2)
        } else {
            0
        }
    }
}

fn plan_application(
    id: &EndpointId,
    state: &EndpointState,
    now: ClockTime,
) -> (Duration, PlacementPlan) {
    let queued = state.desk.waiting() + state.desk.gate().running();
    let rounds = 1.0 + queued as f64 / f64::from(state.listed.slots.max(1));
    let limit_wait = state.desk.gate().limit_wait(state.desk.waiting() + 1, now);
    let expected = APPLICATION_TIME.mul_f64(rounds).max(limit_wait);
    let plan = PlacementPlan {
        endpoint: id.clone(),
        units: 0.0,
        read: Duration::ZERO,
        expected,
        is_long: false,
    };
    (expected, plan)
}
