//! Tests the copy of the store's data while the store works, is unavailable, loses entries or
//! discards its history.

mod support;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cicadalock_core::id::{Revision, StoreEra};
use cicadalock_core::serving::ListingState;
use cicadalock_core::time::ClockTime;
use cicadalock_node::gateway::{
    PlatformStore, StoreChange, StoreChanges, StoreDocument, StoreError, StoreFollower, StorePage,
};
use support::{TIMES, WAIT, clock, config, endpoint, expiries, id, names, written, written_by};

enum Answer {
    Page(Vec<StoreDocument>, Option<&'static str>),
    Changes(Vec<StoreChange>, u64),
    Fail(StoreError),
}

/// Returns scripted answers in order and records the reads.
#[derive(Default)]
struct ScriptedStore {
    answers: Mutex<VecDeque<Answer>>,
    asked: Arc<Mutex<Vec<String>>>,
}

impl ScriptedStore {
    fn new(answers: Vec<Answer>) -> Self {
        Self {
            answers: Mutex::new(answers.into()),
            asked: Arc::default(),
        }
    }

    fn next(&self, question: String) -> Answer {
        self.asked
            .lock()
            .expect("the lock is not poisoned")
            .push(question);
        let next = self
            .answers
            .lock()
            .expect("the lock is not poisoned")
            .pop_front();
        next.unwrap_or(Answer::Fail(StoreError::Refused { status: 503 }))
    }
}

impl PlatformStore for ScriptedStore {
    fn page(&self, after: Option<&str>) -> Result<StorePage, StoreError> {
        match self.next(format!("page after {after:?}")) {
            Answer::Page(documents, next) => Ok(StorePage {
                documents,
                next: next.map(str::to_owned),
                revision: Revision::new(10),
                era: Ok(StoreEra::new(1)),
            }),
            Answer::Fail(error) => Err(error),
            Answer::Changes(..) => panic!("a page was requested"),
        }
    }

    fn changes(&self, after: Revision, wait: Duration) -> Result<StoreChanges, StoreError> {
        let is_waiting = if wait.is_zero() { " at once" } else { "" };
        match self.next(format!("changes after {after}{is_waiting}")) {
            Answer::Changes(changes, revision) => Ok(StoreChanges {
                changes,
                revision: Revision::new(revision),
                era: Ok(StoreEra::new(1)),
            }),
            Answer::Fail(error) => Err(error),
            Answer::Page(..) => panic!("changes were requested"),
        }
    }
}

#[test]
fn every_page_is_read_and_then_only_changes() {
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![config(3), endpoint("a", false)], Some("servers/a")),
        Answer::Page(vec![endpoint("b", false)], None),
        Answer::Changes(vec![written(endpoint("b", true)), written(config(5))], 14),
        Answer::Changes(Vec::new(), 14),
    ]);
    let asked = Arc::clone(&store.asked);
    let (_, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    let first = follower.step(&now);
    assert_eq!(first.config.map(|config| config.version()), Some(3));
    assert_eq!(
        names(&first.endpoints.expect("the endpoints are new")),
        ["a", "b"]
    );
    let second = follower.step(&now);
    assert_eq!(second.config.map(|config| config.version()), Some(5));
    let list = second.endpoints.expect("the endpoints changed");
    assert!(
        list.get(&id("b"))
            .is_some_and(|entry| entry.state == ListingState::Draining)
    );
    let third = follower.step(&now);
    assert!(third.config.is_none() && third.endpoints.is_none());
    insta::assert_snapshot!(asked.lock().expect("the lock is not poisoned").join("\n"), @r#"
    page after None
    page after Some("servers/a")
    changes after 10
    changes after 14
    "#);
}

#[test]
fn a_configuration_is_never_replaced_by_an_older_one() {
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![config(9)], None),
        Answer::Changes(vec![written(config(4))], 11),
        Answer::Fail(StoreError::HistoryGone),
        Answer::Page(vec![config(8)], None),
    ]);
    let (_, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    assert!(follower.step(&now).config.is_some());
    for _ in 0..3 {
        assert!(follower.step(&now).config.is_none());
    }
}

