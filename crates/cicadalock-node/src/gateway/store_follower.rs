use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::id::{EndpointId, Revision};
use cicadalock_core::serving::{EndpointList, RouteFinding, ServingConfig};
use cicadalock_core::time::ClockTime;

use super::platform_store::{
    PlatformStore, StoreChange, StoreChanges, StoreDocument, StoreError, StorePage,
};

/// Time after the store's return in which entries that lapsed meanwhile come back.
///
/// The platform promises about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// What a read of the store changed.
#[derive(Debug, Default)]
pub struct FollowerNews {
    /// A configuration that is newer than the one before.
    pub config: Option<Arc<ServingConfig>>,
    /// The endpoints, if they changed.
    pub endpoints: Option<EndpointList>,
    /// Everything that was written before this is known.
    pub proven: Option<ClockTime>,
    /// Revision of the store.
    pub revision: Revision,
    /// Entries and configurations that cannot be used.
    pub problems: Vec<String>,
    /// Why the read failed, and whether the one before was good.
    pub failure: Option<(StoreError, bool)>,
    /// The store answers again after failures for so long.
    pub regained: Option<Duration>,
}

/// Keeps a copy of the configuration and the endpoints that a platform's store holds.
///
/// A store that was away loses the entries of endpoints that could not renew them. Removals that
/// are seen right after such an outage therefore count only when the entry is still missing once
/// the endpoints had time to come back.
#[derive(Debug)]
pub struct StoreFollower<S> {
    store: S,
    wait: Duration,
    revision: Option<Revision>,
    config: Option<Arc<ServingConfig>>,
    endpoints: EndpointList,
    /// Removals that do not count yet, with the time from which they do.
    doubted: SortedMap<EndpointId, ClockTime>,
    /// The first failure since the last good read.
    failing_since: Option<ClockTime>,
    doubt_until: ClockTime,
    is_changed: bool,
}

impl<S: PlatformStore> StoreFollower<S> {
    /// Creates a follower whose reads wait up to `wait` for changes.
    #[must_use]
    pub fn new(store: S, wait: Duration) -> Self {
        Self {
            store,
            wait,
            revision: None,
            config: None,
            endpoints: SortedMap::new(),
            doubted: SortedMap::new(),
            failing_since: None,
            doubt_until: ClockTime::default(),
            is_changed: false,
        }
    }

    /// Reads once and tells what is new; `clock` counts suspension.
    pub fn step(&mut self, clock: impl Fn() -> ClockTime) -> FollowerNews {
        let began = clock();
        let mut news = FollowerNews::default();
        let read = match self.revision {
            None => self.read_all(clock(), &mut news).map(|()| began),
            Some(after) => {
                // After a failure the age of what is known counts more than a call saved.
                let is_failing = self.failing_since.is_some();
                let wait = if is_failing {
                    Duration::ZERO
                } else {
                    self.wait
                };
                self.read_changes(after, wait, began, &clock, &mut news)
            }
        };
        match read {
            Ok(proven) => {
                news.proven = Some(proven);
                self.note_success(clock(), &mut news);
            }
            Err(error) => self.note_failure(error, began, &mut news),
        }
        self.expire_doubts(clock());
        news.revision = self.revision.unwrap_or_default();
        if std::mem::take(&mut self.is_changed) {
            news.endpoints = Some(self.endpoints.clone());
        }
        news
    }

