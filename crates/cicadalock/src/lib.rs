//! Routers and sidecars that share model and application endpoints fairly between customers.
//!
//! This crate re-exports the coordination parts ([`core`]) and the daemons round them ([`node`]).
//! To embed the parts in a program of your own, depend on `cicadalock-core` alone.
//!
//! ```
//! use cicadalock::core::retry::RetryBudget;
//!
//! let budget = RetryBudget::builder().reserve(3).build();
//! assert!(budget.clone().try_spend());
//! ```

pub use cicadalock_core as core;
pub use cicadalock_node as node;
