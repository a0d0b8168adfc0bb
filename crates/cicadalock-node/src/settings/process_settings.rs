use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use cicadalock_core::id::{HostName, ServiceName, ZoneName};
use log::LevelFilter;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use super::text_field::parse;

/// Settings that routers and sidecars have in common.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of this host in the platform's host list.
    #[serde(deserialize_with = "parse")]
    pub host: HostName,
    /// Availability zone of the host.
    #[serde(deserialize_with = "parse")]
    pub zone: ZoneName,
    /// Site whose configuration overlay applies.
    pub site: String,
    /// Address of the status port.
    pub admin: SocketAddr,
    /// Address of the platform; without it, documents come only from other processes.
    pub platform: Option<SocketAddr>,
    /// Internal addresses of peers to connect to in addition to the hosts of the host list.
    ///
    /// They are the only ones while no host list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Path of the file with the fleet's key.
    pub key_file: PathBuf,
    /// Least severe level that is logged; `info` by default.
    #[serde(deserialize_with = "parse", default = "default_level")]
    pub log_level: LevelFilter,
    /// UDP address that receives counters in statsd format; without it, none are sent.
    pub metrics: Option<SocketAddr>,
    /// UDP address that receives trace spans in JSON; without it, none are sent.
    pub traces: Option<SocketAddr>,
    /// Time for which a router still accepts connections after a stop signal; 1 s by default.
    #[serde(default)]
    pub drain: HumanDuration<1_000>,
    /// Maximum time to wait for running requests after a stop signal; 150 s by default.
    #[serde(default)]
    pub stop_limit: HumanDuration<150_000>,
}

/// Settings of a router.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Settings that routers and sidecars have in common.
    pub process: ProcessSettings,
    /// Address to listen on for callers' HTTP requests.
    pub callers: SocketAddr,
    /// Maximum number of connections from callers; 4096 by default.
    #[serde(default = "default_connections")]
    pub connections: usize,
}

/// Settings of a sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Settings that routers and sidecars have in common.
    pub process: ProcessSettings,
    /// Address to listen on for other processes of the fleet.
    pub listen: SocketAddr,
    /// Service that the endpoint belongs to.
    #[serde(deserialize_with = "parse")]
    pub service: ServiceName,
    /// Address of the endpoint that the sidecar calls.
    pub endpoint: SocketAddr,
}

/// A duration that is parsed from text with units, such as `150s`.
///
/// The default is `DEFAULT_MILLIS` milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HumanDuration<const DEFAULT_MILLIS: u64>(Duration);

/// Why settings could not be loaded.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not TOML, or a key is missing, unknown or has an invalid value.
    #[snafu(display("{source}"))]
    Invalid {
        /// Error with line and column.
        source: toml::de::Error,
    },
}

impl RouterSettings {
    /// Parses settings from TOML.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not TOML, or a key is missing, unknown or invalid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text).context(InvalidSnafu)
    }

    /// Reads settings from a TOML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or for the reasons given at [`Self::parse`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path)
    }
}

impl SidecarSettings {
    /// Parses settings from TOML.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not TOML, or a key is missing, unknown or invalid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text).context(InvalidSnafu)
    }

    /// Reads settings from a TOML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or for the reasons given at [`Self::parse`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path)
    }
}

impl<const DEFAULT_MILLIS: u64> HumanDuration<DEFAULT_MILLIS> {
    /// Returns the duration.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl<const DEFAULT_MILLIS: u64> Default for HumanDuration<DEFAULT_MILLIS> {
    fn default() -> Self {
        Self(Duration::from_millis(DEFAULT_MILLIS))
    }
}

impl<const DEFAULT_MILLIS: u64> FromStr for HumanDuration<DEFAULT_MILLIS> {
    type Err = humantime::DurationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        humantime::parse_duration(text).map(Self)
    }
}

impl<'de, const DEFAULT_MILLIS: u64> Deserialize<'de> for HumanDuration<DEFAULT_MILLIS> {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        parse(deserializer)
    }
}

fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    toml::from_str(&text).context(InvalidSnafu)
}

const fn default_level() -> LevelFilter {
    LevelFilter::Info
}

const fn default_connections() -> usize {
    4_096
}
