//! Requests to the platform's key-value store, and the layout of the keys in it.

use bytes::Bytes;

use crate::ids::{GroupIndex, LeaseId, StoreRevision};

/// Prefix of the keys that the configuration watch reports; a process has only this one watch.
pub const CONFIG_PREFIX: &str = "/cuminbank/config/";
/// Prefix of the work profiles.
pub const PROFILE_PREFIX: &str = "/cuminbank/config/profiles/";
/// Prefix of the day records.
pub const DAY_PREFIX: &str = "/cuminbank/days/";

/// Returns the key of the ownership record of a group.
pub fn group_key(zone: &str, group: GroupIndex) -> String {
    format!("/cuminbank/groups/{zone}/{group}")
}

/// Returns the key of the epoch of a group's owner, whose value is a decimal number. Transactions
/// that compare its value fail once the group has a new owner.
pub fn epoch_key(zone: &str, group: GroupIndex) -> String {
    format!("/cuminbank/epochs/{zone}/{group}")
}

/// Returns the lease key of the owner of a group. The store deletes it when the lease of the owner
/// expires.
pub fn owner_lease_key(zone: &str, group: GroupIndex) -> String {
    format!("/cuminbank/owners/{zone}/{group}")
}

/// Returns the prefix of the batch task journal of a group.
pub fn batch_prefix(zone: &str, group: GroupIndex) -> String {
    format!("/cuminbank/batch/{zone}/{group}/")
}

/// Request to the store; each variant is sent as one call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads one key or, with `prefix`, all keys that start with it.
    Range {
        /// Key or prefix to read.
        key: String,
        /// Whether to read all keys that start with `key`.
        prefix: bool,
    },
    /// Applies the writes `then` if all comparisons are true, and otherwise reads the keys
    /// `otherwise`.
    Txn {
        /// Comparisons, all of which must be true.
        compares: Vec<StoreCompare>,
        /// Writes, applied in order and atomically.
        then: Vec<StoreWrite>,
        /// Keys to read if a comparison fails.
        otherwise: Vec<String>,
    },
    /// Creates a lease.
    GrantLease {
        /// Time to live in seconds.
        ttl_seconds: i64,
    },
    /// Renews a lease.
    RenewLease {
        /// Lease to renew.
        lease: LeaseId,
    },
    /// Ends a lease and deletes the keys that are bound to it.
    RevokeLease {
        /// Lease to end.
        lease: LeaseId,
    },
}

/// Comparison in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCompare {
    /// The key was last modified at this revision; 0 requires that it does not exist.
    ModRevision(String, StoreRevision),
    /// The key has this value.
    Value(String, Bytes),
}

/// Write in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreWrite {
    /// Writes a value; with a lease, the key is deleted when the lease ends.
    Put {
        /// Key to write.
        key: String,
        /// Value to write.
        value: Bytes,
        /// Lease to bind the key to.
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete(String),
    /// Deletes all keys with this prefix.
    DeletePrefix(String),
}

/// Answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Answer to `Range`.
    Range {
        /// Revision of the store at the read.
        revision: StoreRevision,
        /// Keys found, in key order.
        values: Vec<StoreValue>,
    },
    /// Answer to `Txn`.
    Txn {
        /// Revision of the store after the transaction.
        revision: StoreRevision,
        /// Whether all comparisons were true and the writes were applied.
        succeeded: bool,
        /// Values of the `otherwise` keys that exist, if a comparison failed.
        values: Vec<StoreValue>,
    },
    /// Answer to `GrantLease`.
    Granted {
        /// Id of the new lease.
        lease: LeaseId,
    },
    /// Answer to `RenewLease`.
    Renewed {
        /// Whether the lease was renewed; false if it had already ended.
        alive: bool,
    },
    /// Answer to `RevokeLease`.
    Revoked,
}

/// Key with its value and revision.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreValue {
    /// Name of the key.
    pub key: String,
    /// Value of the key.
    pub value: Bytes,
    /// Revision at which the key was last written.
    pub mod_revision: StoreRevision,
}

/// Change of a key that the watch reports.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchChange {
    /// The key was written.
    Put(StoreValue),
    /// The key of this name was deleted at this revision.
    Delete(String, StoreRevision),
}
