//! The report as text, and the tables and sections that the text and the page share.

use std::fmt::Write;

use cuminbank::record::day_name;

use super::{
    clock_text,
    faults::{percent, MAX_LATE_PERCENT, MAX_REFUSED_PERCENT},
    millis_text, minute_ranges, DayReport,
};

/// A table of the report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportTable {
    /// Title above the table.
    pub title: &'static str,
    /// Column names; the first two columns are text and the others are numbers.
    pub header: Vec<&'static str>,
    /// Rows, each with one cell per column.
    pub rows: Vec<Vec<String>>,
}

/// Returns the report as text.
pub fn to_text(report: &DayReport) -> String {
    let mut text = report.headline();
    text.push_str("\n\n");
    for line in summary_lines(report) {
        push_line(&mut text, &line);
    }
    for table in tables(report) {
        push_line(&mut text, "");
        push_table(&mut text, &table);
    }
    for (title, lines) in sections(report) {
        push_line(&mut text, "");
        push_line(&mut text, title);
        for line in lines {
            push_line(&mut text, &format!("  {line}"));
        }
    }
    text
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}

/// Returns the lines below the headline.
pub fn summary_lines(report: &DayReport) -> Vec<String> {
    let mut lines = vec![
        format!(
            "Report for {}, made on {} at {}. All times are UTC.",
            report.day,
            day_name(report.now),
            clock_text(report.now)
        ),
        format!(
            "Made from {} record(s) of {} entry instance(s).",
            report.records, report.instances
        ),
    ];
    if !report.peak_minutes.is_empty() {
        lines.push(peak_line(report));
    }
    lines
}

fn peak_line(report: &DayReport) -> String {
    let active: Vec<u64> = report.rate.values().copied().filter(|calls| *calls > 0).collect();
    let mean = active.iter().sum::<u64>() as f64 / active.len().max(1) as f64;
    let highest = active.iter().max().copied().unwrap_or(0);
    format!(
        "Peak minutes: {}. The busiest minute had {highest} calls; the mean over the {} \
         minute(s) with calls is {mean:.1}.",
        minute_ranges(&report.peak_minutes),
        active.len()
    )
}

/// Returns the tables that have at least one row.
pub fn tables(report: &DayReport) -> Vec<ReportTable> {
    let tables =
        [call_table(report), latency_table(report), slot_table(report), task_table(report)];
    tables.into_iter().filter(|table| !table.rows.is_empty()).collect()
}

fn call_table(report: &DayReport) -> ReportTable {
    let rows = report.calls.iter().map(|(key, calls)| {
        vec![
            key.profile.clone(),
            key.customer.clone(),
            calls.received.to_string(),
            calls.on_time.to_string(),
            calls.late.to_string(),
            calls.refused.to_string(),
            calls.unknown.to_string(),
            calls.unanswered().to_string(),
            format!("{:.2}", percent(calls.late, calls.received)),
        ]
    });
    ReportTable {
        title: "Urgent calls",
        header: vec![
            "profile",
            "customer",
            "received",
            "on time",
            "late",
            "refused",
            "unknown",
            "no answer",
            "late %",
        ],
        rows: rows.collect(),
    }
}

fn latency_table(report: &DayReport) -> ReportTable {
    let rows = report.calls.iter().map(|(key, calls)| {
        vec![
            key.profile.clone(),
            key.customer.clone(),
            millis_text(calls.latency.quantile(0.5)),
            millis_text(calls.latency.quantile(0.99)),
            millis_text(calls.latency.quantile(1.0)),
            millis_text(report.peak_p99(calls)),
            millis_text(calls.short_delay.quantile(0.99)),
        ]
    });
    ReportTable {
        title: "Latency of done calls, in ms",
        header: vec![
            "profile",
            "customer",
            "p50",
            "p99",
            "longest",
            "p99 at peak",
            "p99 wait of short behind long",
        ],
        rows: rows.collect(),
    }
}

fn slot_table(report: &DayReport) -> ReportTable {
    let with_slots =
        report.calls.iter().filter(|(_, calls)| calls.slots_on_time + calls.slots_late > 0);
    let rows = with_slots.map(|(key, calls)| {
        vec![
            key.profile.clone(),
            key.customer.clone(),
            (calls.slots_on_time + calls.slots_late).to_string(),
            calls.slots_on_time.to_string(),
            calls.slots_late.to_string(),
        ]
    });
    ReportTable {
        title: "Confirmed slots",
        header: vec!["profile", "customer", "confirmed", "delivered as booked", "confirmed late"],
        rows: rows.collect(),
    }
}

