//! The evening report: merges the records of a day and decides whether the day went well.

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

/// A minute belongs to the crest from this multiple of the mean over the active minutes.
const PEAK_FACTOR: u64 = 3;
/// Time for a live instance to save what it counted: one interval and the attempts of one write.
pub const SAVE_DELAY: Duration = Duration::from_secs(60);

/// What the report is made from.
#[derive(Clone, Debug)]
pub struct ReportInput {
    /// Day as `YYYY-MM-DD` in UTC.
    pub day: String,
    /// Time of the report.
    pub now: SystemTime,
    /// Records of the day.
    pub records: Vec<DayRecord>,
    /// Keys of records that could not be read, with the reason.
    pub unreadable: Vec<String>,
    /// Profiles in the store, for the deadlines of tasks.
    pub profiles: BTreeMap<ProfileName, WorkProfile>,
    /// Index of the first record of each process.
    processes: BTreeMap<(InstanceName, StartNumber), usize>,
}

impl ReportInput {
    /// Creates the input of a day without records.
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

    /// Adds a record. All counters of a process move to its first record, since the counters of
    /// a whole day of records would fill the memory; intervals, peers and outages stay.
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

    /// Returns the begin of the day.
    pub fn day_start(&self) -> SystemTime {
        day_start(&self.day).unwrap_or(SystemTime::UNIX_EPOCH)
    }

    /// Returns the end of the day, or the time of the report if that is earlier.
    pub fn covered_until(&self) -> SystemTime {
        self.now.min(day_end(self.day_start()))
    }

    /// Returns the time up to which a live instance has saved its counts.
    pub fn saved_until(&self) -> SystemTime {
        let saved = self.now.checked_sub(SAVE_DELAY).unwrap_or(self.now);
        saved.min(day_end(self.day_start()))
    }
}

/// An outage of the store as an instance saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedOutage {
    /// Instance.
    pub instance: InstanceName,
    /// Its zone.
    pub zone: ZoneName,
    /// Begin and end.
    pub outage: StoreOutage,
}

/// The merged records of a day.
#[derive(Clone, Debug)]
pub struct DayReport {
    /// Day as `YYYY-MM-DD` in UTC.
    pub day: String,
    /// Time of the report.
    pub now: SystemTime,
    /// Number of entry instances with records; a restarted one counts once.
    pub instances: usize,
    /// Number of records.
    pub records: usize,
    /// Urgent calls.
    pub calls: BTreeMap<CounterKey, CallCounters>,
    /// Batch tasks.
    pub tasks: BTreeMap<CounterKey, TaskCounters>,
    /// Calls of all profiles in each minute.
    pub rate: BTreeMap<DayMinute, u64>,
    /// Minutes of the crest.
    pub peak_minutes: BTreeSet<DayMinute>,
    /// Intervals without records.
    pub gaps: Vec<RecordGap>,
    /// Outages of the store.
    pub outages: Vec<ObservedOutage>,
    /// Tasks past their deadline without a recorded end, at least.
    pub overdue: BTreeMap<CounterKey, u64>,
    /// Batch profiles that the store does not hold, so that their deadline is not known.
    pub unknown_deadlines: BTreeSet<ProfileName>,
    /// Records that could not be read.
    pub unreadable: Vec<String>,
    /// What failed, the most serious first.
    pub faults: Vec<DayFault>,
}

impl DayReport {
    /// Merges the records of a day.
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

    /// Returns the first line.
    pub fn headline(&self) -> String {
        match self.faults.first() {
            None => "Today went well.".to_owned(),
            Some(fault) => format!("Today did not go well: {fault}"),
        }
    }

    /// Returns the p99 of a class at the crest. The histograms of minutes round up by up to 10 %, so
    /// the result is capped at the longest time of the day.
    pub fn peak_p99(&self, counters: &CallCounters) -> Option<Duration> {
        let p99 = self.peak_latency(counters).quantile(0.99)?;
        Some(counters.latency.quantile(1.0).map_or(p99, |longest| p99.min(longest)))
    }

    /// Returns the latency of a class at the crest, from histograms with one digit.
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

    /// Finds tasks past their deadline. The ends of the day include tasks accepted later or on
    /// earlier days, so the figure is a lower bound.
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

/// Returns the minutes at or above the crest factor, or else the busiest minute.
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
    // The first of several busiest minutes.
    let busiest = active.iter().rev().max_by_key(|entry| entry.1);
    busiest.map(|entry| entry.0).into_iter().collect()
}

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

/// Returns a time of day as `HH:MM:SS`.
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

/// Returns a time in milliseconds, or a dash.
pub fn millis_text(time: Option<Duration>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| format!("{:.1}", time.as_secs_f64() * 1_000.0))
}
