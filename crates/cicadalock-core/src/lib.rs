//! Building blocks for sharing endpoints fairly between customers.
//!
//! The crate performs no I/O and reads no clock: the caller passes the current
//! [`ClockTime`](time::ClockTime) to each state machine and carries out the actions it returns.
//! The `cicadalock` daemons are built on this crate; other programs can embed it on its own.
//!
//! # Modules
//!
//! | module | purpose |
//! |---|---|
//! | [`collect`] | [`SortedMap`](collect::SortedMap), the map used throughout |
//! | [`id`] | newtypes for names and numbers |
//! | [`time`] | time types that callers pass in |
//! | [`config`] | parsing, merging and validation of the fleet configuration |
//! | [`revision`] | documents whose revision never decreases |
//! | [`fair`] | fair scheduling of customers across sidecars |
//! | [`outcome`] | outcomes, idempotency keys and the ledger |
//! | [`member`] | the host list, home selection and the view lease |
//! | [`serving`] | the routes, tokens and endpoints in use |
//! | [`place`] | endpoint selection for a request |
//! | [`desk`] | admission control for one endpoint |
//! | [`gateway`] | the state machine of a router that calls endpoints itself |
//! | [`quarantine`] | parts of prompts that crash endpoints |
//! | [`retry`] | retry budget and endpoint back-off |
//! | [`message`] | messages between processes |
//! | [`router`] | the state machine of a router process |
//! | [`sidecar`] | the state machine of a sidecar process |
//!
//! # Example
//!
//! ```
//! use cicadalock_core::fair::GrantScheduler;
//! use cicadalock_core::id::{CustomerId, KindId, LinkId};
//! use cicadalock_core::time::ClockTime;
//!
//! let mut scheduler = GrantScheduler::builder()
//!     .customer(CustomerId::new(1), 1)
//!     .customer(CustomerId::new(2), 3)
//!     .kind(KindId::new(9), 1, 10)
//!     .build();
//! let now = ClockTime::from_millis(0);
//! scheduler.set_bid(LinkId::new(1), CustomerId::new(1), KindId::new(9), 5, now);
//! let pick = scheduler.pick(now).expect("a bid is waiting");
//! assert_eq!(pick.customer, CustomerId::new(1));
//! ```

pub mod collect;
pub mod config;
pub mod desk;
pub mod fair;
pub mod gateway;
pub mod id;
pub mod member;
pub mod message;
pub mod outcome;
pub mod place;
pub mod quarantine;
pub mod retry;
pub mod revision;
pub mod router;
pub mod serving;
pub mod sidecar;
pub mod time;