#[test]
fn an_invalid_configuration_is_reported_and_not_applied() {
    let findings = cicadalock_core::serving::RouteConfig::builder("r", "h", "bad").build();
    let findings = findings.expect_err("the route has findings");
    let broken = StoreDocument::Config(Box::new(Err(findings)));
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![config(1)], None),
        Answer::Changes(vec![written(broken)], 11),
    ]);
    let (_, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    follower.step(&now);
    let update = follower.step(&now);
    assert!(update.config.is_none());
    assert!(update.problems[0].contains("prefix `bad`"));
}

#[test]
fn an_unreadable_entry_removes_only_its_own_endpoint() {
    let unreadable = StoreDocument::Endpoint(id("a"), Err("no slots".to_owned()));
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![endpoint("a", false), endpoint("b", false)], None),
        Answer::Changes(vec![written(unreadable), written(StoreDocument::Other)], 11),
    ]);
    let (_, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    follower.step(&now);
    let update = follower.step(&now);
    assert_eq!(
        names(&update.endpoints.expect("the endpoints changed")),
        ["b"]
    );
    assert_eq!(update.problems, ["endpoint `a`: no slots"]);
}

#[test]
fn a_lost_history_is_replaced_by_reading_all_pages() {
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![endpoint("a", false), endpoint("b", false)], None),
        Answer::Fail(StoreError::HistoryGone),
        Answer::Page(vec![endpoint("b", false), endpoint("c", false)], None),
    ]);
    let (_, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    follower.step(&now);
    let gone = follower.step(&now);
    assert!(gone.failure.is_none() && gone.endpoints.is_none());
    let update = follower.step(&now);
    assert_eq!(
        names(&update.endpoints.expect("the endpoints changed")),
        ["b", "c"]
    );
}

#[test]
fn a_removal_is_applied_at_once_while_the_store_is_available() {
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![endpoint("a", false), endpoint("b", false)], None),
        Answer::Changes(vec![StoreChange::EndpointRemoved(id("a"))], 11),
    ]);
    let (_, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    follower.step(&now);
    assert_eq!(
        names(
            &follower
                .step(&now)
                .endpoints
                .expect("the endpoints changed")
        ),
        ["b"]
    );
}

#[test]
fn entries_that_expired_during_an_outage_get_time_to_be_renewed() {
    let store = ScriptedStore::new(vec![
        Answer::Page(
            vec![
                endpoint("a", false),
                endpoint("b", false),
                endpoint("c", false),
            ],
            None,
        ),
        Answer::Fail(StoreError::Refused { status: 503 }),
        Answer::Changes(Vec::new(), 20),
        Answer::Changes(
            vec![
                StoreChange::EndpointRemoved(id("a")),
                StoreChange::EndpointRemoved(id("b")),
            ],
            21,
        ),
        Answer::Changes(vec![written(endpoint("a", false))], 22),
        Answer::Changes(Vec::new(), 22),
    ]);
    let (millis, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    follower.step(&now);
    let failed = follower.step(&now);
    assert!(matches!(
        failed.failure,
        Some((StoreError::Refused { .. }, true))
    ));
    millis.set(104_000);
    let recovered = follower.step(&now);
    assert_eq!(recovered.ended_outage, Some(Duration::from_secs(4)));
    let list = follower.step(&now).endpoints.expect("two are missing");
    let until = Some(ClockTime::from_millis(105_800));
    assert_eq!(names(&list), ["a", "b", "c"]);
    assert_eq!(expiries(&list), [("a", until), ("b", until)]);
    millis.set(105_000);
    let list = follower.step(&now).endpoints.expect("one was renewed");
    assert_eq!(expiries(&list), [("b", until)]);
    millis.set(106_300);
    let update = follower.step(&now);
    assert_eq!(
        names(&update.endpoints.expect("the other is removed")),
        ["a", "c"]
    );
}

#[test]
fn data_is_confirmed_as_of_the_request_unless_the_store_waited() {
    let (millis, now) = clock();
    let moved = RefCell::new(Vec::new());
    // Each reading advances the clock, as if the store took time to answer.
    let ticking = || {
        moved.borrow_mut().push(millis.get());
        millis.set(millis.get() + 100);
        now()
    };
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![config(1)], None),
        Answer::Changes(vec![written(config(2))], 11),
        Answer::Changes(Vec::new(), 11),
    ]);
    let mut follower = StoreFollower::new(store, TIMES);
    follower.step(ticking);
    let before = now();
    let busy = follower
        .step(ticking)
        .confirmed_at
        .expect("the store answered");
    assert!(busy <= before + Duration::from_millis(100));
    let before = now();
    let quiet = follower
        .step(ticking)
        .confirmed_at
        .expect("the store answered");
    assert!(quiet <= now() && quiet.since(before) <= WAIT + Duration::from_millis(100));
}

