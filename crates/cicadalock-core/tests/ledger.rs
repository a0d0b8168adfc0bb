//! Tests of the outcome ledger: which keyed requests it lets run, and which it answers or refuses.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cicadalock_core::id::CustomerId;
use cicadalock_core::outcome::{BodyDigest, LedgerVerdict, OutcomeLedger, StoredAnswer};
use cicadalock_core::time::WallTime;
use proptest::prelude::*;
use support::{key_minted_at, seeded};
use yare::parameterized;

const START_MS: u64 = 1_700_000_000_000;
const SKEW_MS: u64 = 2_000;
const WINDOW: Duration = Duration::from_secs(30);
const CUSTOMER: CustomerId = CustomerId::new(1);

fn ledger() -> OutcomeLedger {
    OutcomeLedger::builder(at(0))
        .window(WINDOW)
        .skew(Duration::from_millis(SKEW_MS))
        .build()
}

fn at(millis: u64) -> WallTime {
    WallTime::from_unix_millis(START_MS + millis)
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: b"booked".to_vec(),
    }
}

#[parameterized(
    minted_before_the_start = { 0, 100, LedgerVerdict::Unknown },
    minted_within_the_skew_of_the_start = { SKEW_MS, 2_100, LedgerVerdict::Unknown },
    minted_after_the_start = { SKEW_MS + 1, 2_100, LedgerVerdict::Run },
    minted_far_in_the_future = { 50_000, 10_000, LedgerVerdict::FromFuture },
    minted_a_little_in_the_future = { 11_000, 10_000, LedgerVerdict::Run },
    minted_before_the_window = { 5_000, 40_000, LedgerVerdict::Unknown },
)]
fn a_first_claim_runs_only_if_the_minting_time_proves_the_key_fresh(
    minted: u64,
    now: u64,
    expected: LedgerVerdict,
) {
    let key = key_minted_at(START_MS + minted, 1);
    let verdict = ledger().claim(CUSTOMER, &key, BodyDigest::of(b"a"), at(0), at(now));
    assert_eq!(verdict, expected);
}

#[test]
fn a_second_claim_is_answered_from_memory() {
    let mut ledger = ledger();
    let key = key_minted_at(START_MS + 5_000, 1);
    let body = BodyDigest::of(b"a");
    assert_eq!(
        ledger.claim(CUSTOMER, &key, body, at(0), at(5_000)),
        LedgerVerdict::Run
    );
    assert_eq!(
        ledger.claim(CUSTOMER, &key, body, at(0), at(5_001)),
        LedgerVerdict::InProgress
    );
    ledger.finish(CUSTOMER, &key, Some(answer()));
    let verdict = ledger.claim(CUSTOMER, &key, body, at(0), at(5_002));
    assert_eq!(verdict, LedgerVerdict::Replay(answer().into()));
}

#[test]
fn the_same_key_with_another_body_is_refused() {
    let mut ledger = ledger();
    let key = key_minted_at(START_MS + 5_000, 1);
    ledger.claim(CUSTOMER, &key, BodyDigest::of(b"a"), at(0), at(5_000));
    let verdict = ledger.claim(CUSTOMER, &key, BodyDigest::of(b"b"), at(0), at(5_001));
    assert_eq!(verdict, LedgerVerdict::Conflict);
}

#[test]
fn the_same_key_of_another_customer_is_independent() {
    let mut ledger = ledger();
    let key = key_minted_at(START_MS + 5_000, 1);
    let body = BodyDigest::of(b"a");
    ledger.claim(CUSTOMER, &key, body, at(0), at(5_000));
    let verdict = ledger.claim(CustomerId::new(2), &key, body, at(0), at(5_001));
    assert_eq!(verdict, LedgerVerdict::Run);
}

#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_the_old_ones() {
    let mut ledger = OutcomeLedger::builder(at(0)).entry_limit(1).build();
    let (first, second) = (
        key_minted_at(START_MS + 5_000, 1),
        key_minted_at(START_MS + 5_000, 2),
    );
    let body = BodyDigest::of(b"a");
    assert_eq!(
        ledger.claim(CUSTOMER, &first, body, at(0), at(5_000)),
        LedgerVerdict::Run
    );
    assert_eq!(
        ledger.claim(CUSTOMER, &second, body, at(0), at(5_000)),
        LedgerVerdict::Full
    );
    assert_eq!(
        ledger.claim(CUSTOMER, &first, body, at(0), at(5_000)),
        LedgerVerdict::InProgress
    );
}

#[derive(Debug, Clone)]
enum Step {
    Mint(u64),
    Claim(usize),
    Finish(usize),
    Release(usize),
    Advance(u64),
    ChangeWindow(u64),
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

    /// A key that has run never runs again, whichever entries expire and however the limits change.
    #[test]
    fn a_key_that_ran_never_runs_again(steps in prop::collection::vec(step(), 1..120)) {
        let mut ledger = ledger();
        let mut now = 10_000;
        let mut keys = Vec::new();
        // Keys that were allowed to run, with whether their run has finished.
        let mut claimed: BTreeMap<usize, bool> = BTreeMap::new();
        for step in steps {
            match step {
                // Callers' clocks may be ahead by less than the skew.
                Step::Mint(ahead) => {
                    keys.push(key_minted_at(START_MS + now + ahead, keys.len() as u16));
                }
                Step::Claim(index) if index < keys.len() => {
                    let body = BodyDigest::of(b"a");
                    let verdict = ledger.claim(CUSTOMER, &keys[index], body, at(0), at(now));
                    if verdict == LedgerVerdict::Run {
                        prop_assert!(!claimed.contains_key(&index), "key {index} runs twice");
                        claimed.insert(index, false);
                    }
                }
                Step::Finish(index) if claimed.get(&index) == Some(&false) => {
                    ledger.finish(CUSTOMER, &keys[index], Some(answer()));
                    claimed.insert(index, true);
                }
                Step::Release(index) if claimed.get(&index) == Some(&false) => {
                    ledger.release(CUSTOMER, &keys[index]);
                    claimed.remove(&index);
                }
                Step::Advance(millis) => now += millis,
                Step::ChangeWindow(seconds) => {
                    let skew = Duration::from_millis(SKEW_MS);
                    ledger.set_limits(Duration::from_secs(seconds), skew, at(now));
                }
                Step::ChangeSkew(millis) => {
                    ledger.set_limits(WINDOW, Duration::from_millis(millis), at(now));
                }
                _ => {}
            }
        }
    }
}
