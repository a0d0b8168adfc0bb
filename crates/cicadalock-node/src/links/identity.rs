use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cicadalock_core::message::Hello;

/// Random bytes in a hello.
const NONCE_BYTES: usize = 16;

/// What this process says of itself when a connection begins.
#[derive(Debug, Clone)]
pub struct LinkIdentity {
    hello: Hello,
    is_leaving: Arc<AtomicBool>,
}

impl LinkIdentity {
    /// Creates an identity; the nonce of `hello` does not count.
    #[must_use]
    pub fn new(hello: Hello) -> Self {
        Self {
            hello,
            is_leaving: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Sets whether later hellos say that the process takes no new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.is_leaving.store(leaving, Ordering::Relaxed);
    }

    /// A hello with a new nonce.
    #[must_use]
    pub fn hello(&self) -> Hello {
        Hello {
            nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec(),
            leaving: self.is_leaving.load(Ordering::Relaxed),
            ..self.hello.clone()
        }
    }
}
