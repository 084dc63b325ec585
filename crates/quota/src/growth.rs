//! How the buffer of a body grows.
//!
//! A stated size is no reason to hold as much: a caller may state any size and send nothing.

/// The capacity up to which a buffer doubles, in bytes. From there on it grows by a quarter, so that
/// less of a large buffer is unused.
const DOUBLING_LIMIT: usize = 1 << 20;

/// The smallest capacity, in bytes.
const MIN_CAPACITY: usize = 512;

/// Returns the capacity for a buffer that has to take `needed` bytes. `expected` is the size that the
/// sender has stated, which is not exceeded needlessly.
#[must_use]
pub fn next_capacity(current: usize, needed: usize, expected: Option<usize>) -> usize {
    if needed <= current {
        return current;
    }
    let step = if current < DOUBLING_LIMIT { current.max(MIN_CAPACITY) } else { current / 4 };
    let grown = needed.max(current + step);
    match expected {
        Some(expected) if expected >= needed => grown.min(expected),
        _ => grown,
    }
}
