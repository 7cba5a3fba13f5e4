//! Results of load runs and their comparison.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Most distinct failure reasons kept; calls with further ones are counted without their reason.
const MAX_REASONS: usize = 30;
/// Highest latency that the histograms record, in microseconds (10 minutes). Higher ones count as
/// this one.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Result of a load run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadResult {
    /// Name of the run in comparisons, such as the policy that was measured.
    pub label: String,
    /// Name of the load plan.
    pub plan: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time over which arrivals were sent, in seconds.
    pub seconds: u64,
    /// Results by class. Calls in the rate peak are counted again under `<class> at crest`.
    pub classes: BTreeMap<String, ClassResult>,
    /// Results of the batch tasks.
    pub tasks: TaskResult,
    /// Results of the bookings.
    pub slots: BookingResult,
    /// Failed connections.
    #[serde(default)]
    pub connections: ConnectionResult,
    /// Number of refusals, unknown outcomes and errors by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Longest delay of a send after its scheduled time, in milliseconds. A high value means that
    /// the load command itself was the bottleneck.
    pub max_send_lag_ms: f64,
}

/// Result of the calls of one class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassResult {
    /// Number of calls.
    pub count: u64,
    /// Calls done within the deadline.
    pub on_time: u64,
    /// Calls done after the deadline.
    pub late: u64,
    /// Calls that did not run.
    pub refused: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Calls without a response, or with a malformed or unexpected one.
    pub errors: u64,
    /// Done calls whose response does not repeat the key of the call.
    pub wrong_answers: u64,
    /// Done calls per second.
    pub per_second: f64,
    /// Median latency of done calls in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile of the latency of done calls in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile of the latency of done calls in milliseconds.
    pub p99_ms: f64,
    /// Highest latency of done calls in milliseconds.
    pub max_ms: f64,
}

/// Result of the batch tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TaskResult {
    /// Tasks that were sent.
    pub sent: u64,
    /// Tasks that were accepted.
    pub accepted: u64,
    /// Tasks that were refused.
    pub refused: u64,
    /// Tasks with an unknown outcome or without a response.
    pub unknown: u64,
    /// Accepted tasks that had finished at the first status poll after the last arrival.
    pub finished_in_run: u64,
    /// Run time of the tasks in `finished_in_run`, in seconds per second of the run.
    pub work_per_second: f64,
    /// Accepted tasks that had finished by the end of the wait.
    pub finished: u64,
    /// Accepted tasks that had failed or been cancelled by the end of the wait.
    pub failed: u64,
    /// Accepted tasks that had not ended, or whose state was unknown, at the end of the wait.
    pub unfinished: u64,
    /// Evictions of the ended tasks, as reported by the entry instances.
    pub evictions: u64,
}

/// Result of the bookings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BookingResult {
    /// Confirmations of the slot that was requested.
    pub confirmed_as_booked: u64,
    /// Confirmations of another slot.
    pub confirmed_wrong: u64,
    /// Confirmations that ran without a valid reservation.
    pub not_reserved: u64,
}

/// Requests without a response because of their connection, including requests for tickets and for
/// the state of tasks. After a refused connection, the load command tries the next entry instance,
/// as the platform's load balancer does.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConnectionResult {
    /// No entry instance accepted a connection, so that nothing was sent. Calls and tasks among
    /// them count as refused.
    pub refused: u64,
    /// The connection was closed after part of the request had been sent and before the response
    /// was complete.
    pub cut_off: u64,
    /// The response was not complete within the timeout.
    pub timed_out: u64,
}

/// Collects the counters and latencies of a run.
#[derive(Debug, Default)]
pub(super) struct ResultCollector {
    pub(super) result: LoadResult,
    latencies: BTreeMap<String, Histogram<u64>>,
}

/// Outcome under which a call is counted.
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
                    Histogram::new_with_max(MAX_LATENCY_MICROS, 3)
                        .expect("histogram bounds of 1 us to 10 min with 3 digits are valid")
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
            // The rate peak is the middle third of the run.
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
    /// Formats the result as a table.
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

    /// Returns the names and values that a comparison shows.
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

/// Formats a table that compares the first result with each of the others; a ratio is the value of
/// the first divided by that of the other.
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
