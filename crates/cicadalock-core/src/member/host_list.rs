use std::net::SocketAddr;

use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::id::{HostName, NameError, Revision, ServiceName, ZoneName};

/// Maximum number of hosts in a list.
const HOST_LIMIT: usize = 50_000;

/// Process that a host runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostRole {
    /// A router; it accepts requests for all services.
    Router,
    /// A sidecar of the named service.
    Sidecar(ServiceName),
}

/// Whether a host takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostState {
    /// The host takes new work.
    Live,
    /// The host finishes its running requests and takes no new work.
    Leaving,
}

/// One host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// Name of the host, unique in the list.
    pub name: HostName,
    /// Process that the host runs.
    pub role: HostRole,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Address of the internal port, for connections between hosts.
    pub address: SocketAddr,
    /// Whether the host takes new work.
    pub state: HostState,
}

/// The platform's list of live and leaving hosts, sorted by name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HostList {
    /// Revision of the list that this one replaces.
    previous: Revision,
    hosts: Vec<HostEntry>,
}

/// Error of parsing a [`HostList`].
#[derive(Debug, Snafu)]
pub enum HostListError {
    /// The text is not JSON.
    #[snafu(display("the host list is not JSON: {source}"))]
    NotJson {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A field is missing or is not a string.
    #[snafu(display("hosts[{index}]: field `{field}` is missing or not a string"))]
    MissingField {
        /// Index in the array `hosts`, from zero.
        index: usize,
        /// JSON name of the field.
        field: &'static str,
    },
    /// The role or state of a host is unknown, or its address cannot be parsed.
    #[snafu(display("hosts[{index}]: `{value}` is not a valid {field}"))]
    BadField {
        /// Index in the array `hosts`, from zero.
        index: usize,
        /// JSON name of the field.
        field: &'static str,
        /// Value in the list.
        value: String,
    },
    /// The name of a host, service or availability zone is not valid.
    #[snafu(display("hosts[{index}]: {source}"))]
    BadName {
        /// Index in the array `hosts`, from zero.
        index: usize,
        /// Reason why the name is not valid.
        source: NameError,
    },
    /// Two hosts have the same name.
    #[snafu(display("the host list has two hosts with the name `{name}`"))]
    DuplicateName {
        /// Name that occurs twice.
        name: HostName,
    },
    /// The list has no array `hosts`, or the array is too long.
    #[snafu(display("the host list needs an array `hosts` of at most {HOST_LIMIT} entries"))]
    InvalidHosts,
}

impl HostList {
    /// Parses a list from JSON; see `docs/INTERFACES.md` for its fields.
    ///
    /// # Errors
    ///
    /// Returns the first error found in the list.
    pub fn parse(text: &str) -> Result<Self, HostListError> {
        let root: Value = serde_json::from_str(text).context(NotJsonSnafu)?;
        let previous = Revision::new(root["previous"].as_u64().unwrap_or(0));
        let entries = root["hosts"].as_array().context(InvalidHostsSnafu)?;
        if entries.len() > HOST_LIMIT {
            return InvalidHostsSnafu.fail();
        }
        let mut hosts = Vec::with_capacity(entries.len());
        for (index, entry) in entries.iter().enumerate() {
            hosts.push(parse_host(index, entry)?);
        }
        hosts.sort_by(|left, right| left.name.cmp(&right.name));
        for pair in hosts.windows(2) {
            if pair[0].name == pair[1].name {
                let name = pair[0].name.clone();
                return DuplicateNameSnafu { name }.fail();
            }
        }
        Ok(Self { previous, hosts })
    }

    /// Revision of the list that this one replaces.
    ///
    /// Zero if the JSON field `previous` is missing or not an unsigned integer.
    #[must_use]
    pub const fn previous(&self) -> Revision {
        self.previous
    }

    /// All hosts, sorted by name.
    #[must_use]
    pub fn hosts(&self) -> &[HostEntry] {
        &self.hosts
    }

    /// Returns the host with the name `name`, if it is listed.
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

    /// Live sidecars of `service`, which are the homes of its idempotency keys, sorted by name.
    #[must_use]
    pub fn homes(&self, service: &ServiceName) -> Vec<HostName> {
        self.sidecars(service)
            .filter(|host| host.state == HostState::Live)
            .map(|host| host.name.clone())
            .collect()
    }
}

fn parse_host(index: usize, entry: &Value) -> Result<HostEntry, HostListError> {
    let string_field = |field: &'static str| {
        entry[field]
            .as_str()
            .context(MissingFieldSnafu { index, field })
    };
    let name = string_field("name")?
        .parse()
        .context(BadNameSnafu { index })?;
    let zone = string_field("zone")?
        .parse()
        .context(BadNameSnafu { index })?;
    let role = match string_field("role")? {
        "router" => HostRole::Router,
        "sidecar" => {
            let service = string_field("service")?
                .parse()
                .context(BadNameSnafu { index })?;
            HostRole::Sidecar(service)
        }
        value => return bad_field(index, "role", value),
    };
    let state = match string_field("state")? {
        "live" => HostState::Live,
        "leaving" => HostState::Leaving,
        value => return bad_field(index, "state", value),
    };
    let value = string_field("address")?;
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
