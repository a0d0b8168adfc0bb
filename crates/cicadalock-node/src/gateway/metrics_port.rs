use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use tiny_http::{Response, Server};

use super::gateway_metrics::GatewayMetrics;

/// Time between two looks at whether the port is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The thread that serves counters.
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
                        // A reader that left needs no answer.
                        let _ = request.respond(Response::from_string(metrics.render()));
                    }
                }
            })?;
        Ok(Self { stop, thread })
    }

    pub(super) fn join(self) {
        self.stop.store(true, Ordering::Relaxed);
        // A thread that panicked has ended, too.
        let _ = self.thread.join();
    }
}
