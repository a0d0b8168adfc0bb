use cicadalock_core::revision::Document;
use serde_json::Value;

use crate::links::LinkEvent;

/// What reaches a hub through its ring.
#[derive(Debug)]
pub enum HubInput<R> {
    /// Something happened on a connection.
    Link(LinkEvent),
    /// The platform has a document.
    Document(Document),
    /// Something for the role of the process.
    Role(R),
    /// Somebody asks what the process believes.
    Status(flume::Sender<Value>),
    /// The process is to stop.
    Stop,
}

impl<R> From<LinkEvent> for HubInput<R> {
    fn from(event: LinkEvent) -> Self {
        Self::Link(event)
    }
}

impl<R> From<Document> for HubInput<R> {
    fn from(document: Document) -> Self {
        Self::Document(document)
    }
}
