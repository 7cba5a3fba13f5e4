//! Tests of the checks with handwritten histories: each check finds the one violation in its
//! history, and none in a valid one.

use std::time::Duration;

use cuminbank::{effect::CallOutcome, worker::ResourceSize};
use cuminbank_standins::{
    harness::{
        checks::{check_all, ViolationKind},
        History, HistoryEvent,
    },
    worker::ExecutionEnd,
};

const PROCESS: (usize, u64) = (0, 7);

/// Returns the violations in a history with one event per second.
fn found(events: Vec<HistoryEvent>) -> Vec<ViolationKind> {
    found_at((0..).zip(events))
}

/// Returns the violations in a history of events at these seconds.
fn found_at(events: impl IntoIterator<Item = (u64, HistoryEvent)>) -> Vec<ViolationKind> {
    let mut history = History::default();
    for (second, event) in events {
        history.add(Duration::from_secs(second), event);
    }
    history.end = Duration::from_secs(100);
    check_all(&history).into_iter().map(|violation| violation.kind).collect()
}

fn started(target: &str, attempt: u32, checkpoint: Option<&str>) -> HistoryEvent {
    HistoryEvent::TaskStarted {
        target: target.to_owned(),
        task: "t".to_owned(),
        attempt,
        checkpoint: checkpoint.map(str::to_owned),
        size: ResourceSize::default(),
    }
}

fn ended(target: &str, attempt: u32, end: ExecutionEnd) -> HistoryEvent {
    HistoryEvent::TaskEnded { target: target.to_owned(), task: "t".to_owned(), attempt, end }
}

fn evicted(target: &str, attempt: u32, checkpoint: &str) -> HistoryEvent {
    HistoryEvent::TaskEvicted {
        target: target.to_owned(),
        task: "t".to_owned(),
        attempt,
        checkpoint: checkpoint.to_owned(),
    }
}

fn ran(target: &str, call: &str) -> HistoryEvent {
    let (target, call, key) = (target.to_owned(), call.to_owned(), "k".to_owned());
    HistoryEvent::CallStarted { target, call, key }
}

fn stopped(target: &str, call: &str) -> HistoryEvent {
    let (target, call, key) = (target.to_owned(), call.to_owned(), "k".to_owned());
    HistoryEvent::CallEnded { target, call, key }
}

fn sent() -> HistoryEvent {
    let (key, ticket) = ("k".to_owned(), Some("t".to_owned()));
    HistoryEvent::RequestSent { request: 0, key, ticket, entry: 0 }
}

fn answered(outcome: CallOutcome, status: u16, body: &str) -> HistoryEvent {
    let (key, body) = ("k".to_owned(), body.to_owned().into());
    HistoryEvent::RequestAnswered { request: 0, key, outcome, status, body }
}

fn config(start: u64, revision: i64) -> HistoryEvent {
    let revisions = vec![("p".to_owned(), revision)];
    HistoryEvent::ConfigSampled { process: (0, start), ready: true, reaches_store: true, revisions }
}

/// Guards against checks that report allowed behaviour.
#[test]
fn sound_history_has_no_violation() {
    let whole = r#"{"call":"c","key":"k","op":"plan","executor":"e"}"#;
    let events = vec![
        started("w1", 1, None),
        ended("w1", 1, ExecutionEnd::Stopped),
        evicted("w1", 1, "1:500"),
        started("w2", 2, Some("1:500")),
        ended("w2", 2, ExecutionEnd::Finished),
        sent(),
        ran("e1", "c"),
        stopped("e1", "c"),
        answered(CallOutcome::Done, 200, whole),
        HistoryEvent::DrainStarted(PROCESS),
        HistoryEvent::ProcessExited { process: PROCESS, unanswered: 0 },
    ];
    assert_eq!(found(events), []);
}

/// Guards against a check that misses an evicted task that starts without its checkpoint or from an
/// older one (I3).
#[test]
fn eviction_that_is_not_resumed_is_found() {
    let events = |resumed_from| {
        vec![
            started("w1", 1, None),
            ended("w1", 1, ExecutionEnd::Stopped),
            evicted("w1", 1, "1:500"),
            started("w2", 2, resumed_from),
        ]
    };
    for resumed_from in [None, Some("1:100")] {
        let kinds = found(events(resumed_from));
        assert!(matches!(kinds[..], [ViolationKind::NotResumed { .. }]), "{kinds:?}");
    }
}

/// Guards against a check that misses an evicted task that is resumed again after it finished (I3).
#[test]
fn second_resume_is_found() {
    let events = vec![
        started("w1", 1, None),
        ended("w1", 1, ExecutionEnd::Stopped),
        evicted("w1", 1, "1:500"),
        started("w2", 2, Some("1:500")),
        ended("w2", 2, ExecutionEnd::Finished),
        started("w3", 3, Some("1:500")),
    ];
    let kinds = found(events);
    assert!(matches!(kinds[..], [ViolationKind::TaskRepeated { .. }]), "{kinds:?}");
}

fn fault(text: &str) -> HistoryEvent {
    HistoryEvent::Fault(text.to_owned())
}

