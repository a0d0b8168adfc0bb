use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::config::{ConfigRelease, FleetConfig};
use cicadalock_core::id::Revision;
use cicadalock_core::member::HostList;
use cicadalock_core::revision::{Document, DocumentKind, DocumentStore};
use cicadalock_core::time::ClockTime;

/// A revision that was asked for is not asked for again within this time.
const FETCH_PAUSE: Duration = Duration::from_millis(300);

/// The documents in force, and the last ones that were rejected.
#[derive(Debug)]
pub struct DocumentKeeper {
    site: String,
    store: DocumentStore,
    rejected: SortedMap<DocumentKind, RejectedDocument>,
    /// Newest revision that was asked for, and when.
    asked: SortedMap<DocumentKind, (Revision, ClockTime)>,
}

#[derive(Debug, Clone)]
struct RejectedDocument {
    revision: Revision,
    findings: Vec<String>,
}

/// A document that was taken into force.
#[derive(Debug)]
pub enum AcceptedDocument {
    /// A configuration.
    Config(Arc<FleetConfig>),
    /// A host list with its revision.
    Hosts(HostList, Revision),
}

impl DocumentKeeper {
    /// Creates a keeper for processes of `site`.
    #[must_use]
    pub fn new(site: &str) -> Self {
        Self {
            site: site.to_owned(),
            store: DocumentStore::new(),
            rejected: SortedMap::new(),
            asked: SortedMap::new(),
        }
    }

    /// Takes a document into force if it is newer and without findings.
    pub fn offer(&mut self, document: Document) -> Option<AcceptedDocument> {
        if document.revision <= self.revision(document.kind) {
            return None;
        }
        match self.read(&document) {
            Ok(accepted) => {
                self.store.offer(document);
                Some(accepted)
            }
            Err(findings) => {
                let revision = document.revision;
                self.rejected
                    .insert(document.kind, RejectedDocument { revision, findings });
                None
            }
        }
    }

    /// Revision in force.
    #[must_use]
    pub fn revision(&self, kind: DocumentKind) -> Revision {
        self.store.revision(kind)
    }

    /// Document in force.
    #[must_use]
    pub fn get(&self, kind: DocumentKind) -> Option<&Document> {
        self.store.get(kind)
    }

    /// Revision and findings of the last rejected document.
    #[must_use]
    pub fn rejected(&self, kind: DocumentKind) -> Option<(Revision, &[String])> {
        let rejected = self.rejected.get(&kind)?;
        Some((rejected.revision, &rejected.findings))
    }

    /// Tells whether a peer with `revision` is to be asked for its document now.
    pub fn wants(&mut self, kind: DocumentKind, revision: u64, now: ClockTime) -> bool {
        if Revision::new(revision) <= self.revision(kind) {
            return false;
        }
        let is_asked = self.asked.get(&kind).is_some_and(|(asked, at)| {
            Revision::new(revision) <= *asked && now.since(*at) < FETCH_PAUSE
        });
        if !is_asked {
            self.asked.insert(kind, (Revision::new(revision), now));
        }
        !is_asked
    }

    fn read(&self, document: &Document) -> Result<AcceptedDocument, Vec<String>> {
        match document.kind {
            DocumentKind::Config => {
                let release = ConfigRelease::parse(&document.text).map_err(|error| one(&error))?;
                let config = release.config_for(&self.site).map_err(|findings| {
                    findings.iter().map(ToString::to_string).collect::<Vec<_>>()
                })?;
                Ok(AcceptedDocument::Config(Arc::new(config)))
            }
            DocumentKind::Hosts => {
                let hosts = HostList::parse(&document.text).map_err(|error| one(&error))?;
                Ok(AcceptedDocument::Hosts(hosts, document.revision))
            }
        }
    }
}

fn one(error: &impl ToString) -> Vec<String> {
    vec![error.to_string()]
}
