use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
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
use super::refusal::CallerRefusal;
use super::serve::{DEFAULT_RETRY_AFTER, UnreadBody, refuse_unread, serve};
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

/// Minimum size of the parser's buffer for a request head, in bytes. It leaves room for limits that
/// are raised while a connection is open.
const MIN_HEAD_BUFFER_BYTES: usize = 32 * 1024;

/// Minimum limit on the size of a request head, in bytes; smaller ones are raised to it.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Bytes of a request line or header field beyond its texts: spaces, colon, version and line end.
const LINE_OVERHEAD_BYTES: usize = 4;

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
    let head_buffer = head_limit(&shared).max(MIN_HEAD_BUFFER_BYTES);
    let (activity, end) = (&activity, &end);
    let service = service_fn(|request| {
        let running = activity.start_request();
        let shared = Rc::clone(&shared);
        async move {
            let response = match connection_refusal(&shared, activity, &request) {
                Some(refusal) => refuse_unread::<D>(&shared, &request, refusal),
                None => serve::<D>(shared, request, end).await?,
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
        .max_buf_size(head_buffer)
        .serve_connection(TokioIo::new(stream), service);
    serve_until_closed(&shared, connection, activity, &drain, end).await;
}

/// Returns why a request is refused whatever its route is.
fn connection_refusal(
    shared: &GatewayShared,
    activity: &CallerActivity,
    request: &Request<Incoming>,
) -> Option<CallerRefusal> {
    if activity.is_refused() {
        let reason = "too-many-connections";
        return Some(CallerRefusal::not_run(reason, DEFAULT_RETRY_AFTER));
    }
    let is_too_large = head_bytes(request) > head_limit(shared);
    is_too_large.then(|| CallerRefusal::client_error(431, "head-too-large"))
}

/// Returns the maximum size of a request head in the configuration that is in force, in bytes.
fn head_limit(shared: &GatewayShared) -> usize {
    let config = shared.config.borrow();
    let limits = config.as_ref().map(|config| *config.limits());
    limits.unwrap_or_default().head_bytes.max(MIN_HEAD_BYTES)
}

/// Returns the size of a request head, without the parts that every head has.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let target = request.uri().path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    let fields = request.headers().iter();
    let fields = fields
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD_BYTES)
        .sum::<usize>();
    request.method().as_str().len() + target + LINE_OVERHEAD_BYTES + fields
}
