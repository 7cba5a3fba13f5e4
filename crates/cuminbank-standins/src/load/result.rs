//! Results of a run, and their comparison.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Distinct reasons kept.
const MAX_REASONS: usize = 30;
/// Highest latency that the histogram tells apart, in microseconds: 10 minutes.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Result of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadResult {
    /// Name of the run, such as the policy measured.
    pub label: String,
    /// Plan.
    pub plan: String,
    /// Seed.
    pub seed: u64,
    /// Length of the arrivals in seconds.
    pub seconds: u64,
    /// Results for each class; "<class> at crest" counts those in the crest once more.
    pub classes: BTreeMap<String, ClassResult>,
    /// Batch tasks.
    pub tasks: TaskResult,
    /// Booked slots.
    pub slots: BookingResult,
    /// Connections that failed.
    #[serde(default)]
    pub connections: ConnectionResult,
    /// Reasons of refusals, unknown outcomes and errors, with their numbers.
    pub reasons: BTreeMap<String, u64>,
    /// Longest delay of a send behind its time, in milliseconds; a high value means that the load
    /// command itself was the bottleneck.
    pub max_send_lag_ms: f64,
}

/// Result of one class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassResult {
    /// Calls that were sent.
    pub count: u64,
    /// Done within the deadline.
    pub on_time: u64,
    /// Done after the deadline.
    pub late: u64,
    /// Not run.
    pub refused: u64,
    /// Unknown outcome.
    pub unknown: u64,
    /// No answer, or one that makes no sense.
    pub errors: u64,
    /// Answers to another request.
    pub wrong_answers: u64,
    /// Done calls in each second.
    pub per_second: f64,
    /// Median latency of done calls in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Highest latency.
    pub max_ms: f64,
}

/// Result of the batch tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TaskResult {
    /// Tasks that were sent.
    pub sent: u64,
    /// Accepted.
    pub accepted: u64,
    /// Refused.
    pub refused: u64,
    /// Unknown outcome or no answer.
    pub unknown: u64,
    /// Finished by the first look after the last arrival.
    pub finished_in_run: u64,
    /// Run time of those, in seconds, for each second of the run.
    pub work_per_second: f64,
    /// Finished by the end of the wait.
    pub finished: u64,
    /// Failed or cancelled by the end of the wait.
    pub failed: u64,
    /// Still not ended, or of unknown state, at the end of the wait.
    pub unfinished: u64,
    /// Evictions as far as the entry instances state them.
    pub evictions: u64,
}

/// Result of the bookings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BookingResult {
    /// Confirmations answered with the slot asked for.
    pub confirmed_as_booked: u64,
    /// Confirmations answered with another slot.
    pub confirmed_wrong: u64,
    /// Confirmations that ran without a reservation in force.
    pub not_reserved: u64,
}

/// Requests that got no answer for a reason of their connection, those for tickets and for the
/// state of tasks included. The load command sends a request whose connection was refused to the
/// next entry instance, as the platform's load balancer does.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConnectionResult {
    /// No connection was made, so that nothing was sent.
    pub refused: u64,
    /// The connection ended after bytes of the request had left and before the whole answer.
    pub cut_off: u64,
    /// No whole answer came within the longest wait.
    pub timed_out: u64,
}

/// Collects results during a run.
#[derive(Debug, Default)]
pub(super) struct ResultCollector {
    pub(super) result: LoadResult,
    latencies: BTreeMap<String, Histogram<u64>>,
}

/// How a call counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CountedOutcome {
    Done { late: bool, wrong: bool },
    Refused,
    Unknown,
    Error,
}

impl ResultCollector {
    pub(super) fn count(&mut self, class: &str, outcome: CountedOutcome, latency: Duration) {
        let entry = self.result.classes.entry(class.to_owned()).or_default();
        entry.count += 1;
        match outcome {
            CountedOutcome::Refused => entry.refused += 1,
            CountedOutcome::Unknown => entry.unknown += 1,
            CountedOutcome::Error => entry.errors += 1,
            CountedOutcome::Done { late, wrong } => {
                entry.wrong_answers += u64::from(wrong);
                *if late { &mut entry.late } else { &mut entry.on_time } += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
                let histogram = self.latencies.entry(class.to_owned()).or_insert_with(|| {
                    Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("the bounds are valid")
                });
                histogram.saturating_record(micros);
            }
        }
    }

    pub(super) fn count_reason(&mut self, reason: String) {
        let reasons = &mut self.result.reasons;
        if reasons.len() < MAX_REASONS || reasons.contains_key(&reason) {
            *reasons.entry(reason).or_default() += 1;
        }
    }

    pub(super) fn finish(&mut self) -> LoadResult {
        let seconds = self.result.seconds.max(1) as f64;
        for (class, entry) in &mut self.result.classes {
            // The crest is the middle third of the run.
            let length = if class.ends_with(" at crest") { seconds / 3.0 } else { seconds };
            entry.per_second = (entry.on_time + entry.late) as f64 / length;
            let Some(histogram) = self.latencies.get(class) else {
                continue;
            };
            let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
            entry.p50_ms = millis(0.5);
            entry.p90_ms = millis(0.9);
            entry.p99_ms = millis(0.99);
            entry.max_ms = histogram.max() as f64 / 1_000.0;
        }
        std::mem::take(&mut self.result)
    }
}

