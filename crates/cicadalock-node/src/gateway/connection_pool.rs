use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cicadalock_core::collect::SortedMap;
use cicadalock_core::id::EndpointId;
use cicadalock_core::time::ClockTime;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::process::SocketTimeouts;

/// Longest time to reach an endpoint; the ways within a region take a few milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// An endpoint that is gone is noticed within a second of sending to it, or three of waiting.
const ENDPOINT_TIMES: SocketTimeouts = SocketTimeouts {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    retries: 2,
    user_timeout: Duration::from_secs(1),
};

/// Longest time for which an idle connection is kept, if the endpoint tells none.
const IDLE_LIMIT: Duration = Duration::from_secs(8);

/// Longest idle time of a connection on which a request is sent that must not run twice.
///
/// An endpoint may have dropped an idle connection; a request that is lost with it cannot be
/// repeated.
const FRESH_LIMIT: Duration = Duration::from_millis(800);

/// Connections kept idle for one endpoint.
const KEPT_LIMIT: usize = 48;

/// Connections to endpoints that wait for their next request.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    kept: RefCell<SortedMap<EndpointId, Vec<KeptConnection>>>,
}

#[derive(Debug)]
struct KeptConnection {
    connection: EndpointConnection,
    since: ClockTime,
    until: ClockTime,
}

/// A connection to an endpoint; its driver ends with it.
#[derive(Debug)]
pub(super) struct EndpointConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) is_reused: bool,
    _driver: DriverHandle,
}

#[derive(Debug)]
struct DriverHandle(AbortHandle);

impl Drop for DriverHandle {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ConnectionPool {
    /// Takes the connection that was used last, if there is a usable one.
    pub(super) fn take(
        &self,
        endpoint: &EndpointId,
        may_repeat: bool,
        now: ClockTime,
    ) -> Option<EndpointConnection> {
        let mut kept = self.kept.borrow_mut();
        let list = kept.get_mut(endpoint)?;
        while let Some(entry) = list.pop() {
            let is_fresh = may_repeat || now.since(entry.since) <= FRESH_LIMIT;
            if entry.connection.sender.is_ready() && now < entry.until && is_fresh {
                let mut connection = entry.connection;
                connection.is_reused = true;
                return Some(connection);
            }
            if !is_fresh && now < entry.until {
                // Older ones lie below; they may serve requests that may be repeated.
                list.push(entry);
                return None;
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn keep(
        &self,
        endpoint: &EndpointId,
        connection: EndpointConnection,
        headers: &HeaderMap,
        now: ClockTime,
    ) {
        let Some(idle) = idle_limit(headers) else {
            return;
        };
        let mut kept = self.kept.borrow_mut();
        let list = kept.get_or_insert_with(endpoint.clone(), Vec::new);
        if list.len() >= KEPT_LIMIT {
            list.remove(0);
        }
        list.push(KeptConnection {
            connection,
            since: now,
            until: now + idle,
        });
    }

    /// Ends idle connections whose time is over or whose endpoint is not listed.
    pub(super) fn sweep(&self, now: ClockTime, is_listed: impl Fn(&EndpointId) -> bool) {
        self.kept.borrow_mut().retain(|endpoint, list| {
            list.retain(|entry| now < entry.until && !entry.connection.sender.is_closed());
            !list.is_empty() && is_listed(endpoint)
        });
    }
}

/// Opens a connection; none if the endpoint is not reached in time.
pub(super) async fn connect(address: SocketAddr) -> Result<EndpointConnection, String> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_LIMIT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err("connection not established in time".to_owned()),
    };
    prepare(&stream);
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(|error| error.to_string())?;
    let driver = tokio::task::spawn_local(async move {
        // The error reaches whoever waits for the answer.
        let _ = connection.await;
    });
    Ok(EndpointConnection {
        sender,
        is_reused: false,
        _driver: DriverHandle(driver.abort_handle()),
    })
}

fn prepare(stream: &TcpStream) {
    ENDPOINT_TIMES.apply(stream);
    // A connection that is given up takes back what the kernel has not delivered: a request must
    // not reach an endpoint after its caller has left. Without the option it may.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// How long the endpoint keeps an idle connection; none if it closes it.
fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
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
    let told = text("keep-alive").and_then(|value| {
        let parameter = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        parameter.parse::<u64>().ok()
    });
    // A second less than told: the request must arrive before the endpoint closes.
    let told =
        told.map(|seconds| Duration::from_secs(seconds).saturating_sub(Duration::from_secs(1)));
    Some(told.map_or(IDLE_LIMIT, |told| told.min(IDLE_LIMIT)))
}
