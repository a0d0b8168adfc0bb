use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::id::{EndpointId, Revision, StoreEra};
use cicadalock_core::serving::{
    EndpointList, ListedEndpoint, ListingState, RouteFinding, ServingConfig,
};
use cicadalock_core::time::ClockTime;

use super::config_record::{ConfigCourse, ConfigRecord};
use super::endpoint_change::{ChangeKind, EndpointChange};
use super::platform_store::{
    EraError, PlatformStore, StoreChange, StoreChanges, StoreDocument, StoreError, StorePage,
};
use super::store_position::{StoreCourse, StorePosition, StoreRestore};

/// Time after an outage of the store, or its return from an older copy, in which endpoints may renew
/// entries that expired or were lost.
///
/// The platform guarantees that endpoints renew them within about two seconds.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// Time in which the operators write again what the store's return from an older copy has lost.
const REWRITE_TIME: Duration = REREGISTRATION_GRACE;

/// Age of the copy, as a fraction of [`FollowerTimes::token_age`], up to which a revocation that it may lack is due
/// only after the operators had time to write it again.
const PROMPT_READ_FRACTION: f64 = 0.8;

/// Part of a bound that is left for passing a removal on and for requests on their way.
const REMOVAL_MARGIN: Duration = Duration::from_millis(200);

/// Time for which the last entry of an endpoint that left is remembered.
///
/// A write that the store has received may take effect several seconds late.
const DEPARTED_MEMORY: Duration = Duration::from_secs(60);

/// Time beyond its wait after which a read counts as interrupted by a suspension of the process.
const SLOW_READ_TIME: Duration = Duration::from_millis(700);

/// Minimum time between two listings whose only reason is a revision that went back.
///
/// A store whose answers lag would otherwise be listed with every answer.
const REVISION_BACK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of times that the pages are read from the first one on before the read counts as failed.
const LISTING_TRIES: usize = 3;

/// Time limits of a [`StoreFollower`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerTimes {
    /// Maximum time that a read waits for changes.
    pub wait: Duration,
    /// Time after its removal or draining in which an endpoint may still receive requests.
    pub drain: Duration,
    /// Age of the copy beyond which it authenticates nobody.
    pub token_age: Duration,
    /// Time of silence after which the store removes the entry of an endpoint.
    pub lease: Duration,
}

/// Result of one read of the store.
#[derive(Debug, Default)]
pub struct StoreUpdate {
    /// The new configuration, if its version is newer than the last one, or if it was written again with
    /// other contents after the store came back from an older copy.
    pub config: Option<Arc<ServingConfig>>,
    /// That the store fell behind the version in force, or caught up.
    pub config_course: Option<ConfigCourse>,
    /// All endpoints, if any of them or the configuration changed.
    pub endpoints: Option<EndpointList>,
    /// What changed in the entries of endpoints, in order; empty for the first complete read.
    pub changes: Vec<EndpointChange>,
    /// Time up to which all changes are known; `None` if the read failed or everything must be read
    /// again.
    ///
    /// An older copy of the store confirms nothing to a router that knew less for too long: see
    /// [`StoreFollower`].
    pub confirmed_at: Option<ClockTime>,
    /// Revision up to which the store was read; zero until all pages have been read.
    pub revision: Revision,
    /// Errors in unusable entries, configurations and eras, and [`StoreError::HistoryGone`].
    pub problems: Vec<String>,
    /// Whether all pages were read.
    pub is_listing: bool,
    /// That the store came back from an older copy, with the read of all pages that followed.
    pub restored: Option<StoreRestore>,
    /// Why the read failed, and whether it is the first failure since a successful read.
    ///
    /// [`StoreError::HistoryGone`] does not count as a failure; it is listed in `problems`.
    pub failure: Option<(StoreError, bool)>,
    /// Length of the outage that this read ended.
    pub ended_outage: Option<Duration>,
}

