use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cicadalock_core::collect::SortedMap;
use cicadalock_standins::{
    AddressBlock, CrashRule, CrashStyle, HostSettings, SETTINGS_VARIABLE, StandInEndpoint,
    StandInStore, config, is_ready,
};

use super::fault_plan::{FaultStep, SilentGroup, SoakFault, SoakLink, SoakProcess, SoakSize};
use super::guarantees::{
    DisturbedPart, EndpointDeparture, EndpointSilence, NamedLimit, SoakDisturbance, TokenPeriod,
};
use super::soak_callers::{crash_part_text, token_text};
use crate::fleet::ChildGuard;
use crate::proxy::{FaultProxy, ProxyFault};

// Every host uses the same ports on an IP address of its own.
const ENDPOINT_PORT: u16 = 18_000;
const ENDPOINT_PROXY_PORT: u16 = 18_001;
const DESK_INTERNAL_PORT: u16 = 18_002;
const ROUTER_INTERNAL_PORT: u16 = 18_004;
const CALLERS_PORT: u16 = 18_006;
const READY_PORT: u16 = 18_007;

/// Role of a router in the arguments of its process.
const ROUTER_ROLE: &str = "gateway";

/// Timeout for the routers to become ready with their first configuration.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time after a lapse until an endpoint has written its entry again, in milliseconds: the
/// interval of its heartbeats.
const RELISTING_MS: u64 = 1_200;

/// Time after a restore in which the departures that it lost are written again, in milliseconds: once
/// the store is stable.
const LEAVING_AGAIN_MS: std::ops::Range<u64> = HostSettings::CONTACT_MS + 100..2_000;

/// The processes, stand-ins and proxies of a soak; all of them end when it is dropped.
#[derive(Debug)]
pub(super) struct SoakTestbed {
    size: SoakSize,
    pub(super) endpoints: Vec<StandInEndpoint>,
    pub(super) routers: Vec<ManagedProcess>,
    desks: Vec<ManagedProcess>,
    store: StandInStore,
    caller_proxies: Vec<FaultProxy>,
    store_proxies: Vec<FaultProxy>,
    endpoint_proxies: Vec<FaultProxy>,
    desk_proxies: Vec<FaultProxy>,
    token: u64,
    version: u64,
    /// Number of active faults that make the store refuse.
    refusals: u32,
    /// Start time in the entry of each endpoint.
    born: Vec<u64>,
    /// Endpoints that are away, with the state in their entry, or without one.
    away: SortedMap<usize, Option<&'static str>>,
    /// Endpoints that will write their entries again, and when.
    relistings: Vec<(Instant, usize)>,
    /// Endpoints whose departure was lost and that will write it again, and when.
    leaving_again: Vec<(Instant, usize)>,
    /// Time from which the store holds what the soak has written.
    ready_at: Instant,
    /// Number of active faults from which the store comes back older, and the changes of the token that
    /// wait for it.
    restores: u32,
    waiting_changes: u32,
    /// Time of the operator's next write of a configuration that was lost.
    rewrite_at: Option<Instant>,
    /// Revoked tokens whose revocation was lost before any router could read it.
    unread_revocations: Vec<u64>,
    pub(super) tokens: Vec<TokenPeriod>,
    pub(super) silences: Vec<EndpointSilence>,
    /// Starts of routers after the first one.
    pub(super) starts: Vec<(usize, Instant)>,
    /// Times at which routers were asked to stop.
    pub(super) stops: Vec<(usize, Instant)>,
    pub(super) revoked: SortedMap<u64, Instant>,
    pub(super) departures: Vec<EndpointDeparture>,
    pub(super) disturbances: Vec<SoakDisturbance>,
    pub(super) unexpected_exits: Vec<String>,
    pub(super) limits: Vec<NamedLimit>,
    /// Number of parts so far that crash endpoints.
    crash_parts: u64,
    /// Whether lookups with the name of such a part in their path crash endpoints, too.
    pub(super) has_crashing_lookups: bool,
    network: AddressBlock,
}

