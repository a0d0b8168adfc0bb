use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cicadalock_core::desk::{DeskAction, DeskMachine};
use cicadalock_core::gateway::{
    AttemptEnd, GatewayAction, GatewayBounds, GatewayCall, GatewayMachine,
};
use cicadalock_core::id::{CustomerId, EndpointId, LinkId, RequestId, ServiceName, ZoneName};
use cicadalock_core::message::DeskMessage;
use cicadalock_core::serving::{
    EndpointList, ListedEndpoint, ListingState, ServiceTraits, ServingConfig,
};
use cicadalock_core::time::ClockTime;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::engine_model::{EngineEvent, EngineModel, EngineRequest};
use super::load_draw::{DrawnCall, draw_load};
use super::load_file::{CutSettings, LoadFile};
use super::outcome_table::{CallOutcome, OutcomeTable};
use super::virtual_host::{LAG_INTERVAL, RETRY_AFTER, VirtualHost};

/// Virtual time at which the load begins. Not zero, because the core's state machines read time
/// zero as "never".
const START: ClockTime = ClockTime::from_millis(10_000);

/// A refused caller retries if the advised delay is at most its remaining time divided by this.
const RETRY_WAIT_DIVISOR: u32 = 3;

/// Virtual time after the end of the load during which running requests may finish.
const DRAIN_TIME: Duration = Duration::from_secs(15);

/// Options of an emulation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EmulatorOptions {
    /// Seed of the random load; the same seed gives the same results.
    pub seed: u64,
    /// Time over which requests arrive.
    pub length: Duration,
    /// Replaces the routers with a single one that has no network delay and knows the exact length
    /// of answers.
    pub has_full_knowledge: bool,
}

impl Default for EmulatorOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            length: Duration::from_secs(30),
            has_full_knowledge: false,
        }
    }
}

/// An event at a point in virtual time; numbers are indices of calls, routers and engines.
#[derive(Debug, Clone, PartialEq)]
enum VirtualEvent {
    Arrive(usize),
    /// The host of a call's router has read the request.
    Submit(usize),
    /// A call's router did not reach the engine that it was started on.
    ConnectFailed(usize),
    /// A router measures how late its timers are.
    LagTimer(usize),
    /// An event of a call's stream has been passed on; true for the last one.
    PassedOn(usize, bool),
    /// The caller cancels the request if it has not ended.
    Deadline(usize),
    RouterWake(usize),
    DeskWake(usize),
    /// A message from a router (first) reaches the desk of an engine (second).
    ToDesk(usize, usize, DeskMessage),
    /// A message from the desk of an engine (first) reaches a router (second).
    ToRouter(usize, usize, DeskMessage),
    /// A call (second) reaches an engine (first).
    ToEngine(usize, usize),
    /// The cancellation of a call (second) reaches an engine (first).
    CancelOnEngine(usize, usize),
    StepEnd(usize),
    /// An event of a call's stream reaches its router; true for the last one.
    StreamEvent(usize, bool),
}

/// A scheduled event; `number` keeps events of the same time in the order in which they were
/// scheduled.
struct QueuedEvent {
    at: ClockTime,
    number: u64,
    event: VirtualEvent,
}

struct VirtualEngine {
    id: EndpointId,
    desk: DeskMachine,
    model: EngineModel,
    is_stepping: bool,
}

struct VirtualFleet<'a> {
    load: &'a LoadFile,
    service: ServiceName,
    link: Duration,
    calls: Vec<DrawnCall>,
    outcomes: Vec<CallOutcome>,
    /// Index of the engine that each call was last started on, if it was started.
    assigned_engines: Vec<Option<usize>>,
    routers: Vec<GatewayMachine>,
    /// Hosts of the routers; empty if their processor time is unlimited.
    hosts: Vec<VirtualHost>,
    engines: Vec<VirtualEngine>,
    /// Next wake-up time of each router and each desk. Queued wake-ups of other times are ignored.
    next_wakes: (Vec<ClockTime>, Vec<ClockTime>),
    event_queue: BinaryHeap<Reverse<QueuedEvent>>,
    /// Number of events scheduled so far.
    count: u64,
    now: ClockTime,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Emulates a load and returns its results.