/// Replicates the configuration and the endpoints from the platform's store.
///
/// During an outage of the store, entries of endpoints expire because they cannot be renewed. An
/// endpoint whose removal is seen right after an outage is therefore listed as missing until the
/// endpoints had time to renew their entries, but not beyond the drain time after it may have left.
///
/// The store may also come back from an older copy and give out revisions again. An answer of another
/// era, or with a lower revision than the known one, therefore makes it read everything again. Endpoints
/// that are not listed then are missing as after an outage, and entries that are older than what was seen
/// do not count, unless the store keeps them for longer than one that nobody renews.
///
/// A token that was revoked in the lost seconds is valid in the copy until the operators have written
/// again. A router that had read everything until shortly before knows of the revocation, or learns of it
/// within the bound. One that had not for longer than [`FollowerTimes::token_age`] may have missed it. So
/// may one that had not for nearly as long, if the copy is not ahead of what it had read: the revocation would
/// be due before the operators have written it again. In both cases the copy does not count as a confirmation
/// until a configuration is written or a time has passed.
#[derive(Debug)]
pub struct StoreFollower<S> {
    store: S,
    times: FollowerTimes,
    /// How far the store was read last; `None` until all pages have been read once.
    position: Option<StorePosition>,
    /// Whether the next read has to read all pages.
    must_list: bool,
    /// When a revision that went back was the reason for the last listing.
    revision_back_at: Option<ClockTime>,
    /// Whether a revision went back again too soon after that listing for another one.
    is_listing_postponed: bool,
    /// The last problem with the store's era that was reported.
    era_problem: Option<EraError>,
    config: ConfigRecord,
    endpoints: EndpointList,
    /// Last entries of endpoints that are no longer listed, and when they were dropped.
    departed: SortedMap<EndpointId, (ListedEndpoint, ClockTime)>,
    /// Entries that look older than what was seen before, and since when the store shows them.
    doubted: SortedMap<EndpointId, (ListedEndpoint, ClockTime)>,
    /// Start of the last read that was successful; all earlier changes are known.
    confirmed_at: ClockTime,
    /// Time of the last confirmation that was passed on.
    tokens_confirmed_at: ClockTime,
    /// Until when reads confirm nothing, as the store may lack a revocation.
    tokens_held_until: Option<ClockTime>,
    /// Whether a configuration was written that is not older than the one in force.
    has_config_write: bool,
    /// Start of the first failed read since the last successful one.
    failing_since: Option<ClockTime>,
    grace_until: ClockTime,
    /// Whether the last read took longer than the store may wait.
    was_slow: bool,
    has_endpoint_changes: bool,
}

/// All documents of the store, from pages of one era.
struct StoreListing {
    documents: Vec<StoreDocument>,
    /// How far the store was read with the first page.
    position: StorePosition,
}

impl<S: PlatformStore> StoreFollower<S> {
    /// Creates a follower that has read nothing yet.
    #[must_use]
    pub fn new(store: S, times: FollowerTimes) -> Self {
        Self {
            store,
            times,
            position: None,
            must_list: true,
            revision_back_at: None,
            is_listing_postponed: false,
            era_problem: None,
            config: ConfigRecord::default(),
            endpoints: SortedMap::new(),
            departed: SortedMap::new(),
            doubted: SortedMap::new(),
            confirmed_at: ClockTime::default(),
            tokens_confirmed_at: ClockTime::default(),
            tokens_held_until: None,
            has_config_write: false,
            failing_since: None,
            grace_until: ClockTime::default(),
            was_slow: false,
            has_endpoint_changes: false,
        }
    }

    /// Reads the store once and returns what changed.
    ///
    /// `clock` must keep running while the machine is suspended.
    pub fn step(&mut self, clock: impl Fn() -> ClockTime) -> StoreUpdate {
        let started_at = clock();
        let mut update = StoreUpdate::default();
        if self.is_listing_postponed && self.is_listing_due(started_at) {
            self.revision_back_at = Some(started_at);
            self.must_list = true;
        }
        let read = match self.position.filter(|_| !self.must_list) {
            None => {
                let listed = self.read_all(clock(), &mut update);
                listed.map(|()| Some(started_at))
            }
            Some(position) => {
                // After a failure or a suspension, refreshing stale data at once matters more than
                // saving a call.
                let is_stale = self.failing_since.is_some() || self.was_slow;
                let wait = if is_stale {
                    Duration::ZERO
                } else {
                    self.times.wait
                };
                self.read_changes(position, wait, started_at, &clock, &mut update)
            }
        };
        match read {
            Ok(Some(confirmed_at)) => {
                update.confirmed_at = Some(self.confirm_tokens(confirmed_at, clock(), &update));
                self.record_success(confirmed_at, clock(), &mut update);
            }
            Ok(None) => self.must_list = true,
            Err(error) => self.record_failure(error, started_at, clock(), &mut update),
        }
        self.was_slow = clock().since(started_at) > self.times.wait + SLOW_READ_TIME;
        if self.failing_since.is_none() {
            self.drop_expired(clock(), &mut update);
        }
        let position = self.position.filter(|_| !self.must_list);
        update.revision = position.unwrap_or_default().revision;
        update.config_course = self.config.take_course();
        if std::mem::take(&mut self.has_endpoint_changes) {
            update.endpoints = Some(self.endpoints.clone());
        }
        update
    }