impl LoadResult {
    /// Writes the result as a table.
    pub fn to_table(&self) -> String {
        let mut text = String::new();
        let Self { plan, seed, seconds, max_send_lag_ms, .. } = self;
        let _ = writeln!(
            text,
            "plan {plan}, seed {seed}, {seconds} s, sends at most {max_send_lag_ms:.1} ms late"
        );
        let _ = writeln!(
            text,
            "{:<20} {:>7} {:>7} {:>6} {:>7} {:>7} {:>6} {:>5} {:>8} {:>9} {:>9} {:>9} {:>9}",
            "class",
            "count",
            "on time",
            "late",
            "refused",
            "unknown",
            "errors",
            "wrong",
            "done/s",
            "p50 ms",
            "p90 ms",
            "p99 ms",
            "max ms"
        );
        for (class, entry) in &self.classes {
            let _ = writeln!(
                text,
                "{:<20} {:>7} {:>7} {:>6} {:>7} {:>7} {:>6} {:>5} {:>8.1} {:>9.1} {:>9.1} \
                 {:>9.1} {:>9.1}",
                class,
                entry.count,
                entry.on_time,
                entry.late,
                entry.refused,
                entry.unknown,
                entry.errors,
                entry.wrong_answers,
                entry.per_second,
                entry.p50_ms,
                entry.p90_ms,
                entry.p99_ms,
                entry.max_ms
            );
        }
        self.write_tasks(&mut text);
        let ConnectionResult { refused, cut_off, timed_out } = self.connections;
        if refused + cut_off + timed_out > 0 {
            let _ = writeln!(
                text,
                "connections: {refused} refused, {cut_off} requests cut off, {timed_out} timed out"
            );
        }
        for (reason, count) in &self.reasons {
            let _ = writeln!(text, "{count:>7} x {reason}");
        }
        text
    }

    fn write_tasks(&self, text: &mut String) {
        let TaskResult { sent, accepted, refused, unknown, .. } = self.tasks;
        let TaskResult { finished_in_run, finished, failed, unfinished, evictions, .. } =
            self.tasks;
        if sent > 0 {
            let _ = writeln!(
                text,
                "tasks: {sent} sent, {accepted} accepted, {refused} refused, {unknown} unknown, \
                 {finished_in_run} finished in the run ({:.2} s of work a second), {finished} \
                 finished, {failed} failed, {unfinished} unfinished, {evictions} evictions",
                self.tasks.work_per_second
            );
        }
        let BookingResult { confirmed_as_booked, confirmed_wrong, not_reserved } = self.slots;
        if confirmed_as_booked + confirmed_wrong + not_reserved > 0 {
            let _ = writeln!(
                text,
                "slots: {confirmed_as_booked} confirmed as booked, {confirmed_wrong} confirmed \
                 wrongly, {not_reserved} not reserved"
            );
        }
    }

    /// Returns the measures that a comparison shows.
    fn measures(&self) -> Vec<(String, f64)> {
        let mut measures = Vec::new();
        for (class, entry) in &self.classes {
            let done = (entry.on_time + entry.late) as f64;
            let share = entry.on_time as f64 / (entry.count.max(1)) as f64;
            for (name, value) in [
                ("share on time", share),
                ("done", done),
                ("p50 ms", entry.p50_ms),
                ("p90 ms", entry.p90_ms),
                ("p99 ms", entry.p99_ms),
                ("max ms", entry.max_ms),
            ] {
                measures.push((format!("{class}: {name}"), value));
            }
        }
        measures.push(("tasks: finished in run".to_owned(), self.tasks.finished_in_run as f64));
        measures.push(("tasks: work per second".to_owned(), self.tasks.work_per_second));
        measures.push(("tasks: evictions".to_owned(), self.tasks.evictions as f64));
        let confirmed = self.slots.confirmed_as_booked as f64;
        measures.push(("slots: confirmed as booked".to_owned(), confirmed));
        measures
    }
}

/// Writes the measures of the first result and its ratio to each of the others.
pub fn compare(results: &[LoadResult]) -> String {
    let Some((first, others)) = results.split_first() else {
        return String::new();
    };
    let mut text = String::new();
    let _ = write!(text, "{:<34} {:>12}", "measure", first.label);
    for other in others {
        let _ = write!(text, " {:>12} {:>8}", other.label, "ratio");
    }
    let _ = writeln!(text);
    let others: Vec<BTreeMap<_, _>> =
        others.iter().map(|other| other.measures().into_iter().collect()).collect();
    for (name, value) in first.measures() {
        let _ = write!(text, "{name:<34} {value:>12.3}");
        for other in &others {
            match other.get(&name) {
                Some(other) if *other != 0.0 => {
                    let _ = write!(text, " {other:>12.3} {:>8.3}", value / other);
                }
                Some(other) => {
                    let _ = write!(text, " {other:>12.3} {:>8}", "-");
                }
                None => {
                    let _ = write!(text, " {:>12} {:>8}", "absent", "-");
                }
            }
        }
        let _ = writeln!(text);
    }
    text
}
