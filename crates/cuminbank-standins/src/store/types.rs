//! Requests, answers and limits of the store.

use std::{cmp::Ordering, collections::BTreeMap, fmt, ops::Bound};

use bytes::Bytes;
use cuminbank::ids::{LeaseId, StoreRevision};
use serde::{Deserialize, Serialize};

/// Limits of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreLimits {
    /// Writes accepted in each second; unlimited without it.
    pub writes_per_second: Option<u64>,
    /// Reads and lease calls accepted in each second, open watches included; unlimited without it.
    pub reads_per_second: Option<u64>,
    /// Largest value in bytes.
    pub max_value_bytes: usize,
    /// Changes kept for watches from an old revision.
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

/// Calls that the store has received.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StoreCounters {
    /// Range reads, and transactions without a write.
    pub reads: u64,
    /// Transactions with a write in either branch.
    pub writes: u64,
    /// Lease grants, renewals and ends.
    pub lease_calls: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches open now.
    pub open_watches: u64,
    /// Calls refused by a rate limit.
    pub rate_limited: u64,
    /// Leases that lapsed.
    pub lapsed_leases: u64,
    /// Most writes in one second of the store's clock.
    pub peak_writes_per_second: u64,
    /// Most reads and lease calls in one second of the store's clock, open watches included.
    pub peak_reads_per_second: u64,
}

/// Why the store refused a call; the call had no effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// A rate limit was exceeded.
    RateLimited,
    /// A value is larger than the limit.
    ValueTooLarge(usize),
    /// The lease does not exist.
    LeaseNotFound,
    /// The same key is written twice in one transaction.
    DuplicateKey,
    /// The revision is no longer in the history; the field is the highest one dropped.
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

/// Keys named by a request, in etcd's terms.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyRange {
    /// First key.
    pub key: Bytes,
    /// End of the range, exclusive: empty names the single key, one zero byte everything from
    /// `key` on.
    pub end: Bytes,
}

impl KeyRange {
    /// Names a single key.
    pub fn single(key: impl Into<Bytes>) -> Self {
        Self { key: key.into(), end: Bytes::new() }
    }

    /// Names all keys that start with `prefix`.
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

    /// Tells whether the range names `key`.
    pub fn contains(&self, key: &[u8]) -> bool {
        match &self.end[..] {
            [] => key == &self.key[..],
            [0] => key >= &self.key[..],
            end => key >= &self.key[..] && key < end,
        }
    }

    pub(super) fn select<'a, V>(
        &self,
        keys: &'a BTreeMap<Bytes, V>,
    ) -> impl Iterator<Item = (&'a Bytes, &'a V)> {
        let range = self.clone();
        keys.range::<Bytes, _>((Bound::Included(&self.key), Bound::Unbounded))
            .take_while(move |(key, _)| range.contains(key))
    }
}

/// A key with its value and its revisions.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyValue {
    /// Key.
    pub key: Bytes,
    /// Value.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub create_revision: StoreRevision,
    /// Revision of the last change.
    pub mod_revision: StoreRevision,
    /// Number of changes since the creation.
    pub version: i64,
    /// Lease that the key is bound to; 0 is none.
    pub lease: LeaseId,
}

/// Answer to a range read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RangeAnswer {
    /// Revision of the store.
    pub revision: StoreRevision,
    /// What was found, in key order, up to the limit.
    pub values: Vec<KeyValue>,
    /// Number of keys in the range.
    pub count: usize,
}

/// What a comparison looks at.
#[derive(Clone, Debug, PartialEq)]
pub enum CompareTarget {
    /// Number of changes since the creation; 0 for an absent key.
    Version(i64),
    /// Revision of the creation; 0 for an absent key.
    Create(StoreRevision),
    /// Revision of the last change; 0 for an absent key.
    Mod(StoreRevision),
    /// The value; an absent key fails every comparison.
    Value(Bytes),
}

/// How a comparison holds.
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
    pub(super) fn holds(self, ordering: Ordering) -> bool {
        match self {
            Self::Equal => ordering == Ordering::Equal,
            Self::Greater => ordering == Ordering::Greater,
            Self::Less => ordering == Ordering::Less,
            Self::NotEqual => ordering != Ordering::Equal,
        }
    }
}

/// A comparison of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Compare {
    /// Key to look at.
    pub key: Bytes,
    /// How the comparison holds.
    pub result: CompareResult,
    /// Property and operand.
    pub target: CompareTarget,
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TxnOp {
    /// Write a key.
    Put {
        /// Key.
        key: Bytes,
        /// Value.
        value: Bytes,
        /// Lease to bind the key to; 0 is none.
        lease: LeaseId,
    },
    /// Delete keys.
    Delete(KeyRange),
    /// Read keys.
    Range {
        /// Keys to read.
        range: KeyRange,
        /// Most keys to return; 0 is all.
        limit: usize,
    },
}

impl TxnOp {
    pub(super) fn is_write(&self) -> bool {
        !matches!(self, Self::Range { .. })
    }
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Txn {
    /// Comparisons, all of which have to hold.
    pub compares: Vec<Compare>,
    /// Operations if they hold.
    pub success: Vec<TxnOp>,
    /// Operations if one does not hold.
    pub failure: Vec<TxnOp>,
}

/// Answer to one operation of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum OpAnswer {
    /// The key was written.
    Put,
    /// So many keys were deleted.
    Deleted(usize),
    /// What was read.
    Range(RangeAnswer),
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct TxnAnswer {
    /// Revision of the store after the transaction.
    pub revision: StoreRevision,
    /// Whether all comparisons held.
    pub succeeded: bool,
    /// Answers to the operations of the branch taken.
    pub answers: Vec<OpAnswer>,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreChange {
    /// Whether the key was deleted; then only the key and `mod_revision` of `entry` count.
    pub deleted: bool,
    /// The key after the change.
    pub entry: KeyValue,
}

/// Position of a watch in the history.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchCursor {
    /// Keys that are watched.
    pub range: KeyRange,
    /// Revision of the next change to deliver.
    pub next: StoreRevision,
}
