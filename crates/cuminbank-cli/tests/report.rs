//! Tests of the daily report: its headline, faults and gaps, its text and its page.

use std::time::{Duration, SystemTime};

use cuminbank::{
    effect::CallOutcome,
    profile::WorkProfile,
    record::{day_start, DayRecord, StoreOutage},
    reducer::records::{CallSample, TaskEvent},
};
use cuminbank_cli::report::{
    faults::FaultKind,
    gaps::GapBound,
    html::to_html,
    plots::{latency_plot, rate_plot},
    text::to_text,
    DayReport, ReportInput,
};

const DAY: &str = "2026-12-04";

fn at(hour: u64, minute: u64, second: u64) -> SystemTime {
    day_start(DAY).expect("2026-12-04 is a day")
        + Duration::from_secs(hour * 3_600 + minute * 60 + second)
}

fn record(instance: &str, start: u64, from: SystemTime, to: SystemTime) -> DayRecord {
    let mut record = DayRecord::new(instance, "dublin", start, from);
    record.to = to;
    record
}

fn input(now: SystemTime, records: Vec<DayRecord>) -> ReportInput {
    let profile = WorkProfile::from_json(
        br#"{"name":"standing orders","kind":"batch","deadline_ms":3600000}"#,
    )
    .expect("the profile is valid");
    let mut input = ReportInput::new(DAY, now);
    input.profiles.insert(profile.name.clone(), profile);
    records.into_iter().for_each(|record| input.push_record(record));
    input
}

fn count(record: &mut DayRecord, minute: u16, calls: u64, outcome: CallOutcome, on_time: bool) {
    for call in 0..calls {
        let sample = CallSample {
            profile: "morning rush".to_owned(),
            customer: "griddle".to_owned(),
            class: "plan".to_owned(),
            outcome,
            on_time,
            confirms_slot: false,
            elapsed: Duration::from_millis(20 + call % 50),
        };
        let counters = record.calls_mut("morning rush", "griddle");
        counters.received += 1;
        counters.count(&sample, minute);
    }
}

/// Records of two instances with planned stops, of a day without faults with its peak at 05:42.
fn good_day() -> Vec<DayRecord> {
    let mut first = record("d1", 1, at(5, 0, 0), at(18, 0, 0));
    let mut second = record("d2", 2, at(5, 0, 0), at(18, 0, 0));
    first.is_final = true;
    second.is_final = true;
    first.peers.insert("d2".to_owned(), at(18, 0, 0));
    for minute in 330..350 {
        count(&mut first, minute, 10, CallOutcome::Done, true);
        count(&mut second, minute, 10, CallOutcome::Done, true);
    }
    count(&mut first, 342, 200, CallOutcome::Done, true);
    for mark in [TaskEvent::Accepted, TaskEvent::Started, TaskEvent::Finished] {
        let tasks = second.tasks_mut("standing orders", "griddle");
        tasks.count(mark, Duration::from_secs(60), 400);
    }
    vec![first, second]
}

fn first_fault(records: Vec<DayRecord>) -> (FaultKind, String) {
    let report = DayReport::new(&input(at(18, 5, 0), records));
    let fault = report.faults.first().expect("the day has a fault");
    (fault.kind, report.headline())
}

// Guards against faults reported for a good day; the snapshot shows the text of the report.
#[test]
fn a_good_day_went_well() {
    let report = DayReport::new(&input(at(18, 5, 0), good_day()));
    insta::assert_snapshot!(to_text(&report));
}

