//! Counters and latency histograms, served as text.

use std::time::Duration;

use cuminbank_jobs::scheduler::JobMeasure;
use prometheus::{
    exponential_buckets, Encoder, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry,
    TextEncoder,
};

/// Bounds of the histograms' buckets: 16, doubling from 1 ms to 32 s.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
const BUCKET_COUNT: usize = 16;

/// Counters and histograms of a process.
pub(crate) struct JobMetrics {
    registry: Registry,
    counts: IntCounterVec,
    times: HistogramVec,
}

impl JobMetrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counts = IntCounterVec::new(
            Opts::new("cuminbank_events_total", "Events by name and queue."),
            &["name", "queue"],
        )?;
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT)?;
        let times = HistogramVec::new(
            HistogramOpts::new("cuminbank_seconds", "Durations by name and queue.")
                .buckets(buckets),
            &["name", "queue"],
        )?;
        registry.register(Box::new(counts.clone()))?;
        registry.register(Box::new(times.clone()))?;
        Ok(Self { registry, counts, times })
    }

    pub(crate) fn record(&self, measure: &JobMeasure) {
        match measure.time {
            Some(time) => self.observe(measure.name, &measure.queue, time),
            None => self.count(measure.name, &measure.queue),
        }
    }

    pub(crate) fn count(&self, name: &str, queue: &str) {
        self.counts.with_label_values(&[name, queue]).inc();
    }

    pub(crate) fn observe(&self, name: &str, queue: &str, time: Duration) {
        self.times.with_label_values(&[name, queue]).observe(time.as_secs_f64());
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(error) => format!("# not available: {error}\n").into_bytes(),
        }
    }
}
