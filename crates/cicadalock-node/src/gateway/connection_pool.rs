use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cicadalock_core::collect::SortedMap;
use cicadalock_core::id::EndpointId;
use cicadalock_core::time::ClockTime;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::head_gate::{GatedStream, HeadGate, MAX_HEAD_BYTES};
use crate::process::SocketTimeouts;

/// Timeout for connecting to an endpoint; round trips within a region take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Detects a dead endpoint within one second after sending to it, or three seconds while waiting for
/// its answer.
const ENDPOINT_TIMEOUTS: SocketTimeouts = SocketTimeouts {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    retries: 2,
    user_timeout: Duration::from_secs(1),
};

/// Largest body that a receiver's kernel takes in whole before the endpoint reads it.
///
/// An endpoint that reads a larger one late closes its window meanwhile. The kernel ends a connection whose
/// window stays closed for the user timeout, also if the endpoint is sound.
const MAX_WINDOW_BYTES: u64 = 64 * 1024;

/// Maximum time for which an idle connection is kept; an endpoint may announce a shorter one.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// Maximum idle time of a connection that is reused for a request that must not run twice.
///
/// An endpoint may have dropped an idle connection; a request that is lost with it cannot be
/// retried.
const MAX_IDLE_TIME_NO_RETRY: Duration = Duration::from_millis(800);

/// Minimum idle time of a connection that is reused for a request that must not run twice.
///
/// Bytes after a complete answer belong to no request. They would be taken for the answer to the next
/// request if they arrived after it was sent; the wait is far longer than a round trip within a region.
const MIN_IDLE_TIME_NO_RETRY: Duration = Duration::from_millis(50);

/// Maximum number of idle connections per endpoint.
const MAX_IDLE_CONNECTIONS: usize = 48;

/// Idle connections to endpoints, kept for reuse.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    kept: RefCell<SortedMap<EndpointId, Vec<IdleConnection>>>,
    /// Addresses of the listed endpoints.
    addresses: RefCell<SortedMap<EndpointId, SocketAddr>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: EndpointConnection,
    idle_since: ClockTime,
    expires_at: ClockTime,
}

/// A connection to an endpoint; dropping it aborts the task that drives it.
#[derive(Debug)]
pub(super) struct EndpointConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    pub(super) is_reused: bool,
    gate: Rc<HeadGate>,
    user_timeout: Duration,
    _driver: DriverHandle,
}

#[derive(Debug)]
struct DriverHandle(AbortHandle);

impl EndpointConnection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// Endless bytes in place of a head are not read, so that this waits until the caller gives up. A long
    /// body may stay unread for `time_left`.
    pub(super) async fn send(
        &mut self,
        message: Request<Full<Bytes>>,
        time_left: Duration,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let size = message.body().size_hint().exact().unwrap_or_default();
        let shortest = ENDPOINT_TIMEOUTS.user_timeout;
        let user_timeout = if size > MAX_WINDOW_BYTES {
            shortest.max(time_left)
        } else {
            shortest
        };
        if user_timeout != self.user_timeout {
            self.user_timeout = user_timeout;
            self.gate.set_user_timeout(user_timeout);
        }
        self.gate.expect_head();
        let response = self.sender.try_send_request(message).await?;
        self.gate.lift();
        Ok(response)
    }
}

impl IdleConnection {
    /// Returns whether the connection may serve a request that must not run twice.
    fn is_settled(&self, now: ClockTime) -> bool {
        let idle = now.since(self.idle_since);
        (MIN_IDLE_TIME_NO_RETRY..=MAX_IDLE_TIME_NO_RETRY).contains(&idle)
    }
}