#[test]
fn a_failed_read_confirms_nothing() {
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![config(1)], None),
        Answer::Fail(StoreError::Refused { status: 429 }),
        Answer::Fail(StoreError::Unreadable {
            problem: "not JSON".to_owned(),
        }),
    ]);
    let (_, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    assert!(follower.step(&now).confirmed_at.is_some());
    assert!(follower.step(&now).confirmed_at.is_none());
    let second = follower.step(&now);
    assert!(second.confirmed_at.is_none());
    assert!(
        matches!(second.failure, Some((_, false))),
        "the first failure was reported before"
    );
}

#[test]
fn the_read_after_a_failure_does_not_wait_for_changes() {
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![config(1)], None),
        Answer::Changes(Vec::new(), 10),
        Answer::Fail(StoreError::Refused { status: 503 }),
        Answer::Changes(Vec::new(), 10),
        Answer::Changes(Vec::new(), 10),
    ]);
    let asked = Arc::clone(&store.asked);
    let (_, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    for _ in 0..5 {
        follower.step(&now);
    }
    let asked = asked.lock().expect("the lock is not poisoned");
    let expected = [
        "page after None",
        "changes after 10",
        "changes after 10",
        "changes after 10 at once",
        "changes after 10",
    ];
    assert_eq!(asked[..], expected);
}

/// Guards against deferring removals after an outage for longer than the drain time.
#[test]
fn a_removal_after_an_outage_is_in_force_within_the_drain_time() {
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![endpoint("a", false), endpoint("b", false)], None),
        Answer::Fail(StoreError::Refused { status: 503 }),
        Answer::Changes(Vec::new(), 20),
        Answer::Changes(vec![StoreChange::EndpointRemoved(id("a"))], 21),
        Answer::Changes(Vec::new(), 21),
    ]);
    let (millis, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    for time in [100_000, 101_000, 104_000] {
        millis.set(time);
        follower.step(&now);
    }
    millis.set(105_900);
    let update = follower.step(&now);
    assert_eq!(
        names(&update.endpoints.expect("the endpoint is removed")),
        ["b"]
    );
}

#[test]
fn a_removal_after_a_short_interruption_is_in_force_within_the_drain_time() {
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![endpoint("a", false), endpoint("b", false)], None),
        Answer::Changes(Vec::new(), 10),
        Answer::Fail(StoreError::Refused { status: 429 }),
        Answer::Changes(vec![StoreChange::EndpointRemoved(id("a"))], 11),
    ]);
    let (millis, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    for time in [100_000, 100_500, 101_000] {
        millis.set(time);
        follower.step(&now);
    }
    millis.set(101_150);
    let list = follower.step(&now).endpoints.expect("one is missing");
    // The store last confirmed all changes at 100.5 s.
    let until = Some(ClockTime::from_millis(102_300));
    assert_eq!(expiries(&list), [("a", until)]);
}

