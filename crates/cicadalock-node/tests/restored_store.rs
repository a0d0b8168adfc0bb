//! Tests the copy of the store's data when the store comes back from an older copy of its own: revisions
//! are given out again, and what was written in the lost seconds is gone until it is written again.

mod support;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cicadalock_core::id::{Revision, StoreEra};
use cicadalock_core::serving::{ListedEndpoint, ListingState, ServingConfig};
use cicadalock_core::time::ClockTime;
use cicadalock_node::gateway::{
    ChangeKind, EraError, PlatformStore, StoreChange, StoreChanges, StoreDocument, StoreError,
    StoreFollower, StorePage, StoreUpdate,
};
use support::{TIMES, clock, config, endpoint, expiries, id, names, written, written_by};
use yare::parameterized;

/// A scripted answer of the store.
struct Answer {
    content: Content,
    revision: u64,
    era: Result<StoreEra, EraError>,
}

enum Content {
    Page(Vec<StoreDocument>, Option<&'static str>),
    Changes(Vec<StoreChange>),
    Fail(StoreError),
}

/// Returns scripted answers in order, then fails, and records the reads.
struct ScriptedStore {
    answers: Mutex<VecDeque<Answer>>,
    asked: Arc<Mutex<Vec<String>>>,
}

impl Answer {
    const fn new(content: Content, era: u64, revision: u64) -> Self {
        Self {
            content,
            revision,
            era: Ok(StoreEra::new(era)),
        }
    }

    const fn page(era: u64, revision: u64, documents: Vec<StoreDocument>) -> Self {
        Self::new(Content::Page(documents, None), era, revision)
    }

    const fn first_page(era: u64, revision: u64, documents: Vec<StoreDocument>) -> Self {
        Self::new(Content::Page(documents, Some("k")), era, revision)
    }

    const fn changes(era: u64, revision: u64, changes: Vec<StoreChange>) -> Self {
        Self::new(Content::Changes(changes), era, revision)
    }

    const fn gone() -> Self {
        Self::new(Content::Fail(StoreError::HistoryGone), 0, 0)
    }

    const fn refused() -> Self {
        Self::new(Content::Fail(StoreError::Refused { status: 503 }), 0, 0)
    }

    fn without_era(mut self) -> Self {
        self.era = Err(EraError::Missing);
        self
    }
}

impl ScriptedStore {
    fn next(&self, question: String) -> Answer {
        let mut asked = self.asked.lock().expect("the lock is not poisoned");
        asked.push(question);
        let mut answers = self.answers.lock().expect("the lock is not poisoned");
        answers.pop_front().unwrap_or_else(Answer::refused)
    }
}

impl PlatformStore for ScriptedStore {
    fn page(&self, after: Option<&str>) -> Result<StorePage, StoreError> {
        let answer = self.next(format!("page after {}", after.unwrap_or("nothing")));
        match answer.content {
            Content::Page(documents, next) => Ok(StorePage {
                documents,
                next: next.map(str::to_owned),
                revision: Revision::new(answer.revision),
                era: answer.era,
            }),
            Content::Fail(error) => Err(error),
            Content::Changes(_) => panic!("a page was requested"),
        }
    }

    fn changes(&self, after: Revision, _wait: Duration) -> Result<StoreChanges, StoreError> {
        let answer = self.next(format!("changes after {after}"));
        match answer.content {
            Content::Changes(changes) => Ok(StoreChanges {
                changes,
                revision: Revision::new(answer.revision),
                era: answer.era,
            }),
            Content::Fail(error) => Err(error),
            Content::Page(..) => panic!("changes were requested"),
        }
    }
}

/// A follower of a scripted store, with a clock that the test sets.
struct Follow {
    follower: StoreFollower<ScriptedStore>,
    millis: std::rc::Rc<std::cell::Cell<u64>>,
    now: Box<dyn Fn() -> ClockTime>,
    asked: Arc<Mutex<Vec<String>>>,
}

impl Follow {
    fn new(answers: Vec<Answer>) -> Self {
        let asked: Arc<Mutex<Vec<String>>> = Arc::default();
        let store = ScriptedStore {
            answers: Mutex::new(answers.into()),
            asked: Arc::clone(&asked),
        };
        let (millis, now) = clock();
        Self {
            follower: StoreFollower::new(store, TIMES),
            millis,
            now: Box::new(now),
            asked,
        }
    }

