//! Faults of a day: service objectives and checks that failed, with place and time.

use std::{collections::BTreeMap, fmt};

use cuminbank::{
    ids::ProfileName,
    record::{CallCounters, CounterKey, DayMinute, MinuteCounters, TaskCounters, OTHER_CUSTOMER},
};

use super::{minute_text, DayReport, ReportInput};

/// Largest tolerated share of late urgent calls of a profile, in percent.
pub const MAX_LATE_PERCENT: f64 = 1.0;
/// Largest tolerated share of refused urgent calls of a profile in the peak minutes, in percent.
pub const MAX_REFUSED_PERCENT: f64 = 1.0;

/// A service objective or check that failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DayFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Sentence with the figures, place and time, which ends with a full stop.
    pub detail: String,
}

/// Kinds of faults, the most severe first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    /// The day has no records.
    NoRecords,
    /// Accepted tasks passed their deadline without a recorded end.
    OverdueTasks,
    /// A task gave two results.
    DuplicateResult,
    /// Callers received the answer that the outcome of their calls is unknown.
    UnknownOutcome,
    /// An instance saved no counters for some time.
    RecordGap,
    /// A record cannot be decoded, or its counters are inconsistent.
    InvalidRecord,
    /// Slots were confirmed late in the peak minutes.
    LateSlots,
    /// More than [`MAX_LATE_PERCENT`] of a profile's calls were late.
    LateCalls,
    /// More than [`MAX_REFUSED_PERCENT`] of a profile's calls in the peak minutes were refused.
    RefusedCalls,
}

impl fmt::Display for DayFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.detail)
    }
}

/// Finds the faults of a day, the most severe first.
pub fn find_faults(input: &ReportInput, report: &DayReport) -> Vec<DayFault> {
    let mut faults = Vec::new();
    if input.records.is_empty() {
        let detail =
            format!("there are no records of {}, so nothing is known about the day.", input.day);
        faults.push(DayFault { kind: FaultKind::NoRecords, detail });
    }
    faults.extend(overdue_faults(report));
    faults.extend(duplicate_result_faults(input, report));
    faults.extend(unknown_faults(input, report));
    let gaps = report.gaps.iter();
    faults
        .extend(gaps.map(|gap| DayFault { kind: FaultKind::RecordGap, detail: format!("{gap}.") }));
    faults.extend(invalid_record_faults(report));
    faults.extend(slot_faults(input, report));
    faults.extend(late_faults(input, report));
    faults.extend(refused_faults(input, report));
    faults
}

fn overdue_faults(report: &DayReport) -> Vec<DayFault> {
    let describe = |(key, overdue): (&CounterKey, &u64)| DayFault {
        kind: FaultKind::OverdueTasks,
        detail: format!(
            "at least {overdue} accepted batch task(s) of {} passed their deadline without a \
             recorded end.",
            key_text(key)
        ),
    };
    report.overdue.iter().map(describe).collect()
}

fn duplicate_result_faults(input: &ReportInput, report: &DayReport) -> Vec<DayFault> {
    let doubled = report.tasks.iter().filter(|(_, tasks)| tasks.doubled > 0);
    let describe = |(key, tasks): (&CounterKey, &TaskCounters)| DayFault {
        kind: FaultKind::DuplicateResult,
        detail: format!(
            "{} batch task(s) of {} gave two results{}.",
            tasks.doubled,
            key_text(key),
            first_duplicate_suffix(input, key)
        ),
    };
    doubled.map(describe).collect()
}

fn unknown_faults(input: &ReportInput, report: &DayReport) -> Vec<DayFault> {
    let unknown = report.calls.iter().filter(|(_, calls)| calls.unknown > 0);
    let describe = |(key, calls): (&CounterKey, &CallCounters)| DayFault {
        kind: FaultKind::UnknownOutcome,
        detail: format!(
            "nobody can tell whether {} urgent call(s) of {} ran{}.",
            calls.unknown,
            key_text(key),
            worst_case_suffix(input, |candidate, _| candidate == key, |counts| counts.unknown)
        ),
    };
    unknown.map(describe).collect()
}

fn invalid_record_faults(report: &DayReport) -> Vec<DayFault> {
    let unreadable = report.unreadable.iter().map(|text| DayFault {
        kind: FaultKind::InvalidRecord,
        detail: format!("a record of saved counts cannot be decoded: {text}."),
    });
    // Customers above the limit of counters share this key. A call may arrive under its own
    // customer and be answered under the shared one, so these counts need not add up.
    let listed = report.calls.iter().filter(|(key, _)| key.customer != OTHER_CUSTOMER);
    let wrong = listed.filter(|(_, calls)| !calls.is_consistent());
    let wrong = wrong.map(|(key, calls)| DayFault {
        kind: FaultKind::InvalidRecord,
        detail: format!(
            "the counts of {} are inconsistent: {} answers to {} calls, {} of them in minutes.",
            key_text(key),
            calls.answered(),
            calls.received,
            calls.in_minutes().received
        ),
    });
    unreadable.chain(wrong).collect()
}

