use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::builder::{FleetBuilder, ServicePlan};
use super::child::ChildGuard;
use super::client::{get_json, put_text};
use crate::proxy::FaultProxy;
use crate::standin::{EffectEntry, UsageEntry};
use crate::wall_clock::unix_millis;

/// An endpoint of an experiment.
#[derive(Debug)]
pub struct EndpointHandle {
    /// Name of its host.
    pub name: String,
    /// Its service.
    pub plan: ServicePlan,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its process.
    pub child: Option<ChildGuard>,
}

/// A sidecar of an experiment.
#[derive(Debug)]
pub struct SidecarHandle {
    /// Name of its host.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Its internal port.
    pub listen: SocketAddr,
    /// Its status port.
    pub admin: SocketAddr,
    /// Its endpoint.
    pub endpoint: SocketAddr,
    /// The proxy before its internal port.
    pub proxy: Option<FaultProxy>,
    /// Its process.
    pub child: Option<ChildGuard>,
    /// Its state in the host list.
    pub state: &'static str,
}

/// A router of an experiment.
#[derive(Debug)]
pub struct RouterHandle {
    /// Name of its host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its callers' port.
    pub callers: SocketAddr,
    /// Its status port.
    pub admin: SocketAddr,
    /// Its process.
    pub child: Option<ChildGuard>,
}

/// The processes of an experiment; they end with it.
#[derive(Debug)]
pub struct RunningFleet {
    /// Routers.
    pub routers: Vec<RouterHandle>,
    /// Sidecars.
    pub sidecars: Vec<SidecarHandle>,
    /// Endpoints, in the order of their sidecars.
    pub endpoints: Vec<EndpointHandle>,
    /// Where the stand-in platform listens.
    pub platform: SocketAddr,
    plan: FleetBuilder,
    folder: TempDir,
    platform_child: Option<ChildGuard>,
    /// Where settings and logs are kept beyond the experiment, if asked for.
    log_folder: Option<PathBuf>,
}

impl RunningFleet {
    pub(super) fn new(
        plan: FleetBuilder,
        folder: TempDir,
        platform: SocketAddr,
    ) -> std::io::Result<Self> {
        let log_folder = std::env::var_os("TRIAL_LOGS").map(PathBuf::from);
        if let Some(folder) = &log_folder {
            std::fs::create_dir_all(folder)?;
        }
        Ok(Self {
            routers: Vec::new(),
            sidecars: Vec::new(),
            endpoints: Vec::new(),
            platform,
            plan,
            folder,
            platform_child: None,
            log_folder,
        })
    }

    /// What the fleet was built from.
    #[must_use]
    pub const fn plan(&self) -> &FleetBuilder {
        &self.plan
    }

    /// Publishes a configuration release and returns its revision.
    pub fn publish_config(&self, release: &str) -> u64 {
        let answer = put_text(self.platform, "/v1/keys/cicadalock", release);
        answer.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Publishes the host list as the handles have it.
    pub fn publish_hosts(&self) {
        let _ = put_text(self.platform, "/v1/hosts", &self.hosts_json());
    }

    /// Changes how the stand-in platform behaves: `up`, `down`, `stale`, `rubbish` or `slow`.
    pub fn set_platform_mode(&self, mode: &str) {
        let _ = put_text(self.platform, "/mode", mode);
    }

    /// Reads at the platform so far.
    #[must_use]
    pub fn platform_reads(&self) -> u64 {
        get_json(self.platform, "/reads").unwrap_or(0)
    }

    /// Starts the platform's process.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start_platform(&mut self) -> std::io::Result<()> {
        let arguments = ["platform", "--listen", &self.platform.to_string()].map(str::to_owned);
        self.platform_child = Some(ChildGuard::start(&self.plan.program, &arguments, None)?);
        Ok(())
    }

    pub(super) fn place_processes(&mut self) -> std::io::Result<()> {
        (self.endpoints, self.sidecars, self.routers) = self.plan.place()?;
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

    /// Starts an endpoint's process.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start_endpoint(&mut self, index: usize) -> std::io::Result<()> {
        let endpoint = &mut self.endpoints[index];
        let listen = endpoint.address.to_string();
        let pace = humantime::format_duration(endpoint.plan.pace).to_string();
        let slots = endpoint.plan.slots.to_string();
        let mut arguments = if endpoint.plan.is_model {
            vec![
                "engine", "--listen", &listen, "--batch", &slots, "--token", &pace,
            ]
        } else {
            vec!["service", "--listen", &listen, "--busy", &pace]
        };
        if self.plan.checks_fence && !endpoint.plan.is_model {
            arguments.push("--check-fence");
        }
        endpoint.child = Some(ChildGuard::start(&self.plan.program, &arguments, None)?);
        Ok(())
    }

