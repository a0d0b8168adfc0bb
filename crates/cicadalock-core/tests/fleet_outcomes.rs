//! Simulates routers and sidecars under random message delays, cut connections, freezes and
//! restarts.
//!
//! The tests check that a non-idempotent request runs at most once, that callers are told the
//! correct outcome, and that every caller that still waits gets a last event.

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use cicadalock_core::config::FleetConfig;
use cicadalock_core::id::{
    GrantId, HostName, Incarnation, LinkId, RequestId, Revision, ServiceName,
};
use cicadalock_core::member::HostList;
use cicadalock_core::message::{AnswerChunk, AnswerEnd, AnswerHead, PeerMessage, end_state};
use cicadalock_core::outcome::{RequestOutcome, StoredAnswer};
use cicadalock_core::router::{CallerEvent, CallerRequest, RouterAction, RouterMachine};
use cicadalock_core::sidecar::{CallResult, RunCommand, SidecarAction, SidecarMachine};
use cicadalock_core::time::{ClockTime, WallTime};
use proptest::prelude::*;
use support::{key_minted_at, seeded, test_config};

const ROUTERS: usize = 2;
const SIDECARS: usize = 2;
const START_MS: u64 = 1_000_000;

/// One step of a random history.
#[derive(Debug, Clone)]
enum Step {
    /// A caller sends a request without a key, of an idempotent or a non-idempotent kind.
    Call { router: usize, idempotent: bool },
    /// A caller sends a keyed request, possibly as a retry.
    CallKeyed { router: usize, key: usize },
    /// A caller mints an idempotency key.
    MintKey,
    /// A waiting caller disconnects; `nth` counts from the newest.
    CallerLeaves { nth: usize },
    /// The next `count` messages of a connection arrive.
    Deliver {
        link: usize,
        forward: bool,
        count: usize,
    },
    /// A connection is cut; messages in transit are lost.
    Cut { link: usize },
    /// One end of a cut connection detects the loss.
    DetectCut { link: usize, near_end: bool },
    /// The oldest pending call starts at the endpoint.
    StartCall { sidecar: usize },
    /// The oldest running call ends; result 0 breaks off its response.
    EndCall { sidecar: usize, result: usize },
    /// A process is frozen or resumed.
    Freeze { process: usize, frozen: bool },
    /// A process is killed and restarted without its state.
    Restart { process: usize },
    /// The platform publishes a host list; `mask` has a bit for each live sidecar.
    PublishHosts { mask: usize },
    /// A process reads the next host list it has not yet read.
    ReadHosts { process: usize },
    /// A sidecar that has stopped gracefully starts again; ignored while it is still stopping.
    RestartStopped { sidecar: usize },
    /// A sidecar starts a graceful stop.
    Stop { sidecar: usize },
    /// The clock advances.
    AdvanceTime { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let link = 0..(ROUTERS * SIDECARS + 1);
    prop_oneof![
        6 => (0..ROUTERS, any::<bool>()).prop_map(|(router, idempotent)| Step::Call { router, idempotent }),
        10 => (0..ROUTERS, 0..2_usize).prop_map(|(router, key)| Step::CallKeyed { router, key }),
        1 => (1..4_usize).prop_map(|mask| Step::PublishHosts { mask }),
        4 => (0..(ROUTERS + SIDECARS)).prop_map(|process| Step::ReadHosts { process }),
        2 => Just(Step::MintKey),
        1 => (0..20_usize).prop_map(|nth| Step::CallerLeaves { nth }),
        40 => (link.clone(), any::<bool>(), 1..12_usize)
            .prop_map(|(link, forward, count)| Step::Deliver { link, forward, count }),
        1 => link.clone().prop_map(|link| Step::Cut { link }),
        4 => (link, any::<bool>()).prop_map(|(link, near_end)| Step::DetectCut { link, near_end }),
        10 => (0..SIDECARS).prop_map(|sidecar| Step::StartCall { sidecar }),
        8 => (0..SIDECARS, 0..4_usize).prop_map(|(sidecar, result)| Step::EndCall { sidecar, result }),
        2 => (0..(ROUTERS + SIDECARS), any::<bool>())
            .prop_map(|(process, frozen)| Step::Freeze { process, frozen }),
        1 => (0..(ROUTERS + SIDECARS)).prop_map(|process| Step::Restart { process }),
        20 => (1..400_u64).prop_map(|millis| Step::AdvanceTime { millis }),
    ]
}

fn stopping_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        40 => step(),
        2 => (0..SIDECARS).prop_map(|sidecar| Step::Stop { sidecar }),
        4 => (0..SIDECARS).prop_map(|sidecar| Step::RestartStopped { sidecar }),
    ]
}

