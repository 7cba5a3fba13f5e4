//! Metrics in statsd format over UDP.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
};

use cadence::{
    Counted, Gauged, MetricBuilder, MetricSink, NopMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use cuminbank::effect::{MetricSample, MetricValue};

/// Statsd client of the daemon.
pub struct MetricSender {
    client: StatsdClient,
}

impl MetricSender {
    /// Creates a sender; without an address all samples are discarded.
    ///
    /// Fails if no UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> io::Result<Self> {
        let client = match address {
            None => new_client(NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                new_client(UdpMetricSink::from(address, socket).map_err(io::Error::other)?)
            }
        };
        Ok(Self { client })
    }

    /// Sends a sample without blocking; one that cannot be sent is dropped.
    pub fn send(&self, sample: &MetricSample) {
        let client = &self.client;
        match sample.value {
            MetricValue::Count(value) => {
                with_tags(client.count_with_tags(sample.name, value as i64), sample).send();
            }
            MetricValue::Gauge(value) => {
                with_tags(client.gauge_with_tags(sample.name, value), sample).send();
            }
            MetricValue::Time(value) => {
                with_tags(client.time_with_tags(sample.name, value), sample).send();
            }
        }
    }
}

fn new_client(
    sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
) -> StatsdClient {
    StatsdClient::builder("cuminbank", sink).with_error_handler(|_| {}).build()
}

fn with_tags<'a, T>(
    builder: MetricBuilder<'a, 'a, T>,
    sample: &'a MetricSample,
) -> MetricBuilder<'a, 'a, T>
where
    T: cadence::Metric + From<String>,
{
    builder.with_tag("class", &sample.class).with_tag("customer", &sample.customer)
}
