//! Gaps: intervals in which an instance may have counted events without saving them.

use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, SystemTime},
};

use cuminbank::{
    ids::{InstanceName, StartNumber, ZoneName},
    record::DayRecord,
};

use super::{clock_text, ReportInput};

/// Time without a heartbeat after which peers consider an instance failed.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest time between two intervals that still count as contiguous.
const MAX_INTERVAL_DISTANCE: Duration = Duration::from_secs(1);

/// An interval for which an instance saved no counters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordGap {
    /// Instance that saved nothing.
    pub instance: InstanceName,
    /// Availability zone of the instance; unknown if it never saved a record.
    pub zone: Option<ZoneName>,
    /// End of the last saved interval, or the begin of the day.
    pub from: SystemTime,
    /// Upper bound of the end of the gap.
    pub until: SystemTime,
    /// How the end was determined.
    pub bound: GapBound,
}

/// How the end of a gap was determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GapBound {
    /// A peer received the last heartbeat of the instance at this time.
    LastHeard(SystemTime),
    /// No later record of a peer shows when the process was last heard, so the end is the next
    /// start of the instance or the time of the report.
    NotHeard,
    /// A later record of the same process ends the gap.
    NextRecord,
}

impl fmt::Display for RecordGap {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "entry instance {}", self.instance)?;
        if let Some(zone) = &self.zone {
            write!(formatter, " in zone {zone}")?;
        }
        let (from, until) = (clock_text(self.from), clock_text(self.until));
        write!(formatter, " saved no counts from {from} until ")?;
        match self.bound {
            GapBound::LastHeard(heard) => {
                write!(
                    formatter,
                    "at most {until} (another instance last heard from it at {})",
                    clock_text(heard)
                )
            }
            GapBound::NotHeard => {
                write!(
                    formatter,
                    "at most {until} (no other instance recorded when it last heard from it)"
                )
            }
            GapBound::NextRecord => write!(formatter, "{until} (its next saved counts)"),
        }
    }
}

/// Records of one process, not empty, in order of their intervals.
#[derive(Debug)]
struct ProcessRecords<'a> {
    records: Vec<&'a DayRecord>,
}

impl ProcessRecords<'_> {
    /// Returns the begin of the first interval.
    fn from(&self) -> SystemTime {
        self.records[0].from
    }

    /// Returns the end of the latest interval.
    fn to(&self) -> SystemTime {
        self.records.iter().map(|record| record.to).max().unwrap_or(SystemTime::UNIX_EPOCH)
    }

    /// Returns whether the process saved a final record at its planned stop.
    fn is_final(&self) -> bool {
        self.records.iter().any(|record| record.is_final)
    }
}

/// Finds the gaps of a day, sorted by begin and instance.
pub fn find_gaps(input: &ReportInput) -> Vec<RecordGap> {
    let mut gaps = Vec::new();
    for (name, processes) in group_by_process(&input.records) {
        for (index, process) in processes.iter().enumerate() {
            gaps.extend(gaps_between_records(process));
            let successor = processes.get(index + 1).map(ProcessRecords::from);
            gaps.extend(gap_after(input, name, process, successor));
        }
    }
    gaps.extend(instances_without_records(input));
    gaps.sort_by(|left, right| (left.from, &left.instance).cmp(&(right.from, &right.instance)));
    gaps
}

/// Groups records by instance and process, sorted by their begin.
fn group_by_process(records: &[DayRecord]) -> BTreeMap<&str, Vec<ProcessRecords<'_>>> {
    let mut processes: BTreeMap<(&str, StartNumber), Vec<&DayRecord>> = BTreeMap::new();
    for record in records {
        processes.entry((&record.instance, record.start)).or_default().push(record);
    }
    let mut instances: BTreeMap<&str, Vec<ProcessRecords<'_>>> = BTreeMap::new();
    for ((name, _), mut records) in processes {
        records.sort_by_key(|record| (record.from, record.to));
        instances.entry(name).or_default().push(ProcessRecords { records });
    }
    for processes in instances.values_mut() {
        processes.sort_by_key(ProcessRecords::from);
    }
    instances
}

/// Finds the gaps between successive records of one process.
fn gaps_between_records(process: &ProcessRecords<'_>) -> Vec<RecordGap> {
    let mut gaps = Vec::new();
    let mut saved = process.from();
    for record in &process.records {
        if record.from > saved + MAX_INTERVAL_DISTANCE {
            gaps.push(RecordGap {
                instance: record.instance.clone(),
                zone: Some(record.zone.clone()),
                from: saved,
                until: record.from,
                bound: GapBound::NextRecord,
            });
        }
        saved = saved.max(record.to);
    }
    gaps
}

/// Returns the gap after the last record of a process, unless that record is final or the process
/// may still be running. `successor` is the begin of the next process of the same instance.
fn gap_after(
    input: &ReportInput,
    name: &str,
    process: &ProcessRecords<'_>,
    successor: Option<SystemTime>,
) -> Option<RecordGap> {
    let from = process.to();
    if process.is_final() || (successor.is_none() && from >= input.saved_until()) {
        return None;
    }
    // The process ended before its instance was started again under the same name.
    let latest = successor.unwrap_or(input.covered_until()).max(from);
    let last_heard = last_heard(input, name, from, latest);
    let (until, bound) = match last_heard {
        Some(heard) => ((heard.max(from) + PEER_TIMEOUT).min(latest), GapBound::LastHeard(heard)),
        None => (latest, GapBound::NotHeard),
    };
    let zone = process.records.first().map(|record| record.zone.clone());
    Some(RecordGap { instance: name.to_owned(), zone, from, until, bound })
}

/// Returns when a peer last heard from a process that saved until `from` and ended before `latest`.
/// Only records that reach past `from` by [`PEER_TIMEOUT`] count: earlier ones cannot show that the
/// process was silent after its last save.
fn last_heard(
    input: &ReportInput,
    name: &str,
    from: SystemTime,
    latest: SystemTime,
) -> Option<SystemTime> {
    let later_records = input.records.iter().filter(|record| record.to >= from + PEER_TIMEOUT);
    let heard = later_records.filter_map(|record| record.peers.get(name).copied());
    heard.filter(|heard| *heard < latest).max()
}

/// Returns a gap for each instance that saved no record although peers heard from it on the day.
fn instances_without_records(input: &ReportInput) -> Vec<RecordGap> {
    let mut heard: BTreeMap<&str, (SystemTime, SystemTime)> = BTreeMap::new();
    for record in &input.records {
        for (peer, time) in &record.peers {
            let (first, last) = heard.entry(peer).or_insert((*time, *time));
            *first = (*first).min(*time);
            *last = (*last).max(*time);
        }
    }
    let saved = |name: &str| input.records.iter().any(|record| record.instance == name);
    let begin = input.day_start();
    let unsaved = heard.into_iter().filter(|(name, (first, last))| {
        !saved(name) && *last >= begin && *first < input.saved_until()
    });
    unsaved
        .map(|(name, (_, last))| RecordGap {
            instance: name.to_owned(),
            zone: None,
            from: begin,
            until: (last + PEER_TIMEOUT).min(input.covered_until()).max(begin),
            bound: GapBound::LastHeard(last),
        })
        .collect()
}
