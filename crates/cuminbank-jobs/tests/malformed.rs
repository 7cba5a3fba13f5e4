//! Tests with extreme values from clients and executors.

mod support;

use std::{collections::VecDeque, time::Duration};

use cuminbank_jobs::{
    job::{JobStep, TaskName, TaskNeeds},
    keys::CellKeys,
    order::{EndReport, HoldReport, OrderReply, OrderRequest, RunEnd, RunReport},
    ownership::HeldOwnership,
    scheduler::{JobEffect, JobEvent, JobScheduler},
    store::{encode_value, StoreChange, StoreFailure, StoreItem, TxnOutcome},
};
use cuminbank_platform_standin::executor::FakeExecutor;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    extremes::extreme_value,
    jobs::{job, step},
    ownership::{held_ownership, BOUNDS},
};

const START: Duration = Duration::from_secs(11);

fn report(random: &mut ChaCha8Rng) -> HoldReport {
    let task = |random: &mut ChaCha8Rng| TaskName {
        job: random.random_range(0..3),
        occurrence: extreme_value(random) as u32,
        step: random.random_range(0..3),
        index: extreme_value(random) as u32,
    };
    let running = (0..3)
        .map(|_| RunReport {
            task: task(random),
            run: extreme_value(random) as u32,
            checkpoint: None,
            percent: extreme_value(random) as u8,
            usage: Some(extreme_value(random)),
        })
        .collect();
    let ends = [RunEnd::Done, RunEnd::Failed, RunEnd::Lapsed, RunEnd::Alone];
    let ended = (0..3)
        .map(|_| EndReport {
            number: extreme_value(random),
            task: task(random),
            run: extreme_value(random) as u32,
            end: ends[random.random_range(0..ends.len())],
            checkpoint: None,
        })
        .collect();
    HoldReport { clock: extreme_value(random), born: extreme_value(random), running, ended }
}

fn scheduler(ownership: &HeldOwnership) -> JobScheduler {
    JobScheduler::new(BOUNDS, ownership, START)
}

// Guards against a reply of an executor or a job of a client that crashes the owner. The job is
// stored, so it would crash every later owner too.
#[test]
fn extreme_values_do_not_panic() {
    let keys = CellKeys::new(0);
    for seed in 0..150 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut scheduler = scheduler(&held_ownership(START));
        let huge = |random: &mut ChaCha8Rng| extreme_value(random) as u32;
        let mut changes = Vec::new();
        for id in 0..3 {
            let needs = TaskNeeds {
                cpu_millis: huge(&mut random),
                memory_mb: huge(&mut random),
                gpus: huge(&mut random),
            };
            let wide = JobStep { needs, estimate_ms: huge(&mut random), ..step(3, &[]) };
            let value = encode_value(&job(vec![step(2, &[]), wide]));
            let (key, revision) = (keys.job(id), 1_000 + id);
            changes.push(StoreChange::Written(StoreItem {
                key,
                value,
                revision,
                created: revision,
            }));
        }
        let mut events = VecDeque::from([
            JobEvent::Loaded { items: Vec::new(), written_by: None, handed_over_by: None },
            JobEvent::Listed { reports: vec![FakeExecutor::new("e", 1_000).report()] },
            JobEvent::PoolChanged { changes },
        ]);
        let mut orders = 0;
        let mut now = START;
        for _ in 0..300 {
            now += Duration::from_millis(7);
            let event = events.pop_front().unwrap_or(JobEvent::Tick);
            for effect in scheduler.apply(now, now, event) {
                match effect {
                    JobEffect::Commit { id, .. } => {
                        let result = match random.random_range(0..4) {
                            0 => Err(StoreFailure::Unknown),
                            _ => Ok(TxnOutcome::Committed { revision: 2_000 + id }),
                        };
                        events.push_back(JobEvent::CommitCompleted { id, result });
                    }
                    JobEffect::Order(order) => {
                        orders += 1;
                        let reply = match order.request {
                            OrderRequest::Hold { .. } => OrderReply::Held(report(&mut random)),
                            _ => OrderReply::Done { clock: Some(extreme_value(&mut random)) },
                        };
                        events.push_back(JobEvent::OrderCompleted {
                            id: order.id,
                            result: Ok(reply),
                        });
                    }
                    _ => {}
                }
            }
        }
        assert!(orders > 10, "seed {seed}: only {orders} orders sent");
    }
}

// Guards against an overflow of the sum of needed and reserved resources, after which a task would
// seem to fit.
#[test]
fn needs_above_the_free_capacity_do_not_fit() {
    let reserved = TaskNeeds { cpu_millis: 1, memory_mb: 1, gpus: 1 };
    let capacity = TaskNeeds { cpu_millis: 8, memory_mb: 8, gpus: 8 };
    let fits = |memory_mb, gpus| {
        TaskNeeds { cpu_millis: 1, memory_mb, gpus }.fits_beside(&reserved, &capacity)
    };
    assert!(fits(7, 7));
    assert!(!fits(8, 1) && !fits(1, 8));
    assert!(!fits(u32::MAX, 1) && !fits(1, u32::MAX));
}
