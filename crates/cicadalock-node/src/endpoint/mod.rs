//! HTTP client with which a sidecar calls its endpoint.
//!
//! The client is built on `hyper` and runs on one thread. `minreq` is not suitable: it accepts a
//! truncated body as a complete one, and it buffers request bodies and answers. `hyper` is the
//! closest alternative without these faults. See `docs/design/0002-libraries.md`.
//!
//! ```
//! use cicadalock_node::endpoint::window_units;
//!
//! assert_eq!(window_units(1), 1);
//! assert_eq!(window_units(4_096), 4);
//! ```

mod call;
mod command;
mod meter;
mod port;
mod relay;

pub use command::{CallCommand, EndpointCommand, WINDOW_UNITS, window_units};
pub use meter::TokenMeter;
pub use port::{EndpointBuilder, EndpointPort};
