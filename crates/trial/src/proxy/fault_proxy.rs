use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::shared_state::lock;

/// Pause between two looks at whether a held direction is open again.
const HOLD_PAUSE: Duration = Duration::from_millis(2);

/// Longest wait for bytes before the faults are looked at again.
const READ_LIMIT: Duration = Duration::from_millis(20);

/// What a proxy does to the bytes that pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProxyFault {
    /// Delay of each piece, in either direction.
    pub delay: Duration,
    /// Bytes of the dialling side are held back.
    pub holds_forward: bool,
    /// Bytes of the accepting side are held back.
    pub holds_backward: bool,
    /// New connections are closed at once.
    pub refuses: bool,
}

/// A proxy before one address.
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
    open: Mutex<Vec<TcpStream>>,
    is_over: AtomicBool,
}

impl FaultProxy {
    /// Starts a proxy on a free port of the loopback.
    ///
    /// # Errors
    ///
    /// Fails if it cannot listen.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// Starts a proxy at an address.
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
            open: Mutex::new(Vec::new()),
            is_over: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        let thread = std::thread::spawn(move || accept_all(&listener, &accepting));
        Ok(Self {
            address,
            shared,
            thread: Some(thread),
        })
    }

    /// Where the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what is done to the bytes that pass.
    pub fn set(&self, fault: ProxyFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Cuts every open connection.
    pub fn cut(&self) {
        for stream in lock(&self.shared.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        self.cut();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept_all(listener: &TcpListener, shared: &Arc<ProxyShared>) {
    let mut pumps: Vec<JoinHandle<()>> = Vec::new();
    while !shared.is_over.load(Ordering::Relaxed) {
        pumps.retain(|pump| !pump.is_finished());
        let Ok((near, _)) = listener.accept() else {
            std::thread::sleep(HOLD_PAUSE);
            continue;
        };
        if lock(&shared.fault).refuses {
            continue;
        }
        let Ok(far) = TcpStream::connect_timeout(&shared.target, Duration::from_secs(1)) else {
            continue;
        };
        pumps.extend(begin_pumps(near, far, shared));
    }
    for pump in pumps {
        let _ = pump.join();
    }
}

fn begin_pumps(near: TcpStream, far: TcpStream, shared: &Arc<ProxyShared>) -> Vec<JoinHandle<()>> {
    let copies = (
        near.try_clone(),
        far.try_clone(),
        near.try_clone(),
        far.try_clone(),
    );
    let (Ok(near_copy), Ok(far_copy), Ok(near_open), Ok(far_open)) = copies else {
        return Vec::new();
    };
    for stream in [&near, &far] {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(READ_LIMIT));
    }
    lock(&shared.open).extend([near_open, far_open]);
    let (forward, backward) = (Arc::clone(shared), Arc::clone(shared));
    vec![
        std::thread::spawn(move || pump(near, far_copy, &forward, true)),
        std::thread::spawn(move || pump(far, near_copy, &backward, false)),
    ]
}

fn pump(mut from: TcpStream, mut to: TcpStream, shared: &ProxyShared, is_forward: bool) {
    let mut bytes = vec![0; 16 * 1024];
    while !shared.is_over.load(Ordering::Relaxed) {
        let count = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_pause(&error) => continue,
            Err(_) => break,
        };
        let delay = lock(&shared.fault).delay;
        std::thread::sleep(delay);
        while is_held(shared, is_forward) && !shared.is_over.load(Ordering::Relaxed) {
            std::thread::sleep(HOLD_PAUSE);
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    // The end of a held direction is held back as well.
    while is_held(shared, is_forward) && !shared.is_over.load(Ordering::Relaxed) {
        std::thread::sleep(HOLD_PAUSE);
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

fn is_pause(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
