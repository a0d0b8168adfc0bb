use std::collections::VecDeque;
use std::time::Duration;

use super::action::{GatewayAction, RefusalDetail, RefusalReason, RetryDenial};
use super::call::{AttemptEnd, GatewayCall};
use super::config_check::ConfigCheck;
use super::customer_tally::{CustomerTally, RefusalStage};
use super::endpoint_state::EndpointState;
use super::placing::PlacementPlan;
use crate::collect::SortedMap;
use crate::desk::{CustomerMeter, DeskAsk, DeskRefusal, RunKey, UsageComparison};
use crate::id::{CustomerId, EndpointId, LinkId, RequestId, ServiceName, ZoneName};
use crate::message::{DeskMessage, DeskNotice};
use crate::place::PrefixMemory;
use crate::quarantine::CrashGuard;
use crate::retry::RetryWindow;
use crate::serving::{EndpointList, ListingState, ServingConfig};
use crate::time::ClockTime;

/// Interval between checks of waiting requests.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Tokens of shared prompt parts that one endpoint is assumed to keep cached.
///
/// Half of a small endpoint's memory; the rest holds running requests and unshared parts.
const PREFIX_MEMORY_TOKENS: u64 = 100_000;

/// Fraction of the objective within which a request has to start before it is refused.
const START_FRACTION: f64 = 0.8;

/// Retry delay advised when no endpoint is usable; the endpoint list changes within seconds.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Shortest time in which an endpoint can answer a request.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(40);

/// Interval at which desks receive customers' totals: half of the totals' half-life.
///
/// A desk drops a router that sends nothing for more than three times as long.
pub(super) const TOTALS_INTERVAL: Duration = Duration::from_secs(1);

/// Link id of this router's own requests at its local desks and in its meter.
pub(super) const OWN_LINK: LinkId = LinkId::new(0);

/// Link id under which a router counts what customers received through all other routers.
pub(super) const OTHER_ROUTERS_LINK: LinkId = LinkId::new(1);

/// Retry limits, which hold for all routers together if each one keeps them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayBounds {
    /// Largest ratio of retries to requests of a service within the window.
    pub retry_ratio: f64,
    /// Length of the sliding window over which retries are counted.
    pub retry_window: Duration,
}

/// Places, starts, refuses and retries the requests of one router.
#[derive(Debug)]
pub struct GatewayMachine {
    pub(super) zone: ZoneName,
    pub(super) endpoints: SortedMap<EndpointId, EndpointState>,
    pub(super) memory: PrefixMemory,
    pub(super) traffic: SortedMap<ServiceName, ServiceTraffic>,
    bounds: GatewayBounds,
    /// Cost that customers received through this router, and through all others as desks report it.
    pub(super) meter: CustomerMeter,
    pub(super) requests: SortedMap<RequestId, GatewayRequest>,
    pub(super) actions: Vec<GatewayAction>,
    last_sweep: ClockTime,
    /// Earliest time from which a missing endpoint counts as gone.
    next_expiry: Option<ClockTime>,
    /// When customers' totals were last sent, and the number of sums requested so far.
    pub(super) last_exchange: ClockTime,
    pub(super) sums_requested: usize,
    /// When this router was last found to run late.
    pub(super) lagged_at: ClockTime,
    /// When the timer is due from which this router measures how late it runs.
    pub(super) timer_due: Option<ClockTime>,
    /// Keeps requests from endpoints that would crash on a part of their prompt.
    pub(super) guard: CrashGuard,
    /// Number of routers that a desk last told.
    pub(super) last_router_count: u32,
    /// Number of desks to which evidence was sent so far.
    pub(super) evidence_sent: usize,
    /// Version of the configuration in force.
    pub(super) config_version: Option<u64>,
    pub(super) config_check: ConfigCheck,
    pub(super) tally: CustomerTally,
    /// Endpoints no longer listed that said that they leave, with the start of their process.
    pub(super) left: VecDeque<(EndpointId, u64)>,
}

