//! The callers' side: accepting connections, and ending them without breaking an answer.

use {
    crate::{shared::Shared, traffic::handle},
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time,
    },
};

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The idle time of a caller's connection before a routing text says otherwise.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// The buffer of one connection, in bytes; it holds the largest request head.
const BUFFER_BYTES: usize = 32 << 10;

/// Serves callers until `stop` says so, then waits until every answer in flight has ended.
///
/// Returns whether all ended within `limit`.
pub(crate) async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut stop: watch::Receiver<bool>,
    limit: Duration,
) -> bool {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream, &shared, &graceful),
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    time::timeout(limit, graceful.shutdown()).await.is_ok()
}

fn spawn(stream: TcpStream, shared: &Arc<Shared>, graceful: &GracefulShutdown) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let routing = shared.snapshot.load().routing.clone();
    let idle =
        routing.map_or(DEFAULT_IDLE, |routing| Duration::from_millis(routing.limits.idle_ms));
    let shared = Arc::clone(shared);
    let service = service_fn(move |request| {
        let answer = handle::answer(Arc::clone(&shared), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A caller that went away has nothing more to be told.
        watched.await.ok();
    });
}

/// Tells the balancer whether this entry takes new connections.
pub(crate) fn ready(shared: &Shared, request: &Request<Incoming>) -> Response<Full<bytes::Bytes>> {
    let mut response = Response::new(Full::default());
    let known = request.uri().path() == platform::header::READY_PATH;
    *response.status_mut() = if !known {
        StatusCode::NOT_FOUND
    } else if shared.snapshot.load().is_ready() && !shared.is_stopping() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}
