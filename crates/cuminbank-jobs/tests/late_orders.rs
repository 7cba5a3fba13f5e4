//! Tests of orders that are carried out 2 to 12 s late, one for each way in which an owner drops what
//! it knows of an executor, a run, a task or a job meanwhile. `docs/design/takeover-wait.md` lists them.

mod support;

use std::time::Duration;

use cuminbank_jobs::{guards::JobGuards, job::JobStep};
use cuminbank_platform_standin::executor::LATE_DELAY_MS;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    checks::count_broken,
    jobs::step,
    seed_count,
    simulation::{InjectedFault, MessageFate, MessageKind, SimulatedPool},
    waiting::{long_running, submit, with_lengths, LASTING, LASTING_JOB},
};

const EXECUTORS: usize = 4;
const JOBS: u64 = 16;
/// Share of the orders that are carried out late, in percent.
const LATE_SHARE: u32 = 20;
const RUN_TIME: Duration = Duration::from_secs(1);
/// Spans of faults, in milliseconds.
const SPANS_MS: [u64; 7] = [400, 1_500, 3_500, 6_000, 7_000, 9_000, 11_500];
/// Time after its start by which a late run of a cancelled job has to be stopped.
const LATE_STOP_LIMIT: Duration = Duration::from_millis(3_200);

/// What happens while orders are late.
struct LateScenario {
    /// Kinds of orders that are carried out late.
    late: &'static [MessageKind],
    /// Faults of the executor with this index, or of the owner with this one, for a span.
    faults: fn(usize, usize, Duration) -> Vec<InjectedFault>,
    /// Whether each job is cancelled half a run time after its submission.
    cancels: bool,
}

const ALL_ORDERS: &[MessageKind] = &[MessageKind::Start, MessageKind::Hold, MessageKind::Stop];

fn crash(executor: usize, span: Duration) -> InjectedFault {
    InjectedFault::CrashExecutor { executor, down: Some(span) }
}

impl LateScenario {
    fn new(faults: fn(usize, usize, Duration) -> Vec<InjectedFault>) -> Self {
        Self { late: ALL_ORDERS, faults, cancels: false }
    }

    fn with_late(mut self, late: &'static [MessageKind]) -> Self {
        self.late = late;
        self
    }

    fn with_cancels(mut self) -> Self {
        self.cancels = true;
        self
    }

    fn play(&self, seed: u64, span: Duration, guards: JobGuards) -> Vec<String> {
        let (late, mut random) = (self.late, ChaCha8Rng::seed_from_u64(!seed));
        let pool = SimulatedPool::new(seed, 3, EXECUTORS).with_guards(guards).with_decider(
            Box::new(move |_, kind| {
                let delay = Duration::from_millis(random.random_range(LATE_DELAY_MS));
                match late.contains(&kind) && random.random_range(0..100) < LATE_SHARE {
                    true => MessageFate::RequestDelayed(delay),
                    false => MessageFate::Delivered,
                }
            }),
        );
        let mut pool = with_lengths(pool, |task| match task.job {
            LASTING_JOB => LASTING,
            _ => RUN_TIME,
        });
        pool.late_orders_cross_restarts = true;
        submit(&mut pool, LASTING_JOB, long_running(3));
        let mut violations = Vec::new();
        for id in 0..JOBS {
            submit(&mut pool, id, JobStep { max_per_executor: 2, ..step(4, &[]) });
            let owner = pool.owner().unwrap_or_default();
            for fault in (self.faults)(id as usize % EXECUTORS, owner, span) {
                pool.fault_at(pool.now + RUN_TIME / 3, fault);
            }
            pool.run_until(pool.now + RUN_TIME / 2);
            if self.cancels {
                pool.cancel(id);
            }
            let until = pool.now + RUN_TIME / 5 + span / 2;
            self.run_until(&mut pool, until, &mut violations);
        }
        let until = pool.now + Duration::from_secs(25);
        self.run_until(&mut pool, until, &mut violations);
        if !self.cancels {
            let open = (0..JOBS).filter(|id| !pool.checks.is_done(*id));
            violations.extend(open.map(|id| format!("job {id} is not done")));
        }
        violations.append(&mut pool.checks.violations);
        violations
    }

