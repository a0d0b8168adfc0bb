use std::time::Duration;

use super::action::{GatewayAction, RefusalReason, RepeatDenial};
use super::call::{AttemptEnd, GatewayCall};
use super::endpoint_state::EndpointState;
use super::placing::PlacePlan;
use crate::collect::SortedMap;
use crate::desk::DeskAsk;
use crate::id::{EndpointId, RequestId, ServiceName, ZoneName};
use crate::place::{PrefixMemory, ReadRate};
use crate::retry::RepeatBudget;
use crate::serving::{EndpointList, ServingConfig};
use crate::time::ClockTime;

/// Requests that wait are looked at this often.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Tokens assumed of an endpoint's memory for shared parts, if the configuration tells none.
const DEFAULT_MEMORY: u64 = 200_000;

/// Part of an endpoint's memory in which shared parts are believed to last.
const SHARED_MEMORY_PART: f64 = 0.5;

/// Part of the objective within which a request must start to be let in.
const START_PART: f64 = 0.8;

/// Shortest and longest advice on when to come back.
///
/// Callers heed up to a third of the time that they have left.
const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(2_000));

/// Least time in which an endpoint can answer anything.
const LEAST_TIME: Duration = Duration::from_millis(40);

/// Bounds that hold for all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayBounds {
    /// Repeats for each request.
    pub repeat_ratio: f64,
    /// Window over which repeats are counted.
    pub repeat_window: Duration,
}

/// Places, starts, refuses and repeats the requests of one router.
#[derive(Debug)]
pub struct GatewayMachine {
    pub(super) zone: ZoneName,
    pub(super) endpoints: SortedMap<EndpointId, EndpointState>,
    pub(super) memory: PrefixMemory,
    pub(super) traffic: SortedMap<ServiceName, ServiceTraffic>,
    bounds: GatewayBounds,
    requests: SortedMap<RequestId, GatewayRequest>,
    actions: Vec<GatewayAction>,
    swept: ClockTime,
}

/// What is learnt of one service.
#[derive(Debug)]
pub(super) struct ServiceTraffic {
    rate: ReadRate,
    budget: RepeatBudget,
    /// Reading of all prompts and of those too long for a burst, fading.
    all_work: f64,
    long_work: f64,
}

#[derive(Debug)]
struct GatewayRequest {
    call: GatewayCall,
    phase: GatewayPhase,
    /// When it began to wait, anew after a failed attempt.
    since: ClockTime,
    plan: PlacePlan,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GatewayPhase {
    Waiting,
    /// At an endpoint; `alone` while no other prompt was being read there.
    Running {
        started: ClockTime,
        alone: bool,
    },
}

/// Weight that earlier prompts keep with each new one in the part of long prompts.
const WORK_FADE: f64 = 0.995;

impl ServiceTraffic {
    fn new(bounds: &GatewayBounds) -> Self {
        Self {
            rate: ReadRate::default(),
            budget: RepeatBudget::new(bounds.repeat_ratio, bounds.repeat_window),
            all_work: 0.0,
            long_work: 0.0,
        }
    }

    fn note_work(&mut self, plan: &PlacePlan) {
        let long = if plan.is_long { plan.units } else { 0.0 };
        self.all_work = self.all_work * WORK_FADE + plan.units;
        self.long_work = self.long_work * WORK_FADE + long;
    }

    /// Part of the reading that long prompts ask.
    pub(super) fn long_part(&self) -> f64 {
        if self.all_work > 0.0 {
            self.long_work / self.all_work
        } else {
            0.0
        }
    }
}

impl GatewayMachine {
    /// Creates the machine of a router in `zone`.
    #[must_use]
    pub const fn new(zone: ZoneName, bounds: GatewayBounds) -> Self {
        Self {
            zone,
            endpoints: SortedMap::new(),
            memory: PrefixMemory::new((DEFAULT_MEMORY as f64 * SHARED_MEMORY_PART) as u64),
            traffic: SortedMap::new(),
            bounds,
            requests: SortedMap::new(),
            actions: Vec::new(),
            swept: ClockTime::from_micros(0),
        }
    }

