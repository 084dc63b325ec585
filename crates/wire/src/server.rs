//! The HTTP server and helpers for its handlers.

use {
    crate::{Error, ErrorKind, listener::accept},
    bytes::Bytes,
    http::{Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::{Serialize, de::DeserializeOwned},
    std::{convert::Infallible, future::Future, time::Duration},
    tokio::net::TcpListener,
};

const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A response of a control endpoint.
pub type Reply = Response<Full<Bytes>>;

/// Reads the body of a request, up to `limit` bytes.
///
/// # Errors
///
/// Returns [`ErrorKind::TooLarge`] if the body exceeds the limit or breaks off.
pub async fn read_body(request: Request<Incoming>, limit: usize) -> Result<Bytes, Error> {
    let body = Limited::new(request.into_body(), limit).collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .map_err(|error| Error::new(ErrorKind::TooLarge(limit), None, error))
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

/// Accepts connections on `listener` and answers each request with `handler`; never returns.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let stream = accept(&listener, |error| {
            log::warn!("a connection for control traffic was not accepted: {error}");
        })
        .await;
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let reply = handler(request);
            async move { Ok::<_, Infallible>(reply.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            connection.await.ok();
        });
    }
}
