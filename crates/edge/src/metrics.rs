//! Counters and latency histograms in the text format of Prometheus.

use {
    crate::sync::lock,
    std::{
        collections::BTreeMap,
        fmt::Write,
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// The upper bounds of the buckets of a histogram, in milliseconds.
const BUCKET_BOUNDS_MS: [u64; 10] = [10, 25, 50, 100, 200, 300, 400, 600, 1_000, 2_000];

/// A histogram of latencies.
#[derive(Debug, Default)]
struct Histogram {
    buckets: [AtomicU64; BUCKET_BOUNDS_MS.len() + 1],
    sum_ms: AtomicU64,
}

impl Histogram {
    fn record(&self, latency: Duration) {
        let millis = latency.as_millis() as u64;
        let index = BUCKET_BOUNDS_MS.partition_point(|bound| *bound < millis);
        self.buckets[index].fetch_add(1, Ordering::Relaxed);
        self.sum_ms.fetch_add(millis, Ordering::Relaxed);
    }
}

/// The metrics of one process. Names and units are in docs/METRICS.md.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    counts: Mutex<BTreeMap<(&'static str, String), u64>>,
    latencies: Mutex<BTreeMap<String, Histogram>>,
}

impl Counters {
    /// Adds one to the counter of a name and a label.
    pub(crate) fn count(&self, name: &'static str, label: &str) {
        self.add(name, label, 1);
    }

    /// Adds `amount` to the counter of a name and a label.
    pub(crate) fn add(&self, name: &'static str, label: &str, amount: u64) {
        *lock(&self.counts).entry((name, label.to_owned())).or_default() += amount;
    }

    /// Sets a gauge.
    pub(crate) fn set(&self, name: &'static str, value: u64) {
        lock(&self.counts).insert((name, String::new()), value);
    }

    /// Sets a gauge of a name and a label.
    pub(crate) fn set_labelled(&self, name: &'static str, label: &str, value: u64) {
        lock(&self.counts).insert((name, label.to_owned()), value);
    }

    /// Records the latency of a request to a service.
    pub(crate) fn record_latency(&self, service: &str, latency: Duration) {
        let mut latencies = lock(&self.latencies);
        if let Some(histogram) = latencies.get(service) {
            histogram.record(latency);
            return;
        }
        latencies.entry(service.to_owned()).or_default().record(latency);
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn to_prometheus(&self) -> String {
        let mut text = String::new();
        for ((name, label), value) in &*lock(&self.counts) {
            let labels =
                if label.is_empty() { String::new() } else { format!("{{of=\"{label}\"}}") };
            append(&mut text, format_args!("almondworks_{name}{labels} {value}\n"));
        }
        for (service, histogram) in &*lock(&self.latencies) {
            let mut total = 0;
            for (index, bucket) in histogram.buckets.iter().enumerate() {
                total += bucket.load(Ordering::Relaxed);
                let bound = BUCKET_BOUNDS_MS
                    .get(index)
                    .map_or_else(|| "+Inf".to_owned(), ToString::to_string);
                append(
                    &mut text,
                    format_args!(
                        "almondworks_latency_ms_bucket{{service=\"{service}\",le=\"{bound}\"}} {total}\n"
                    ),
                );
            }
            let sum = histogram.sum_ms.load(Ordering::Relaxed);
            append(
                &mut text,
                format_args!(
                    "almondworks_latency_ms_sum{{service=\"{service}\"}} {sum}\n\
                     almondworks_latency_ms_count{{service=\"{service}\"}} {total}\n"
                ),
            );
        }
        text
    }
}

/// Appends formatted text; writing to a `String` cannot fail.
fn append(text: &mut String, arguments: std::fmt::Arguments<'_>) {
    if text.write_fmt(arguments).is_err() {
        text.push('\n');
    }
}
