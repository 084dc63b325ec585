//! The calling side.

use {
    crate::{Error, ErrorKind},
    bytes::Bytes,
    http::{Method, Request, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::time,
};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_BODY_LIMIT_BYTES: usize = 64 << 20;
const IDLE_PER_HOST: usize = 2;
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The probes by which a connection that went silent is found out while an answer is awaited.
const PROBE_AFTER: Duration = Duration::from_millis(700);
const PROBE_EVERY: Duration = Duration::from_millis(350);
const PROBES: u32 = 3;

/// The time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// The bounds of a [`Client`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    timeout: Duration,
    connect_timeout: Duration,
    body_limit: usize,
    source: Option<IpAddr>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            timeout: DEFAULT_TIMEOUT,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            body_limit: DEFAULT_BODY_LIMIT_BYTES,
            source: None,
        }
    }
}

impl Config {
    /// Sets the time that one exchange may take.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the time that opening a connection may take.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the address from which connections are opened.
    #[must_use]
    pub const fn source(mut self, source: Option<IpAddr>) -> Self {
        self.source = source;
        self
    }

    /// Sets the largest answer, in bytes.
    #[must_use]
    pub const fn body_limit(mut self, bytes: usize) -> Self {
        self.body_limit = bytes;
        self
    }

    /// Builds the client.
    #[must_use]
    pub fn build(self) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(self.source);
        connector.set_connect_timeout(Some(self.timeout.min(self.connect_timeout)));
        connector.set_keepalive(Some(PROBE_AFTER));
        connector.set_keepalive_interval(Some(PROBE_EVERY));
        connector.set_keepalive_retries(Some(PROBES));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(IDLE_PER_HOST)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Client { inner, config: self }
    }
}

/// A client for small JSON exchanges.
///
/// An exchange that runs out of time closes its connection, so a silent connection costs one
/// exchange and the next one opens a fresh connection.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    config: Config,
}

impl Client {
    /// Sends `body` as JSON and reads the answer as JSON.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose kind tells whether the request may have run.
    pub async fn post<B, R>(&self, to: SocketAddr, path: &str, body: &B) -> Result<R, Error>
    where
        B: Serialize + ?Sized,
        R: DeserializeOwned,
    {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::new(ErrorKind::Malformed, Some(to), error))?;
        let answer = self.send(Method::POST, to, path, body.into()).await?;
        decode(to, &answer)
    }

    /// Asks for `path` and reads the answer as JSON.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose kind tells what went wrong.
    pub async fn get<R: DeserializeOwned>(&self, to: SocketAddr, path: &str) -> Result<R, Error> {
        let answer = self.send(Method::GET, to, path, Bytes::new()).await?;
        decode(to, &answer)
    }

    /// Sends raw bytes and returns the raw answer of a success.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose kind tells whether the request may have run.
    pub async fn send(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::new(ErrorKind::Unsent, Some(to), error))?;
        let exchange = self.exchange(to, request);
        match time::timeout(self.config.timeout, exchange).await {
            Ok(result) => result,
            Err(error) => Err(Error::new(ErrorKind::Ambiguous, Some(to), error)),
        }
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Bytes, Error> {
        let response = self.inner.request(request).await.map_err(|error| {
            let kind = if error.is_connect() { ErrorKind::Unsent } else { ErrorKind::Ambiguous };
            Error::new(kind, Some(to), error)
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), self.config.body_limit);
        let bytes = body
            .collect()
            .await
            .map_err(|error| Error::new(ErrorKind::Ambiguous, Some(to), error))?
            .to_bytes();
        if status == StatusCode::OK {
            return Ok(bytes);
        }
        let detail = String::from_utf8_lossy(&bytes);
        Err(Error::new(ErrorKind::Status(status.as_u16()), Some(to), detail))
    }
}

fn decode<R: DeserializeOwned>(from: SocketAddr, bytes: &[u8]) -> Result<R, Error> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::new(ErrorKind::Malformed, Some(from), error))
}
