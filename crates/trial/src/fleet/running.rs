use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use cicadalock_standins::AddressBlock;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::builder::{FleetBuilder, ServicePlan};
use super::child::ChildGuard;
use super::client::{get_json, put_text};
use crate::proxy::FaultProxy;
use crate::standin::{EffectEntry, UsageEntry};
use crate::wall_clock::unix_millis;

/// An endpoint of an experiment and its process.
#[derive(Debug)]
pub struct EndpointHandle {
    /// Name of its host.
    pub name: String,
    /// Service that the endpoint belongs to.
    pub plan: ServicePlan,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Its process.
    pub child: Option<ChildGuard>,
}

/// A sidecar of an experiment and its process.
#[derive(Debug)]
pub struct SidecarHandle {
    /// Name of its host.
    pub name: String,
    /// Name of the service that the sidecar belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Address on which the sidecar listens for other processes.
    pub listen: SocketAddr,
    /// Address of the status port.
    pub admin: SocketAddr,
    /// Address of the endpoint that the sidecar calls.
    pub endpoint: SocketAddr,
    /// Proxy in front of `listen`; `None` without fault injection.
    pub proxy: Option<FaultProxy>,
    /// Its process.
    pub child: Option<ChildGuard>,
    /// State in the host list; a sidecar in state `gone` is not listed.
    pub state: &'static str,
}

/// A router of an experiment and its process.
#[derive(Debug)]
pub struct RouterHandle {
    /// Name of its host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address on which the router accepts requests of callers.
    pub callers: SocketAddr,
    /// Address of the status port.
    pub admin: SocketAddr,
    /// Its process.
    pub child: Option<ChildGuard>,
}

/// The processes of an experiment, which are killed when it is dropped.
#[derive(Debug)]
pub struct RunningFleet {
    /// Routers, in the order of their numbers.
    pub routers: Vec<RouterHandle>,
    /// Sidecars, one for each endpoint.
    pub sidecars: Vec<SidecarHandle>,
    /// Endpoints, in the same order as their sidecars.
    pub endpoints: Vec<EndpointHandle>,
    /// Address on which the stand-in platform listens.
    pub platform: SocketAddr,
    plan: FleetBuilder,
    folder: TempDir,
    platform_child: Option<ChildGuard>,
    /// Folder of the logs. They outlive the experiment if the variable `TRIAL_LOGS` names it.
    log_folder: PathBuf,
    /// Dropped after the processes that listen on its addresses.
    _block: AddressBlock,
}

impl RunningFleet {
    pub(super) fn new(
        plan: FleetBuilder,
        folder: TempDir,
        block: AddressBlock,
        platform: SocketAddr,
    ) -> std::io::Result<Self> {
        let kept = std::env::var_os("TRIAL_LOGS").map(PathBuf::from);
        let log_folder = kept.unwrap_or_else(|| folder.path().join("logs"));
        std::fs::create_dir_all(&log_folder)?;
        Ok(Self {
            routers: Vec::new(),
            sidecars: Vec::new(),
            endpoints: Vec::new(),
            platform,
            plan,
            folder,
            platform_child: None,
            log_folder,
            _block: block,
        })
    }

    /// Returns the builder that describes the fleet.
    #[must_use]
    pub const fn plan(&self) -> &FleetBuilder {
        &self.plan
    }

    /// Publishes a configuration release and returns its revision, or 0 if the platform returns
    /// none.
    pub fn publish_config(&self, release: &str) -> u64 {
        let answer = put_text(self.platform, "/v1/keys/cicadalock", release);
        answer.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Publishes the host list with the current state of the handles.
    pub fn publish_hosts(&self) {
        let _ = put_text(self.platform, "/v1/hosts", &self.hosts_json());
    }

    /// Sets the mode of the stand-in platform: `up`, `down`, `stale`, `rubbish` or `slow`.
    pub fn set_platform_mode(&self, mode: &str) {
        let _ = put_text(self.platform, "/mode", mode);
    }

    /// Returns the number of reads that the platform has received, or 0 if it does not answer.
    #[must_use]
    pub fn platform_reads(&self) -> u64 {
        get_json(self.platform, "/reads").unwrap_or(0)
    }

    /// Starts the process of the stand-in platform.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start_platform(&mut self) -> std::io::Result<()> {
        let arguments = ["platform", "--listen", &self.platform.to_string()].map(str::to_owned);
        let log = self.log_path("platform");
        self.platform_child = Some(ChildGuard::start(&self.plan.program, &arguments, &log)?);
        Ok(())
    }

    pub(super) fn allocate_processes(
        &mut self,
        addresses: &mut impl Iterator<Item = SocketAddr>,
    ) -> std::io::Result<()> {
        (self.endpoints, self.sidecars, self.routers) = self.plan.allocate_handles(addresses)?;
        Ok(())
    }

    pub(super) fn start_all(&mut self) -> std::io::Result<()> {
        for index in 0..self.endpoints.len() {
            self.start_endpoint(index)?;
        }
        for index in 0..self.sidecars.len() {
            self.start_sidecar(index)?;
        }
        for index in 0..self.routers.len() {
            self.start_router(index)?;
        }
        Ok(())
    }

