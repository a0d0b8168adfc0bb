use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use cicadalock_core::id::LinkId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::connection::{ConnectionContext, run};
use super::{LinkEvent, LinkIdentity};
use crate::metrics::{Metric, ProcessMetrics};
use crate::wire::{FleetKey, SharedRevisions};

/// Maximum number of accepted connections that are open at the same time.
const MAX_ACCEPTED_CONNECTIONS: usize = 8_192;

/// Minimum and maximum delay between two attempts to connect to a peer.
const DIAL_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1_000));

/// Maximum time to connect to a peer.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that writers have to drain their queues before connections are closed.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handle of the thread that runs all connections to other processes.
#[derive(Debug)]
pub struct LinkService {
    targets: watch::Sender<Vec<SocketAddr>>,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

/// Builder of a [`LinkService`].
#[derive(Debug)]
pub struct LinkServiceBuilder<I> {
    context: ConnectionContext<I>,
    listen: Option<std::net::TcpListener>,
}

impl LinkService {
    /// Returns a builder of a service that sends its [`LinkEvent`]s to `events`.
    #[must_use]
    pub fn builder<I>(
        identity: LinkIdentity,
        key: FleetKey,
        events: flume::Sender<I>,
    ) -> LinkServiceBuilder<I> {
        LinkServiceBuilder {
            context: ConnectionContext {
                identity,
                key,
                revisions: SharedRevisions::default(),
                metrics: Arc::new(ProcessMetrics::new()),
                events,
            },
            listen: None,
        }
    }

    /// Replaces the addresses to keep connections to.
    pub fn set_targets(&self, mut targets: Vec<SocketAddr>) {
        targets.sort_unstable();
        targets.dedup();
        self.targets.send_if_modified(|current| {
            let changed = *current != targets;
            *current = targets;
            changed
        });
    }

    /// Waits for writers to drain their queues, then closes all connections and joins the thread.
    pub fn join(self) {
        std::thread::sleep(FLUSH_DELAY);
        self.stop.cancel();
        let _ = self.thread.join();
    }
}

impl<I: From<LinkEvent> + Send + 'static> LinkServiceBuilder<I> {
    /// Sets the shared revisions in force, which every sent frame carries.
    #[must_use]
    pub fn revisions(mut self, revisions: SharedRevisions) -> Self {
        self.context.revisions = revisions;
        self
    }

    /// Sets the counters that the connections update.
    #[must_use]
    pub fn metrics(mut self, metrics: Arc<ProcessMetrics>) -> Self {
        self.context.metrics = metrics;
        self
    }

    /// Sets the socket on which to accept connections; without it, the service only dials.
    #[must_use]
    pub fn listen(mut self, listener: std::net::TcpListener) -> Self {
        self.listen = Some(listener);
        self
    }

    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime or the thread cannot be created.
    pub fn start(self) -> io::Result<LinkService> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (targets, watched) = watch::channel(Vec::new());
        let stop = CancellationToken::new();
        let worker = LinkWorker {
            context: Arc::new(self.context),
            next_link: Arc::new(AtomicU64::new(1)),
            stop: stop.clone(),
        };
        let listen = self.listen;
        let thread = std::thread::Builder::new()
            .name("links".into())
            .spawn(move || {
                runtime.block_on(async {
                    tokio::join!(worker.accept_all(listen), worker.maintain_targets(watched));
                });
            })?;
        Ok(LinkService {
            targets,
            stop,
            thread,
        })
    }
}

#[derive(Debug)]
struct LinkWorker<I> {
    context: Arc<ConnectionContext<I>>,
    next_link: Arc<AtomicU64>,
    stop: CancellationToken,
}

impl<I> Clone for LinkWorker<I> {
    fn clone(&self) -> Self {
        Self {
            context: Arc::clone(&self.context),
            next_link: Arc::clone(&self.next_link),
            stop: self.stop.clone(),
        }
    }
}

impl<I: From<LinkEvent> + Send + 'static> LinkWorker<I> {
    async fn accept_all(&self, listen: Option<std::net::TcpListener>) {
        let Some(listener) = listen.and_then(async_listener) else {
            return;
        };
        let mut tasks = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = tasks.join_next() => continue,
                () = self.stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) if tasks.len() < MAX_ACCEPTED_CONNECTIONS => {
                    let worker = self.clone();
                    tasks.spawn(async move { worker.serve(stream, false).await });
                }
                Ok(_) => self.context.metrics.add(Metric::ConnectionsRefused, 1),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn maintain_targets(&self, mut watched: watch::Receiver<Vec<SocketAddr>>) {
        let mut tasks = JoinSet::new();
        let mut open: Vec<(SocketAddr, CancellationToken)> = Vec::new();
        loop {
            let targets = watched.borrow_and_update().clone();
            open.retain(|(target, cancel)| {
                let is_target = targets.binary_search(target).is_ok();
                if !is_target {
                    cancel.cancel();
                }
                is_target
            });
            for target in targets {
                if let Err(index) = open.binary_search_by_key(&target, |(known, _)| *known) {
                    let cancel = self.stop.child_token();
                    open.insert(index, (target, cancel.clone()));
                    let worker = self.clone();
                    tasks.spawn(async move { worker.maintain_connection(target, cancel).await });
                }
            }
            tokio::select! {
                changed = watched.changed() => if changed.is_err() { break },
                Some(_) = tasks.join_next() => {}
                () = self.stop.cancelled() => break,
            }
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Connects to `target` again and again until cancelled.
    ///
    /// Cancellation does not close an established connection.
    async fn maintain_connection(&self, target: SocketAddr, cancel: CancellationToken) {
        let mut backoff = DIAL_BACKOFF.0;
        while !cancel.is_cancelled() {
            let dialled = tokio::time::timeout(DIAL_TIMEOUT, TcpStream::connect(target)).await;
            match dialled {
                Ok(Ok(stream)) => {
                    let started = tokio::time::Instant::now();
                    self.serve(stream, true).await;
                    if started.elapsed() > DIAL_BACKOFF.1 {
                        backoff = DIAL_BACKOFF.0;
                    }
                }
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    let event = LinkEvent::Refused { address: target };
                    let _ = self.context.events.send_async(event.into()).await;
                }
                Ok(Err(_)) | Err(_) => {}
            }
            tokio::select! {
                () = tokio::time::sleep(backoff) => {}
                () = cancel.cancelled() => {}
            }
            backoff = (backoff * 2).min(DIAL_BACKOFF.1);
        }
    }

    async fn serve(&self, stream: TcpStream, dialled: bool) {
        let link = LinkId::new(self.next_link.fetch_add(1, Ordering::Relaxed));
        let context = Arc::clone(&self.context);
        tokio::select! {
            () = run(context, stream, link, dialled) => {}
            () = self.stop.cancelled() => {}
        }
    }
}

fn async_listener(listener: std::net::TcpListener) -> Option<TcpListener> {
    listener.set_nonblocking(true).ok()?;
    TcpListener::from_std(listener).ok()
}
