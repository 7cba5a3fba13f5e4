//! Time of a dispatch decision as the executors of a zone grow.

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
    table::{quantile, spread, ResultTable},
};

const SIZES: [usize; 3] = [50, 500, 5_200];
/// Decisions in a round.
const DECISIONS: usize = 20_000;
/// Calls in flight for each executor, half of its slots.
const IN_FLIGHT: usize = 4;

/// Measures decisions of the whole reducer and of the placement alone.
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
    // The sizes take turns, so that a busy spell of the machine falls on all of them.
    let mut whole = vec![Vec::new(); SIZES.len()];
    let mut placement = vec![Vec::new(); SIZES.len()];
    let mut ticks: Vec<Vec<DecisionRun>> = vec![Vec::new(); SIZES.len()];
    for round in 0..rounds {
        for (index, executors) in SIZES.into_iter().enumerate() {
            let seed = seed + round as u64;
            let run = run_decisions(executors, seed);
            whole[index].push(run.decision);
            ticks[index].push(run);
            placement[index].push(placement_micros(executors, seed));
        }
    }
    for (index, executors) in SIZES.into_iter().enumerate() {
        let (low, median, high) = spread(&whole[index]);
        let (place_low, place_median, place_high) = spread(&placement[index]);
        let of_ticks = |pick: fn(&DecisionRun) -> f64| {
            spread(&ticks[index].iter().map(pick).collect::<Vec<_>>()).1
        };
        let cells = [
            median,
            low,
            high,
            place_median,
            place_low,
            place_high,
            of_ticks(|run| run.tick_p50),
            of_ticks(|run| run.tick_p99),
            of_ticks(|run| run.list),
        ];
        let cells = cells.iter().map(|cell| format!("{cell:.2}"));
        table.push([executors.to_string()].into_iter().chain(cells).collect());
        medians.push((median, place_median, low, place_low));
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
    /// Median of a call's arrival with its dispatch and the end of a dispatch with its answer.
    decision: f64,
    tick_p50: f64,
    tick_p99: f64,
    /// Median of an update of the instance list.
    list: f64,
}

fn run_decisions(executors: usize, seed: u64) -> DecisionRun {
    let plan = DeploymentPlan { zones: 1, entries: 1, groups: 4, executors, workers: 0, seed };
    let mut deployment = VirtualDeployment::new(plan);
    deployment.run_until(Duration::from_secs(15));
    deployment.reset_counters();
    let in_flight = executors * IN_FLIGHT;
    let for_each_tick = (executors / 10).max(1);
    let mut samples = Vec::with_capacity(DECISIONS);
    let mut warm = 0;
    while samples.len() < DECISIONS {
        for _ in 0..for_each_tick {
            let reply = deployment.next_reply();
            let call = EntryEvent::CallArrived { reply, call: call() };
            let arrival = deployment.apply(0, call);
            if deployment.hosts[0].dispatches.len() <= in_flight {
                continue;
            }
            let Some(end) = deployment.end_oldest_dispatch(0) else { continue };
            warm += 1;
            if warm > DECISIONS / 10 {
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
    let spent = &deployment.hosts[0].counters.spent;
    let micros = |kind: &str, share: f64| {
        let samples: Vec<f64> = spent.get(kind).into_iter().flatten().copied().collect();
        quantile(&samples, share) * 1e6
    };
    DecisionRun {
        decision: spread(&samples).1,
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

/// Returns the mean time in microseconds of a pick, reserve and release.
fn placement_micros(executors: usize, seed: u64) -> f64 {
    let (mut ledger, mut reservations) = half_full_ledger(executors);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let query = PickQuery { group: 0, long: false, avoid: None };
    let started = Instant::now();
    for step in 0..DECISIONS {
        let Some(key) = ledger.pick(query, &mut rng, |_| 1.0) else { continue };
        let place = step * 7 % reservations.len();
        let Some(reservation) = ledger.reserve(key, "rush", false) else { continue };
        ledger.release(std::mem::replace(&mut reservations[place], reservation));
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
        reservations.extend((0..IN_FLIGHT).filter_map(|_| ledger.reserve(key, "rush", false)));
    }
    (ledger, reservations)
}
