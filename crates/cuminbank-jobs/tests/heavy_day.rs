//! Simulates a heavy day of best-effort work on executors with services that some of it disturbs,
//! and checks both the waiting times and the violations.

use std::time::Duration;

use cuminbank_jobs::{
    colocation::{ColocationModel, ImageId, MinorLoss, SlackLoss, MAX_PRESSURE},
    ids::MonotonicTime,
    slack::{tolerable_loss, SlackEstimate, SlackReport},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICES: usize = 3;
const BEST_EFFORT_IMAGES: usize = 9;
const EXECUTORS: usize = 18;
/// Latency-critical tasks on each executor, all of one service.
const LATENCY_CRITICAL_TASKS: usize = 4;
/// Maximum number of best-effort tasks on an executor.
const ROOM: usize = 6;
/// Share of an executor used by each best-effort task, and its run time in steps.
const SHARE: f64 = 0.1;
const LENGTH: usize = 5;
/// Best-effort tasks arriving in each step: nine tenths of the capacity of the executors.
const ARRIVALS: usize = EXECUTORS * ROOM * 9 / (10 * LENGTH);
const STEP: Duration = Duration::from_millis(500);
/// Steps until most pairs are known, and total number of steps.
const LEARNED: usize = 30;
const STEPS: usize = 150;

/// Loss of slack for a whole executor. A third of the pairs interfere.
fn effect(service: usize, best_effort: usize) -> f64 {
    if (service + best_effort).is_multiple_of(3) {
        10.0
    } else {
        0.2
    }
}

#[derive(Default)]
struct SimulatedExecutor {
    /// Best-effort images, each with the step in which it ends.
    best_effort: Vec<(usize, usize)>,
    /// Undisturbed slack according to the last report.
    slack: f64,
}

/// Results of a day, without the learning period.
#[derive(Debug, Default)]
struct DayResult {
    /// Best-effort tasks that arrived, and those that started within a second.
    arrived: u32,
    started_promptly: u32,
    /// Steps summed over the executors, and those with a service over its target.
    steps: u32,
    over: u32,
}

fn simulate_day(seed: u64) -> DayResult {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut model = ColocationModel::default();
    let services: Vec<ImageId> = (0..SERVICES).map(|n| model.intern(&format!("s{n}"))).collect();
    let best_effort_images: Vec<ImageId> =
        (0..BEST_EFFORT_IMAGES).map(|n| model.intern(&format!("f{n}"))).collect();
    let mut estimates = [SlackEstimate::new(); SERVICES];
    let mut executors: Vec<SimulatedExecutor> = Vec::new();
    executors.resize_with(EXECUTORS, SimulatedExecutor::default);
    let mut queue: Vec<(usize, usize)> = Vec::new();
    let mut result = DayResult::default();
    for step in 0..STEPS {
        let now: MonotonicTime = STEP * (step as u32 + 1);
        for (number, executor) in executors.iter_mut().enumerate() {
            let service = number % SERVICES;
            let phase = now.as_secs_f64() / 14.0 + service as f64 / 3.0;
            let load = 0.45 * (1.0 + 0.5 * (phase * std::f64::consts::TAU).sin());
            let lost = |(best_effort, _): &(usize, usize)| {
                effect(service, *best_effort) * SHARE * random.random_range(0.5..1.5)
            };
            let slack =
                (5.0 * (1.0 - load) - executor.best_effort.iter().map(lost).sum::<f64>()).max(0.2);
            if step >= LEARNED {
                result.steps += 1;
                result.over += u32::from(slack < 1.0);
            }
            let mut report = SlackReport::default();
            for _ in 0..LATENCY_CRITICAL_TASKS {
                report.add(slack * random.random_range(0.8..1.2));
            }
            let best_effort: Vec<(ImageId, f64)> = executor
                .best_effort
                .iter()
                .map(|(best_effort, _)| (best_effort_images[*best_effort], SHARE))
                .collect();
            let expected = best_effort
                .iter()
                .map(|(image, share)| model.loss(now, services[service], *image, *share))
                .fold(SlackLoss::default(), SlackLoss::plus);
            estimates[service].update(now, &report, expected);
            let loss = estimates[service].loss_of(now, &report);
            model.learn_estimate(now, services[service], loss, &best_effort);
            executor.slack = report.slack + expected.mean;
            executor.best_effort.retain(|(_, ends)| *ends > step);
        }
        queue.extend((0..ARRIVALS).map(|_| (random.random_range(0..BEST_EFFORT_IMAGES), step)));
        queue.retain(|(best_effort, arrived)| {
            let pressure = |(number, executor): (usize, &SimulatedExecutor)| {
                let victim = services[number % SERVICES];
                let tolerable =
                    tolerable_loss(executor.slack, Duration::ZERO, STEP * LENGTH as u32);
                let others = executor.best_effort.iter();
                let others = others
                    .map(|(other, _)| model.loss(now, victim, best_effort_images[*other], SHARE));
                let added = model.trial_loss(
                    MinorLoss::Ignored,
                    now,
                    victim,
                    best_effort_images[*best_effort],
                    SHARE,
                );
                (others.fold(added, SlackLoss::plus).pressure(tolerable), number)
            };
            let room = executors.iter().enumerate();
            let room = room.filter(|(_, executor)| executor.best_effort.len() < ROOM);
            let best = room.map(pressure).min_by(|left, right| left.0.total_cmp(&right.0));
            let placed = best.filter(|(pressure, _)| *pressure <= MAX_PRESSURE);
            if let Some((_, number)) = placed {
                executors[number].best_effort.push((*best_effort, step + LENGTH));
            }
            if *arrived >= LEARNED && *arrived + 2 < STEPS {
                result.arrived += u32::from(*arrived == step);
                result.started_promptly += u32::from(placed.is_some() && *arrived + 2 >= step);
            }
            placed.is_none()
        });
    }
    result
}

// Guards against best-effort work waiting next to idle executors because the model takes harmless
// pairs for disturbing ones, and against violations because it takes disturbing pairs for harmless
// ones.
#[test]
fn best_effort_work_runs_beside_tolerant_services() {
    for seed in 0..8 {
        let result = simulate_day(seed);
        assert!(result.started_promptly * 10 >= result.arrived * 9, "seed {seed}: {result:?}");
        assert!(result.over * 10 <= result.steps, "seed {seed}: {result:?}");
    }
}
