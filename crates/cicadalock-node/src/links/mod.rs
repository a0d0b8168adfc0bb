//! Connections to the other processes of the fleet.
//!
//! One thread runs every connection. It tells the hub of connections and frames through the hub's
//! ring, and takes frames for each connection from a bounded ring of its own.
//!
//! ```
//! use cicadalock_core::message::Hello;
//! use cicadalock_node::links::LinkIdentity;
//!
//! let identity = LinkIdentity::new(Hello { host: "entry-1".into(), ..Hello::default() });
//! assert_ne!(identity.hello().nonce, identity.hello().nonce);
//! ```

mod connection;
mod event;
mod identity;
mod service;

pub use event::LinkEvent;
pub use identity::LinkIdentity;
pub use service::{LinkService, LinkServiceBuilder};
