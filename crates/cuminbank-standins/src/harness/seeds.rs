//! Runs of a plan over many seeds.

use std::{ops::AddAssign, thread};

use cuminbank::effect::CallOutcome;

use super::{
    checks::{check_all, describe, Violation},
    history::{History, HistoryEvent},
    plan::HarnessPlan,
    simulation::Simulation,
};

/// Runs at the same time.
const MAX_THREADS: usize = 4;

/// What a run did, to show that its checks had something to look at.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunCounts {
    /// Calls answered "done".
    pub done: usize,
    /// Requests answered "not run".
    pub refused: usize,
    /// Requests answered "unknown".
    pub unknown: usize,
    /// Tasks accepted.
    pub accepted: usize,
    /// Tasks finished.
    pub finished: usize,
    /// Tasks cancelled.
    pub cancelled: usize,
    /// Attempts evicted with a checkpoint.
    pub evicted: usize,
    /// Planned stops that ended.
    pub exits: usize,
    /// Changes of profiles.
    pub changes: usize,
}

impl RunCounts {
    /// Counts the events of a history.
    pub fn new(history: &History) -> Self {
        let mut counts = Self::default();
        for entry in &history.entries {
            match &entry.event {
                HistoryEvent::RequestAnswered { outcome, .. } => match outcome {
                    CallOutcome::Done => counts.done += 1,
                    CallOutcome::NotRun => counts.refused += 1,
                    CallOutcome::Unknown => counts.unknown += 1,
                    CallOutcome::Accepted => counts.accepted += 1,
                },
                HistoryEvent::TaskResult { finished: true, .. } => counts.finished += 1,
                HistoryEvent::TaskCancelled { .. } => counts.cancelled += 1,
                HistoryEvent::TaskEvicted { .. } => counts.evicted += 1,
                HistoryEvent::ProcessExited { .. } => counts.exits += 1,
                HistoryEvent::ConfigCommitted { .. } => counts.changes += 1,
                _ => {}
            }
        }
        counts
    }
}

impl AddAssign for RunCounts {
    fn add_assign(&mut self, other: Self) {
        self.done += other.done;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.accepted += other.accepted;
        self.finished += other.finished;
        self.cancelled += other.cancelled;
        self.evicted += other.evicted;
        self.exits += other.exits;
        self.changes += other.changes;
    }
}

/// Returns the seeds to run: 1 to `count`, or to the number in `CUMINBANK_SEEDS`.
pub fn seeds(count: u64) -> Vec<u64> {
    let wanted = std::env::var("CUMINBANK_SEEDS").ok().and_then(|text| text.parse().ok());
    (1..=wanted.unwrap_or(count)).collect()
}

/// Runs a plan and checks its history.
pub fn run_seed(simulation: Simulation) -> (History, Vec<Violation>) {
    let history = simulation.run();
    let violations = check_all(&history);
    (history, violations)
}

/// Runs the worlds of many seeds, a few at a time, in the order of the seeds.
pub fn run_seeds<T: Send>(
    seeds: &[u64],
    make: impl Fn(u64) -> Simulation + Sync,
    read: impl Fn(u64, History, Vec<Violation>) -> T + Sync,
) -> Vec<T> {
    let run = |seed: u64| {
        let (history, violations) = run_seed(make(seed));
        read(seed, history, violations)
    };
    let chunk = seeds.len().div_ceil(MAX_THREADS).max(1);
    thread::scope(|scope| {
        let parts: Vec<_> = seeds
            .chunks(chunk)
            .map(|part| scope.spawn(|| part.iter().map(|seed| run(*seed)).collect::<Vec<T>>()))
            .collect();
        let join = |part: thread::ScopedJoinHandle<'_, Vec<T>>| match part.join() {
            Ok(results) => results,
            Err(panic) => std::panic::resume_unwind(panic),
        };
        parts.into_iter().flat_map(join).collect()
    })
}

/// Runs a plan with each seed; panics with the seed, the violations and the events around the
/// first one. Returns what all runs did together.
pub fn assert_seeds(count: u64, plan: impl Fn(u64) -> HarnessPlan + Sync) -> RunCounts {
    assert_seed_list(&seeds(count), plan)
}

/// The same for the seeds that are named.
pub fn assert_seed_list(seeds: &[u64], plan: impl Fn(u64) -> HarnessPlan + Sync) -> RunCounts {
    let make = |seed| Simulation::new(plan(seed));
    let results = run_seeds(seeds, make, |seed, history, violations| {
        let failure = (!violations.is_empty()).then(|| describe(seed, &history, &violations));
        if std::env::var("CUMINBANK_TRACE").is_ok_and(|wanted| wanted == seed.to_string()) {
            println!("history of seed {seed}:\n{}", history.listing());
        }
        (RunCounts::new(&history), failure)
    });
    let mut counts = RunCounts::default();
    let failures: Vec<_> = results
        .into_iter()
        .filter_map(|(run, failure)| {
            counts += run;
            failure
        })
        .collect();
    let shown: Vec<_> = failures.iter().take(3).cloned().collect();
    assert!(failures.is_empty(), "{} runs failed\n{}", failures.len(), shown.join("\n"));
    counts
}

/// Returns how many of the seeds show a violation of an invariant.
pub fn count_violating_seeds(
    count: u64,
    invariants: &[&str],
    make: impl Fn(u64) -> Simulation + Sync,
) -> usize {
    let shows = |_, _, violations: Vec<Violation>| {
        violations.iter().any(|violation| invariants.contains(&violation.kind.invariant()))
    };
    let results = run_seeds(&(1..=count).collect::<Vec<_>>(), make, shows);
    results.into_iter().filter(|found| *found).count()
}