///
/// # Errors
///
/// Returns an error if the core rejects the configuration derived from the load file.
pub fn emulate(load: &LoadFile, options: &EmulatorOptions) -> Result<OutcomeTable, String> {
    let mut fleet = VirtualFleet::new(load, options)?;
    fleet.run_until(START + options.length + DRAIN_TIME);
    let prefilled_and_cached = fleet
        .engines
        .iter()
        .map(|engine| engine.model.prefilled_and_cached());
    let prefilled_and_cached =
        prefilled_and_cached.fold((0, 0), |sum, each| (sum.0 + each.0, sum.1 + each.1));
    Ok(OutcomeTable::new(
        load,
        &fleet.calls,
        fleet.outcomes,
        prefilled_and_cached,
        START,
    ))
}

impl<'a> VirtualFleet<'a> {
    fn new(load: &'a LoadFile, options: &EmulatorOptions) -> Result<Self, String> {
        let mut calls = draw_load(load, options.seed, options.length);
        let (mut link, mut routers) = (
            Duration::from_micros(load.fleet.link_us),
            load.fleet.routers,
        );
        if options.has_full_knowledge {
            (link, routers) = (Duration::ZERO, 1);
            for call in &mut calls {
                call.router = 0;
                call.prompt.output_hint = Some(call.output);
            }
        }
        let service: ServiceName = name("model")?;
        let config = serving_config(load, &service)?;
        let list = endpoint_list(load, &service)?;
        let bounds = GatewayBounds {
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
        };
        let gateways = (0..routers).map(|index| {
            let zone: ZoneName = name(&format!("z{}", index % load.fleet.zones))?;
            let mut gateway = GatewayMachine::new(zone, bounds);
            gateway.set_endpoints(&list, &config, START);
            Ok(gateway)
        });
        let engines = list.iter().map(|(id, _)| VirtualEngine {
            id: id.clone(),
            desk: DeskMachine::new(),
            model: EngineModel::new(load.engine.clone()),
            is_stepping: false,
        });
        let mut fleet = Self {
            load,
            service,
            link,
            outcomes: calls
                .iter()
                .map(|call| CallOutcome::new(START + call.at))
                .collect(),
            assigned_engines: vec![None; calls.len()],
            calls,
            routers: gateways.collect::<Result<_, String>>()?,
            hosts: virtual_hosts(load, routers),
            engines: engines.collect(),
            next_wakes: (
                vec![ClockTime::MAX; routers],
                vec![ClockTime::MAX; load.fleet.engines],
            ),
            event_queue: BinaryHeap::new(),
            count: 0,
            now: START,
        };
        fleet.connect();
        for router in 0..fleet.hosts.len() {
            fleet.schedule(START + LAG_INTERVAL, VirtualEvent::LagTimer(router));
        }
        for index in 0..fleet.calls.len() {
            let at = START + fleet.calls[index].at;
            let kind = &load.kinds[fleet.calls[index].kind];
            fleet.schedule(at, VirtualEvent::Arrive(index));
            fleet.schedule(at + kind.deadline(), VirtualEvent::Deadline(index));
        }
        Ok(fleet)
    }

    /// Sends the hello message of each router to each desk.
    fn connect(&mut self) {
        for router in 0..self.routers.len() {
            for engine in 0..self.engines.len() {
                let id = self.engines[engine].id.clone();
                if let Some(hello) = self.routers[router].desk_hello(&id, "router", self.now) {
                    let message = DeskMessage::Hello(hello);
                    self.schedule(self.now, VirtualEvent::ToDesk(router, engine, message));
                }
            }
        }
    }

    fn schedule(&mut self, at: ClockTime, event: VirtualEvent) {
        self.count += 1;
        let number = self.count;
        self.event_queue
            .push(Reverse(QueuedEvent { at, number, event }));
    }

    fn run_until(&mut self, end: ClockTime) {
        while let Some(Reverse(entry)) = self.event_queue.pop() {
            if entry.at > end {
                return;
            }
            self.now = entry.at;
            self.handle_event(entry.event);
        }
    }