// Guards against faults without figures, place and time; the snapshot shows their texts.
#[test]
fn a_bad_day_names_each_fault_with_place_and_time() {
    let mut records = good_day();
    records[0].is_final = false;
    records[0].to = at(17, 0, 0);
    records[1].peers.insert("d1".to_owned(), at(17, 0, 12));
    records[1].outages.push(StoreOutage { from: at(9, 0, 0), to: at(9, 4, 30) });
    count(&mut records[0], 342, 9, CallOutcome::Done, false);
    count(&mut records[1], 342, 8, CallOutcome::NotRun, false);
    count(&mut records[1], 345, 2, CallOutcome::Unknown, false);
    let tasks = records[1].tasks_mut("standing orders", "griddle");
    tasks.count(TaskEvent::Doubled, Duration::ZERO, 400);
    let report = DayReport::new(&input(at(18, 5, 0), records));
    insta::assert_snapshot!(to_text(&report));
}

// Guards against an instance that ended without a final record and is mistaken for an idle one.
#[test]
fn a_gap_ends_five_seconds_after_a_peer_last_heard_the_instance() {
    let dead = record("d1", 1, at(10, 0, 0), at(12, 0, 0));
    let mut peer = record("d2", 2, at(10, 0, 0), at(18, 4, 50));
    peer.peers.insert("d1".to_owned(), at(12, 0, 20));
    let report = DayReport::new(&input(at(18, 5, 0), vec![dead, peer]));
    assert_eq!(report.gaps.len(), 1);
    let gap = &report.gaps[0];
    assert_eq!((gap.from, gap.until), (at(12, 0, 0), at(12, 0, 25)));
    assert_eq!(gap.bound, GapBound::LastHeard(at(12, 0, 20)));
    assert!(report
        .headline()
        .starts_with("Today did not go well: entry instance d1 in zone dublin saved no counts"));
}

// Guards against an empty gap when the last heartbeat is not later than the last record.
#[test]
fn a_gap_is_never_empty() {
    let dead = record("d1", 1, at(10, 0, 0), at(12, 0, 0));
    let mut peer = record("d2", 2, at(10, 0, 0), at(18, 4, 50));
    peer.peers.insert("d1".to_owned(), at(11, 59, 59));
    let report = DayReport::new(&input(at(18, 5, 0), vec![dead, peer]));
    assert_eq!((report.gaps[0].from, report.gaps[0].until), (at(12, 0, 0), at(12, 0, 5)));
}

// Guards against a gap that is too short when all instances ended together, so that no peer knows
// when.
#[test]
fn a_gap_without_heartbeats_lasts_until_the_report() {
    let dead = record("d1", 1, at(10, 0, 0), at(12, 0, 0));
    let mut peer = record("d2", 2, at(10, 0, 0), at(12, 0, 2));
    peer.peers.insert("d1".to_owned(), at(11, 59, 59));
    let report = DayReport::new(&input(at(18, 5, 0), vec![dead, peer]));
    assert_eq!(report.gaps.len(), 2);
    for gap in &report.gaps {
        assert_eq!((gap.until, gap.bound), (at(18, 5, 0), GapBound::NotHeard));
    }
}

// Guards against heartbeats of a restarted instance that extend the gap of its previous process.
#[test]
fn a_gap_ends_at_the_next_start_of_the_instance() {
    let dead = record("d1", 1, at(10, 0, 0), at(12, 0, 0));
    let next = record("d1", 9, at(12, 3, 0), at(18, 4, 50));
    let mut peer = record("d2", 2, at(10, 0, 0), at(18, 4, 50));
    peer.peers.insert("d1".to_owned(), at(18, 4, 49));
    let report = DayReport::new(&input(at(18, 5, 0), vec![dead, next, peer]));
    assert_eq!(report.gaps.len(), 1);
    let gap = &report.gaps[0];
    assert_eq!((gap.from, gap.until), (at(12, 0, 0), at(12, 3, 0)));
    assert_eq!(gap.bound, GapBound::NotHeard);
}

// Guards against gaps shown for live instances, which save only every 30 s.
#[test]
fn a_live_instance_has_no_gap() {
    let mut live = record("d1", 1, at(10, 0, 0), at(18, 4, 31));
    live.peers.insert("d2".to_owned(), at(18, 4, 31));
    let mut peer = record("d2", 2, at(10, 0, 0), at(18, 4, 10));
    peer.peers.insert("d1".to_owned(), at(18, 4, 9));
    let report = DayReport::new(&input(at(18, 5, 0), vec![live, peer]));
    assert_eq!(report.gaps, []);
}

