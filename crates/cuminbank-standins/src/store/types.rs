//! Requests, responses, limits and counters of the store.

use std::{cmp::Ordering, collections::BTreeMap, fmt, ops::Bound};

use bytes::Bytes;
use cuminbank::ids::{LeaseId, StoreRevision};
use serde::{Deserialize, Serialize};

/// Rate and size limits of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreLimits {
    /// Writes accepted per second; `None` is unlimited.
    pub writes_per_second: Option<u64>,
    /// Reads and lease calls accepted per second; `None` is unlimited. Each open watch uses one read of
    /// every second.
    pub reads_per_second: Option<u64>,
    /// Largest value in bytes.
    pub max_value_bytes: usize,
    /// Changes kept in the history for watches that start at an old revision.
    pub history: usize,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            writes_per_second: None,
            reads_per_second: None,
            max_value_bytes: 1 << 20,
            history: 10_000,
        }
    }
}

/// Calls received by the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreCounters {
    /// Range reads and transactions without a write.
    pub reads: u64,
    /// Transactions with a write in either branch.
    pub writes: u64,
    /// Lease grants, renewals and revocations.
    pub lease_calls: u64,
    /// Watches requested since the start.
    pub watches: u64,
    /// Watches open at present.
    pub open_watches: u64,
    /// Calls rejected by a rate limit.
    pub rate_limited: u64,
    /// Leases that expired.
    pub lapsed_leases: u64,
    /// Most writes accepted in one second of the store's clock.
    pub peak_writes_per_second: u64,
    /// Most reads and lease calls accepted in one second of the store's clock, plus the watches open
    /// at the time.
    pub peak_reads_per_second: u64,
}

/// Why the store rejected a call. A rejected call has no effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// A rate limit was exceeded.
    RateLimited,
    /// A value of this many bytes exceeds the size limit.
    ValueTooLarge(usize),
    /// The lease does not exist.
    LeaseNotFound,
    /// A transaction puts the same key twice.
    DuplicateKey,
    /// The requested revision is no longer in the history. Contains the highest revision dropped.
    Compacted(StoreRevision),
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RateLimited => formatter.write_str("etcdserver: too many requests"),
            Self::ValueTooLarge(size) => {
                write!(formatter, "etcdserver: request is too large ({size} bytes)")
            }
            Self::LeaseNotFound => formatter.write_str("etcdserver: requested lease not found"),
            Self::DuplicateKey => {
                formatter.write_str("etcdserver: duplicate key given in txn request")
            }
            Self::Compacted(_) => {
                formatter.write_str("etcdserver: mvcc: required revision has been compacted")
            }
        }
    }
}

/// Range of keys, with etcd's encoding of its end.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyRange {
    /// First key.
    pub key: Bytes,
    /// Exclusive end. If empty, the range is the single key `key`; if one zero byte, it is all keys from
    /// `key` on.
    pub end: Bytes,
}

impl KeyRange {
    /// Creates the range of a single key.
    pub fn single(key: impl Into<Bytes>) -> Self {
        Self { key: key.into(), end: Bytes::new() }
    }

    /// Creates the range of all keys that start with `prefix`.
    pub fn prefix(prefix: impl Into<Bytes>) -> Self {
        let key = prefix.into();
        let mut end = key.to_vec();
        while end.last() == Some(&0xff) {
            end.pop();
        }
        match end.last_mut() {
            Some(last) => *last += 1,
            None => end.push(0),
        }
        Self { key, end: end.into() }
    }

    /// Returns whether the range contains `key`.
    pub fn contains(&self, key: &[u8]) -> bool {
        match &self.end[..] {
            [] => key == &self.key[..],
            [0] => key >= &self.key[..],
            end => key >= &self.key[..] && key < end,
        }
    }

    /// Returns the entries of `keys` within the range, in key order.
    pub(super) fn select<'a, V>(
        &self,
        keys: &'a BTreeMap<Bytes, V>,
    ) -> impl Iterator<Item = (&'a Bytes, &'a V)> {
        let range = self.clone();
        keys.range::<Bytes, _>((Bound::Included(&self.key), Bound::Unbounded))
            .take_while(move |(key, _)| range.contains(key))
    }
}

