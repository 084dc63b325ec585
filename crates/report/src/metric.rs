//! Metrics to statsd.

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

const PREFIX: &str = "almondworks";
const QUEUE: usize = 8_192;

/// A sender of metrics that never blocks the traffic: what the queue cannot hold is dropped.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Returns a sender to `address`, or one that drops everything.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self { client: StatsdClient::from_sink(PREFIX, NopMetricSink) });
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
        Ok(Self { client: StatsdClient::from_sink(PREFIX, sink) })
    }

    /// Counts one event.
    pub fn count(&self, name: &str, tag: &str, value: &str) {
        self.client.count_with_tags(name, 1).with_tag(tag, value).send();
    }

    /// Reports a value.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge(name, value).ok();
    }

    /// Reports how long something took.
    pub fn time(&self, name: &str, tag: &str, value: &str, span: Duration) {
        self.client.time_with_tags(name, span).with_tag(tag, value).send();
    }
}
