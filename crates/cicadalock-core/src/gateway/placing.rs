use std::time::Duration;

use super::call::GatewayCall;
use super::machine::GatewayMachine;
use crate::desk::ReadWork;
use crate::id::EndpointId;
use crate::place::{ReadRate, home_rank, home_score};
use crate::serving::PromptShape;
use crate::time::ClockTime;

/// Added to the expected time at endpoints of another availability zone: the way there and back,
/// and the price of the bytes.
const FAR_COST: Duration = Duration::from_millis(6);

/// How much more a token counts that is read again although another endpoint keeps it.
const REREAD_WEIGHT: f64 = 5.0;

/// Expected service time of an application request, for choosing between queues.
const APPLICATION_TIME: Duration = Duration::from_millis(30);

/// Part of a service's endpoints that takes prompts too long for a burst, over their part of the
/// reading.
const LONG_PROMPT_FACTOR: f64 = 0.8;

/// Reading beyond which a prompt is long, as part of the longest pause of the streams beside it.
const LONG_PART: f64 = 0.6;

/// Longest pause assumed of routes that tell none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(400);

/// Subject under which endpoints are ranked for long prompts.
const LONG_PROMPT_SUBJECT: u64 = 0x6c6f_6e67;

/// Added at endpoints for long prompts while one is being read there, as part of its reading.
const STALL_PENALTY: Duration = Duration::from_millis(250);

/// Where a request would go, and what it would meet.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PlacePlan {
    pub(super) endpoint: EndpointId,
    pub(super) work: ReadWork,
    /// Reading in tokens without context, for learning the rate.
    pub(super) units: f64,
    /// Expected time to the first event.
    pub(super) expected: Duration,
    pub(super) is_long: bool,
}

impl GatewayMachine {
    /// Chooses the endpoint with the least expected time, endpoints already tried left out.
    pub(super) fn plan(&self, call: &GatewayCall, now: ClockTime) -> Option<PlacePlan> {
        let usable = self.endpoints.iter().filter(|(id, state)| {
            state.listed.service == call.service && state.is_usable() && !call.tried.contains(*id)
        });
        let usable: Vec<_> = usable.collect();
        let trusted = usable
            .iter()
            .filter(|(_, state)| !state.is_suspect(now))
            .count();
        let candidates = usable
            .iter()
            .filter(|(_, state)| trusted == 0 || !state.is_suspect(now));
        let ids: Vec<&EndpointId> = candidates.clone().map(|(id, _)| *id).collect();
        let long_homes = self.long_homes(call, &ids);
        let is_long_home =
            |id: &EndpointId| home_rank(LONG_PROMPT_SUBJECT, id, ids.iter().copied()) < long_homes;
        let is_long = self.is_long(call);
        let own: Vec<&EndpointId> = ids
            .iter()
            .copied()
            .filter(|id| is_long_home(id) == is_long)
            .collect();
        let home = call.prompt.as_ref().and_then(|prompt| home(prompt, &own));
        let plans = candidates.map(|(id, state)| {
            let mut plan = self.plan_at(call, id, home == Some(*id), now);
            let mut weight = plan.expected;
            if state.listed.zone != self.zone {
                weight += FAR_COST;
            }
            weight += plan.reread(call, self);
            let is_long_home = home_rank(LONG_PROMPT_SUBJECT, id, ids.iter().copied()) < long_homes;
            if plan.is_long != is_long_home && call.prompt.is_some() {
                weight += STALL_PENALTY;
            }
            plan.expected = plan.expected.max(Duration::from_millis(1));
            (weight, plan)
        });
        plans
            .min_by_key(|(weight, _)| *weight)
            .map(|(_, plan)| plan)
    }

    fn plan_at(
        &self,
        call: &GatewayCall,
        id: &EndpointId,
        is_home: bool,
        now: ClockTime,
    ) -> PlacePlan {
        let (mut work, mut units) = (ReadWork::default(), 0.0);
        let state = self.endpoints.get(id);
        let Some(prompt) = &call.prompt else {
            let queued = state.map_or(0, |state| {
                state.desk.waiting() + state.desk.gate().running()
            });
            let slots = state.map_or(1, |state| state.listed.slots.max(1));
            let rounds = 1.0 + queued as f64 / f64::from(slots);
            return PlacePlan {
                endpoint: id.clone(),
                work,
                units,
                expected: APPLICATION_TIME.mul_f64(rounds),
                is_long: false,
            };
        };
        let kept = if is_home {
            prompt.tokens() - prompt.own_tokens()
        } else {
            self.memory.kept(id, prompt)
        };
        units += ReadRate::work(prompt, kept);
        let rate = self.rate(&call.service);
        work.read = rate.time(units);
        work.memory = u64::from(prompt.tokens()) + u64::from(prompt.expected_output());
        let wait = state.map_or(Duration::ZERO, |state| state.desk.expected_wait(now));
        let burst = state.map_or(Duration::ZERO, |state| state.desk.gate().limits().burst());
        PlacePlan {
            endpoint: id.clone(),
            work,
            units,
            expected: wait + work.read,
            is_long: self.is_long(call),
        }
    }

    /// Tells whether reading a prompt's own part alone outlasts a burst.
    fn is_long(&self, call: &GatewayCall) -> bool {
        let Some(prompt) = &call.prompt else {
            return false;
        };
        let kept = prompt.tokens() - prompt.own_tokens();
        let read = self.rate(&call.service).time(ReadRate::work(prompt, kept));
        read > call.pause.unwrap_or(DEFAULT_PAUSE).mul_f64(LONG_PART)
    }

    /// Number of endpoints that take prompts too long for a burst.
    fn long_homes(&self, call: &GatewayCall, ids: &[&EndpointId]) -> usize {
        let Some(traffic) = self.traffic.get(&call.service) else {
            return 0;
        };
        let part = traffic.long_part() * LONG_PROMPT_FACTOR;
        let homes = (ids.len() as f64 * part).round() as usize;
        if part > 0.0 {
            homes.clamp(1, ids.len().div_ceil(2))
        } else {
            0
        }
    }
}

impl PlacePlan {
    /// Weight of reading shared parts here that are kept elsewhere.
    fn reread(&self, call: &GatewayCall, machine: &GatewayMachine) -> Duration {
        let Some(prompt) = &call.prompt else {
            return Duration::ZERO;
        };
        let rate = machine.rate(&call.service);
        let least = ReadRate::work(prompt, prompt.tokens() - prompt.own_tokens());
        rate.time((self.units - least).max(0.0) * REREAD_WEIGHT)
    }
}

/// The home of a prompt: the endpoint to which its last shared part belongs.
fn home<'a>(prompt: &PromptShape, ids: &[&'a EndpointId]) -> Option<&'a EndpointId> {
    let subject = prompt.shared().last()?.id;
    ids.iter().copied().max_by_key(|id| home_score(subject, id))
}
