use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use cicadalock_core::config::{ConfigRelease, ConfigText, TokenDigest};
use cicadalock_standins::AddressBlock;

use super::client::put_text;
use super::running::{EndpointHandle, RouterHandle, RunningFleet, SidecarHandle};
use crate::proxy::FaultProxy;

/// Timeout for the platform to answer, and then for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A service of an experiment and its endpoints.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: String,
    /// Whether the endpoints serve a model with the completions protocol; otherwise the service is
    /// plain.
    pub is_model: bool,
    /// Number of endpoints of the service.
    pub replicas: usize,
    /// Number of requests that one endpoint processes at a time.
    pub slots: u32,
    /// Processing time per token of a model, or per call of a plain service.
    pub unit_time: Duration,
}

/// Builder of a fleet: routers, sidecars, endpoints and their configuration.
#[derive(Debug, Clone)]
pub struct FleetBuilder {
    pub(super) program: PathBuf,
    pub(super) binary: Option<PathBuf>,
    pub(super) routers: usize,
    pub(super) zones: Vec<String>,
    pub(super) services: Vec<ServicePlan>,
    pub(super) kinds: Vec<String>,
    pub(super) customers: Vec<(String, u32)>,
    pub(super) limits: String,
    pub(super) has_proxies: bool,
    pub(super) checks_fence: bool,
    pub(super) traces: Option<SocketAddr>,
}

impl FleetBuilder {
    /// Creates a builder for one router in one availability zone, without services.
    ///
    /// `program` is the trial binary, which also runs the stand-ins.
    #[must_use]
    pub fn new(program: PathBuf) -> Self {
        Self {
            program,
            binary: None,
            routers: 1,
            zones: vec!["a".into()],
            services: Vec::new(),
            kinds: Vec::new(),
            customers: Vec::new(),
            limits: String::new(),
            has_proxies: false,
            checks_fence: false,
            traces: None,
        }
    }

    /// Sets the binary of routers and sidecars; with `None`, they run from the trial binary.
    #[must_use]
    pub fn binary(mut self, binary: Option<PathBuf>) -> Self {
        self.binary = binary;
        self
    }

    /// Sets the number of routers.
    #[must_use]
    pub const fn routers(mut self, count: usize) -> Self {
        self.routers = count;
        self
    }

    /// Sets the availability zones, to which processes are assigned round-robin.
    #[must_use]
    pub fn zones(mut self, zones: &[&str]) -> Self {
        self.zones = zones.iter().map(ToString::to_string).collect();
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: ServicePlan) -> Self {
        self.services.push(service);
        self
    }

    /// Adds a kind, given as the TOML lines of its configuration entry.
    #[must_use]
    pub fn kind(mut self, lines: &str) -> Self {
        self.kinds.push(lines.to_owned());
        self
    }

    /// Adds a customer with its share. Its token is `token-` followed by the name.
    #[must_use]
    pub fn customer(mut self, name: &str, share: u32) -> Self {
        self.customers.push((name.to_owned(), share));
        self
    }

    /// Sets the TOML lines of the `limits` table in the configuration.
    #[must_use]
    pub fn limits(mut self, lines: &str) -> Self {
        self.limits = lines.to_owned();
        self
    }

    /// Puts a [`FaultProxy`] in front of every sidecar.
    #[must_use]
    pub const fn proxies(mut self) -> Self {
        self.has_proxies = true;
        self
    }

    /// Makes plain services reject outdated fence numbers.
    #[must_use]
    pub const fn check_fences(mut self) -> Self {
        self.checks_fence = true;
        self
    }

    /// Sets the address to which routers and sidecars send trace spans.
    #[must_use]
    pub const fn traces(mut self, target: SocketAddr) -> Self {
        self.traces = Some(target);
        self
    }