impl Drop for DriverHandle {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ConnectionPool {
    /// Takes the most recently used connection to an endpoint, if a usable one exists.
    ///
    /// A request that may not be retried gets a connection only if it was idle long enough for further
    /// bytes to show, and short enough for the endpoint not to have dropped it.
    pub(super) fn take(
        &self,
        endpoint: &EndpointId,
        may_retry: bool,
        now: ClockTime,
    ) -> Option<EndpointConnection> {
        let mut kept = self.kept.borrow_mut();
        let list = kept.get_mut(endpoint)?;
        list.retain(|entry| entry.connection.sender.is_ready() && now < entry.expires_at);
        let position = list
            .iter()
            .rposition(|entry| may_retry || entry.is_settled(now))?;
        let mut connection = list.remove(position).connection;
        connection.is_reused = true;
        Some(connection)
    }

    /// Returns a connection to the pool after its answer was read to the end.
    ///
    /// Drops the longest idle connection of the endpoint if the pool is full, and the given one if
    /// `headers` announce that the endpoint closes it, or if the endpoint has another address now.
    pub(super) fn put(
        &self,
        endpoint: &EndpointId,
        connection: EndpointConnection,
        headers: &HeaderMap,
        now: ClockTime,
    ) {
        let Some(idle) = idle_timeout(headers) else {
            return;
        };
        let listed = self.addresses.borrow().get(endpoint).copied();
        if listed.is_some_and(|address| address != connection.address) {
            return;
        }
        let mut kept = self.kept.borrow_mut();
        let list = kept.get_or_insert_with(endpoint.clone(), Vec::new);
        if list.len() >= MAX_IDLE_CONNECTIONS {
            list.remove(0);
        }
        list.push(IdleConnection {
            connection,
            idle_since: now,
            expires_at: now + idle,
        });
    }

    /// Sets the addresses of the listed endpoints, and closes idle connections that have expired or lead
    /// elsewhere.
    pub(super) fn sweep(&self, now: ClockTime, addresses: SortedMap<EndpointId, SocketAddr>) {
        self.kept.borrow_mut().retain(|endpoint, list| {
            let address = addresses.get(endpoint);
            list.retain(|entry| {
                let connection = &entry.connection;
                now < entry.expires_at
                    && !connection.sender.is_closed()
                    && address == Some(&connection.address)
            });
            !list.is_empty()
        });
        *self.addresses.borrow_mut() = addresses;
    }
}

/// Opens a connection to an endpoint.
///
/// The error tells why the endpoint was not reached within [`CONNECT_TIMEOUT`].
pub(super) async fn connect(address: SocketAddr) -> Result<EndpointConnection, String> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err("connection not established in time".to_owned()),
    };
    set_socket_options(&stream);
    let gate = HeadGate::new();
    let stream = GatedStream::new(stream, Rc::clone(&gate));
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(|error| error.to_string())?;
    let driver = tokio::task::spawn_local(async move {
        // The sender reports the error to the task that waits for the answer.
        let _ = connection.await;
    });
    Ok(EndpointConnection {
        sender,
        address,
        is_reused: false,
        gate,
        user_timeout: ENDPOINT_TIMEOUTS.user_timeout,
        _driver: DriverHandle(driver.abort_handle()),
    })
}

fn set_socket_options(stream: &TcpStream) {
    ENDPOINT_TIMEOUTS.apply(stream);
    // With a zero linger time, closing the connection discards bytes that the kernel has not
    // delivered. Otherwise a request could reach an endpoint after its caller has disconnected.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Returns how long the connection may stay idle, or `None` if the endpoint closes it.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| {
        headers
            .get(name)
            .and_then(|value: &hyper::header::HeaderValue| value.to_str().ok())
    };
    let closes = text(hyper::header::CONNECTION.as_str())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let advertised = text("keep-alive").and_then(|value| {
        let parameter = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        parameter.parse::<u64>().ok()
    });
    // One second less than announced, so that a request arrives before the endpoint closes.
    let advertised = advertised
        .map(|seconds| Duration::from_secs(seconds).saturating_sub(Duration::from_secs(1)));
    Some(advertised.map_or(MAX_IDLE_TIME, |advertised| advertised.min(MAX_IDLE_TIME)))
}
