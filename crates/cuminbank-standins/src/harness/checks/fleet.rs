//! Checks of membership, drains and configuration (invariants I7, I8 and I9).

use std::{collections::BTreeMap, time::Duration};

use cuminbank::ids::{ProfileName, StoreRevision, TargetName};

use super::{Violation, ViolationKind};
use crate::harness::{
    history::{History, HistoryEvent, ProcessId},
    queue::EntryIndex,
};

/// Time after the list first shows a target as leaving in which it may still be sent work.
const MAX_LEAVING_LAG: Duration = Duration::from_secs(3);
/// Longest drain, including 1 % for the drift of the process's clock and 1 s for its last ticks.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(31_300);
/// Time in which a committed change has to reach every process that can reach the store.
const MAX_CONFIG_LAG: Duration = Duration::from_secs(6);
/// Gap between samples above which a process counts as not running in between.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(450);

/// I7: no work is sent to a target more than 3 s after the list showed it as leaving.
pub fn check_leaving(history: &History) -> Vec<Violation> {
    let mut shown: BTreeMap<ProcessId, BTreeMap<&TargetName, Duration>> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::ListReceived { process, leaving } => {
                let known = shown.entry(*process).or_default();
                known.retain(|name, _| leaving.contains(name));
                for name in leaving {
                    known.entry(name).or_insert(entry.at);
                }
            }
            HistoryEvent::DispatchSent { process, target, .. }
            | HistoryEvent::StartSent { process, target, .. } => {
                let since = shown.get(process).and_then(|known| known.get(target));
                if since.is_some_and(|since| entry.at > *since + MAX_LEAVING_LAG) {
                    let kind = ViolationKind::SentToLeavingTarget {
                        process: *process,
                        target: target.clone(),
                    };
                    violations.push(Violation { at: entry.at, kind });
                }
            }
            _ => {}
        }
    }
    violations
}

/// I8: a draining process answers every request that it has read, and exits in time.
pub fn check_drains(history: &History) -> Vec<Violation> {
    let mut draining: BTreeMap<ProcessId, Duration> = BTreeMap::new();
    let mut paused: BTreeMap<ProcessId, Duration> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::DrainStarted(process) => {
                draining.insert(*process, entry.at + MAX_DRAIN_TIME);
            }
            HistoryEvent::ProcessKilled(process) => {
                draining.remove(process);
            }
            HistoryEvent::ProcessPaused(process) => {
                paused.insert(*process, entry.at);
            }
            HistoryEvent::ProcessResumed(process) => {
                // A paused process cannot exit, so the pause extends its deadline.
                let pause = paused.remove(process).map_or(Duration::ZERO, |from| entry.at - from);
                if let Some(deadline) = draining.get_mut(process) {
                    *deadline += pause;
                }
            }
            HistoryEvent::ProcessExited { process, unanswered } => {
                let deadline = draining.remove(process);
                if *unanswered > 0 {
                    let kind =
                        ViolationKind::UnansweredAtExit { process: *process, count: *unanswered };
                    violations.push(Violation { at: entry.at, kind });
                }
                if deadline.is_some_and(|deadline| entry.at > deadline) {
                    let kind = ViolationKind::DrainOverdue { process: *process };
                    violations.push(Violation { at: entry.at, kind });
                }
            }
            _ => {}
        }
    }
    let overdue = draining.into_iter().filter(|(_, deadline)| *deadline < history.end);
    violations.extend(
        overdue
            .map(|(process, at)| Violation { at, kind: ViolationKind::DrainOverdue { process } }),
    );
    violations
}

/// Every request is answered, unless its caller disconnects or the process is killed.
pub fn check_answered(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for entry in &history.entries {
        if let HistoryEvent::NeverAnswered { process, waiting } = &entry.event {
            let (process, waiting) = (*process, waiting.clone());
            let kind = ViolationKind::NeverAnswered { process, waiting };
            violations.push(Violation { at: entry.at, kind });
        }
    }
    violations
}

/// I9: revisions never decrease on an instance, and a change reaches every running instance that
/// can reach the store, directly or through peers, within 6 s.
pub fn check_config(history: &History) -> Vec<Violation> {
    let mut violations = check_no_revert(history);
    violations.extend(check_propagation(history));
    violations
}

fn check_no_revert(history: &History) -> Vec<Violation> {
    let mut in_force: BTreeMap<EntryIndex, BTreeMap<&ProfileName, StoreRevision>> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        let HistoryEvent::ConfigSampled { process, ready: true, revisions, .. } = &entry.event
        else {
            continue;
        };
        let last_sampled = in_force.entry(process.0).or_default();
        for (name, previous) in last_sampled.iter() {
            let sampled = revisions.iter().find(|(sampled_name, _)| sampled_name == *name);
            let current = sampled.map_or(0, |(_, revision)| *revision);
            if current < *previous {
                let name = (*name).clone();
                let kind = ViolationKind::Reverted {
                    process: *process,
                    name,
                    from: *previous,
                    to: current,
                };
                violations.push(Violation { at: entry.at, kind });
            }
        }
        last_sampled.extend(revisions.iter().map(|(name, revision)| (name, *revision)));
    }
    violations
}

type ConfigSample<'a> = (Duration, bool, bool, &'a [(ProfileName, StoreRevision)]);

fn check_propagation(history: &History) -> Vec<Violation> {
    let mut samples: BTreeMap<ProcessId, Vec<ConfigSample<'_>>> = BTreeMap::new();
    for entry in &history.entries {
        if let HistoryEvent::ConfigSampled { process, ready, reaches_store, revisions } =
            &entry.event
        {
            let sample = (entry.at, *ready, *reaches_store, revisions.as_slice());
            samples.entry(*process).or_default().push(sample);
        }
    }
    let mut violations = Vec::new();
    for entry in &history.entries {
        let HistoryEvent::ConfigCommitted { name, revision } = &entry.event else {
            continue;
        };
        for (process, samples) in &samples {
            if missed_bound(samples, entry.at, name, *revision) {
                let (process, name, revision) = (*process, name.clone(), *revision);
                let kind = ViolationKind::NotInForce { process, name, revision };
                violations.push(Violation { at: entry.at + MAX_CONFIG_LAG, kind });
            }
        }
    }
    violations
}

/// Tells whether a process lacks a change after the time bound, although it ran and could reach
/// the store all the time.
fn missed_bound(
    samples: &[ConfigSample<'_>],
    committed: Duration,
    name: &str,
    revision: StoreRevision,
) -> bool {
    let mut last = committed;
    let first = samples.partition_point(|sample| sample.0 < committed);
    for (at, ready, reaches_store, revisions) in &samples[first..] {
        if !reaches_store || *at > last + MAX_SAMPLE_GAP {
            return false;
        }
        last = *at;
        if *at >= committed + MAX_CONFIG_LAG {
            let shown = revisions.iter().find(|(shown, _)| shown == name);
            return *ready && shown.is_none_or(|(_, shown)| *shown < revision);
        }
    }
    false
}
