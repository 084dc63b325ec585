//! The server for callers: accepts connections, and closes them without cutting off a response.

use {
    crate::{shared::Shared, traffic::handle},
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    serde::Serialize,
    std::{convert::Infallible, io, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// The idle time after which a caller's connection is closed while no routing configuration is
/// known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The size of the buffer of one connection, in bytes, which is also the largest request head.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Callers.
    Callers,
    /// Other entries, which pass requests on.
    Entries,
}

/// Serves callers, or entries that pass requests on, until `stop` is true, then waits until every
/// response in flight has ended.
///
/// Returns whether all ended within `timeout`.
pub(crate) async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    kind: Kind,
    stop: watch::Receiver<bool>,
    timeout: Duration,
) -> bool {
    let on_failure = |error| log_failed_accept(&shared, &error);
    wire::accept_until(stop, listener, timeout, on_failure, |stream, graceful| {
        shared.counters.count("connections", "accepted");
        serve_connection(stream, &shared, kind, graceful);
    })
    .await
}

/// Logs that a new connection could not be accepted, such as for lack of file descriptors.
fn log_failed_accept(shared: &Shared, error: &io::Error) {
    #[derive(Serialize)]
    struct FailedAcceptLine {
        error: String,
    }
    shared.counters.count("connections", "failed");
    shared.journal.log("accept_failed", &FailedAcceptLine { error: error.to_string() });
}

/// Serves one connection in a task of its own.
fn serve_connection(
    stream: TcpStream,
    shared: &Arc<Shared>,
    kind: Kind,
    graceful: &GracefulShutdown,
) {
    let routing = shared.snapshot.load().routing.clone();
    let idle_timeout = routing
        .map_or(DEFAULT_IDLE_TIMEOUT, |routing| Duration::from_millis(routing.limits.idle_ms));
    let counted = Arc::clone(shared);
    let shared = Arc::clone(shared);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move {
            Ok::<_, Infallible>(match kind {
                Kind::Callers => handle::handle_request(shared, request).await,
                Kind::Entries => handle::handle_relayed(shared, request).await,
            })
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // An error means that the caller has disconnected; there is nobody to report it to.
        watched.await.ok();
        counted.counters.count("connections", "closed");
    });
}

/// Answers the readiness check of the load balancer: whether this entry takes new connections.
pub(crate) fn handle_readiness_check(
    shared: &Shared,
    request: &Request<Incoming>,
) -> Response<Full<bytes::Bytes>> {
    let mut response = Response::new(Full::default());
    let is_ready_path = request.uri().path() == platform::header::READY_PATH;
    *response.status_mut() = if !is_ready_path {
        StatusCode::NOT_FOUND
    } else if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}
