use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held while a process is started and while a port is tried: until its program runs, a new process
/// holds copies of all sockets of this one, also of those that only try a port.
pub(crate) static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Locks a mutex, also if a thread panicked while holding it; the state that it left is used.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
