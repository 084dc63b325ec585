//! How long it takes until a call is sent.
//!
//! A busy process may get to the task that writes a request long after the call was made. A caller
//! that draws conclusions from how long it waited must not count that time.

use {
    futures::future,
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    tokio::task,
};

/// The number of times that other tasks of the runtime get their turn before a request counts as
/// written: the client hands it to the task of its connection.
const TURNS: usize = 4;

/// Makes a call and returns its result with the time that it took at most until its request was
/// written, provided that a connection was open. The call must run on a single-threaded runtime.
pub async fn with_sending_delay<T>(call: impl Future<Output = T>) -> (T, Duration) {
    let called_at = Instant::now();
    let sending_delay = async {
        for _ in 0..TURNS {
            task::yield_now().await;
        }
        called_at.elapsed()
    };
    future::join(call, sending_delay).await
}
