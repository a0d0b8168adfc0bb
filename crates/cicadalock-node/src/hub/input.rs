use cicadalock_core::revision::Document;
use serde_json::Value;

use crate::links::LinkEvent;

/// An input of the hub's event loop.
#[derive(Debug)]
pub enum HubInput<R> {
    /// Event of a connection to another process.
    Link(LinkEvent),
    /// Document read from the platform.
    Document(Document),
    /// Role-specific input.
    Role(R),
    /// Request for the status report, which is sent to the given channel.
    Status(flume::Sender<Value>),
    /// Request for a graceful stop.
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