    fn step(&mut self) -> StoreUpdate {
        self.follower.step(&self.now)
    }

    fn step_at(&mut self, millis: u64) -> StoreUpdate {
        self.millis.set(millis);
        self.step()
    }

    /// Steps until all answers are used, and returns all updates.
    fn run(&mut self, steps: usize) -> Vec<StoreUpdate> {
        (0..steps).map(|_| self.step()).collect()
    }

    fn asked(&self) -> Vec<String> {
        self.asked.lock().expect("the lock is not poisoned").clone()
    }
}

fn version(update: &StoreUpdate) -> Option<u64> {
    update.config.as_ref().map(|config| config.version())
}

/// Returns a valid configuration that differs from [`config`] of the same version.
fn other_config(version: u64, token: &str) -> StoreDocument {
    let customer = "school".parse().expect("a valid name");
    let config = ServingConfig::builder(version).customer(customer, vec![token.into()]);
    StoreDocument::Config(Box::new(config.build()))
}

fn at(name: &str, service: &str, address: &str, started: u64, heartbeat: u64) -> StoreDocument {
    let StoreDocument::Endpoint(id, Ok(listed)) = written_by(name, false, started, heartbeat)
    else {
        panic!("an endpoint");
    };
    let moved = ListedEndpoint {
        service: service.parse().expect("a valid name"),
        address: address.parse().expect("a valid address"),
        ..listed
    };
    StoreDocument::Endpoint(id, Ok(moved))
}

/// Returns the states of the endpoints after all updates, by name.
fn states(updates: &[StoreUpdate]) -> Vec<(String, ListingState)> {
    let last = updates
        .iter()
        .rev()
        .find_map(|update| update.endpoints.as_ref());
    let list = last.expect("the endpoints changed");
    let states = list
        .iter()
        .map(|(id, listed)| (id.to_string(), listed.state));
    states.collect()
}

fn state_of(updates: &[StoreUpdate], name: &str) -> Option<ListingState> {
    let mut states = states(updates).into_iter();
    states.find(|(id, _)| id == name).map(|(_, state)| state)
}

#[parameterized(
    the_next_era = { 5 },
    two_higher = { 6 },
    a_lower_era = { 3 },
)]
fn changes_of_another_era_make_the_follower_read_everything_again(era: u64) {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![config(2), endpoint("a", false)]),
        // Revisions 8 to 10 were given out again, and the configuration is among them.
        Answer::changes(era, 12, vec![written(endpoint("c", false))]),
        Answer::page(era, 12, vec![config(3), endpoint("c", false)]),
        Answer::changes(era, 12, Vec::new()),
    ]);
    let updates = follow.run(4);
    assert_eq!(
        follow.asked()[1..],
        ["changes after 10", "page after nothing", "changes after 12"]
    );
    assert!(updates.iter().any(|update| version(update) == Some(3)));
    assert!(updates.iter().all(|update| update.failure.is_none()));
}

#[test]
fn changes_of_the_same_era_are_followed_without_reading_everything() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![config(2)]),
        Answer::changes(4, 12, vec![written(config(3))]),
        Answer::changes(4, 12, Vec::new()),
    ]);
    follow.run(3);
    assert_eq!(
        follow.asked()[1..],
        ["changes after 10", "changes after 12"]
    );
}