    /// Takes in a list of endpoints and the configuration that tells what they are.
    pub fn set_endpoints(&mut self, list: &EndpointList, config: &ServingConfig, now: ClockTime) {
        for (id, listed) in list.iter() {
            let traits = config.service(&listed.service);
            match self.endpoints.get_mut(id) {
                Some(state) if state.listed.started == listed.started => {
                    state.relist(listed.clone(), traits);
                }
                _ => {
                    self.memory.forget(id);
                    let state = EndpointState::new(listed.clone(), traits);
                    self.endpoints.insert(id.clone(), state);
                }
            }
        }
        let gone: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| !list.contains_key(id))
            .cloned()
            .collect();
        for id in &gone {
            self.endpoints.remove(id);
            self.memory.forget(id);
        }
        self.move_waiting(now);
    }

    /// Number of usable endpoints of a service.
    #[must_use]
    pub fn usable(&self, service: &ServiceName) -> usize {
        let states = self.endpoints.values();
        states
            .filter(|state| state.listed.service == *service && state.is_usable())
            .count()
    }

    /// Takes in a caller's request.
    pub fn submit(&mut self, id: RequestId, call: GatewayCall, now: ClockTime) {
        self.traffic_of(&call.service).budget.note_request(now);
        self.wait(id, call, now);
    }

    /// Notes that a caller no longer waits for its request to start.
    pub fn withdraw(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.phase != GatewayPhase::Waiting {
            self.end(id, AttemptEnd::Abandoned, now);
            return;
        }
        if let Some(state) = self.endpoints.get_mut(&request.plan.endpoint) {
            state.desk.withdraw(id);
        }
        self.requests.remove(&id);
    }