    /// Starts a sidecar's process.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start_sidecar(&mut self, index: usize) -> std::io::Result<()> {
        let sidecar = &self.sidecars[index];
        let own = format!(
            "listen = \"{}\"\nservice = \"{}\"\nendpoint = \"{}\"\n",
            sidecar.listen, sidecar.service, sidecar.endpoint
        );
        let process = self.process_settings(&sidecar.name, &sidecar.zone, sidecar.admin);
        let child = self.start_daemon("sidecar", &sidecar.name, &format!("{own}{process}"))?;
        self.sidecars[index].child = Some(child);
        Ok(())
    }

    /// Starts a router's process.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start_router(&mut self, index: usize) -> std::io::Result<()> {
        let router = &self.routers[index];
        let own = format!("callers = \"{}\"\n", router.callers);
        let process = self.process_settings(&router.name, &router.zone, router.admin);
        let child = self.start_daemon("router", &router.name, &format!("{own}{process}"))?;
        self.routers[index].child = Some(child);
        Ok(())
    }

    /// Status of the process whose status port is at `admin`.
    #[must_use]
    pub fn status(&self, admin: SocketAddr) -> Option<Value> {
        get_json(admin, "/status")
    }

    /// Tells whether every router sees every sidecar and has a configuration.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let sees_all = |status: &Value| {
            let peers = status["role"]["peers"].as_array();
            let peers = peers.map_or(0, |peers| {
                peers
                    .iter()
                    .filter(|peer| peer["is_eligible"] == Value::Bool(true))
                    .count()
            });
            peers >= self.sidecars.len() && status["config_revision"].as_u64() > Some(0)
        };
        self.routers
            .iter()
            .all(|router| self.status(router.admin).as_ref().is_some_and(sees_all))
            && self.sidecars.iter().all(|sidecar| {
                let status = self.status(sidecar.admin);
                status.is_some_and(|status| status["config_revision"].as_u64() > Some(0))
            })
    }

    /// Waits until every sidecar's view of the homes is confirmed.
    pub fn wait_for_words(&self, limit: Duration) -> bool {
        self.wait_for_keys(limit, |_| true)
    }

    /// Waits until every sidecar runs new keys that are minted now.
    #[must_use]
    pub fn wait_for_fresh_keys(&self, limit: Duration) -> bool {
        self.wait_for_keys(limit, |after| after < unix_millis())
    }

    /// Waits until the time after which keys are fresh satisfies `condition` at every sidecar.
    ///
    /// A sidecar that has no host list yet misses no words, but knows no such time.
    fn wait_for_keys(&self, limit: Duration, condition: impl Fn(u64) -> bool) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let is_settled = self.sidecars.iter().all(|sidecar| {
                let status = self.status(sidecar.admin).unwrap_or_default();
                let after = status["role"]["keys_fresh_after_ms"].as_u64();
                after.is_some_and(&condition)
            });
            if is_settled {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Effects that the endpoints of `service` logged.
    #[must_use]
    pub fn effects(&self, service: &str) -> Vec<EffectEntry> {
        self.entries(service, "/log")
    }

    /// Usage that the endpoints of `service` logged.
    #[must_use]
    pub fn usage(&self, service: &str) -> Vec<UsageEntry> {
        self.entries(service, "/usage")
    }

    /// Status ports of all routers and sidecars.
    #[must_use]
    pub fn admins(&self) -> Vec<(String, SocketAddr)> {
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

    /// What the endpoints of `service` that answer have at `path`.
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
        let log = match &self.log_folder {
            Some(folder) => {
                let path = folder.join(format!("{name}.log"));
                Some(
                    std::fs::OpenOptions::new()
                        .create(true)
                        .append(true)
                        .open(path)?,
                )
            }
            None => None,
        };
        match &self.plan.binary {
            Some(binary) => ChildGuard::start(binary, &[role, "--settings", &path], log),
            None => {
                let arguments = ["cicadalock", role, "--settings", &path];
                ChildGuard::start(&self.plan.program, &arguments, log)
            }
        }
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
    /// Where other processes reach the sidecar.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.proxy.as_ref().map_or(self.listen, FaultProxy::address)
    }
}
