use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::caller_activity::{CallerActivity, TrackedBody};
use super::caller_connection::serve_until_closed;
use super::caller_stream::CallerStream;
use super::dialect::GatewayDialect;
use super::serve::{UnreadBody, refuse_connection, serve};
use super::shared::GatewayShared;
use crate::process::SocketTimeouts;

/// File descriptors reserved for files, listeners and the runtime.
const RESERVED_DESCRIPTORS: usize = 256;

/// Fraction of the remaining descriptors for callers' connections; the rest is for connections to
/// endpoints.
const CALLER_FRACTION: f64 = 0.6;

/// Fraction of the limit on callers' connections above which the load balancer is asked to send new
/// ones to other hosts.
const CROWDED_FRACTION: f64 = 0.8;

/// Maximum number of callers' connections beyond the limit whose request is refused; further ones are
/// closed at once. They use some of the reserved descriptors.
const MAX_REFUSED_CONNECTIONS: usize = 64;

/// Closes the connection of a caller that does not acknowledge anything for ten seconds.
const CALLER_TIMEOUTS: SocketTimeouts = SocketTimeouts {
    idle: Duration::from_secs(5),
    interval: Duration::from_millis(2_500),
    retries: 2,
    user_timeout: Duration::from_secs(10),
};

/// Delay before the next `accept` after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Minimum size of the parser's buffer for a request head, in bytes; smaller limits are raised to
/// it.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Maximum number of header fields of a request.
const MAX_HEADERS: usize = 100;

/// Accepts callers' connections until `drain`, then finishes the requests in progress until `end`.
pub(super) async fn accept_all<D: GatewayDialect>(
    shared: Rc<GatewayShared>,
    listener: TcpListener,
    drain: CancellationToken,
    end: CancellationToken,
) {
    let descriptors = shared.settings.borrow().descriptors;
    let spare = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1);
    let limit = (spare as f64 * CALLER_FRACTION) as usize;
    let serve = |stream, activity| {
        serve_caller::<D>(
            Rc::clone(&shared),
            stream,
            activity,
            drain.clone(),
            end.clone(),
        )
    };
    let mut tasks = JoinSet::new();
    let crowded = (limit as f64 * CROWDED_FRACTION) as usize;
    loop {
        shared.is_near_connection_limit.set(tasks.len() > crowded);
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = tasks.join_next() => continue,
            () = drain.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) if tasks.len() < limit => {
                tasks.spawn_local(serve(stream, CallerActivity::start()));
            }
            Ok((stream, _)) if tasks.len() < limit + MAX_REFUSED_CONNECTIONS => {
                tasks.spawn_local(serve(stream, CallerActivity::start_refused()));
            }
            Ok(_) => shared
                .log
                .write("connection-refused", json!({"open": tasks.len()})),
            Err(error) => {
                shared
                    .log
                    .write("accept-failed", json!({"problem": error.to_string()}));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Callers on connections that the kernel has accepted may have sent their request.
    for stream in waiting_connections(listener).take(limit.saturating_sub(tasks.len())) {
        tasks.spawn_local(serve(stream, CallerActivity::start()));
    }
    while tasks.join_next().await.is_some() {}
}

/// Closes the listener and returns the connections that wait to be accepted.
fn waiting_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || {
        let (stream, _) = listener.as_ref()?.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}

/// Serves the requests on one caller's connection.
async fn serve_caller<D: GatewayDialect>(
    shared: Rc<GatewayShared>,
    stream: TcpStream,
    activity: Rc<CallerActivity>,
    drain: CancellationToken,
    end: CancellationToken,
) {
    CALLER_TIMEOUTS.apply(&stream);
    let limits = shared
        .config
        .borrow()
        .as_ref()
        .map(|config| *config.limits());
    let limits = limits.unwrap_or_default();
    let (activity, end) = (&activity, &end);
    let service = service_fn(|request| {
        let running = activity.start_request();
        let shared = Rc::clone(&shared);
        async move {
            let response = if activity.is_refused() {
                refuse_connection::<D>(&shared, &request)
            } else {
                serve::<D>(shared, request, end).await?
            };
            if response.extensions().get::<UnreadBody>().is_some() {
                activity.expect_more();
            }
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, running)))
        }
    });
    let stream = CallerStream::new(stream, Rc::clone(activity));
    let connection = http1::Builder::new()
        // hyper's timeout holds for the connection; the limits here follow the configuration.
        .header_read_timeout(None)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    serve_until_closed(&shared, connection, activity, &drain, end).await;
}