struct Router {
    machine: RouterMachine,
    frozen: bool,
}

struct Sidecar {
    machine: SidecarMachine,
    incarnation: Incarnation,
    frozen: bool,
    /// Ordered calls that have not reached the endpoint.
    commands: VecDeque<RunCommand>,
    /// Calls running at the endpoint.
    running: VecDeque<RunCommand>,
    aborted: BTreeSet<GrantId>,
}

/// A connection from a router or the first sidecar (the near, dialling end) to a sidecar (the far
/// end).
struct Link {
    id: LinkId,
    near_up: bool,
    far_up: bool,
    is_cut: bool,
    forward: VecDeque<PeerMessage>,
    backward: VecDeque<PeerMessage>,
}

/// A request as its caller sees it.
#[derive(Debug, Default, Clone)]
struct Caller {
    body: String,
    router: usize,
    router_incarnation: u64,
    is_idempotent: bool,
    key: Option<usize>,
    received: Vec<u8>,
    last: Option<CallerEvent>,
    is_gone: bool,
}

struct FleetSimulation {
    config: Arc<FleetConfig>,
    /// Bit masks of the live sidecars, by revision from 1.
    host_lists: Vec<usize>,
    /// Newest host list revision that each process has read.
    read_revisions: Vec<usize>,
    routers: Vec<Router>,
    router_incarnations: Vec<u64>,
    sidecars: Vec<Sidecar>,
    links: Vec<Link>,
    next_link: u64,
    next_request: u64,
    now: u64,
    callers: BTreeMap<u64, Caller>,
    /// Runs at the endpoints: the body, and the number of the request that ran it.
    effects: Vec<(String, u64)>,
    keys: Vec<u64>,
}

impl FleetSimulation {
    fn new() -> Self {
        let mut fleet = Self {
            config: test_config(1),
            host_lists: vec![3],
            read_revisions: vec![1; ROUTERS + SIDECARS],
            routers: Vec::new(),
            router_incarnations: vec![0; ROUTERS],
            sidecars: Vec::new(),
            links: Vec::new(),
            next_link: 1,
            next_request: 1,
            now: START_MS,
            callers: BTreeMap::new(),
            effects: Vec::new(),
            keys: Vec::new(),
        };
        for _ in 0..ROUTERS {
            let router = fleet.new_router();
            fleet.routers.push(router);
        }
        for index in 0..SIDECARS {
            let sidecar = fleet.new_sidecar(index);
            fleet.sidecars.push(sidecar);
        }
        for _ in 0..=ROUTERS * SIDECARS {
            fleet.links.push(Link {
                id: LinkId::new(0),
                near_up: false,
                far_up: false,
                is_cut: true,
                forward: VecDeque::new(),
                backward: VecDeque::new(),
            });
        }
        (0..fleet.links.len()).for_each(|link| fleet.connect(link));
        for _ in 0..30 {
            fleet.deliver_all();
            fleet.advance_time(200);
        }
        for _ in 0..6 {
            fleet.now += 1;
            let now = fleet.now;
            fleet.keys.push(now);
        }
        fleet
    }