/// Retry budget and prefill statistics of one service.
#[derive(Debug)]
pub(super) struct ServiceTraffic {
    budget: RetryWindow,
    /// Prefill work of all prompts and of long ones, decayed with each prompt.
    all_work: f64,
    long_work: f64,
    /// Number of requests as of `counted_at`, decayed with [`DEMAND_HALF_LIFE`].
    requests: f64,
    counted_at: ClockTime,
}

#[derive(Debug)]
pub(super) struct GatewayRequest {
    pub(super) call: GatewayCall,
    pub(super) phase: GatewayPhase,
    /// When the request began to wait; starts anew when it is placed again.
    pub(super) since: ClockTime,
    pub(super) plan: PlacementPlan,
    pub(super) ask: DeskAsk,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GatewayPhase {
    /// Queued at this router's local desk.
    Waiting,
    /// Queued at the endpoint's own desk, which was asked for admission.
    Asked,
    /// Sent to the endpoint at `started`. The first event arrives once the prefill is done.
    ///
    /// `begun` is when that was.
    Running {
        started: ClockTime,
        begun: Option<ClockTime>,
    },
}

impl GatewayPhase {
    /// Returns whether the request is running and its prompt is prefilled.
    pub(super) const fn is_read(self) -> bool {
        matches!(self, Self::Running { begun: Some(_), .. })
    }
}

/// Half-life of the requests that a router's demand is computed from.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(1);

/// Decay factor per prompt of the work that the fraction of long prompts is computed from.
const WORK_DECAY: f64 = 0.995;

impl ServiceTraffic {
    fn new(bounds: &GatewayBounds) -> Self {
        Self {
            budget: RetryWindow::new(bounds.retry_ratio, bounds.retry_window),
            all_work: 0.0,
            long_work: 0.0,
            requests: 0.0,
            counted_at: ClockTime::default(),
        }
    }

    fn record_request(&mut self, now: ClockTime) {
        self.requests = self.requests_at(now) + 1.0;
        self.counted_at = now;
    }

