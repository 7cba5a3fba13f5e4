//! Data types for calls to the platform's store.

use std::time::Duration;

use serde::{de::DeserializeOwned, Serialize};

use crate::{
    formats::{split_version, UNVERSIONED},
    ids::{LeaseId, StoreRevision},
};

/// Item in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: StoreRevision,
    /// Revision at which the key was created.
    pub created: StoreRevision,
}

/// Value to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StorePut {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease that the key is attached to; the key is removed when the lease expires.
    pub lease: Option<LeaseId>,
}

impl StorePut {
    /// Creates a write without a lease.
    pub fn new(key: impl Into<String>, value: Vec<u8>) -> Self {
        Self { key: key.into(), value, lease: None }
    }

    /// Attaches the key to a lease.
    pub fn with_lease(mut self, lease: LeaseId) -> Self {
        self.lease = Some(lease);
        self
    }
}

/// Atomic, conditional transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreTxn {
    /// Keys with the revision that each must have; 0 means that the key must not exist.
    pub expected: Vec<(String, StoreRevision)>,
    /// Values to write.
    pub puts: Vec<StorePut>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Maximum number of conditions and changes in a transaction.
pub const MAX_TXN_ENTRIES: usize = 32;

/// Outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TxnOutcome {
    /// The transaction was applied.
    Committed {
        /// Revision of the change.
        revision: StoreRevision,
    },
    /// A condition was not met, so nothing was changed.
    Conflict {
        /// Current items of the keys in the conditions.
        items: Vec<StoreItem>,
    },
    /// A lease in the writes no longer exists, so nothing was changed.
    NoLease,
}

/// Reason why a store call has no usable reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFailure {
    /// The call certainly had no effect.
    NotDone,
    /// The call may have taken effect or may still do so.
    Unknown,
}

/// Change delivered by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreChange {
    /// An item was written.
    Written(StoreItem),
    /// A key was removed.
    Removed {
        /// Removed key.
        key: String,
        /// Revision of the removal.
        revision: StoreRevision,
    },
}

/// Call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Applies a transaction.
    Commit(StoreTxn),
    /// Reads one key.
    ReadKey {
        /// The key.
        key: String,
    },
    /// Reads all keys with a prefix.
    Read {
        /// Prefix to read.
        prefix: String,
    },
    /// Grants a lease.
    Grant {
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renews a lease.
    Keep {
        /// Lease to renew.
        lease: LeaseId,
    },
}

/// Reply to a store call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// Outcome of a transaction.
    Txn(TxnOutcome),
    /// Result of a read.
    Items {
        /// Items in key order.
        items: Vec<StoreItem>,
        /// Store revision before the first item was read.
        revision: StoreRevision,
    },
    /// A lease was granted.
    Granted {
        /// Granted lease.
        lease: LeaseId,
    },
    /// Result of a renewal.
    Kept {
        /// Whether the lease still exists.
        alive: bool,
    },
}

/// Encodes a value for storage.
pub fn encode_value<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("stored records only contain types that postcard can encode")
}

/// Decodes a stored value of version 1. Returns `None` if it was written in another format, which includes a
/// value that continues after the known fields: it would lose the rest when it is written again.
pub fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    if split_version(bytes).0 != UNVERSIONED {
        return None;
    }
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(value)
}