    fn clock(&self) -> ClockTime {
        ClockTime::from_millis(self.now)
    }

    fn wall(&self) -> WallTime {
        WallTime::from_unix_millis(self.now)
    }

    fn new_router(&self) -> Router {
        let mut machine = RouterMachine::new(self.now);
        machine.set_config(Arc::clone(&self.config));
        machine.set_hosts(self.host_list(self.host_lists.len()));
        Router {
            machine,
            frozen: false,
        }
    }

    fn new_sidecar(&self, index: usize) -> Sidecar {
        let incarnation = Incarnation::from_start(self.now, index as u16);
        let mut machine = SidecarMachine::builder(sidecar_name(index), service())
            .incarnation(incarnation)
            .started(self.wall())
            .build();
        machine.set_config(Arc::clone(&self.config), self.wall());
        machine.set_hosts(
            &self.host_list(self.host_lists.len()),
            Revision::new(self.host_lists.len() as u64),
        );
        Sidecar {
            machine,
            incarnation,
            frozen: false,
            commands: VecDeque::new(),
            running: VecDeque::new(),
            aborted: BTreeSet::new(),
        }
    }

    /// Returns the near end of a connection (a router, or none for the first sidecar) and the far
    /// sidecar.
    fn ends(link: usize) -> (Option<usize>, usize) {
        if link == ROUTERS * SIDECARS {
            (None, 1)
        } else {
            (Some(link / SIDECARS), link % SIDECARS)
        }
    }

    fn connect(&mut self, link: usize) {
        let (near, far) = Self::ends(link);
        self.next_link += 1;
        let id = LinkId::new(self.next_link);
        let now = self.clock();
        self.links[link] = Link {
            id,
            near_up: true,
            far_up: true,
            is_cut: false,
            forward: VecDeque::new(),
            backward: VecDeque::new(),
        };
        match near {
            Some(router) => {
                let leaving = self.sidecars[far].machine.is_leaving();
                let machine = &mut self.routers[router].machine;
                machine.link_up(id, sidecar_name(far), service(), leaving, now);
                let name: HostName = format!("r{router}").parse().expect("a name");
                self.sidecars[far].machine.router_connected(id, name, now);
            }
            None => {
                let incarnations = [self.sidecars[0].incarnation, self.sidecars[1].incarnation];
                self.sidecars[0]
                    .machine
                    .peer_connected(id, sidecar_name(1), incarnations[1], true);
                self.sidecars[1]
                    .machine
                    .peer_connected(id, sidecar_name(0), incarnations[0], true);
            }
        }
        self.run_actions();
    }

    /// Carries out the pending actions of all processes that are not frozen.
    fn run_actions(&mut self) {
        let (now, wall) = (self.clock(), self.wall());
        for index in 0..ROUTERS {
            if !self.routers[index].frozen {
                let actions = self.routers[index].machine.take_actions(now);
                actions
                    .into_iter()
                    .for_each(|action| self.act_router(index, action));
            }
        }
        for index in 0..SIDECARS {
            if !self.sidecars[index].frozen {
                let actions = self.sidecars[index].machine.take_actions(now, wall);
                actions
                    .into_iter()
                    .for_each(|action| self.act_sidecar(index, action));
            }
        }
    }

    fn act_router(&mut self, router: usize, action: RouterAction) {
        match action {
            RouterAction::Send { link, message } => {
                if let Some(index) = self.find_link(link)
                    && !self.links[index].is_cut
                {
                    self.links[index].forward.push_back(message);
                }
            }
            RouterAction::Close(link) => {
                if let Some(index) = self.find_link(link) {
                    self.links[index].is_cut = true;
                    self.links[index].near_up = false;
                }
            }
            RouterAction::Answer { request, event } => self.record_event(router, request, event),
        }
    }

