//! HTTP server of a router for callers' requests.
//!
//! The server is built on `hyper` and runs on one thread. `tiny_http` is not suitable: it has no
//! read timeouts and no limit on connections, it cannot detect that a caller disconnected while
//! its request waits, and it cannot close a connection in the middle of a response. `hyper` is the
//! closest alternative that supports all of these. See `docs/design/0002-libraries.md`.
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

pub(crate) use body::{BodyError, read_body};
pub use classify::parse_bearer;
pub use port::{CallerPort, PortBuilder};