#[test]
fn without_an_era_a_lower_revision_makes_the_follower_read_everything_again() {
    let mut follow = Follow::new(vec![
        Answer::page(0, 10, vec![config(2)]).without_era(),
        Answer::changes(0, 8, Vec::new()).without_era(),
        Answer::page(0, 9, vec![config(3)]).without_era(),
        Answer::changes(0, 9, Vec::new()).without_era(),
    ]);
    let updates = follow.run(4);
    assert_eq!(
        follow.asked()[1..],
        ["changes after 10", "page after nothing", "changes after 9"]
    );
    assert!(updates.iter().any(|update| version(update) == Some(3)));
}

/// Guards against a store that shows an older revision in each answer, which would be listed each time.
#[test]
fn an_era_whose_revision_goes_back_is_read_again_but_not_with_every_answer() {
    let mut answers = vec![Answer::page(4, 10, vec![config(2)])];
    for _ in 0..3 {
        answers.push(Answer::changes(4, 8, Vec::new()));
        answers.push(Answer::page(4, 10, vec![config(2)]));
    }
    let mut follow = Follow::new(answers);
    follow.run(3);
    assert_eq!(
        follow.asked(),
        [
            "page after nothing",
            "changes after 10",
            "page after nothing"
        ]
    );
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![config(2)]),
        Answer::changes(4, 8, Vec::new()),
        Answer::page(4, 10, vec![config(2)]),
        Answer::changes(4, 8, Vec::new()),
        Answer::changes(4, 8, vec![written(config(3))]),
    ]);
    let updates = follow.run(5);
    let last = updates.last().expect("five updates");
    assert_eq!(version(last), Some(3), "changes are still followed");
    assert!(last.failure.is_none());
}

#[test]
fn an_era_that_is_missing_for_a_while_is_not_another_one() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![config(2)]),
        Answer::changes(0, 11, Vec::new()).without_era(),
        Answer::changes(4, 12, Vec::new()),
        Answer::changes(0, 13, Vec::new()).without_era(),
        Answer::changes(5, 14, Vec::new()),
        Answer::page(5, 14, vec![config(3)]),
    ]);
    follow.run(6);
    assert_eq!(
        follow.asked()[3..],
        ["changes after 12", "changes after 13", "page after nothing"]
    );
}

#[parameterized(
    missing = { EraError::Missing },
    not_a_number = { EraError::NotNumber { text: "third".into() } },
)]
fn an_era_that_cannot_be_read_is_reported_once(error: EraError) {
    let answer = |revision| Answer {
        era: Err(error.clone()),
        ..Answer::changes(0, revision, Vec::new())
    };
    let first = Answer {
        era: Err(error.clone()),
        ..Answer::page(0, 10, vec![config(2)])
    };
    let mut follow = Follow::new(vec![first, answer(11), answer(12), answer(13)]);
    let updates = follow.run(4);
    let problems: Vec<&String> = updates.iter().flat_map(|update| &update.problems).collect();
    assert_eq!(problems, [&error.to_string()]);
    assert!(updates.iter().all(|update| update.failure.is_none()));
}

#[test]
fn pages_of_two_eras_are_not_put_together() {
    let mut follow = Follow::new(vec![
        Answer::first_page(4, 20, vec![config(2), endpoint("a", false)]),
        // `a` left and `b` joined under revisions that were given out again.
        Answer::page(5, 20, vec![endpoint("c", false)]),
        Answer::first_page(5, 20, vec![config(3), endpoint("b", false)]),
        Answer::page(5, 20, vec![endpoint("c", false)]),
        Answer::changes(5, 20, Vec::new()),
    ]);
    let updates = follow.run(4);
    assert_eq!(
        follow.asked(),
        [
            "page after nothing",
            "page after k",
            "page after nothing",
            "page after k",
            "changes after 20",
            "changes after 20",
            "changes after 20",
        ]
    );
    let lists: Vec<Vec<&str>> = updates
        .iter()
        .filter_map(|update| update.endpoints.as_ref().map(names))
        .collect();
    assert_eq!(lists, [["b", "c"]]);
}

