//! Tests of the queue order. Simulates bursts and compares the order with first-come-first-served
//! and with shortest-job-first.

use std::{cmp::Ordering, time::Duration};

use cuminbank_jobs::{
    ids::MonotonicTime,
    priority::{compare, JobTier, JobUrgency},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Job of the simulated burst.
#[derive(Clone)]
struct BurstJob {
    urgency: JobUrgency,
    work: Duration,
    value: f64,
}

/// Generates a load like that of the users' days with the highest load: two classes of jobs, which
/// request 2.5 times the capacity for 6 s.
fn burst(seed: u64) -> Vec<BurstJob> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut now = Duration::from_secs(1);
    while now < Duration::from_secs(30) {
        let in_burst = (8..14).contains(&now.as_secs());
        now += Duration::from_millis(if in_burst { 50 } else { 140 });
        let urgent = random.random_bool(0.35);
        let mean_ms = if urgent { 900.0 } else { 2_200.0 };
        let work = Duration::from_millis((mean_ms * random.random_range(0.4..1.8)) as u64);
        // Estimates deviate from the actual work by up to a half.
        let estimate = work.mul_f64(random.random_range(0.6..1.5));
        let objective = if urgent {
            work * 3 / 2 + Duration::from_millis(250)
        } else {
            work * 2 + Duration::from_secs(1)
        };
        let urgency = JobUrgency {
            priority: if urgent { 0 } else { 2 },
            arrived: now,
            deadline: now + objective,
            remaining: estimate,
            long_running: false,
            ready_since: now,
        };
        jobs.push(BurstJob { urgency, work, value: if urgent { 0.389 } else { 0.915 } });
    }
    jobs
}

/// Simulates a burst on a fixed number of slots. Returns the value of the jobs that complete in
/// time or not too late, as a fraction of the total value.
fn simulate(
    jobs: &[BurstJob],
    order: impl Fn(MonotonicTime, &BurstJob, &BurstJob) -> Ordering,
) -> f64 {
    const SLOTS: usize = 11;
    let mut waiting: Vec<BurstJob> = Vec::new();
    let mut arrivals = jobs.to_vec();
    arrivals.reverse();
    let mut busy: Vec<MonotonicTime> = Vec::new();
    let (mut credit, mut now) = (0.0, Duration::ZERO);
    while !arrivals.is_empty() || !waiting.is_empty() {
        now += Duration::from_millis(10);
        busy.retain(|ends| *ends > now);
        while arrivals.last().is_some_and(|job| job.urgency.arrived <= now) {
            waiting.extend(arrivals.pop());
        }
        waiting.sort_by(|left, right| order(now, left, right));
        while busy.len() < SLOTS && !waiting.is_empty() {
            let job = waiting.remove(0);
            let ends = now + job.work;
            busy.push(ends);
            let objective = job.urgency.deadline - job.urgency.arrived;
            credit += match ends {
                _ if ends <= job.urgency.deadline => job.value,
                _ if ends <= job.urgency.arrived + objective * 3 => job.value * 0.15,
                _ => 0.0,
            };
        }
    }
    credit / jobs.iter().map(|job| job.value).sum::<f64>()
}

// Guards against an order that delivers less value in a burst than the simple orders do.
#[test]
fn tiers_deliver_more_value_in_a_burst_than_simple_orders() {
    let seeds = 0..12;
    let (mut tiers, mut first_come, mut shortest) = (0.0, 0.0, 0.0);
    for seed in seeds {
        let jobs = burst(seed);
        tiers += simulate(&jobs, |now, left, right| compare(now, &left.urgency, &right.urgency));
        first_come +=
            simulate(&jobs, |_, left, right| left.urgency.arrived.cmp(&right.urgency.arrived));
        shortest +=
            simulate(&jobs, |_, left, right| left.urgency.remaining.cmp(&right.urgency.remaining));
    }
    println!(
        "against first come {:.2}, against shortest {:.2}",
        tiers / first_come,
        tiers / shortest
    );
    assert!(tiers >= first_come * 1.2, "{tiers} against {first_come}");
    assert!(tiers >= shortest, "{tiers} against {shortest}");
}

// Guards against long-running tasks taking the capacity from short jobs that can still meet their
// objective.
#[test]
fn tier_reflects_attainable_outcome() {
    let job = |long_running, deadline| JobUrgency {
        priority: 0,
        arrived: Duration::from_secs(10),
        deadline: Duration::from_secs(deadline),
        remaining: Duration::from_secs(2),
        long_running,
        ready_since: Duration::from_secs(13),
    };
    let now = Duration::from_secs(14);
    assert_eq!(job(false, 18).tier(now), JobTier::Feasible);
    assert_eq!(job(true, 11).tier(now), JobTier::LongRunning);
    assert_eq!(job(false, 13).tier(now), JobTier::Late);
    assert_eq!(job(false, 11).tier(now), JobTier::Overdue);
    assert_eq!(compare(now, &job(false, 18), &job(true, 11)), Ordering::Less);
    assert_eq!(compare(now, &job(true, 11), &job(false, 13)), Ordering::Less);
}

// Guards against long-running tasks that wait without end because jobs that can still meet their
// objective keep arriving.
#[test]
fn starved_long_running_job_comes_first() {
    let now = Duration::from_secs(14);
    let job = |long_running, waited| JobUrgency {
        priority: 0,
        arrived: now,
        deadline: now + Duration::from_secs(5),
        remaining: Duration::from_secs(1),
        long_running,
        ready_since: now - Duration::from_millis(waited),
    };
    assert_eq!(job(true, 1_900).tier(now), JobTier::LongRunning);
    assert_eq!(job(true, 2_000).tier(now), JobTier::Starved);
    assert_eq!(job(false, 2_000).tier(now), JobTier::Feasible);
    assert_eq!(compare(now, &job(true, 2_000), &job(false, 2_000)), Ordering::Less);
    assert_eq!(compare(now, &job(true, 3_000), &job(true, 2_000)), Ordering::Less);
}
