//! A booking service that uses the ledger and the retry budget to run each booking only once.
//!
//! Run with `cargo run -p cicadalock-core --example booking_desk`.

use std::error::Error;

use cicadalock_core::id::CustomerId;
use cicadalock_core::outcome::{
    BodyDigest, IdempotencyKey, LedgerVerdict, OutcomeLedger, StoredAnswer,
};
use cicadalock_core::retry::RetryBudget;
use cicadalock_core::time::WallTime;

fn main() -> Result<(), Box<dyn Error>> {
    let start = WallTime::from_unix_millis(1_700_000_000_000);
    let now = start.plus_millis(60_000);
    let mut ledger = OutcomeLedger::builder(start).build();
    let mut budget = RetryBudget::builder().reserve(2).build();
    let key: IdempotencyKey = "018bcfe6-5380-7000-8000-000000000001".parse()?;
    let customer = CustomerId::new(7);
    let body = BodyDigest::of(b"one ukulele, Friday");
    let mut booked = 0;
    // The caller receives no answer and retries the same booking.
    for attempt in 1..=3 {
        match ledger.claim(customer, &key, body, start, now) {
            LedgerVerdict::Run => {
                booked += 1;
                let answer = StoredAnswer {
                    status: 201,
                    headers: Vec::new(),
                    body: b"booked".to_vec(),
                };
                ledger.finish(customer, &key, Some(answer));
                println!("attempt {attempt}: ran the booking");
            }
            LedgerVerdict::Replay(answer) => {
                println!(
                    "attempt {attempt}: replayed the first answer, status {}",
                    answer.status
                );
            }
            verdict => println!("attempt {attempt}: {verdict:?}"),
        }
        if !budget.try_spend() {
            println!("retry budget exhausted");
            break;
        }
    }
    println!("bookings made: {booked}");
    Ok(())
}