fn task_table(report: &DayReport) -> ReportTable {
    let rows = report.tasks.iter().map(|(key, tasks)| {
        let overdue = report.overdue.get(key).copied().unwrap_or(0);
        let overdue = if report.unknown_deadlines.contains(&key.profile) {
            "not known".to_owned()
        } else {
            overdue.to_string()
        };
        vec![
            key.profile.clone(),
            key.customer.clone(),
            tasks.accepted.to_string(),
            tasks.started.to_string(),
            tasks.finished.to_string(),
            tasks.failed.to_string(),
            tasks.cancelled.to_string(),
            tasks.evicted.to_string(),
            tasks.resumed.to_string(),
            overdue,
            tasks.doubled.to_string(),
        ]
    });
    ReportTable {
        title: "Batch tasks",
        header: vec![
            "profile",
            "customer",
            "accepted",
            "started",
            "finished",
            "failed",
            "cancelled",
            "evicted",
            "resumed",
            "overdue",
            "doubled",
        ],
        rows: rows.collect(),
    }
}

/// Returns the titles and lines of the sections that are not empty.
pub fn sections(report: &DayReport) -> Vec<(&'static str, Vec<String>)> {
    let faults = report.faults.iter().map(ToString::to_string).collect();
    let gaps = report.gaps.iter().map(|gap| format!("{gap}.")).collect();
    let outages = report.outages.iter().map(|seen| {
        format!(
            "{} in zone {} got no answer from the store from {} to {}.",
            seen.instance,
            seen.zone,
            clock_text(seen.outage.from),
            clock_text(seen.outage.to)
        )
    });
    let sections = [
        ("What failed", faults),
        ("Gaps: intervals without saved counts", gaps),
        ("Store outages (a warning only)", outages.collect()),
        ("How to read this report", notes(report)),
    ];
    sections.into_iter().filter(|(_, lines): &(_, Vec<String>)| !lines.is_empty()).collect()
}

fn notes(report: &DayReport) -> Vec<String> {
    let mut notes = vec![format!(
        "A day goes well with at most {MAX_LATE_PERCENT} % late urgent calls in each profile and \
         {MAX_REFUSED_PERCENT} % refused ones in the peak minutes, and with no unknown outcome, \
         gap, overdue or doubled task, and no slot confirmed late in the peak minutes."
    )];
    if !report.calls.is_empty() {
        notes.push(
            "Latencies are exact to 1 %, those of the peak minutes to 10 %. p50 is the latency \
             that half of the calls did not exceed, p99 the one that 99 of 100 did not. The wait \
             of short behind long is how long short calls waited while long calls held slots of \
             executors."
                .to_owned(),
        );
        notes.push(
            "Received is the sum of on time, late, refused, unknown and no answer. No answer: the \
             call arrived and no answer was saved, because it was running when its instance last \
             saved its counts, or the instance ended. Unknown: the caller was told that the call \
             may or may not have run. Requests without a valid profile, customer or ticket are \
             refused and not counted."
                .to_owned(),
        );
    }
    if !report.gaps.is_empty() {
        notes.push(
            "Calls and tasks that an entry instance, one of the processes that receive them, \
             counted in a gap are missing from every figure."
                .to_owned(),
        );
    }
    if !report.tasks.is_empty() {
        notes.push(
            "Evicted: a running task was stopped to free its machine and put back in the queue. \
             Resumed: a task was started again after that, or after its machine was lost. \
             Doubled: a task gave two results."
                .to_owned(),
        );
        notes.push(
            "Overdue is a lower bound: tasks past their deadline at the time of the report, or at \
             the end of the day, without a recorded end. It does not tell a lost task from one \
             that still runs, and leaves out tasks accepted on earlier days."
                .to_owned(),
        );
    }
    for profile in &report.unknown_deadlines {
        notes.push(format!(
            "The store holds no profile \"{profile}\", so its overdue tasks are not known."
        ));
    }
    notes
}

fn push_table(text: &mut String, table: &ReportTable) {
    push_line(text, table.title);
    let widths: Vec<usize> = (0..table.header.len())
        .map(|column| {
            let cells = table.rows.iter().map(|row| row[column].chars().count());
            cells.chain([table.header[column].len()]).max().unwrap_or(0)
        })
        .collect();
    push_row(text, &widths, &table.header);
    for row in &table.rows {
        push_row(text, &widths, row);
    }
}

fn push_row(text: &mut String, widths: &[usize], cells: &[impl AsRef<str>]) {
    for (column, (cell, width)) in cells.iter().zip(widths).enumerate() {
        let cell = cell.as_ref();
        let padded = if column < 2 {
            write!(text, "  {cell:<width$}")
        } else {
            write!(text, "  {cell:>width$}")
        };
        padded.expect("writing to a string does not fail");
    }
    text.truncate(text.trim_end_matches(' ').len());
    text.push('\n');
}
