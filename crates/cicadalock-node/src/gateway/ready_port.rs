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

/// Longest time for the balancer to send its question, or to ask again on a connection.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the balancer whether callers may be sent here, until dropped.
pub(super) async fn serve_ready(shared: Rc<GatewayShared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            let service = service_fn(|_| std::future::ready(readiness_response(&shared)));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // The balancer asks again on a new connection.
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