    /// Notes the first event or whole answer of a request.
    pub fn first_event(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let endpoint = request.plan.endpoint.clone();
        if let GatewayPhase::Running {
            started,
            alone: true,
        } = request.phase
        {
            let (service, units) = (request.call.service.clone(), request.plan.units);
            self.traffic_of(&service)
                .rate
                .observe(units, now.since(started));
        }
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.desk.first_event(id, now);
            state.health.succeed();
        }
    }

    /// Takes in what an endpoint told of its load: requests that run and that wait there.
    pub fn load_told(&mut self, endpoint: &EndpointId, running: u32, waiting: u32) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            let foreign = (running + waiting).saturating_sub(state.own);
            state.desk.gate_mut().set_foreign(foreign);
        }
    }

    /// Notes the end of an attempt; the request is forgotten unless [`Self::repeat`] follows.
    pub fn end(&mut self, id: RequestId, end: AttemptEnd, now: ClockTime) -> Option<GatewayCall> {
        let mut request = self.requests.remove(&id)?;
        let endpoint = request.plan.endpoint.clone();
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.desk.end(id, now);
            state.own = state.own.saturating_sub(1);
            match end {
                AttemptEnd::Complete => state.health.succeed(),
                AttemptEnd::Abandoned | AttemptEnd::Full => {}
                AttemptEnd::NotReached => {
                    state.health.suspect(now);
                }
                AttemptEnd::Misdirected => state.is_replaced = true,
                AttemptEnd::Failed | AttemptEnd::Broken => state.health.fail(now),
            }
        }
        request.call.tried.push(endpoint);
        Some(request.call)
    }

    /// Sends a request once more whose attempt ended with `end`.
    ///
    /// # Errors
    ///
    /// Fails with the reason why it must not be sent again; the request is then forgotten.
    pub fn repeat(
        &mut self,
        id: RequestId,
        call: GatewayCall,
        end: AttemptEnd,
        now: ClockTime,
    ) -> Result<(), RepeatDenial> {
        if !end.is_not_run() && !call.may_repeat {
            return Err(RepeatDenial::MayHaveRun);
        }
        if now + LEAST_TIME >= call.deadline {
            return Err(RepeatDenial::Time);
        }
        // What did not reach an endpoint was not sent to it.
        let was_sent = end != AttemptEnd::NotReached;
        if was_sent {
            if call.tried.len() >= call.max_attempts as usize {
                return Err(RepeatDenial::Attempts);
            }
            if !self.traffic_of(&call.service).budget.try_repeat(now) {
                return Err(RepeatDenial::Budget);
            }
        }
        self.wait(id, call, now);
        Ok(())
    }

    /// When something may next be due.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        let waits = self
            .requests
            .values()
            .any(|request| request.phase == GatewayPhase::Waiting);
        waits.then(|| self.swept + SWEEP_INTERVAL)
    }

    /// What is to be done now.
    pub fn take_actions(&mut self, now: ClockTime) -> Vec<GatewayAction> {
        if now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.refuse_overdue(now);
        }
        self.admit(now);
        std::mem::take(&mut self.actions)
    }

    pub(super) fn rate(&self, service: &ServiceName) -> ReadRate {
        self.traffic
            .get(service)
            .map_or_else(ReadRate::default, |traffic| traffic.rate)
    }

    fn traffic_of(&mut self, service: &ServiceName) -> &mut ServiceTraffic {
        let bounds = self.bounds;
        self.traffic
            .get_or_insert_with(service.clone(), || ServiceTraffic::new(&bounds))
    }

    /// Places a request and lets it wait there, or refuses it.
    fn wait(&mut self, id: RequestId, call: GatewayCall, now: ClockTime) {
        let Some(plan) = self.plan(&call, now) else {
            self.refuse(id, RefusalReason::NoEndpoint, RETRY_AFTER.1);
            return;
        };
        let start_in = plan.expected.saturating_sub(plan.work.read);
        if start_in > start_limit(&call) && call.tried.is_empty() {
            let advice = start_in.saturating_sub(start_limit(&call) / 2);
            self.refuse(id, RefusalReason::NoRoomInTime, advice);
            return;
        }
        self.traffic_of(&call.service).note_work(&plan);
        let latest = call.arrived + call.objective.saturating_sub(plan.work.read);
        let ask = DeskAsk::new(call.customer, latest).work(plan.work, call.cost());
        if let Some(state) = self.endpoints.get_mut(&plan.endpoint) {
            state.desk.ask(id, ask);
        }
        let request = GatewayRequest {
            call,
            phase: GatewayPhase::Waiting,
            since: now,
            plan,
        };
        self.requests.insert(id, request);
    }

    fn admit(&mut self, now: ClockTime) {
        for (endpoint, state) in self.endpoints.iter_mut() {
            let mut alone = !state.desk.gate().is_reading();
            for id in state.desk.admit(now) {
                let Some(request) = self.requests.get_mut(&id) else {
                    continue;
                };
                request.phase = GatewayPhase::Running {
                    started: now,
                    alone,
                };
                alone = false;
                state.own += 1;
                if let Some(prompt) = &request.call.prompt {
                    self.memory.note(endpoint, prompt, now);
                }
                self.actions.push(GatewayAction::Start {
                    request: id,
                    endpoint: endpoint.clone(),
                    address: state.listed.address,
                    waited: now.since(request.since),
                    expected: request.plan.expected,
                });
            }
        }
    }

    /// Refuses requests that waited until they could not be of use.
    fn refuse_overdue(&mut self, now: ClockTime) {
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.phase == GatewayPhase::Waiting)
            .filter(|(_, request)| now.since(request.since) > start_limit(&request.call))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.withdraw(id, now);
            self.refuse(id, RefusalReason::NoRoomInTime, RETRY_AFTER.0);
        }
    }

    /// Places waiting requests again whose endpoint may no longer be used.
    fn move_waiting(&mut self, now: ClockTime) {
        let stranded: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.phase == GatewayPhase::Waiting)
            .filter(|(_, request)| {
                let state = self.endpoints.get(&request.plan.endpoint);
                state.is_none_or(|state| !state.is_usable())
            })
            .map(|(id, _)| *id)
            .collect();
        for id in stranded {
            let Some(request) = self.requests.remove(&id) else {
                continue;
            };
            if let Some(state) = self.endpoints.get_mut(&request.plan.endpoint) {
                state.desk.withdraw(id);
            }
            self.wait(id, request.call, now);
        }
    }

    fn refuse(&mut self, request: RequestId, reason: RefusalReason, advice: Duration) {
        self.actions.push(GatewayAction::Refuse {
            request,
            reason,
            retry_after: advice.clamp(RETRY_AFTER.0, RETRY_AFTER.1),
        });
    }
}

/// Longest wait after which a start is still of use.
fn start_limit(call: &GatewayCall) -> Duration {
    call.objective.mul_f64(START_PART)
}