#[test]
fn pages_whose_revision_goes_back_are_not_put_together_without_an_era() {
    let mut follow = Follow::new(vec![
        Answer::first_page(0, 20, vec![endpoint("a", false)]).without_era(),
        Answer::page(0, 15, vec![endpoint("c", false)]).without_era(),
        Answer::first_page(0, 15, vec![endpoint("b", false)]).without_era(),
        Answer::page(0, 16, vec![endpoint("c", false)]).without_era(),
    ]);
    let update = follow.step();
    assert_eq!(names(&update.endpoints.expect("a list")), ["b", "c"]);
    assert_eq!(update.revision, Revision::new(15));
}

/// Guards against a listing without end where each page is of another era.
#[test]
fn a_listing_whose_pages_never_agree_is_a_failed_read() {
    let pages = (1..40).map(|era| {
        let page = if era % 2 == 1 {
            Answer::first_page
        } else {
            Answer::page
        };
        page(era, 20, vec![endpoint("a", false)])
    });
    let mut follow = Follow::new(pages.collect());
    let update = follow.step();
    assert!(update.failure.is_some(), "{:?}", update.problems);
    assert!(update.confirmed_at.is_none());
    assert!(follow.asked().len() <= 10);
}

#[test]
fn changes_on_their_way_from_before_are_followed_by_reading_everything() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![config(2), endpoint("a", false)]),
        Answer::changes(4, 11, vec![written(endpoint("b", false))]),
        Answer::changes(5, 12, Vec::new()),
        Answer::page(5, 12, vec![config(2), endpoint("a", false)]),
        Answer::changes(5, 12, Vec::new()),
    ]);
    let updates = follow.run(5);
    let missing: Vec<ChangeKind> = updates[3]
        .changes
        .iter()
        .map(|change| change.kind)
        .collect();
    assert_eq!(missing, [ChangeKind::Missing]);
}

#[parameterized(
    seen_by_the_era = { Answer::changes(5, 9, Vec::new()) },
    seen_by_the_lost_history = { Answer::gone() },
)]
fn endpoints_that_lost_their_entry_get_time_to_write_it_again(sign: Answer) {
    let mut follow = Follow::new(vec![
        Answer::page(
            4,
            10,
            vec![config(2), endpoint("a", false), endpoint("b", false)],
        ),
        sign,
        Answer::page(5, 9, vec![config(2), endpoint("a", false)]),
        Answer::changes(5, 11, vec![written(endpoint("b", false))]),
    ]);
    follow.step_at(100_000);
    follow.step_at(100_400);
    let update = follow.step_at(100_400);
    let list = update.endpoints.expect("one is missing");
    // It may have left after 100.0 s, when the store last confirmed everything; the drain time is 2 s.
    let until = Some(ClockTime::from_millis(101_800));
    assert_eq!(expiries(&list), [("b", until)]);
    let update = follow.step_at(101_700);
    let list = update.endpoints.expect("it is back");
    assert!(expiries(&list).is_empty());
    assert_eq!(names(&list), ["a", "b"]);
}

#[test]
fn endpoints_that_lost_their_entry_while_nothing_was_read_get_the_whole_time() {
    let mut follow = Follow::new(vec![
        Answer::page(
            4,
            10,
            vec![config(2), endpoint("a", false), endpoint("b", false)],
        ),
        Answer::changes(5, 30, Vec::new()),
        Answer::page(5, 30, vec![config(2), endpoint("a", false)]),
        Answer::changes(5, 30, Vec::new()),
    ]);
    follow.step_at(100_000);
    follow.step_at(105_000);
    let list = follow.step_at(105_000).endpoints.expect("one is missing");
    let until = Some(ClockTime::from_millis(107_200));
    assert_eq!(expiries(&list), [("b", until)]);
    let list = follow.step_at(107_300).endpoints.expect("it is gone");
    assert_eq!(names(&list), ["a"]);
}

