//! Tests of the ownership of a cell.

use std::time::Duration;

use cuminbank_jobs::{
    ids::MonotonicTime,
    keys::CellKeys,
    ownership::{
        HeldOwnership, OwnershipEffect, OwnershipState, CLAIM_DELAY, CLAIM_RETRY_DELAY,
        HANDOVER_PAUSE, MAX_STORE_SILENCE, OWNERSHIP_TTL,
    },
    store::{StoreCall, StoreFailure, StorePut, StoreTxn},
};
use cuminbank_platform_standin::store::FakeStore;

const START: MonotonicTime = Duration::from_secs(10);

fn state(name: &str, start: u64) -> OwnershipState {
    OwnershipState::new(
        name.to_owned(),
        start,
        "127.0.0.1:2".parse().expect("valid socket address"),
    )
}

/// Executes store calls immediately and returns the other effects.
fn execute_calls(
    store: &mut FakeStore,
    state: &mut OwnershipState,
    now: MonotonicTime,
    effects: Vec<OwnershipEffect>,
) -> Vec<OwnershipEffect> {
    let mut rest = Vec::new();
    for effect in effects {
        match effect {
            OwnershipEffect::Call { id, call, .. } => {
                let reply = store.call(now, &call);
                let more = state.on_call_completed(now, id, Ok(reply));
                rest.extend(execute_calls(store, state, now, more));
            }
            other => rest.push(other),
        }
    }
    rest
}

fn observe(
    store: &mut FakeStore,
    state: &mut OwnershipState,
    now: MonotonicTime,
) -> Vec<OwnershipEffect> {
    store.expire(now);
    let item = store.read(&CellKeys::new(0).owner).into_iter().next();
    let revision = item.as_ref().map_or(store.revision, |item| item.revision);
    let effects = state.observe(now, revision, item.as_ref());
    execute_calls(store, state, now, effects)
}

fn tick(
    store: &mut FakeStore,
    state: &mut OwnershipState,
    now: MonotonicTime,
) -> Vec<OwnershipEffect> {
    let effects = state.tick(now);
    execute_calls(store, state, now, effects)
}

fn begun(effects: &[OwnershipEffect]) -> Option<HeldOwnership> {
    effects.iter().find_map(|effect| match effect {
        OwnershipEffect::Began(held, _) => Some(*held),
        _ => None,
    })
}

/// Returns a store and the state of the owner recorded in it.
fn owned() -> (FakeStore, OwnershipState) {
    let (mut store, mut owner) = (FakeStore::default(), state("a", 1));
    observe(&mut store, &mut owner, START);
    let effects = tick(&mut store, &mut owner, START + CLAIM_DELAY);
    assert_eq!(begun(&effects).map(|held| held.epoch), Some(1));
    (store, owner)
}

// Guards against two owners: a cell with an ownership record must not be claimed.
#[test]
fn owned_cell_is_not_claimed() {
    let (mut store, _) = owned();
    let mut other = state("b", 2);
    observe(&mut store, &mut other, START + CLAIM_DELAY);
    let later = START + CLAIM_DELAY + Duration::from_secs(1);
    assert!(tick(&mut store, &mut other, later).is_empty());
}

// Guards against a cell that has no owner after its owner has crashed.
#[test]
fn vacant_cell_is_claimed_with_a_higher_epoch() {
    let (mut store, _) = owned();
    let mut other = state("b", 2);
    observe(&mut store, &mut other, START + CLAIM_DELAY);
    let vacant = START + CLAIM_DELAY + OWNERSHIP_TTL + Duration::from_secs(1);
    observe(&mut store, &mut other, vacant);
    let effects = tick(&mut store, &mut other, vacant + CLAIM_DELAY);
    assert_eq!(begun(&effects).map(|held| held.epoch), Some(2));
    let predecessor = effects.iter().any(
        |effect| matches!(effect, OwnershipEffect::Began(_, Some(owner)) if owner.instance == "a"),
    );
    assert!(predecessor, "{effects:?}");
}

// Guards against a new epoch, and so reading all records again, after a store outage during which
// the lease expired.
#[test]
fn owner_resumes_its_epoch_after_its_record_expired() {
    let (mut store, mut owner) = owned();
    let later = START + CLAIM_DELAY + OWNERSHIP_TTL + Duration::from_secs(2);
    let mut effects = observe(&mut store, &mut owner, later);
    effects.extend(tick(&mut store, &mut owner, later));
    let resumed = effects
        .iter()
        .any(|effect| matches!(effect, OwnershipEffect::Resumed(held) if held.epoch == 1));
    assert!(resumed, "{effects:?}");
}

