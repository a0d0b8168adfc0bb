//! Connections to the other processes of the fleet.
//!
//! One thread runs all connections. It reports connections and received frames through the hub's
//! input channel, and reads the messages to send from a bounded queue per connection.
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
