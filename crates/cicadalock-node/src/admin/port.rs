use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use tiny_http::{Header, Request, Response, Server};

use crate::hub::HubInput;

/// Time between two looks at whether the port is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for the hub to answer.
const HUB_TIMEOUT: Duration = Duration::from_secs(3);

/// The thread that serves the status port.
#[derive(Debug)]
pub struct AdminPort {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl AdminPort {
    /// Starts the thread on a bound socket; questions go to `hub`.
    ///
    /// # Errors
    ///
    /// Fails if the server or the thread cannot be had.
    pub fn start<R: Send + 'static>(
        listener: TcpListener,
        hub: flume::Sender<HubInput<R>>,
    ) -> std::io::Result<Self> {
        let server = Server::from_listener(listener, None).map_err(std::io::Error::other)?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::Builder::new()
            .name("admin".into())
            .spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    if let Ok(Some(request)) = server.recv_timeout(POLL_INTERVAL) {
                        answer(request, &hub);
                    }
                }
            })?;
        Ok(Self { stop, thread })
    }

    /// Ends the thread.
    pub fn join(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

fn answer<R>(request: Request, hub: &flume::Sender<HubInput<R>>) {
    let status = request_status(hub);
    let is_stopping = status
        .as_ref()
        .is_none_or(|status| status["is_stopping"] == Value::Bool(true));
    let (code, body) = match (request.url(), status) {
        ("/status", Some(status)) => (200, status.to_string()),
        ("/healthz", Some(_)) if !is_stopping => (200, "{\"ready\":true}".to_owned()),
        ("/healthz" | "/status", _) => (503, "{\"ready\":false}".to_owned()),
        _ => (404, "{}".to_owned()),
    };
    let mut response = Response::from_string(body).with_status_code(code);
    if let Ok(header) = "Content-Type: application/json".parse::<Header>() {
        response.add_header(header);
    }
    let _ = request.respond(response);
}

fn request_status<R>(hub: &flume::Sender<HubInput<R>>) -> Option<Value> {
    let (reply, answer) = flume::bounded(1);
    hub.send_timeout(HubInput::Status(reply), HUB_TIMEOUT)
        .ok()?;
    answer.recv_timeout(HUB_TIMEOUT).ok()
}
