//! Histograms of times, compact in memory and in the store.

use std::{io::Cursor, time::Duration};

use hdrhistogram::{
    serialization::{Deserializer as HistogramReader, Serializer as HistogramWriter, V2Serializer},
    Histogram,
};
use serde::{de::Error as _, ser::Error as _, Deserialize, Deserializer, Serialize, Serializer};

/// Unit of all histograms. Calls take milliseconds, so a finer unit would only cost memory.
const UNIT: Duration = Duration::from_micros(100);
/// Longest time that is told apart: 7 days, the longest deadline of a batch task.
const MAX_UNITS: u64 = 7 * 24 * 3_600 * 10_000;
/// Digits of histograms that cover a whole interval; a value is off by at most 1 %.
pub const FINE_DIGITS: u8 = 2;
/// Digits of histograms that exist for each minute; a value is off by at most 10 %.
pub const COARSE_DIGITS: u8 = 1;

/// Histogram of times.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeHistogram {
    digits: u8,
    counts: Option<Histogram<u32>>,
}

impl TimeHistogram {
    /// Creates an empty histogram, which takes no memory until the first time is recorded.
    pub fn new(digits: u8) -> Self {
        Self { digits, counts: None }
    }

    /// Records a time.
    pub fn record(&mut self, elapsed: Duration) {
        let units = (elapsed.as_nanos() / UNIT.as_nanos()).min(u128::from(MAX_UNITS)) as u64;
        let recorded = self.counts_mut().record(units.max(1));
        recorded.expect("the histogram grows with its values");
    }

    /// Adds all times of another histogram.
    pub fn merge(&mut self, other: &Self) {
        let Some(other_counts) = &other.counts else { return };
        let counts = self.counts_mut();
        for step in other_counts.iter_recorded() {
            let added = counts.record_n(step.value_iterated_to(), step.count_at_value());
            added.expect("the histogram grows with its values");
        }
    }

    /// Returns how many times were recorded.
    pub fn count(&self) -> u64 {
        self.counts.as_ref().map_or(0, Histogram::len)
    }

    /// Returns the time that this share of the recorded times does not exceed.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let counts = self.counts.as_ref().filter(|counts| !counts.is_empty())?;
        Some(from_units(counts.value_at_quantile(share)))
    }

    /// Returns the recorded times, rounded to their bucket, with their counts.
    pub fn buckets(&self) -> Vec<(Duration, u64)> {
        let Some(counts) = &self.counts else { return Vec::new() };
        let steps = counts.iter_recorded();
        steps
            .map(|step| (from_units(step.value_iterated_to()), u64::from(step.count_at_value())))
            .collect()
    }

    fn counts_mut(&mut self) -> &mut Histogram<u32> {
        let digits = self.digits;
        self.counts.get_or_insert_with(|| {
            // The histogram grows with the longest time, since most classes are far below it.
            Histogram::new(digits).expect("the number of digits is at most 5")
        })
    }
}

fn from_units(units: u64) -> Duration {
    Duration::from_micros(units * UNIT.as_micros() as u64)
}

impl Serialize for TimeHistogram {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::new();
        if let Some(counts) = &self.counts {
            V2Serializer::new().serialize(counts, &mut bytes).map_err(S::Error::custom)?;
        }
        (self.digits, bytes).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for TimeHistogram {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (digits, bytes) = <(u8, Vec<u8>)>::deserialize(deserializer)?;
        if !(1..=5).contains(&digits) {
            return Err(D::Error::custom("the number of digits is not 1 to 5"));
        }
        if bytes.is_empty() {
            return Ok(Self::new(digits));
        }
        let counts: Histogram<u32> = HistogramReader::new()
            .deserialize(&mut Cursor::new(bytes))
            .map_err(D::Error::custom)?;
        let mut histogram = Self::new(digits);
        histogram.merge(&Self { digits, counts: Some(counts) });
        Ok(histogram)
    }
}
