//! Tests of the checks of the executors' and workers' execution logs.

use cuminbank_standins::{
    executor::CallExecution,
    history::{check_calls, check_tasks, HistoryFaults},
    worker::{ExecutionEnd, TaskExecution},
};

fn call(key: &str, op: &str, start_ms: u64, end_ms: Option<u64>) -> CallExecution {
    CallExecution { call: String::new(), key: key.to_owned(), op: op.to_owned(), start_ms, end_ms }
}

fn task(task: &str, attempt: u32, span: (u64, u64), end: ExecutionEnd) -> TaskExecution {
    TaskExecution {
        task: task.to_owned(),
        attempt,
        resumed_from: None,
        start_ms: span.0,
        end_ms: Some(span.1),
        end: Some(end),
    }
}

/// Guards against a check that misses repeated or overlapping runs, or that reports an allowed
/// retry.
#[test]
fn only_repeated_runs_are_faults() {
    let calls = [
        call("retried", "plan", 0, Some(10)),
        call("retried", "plan", 10, Some(20)),
        call("at-once", "plan", 5, None),
        call("at-once", "plan", 6, Some(7)),
        call("twice", "confirm", 0, Some(1)),
        call("twice", "confirm", 5, Some(6)),
    ];
    let tasks = [
        task("resumed", 1, (0, 10), ExecutionEnd::Lapsed),
        task("resumed", 2, (10, 20), ExecutionEnd::Finished),
        task("at-once", 1, (0, 10), ExecutionEnd::Lapsed),
        task("at-once", 2, (9, 20), ExecutionEnd::Finished),
        task("doubled", 1, (0, 10), ExecutionEnd::Finished),
        task("doubled", 2, (10, 11), ExecutionEnd::Stopped),
    ];
    let mut faults = HistoryFaults::default();
    check_calls(calls.iter(), &mut faults);
    check_tasks(tasks.iter(), &mut faults);
    let expected = HistoryFaults {
        calls_at_once: ["at-once".to_owned()].into(),
        calls_repeated: ["twice".to_owned()].into(),
        tasks_at_once: ["at-once".to_owned()].into(),
        tasks_doubled: ["doubled".to_owned()].into(),
    };
    assert_eq!(faults, expected);
}
