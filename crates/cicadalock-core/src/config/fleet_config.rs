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

/// The checked configuration of a fleet, as one site sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetConfig {
    pub(super) services: Vec<ServiceConfig>,
    pub(super) kinds: Vec<KindConfig>,
    pub(super) customers: Vec<CustomerConfig>,
    /// Customers' places by the digest of their token, sorted.
    pub(super) tokens: Vec<(TokenDigest, usize)>,
    pub(super) limits: LimitConfig,
}

impl FleetConfig {
    /// Reads a base text and, if there is one, the overlay of a site.
    ///
    /// # Errors
    ///
    /// Returns every finding of both texts, sorted by file and line.
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

    /// The merged text of a base and an overlay, whether or not it can be used.
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

    /// Services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[ServiceConfig] {
        &self.services
    }

    /// Kinds of work, sorted by id.
    #[must_use]
    pub fn kinds(&self) -> &[KindConfig] {
        &self.kinds
    }

    /// Customers, sorted by id.
    #[must_use]
    pub fn customers(&self) -> &[CustomerConfig] {
        &self.customers
    }

    /// Limits that hold for every process.
    #[must_use]
    pub const fn limits(&self) -> &LimitConfig {
        &self.limits
    }

    /// The service called `name`.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        let index = self
            .services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()?;
        Some(&self.services[index])
    }

    /// The kind with `id`.
    #[must_use]
    pub fn kind(&self, id: KindId) -> Option<&KindConfig> {
        let index = self.kinds.binary_search_by_key(&id, |kind| kind.id).ok()?;
        Some(&self.kinds[index])
    }

    /// The customer with `id`.
    #[must_use]
    pub fn customer(&self, id: CustomerId) -> Option<&CustomerConfig> {
        let index = self
            .customers
            .binary_search_by_key(&id, |customer| customer.id)
            .ok()?;
        Some(&self.customers[index])
    }

    /// The customer that owns `token`.
    #[must_use]
    pub fn customer_by_token(&self, token: &str) -> Option<&CustomerConfig> {
        let digest = TokenDigest::of(token);
        let index = self
            .tokens
            .binary_search_by_key(&digest, |(token, _)| *token)
            .ok()?;
        self.customers.get(self.tokens[index].1)
    }

    /// The kind with the longest path that `path` begins with, at a segment's end.
    #[must_use]
    pub fn kind_by_path(&self, path: &str) -> Option<&KindConfig> {
        self.kinds
            .iter()
            .filter(|kind| kind.matches(path))
            .max_by_key(|kind| kind.path.len())
    }

    /// A builder with the customers of the fleet and the kinds of `service`.
    #[must_use]
    pub fn scheduler(&self, service: &ServiceConfig) -> SchedulerBuilder {
        let mut builder = GrantScheduler::builder()
            .debt_cap(service.debt_cap)
            .exchange_interval(self.limits.exchange_interval)
            .presume_peers(self.limits.policy == SharingPolicy::Fleet);
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
    /// How its endpoints are called.
    pub protocol: ServiceProtocol,
    /// Requests that one endpoint works on at a time.
    pub slots: u32,
    /// Grants made ahead of free slots at one endpoint.
    pub ahead: u32,
    /// Greatest lead of one customer over another, in cost units by share.
    pub debt_cap: u64,
}

/// How the endpoints of a service are called, and what their work costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceProtocol {
    /// Completions with server-sent events; the cost is counted in tokens.
    Completions,
    /// Any HTTP; the cost is the time taken, in milliseconds.
    Plain,
}

/// A kind of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindConfig {
    /// Name of the kind.
    pub name: KindName,
    /// Id derived from the name.
    pub id: KindId,
    /// Service that does the work.
    pub service: ServiceName,
    /// Beginning of the request's path.
    pub path: Arc<str>,
    /// Whether a request may safely be run twice.
    pub idempotent: bool,
    /// Weight inside a customer's share; greater is more urgent.
    pub weight: u32,
    /// Expected cost before any request has finished, in cost units.
    pub estimate: u32,
    /// Longest wait before a request is run.
    pub queue_timeout: Duration,
    /// Longest time from arrival to the end of the answer.
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

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerConfig {
    /// Name of the customer.
    pub name: CustomerName,
    /// Id derived from the name.
    pub id: CustomerId,
    /// Parts of the capacity that the customer is owed.
    pub share: u32,
    /// Digest of the customer's token.
    pub token: TokenDigest,
}

/// Limits that hold for every process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitConfig {
    /// Requests of one customer and kind that a router holds.
    pub queue_per_kind: u32,
    /// Requests that a router holds and has running.
    pub requests_per_router: u32,
    /// Greatest body of a request, in bytes.
    pub body: u64,
    /// Bodies that a router holds together, in bytes.
    pub body_total: u64,
    /// Greatest answer kept for retries of a keyed request, in bytes.
    pub kept_answer: u64,
    /// How long keys are remembered.
    pub key_window: Duration,
    /// Difference of clocks that is allowed for.
    pub clock_skew: Duration,
    /// Time between two reports of totals.
    pub exchange_interval: Duration,
    /// How long a grant waits for its request.
    pub grant_lease: Duration,
    /// How customers are chosen.
    pub policy: SharingPolicy,
}

/// How customers are chosen beside an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharingPolicy {
    /// Fair over the fleet: totals are exchanged between sidecars.
    Fleet,
    /// Fair at each sidecar alone; kept for comparison.
    Sidecar,
    /// Fair at each router alone; routers push to the least loaded sidecar; kept for comparison.
    Router,
    /// First come, first served; routers push to the least loaded sidecar; kept for comparison.
    Push,
}

impl SharingPolicy {
    /// Tells whether routers push requests without a grant.
    #[must_use]
    pub const fn is_push(self) -> bool {
        matches!(self, Self::Router | Self::Push)
    }
}

/// SHA-256 of a customer's token.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Digest of `token`.
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

/// A text that is none of the values allowed.
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
