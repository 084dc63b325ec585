//! Accepting connections, for all servers.
//!
//! An accept fails for lack of file descriptors, or since the caller has left; neither ends a
//! server. Each failure is reported to the server and followed by a pause, so that a lasting one
//! causes no busy loop.

use {
    hyper_util::server::graceful::GracefulShutdown,
    std::{io, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time,
    },
};

/// The pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for the next connection, which sends small writes at once. Each failure until then is
/// passed to `on_failure`.
pub async fn accept(listener: &TcpListener, mut on_failure: impl FnMut(io::Error)) -> TcpStream {
    loop {
        let accepted = listener.accept().await;
        let ready = accepted.and_then(|(stream, _)| stream.set_nodelay(true).map(|()| stream));
        match ready {
            Ok(stream) => return stream,
            Err(error) => {
                on_failure(error);
                time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Passes each new connection to `serve` until `stop` is true, then waits until every response in
/// flight on connections that `serve` has handed to the [`GracefulShutdown`] has ended.
///
/// Returns whether all ended within `timeout`.
pub async fn accept_until(
    mut stop: watch::Receiver<bool>,
    listener: TcpListener,
    timeout: Duration,
    mut on_failure: impl FnMut(io::Error),
    serve: impl Fn(TcpStream, &GracefulShutdown),
) -> bool {
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener, &mut on_failure) => stream,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        serve(stream, &graceful);
    }
    drop(listener);
    time::timeout(timeout, graceful.shutdown()).await.is_ok()
}