// Guards against a missing gap for an instance that sent heartbeats but never saved a record.
#[test]
fn an_instance_that_never_saved_is_a_gap() {
    let mut peer = record("d2", 2, at(10, 0, 0), at(18, 4, 50));
    peer.peers.insert("d3".to_owned(), at(15, 0, 0));
    peer.peers.insert("d0".to_owned(), at(0, 0, 0) - Duration::from_secs(60));
    let report = DayReport::new(&input(at(18, 5, 0), vec![peer]));
    assert_eq!(report.gaps.len(), 1);
    let gap = &report.gaps[0];
    assert_eq!((gap.instance.as_str(), gap.from, gap.until), ("d3", at(0, 0, 0), at(15, 0, 5)));
}

// Guards against a lost record in the middle of the day that goes unnoticed.
#[test]
fn missing_time_between_two_records_is_a_gap() {
    let before = record("d1", 1, at(10, 0, 0), at(12, 0, 0));
    let mut after = record("d1", 1, at(12, 0, 30), at(18, 0, 0));
    after.is_final = true;
    let report = DayReport::new(&input(at(18, 5, 0), vec![after, before]));
    assert_eq!(report.gaps.len(), 1);
    assert_eq!((report.gaps[0].from, report.gaps[0].until), (at(12, 0, 0), at(12, 0, 30)));
}

// Guards against gaps after midnight in the report of a past day.
#[test]
fn a_past_day_ends_at_midnight() {
    let whole = record("d1", 1, at(0, 0, 0), at(24, 0, 0));
    let report = DayReport::new(&input(at(60, 0, 0), vec![whole]));
    assert_eq!(report.headline(), "Today went well.");
}

// Guards against a day without records that is reported as a good one.
#[test]
fn a_day_without_records_did_not_go_well() {
    assert_eq!(first_fault(Vec::new()).0, FaultKind::NoRecords);
}

// Guards against lost tasks that are not reported, and tasks reported before their deadline.
#[test]
fn tasks_past_their_deadline_without_an_end_are_overdue() {
    let mut records = good_day();
    let tasks = records[1].tasks_mut("standing orders", "griddle");
    tasks.count(TaskEvent::Accepted, Duration::ZERO, 500);
    tasks.count(TaskEvent::Accepted, Duration::ZERO, 17 * 60 + 30);
    let (kind, headline) = first_fault(records);
    assert_eq!(kind, FaultKind::OverdueTasks);
    assert!(headline.contains("at least 1 accepted batch task(s)"), "{headline}");
}

// Guards against counters that are lost when the records of a process are merged.
#[test]
fn records_of_a_process_share_counters() {
    let mut input = ReportInput::new(DAY, at(18, 5, 0));
    for index in 0..4 {
        let from = at(10, index, 0);
        let mut part = record("d1", 1 + index / 2, from, from + Duration::from_secs(60));
        count(&mut part, 600, 3, CallOutcome::Done, true);
        part.tasks_mut("standing orders", "griddle").count(TaskEvent::Started, Duration::ZERO, 600);
        input.push_record(part);
    }
    assert_eq!(input.records.iter().filter(|record| !record.calls.is_empty()).count(), 2);
    let report = DayReport::new(&input);
    assert_eq!(report.calls.values().map(|calls| calls.received).sum::<u64>(), 12);
    assert_eq!(report.tasks.values().map(|tasks| tasks.started).sum::<u64>(), 4);
}

