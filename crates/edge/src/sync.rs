//! Locks of state that both threads use.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose data stays valid even if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
