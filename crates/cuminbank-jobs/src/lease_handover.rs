//! Record in which an owner tells the next one when the leases end on executors that it cannot
//! reach, so that a change of owner does not restart the wait for them.
//!
//! Times are stored as the time left when the record was sent. The next owner counts it from the
//! time by which the store had reached the revision of the record.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::{ExecutorName, MonotonicTime, OwnerEpoch};

/// Minimum interval between two records that differ only in the time left.
pub const HANDOVER_INTERVAL: Duration = Duration::from_millis(250);

/// Whether the writer of a record may still grant leases on an executor.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GrantState {
    /// It grants none until the store has a record without the executor.
    Paused,
    /// It may grant leases. Those in the entry may last longer than these.
    Granting,
}

/// Executor whose leases the next owner has to know.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverEntry {
    /// Name of the executor.
    pub executor: ExecutorName,
    /// Whether the writer may grant further leases on it.
    pub grants: GrantState,
    /// Time after which all leases granted so far, by this owner and earlier ones, have expired, in
    /// milliseconds.
    pub left_ms: u32,
}

/// Record as stored. Executors without an entry may get leases from the writer at any time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseHandover {
    /// Entries in no particular order. The first field, so that a header is no valid value.
    pub entries: Vec<HandoverEntry>,
    /// Epoch of the writer.
    pub epoch: OwnerEpoch,
}

/// End of the leases of earlier owners on one executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EarlierLease {
    /// Whether the last owner may have granted leases after its record.
    pub grants: GrantState,
    /// Time by which the leases in the record have expired.
    pub ends_at: MonotonicTime,
}

impl LeaseHandover {
    /// Returns the leases of earlier owners, if the record is of the last owner that wrote.
    /// `last_writer` is the epoch of the last write, `stored_by` a time by which the store had the
    /// record.
    pub fn into_leases(
        self,
        last_writer: Option<OwnerEpoch>,
        stored_by: MonotonicTime,
    ) -> HashMap<ExecutorName, EarlierLease> {
        if last_writer != Some(self.epoch) {
            return HashMap::new();
        }
        let leases = self.entries.into_iter().map(|entry| {
            let left = Duration::from_millis(u64::from(entry.left_ms));
            let lease = EarlierLease { grants: entry.grants, ends_at: stored_by + left };
            (entry.executor, lease)
        });
        leases.collect()
    }
}