// Guards against a limit of late calls that is applied to the wrong share.
#[test]
fn late_calls_fail_the_day_above_one_percent() {
    let mut records = good_day();
    count(&mut records[0], 331, 6, CallOutcome::Done, false);
    let report = DayReport::new(&input(at(18, 5, 0), records.clone()));
    assert_eq!(report.headline(), "Today went well.");
    count(&mut records[0], 331, 1, CallOutcome::Done, false);
    let (kind, headline) = first_fault(records);
    assert_eq!(kind, FaultKind::LateCalls);
    assert!(
        headline.ends_with("most (7) for griddle at d1 in zone dublin at 05:31."),
        "{headline}"
    );
}

// Guards against refusals outside the peak minutes that count as a fault.
#[test]
fn refusals_count_in_peak_minutes_only() {
    let mut records = good_day();
    count(&mut records[0], 331, 5, CallOutcome::NotRun, false);
    let report = DayReport::new(&input(at(18, 5, 0), records.clone()));
    assert_eq!(report.headline(), "Today went well.");
    count(&mut records[0], 342, 5, CallOutcome::NotRun, false);
    assert_eq!(first_fault(records).0, FaultKind::RefusedCalls);
}

// Guards against a store outage that counts as a fault although every objective was met.
#[test]
fn a_store_outage_is_a_warning() {
    let mut records = good_day();
    records[0].outages.push(StoreOutage { from: at(9, 0, 0), to: at(9, 4, 30) });
    let report = DayReport::new(&input(at(18, 5, 0), records));
    assert_eq!(report.headline(), "Today went well.");
    assert!(to_text(&report).contains("got no answer from the store from 09:00:00 to 09:04:30"));
}

// Guards against records that cannot be decoded and are left out without a fault.
#[test]
fn an_unreadable_record_fails_the_day() {
    let mut input = input(at(18, 5, 0), good_day());
    input.unreadable.push("/cuminbank/days/2026-12-04/d3.1/00000000: version 9".to_owned());
    assert_eq!(DayReport::new(&input).faults[0].kind, FaultKind::InvalidRecord);
}

// Guards against a p99 of the peak minutes above the longest latency of the day, since the
// histograms of minutes round up further than that of the day.
#[test]
fn the_peak_p99_is_not_above_the_longest_time() {
    let report = DayReport::new(&input(at(18, 5, 0), good_day()));
    for calls in report.calls.values() {
        assert!(report.peak_p99(calls).is_some());
        assert!(report.peak_p99(calls) <= calls.latency.quantile(1.0));
    }
}

// Guards against a page that depends on other files, or interprets names from callers as markup.
#[test]
fn the_page_is_self_contained_and_escapes_names() {
    let mut records = good_day();
    let name = "<script>alert(1)</script>";
    records[0].calls_mut("morning rush", name).received = 1;
    let page = to_html(&DayReport::new(&input(at(18, 5, 0), records))).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(!page.contains(name));
    for reference in ["<link", "src=", "@import", "href=\"http"] {
        assert!(!page.contains(reference), "{reference}");
    }
}

// Guards against plots without labels, and peak minutes that are not marked.
#[test]
fn plots_are_labelled_and_mark_the_peak() {
    let report = DayReport::new(&input(at(18, 5, 0), good_day()));
    let rate = rate_plot(&report).unwrap();
    for caption in ["calls per minute", "minute (UTC)"] {
        assert!(rate.contains(caption), "{caption}");
    }
    assert_eq!(rate.matches("#C85028").count(), report.peak_minutes.len());
    let calls = report.calls.values().next().unwrap();
    let latency = latency_plot(&calls.latency).unwrap();
    for caption in ["number of calls", "time in ms (logarithmic)"] {
        assert!(latency.contains(caption), "{caption}");
    }
    let labels = latency.lines().filter(|line| line.trim().parse::<f64>().is_ok());
    assert!(labels.count() >= 10, "{latency}");
    for edge in ["22.6", "32.0", "64.0"] {
        assert!(latency.lines().any(|line| line.trim() == edge), "{edge}: {latency}");
    }
}
