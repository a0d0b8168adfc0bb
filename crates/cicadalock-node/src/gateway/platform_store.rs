use std::time::Duration;

use cicadalock_core::id::{EndpointId, Revision};
use cicadalock_core::serving::{ListedEndpoint, RouteFinding, ServingConfig};
use snafu::Snafu;

use crate::fetch::FetchError;

/// Reads of the platform's store.
pub trait PlatformStore: Send + 'static {
    /// Reads a page of all documents, those after a key.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no whole answer.
    fn page(&self, after: Option<&str>) -> Result<StorePage, StoreError>;

    /// Waits for changes after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no whole answer or no longer has the history.
    fn changes(&self, after: Revision, wait: Duration) -> Result<StoreChanges, StoreError>;
}

/// What one document says.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreDocument {
    /// A configuration, or every fault found in it.
    Config(Box<Result<ServingConfig, Vec<RouteFinding>>>),
    /// An endpoint, or why the entry names none.
    Endpoint(EndpointId, Result<ListedEndpoint, String>),
    /// Something else.
    Other,
}

/// A page of documents.
#[derive(Debug, Clone, PartialEq)]
pub struct StorePage {
    /// The documents.
    pub documents: Vec<StoreDocument>,
    /// Key after which the next page begins; none on the last page.
    pub next: Option<String>,
    /// Revision of the store when it answered.
    pub revision: Revision,
}

/// A document that was written or removed.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreChange {
    /// It was written.
    Written(StoreDocument),
    /// The entry of an endpoint was removed.
    EndpointRemoved(EndpointId),
    /// Something else was removed.
    OtherRemoved,
}

/// Changes in order.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreChanges {
    /// The changes.
    pub changes: Vec<StoreChange>,
    /// Revision up to which they reach.
    pub revision: Revision,
}

/// Why a read of the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// There is no whole answer.
    #[snafu(display("{source}"))]
    Unreachable {
        /// Cause.
        source: FetchError,
    },
    /// The store refused; nothing was read.
    #[snafu(display("the store answers with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The changes asked for are no longer kept.
    #[snafu(display("the store no longer keeps this history"))]
    HistoryGone,
    /// The answer cannot be read.
    #[snafu(display("cannot read the store's answer: {problem}"))]
    Unreadable {
        /// What is wrong.
        problem: String,
    },
}
