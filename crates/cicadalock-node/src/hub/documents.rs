use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::config::{ConfigRelease, FleetConfig};
use cicadalock_core::id::Revision;
use cicadalock_core::member::HostList;
use cicadalock_core::revision::{Document, DocumentKind, DocumentStore};
use cicadalock_core::time::ClockTime;

/// Minimum time between two fetches of the same revision.
const REFETCH_INTERVAL: Duration = Duration::from_millis(300);

/// Validates published documents and holds the ones in force and the last rejected ones.
#[derive(Debug)]
pub struct DocumentRegistry {
    site: String,
    store: DocumentStore,
    rejected: SortedMap<DocumentKind, RejectedDocument>,
    /// Revision and time of the last fetch from a peer.
    last_fetch: SortedMap<DocumentKind, (Revision, ClockTime)>,
}

#[derive(Debug, Clone)]
struct RejectedDocument {
    revision: Revision,
    findings: Vec<String>,
}

/// A validated document that is now in force.
#[derive(Debug)]
pub enum AcceptedDocument {
    /// The configuration of this process's site.
    Config(Arc<FleetConfig>),
    /// The host list and its revision.
    Hosts(HostList, Revision),
}

impl DocumentRegistry {
    /// Creates an empty registry; configurations are resolved for `site`.
    #[must_use]
    pub fn new(site: &str) -> Self {
        Self {
            site: site.to_owned(),
            store: DocumentStore::new(),
            rejected: SortedMap::new(),
            last_fetch: SortedMap::new(),
        }
    }

    /// Puts `document` into force if it is newer than the current one and has no findings.
    ///
    /// A newer document with findings is recorded as rejected. Returns `None` unless the document
    /// is now in force.
    pub fn offer(&mut self, document: Document) -> Option<AcceptedDocument> {
        if document.revision <= self.revision(document.kind) {
            return None;
        }
        match self.parse_document(&document) {
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

    /// Returns the revision in force; the default revision before the first document.
    #[must_use]
    pub fn revision(&self, kind: DocumentKind) -> Revision {
        self.store.revision(kind)
    }

    /// Returns the document in force; `None` before the first.
    #[must_use]
    pub fn get(&self, kind: DocumentKind) -> Option<&Document> {
        self.store.get(kind)
    }

    /// Returns the revision and the findings of the last rejected document; `None` if none was.
    #[must_use]
    pub fn rejected(&self, kind: DocumentKind) -> Option<(Revision, &[String])> {
        let rejected = self.rejected.get(&kind)?;
        Some((rejected.revision, &rejected.findings))
    }

    /// Returns whether to fetch `revision` from a peer now, and records the fetch if so.
    ///
    /// A revision newer than the last fetch is fetched at once, any other only after a pause.
    pub fn should_fetch(&mut self, kind: DocumentKind, revision: u64, now: ClockTime) -> bool {
        if Revision::new(revision) <= self.revision(kind) {
            return false;
        }
        let is_recently_fetched = self.last_fetch.get(&kind).is_some_and(|(fetched, at)| {
            Revision::new(revision) <= *fetched && now.since(*at) < REFETCH_INTERVAL
        });
        if !is_recently_fetched {
            self.last_fetch.insert(kind, (Revision::new(revision), now));
        }
        !is_recently_fetched
    }

    fn parse_document(&self, document: &Document) -> Result<AcceptedDocument, Vec<String>> {
        match document.kind {
            DocumentKind::Config => {
                let release =
                    ConfigRelease::parse(&document.text).map_err(|error| single_finding(&error))?;
                let config = release.config_for(&self.site).map_err(|findings| {
                    findings.iter().map(ToString::to_string).collect::<Vec<_>>()
                })?;
                Ok(AcceptedDocument::Config(Arc::new(config)))
            }
            DocumentKind::Hosts => {
                let hosts =
                    HostList::parse(&document.text).map_err(|error| single_finding(&error))?;
                Ok(AcceptedDocument::Hosts(hosts, document.revision))
            }
        }
    }
}

fn single_finding(error: &impl ToString) -> Vec<String> {
    vec![error.to_string()]
}
