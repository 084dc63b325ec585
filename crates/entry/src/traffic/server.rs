//! The callers' side: accepting connections, and ending them without breaking an answer.

use {
    crate::traffic::handle::{self, Context},
    hyper::{server::conn::http1, service::service_fn},
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

const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves callers until `stop` says so, then waits until every answer in flight has ended.
///
/// Returns whether all ended before the limit of the settings.
pub(crate) async fn serve(
    listener: TcpListener,
    context: Arc<Context>,
    mut stop: watch::Receiver<bool>,
) -> bool {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream, &context, &graceful),
            Err(_) => time::sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
    drop(listener);
    let limit = Duration::from_millis(context.shared.settings.traffic.stop_ms.get());
    time::timeout(limit, graceful.shutdown()).await.is_ok()
}

fn spawn(stream: TcpStream, context: &Arc<Context>, graceful: &GracefulShutdown) {
    stream.set_nodelay(true).ok();
    let buffer = context.shared.settings.traffic.buffer_bytes.get() as usize;
    let context = Arc::clone(context);
    let service = service_fn(move |request| {
        let answer = handle::handle_request(Arc::clone(&context), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        watched.await.ok();
    });
}
