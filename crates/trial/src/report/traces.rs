use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

/// Spans that are kept at most.
const SPAN_LIMIT: usize = 200_000;

/// Collects the spans of an experiment's processes.
#[derive(Debug)]
pub struct TraceCollector {
    address: SocketAddr,
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Value>>,
}

impl TraceCollector {
    /// Starts to listen on a free UDP port of the loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be had.
    pub fn start() -> std::io::Result<Self> {
        let socket = UdpSocket::bind(("127.0.0.1", 0))?;
        socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        let address = socket.local_addr()?;
        let is_over = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_over);
        let thread = std::thread::spawn(move || collect(&socket, &stopped));
        Ok(Self {
            address,
            is_over,
            thread,
        })
    }

    /// Where spans are to be sent.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the collection and returns the spans.
    #[must_use]
    pub fn finish(self) -> Vec<Value> {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn collect(socket: &UdpSocket, stopped: &AtomicBool) -> Vec<Value> {
    let mut spans = Vec::new();
    let mut bytes = vec![0; 4 * 1024];
    while !stopped.load(Ordering::Relaxed) {
        if let Ok(count) = socket.recv(&mut bytes)
            && spans.len() < SPAN_LIMIT
            && let Ok(span) = serde_json::from_slice(&bytes[..count])
        {
            spans.push(span);
        }
    }
    spans
}
