use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if a thread panicked while holding it; the state that it left is used.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
