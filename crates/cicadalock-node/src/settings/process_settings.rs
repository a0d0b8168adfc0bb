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

/// Settings of any process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of the host in the platform's list.
    #[serde(deserialize_with = "parse")]
    pub host: HostName,
    /// Availability zone of the host.
    #[serde(deserialize_with = "parse")]
    pub zone: ZoneName,
    /// Site whose overlay applies.
    pub site: String,
    /// Address of the status port.
    pub admin: SocketAddr,
    /// Address of the platform; without it documents come from other processes only.
    pub platform: Option<SocketAddr>,
    /// Internal addresses that are tried when no host list is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File that holds the fleet's key.
    pub key_file: PathBuf,
    /// Lowest level of log lines.
    #[serde(deserialize_with = "parse", default = "default_level")]
    pub log_level: LevelFilter,
    /// UDP address for counters in statsd format.
    pub metrics: Option<SocketAddr>,
    /// UDP address for spans in JSON.
    pub traces: Option<SocketAddr>,
    /// How long a router goes on accepting after it was told to stop.
    #[serde(default)]
    pub drain: HumanDuration<1_000>,
    /// Longest time to wait for running requests after a process was told to stop.
    #[serde(default)]
    pub stop_limit: HumanDuration<150_000>,
}

/// Settings of a router.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Settings of any process.
    pub process: ProcessSettings,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Greatest number of callers' connections.
    #[serde(default = "default_connections")]
    pub connections: usize,
}

/// Settings of a sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Settings of any process.
    pub process: ProcessSettings,
    /// Address of the internal port.
    pub listen: SocketAddr,
    /// Service of the endpoint.
    #[serde(deserialize_with = "parse")]
    pub service: ServiceName,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
}

/// A span of time written with its unit; `DEFAULT_MILLIS` is the default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HumanDuration<const DEFAULT_MILLIS: u64>(Duration);

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The text is not valid.
    #[snafu(display("{source}"))]
    Invalid {
        /// Cause, with line and column.
        source: toml::de::Error,
    },
}

impl RouterSettings {
    /// Reads settings from a text.
    ///
    /// # Errors
    ///
    /// Fails if the text is not TOML, or a key is missing, unknown or unusable.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text).context(InvalidSnafu)
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// As [`Self::parse`], or if the file cannot be read.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path)
    }
}

impl SidecarSettings {
    /// Reads settings from a text.
    ///
    /// # Errors
    ///
    /// Fails if the text is not TOML, or a key is missing, unknown or unusable.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text).context(InvalidSnafu)
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// As [`Self::parse`], or if the file cannot be read.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path)
    }
}

impl<const DEFAULT_MILLIS: u64> HumanDuration<DEFAULT_MILLIS> {
    /// The span.
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
