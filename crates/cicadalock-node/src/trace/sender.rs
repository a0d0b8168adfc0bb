use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::time::WallTime;
use serde_json::json;

use super::TraceContext;
use crate::metrics::{Metric, ProcessMetrics};

/// Sends finished spans as JSON in UDP datagrams; does nothing without a target.
#[derive(Debug, Clone)]
pub struct SpanSender {
    socket: Option<Arc<UdpSocket>>,
    host: Arc<str>,
    metrics: Arc<ProcessMetrics>,
}

/// A finished span.
#[derive(Debug, Clone, Copy)]
pub struct HopSpan<'a> {
    /// Name of the hop.
    pub name: &'a str,
    /// Trace ID and span ID.
    pub context: TraceContext,
    /// ID of the parent span; `None` for the root of a trace.
    pub parent: Option<u64>,
    /// Start time.
    pub start: WallTime,
    /// Time from start to end.
    pub duration: Duration,
    /// Result of the hop.
    pub status: &'a str,
}

impl SpanSender {
    /// Creates a sender of spans of `host` to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no local UDP socket can be bound or connected to `target`.
    pub fn new(
        host: &str,
        target: Option<SocketAddr>,
        metrics: Arc<ProcessMetrics>,
    ) -> std::io::Result<Self> {
        let socket = match target {
            Some(target) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.connect(target)?;
                socket.set_nonblocking(true)?;
                Some(Arc::new(socket))
            }
            None => None,
        };
        Ok(Self {
            socket,
            host: Arc::from(host),
            metrics,
        })
    }

    /// Sends a span without blocking; drops it if it cannot be sent at once.
    pub fn send(&self, span: HopSpan<'_>) {
        let Some(socket) = &self.socket else {
            return;
        };
        let text = json!({
            "trace": format!("{:032x}", span.context.trace()),
            "span": format!("{:016x}", span.context.span()),
            "parent": span.parent.map(|parent| format!("{parent:016x}")),
            "name": span.name,
            "host": &*self.host,
            "start_ms": span.start.as_unix_millis(),
            "duration_us": span.duration.as_micros() as u64,
            "status": span.status,
        });
        if socket.send(text.to_string().as_bytes()).is_ok() {
            self.metrics.add(Metric::Spans, 1);
        }
    }
}
