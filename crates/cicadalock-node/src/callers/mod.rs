//! The callers' HTTP port of a router.
//!
//! `tiny_http` does not fit here: it sets no time limits on reading, does not bound its
//! connections, cannot notice that a caller has left while its request waits, and cannot close a
//! connection in the middle of an answer. `hyper`, its nearest kin with these, serves the port on
//! one thread. See `docs/design/0002-libraries.md`.
//!
//! ```
//! use cicadalock_node::callers::parse_bearer;
//!
//! assert_eq!(parse_bearer("Bearer abc"), Some("abc"));
//! assert_eq!(parse_bearer("Basic abc"), None);
//! ```

mod answer;
mod body;
mod classify;
mod drained_connection;
mod handler;
mod port;
mod problem;

pub(crate) use body::{BodyFault, read_body};
pub use classify::parse_bearer;
pub(crate) use drained_connection::serve_until_drained;
pub use port::{CallerPort, PortBuilder};
