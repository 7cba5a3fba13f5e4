//! Runs of a plan with many seeds.

use std::{ops::AddAssign, thread};

use cuminbank::effect::CallOutcome;

use super::{
    checks::{check_all, describe, Violation},
    history::{History, HistoryEvent},
    plan::HarnessPlan,
    simulation::Simulation,
};

/// Number of runs at the same time.
const MAX_THREADS: usize = 4;

/// Counts of what happened in a run, by which a test shows that its checks had data to check.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunCounts {
    /// Requests answered "done".
    pub done: usize,
    /// Requests answered "not run".
    pub refused: usize,
    /// Requests answered "unknown".
    pub unknown: usize,
    /// Answers that accept a task.
    pub accepted: usize,
    /// Tasks reported as finished to their callers.
    pub finished: usize,
    /// Cancellations confirmed to callers.
    pub cancelled: usize,
    /// Attempts stopped with a checkpoint.
    pub evicted: usize,
    /// Processes that exited after a drain.
    pub exits: usize,
    /// Committed changes of profiles.
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

/// Returns the seeds from 1 to `count`, or to the number in the variable `CUMINBANK_SEEDS`.
pub fn seeds(count: u64) -> Vec<u64> {
    let wanted = std::env::var("CUMINBANK_SEEDS").ok().and_then(|text| text.parse().ok());
    (1..=wanted.unwrap_or(count)).collect()
}

/// Runs a simulation to its end and checks its history.
pub fn run_seed(simulation: Simulation) -> (History, Vec<Violation>) {
    let history = simulation.run();
    let violations = check_all(&history);
    (history, violations)
}

/// Runs the simulations that `make` builds from the seeds, four at a time, and returns what
/// `read` returns for each, in the order of the seeds.
pub fn run_seeds<T: Send>(
    seeds: &[u64],
    make: impl Fn(u64) -> Simulation + Sync,
    read: impl Fn(u64, History, Vec<Violation>) -> T + Sync,
) -> Vec<T> {
    let run = |seed: u64| {
        let (history, violations) = run_seed(make(seed));
        read(seed, history, violations)
    };
    let chunk_size = seeds.len().div_ceil(MAX_THREADS).max(1);
    thread::scope(|scope| {
        let threads: Vec<_> = seeds
            .chunks(chunk_size)
            .map(|seeds| scope.spawn(|| seeds.iter().map(|seed| run(*seed)).collect::<Vec<T>>()))
            .collect();
        let join = |thread: thread::ScopedJoinHandle<'_, Vec<T>>| match thread.join() {
            Ok(results) => results,
            Err(panic) => std::panic::resume_unwind(panic),
        };
        threads.into_iter().flat_map(join).collect()
    })
}

/// Runs a plan with the seeds of [`seeds`] and returns the summed counts.
///
/// # Panics
///
/// Panics if a run violates an invariant, with the seed, the violations and the events before the
/// first one.
pub fn assert_seeds(count: u64, plan: impl Fn(u64) -> HarnessPlan + Sync) -> RunCounts {
    assert_seed_list(&seeds(count), plan)
}

/// Runs a plan with the given seeds; like [`assert_seeds`] otherwise. Prints the history of the
/// seed in the variable `CUMINBANK_TRACE`.
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
    assert!(
        failures.is_empty(),
        "{} of {} runs violated an invariant\n{}",
        failures.len(),
        seeds.len(),
        shown.join("\n")
    );
    counts
}

/// Returns how many of the seeds from 1 to `count` violate one of the invariants.
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
