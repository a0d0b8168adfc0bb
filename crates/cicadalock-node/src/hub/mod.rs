//! The event loop that owns the state machine of a router or sidecar and makes its decisions.
//!
//! Other threads send their inputs through the hub's bounded channel; the hub feeds them to the
//! state machine and runs the actions that it returns. [`HubLoop`] holds what routers and sidecars
//! share: connections, documents and the graceful stop.
//!
//! ```
//! use cicadalock_core::id::Revision;
//! use cicadalock_core::revision::{Document, DocumentKind};
//! use cicadalock_node::hub::DocumentRegistry;
//!
//! let mut registry = DocumentRegistry::new("fyn");
//! let invalid = Document::new(DocumentKind::Hosts, Revision::new(3), "rubbish".into());
//! assert!(registry.offer(invalid).is_none());
//! assert_eq!(registry.revision(DocumentKind::Hosts), Revision::default());
//! ```

mod documents;
mod hub_loop;
mod input;
mod link_table;
mod router_role;
mod sidecar_role;

pub use documents::{AcceptedDocument, DocumentRegistry};
pub use hub_loop::{HubBuilder, HubLoop, HubRole};
pub use input::HubInput;
pub use link_table::LinkTable;
pub use router_role::{RouterInput, RouterRole};
pub use sidecar_role::{SidecarInput, SidecarRole};
