//! Shows that the checks find the violations that the reducers' safety rules (guards) prevent. With
//! one guard off, at least one of the fixed seeds has to violate an invariant; with all on, none
//! may.

use std::time::Duration;

use cuminbank::guards::GuardSwitches;
use cuminbank_standins::harness::{
    seeds::count_violating_seeds, FaultKind, HarnessPlan, Simulation,
};

const SEEDS: u64 = 8;

/// All invariants, which must hold in the runs with all guards on.
const ALL: [&str; 13] = [
    "I1",
    "I2",
    "I3",
    "I4",
    "I5",
    "I6",
    "I7",
    "I8",
    "I9",
    "requests are answered",
    "accepted tasks finish",
    "cancelled tasks stay cancelled",
    "finished tasks stay finished",
];

/// Runs a plan with all guards and with the given ones. The first runs must not violate any
/// invariant; at least one of the second has to violate one of `invariants`.
fn check_guard(
    invariants: &[&str],
    guards: GuardSwitches,
    plan: impl Fn(u64) -> HarnessPlan + Sync,
    simulation: impl Fn(HarnessPlan) -> Simulation + Sync,
) {
    assert_ne!(guards, GuardSwitches::default(), "at least one guard must be off");
    let violating = count_violating_seeds(SEEDS, &ALL, |seed| simulation(plan(seed)));
    assert_eq!(violating, 0, "number of seeds that violate an invariant with all guards on");
    // Runs without the guard need not wait until all tasks have ended.
    let unguarded = |seed| HarnessPlan {
        settle_timeout: Duration::from_secs(10),
        ..plan(seed).with_guards(guards)
    };
    let found = count_violating_seeds(SEEDS, invariants, |seed| simulation(unguarded(seed)));
    assert!(found > 0, "none of {SEEDS} seeds violates {invariants:?} without the guard");
    println!("{found} of {SEEDS} seeds violate {invariants:?} without the guard");
}

fn guards(switch_off: impl Fn(&mut GuardSwitches)) -> GuardSwitches {
    let mut guards = GuardSwitches::default();
    switch_off(&mut guards);
    guards
}

fn busy_calls(seed: u64, kinds: &[FaultKind]) -> HarnessPlan {
    let plan = HarnessPlan::new(seed).with_calls(40).with_faults(kinds, 0.005);
    HarnessPlan { slots: 2, ..plan }
}

/// Guards against two owners at once: an elector that breaks its promise takes over while the
/// partitioned owner still serves.
#[test]
fn checker_finds_takeover_against_a_promise() {
    let kinds = [FaultKind::LoseStoreThenPeers];
    let off = guards(|guards| guards.ownership.promises_enforced = false);
    check_guard(&["I1", "I2"], off, |seed| busy_calls(seed, &kinds), Simulation::new);
}

/// Guards against slots counted as free while calls of a killed owner still occupy them.
#[test]
fn checker_finds_uncounted_inherited_slots() {
    let kinds = [FaultKind::KillEntry];
    let plan = |seed| {
        let mut plan = busy_calls(seed, &kinds);
        plan.load.max_call_ms = 12_000;
        plan
    };
    let off = guards(|guards| guards.inherited_calls_counted = false);
    check_guard(&["I1"], off, plan, Simulation::new);
}

/// Guards against a second attempt that starts before the lease of the first has expired.
#[test]
fn checker_finds_an_attempt_within_the_lease() {
    let kinds = [FaultKind::PartitionMachine];
    let plan = |seed| {
        let mut plan = HarnessPlan::new(seed).with_tasks(1_000).with_faults(&kinds, 0.005);
        plan.load.max_task_ms = 12_000;
        plan.faults.interval = Duration::from_millis(1_500);
        HarnessPlan { zones: 1, machines: 4, groups: 1, ..plan }
    };
    let off = guards(|guards| guards.lost_lease_awaited = false);
    check_guard(&["I2"], off, plan, Simulation::new);
}

/// Guards against a ticket that runs again because the new owner does not know that it ran.
#[test]
fn checker_finds_a_ticket_of_an_earlier_epoch() {
    let kinds = [FaultKind::KillEntry];
    let off = guards(|guards| guards.earlier_epoch_refused = false);
    check_guard(&["I5", "I6"], off, |seed| busy_calls(seed, &kinds), Simulation::new);
}

/// Guards against a late duplicate that runs after its caller received the answer "not run".
#[test]
fn checker_finds_a_copy_after_a_refusal() {
    let off = guards(|guards| guards.refusals_final = false);
    let plan = |seed| {
        let mut plan = busy_calls(seed, &[FaultKind::KillMachine]);
        plan.load.max_call_ms = 4_000;
        plan
    };
    check_guard(&["I5"], off, plan, Simulation::new);
}

/// Guards against work that is sent after the authority to act for the group has ended.
#[test]
fn checker_finds_a_send_without_the_right() {
    let plan = |seed| {
        let mut plan = busy_calls(seed, &[FaultKind::PauseEntry]);
        plan.faults.slow_connect_share = 0.4;
        HarnessPlan { slots: 1, ..plan }
    };
    let off = guards(|guards| guards.authority_checked_at_send = false);
    check_guard(&["I1", "I2", "I6"], off, plan, Simulation::new);
}

/// Guards against work sent to a target that the list shows as leaving.
#[test]
fn checker_finds_work_for_a_leaving_target() {
    let kinds = [FaultKind::MachineLeaves];
    let off = guards(|guards| guards.leaving_excluded = false);
    check_guard(&["I7"], off, |seed| busy_calls(seed, &kinds), Simulation::new);
}

/// Guards against an old profile that replaces a newer one through a peer or a late offer.
#[test]
fn checker_finds_a_reverted_profile() {
    let kinds =
        [FaultKind::PartitionZoneFromStore, FaultKind::PauseEntry, FaultKind::PartitionPeers];
    let plan = |seed| HarnessPlan::new(seed).with_profile_changes(300).with_faults(&kinds, 0.01);
    let off = guards(|guards| guards.revision_merge = false);
    check_guard(&["I9"], off, plan, Simulation::new);
}

/// Guards against a late answer that is mistaken for the answer to the next call on its connection.
#[test]
fn checker_finds_an_answer_to_another_call() {
    let kinds = [FaultKind::SilentExecutor, FaultKind::PartitionMachine];
    let off = guards(|guards| guards.answers_matched = false);
    let simulation = |plan| Simulation::new(plan).with_misdelivered_answers();
    check_guard(&["I4"], off, |seed| busy_calls(seed, &kinds), simulation);
}
