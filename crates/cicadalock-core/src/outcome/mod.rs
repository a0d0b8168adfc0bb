//! Outcomes reported to callers, idempotency keys and the ledger of requests that have run.
//!
//! A sidecar records the requests with an idempotency key that it has run in an [`OutcomeLedger`].
//! The ledger is kept in memory only. [`IdempotencyKey`] therefore carries its minting time: a
//! request whose key was minted before the ledger started is not run, and its outcome is unknown.
//!
//! ```
//! use cicadalock_core::id::CustomerId;
//! use cicadalock_core::outcome::{BodyDigest, IdempotencyKey, LedgerVerdict, OutcomeLedger};
//! use cicadalock_core::time::WallTime;
//!
//! let start = WallTime::from_unix_millis(1_699_000_000_000);
//! let mut ledger = OutcomeLedger::builder(start).build();
//! let key: IdempotencyKey = "018bcfe6-8c00-7000-8000-000000000001".parse()?;
//! let now = key.minted().plus_millis(5);
//! let body = BodyDigest::of(b"book one recorder");
//! let claim = |ledger: &mut OutcomeLedger| ledger.claim(CustomerId::new(1), &key, body, start, now);
//! assert_eq!(claim(&mut ledger), LedgerVerdict::Run);
//! assert_eq!(claim(&mut ledger), LedgerVerdict::InProgress);
//! # Ok::<(), cicadalock_core::outcome::KeyError>(())
//! ```

mod digest;
mod key;
mod ledger;
mod request_outcome;

pub use digest::BodyDigest;
pub use key::{IdempotencyKey, KeyError};
pub use ledger::{LedgerBuilder, LedgerRecord, LedgerVerdict, OutcomeLedger, StoredAnswer};
pub use request_outcome::RequestOutcome;
