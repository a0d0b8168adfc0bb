use std::error::Error;

use hyper::body::{Body, Incoming};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1::Connection;
use hyper::service::HttpService;
use tokio_util::sync::CancellationToken;

/// Serves a caller's connection until it closes.
///
/// Once `drain` is cancelled, only the request in progress is completed. Once `end` is cancelled as
/// well, the connection is dropped.
pub(crate) async fn serve_until_drained<I, S, B>(
    connection: Connection<I, S>,
    drain: &CancellationToken,
    end: &CancellationToken,
) where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    I: Read + Write + Unpin,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // After a connection error the caller is gone, so there is nobody to report it to.
        _ = connection.as_mut() => return,
        () = drain.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = end.cancelled() => {}
    }
}
