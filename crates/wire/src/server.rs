//! The HTTP server and helpers for its handlers.

use {
    crate::{
        Error, ErrorKind,
        collect::collect,
        limiter::{Limiter, Permit},
        listener::accept,
        metered::{MAX_HEAD_BYTES, Metered},
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode, header},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    quota::{Group, Limits},
    serde::{Serialize, de::DeserializeOwned},
    std::{convert::Infallible, future::Future, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A response of a control endpoint.
pub type Reply = Response<Full<Bytes>>;

/// Reads the body of a request, up to `limit` bytes.
///
/// # Errors
///
/// Returns [`ErrorKind::TooLarge`] if the body exceeds the limit, has no room, or breaks off.
pub async fn read_body(request: Request<Incoming>, limit: usize) -> Result<Bytes, Error> {
    let (parts, incoming) = request.into_parts();
    let body = collect(incoming, limit, parts.extensions.get::<Permit>()).await;
    body.map_err(|error| Error::new(ErrorKind::TooLarge(limit), None, error))
}

/// Reads the body of a request, up to `limit` bytes, and deserializes it from JSON.
///
/// # Errors
///
/// Returns [`ErrorKind::TooLarge`] if the body exceeds the limit or breaks off, and
/// [`ErrorKind::Malformed`] if it is not the expected JSON.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit: usize,
) -> Result<T, Error> {
    let bytes = read_body(request, limit).await?;
    serde_json::from_slice(&bytes).map_err(|error| Error::new(ErrorKind::Malformed, None, error))
}

/// Returns a response with `status` and a JSON body.
#[must_use]
pub fn json<T: Serialize + ?Sized>(status: StatusCode, body: &T) -> Reply {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::new(Full::new(bytes.into()));
    *reply.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, content_type);
    reply
}

/// Returns a response with `status` and an empty body.
#[must_use]
pub fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

/// Accepts connections on `listener` and answers each request with `handler`, within the limits of a
/// process whose settings name none; never returns.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let limiter = Limiter::new(Limits::of_vm(None, None));
    serve_within(listener, limiter, Group::Control, handler).await;
}

/// Accepts connections on `listener` and answers each request with `handler`, within the limits that
/// all listeners of a process share; never returns.
pub async fn serve_within<H, F>(listener: TcpListener, limiter: Limiter, group: Group, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let stream = accept(&listener, |error| {
            log::warn!("a connection for control traffic was not accepted: {error}");
        })
        .await;
        if let Some(permit) = limiter.admit(group) {
            serve_connection(stream, &permit, handler.clone());
        }
    }
}

/// Serves one connection in a task of its own.
fn serve_connection<H, F>(stream: TcpStream, permit: &Permit, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let stream = Metered::new(stream, permit.clone(), MAX_HEAD_BYTES);
    let of_request = permit.clone();
    let service = service_fn(move |mut request| {
        let permit = of_request.clone();
        permit.begin(&mut request);
        let reply = handler(request);
        async move { Ok::<_, Infallible>(permit.respond(reply.await)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let task = tokio::spawn(async move {
        connection.await.ok();
    });
    permit.set_task(task.abort_handle());
}