#[test]
fn a_draining_endpoint_whose_entry_is_lost_is_not_kept() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![endpoint("a", true), endpoint("b", false)]),
        Answer::gone(),
        Answer::page(5, 9, vec![endpoint("b", false)]),
    ]);
    let updates = follow.run(3);
    assert_eq!(names(updates[2].endpoints.as_ref().expect("a list")), ["b"]);
}

#[test]
fn an_endpoint_that_began_to_drain_in_the_lost_seconds_stays_draining() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![written_by("a", false, 7, 3)]),
        Answer::changes(4, 11, vec![written(written_by("a", true, 7, 4))]),
        Answer::gone(),
        Answer::page(5, 10, vec![written_by("a", false, 7, 3)]),
    ]);
    let updates = follow.run(4);
    assert_eq!(state_of(&updates, "a"), Some(ListingState::Draining));
}

#[parameterized(
    an_earlier_heartbeat = { 3 },
    the_last_heartbeat = { 4 },
)]
fn an_endpoint_that_left_in_the_lost_seconds_is_not_listed_again(heartbeat: u64) {
    let mut follow = Follow::new(vec![
        Answer::page(
            4,
            10,
            vec![written_by("a", false, 7, 4), endpoint("b", false)],
        ),
        Answer::changes(4, 11, vec![StoreChange::EndpointRemoved(id("a"))]),
        Answer::gone(),
        Answer::page(
            5,
            10,
            vec![written_by("a", false, 7, heartbeat), endpoint("b", false)],
        ),
        Answer::changes(5, 11, vec![written(written_by("a", false, 7, 5))]),
    ]);
    let updates = follow.run(4);
    assert_eq!(state_of(&updates, "a"), None);
    let update = follow.step();
    let list = update.endpoints.expect("a later heartbeat counts");
    assert_eq!(names(&list), ["a", "b"]);
}

#[test]
fn an_address_of_an_earlier_incarnation_does_not_come_back() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![at("a", "desk", "127.0.0.1:9001", 7, 40)]),
        Answer::changes(
            4,
            11,
            vec![written(at("a", "desk", "127.0.0.1:9002", 9, 1))],
        ),
        Answer::gone(),
        Answer::page(5, 10, vec![at("a", "desk", "127.0.0.1:9001", 7, 40)]),
    ]);
    let updates = follow.run(4);
    let last = updates
        .iter()
        .rev()
        .find_map(|update| update.endpoints.as_ref());
    let listed = last.and_then(|list| list.get(&id("a")));
    let address = listed.map(|listed| listed.address.to_string());
    assert_eq!(address.as_deref(), Some("127.0.0.1:9002"));
}

#[parameterized(
    which_it_still_lists = { Vec::new() },
    which_it_removed = { vec![StoreChange::EndpointRemoved(id("a"))] },
)]
fn an_older_entry_does_not_bring_a_process_back_that_said_that_it_leaves(before: Vec<StoreChange>) {
    let mut follow = Follow::new(vec![
        Answer::page(
            4,
            10,
            vec![written_by("a", true, 7, 4), endpoint("b", false)],
        ),
        Answer::changes(4, 11, before),
        Answer::gone(),
        Answer::page(
            5,
            10,
            vec![written_by("a", false, 7, 3), endpoint("b", false)],
        ),
        Answer::changes(5, 10, Vec::new()),
        Answer::changes(5, 10, Vec::new()),
    ]);
    let mut updates = follow.run(4);
    updates.push(follow.step_at(110_000));
    updates.push(follow.step_at(120_000));
    assert_ne!(state_of(&updates, "a"), Some(ListingState::Ready));
}