    fn requests_at(&self, now: ClockTime) -> f64 {
        let half_lives = now.since(self.counted_at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.requests * 0.5_f64.powf(half_lives)
    }

    fn record_work(&mut self, plan: &PlacementPlan) {
        let long = if plan.is_long { plan.units } else { 0.0 };
        self.all_work = self.all_work * WORK_DECAY + plan.units;
        self.long_work = self.long_work * WORK_DECAY + long;
    }

    /// Returns the fraction of prefill work that long prompts cause.
    pub(super) fn long_fraction(&self) -> f64 {
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
    pub fn new(zone: ZoneName, bounds: GatewayBounds) -> Self {
        Self {
            zone,
            endpoints: SortedMap::new(),
            memory: PrefixMemory::new(PREFIX_MEMORY_TOKENS),
            traffic: SortedMap::new(),
            bounds,
            meter: CustomerMeter::default(),
            requests: SortedMap::new(),
            actions: Vec::new(),
            last_sweep: ClockTime::default(),
            next_expiry: None,
            last_exchange: ClockTime::default(),
            sums_requested: 0,
            lagged_at: ClockTime::default(),
            timer_due: None,
            guard: CrashGuard::default(),
            last_router_count: 1,
            evidence_sent: 0,
            config_version: None,
            config_check: ConfigCheck::default(),
            tally: CustomerTally::default(),
            left: VecDeque::new(),
        }
    }

    /// Replaces the endpoint list; `config` holds the traits of the endpoints' services.
    ///
    /// Waiting requests whose endpoint is no longer usable are placed again. A missing endpoint is
    /// used only while its service misses more endpoints than are ready.
    pub fn set_endpoints(&mut self, list: &EndpointList, config: &ServingConfig, now: ClockTime) {
        for (id, listed) in list.iter() {
            let traits = config.service(&listed.service);
            match self.endpoints.get_mut(id) {
                Some(state) if state.listed.started == listed.started => {
                    state.update_listing(listed.clone(), traits);
                }
                _ => {
                    self.memory.forget(id);
                    let mut state = EndpointState::new(listed.clone(), traits, now);
                    state.is_leaving = self.has_left(id, listed.started);
                    self.endpoints.insert(id.clone(), state);
                }
            }
        }
        self.remember_leaving(|id| list.contains_key(id));
        self.endpoints.retain(|id, _| list.contains_key(id));
        self.memory.retain(|id| list.contains_key(id));
        self.recognize_lapses();
        self.update_next_expiry(now);
        self.reassign_stranded(now);
    }

    /// Keeps using the missing endpoints of services that miss more endpoints than are ready.
    ///
    /// An outage of the platform's store makes the entries of a service expire together, while
    /// endpoints leave a few at a time.
    fn recognize_lapses(&mut self) {
        let mut counts: SortedMap<ServiceName, (usize, usize)> = SortedMap::new();
        for state in self.endpoints.values() {
            let (missing, ready) =
                counts.get_or_insert_with(state.listed.service.clone(), Default::default);
            *missing += usize::from(state.listed.is_missing());
            *ready += usize::from(state.listed.state == ListingState::Ready);
        }
        counts.retain(|_, (missing, ready)| missing > ready);
        for state in self.endpoints.values_mut() {
            if counts.contains_key(&state.listed.service) {
                state.is_presumed_gone = false;
            }
        }
    }

    /// Returns whether new requests may be sent to an endpoint at `now`.
    #[must_use]
    pub fn is_usable(&self, endpoint: &EndpointId, now: ClockTime) -> bool {
        let state = self.endpoints.get(endpoint);
        state.is_some_and(|state| state.is_usable(now))
    }

    /// Adds a caller's request and counts it towards the retry budget.
    pub fn submit(&mut self, id: RequestId, call: GatewayCall, now: ClockTime) {
        let traffic = self.traffic_entry(&call.service);
        traffic.budget.record_request(now);
        traffic.record_request(now);
        self.tally.record_asked(call.customer, call.cost());
        self.enqueue(id, call, now);
    }

    /// Removes a request whose caller left; a running request ends as abandoned.
    pub fn withdraw(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let endpoint = request.plan.endpoint.clone();
        match request.phase {
            GatewayPhase::Waiting => {
                if let Some(state) = self.endpoints.get_mut(&endpoint) {
                    state.desk.withdraw(own_key(id));
                }
                self.requests.remove(&id);
            }
            GatewayPhase::Asked => {
                self.send_to_desk(&endpoint, DeskMessage::Withdraw(desk_notice(id)));
                self.requests.remove(&id);
            }
            GatewayPhase::Running { .. } => {
                self.end(id, AttemptEnd::Abandoned, now);
            }
        }
    }

    /// Records the first event or the complete answer of a request.
    pub fn first_event(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let GatewayPhase::Running { started, .. } = request.phase else {
            return;
        };
        request.phase = GatewayPhase::Running {
            started,
            begun: Some(now),
        };
        let endpoint = request.plan.endpoint.clone();
        self.guard.record_answer(&endpoint, started, now);
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.desk.first_event(own_key(id), now);
            state.health.record_success();
            self.send_to_desk(&endpoint, DeskMessage::FirstEvent(desk_notice(id)));
        }
    }

    /// Applies the load that an endpoint reported: its numbers of running and waiting requests.
    pub fn update_load(&mut self, endpoint: &EndpointId, running: u32, waiting: u32) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            let foreign = (running + waiting).saturating_sub(state.own_requests);
            state.desk.gate_mut().set_foreign(foreign);
        }
    }

