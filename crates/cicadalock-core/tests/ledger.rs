//! Tests of the outcome ledger: which keyed requests it lets run, and which it answers or refuses.
//!
//! Each claim passes `after_start(0)` as `fresh_after`, so that only the start, skew and window of the
//! ledger itself decide which keys are fresh.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cicadalock_core::id::CustomerId;
use cicadalock_core::outcome::{BodyDigest, LedgerVerdict, OutcomeLedger, StoredAnswer};
use cicadalock_core::time::WallTime;
use proptest::prelude::*;
use support::{key_minted_at, seeded};
use yare::parameterized;

/// Start of the ledger's process, in milliseconds since the Unix epoch.
const LEDGER_START_MS: u64 = 1_700_000_000_000;
const SKEW_MS: u64 = 2_000;
const WINDOW: Duration = Duration::from_secs(30);
const CUSTOMER: CustomerId = CustomerId::new(1);

fn ledger() -> OutcomeLedger {
    OutcomeLedger::builder(after_start(0))
        .window(WINDOW)
        .skew(Duration::from_millis(SKEW_MS))
        .build()
}

/// Returns the time `millis` milliseconds after the start of the ledger's process.
fn after_start(millis: u64) -> WallTime {
    WallTime::from_unix_millis(LEDGER_START_MS + millis)
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: b"booked".to_vec(),
    }
}

#[parameterized(
    minted_at_the_start = { 0, 100, LedgerVerdict::Unknown },
    minted_as_long_after_the_start_as_the_skew = { SKEW_MS, 2_100, LedgerVerdict::Unknown },
    minted_longer_after_the_start_than_the_skew = { SKEW_MS + 1, 2_100, LedgerVerdict::Run },
    minted_in_the_future_by_more_than_the_skew = { 50_000, 10_000, LedgerVerdict::FromFuture },
    minted_in_the_future_by_less_than_the_skew = { 11_000, 10_000, LedgerVerdict::Run },
    minted_longer_ago_than_the_window = { 5_000, 40_000, LedgerVerdict::Unknown },
)]
fn a_first_claim_is_granted_only_if_the_minting_time_proves_the_key_fresh(
    minted: u64,
    now: u64,
    expected: LedgerVerdict,
) {
    let key = key_minted_at(LEDGER_START_MS + minted, 1);
    let verdict = ledger().claim(
        CUSTOMER,
        &key,
        BodyDigest::of(b"a"),
        after_start(0),
        after_start(now),
    );
    assert_eq!(verdict, expected);
}

#[test]
fn a_later_claim_reports_the_running_request_or_gets_the_stored_answer() {
    let mut ledger = ledger();
    let key = key_minted_at(LEDGER_START_MS + 5_000, 1);
    let body = BodyDigest::of(b"a");
    assert_eq!(
        ledger.claim(CUSTOMER, &key, body, after_start(0), after_start(5_000)),
        LedgerVerdict::Run
    );
    assert_eq!(
        ledger.claim(CUSTOMER, &key, body, after_start(0), after_start(5_001)),
        LedgerVerdict::InProgress
    );
    ledger.finish(CUSTOMER, &key, Some(answer()));
    let verdict = ledger.claim(CUSTOMER, &key, body, after_start(0), after_start(5_002));
    assert_eq!(verdict, LedgerVerdict::Replay(answer().into()));
}

#[test]
fn the_same_key_with_another_body_is_refused() {
    let mut ledger = ledger();
    let key = key_minted_at(LEDGER_START_MS + 5_000, 1);
    ledger.claim(
        CUSTOMER,
        &key,
        BodyDigest::of(b"a"),
        after_start(0),
        after_start(5_000),
    );
    let verdict = ledger.claim(
        CUSTOMER,
        &key,
        BodyDigest::of(b"b"),
        after_start(0),
        after_start(5_001),
    );
    assert_eq!(verdict, LedgerVerdict::Conflict);
}

#[test]
fn the_same_key_of_another_customer_is_independent() {
    let mut ledger = ledger();
    let key = key_minted_at(LEDGER_START_MS + 5_000, 1);
    let body = BodyDigest::of(b"a");
    ledger.claim(CUSTOMER, &key, body, after_start(0), after_start(5_000));
    let verdict = ledger.claim(
        CustomerId::new(2),
        &key,
        body,
        after_start(0),
        after_start(5_001),
    );
    assert_eq!(verdict, LedgerVerdict::Run);
}