/// Guards against requests to a leaving process whose host has set its clock back.
#[test]
fn a_process_of_an_earlier_start_that_says_that_it_leaves_is_believed() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![written_by("a", false, 9, 1)]),
        Answer::changes(4, 11, vec![written(written_by("a", false, 7, 1))]),
        Answer::changes(4, 12, vec![written(written_by("a", true, 7, 2))]),
    ]);
    let updates = follow.run(2);
    let kinds = updates[1].changes.iter().map(|change| change.kind);
    assert_eq!(kinds.collect::<Vec<_>>(), [ChangeKind::Outdated]);
    let update = follow.step();
    assert_eq!(state_of(&[update], "a"), Some(ListingState::Draining));
}

/// Guards against losing an endpoint for good whose entry looks older than one that was seen.
#[test]
fn an_older_entry_that_the_store_keeps_past_its_lease_is_true_after_all() {
    let older = || at("a", "desk", "127.0.0.1:9001", 7, 40);
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![older()]),
        Answer::changes(4, 11, vec![StoreChange::EndpointRemoved(id("a"))]),
        Answer::gone(),
        Answer::page(5, 10, vec![older()]),
        Answer::changes(5, 10, Vec::new()),
        Answer::changes(5, 10, Vec::new()),
    ]);
    let mut updates = follow.run(4);
    assert_eq!(state_of(&updates, "a"), None);
    updates.push(follow.step_at(102_000));
    assert_eq!(state_of(&updates, "a"), None);
    updates.push(follow.step_at(110_000));
    assert_eq!(state_of(&updates, "a"), Some(ListingState::Ready));
}

#[test]
fn the_configuration_of_the_copy_does_not_replace_a_newer_one() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![config(9)]),
        Answer::gone(),
        Answer::page(5, 8, vec![config(4)]),
        Answer::changes(5, 9, vec![written(config(6))]),
        Answer::changes(5, 10, vec![written(config(9))]),
        Answer::changes(5, 11, vec![written(config(12))]),
    ]);
    let versions: Vec<Option<u64>> = follow.run(6).iter().map(version).collect();
    assert_eq!(versions, [Some(9), None, None, None, None, Some(12)]);
}

#[test]
fn a_version_that_was_written_again_with_other_contents_is_taken_once() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![other_config(9, "old")]),
        Answer::changes(4, 11, vec![written(other_config(9, "same era"))]),
        Answer::gone(),
        Answer::page(5, 8, vec![other_config(4, "copy")]),
        Answer::changes(5, 9, vec![written(other_config(9, "new"))]),
        Answer::changes(5, 10, vec![written(other_config(9, "newer"))]),
    ]);
    let updates = follow.run(6);
    let versions: Vec<Option<u64>> = updates.iter().map(version).collect();
    assert_eq!(versions, [Some(9), None, None, None, Some(9), None]);
    let taken = updates[4].config.as_ref().expect("a configuration");
    assert!(taken.customer("new").is_some());
}

/// Guards against going back when a second copy is older than what was written after the first.
#[test]
fn contents_that_were_replaced_under_the_same_version_do_not_come_back() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![other_config(9, "old")]),
        Answer::gone(),
        Answer::page(5, 9, vec![other_config(9, "new")]),
        Answer::gone(),
        Answer::page(6, 8, vec![other_config(9, "old")]),
        Answer::changes(6, 9, vec![written(other_config(9, "newest"))]),
    ]);
    let versions: Vec<Option<u64>> = follow.run(6).iter().map(version).collect();
    assert_eq!(versions, [Some(9), None, Some(9), None, None, Some(9)]);
}

#[test]
fn an_invalid_configuration_in_the_copy_is_not_taken() {
    let findings = cicadalock_core::serving::RouteConfig::builder("r", "h", "bad").build();
    let findings = findings.expect_err("the route has findings");
    let broken = StoreDocument::Config(Box::new(Err(findings)));
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![config(1)]),
        Answer::gone(),
        Answer::page(5, 8, vec![broken]),
        Answer::changes(5, 9, vec![written(config(2))]),
    ]);
    let updates = follow.run(4);
    assert!(updates[2].config.is_none());
    assert!(
        updates[2]
            .problems
            .iter()
            .any(|text| text.contains("prefix"))
    );
    assert_eq!(version(&updates[3]), Some(2));
}

