//! Requests to the platform's key-value store, and the layout of its keys.

use bytes::Bytes;

use crate::ids::{GroupIndex, LeaseId, StoreRevision};

/// Prefix of everything that the one watch of a process covers.
pub const CONFIG_PREFIX: &str = "/cuminbank/config/";
/// Prefix of the profiles.
pub const PROFILE_PREFIX: &str = "/cuminbank/config/profiles/";
/// Prefix of the day records.
pub const DAY_PREFIX: &str = "/cuminbank/days/";

/// Returns the key of the ownership record of a group.
pub fn group_key(zone: &str, group: GroupIndex) -> String {
    format!("/cuminbank/groups/{zone}/{group}")
}

/// Returns the key that holds the epoch of a group's owner in decimal. A write that compares its
/// value fails once the group has a new owner.
pub fn epoch_key(zone: &str, group: GroupIndex) -> String {
    format!("/cuminbank/epochs/{zone}/{group}")
}

/// Returns the key that lives as long as the store lease of a group's owner.
pub fn owner_lease_key(zone: &str, group: GroupIndex) -> String {
    format!("/cuminbank/owners/{zone}/{group}")
}

/// Returns the prefix of the batch journal of a group.
pub fn batch_prefix(zone: &str, group: GroupIndex) -> String {
    format!("/cuminbank/batch/{zone}/{group}/")
}

/// A request to the store. Every variant is one call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Read one key or, with `prefix`, all keys below it.
    Range {
        /// Key or prefix.
        key: String,
        /// Whether to read all keys that start with `key`.
        prefix: bool,
    },
    /// Check all comparisons; if they hold apply `then`, else read `otherwise`.
    Txn {
        /// Comparisons, all of which have to hold.
        compares: Vec<StoreCompare>,
        /// Writes, applied in order and at once.
        then: Vec<StoreWrite>,
        /// Keys to read if a comparison fails.
        otherwise: Vec<String>,
    },
    /// Create a lease.
    GrantLease {
        /// Time to live in seconds.
        ttl_seconds: i64,
    },
    /// Renew a lease.
    RenewLease {
        /// Lease to renew.
        lease: LeaseId,
    },
    /// End a lease and delete its keys.
    RevokeLease {
        /// Lease to end.
        lease: LeaseId,
    },
}

/// A comparison in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCompare {
    /// The key was last modified at this revision; 0 means that it does not exist.
    ModRevision(String, StoreRevision),
    /// The key has this value.
    Value(String, Bytes),
}

/// A write in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreWrite {
    /// Put a value, bound to a lease if one is named.
    Put {
        /// Key to write.
        key: String,
        /// Value to write.
        value: Bytes,
        /// Lease that the key is bound to.
        lease: Option<LeaseId>,
    },
    /// Delete a key.
    Delete(String),
    /// Delete all keys with this prefix.
    DeletePrefix(String),
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Answer to `Range`.
    Range {
        /// Revision of the store at the read.
        revision: StoreRevision,
        /// What was found, in key order.
        values: Vec<StoreValue>,
    },
    /// Answer to `Txn`.
    Txn {
        /// Revision of the store after the transaction.
        revision: StoreRevision,
        /// Whether all comparisons held and the writes were applied.
        succeeded: bool,
        /// Keys read because a comparison failed.
        values: Vec<StoreValue>,
    },
    /// Answer to `GrantLease`.
    Granted {
        /// The new lease.
        lease: LeaseId,
    },
    /// Answer to `RenewLease`; `alive` is false if the lease had ended.
    Renewed {
        /// Whether the lease lives on.
        alive: bool,
    },
    /// Answer to `RevokeLease`.
    Revoked,
}

/// A key with its value and revision.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of the last change of the key.
    pub mod_revision: StoreRevision,
}

/// A change seen by the watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchChange {
    /// The key was written.
    Put(StoreValue),
    /// The key was deleted at this revision.
    Delete(String, StoreRevision),
}