    /// Runs the pool and checks that late runs of cancelled jobs are stopped in time.
    fn run_until(&self, pool: &mut SimulatedPool, end: Duration, violations: &mut Vec<String>) {
        while self.cancels && pool.now < end {
            pool.run_until(pool.now + Duration::from_millis(100));
            let runs = pool.executors.iter().filter(|executor| executor.up);
            let runs = runs.flat_map(|executor| &executor.running);
            let kept = runs.filter(|run| run.started + LATE_STOP_LIMIT < pool.now);
            let kept = kept.filter(|run| run.task.job != LASTING_JOB);
            violations.extend(kept.map(|run| format!("{:?}: {run:?} goes on", pool.now)));
        }
        pool.run_until(end.max(pool.now));
    }

    /// Checks that nothing is violated, and that the plays would show it without a safety mechanism.
    fn check(&self, mutation: Option<JobGuards>) {
        let seeds = 0..seed_count(3);
        let count = |guards| {
            count_broken(&SPANS_MS, seeds.clone(), |seed, span| self.play(seed, span, guards))
        };
        assert_eq!(count(JobGuards::default()), 0);
        let Some(guards) = mutation else { return };
        assert!(count(guards) > 0);
    }
}

fn without_fence() -> Option<JobGuards> {
    Some(JobGuards { fences_earlier_orders: false, ..JobGuards::default() })
}

// Guards against an acknowledgement for an earlier incarnation that deletes an end which nobody has seen.
#[test]
fn late_holds_acknowledge_no_ends_of_later_incarnations() {
    let scenario = LateScenario::new(|executor, _, span| vec![crash(executor, span)]);
    scenario.with_late(&[MessageKind::Hold]).check(without_fence());
}

// Guards against a stop that ends a later run of its task.
#[test]
fn late_stops_do_not_end_later_runs() {
    let scenario = LateScenario::new(|executor, _, span| vec![crash(executor, span)]);
    scenario.with_late(&[MessageKind::Stop]).check(None);
}

// Guards against a late start on an executor that is removed and listed again without a restart.
#[test]
fn late_orders_are_harmless_on_an_executor_that_was_cut_off() {
    let scenario = LateScenario::new(|executor, _, span| {
        vec![InjectedFault::CutOffExecutor { executor, span }]
    });
    scenario.check(None);
}

// Guards against a late start that goes on after its job was cancelled.
#[test]
fn late_starts_of_cancelled_jobs_are_stopped() {
    LateScenario::new(|_, _, _| Vec::new()).with_cancels().check(None);
}

// Guards against a late start of a cancelled job on a later incarnation.
#[test]
fn late_starts_of_cancelled_jobs_are_stopped_after_restarts() {
    let scenario = LateScenario::new(|executor, _, span| vec![crash(executor, span)]);
    scenario.with_cancels().check(without_fence());
}

// Guards against late orders of an owner that hands its cell over and gets it back.
#[test]
fn late_orders_are_harmless_after_planned_stops() {
    let scenario = LateScenario::new(|executor, instance, span| {
        vec![crash(executor, span), InjectedFault::StopInstance { instance, down: span / 4 }]
    });
    scenario.check(Some(JobGuards { reconciles_first: false, ..JobGuards::default() }));
}

// Guards against late orders of an owner that was frozen or cut off from the store, and goes on or is
// replaced.
#[test]
fn late_orders_are_harmless_after_frozen_and_cut_off_owners() {
    let frozen = LateScenario::new(|executor, instance, span| {
        vec![crash(executor, span), InjectedFault::FreezeInstance { instance, span: span / 2 }]
    });
    frozen.check(without_fence());
    let cut = LateScenario::new(|executor, instance, span| {
        vec![crash(executor, span), InjectedFault::CutFromStore { instance, span: span / 2 }]
    });
    cut.check(without_fence());
}