/// Returns the violations of a task that finished at 20 s and starts again at 90 s, with more events.
fn found_with_repeat(others: Vec<(u64, HistoryEvent)>) -> Vec<ViolationKind> {
    let task = [
        (0, started("w1", 1, None)),
        (20, ended("w1", 1, ExecutionEnd::Finished)),
        (90, started("w2", 2, None)),
    ];
    let mut events = [task.to_vec(), others].concat();
    events.sort_by_key(|(second, _)| *second);
    found_at(events)
}

/// Guards against a check that excuses a repeated task by a partition or the end of its worker long
/// after its owner could learn that it finished.
#[test]
fn repeat_is_not_excused_by_later_faults() {
    let partition = (80, fault("Partition(Store)"));
    let early = [(1, fault("Partition(Store)")), (2, fault("Heal(Store)"))];
    let down = (80, HistoryEvent::TargetDown("w1".to_owned()));
    for others in [vec![partition], early.to_vec(), vec![down]] {
        let kinds = found_with_repeat(others.clone());
        assert!(matches!(kinds[..], [ViolationKind::TaskRepeated { .. }]), "{others:?}: {kinds:?}");
    }
}

/// Guards against a check that reports a repeated task although its owner could not learn that it
/// finished.
#[test]
fn repeat_is_excused_by_faults_at_the_finish() {
    let during = vec![(1, fault("Partition(Store)")), (85, fault("Heal(Store)"))];
    let overlapping = vec![
        (1, fault("Partition(Store)")),
        (2, fault("Partition(Zones(0, 1))")),
        (3, fault("Heal(Zones(0, 1))")),
        (85, fault("Heal(Store)")),
    ];
    let before = vec![(10, fault("Partition(Store)")), (15, fault("Heal(Store)"))];
    let after = vec![(25, fault("Partition(Store)")), (30, fault("Heal(Store)"))];
    let down = vec![(22, HistoryEvent::TargetDown("w1".to_owned()))];
    for others in [during, overlapping, before, after, down] {
        assert_eq!(found_with_repeat(others.clone()), [], "{others:?}");
    }
}

/// Guards against a check that misses overlapping runs of a task or of a call (I2).
#[test]
fn concurrent_runs_are_found() {
    let kinds = found(vec![started("w1", 1, None), started("w2", 2, None)]);
    assert!(matches!(kinds[..], [ViolationKind::ConcurrentRuns { .. }]), "{kinds:?}");
    let kinds = found(vec![ran("e1", "c1"), ran("e2", "c2")]);
    assert!(matches!(kinds[..], [ViolationKind::ConcurrentRuns { .. }]), "{kinds:?}");
}

/// Guards against a check that misses a truncated answer (I4).
#[test]
fn truncated_answer_is_found() {
    let kinds = found(vec![sent(), answered(CallOutcome::Done, 200, r#"{"call":"c","key":"k""#)]);
    assert!(matches!(kinds[..], [ViolationKind::WrongAnswer { .. }]), "{kinds:?}");
}

/// Guards against a check that misses work that ran before its caller received the answer "not run"
/// (I5).
#[test]
fn run_despite_refusal_is_found() {
    let events =
        vec![sent(), ran("e1", "c"), stopped("e1", "c"), answered(CallOutcome::NotRun, 503, "{}")];
    let kinds = found(events);
    assert!(matches!(kinds[..], [ViolationKind::RanDespiteRefusal { .. }]), "{kinds:?}");
}

/// Guards against a check that misses a drain that drops a request or never ends (I8).
#[test]
fn incomplete_drains_are_found() {
    let events = vec![
        HistoryEvent::DrainStarted(PROCESS),
        HistoryEvent::ProcessExited { process: PROCESS, unanswered: 2 },
    ];
    let kinds = found(events);
    assert!(matches!(kinds[..], [ViolationKind::UnansweredAtExit { count: 2, .. }]), "{kinds:?}");
    let kinds = found(vec![HistoryEvent::DrainStarted(PROCESS)]);
    assert!(matches!(kinds[..], [ViolationKind::DrainOverdue { .. }]), "{kinds:?}");
}

/// Guards against a check that misses a restarted instance with an older profile (I9).
#[test]
fn older_profile_after_a_restart_is_found() {
    let kinds = found(vec![config(7, 5), config(8, 4)]);
    assert!(matches!(kinds[..], [ViolationKind::Reverted { from: 5, to: 4, .. }]), "{kinds:?}");
}

/// Guards against a check that misses a change that a running instance lacks after 6 s (I9).
#[test]
fn late_profile_is_found() {
    let mut history = History::default();
    let committed = HistoryEvent::ConfigCommitted { name: "p".to_owned(), revision: 6 };
    history.add(Duration::from_secs(1), committed);
    for sample in 5..50 {
        history.add(Duration::from_millis(sample * 200), config(7, 5));
    }
    let kinds: Vec<_> = check_all(&history).into_iter().map(|violation| violation.kind).collect();
    assert!(matches!(kinds[..], [ViolationKind::NotInForce { revision: 6, .. }]), "{kinds:?}");
}

/// Guards against a check that misses an accepted task without a result.
#[test]
fn lost_task_is_found() {
    let kinds = found(vec![sent(), answered(CallOutcome::Accepted, 202, "{}")]);
    assert!(matches!(kinds[..], [ViolationKind::LostTask { .. }]), "{kinds:?}");
}
