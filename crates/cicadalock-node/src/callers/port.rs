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

/// Longest time for a caller to send the head of a request.
const HEAD_LIMIT: Duration = Duration::from_secs(10);

/// Header fields of one request.
const HEADER_LIMIT: usize = 64;

/// Bytes of one request's head.
const HEAD_BYTES: usize = 32 * 1024;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The thread that serves the callers' port.
#[derive(Debug)]
pub struct CallerPort {
    drain: CancellationToken,
    thread: JoinHandle<()>,
}

/// Collects what a [`CallerPort`] needs.
#[derive(Debug)]
pub struct PortBuilder {
    handler: CallHandler,
    connections: usize,
}

impl CallerPort {
    /// Starts the construction of a port that puts requests into `hub`.
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

    /// Accepts no more, lets running requests end, and ends the thread.
    pub fn join(self) {
        self.drain.cancel();
        let _ = self.thread.join();
    }
}

impl PortBuilder {
    /// Sets the greatest number of connections.
    #[must_use]
    pub const fn connections(mut self, limit: usize) -> Self {
        self.connections = limit;
        self
    }

    /// Sets the counters.
    #[must_use]
    pub fn metrics(mut self, metrics: Arc<ProcessMetrics>) -> Self {
        self.handler.metrics = metrics;
        self
    }

    /// Starts the thread on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails if the thread or its timers cannot be had.
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
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
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
        .header_read_timeout(HEAD_LIMIT)
        .max_headers(HEADER_LIMIT)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // Requests that run are not cut: the grace of the whole process bounds them.
    let end = CancellationToken::new();
    serve_until_drained(connection, &drain, &end).await;
}
