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

// Every host uses the same ports on an IP address of its own.
const ENDPOINT_PORT: u16 = 18_000;
const ENDPOINT_PROXY_PORT: u16 = 18_001;
const DESK_INTERNAL_PORT: u16 = 18_002;
const ROUTER_INTERNAL_PORT: u16 = 18_004;
const CALLERS_PORT: u16 = 18_006;
const READY_PORT: u16 = 18_007;

/// Timeout for the routers to become ready with their first configuration.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// The processes, stand-ins and proxies of a soak; all of them end when it is dropped.
#[derive(Debug)]
pub(super) struct SoakTestbed {
    network: HostNetwork,
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
    pub(super) revoked: SortedMap<u64, Instant>,
    pub(super) unexpected_exits: Vec<String>,
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
        let log = File::options().create(true).append(true).open(&self.log)?;
        let variable = (SETTINGS_VARIABLE, self.settings.as_os_str());
        let arguments = ["cicadalock", self.role];
        let child = ChildGuard::start_with_env(&self.program, &arguments, variable, log)?;
        self.child = Some(child);
        self.is_stopping = false;
        Ok(())
    }

    fn kill(&mut self) {
        // Dropping the guard kills the process.
        self.child = None;
        self.is_stopping = false;
    }

    /// Restarts the process if it has exited, and returns whether it exited without being asked to.
    fn restart_exited(&mut self) -> io::Result<bool> {
        let has_exited = self.child.as_mut().is_some_and(ChildGuard::is_ended);
        if !has_exited {
            return Ok(false);
        }
        let was_requested = self.is_stopping;
        self.child = None;
        self.start()?;
        Ok(!was_requested)
    }

    pub(super) fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }
}

impl SoakTestbed {
    /// Starts all processes, with settings and logs in `folder`, and waits until the routers are
    /// ready.
    pub(super) fn start(program: &Path, folder: &Path) -> io::Result<Self> {
        let store = StandInStore::start();
        let mut testbed = Self {
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
            unexpected_exits: Vec::new(),
        };
        for index in 0..FaultPlan::ENDPOINTS {
            testbed.add_endpoint(index, program, folder)?;
        }
        testbed.put_config();
        for index in 0..FaultPlan::ROUTERS {
            testbed.add_router(index, program, folder)?;
        }
        let until = Instant::now() + START_TIMEOUT;
        while !testbed.routers.iter().all(ManagedProcess::is_ready) {
            if Instant::now() > until {
                return Err(io::Error::other(
                    "routers did not become ready before the start timeout",
                ));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(testbed)
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
        match step.fault {
            SoakFault::Freeze(process) => self.with_child(process, ChildGuard::freeze),
            SoakFault::Kill(process) => self.process_mut(process).kill(),
            SoakFault::Stop(process) => {
                self.with_child(process, ChildGuard::terminate);
                self.process_mut(process).is_stopping = true;
            }
            SoakFault::Reload(router) => {
                self.with_child(SoakProcess::Router(router), ChildGuard::reload);
            }
            SoakFault::Impair(link, fault) => self.proxy(link).set_fault(fault),
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
            SoakFault::Drain(endpoint) => self.publish_endpoint(endpoint, "draining"),
        }
    }

    /// Ends a fault.
    pub(super) fn end(&mut self, step: &FaultStep) -> io::Result<()> {
        match step.fault {
            SoakFault::Freeze(process) => self.with_child(process, ChildGuard::wake),
            SoakFault::Kill(process) => self.process_mut(process).start()?,
            SoakFault::Impair(link, _) => self.proxy(link).set_fault(ProxyFault::default()),
            SoakFault::StoreRefuses => self.store.refuse(false),
            SoakFault::Drain(endpoint) => self.publish_endpoint(endpoint, "ready"),
            SoakFault::Stop(_)
            | SoakFault::Reload(_)
            | SoakFault::Cut(_)
            | SoakFault::StoreForgets
            | SoakFault::ChangeTokens => {}
        }
        Ok(())
    }

    /// Restarts exited processes and records those that were not asked to stop.
    pub(super) fn restart_exited(&mut self) -> io::Result<()> {
        for process in self.routers.iter_mut().chain(&mut self.desks) {
            if process.restart_exited()? {
                self.unexpected_exits.push(process.name.clone());
            }
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
        let entry = endpoint.entry_at(address, state);
        self.store.put_endpoint(&endpoint.id, &entry);
    }

    fn put_config(&self) {
        let text = config(self.version, &[&token_text(self.token)]);
        self.store.put_config(&text);
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
        let ip = self.network.endpoint(index);
        let has_desk = index < FaultPlan::DESKS;
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
        let mut process = new_process(&settings, "gateway", program, folder)?;
        process.start()?;
        self.routers.push(process);
        Ok(())
    }
}

/// Number of soaks that this process has started; each uses its own addresses.
static NETWORK_COUNT: AtomicU8 = AtomicU8::new(0);

/// Loopback addresses of the hosts of one soak. They depend on the process id, so that soaks in
/// different processes can run at the same time.
#[derive(Debug, Clone, Copy)]
struct HostNetwork {
    process_octet: u8,
    soak_octet: u8,
}

impl HostNetwork {
    fn next() -> Self {
        Self {
            process_octet: 10 + (std::process::id() % 200) as u8,
            soak_octet: NETWORK_COUNT.fetch_add(1, Ordering::Relaxed),
        }
    }

    const fn endpoint(self, index: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.process_octet,
            self.soak_octet,
            1 + index as u8,
        ))
    }

    const fn router(self, index: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.process_octet,
            self.soak_octet,
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