// Guards against an owner sending orders indefinitely without the store.
#[test]
fn authority_ends_without_replies_of_the_store() {
    let (_, mut owner) = owned();
    let late = START + CLAIM_DELAY + MAX_STORE_SILENCE;
    let before = owner.tick(late - Duration::from_millis(1));
    assert!(!before.iter().any(|effect| matches!(effect, OwnershipEffect::Ended(_))), "{before:?}");
    let after = owner.tick(late);
    assert!(after.iter().any(|effect| matches!(effect, OwnershipEffect::Ended(_))), "{after:?}");
}

// Guards against a lagging watch that ends the ownership by reporting an earlier state of the
// record.
#[test]
fn outdated_observation_is_ignored() {
    let (mut store, mut owner) = owned();
    let revision = store.revision;
    assert!(owner.observe(START + CLAIM_DELAY, revision - 1, None).is_empty());
    assert!(owner.held().is_some_and(|held| held.revision.is_some()));
    // A removal at a higher revision counts.
    let txn = StoreTxn { removes: vec![CellKeys::new(0).owner], ..StoreTxn::default() };
    store.call(START, &StoreCall::Commit(txn));
    owner.observe(START + CLAIM_DELAY, store.revision, None);
    assert!(owner.held().is_some_and(|held| held.revision.is_none()));
}

// Guards against a successor that assumes that its predecessor has stopped because another process
// replied.
#[test]
fn predecessor_yields_only_to_a_higher_epoch() {
    let (_, mut owner) = owned();
    let now = START + Duration::from_secs(2);
    // A request with the current epoch does not end the ownership.
    assert!(owner.yield_to(now, 1, 1).1.is_empty());
    assert!(owner.held().is_some());
    // This process uses the address of the one that the request names, which thus no longer exists.
    assert!(owner.yield_to(now, 9, 2).1.is_empty());
    assert!(owner.held().is_some());
    let (stopped, effects) = owner.yield_to(now, 1, 2);
    assert_eq!(stopped, Duration::ZERO);
    assert!(
        effects.iter().any(|effect| matches!(effect, OwnershipEffect::Ended(_))),
        "{effects:?}"
    );
    assert!(owner.held().is_none());
}

// Guards against a successor waiting for leases that expired long ago. It must learn when the last
// orders were sent, even if it is the same process, which owns the cell again and queries itself.
#[test]
fn end_of_an_earlier_ownership_is_reported() {
    let (mut store, mut owner) = owned();
    let lost = START + CLAIM_DELAY + MAX_STORE_SILENCE;
    owner.tick(lost);
    assert!(owner.held().is_none());
    let later = lost + Duration::from_secs(3);
    observe(&mut store, &mut owner, later);
    let effects = tick(&mut store, &mut owner, later + CLAIM_DELAY);
    assert_eq!(begun(&effects).map(|held| held.epoch), Some(2));
    let queried = later + CLAIM_DELAY;
    assert_eq!(owner.yield_to(queried, 1, 2), (queried - lost, Vec::new()));
    assert!(owner.held().is_some());
}

// Guards against a planned shutdown after which the cell has no owner until the lease expires,
// because the call that removes the record was lost.
#[test]
fn lost_release_call_is_repeated() {
    let (mut store, mut owner) = owned();
    let effects = owner.drain(START);
    let Some(OwnershipEffect::Call { id, .. }) = effects.last() else { panic!("{effects:?}") };
    let now = START + CLAIM_DELAY;
    let again = owner.on_call_completed(now, *id, Err(StoreFailure::Unknown));
    execute_calls(&mut store, &mut owner, now, again);
    assert!(store.read(&CellKeys::new(0).owner).is_empty());
}

// Guards against the instance with the smallest share of a core becoming the owner while others are
// available.
#[test]
fn instance_with_larger_share_claims_earlier() {
    let claims_at = |share: f64| {
        let (mut store, fresh) = (FakeStore::default(), state("a", 1));
        let mut state = fresh.with_resources(share, 1_000.0);
        observe(&mut store, &mut state, START);
        let mut delay = Duration::ZERO;
        while state.tick(START + delay).is_empty() {
            delay += Duration::from_millis(5);
        }
        delay
    };
    assert!(claims_at(0.5) < claims_at(0.25));
    assert!(claims_at(0.25) < claims_at(0.12));
}

fn write(store: &mut FakeStore, key: &str, value: &[u8]) {
    let puts = vec![StorePut::new(key, value.to_vec())];
    store.call(START, &StoreCall::Commit(StoreTxn { puts, ..StoreTxn::default() }));
}

fn reports_unreadable(effects: &[OwnershipEffect], key: &str) -> bool {
    let unreadable = |effect: &OwnershipEffect| matches!(effect, OwnershipEffect::Unreadable { key: seen, .. } if seen == key);
    effects.iter().any(unreadable)
}

