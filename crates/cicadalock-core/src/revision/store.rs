use super::{Document, DocumentKind};
use crate::collect::SortedMap;
use crate::id::Revision;

/// The newest document of each kind that a process has heard of.
#[derive(Debug, Clone, Default)]
pub struct DocumentStore {
    newest: SortedMap<DocumentKind, Document>,
}

impl DocumentStore {
    /// Creates a store without documents.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps `document` if it is newer than what is held; returns whether it was.
    pub fn offer(&mut self, document: Document) -> bool {
        if document.revision <= self.revision(document.kind) {
            return false;
        }
        self.newest.insert(document.kind, document);
        true
    }

    /// The newest document of `kind`.
    #[must_use]
    pub fn get(&self, kind: DocumentKind) -> Option<&Document> {
        self.newest.get(&kind)
    }

    /// Number of the newest document of `kind`; zero before the first.
    #[must_use]
    pub fn revision(&self, kind: DocumentKind) -> Revision {
        self.get(kind)
            .map_or(Revision::default(), |document| document.revision)
    }
}
