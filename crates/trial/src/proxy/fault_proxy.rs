use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::shared_state::lock;

/// Interval at which the proxy polls for new connections and for the end of a hold.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Timeout of one read, after which a copy thread checks whether it should stop.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// Faults that a proxy applies to its connections. The default forwards bytes unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProxyFault {
    /// Delay of each chunk that is read, in either direction.
    pub delay: Duration,
    /// Whether bytes from the connecting side are held back.
    pub holds_forward: bool,
    /// Whether bytes from the target are held back.
    pub holds_backward: bool,
    /// Whether new connections are closed immediately.
    pub refuses: bool,
}

/// A TCP proxy in front of one address; it stops and closes its connections when it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<ProxyShared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct ProxyShared {
    target: SocketAddr,
    fault: Mutex<ProxyFault>,
    /// Streams of the connections; those of ended ones are removed when the next one begins.
    open_streams: Mutex<Vec<Weak<TcpStream>>>,
    should_stop: AtomicBool,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if it cannot listen.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// Starts a proxy to `target` that listens on `listen`.
    ///
    /// # Errors
    ///
    /// Fails if it cannot listen.
    pub fn start_at(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(ProxyShared {
            target,
            fault: Mutex::new(ProxyFault::default()),
            open_streams: Mutex::new(Vec::new()),
            should_stop: AtomicBool::new(false),
        });
        let acceptor_shared = Arc::clone(&shared);
        let thread = std::thread::spawn(move || accept_connections(&listener, &acceptor_shared));
        Ok(Self {
            address,
            shared,
            thread: Some(thread),
        })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults, for open connections as well.
    pub fn set_fault(&self, fault: ProxyFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Closes every open connection in both directions.
    pub fn cut(&self) {
        let open_streams = std::mem::take(&mut *lock(&self.shared.open_streams));
        for stream in open_streams.iter().filter_map(Weak::upgrade) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.should_stop.store(true, Ordering::Relaxed);
        self.cut();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept_connections(listener: &TcpListener, shared: &Arc<ProxyShared>) {
    let mut copy_threads: Vec<JoinHandle<()>> = Vec::new();
    while !shared.should_stop.load(Ordering::Relaxed) {
        copy_threads.retain(|thread| !thread.is_finished());
        let Ok((client, _)) = listener.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        if lock(&shared.fault).refuses {
            continue;
        }
        let Ok(upstream) = TcpStream::connect_timeout(&shared.target, Duration::from_secs(1))
        else {
            continue;
        };
        copy_threads.extend(spawn_copy_threads(client, upstream, shared));
    }
    for thread in copy_threads {
        let _ = thread.join();
    }
}

fn spawn_copy_threads(
    client: TcpStream,
    upstream: TcpStream,
    shared: &Arc<ProxyShared>,
) -> [JoinHandle<()>; 2] {
    for stream in [&client, &upstream] {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    }
    let (client, upstream) = (Arc::new(client), Arc::new(upstream));
    let mut open_streams = lock(&shared.open_streams);
    open_streams.retain(|stream| stream.strong_count() > 0);
    open_streams.extend([&client, &upstream].map(Arc::downgrade));
    drop(open_streams);
    let (forward, backward) = (Arc::clone(shared), Arc::clone(shared));
    let (forward_client, forward_upstream) = (Arc::clone(&client), Arc::clone(&upstream));
    [
        std::thread::spawn(move || copy_bytes(&forward_client, &forward_upstream, &forward, true)),
        std::thread::spawn(move || copy_bytes(&upstream, &client, &backward, false)),
    ]
}

fn copy_bytes(from: &TcpStream, to: &TcpStream, shared: &ProxyShared, is_forward: bool) {
    let (mut reader, mut writer) = (from, to);
    let mut bytes = vec![0; 16 * 1024];
    while !shared.should_stop.load(Ordering::Relaxed) {
        let count = match reader.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_read_timeout(&error) => continue,
            Err(_) => break,
        };
        let delay = lock(&shared.fault).delay;
        std::thread::sleep(delay);
        while is_held(shared, is_forward) && !shared.should_stop.load(Ordering::Relaxed) {
            std::thread::sleep(POLL_INTERVAL);
        }
        if writer.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    // The end of the stream is held back like its bytes.
    while is_held(shared, is_forward) && !shared.should_stop.load(Ordering::Relaxed) {
        std::thread::sleep(POLL_INTERVAL);
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn is_held(shared: &ProxyShared, is_forward: bool) -> bool {
    let fault = lock(&shared.fault);
    if is_forward {
        fault.holds_forward
    } else {
        fault.holds_backward
    }
}

fn is_read_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
