//! Coordination parts for sharing endpoints fairly between customers.
//!
//! The crate performs no input or output and reads no clock: every state machine is handed the
//! current [`ClockTime`](time::ClockTime) and answers with values that the caller acts on. The
//! `cicadalock` daemons are one user of these parts; other programs can embed them alone.
//!
//! # Tour
//!
//! | module | what it is for |
//! |---|---|
//! | [`collect`] | [`SortedMap`](collect::SortedMap), the map used throughout |
//! | [`id`] | names and numbers with their own types |
//! | [`time`] | points in time that are passed in |
//! | [`config`] | the fleet configuration: reading, merging and checking it |
//! | [`revision`] | documents that only move forward |
//! | [`fair`] | fair choice between customers over many sidecars |
//! | [`outcome`] | outcomes, idempotency keys and the ledger of runs |
//! | [`member`] | the host list, home selection and the view lease |
//! | [`serving`] | routes, tokens and endpoints in force |
//! | [`place`] | choice of an endpoint for one request |
//! | [`desk`] | admission at one endpoint |
//! | [`gateway`] | the state machine of a router that calls endpoints itself |
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
pub mod retry;
pub mod revision;
pub mod router;
pub mod serving;
pub mod sidecar;
pub mod time;
