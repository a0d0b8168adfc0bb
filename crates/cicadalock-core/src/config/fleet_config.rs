use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use snafu::Snafu;

use super::check::{check_consistency, read_raw};
use super::merge::merge;
use super::raw::{LIMITS, LISTS, RawConfig, RawItem, RawValue};
use super::{ConfigText, Finding};
use crate::fair::{GrantScheduler, SchedulerBuilder};
use crate::id::{CustomerId, CustomerName, KindId, KindName, ServiceName};

/// The validated configuration of a fleet for one site: the base merged with the site's overlay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetConfig {
    pub(super) services: Vec<ServiceConfig>,
    pub(super) kinds: Vec<KindConfig>,
    pub(super) customers: Vec<CustomerConfig>,
    /// Token digests with the index of their customer in `customers`, sorted by digest.
    pub(super) tokens: Vec<(TokenDigest, usize)>,
    pub(super) limits: LimitConfig,
}

impl FleetConfig {
    /// Parses, merges and validates a base text and the overlay of a site, if there is one.
    ///
    /// # Errors
    ///
    /// Returns all findings of both texts, sorted by file and line.
    pub fn read(base: &ConfigText, overlay: Option<&ConfigText>) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let raw = parse_and_merge(base, overlay, &mut findings);
        let config = read_raw(&raw, &mut findings);
        check_consistency(&raw, &mut findings);
        if findings.is_empty() {
            return Ok(config);
        }
        findings.sort();
        findings.dedup();
        Err(findings)
    }

    /// Returns the base merged with the overlay as TOML text, even if it has findings.
    #[must_use]
    pub fn print_merged(base: &ConfigText, overlay: Option<&ConfigText>) -> String {
        let raw = parse_and_merge(base, overlay, &mut Vec::new());
        let mut text = String::new();
        if let Some(limits) = &raw.limits {
            print_item(&mut text, &format!("[{LIMITS}]"), limits);
        }
        for (section, entries) in LISTS.iter().zip(&raw.lists) {
            for entry in entries {
                print_item(&mut text, &format!("[[{section}]]"), entry);
            }
        }
        text
    }

    /// Returns the services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[ServiceConfig] {
        &self.services
    }

    /// Returns the kinds, sorted by id.
    #[must_use]
    pub fn kinds(&self) -> &[KindConfig] {
        &self.kinds
    }

    /// Returns the customers, sorted by id.
    #[must_use]
    pub fn customers(&self) -> &[CustomerConfig] {
        &self.customers
    }

    /// Returns the limits that apply to every process.
    #[must_use]
    pub const fn limits(&self) -> &LimitConfig {
        &self.limits
    }

    /// Returns the service named `name`.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        let index = self
            .services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()?;
        Some(&self.services[index])
    }

    /// Returns the kind with the given id.
    #[must_use]
    pub fn kind(&self, id: KindId) -> Option<&KindConfig> {
        let index = self.kinds.binary_search_by_key(&id, |kind| kind.id).ok()?;
        Some(&self.kinds[index])
    }

    /// Returns the customer with the given id.
    #[must_use]
    pub fn customer(&self, id: CustomerId) -> Option<&CustomerConfig> {
        let index = self
            .customers
            .binary_search_by_key(&id, |customer| customer.id)
            .ok()?;
        Some(&self.customers[index])
    }

    /// Returns the customer that authenticates with `token`, given in clear text.
    #[must_use]
    pub fn customer_by_token(&self, token: &str) -> Option<&CustomerConfig> {
        let digest = TokenDigest::of(token);
        let index = self
            .tokens
            .binary_search_by_key(&digest, |(token, _)| *token)
            .ok()?;
        self.customers.get(self.tokens[index].1)
    }

    /// Returns the kind whose path is the longest prefix of `path` that ends at a segment boundary.
    #[must_use]
    pub fn kind_by_path(&self, path: &str) -> Option<&KindConfig> {
        self.kinds
            .iter()
            .filter(|kind| kind.matches(path))
            .max_by_key(|kind| kind.path.len())
    }

    /// Returns a scheduler builder with the fleet's customers and the kinds of `service`.
    #[must_use]
    pub fn scheduler(&self, service: &ServiceConfig) -> SchedulerBuilder {
        let mut builder = GrantScheduler::builder()
            .debt_cap(service.debt_cap)
            .exchange_interval(self.limits.exchange_interval)
            .extrapolate_peers(self.limits.policy == SharingPolicy::Fleet);
        for customer in &self.customers {
            builder = builder.customer(customer.id, customer.share);
        }
        for kind in self
            .kinds
            .iter()
            .filter(|kind| kind.service == service.name)
        {
            builder = builder.kind(kind.id, kind.weight, kind.estimate);
        }
        builder
    }
}

fn parse_and_merge(
    base: &ConfigText,
    overlay: Option<&ConfigText>,
    findings: &mut Vec<Finding>,
) -> RawConfig {
    let raw = RawConfig::parse(base, findings);
    match overlay {
        Some(overlay) => {
            let changes = RawConfig::parse(overlay, findings);
            merge(raw, changes, findings)
        }
        None => raw,
    }
}

fn print_item(text: &mut String, heading: &str, item: &RawItem) {
    use fmt::Write;

    let _ = writeln!(text, "{heading}");
    for field in &item.fields {
        let value = match &field.value {
            RawValue::Text(value) => toml::Value::from(value.as_str()).to_string(),
            RawValue::Integer(value) => value.to_string(),
            RawValue::Boolean(value) => value.to_string(),
            RawValue::Other(name) => format!("# {name}"),
        };
        let _ = writeln!(text, "{} = {value}", field.key);
    }
    text.push('\n');
}