    fn handle_event(&mut self, event: VirtualEvent) {
        let now = self.now;
        match event {
            VirtualEvent::Arrive(call) => self.arrive(call),
            VirtualEvent::Submit(call) => self.submit(call),
            VirtualEvent::ConnectFailed(call) => self.retry(call),
            VirtualEvent::LagTimer(router) => {
                let next = self.hosts[router].measure(now);
                self.schedule(next, VirtualEvent::LagTimer(router));
            }
            VirtualEvent::PassedOn(call, is_last) => self.deliver_event(call, is_last),
            VirtualEvent::Deadline(call) => self.expire_call(call),
            VirtualEvent::RouterWake(router) => {
                if self.next_wakes.0[router] == now {
                    self.next_wakes.0[router] = ClockTime::MAX;
                    self.drive_router(router);
                }
            }
            VirtualEvent::DeskWake(engine) => {
                if self.next_wakes.1[engine] == now {
                    self.next_wakes.1[engine] = ClockTime::MAX;
                    self.drive_desk(engine);
                }
            }
            VirtualEvent::ToDesk(router, engine, message) => {
                let link = LinkId::new(router as u64 + 1);
                self.engines[engine].desk.receive(link, message, now);
                self.drive_desk(engine);
            }
            VirtualEvent::ToRouter(engine, router, message) => {
                let id = self.engines[engine].id.clone();
                self.routers[router].receive_desk_message(&id, message, now);
                self.drive_router(router);
            }
            VirtualEvent::ToEngine(engine, call) => {
                let drawn = &self.calls[call];
                let request = EngineRequest {
                    number: call as u64,
                    prompt: drawn.prompt.clone(),
                    output: drawn.output,
                };
                self.engines[engine].model.push(request);
                self.start_step(engine);
            }
            VirtualEvent::CancelOnEngine(engine, call) => {
                self.engines[engine].model.cancel(call as u64);
            }
            VirtualEvent::StepEnd(engine) => {
                self.engines[engine].is_stepping = false;
                for event in self.engines[engine].model.end_step() {
                    let (number, is_last) = match event {
                        EngineEvent::StreamEvent(number) => (number, false),
                        EngineEvent::StreamEnd(number) => (number, true),
                    };
                    let delivery = VirtualEvent::StreamEvent(number as usize, is_last);
                    self.schedule(now + self.link, delivery);
                }
                self.start_step(engine);
            }
            VirtualEvent::StreamEvent(call, is_last) => {
                self.outcomes[call].begun_at.get_or_insert(now);
                let router = self.calls[call].router;
                match self.hosts.get_mut(router) {
                    Some(host) => {
                        let at = host.take_event(now);
                        self.schedule(at, VirtualEvent::PassedOn(call, is_last));
                    }
                    None => self.deliver_event(call, is_last),
                }
            }
        }
    }

    /// Has the host of a router read a request, or refuse it.
    fn arrive(&mut self, call: usize) {
        if self.hosts.is_empty() {
            self.submit(call);
            return;
        }
        let first = self.calls[call].router;
        let routers = (0..self.hosts.len()).map(|offset| (first + offset) % self.hosts.len());
        let mut in_rotation = routers.filter(|router| self.hosts[*router].is_in_rotation(self.now));
        let router = in_rotation.next().unwrap_or(first);
        self.calls[call].router = router;
        let customer = CustomerId::new(self.calls[call].customer as u32 + 1);
        let (at, is_admitted) = self.hosts[router].take_request(customer, self.now);
        if is_admitted {
            self.schedule(at, VirtualEvent::Submit(call));
        } else {
            self.refuse(call, RETRY_AFTER);
        }
    }

    fn submit(&mut self, call: usize) {
        if self.outcomes[call].is_ended() {
            return;
        }
        let drawn = &self.calls[call];
        let kind = &self.load.kinds[drawn.kind];
        let customer = CustomerId::new(drawn.customer as u32 + 1);
        let arrived = self.outcomes[call].sent;
        let gateway_call = GatewayCall::builder(self.service.clone(), customer, self.now)
            .prompt(Some(drawn.prompt.clone()))
            .objective(kind.objective(), Some(kind.pause()))
            .deadline(arrived + kind.deadline())
            .attempts(true, 2)
            .build();
        let router = drawn.router;
        self.routers[router].submit(RequestId::new(call as u64), gateway_call, self.now);
        self.drive_router(router);
    }