    /// Records the end of an attempt and returns its call, or none if the request is unknown.
    ///
    /// The request is removed; [`Self::retry`] adds it again.
    pub fn end(&mut self, id: RequestId, end: AttemptEnd, now: ClockTime) -> Option<GatewayCall> {
        let request = self.requests.remove(&id)?;
        let endpoint = request.plan.endpoint.clone();
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.desk.end(own_key(id));
            state.own_requests = state.own_requests.saturating_sub(1);
            match end {
                AttemptEnd::Complete | AttemptEnd::CompleteUnframed => {
                    state.health.record_success();
                }
                AttemptEnd::Abandoned | AttemptEnd::EndpointLeft | AttemptEnd::Full => {}
                AttemptEnd::NotReached => {
                    state.health.mark_suspect(now);
                }
                AttemptEnd::Misdirected => state.is_replaced = true,
                AttemptEnd::Failed | AttemptEnd::Broken => state.health.record_failure(now),
            }
            self.send_to_desk(&endpoint, DeskMessage::End(desk_notice(id)));
        }
        if let GatewayPhase::Running {
            started,
            begun: None,
        } = request.phase
            && !end.has_answered()
        {
            let cost = (request.ask.cost as f64, started);
            self.meter.refund(request.ask.customer, OWN_LINK, cost, now);
        }
        self.record_evidence(&request, end, now);
        let mut call = request.call;
        call.tried.push(endpoint);
        call.sent += u32::from(end.is_sent());
        if let Some(silent) = call.standby_for.take()
            && !end.is_sent()
            && let Some(silent) = self.requests.get_mut(&silent)
        {
            silent.call.sent = silent.call.sent.saturating_sub(1);
        }
        Some(call)
    }

    /// Retries a request whose attempt ended with `end`.
    ///
    /// # Errors
    ///
    /// Returns why the request must not be retried; the request is then removed.
    pub fn retry(
        &mut self,
        id: RequestId,
        call: GatewayCall,
        end: AttemptEnd,
        now: ClockTime,
    ) -> Result<(), RetryDenial> {
        if !end.is_not_run() && !call.may_retry {
            return Err(RetryDenial::MayHaveRun);
        }
        if now + MIN_ANSWER_TIME >= call.deadline {
            return Err(RetryDenial::Time);
        }
        // An attempt that sent nothing is not checked against the limits.
        if end.is_sent() {
            if call.sent >= call.max_attempts {
                return Err(RetryDenial::Attempts);
            }
            if !self.traffic_entry(&call.service).budget.try_retry(now) {
                return Err(RetryDenial::Budget);
            }
        }
        self.enqueue(id, call, now);
        Ok(())
    }

    /// Queues a second attempt, `standby`, of a request whose attempt `running` is silent.
    ///
    /// The silent attempt goes on, since a sound endpoint may pause. Both attempts count towards the
    /// limits of the request, and either may end first.
    ///
    /// # Errors
    ///
    /// Returns why no second attempt is made.
    pub fn begin_standby(
        &mut self,
        running: RequestId,
        standby: RequestId,
        now: ClockTime,
    ) -> Result<(), RetryDenial> {
        let request = self.requests.get(&running).ok_or(RetryDenial::Ended)?;
        let mut call = request.call.clone();
        call.tried.push(request.plan.endpoint.clone());
        call.sent += 1;
        call.standby_for = Some(running);
        self.retry(standby, call, AttemptEnd::Broken, now)
    }

    /// Returns when [`Self::take_actions`] is next due, or none if nothing is pending.
    #[must_use]
    pub fn next_wake(&self) -> Option<ClockTime> {
        let waits = self
            .requests
            .values()
            .any(|request| !matches!(request.phase, GatewayPhase::Running { .. }));
        if waits {
            return Some(self.last_sweep + SWEEP_INTERVAL);
        }
        let mut states = self.endpoints.values();
        let has_desks = states.any(|state| state.remote.is_some());
        has_desks.then(|| self.last_exchange + TOTALS_INTERVAL)
    }

    /// Performs the checks that are due and returns the operations to perform.
    pub fn take_actions(&mut self, now: ClockTime) -> Vec<GatewayAction> {
        self.expire_missing(now);
        self.update_guard(now);
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.record_lag(
                now.since(self.last_sweep).saturating_sub(SWEEP_INTERVAL),
                now,
            );
            self.last_sweep = now;
            self.refuse_overdue(now);
            self.exchange_totals(now);
            self.drop_silent_desks(now);
        }
        self.admit(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the recent rate of requests for a service, in requests per second.
    pub(super) fn request_rate(&self, service: &ServiceName, now: ClockTime) -> f64 {
        let traffic = self.traffic.get(service);
        let requests = traffic.map_or(0.0, |traffic| traffic.requests_at(now));
        requests * std::f64::consts::LN_2 / DEMAND_HALF_LIFE.as_secs_f64()
    }

    fn traffic_entry(&mut self, service: &ServiceName) -> &mut ServiceTraffic {
        let bounds = self.bounds;
        self.traffic
            .get_or_insert_with(service.clone(), || ServiceTraffic::new(&bounds))
    }

    /// Places a request and queues it at the chosen endpoint's desk, or refuses it.
    pub(super) fn enqueue(&mut self, id: RequestId, mut call: GatewayCall, now: ClockTime) {
        if let Some(reason) = self.find_crash_refusal(&mut call, now) {
            self.refuse_here(id, &call, reason, Duration::ZERO);
            return;
        }
        let Some(plan) = self.plan(&call, now) else {
            let pause = self.shortest_pause(&call.service, now);
            let retry_after = pause.unwrap_or(NO_ENDPOINT_RETRY_AFTER);
            self.refuse_here(id, &call, RefusalReason::NoEndpoint, retry_after);
            return;
        };
        self.traffic_entry(&call.service).record_work(&plan);
        let ask = build_ask(&call, &plan, now);
        let frame = self.ask_frame(id, &ask, now);
        let endpoint = plan.endpoint.clone();
        let Some(state) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let phase = match &mut state.remote {
            Some(remote) => {
                let read = remote.rate.time(ask.units);
                remote.forecast.add(read.max(remote.spacing), now);
                GatewayPhase::Asked
            }
            None => match state.desk.ask(own_key(id), ask, &self.meter, now) {
                Ok(()) => GatewayPhase::Waiting,
                Err(refusal) => {
                    self.refuse_at_own_desk(id, &call, &refusal, now);
                    return;
                }
            },
        };
        let request = GatewayRequest {
            call,
            phase,
            since: now,
            plan,
            ask,
        };
        self.requests.insert(id, request);
        if phase == GatewayPhase::Asked {
            self.send_to_desk(&endpoint, DeskMessage::Ask(frame));
        }
    }

    /// Starts the requests that this router's local desks admit.
    fn admit(&mut self, now: ClockTime) {
        let mut admitted = Vec::new();
        for state in self.endpoints.values_mut() {
            if state.desk.waiting() > 0 {
                admitted.extend(state.desk.admit(&mut self.meter, now));
            }
        }
        for (_, id) in admitted {
            self.start_at(id, now);
        }
    }

    pub(super) fn start_at(&mut self, id: RequestId, now: ClockTime) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let endpoint = request.plan.endpoint.clone();
        let Some(state) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        request.phase = GatewayPhase::Running {
            started: now,
            begun: None,
        };
        state.own_requests += 1;
        self.tally
            .record_started(request.call.customer, request.call.cost());
        if let Some(prompt) = &request.call.prompt {
            self.memory.record(&endpoint, prompt, now);
        }
        let (standby_for, expected) = (request.call.standby_for, request.plan.expected);
        let waited = now.since(request.since);
        self.actions.push(GatewayAction::Start {
            request: id,
            endpoint: endpoint.clone(),
            address: state.listed.address,
            waited,
            expected,
        });
        if let Some(silent) = standby_for.and_then(|silent| self.requests.get_mut(&silent)) {
            silent.call.tried.push(endpoint);
            silent.call.sent += 1;
        }
    }

    /// Refuses requests that passed their latest useful start.
    fn refuse_overdue(&mut self, now: ClockTime) {
        let states = self.endpoints.values_mut();
        let overdue: Vec<DeskRefusal> = states
            .flat_map(|state| state.desk.refuse_overdue(now))
            .collect();
        for refusal in overdue {
            let (_, id) = refusal.key;
            if let Some(request) = self.requests.remove(&id) {
                self.refuse_at_own_desk(id, &request.call, &refusal, now);
            }
        }
    }

    /// Moves the requests that wait for missing endpoints whose time is over.
    pub(super) fn expire_missing(&mut self, now: ClockTime) {
        if self.next_expiry.is_some_and(|expiry| now >= expiry) {
            self.update_next_expiry(now);
            self.reassign_stranded(now);
        }
    }

    fn update_next_expiry(&mut self, now: ClockTime) {
        let expiries = self
            .endpoints
            .values()
            .filter_map(|state| match state.listed.state {
                ListingState::Missing { until } => until.filter(|until| now < *until),
                ListingState::Ready | ListingState::Draining => None,
            });
        self.next_expiry = expiries.min();
    }

    /// Places waiting requests again whose endpoint is no longer usable.
    pub(super) fn reassign_stranded(&mut self, now: ClockTime) {
        let stranded: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| !matches!(request.phase, GatewayPhase::Running { .. }))
            .filter(|(_, request)| {
                let state = self.endpoints.get(&request.plan.endpoint);
                state.is_none_or(|state| !state.is_usable(now))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in stranded {
            let call = self.requests.get(&id).map(|request| request.call.clone());
            self.withdraw(id, now);
            if let Some(call) = call {
                self.enqueue(id, call, now);
            }
        }
    }

    /// Refuses a request without asking a desk.
    pub(super) fn refuse_here(
        &mut self,
        request: RequestId,
        call: &GatewayCall,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let detail = RefusalDetail {
            customer: call.customer,
            stage: RefusalStage::Router,
            usage: None,
        };
        self.refuse(request, call.cost(), reason, retry_after, detail);
    }

    /// Refuses a request that this router's local desk refused.
    fn refuse_at_own_desk(
        &mut self,
        request: RequestId,
        call: &GatewayCall,
        refusal: &DeskRefusal,
        now: ClockTime,
    ) {
        let usage = UsageComparison {
            own: self.meter.usage(call.customer, now),
            best: self.meter.best_usage(now),
        };
        let detail = RefusalDetail {
            customer: call.customer,
            stage: RefusalStage::at_desk(refusal.is_overdue),
            usage: Some(usage),
        };
        let retry_after = refusal.retry_after;
        self.refuse(
            request,
            call.cost(),
            RefusalReason::NoRoomInTime,
            retry_after,
            detail,
        );
    }

    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        cost: u64,
        reason: RefusalReason,
        retry_after: Duration,
        detail: RefusalDetail,
    ) {
        self.tally
            .record_refused(detail.customer, cost, detail.stage);
        self.actions.push(GatewayAction::Refuse {
            request,
            reason,
            retry_after,
            detail,
        });
    }

    /// Counts a request that was refused before it was submitted, as the host cannot keep up.
    pub fn record_host_refusal(&mut self, customer: CustomerId, cost: u64) {
        self.tally.record_asked(customer, cost);
        self.tally
            .record_refused(customer, cost, RefusalStage::Host);
    }
}

fn build_ask(call: &GatewayCall, plan: &PlacementPlan, now: ClockTime) -> DeskAsk {
    // A retried request may start late: a late answer is worth less, a refusal is worth nothing.
    let since = if call.tried.is_empty() {
        call.arrived
    } else {
        now
    };
    let until = since + call.objective.mul_f64(START_FRACTION);
    let latest = call.arrived + call.objective.saturating_sub(plan.read);
    let memory = call.prompt.as_ref().map_or(0, |prompt| {
        u64::from(prompt.tokens()) + u64::from(prompt.expected_output())
    });
    DeskAsk::new(call.customer, until.min(call.deadline))
        .work(plan.units, memory, call.cost())
        .latest(latest)
}

pub(super) const fn own_key(id: RequestId) -> RunKey {
    (OWN_LINK, id)
}

const fn desk_notice(id: RequestId) -> DeskNotice {
    DeskNotice { request: id.get() }
}