    fn act_sidecar(&mut self, sidecar: usize, action: SidecarAction) {
        match action {
            SidecarAction::Send { link, message } => self.send_back(sidecar, link, message),
            SidecarAction::Close(link) => {
                if let Some(index) = self.find_link(link) {
                    self.links[index].is_cut = true;
                    self.links[index].far_up = false;
                }
            }
            SidecarAction::Start(command) => self.sidecars[sidecar].commands.push_back(*command),
            SidecarAction::Abort(grant) => {
                self.sidecars[sidecar].aborted.insert(grant);
            }
            SidecarAction::Credit { .. } => {}
        }
    }

    fn send_back(&mut self, sidecar: usize, link: LinkId, message: PeerMessage) {
        let Some(index) = self
            .find_link(link)
            .filter(|index| !self.links[*index].is_cut)
        else {
            return;
        };
        let is_forward = Self::ends(index).0.is_none() && sidecar == 0;
        let link = &mut self.links[index];
        if is_forward {
            link.forward.push_back(message)
        } else {
            link.backward.push_back(message)
        }
    }

    fn find_link(&self, id: LinkId) -> Option<usize> {
        self.links.iter().position(|link| link.id == id)
    }

    fn record_event(&mut self, router: usize, request: RequestId, event: CallerEvent) {
        let effects = &self.effects;
        let Some(caller) = self.callers.get_mut(&request.get()) else {
            return;
        };
        if caller.router != router || caller.is_gone {
            return;
        }
        assert!(
            caller.last.is_none(),
            "event after the last event: {event:?}"
        );
        if let CallerEvent::Chunk(bytes) = &event {
            caller.received.extend(bytes);
        }
        if let CallerEvent::Fail(failure) = &event
            && failure.outcome == RequestOutcome::NotRun
        {
            let ran = effects.iter().any(|(body, number)| {
                *body == caller.body && (caller.key.is_some() || *number == request.get())
            });
            // Another body under a used key is refused as not run, which says nothing about the
            // first request.
            assert!(!ran, "reported as not run, but it ran: {caller:?}");
        }
        if event == CallerEvent::Complete {
            let expected = format!("done {}", caller.body);
            assert_eq!(
                String::from_utf8_lossy(&caller.received),
                expected,
                "response to a different request"
            );
        }
        if event.is_last() {
            caller.last = Some(event);
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Call { router, idempotent } => self.call(router, None, idempotent),
            Step::CallKeyed { router, key } => self.call(router, Some(key), false),
            Step::MintKey => self.keys.push(self.now),
            Step::CallerLeaves { nth } => self.caller_leaves(nth),
            Step::Deliver {
                link,
                forward,
                count,
            } => {
                (0..count).for_each(|_| self.deliver(link, forward));
            }
            Step::Cut { link } => self.cut(link),
            Step::DetectCut { link, near_end } => self.detect_cut(link, near_end),
            Step::StartCall { sidecar } => self.start_call(sidecar),
            Step::EndCall { sidecar, result } => self.end_call(sidecar, result),
            Step::Freeze { process, frozen } => self.freeze(process, frozen),
            Step::Restart { process } => self.restart(process),
            Step::PublishHosts { mask } => {
                // Consecutive lists have a live sidecar in common.
                let before = *self.host_lists.last().expect("a list");
                self.host_lists
                    .push(if mask & before == 0 { 3 } else { mask });
            }
            Step::ReadHosts { process } => self.read_hosts(process),
            Step::RestartStopped { sidecar } => {
                let machine = &self.sidecars[sidecar].machine;
                if machine.is_leaving() && machine.is_idle() && !self.sidecars[sidecar].frozen {
                    // Its last messages arrive before its connections close.
                    (0..8).for_each(|_| {
                        self.deliver(ROUTERS * SIDECARS, true);
                        self.deliver(ROUTERS * SIDECARS, false);
                    });
                    self.restart(ROUTERS + sidecar);
                }
            }
            Step::Stop { sidecar } => self.sidecars[sidecar].machine.stop(),
            Step::AdvanceTime { millis } => self.advance_time(millis),
        }
        self.run_actions();
    }