    /// Returns the time up to which all revocations are known.
    fn confirm_tokens(
        &mut self,
        confirmed_at: ClockTime,
        now: ClockTime,
        update: &StoreUpdate,
    ) -> ClockTime {
        let was_written = std::mem::take(&mut self.has_config_write);
        let age = now.since(self.tokens_confirmed_at);
        let prompt_age = self.times.token_age.mul_f64(PROMPT_READ_FRACTION);
        // A copy that is not ahead of what is known lacks all that was written since the last read.
        let may_lack_revocation = update.restored.is_some_and(|restored| {
            age > self.times.token_age || (age > prompt_age && !restored.is_ahead())
        });
        if may_lack_revocation {
            self.tokens_held_until = Some(now + REWRITE_TIME);
        }
        self.tokens_held_until = self
            .tokens_held_until
            .filter(|until| now < *until && !was_written);
        if self.tokens_held_until.is_none() {
            self.tokens_confirmed_at = confirmed_at;
        }
        self.tokens_confirmed_at
    }

    /// Reads all pages and removes the endpoints that are on none of them.
    fn read_all(&mut self, now: ClockTime, update: &mut StoreUpdate) -> Result<(), StoreError> {
        let listing = self.read_listing(update)?;
        self.set_listed(listing.position, update);
        if update.restored.is_some() {
            self.config.begin_era();
            // Endpoints write entries again that the copy lacks.
            self.grace_until = now + REREGISTRATION_GRACE;
        }
        let is_first = self.endpoints.is_empty();
        let mut listed_ids: Vec<EndpointId> = Vec::new();
        for document in listing.documents {
            if let StoreDocument::Endpoint(id, Ok(_)) = &document {
                listed_ids.push(id.clone());
            }
            self.apply_document(document, now, update);
        }
        listed_ids.sort_unstable();
        self.doubted
            .retain(|id, _| listed_ids.binary_search(id).is_ok());
        let missing: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| listed_ids.binary_search(id).is_err())
            .cloned()
            .collect();
        for id in missing {
            self.remove_endpoint(id, now, update);
        }
        if is_first {
            update.changes.clear();
        }
        Ok(())
    }

    /// Reads all pages, again from the first one if the store came back from an older copy meanwhile.
    fn read_listing(&mut self, update: &mut StoreUpdate) -> Result<StoreListing, StoreError> {
        for _ in 0..LISTING_TRIES {
            if let Some(listing) = self.read_pages(update)? {
                return Ok(listing);
            }
        }
        Err(StoreError::ListingChanged)
    }

    /// Reads all pages; returns `None` if the store came back from an older copy meanwhile.
    fn read_pages(&mut self, update: &mut StoreUpdate) -> Result<Option<StoreListing>, StoreError> {
        let mut page: StorePage = self.store.page(None)?;
        // The pages do not form a consistent snapshot. The next read of changes starts at the
        // revision of the first page, so it returns what changed while the others were read.
        let mut listing = StoreListing {
            position: StorePosition {
                era: self.known_era(page.era, update),
                revision: page.revision,
            },
            documents: page.documents,
        };
        while let Some(after) = page.next {
            page = self.store.page(Some(&after))?;
            let era = self.known_era(page.era, update);
            listing.position.era = listing.position.era.or(era);
            if listing.position.course(era, page.revision) != StoreCourse::Forward {
                return Ok(None);
            }
            listing.documents.append(&mut page.documents);
        }
        Ok(Some(listing))
    }

    /// Records that all pages were read, and reports whether the store came back since the last read.
    fn set_listed(&mut self, listed: StorePosition, update: &mut StoreUpdate) {
        let former = self.position;
        let present = StorePosition {
            era: listed.era.or(former.and_then(|former| former.era)),
            ..listed
        };
        let is_forward = |known: &StorePosition| {
            known.course(listed.era, listed.revision) == StoreCourse::Forward
        };
        let former = former.filter(|known| !is_forward(known));
        update.restored = former.map(|former| StoreRestore { former, present });
        update.is_listing = true;
        self.position = Some(present);
        self.must_list = false;
        self.is_listing_postponed = false;
    }

    /// Returns the era, and reports once why it is unknown.
    fn known_era(
        &mut self,
        era: Result<StoreEra, EraError>,
        update: &mut StoreUpdate,
    ) -> Option<StoreEra> {
        let error = match era {
            Ok(era) => return Some(era),
            Err(error) => error,
        };
        let kind = std::mem::discriminant(&error);
        let reported = self.era_problem.as_ref().map(std::mem::discriminant);
        if reported != Some(kind) {
            update.problems.push(error.to_string());
            self.era_problem = Some(error);
        }
        None
    }

    /// Returns whether everything must be read again after an answer of the store.
    fn is_restored(
        &mut self,
        known: StorePosition,
        era: Option<StoreEra>,
        revision: Revision,
        now: ClockTime,
    ) -> bool {
        match known.course(era, revision) {
            StoreCourse::Forward => false,
            StoreCourse::OtherEra => true,
            StoreCourse::RevisionBack => {
                let is_due = self.is_listing_due(now);
                // The answers that follow may have passed the known revision by then.
                self.is_listing_postponed = !is_due;
                if is_due {
                    self.revision_back_at = Some(now);
                }
                is_due
            }
        }
    }

    /// Returns whether a revision that went back may be the reason for a listing.
    fn is_listing_due(&self, now: ClockTime) -> bool {
        let last = self.revision_back_at;
        last.is_none_or(|last| now.since(last) >= REVISION_BACK_INTERVAL)
    }

    /// Reads changes and returns the time up to which all changes are known, or `None` if everything
    /// must be read again.
    fn read_changes(
        &mut self,
        known: StorePosition,
        wait: Duration,
        started_at: ClockTime,
        clock: &impl Fn() -> ClockTime,
        update: &mut StoreUpdate,
    ) -> Result<Option<ClockTime>, StoreError> {
        let StoreChanges {
            changes,
            revision,
            era,
        } = self.store.changes(known.revision, wait)?;
        let era = self.known_era(era, update);
        if self.is_restored(known, era, revision, clock()) {
            return Ok(None);
        }
        let is_unchanged = changes.is_empty();
        for change in changes {
            match change {
                StoreChange::Written(document) => self.apply_document(document, clock(), update),
                StoreChange::EndpointRemoved(id) => self.remove_endpoint(id, clock(), update),
                StoreChange::OtherRemoved => {}
            }
        }
        self.position = Some(StorePosition {
            revision: known.revision.max(revision),
            ..known
        });
        // If nothing changed, the store replied at the end of the wait, so the data was current
        // then. Time beyond `wait` is transit and does not count.
        let waited = clock().since(started_at).min(wait);
        Ok(Some(if is_unchanged {
            started_at + waited
        } else {
            started_at
        }))
    }

    fn apply_document(
        &mut self,
        document: StoreDocument,
        now: ClockTime,
        update: &mut StoreUpdate,
    ) {
        match document {
            StoreDocument::Config(config) => match *config {
                Ok(config) => self.apply_config(config, update),
                Err(findings) => {
                    let findings = findings.iter().map(RouteFinding::to_string);
                    update.problems.extend(findings);
                }
            },
            StoreDocument::Endpoint(id, Ok(endpoint)) => {
                // A copy may hold the last entry of an endpoint that has left since.
                let is_copy = update.restored.is_some();
                if self.is_outdated(&id, &endpoint, is_copy) || self.is_doubted(&id, &endpoint) {
                    self.doubt_endpoint(id, endpoint, now, update);
                } else {
                    self.set_endpoint(id, endpoint, update);
                }
            }
            StoreDocument::Endpoint(id, Err(problem)) => {
                self.doubted.remove(&id);
                update.problems.push(format!("endpoint `{id}`: {problem}"));
                self.remember_departed(&id, now);
                self.drop_endpoint(id, ChangeKind::Unreadable, update);
            }
            StoreDocument::Other => {}
        }
    }

    fn set_endpoint(&mut self, id: EndpointId, entry: ListedEndpoint, update: &mut StoreUpdate) {
        self.doubted.remove(&id);
        if self.endpoints.get(&id) != Some(&entry) {
            update.changes.push(EndpointChange::of(id.clone(), &entry));
            self.endpoints.insert(id, entry);
            self.has_endpoint_changes = true;
        }
    }

    /// Ignores an entry that looks older than what was seen, for as long as the store may keep one
    /// that nobody renews.
    fn doubt_endpoint(
        &mut self,
        id: EndpointId,
        entry: ListedEndpoint,
        now: ClockTime,
        update: &mut StoreUpdate,
    ) {
        let change = EndpointChange::new(id.clone(), ChangeKind::Outdated, &entry);
        update.changes.push(change);
        let since = self.doubted.get(&id).map_or(now, |(_, since)| *since);
        self.doubted.insert(id, (entry, since));
    }

    /// Returns whether an entry is ignored already: the same copy may be listed more than once.
    fn is_doubted(&self, id: &EndpointId, entry: &ListedEndpoint) -> bool {
        let doubted = self.doubted.get(id);
        doubted.is_some_and(|(doubted, _)| doubted == entry)
    }

    /// Returns whether an entry is older than the last one of the endpoint, by an earlier process or an
    /// earlier heartbeat; in a copy, also whether it is the last entry of an endpoint that left.
    fn is_outdated(&self, id: &EndpointId, entry: &ListedEndpoint, is_copy: bool) -> bool {
        let listed = self.endpoints.get(id);
        let departed = self.departed.get(id).map(|(last, _)| last);
        let Some(last) = listed.or(departed) else {
            return false;
        };
        let age = |endpoint: &ListedEndpoint| (endpoint.started, endpoint.heartbeat);
        let has_left = is_copy && listed.is_none();
        let is_older = age(entry) < age(last) || (has_left && age(entry) == age(last));
        // The start of a process is read from a clock that may be set back. Whoever says that it leaves
        // is believed, except in a copy.
        let is_leaving = entry.state == ListingState::Draining && entry.started != last.started;
        let is_comparable = last.started != 0 && entry.started != 0 && (is_copy || !is_leaving);
        is_older && is_comparable
    }

    fn apply_config(&mut self, config: ServingConfig, update: &mut StoreUpdate) {
        let taken = self.config.offer(config);
        self.has_config_write |= !update.is_listing && !self.config.shows_older();
        if let Some(config) = taken {
            update.config = Some(config);
            // Endpoints' capacity depends on the configuration, so the list is reported again.
            self.has_endpoint_changes = true;
        }
    }

    fn remove_endpoint(&mut self, id: EndpointId, now: ClockTime, update: &mut StoreUpdate) {
        let is_outage = self.failing_since.is_some();
        self.doubted.remove(&id);
        // The end of an outage sets the time.
        let until = (!is_outage).then_some(if self.is_outage_long(now) {
            self.grace_until
        } else {
            self.grace_until.min(self.removal_due())
        });
        let Some(listed) = self.endpoints.get_mut(&id) else {
            return;
        };
        if listed.is_missing() {
            return;
        }
        let may_be_renewed = listed.state != ListingState::Draining;
        if may_be_renewed && (is_outage || now < self.grace_until) {
            listed.state = ListingState::Missing { until };
            self.has_endpoint_changes = true;
            update.changes.push(EndpointChange::of(id, listed));
        } else {
            self.forget_endpoint(id, now, update);
        }
    }

    /// Drops an endpoint that left, and remembers its last entry.
    fn forget_endpoint(&mut self, id: EndpointId, now: ClockTime, update: &mut StoreUpdate) {
        self.remember_departed(&id, now);
        self.drop_endpoint(id, ChangeKind::Removed, update);
    }

    fn remember_departed(&mut self, id: &EndpointId, now: ClockTime) {
        if let Some(listed) = self.endpoints.get(id) {
            self.departed.insert(id.clone(), (listed.clone(), now));
        }
    }

    fn drop_endpoint(&mut self, id: EndpointId, kind: ChangeKind, update: &mut StoreUpdate) {
        if let Some(listed) = self.endpoints.remove(&id) {
            self.has_endpoint_changes = true;
            update.changes.push(EndpointChange::new(id, kind, &listed));
        }
    }

    /// Drops the missing endpoints whose time is over, and takes older entries that the store keeps,
    /// except of processes that said that they leave.
    fn drop_expired(&mut self, now: ClockTime, update: &mut StoreUpdate) {
        let expired = self
            .endpoints
            .iter()
            .filter(|(_, listed)| listed.state.is_expired(now));
        let expired: Vec<EndpointId> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.forget_endpoint(id, now, update);
        }
        let is_true =
            |since: ClockTime| now.since(since) >= self.times.lease + REREGISTRATION_GRACE;
        let renewed = self
            .doubted
            .iter()
            .filter(|(_, (_, since))| is_true(*since));
        let renewed: Vec<(EndpointId, ListedEndpoint)> = renewed
            .map(|(id, (entry, _))| (id.clone(), entry.clone()))
            .collect();
        for (id, entry) in renewed {
            if self.has_drained(&id, entry.started) {
                self.doubted.remove(&id);
            } else {
                self.set_endpoint(id, entry, update);
            }
        }
        self.departed
            .retain(|_, (_, dropped_at)| now.since(*dropped_at) < DEPARTED_MEMORY);
    }

    /// Returns whether the process of an endpoint that started at `started` said that it leaves.
    fn has_drained(&self, id: &EndpointId, started: u64) -> bool {
        let departed = self.departed.get(id).map(|(last, _)| last);
        let last = self.endpoints.get(id).or(departed);
        last.is_some_and(|last| last.state == ListingState::Draining && last.started == started)
    }

    /// Replaces the time from which missing endpoints count as gone, where `is_replaced` is true of it.
    fn set_expiry(
        &mut self,
        expiry: Option<ClockTime>,
        is_replaced: impl Fn(Option<ClockTime>) -> bool,
    ) {
        for listed in self.endpoints.values_mut() {
            if let ListingState::Missing { until } = &mut listed.state
                && is_replaced(*until)
            {
                *until = expiry;
                self.has_endpoint_changes = true;
            }
        }
    }

    fn record_success(
        &mut self,
        confirmed_at: ClockTime,
        now: ClockTime,
        update: &mut StoreUpdate,
    ) {
        if let Some(since) = self.failing_since.take() {
            self.grace_until = now + REREGISTRATION_GRACE;
            if self.is_outage_long(now) {
                self.set_expiry(Some(self.grace_until), |_| true);
            } else {
                // The drain bound holds as if there had been no interruption.
                let due = self.grace_until.min(self.removal_due());
                self.set_expiry(Some(due), |until| until.is_none());
            }
            let outage = now.since(since);
            // Entries could neither expire nor be renewed meanwhile.
            for (_, shown_since) in self.doubted.values_mut() {
                *shown_since = *shown_since + outage;
            }
            update.ended_outage = Some(outage);
        }
        self.confirmed_at = confirmed_at;
    }

    /// Returns whether the host could not keep the drain bound, as it read nothing for that long.
    fn is_outage_long(&self, now: ClockTime) -> bool {
        now.since(self.confirmed_at) >= self.times.drain
    }

    /// Returns when a removal that is read now must be in force.
    ///
    /// The endpoint may have left right after the last confirmation.
    fn removal_due(&self) -> ClockTime {
        self.confirmed_at + self.times.drain.saturating_sub(REMOVAL_MARGIN)
    }

    fn record_failure(
        &mut self,
        error: StoreError,
        started_at: ClockTime,
        now: ClockTime,
        update: &mut StoreUpdate,
    ) {
        if matches!(error, StoreError::HistoryGone) {
            // The store is available but no longer has the changes; the next read reads all pages.
            self.must_list = true;
            update.problems.push(error.to_string());
            return;
        }
        let is_first = self.failing_since.is_none();
        self.failing_since.get_or_insert(started_at);
        if self.is_outage_long(now) {
            // Missing entries cannot be renewed while the store is unavailable.
            self.set_expiry(None, |until| until.is_some());
        }
        update.failure = Some((error, is_first));
    }
}
