use std::sync::{Mutex, MutexGuard};

use cicadalock_core::collect::SortedMap;
use serde::{Deserialize, Serialize};

use crate::shared_state::lock;
use crate::wall_clock::unix_millis;

/// Number of effects that the log holds; further ones are dropped.
const MAX_EFFECTS: usize = 1_000_000;

/// Log of the requests, usage and cancellations of a stand-in endpoint.
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

/// A request that the endpoint received completely and did not refuse for its fence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectEntry {
    /// Customer, from the `cicadalock-customer` header.
    pub customer: String,
    /// Idempotency key; empty if the request has none.
    pub key: String,
    /// Request body, with invalid UTF-8 replaced.
    pub body: String,
    /// Fence number, from the `cicadalock-fence` header; zero if absent or invalid.
    pub fence: u64,
    /// Time of receipt, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Cost of a customer's requests of one kind in one tenth of a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Start of the interval, in tenths of a second since 1970.
    pub tenth: u64,
    /// Customer, from the `cicadalock-customer` header.
    pub customer: String,
    /// Kind, from the `cicadalock-kind` header.
    pub kind: String,
    /// Cost in cost units: tokens for an engine, milliseconds for a plain service.
    pub cost: i64,
}

impl EffectLog {
    /// Records an effect unless the log is full.
    pub fn record_effect(&self, customer: &str, key: &str, body: &str, fence: u64) {
        let mut records = self.lock();
        if records.effects.len() < MAX_EFFECTS {
            records.effects.push(EffectEntry {
                customer: customer.to_owned(),
                key: key.to_owned(),
                body: body.to_owned(),
                fence,
                at_ms: unix_millis(),
            });
        }
    }

    /// Adds `cost` to the usage of a customer and kind in the current tenth of a second.
    pub fn record_usage(&self, customer: &str, kind: &str, cost: i64) {
        let key = (unix_millis() / 100, customer.to_owned(), kind.to_owned());
        *self.lock().usage.get_or_insert_with(key, || 0) += cost;
    }

    /// Adds `change` to the number of active requests and returns the new number.
    pub fn add_active(&self, change: i64) -> i64 {
        let mut records = self.lock();
        records.active += change;
        records.active
    }

    /// Counts a request whose caller disconnected before the end of the answer.
    pub fn record_cancelled(&self) {
        self.lock().cancelled += 1;
    }

    /// Returns the JSON that the log serves at `path`; `None` for any path that is not the log's.
    #[must_use]
    pub fn answer(&self, path: &str) -> Option<String> {
        match path {
            "/log" => Some(self.effects_json()),
            "/usage" => Some(self.usage_json()),
            "/state" => Some(self.state_json()),
            _ => None,
        }
    }

    /// Returns a JSON array of [`EffectEntry`] in the order of receipt.
    #[must_use]
    pub fn effects_json(&self) -> String {
        serde_json::to_string(&self.lock().effects).unwrap_or_default()
    }

    /// Returns a JSON array of [`UsageEntry`].
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

    /// Returns the numbers of active and of cancelled requests as a JSON object.
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