    fn call(&mut self, router: usize, key: Option<usize>, idempotent: bool) {
        if self.routers[router].frozen {
            return;
        }
        // Callers use the newest keys.
        let key = key.map(|key| self.keys.len() - 1 - key);
        let number = self.next_request;
        self.next_request += 1;
        let body = key.map_or_else(|| format!("request-{number}"), |key| format!("key-{key}"));
        let name = if idempotent { "lookup" } else { "booking" };
        let kind = self
            .config
            .kinds()
            .iter()
            .find(|kind| kind.name.as_str() == name);
        let call = CallerRequest::builder(&self.config.customers()[0], kind.expect("a kind"))
            .body(body.clone().into_bytes())
            .key(key.map(|key| key_minted_at(self.keys[key], key as u16)))
            .build();
        self.callers.insert(
            number,
            Caller {
                body,
                router,
                router_incarnation: self.router_incarnations[router],
                is_idempotent: idempotent,
                key,
                ..Caller::default()
            },
        );
        let now = self.clock();
        self.routers[router]
            .machine
            .submit(RequestId::new(number), call, now);
    }

    fn caller_leaves(&mut self, nth: usize) {
        let now = self.clock();
        let waiting = self
            .callers
            .iter_mut()
            .filter(|(_, caller)| caller.last.is_none());
        let Some((number, caller)) = waiting.rev().nth(nth) else {
            return;
        };
        if caller.router_incarnation == self.router_incarnations[caller.router]
            && !self.routers[caller.router].frozen
        {
            caller.is_gone = true;
            self.routers[caller.router]
                .machine
                .caller_gone(RequestId::new(*number), now);
        }
    }

    fn deliver(&mut self, index: usize, forward: bool) {
        let (near, far) = Self::ends(index);
        let (now, wall) = (self.clock(), self.wall());
        let link = &mut self.links[index];
        if forward && link.far_up && !self.sidecars[far].frozen {
            if let Some(message) = link.forward.pop_front() {
                self.sidecars[far]
                    .machine
                    .receive(link.id, message, now, wall);
            }
        } else if !forward && link.near_up {
            match near {
                Some(router) if !self.routers[router].frozen => {
                    if let Some(message) = link.backward.pop_front() {
                        self.routers[router].machine.receive(link.id, message, now);
                    }
                }
                None if !self.sidecars[0].frozen => {
                    if let Some(message) = link.backward.pop_front() {
                        self.sidecars[0]
                            .machine
                            .receive(link.id, message, now, wall);
                    }
                }
                _ => {}
            }
        }
        self.run_actions();
    }

    fn cut(&mut self, link: usize) {
        self.links[link].is_cut = true;
        self.links[link].forward.clear();
        self.links[link].backward.clear();
    }

    fn detect_cut(&mut self, index: usize, near_end: bool) {
        let (near, far) = Self::ends(index);
        let now = self.clock();
        if !self.links[index].is_cut {
            return;
        }
        let id = self.links[index].id;
        if near_end && self.links[index].near_up {
            match near {
                Some(router) if !self.routers[router].frozen => {
                    self.routers[router].machine.link_down(id, now);
                    self.links[index].near_up = false;
                }
                None if !self.sidecars[0].frozen => {
                    self.sidecars[0].machine.link_down(id, now);
                    self.links[index].near_up = false;
                }
                _ => {}
            }
        } else if !near_end && self.links[index].far_up && !self.sidecars[far].frozen {
            self.sidecars[far].machine.link_down(id, now);
            self.links[index].far_up = false;
        }
        // The dialling end reconnects, possibly before the other end has detected the loss.
        let near_frozen = near.map_or(self.sidecars[0].frozen, |router| {
            self.routers[router].frozen
        });
        if !self.links[index].near_up && !near_frozen && !self.sidecars[far].frozen {
            if near.is_none() && self.links[index].far_up {
                self.sidecars[far].machine.link_down(id, now);
            }
            self.connect(index);
        }
    }

