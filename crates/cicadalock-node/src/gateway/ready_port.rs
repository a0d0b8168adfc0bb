use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::shared::GatewayShared;

/// Timeout for the header of a probe, and for the next probe on a kept-alive connection.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the next `accept` after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the load balancer's readiness probes until dropped.
///
/// The response is 200 while callers may be routed to this process, 503 otherwise.
pub(super) async fn serve_ready(shared: Rc<GatewayShared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            let service = service_fn(|_| std::future::ready(readiness_response(&shared)));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // After an error the load balancer probes again on a new connection.
            let _ = connection.await;
        });
    }
}

fn readiness_response(shared: &GatewayShared) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::new(Bytes::new()));
    if !shared.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}
