//! Simulations of configuration changes under random faults; they check the invariant I9.

use cuminbank_standins::harness::{seeds::assert_seeds, FaultKind, HarnessPlan};

/// Guards against changes that do not reach an instance in 6 s, or that are reverted after it lost
/// its connection to the store, its watch or its peers, or was restarted.
#[test]
fn config_with_all_faults() {
    let kinds = [
        FaultKind::KillEntry,
        FaultKind::PauseEntry,
        FaultKind::PartitionInstance,
        FaultKind::PartitionPeers,
        FaultKind::PartitionZones,
        FaultKind::PartitionZoneFromStore,
        FaultKind::StoreDown,
        FaultKind::StoreSlow,
        FaultKind::LoseStoreAnswers,
        FaultKind::DrainEntry,
    ];
    let plan = |seed| {
        HarnessPlan::new(seed).with_profile_changes(700).with_calls(500).with_faults(&kinds, 0.01)
    };
    let counts = assert_seeds(20, plan);
    assert!(counts.changes > 500, "{counts:?}");
}

/// Guards against an old set of profiles that prevails because two of the three instances of a zone
/// still have it.
#[test]
fn config_with_three_instances() {
    let kinds =
        [FaultKind::KillEntry, FaultKind::PartitionZoneFromStore, FaultKind::PartitionZones];
    let plan = |seed| {
        let plan = HarnessPlan::new(seed).with_profile_changes(400).with_faults(&kinds, 0.01);
        HarnessPlan { entries: 3, ..plan }
    };
    let counts = assert_seeds(10, plan);
    assert!(counts.changes > 500, "{counts:?}");
}

/// Guards against changes missed by a watch whose connection permanently delivers nothing. The
/// zones have one instance each, so there is no peer in the zone to learn the changes from.
#[test]
fn config_with_silent_watches() {
    let kinds = [FaultKind::PartitionZoneFromStore, FaultKind::PartitionZones];
    let plan = |seed| {
        let plan = HarnessPlan::new(seed).with_profile_changes(400).with_faults(&kinds, 0.01);
        HarnessPlan { entries: 1, ..plan }
    };
    let counts = assert_seeds(20, plan);
    assert!(counts.changes > 500, "{counts:?}");
}
