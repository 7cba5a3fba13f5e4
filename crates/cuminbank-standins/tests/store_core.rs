//! Tests of the store state in virtual time.

use std::time::Duration;

use bytes::Bytes;
use cuminbank::store::{StoreCompare, StoreReply, StoreRequest, StoreWrite, WatchChange};
use cuminbank_standins::store::{KeyRange, StoreCore, StoreError, StoreLimits, Txn, TxnOp};

const START: Duration = Duration::ZERO;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn put(key: &str, value: &str, lease: i64) -> TxnOp {
    TxnOp::Put { key: key.to_owned().into(), value: value.to_owned().into(), lease }
}

fn write(core: &mut StoreCore, now: Duration, ops: Vec<TxnOp>) -> i64 {
    let txn = Txn { success: ops, ..Txn::default() };
    core.txn(now, &txn).expect("the store rejected the transaction").revision
}

fn read(core: &mut StoreCore, now: Duration, key: &str) -> Option<Bytes> {
    let range = KeyRange::single(key.to_owned());
    let answer = core.range(now, &range, 0).expect("the store rejected the read");
    answer.values.first().map(|entry| entry.value.clone())
}

fn compare_and_swap(key: &str, revision: i64, value: &str) -> StoreRequest {
    StoreRequest::Txn {
        compares: vec![StoreCompare::ModRevision(key.to_owned(), revision)],
        then: vec![StoreWrite::Put {
            key: key.to_owned(),
            value: value.to_owned().into(),
            lease: None,
        }],
        otherwise: vec![key.to_owned()],
    }
}

/// Of two compare-and-swap writes on the same revision, only the first must succeed.
#[test]
fn second_compare_and_swap_on_a_revision_fails() {
    let mut core = StoreCore::new(StoreLimits::default());
    let first = core.apply(START, &compare_and_swap("/group", 0, "a")).unwrap();
    let StoreReply::Txn { revision, succeeded: true, .. } = first else {
        panic!("compare-and-swap on an absent key failed: {first:?}");
    };
    let second = core.apply(START, &compare_and_swap("/group", 0, "b")).unwrap();
    let StoreReply::Txn { succeeded: false, values, revision: same } = second else {
        panic!("a second compare-and-swap on revision 0 succeeded: {second:?}");
    };
    assert_eq!(same, revision, "a failed compare-and-swap changed the revision");
    assert_eq!((values[0].mod_revision, &values[0].value[..]), (revision, &b"a"[..]));
    let third = core.apply(START, &compare_and_swap("/group", revision, "c")).unwrap();
    assert!(matches!(third, StoreReply::Txn { succeeded: true, .. }));
}

/// A rejected transaction must not apply any of its writes.
#[test]
fn refused_transaction_has_no_effect() {
    let mut core = StoreCore::new(StoreLimits { max_value_bytes: 4, ..StoreLimits::default() });
    let before = core.revision();
    let too_large = vec![put("/a", "1", 0), put("/b", "12345", 0)];
    let no_lease = vec![put("/a", "1", 0), put("/b", "1", 77)];
    let twice = vec![put("/a", "1", 0), put("/a", "2", 0)];
    for (ops, expected) in [
        (too_large, StoreError::ValueTooLarge(5)),
        (no_lease, StoreError::LeaseNotFound),
        (twice, StoreError::DuplicateKey),
    ] {
        let txn = Txn { success: ops, ..Txn::default() };
        assert_eq!(core.txn(START, &txn), Err(expected));
    }
    assert_eq!(core.revision(), before);
    assert_eq!(read(&mut core, START, "/a"), None);
}

/// All writes of a transaction must become visible at the same revision.
#[test]
fn writes_of_a_transaction_share_a_revision() {
    let mut core = StoreCore::new(StoreLimits::default());
    let revision = write(&mut core, START, vec![put("/a", "1", 0), put("/b", "2", 0)]);
    let answer = core.range(START, &KeyRange::prefix("/"), 0).unwrap();
    let revisions: Vec<_> = answer.values.iter().map(|entry| entry.mod_revision).collect();
    assert_eq!((answer.revision, revisions), (revision, vec![revision, revision]));
}

