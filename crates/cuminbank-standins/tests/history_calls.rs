//! Urgent calls under random faults: I1, I2, I4, I5, I6, I7 and I8.

use cuminbank_standins::harness::{seeds::assert_seeds, FaultKind, HarnessPlan};

/// Guards against a harness whose checks look at nothing: without faults nearly every call has to
/// be done.
#[test]
fn calls_without_faults() {
    let counts = assert_seeds(4, |seed| HarnessPlan::new(seed).with_calls(100));
    assert!(counts.done > 1_000, "{counts:?}");
}

/// Guards against calls that run twice, at two places, or after "not run", when entry instances
/// die, pause and lose each other.
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

/// Guards against two owners of one group, or none for good, when the store is down, slow, cut
/// off or loses its answers.
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

/// Guards against work for targets that are leaving, dead or silent, and against slots that are
/// counted free while a call still runs.
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

/// Guards against a planned stop that cuts off requests or does not end.
#[test]
fn calls_with_drains() {
    let kinds = [FaultKind::DrainEntry, FaultKind::LoseStoreAnswers, FaultKind::PartitionPeers];
    let counts =
        assert_seeds(20, |seed| HarnessPlan::new(seed).with_calls(80).with_faults(&kinds, 0.002));
    assert!(counts.exits > 20, "{counts:?}");
}

/// Guards against refusals that are not final, and against slots given twice, when more calls
/// arrive than the executors can hold.
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

/// Guards against faults that need a third instance in the zone: two electors for each owner.
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
