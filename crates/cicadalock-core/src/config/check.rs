use std::sync::Arc;
use std::time::Duration;

use super::fleet_config::{
    CustomerConfig, FleetConfig, KindConfig, LimitConfig, ServiceConfig, SharingPolicy,
};
use super::raw::{LIMITS, LISTS, Place, RawConfig, RawItem, RawValue};
use super::reader::ItemReader;
use super::{Finding, ServiceProtocol};
use crate::id::{CustomerId, KindId};

const DEFAULT_GRANTS_AHEAD: u32 = 1;
const DEFAULT_DEBT_CAP: u32 = 1_000_000;
const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_ESTIMATE: u32 = 100;
const DEFAULT_QUEUE_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(120);
const DEFAULT_QUEUE_PER_KIND: u32 = 256;
const DEFAULT_REQUESTS_PER_ROUTER: u32 = 4_096;
const DEFAULT_BODY_BYTES: u64 = 1024 * 1024;
const DEFAULT_BODY_TOTAL_BYTES: u64 = 48 * 1024 * 1024;
const DEFAULT_KEPT_ANSWER_BYTES: u64 = 64 * 1024;
const DEFAULT_KEY_WINDOW: Duration = Duration::from_secs(600);
const DEFAULT_CLOCK_SKEW: Duration = Duration::from_secs(2);
const DEFAULT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
const DEFAULT_GRANT_LEASE: Duration = Duration::from_millis(1_000);

/// Converts the raw tables to typed values; entries with findings are left out.
pub(super) fn read_raw(raw: &RawConfig, findings: &mut Vec<Finding>) -> FleetConfig {
    let [services, kinds, customers] = &raw.lists;
    let mut services = read_list(services, LISTS[0], findings, read_service);
    let mut kinds = read_list(kinds, LISTS[1], findings, read_kind);
    let mut customers = read_list(customers, LISTS[2], findings, read_customer);
    services.sort_by(|left, right| left.name.cmp(&right.name));
    kinds.sort_by_key(|kind| kind.id);
    customers.sort_by_key(|customer| customer.id);
    let mut tokens: Vec<_> = customers
        .iter()
        .enumerate()
        .map(|(index, customer)| (customer.token, index))
        .collect();
    tokens.sort();
    FleetConfig {
        services,
        kinds,
        customers,
        tokens,
        limits: read_limits(raw.limits.as_ref(), findings),
    }
}

/// Checks that names, paths, tokens and ids are unique, and that each kind's service exists.
pub(super) fn check_consistency(raw: &RawConfig, findings: &mut Vec<Finding>) {
    let [services, kinds, customers] = &raw.lists;
    for (section, entries) in LISTS.iter().zip(&raw.lists) {
        check_duplicates(entries, section, "name", findings);
    }
    check_duplicates(kinds, LISTS[1], "path", findings);
    check_duplicates(customers, LISTS[2], "token_sha256", findings);
    check_collisions(
        customers,
        LISTS[2],
        |name| Some(CustomerId::of(&name.parse().ok()?).get()),
        findings,
    );
    check_collisions(
        kinds,
        LISTS[1],
        |name| Some(KindId::of(&name.parse().ok()?).get()),
        findings,
    );
    for kind in kinds {
        let Some(field) = kind.get("service") else {
            continue;
        };
        if !services
            .iter()
            .any(|item| item.get("name").map(|name| &name.value) == Some(&field.value))
        {
            let key = format!("{}.{}.service", LISTS[1], kind.name().unwrap_or_default());
            findings.push(Finding::new(&field.place, key, "no service has this name"));
        }
    }
}