#[test]
fn a_store_that_comes_back_twice_is_read_again_twice() {
    let mut follow = Follow::new(vec![
        Answer::page(
            4,
            10,
            vec![config(2), endpoint("a", false), endpoint("b", false)],
        ),
        Answer::changes(5, 12, Vec::new()),
        Answer::page(5, 12, vec![config(2), endpoint("a", false)]),
        Answer::changes(6, 13, Vec::new()),
        Answer::page(
            6,
            13,
            vec![config(3), endpoint("a", false), endpoint("b", false)],
        ),
        Answer::changes(6, 13, Vec::new()),
    ]);
    let updates = follow.run(6);
    assert_eq!(state_of(&updates, "b"), Some(ListingState::Ready));
    assert!(updates.iter().any(|update| version(update) == Some(3)));
}

#[test]
fn a_store_that_comes_back_during_an_outage_keeps_endpoints_for_the_time_of_renewal() {
    let mut follow = Follow::new(vec![
        Answer::page(
            4,
            10,
            vec![config(2), endpoint("a", false), endpoint("b", false)],
        ),
        Answer::refused(),
        Answer::refused(),
        Answer::changes(5, 14, Vec::new()),
        Answer::page(5, 14, vec![config(2), endpoint("a", false)]),
    ]);
    follow.step_at(100_000);
    follow.step_at(100_500);
    follow.step_at(103_000);
    follow.step_at(104_000);
    let update = follow.step_at(104_000);
    assert_eq!(update.ended_outage, Some(Duration::from_millis(3_500)));
    let list = update.endpoints.expect("one is missing");
    let until = Some(ClockTime::from_millis(106_200));
    assert_eq!(expiries(&list), [("b", until)]);
}

/// Steps at each time, and returns the times up to which everything was confirmed, in milliseconds.
fn confirmations(follow: &mut Follow, times: &[u64]) -> Vec<Option<u64>> {
    let confirmed = times.iter().map(|time| follow.step_at(*time).confirmed_at);
    confirmed
        .map(|at| at.map(|at| at.since(ClockTime::default()).as_millis() as u64))
        .collect()
}

#[test]
fn a_copy_that_is_read_in_time_confirms_what_is_known() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![config(2)]),
        Answer::changes(5, 12, Vec::new()),
        Answer::page(5, 12, vec![config(2)]),
        Answer::changes(5, 12, Vec::new()),
    ]);
    let confirmed = confirmations(&mut follow, &[100_000, 103_000, 103_000, 103_500]);
    assert_eq!(
        confirmed,
        [Some(100_000), None, Some(103_000), Some(103_500)]
    );
}

#[parameterized(
    nothing = { Vec::new(), 100_000 },
    an_older_version = { vec![written(config(1))], 100_000 },
    the_version_in_force = { vec![written(config(2))], 104_500 },
    a_newer_version = { vec![written(config(3))], 104_500 },
)]
fn a_copy_that_is_read_too_late_confirms_nothing_until_a_configuration_is_written(
    changes: Vec<StoreChange>,
    confirmed_at: u64,
) {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![config(2)]),
        Answer::changes(5, 12, Vec::new()),
        Answer::page(5, 12, vec![config(2)]),
        Answer::changes(5, 13, changes),
        Answer::changes(5, 13, Vec::new()),
    ]);
    let times = [100_000, 104_000, 104_000, 104_500, 106_300];
    let confirmed = confirmations(&mut follow, &times);
    let expected = [
        Some(100_000),
        None,
        Some(100_000),
        Some(confirmed_at),
        Some(106_300),
    ];
    assert_eq!(confirmed, expected);
}

