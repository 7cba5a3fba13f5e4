//! The daily report: merges the day records of all instances and checks them against the limits.

pub mod faults;
pub mod gaps;
pub mod html;
pub mod plots;
pub mod text;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, SystemTime},
};

use cuminbank::{
    histogram::{TimeHistogram, COARSE_DIGITS},
    ids::{InstanceName, ProfileName, StartNumber, ZoneName},
    profile::WorkProfile,
    record::{
        day_end, day_start, CallCounters, CounterKey, DayMinute, DayRecord, StoreOutage,
        TaskCounters,
    },
};
use time::OffsetDateTime;

use self::{
    faults::{find_faults, DayFault},
    gaps::{find_gaps, RecordGap},
};

/// A minute is a peak minute from this multiple of the mean rate over the minutes with calls.
const PEAK_FACTOR: u64 = 3;
/// Time within which a live instance saves its counters: one interval between saves, and the
/// attempts of one write.
pub const SAVE_DELAY: Duration = Duration::from_secs(60);

/// Input of the report.
#[derive(Clone, Debug)]
pub struct ReportInput {
    /// Day as `YYYY-MM-DD` in UTC.
    pub day: String,
    /// Time of the report.
    pub now: SystemTime,
    /// Records of the day; the first record of each process holds the counters of all its records.
    pub records: Vec<DayRecord>,
    /// Store keys of records that cannot be decoded, each with the error.
    pub unreadable: Vec<String>,
    /// Stored profiles, which hold the deadlines of tasks.
    pub profiles: BTreeMap<ProfileName, WorkProfile>,
    /// Index in `records` of the first record of each process.
    processes: BTreeMap<(InstanceName, StartNumber), usize>,
}

impl ReportInput {
    /// Creates an input without records for a day (`YYYY-MM-DD` in UTC).
    pub fn new(day: &str, now: SystemTime) -> Self {
        Self {
            day: day.to_owned(),
            now,
            records: Vec::new(),
            unreadable: Vec::new(),
            profiles: BTreeMap::new(),
            processes: BTreeMap::new(),
        }
    }

    /// Adds a record. Its counters are merged into the first record of the same process, because
    /// the counters of a whole day of records would fill the memory; its interval, peers and
    /// outages are kept.
    pub fn push_record(&mut self, mut record: DayRecord) {
        let process = (record.instance.clone(), record.start);
        let Some(index) = self.processes.get(&process) else {
            self.processes.insert(process, self.records.len());
            self.records.push(record);
            return;
        };
        let first = &mut self.records[*index];
        for (key, counters) in std::mem::take(&mut record.calls) {
            first.calls.entry(key).or_default().merge(&counters);
        }
        for (key, counters) in std::mem::take(&mut record.tasks) {
            first.tasks.entry(key).or_default().merge(&counters);
        }
        self.records.push(record);
    }

    /// Returns the begin of the day, or the Unix epoch if `day` is not valid.
    pub fn day_start(&self) -> SystemTime {
        day_start(&self.day).unwrap_or(SystemTime::UNIX_EPOCH)
    }

    /// Returns the end of the day or the time of the report, whichever is earlier.
    pub fn covered_until(&self) -> SystemTime {
        self.now.min(day_end(self.day_start()))
    }

    /// Returns the time up to which every live instance has saved its counters.
    pub fn saved_until(&self) -> SystemTime {
        let saved = self.now.checked_sub(SAVE_DELAY).unwrap_or(self.now);
        saved.min(day_end(self.day_start()))
    }
}

/// An outage of the store as one instance observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedOutage {
    /// Instance that got no answer.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Begin and end of the outage.
    pub outage: StoreOutage,
}

