use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Response body of a stand-in endpoint; an error from it closes the connection.
pub type StandinBody = BoxBody<Bytes, std::io::Error>;

/// Returns a body that holds all of `text`.
#[must_use]
pub fn text_body(text: impl Into<Bytes>) -> StandinBody {
    Full::new(text.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Returns a response with a complete body; an invalid `status` becomes 500.
#[must_use]
pub fn respond(status: u16, text: impl Into<Bytes>) -> Response<StandinBody> {
    let mut response = Response::new(text_body(text));
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Serves HTTP/1 requests on `address` with `handle` until the process exits.
pub(super) fn serve_forever<S, F, R>(
    address: SocketAddr,
    state: Arc<S>,
    handle: F,
) -> std::io::Result<()>
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request<Incoming>) -> R + Copy + Send + 'static,
    R: Future<Output = Response<StandinBody>> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async move {
        let listener = TcpListener::bind(address).await?;
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let state = Arc::clone(&state);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let answer = handle(Arc::clone(&state), request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}