#[test]
fn missing_endpoints_are_kept_during_another_outage_and_expire_after_it() {
    let refused = || Answer::Fail(StoreError::Refused { status: 503 });
    let removed = vec![StoreChange::EndpointRemoved(id("a"))];
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![endpoint("a", false), endpoint("b", false)], None),
        refused(),
        Answer::Changes(removed, 20),
        refused(),
        refused(),
        Answer::Changes(Vec::new(), 20),
    ]);
    let (millis, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    let mut expiries_at = |time| {
        millis.set(time);
        let list = follower.step(&now).endpoints;
        list.map(|list| expiries(&list).first().map(|(_, until)| *until))
    };
    assert_eq!(expiries_at(100_000), Some(None));
    assert_eq!(expiries_at(100_100), None);
    let until = ClockTime::from_millis(106_200);
    assert_eq!(expiries_at(104_000), Some(Some(Some(until))));
    assert_eq!(expiries_at(104_100), None, "it may be a short interruption");
    assert_eq!(expiries_at(106_100), Some(Some(None)));
    let until = ClockTime::from_millis(110_200);
    assert_eq!(expiries_at(108_000), Some(Some(Some(until))));
}

#[test]
fn short_interruptions_do_not_extend_the_time_of_a_missing_endpoint() {
    let refused = || Answer::Fail(StoreError::Refused { status: 429 });
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![endpoint("a", false)], None),
        refused(),
        Answer::Changes(vec![StoreChange::EndpointRemoved(id("a"))], 20),
        refused(),
        Answer::Changes(Vec::new(), 20),
        Answer::Changes(Vec::new(), 20),
    ]);
    let (millis, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    let mut step_at = |time| {
        millis.set(time);
        follower.step(&now).endpoints
    };
    step_at(100_000);
    step_at(100_100);
    let list = step_at(100_200).expect("one is missing");
    let until = Some(ClockTime::from_millis(101_800));
    assert_eq!(expiries(&list), [("a", until)]);
    assert!(step_at(101_000).is_none());
    assert!(step_at(101_200).is_none());
    assert_eq!(names(&step_at(101_900).expect("it is gone")), [""; 0]);
}

#[test]
fn a_removed_endpoint_that_was_draining_is_not_kept_after_an_outage() {
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![endpoint("a", true), endpoint("b", false)], None),
        Answer::Fail(StoreError::Refused { status: 503 }),
        Answer::Changes(vec![StoreChange::EndpointRemoved(id("a"))], 20),
    ]);
    let (millis, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    follower.step(&now);
    follower.step(&now);
    millis.set(104_000);
    let list = follower
        .step(&now)
        .endpoints
        .expect("the endpoints changed");
    assert_eq!(names(&list), ["b"]);
}

/// Guards against a late write that lists an endpoint as ready after it said that it leaves.
#[test]
fn an_entry_of_an_earlier_heartbeat_does_not_bring_a_leaving_endpoint_back() {
    let (early, last) = ((7, 3), (7, 4));
    let entry = |is_draining, (started, heartbeat)| {
        written(written_by("a", is_draining, started, heartbeat))
    };
    let store = ScriptedStore::new(vec![
        Answer::Page(vec![endpoint("b", false)], None),
        Answer::Changes(vec![entry(true, last), entry(false, early)], 12),
        Answer::Changes(vec![StoreChange::EndpointRemoved(id("a"))], 13),
        Answer::Changes(vec![entry(false, early)], 14),
        Answer::Changes(vec![entry(false, (7, 5))], 15),
        Answer::Changes(vec![entry(false, (9, 1))], 16),
    ]);
    let (_, now) = clock();
    let mut follower = StoreFollower::new(store, TIMES);
    follower.step(&now);
    let mut state_of_a = || {
        let list = follower.step(&now).endpoints;
        list.map(|list| list.get(&id("a")).map(|listed| listed.state))
    };
    assert_eq!(state_of_a(), Some(Some(ListingState::Draining)));
    assert_eq!(state_of_a(), Some(None));
    assert_eq!(state_of_a(), None, "the earlier heartbeat is ignored");
    assert_eq!(
        state_of_a(),
        Some(Some(ListingState::Ready)),
        "a later one counts"
    );
    assert_eq!(
        state_of_a(),
        Some(Some(ListingState::Ready)),
        "a new process counts"
    );
}
