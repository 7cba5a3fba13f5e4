//! Tests of the bounds of leases.

use std::time::Duration;

use cuminbank_jobs::{
    ids::MonotonicTime,
    lease_bounds::{
        majority_time, slowest, EarlierOwners, OwnershipEvidence, RevisionClock,
        CONFIRMED_LEASE_TIME, LEASE_TIME, QUORUM_LEASE_TIME,
    },
};
use proptest::prelude::*;

const MAX_LEASE: Duration = Duration::from_secs(10);

fn millis(count: u64) -> MonotonicTime {
    Duration::from_millis(count)
}

// Guards against leases without evidence of the ownership.
#[test]
fn lease_needs_recent_evidence() {
    let evidence = OwnershipEvidence { confirmed_at: millis(10_000), quorum_at: millis(0) };
    assert_eq!(evidence.lease_until(millis(10_000), MAX_LEASE), Some(millis(10_000) + LEASE_TIME));
    let unconfirmed = OwnershipEvidence { confirmed_at: MonotonicTime::ZERO, ..evidence };
    assert_eq!(unconfirmed.lease_until(millis(100), MAX_LEASE), None);
    let end = millis(10_000) + CONFIRMED_LEASE_TIME;
    assert_eq!(evidence.lease_until(millis(15_000), MAX_LEASE), Some(end));
    assert_eq!(evidence.lease_until(end, MAX_LEASE), None);
    let evidence = OwnershipEvidence { quorum_at: millis(16_000), ..evidence };
    assert_eq!(evidence.lease_until(end, MAX_LEASE), Some(millis(16_000) + QUORUM_LEASE_TIME));
}

// Guards against counting a minority of the executors as a majority.
#[test]
fn majority_is_more_than_half() {
    assert_eq!(majority_time(Vec::new()), MonotonicTime::ZERO);
    assert_eq!(majority_time(vec![millis(5)]), millis(5));
    assert_eq!(majority_time(vec![millis(0), millis(5)]), millis(0));
    assert_eq!(majority_time(vec![millis(5), millis(0), millis(7)]), millis(5));
    assert_eq!(majority_time([0, 0, 5, 6].map(millis).to_vec()), millis(0));
}

// Guards against a time before the store had reached a revision.
#[test]
fn revision_is_reached_by_the_first_later_sample() {
    let mut clock = RevisionClock::default();
    assert_eq!(clock.reached_by(1), None);
    for (at, revision) in [(100, 5), (110, 6), (300, 8), (500, 8), (700, 9)] {
        clock.note(millis(at), revision);
    }
    let reached = [5, 6, 8, 9, 10].map(|revision| clock.reached_by(revision));
    let expected = [Some(100), Some(300), Some(300), Some(700), None];
    assert_eq!(reached, expected.map(|at| at.map(millis)));
}

proptest! {
    // Guards against a successor that starts a task again while an earlier owner can still extend the
    // lease of its run: whatever the evidence, the successor waits for each lease.
    #[test]
    fn successor_waits_for_each_lease_of_an_earlier_owner(
        confirmed_at in 0..20_000_u64,
        quorum_at in 0..20_000_u64,
        replaced_after in 0..3_000_u64,
        contacted_after in 0..3_000_u64,
        granted_at in 0..40_000_u64,
        max_lease in 1_000..10_000_u64,
    ) {
        let evidence = OwnershipEvidence {
            confirmed_at: millis(confirmed_at),
            quorum_at: millis(quorum_at),
        };
        let replaced_at = millis(confirmed_at + replaced_after);
        // The executors of the owner's majority reject its orders once the successor has contacted
        // them.
        let contacted_at = replaced_at.max(millis(quorum_at)) + millis(contacted_after);
        let earlier = EarlierOwners {
            bounded: true,
            confirmed_by: replaced_at,
            stopped_at: None,
            quorum_at: Some(contacted_at),
            replaced_at,
        };
        let (now, max_lease) = (millis(granted_at), millis(max_lease));
        if let Some(until) = evidence.lease_until(now, max_lease) {
            prop_assert!(until <= now + max_lease);
            prop_assert!(until <= earlier.leases_until(max_lease));
        }
    }
}

// Guards against a wait that forgets the owners before the one that has confirmed its stop.
#[test]
fn stop_of_the_previous_owner_shortens_the_wait_to_its_leases() {
    let earlier = EarlierOwners {
        bounded: true,
        confirmed_by: millis(10_000),
        stopped_at: Some(millis(10_000)),
        quorum_at: None,
        replaced_at: millis(10_200),
    };
    assert_eq!(earlier.orders_until(), millis(10_000));
    assert_eq!(earlier.leases_until(MAX_LEASE), millis(10_000) + slowest(LEASE_TIME));
}