/// Guards against a return that is passed over because the one before it was just read.
#[test]
fn a_second_return_within_a_second_is_not_forgotten_without_an_era() {
    let mut follow = Follow::new(vec![
        Answer::page(0, 10, vec![config(2)]).without_era(),
        Answer::changes(0, 8, Vec::new()).without_era(),
        Answer::page(0, 8, vec![config(2)]).without_era(),
        Answer::changes(0, 9, vec![written(endpoint("b", false))]).without_era(),
        Answer::changes(0, 7, Vec::new()).without_era(),
    ]);
    for time in [100_000, 100_100, 100_100, 100_500, 100_900, 102_500] {
        follow.step_at(time);
    }
    // What was written after the second return has passed revision 9 by now.
    assert_ne!(
        follow.asked().last().map(String::as_str),
        Some("changes after 9")
    );
}

/// Guards against a process that is ignored for good, as its host's clock was set back before it started.
#[test]
fn an_endpoint_whose_clock_was_set_back_is_taken_although_reads_fail_now_and_then() {
    let renewed = |beat| vec![written(at("a", "desk", "127.0.0.1:9002", 7, beat))];
    let mut answers = vec![Answer::page(
        4,
        10,
        vec![at("a", "desk", "127.0.0.1:9001", 9, 40)],
    )];
    for round in 0..8 {
        answers.push(Answer::changes(4, 11 + round, renewed(round + 1)));
        answers.push(Answer::refused());
    }
    let mut follow = Follow::new(answers);
    let mut updates = vec![follow.step_at(100_000)];
    for round in 0..8 {
        updates.push(follow.step_at(101_000 + round * 4_000));
        updates.push(follow.step_at(104_500 + round * 4_000));
    }
    let last = updates
        .iter()
        .rev()
        .find_map(|update| update.endpoints.as_ref());
    let listed = last.and_then(|list| list.get(&id("a")));
    let address = listed.map(|listed| listed.address.to_string());
    assert_eq!(address.as_deref(), Some("127.0.0.1:9002"));
}

#[test]
fn an_entry_that_cannot_be_read_does_not_bring_a_leaving_process_back() {
    let unreadable = StoreDocument::Endpoint(id("a"), Err("garbage".to_owned()));
    let mut follow = Follow::new(vec![
        Answer::page(
            4,
            10,
            vec![written_by("a", true, 7, 4), endpoint("b", false)],
        ),
        Answer::changes(4, 11, vec![written(unreadable)]),
        Answer::changes(4, 12, vec![written(written_by("a", false, 7, 3))]),
    ]);
    let updates = follow.run(3);
    assert_ne!(state_of(&updates, "a"), Some(ListingState::Ready));
}

/// Guards against a key revoked at 100.1 s, with a bound of 5 s, that is written again at 105.2 s only.
#[test]
fn a_copy_that_may_lack_a_revocation_confirms_nothing_past_its_bound() {
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, vec![config(2)]),
        Answer::changes(5, 10, Vec::new()),
        Answer::page(5, 10, vec![config(2)]),
        Answer::changes(5, 10, Vec::new()),
    ]);
    let times = [100_000, 103_000, 103_000, 105_150];
    let confirmed = confirmations(&mut follow, &times);
    let last = confirmed.last().copied().flatten();
    let age = last.map(|confirmed_at| Duration::from_millis(105_150 - confirmed_at));
    assert!(
        age > Some(TIMES.token_age),
        "the copy is {age:?} old, and opens the key"
    );
}

#[test]
fn an_endpoint_that_left_is_not_listed_again_when_the_copy_is_read_a_second_time() {
    let left = || vec![written_by("a", false, 7, 4), endpoint("b", false)];
    let mut follow = Follow::new(vec![
        Answer::page(4, 10, left()),
        Answer::changes(4, 11, vec![StoreChange::EndpointRemoved(id("a"))]),
        Answer::gone(),
        Answer::page(5, 10, left()),
        Answer::gone(),
        Answer::page(5, 10, left()),
    ]);
    let updates = follow.run(6);
    assert_eq!(state_of(&updates, "a"), None);
}
