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
    quota::Group,
    serde::Serialize,
    std::{convert::Infallible, io, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
    wire::{MAX_HEAD_BYTES, Metered, Permit},
};

/// The idle time after which a caller's connection is closed while no routing configuration is
/// known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Callers.
    Callers,
    /// Other entries, which pass requests on.
    Entries,
}

impl Kind {
    const fn group(self) -> Group {
        match self {
            Self::Callers => Group::Callers,
            Self::Entries => Group::Entries,
        }
    }
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
        match shared.limiter.admit(kind.group()) {
            Some(permit) => serve_connection(stream, &shared, kind, &permit, graceful),
            None => shared.counters.count("connections", "closed"),
        }
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
    permit: &Permit,
    graceful: &GracefulShutdown,
) {
    let routing = shared.snapshot.load().routing.clone();
    let idle_timeout = routing
        .map_or(DEFAULT_IDLE_TIMEOUT, |routing| Duration::from_millis(routing.limits.idle_ms));
    let counted = Arc::clone(shared);
    let shared = Arc::clone(shared);
    let stream = Metered::new(stream, permit.clone(), MAX_HEAD_BYTES);
    let of_request = permit.clone();
    let service = service_fn(move |mut request| {
        let (shared, permit) = (Arc::clone(&shared), of_request.clone());
        permit.begin(&mut request);
        async move {
            let response = match kind {
                Kind::Callers => handle::handle_request(shared, request).await,
                Kind::Entries => handle::handle_relayed(shared, request).await,
            };
            Ok::<_, Infallible>(permit.respond(response))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    let closed = Closed(counted);
    let task = tokio::spawn(async move {
        // An error means that the caller has disconnected; there is nobody to report it to.
        watched.await.ok();
        drop(closed);
    });
    permit.set_task(task.abort_handle());
}

/// Counts a connection as closed when it is dropped, also if its task is ended from outside.
struct Closed(Arc<Shared>);

impl Drop for Closed {
    fn drop(&mut self) {
        self.0.counters.count("connections", "closed");
    }
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