/// Merged records of a day, with the gaps and faults found in them.
#[derive(Clone, Debug)]
pub struct DayReport {
    /// Day as `YYYY-MM-DD` in UTC.
    pub day: String,
    /// Time of the report.
    pub now: SystemTime,
    /// Number of entry instances with records; restarts of an instance count once.
    pub instances: usize,
    /// Number of records.
    pub records: usize,
    /// Counters of urgent calls, by profile and customer.
    pub calls: BTreeMap<CounterKey, CallCounters>,
    /// Counters of batch tasks, by profile and customer.
    pub tasks: BTreeMap<CounterKey, TaskCounters>,
    /// Calls received in each minute, over all profiles.
    pub rate: BTreeMap<DayMinute, u64>,
    /// Peak minutes: those with the highest call rates of the day.
    pub peak_minutes: BTreeSet<DayMinute>,
    /// Intervals whose counters may be missing.
    pub gaps: Vec<RecordGap>,
    /// Outages of the store, by zone and instance.
    pub outages: Vec<ObservedOutage>,
    /// Tasks past their deadline without a recorded end, as a lower bound.
    pub overdue: BTreeMap<CounterKey, u64>,
    /// Batch profiles that are not in the store, so that their deadlines are unknown.
    pub unknown_deadlines: BTreeSet<ProfileName>,
    /// Store keys of records that cannot be decoded, each with the error.
    pub unreadable: Vec<String>,
    /// Faults of the day, the most severe first.
    pub faults: Vec<DayFault>,
}

impl DayReport {
    /// Merges the records of a day, and finds its gaps and faults.
    pub fn new(input: &ReportInput) -> Self {
        let instances: BTreeSet<&InstanceName> =
            input.records.iter().map(|record| &record.instance).collect();
        let mut report = Self {
            day: input.day.clone(),
            now: input.now,
            instances: instances.len(),
            records: input.records.len(),
            calls: BTreeMap::new(),
            tasks: BTreeMap::new(),
            rate: BTreeMap::new(),
            peak_minutes: BTreeSet::new(),
            gaps: find_gaps(input),
            outages: merge_outages(&input.records),
            overdue: BTreeMap::new(),
            unknown_deadlines: BTreeSet::new(),
            unreadable: input.unreadable.clone(),
            faults: Vec::new(),
        };
        for record in &input.records {
            report.add_record(record);
        }
        report.peak_minutes = find_peak_minutes(&report.rate);
        report.find_overdue(input);
        report.faults = find_faults(input, &report);
        report
    }

    /// Returns the first line of the report: whether the day went well, and the most severe fault.
    pub fn headline(&self) -> String {
        match self.faults.first() {
            None => "Today went well.".to_owned(),
            Some(fault) => format!("Today did not go well: {fault}"),
        }
    }

    /// Returns the p99 latency of done calls in the peak minutes. The histograms of single minutes
    /// round up by up to 10 %, so the result is capped at the longest latency of the day.
    pub fn peak_p99(&self, counters: &CallCounters) -> Option<Duration> {
        let p99 = self.peak_latency(counters).quantile(0.99)?;
        Some(counters.latency.quantile(1.0).map_or(p99, |longest| p99.min(longest)))
    }

    /// Merges the latency histograms of the peak minutes, which have one significant digit.
    fn peak_latency(&self, counters: &CallCounters) -> TimeHistogram {
        let mut latency = TimeHistogram::new(COARSE_DIGITS);
        for (minute, counts) in &counters.minutes {
            if self.peak_minutes.contains(minute) {
                latency.merge(&counts.latency);
            }
        }
        latency
    }

    fn add_record(&mut self, record: &DayRecord) {
        for (key, counters) in &record.calls {
            self.calls.entry(key.clone()).or_default().merge(counters);
            for (minute, counts) in &counters.minutes {
                *self.rate.entry(*minute).or_default() += counts.received;
            }
        }
        for (key, counters) in &record.tasks {
            self.tasks.entry(key.clone()).or_default().merge(counters);
        }
    }

