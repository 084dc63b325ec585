//! Metrics in the statsd protocol.

use {
    cadence::{
        BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient,
        Timed,
    },
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        time::Duration,
    },
};

const METRIC_PREFIX: &str = "almondworks";
/// The maximum number of metrics that wait for the sender thread.
const QUEUE_CAPACITY: usize = 8_192;

/// A statsd client that never blocks its callers: metrics that find the queue full are dropped.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Returns a client that sends to `address`, or one that discards all metrics if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be opened.
    pub fn new(address: Option<SocketAddr>) -> io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self { client: StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink) });
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
        Ok(Self { client: StatsdClient::from_sink(METRIC_PREFIX, sink) })
    }

    /// Increments a counter by one, with a tag.
    pub fn count(&self, name: &str, tag: &str, value: &str) {
        self.client.count_with_tags(name, 1).with_tag(tag, value).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge(name, value).ok();
    }

    /// Reports a duration, with a tag.
    pub fn time(&self, name: &str, tag: &str, value: &str, span: Duration) {
        self.client.time_with_tags(name, span).with_tag(tag, value).send();
    }
}