    /// Starts the oldest pending call at the endpoint, unless its start deadline has passed or it
    /// was aborted.
    fn start_call(&mut self, index: usize) {
        let (now, number) = (
            self.clock(),
            self.sidecars[index]
                .commands
                .front()
                .map(|command| command.request.request),
        );
        let sidecar = &mut self.sidecars[index];
        if sidecar.frozen {
            return;
        }
        let (Some(command), Some(number)) = (sidecar.commands.pop_front(), number) else {
            return;
        };
        if now >= command.start_by || sidecar.aborted.contains(&command.grant) {
            sidecar
                .machine
                .finish_call(command.grant, CallResult::TooLate, 0, now);
            return;
        }
        let body = String::from_utf8_lossy(&command.request.body).into_owned();
        self.effects.push((body, number));
        sidecar.running.push_back(command);
    }

    fn end_call(&mut self, index: usize, result: usize) {
        let now = self.clock();
        let sidecar = &mut self.sidecars[index];
        if sidecar.frozen {
            return;
        }
        let Some(command) = sidecar.running.pop_front() else {
            return;
        };
        let full_body = format!("done {}", String::from_utf8_lossy(&command.request.body));
        let grant = command.request.grant;
        let is_complete = result != 0 && !sidecar.aborted.contains(&command.grant);
        let mut messages = vec![
            PeerMessage::Head(AnswerHead {
                grant,
                status: 200,
                headers: Vec::new(),
            }),
            PeerMessage::Chunk(AnswerChunk {
                grant,
                offset: 0,
                bytes: full_body.as_bytes()[..3].to_vec(),
            }),
        ];
        if is_complete {
            let kept = StoredAnswer {
                status: 200,
                headers: Vec::new(),
                body: full_body.clone().into_bytes(),
            };
            let result = CallResult::Complete {
                status: 200,
                kept: Some(kept),
            };
            sidecar.machine.finish_call(command.grant, result, 1, now);
            messages.push(PeerMessage::Chunk(AnswerChunk {
                grant,
                offset: 3,
                bytes: full_body.as_bytes()[3..].to_vec(),
            }));
            let (state, length) = (end_state::COMPLETE, full_body.len() as u64);
            messages.push(PeerMessage::End(AnswerEnd {
                grant,
                state,
                length,
            }));
        } else {
            sidecar
                .machine
                .finish_call(command.grant, CallResult::Broken, 1, now);
            let (state, length) = (end_state::BROKEN, 3);
            messages.push(PeerMessage::End(AnswerEnd {
                grant,
                state,
                length,
            }));
        }
        for message in messages {
            self.send_back(index, command.link, message);
        }
    }

    fn freeze(&mut self, process: usize, frozen: bool) {
        if process < ROUTERS {
            self.routers[process].frozen = frozen;
        } else {
            self.sidecars[process - ROUTERS].frozen = frozen;
        }
    }

    /// Returns the host list of a revision.
    fn host_list(&self, revision: usize) -> HostList {
        let mask = self.host_lists[revision - 1];
        let hosts = (0..SIDECARS).map(|index| {
            let state = if mask & (1 << index) == 0 { "leaving" } else { "live" };
            format!(
                "{{\"name\": \"s{index}\", \"role\": \"sidecar\", \"service\": \"udlaan\", \"zone\": \"z\", \
                 \"address\": \"127.0.0.1:{}\", \"state\": \"{state}\"}}",
                index + 1
            )
        });
        let hosts: Vec<String> = hosts.collect();
        let text = format!(
            "{{\"previous\": {}, \"hosts\": [{}]}}",
            revision - 1,
            hosts.join(", ")
        );
        HostList::parse(&text).expect("a host list")
    }

