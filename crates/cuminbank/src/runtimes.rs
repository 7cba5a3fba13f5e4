//! Learned run time distributions of classes of calls.

use std::{collections::HashMap, time::Duration};

use crate::ids::ClassName;

/// Buckets per doubling of the run time. A quantile is at most 19 % too high.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets, which cover run times from 0.1 ms up to 1,300 s.
const BUCKET_COUNT: usize = 96;
/// Lower bound of the first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 1e-4;
/// Weight at which all counts of a histogram are halved. The histogram thus follows a change of the
/// run times within a few hundred calls.
const HALVING_WEIGHT: f64 = 512.0;
/// Observations needed before estimates of a class are used.
const MIN_OBSERVATIONS: u64 = 20;
/// A class is long if its median exceeds this multiple of the median of all calls.
const LONG_RATIO: u32 = 5;
/// Maximum number of classes tracked. Callers choose class names, so the number needs a limit;
/// further classes count as of unknown length and get the estimates of all calls.
const MAX_CLASSES: usize = 1_000;

/// Histogram of run times in which older values have less weight.
#[derive(Clone, Debug)]
struct DecayedHistogram {
    counts: [f64; BUCKET_COUNT],
    weight: f64,
    weighted_seconds: f64,
    observed: u64,
}

/// Run time estimates of each class and of all calls together.
#[derive(Debug, Default)]
pub struct RuntimeEstimate {
    classes: HashMap<ClassName, DecayedHistogram>,
    all: DecayedHistogram,
}

impl Default for DecayedHistogram {
    fn default() -> Self {
        Self { counts: [0.0; BUCKET_COUNT], weight: 0.0, weighted_seconds: 0.0, observed: 0 }
    }
}

impl DecayedHistogram {
    fn record(&mut self, elapsed: Duration) {
        if self.weight >= HALVING_WEIGHT {
            self.counts.iter_mut().for_each(|count| *count *= 0.5);
            self.weight *= 0.5;
            self.weighted_seconds *= 0.5;
        }
        self.counts[bucket_index(elapsed)] += 1.0;
        self.weight += 1.0;
        self.weighted_seconds += elapsed.as_secs_f64();
        self.observed += 1;
    }

    fn quantile(&self, share: f64) -> Option<Duration> {
        if self.observed < MIN_OBSERVATIONS {
            return None;
        }
        let mut below = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            below += count;
            if below >= share * self.weight {
                return Some(bucket_upper_bound(bucket));
            }
        }
        Some(bucket_upper_bound(BUCKET_COUNT - 1))
    }

    fn mean(&self) -> Option<Duration> {
        (self.observed >= MIN_OBSERVATIONS)
            .then(|| Duration::from_secs_f64((self.weighted_seconds / self.weight).max(0.0)))
    }
}

fn bucket_index(elapsed: Duration) -> usize {
    let doublings = (elapsed.as_secs_f64() / FIRST_BUCKET_SECONDS).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKET_COUNT - 1)
}

fn bucket_upper_bound(bucket: usize) -> Duration {
    let doublings = (bucket + 1) as f64 / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(FIRST_BUCKET_SECONDS * doublings.exp2())
}

impl RuntimeEstimate {
    /// Records the run time of a call.
    pub fn record(&mut self, class: &str, elapsed: Duration) {
        self.all.record(elapsed);
        if let Some(histogram) = self.classes.get_mut(class) {
            histogram.record(elapsed);
        } else if self.classes.len() < MAX_CLASSES {
            self.classes.entry(class.to_owned()).or_default().record(elapsed);
        }
    }

    /// Returns the median run time of a class; `None` while the class has too few observations.
    pub fn median(&self, class: &str) -> Option<Duration> {
        self.classes.get(class)?.quantile(0.5)
    }

    /// Returns the 90th percentile of the run time of a class, or of all calls while the class has
    /// too few observations.
    pub fn p90(&self, class: &str) -> Option<Duration> {
        let known = self.classes.get(class).and_then(|histogram| histogram.quantile(0.9));
        known.or_else(|| self.all.quantile(0.9))
    }

    /// Returns the mean run time of a class, or of all calls while the class has too few
    /// observations.
    pub fn mean(&self, class: &str) -> Option<Duration> {
        self.classes.get(class).and_then(DecayedHistogram::mean).or_else(|| self.all.mean())
    }

    /// Returns the mean run time of all calls.
    pub fn mean_of_all(&self) -> Option<Duration> {
        self.all.mean()
    }

    /// Returns the run time above which a call counts as long, or a class by its median; `None`
    /// while too few run times are known.
    pub fn long_threshold(&self) -> Option<Duration> {
        self.all.quantile(0.5).map(|median| median * LONG_RATIO)
    }

    /// Returns whether a class is long; `None` while too few run times are known.
    pub fn is_long(&self, class: &str) -> Option<bool> {
        Some(self.median(class)? > self.long_threshold()?)
    }
}