/// A router or desk process, which may be down.
#[derive(Debug)]
pub(super) struct ManagedProcess {
    name: String,
    role: &'static str,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    ready: SocketAddr,
    child: Option<ChildGuard>,
    /// Whether the process was asked to stop; it is started again once it has exited.
    is_stopping: bool,
}

impl ManagedProcess {
    fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let variable = (SETTINGS_VARIABLE, self.settings.as_os_str());
        let arguments = ["cicadalock", self.role];
        let child = ChildGuard::start_with_env(&self.program, &arguments, variable, &self.log)?;
        self.child = Some(child);
        self.is_stopping = false;
        Ok(())
    }

    fn kill(&mut self) {
        // Dropping the guard kills the process.
        self.child = None;
        self.is_stopping = false;
    }

    /// Restarts the process if it has exited, and returns whether it was asked to exit.
    fn restart_exited(&mut self) -> io::Result<Option<bool>> {
        let has_exited = self.child.as_mut().is_some_and(ChildGuard::is_ended);
        if !has_exited {
            return Ok(None);
        }
        let was_requested = self.is_stopping;
        self.child = None;
        self.start()?;
        Ok(Some(was_requested))
    }

    pub(super) fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }
}

impl SoakTestbed {
    /// Starts all processes, with settings and logs in `folder`, and waits until the routers are
    /// ready.
    pub(super) fn start(program: &Path, folder: &Path, size: SoakSize) -> io::Result<Self> {
        let store = StandInStore::start();
        let network = AddressBlock::claim()?;
        // The endpoints listen until this process exits.
        network.keep()?;
        let mut testbed = Self {
            size,
            endpoints: Vec::new(),
            routers: Vec::new(),
            desks: Vec::new(),
            store,
            caller_proxies: Vec::new(),
            store_proxies: Vec::new(),
            endpoint_proxies: Vec::new(),
            desk_proxies: Vec::new(),
            token: 0,
            version: 1,
            refusals: 0,
            born: vec![1; size.endpoints],
            away: SortedMap::new(),
            relistings: Vec::new(),
            leaving_again: Vec::new(),
            ready_at: Instant::now(),
            restores: 0,
            waiting_changes: 0,
            rewrite_at: None,
            unread_revocations: Vec::new(),
            tokens: Vec::new(),
            silences: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            revoked: SortedMap::new(),
            departures: Vec::new(),
            disturbances: Vec::new(),
            unexpected_exits: Vec::new(),
            limits: Vec::new(),
            crash_parts: 0,
            has_crashing_lookups: false,
            network,
        };
        for index in 0..size.endpoints {
            testbed.add_endpoint(index, program, folder)?;
        }
        testbed.put_config();
        testbed.ready_at = Instant::now();
        for index in 0..size.routers {
            testbed.add_router(index, program, folder)?;
        }
        let until = Instant::now() + START_TIMEOUT;
        while !testbed.routers.iter().all(ManagedProcess::is_ready) {
            if testbed.has_ended_process() {
                return Err(testbed.start_error("a process ended while it started"));
            }
            if Instant::now() > until {
                let problem = "routers did not become ready before the start timeout";
                return Err(testbed.start_error(problem));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(testbed)
    }

    fn has_ended_process(&mut self) -> bool {
        let mut children = self
            .processes()
            .filter_map(|process| process.child.as_mut());
        children.any(ChildGuard::is_ended)
    }

    /// Returns an error that describes each process that has ended or is a router that is not ready.
    fn start_error(&mut self, problem: &str) -> io::Error {
        let mut text = problem.to_owned();
        for process in self.processes() {
            let is_unready = process.role == ROUTER_ROLE && !process.is_ready();
            if let Some(child) = &mut process.child
                && (is_unready || child.is_ended())
            {
                text.push_str(&format!("\n{}: {}", process.name, child.describe()));
            }
        }
        io::Error::other(text)
    }

    fn processes(&mut self) -> impl Iterator<Item = &mut ManagedProcess> {
        self.routers.iter_mut().chain(&mut self.desks)
    }

    /// Returns the address at which callers reach each router.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        self.caller_proxies
            .iter()
            .map(FaultProxy::address)
            .collect()
    }

    /// Returns the number of the token in the newest configuration.
    pub(super) const fn token(&self) -> u64 {
        self.token
    }

    /// Begins a fault.
    pub(super) fn begin(&mut self, step: &FaultStep) {
        if let Some(part) = disturbed_part(step.fault) {
            self.disturbances.push(SoakDisturbance {
                part,
                from: Instant::now(),
                until: None,
                is_planned: matches!(step.fault, SoakFault::Stop(_)),
            });
        }
        match step.fault {
            SoakFault::Freeze(process) => self.with_child(process, ChildGuard::freeze),
            SoakFault::Kill(process) => self.process_mut(process).kill(),
            SoakFault::Stop(process) => {
                self.with_child(process, ChildGuard::terminate);
                if let SoakProcess::Router(router) = process {
                    self.stops.push((router, Instant::now()));
                }
                self.process_mut(process).is_stopping = true;
            }
            SoakFault::Reload(router) => {
                self.with_child(SoakProcess::Router(router), ChildGuard::reload);
            }
            SoakFault::Impair(link, fault) => self.proxy(link).set_fault(fault),
            SoakFault::Cut(link) => self.proxy(link).cut(),
            SoakFault::StoreRefuses => self.add_refusal(),
            SoakFault::StoreLapse => {
                self.add_refusal();
                for index in 0..self.endpoints.len() {
                    self.store.remove_endpoint(&self.endpoints[index].id);
                }
            }
            SoakFault::StoreForgets => self.store.compact(),
            SoakFault::ChangeTokens => {
                if self.restores > 0 {
                    self.waiting_changes += 1;
                } else {
                    self.change_tokens();
                }
            }
            SoakFault::Drain(endpoint) => self.begin_departure(endpoint, Some("draining")),
            SoakFault::Leave(endpoint) => self.begin_departure(endpoint, None),
            SoakFault::CrashPart(style) => self.add_crash_part(style),
            SoakFault::NameLimit(endpoint, tenths) => self.begin_limit(endpoint, tenths),
            SoakFault::Silence(group) => self.begin_silence(group, step.span),
            SoakFault::StoreRestores { .. } => {
                self.add_refusal();
                self.restores += 1;
            }
        }
    }

    /// Ends a fault.
    pub(super) fn end(&mut self, step: &FaultStep) -> io::Result<()> {
        match step.fault {
            SoakFault::Freeze(process) => self.with_child(process, ChildGuard::wake),
            SoakFault::Kill(process) => {
                if self.process_mut(process).child.is_none() {
                    self.process_mut(process).start()?;
                    self.note_start(process);
                }
            }
            SoakFault::Impair(link, _) => self.proxy(link).set_fault(ProxyFault::default()),
            SoakFault::StoreRefuses => self.end_refusal(),
            SoakFault::StoreLapse => {
                self.end_refusal();
                self.schedule_relistings();
            }
            SoakFault::Drain(endpoint) | SoakFault::Leave(endpoint) => self.end_departure(endpoint),
            SoakFault::Stop(_)
            | SoakFault::Reload(_)
            | SoakFault::Cut(_)
            | SoakFault::StoreForgets
            | SoakFault::CrashPart(_)
            | SoakFault::Silence(_)
            | SoakFault::ChangeTokens => {}
            SoakFault::StoreRestores { age, rewrite_delay } => self.restore(age, rewrite_delay),
            SoakFault::NameLimit(endpoint, tenths) => self.end_limit(endpoint, Some(tenths)),
        }
        // A stopping process is disturbed until it runs again.
        if let Some(part) = disturbed_part(step.fault)
            && !matches!(step.fault, SoakFault::Stop(_))
        {
            self.end_disturbance(part);
        }
        Ok(())
    }

    /// Comes back from a copy, and lets the writers write again what it lost.
    fn restore(&mut self, age: Duration, rewrite_delay: Duration) {
        let age = age.min(self.ready_at.elapsed());
        let now = Instant::now();
        let lost_from = now.checked_sub(age).unwrap_or(now);
        self.store.restore(age);
        if let Some(period) = self.tokens.last_mut()
            && period.until.is_none()
            && period.from > lost_from
        {
            period.until = Some(now);
            self.rewrite_at = Some(now + rewrite_delay);
        }
        let contact = Duration::from_millis(HostSettings::CONTACT_MS);
        let unread = self.revoked.iter().filter(|(_, at)| {
            let is_store_disturbed = |fault: &SoakDisturbance| {
                fault.part == DisturbedPart::Store
                    && fault.from < **at + contact
                    && fault.until.is_none_or(|until| until > **at)
            };
            **at > lost_from && self.disturbances.iter().any(is_store_disturbed)
        });
        let unread: Vec<u64> = unread.map(|(token, _)| *token).collect();
        for token in unread {
            self.revoked.remove(&token);
            self.unread_revocations.push(token);
        }
        let count = self.endpoints.len() as u64;
        for departure in &mut self.departures {
            if departure.back.is_none() && departure.left > lost_from {
                departure.back = Some(now);
                let ids = self.endpoints.iter().map(|endpoint| &endpoint.id);
                let index = ids.take_while(|id| **id != departure.endpoint).count();
                let Range { start, end } = LEAVING_AGAIN_MS;
                let delay = start + (end - start) * index as u64 / count;
                let due = now + Duration::from_millis(delay);
                self.leaving_again.push((due, index));
            }
        }
        self.end_refusal();
        self.schedule_relistings();
        self.restores -= 1;
        if self.restores == 0 {
            for _ in 0..std::mem::take(&mut self.waiting_changes) {
                self.change_tokens();
            }
        }
    }

    /// Publishes a configuration with a new token in place of the present one.
    fn change_tokens(&mut self) {
        let old = self.token;
        self.token += 1;
        self.version += 1;
        self.put_config();
        self.revoked.insert(old, Instant::now());
    }

    fn begin_silence(&mut self, group: SilentGroup, span: Duration) {
        let from = Instant::now();
        let endpoints = self.endpoints.iter().enumerate();
        for (_, endpoint) in endpoints.filter(|(index, _)| group.contains(*index)) {
            endpoint.fall_silent(span);
            // The later silence counts.
            for silence in &mut self.silences {
                if silence.endpoint == endpoint.id {
                    silence.until = silence.until.min(from);
                }
            }
            self.silences.push(EndpointSilence {
                endpoint: endpoint.id.clone(),
                from,
                until: from + span,
            });
        }
    }

    fn note_start(&mut self, process: SoakProcess) {
        let now = Instant::now();
        let part = match process {
            SoakProcess::Router(router) => {
                self.starts.push((router, now));
                DisturbedPart::Router(router)
            }
            SoakProcess::Desk(desk) => DisturbedPart::Desk(desk),
        };
        let planned = self
            .disturbances
            .iter_mut()
            .filter(|fault| fault.part == part && fault.is_planned && fault.until.is_none());
        for fault in planned {
            fault.until = Some(now);
        }
    }

    /// Returns the number of the newest part that crashes endpoints; zero if none does.
    pub(super) const fn crash_part(&self) -> u64 {
        self.crash_parts
    }

    pub(super) const fn desk_count(&self) -> usize {
        self.size.desks
    }

    fn add_crash_part(&mut self, style: CrashStyle) {
        self.crash_parts += 1;
        let rules: Vec<CrashRule> = (1..=self.crash_parts)
            .flat_map(|number| {
                let text = crash_part_text(number);
                let lookup = CrashRule::path(&text, CrashStyle::NoHead);
                let lookup = self.has_crashing_lookups.then_some(lookup);
                std::iter::once(CrashRule::part(&text, style)).chain(lookup)
            })
            .collect();
        for endpoint in &self.endpoints {
            endpoint.crash_on(&rules);
        }
    }

    /// Ends the limits and the crashes that faults began.
    pub(super) fn end_news(&mut self) {
        for index in 0..self.endpoints.len() {
            self.endpoints[index].crash_on(&[]);
            self.end_limit(index, None);
        }
    }

    fn begin_limit(&mut self, index: usize, tenths: u32) {
        self.end_limit(index, None);
        let limit = NamedLimit {
            endpoint: self.endpoints[index].id.clone(),
            tenths,
            from: Instant::now(),
            until: None,
        };
        self.endpoints[index].name_limit(Some(&limit.per_second().to_string()));
        self.limits.push(limit);
    }

    /// Ends the limit of an endpoint, or only that of `tenths` if it is given.
    fn end_limit(&mut self, index: usize, tenths: Option<u32>) {
        let endpoint = &self.endpoints[index];
        let mut limits = self.limits.iter_mut();
        let limit = limits.find(|limit| limit.endpoint == endpoint.id && limit.until.is_none());
        if let Some(limit) = limit
            && tenths.is_none_or(|tenths| limit.tenths == tenths)
        {
            limit.until = Some(Instant::now());
            endpoint.name_limit(None);
        }
    }

    /// Lists an endpoint with `state`, or removes its entry, until [`Self::end_departure`].
    ///
    /// Does nothing if an endpoint of the same service is away, as the others carry its load.
    pub(super) fn begin_departure(&mut self, index: usize, state: Option<&'static str>) {
        let has_desk = |index: usize| index < self.size.desks;
        let is_same_service = |away: &usize| has_desk(*away) == has_desk(index);
        if self.away.keys().any(is_same_service) {
            return;
        }
        self.away.insert(index, state);
        self.leave(index, state);
    }

    fn leave(&mut self, index: usize, state: Option<&'static str>) {
        match state {
            Some(state) => self.publish_endpoint(index, state),
            None => self.store.remove_endpoint(&self.endpoints[index].id),
        }
        self.departures.push(EndpointDeparture {
            endpoint: self.endpoints[index].id.clone(),
            left: Instant::now(),
            back: None,
        });
    }

    /// Lists an endpoint that left as a new start of it.
    fn end_departure(&mut self, index: usize) {
        if self.away.remove(&index).is_none() {
            return;
        }
        let id = &self.endpoints[index].id;
        let mut departures = self.departures.iter_mut();
        let departure =
            departures.find(|departure| departure.endpoint == *id && departure.back.is_none());
        // There is none while its departure is lost.
        if let Some(departure) = departure {
            departure.back = Some(Instant::now());
        }
        self.leaving_again.retain(|(_, leaving)| *leaving != index);
        self.born[index] += 1;
        self.publish_endpoint(index, "ready");
    }

    fn add_refusal(&mut self) {
        self.refusals += 1;
        self.store.refuse(true);
    }

    fn end_refusal(&mut self) {
        self.refusals -= 1;
        self.store.refuse(self.refusals > 0);
    }

    /// Lets the endpoints write their entries again within the interval of their heartbeats.
    fn schedule_relistings(&mut self) {
        let count = self.endpoints.len() as u64;
        let now = Instant::now();
        self.relistings = (0..count)
            .map(|index| {
                let delay = Duration::from_millis(RELISTING_MS * (index + 1) / count);
                (now + delay, index as usize)
            })
            .collect();
    }

    fn end_disturbance(&mut self, part: DisturbedPart) {
        let now = Instant::now();
        let mut disturbances = self.disturbances.iter_mut();
        let fault = disturbances
            .find(|fault| fault.part == part && !fault.is_planned && fault.until.is_none());
        if let Some(fault) = fault {
            fault.until = Some(now);
        }
    }

    /// Restarts exited processes, records those that were not asked to stop, and lets the operator and
    /// endpoints write again what the store has lost.
    pub(super) fn poll(&mut self) -> io::Result<()> {
        let now = Instant::now();
        if self.restores == 0 && self.rewrite_at.is_some_and(|at| at <= now) {
            self.put_config();
        }
        let (due, pending) = std::mem::take(&mut self.leaving_again)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now && self.refusals == 0);
        self.leaving_again = pending;
        for (_, index) in due {
            if let Some(state) = self.away.get(&index).copied() {
                self.leave(index, state);
            }
        }
        let (due, pending) = std::mem::take(&mut self.relistings)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now && self.refusals == 0);
        self.relistings = pending;
        for (_, index) in due {
            if !self.away.contains_key(&index) {
                self.publish_endpoint(index, "ready");
            }
        }
        let mut started = Vec::new();
        for (index, process) in self.routers.iter_mut().enumerate() {
            let exit = process.restart_exited()?;
            if exit == Some(false) {
                self.unexpected_exits.push(process.name.clone());
            }
            if exit.is_some() {
                started.push(SoakProcess::Router(index));
            }
        }
        for (index, process) in self.desks.iter_mut().enumerate() {
            let exit = process.restart_exited()?;
            if exit == Some(false) {
                self.unexpected_exits.push(process.name.clone());
            }
            if exit.is_some() {
                started.push(SoakProcess::Desk(index));
            }
        }
        for process in started {
            self.note_start(process);
        }
        Ok(())
    }

    /// Returns whether a process was asked to stop and has not been restarted yet.
    pub(super) fn is_stopping(&self) -> bool {
        let mut processes = self.routers.iter().chain(&self.desks);
        processes.any(|process| process.is_stopping)
    }

    /// Publishes an endpoint in the store with the given state.
    pub(super) fn publish_endpoint(&self, index: usize, state: &str) {
        let endpoint = &self.endpoints[index];
        let address = self.endpoint_proxies[index].address();
        let entry = endpoint.entry_at(address, state, self.born[index]);
        self.store.put_endpoint(&endpoint.id, &entry);
    }

    fn put_config(&mut self) {
        let text = config(self.version, &[&token_text(self.token)]);
        self.store.put_config(&text);
        let now = Instant::now();
        self.rewrite_at = None;
        if let Some(period) = self.tokens.last_mut() {
            period.until.get_or_insert(now);
        }
        self.tokens.push(TokenPeriod {
            token: self.token,
            from: now,
            until: None,
        });
        for token in std::mem::take(&mut self.unread_revocations) {
            self.revoked.insert(token, now);
        }
    }

    fn process_mut(&mut self, process: SoakProcess) -> &mut ManagedProcess {
        match process {
            SoakProcess::Router(index) => &mut self.routers[index],
            SoakProcess::Desk(index) => &mut self.desks[index],
        }
    }

    fn with_child(&mut self, process: SoakProcess, action: impl Fn(&ChildGuard)) {
        if let Some(child) = &self.process_mut(process).child {
            action(child);
        }
    }

    fn proxy(&self, link: SoakLink) -> &FaultProxy {
        match link {
            SoakLink::Callers(index) => &self.caller_proxies[index],
            SoakLink::Store(index) => &self.store_proxies[index],
            SoakLink::Endpoint(index) => &self.endpoint_proxies[index],
            SoakLink::Desk(index) => &self.desk_proxies[index],
        }
    }

    fn add_endpoint(&mut self, index: usize, program: &Path, folder: &Path) -> io::Result<()> {
        let ip = self.network.first_half(1 + index as u8);
        let has_desk = index < self.size.desks;
        let service = if has_desk { "model" } else { "desk" };
        let name = format!("i-{index}");
        let endpoint = StandInEndpoint::start_at(&name, service, (ip, ENDPOINT_PORT).into());
        let proxy = FaultProxy::start_at((ip, ENDPOINT_PROXY_PORT).into(), endpoint.address)?;
        self.endpoints.push(endpoint);
        self.endpoint_proxies.push(proxy);
        self.publish_endpoint(index, "ready");
        if has_desk {
            // Routers derive the port of a desk from their own settings, so the proxy listens
            // there.
            let listen = (ip, ROUTER_INTERNAL_PORT + 1).into();
            let target = (ip, DESK_INTERNAL_PORT + 1).into();
            self.desk_proxies
                .push(FaultProxy::start_at(listen, target)?);
            let settings = host_settings(
                format!("side-{index}"),
                ip,
                DESK_INTERNAL_PORT,
                self.store.address,
            );
            let mut process = new_process(&settings, "desk", program, folder)?;
            process.start()?;
            self.desks.push(process);
        }
        Ok(())
    }

    fn add_router(&mut self, index: usize, program: &Path, folder: &Path) -> io::Result<()> {
        let ip = self.network.second_half(1 + index as u8);
        let proxy = FaultProxy::start(self.store.address)?;
        let settings = host_settings(
            format!("edge-{index}"),
            ip,
            ROUTER_INTERNAL_PORT,
            proxy.address(),
        );
        self.store_proxies.push(proxy);
        self.caller_proxies
            .push(FaultProxy::start(settings.callers)?);
        let mut process = new_process(&settings, ROUTER_ROLE, program, folder)?;
        process.start()?;
        self.routers.push(process);
        Ok(())
    }
}