    fn read_hosts(&mut self, process: usize) {
        let next = self.read_revisions[process] + 1;
        let is_frozen = match process.checked_sub(ROUTERS) {
            None => self.routers[process].frozen,
            Some(index) => self.sidecars[index].frozen,
        };
        if next > self.host_lists.len() || is_frozen {
            return;
        }
        self.read_revisions[process] = next;
        let list = self.host_list(next);
        match process.checked_sub(ROUTERS) {
            None => self.routers[process].machine.set_hosts(list),
            Some(index) => self.sidecars[index]
                .machine
                .set_hosts(&list, Revision::new(next as u64)),
        }
    }

    fn restart(&mut self, process: usize) {
        self.read_revisions[process] = self.host_lists.len();
        if process < ROUTERS {
            self.routers[process] = self.new_router();
            self.router_incarnations[process] += 1;
        } else {
            let index = process - ROUTERS;
            self.now += 1;
            self.sidecars[index] = self.new_sidecar(index);
        }
        for index in 0..self.links.len() {
            let (near, far) = Self::ends(index);
            let near_is = near.map_or(process == ROUTERS, |router| router == process);
            let far_is = far + ROUTERS == process;
            if near_is || far_is {
                self.cut(index);
                self.links[index].near_up &= !near_is;
                self.links[index].far_up &= !far_is;
            }
        }
    }

    fn advance_time(&mut self, millis: u64) {
        self.now += millis;
        let (now, wall) = (self.clock(), self.wall());
        self.routers
            .iter_mut()
            .filter(|router| !router.frozen)
            .for_each(|router| router.machine.tick(now));
        let sidecars = self.sidecars.iter_mut().filter(|sidecar| !sidecar.frozen);
        sidecars.for_each(|sidecar| sidecar.machine.tick(now, wall));
        self.run_actions();
        // Messages between the sidecars flow unless their connection is cut or an end is frozen.
        for _ in 0..8 {
            self.deliver(ROUTERS * SIDECARS, true);
            self.deliver(ROUTERS * SIDECARS, false);
        }
    }

    fn deliver_all(&mut self) {
        for link in 0..self.links.len() {
            for _ in 0..40 {
                self.deliver(link, true);
                self.deliver(link, false);
            }
        }
    }

    /// Resumes all processes, delivers all host lists and runs long enough for every request
    /// to end.
    fn drain(&mut self) {
        (0..ROUTERS + SIDECARS).for_each(|process| self.freeze(process, false));
        for _ in 0..self.host_lists.len() {
            (0..ROUTERS + SIDECARS).for_each(|process| self.read_hosts(process));
        }
        for _ in 0..80 {
            for link in 0..self.links.len() {
                self.detect_cut(link, false);
                self.detect_cut(link, true);
            }
            self.deliver_all();
            for sidecar in 0..SIDECARS {
                (0..3).for_each(|_| self.start_call(sidecar));
                (0..3).for_each(|_| self.end_call(sidecar, 1));
            }
            self.advance_time(200);
        }
    }

    fn check(&self) {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (body, _) in &self.effects {
            *counts.entry(body).or_default() += 1;
        }
        for (number, caller) in &self.callers {
            let count = counts.get(caller.body.as_str()).copied().unwrap_or(0);
            assert!(
                caller.is_idempotent || count <= 1,
                "{count} effects of {caller:?}"
            );
            let not_run = matches!(
                &caller.last,
                Some(CallerEvent::Fail(failure)) if failure.outcome == RequestOutcome::NotRun
            );
            let ran = self.effects.iter().any(|(_, request)| request == number);
            assert!(
                !(not_run && ran),
                "reported as not run, but it ran later: {caller:?}"
            );
            let is_served = caller.router_incarnation == self.router_incarnations[caller.router]
                && !caller.is_gone;
            assert!(
                !is_served || caller.last.is_some(),
                "no last event for {caller:?}"
            );
        }
    }
}

