use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::{BodyDigest, IdempotencyKey};
use crate::collect::SortedMap;
use crate::id::CustomerId;
use crate::time::WallTime;

/// Default time for which keys are remembered.
const DEFAULT_WINDOW: Duration = Duration::from_secs(600);

/// Default difference of clocks that is allowed for.
const DEFAULT_SKEW: Duration = Duration::from_millis(2_000);

/// Default bound of remembered keys.
const DEFAULT_ENTRY_LIMIT: usize = 100_000;

/// Default bound of remembered answers, in bytes.
const DEFAULT_BYTE_LIMIT: usize = 32 * 1024 * 1024;

/// Greatest number of keys, and bytes of answers, that are handed to another process.
const HAND_OFF_KEY_LIMIT: usize = 20_000;
const HAND_OFF_BYTE_LIMIT: usize = 4 * 1024 * 1024;

/// Remembers which keyed requests this process has run, and their answers.
///
/// A key is run only if its minting time proves that no earlier process, and no earlier holder of
/// the key's home, can have run it.
#[derive(Debug)]
pub struct OutcomeLedger {
    entries: SortedMap<EntryKey, LedgerEntry>,
    order: VecDeque<(WallTime, EntryKey)>,
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
    /// The run ended without an answer that could be kept.
    Lost,
}

/// The answer of a finished run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header fields in order.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Whole body.
    pub body: Vec<u8>,
}

/// A key that was run, as it is handed to another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRecord {
    /// Customer that used the key.
    pub customer: CustomerId,
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of the request.
    pub body: BodyDigest,
    /// The answer, if it was kept.
    pub answer: Option<Arc<StoredAnswer>>,
}

/// What is to be done with a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerVerdict {
    /// It was never run here or elsewhere; it is now noted as running.
    Run,
    /// It is running.
    InProgress,
    /// It ran, and this is its answer.
    Replay(Arc<StoredAnswer>),
    /// It ran or may have run, and its answer is not known.
    Unknown,
    /// The key belongs to a request with another body.
    Conflict,
    /// The key was minted too far in the future by the clock of this process.
    FromFuture,
    /// No further key can be remembered.
    Full,
}

impl OutcomeLedger {
    /// Starts the construction of the ledger of a process that started at `start`.
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

    /// Decides about a request and notes it as running if it may run.
    ///
    /// A key that is not remembered runs only if it was minted after `fresh_after` and after the
    /// start of this process: until then another process may have run it.
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
        self.order.push_back((now, entry_key));
        LedgerVerdict::Run
    }

    /// What is remembered of a key; none if nothing is.
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

    /// Takes a claim back: the request was certainly not run.
    pub fn release(&mut self, customer: CustomerId, key: &IdempotencyKey) {
        let entry_key = (customer, key.clone());
        if let Some(entry) = self.entries.get(&entry_key)
            && matches!(entry.state, EntryState::Running)
        {
            self.entries.remove(&entry_key);
        }
    }

    /// Notes the end of a run, with its answer if it is whole and small enough to keep.
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

    /// Everything that is remembered, if every run has ended and it is small enough to send.
    #[must_use]
    pub fn hand_off(&self) -> Option<Vec<LedgerRecord>> {
        if self.entries.len() > HAND_OFF_KEY_LIMIT || self.answer_bytes > HAND_OFF_BYTE_LIMIT {
            return None;
        }
        let remember = |((customer, key), entry): (&EntryKey, &LedgerEntry)| {
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
        self.entries.iter().map(remember).collect()
    }

    /// Takes over the memory of this process's predecessor, which runs nothing any more.
    ///
    /// `complete_since` is the time after which `keys` holds every key that it ran.
    pub fn adopt(&mut self, complete_since: WallTime, keys: Vec<LedgerRecord>, now: WallTime) {
        for remembered in keys {
            let entry_key = (remembered.customer, remembered.key);
            if self.entries.contains_key(&entry_key) {
                continue;
            }
            let state = match remembered.answer {
                Some(answer) => {
                    self.answer_bytes += answer.body.len();
                    EntryState::Answered(answer)
                }
                None => EntryState::Lost,
            };
            let body = remembered.body;
            self.entries
                .insert(entry_key.clone(), LedgerEntry { body, state });
            self.order.push_back((now, entry_key));
        }
        self.settings.start = complete_since;
    }

    /// Time before which an earlier process may have run keys.
    #[must_use]
    pub const fn complete_since(&self) -> WallTime {
        self.settings.start
    }

    /// Changes for how long keys are remembered and the difference of clocks allowed for.
    ///
    /// Keys that may have been forgotten under the earlier limits stay refused.
    pub fn set_limits(&mut self, window: Duration, skew: Duration, now: WallTime) {
        if (window, skew) == (self.settings.window, self.settings.skew) {
            return;
        }
        let forgotten = now
            .plus_millis(millis(self.settings.skew))
            .minus_millis(millis(self.settings.window));
        self.settings.start = self.settings.start.max(forgotten);
        self.settings.window = window;
        self.settings.skew = skew;
    }

    /// Number of remembered keys.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no key is remembered.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of remembered answers.
    #[must_use]
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Tells whether nobody can have run a key, or forgotten its run, if it is not remembered here.
    #[must_use]
    pub fn is_fresh(&self, key: &IdempotencyKey, fresh_after: WallTime, now: WallTime) -> bool {
        key.minted() > self.fresh_from(fresh_after) && !self.is_past_window(key, now)
    }

    /// The minting time, by a caller's clock, that a new key must be past to be fresh.
    #[must_use]
    pub fn fresh_from(&self, fresh_after: WallTime) -> WallTime {
        let fresh_after = fresh_after.max(self.settings.start);
        fresh_after.plus_millis(millis(self.settings.skew))
    }

    fn is_past_window(&self, key: &IdempotencyKey, now: WallTime) -> bool {
        let end = key.minted().plus_millis(millis(self.settings.window));
        end < now.plus_millis(millis(self.settings.skew))
    }

    /// Forgets keys that are past the window by this process's clock and by their own time.
    fn expire(&mut self, now: WallTime) {
        let window = millis(self.settings.window);
        while let Some((noted, _)) = self.order.front() {
            if noted.plus_millis(window) >= now {
                return;
            }
            let Some((_, key)) = self.order.pop_front() else {
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
            self.order.push_back((now, key));
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
    /// Sets for how long keys are remembered.
    #[must_use]
    pub const fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets the difference of clocks that is allowed for.
    #[must_use]
    pub const fn skew(mut self, skew: Duration) -> Self {
        self.skew = skew;
        self
    }

    /// Sets how many keys are remembered at most.
    #[must_use]
    pub const fn entry_limit(mut self, limit: usize) -> Self {
        self.entry_limit = limit;
        self
    }

    /// Sets how many bytes of answers are remembered at most.
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
            order: VecDeque::new(),
            answer_bytes: 0,
            settings: self,
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