/// Returns what a fault disturbs, as far as bounds are suspended by it.
const fn disturbed_part(fault: SoakFault) -> Option<DisturbedPart> {
    match fault {
        SoakFault::Freeze(SoakProcess::Router(index))
        | SoakFault::Kill(SoakProcess::Router(index))
        | SoakFault::Stop(SoakProcess::Router(index))
        | SoakFault::Impair(SoakLink::Callers(index) | SoakLink::Store(index), _)
        | SoakFault::Cut(SoakLink::Callers(index) | SoakLink::Store(index)) => {
            Some(DisturbedPart::Router(index))
        }
        SoakFault::Impair(SoakLink::Endpoint(index), _)
        | SoakFault::Cut(SoakLink::Endpoint(index)) => Some(DisturbedPart::Endpoint(index)),
        SoakFault::StoreRefuses | SoakFault::StoreLapse | SoakFault::StoreRestores { .. } => {
            Some(DisturbedPart::Store)
        }
        SoakFault::Freeze(SoakProcess::Desk(index))
        | SoakFault::Kill(SoakProcess::Desk(index))
        | SoakFault::Stop(SoakProcess::Desk(index))
        | SoakFault::Impair(SoakLink::Desk(index), _)
        | SoakFault::Cut(SoakLink::Desk(index)) => Some(DisturbedPart::Desk(index)),
        SoakFault::CrashPart(_)
        | SoakFault::NameLimit(..)
        | SoakFault::Silence(_)
        | SoakFault::Reload(_)
        | SoakFault::StoreForgets
        | SoakFault::ChangeTokens
        | SoakFault::Drain(_)
        | SoakFault::Leave(_) => None,
    }
}

fn host_settings(name: String, ip: IpAddr, internal_port: u16, store: SocketAddr) -> HostSettings {
    HostSettings {
        name,
        ip,
        callers: (ip, CALLERS_PORT).into(),
        ready: (ip, READY_PORT).into(),
        internal_port,
        store,
    }
}

fn new_process(
    settings: &HostSettings,
    role: &'static str,
    program: &Path,
    folder: &Path,
) -> io::Result<ManagedProcess> {
    let path = folder.join(format!("{}.toml", settings.name));
    fs::write(&path, settings.to_string())?;
    Ok(ManagedProcess {
        name: settings.name.clone(),
        role,
        program: program.to_owned(),
        settings: path,
        log: folder.join(format!("{}.log", settings.name)),
        ready: settings.ready,
        child: None,
        is_stopping: false,
    })
}
