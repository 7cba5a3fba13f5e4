//! Simulations of urgent calls under random faults; they check the invariants I1, I2, I4, I5, I6,
//! I7 and I8.

use cuminbank_standins::harness::{seeds::assert_seeds, FaultKind, HarnessPlan};

/// Guards against checks that pass because nothing ran: without faults nearly every call has to be
/// done.
#[test]
fn calls_without_faults() {
    let counts = assert_seeds(4, |seed| HarnessPlan::new(seed).with_calls(100));
    assert!(counts.done > 1_000, "{counts:?}");
}

/// Guards against calls that run twice, on two executors, or although answered "not run", when
/// entry instances are killed, paused or partitioned.
#[test]
fn calls_with_entry_faults() {
    let kinds = [
        FaultKind::KillEntry,
        FaultKind::PauseEntry,
        FaultKind::PartitionInstance,
        FaultKind::PartitionPeers,
        FaultKind::PartitionZones,
        FaultKind::PartitionMachine,
    ];
    let counts =
        assert_seeds(20, |seed| HarnessPlan::new(seed).with_calls(80).with_faults(&kinds, 0.005));
    assert!(counts.done > 3_000, "{counts:?}");
}

/// Guards against a group with two owners, or permanently without one, when the store is down,
/// slow, unreachable or loses its answers.
#[test]
fn calls_with_store_faults() {
    let kinds = [
        FaultKind::StoreDown,
        FaultKind::StoreSlow,
        FaultKind::LoseStoreAnswers,
        FaultKind::PartitionZoneFromStore,
        FaultKind::KillEntry,
        FaultKind::PauseEntry,
    ];
    let counts =
        assert_seeds(20, |seed| HarnessPlan::new(seed).with_calls(80).with_faults(&kinds, 0.005));
    assert!(counts.done > 3_000, "{counts:?}");
}

/// Guards against work sent to targets that are leaving, down or silent, and against slots counted
/// as free while a call still runs.
#[test]
fn calls_with_target_faults() {
    let kinds = [
        FaultKind::KillMachine,
        FaultKind::MachineLeaves,
        FaultKind::ListLag,
        FaultKind::SilentExecutor,
        FaultKind::PartitionMachine,
        FaultKind::KillEntry,
    ];
    let counts =
        assert_seeds(20, |seed| HarnessPlan::new(seed).with_calls(80).with_faults(&kinds, 0.005));
    assert!(counts.done > 3_000, "{counts:?}");
}

/// Guards against a drain that drops requests or does not end.
#[test]
fn calls_with_drains() {
    let kinds = [FaultKind::DrainEntry, FaultKind::LoseStoreAnswers, FaultKind::PartitionPeers];
    let counts =
        assert_seeds(20, |seed| HarnessPlan::new(seed).with_calls(80).with_faults(&kinds, 0.002));
    assert!(counts.exits > 20, "{counts:?}");
}

/// Guards against refused calls that run later, and against slots assigned twice, when more calls
/// arrive than the executors have slots for.
#[test]
fn calls_over_capacity() {
    let kinds = [FaultKind::KillEntry, FaultKind::KillMachine, FaultKind::PauseEntry];
    let plan = |seed| {
        let mut plan = HarnessPlan::new(seed).with_calls(40).with_faults(&kinds, 0.005);
        plan.load.max_call_ms = 1_500;
        HarnessPlan { slots: 2, load_duration: std::time::Duration::from_secs(25), ..plan }
    };
    let counts = assert_seeds(10, plan);
    assert!(counts.refused > 300 && counts.done > 1_000, "{counts:?}");
}

/// Guards against bugs that occur only with three instances in a zone, so that each owner has two
/// electors.
#[test]
fn calls_with_three_instances() {
    let kinds = [
        FaultKind::KillEntry,
        FaultKind::LoseStoreThenPeers,
        FaultKind::PartitionInstanceFromStore,
        FaultKind::PartitionPeers,
        FaultKind::DrainEntry,
        FaultKind::PauseEntry,
    ];
    let plan = |seed| {
        let plan = HarnessPlan::new(seed).with_calls(80).with_faults(&kinds, 0.005);
        HarnessPlan { zones: 1, entries: 3, groups: 3, machines: 3, ..plan }
    };
    let counts = assert_seeds(20, plan);
    assert!(counts.done > 3_000, "{counts:?}");
}
