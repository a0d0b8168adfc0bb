use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::{BodyDigest, IdempotencyKey};
use crate::collect::SortedMap;
use crate::id::CustomerId;
use crate::time::WallTime;

/// Default time for which keys are kept.
const DEFAULT_WINDOW: Duration = Duration::from_secs(600);

/// Default clock skew to tolerate between callers and sidecars.
const DEFAULT_SKEW: Duration = Duration::from_millis(2_000);

/// Default maximum number of keys.
const DEFAULT_ENTRY_LIMIT: usize = 100_000;

/// Default maximum size of all stored answers, in bytes.
const DEFAULT_BYTE_LIMIT: usize = 32 * 1024 * 1024;

/// Maximum number of keys in a hand-off; a ledger with more keys is not handed off.
const HAND_OFF_KEY_LIMIT: usize = 20_000;

/// Maximum size of the answers in a hand-off, in bytes.
const HAND_OFF_BYTE_LIMIT: usize = 4 * 1024 * 1024;

/// Records the keyed requests that this process has run, and their answers.
///
/// A request runs only if the minting time of its key proves that no earlier process of this
/// sidecar, and no earlier home of the key, can have run it.
#[derive(Debug)]
pub struct OutcomeLedger {
    entries: SortedMap<EntryKey, LedgerEntry>,
    /// Keys with the time at which each was last queued, oldest first.
    expiry_queue: VecDeque<(WallTime, EntryKey)>,
    answer_bytes: usize,
    settings: LedgerBuilder,
}

type EntryKey = (CustomerId, IdempotencyKey);

#[derive(Debug, Clone)]
struct LedgerEntry {
    body: BodyDigest,
    state: EntryState,
}

#[derive(Debug, Clone)]
enum EntryState {
    Running,
    Answered(Arc<StoredAnswer>),
    /// The run ended without an answer that could be stored.
    Lost,
}

/// The complete answer to a request that has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the header fields, in order.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// One key of the ledger, as handed off to another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRecord {
    /// Customer that used the key.
    pub customer: CustomerId,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
    /// Digest of the request.
    pub body: BodyDigest,
    /// The answer, if it was stored.
    pub answer: Option<Arc<StoredAnswer>>,
}

/// Decision on a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerVerdict {
    /// The request has not run anywhere; it is now recorded as running.
    Run,
    /// The request is running.
    InProgress,
    /// The request ran, and this is its answer.
    Replay(Arc<StoredAnswer>),
    /// The request ran or may have run, and its answer is not available.
    Unknown,
    /// The key was used for a request with a different digest.
    Conflict,
    /// The key's minting time is ahead of this process's clock by more than the clock skew.
    FromFuture,
    /// The ledger holds its maximum number of keys.
    Full,
}

impl OutcomeLedger {
    /// Returns a builder for the ledger of a process that started at `start`.
    #[must_use]
    pub const fn builder(start: WallTime) -> LedgerBuilder {
        LedgerBuilder {
            start,
            window: DEFAULT_WINDOW,
            skew: DEFAULT_SKEW,
            entry_limit: DEFAULT_ENTRY_LIMIT,
            byte_limit: DEFAULT_BYTE_LIMIT,
        }
    }

    /// Decides whether a request may run, and records it as running if so.
    ///
    /// A request whose key is not in the ledger runs only if the key was minted after both
    /// `fresh_after` and the start of this process. Another process may have run an older key.
    pub fn claim(
        &mut self,
        customer: CustomerId,
        key: &IdempotencyKey,
        body: BodyDigest,
        fresh_after: WallTime,
        now: WallTime,
    ) -> LedgerVerdict {
        self.expire(now);
        let entry_key = (customer, key.clone());
        if let Some(entry) = self.entries.get(&entry_key) {
            return entry.verdict(body);
        }
        if key.minted() > now.plus_millis(millis(self.settings.skew)) {
            return LedgerVerdict::FromFuture;
        }
        if !self.is_fresh(key, fresh_after, now) {
            return LedgerVerdict::Unknown;
        }
        if self.entries.len() >= self.settings.entry_limit {
            return LedgerVerdict::Full;
        }
        let state = EntryState::Running;
        self.entries
            .insert(entry_key.clone(), LedgerEntry { body, state });
        self.expiry_queue.push_back((now, entry_key));
        LedgerVerdict::Run
    }

