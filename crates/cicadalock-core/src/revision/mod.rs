//! Published documents with monotonically increasing revisions.
//!
//! A [`DocumentStore`] holds the newest revision of each published document that this process has
//! received from the platform or from a peer, and rejects older ones.
//!
//! ```
//! use cicadalock_core::id::Revision;
//! use cicadalock_core::revision::{Document, DocumentKind, DocumentStore};
//!
//! let mut store = DocumentStore::new();
//! let newer = Document::new(DocumentKind::Config, Revision::new(5), "five".into());
//! let older = Document::new(DocumentKind::Config, Revision::new(4), "four".into());
//! assert!(store.offer(newer));
//! assert!(!store.offer(older));
//! assert_eq!(store.revision(DocumentKind::Config), Revision::new(5));
//! ```

mod document;
mod store;

pub use document::{Document, DocumentKind};
pub use store::DocumentStore;
