use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cicadalock_core::message::Hello;

/// Length of the random nonce in a hello, in bytes.
const NONCE_BYTES: usize = 16;

/// Builds the hellos by which this process identifies itself on new connections.
#[derive(Debug, Clone)]
pub struct LinkIdentity {
    hello: Hello,
    is_leaving: Arc<AtomicBool>,
}

impl LinkIdentity {
    /// Creates an identity from `hello`, whose `nonce` and `leaving` are ignored.
    #[must_use]
    pub fn new(hello: Hello) -> Self {
        Self {
            hello,
            is_leaving: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Sets whether later hellos announce that the process accepts no new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.is_leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns a hello with a new random nonce.
    #[must_use]
    pub fn hello(&self) -> Hello {
        Hello {
            nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec(),
            leaving: self.is_leaving.load(Ordering::Relaxed),
            ..self.hello.clone()
        }
    }
}
