//! Days on which long-running tasks that lost their executors compete for the rest of the pool with a
//! stream of short jobs. No long-running task may wait while executors have room.

mod support;

use cuminbank_jobs::guards::JobGuards;
use support::crowded_day::{play_crowded_day, DayVariation};

/// Seeds to run: those of the test by default. `CUMINBANK_SEEDS` sets their number and
/// `CUMINBANK_FIRST_SEED` the first one.
fn seeds(defaults: &[u64]) -> Vec<u64> {
    let number = |name| std::env::var(name).ok()?.parse::<u64>().ok();
    let Some(count) = number("CUMINBANK_SEEDS") else { return defaults.to_vec() };
    let first = number("CUMINBANK_FIRST_SEED").unwrap_or_default();
    (first..first + count).collect()
}

/// Returns a description of each day with a violation.
fn failed_days(variation: DayVariation, seeds: &[u64], guards: JobGuards) -> Vec<String> {
    let play = |seed: &u64| {
        let pool = play_crowded_day(*seed, variation, guards);
        let violations = &pool.checks.violations;
        let first = violations.first()?;
        if let Ok(part) = std::env::var("CUMINBANK_TRACE") {
            pool.trace
                .iter()
                .filter(|line| line.contains(&part))
                .for_each(|line| eprintln!("{line}"));
        }
        Some(format!("seed {seed}: {} violations, first {first}", violations.len()))
    };
    seeds.iter().filter_map(play).collect()
}

fn assert_clean(variation: DayVariation, defaults: &[u64]) {
    let seeds = seeds(defaults);
    let failed = failed_days(variation, &seeds, JobGuards::default());
    assert!(
        failed.is_empty(),
        "{variation:?}: {} of {} seeds failed:\n{}",
        failed.len(),
        seeds.len(),
        failed.join("\n")
    );
}

// Guards against long-running tasks that wait beside room, as in the incident of December 2026.
#[test]
fn long_running_tasks_do_not_wait_beside_room() {
    assert_clean(DayVariation::Plain, &[17]);
}

// Guards against the same where few starts may be in flight and a pass takes many slices.
#[test]
fn long_running_tasks_do_not_wait_behind_a_slow_link() {
    assert_clean(DayVariation::SlowLinks, &[0]);
}

// Guards against tasks forgotten or delayed by a second takeover.
#[test]
fn long_running_tasks_do_not_wait_after_a_takeover_during_drains() {
    assert_clean(DayVariation::SecondTakeover, &[0]);
}

// Guards against tasks that stay without a run after they had to leave a zone.
#[test]
fn long_running_tasks_do_not_wait_after_an_evacuation_during_drains() {
    assert_clean(DayVariation::Evacuation, &[0]);
}

// Guards against tasks that wait although the store is back. Seed 158: a task whose executor left
// before the owner knew of its drain waited for the end of the lease and then behind short jobs.
#[test]
fn long_running_tasks_do_not_wait_after_a_store_outage() {
    assert_clean(DayVariation::StoreOutage, &[158]);
}

// Guards against a check that misses the faults prevented by the order of the queue: without it, some
// seed must fail.
#[test]
fn starved_jobs_must_come_first() {
    let guards = JobGuards { starved_first: false, ..JobGuards::default() };
    let failed = failed_days(DayVariation::Plain, &seeds(&[35]), guards);
    assert!(!failed.is_empty(), "no violation found without starved_first");
    eprintln!("{} seeds failed without starved_first", failed.len());
}
