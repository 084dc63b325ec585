//! An open-loop load generator: requests start at fixed times, however long earlier ones take.

use {
    hdrhistogram::Histogram,
    http::{Method, Request},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The configuration of a load.
#[derive(Clone, Debug)]
pub struct Config {
    /// The addresses to which requests go in turn.
    pub addresses: Vec<SocketAddr>,
    /// The number of requests per second.
    pub rate: f64,
    /// How long new requests are started.
    pub duration: Duration,
    /// The path of the requests, in which `{}` stands for the key.
    pub path: String,
    /// The number of keys, which are used in turn, from 0.
    pub key_count: u64,
    /// The headers of each request.
    pub headers: Vec<(String, String)>,
}

/// The results of a load.
#[derive(Clone, Debug)]
pub struct Report {
    /// The latency of each request in microseconds, from the moment at which it was due to start.
    pub latencies_us: Histogram<u64>,
    /// The number of responses by status; 0 counts the requests without a complete response.
    pub statuses: BTreeMap<u16, u64>,
}

/// Runs a load and returns its results when all requests have ended.
///
/// # Panics
///
/// Panics if the bounds of the histogram are invalid, which its constants rule out, or if there
/// are requests to send but no addresses or keys.
pub async fn run(config: &Config) -> Report {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client<_, Full<bytes::Bytes>> =
        Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector);
    let latencies_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are valid");
    let report = Arc::new(Mutex::new(Report { latencies_us, statuses: BTreeMap::new() }));
    let start = Instant::now();
    let request_count = (config.rate * config.duration.as_secs_f64()) as u64;
    let mut tasks = JoinSet::new();
    for number in 0..request_count {
        let due_at = start + Duration::from_secs_f64(number as f64 / config.rate);
        time::sleep_until(due_at.into()).await;
        let address = config.addresses[number as usize % config.addresses.len()];
        let path = config.path.replace("{}", &(number % config.key_count).to_string());
        let mut builder =
            Request::builder().method(Method::GET).uri(format!("http://{address}{path}"));
        for (name, value) in &config.headers {
            builder = builder.header(name, value);
        }
        let Ok(request) = builder.body(Full::default()) else { continue };
        let (client, report) = (client.clone(), Arc::clone(&report));
        tasks.spawn(async move {
            let status = match client.request(request).await {
                Ok(response) => {
                    let status = response.status().as_u16();
                    response.into_body().collect().await.map_or(0, |_| status)
                }
                Err(_) => 0,
            };
            let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
            report.latencies_us.saturating_record(due_at.elapsed().as_micros() as u64);
            *report.statuses.entry(status).or_default() += 1;
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let report = report.lock().unwrap_or_else(PoisonError::into_inner);
    report.clone()
}