/// An expired lease must delete its keys, and a renewal must not revive it.
#[test]
fn expired_lease_deletes_its_keys() {
    let mut core = StoreCore::new(StoreLimits::default());
    let lease = core.grant_lease(START, seconds(4)).unwrap();
    write(&mut core, START, vec![put("/owner", "a", lease), put("/other", "b", 0)]);
    let mut cursor = core.watch_prefix(START, "/", 0).unwrap();
    assert_eq!(core.renew_lease(seconds(3), lease).unwrap(), Some(seconds(4)));
    let just_before = seconds(7) - Duration::from_millis(1);
    assert!(
        read(&mut core, just_before, "/owner").is_some(),
        "the renewal did not extend the lease"
    );
    assert_eq!(read(&mut core, seconds(7), "/owner"), None);
    assert!(read(&mut core, seconds(7), "/other").is_some());
    assert_eq!(core.renew_lease(seconds(7), lease).unwrap(), None);
    let changes = core.watch_changes(&mut cursor).unwrap();
    assert_eq!(changes, vec![WatchChange::Delete("/owner".to_owned(), core.revision())]);
}

/// A key that is rewritten without a lease must not be deleted with its old lease.
#[test]
fn rewritten_key_leaves_its_lease() {
    let mut core = StoreCore::new(StoreLimits::default());
    let lease = core.grant_lease(START, seconds(4)).unwrap();
    write(&mut core, START, vec![put("/a", "1", lease)]);
    write(&mut core, START, vec![put("/a", "2", 0)]);
    assert_eq!(read(&mut core, seconds(5), "/a"), Some("2".into()));
}

/// A watch from an old revision must deliver each change exactly once, and fail if changes are no
/// longer in the history.
#[test]
fn watch_from_an_old_revision_delivers_each_change_once() {
    let mut core = StoreCore::new(StoreLimits { history: 3, ..StoreLimits::default() });
    let first = write(&mut core, START, vec![put("/config/a", "1", 0)]);
    write(&mut core, START, vec![put("/elsewhere", "1", 0)]);
    write(&mut core, START, vec![put("/config/a", "2", 0)]);
    let mut cursor = core.watch_prefix(START, "/config/", first).unwrap();
    let values = |changes: Vec<WatchChange>| -> Vec<Bytes> {
        let value = |change| match change {
            WatchChange::Put(value) => value.value,
            WatchChange::Delete(..) => Bytes::new(),
        };
        changes.into_iter().map(value).collect()
    };
    assert_eq!(values(core.watch_changes(&mut cursor).unwrap()), ["1", "2"]);
    assert_eq!(core.watch_changes(&mut cursor).unwrap(), vec![]);
    write(&mut core, START, vec![put("/config/a", "3", 0)]);
    assert_eq!(values(core.watch_changes(&mut cursor).unwrap()), ["3"]);
    let lost = core.watch_prefix(START, "/config/", first);
    assert_eq!(lost, Err(StoreError::Compacted(first)));
}

/// Calls and open watches must count towards the rate limits.
#[test]
fn rate_limits_count_calls_and_open_watches() {
    let limits = StoreLimits {
        reads_per_second: Some(3),
        writes_per_second: Some(1),
        ..StoreLimits::default()
    };
    let mut core = StoreCore::new(limits);
    core.watch_prefix(START, "/", 0).unwrap();
    assert_eq!(read(&mut core, START, "/a"), None);
    let limited = core.range(START, &KeyRange::single("/a"), 0);
    assert_eq!(limited, Err(StoreError::RateLimited));
    write(&mut core, START, vec![put("/a", "1", 0)]);
    let txn = Txn { success: vec![put("/a", "2", 0)], ..Txn::default() };
    assert_eq!(core.txn(START, &txn), Err(StoreError::RateLimited));
    assert_eq!(read(&mut core, seconds(1), "/a"), Some("1".into()));
}
