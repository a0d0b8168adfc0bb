use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cicadalock_core::id::Revision;
use cicadalock_core::revision::{Document, DocumentKind};

use super::PlatformClient;
use crate::metrics::{Metric, ProcessMetrics};
use crate::wire::SharedRevisions;

/// Time for which a read waits at the platform for a newer document, in seconds.
const WATCH_SECONDS: u64 = 2;

/// Delay after a read that failed, or that returned no new document without waiting.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time for the hub to apply a document, so that the next read asks for later revisions only.
const APPLY_DELAY: Duration = Duration::from_millis(20);

/// Interval between two reads of a process that is not a reader of its availability zone.
const NON_READER_INTERVAL: Duration = Duration::from_secs(120);

/// Interval at which a process that is not a reader checks whether it has become one.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Handle of a thread that watches one document of the platform.
#[derive(Debug)]
pub struct PlatformWatcher {
    stop: flume::Sender<()>,
    thread: JoinHandle<()>,
}

/// Builder of a [`PlatformWatcher`].
#[derive(Debug, Clone)]
pub struct WatcherBuilder {
    client: PlatformClient,
    revisions: SharedRevisions,
    metrics: Arc<ProcessMetrics>,
    is_reader: Arc<AtomicBool>,
}

impl PlatformWatcher {
    /// Returns a builder of a watcher that reads through `client`.
    #[must_use]
    pub fn builder(client: PlatformClient) -> WatcherBuilder {
        WatcherBuilder {
            client,
            revisions: SharedRevisions::default(),
            metrics: Arc::new(ProcessMetrics::new()),
            is_reader: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Stops the thread and joins it, after a read in progress has ended.
    pub fn join(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

impl WatcherBuilder {
    /// Sets the shared revisions in force; only later revisions are requested.
    #[must_use]
    pub fn revisions(mut self, revisions: SharedRevisions) -> Self {
        self.revisions = revisions;
        self
    }

    /// Sets the counters that the watcher updates.
    #[must_use]
    pub fn metrics(mut self, metrics: Arc<ProcessMetrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// Sets the flag that holds whether this process watches for its availability zone.
    #[must_use]
    pub fn reader_flag(mut self, is_reader: Arc<AtomicBool>) -> Self {
        self.is_reader = is_reader;
        self
    }

    /// Starts the thread, which sends the documents of `kind` to `events`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be created.
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
        let mut last_revision = Revision::default();
        let mut idle = Duration::ZERO;
        loop {
            if !self.is_reader.load(Ordering::Relaxed) && idle < NON_READER_INTERVAL {
                idle += READER_CHECK_INTERVAL;
                if stops_within(stopped, READER_CHECK_INTERVAL) {
                    return;
                }
                continue;
            }
            idle = Duration::ZERO;
            let after = Revision::new(self.revisions.get(kind));
            self.metrics.add(Metric::PlatformReads, 1);
            let read_started = Instant::now();
            let pause = match self.client.watch(kind, after, WATCH_SECONDS) {
                Ok(Some(document)) => {
                    let is_stale = document.revision <= after;
                    // The platform returns a rejected document, which is newer than the one in
                    // force, again until a newer one is published.
                    let is_repeated = document.revision == last_revision;
                    last_revision = document.revision;
                    self.metrics
                        .add(Metric::DocumentsStale, u64::from(is_stale));
                    if !is_repeated && events.send(document.into()).is_err() {
                        return;
                    }
                    if is_stale || is_repeated {
                        RETRY_DELAY
                    } else {
                        APPLY_DELAY
                    }
                }
                Ok(None) if read_started.elapsed() < RETRY_DELAY => RETRY_DELAY,
                Ok(None) => Duration::ZERO,
                Err(_) => {
                    self.metrics.add(Metric::PlatformErrors, 1);
                    RETRY_DELAY
                }
            };
            if stops_within(stopped, pause) {
                return;
            }
        }
    }
}

/// Waits for `pause`; returns `true` as soon as the watcher is stopped.
fn stops_within(stopped: &flume::Receiver<()>, pause: Duration) -> bool {
    stopped.recv_timeout(pause) == Err(flume::RecvTimeoutError::Disconnected)
}
