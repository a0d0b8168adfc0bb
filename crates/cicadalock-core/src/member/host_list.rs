use std::net::SocketAddr;

use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::id::{HostName, NameError, Revision, ServiceName, ZoneName};

/// Greatest number of hosts accepted in a list.
const HOST_LIMIT: usize = 50_000;

/// What a host runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostRole {
    /// A router.
    Router,
    /// A sidecar of the named service.
    Sidecar(ServiceName),
}

/// Whether a host takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostState {
    /// It takes new work.
    Live,
    /// It finishes what it has and takes no new work.
    Leaving,
}

/// One host of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// Name of the host.
    pub name: HostName,
    /// What it runs.
    pub role: HostRole,
    /// Where it is.
    pub zone: ZoneName,
    /// Address of its internal port.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: HostState,
}

/// The platform's list of live and leaving hosts, sorted by name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HostList {
    previous: Revision,
    hosts: Vec<HostEntry>,
}

/// Why a host list cannot be used.
#[derive(Debug, Snafu)]
pub enum HostListError {
    /// The text is not JSON.
    #[snafu(display("the host list is not JSON: {source}"))]
    NotJson {
        /// Cause.
        source: serde_json::Error,
    },
    /// A field is missing or has another type.
    #[snafu(display("host {index}: field `{field}` is missing or of another type"))]
    MissingField {
        /// Place in the list.
        index: usize,
        /// Name of the field.
        field: &'static str,
    },
    /// A field's value cannot be used.
    #[snafu(display("host {index}: `{value}` is not a valid {field}"))]
    BadField {
        /// Place in the list.
        index: usize,
        /// Name of the field.
        field: &'static str,
        /// The value found.
        value: String,
    },
    /// A name cannot be used.
    #[snafu(display("host {index}: {source}"))]
    BadName {
        /// Place in the list.
        index: usize,
        /// Cause.
        source: NameError,
    },
    /// Two hosts have the same name.
    #[snafu(display("two hosts are called `{name}`"))]
    TwoHosts {
        /// The name.
        name: HostName,
    },
    /// The list has no array of hosts, or too many.
    #[snafu(display("the list needs an array `hosts` of at most {HOST_LIMIT} entries"))]
    NoHosts,
}

impl HostList {
    /// Reads a list from JSON; see `docs/INTERFACES.md` for its fields.
    ///
    /// # Errors
    ///
    /// Returns the first thing that makes the list unusable.
    pub fn parse(text: &str) -> Result<Self, HostListError> {
        let root: Value = serde_json::from_str(text).context(NotJsonSnafu)?;
        let previous = Revision::new(root["previous"].as_u64().unwrap_or(0));
        let entries = root["hosts"].as_array().context(NoHostsSnafu)?;
        if entries.len() > HOST_LIMIT {
            return NoHostsSnafu.fail();
        }
        let mut hosts = Vec::with_capacity(entries.len());
        for (index, entry) in entries.iter().enumerate() {
            hosts.push(parse_host(index, entry)?);
        }
        hosts.sort_by(|left, right| left.name.cmp(&right.name));
        for pair in hosts.windows(2) {
            if pair[0].name == pair[1].name {
                let name = pair[0].name.clone();
                return TwoHostsSnafu { name }.fail();
            }
        }
        Ok(Self { previous, hosts })
    }

    /// Revision of the list that this one replaced.
    #[must_use]
    pub const fn previous(&self) -> Revision {
        self.previous
    }

    /// All hosts, sorted by name.
    #[must_use]
    pub fn hosts(&self) -> &[HostEntry] {
        &self.hosts
    }

    /// The host called `name`.
    #[must_use]
    pub fn get(&self, name: &HostName) -> Option<&HostEntry> {
        let index = self
            .hosts
            .binary_search_by(|host| host.name.cmp(name))
            .ok()?;
        Some(&self.hosts[index])
    }

    /// Live and leaving sidecars of `service`, sorted by name.
    pub fn sidecars(&self, service: &ServiceName) -> impl Iterator<Item = &HostEntry> {
        self.hosts
            .iter()
            .filter(move |host| matches!(&host.role, HostRole::Sidecar(name) if name == service))
    }

    /// Live sidecars of `service`, which are the homes of its keys, sorted by name.
    #[must_use]
    pub fn homes(&self, service: &ServiceName) -> Vec<HostName> {
        self.sidecars(service)
            .filter(|host| host.state == HostState::Live)
            .map(|host| host.name.clone())
            .collect()
    }
}

fn parse_host(index: usize, entry: &Value) -> Result<HostEntry, HostListError> {
    let text = |field: &'static str| {
        entry[field]
            .as_str()
            .context(MissingFieldSnafu { index, field })
    };
    let name = text("name")?.parse().context(BadNameSnafu { index })?;
    let zone = text("zone")?.parse().context(BadNameSnafu { index })?;
    let role = match text("role")? {
        "router" => HostRole::Router,
        "sidecar" => {
            let service = text("service")?.parse().context(BadNameSnafu { index })?;
            HostRole::Sidecar(service)
        }
        value => return bad_field(index, "role", value),
    };
    let state = match text("state")? {
        "live" => HostState::Live,
        "leaving" => HostState::Leaving,
        value => return bad_field(index, "state", value),
    };
    let value = text("address")?;
    let Ok(address) = value.parse() else {
        return bad_field(index, "address", value);
    };
    Ok(HostEntry {
        name,
        role,
        zone,
        address,
        state,
    })
}

fn bad_field<T>(index: usize, field: &'static str, value: &str) -> Result<T, HostListError> {
    BadFieldSnafu {
        index,
        field,
        value,
    }
    .fail()
}
