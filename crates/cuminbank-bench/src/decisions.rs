//! Cost of a dispatch decision by the number of executors in a zone.

use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminbank::{
    event::{CallRequest, EntryEvent},
    placement::{ExecutorSpec, PickQuery, ReservationKey, SlotLedger},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    platform::{DeploymentPlan, VirtualDeployment},
    table::{min_median_max, quantile, ResultTable},
};

const SIZES: [usize; 3] = [50, 500, 5_200];
/// Measured decisions per round.
const DECISIONS: usize = 20_000;
/// Calls in flight per executor: half of its 8 slots.
const CALLS_PER_EXECUTOR: usize = 4;

/// Measures decisions of the complete reducer and of the placement alone, in microseconds.
pub fn measure(seed: u64, rounds: usize) -> ResultTable {
    let columns = [
        "executors",
        "decision us",
        "lowest",
        "highest",
        "placement us",
        "lowest",
        "highest",
        "tick p50 us",
        "tick p99 us",
        "list us",
    ];
    let title = format!("decisions: seed {seed}, {rounds} rounds of {DECISIONS}, medians");
    let mut table = ResultTable::new(title, &columns);
    let mut medians = Vec::new();
    // Sizes are interleaved, so that load from other processes affects all of them alike.
    let mut decision_times = vec![Vec::new(); SIZES.len()];
    let mut placement_times = vec![Vec::new(); SIZES.len()];
    let mut runs: Vec<Vec<DecisionRun>> = vec![Vec::new(); SIZES.len()];
    for round in 0..rounds {
        for (index, executors) in SIZES.into_iter().enumerate() {
            let seed = seed + round as u64;
            let run = run_decisions(executors, seed);
            decision_times[index].push(run.decision);
            runs[index].push(run);
            placement_times[index].push(placement_micros(executors, seed));
        }
    }
    for (index, executors) in SIZES.into_iter().enumerate() {
        let (low, median, high) = min_median_max(&decision_times[index]);
        let (placement_low, placement_median, placement_high) =
            min_median_max(&placement_times[index]);
        let median_of = |pick: fn(&DecisionRun) -> f64| {
            min_median_max(&runs[index].iter().map(pick).collect::<Vec<_>>()).1
        };
        let cells = [
            median,
            low,
            high,
            placement_median,
            placement_low,
            placement_high,
            median_of(|run| run.tick_p50),
            median_of(|run| run.tick_p99),
            median_of(|run| run.list),
        ];
        let cells = cells.iter().map(|cell| format!("{cell:.2}"));
        table.push([executors.to_string()].into_iter().chain(cells).collect());
        medians.push((median, placement_median, low, placement_low));
    }
    if let (Some(first), Some(last)) = (medians.first(), medians.last()) {
        table.note(format!(
            "ratio of 5,200 to 50: decision {:.2} (of the lowest {:.2}), placement {:.2} (of the \
             lowest {:.2}); target under 2",
            last.0 / first.0,
            last.2 / first.2,
            last.1 / first.1,
            last.3 / first.3,
        ));
    }
    table
}

/// Times of a run in microseconds.
#[derive(Clone, Copy, Debug)]
struct DecisionRun {
    /// Median time to accept and dispatch a call plus that to end a dispatch and answer its call.
    decision: f64,
    tick_p50: f64,
    tick_p99: f64,
    /// Median time to apply an update of the instance list.
    list: f64,
}

fn run_decisions(executors: usize, seed: u64) -> DecisionRun {
    let plan = DeploymentPlan { zones: 1, entries: 1, groups: 4, executors, workers: 0, seed };
    let mut deployment = VirtualDeployment::new(plan);
    deployment.run_until(Duration::from_secs(15));
    deployment.reset_counters();
    let in_flight = executors * CALLS_PER_EXECUTOR;
    let calls_per_tick = (executors / 10).max(1);
    let mut samples = Vec::with_capacity(DECISIONS);
    let mut completed = 0;
    while samples.len() < DECISIONS {
        for _ in 0..calls_per_tick {
            let reply = deployment.next_reply();
            let call = EntryEvent::CallArrived { reply, call: call() };
            let arrival = deployment.apply(0, call);
            if deployment.hosts[0].dispatches.len() <= in_flight {
                continue;
            }
            let Some(end) = deployment.end_oldest_dispatch(0) else { continue };
            completed += 1;
            if completed > DECISIONS / 10 {
                samples.push((arrival + end).as_secs_f64() * 1e6);
            }
        }
        deployment.hosts[0].answers.clear();
        deployment.run_for(Duration::from_millis(20));
        assert!(
            deployment.now < Duration::from_secs(600),
            "calls are not dispatched: {} in flight",
            deployment.hosts[0].dispatches.len()
        );
    }
    let event_times = &deployment.hosts[0].counters.event_times;
    let micros = |kind: &str, share: f64| {
        let samples: Vec<f64> = event_times.get(kind).into_iter().flatten().copied().collect();
        quantile(&samples, share) * 1e6
    };
    DecisionRun {
        decision: min_median_max(&samples).1,
        tick_p50: micros("tick", 0.5),
        tick_p99: micros("tick", 0.99),
        list: micros("list fetched", 0.5),
    }
}

fn call() -> CallRequest {
    CallRequest {
        profile: "rush".to_owned(),
        customer: "griddle".to_owned(),
        class: "rush".to_owned(),
        ticket: None,
        body: Bytes::from_static(b"{}"),
    }
}

/// Returns the mean time in microseconds to pick an executor, reserve a slot and release one.
fn placement_micros(executors: usize, seed: u64) -> f64 {
    let (mut ledger, mut reservations) = half_full_ledger(executors);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let query = PickQuery { group: 0, long: false, avoid: None };
    let started = Instant::now();
    for step in 0..DECISIONS {
        let Some(key) = ledger.pick(query, &mut rng, |_| 1.0) else { continue };
        let index = step * 7 % reservations.len();
        let Some(reservation) = ledger.reserve(key, "rush", false) else { continue };
        ledger.release(std::mem::replace(&mut reservations[index], reservation));
    }
    started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

fn half_full_ledger(executors: usize) -> (SlotLedger, Vec<ReservationKey>) {
    let mut ledger = SlotLedger::new(2);
    let mut reservations = Vec::new();
    for index in 0..executors {
        let key = ledger.upsert(ExecutorSpec {
            name: format!("executor-{index}"),
            machine: format!("machine-{index}"),
            address: ([10, 0, 0, 1], 10_000 + index as u16).into(),
            group: 0,
            slots: 8,
        });
        ledger.record_probe(key, [], Duration::ZERO, Duration::ZERO);
        ledger.set_accepting(key, true);
        reservations
            .extend((0..CALLS_PER_EXECUTOR).filter_map(|_| ledger.reserve(key, "rush", false)));
    }
    (ledger, reservations)
}
