//! Applies the store requests of the `cuminbank` library to a [`StoreCore`] directly, for history
//! tests.

use std::time::Duration;

use bytes::Bytes;
use cuminbank::{
    ids::{MonotonicTime, StoreRevision},
    store::{StoreCompare, StoreReply, StoreRequest, StoreValue, StoreWrite, WatchChange},
};

use super::{
    core::StoreCore,
    types::{
        Compare, CompareResult, CompareTarget, KeyRange, KeyValue, OpAnswer, StoreChange,
        StoreError, Txn, TxnOp, WatchCursor,
    },
};

impl StoreCore {
    /// Applies a request of the library.
    ///
    /// # Errors
    ///
    /// Returns why the store rejected the request, which then had no effect.
    pub fn apply(
        &mut self,
        now: MonotonicTime,
        request: &StoreRequest,
    ) -> Result<StoreReply, StoreError> {
        match request {
            StoreRequest::Range { key, prefix } => {
                let range = if *prefix { prefix_range(key) } else { single_range(key) };
                let answer = self.range(now, &range, 0)?;
                let values = answer.values.iter().map(to_store_value).collect();
                Ok(StoreReply::Range { revision: answer.revision, values })
            }
            StoreRequest::Txn { compares, then, otherwise } => {
                self.apply_txn(now, &convert_txn(compares, then, otherwise))
            }
            StoreRequest::GrantLease { ttl_seconds } => {
                let ttl = Duration::from_secs(u64::try_from(*ttl_seconds).unwrap_or(1).max(1));
                Ok(StoreReply::Granted { lease: self.grant_lease(now, ttl)? })
            }
            StoreRequest::RenewLease { lease } => {
                Ok(StoreReply::Renewed { alive: self.renew_lease(now, *lease)?.is_some() })
            }
            StoreRequest::RevokeLease { lease } => {
                self.revoke_lease(now, *lease)?;
                Ok(StoreReply::Revoked)
            }
        }
    }

    /// Opens a watch on all keys that start with `prefix`, from revision `start` or, if that is 0, from
    /// the next change.
    ///
    /// # Errors
    ///
    /// Fails if a rate limit is exceeded or `start` is no longer in the history.
    pub fn watch_prefix(
        &mut self,
        now: MonotonicTime,
        prefix: &str,
        start: StoreRevision,
    ) -> Result<WatchCursor, StoreError> {
        self.open_watch(now, prefix_range(prefix), start)
    }

    /// Returns the changes since the last poll of this watch, converted to the library's type.
    ///
    /// # Errors
    ///
    /// Fails if the next revision of the watch is no longer in the history.
    pub fn watch_changes(&self, cursor: &mut WatchCursor) -> Result<Vec<WatchChange>, StoreError> {
        Ok(self.poll_watch(cursor)?.iter().map(to_watch_change).collect())
    }

    fn apply_txn(&mut self, now: MonotonicTime, txn: &Txn) -> Result<StoreReply, StoreError> {
        let answer = self.txn(now, txn)?;
        let mut values = Vec::new();
        for op in answer.answers {
            if let OpAnswer::Range(read) = op {
                values.extend(read.values.iter().map(to_store_value));
            }
        }
        Ok(StoreReply::Txn { revision: answer.revision, succeeded: answer.succeeded, values })
    }
}

fn single_range(key: &str) -> KeyRange {
    KeyRange::single(to_bytes(key))
}

fn prefix_range(prefix: &str) -> KeyRange {
    KeyRange::prefix(to_bytes(prefix))
}

fn to_bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

fn convert_txn(compares: &[StoreCompare], then: &[StoreWrite], otherwise: &[String]) -> Txn {
    let read = |key: &String| TxnOp::Range { range: single_range(key), limit: 0 };
    Txn {
        compares: compares.iter().map(convert_compare).collect(),
        success: then.iter().map(convert_write).collect(),
        failure: otherwise.iter().map(read).collect(),
    }
}

fn convert_compare(compare: &StoreCompare) -> Compare {
    let (key, target) = match compare {
        StoreCompare::ModRevision(key, revision) => (key, CompareTarget::Mod(*revision)),
        StoreCompare::Value(key, value) => (key, CompareTarget::Value(value.clone())),
    };
    Compare { key: to_bytes(key), result: CompareResult::Equal, target }
}

fn convert_write(write: &StoreWrite) -> TxnOp {
    match write {
        StoreWrite::Put { key, value, lease } => {
            TxnOp::Put { key: to_bytes(key), value: value.clone(), lease: lease.unwrap_or(0) }
        }
        StoreWrite::Delete(key) => TxnOp::Delete(single_range(key)),
        StoreWrite::DeletePrefix(prefix) => TxnOp::Delete(prefix_range(prefix)),
    }
}

fn to_store_value(entry: &KeyValue) -> StoreValue {
    StoreValue {
        key: String::from_utf8_lossy(&entry.key).into_owned(),
        value: entry.value.clone(),
        mod_revision: entry.mod_revision,
    }
}

fn to_watch_change(change: &StoreChange) -> WatchChange {
    let value = to_store_value(&change.entry);
    if change.deleted {
        return WatchChange::Delete(value.key, value.mod_revision);
    }
    WatchChange::Put(value)
}
