use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread::JoinHandle;
use std::time::Duration;

use cicadalock_core::config::FleetConfig;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::drained_connection::serve_until_drained;
use super::handler::CallHandler;
use crate::clock::ProcessClock;
use crate::hub::{HubInput, RouterInput};
use crate::metrics::{Metric, ProcessMetrics};
use crate::trace::SpanSender;

/// Maximum time for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of header fields of one request.
const MAX_HEADER_FIELDS: usize = 64;

/// Maximum size of the head of one request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handle of the thread that serves callers' HTTP requests.
#[derive(Debug)]
pub struct CallerPort {
    drain: CancellationToken,
    thread: JoinHandle<()>,
}

/// Builder of a [`CallerPort`].
#[derive(Debug)]
pub struct PortBuilder {
    handler: CallHandler,
    connections: usize,
}

impl CallerPort {
    /// Returns a builder of a server that submits requests to `hub`.
    ///
    /// Requests are refused as long as `config` holds no configuration.
    #[must_use]
    pub fn builder(
        hub: flume::Sender<HubInput<RouterInput>>,
        config: watch::Receiver<Option<Arc<FleetConfig>>>,
        spans: SpanSender,
        clock: ProcessClock,
    ) -> PortBuilder {
        PortBuilder {
            handler: CallHandler {
                hub,
                config,
                metrics: Arc::new(ProcessMetrics::new()),
                spans,
                clock,
                next_request: AtomicU64::new(1),
            },
            connections: 4_096,
        }
    }

    /// Stops accepting connections and blocks until the running requests and the thread have ended.
    pub fn join(self) {
        self.drain.cancel();
        let _ = self.thread.join();
    }
}

impl PortBuilder {
    /// Sets the maximum number of open connections; further ones are closed at once.
    #[must_use]
    pub const fn connections(mut self, limit: usize) -> Self {
        self.connections = limit;
        self
    }

    /// Sets the counters to update; by default the port has its own.
    #[must_use]
    pub fn metrics(mut self, metrics: Arc<ProcessMetrics>) -> Self {
        self.handler.metrics = metrics;
        self
    }

    /// Starts the thread that serves `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its runtime cannot be created, or if `listener` cannot be
    /// switched to non-blocking mode.
    pub fn start(self, listener: TcpListener) -> io::Result<CallerPort> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        listener.set_nonblocking(true)?;
        let drain = CancellationToken::new();
        let token = drain.clone();
        let thread = std::thread::Builder::new()
            .name("callers".into())
            .spawn(move || {
                runtime.block_on(async {
                    if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
                        accept_all(listener, Arc::new(self.handler), self.connections, token).await;
                    }
                });
            })?;
        Ok(CallerPort { drain, thread })
    }
}

async fn accept_all(
    listener: tokio::net::TcpListener,
    handler: Arc<CallHandler>,
    limit: usize,
    drain: CancellationToken,
) {
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = tasks.join_next() => continue,
            () = drain.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) if tasks.len() < limit => {
                tasks.spawn(serve(stream, Arc::clone(&handler), drain.clone()));
            }
            Ok(_) => handler.metrics.add(Metric::ConnectionsRefused, 1),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

async fn serve(stream: TcpStream, handler: Arc<CallHandler>, drain: CancellationToken) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handler.serve(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // `end` is never cancelled, so running requests complete; the shutdown grace period of the
    // process bounds them.
    let end = CancellationToken::new();
    serve_until_drained(connection, &drain, &end).await;
}