    /// Starts the process of the endpoint at `index`.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start_endpoint(&mut self, index: usize) -> std::io::Result<()> {
        let endpoint = &self.endpoints[index];
        let log = self.log_path(&format!("{}-endpoint", endpoint.name));
        let listen = endpoint.address.to_string();
        let unit_time = humantime::format_duration(endpoint.plan.unit_time).to_string();
        let slots = endpoint.plan.slots.to_string();
        let mut arguments = if endpoint.plan.is_model {
            vec![
                "engine", "--listen", &listen, "--batch", &slots, "--token", &unit_time,
            ]
        } else {
            vec!["service", "--listen", &listen, "--busy", &unit_time]
        };
        if self.plan.checks_fence && !endpoint.plan.is_model {
            arguments.push("--check-fence");
        }
        let child = ChildGuard::start(&self.plan.program, &arguments, &log)?;
        self.endpoints[index].child = Some(child);
        Ok(())
    }

    /// Starts the process of the sidecar at `index`.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start_sidecar(&mut self, index: usize) -> std::io::Result<()> {
        let sidecar = &self.sidecars[index];
        let role_section = format!(
            "listen = \"{}\"\nservice = \"{}\"\nendpoint = \"{}\"\n",
            sidecar.listen, sidecar.service, sidecar.endpoint
        );
        let process = self.process_settings(&sidecar.name, &sidecar.zone, sidecar.admin);
        let child = self.start_daemon(
            "sidecar",
            &sidecar.name,
            &format!("{role_section}{process}"),
        )?;
        self.sidecars[index].child = Some(child);
        Ok(())
    }

    /// Starts the process of the router at `index`.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start_router(&mut self, index: usize) -> std::io::Result<()> {
        let router = &self.routers[index];
        let role_section = format!("callers = \"{}\"\n", router.callers);
        let process = self.process_settings(&router.name, &router.zone, router.admin);
        let child =
            self.start_daemon("router", &router.name, &format!("{role_section}{process}"))?;
        self.routers[index].child = Some(child);
        Ok(())
    }

    /// Returns the status of the process whose status port is at `admin`; `None` if it does not
    /// answer.
    #[must_use]
    pub fn status(&self, admin: SocketAddr) -> Option<Value> {
        get_json(admin, "/status")
    }

    /// Returns whether every router sees as many eligible sidecars as there are, and every router
    /// and sidecar has a configuration.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.problems().is_empty()
    }

    /// Returns whether a process that was started has ended.
    pub(super) fn has_ended_process(&mut self) -> bool {
        let mut children = self.children().into_iter();
        children.any(|(_, child)| child.is_ended())
    }

    /// Describes each process that has ended or keeps the fleet from being ready.
    pub(super) fn describe_problems(&mut self) -> String {
        let problems = self.problems();
        let mut text = String::new();
        for (name, child) in self.children() {
            let problem = problems.iter().find(|(process, _)| *process == name);
            if problem.is_some() || child.is_ended() {
                let problem = problem.map_or("", |(_, problem)| problem);
                let _ = write!(text, "\n{name}: {problem} {}", child.describe());
            }
        }
        text
    }

    /// Returns the name of each sidecar and router that is not ready, and why it is not.
    fn problems(&self) -> Vec<(String, &'static str)> {
        let sidecars = self.sidecars.iter().filter_map(|sidecar| {
            let problem = find_problem(self.status(sidecar.admin).as_ref(), 0)?;
            Some((format!("sidecar {}", sidecar.name), problem))
        });
        let routers = self.routers.iter().filter_map(|router| {
            let status = self.status(router.admin);
            let problem = find_problem(status.as_ref(), self.sidecars.len())?;
            Some((format!("router {}", router.name), problem))
        });
        sidecars.chain(routers).collect()
    }

    /// Returns the processes that were started, with their names.
    fn children(&mut self) -> Vec<(String, &mut ChildGuard)> {
        let platform = self.platform_child.iter_mut();
        let platform = platform.map(|child| ("platform".to_owned(), child));
        let endpoints = self.endpoints.iter_mut().filter_map(|endpoint| {
            let name = format!("endpoint {}", endpoint.name);
            Some((name, endpoint.child.as_mut()?))
        });
        let sidecars = self.sidecars.iter_mut().filter_map(|sidecar| {
            let name = format!("sidecar {}", sidecar.name);
            Some((name, sidecar.child.as_mut()?))
        });
        let routers = self.routers.iter_mut().filter_map(|router| {
            let name = format!("router {}", router.name);
            Some((name, router.child.as_mut()?))
        });
        platform
            .chain(endpoints)
            .chain(sidecars)
            .chain(routers)
            .collect()
    }

    /// Waits up to `limit` until the view of every sidecar is confirmed; returns whether it is.
    pub fn wait_for_confirmed_views(&self, limit: Duration) -> bool {
        self.wait_for_key_freshness(limit, |_| true)
    }

    /// Waits up to `limit` until every sidecar accepts keys minted now; returns whether it does.
    #[must_use]
    pub fn wait_for_fresh_keys(&self, limit: Duration) -> bool {
        self.wait_for_key_freshness(limit, |after| after < unix_millis())
    }

    /// Waits until `condition` holds at every sidecar for the time after which new keys are
    /// accepted.
    ///
    /// The check does not use `missing_words` of the status: a sidecar without a host list misses
    /// no confirmation, but does not report that time either.
    fn wait_for_key_freshness(&self, limit: Duration, condition: impl Fn(u64) -> bool) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let is_met = self.sidecars.iter().all(|sidecar| {
                let status = self.status(sidecar.admin).unwrap_or_default();
                let after = status["role"]["keys_fresh_after_ms"].as_u64();
                after.is_some_and(&condition)
            });
            if is_met {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the effects that the endpoints of `service` logged.
    #[must_use]
    pub fn effects(&self, service: &str) -> Vec<EffectEntry> {
        self.entries(service, "/log")
    }

    /// Returns the usage that the endpoints of `service` logged.
    #[must_use]
    pub fn usage(&self, service: &str) -> Vec<UsageEntry> {
        self.entries(service, "/usage")
    }

    /// Returns the host names and status addresses of all routers and sidecars.
    #[must_use]
    pub fn status_addresses(&self) -> Vec<(String, SocketAddr)> {
        let routers = self
            .routers
            .iter()
            .map(|router| (router.name.clone(), router.admin));
        let sidecars = self
            .sidecars
            .iter()
            .map(|sidecar| (sidecar.name.clone(), sidecar.admin));
        routers.chain(sidecars).collect()
    }

    /// Returns the entries at `path` of the endpoints of `service`, without endpoints that do not
    /// answer.
    fn entries<T: DeserializeOwned>(&self, service: &str, path: &str) -> Vec<T> {
        let endpoints = self.endpoints.iter();
        endpoints
            .filter(|endpoint| endpoint.plan.name == service)
            .filter_map(|endpoint| get_json::<Vec<T>>(endpoint.address, path))
            .flatten()
            .collect()
    }

    fn start_daemon(&self, role: &str, name: &str, settings: &str) -> std::io::Result<ChildGuard> {
        let path = self.folder.path().join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let path = path.display().to_string();
        let log = self.log_path(name);
        match &self.plan.binary {
            Some(binary) => ChildGuard::start(binary, &[role, "--settings", &path], &log),
            None => {
                let arguments = ["cicadalock", role, "--settings", &path];
                ChildGuard::start(&self.plan.program, &arguments, &log)
            }
        }
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.log_folder.join(format!("{name}.log"))
    }

    fn process_settings(&self, name: &str, zone: &str, admin: SocketAddr) -> String {
        let traces = self
            .plan
            .traces
            .map(|target| format!("traces = \"{target}\"\n"));
        let seeds: Vec<String> = self
            .sidecars
            .iter()
            .map(|sidecar| format!("\"{}\"", sidecar.address()))
            .collect();
        format!(
            "[process]\nhost = \"{name}\"\nzone = \"{zone}\"\nsite = \"{zone}\"\nadmin = \"{admin}\"\n\
             platform = \"{}\"\nseeds = [{}]\nkey_file = \"{}\"\n{}",
            self.platform,
            seeds.join(", "),
            self.folder.path().join("fleet.key").display(),
            traces.unwrap_or_default()
        )
    }

    fn hosts_json(&self) -> String {
        let routers = self.routers.iter().map(|router| {
            json!({
                "name": router.name, "role": "router", "zone": router.zone,
                "address": router.callers.to_string(), "state": "live",
            })
        });
        let sidecars = self
            .sidecars
            .iter()
            .filter(|sidecar| sidecar.state != "gone");
        let sidecars = sidecars.map(|sidecar| {
            json!({
                "name": sidecar.name, "role": "sidecar", "service": sidecar.service,
                "zone": sidecar.zone, "address": sidecar.address().to_string(),
                "state": sidecar.state,
            })
        });
        json!({ "hosts": routers.chain(sidecars).collect::<Vec<_>>() }).to_string()
    }
}

impl SidecarHandle {
    /// Returns the address at which other processes reach the sidecar: its proxy, if it has one.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.proxy.as_ref().map_or(self.listen, FaultProxy::address)
    }
}

/// Returns why a process with this status, which has to see `sidecars` eligible sidecars, is not ready.
fn find_problem(status: Option<&Value>, sidecars: usize) -> Option<&'static str> {
    let Some(status) = status else {
        return Some("does not answer at its status port;");
    };
    let peers = status["role"]["peers"].as_array();
    let eligible = peers.map_or(0, |peers| {
        let is_eligible = |peer: &&Value| peer["is_eligible"] == Value::Bool(true);
        peers.iter().filter(is_eligible).count()
    });
    if status["config_revision"].as_u64().unwrap_or(0) == 0 {
        Some("has no configuration;")
    } else if eligible < sidecars {
        Some("does not see every sidecar as eligible;")
    } else {
        None
    }
}
