//! Tests of the worker state in virtual time.

use std::time::Duration;

use cuminbank::worker::{
    AttemptEnd, ResourceSize, TaskStart, WorkerReply, WorkerReport, WorkerRequest,
};
use cuminbank_standins::worker::{ExecutionEnd, WorkerCore, WorkerSettings};
use serde_json::json;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn cores(cores: u64) -> ResourceSize {
    ResourceSize { millicores: cores * 1000, memory_mib: 1024, accelerators: 0 }
}

fn worker() -> WorkerCore {
    let size = ResourceSize { memory_mib: 65_536, ..cores(8) };
    WorkerCore::new(WorkerSettings::new("worker-1", size))
}

fn start(attempt: u32, run_ms: u64, lease_ms: u64, checkpoint: Option<&str>) -> WorkerRequest {
    WorkerRequest::Start(TaskStart {
        task: "task".to_owned(),
        attempt,
        class: "plan".to_owned(),
        size: cores(4),
        lease_ms,
        checkpoint: checkpoint.map(str::to_owned),
        input: json!({"run_ms": run_ms}),
    })
}

fn list(core: &mut WorkerCore, now: Duration) -> WorkerReport {
    match core.apply(now, WorkerRequest::List { since: 0 }) {
        WorkerReply::Listed(report) => report,
        other => panic!("the reply to a list request is {other:?}"),
    }
}

/// An old or repeated start must not run a task a second time, even after the attempt has ended or
/// when its stop arrives before its start.
#[test]
fn start_with_an_old_attempt_number_is_refused() {
    let mut core = worker();
    let refused = WorkerReply::Refused { status: 409 };
    assert_eq!(core.apply(millis(0), start(2, 100, 5_000, None)), WorkerReply::Accepted);
    assert_eq!(core.apply(millis(1), start(2, 100, 5_000, None)), refused);
    assert_eq!(core.apply(millis(2), start(1, 100, 5_000, None)), refused);
    assert_eq!(core.apply(millis(200), start(2, 100, 5_000, None)), refused);
    let stop = WorkerRequest::Stop { task: "task".to_owned(), attempt: 3, checkpoint: true };
    core.apply(millis(300), stop);
    assert_eq!(core.apply(millis(301), start(3, 100, 5_000, None)), refused);
    assert_eq!(core.apply(millis(302), start(4, 100, 5_000, None)), WorkerReply::Accepted);
    assert_eq!((core.counters().started, core.counters().fenced), (2, 4));
}

/// An attempt must stop when its lease expires; if it ran on, the task could run in two places.
#[test]
fn expired_lease_stops_the_attempt_with_a_checkpoint() {
    let mut core = worker();
    core.apply(millis(0), start(1, 60_000, 5_000, None));
    let tasks = vec![("task".to_owned(), 1), ("other".to_owned(), 1)];
    let renewed = core.apply(millis(2_000), WorkerRequest::Renew { lease_ms: 5_000, tasks });
    assert_eq!(renewed, WorkerReply::Renewed { missing: vec!["other".to_owned()] });
    assert_eq!(list(&mut core, millis(6_999)).running.len(), 1);
    let report = list(&mut core, millis(9_000));
    assert!(report.running.is_empty(), "the attempt ran on after its lease expired: {report:?}");
    let checkpoint = Some("1:7000".to_owned());
    assert_eq!(report.ended[0].end, AttemptEnd::LeaseLapsed { checkpoint });
    let execution = core.executions().next().unwrap();
    assert_eq!((execution.end, execution.end_ms), (Some(ExecutionEnd::Lapsed), Some(7_000)));
}

/// A task that resumes from a checkpoint must neither lose nor repeat work, and a throttle must slow
/// it.
#[test]
fn resumed_task_runs_only_what_was_left() {
    let mut core = worker();
    core.apply(millis(0), start(1, 10_000, 60_000, None));
    let stop = WorkerRequest::Stop { task: "task".to_owned(), attempt: 1, checkpoint: true };
    let stopped = WorkerReply::Stopped { checkpoint: Some("1:4000".to_owned()), ended: None };
    assert_eq!(core.apply(millis(4_000), stop.clone()), stopped);
    assert_eq!(
        core.apply(millis(4_500), stop),
        stopped,
        "a repeated stop request got a different reply"
    );
    core.apply(millis(5_000), start(2, 10_000, 60_000, Some("1:4000")));
    let throttle = WorkerRequest::Throttle { task: "task".to_owned(), attempt: 2, percent: 50 };
    assert_eq!(core.apply(millis(6_000), throttle), WorkerReply::Accepted);
    assert_eq!(list(&mut core, millis(15_999)).running.len(), 1);
    let AttemptEnd::Finished { result } = list(&mut core, millis(16_000)).ended.remove(0).end
    else {
        panic!("the task did not finish");
    };
    assert_eq!(result["resumed_from"], json!(["1:4000"]));
    assert_eq!(result["run_ms"], json!(10_000));
}

/// A worker must reject and count a start that exceeds its free resources.
#[test]
fn start_that_does_not_fit_is_refused_and_counted() {
    let mut core = worker();
    for (index, expected) in
        [WorkerReply::Accepted, WorkerReply::Accepted, WorkerReply::Refused { status: 507 }]
            .into_iter()
            .enumerate()
    {
        let WorkerRequest::Start(mut start) = start(1, 1_000, 5_000, None) else { unreachable!() };
        start.task = format!("task-{index}");
        assert_eq!(core.apply(millis(0), WorkerRequest::Start(start)), expected);
    }
    assert_eq!(core.counters().overfilled, 1);
}

/// Usage must be reported once, for the right window and not before its lag.
#[test]
fn usage_is_reported_late_and_once() {
    let mut core = worker();
    core.apply(millis(0), start(1, 500, 5_000, None));
    core.record_slowdown(millis(100), "reserve", 1.5);
    assert!(list(&mut core, millis(2_999)).usage.is_empty());
    let usage = list(&mut core, millis(3_200)).usage;
    assert_eq!(usage.len(), 1);
    assert_eq!((usage[0].length_ms, usage[0].age_ms), (1_000, 2_200));
    assert_eq!(usage[0].neighbours, vec![("plan".to_owned(), 2.0)]);
    assert_eq!(usage[0].slowdowns, vec![("reserve".to_owned(), 1.5)]);
    assert!(list(&mut core, millis(9_000)).usage.is_empty());
}
