use super::{Document, DocumentKind};
use crate::collect::SortedMap;
use crate::id::Revision;

/// The newest document of each kind that this process has received.
#[derive(Debug, Clone, Default)]
pub struct DocumentStore {
    newest: SortedMap<DocumentKind, Document>,
}

impl DocumentStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores `document` if it is newer than the stored one of its kind; returns whether it was.
    pub fn offer(&mut self, document: Document) -> bool {
        if document.revision <= self.revision(document.kind) {
            return false;
        }
        self.newest.insert(document.kind, document);
        true
    }

    /// Returns the newest document of `kind`; `None` before the first.
    #[must_use]
    pub fn get(&self, kind: DocumentKind) -> Option<&Document> {
        self.newest.get(&kind)
    }

    /// Returns the revision of the newest document of `kind`; zero before the first.
    #[must_use]
    pub fn revision(&self, kind: DocumentKind) -> Revision {
        self.get(kind)
            .map_or(Revision::default(), |document| document.revision)
    }
}
