//! Weighted fair scheduling of customers across all sidecars of a service.
//!
//! [`GrantScheduler`] picks the customer whose request runs next at one endpoint. It includes the
//! work that the other sidecars of the service report, so that the service received divided by the
//! share grows equally for every backlogged customer over the whole fleet.
//!
//! ```
//! use cicadalock_core::fair::GrantScheduler;
//! use cicadalock_core::id::{CustomerId, KindId, LinkId};
//! use cicadalock_core::time::ClockTime;
//!
//! let (small, large, kind) = (CustomerId::new(1), CustomerId::new(2), KindId::new(1));
//! let mut scheduler =
//!     GrantScheduler::builder().customer(small, 1).customer(large, 1).kind(kind, 1, 10).build();
//! let now = ClockTime::default();
//! scheduler.set_bid(LinkId::new(1), large, kind, 1_000, now);
//! scheduler.set_bid(LinkId::new(2), small, kind, 2, now);
//! let picks: Vec<_> = (0..4).filter_map(|_| scheduler.pick(now)).map(|pick| pick.customer).collect();
//! assert_eq!(picks.iter().filter(|customer| **customer == small).count(), 2);
//! ```

mod bids;
mod builder;
mod estimates;
mod merge;
mod peers;
mod scheduler;

pub use bids::BidBook;
pub use builder::SchedulerBuilder;
pub use estimates::CostEstimates;
pub use peers::{PeerReport, PeerTotals, TotalEntry};
pub use scheduler::{GrantScheduler, SchedulerPick};
