use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cicadalock_core::id::Revision;
use cicadalock_core::revision::{Document, DocumentKind};

use super::PlatformClient;
use crate::metrics::{Metric, ProcessMetrics};
use crate::wire::RevisionGauge;

/// Time for which a reader's watch waits at the platform, in seconds.
const WATCH_SECONDS: u64 = 2;

/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Time for the hub to take a document into force before the next watch asks for later ones.
const SETTLE_PAUSE: Duration = Duration::from_millis(20);

/// Time between two reads of a process that is not a reader.
const IDLE_INTERVAL: Duration = Duration::from_secs(120);

/// Time between two looks at whether the process is a reader.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);

/// A thread that watches one document of the platform.
#[derive(Debug)]
pub struct PlatformWatcher {
    stop: flume::Sender<()>,
    thread: JoinHandle<()>,
}

/// Collects what a [`PlatformWatcher`] needs.
#[derive(Debug, Clone)]
pub struct WatcherBuilder {
    client: PlatformClient,
    revisions: RevisionGauge,
    metrics: Arc<ProcessMetrics>,
    is_reader: Arc<AtomicBool>,
}

impl PlatformWatcher {
    /// Starts the construction of a watcher.
    #[must_use]
    pub fn builder(client: PlatformClient) -> WatcherBuilder {
        WatcherBuilder {
            client,
            revisions: RevisionGauge::default(),
            metrics: Arc::new(ProcessMetrics::new()),
            is_reader: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Ends the thread; a waiting watch is waited for.
    pub fn join(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

impl WatcherBuilder {
    /// Sets the revisions in force, after which is asked.
    #[must_use]
    pub fn revisions(mut self, revisions: RevisionGauge) -> Self {
        self.revisions = revisions;
        self
    }

    /// Sets the counters.
    #[must_use]
    pub fn metrics(mut self, metrics: Arc<ProcessMetrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// Sets the mark that tells whether this process watches for its availability zone.
    #[must_use]
    pub fn reader_mark(mut self, is_reader: Arc<AtomicBool>) -> Self {
        self.is_reader = is_reader;
        self
    }

    /// Starts the thread, which puts documents into `events`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be had.
    pub fn start<I: From<Document> + Send + 'static>(
        self,
        kind: DocumentKind,
        events: flume::Sender<I>,
    ) -> std::io::Result<PlatformWatcher> {
        let (stop, stopped) = flume::bounded(1);
        let thread = std::thread::Builder::new()
            .name(format!("platform-{kind}"))
            .spawn(move || self.watch(kind, &events, &stopped))?;
        Ok(PlatformWatcher { stop, thread })
    }

    fn watch<I: From<Document>>(
        &self,
        kind: DocumentKind,
        events: &flume::Sender<I>,
        stopped: &flume::Receiver<()>,
    ) {
        let mut seen = Revision::default();
        let mut idle = Duration::ZERO;
        loop {
            if !self.is_reader.load(Ordering::Relaxed) && idle < IDLE_INTERVAL {
                idle += ROLE_INTERVAL;
                if has_ended(stopped, ROLE_INTERVAL) {
                    return;
                }
                continue;
            }
            idle = Duration::ZERO;
            let after = Revision::new(self.revisions.get(kind));
            self.metrics.add(Metric::PlatformReads, 1);
            let asked = Instant::now();
            let pause = match self.client.watch(kind, after, WATCH_SECONDS) {
                Ok(Some(document)) => {
                    let is_stale = document.revision <= after;
                    // A document with findings is served again until a better one is published.
                    let is_repeated = document.revision == seen;
                    seen = document.revision;
                    self.metrics
                        .add(Metric::DocumentsStale, u64::from(is_stale));
                    if !is_repeated && events.send(document.into()).is_err() {
                        return;
                    }
                    if is_stale || is_repeated {
                        FAILURE_PAUSE
                    } else {
                        SETTLE_PAUSE
                    }
                }
                Ok(None) if asked.elapsed() < FAILURE_PAUSE => FAILURE_PAUSE,
                Ok(None) => Duration::ZERO,
                Err(_) => {
                    self.metrics.add(Metric::PlatformErrors, 1);
                    FAILURE_PAUSE
                }
            };
            if has_ended(stopped, pause) {
                return;
            }
        }
    }
}

fn has_ended(stopped: &flume::Receiver<()>, pause: Duration) -> bool {
    stopped.recv_timeout(pause) == Err(flume::RecvTimeoutError::Disconnected)
}
