//! Routers and sidecars that share model and application endpoints fairly between customers.
//!
//! This crate re-exports the state machines and data types ([`core`]) and the daemons that run them
//! ([`node`]). To embed the state machines in another program, depend on `cicadalock-core` alone.
//!
//! ```
//! use cicadalock::core::retry::RetryBudget;
//!
//! let budget = RetryBudget::builder().reserve(3).build();
//! assert!(budget.clone().try_spend());
//! ```

pub use cicadalock_core as core;
pub use cicadalock_node as node;
