use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use tiny_http::{Header, Request, Response, Server};

use crate::hub::HubInput;

/// Interval at which the thread checks whether it should stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for sending a status request to the hub, and for the hub's reply.
const HUB_TIMEOUT: Duration = Duration::from_secs(3);

/// The thread that serves the status port.
#[derive(Debug)]
pub struct AdminPort {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl AdminPort {
    /// Starts the thread on a bound socket; each request fetches the status from `hub`.
    ///
    /// # Errors
    ///
    /// Returns an error if the server or the thread cannot be created.
    pub fn start<R: Send + 'static>(
        listener: TcpListener,
        hub: flume::Sender<HubInput<R>>,
    ) -> std::io::Result<Self> {
        let server = Server::from_listener(listener, None).map_err(std::io::Error::other)?;
        let stop = Arc::new(AtomicBool::new(false));
        let should_stop = Arc::clone(&stop);
        let thread = std::thread::Builder::new()
            .name("admin".into())
            .spawn(move || {
                while !should_stop.load(Ordering::Relaxed) {
                    if let Ok(Some(request)) = server.recv_timeout(POLL_INTERVAL) {
                        respond(request, &hub);
                    }
                }
            })?;
        Ok(Self { stop, thread })
    }

    /// Stops the thread and joins it.
    pub fn join(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

fn respond<R>(request: Request, hub: &flume::Sender<HubInput<R>>) {
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
    let (sender, receiver) = flume::bounded(1);
    hub.send_timeout(HubInput::Status(sender), HUB_TIMEOUT)
        .ok()?;
    receiver.recv_timeout(HUB_TIMEOUT).ok()
}
