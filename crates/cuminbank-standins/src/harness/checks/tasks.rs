//! Checks of batch tasks (invariants I1, I2 and I3), and that accepted tasks finish exactly once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminbank::effect::CallOutcome;

use super::{Violation, ViolationKind};
use crate::{
    harness::history::{History, HistoryEvent},
    worker::ExecutionEnd,
};

/// Time after a partition begins or ends in which the owner may miss that a task finished.
const PARTITION_EFFECT_TIME: Duration = Duration::from_secs(15);

/// Longest time that a start sent before a cancellation takes to reach its worker.
const MAX_START_TRANSIT: Duration = Duration::from_millis(2_500);

/// I1: a worker is never sent a task that exceeds its free resources.
pub fn check_task_capacity(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for entry in &history.entries {
        let HistoryEvent::TaskRefused { target, task, status: 507, .. } = &entry.event else {
            continue;
        };
        let kind = ViolationKind::OverCapacity { target: target.clone(), work: task.clone() };
        violations.push(Violation { at: entry.at, kind });
    }
    violations
}

/// I2: two attempts of a task never overlap.
pub fn check_task_concurrency(history: &History) -> Vec<Violation> {
    let mut running: BTreeMap<&str, Vec<(&str, u32)>> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::TaskStarted { target, task, attempt, .. } => {
                let places = running.entry(task).or_default();
                if let Some((other, _)) = places.first() {
                    let targets = ((*other).to_owned(), target.clone());
                    let kind = ViolationKind::ConcurrentRuns { work: task.clone(), targets };
                    violations.push(Violation { at: entry.at, kind });
                }
                places.push((target, *attempt));
            }
            HistoryEvent::TaskEnded { target, task, attempt, .. } => {
                if let Some(places) = running.get_mut(task.as_str()) {
                    places.retain(|place| *place != (target, *attempt));
                }
            }
            _ => {}
        }
    }
    violations
}

/// I3: the next start of an evicted task resumes from the checkpoint of the eviction.
///
/// If the worker ends right after the stop, the checkpoint may be lost with it and an earlier one
/// is allowed. I2 covers that no two starts run at the same time.
pub fn check_evictions(history: &History) -> Vec<Violation> {
    let mut evicted: BTreeMap<&str, (&str, &str)> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::TaskEvicted { target, task, checkpoint, .. } => {
                evicted.insert(task, (target, checkpoint));
            }
            HistoryEvent::TargetDown(down) => evicted.retain(|_, (target, _)| *target != down),
            HistoryEvent::TaskStarted { task, checkpoint: resumed_from, .. } => {
                let Some((_, checkpoint)) = evicted.remove(task.as_str()) else {
                    continue;
                };
                if resumed_from.as_deref() == Some(checkpoint) {
                    continue;
                }
                let kind = ViolationKind::NotResumed {
                    task: task.clone(),
                    checkpoint: checkpoint.to_owned(),
                    resumed_from: resumed_from.clone(),
                };
                violations.push(Violation { at: entry.at, kind });
            }
            _ => {}
        }
    }
    violations
}

/// Once its caller received the answer that a task is cancelled, the task has no result, and starts
/// at most within the transit time of a start that was sent before.
pub fn check_cancelled(history: &History) -> Vec<Violation> {
    let mut cancelled: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        let task = match &entry.event {
            HistoryEvent::TaskCancelled { task } => {
                cancelled.entry(task).or_insert(entry.at);
                continue;
            }
            HistoryEvent::TaskStarted { task, .. } => task,
            HistoryEvent::TaskResult { task, finished: true } => task,
            _ => continue,
        };
        let is_result = matches!(entry.event, HistoryEvent::TaskResult { .. });
        let bound = if is_result { Duration::ZERO } else { MAX_START_TRANSIT };
        if cancelled.get(task.as_str()).is_some_and(|at| entry.at > *at + bound) {
            let kind = ViolationKind::RanAfterCancel { task: task.clone() };
            violations.push(Violation { at: entry.at, kind });
        }
    }
    violations
}

/// Accepted tasks end, and a finished task is not started again.
///
/// A finished task may be repeated if its owner could not learn of the finish, because the worker
/// ended or a partition was active.
pub fn check_tasks_end(history: &History) -> Vec<Violation> {
    let mut violations = check_task_repeats(history);
    let mut tickets: BTreeMap<&str, &str> = BTreeMap::new();
    let mut accepted: BTreeSet<&str> = BTreeSet::new();
    let mut ended: BTreeSet<&str> = BTreeSet::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::RequestSent { key, ticket: Some(ticket), .. } => {
                tickets.insert(key, ticket);
            }
            HistoryEvent::RequestAnswered { key, outcome: CallOutcome::Accepted, .. } => {
                accepted.extend(tickets.get(key.as_str()));
            }
            HistoryEvent::TaskResult { task, .. } => {
                ended.insert(task);
            }
            _ => {}
        }
    }
    violations.extend(accepted.difference(&ended).map(|task| Violation {
        at: history.end,
        kind: ViolationKind::LostTask { task: (*task).to_owned() },
    }));
    violations
}

fn check_task_repeats(history: &History) -> Vec<Violation> {
    let mut finished: BTreeMap<&str, (Duration, &str)> = BTreeMap::new();
    let mut reported: BTreeSet<&str> = BTreeSet::new();
    let mut last_partition_change = None;
    let mut violations = Vec::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::TaskEnded { target, task, end: ExecutionEnd::Finished, .. } => {
                finished.insert(task, (entry.at, target));
            }
            HistoryEvent::TaskResult { task, finished: true } => {
                reported.insert(task);
            }
            HistoryEvent::TargetDown(down) => finished.retain(|_, (_, target)| *target != down),
            HistoryEvent::Fault(text)
                if text.starts_with("Partition(") || text.starts_with("Heal(") =>
            {
                last_partition_change = Some(entry.at);
            }
            HistoryEvent::TaskStarted { task, .. } => {
                let hidden = finished.get(task.as_str()).is_some_and(|(at, _)| {
                    last_partition_change
                        .is_some_and(|partition| partition + PARTITION_EFFECT_TIME >= *at)
                });
                let again = finished.contains_key(task.as_str()) && !hidden;
                if again || reported.contains(task.as_str()) {
                    let kind = ViolationKind::TaskRepeated { task: task.clone() };
                    violations.push(Violation { at: entry.at, kind });
                }
            }
            _ => {}
        }
    }
    violations
}