/// A group of endpoints that are replicas of each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: ServiceName,
    /// Protocol of its endpoints.
    pub protocol: ServiceProtocol,
    /// Number of requests that one endpoint processes concurrently.
    pub slots: u32,
    /// Number of grants that a sidecar offers beyond the endpoint's free slots.
    pub ahead: u32,
    /// Largest lead of one customer over another, in cost units divided by share.
    pub debt_cap: u64,
}

/// Protocol of a service's endpoints, which also determines how cost is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceProtocol {
    /// Completions streamed as server-sent events; the cost is the number of tokens.
    Completions,
    /// Arbitrary HTTP; the cost is the time taken, in milliseconds.
    Plain,
}

/// A class of requests, selected by the beginning of the request's path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindConfig {
    /// Name of the kind.
    pub name: KindName,
    /// Id of the kind in messages, derived from the name.
    pub id: KindId,
    /// Service that processes the requests.
    pub service: ServiceName,
    /// Prefix of the request's path; matches whole segments only.
    pub path: Arc<str>,
    /// Whether it is safe to run a request more than once.
    pub idempotent: bool,
    /// Weight of the kind within a customer's share; a greater weight is more urgent.
    pub weight: u32,
    /// Cost assumed for a request until one has finished, in cost units.
    pub estimate: u32,
    /// Longest time that a request waits before it is run.
    pub queue_timeout: Duration,
    /// Longest time from the request's arrival to the end of its answer.
    pub timeout: Duration,
}

impl KindConfig {
    fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(&*self.path) else {
            return false;
        };
        rest.is_empty() || self.path.ends_with('/') || rest.starts_with(['/', '?'])
    }
}

/// A customer, its share of the capacity and its token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerConfig {
    /// Name of the customer.
    pub name: CustomerName,
    /// Id of the customer in messages, derived from the name.
    pub id: CustomerId,
    /// Customer's share of the capacity, relative to the shares of the other customers.
    pub share: u32,
    /// SHA-256 of the customer's token.
    pub token: TokenDigest,
}

/// Limits that apply to every process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitConfig {
    /// Largest number of requests of one customer and kind that wait at a router.
    pub queue_per_kind: u32,
    /// Largest number of requests, waiting and running, at a router.
    pub requests_per_router: u32,
    /// Largest request body, in bytes.
    pub body: u64,
    /// Largest total size of the request bodies that a router holds, in bytes.
    pub body_total: u64,
    /// Largest answer that the ledger keeps to replay to retries of a keyed request, in bytes.
    pub kept_answer: u64,
    /// How long the ledger keeps idempotency keys.
    pub key_window: Duration,
    /// Tolerated difference between the clocks of two hosts.
    pub clock_skew: Duration,
    /// Interval at which sidecars exchange reports of totals.
    pub exchange_interval: Duration,
    /// How long a sidecar waits for the request of a grant before it revokes the grant.
    pub grant_lease: Duration,
    /// Policy that chooses the customer whose request runs next.
    pub policy: SharingPolicy,
}

/// How the customer whose request runs next is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharingPolicy {
    /// Fair across the fleet: sidecars exchange totals.
    Fleet,
    /// Fair at each sidecar in isolation; a baseline for comparison.
    Sidecar,
    /// Fair at each router in isolation; routers push to the least loaded sidecar. A baseline for
    /// comparison.
    Router,
    /// First come, first served; routers push to the least loaded sidecar. A baseline for
    /// comparison.
    Push,
}

impl SharingPolicy {
    /// Returns whether routers push requests without waiting for a grant.
    #[must_use]
    pub const fn is_push(self) -> bool {
        matches!(self, Self::Router | Self::Push)
    }
}

/// SHA-256 of a customer's token; its debug output is redacted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Returns the digest of a token in clear text.
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TokenDigest(..)")
    }
}

impl fmt::Display for TokenDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

/// Error for a text that is not one of the accepted values.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("must be {expected}"))]
pub struct ChoiceError {
    expected: &'static str,
}

impl FromStr for TokenDigest {
    type Err = ChoiceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        match hex::decode_to_slice(text, &mut bytes) {
            Ok(()) => Ok(Self(bytes)),
            Err(_) => ChoiceSnafu {
                expected: "64 hexadecimal digits",
            }
            .fail(),
        }
    }
}

impl FromStr for ServiceProtocol {
    type Err = ChoiceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "completions" => Ok(Self::Completions),
            "plain" => Ok(Self::Plain),
            _ => ChoiceSnafu {
                expected: "\"completions\" or \"plain\"",
            }
            .fail(),
        }
    }
}

impl fmt::Display for ServiceProtocol {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Completions => "completions",
            Self::Plain => "plain",
        })
    }
}

impl FromStr for SharingPolicy {
    type Err = ChoiceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "fleet" => Ok(Self::Fleet),
            "sidecar" => Ok(Self::Sidecar),
            "router" => Ok(Self::Router),
            "push" => Ok(Self::Push),
            _ => {
                let expected = "\"fleet\", \"sidecar\", \"router\" or \"push\"";
                ChoiceSnafu { expected }.fail()
            }
        }
    }
}

impl fmt::Display for SharingPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Fleet => "fleet",
            Self::Sidecar => "sidecar",
            Self::Router => "router",
            Self::Push => "push",
        })
    }
}