    /// Returns the decision on a key that is in the ledger; `None` for any other key.
    #[must_use]
    pub fn stored_verdict(
        &self,
        customer: CustomerId,
        key: &IdempotencyKey,
        body: BodyDigest,
    ) -> Option<LedgerVerdict> {
        self.entries
            .get(&(customer, key.clone()))
            .map(|entry| entry.verdict(body))
    }

    /// Removes the claim of a request that is certain not to have run.
    pub fn release(&mut self, customer: CustomerId, key: &IdempotencyKey) {
        let entry_key = (customer, key.clone());
        if let Some(entry) = self.entries.get(&entry_key)
            && matches!(entry.state, EntryState::Running)
        {
            self.entries.remove(&entry_key);
        }
    }

    /// Records the end of a run.
    ///
    /// The answer is stored if it is given, that is complete, and fits the byte limit.
    pub fn finish(
        &mut self,
        customer: CustomerId,
        key: &IdempotencyKey,
        answer: Option<StoredAnswer>,
    ) {
        let free_bytes = self.settings.byte_limit.saturating_sub(self.answer_bytes);
        let Some(entry) = self.entries.get_mut(&(customer, key.clone())) else {
            return;
        };
        entry.state = match answer {
            Some(answer) if answer.body.len() <= free_bytes => {
                self.answer_bytes += answer.body.len();
                EntryState::Answered(Arc::new(answer))
            }
            _ => EntryState::Lost,
        };
    }

    /// Returns all entries of the ledger for a hand-off.
    ///
    /// `None` while a request is running, or if the ledger exceeds the limits of a hand-off.
    #[must_use]
    pub fn hand_off(&self) -> Option<Vec<LedgerRecord>> {
        if self.entries.len() > HAND_OFF_KEY_LIMIT || self.answer_bytes > HAND_OFF_BYTE_LIMIT {
            return None;
        }
        let to_record = |((customer, key), entry): (&EntryKey, &LedgerEntry)| {
            let answer = match &entry.state {
                EntryState::Running => return None,
                EntryState::Answered(answer) => Some(Arc::clone(answer)),
                EntryState::Lost => None,
            };
            let (customer, key, body) = (*customer, key.clone(), entry.body);
            Some(LedgerRecord {
                customer,
                key,
                body,
                answer,
            })
        };
        self.entries.iter().map(to_record).collect()
    }

    /// Adds the entries of this process's predecessor, which no longer runs any request.
    ///
    /// `keys` holds every key minted after `complete_since` that the predecessor ran. Keys that are
    /// already in this ledger keep their entries.
    pub fn adopt(&mut self, complete_since: WallTime, keys: Vec<LedgerRecord>, now: WallTime) {
        for record in keys {
            let entry_key = (record.customer, record.key);
            if self.entries.contains_key(&entry_key) {
                continue;
            }
            let state = match record.answer {
                Some(answer) => {
                    self.answer_bytes += answer.body.len();
                    EntryState::Answered(answer)
                }
                None => EntryState::Lost,
            };
            let body = record.body;
            self.entries
                .insert(entry_key.clone(), LedgerEntry { body, state });
            self.expiry_queue.push_back((now, entry_key));
        }
        self.settings.start = complete_since;
    }

    /// Returns the time before which an earlier process may have run keys.
    #[must_use]
    pub const fn complete_since(&self) -> WallTime {
        self.settings.start
    }

