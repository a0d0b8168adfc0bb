use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use tiny_http::{Response, Server};

use super::gateway_metrics::GatewayMetrics;

/// Interval at which the thread checks whether it must stop.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Thread that serves the metrics over HTTP.
#[derive(Debug)]
pub(super) struct MetricsPort {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl MetricsPort {
    pub(super) fn start(
        listener: TcpListener,
        metrics: Arc<GatewayMetrics>,
    ) -> std::io::Result<Self> {
        let server = Server::from_listener(listener, None).map_err(std::io::Error::other)?;
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let thread = std::thread::Builder::new()
            .name("metrics".into())
            .spawn(move || {
                while !stop_flag.load(Ordering::Relaxed) {
                    if let Ok(Some(request)) = server.recv_timeout(POLL_INTERVAL) {
                        // Fails only if the client has disconnected.
                        let _ = request.respond(Response::from_string(metrics.render()));
                    }
                }
            })?;
        Ok(Self { stop, thread })
    }

    pub(super) fn join(self) {
        self.stop.store(true, Ordering::Relaxed);
        // A thread that panicked has ended as well.
        let _ = self.thread.join();
    }
}
