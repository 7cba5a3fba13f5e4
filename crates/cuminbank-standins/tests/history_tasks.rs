//! Simulations of batch tasks under random faults. They check the invariants I1, I2, I3 and I7, and
//! that no accepted task is lost or finishes twice.

use cuminbank_standins::harness::{seeds::assert_seeds, FaultKind, HarnessPlan};

/// Guards against checks that pass because nothing ran: without faults every accepted task has to
/// finish.
#[test]
fn tasks_without_faults() {
    let counts = assert_seeds(4, |seed| HarnessPlan::new(seed).with_tasks(700));
    assert!(counts.finished > 150 && counts.finished == counts.accepted, "{counts:?}");
}

/// Guards against tasks that run twice or are lost when their owner is killed, paused or
/// partitioned.
#[test]
fn tasks_with_entry_faults() {
    let kinds = [
        FaultKind::KillEntry,
        FaultKind::PauseEntry,
        FaultKind::PartitionInstance,
        FaultKind::PartitionMachine,
        FaultKind::PartitionPeers,
        FaultKind::PartitionZones,
    ];
    let counts =
        assert_seeds(20, |seed| HarnessPlan::new(seed).with_tasks(900).with_faults(&kinds, 0.005));
    assert!(counts.finished > 500, "{counts:?}");
}

/// Guards against journal writes by a former owner, and against starts that were not committed.
#[test]
fn tasks_with_store_faults() {
    let kinds = [
        FaultKind::StoreDown,
        FaultKind::StoreSlow,
        FaultKind::LoseStoreAnswers,
        FaultKind::PartitionZoneFromStore,
        FaultKind::KillEntry,
        FaultKind::PauseEntry,
    ];
    let counts =
        assert_seeds(20, |seed| HarnessPlan::new(seed).with_tasks(900).with_faults(&kinds, 0.005));
    assert!(counts.finished > 300, "{counts:?}");
}

/// Guards against evicted tasks that start without their checkpoint or twice, and against tasks
/// lost with a worker.
#[test]
fn tasks_with_worker_faults() {
    let kinds = [
        FaultKind::MachineLeaves,
        FaultKind::MachineLeaves,
        FaultKind::KillMachine,
        FaultKind::PartitionMachine,
        FaultKind::ListLag,
        FaultKind::KillEntry,
        FaultKind::DrainEntry,
    ];
    let counts =
        assert_seeds(20, |seed| HarnessPlan::new(seed).with_tasks(700).with_faults(&kinds, 0.005));
    assert!(counts.finished > 500 && counts.evicted > 5, "{counts:?}");
}

/// Guards against cancelled tasks that still start or finish, and against cancellations lost
/// with their owner.
#[test]
fn tasks_with_cancellations() {
    let kinds = [
        FaultKind::KillEntry,
        FaultKind::PauseEntry,
        FaultKind::LoseStoreAnswers,
        FaultKind::MachineLeaves,
        FaultKind::PartitionMachine,
    ];
    let plan = |seed| {
        let plan = HarnessPlan::new(seed).with_tasks(500).with_cancels(0.4);
        plan.with_faults(&kinds, 0.005)
    };
    let counts = assert_seeds(20, plan);
    assert!(counts.cancelled > 100 && counts.finished > 300, "{counts:?}");
}
