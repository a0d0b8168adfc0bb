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

/// Maximum number of messages that wait for one desk.
///
/// A message beyond it is not sent, and the machine treats the desk as lost.
const OUTBOX_CAPACITY: usize = 1_024;

/// Timeout for connecting to a desk, and again for its first message.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shortest and longest delay between two attempts to connect to a desk.
///
/// The shortest is below the time that a process takes to restart.
const RECONNECT_DELAYS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(3));

/// Connections to the desks, one per endpoint that has a desk.
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

/// Reason why a connection to a desk ended.
#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(context(false), display("{source}"))]
    Transport { source: io::Error },
    #[snafu(context(false), display("no answer from the desk within the timeout"))]
    TimedOut { source: tokio::time::error::Elapsed },
    #[snafu(display("connection closed"))]
    Closed,
    #[snafu(display("the endpoint is no longer listed"))]
    EndpointGone,
}

impl DeskLinks {
    /// Maintains a connection to the desk of each of `endpoints`, and closes all others.
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
            let link_loop = maintain_link(Rc::clone(shared), endpoint.clone(), *address);
            let task = tokio::task::spawn_local(link_loop).abort_handle();
            let link = DeskLink {
                address: *address,
                outbox: None,
                task,
            };
            links.insert(endpoint.clone(), link);
        }
    }

    /// Queues a message for a desk; returns `false` if the desk is not connected or its queue is full.
    pub(super) fn send(&self, endpoint: &EndpointId, message: DeskMessage) -> bool {
        let links = self.links.borrow();
        let outbox = links.get(endpoint).and_then(|link| link.outbox.as_ref());
        outbox.is_some_and(|outbox| outbox.try_send(message).is_ok())
    }

    /// Closes the current connection to a desk; the link's task then reconnects.
    pub(super) fn close(&self, endpoint: &EndpointId) {
        self.set_outbox(endpoint, None);
    }

    /// Closes every connection for good.
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

/// Connects to a desk, and reconnects whenever the connection ends, until aborted.
async fn maintain_link(shared: Rc<GatewayShared>, endpoint: EndpointId, address: SocketAddr) {
    let mut pause = RECONNECT_DELAYS.0;
    loop {
        let result = run_link(&shared, &endpoint, address).await;
        shared.desks.close(&endpoint);
        let was_up = shared.machine.borrow().has_desk(&endpoint);
        shared
            .machine
            .borrow_mut()
            .desk_down(&endpoint, shared.now());
        shared.drive();
        if was_up {
            pause = RECONNECT_DELAYS.0;
            let problem = result.err().map(|error| error.to_string());
            let fields = json!({"endpoint": endpoint.as_str(), "problem": problem});
            shared.log.write("desk-lost", fields);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(RECONNECT_DELAYS.1);
    }
}

/// Opens a connection to a desk and exchanges messages with it until the connection ends.
async fn run_link(
    shared: &Rc<GatewayShared>,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> Result<(), LinkError> {
    let connecting = tokio::time::timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await??;
    LINK_TIMEOUTS.apply(&stream);
    let mut frames = Framed::new(stream, DeskCodec::new());
    let hello = {
        let host = shared.settings.borrow().host.clone();
        let machine = shared.machine.borrow();
        machine.desk_hello(endpoint, host.as_str(), shared.now())
    };
    let hello = hello.ok_or(LinkError::EndpointGone)?;
    frames.send(DeskMessage::Hello(hello)).await?;
    let first = tokio::time::timeout(HANDSHAKE_TIMEOUT, frames.next()).await;
    let first = first?.ok_or(LinkError::Closed)??;
    let (outbox, mut queued) = mpsc::channel(OUTBOX_CAPACITY);
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
            message = queued.recv() => {
                frames.feed(message.ok_or(LinkError::Closed)?).await?;
                while let Ok(message) = queued.try_recv() {
                    frames.feed(message).await?;
                }
                frames.flush().await?;
            }
        }
    }
}
