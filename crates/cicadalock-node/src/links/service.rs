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
use crate::wire::{FleetKey, RevisionGauge};

/// Accepted connections that may be open at a time.
const ACCEPT_LIMIT: usize = 8_192;

/// Shortest and longest pause between two attempts to reach a peer.
const DIAL_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1_000));

/// Longest time to reach a peer.
const DIAL_LIMIT: Duration = Duration::from_millis(1_500);

/// Time for writers to empty their rings before connections end.
const FLUSH_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The thread that runs every connection to other processes.
#[derive(Debug)]
pub struct LinkService {
    targets: watch::Sender<Vec<SocketAddr>>,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

/// Collects what a [`LinkService`] needs.
#[derive(Debug)]
pub struct LinkServiceBuilder<I> {
    context: ConnectionContext<I>,
    listen: Option<std::net::TcpListener>,
}

impl LinkService {
    /// Starts the construction of a service that tells `events` what happens.
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
                revisions: RevisionGauge::default(),
                metrics: Arc::new(ProcessMetrics::new()),
                events,
            },
            listen: None,
        }
    }

    /// Replaces the addresses that are kept connected.
    pub fn set_targets(&self, mut targets: Vec<SocketAddr>) {
        targets.sort_unstable();
        targets.dedup();
        self.targets.send_if_modified(|current| {
            let changed = *current != targets;
            *current = targets;
            changed
        });
    }

    /// Lets writers empty their rings, then ends every connection and the thread.
    pub fn join(self) {
        std::thread::sleep(FLUSH_PAUSE);
        self.stop.cancel();
        let _ = self.thread.join();
    }
}

impl<I: From<LinkEvent> + Send + 'static> LinkServiceBuilder<I> {
    /// Sets the revisions that every frame carries.
    #[must_use]
    pub fn revisions(mut self, revisions: RevisionGauge) -> Self {
        self.context.revisions = revisions;
        self
    }

    /// Sets the counters.
    #[must_use]
    pub fn metrics(mut self, metrics: Arc<ProcessMetrics>) -> Self {
        self.context.metrics = metrics;
        self
    }

    /// Sets the socket on which connections are accepted.
    #[must_use]
    pub fn listen(mut self, listener: std::net::TcpListener) -> Self {
        self.listen = Some(listener);
        self
    }

    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread or its timers cannot be had.
    pub fn start(self) -> io::Result<LinkService> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (targets, watched) = watch::channel(Vec::new());
        let stop = CancellationToken::new();
        let dialler = LinkDialler {
            context: Arc::new(self.context),
            next_link: Arc::new(AtomicU64::new(1)),
            stop: stop.clone(),
        };
        let listen = self.listen;
        let thread = std::thread::Builder::new()
            .name("links".into())
            .spawn(move || {
                runtime.block_on(async {
                    tokio::join!(dialler.accept_all(listen), dialler.dial_all(watched));
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
struct LinkDialler<I> {
    context: Arc<ConnectionContext<I>>,
    next_link: Arc<AtomicU64>,
    stop: CancellationToken,
}

impl<I> Clone for LinkDialler<I> {
    fn clone(&self) -> Self {
        Self {
            context: Arc::clone(&self.context),
            next_link: Arc::clone(&self.next_link),
            stop: self.stop.clone(),
        }
    }
}

impl<I: From<LinkEvent> + Send + 'static> LinkDialler<I> {
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
                Ok((stream, _)) if tasks.len() < ACCEPT_LIMIT => {
                    let dialler = self.clone();
                    tasks.spawn(async move { dialler.serve(stream, false).await });
                }
                Ok(_) => self.context.metrics.add(Metric::ConnectionsRefused, 1),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn dial_all(&self, mut watched: watch::Receiver<Vec<SocketAddr>>) {
        let mut tasks = JoinSet::new();
        let mut open: Vec<(SocketAddr, CancellationToken)> = Vec::new();
        loop {
            let targets = watched.borrow_and_update().clone();
            open.retain(|(target, cancel)| {
                let is_wanted = targets.binary_search(target).is_ok();
                if !is_wanted {
                    cancel.cancel();
                }
                is_wanted
            });
            for target in targets {
                if let Err(index) = open.binary_search_by_key(&target, |(known, _)| *known) {
                    let cancel = self.stop.child_token();
                    open.insert(index, (target, cancel.clone()));
                    let dialler = self.clone();
                    tasks.spawn(async move { dialler.keep_dialling(target, cancel).await });
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

    /// Keeps a connection to `target` until cancelled; an established one is left to its end.
    async fn keep_dialling(&self, target: SocketAddr, cancel: CancellationToken) {
        let mut pause = DIAL_PAUSES.0;
        while !cancel.is_cancelled() {
            let dialled = tokio::time::timeout(DIAL_LIMIT, TcpStream::connect(target)).await;
            match dialled {
                Ok(Ok(stream)) => {
                    let started = tokio::time::Instant::now();
                    self.serve(stream, true).await;
                    if started.elapsed() > DIAL_PAUSES.1 {
                        pause = DIAL_PAUSES.0;
                    }
                }
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    let event = LinkEvent::Refused { address: target };
                    let _ = self.context.events.send_async(event.into()).await;
                }
                Ok(Err(_)) | Err(_) => {}
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = cancel.cancelled() => {}
            }
            pause = (pause * 2).min(DIAL_PAUSES.1);
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