    /// Cancels a request at its deadline, unless it has ended.
    fn expire_call(&mut self, call: usize) {
        if self.outcomes[call].is_ended() {
            return;
        }
        self.outcomes[call].is_expired = true;
        self.outcomes[call].ended_at = Some(self.now);
        let router = self.calls[call].router;
        self.routers[router].withdraw(RequestId::new(call as u64), self.now);
        if let Some(engine) = self.assigned_engines[call] {
            self.schedule(
                self.now + self.link,
                VirtualEvent::CancelOnEngine(engine, call),
            );
        }
        self.drive_router(router);
    }

    /// Delivers an event of a stream to the caller and reports it to the router.
    fn deliver_event(&mut self, call: usize, is_last: bool) {
        let outcome = &mut self.outcomes[call];
        if outcome.is_ended() {
            return;
        }
        let is_first = outcome.first_event_at.is_none();
        outcome.record_event(self.now, is_last);
        let (router, id) = (self.calls[call].router, RequestId::new(call as u64));
        if is_first {
            self.routers[router].first_event(id, self.now);
        }
        if is_last {
            self.routers[router].end(id, AttemptEnd::Complete, self.now);
        }
        if is_first || is_last {
            self.drive_router(router);
        }
    }

    /// Tries a call again that did not reach its engine.
    fn retry(&mut self, call: usize) {
        if self.outcomes[call].is_ended() {
            return;
        }
        let (router, id) = (self.calls[call].router, RequestId::new(call as u64));
        let machine = &mut self.routers[router];
        let end = AttemptEnd::NotReached;
        let next = machine.end(id, end, self.now);
        let denied = next.is_none_or(|next| machine.retry(id, next, end, self.now).is_err());
        if denied {
            self.refuse(call, RETRY_AFTER);
        }
        self.drive_router(router);
    }

