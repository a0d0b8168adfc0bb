use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use cicadalock_core::collect::SortedMap;
use cicadalock_standins::{
    HostSettings, SETTINGS_VARIABLE, StandInEndpoint, StandInStore, config, is_ready,
};

use super::fault_plan::{FaultPlan, FaultStep, SoakFault, SoakLink, SoakProcess};
use super::soak_callers::token_text;
use crate::fleet::ChildGuard;
use crate::proxy::{FaultProxy, ProxyFault};

/// Ports of every host; each host has an address of its own.
const ENDPOINT_PORT: u16 = 18_000;
const ENDPOINT_PROXY_PORT: u16 = 18_001;
const DESK_INTERNAL_PORT: u16 = 18_002;
const ROUTER_INTERNAL_PORT: u16 = 18_004;
const CALLERS_PORT: u16 = 18_006;
const READY_PORT: u16 = 18_007;

/// Longest wait for the first configuration.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Everything that a soak starts; ended when dropped.
#[derive(Debug)]
pub(super) struct SoakBed {
    network: HostNetwork,
    pub(super) endpoints: Vec<StandInEndpoint>,
    pub(super) routers: Vec<ProcessSlot>,
    desks: Vec<ProcessSlot>,
    store: StandInStore,
    caller_proxies: Vec<FaultProxy>,
    store_proxies: Vec<FaultProxy>,
    endpoint_proxies: Vec<FaultProxy>,
    desk_proxies: Vec<FaultProxy>,
    token: u64,
    version: u64,
    pub(super) revoked: SortedMap<u64, Instant>,
    pub(super) ended: Vec<String>,
}

/// One process of the product, which may be down.
#[derive(Debug)]
pub(super) struct ProcessSlot {
    name: String,
    role: &'static str,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    ready: SocketAddr,
    child: Option<ChildGuard>,
    /// It was told to stop and starts again when it has ended.
    is_stopping: bool,
}

impl ProcessSlot {
    fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let variable = (SETTINGS_VARIABLE, self.settings.as_os_str());
        let arguments = ["cicadalock", self.role];
        let child = ChildGuard::start_with(&self.program, &arguments, variable, log)?;
        self.child = Some(child);
        self.is_stopping = false;
        Ok(())
    }

    fn kill(&mut self) {
        // The guard ends it.
        self.child = None;
        self.is_stopping = false;
    }

    /// Starts it again after a stop; returns whether it had ended without being told to.
    fn look_after(&mut self) -> io::Result<bool> {
        let is_ended = self.child.as_mut().is_some_and(ChildGuard::is_ended);
        if !is_ended {
            return Ok(false);
        }
        let was_told = self.is_stopping;
        self.child = None;
        self.start()?;
        Ok(!was_told)
    }

    pub(super) fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }
}

