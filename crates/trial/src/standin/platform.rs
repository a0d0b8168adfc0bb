use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cicadalock_core::collect::SortedMap;
use serde_json::Value;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::shared_state::lock;

/// Number of revisions kept of each document; [`PlatformMode::Stale`] serves the first one, which is
/// never dropped.
const MAX_REVISIONS: usize = 10_000;

/// Behaviour of the stand-in platform when a document is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformMode {
    /// Serves the newest revision.
    Up,
    /// Answers 503 at once.
    Down,
    /// Serves the first revision of each document, also to readers that ask for a later one.
    Stale,
    /// Serves malformed JSON with a very high revision.
    Rubbish,
    /// Answers 503 after 5 s.
    Slow,
}

/// Stand-in for the platform's configuration service, which holds documents by path.
#[derive(Debug)]
pub struct PlatformStandin {
    state: Mutex<PlatformState>,
    changed: Condvar,
    reads: AtomicU64,
}

#[derive(Debug)]
struct PlatformState {
    revision: u64,
    documents: SortedMap<String, Vec<(u64, String)>>,
    mode: PlatformMode,
}

impl PlatformStandin {
    /// Creates a platform without documents, in mode [`PlatformMode::Up`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Mutex::new(PlatformState {
                revision: 0,
                documents: SortedMap::new(),
                mode: PlatformMode::Up,
            }),
            changed: Condvar::new(),
            reads: AtomicU64::new(0),
        }
    }

    /// Publishes a document and returns its revision, which is counted across all documents.
    pub fn publish(&self, path: &str, text: &str) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let history = state
            .documents
            .get_or_insert_with(path.to_owned(), Vec::new);
        let previous = history.last().map_or(0, |(revision, _)| *revision);
        history.push((revision, with_previous(text, previous)));
        if history.len() > MAX_REVISIONS {
            history.remove(1);
        }
        self.changed.notify_all();
        revision
    }

    /// Changes the mode, also for reads that are waiting.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.lock().mode = mode;
        self.changed.notify_all();
    }

    /// Returns the number of document reads so far; a long poll counts once.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Serves the platform's HTTP interface until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<()> {
        let server = Server::http(address).map_err(std::io::Error::other)?;
        for request in server.incoming_requests() {
            let platform = Arc::clone(self);
            std::thread::spawn(move || platform.answer(request));
        }
        Ok(())
    }

    fn answer(&self, mut request: Request) {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let response = match (request.method(), path) {
            (Method::Put, "/mode") => {
                let mode = read_text(&mut request);
                self.set_mode(parse_mode(&mode));
                text_response(200, mode)
            }
            (Method::Get, "/reads") => text_response(200, self.reads().to_string()),
            (Method::Put, path) => {
                let revision = self.publish(path, &read_text(&mut request));
                text_response(200, revision.to_string())
            }
            (_, path) => self.read(path, query),
        };
        let _ = request.respond(response);
    }

    fn read(&self, path: &str, query: &str) -> Response<Cursor<Vec<u8>>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let number = |name: &str| -> u64 {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
            value.and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            match state.mode {
                PlatformMode::Down => return text_response(503, String::new()),
                PlatformMode::Rubbish => return malformed_response(),
                PlatformMode::Slow => {
                    drop(state);
                    std::thread::sleep(Duration::from_secs(5));
                    return text_response(503, String::new());
                }
                PlatformMode::Up | PlatformMode::Stale => {}
            }
            let is_stale = state.mode == PlatformMode::Stale;
            let history = state.documents.get(&path.to_owned());
            let newest = history.and_then(|history| {
                if is_stale {
                    history.first()
                } else {
                    history.last()
                }
            });
            if let Some((revision, text)) = newest
                && (*revision > after || is_stale)
            {
                return document_response(*revision, text.clone());
            }
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                return text_response(304, String::new());
            }
            let waited = self.changed.wait_timeout(state, time_left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        lock(&self.state)
    }
}

impl Default for PlatformStandin {
    fn default() -> Self {
        Self::new()
    }
}

/// Runs a stand-in platform until the process exits.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn run_platform(address: SocketAddr) -> std::io::Result<()> {
    Arc::new(PlatformStandin::new()).serve(address)
}

/// Sets the field `previous` of a host list to `previous`; returns other documents unchanged.
fn with_previous(text: &str, previous: u64) -> String {
    match serde_json::from_str::<Value>(text) {
        Ok(mut value) if value.get("hosts").is_some() => {
            value["previous"] = Value::from(previous);
            value.to_string()
        }
        _ => text.to_owned(),
    }
}

fn parse_mode(text: &str) -> PlatformMode {
    match text {
        "down" => PlatformMode::Down,
        "stale" => PlatformMode::Stale,
        "rubbish" => PlatformMode::Rubbish,
        "slow" => PlatformMode::Slow,
        _ => PlatformMode::Up,
    }
}

fn read_text(request: &mut Request) -> String {
    let mut text = String::new();
    let _ = request.as_reader().read_to_string(&mut text);
    text
}

fn malformed_response() -> Response<Cursor<Vec<u8>>> {
    document_response(u64::MAX / 2, "{\"hosts\": 7, \"base\": [".to_owned())
}

fn document_response(revision: u64, text: String) -> Response<Cursor<Vec<u8>>> {
    let mut response = text_response(200, text);
    if let Ok(header) = format!("Platform-Revision: {revision}").parse::<Header>() {
        response.add_header(header);
    }
    response
}

fn text_response(status: u16, text: String) -> Response<Cursor<Vec<u8>>> {
    Response::from_string(text).with_status_code(status)
}