/// Entry of the store: a key with its value, revisions and lease.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyValue {
    /// Key.
    pub key: Bytes,
    /// Value.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub create_revision: StoreRevision,
    /// Revision of the latest change.
    pub mod_revision: StoreRevision,
    /// Number of writes since the key was created, including the first.
    pub version: i64,
    /// Lease that the key is attached to; 0 if none.
    pub lease: LeaseId,
}

/// Response to a range read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RangeAnswer {
    /// Revision of the store at the read.
    pub revision: StoreRevision,
    /// Entries found, in key order, up to the limit of the read.
    pub values: Vec<KeyValue>,
    /// Number of keys in the range, regardless of the limit.
    pub count: usize,
}

/// Property of a key that a comparison checks, with the operand.
#[derive(Clone, Debug, PartialEq)]
pub enum CompareTarget {
    /// Number of writes since the key was created; 0 for an absent key.
    Version(i64),
    /// Revision at which the key was created; 0 for an absent key.
    Create(StoreRevision),
    /// Revision of the latest change; 0 for an absent key.
    Mod(StoreRevision),
    /// Value of the key. Every comparison fails for an absent key.
    Value(Bytes),
}

/// Relation that a comparison requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompareResult {
    /// The key's property equals the operand.
    Equal,
    /// The key's property is greater than the operand.
    Greater,
    /// The key's property is less than the operand.
    Less,
    /// The key's property differs from the operand.
    NotEqual,
}

impl CompareResult {
    /// Returns whether `ordering`, of the key's property to the operand, satisfies the relation.
    pub(super) fn holds(self, ordering: Ordering) -> bool {
        match self {
            Self::Equal => ordering == Ordering::Equal,
            Self::Greater => ordering == Ordering::Greater,
            Self::Less => ordering == Ordering::Less,
            Self::NotEqual => ordering != Ordering::Equal,
        }
    }
}

/// Condition of a transaction on one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Compare {
    /// Key to check.
    pub key: Bytes,
    /// Relation that is required.
    pub result: CompareResult,
    /// Property to compare, and the operand.
    pub target: CompareTarget,
}

/// Operation of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TxnOp {
    /// Writes a key.
    Put {
        /// Key.
        key: Bytes,
        /// Value.
        value: Bytes,
        /// Lease to attach the key to; 0 for none.
        lease: LeaseId,
    },
    /// Deletes all keys of the range.
    Delete(KeyRange),
    /// Reads the keys of a range.
    Range {
        /// Keys to read.
        range: KeyRange,
        /// Most keys to return; 0 for all.
        limit: usize,
    },
}

impl TxnOp {
    pub(super) fn is_write(&self) -> bool {
        !matches!(self, Self::Range { .. })
    }
}

/// Transaction with conditions and two branches of operations, as in etcd.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Txn {
    /// Conditions; `success` runs if all of them hold.
    pub compares: Vec<Compare>,
    /// Operations to run if all conditions hold.
    pub success: Vec<TxnOp>,
    /// Operations to run otherwise.
    pub failure: Vec<TxnOp>,
}

/// Result of one operation of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum OpAnswer {
    /// The key was written.
    Put,
    /// This many keys were deleted.
    Deleted(usize),
    /// The entries were read.
    Range(RangeAnswer),
}

/// Response to a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct TxnAnswer {
    /// Revision of the store after the transaction.
    pub revision: StoreRevision,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Results of the operations of the branch that ran, in order.
    pub answers: Vec<OpAnswer>,
}

/// Write or deletion of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreChange {
    /// Whether the key was deleted. If so, only `key` and `mod_revision` of `entry` are meaningful.
    pub deleted: bool,
    /// Entry after the change.
    pub entry: KeyValue,
}

/// Watched range and the position of the watch in the history.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchCursor {
    /// Keys to watch.
    pub range: KeyRange,
    /// Revision of the next change to deliver.
    pub next: StoreRevision,
}
