//! HTTP clients that send requests to the entries of a fleet.

use {
    bytes::Bytes,
    http::{Method, Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    route::header,
    standin::target::Echo,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The outcome of a request as its caller saw it.
#[derive(Clone, Debug)]
pub struct FleetResponse {
    /// The HTTP status, or 0 if no complete response arrived.
    pub status: u16,
    /// The `x-outcome` header of a refusal.
    pub outcome: Option<String>,
    /// The `x-reason` header of a refusal.
    pub reason: Option<String>,
    /// The VM of the target that served the request.
    pub served_by: Option<String>,
    /// The response body.
    pub body: Bytes,
    /// The time from sending the request to the end of the response or the timeout.
    pub latency: Duration,
}

impl FleetResponse {
    /// Returns true if a target served the request.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.outcome.is_none()
    }

    /// Returns true if the request was refused with the outcome `not-run`.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }

    /// Returns true if the body is the complete response to a request for `path`.
    #[must_use]
    pub fn echoes(&self, path: &str) -> bool {
        serde_json::from_slice::<Echo>(&self.body).is_ok_and(|echo| echo.path == path)
    }
}

/// An HTTP client with its own connection pool.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }
}

impl Caller {
    /// Sends a GET request.
    pub async fn get(&self, entry_address: SocketAddr, path: &str) -> FleetResponse {
        self.send(Method::GET, entry_address, path, &[], "").await
    }

    /// Sends a POST request with `id` as its idempotency key and as its body.
    pub async fn post(&self, entry_address: SocketAddr, path: &str, id: &str) -> FleetResponse {
        self.send(Method::POST, entry_address, path, &[(header::IDEMPOTENCY_KEY, id)], id).await
    }

    /// Sends a GET request and returns the received body and whether the body ended regularly.
    ///
    /// If the connection breaks, the bytes received until then are returned.
    pub async fn download(&self, entry_address: SocketAddr, path: &str) -> (Vec<u8>, bool) {
        let request =
            Request::builder().uri(format!("http://{entry_address}{path}")).body(Full::default());
        let Ok(request) = request else { return (Vec::new(), false) };
        let Ok(response) = self.client.request(request).await else { return (Vec::new(), false) };
        let mut body = response.into_body();
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            match frame.map(http_body::Frame::into_data) {
                Ok(Ok(data)) => bytes.extend_from_slice(&data),
                Ok(Err(_)) => {}
                Err(_) => return (bytes, false),
            }
        }
        (bytes, true)
    }

    /// Sends a request and reads the whole response.
    pub async fn send(
        &self,
        method: Method,
        entry_address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> FleetResponse {
        let started_at = Instant::now();
        let mut builder =
            Request::builder().method(method).uri(format!("http://{entry_address}{path}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(Bytes::copy_from_slice(body.as_bytes())));
        let exchange = async {
            let response = self.client.request(request.ok()?).await.ok()?;
            read_response(response).await
        };
        let response = time::timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten();
        let latency = started_at.elapsed();
        response
            .map_or_else(|| no_response(latency), |response| FleetResponse { latency, ..response })
    }
}

fn no_response(latency: Duration) -> FleetResponse {
    FleetResponse {
        status: 0,
        outcome: None,
        reason: None,
        served_by: None,
        body: Bytes::new(),
        latency,
    }
}

async fn read_response(response: Response<Incoming>) -> Option<FleetResponse> {
    let (parts, body) = response.into_parts();
    let header_text = |name| Some(parts.headers.get(name)?.to_str().ok()?.to_owned());
    Some(FleetResponse {
        status: parts.status.as_u16(),
        outcome: header_text(header::OUTCOME),
        reason: header_text(header::REASON),
        served_by: header_text(header::SERVED_BY),
        body: body.collect().await.ok()?.to_bytes(),
        latency: Duration::ZERO,
    })
}
