//! The HTTP client.

use {
    crate::{Error, ErrorKind},
    bytes::{Bytes, BytesMut},
    http::{Method, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fmt,
        net::{IpAddr, SocketAddr},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Any error of reading a body.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The longest time for the body of a response that may take as long as it makes progress.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(20);

/// The maximum size of a target's response to control traffic, in bytes.
const MAX_TARGET_RESPONSE_BYTES: usize = 64 << 10;
const MAX_IDLE_CONNECTIONS_PER_HOST: usize = 2;
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// The idle time before the first TCP keep-alive probe, and the time between two. The kernel counts
/// them in whole seconds. The probes detect a dead connection while a response is awaited; once one
/// is unanswered, [`UNACKNOWLEDGED_DATA_TIMEOUT`] ends the connection, whatever their number.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The time for which sent data may remain unacknowledged before the connection is closed.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The timeouts, limits and local address of a [`Client`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    timeout: Duration,
    connect_timeout: Duration,
    stall_timeout: Option<Duration>,
    max_response_bytes: usize,
    source: Option<IpAddr>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            timeout: DEFAULT_TIMEOUT,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            stall_timeout: None,
            max_response_bytes: DEFAULT_MAX_RESPONSE_BYTES,
            source: None,
        }
    }
}

impl Config {
    /// Sets the timeout of one request, from connecting to the end of the response.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the time for which the body of a response may bring no further byte. The timeout of the
    /// request then ends with the head of the response, so that a large body has the time that its
    /// link needs, up to a fixed limit.
    #[must_use]
    pub const fn stall_timeout(mut self, timeout: Option<Duration>) -> Self {
        self.stall_timeout = timeout;
        self
    }

    /// Sets the timeout of opening a connection.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the local address of connections; by default, the operating system chooses it.
    #[must_use]
    pub const fn source(mut self, source: Option<IpAddr>) -> Self {
        self.source = source;
        self
    }

    /// Sets the maximum size of a response body, in bytes.
    #[must_use]
    pub const fn max_response_bytes(mut self, bytes: usize) -> Self {
        self.max_response_bytes = bytes;
        self
    }

    /// Limits response bodies to what a target has to say, which may send without end.
    #[must_use]
    pub const fn for_targets(self) -> Self {
        self.max_response_bytes(MAX_TARGET_RESPONSE_BYTES)
    }

    /// Builds the client.
    #[must_use]
    pub fn build(self) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(self.source);
        connector.set_connect_timeout(Some(self.timeout.min(self.connect_timeout)));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_HOST)
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            // Each request is sent at most once; retries are left to the caller.
            .retry_canceled_requests(false)
            .build(connector);
        Client { inner, config: self }
    }
}

/// A client for small requests with JSON bodies.
///
/// A request that times out closes its connection, so a connection that stopped responding fails
/// one request only, and the next one opens a new connection.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    config: Config,
}

impl Client {
    /// Sends a POST request with `body` as JSON and deserializes the response.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose kind tells whether the server may have run the request.
    pub async fn post<B, R>(&self, address: SocketAddr, path: &str, body: &B) -> Result<R, Error>
    where
        B: Serialize + ?Sized,
        R: DeserializeOwned,
    {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::new(ErrorKind::Malformed, Some(address), error))?;
        let response = self.send(Method::POST, address, path, body.into()).await?;
        decode(address, &response)
    }

    /// Sends a GET request for `path` and deserializes the response.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no valid response with status 200 arrives.
    pub async fn get<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<R, Error> {
        let response = self.send(Method::GET, address, path, Bytes::new()).await?;
        decode(address, &response)
    }

    /// Sends a request with a raw body and returns the raw body of a response with status 200.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose kind tells whether the server may have run the request.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let response = self.exchange(method, address, path, body).await?;
        let status = response.status();
        if status == StatusCode::OK {
            return Ok(response.into_body());
        }
        let message = String::from_utf8_lossy(response.body()).into_owned();
        Err(Error::new(ErrorKind::Status(status.as_u16()), Some(address), message))
    }

    /// Sends a request with a raw body and returns the whole response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose kind tells whether the server may have run the request.
    pub async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::new(ErrorKind::Unsent, Some(address), error))?;
        let ambiguous =
            |error: &dyn fmt::Display| Error::new(ErrorKind::Ambiguous, Some(address), error);
        let started_at = Instant::now();
        let response = time::timeout(self.config.timeout, self.inner.request(request)).await;
        let response = response.map_err(|error| ambiguous(&error))?.map_err(|error| {
            let kind = if error.is_connect() { ErrorKind::Unsent } else { ErrorKind::Ambiguous };
            Error::new(kind, Some(address), error)
        })?;
        let (parts, body) = response.into_parts();
        let body = match self.config.stall_timeout {
            Some(stall) => time::timeout(MAX_TRANSFER_TIME, self.read_body(body, stall)).await,
            None => {
                let left = self.config.timeout.saturating_sub(started_at.elapsed());
                time::timeout(left, self.read_body(body, left)).await
            }
        };
        let body = body.map_err(|error| ambiguous(&error))?.map_err(|error| ambiguous(&error))?;
        Ok(Response::from_parts(parts, body))
    }

    /// Reads a body that brings some bytes at least every `stall`.
    async fn read_body(&self, body: Incoming, stall: Duration) -> Result<Bytes, BoxError> {
        let mut body = Limited::new(body, self.config.max_response_bytes);
        let mut bytes = BytesMut::new();
        while let Some(frame) = time::timeout(stall, body.frame()).await? {
            if let Ok(data) = frame?.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        Ok(bytes.freeze())
    }
}

fn decode<R: DeserializeOwned>(address: SocketAddr, bytes: &[u8]) -> Result<R, Error> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::new(ErrorKind::Malformed, Some(address), error))
}