fn read_list<T>(
    entries: &[RawItem],
    section: &str,
    findings: &mut Vec<Finding>,
    read: fn(&mut ItemReader<'_>) -> Option<T>,
) -> Vec<T> {
    let mut values = Vec::new();
    for entry in entries {
        let mut reader = ItemReader::new(entry, section, findings);
        values.extend(read(&mut reader));
        reader.finish();
    }
    values
}

fn read_service(reader: &mut ItemReader<'_>) -> Option<ServiceConfig> {
    let name = reader.parsed("name");
    let protocol = reader.parsed::<ServiceProtocol>("protocol");
    let slots = reader.positive("slots");
    let ahead = reader.positive_or("ahead", DEFAULT_GRANTS_AHEAD);
    let debt_cap = reader.positive_or("debt_cap", DEFAULT_DEBT_CAP);
    Some(ServiceConfig {
        name: name?,
        protocol: protocol?,
        slots: slots?,
        ahead: ahead?,
        debt_cap: u64::from(debt_cap?),
    })
}

fn read_kind(reader: &mut ItemReader<'_>) -> Option<KindConfig> {
    let name = reader.parsed("name");
    let service = reader.parsed("service");
    let path = reader.text("path");
    let idempotent = reader.boolean("idempotent");
    let weight = reader.positive_or("weight", DEFAULT_WEIGHT);
    let estimate = reader.positive_or("estimate", DEFAULT_ESTIMATE);
    let queue_timeout = reader.duration_or("queue_timeout", DEFAULT_QUEUE_TIMEOUT);
    let timeout = reader.duration_or("timeout", DEFAULT_TIMEOUT);
    if let Some(text) = &path
        && !text.starts_with('/')
    {
        reader.add_finding("path", "must start with `/`");
    }
    if let (Some(queue), Some(whole)) = (queue_timeout, timeout)
        && queue > whole
    {
        reader.add_finding("queue_timeout", "must not exceed the timeout");
    }
    let name = name?;
    Some(KindConfig {
        id: KindId::of(&name),
        name,
        service: service?,
        path: Arc::from(path?),
        idempotent: idempotent?,
        weight: weight?,
        estimate: estimate?,
        queue_timeout: queue_timeout?,
        timeout: timeout?,
    })
}

fn read_customer(reader: &mut ItemReader<'_>) -> Option<CustomerConfig> {
    let name = reader.parsed("name");
    let share = reader.positive("share");
    let token = reader.parsed("token_sha256");
    let name = name?;
    Some(CustomerConfig {
        id: CustomerId::of(&name),
        name,
        share: share?,
        token: token?,
    })
}

fn read_limits(item: Option<&RawItem>, findings: &mut Vec<Finding>) -> LimitConfig {
    let mut limits = LimitConfig::default();
    let Some(item) = item else {
        return limits;
    };
    let mut reader = ItemReader::new(item, LIMITS, findings);
    let queue = reader.positive_or("queue_per_kind", limits.queue_per_kind);
    let requests = reader.positive_or("requests_per_router", limits.requests_per_router);
    let body = reader.size_or("body", limits.body);
    let body_total = reader.size_or("body_total", limits.body_total);
    let kept_answer = reader.size_or("kept_answer", limits.kept_answer);
    let key_window = reader.duration_or("key_window", limits.key_window);
    let clock_skew = reader.duration_or("clock_skew", limits.clock_skew);
    let exchange = reader.duration_or("exchange_interval", limits.exchange_interval);
    let lease = reader.duration_or("grant_lease", limits.grant_lease);
    let policy = reader.parsed_or("policy", limits.policy);
    limits.queue_per_kind = queue.unwrap_or(limits.queue_per_kind);
    limits.requests_per_router = requests.unwrap_or(limits.requests_per_router);
    limits.body = body.unwrap_or(limits.body);
    limits.body_total = body_total.unwrap_or(limits.body_total);
    limits.kept_answer = kept_answer.unwrap_or(limits.kept_answer);
    limits.key_window = key_window.unwrap_or(limits.key_window);
    limits.clock_skew = clock_skew.unwrap_or(limits.clock_skew);
    limits.exchange_interval = exchange.unwrap_or(limits.exchange_interval);
    limits.grant_lease = lease.unwrap_or(limits.grant_lease);
    limits.policy = policy.unwrap_or(limits.policy);
    if limits.body > MAX_BODY_BYTES {
        reader.add_finding(
            "body",
            "must not exceed 8MiB, the largest body that fits a frame between processes",
        );
    }
    reader.finish();
    limits
}

/// Largest request body that fits a frame between processes.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            queue_per_kind: DEFAULT_QUEUE_PER_KIND,
            requests_per_router: DEFAULT_REQUESTS_PER_ROUTER,
            body: DEFAULT_BODY_BYTES,
            body_total: DEFAULT_BODY_TOTAL_BYTES,
            kept_answer: DEFAULT_KEPT_ANSWER_BYTES,
            key_window: DEFAULT_KEY_WINDOW,
            clock_skew: DEFAULT_CLOCK_SKEW,
            exchange_interval: DEFAULT_EXCHANGE_INTERVAL,
            grant_lease: DEFAULT_GRANT_LEASE,
            policy: SharingPolicy::Fleet,
        }
    }
}

/// Reports entries whose text for `key` equals that of an earlier entry.
fn check_duplicates(
    entries: &[RawItem],
    section: &str,
    key: &'static str,
    findings: &mut Vec<Finding>,
) {
    let mut seen: Vec<(&str, &Place)> = Vec::new();
    for entry in entries {
        let Some(field) = entry.get(key) else {
            continue;
        };
        let RawValue::Text(text) = &field.value else {
            continue;
        };
        match seen.binary_search_by(|(other, _)| (*other).cmp(text)) {
            Ok(index) => {
                let path = format!("{section}.{}.{key}", entry.name().unwrap_or_default());
                let problem = format!("repeats the {key} of line {}", seen[index].1.line);
                findings.push(Finding::new(&field.place, path, problem));
            }
            Err(index) => seen.insert(index, (text, &field.place)),
        }
    }
}

/// Reports entries with different names that hash to the same id.
fn check_collisions(
    entries: &[RawItem],
    section: &str,
    id_of: fn(&str) -> Option<u32>,
    findings: &mut Vec<Finding>,
) {
    let mut seen: Vec<(u32, &str)> = Vec::new();
    for entry in entries {
        let Some((name, id)) = entry.name().and_then(|name| Some((name, id_of(name)?))) else {
            continue;
        };
        match seen.binary_search_by_key(&id, |(other, _)| *other) {
            Ok(index) if seen[index].1 != name => {
                let path = format!("{section}.{name}.name");
                let problem = format!(
                    "has the same id hash as `{}`; choose another name",
                    seen[index].1
                );
                findings.push(Finding::new(&entry.place, path, problem));
            }
            Ok(_) => {}
            Err(index) => seen.insert(index, (id, name)),
        }
    }
}