// Guards against an owner whose orders are rejected by every executor, and whose predecessor's are
// accepted: an epoch record that could not be read counted as epoch 0, so the epochs began again.
#[test]
fn cell_with_an_unreadable_epoch_is_not_claimed() {
    let (mut store, _) = owned();
    let keys = CellKeys::new(0);
    write(&mut store, &keys.epoch, &[0xff, 0xff]);
    let mut other = state("b", 2);
    let vacant = START + CLAIM_DELAY + OWNERSHIP_TTL + Duration::from_secs(1);
    observe(&mut store, &mut other, vacant);
    let effects = tick(&mut store, &mut other, vacant + CLAIM_DELAY);
    assert_eq!(begun(&effects), None);
    assert!(reports_unreadable(&effects, &keys.epoch), "{effects:?}");
    assert_eq!(store.read(&keys.epoch)[0].value, [0xff, 0xff]);
}

// Guards against two owners: a build with another format has claimed the cell, and the replaced owner
// went on, since it could not read the record.
#[test]
fn ownership_ends_when_the_record_cannot_be_read() {
    let (mut store, mut owner) = owned();
    let keys = CellKeys::new(0);
    write(&mut store, &keys.owner, &[0xff, 0xff]);
    let effects = observe(&mut store, &mut owner, START + CLAIM_DELAY);
    assert!(owner.held().is_none());
    assert_eq!(owner.observed(), None);
    assert!(reports_unreadable(&effects, &keys.owner), "{effects:?}");
    let later = START + CLAIM_DELAY + Duration::from_secs(2);
    assert!(tick(&mut store, &mut owner, later).is_empty());
}

// Guards against a restarted instance that becomes the owner before those that know when the last owner
// was confirmed, and then waits for the leases of runs for longer than they would.
#[test]
fn instance_that_has_not_seen_the_last_owner_claims_later() {
    let (mut store, _) = owned();
    let mut other = state("b", 2);
    let vacant = START + CLAIM_DELAY + OWNERSHIP_TTL + Duration::from_secs(1);
    observe(&mut store, &mut other, vacant);
    let effects = tick(&mut store, &mut other, vacant + CLAIM_DELAY);
    assert_eq!(begun(&effects).map(|held| held.epoch), None);
    let effects = tick(&mut store, &mut other, vacant + CLAIM_DELAY * 3);
    assert_eq!(begun(&effects).map(|held| held.epoch), Some(2));
}

// Guards against an owner that takes a cell back which it has just handed over, and against a cell
// without an owner if no other instance claims it.
#[test]
fn handed_over_cell_is_left_to_others_for_a_while() {
    for another in [true, false] {
        let (mut store, mut owner) = owned();
        let effects = owner.hand_over(START);
        assert!(matches!(effects[0], OwnershipEffect::Ended(_)), "orders end before the release");
        execute_calls(&mut store, &mut owner, START, effects);
        assert!(store.read(&CellKeys::new(0).owner).is_empty());
        let mut second = state("b", 2);
        let mut began = Vec::new();
        for millis in (0..6_000).step_by(20) {
            let now = START + Duration::from_millis(millis);
            let mut instances = vec![("a", &mut owner)];
            if another {
                instances.push(("b", &mut second));
            }
            for (name, state) in instances {
                let mut effects = observe(&mut store, state, now);
                effects.extend(tick(&mut store, state, now));
                if begun(&effects).is_some() {
                    began.push((name, now));
                }
            }
        }
        let [(name, at)] = began.as_slice() else { panic!("{began:?}") };
        match another {
            true => assert!(*name == "b" && *at < START + HANDOVER_PAUSE, "{began:?}"),
            false => assert!(*name == "a" && *at >= START + HANDOVER_PAUSE, "{began:?}"),
        }
    }
}

// Guards against calls that follow each other without a pause while the store refuses the release
// of a cell that is handed over, and against a release that is not repeated.
#[test]
fn failed_release_for_a_hand_over_is_repeated_after_a_pause() {
    for failure in [StoreFailure::NotDone, StoreFailure::Unknown] {
        for stops in [false, true] {
            let (mut store, mut owner) = owned();
            let mut effects = owner.hand_over(START);
            let mut sent = Vec::new();
            for millis in (0..1_000).step_by(20) {
                let now = START + Duration::from_millis(millis);
                effects.extend(owner.tick(now));
                for effect in std::mem::take(&mut effects) {
                    if let OwnershipEffect::Call { id, .. } = effect {
                        sent.push(now);
                        let next = owner.on_call_completed(now, id, Err(failure));
                        assert!(next.is_empty(), "{failure:?}");
                    }
                }
            }
            assert_eq!(sent.len(), 5, "{sent:?}");
            assert!(sent.windows(2).all(|pair| pair[1] >= pair[0] + CLAIM_RETRY_DELAY));
            let now = START + Duration::from_secs(1);
            if stops {
                assert!(owner.drain(now).is_empty());
            }
            tick(&mut store, &mut owner, now);
            assert!(store.read(&CellKeys::new(0).owner).is_empty());
        }
    }
}
