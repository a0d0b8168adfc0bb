use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; what a thread that panicked has left counts.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
