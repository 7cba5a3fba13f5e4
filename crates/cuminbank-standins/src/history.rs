//! Checks the execution logs of a whole fleet for work that ran twice.

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::{
    executor::{BookingTable, CallExecution},
    fleet::FleetMachine,
    worker::{new_delay_histogram, ExecutionEnd, TaskExecution},
};

/// Faults found in the execution logs. A correct run leaves every set empty.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryFaults {
    /// Keys of calls with executions that overlap in time.
    pub calls_at_once: BTreeSet<String>,
    /// Keys of reservations and confirmations, which are not idempotent, with more than one
    /// execution.
    pub calls_repeated: BTreeSet<String>,
    /// Ids of tasks with executions that overlap in time.
    pub tasks_at_once: BTreeSet<String>,
    /// Ids of tasks that were started again after they had finished.
    pub tasks_doubled: BTreeSet<String>,
}

/// Adds the faults in the logs of all executors to `faults`. The executors must share a clock.
pub fn check_calls<'a>(
    executions: impl Iterator<Item = &'a CallExecution>,
    faults: &mut HistoryFaults,
) {
    let mut runs: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    for execution in executions.filter(|execution| !execution.key.is_empty()) {
        let spans = runs.entry(&execution.key).or_default();
        spans.push((execution.start_ms, execution.end_ms.unwrap_or(u64::MAX)));
        let once = matches!(execution.op.as_str(), "reserve" | "confirm");
        if once && spans.len() > 1 {
            faults.calls_repeated.insert(execution.key.clone());
        }
    }
    faults.calls_at_once.extend(find_overlaps(runs));
}

/// Adds the faults in the logs of all workers to `faults`. The workers must share a clock.
pub fn check_tasks<'a>(
    executions: impl Iterator<Item = &'a TaskExecution>,
    faults: &mut HistoryFaults,
) {
    let mut runs: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    let mut finished: BTreeMap<&str, u64> = BTreeMap::new();
    for execution in executions {
        let task = execution.task.as_str();
        let end_ms = execution.end_ms.unwrap_or(u64::MAX);
        runs.entry(task).or_default().push((execution.start_ms, end_ms));
        if execution.end == Some(ExecutionEnd::Finished) {
            let first = finished.entry(task).or_insert(end_ms);
            *first = end_ms.min(*first);
        }
    }
    let again = |(task, spans): (&&str, &Vec<(u64, u64)>)| {
        let end = finished.get(task)?;
        spans.iter().any(|(start, _)| start >= end).then(|| (*task).to_owned())
    };
    faults.tasks_doubled.extend(runs.iter().filter_map(again));
    faults.tasks_at_once.extend(find_overlaps(runs));
}

fn find_overlaps(runs: BTreeMap<&str, Vec<(u64, u64)>>) -> Vec<String> {
    let overlaps = |spans: &mut Vec<(u64, u64)>| {
        spans.sort_unstable();
        spans.windows(2).any(|pair| pair[1].0 < pair[0].1)
    };
    let found = runs.into_iter().filter_map(|(key, mut spans)| overlaps(&mut spans).then_some(key));
    found.map(str::to_owned).collect()
}

/// Returns the counters summed over a fleet, the faults in its execution logs and the quantiles of
/// its start delays in milliseconds.
pub fn summarize_fleet(machines: &[FleetMachine], table: &BookingTable) -> Value {
    let (mut executors, mut workers) = (json!({}), json!({}));
    let mut delays = new_delay_histogram();
    for machine in machines {
        add_counters(&mut executors, &machine.executor.counters());
        add_counters(&mut workers, &machine.worker.counters());
        machine.worker.add_start_delays(&mut delays);
        let over = machine.executor.control().report(Value::Null)["over_connections"].clone();
        add_counters(&mut executors, &json!({ "over_connections": over }));
    }
    let mut faults = HistoryFaults::default();
    let calls: Vec<_> = machines.iter().flat_map(|machine| machine.executor.executions()).collect();
    check_calls(calls.iter(), &mut faults);
    let tasks: Vec<_> = machines.iter().flat_map(|machine| machine.worker.executions()).collect();
    check_tasks(tasks.iter(), &mut faults);
    let confirmed = table.confirmations().filter(|(_, count)| *count > 0).count();
    let confirmed_twice = table.confirmations().filter(|(_, count)| *count > 1).count();
    json!({
        "executors": executors, "workers": workers, "faults": faults,
        "slots": {"confirmed": confirmed, "confirmed_twice": confirmed_twice},
        "start_delay_ms": delay_quantiles(&delays),
    })
}

fn add_counters(sum: &mut Value, counters: &Value) {
    for (name, value) in counters.as_object().into_iter().flatten() {
        if let Some(value) = value.as_u64() {
            sum[name] = json!(sum[name].as_u64().unwrap_or(0) + value);
        }
    }
}

fn delay_quantiles(delays: &Histogram<u64>) -> Value {
    json!({
        "count": delays.len(), "p50": delays.value_at_quantile(0.5),
        "p99": delays.value_at_quantile(0.99), "max": delays.max(),
    })
}
