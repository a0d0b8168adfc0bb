//! Reads the platform's documents: the published configuration and the list of hosts.
//!
//! ```
//! use cicadalock_core::revision::DocumentKind;
//! use cicadalock_node::platform::document_path;
//!
//! assert_eq!(document_path(DocumentKind::Hosts), "/v1/hosts");
//! ```

mod client;
mod rank;
mod watcher;

pub use client::{PlatformClient, ReadError, document_path};
pub use rank::is_reader;
pub use watcher::{PlatformWatcher, WatcherBuilder};
