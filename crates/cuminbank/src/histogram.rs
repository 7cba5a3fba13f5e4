//! Histograms of durations, compact in memory and in the store.

use std::{io::Cursor, time::Duration};

use hdrhistogram::{
    serialization::{Deserializer as HistogramReader, Serializer as HistogramWriter, V2Serializer},
    Histogram,
};
use serde::{de::Error as _, ser::Error as _, Deserialize, Deserializer, Serialize, Serializer};

/// Resolution of all histograms. Calls take milliseconds, so a finer resolution would only use more
/// memory.
const UNIT: Duration = Duration::from_micros(100);
/// Longest recorded duration in units of 100 µs: 7 days, the longest deadline of a batch task.
/// Longer ones are recorded as this value.
const MAX_UNITS: u64 = 7 * 24 * 3_600 * 10_000;
/// Significant digits of a histogram that covers a whole interval; its error is at most 1 %.
pub const FINE_DIGITS: u8 = 2;
/// Significant digits of a histogram that covers one minute; its error is at most 10 %.
pub const COARSE_DIGITS: u8 = 1;

/// Histogram of durations.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeHistogram {
    digits: u8,
    counts: Option<Histogram<u32>>,
}

impl TimeHistogram {
    /// Creates an empty histogram with 1 to 5 significant digits. It allocates no buckets before
    /// the first value is recorded.
    pub fn new(digits: u8) -> Self {
        Self { digits, counts: None }
    }

    /// Records a duration.
    pub fn record(&mut self, elapsed: Duration) {
        let units = (elapsed.as_nanos() / UNIT.as_nanos()).min(u128::from(MAX_UNITS)) as u64;
        let recorded = self.counts_mut().record(units.max(1));
        recorded.expect("an auto-resizing histogram accepts every value");
    }

    /// Adds all recorded durations of another histogram.
    pub fn merge(&mut self, other: &Self) {
        let Some(other_counts) = &other.counts else { return };
        let counts = self.counts_mut();
        for step in other_counts.iter_recorded() {
            let added = counts.record_n(step.value_iterated_to(), step.count_at_value());
            added.expect("an auto-resizing histogram accepts every value");
        }
    }

    /// Returns the number of recorded durations.
    pub fn count(&self) -> u64 {
        self.counts.as_ref().map_or(0, Histogram::len)
    }

    /// Returns the quantile for a share from 0.0 to 1.0: the duration that this share of the
    /// recorded durations does not exceed. `None` if nothing was recorded.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let counts = self.counts.as_ref().filter(|counts| !counts.is_empty())?;
        Some(from_units(counts.value_at_quantile(share)))
    }

    /// Returns the recorded durations, rounded to their buckets, with their counts.
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
            // The range is not fixed in advance but grows with the longest duration, since most
            // classes stay far below the maximum.
            Histogram::new(digits).expect("histograms have 1 to 5 significant digits")
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
            return Err(D::Error::custom(format!(
                "{digits} histogram digits are not within 1 to 5"
            )));
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
