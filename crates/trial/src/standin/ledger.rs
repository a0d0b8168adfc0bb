use std::sync::{Mutex, MutexGuard};

use cicadalock_core::collect::SortedMap;
use serde::{Deserialize, Serialize};

use crate::shared_state::lock;
use crate::wall_clock::unix_millis;

/// Effects that are remembered at most.
const EFFECT_LIMIT: usize = 1_000_000;

/// What a stand-in endpoint did.
#[derive(Debug, Default)]
pub struct EffectLog {
    inner: Mutex<EffectRecords>,
}

#[derive(Debug, Default)]
struct EffectRecords {
    effects: Vec<EffectEntry>,
    usage: SortedMap<(u64, String, String), i64>,
    active: i64,
    cancelled: u64,
}

/// One effect of a request that an endpoint took in whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectEntry {
    /// Customer told by the sidecar.
    pub customer: String,
    /// Idempotency key, if one came.
    pub key: String,
    /// Body of the request.
    pub body: String,
    /// Fence number told by the sidecar.
    pub fence: u64,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Cost of one customer's kind of work in one tenth of a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Tenths of a second since 1970.
    pub tenth: u64,
    /// Customer told by the sidecar.
    pub customer: String,
    /// Kind told by the sidecar.
    pub kind: String,
    /// Cost in cost units.
    pub cost: i64,
}

impl EffectLog {
    /// Notes an effect.
    pub fn note(&self, customer: &str, key: &str, body: &str, fence: u64) {
        let mut records = self.lock();
        if records.effects.len() < EFFECT_LIMIT {
            records.effects.push(EffectEntry {
                customer: customer.to_owned(),
                key: key.to_owned(),
                body: body.to_owned(),
                fence,
                at_ms: unix_millis(),
            });
        }
    }

    /// Adds to the usage of a customer's kind now.
    pub fn spend(&self, customer: &str, kind: &str, cost: i64) {
        let key = (unix_millis() / 100, customer.to_owned(), kind.to_owned());
        *self.lock().usage.get_or_insert_with(key, || 0) += cost;
    }

    /// Notes the begin or the end of a piece of work and returns how many are in work.
    pub fn change_active(&self, change: i64) -> i64 {
        let mut records = self.lock();
        records.active += change;
        records.active
    }

    /// Notes that a caller went away before its answer's end.
    pub fn note_cancelled(&self) {
        self.lock().cancelled += 1;
    }

    /// What the log says at a path; none for paths that are the endpoint's own.
    #[must_use]
    pub fn answer(&self, path: &str) -> Option<String> {
        match path {
            "/log" => Some(self.effects_json()),
            "/usage" => Some(self.usage_json()),
            "/state" => Some(self.state_json()),
            _ => None,
        }
    }

    /// Effects as JSON.
    #[must_use]
    pub fn effects_json(&self) -> String {
        serde_json::to_string(&self.lock().effects).unwrap_or_default()
    }

    /// Usage as JSON.
    #[must_use]
    pub fn usage_json(&self) -> String {
        let records = self.lock();
        let entries: Vec<UsageEntry> = records
            .usage
            .iter()
            .map(|((tenth, customer, kind), cost)| UsageEntry {
                tenth: *tenth,
                customer: customer.clone(),
                kind: kind.clone(),
                cost: *cost,
            })
            .collect();
        serde_json::to_string(&entries).unwrap_or_default()
    }

    /// Work in progress and work cut short, as JSON.
    #[must_use]
    pub fn state_json(&self) -> String {
        let records = self.lock();
        format!(
            "{{\"active\":{},\"cancelled\":{}}}",
            records.active, records.cancelled
        )
    }

    fn lock(&self) -> MutexGuard<'_, EffectRecords> {
        lock(&self.inner)
    }
}
