//! Calls of a sidecar's endpoint.
//!
//! `minreq` does not fit here: it takes a cut body for a whole one and holds request bodies and
//! answers back. `hyper`, its nearest kin with these, makes the calls on one thread. See
//! `docs/design/0002-libraries.md`.
//!
//! ```
//! use cicadalock_node::endpoint::window_units;
//!
//! assert_eq!(window_units(1), 1);
//! assert_eq!(window_units(4_096), 4);
//! ```

mod call;
mod meter;
mod order;
mod port;
mod relay;

pub use meter::TokenMeter;
pub use order::{CallOrder, EndpointOrder, WINDOW_UNITS, window_units};
pub use port::{EndpointBuilder, EndpointPort};