    /// Reads every page; entries that are missing were removed.
    fn read_all(&mut self, now: ClockTime, news: &mut FollowerNews) -> Result<(), StoreError> {
        let mut after: Option<String> = None;
        let mut first = None;
        let mut listed: Vec<EndpointId> = Vec::new();
        loop {
            let page: StorePage = self.store.page(after.as_deref())?;
            // Pages are no snapshot: what changed since the first one is told as a change later.
            first = first.or(Some(page.revision));
            for document in page.documents {
                if let StoreDocument::Endpoint(id, Ok(_)) = &document {
                    listed.push(id.clone());
                }
                self.take_document(document, news);
            }
            match page.next {
                Some(next) => after = Some(next),
                None => break,
            }
        }
        listed.sort_unstable();
        let missing: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| listed.binary_search(id).is_err())
            .cloned()
            .collect();
        for id in missing {
            self.remove(id, now);
        }
        self.revision = first;
        Ok(())
    }

    /// Reads what changed and returns up to when everything is known.
    fn read_changes(
        &mut self,
        after: Revision,
        wait: Duration,
        began: ClockTime,
        clock: &impl Fn() -> ClockTime,
        news: &mut FollowerNews,
    ) -> Result<ClockTime, StoreError> {
        let StoreChanges { changes, revision } = self.store.changes(after, wait)?;
        let is_quiet = changes.is_empty();
        for change in changes {
            match change {
                StoreChange::Written(document) => self.take_document(document, news),
                StoreChange::EndpointRemoved(id) => self.remove(id, clock()),
                StoreChange::OtherRemoved => {}
            }
        }
        self.revision = Some(self.revision.map_or(revision, |known| known.max(revision)));
        // An answer without changes was given when the wait was over, not when it was asked for.
        let waited = clock().since(began).min(wait);
        Ok(if is_quiet { began + waited } else { began })
    }

    fn take_document(&mut self, document: StoreDocument, news: &mut FollowerNews) {
        match document {
            StoreDocument::Config(config) => match *config {
                Ok(config) => self.take_config(config, news),
                Err(findings) => {
                    let findings = findings.iter().map(RouteFinding::to_string);
                    news.problems.extend(findings);
                }
            },
            StoreDocument::Endpoint(id, Ok(listed)) => {
                self.doubted.remove(&id);
                if self.endpoints.get(&id) != Some(&listed) {
                    self.endpoints.insert(id, listed);
                    self.is_changed = true;
                }
            }
            StoreDocument::Endpoint(id, Err(problem)) => {
                news.problems.push(format!("endpoint `{id}`: {problem}"));
                self.is_changed |= self.endpoints.remove(&id).is_some();
            }
            StoreDocument::Other => {}
        }
    }

    fn take_config(&mut self, config: ServingConfig, news: &mut FollowerNews) {
        let is_newer = self
            .config
            .as_ref()
            .is_none_or(|known| config.version() > known.version());
        if is_newer {
            let config = Arc::new(config);
            self.config = Some(Arc::clone(&config));
            news.config = Some(config);
            // The configuration tells what endpoints can hold.
            self.is_changed = true;
        }
    }

    fn remove(&mut self, id: EndpointId, now: ClockTime) {
        if now >= self.doubt_until && self.failing_since.is_none() {
            self.is_changed |= self.endpoints.remove(&id).is_some();
        } else if self.endpoints.contains_key(&id) {
            // Set anew when the store returns.
            self.doubted.insert(id, self.doubt_until);
        }
    }

    fn expire_doubts(&mut self, now: ClockTime) {
        if self.failing_since.is_some() {
            return;
        }
        let due: Vec<EndpointId> = self
            .doubted
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.doubted.remove(&id);
            self.is_changed |= self.endpoints.remove(&id).is_some();
        }
    }

    fn note_success(&mut self, now: ClockTime, news: &mut FollowerNews) {
        if let Some(since) = self.failing_since.take() {
            self.doubt_until = now + RETURN_TIME;
            for until in self.doubted.values_mut() {
                *until = self.doubt_until;
            }
            news.regained = Some(now.since(since));
        }
    }

    fn note_failure(&mut self, error: StoreError, began: ClockTime, news: &mut FollowerNews) {
        if matches!(error, StoreError::HistoryGone) {
            // The store answers; only the changes must be found by reading everything.
            self.revision = None;
            news.problems.push(error.to_string());
            return;
        }
        let is_first = self.failing_since.is_none();
        self.failing_since.get_or_insert(began);
        news.failure = Some((error, is_first));
    }
}
