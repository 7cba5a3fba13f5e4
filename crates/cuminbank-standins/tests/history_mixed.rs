//! Calls, tasks and changes together under every kind of fault: I1 to I9.

use cuminbank_standins::harness::{seeds::assert_seeds, FaultKind, HarnessPlan};

/// Guards against faults that only a combination shows.
#[test]
fn everything_at_once() {
    let kinds = [
        FaultKind::KillEntry,
        FaultKind::PauseEntry,
        FaultKind::DrainEntry,
        FaultKind::CutZoneFromStore,
        FaultKind::CutZones,
        FaultKind::CutInstance,
        FaultKind::CutMachine,
        FaultKind::CutPeers,
        FaultKind::StoreDown,
        FaultKind::StoreSlow,
        FaultKind::LoseStoreAnswers,
        FaultKind::KillMachine,
        FaultKind::LeaveMachine,
        FaultKind::ListLag,
        FaultKind::SilentExecutor,
    ];
    let plan = |seed| {
        HarnessPlan::new(seed)
            .with_calls(150)
            .with_tasks(1_200)
            .with_changes(3_000)
            .with_faults(&kinds, 0.01)
    };
    let counts = assert_seeds(30, plan);
    assert!(counts.done > 2_000 && counts.finished > 200, "{counts:?}");
}