    /// Changes the time for which keys are kept and the tolerated clock skew.
    ///
    /// Keys that may have expired under the earlier limits are still refused.
    pub fn set_limits(&mut self, window: Duration, skew: Duration, now: WallTime) {
        if (window, skew) == (self.settings.window, self.settings.skew) {
            return;
        }
        let expired_before = now
            .plus_millis(millis(self.settings.skew))
            .minus_millis(millis(self.settings.window));
        self.settings.start = self.settings.start.max(expired_before);
        self.settings.window = window;
        self.settings.skew = skew;
    }

    /// Returns the number of keys in the ledger.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the ledger holds no key.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of all stored answers, in bytes.
    #[must_use]
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns whether a key that is not in the ledger is certain not to have run.
    ///
    /// Its minting time must be late enough that no other process can have run it, and recent
    /// enough that its entry cannot have expired.
    #[must_use]
    pub fn is_fresh(&self, key: &IdempotencyKey, fresh_after: WallTime, now: WallTime) -> bool {
        key.minted() > self.fresh_from(fresh_after) && !self.is_past_window(key, now)
    }

    /// Returns the time after which a key must be minted to be fresh, by the caller's clock.
    #[must_use]
    pub fn fresh_from(&self, fresh_after: WallTime) -> WallTime {
        let fresh_after = fresh_after.max(self.settings.start);
        fresh_after.plus_millis(millis(self.settings.skew))
    }

    fn is_past_window(&self, key: &IdempotencyKey, now: WallTime) -> bool {
        let end = key.minted().plus_millis(millis(self.settings.window));
        end < now.plus_millis(millis(self.settings.skew))
    }

    /// Removes keys that are past the window by this process's clock and by their minting time.
    fn expire(&mut self, now: WallTime) {
        let window = millis(self.settings.window);
        while let Some((queued, _)) = self.expiry_queue.front() {
            if queued.plus_millis(window) >= now {
                return;
            }
            let Some((_, key)) = self.expiry_queue.pop_front() else {
                return;
            };
            self.remove_or_requeue(key, now);
        }
    }

    fn remove_or_requeue(&mut self, key: EntryKey, now: WallTime) {
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        let is_running = matches!(entry.state, EntryState::Running);
        if is_running || !self.is_past_window(&key.1, now) {
            self.expiry_queue.push_back((now, key));
            return;
        }
        if let EntryState::Answered(answer) = &entry.state {
            self.answer_bytes -= answer.body.len();
        }
        self.entries.remove(&key);
    }
}

impl LedgerEntry {
    fn verdict(&self, body: BodyDigest) -> LedgerVerdict {
        if self.body != body {
            return LedgerVerdict::Conflict;
        }
        match &self.state {
            EntryState::Running => LedgerVerdict::InProgress,
            EntryState::Answered(answer) => LedgerVerdict::Replay(Arc::clone(answer)),
            EntryState::Lost => LedgerVerdict::Unknown,
        }
    }
}

/// Collects the settings of an [`OutcomeLedger`].
#[derive(Debug, Clone)]
pub struct LedgerBuilder {
    start: WallTime,
    window: Duration,
    skew: Duration,
    entry_limit: usize,
    byte_limit: usize,
}

impl LedgerBuilder {
    /// Sets the time for which keys are kept.
    #[must_use]
    pub const fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets the clock skew that is tolerated between callers and sidecars.
    #[must_use]
    pub const fn skew(mut self, skew: Duration) -> Self {
        self.skew = skew;
        self
    }

    /// Sets the maximum number of keys.
    #[must_use]
    pub const fn entry_limit(mut self, limit: usize) -> Self {
        self.entry_limit = limit;
        self
    }

    /// Sets the maximum size of all stored answers, in bytes.
    #[must_use]
    pub const fn byte_limit(mut self, limit: usize) -> Self {
        self.byte_limit = limit;
        self
    }

    /// Builds the ledger.
    #[must_use]
    pub const fn build(self) -> OutcomeLedger {
        OutcomeLedger {
            entries: SortedMap::new(),
            expiry_queue: VecDeque::new(),
            answer_bytes: 0,
            settings: self,
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
