//! The thread that owns a state machine and everything that is decided.
//!
//! Other threads put their inputs into the hub's bounded ring; the hub carries out what the
//! machine answers. [`HubLoop`] holds what routers and sidecars share: connections, documents and
//! the planned stop.
//!
//! ```
//! use cicadalock_core::id::Revision;
//! use cicadalock_core::revision::{Document, DocumentKind};
//! use cicadalock_node::hub::DocumentKeeper;
//!
//! let mut keeper = DocumentKeeper::new("fyn");
//! let bad = Document::new(DocumentKind::Hosts, Revision::new(3), "rubbish".into());
//! assert!(keeper.offer(bad).is_none());
//! assert_eq!(keeper.revision(DocumentKind::Hosts), Revision::default());
//! ```

mod documents;
mod hub_loop;
mod input;
mod link_table;
mod router_role;
mod sidecar_role;

pub use documents::{AcceptedDocument, DocumentKeeper};
pub use hub_loop::{HubBuilder, HubLoop, HubRole};
pub use input::HubInput;
pub use link_table::LinkTable;
pub use router_role::{RouterInput, RouterRole};
pub use sidecar_role::{SidecarInput, SidecarRole};
