use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cicadalock_core::collect::SortedMap;
use cicadalock_core::id::EndpointId;
use cicadalock_core::message::DeskMessage;
use futures_util::{SinkExt, StreamExt};
use serde_json::json;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio_util::codec::Framed;

use super::shared::GatewayShared;
use crate::desk::{DeskCodec, LINK_TIMEOUTS};

/// Messages that may wait for one desk; a desk that takes none is given up.
const OUTBOX_CAPACITY: usize = 1_024;

/// Longest time to reach a desk and to hear its first word.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);

/// Shortest and longest pause between two attempts to reach a desk.
///
/// The first is below the time in which a restarted process is back.
const DIAL_PAUSES: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(3));

/// Connections to the desks beside endpoints.
#[derive(Debug, Default)]
pub(super) struct DeskLinks {
    links: RefCell<SortedMap<EndpointId, DeskLink>>,
}

#[derive(Debug)]
struct DeskLink {
    address: SocketAddr,
    outbox: Option<mpsc::Sender<DeskMessage>>,
    task: AbortHandle,
}

/// Why a connection to a desk ended.
#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(context(false), display("{source}"))]
    Transport { source: io::Error },
    #[snafu(context(false), display("no answer in time"))]
    TooSlow { source: tokio::time::error::Elapsed },
    #[snafu(display("closed"))]
    Closed,
    #[snafu(display("the endpoint is gone"))]
    Gone,
}

impl DeskLinks {
    /// Keeps a connection to the desk beside each of `endpoints`, and to no other.
    pub(super) fn set_targets(
        &self,
        shared: &Rc<GatewayShared>,
        endpoints: &SortedMap<EndpointId, SocketAddr>,
    ) {
        let mut links = self.links.borrow_mut();
        links.retain(|endpoint, link| {
            let is_kept = endpoints.get(endpoint) == Some(&link.address);
            if !is_kept {
                link.task.abort();
            }
            is_kept
        });
        for (endpoint, address) in endpoints.iter() {
            if links.contains_key(endpoint) {
                continue;
            }
            let keeper = keep_link(Rc::clone(shared), endpoint.clone(), *address);
            let task = tokio::task::spawn_local(keeper).abort_handle();
            let link = DeskLink {
                address: *address,
                outbox: None,
                task,
            };
            links.insert(endpoint.clone(), link);
        }
    }

    /// Sends a message; returns whether the desk takes it.
    pub(super) fn send(&self, endpoint: &EndpointId, message: DeskMessage) -> bool {
        let links = self.links.borrow();
        let outbox = links.get(endpoint).and_then(|link| link.outbox.as_ref());
        outbox.is_some_and(|outbox| outbox.try_send(message).is_ok())
    }

    /// Ends the present connection to a desk; it is dialled again.
    pub(super) fn close(&self, endpoint: &EndpointId) {
        self.set_outbox(endpoint, None);
    }

    /// Ends every connection.
    pub(super) fn end(&self) {
        for link in self.links.borrow().values() {
            link.task.abort();
        }
    }

    fn set_outbox(&self, endpoint: &EndpointId, outbox: Option<mpsc::Sender<DeskMessage>>) {
        if let Some(link) = self.links.borrow_mut().get_mut(endpoint) {
            link.outbox = outbox;
        }
    }
}

/// Dials a desk again whenever its connection ends, until aborted.
async fn keep_link(shared: Rc<GatewayShared>, endpoint: EndpointId, address: SocketAddr) {
    let mut pause = DIAL_PAUSES.0;
    loop {
        let result = converse(&shared, &endpoint, address).await;
        shared.desks.close(&endpoint);
        let was_up = shared.machine.borrow().has_desk(&endpoint);
        shared
            .machine
            .borrow_mut()
            .desk_down(&endpoint, shared.now());
        shared.drive();
        if was_up {
            pause = DIAL_PAUSES.0;
            let problem = result.err().map(|error| error.to_string());
            let fields = json!({"endpoint": endpoint.as_str(), "problem": problem});
            shared.log.write("desk-lost", fields);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(DIAL_PAUSES.1);
    }
}

async fn converse(
    shared: &Rc<GatewayShared>,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> Result<(), LinkError> {
    let connecting = tokio::time::timeout(ANSWER_LIMIT, TcpStream::connect(address));
    let stream = connecting.await??;
    LINK_TIMEOUTS.apply(&stream);
    let mut frames = Framed::new(stream, DeskCodec::new());
    let hello = {
        let host = shared.settings.borrow().host.clone();
        let machine = shared.machine.borrow();
        machine.desk_hello(endpoint, host.as_str(), shared.now())
    };
    let hello = hello.ok_or(LinkError::Gone)?;
    frames.send(DeskMessage::Hello(hello)).await?;
    let first = tokio::time::timeout(ANSWER_LIMIT, frames.next()).await;
    let first = first?.ok_or(LinkError::Closed)??;
    let (outbox, mut ring) = mpsc::channel(OUTBOX_CAPACITY);
    shared.desks.set_outbox(endpoint, Some(outbox));
    shared
        .log
        .write("desk-regained", json!({"endpoint": endpoint.as_str()}));
    shared.receive_desk_message(endpoint, first);
    loop {
        tokio::select! {
            frame = frames.next() => {
                let message = frame.ok_or(LinkError::Closed)??;
                shared.receive_desk_message(endpoint, message);
            }
            message = ring.recv() => {
                frames.feed(message.ok_or(LinkError::Closed)?).await?;
                while let Ok(message) = ring.try_recv() {
                    frames.feed(message).await?;
                }
                frames.flush().await?;
            }
        }
    }
}
