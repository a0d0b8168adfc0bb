use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::dialect::GatewayDialect;
use super::serve::serve;
use super::shared::GatewayShared;
use crate::callers::serve_until_drained;
use crate::process::SocketTimeouts;

/// Descriptors that are not for connections: files, listeners, the runtime's own.
const RESERVED_DESCRIPTORS: usize = 256;

/// Part of the other descriptors that callers' connections may use; the rest is for endpoints.
const CALLER_PART: f64 = 0.6;

/// Part of callers' connections from which on the balancer is to send new ones elsewhere.
const CROWDED_PART: f64 = 0.8;

/// A caller that gives no sign of life for ten seconds is gone.
const CALLER_TIMES: SocketTimeouts = SocketTimeouts {
    idle: Duration::from_secs(5),
    interval: Duration::from_millis(2_500),
    retries: 2,
    user_timeout: Duration::from_secs(10),
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bytes of a request's head that the parser holds at least.
const LEAST_HEAD_BYTES: usize = 8 * 1024;

/// Header fields of one request.
const HEADER_LIMIT: usize = 100;

/// Serves callers until `drain`, then their last requests until `end`.
pub(super) async fn accept_all<D: GatewayDialect>(
    shared: Rc<GatewayShared>,
    listener: TcpListener,
    drain: CancellationToken,
    end: CancellationToken,
) {
    let descriptors = shared.settings.borrow().descriptors;
    let spare = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1);
    let limit = (spare as f64 * CALLER_PART) as usize;
    let mut tasks = JoinSet::new();
    let crowded = (limit as f64 * CROWDED_PART) as usize;
    loop {
        shared.is_crowded.set(tasks.len() > crowded);
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = tasks.join_next() => continue,
            () = drain.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) if tasks.len() < limit => {
                tasks.spawn_local(converse::<D>(
                    Rc::clone(&shared),
                    stream,
                    drain.clone(),
                    end.clone(),
                ));
            }
            Ok(_) => shared
                .log
                .write("connection-refused", json!({"open": tasks.len()})),
            Err(error) => {
                shared
                    .log
                    .write("accept-failed", json!({"problem": error.to_string()}));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

/// Serves one connection of a caller.
async fn converse<D: GatewayDialect>(
    shared: Rc<GatewayShared>,
    stream: TcpStream,
    drain: CancellationToken,
    end: CancellationToken,
) {
    CALLER_TIMES.apply(&stream);
    let limits = shared
        .config
        .borrow()
        .as_ref()
        .map(|config| *config.limits());
    let limits = limits.unwrap_or_default();
    let service = service_fn(|request| serve::<D>(Rc::clone(&shared), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library's time for a head also runs while a connection is idle.
        .header_read_timeout(limits.idle_timeout)
        .max_headers(HEADER_LIMIT)
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    serve_until_drained(connection, &drain, &end).await;
}
