//! Accepts the connections of callers and shuts them down without breaking off a response.

use {
    crate::traffic::handle::{self, Context},
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    log::warn,
    quota::{Group, Phase},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
    wire::{Metered, Permit},
};

/// The time in which a caller must send the headers of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves callers until `stop` is true, then waits until every response in flight has ended.
///
/// Returns true if all ended before the timeout `stop_ms` of the settings.
pub(crate) async fn serve(
    listener: TcpListener,
    context: Arc<Context>,
    stop: watch::Receiver<bool>,
) -> bool {
    let timeout = Duration::from_millis(context.shared.settings.traffic.stop_ms.get());
    let on_failure = |error| warn!("a caller's connection was not accepted: {error}");
    wire::accept_until(stop, listener, timeout, on_failure, |stream, graceful| {
        if let Some(permit) = context.shared.limiter.admit(Group::Callers) {
            spawn_connection(stream, &context, &permit, graceful);
        }
    })
    .await
}

fn spawn_connection(
    stream: TcpStream,
    context: &Arc<Context>,
    permit: &Permit,
    graceful: &GracefulShutdown,
) {
    let buffer_bytes = context.shared.settings.traffic.buffer_bytes.get() as usize;
    let context = Arc::clone(context);
    let stream = Metered::new(stream, permit.clone(), buffer_bytes);
    let of_request = permit.clone();
    let service = service_fn(move |mut request| {
        let permit = of_request.clone();
        permit.begin(&mut request);
        // A body that is not held is passed on while its request runs, and before one is read the
        // request may have to wait.
        permit.set_phase(Phase::Running);
        let response = handle::handle_request(Arc::clone(&context), request);
        async move { Ok::<_, Infallible>(permit.respond(response.await)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    let task = tokio::spawn(async move {
        watched.await.ok();
    });
    permit.set_task(task.abort_handle());
}