    /// Finds tasks past their deadline. The recorded ends of the day include tasks that were
    /// accepted later or on earlier days, so the number is a lower bound.
    fn find_overdue(&mut self, input: &ReportInput) {
        for (key, counters) in &self.tasks {
            let Some(profile) = input.profiles.get(&key.profile) else {
                self.unknown_deadlines.insert(key.profile.clone());
                continue;
            };
            let last = input.saved_until().checked_sub(profile.deadline());
            let due = counters.accepted_minutes.iter().filter(|(minute, _)| {
                let end = input.day_start() + Duration::from_secs(60 * (u64::from(**minute) + 1));
                last.is_some_and(|last| end <= last)
            });
            let due: u64 = due.map(|(_, accepted)| accepted).sum();
            let overdue = due.saturating_sub(counters.ended());
            if overdue > 0 {
                self.overdue.insert(key.clone(), overdue);
            }
        }
    }
}

/// Returns the minutes from [`PEAK_FACTOR`] times the mean rate, or else the busiest minute.
fn find_peak_minutes(rate: &BTreeMap<DayMinute, u64>) -> BTreeSet<DayMinute> {
    let active: Vec<(DayMinute, u64)> =
        rate.iter().map(|(minute, calls)| (*minute, *calls)).filter(|entry| entry.1 > 0).collect();
    let total: u64 = active.iter().map(|entry| entry.1).sum();
    let minutes = active.len() as u64;
    let high = active.iter().filter(|entry| entry.1 * minutes >= PEAK_FACTOR * total);
    let peak: BTreeSet<DayMinute> = high.map(|entry| entry.0).collect();
    if !peak.is_empty() {
        return peak;
    }
    // The first of several equally busy minutes.
    let busiest = active.iter().rev().max_by_key(|entry| entry.1);
    busiest.map(|entry| entry.0).into_iter().collect()
}

/// Joins the outages of each instance that overlap or touch.
fn merge_outages(records: &[DayRecord]) -> Vec<ObservedOutage> {
    let mut sorted: Vec<&DayRecord> = records.iter().collect();
    sorted.sort_by_key(|record| (&record.zone, &record.instance, record.from));
    let mut outages: Vec<ObservedOutage> = Vec::new();
    for record in sorted {
        for outage in &record.outages {
            let last = outages.last_mut().filter(|last| last.instance == record.instance);
            if let Some(last) = last.filter(|last| outage.from <= last.outage.to) {
                last.outage.to = last.outage.to.max(outage.to);
                continue;
            }
            outages.push(ObservedOutage {
                instance: record.instance.clone(),
                zone: record.zone.clone(),
                outage: *outage,
            });
        }
    }
    outages
}

/// Returns a time of day in UTC as `HH:MM:SS`.
pub fn clock_text(wall: SystemTime) -> String {
    let time = OffsetDateTime::from(wall).time();
    format!("{:02}:{:02}:{:02}", time.hour(), time.minute(), time.second())
}

/// Returns a minute of the day as `HH:MM`.
pub fn minute_text(minute: DayMinute) -> String {
    format!("{:02}:{:02}", minute / 60, minute % 60)
}

/// Returns minutes as ranges, such as `05:40 to 05:44, 06:10`.
pub fn minute_ranges(minutes: &BTreeSet<DayMinute>) -> String {
    let mut ranges: Vec<(DayMinute, DayMinute)> = Vec::new();
    for minute in minutes {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == *minute => *last = *minute,
            _ => ranges.push((*minute, *minute)),
        }
    }
    let texts = ranges.into_iter().map(|(first, last)| {
        if first == last {
            return minute_text(first);
        }
        format!("{} to {}", minute_text(first), minute_text(last))
    });
    texts.collect::<Vec<_>>().join(", ")
}

/// Returns a time in milliseconds with one decimal, or a dash for `None`.
pub fn millis_text(time: Option<Duration>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| format!("{:.1}", time.as_secs_f64() * 1_000.0))
}
