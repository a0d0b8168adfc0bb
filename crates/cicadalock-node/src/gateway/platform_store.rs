use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::id::{EndpointId, Revision, StoreEra};
use cicadalock_core::serving::{ListedEndpoint, RouteFinding, ServingConfig};
use snafu::Snafu;

use crate::fetch::FetchError;

/// Read access to the platform's store.
pub trait PlatformStore: Send + 'static {
    /// Reads one page of documents, beginning after the key `after`, or the first page.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or refuses, or its answer is incomplete or unreadable.
    fn page(&self, after: Option<&str>) -> Result<StorePage, StoreError>;

    /// Waits up to `wait` for changes after the revision `after`.
    ///
    /// Without any, the list of changes is empty.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::page`], and with [`StoreError::HistoryGone`] if the store has discarded
    /// changes after the revision.
    fn changes(&self, after: Revision, wait: Duration) -> Result<StoreChanges, StoreError>;
}

/// A decoded document of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreDocument {
    /// A configuration, or all findings if it is invalid.
    Config(Box<Result<ServingConfig, Vec<RouteFinding>>>),
    /// An endpoint, or the reason why its entry is unusable.
    Endpoint(EndpointId, Result<ListedEndpoint, String>),
    /// A document that gateways do not use.
    Other,
}

/// One page of the store's documents.
#[derive(Debug, Clone, PartialEq)]
pub struct StorePage {
    /// Documents of the page, including those that gateways do not use.
    pub documents: Vec<StoreDocument>,
    /// Key after which the next page begins; `None` on the last page.
    pub next: Option<String>,
    /// Revision of the store when it answered.
    pub revision: Revision,
    /// Era of the store when it answered, or the reason why it is unknown.
    pub era: Result<StoreEra, EraError>,
}

/// A change of one document.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreChange {
    /// A document was created or updated.
    Written(StoreDocument),
    /// The entry of an endpoint was removed.
    EndpointRemoved(EndpointId),
    /// A document other than an endpoint's entry was removed.
    OtherRemoved,
}

/// Changes after a revision, in the order in which they were made.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreChanges {
    /// Empty if nothing changed while the store waited.
    pub changes: Vec<StoreChange>,
    /// Revision up to which the changes are complete.
    pub revision: Revision,
    /// Era of the store when it answered, or the reason why it is unknown.
    pub era: Result<StoreEra, EraError>,
}

/// Reason why an answer does not tell the era of the store.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum EraError {
    /// The answer names no era.
    #[snafu(display("the store's answer names no era"))]
    Missing,
    /// What the answer names is not a number.
    #[snafu(display("the era that the store names is not a number: `{text}`"))]
    NotNumber {
        /// Beginning of what the answer names.
        text: Arc<str>,
    },
}

/// Reason why a read of the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store could not be reached, or its answer is incomplete or late.
    #[snafu(display("{source}"))]
    Unreachable {
        /// Failure of the HTTP request.
        source: FetchError,
    },
    /// The store answered with an error status; nothing was read.
    #[snafu(display("the store answered with status {status}"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The store has discarded changes after the revision; everything must be read again.
    #[snafu(display("the store no longer has the changes after this revision"))]
    HistoryGone,
    /// The store came back from an older copy each time while its pages were read.
    #[snafu(display("the store came back from an older copy while its pages were read"))]
    ListingChanged,
    /// The answer could not be decoded.
    #[snafu(display("cannot decode the store's answer: {problem}"))]
    Unreadable {
        /// Description of the decoding error.
        problem: String,
    },
}