#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_the_old_ones() {
    let mut ledger = OutcomeLedger::builder(after_start(0))
        .entry_limit(1)
        .build();
    let (first, second) = (
        key_minted_at(LEDGER_START_MS + 5_000, 1),
        key_minted_at(LEDGER_START_MS + 5_000, 2),
    );
    let body = BodyDigest::of(b"a");
    assert_eq!(
        ledger.claim(CUSTOMER, &first, body, after_start(0), after_start(5_000)),
        LedgerVerdict::Run
    );
    assert_eq!(
        ledger.claim(CUSTOMER, &second, body, after_start(0), after_start(5_000)),
        LedgerVerdict::Full
    );
    assert_eq!(
        ledger.claim(CUSTOMER, &first, body, after_start(0), after_start(5_000)),
        LedgerVerdict::InProgress
    );
}

#[derive(Debug, Clone)]
enum Step {
    /// Mints a key on a clock that is ahead by this many milliseconds.
    Mint(u64),
    /// Claims the key with this index.
    Claim(usize),
    /// Finishes the running request of the key with this index.
    Finish(usize),
    /// Releases the claim of the key with this index.
    Release(usize),
    /// Advances the time by this many milliseconds.
    Advance(u64),
    /// Sets the window, in seconds, and resets the skew.
    ChangeWindow(u64),
    /// Sets the skew, in milliseconds, and resets the window.
    ChangeSkew(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..SKEW_MS).prop_map(Step::Mint),
        6 => (0..20_usize).prop_map(Step::Claim),
        3 => (0..20_usize).prop_map(Step::Finish),
        1 => (0..20_usize).prop_map(Step::Release),
        4 => (1..15_000_u64).prop_map(Step::Advance),
        1 => (1..60_u64).prop_map(Step::ChangeWindow),
        1 => (1..5_000_u64).prop_map(Step::ChangeSkew),
    ]
}

proptest! {
    #![proptest_config(seeded(2_000))]

    /// The ledger never lets a second request run under a key, whichever entries expire and however
    /// the limits change. Only a released key may be claimed again.
    #[test]
    fn no_second_request_runs_under_a_key(steps in prop::collection::vec(step(), 1..120)) {
        let mut ledger = ledger();
        let mut now = 10_000;
        let mut keys = Vec::new();
        // Whether the request has finished, by index of the key; only for keys whose claim was
        // granted and not released.
        let mut finished_by_key: BTreeMap<usize, bool> = BTreeMap::new();
        for step in steps {
            match step {
                // Callers' clocks may be ahead by less than `SKEW_MS`, the skew that the ledger starts
                // with; `ChangeSkew` does not change this bound.
                Step::Mint(ahead) => {
                    keys.push(key_minted_at(LEDGER_START_MS + now + ahead, keys.len() as u16));
                }
                Step::Claim(index) if index < keys.len() => {
                    let body = BodyDigest::of(b"a");
                    let verdict =
                        ledger.claim(CUSTOMER, &keys[index], body, after_start(0), after_start(now));
                    if verdict == LedgerVerdict::Run {
                        prop_assert!(
                            !finished_by_key.contains_key(&index),
                            "a second request runs under key {index}"
                        );
                        finished_by_key.insert(index, false);
                    }
                }
                Step::Finish(index) if finished_by_key.get(&index) == Some(&false) => {
                    ledger.finish(CUSTOMER, &keys[index], Some(answer()));
                    finished_by_key.insert(index, true);
                }
                Step::Release(index) if finished_by_key.get(&index) == Some(&false) => {
                    ledger.release(CUSTOMER, &keys[index]);
                    finished_by_key.remove(&index);
                }
                Step::Advance(millis) => now += millis,
                Step::ChangeWindow(seconds) => {
                    let skew = Duration::from_millis(SKEW_MS);
                    ledger.set_limits(Duration::from_secs(seconds), skew, after_start(now));
                }
                Step::ChangeSkew(millis) => {
                    ledger.set_limits(WINDOW, Duration::from_millis(millis), after_start(now));
                }
                _ => {}
            }
        }
    }
}