    /// Returns the text of the base configuration.
    #[must_use]
    pub fn config_text(&self) -> String {
        let mut text = String::new();
        if !self.limits.is_empty() {
            let _ = writeln!(text, "[limits]\n{}", self.limits);
        }
        for service in &self.services {
            let protocol = if service.is_model {
                "completions"
            } else {
                "plain"
            };
            let (name, slots) = (&service.name, service.slots);
            let _ = writeln!(
                text,
                "[[services]]\nname = \"{name}\"\nprotocol = \"{protocol}\"\nslots = {slots}"
            );
        }
        for kind in &self.kinds {
            let _ = writeln!(text, "[[kinds]]\n{kind}");
        }
        for (name, share) in &self.customers {
            let digest = TokenDigest::of(&format!("token-{name}"));
            let _ = writeln!(
                text,
                "[[customers]]\nname = \"{name}\"\nshare = {share}\ntoken_sha256 = \"{digest}\""
            );
        }
        text
    }

    /// Starts every process and waits until every router sees every sidecar.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started, ends, or is not ready in time; the error names it.
    pub fn start(self) -> std::io::Result<RunningFleet> {
        let folder = tempfile::tempdir()?;
        let key_file = folder.path().join("fleet.key");
        std::fs::write(&key_file, "a secret of the experiment's fleet\n")?;
        let block = AddressBlock::claim()?;
        let mut addresses = block.socket_addresses();
        let platform = next_address(&mut addresses)?;
        let mut fleet = RunningFleet::new(self, folder, block, platform)?;
        fleet.start_platform()?;
        wait_until(&mut fleet, |_| put_text(platform, "/mode", "up").is_some())?;
        let text = fleet.plan().config_text();
        let release = ConfigRelease::new(ConfigText::new("base", &text)).publish_text();
        fleet.publish_config(&release);
        fleet.allocate_processes(&mut addresses)?;
        fleet.publish_hosts();
        fleet.start_all()?;
        wait_until(&mut fleet, RunningFleet::is_ready)?;
        Ok(fleet)
    }

    pub(super) fn allocate_handles(
        &self,
        addresses: &mut impl Iterator<Item = SocketAddr>,
    ) -> std::io::Result<(Vec<EndpointHandle>, Vec<SidecarHandle>, Vec<RouterHandle>)> {
        let mut endpoints = Vec::new();
        let mut sidecars = Vec::new();
        for service in &self.services {
            for index in 0..service.replicas {
                let name = format!("{}-{index}", service.name);
                let address = next_address(addresses)?;
                endpoints.push(EndpointHandle {
                    name: name.clone(),
                    plan: service.clone(),
                    address,
                    child: None,
                });
                let listen = next_address(addresses)?;
                let proxy = if self.has_proxies {
                    Some(FaultProxy::start(listen)?)
                } else {
                    None
                };
                sidecars.push(SidecarHandle {
                    name,
                    service: service.name.clone(),
                    zone: self.zones[index % self.zones.len()].clone(),
                    listen,
                    admin: next_address(addresses)?,
                    endpoint: address,
                    proxy,
                    child: None,
                    state: "live",
                });
            }
        }
        let mut routers = Vec::new();
        for index in 0..self.routers {
            routers.push(RouterHandle {
                name: format!("router-{index}"),
                zone: self.zones[index % self.zones.len()].clone(),
                callers: next_address(addresses)?,
                admin: next_address(addresses)?,
                child: None,
            });
        }
        Ok((endpoints, sidecars, routers))
    }

    /// Returns the names of the services.
    #[must_use]
    pub fn service_names(&self) -> Vec<String> {
        self.services
            .iter()
            .map(|service| service.name.clone())
            .collect()
    }

    /// Returns the service called `name`.
    #[must_use]
    pub fn find_service(&self, name: &str) -> Option<&ServicePlan> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Waits until `condition` holds; fails after [`READY_TIMEOUT`], or once a process has ended.
fn wait_until(
    fleet: &mut RunningFleet,
    condition: impl Fn(&RunningFleet) -> bool,
) -> std::io::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let problem = if fleet.has_ended_process() {
            "a process of the fleet ended while it started"
        } else if condition(fleet) {
            return Ok(());
        } else if Instant::now() >= deadline {
            "fleet did not become ready before the timeout"
        } else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let processes = fleet.describe_problems();
        return Err(std::io::Error::other(format!("{problem}:{processes}")));
    }
}

fn next_address(addresses: &mut impl Iterator<Item = SocketAddr>) -> std::io::Result<SocketAddr> {
    let address = addresses.next();
    address.ok_or_else(|| std::io::Error::other("no port is left for the fleet"))
}