    fn find_cut(&self, router: usize) -> Option<&'a CutSettings> {
        let at = self.now.since(START).as_secs_f64();
        let mut cuts = self.load.fleet.cuts.iter();
        cuts.find(|cut| cut.router == router && (cut.from_s..cut.from_s + cut.for_s).contains(&at))
    }

    fn start_step(&mut self, engine: usize) {
        if self.engines[engine].is_stepping {
            return;
        }
        if let Some(duration) = self.engines[engine].model.begin_step() {
            self.engines[engine].is_stepping = true;
            let duration = duration.mul_f64(self.slowdown(engine));
            self.schedule(self.now + duration, VirtualEvent::StepEnd(engine));
        }
    }

    /// Returns the factor by which work on an engine takes longer now.
    fn slowdown(&self, engine: usize) -> f64 {
        let Some(slowdown) = &self.load.engine.slowdown else {
            return 1.0;
        };
        let period = self.now.since(START).as_millis() as u64 / slowdown.period_ms;
        let drawn = StdRng::seed_from_u64(period << 16 | engine as u64).random_range(0.0..1.0);
        if drawn < slowdown.share {
            slowdown.factor
        } else {
            1.0
        }
    }

    fn drive_router(&mut self, router: usize) {
        let now = self.now;
        loop {
            let actions = self.routers[router].take_actions(now);
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.execute_action(router, action);
            }
        }
        if let Some(due) = self.routers[router].next_wake() {
            let due = due.max(now + Duration::from_millis(1));
            if due < self.next_wakes.0[router] {
                self.next_wakes.0[router] = due;
                self.schedule(due, VirtualEvent::RouterWake(router));
            }
        }
    }

    fn execute_action(&mut self, router: usize, action: GatewayAction) {
        match action {
            GatewayAction::SendToDesk { endpoint, message } => {
                if let Some(engine) = self.engine_index(&endpoint) {
                    let event = VirtualEvent::ToDesk(router, engine, message);
                    self.schedule(self.now + self.link, event);
                }
            }
            GatewayAction::Start {
                request, endpoint, ..
            } => {
                let call = request.get() as usize;
                if let Some(cut) = self.find_cut(router) {
                    let fails_at = self.now + Duration::from_millis(cut.fails_ms);
                    self.schedule(fails_at, VirtualEvent::ConnectFailed(call));
                    return;
                }
                if let Some(engine) = self.engine_index(&endpoint) {
                    self.assigned_engines[call] = Some(engine);
                    self.schedule(self.now + self.link, VirtualEvent::ToEngine(engine, call));
                }
            }
            GatewayAction::Refuse {
                request,
                retry_after,
                ..
            } => self.refuse(request.get() as usize, retry_after),
            GatewayAction::CloseDesk(_)
            | GatewayAction::CheckEndpoint { .. }
            | GatewayAction::ReportSuspect(_)
            | GatewayAction::ReportInvalid(_)
            | GatewayAction::ReportShares(_) => {}
        }
    }

    /// Handles a refusal: the caller retries once at the next router, if the advised delay is short
    /// enough.
    fn refuse(&mut self, call: usize, retry_after: Duration) {
        let kind = &self.load.kinds[self.calls[call].kind];
        let outcome = &mut self.outcomes[call];
        let remaining = (outcome.sent + kind.deadline()).since(self.now);
        outcome.refused_at.push(self.now);
        if outcome.refusals == 0 && retry_after <= remaining / RETRY_WAIT_DIVISOR {
            outcome.refusals = 1;
            if self.hosts.is_empty() {
                let routers = self.routers.len();
                self.calls[call].router = (self.calls[call].router + 1) % routers;
            }
            self.schedule(self.now + retry_after, VirtualEvent::Arrive(call));
        } else {
            outcome.refusals += 1;
            outcome.is_refused = true;
            outcome.ended_at = Some(self.now);
        }
    }

    fn drive_desk(&mut self, engine: usize) {
        let now = self.now;
        for action in self.engines[engine].desk.take_actions(now) {
            if let DeskAction::Send(link, message) = action {
                let router = link.get() as usize - 1;
                let event = VirtualEvent::ToRouter(engine, router, message);
                self.schedule(now + self.link, event);
            }
        }
        if let Some(due) = self.engines[engine].desk.next_wake() {
            let due = due.max(now + Duration::from_millis(1));
            if due < self.next_wakes.1[engine] {
                self.next_wakes.1[engine] = due;
                self.schedule(due, VirtualEvent::DeskWake(engine));
            }
        }
    }

    fn engine_index(&self, endpoint: &EndpointId) -> Option<usize> {
        let found = self
            .engines
            .binary_search_by(|engine| engine.id.cmp(endpoint));
        found.ok()
    }
}

fn virtual_hosts(load: &LoadFile, routers: usize) -> Vec<VirtualHost> {
    let settings = load.fleet.hosts.iter();
    let hosts =
        settings.flat_map(|settings| (0..routers).map(|index| VirtualHost::new(settings, index)));
    hosts.collect()
}

fn serving_config(load: &LoadFile, service: &ServiceName) -> Result<ServingConfig, String> {
    let traits = ServiceTraits {
        health_path: "/".into(),
        connections: 1,
        engine_slots: Some(load.engine.slots),
        engine_tokens: Some(load.engine.memory_tokens),
    };
    let config = ServingConfig::builder(1).service(service.clone(), traits);
    config.build().map_err(|findings| format!("{findings:?}"))
}

fn endpoint_list(load: &LoadFile, service: &ServiceName) -> Result<EndpointList, String> {
    let entries = (0..load.fleet.engines).map(|index| {
        let listed = ListedEndpoint {
            service: service.clone(),
            address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
            zone: name(&format!("z{}", index % load.fleet.zones))?,
            slots: load.engine.slots,
            state: ListingState::Ready,
            cold_remaining: Duration::ZERO,
            started: 1,
            heartbeat: 1,
        };
        Ok((name(&format!("engine-{index:04}"))?, listed))
    });
    entries.collect()
}

fn name<T: std::str::FromStr>(text: &str) -> Result<T, String>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| error.to_string())
}
