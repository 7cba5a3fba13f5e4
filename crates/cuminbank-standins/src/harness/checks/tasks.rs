//! Checks of batch tasks (invariants I1, I2 and I3), and that accepted tasks finish exactly once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminbank::effect::CallOutcome;

use super::{Violation, ViolationKind};
use crate::{
    harness::history::{History, HistoryEvent, ALL_FAULTS_ENDED},
    worker::ExecutionEnd,
};

/// Time after a partition in which the owner may not learn that a task finished, and time after the
/// finish in which a partition or the end of the worker may still hide it.
const FAULT_EFFECT_TIME: Duration = Duration::from_secs(15);

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
/// ended soon after it, or a partition was active at about the same time.
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

/// Last finished attempt of a task.
struct TaskFinish<'a> {
    at: Duration,
    target: &'a str,
    /// Whether a fault at the time of the finish may have hidden it from the owner.
    hidden: bool,
}

/// Partitions that are active, and when the last one ended.
#[derive(Default)]
struct PartitionTimes<'a> {
    active: Vec<&'a str>,
    last_end: Option<Duration>,
}

impl<'a> PartitionTimes<'a> {
    /// Records a fault. Returns whether a partition began.
    fn record(&mut self, at: Duration, fault: &'a str) -> bool {
        if let Some(partition) = fault.strip_prefix("Partition(") {
            self.active.push(partition);
            return true;
        }
        if let Some(partition) = fault.strip_prefix("Heal(") {
            let Some(index) = self.active.iter().position(|active| *active == partition) else {
                return false;
            };
            self.active.swap_remove(index);
            self.last_end = Some(at);
        } else if fault == ALL_FAULTS_ENDED && !self.active.is_empty() {
            self.active.clear();
            self.last_end = Some(at);
        }
        false
    }

    fn affects(&self, at: Duration) -> bool {
        let recent = self.last_end.is_some_and(|end| at <= end + FAULT_EFFECT_TIME);
        recent || !self.active.is_empty()
    }
}

fn check_task_repeats(history: &History) -> Vec<Violation> {
    let mut finished: BTreeMap<&str, TaskFinish<'_>> = BTreeMap::new();
    let mut reported: BTreeSet<&str> = BTreeSet::new();
    let mut partitions = PartitionTimes::default();
    let mut violations = Vec::new();
    for entry in &history.entries {
        let is_recent = |finish: &TaskFinish<'_>| entry.at <= finish.at + FAULT_EFFECT_TIME;
        match &entry.event {
            HistoryEvent::TaskEnded { target, task, end: ExecutionEnd::Finished, .. } => {
                let hidden = partitions.affects(entry.at);
                finished.insert(task, TaskFinish { at: entry.at, target, hidden });
            }
            HistoryEvent::TaskResult { task, finished: true } => {
                reported.insert(task);
            }
            HistoryEvent::TargetDown(down) => {
                let lost = |finish: &TaskFinish<'_>| finish.target == down && is_recent(finish);
                finished.values_mut().filter(|finish| lost(finish)).for_each(|finish| {
                    finish.hidden = true;
                });
            }
            HistoryEvent::Fault(fault) => {
                let begins = partitions.record(entry.at, fault);
                let hides = |finish: &TaskFinish<'_>| begins && is_recent(finish);
                finished.values_mut().filter(|finish| hides(finish)).for_each(|finish| {
                    finish.hidden = true;
                });
            }
            HistoryEvent::TaskStarted { task, .. } => {
                let again = finished.get(task.as_str()).is_some_and(|finish| !finish.hidden);
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