fn sidecar_name(index: usize) -> HostName {
    format!("s{index}").parse().expect("a name")
}

fn service() -> ServiceName {
    "udlaan".parse().expect("a name")
}

fn run(steps: &[Step]) -> FleetSimulation {
    let mut fleet = FleetSimulation::new();
    steps.iter().for_each(|step| fleet.apply(step));
    fleet.drain();
    fleet.check();
    fleet
}

proptest! {
    #![proptest_config(seeded(1_500))]

    #[test]
    fn outcomes_are_correct_and_non_idempotent_requests_run_at_most_once(steps in prop::collection::vec(step(), 20..400)) {
        run(&steps);
    }

    #[test]
    fn outcomes_are_correct_while_sidecars_stop(steps in prop::collection::vec(stopping_step(), 20..400)) {
        run(&steps);
    }
}

#[test]
fn every_request_completes_when_nothing_fails() {
    let mut steps = Vec::new();
    for number in 0..30 {
        steps.push(Step::Call {
            router: number % ROUTERS,
            idempotent: number % 3 == 0,
        });
    }
    for key in 0..6 {
        steps.push(Step::CallKeyed {
            router: key % ROUTERS,
            key,
        });
    }
    let fleet = run(&steps);
    let complete = fleet
        .callers
        .values()
        .filter(|caller| caller.last == Some(CallerEvent::Complete));
    assert_eq!(complete.count(), 36);
    assert_eq!(fleet.effects.len(), 36);
}

#[test]
fn a_retry_at_another_router_gets_the_first_answer() {
    let mut fleet = FleetSimulation::new();
    fleet.apply(&Step::CallKeyed { router: 0, key: 0 });
    fleet.drain();
    fleet.apply(&Step::CallKeyed { router: 1, key: 0 });
    fleet.drain();
    fleet.check();
    assert_eq!(fleet.effects.len(), 1);
    assert!(
        fleet
            .callers
            .values()
            .all(|caller| caller.last == Some(CallerEvent::Complete))
    );
}

#[test]
fn a_retry_after_the_home_restarted_is_unknown_and_not_run() {
    let mut fleet = FleetSimulation::new();
    fleet.apply(&Step::CallKeyed { router: 0, key: 0 });
    fleet.drain();
    (0..SIDECARS).for_each(|index| {
        fleet.apply(&Step::Restart {
            process: ROUTERS + index,
        })
    });
    fleet.drain();
    fleet.apply(&Step::CallKeyed { router: 1, key: 0 });
    fleet.drain();
    fleet.check();
    assert_eq!(fleet.effects.len(), 1);
    let second = fleet
        .callers
        .values()
        .last()
        .and_then(|caller| caller.last.clone());
    assert!(
        matches!(second, Some(CallerEvent::Fail(failure)) if failure.outcome == RequestOutcome::Unknown)
    );
}

#[test]
fn a_retry_after_a_planned_restart_of_its_home_gets_the_first_answer() {
    let mut fleet = FleetSimulation::new();
    (0..2).for_each(|key| fleet.apply(&Step::CallKeyed { router: 0, key }));
    fleet.drain();
    for sidecar in 0..SIDECARS {
        let before = fleet.sidecars[sidecar].incarnation;
        fleet.apply(&Step::Stop { sidecar });
        fleet.apply(&Step::RestartStopped { sidecar });
        assert!(
            before < fleet.sidecars[sidecar].incarnation,
            "sidecar {sidecar} did not stop and restart"
        );
        fleet.drain();
    }
    (0..2).for_each(|key| fleet.apply(&Step::CallKeyed { router: 1, key }));
    fleet.drain();
    fleet.check();
    assert_eq!(fleet.effects.len(), 2);
    for caller in fleet.callers.values() {
        assert_eq!(caller.last, Some(CallerEvent::Complete), "{caller:?}");
    }
}
