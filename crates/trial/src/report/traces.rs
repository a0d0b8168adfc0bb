use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

/// Bounds the memory of the collector; later spans are dropped.
const MAX_SPANS: usize = 200_000;

/// Collects the trace spans that a fleet's processes send over UDP.
#[derive(Debug)]
pub struct TraceCollector {
    address: SocketAddr,
    is_finished: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Value>>,
}

impl TraceCollector {
    /// Starts to listen on a free UDP port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub fn start() -> std::io::Result<Self> {
        let socket = UdpSocket::bind(("127.0.0.1", 0))?;
        socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        let address = socket.local_addr()?;
        let is_finished = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_finished);
        let thread = std::thread::spawn(move || collect(&socket, &stopped));
        Ok(Self {
            address,
            is_finished,
            thread,
        })
    }

    /// Returns the address to which processes send their spans.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and returns the collected spans; none if the collecting thread panicked.
    #[must_use]
    pub fn finish(self) -> Vec<Value> {
        self.is_finished.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn collect(socket: &UdpSocket, stopped: &AtomicBool) -> Vec<Value> {
    let mut spans = Vec::new();
    let mut bytes = vec![0; 4 * 1024];
    while !stopped.load(Ordering::Relaxed) {
        if let Ok(count) = socket.recv(&mut bytes)
            && spans.len() < MAX_SPANS
            && let Ok(span) = serde_json::from_slice(&bytes[..count])
        {
            spans.push(span);
        }
    }
    spans
}
