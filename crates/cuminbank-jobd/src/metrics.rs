//! Prometheus counters, latency histograms and gauges.

use std::time::Duration;

use cuminbank_jobs::scheduler::JobMeasure;
use cuminbank_net::memory_report::MemoryPart;
use prometheus::{
    exponential_buckets, Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, Opts,
    Registry, TextEncoder,
};

/// Upper bound of the first histogram bucket. The 16 bounds double from 1 ms to 32 s.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Number of histogram buckets.
const BUCKET_COUNT: usize = 16;

/// Counters and histograms of this process by name and queue, and current values by name and service.
pub(crate) struct JobMetrics {
    registry: Registry,
    counts: IntCounterVec,
    times: HistogramVec,
    values: GaugeVec,
    memory: GaugeVec,
    memory_limits: GaugeVec,
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
        let values = GaugeVec::new(
            Opts::new("cuminbank_values", "Current values by name and service."),
            &["name", "service"],
        )?;
        let memory =
            GaugeVec::new(Opts::new("cuminbank_memory", "Bytes held by part."), &["part"])?;
        let memory_limits = GaugeVec::new(
            Opts::new("cuminbank_memory_limit", "Limits on the bytes held by part."),
            &["part"],
        )?;
        registry.register(Box::new(memory.clone()))?;
        registry.register(Box::new(memory_limits.clone()))?;
        registry.register(Box::new(values.clone()))?;
        registry.register(Box::new(counts.clone()))?;
        registry.register(Box::new(times.clone()))?;
        Ok(Self { registry, counts, times, values, memory, memory_limits })
    }

    /// Records a measure of the scheduler: a duration if it has one, otherwise a count.
    pub(crate) fn record(&self, measure: &JobMeasure) {
        match measure.time {
            Some(time) => self.observe(measure.name, &measure.queue, time),
            None => self.count(measure.name, &measure.queue),
        }
    }

    /// Increments a counter.
    pub(crate) fn count(&self, name: &str, queue: &str) {
        self.counts.with_label_values(&[name, queue]).inc();
    }

    /// Adds to a counter.
    pub(crate) fn add(&self, name: &str, queue: &str, count: u64) {
        if count > 0 {
            self.counts.with_label_values(&[name, queue]).inc_by(count);
        }
    }

    /// Adds a duration to a histogram.
    pub(crate) fn observe(&self, name: &str, queue: &str, time: Duration) {
        self.times.with_label_values(&[name, queue]).observe(time.as_secs_f64());
    }

    /// Adds to a current value.
    pub(crate) fn add_value(&self, name: &str, service: &str, value: f64) {
        self.values.with_label_values(&[name, service]).add(value);
    }

    /// Sets the gauges of a part of the memory.
    pub(crate) fn set_memory(&self, part: &MemoryPart) {
        self.memory.with_label_values(&[part.name]).set(part.used as f64);
        self.memory_limits.with_label_values(&[part.name]).set(part.limit as f64);
    }

    /// Removes all current values.
    pub(crate) fn clear_values(&self) {
        self.values.reset();
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(error) => format!("# not available: {error}\n").into_bytes(),
        }
    }
}
