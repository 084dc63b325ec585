//! Callers of the entries.

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

const TIMEOUT: Duration = Duration::from_secs(30);

/// What a caller got.
#[derive(Clone, Debug)]
pub struct FleetResponse {
    /// The status, or zero where no whole answer came.
    pub status: u16,
    /// The outcome of a refusal.
    pub outcome: Option<String>,
    /// The reason of a refusal.
    pub reason: Option<String>,
    /// The target that answered.
    pub served_by: Option<String>,
    /// The body.
    pub body: Bytes,
    /// How long it took.
    pub latency: Duration,
}

impl FleetResponse {
    /// Tells whether the request was answered by a target.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.outcome.is_none()
    }

    /// Tells whether the request was refused as not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }

    /// Tells whether the answer is the whole answer to `path`.
    #[must_use]
    pub fn echoes(&self, path: &str) -> bool {
        serde_json::from_slice::<Echo>(&self.body).is_ok_and(|echo| echo.path == path)
    }
}

/// A caller with connections of its own.
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
    /// Sends a GET.
    pub async fn get(&self, to: SocketAddr, path: &str) -> FleetResponse {
        self.send(Method::GET, to, path, &[], "").await
    }

    /// Sends a POST with an idempotency key.
    pub async fn post(&self, to: SocketAddr, path: &str, id: &str) -> FleetResponse {
        self.send(Method::POST, to, path, &[(header::IDEMPOTENCY_KEY, id)], id).await
    }

    /// Sends a GET and returns the bytes that came before the answer ended or broke off, and whether
    /// it ended as it should.
    pub async fn download(&self, to: SocketAddr, path: &str) -> (Vec<u8>, bool) {
        let request = Request::builder().uri(format!("http://{to}{path}")).body(Full::default());
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

    /// Sends a request and reads its answer whole.
    pub async fn send(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> FleetResponse {
        let started = Instant::now();
        let mut builder = Request::builder().method(method).uri(format!("http://{to}{path}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(Bytes::copy_from_slice(body.as_bytes())));
        let exchange = async {
            let response = self.client.request(request.ok()?).await.ok()?;
            read(response).await
        };
        let response = time::timeout(TIMEOUT, exchange).await.ok().flatten();
        let latency = started.elapsed();
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

async fn read(response: Response<Incoming>) -> Option<FleetResponse> {
    let (parts, body) = response.into_parts();
    let text = |name| Some(parts.headers.get(name)?.to_str().ok()?.to_owned());
    Some(FleetResponse {
        status: parts.status.as_u16(),
        outcome: text(header::OUTCOME),
        reason: text(header::REASON),
        served_by: text(header::SERVED_BY),
        body: body.collect().await.ok()?.to_bytes(),
        latency: Duration::ZERO,
    })
}