fn slot_faults(input: &ReportInput, report: &DayReport) -> Vec<DayFault> {
    let in_peak = |minute: DayMinute| report.peak_minutes.contains(&minute);
    let mut faults = Vec::new();
    for (key, calls) in &report.calls {
        let late = sum_minutes(calls, in_peak, |counts| counts.slots_late);
        if late == 0 {
            continue;
        }
        let suffix = worst_case_suffix(
            input,
            |candidate, minute| candidate == key && in_peak(minute),
            |counts| counts.slots_late,
        );
        faults.push(DayFault {
            kind: FaultKind::LateSlots,
            detail: format!(
                "{late} confirmed slot(s) of {} were confirmed too late in the peak \
                 minutes{suffix}.",
                key_text(key)
            ),
        });
    }
    faults
}

fn late_faults(input: &ReportInput, report: &DayReport) -> Vec<DayFault> {
    let mut faults = Vec::new();
    for (profile, (late, received)) in sum_by_profile(report, |_| true, |counts| counts.late) {
        let percent = percent(late, received);
        if percent <= MAX_LATE_PERCENT {
            continue;
        }
        let suffix = worst_case_suffix(
            input,
            |candidate, _| candidate.profile == profile,
            |counts| counts.late,
        );
        faults.push(DayFault {
            kind: FaultKind::LateCalls,
            detail: format!(
                "{percent:.1} % of the urgent calls of profile \"{profile}\" were late \
                 (limit {MAX_LATE_PERCENT} %){suffix}."
            ),
        });
    }
    faults
}

fn refused_faults(input: &ReportInput, report: &DayReport) -> Vec<DayFault> {
    let in_peak = |minute: DayMinute| report.peak_minutes.contains(&minute);
    let mut faults = Vec::new();
    for (profile, (refused, received)) in sum_by_profile(report, in_peak, |counts| counts.refused) {
        let percent = percent(refused, received);
        if percent <= MAX_REFUSED_PERCENT {
            continue;
        }
        let suffix = worst_case_suffix(
            input,
            |candidate, minute| candidate.profile == profile && in_peak(minute),
            |counts| counts.refused,
        );
        faults.push(DayFault {
            kind: FaultKind::RefusedCalls,
            detail: format!(
                "{percent:.1} % of the calls of profile \"{profile}\" were refused in the \
                 peak minutes (limit {MAX_REFUSED_PERCENT} %){suffix}."
            ),
        });
    }
    faults
}

/// Returns for each profile the calls that `count` selects and all received calls, over the minutes
/// that `in_minute` selects.
fn sum_by_profile(
    report: &DayReport,
    in_minute: impl Fn(DayMinute) -> bool,
    count: impl Fn(&MinuteCounters) -> u64,
) -> BTreeMap<ProfileName, (u64, u64)> {
    let mut profiles: BTreeMap<ProfileName, (u64, u64)> = BTreeMap::new();
    for (key, calls) in &report.calls {
        let (counted, received) = profiles.entry(key.profile.clone()).or_default();
        *counted += sum_minutes(calls, &in_minute, &count);
        *received += sum_minutes(calls, &in_minute, |counts| counts.received);
    }
    profiles
}

/// Sums a counter over the minutes that `in_minute` selects.
fn sum_minutes(
    calls: &CallCounters,
    in_minute: impl Fn(DayMinute) -> bool,
    count: impl Fn(&MinuteCounters) -> u64,
) -> u64 {
    let minutes = calls.minutes.iter().filter(|(minute, _)| in_minute(**minute));
    minutes.map(|(_, counts)| count(counts)).sum()
}

/// Returns the customer, instance, zone and minute with the most calls that `count` selects, as the
/// end of a sentence; empty if there are none.
fn worst_case_suffix(
    input: &ReportInput,
    concerns: impl Fn(&CounterKey, DayMinute) -> bool,
    count: impl Fn(&MinuteCounters) -> u64,
) -> String {
    let mut totals: BTreeMap<(DayMinute, &str, &str, &str), u64> = BTreeMap::new();
    for record in &input.records {
        for (key, calls) in &record.calls {
            for (minute, counts) in &calls.minutes {
                if !concerns(key, *minute) || count(counts) == 0 {
                    continue;
                }
                let location = (*minute, &*record.zone, &*record.instance, &*key.customer);
                *totals.entry(location).or_default() += count(counts);
            }
        }
    }
    // Among equal counts, the first location in order, and so the earliest minute.
    let worst = totals.into_iter().rev().max_by_key(|(_, calls)| *calls);
    worst.map_or_else(String::new, |((minute, zone, instance, customer), calls)| {
        let minute = minute_text(minute);
        format!(", most ({calls}) for {customer} at {instance} in zone {zone} at {minute}")
    })
}

/// Returns the instance, zone and minute of the first duplicate result, as the end of a sentence;
/// empty if there is none.
fn first_duplicate_suffix(input: &ReportInput, key: &CounterKey) -> String {
    let duplicates = input.records.iter().filter_map(|record| {
        let minute = *record.tasks.get(key)?.doubled_minutes.keys().next()?;
        Some((minute, &record.zone, &record.instance))
    });
    duplicates.min().map_or_else(String::new, |(minute, zone, instance)| {
        format!(", first at {instance} in zone {zone} at {}", minute_text(minute))
    })
}

fn key_text(key: &CounterKey) -> String {
    format!("profile \"{}\" for {}", key.profile, key.customer)
}

/// Returns `part` as a share of `whole` in percent; 0 if `whole` is 0.
pub fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 * 100.0 / whole as f64
}