impl SoakBed {
    /// Starts everything; settings and logs go to `folder`.
    pub(super) fn start(program: &Path, folder: &Path) -> io::Result<Self> {
        let store = StandInStore::start();
        let mut bed = Self {
            network: HostNetwork::next(),
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
            revoked: SortedMap::new(),
            ended: Vec::new(),
        };
        for index in 0..FaultPlan::ENDPOINTS {
            bed.add_endpoint(index, program, folder)?;
        }
        bed.put_config();
        for index in 0..FaultPlan::ROUTERS {
            bed.add_router(index, program, folder)?;
        }
        let until = Instant::now() + START_LIMIT;
        while !bed.routers.iter().all(ProcessSlot::is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other("the routers do not become ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(bed)
    }

    /// Where callers reach each router.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        self.caller_proxies
            .iter()
            .map(FaultProxy::address)
            .collect()
    }

    /// Number of the newest token.
    pub(super) const fn token(&self) -> u64 {
        self.token
    }

    /// Begins a fault.
    pub(super) fn begin(&mut self, step: &FaultStep) {
        match step.fault {
            SoakFault::Freeze(process) => self.with_child(process, ChildGuard::freeze),
            SoakFault::Kill(process) => self.slot(process).kill(),
            SoakFault::Stop(process) => {
                self.with_child(process, ChildGuard::terminate);
                self.slot(process).is_stopping = true;
            }
            SoakFault::Reload(router) => {
                self.with_child(SoakProcess::Router(router), ChildGuard::reload);
            }
            SoakFault::Impair(link, fault) => self.proxy(link).set(fault),
            SoakFault::Cut(link) => self.proxy(link).cut(),
            SoakFault::StoreRefuses => self.store.refuse(true),
            SoakFault::StoreForgets => self.store.compact(),
            SoakFault::ChangeTokens => {
                let old = self.token;
                self.token += 1;
                self.version += 1;
                self.put_config();
                self.revoked.insert(old, Instant::now());
            }
            SoakFault::Drain(endpoint) => self.list_endpoint(endpoint, "draining"),
        }
    }

    /// Ends a fault.
    pub(super) fn end(&mut self, step: &FaultStep) -> io::Result<()> {
        match step.fault {
            SoakFault::Freeze(process) => self.with_child(process, ChildGuard::wake),
            SoakFault::Kill(process) => self.slot(process).start()?,
            SoakFault::Impair(link, _) => self.proxy(link).set(ProxyFault::default()),
            SoakFault::StoreRefuses => self.store.refuse(false),
            SoakFault::Drain(endpoint) => self.list_endpoint(endpoint, "ready"),
            SoakFault::Stop(_)
            | SoakFault::Reload(_)
            | SoakFault::Cut(_)
            | SoakFault::StoreForgets
            | SoakFault::ChangeTokens => {}
        }
        Ok(())
    }

    /// Starts processes again that have stopped, and notes those that ended by themselves.
    pub(super) fn look_after(&mut self) -> io::Result<()> {
        for slot in self.routers.iter_mut().chain(&mut self.desks) {
            if slot.look_after()? {
                self.ended.push(slot.name.clone());
            }
        }
        Ok(())
    }

    /// Tells whether a process is on its way to its end.
    pub(super) fn is_stopping(&self) -> bool {
        let mut slots = self.routers.iter().chain(&self.desks);
        slots.any(|slot| slot.is_stopping)
    }

    /// Lists an endpoint in a state.
    pub(super) fn list_endpoint(&self, index: usize, state: &str) {
        let endpoint = &self.endpoints[index];
        let address = self.endpoint_proxies[index].address();
        let entry = endpoint.entry_at(address, state);
        self.store.put_endpoint(&endpoint.id, &entry);
    }

    fn put_config(&self) {
        let text = config(self.version, &[&token_text(self.token)]);
        self.store.put_config(&text);
    }

    fn slot(&mut self, process: SoakProcess) -> &mut ProcessSlot {
        match process {
            SoakProcess::Router(index) => &mut self.routers[index],
            SoakProcess::Desk(index) => &mut self.desks[index],
        }
    }

    fn with_child(&mut self, process: SoakProcess, act: impl Fn(&ChildGuard)) {
        if let Some(child) = &self.slot(process).child {
            act(child);
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
        let ip = self.network.endpoint(index);
        let has_desk = index < FaultPlan::DESKS;
        let service = if has_desk { "model" } else { "desk" };
        let name = format!("i-{index}");
        let endpoint = StandInEndpoint::start_at(&name, service, (ip, ENDPOINT_PORT).into());
        let proxy = FaultProxy::start_at((ip, ENDPOINT_PROXY_PORT).into(), endpoint.address)?;
        self.endpoints.push(endpoint);
        self.endpoint_proxies.push(proxy);
        self.list_endpoint(index, "ready");
        if has_desk {
            // Routers find the desk at the port that their own settings name.
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
            let mut slot = new_slot(&settings, "desk", program, folder)?;
            slot.start()?;
            self.desks.push(slot);
        }
        Ok(())
    }

    fn add_router(&mut self, index: usize, program: &Path, folder: &Path) -> io::Result<()> {
        let ip = self.network.router(index);
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
        let mut slot = new_slot(&settings, "gateway", program, folder)?;
        slot.start()?;
        self.routers.push(slot);
        Ok(())
    }
}

/// Soaks that this process has run; each has addresses of its own.
static NETWORKS: AtomicU8 = AtomicU8::new(0);

/// Addresses of the hosts of one soak; processes that run at the same time have others.
#[derive(Debug, Clone, Copy)]
struct HostNetwork {
    first: u8,
    second: u8,
}

impl HostNetwork {
    fn next() -> Self {
        Self {
            first: 10 + (std::process::id() % 200) as u8,
            second: NETWORKS.fetch_add(1, Ordering::Relaxed),
        }
    }

    const fn endpoint(self, index: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.first, self.second, 1 + index as u8))
    }

    const fn router(self, index: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.first,
            self.second,
            101 + index as u8,
        ))
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

fn new_slot(
    settings: &HostSettings,
    role: &'static str,
    program: &Path,
    folder: &Path,
) -> io::Result<ProcessSlot> {
    let path = folder.join(format!("{}.toml", settings.name));
    fs::write(&path, settings.to_string())?;
    Ok(ProcessSlot {
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
