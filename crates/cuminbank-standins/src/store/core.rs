//! State of the store, without clock or I/O.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use cuminbank::ids::{LeaseId, MonotonicTime, StoreRevision};

use super::types::{
    Compare, CompareTarget, KeyRange, KeyValue, OpAnswer, RangeAnswer, StoreChange, StoreCounters,
    StoreError, StoreLimits, Txn, TxnAnswer, TxnOp, WatchCursor,
};

/// Key-value store with revisions, leases and a bounded history of changes.
#[derive(Clone, Debug, Default)]
pub struct StoreCore {
    limits: StoreLimits,
    counters: StoreCounters,
    keys: BTreeMap<Bytes, KeyValue>,
    leases: BTreeMap<LeaseId, StoreLease>,
    history: VecDeque<StoreChange>,
    revision: StoreRevision,
    /// Highest revision dropped from the history; 0 if none was.
    compacted_revision: StoreRevision,
    last_lease: LeaseId,
    rate: RateWindow,
}

#[derive(Clone, Debug)]
struct StoreLease {
    ttl: Duration,
    expires_at: MonotonicTime,
    keys: BTreeSet<Bytes>,
}

/// Calls counted towards the rate limits in the current second of the store's clock.
#[derive(Clone, Debug, Default)]
struct RateWindow {
    second: u64,
    reads: u64,
    writes: u64,
}

impl StoreCore {
    /// Creates an empty store at revision 1.
    pub fn new(limits: StoreLimits) -> Self {
        Self { limits, revision: 1, ..Self::default() }
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the counters of the calls received so far.
    pub fn counters(&self) -> StoreCounters {
        self.counters
    }

    /// Ends the leases that have expired by `now` and deletes their keys. Every call that takes the
    /// time does this first.
    pub fn advance(&mut self, now: MonotonicTime) {
        while let Some(lease) = self.first_expired(now) {
            self.end_lease(lease);
            self.counters.lapsed_leases += 1;
        }
    }

    /// Returns when the next lease expires.
    pub fn next_lease_expiry(&self) -> Option<MonotonicTime> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// Reads up to `limit` keys of a range, or all if `limit` is 0.
    ///
    /// # Errors
    ///
    /// Fails if the read rate limit is exceeded.
    pub fn range(
        &mut self,
        now: MonotonicTime,
        range: &KeyRange,
        limit: usize,
    ) -> Result<RangeAnswer, StoreError> {
        self.advance(now);
        self.count_read(now)?;
        self.counters.reads += 1;
        Ok(self.read(range, limit))
    }

    /// Applies a transaction; all its writes get the same revision.
    ///
    /// # Errors
    ///
    /// Returns why the transaction was rejected, which then had no effect.
    pub fn txn(&mut self, now: MonotonicTime, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        self.advance(now);
        if txn.success.iter().chain(&txn.failure).any(TxnOp::is_write) {
            self.count_write(now)?;
            self.counters.writes += 1;
        } else {
            self.count_read(now)?;
            self.counters.reads += 1;
        }
        self.check_ops(&txn.success)?;
        self.check_ops(&txn.failure)?;
        let succeeded = txn.compares.iter().all(|compare| self.holds(compare));
        let ops = if succeeded { &txn.success } else { &txn.failure };
        let revision = self.revision + 1;
        let answers = ops.iter().map(|op| self.apply_op(op, revision)).collect();
        Ok(TxnAnswer { revision: self.revision, succeeded, answers })
    }

    /// Creates a lease and returns its id.
    ///
    /// # Errors
    ///
    /// Fails if the read rate limit, which lease calls share, is exceeded.
    pub fn grant_lease(
        &mut self,
        now: MonotonicTime,
        ttl: Duration,
    ) -> Result<LeaseId, StoreError> {
        self.advance(now);
        self.count_lease_call(now)?;
        self.last_lease += 1;
        let lease = StoreLease { ttl, expires_at: now + ttl, keys: BTreeSet::new() };
        self.leases.insert(self.last_lease, lease);
        Ok(self.last_lease)
    }

    /// Renews a lease and returns its time to live, or `None` if it no longer exists.
    ///
    /// # Errors
    ///
    /// Fails if the read rate limit, which lease calls share, is exceeded.
    pub fn renew_lease(
        &mut self,
        now: MonotonicTime,
        lease: LeaseId,
    ) -> Result<Option<Duration>, StoreError> {
        self.advance(now);
        self.count_lease_call(now)?;
        let Some(lease) = self.leases.get_mut(&lease) else {
            return Ok(None);
        };
        lease.expires_at = now + lease.ttl;
        Ok(Some(lease.ttl))
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails if the lease does not exist or the read rate limit is exceeded.
    pub fn revoke_lease(&mut self, now: MonotonicTime, lease: LeaseId) -> Result<(), StoreError> {
        self.advance(now);
        self.count_lease_call(now)?;
        if !self.leases.contains_key(&lease) {
            return Err(StoreError::LeaseNotFound);
        }
        self.end_lease(lease);
        Ok(())
    }

    /// Opens a watch on `range` from revision `start`, or from the next change if `start` is 0.
    ///
    /// # Errors
    ///
    /// Fails if the read rate limit is exceeded or `start` is no longer in the history.
    pub fn open_watch(
        &mut self,
        now: MonotonicTime,
        range: KeyRange,
        start: StoreRevision,
    ) -> Result<WatchCursor, StoreError> {
        self.advance(now);
        self.count_read(now)?;
        self.counters.watches += 1;
        if start > 0 && start <= self.compacted_revision {
            return Err(StoreError::Compacted(self.compacted_revision));
        }
        self.counters.open_watches += 1;
        let next = if start > 0 { start } else { self.revision + 1 };
        Ok(WatchCursor { range, next })
    }

    /// Returns the changes since the last poll of this watch.
    ///
    /// # Errors
    ///
    /// Fails if the next revision of the watch is no longer in the history.
    pub fn poll_watch(&self, cursor: &mut WatchCursor) -> Result<Vec<StoreChange>, StoreError> {
        if cursor.next <= self.compacted_revision {
            return Err(StoreError::Compacted(self.compacted_revision));
        }
        let first = self.history.partition_point(|change| change.entry.mod_revision < cursor.next);
        let changes = self.history.range(first..);
        let wanted = changes.filter(|change| cursor.range.contains(&change.entry.key));
        cursor.next = cursor.next.max(self.revision + 1);
        Ok(wanted.cloned().collect())
    }

    /// Closes one watch, which no longer counts towards the read rate limit.
    pub fn close_watch(&mut self) {
        self.counters.open_watches = self.counters.open_watches.saturating_sub(1);
    }

    fn read(&self, range: &KeyRange, limit: usize) -> RangeAnswer {
        let found = range.select(&self.keys);
        let mut values: Vec<_> = found.map(|(_, entry)| entry.clone()).collect();
        let count = values.len();
        if limit > 0 {
            values.truncate(limit);
        }
        RangeAnswer { revision: self.revision, values, count }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let entry = self.keys.get(&compare.key);
        let number = |property: fn(&KeyValue) -> i64| entry.map_or(0, property);
        let ordering = match &compare.target {
            CompareTarget::Version(operand) => number(|entry| entry.version).cmp(operand),
            CompareTarget::Create(operand) => number(|entry| entry.create_revision).cmp(operand),
            CompareTarget::Mod(operand) => number(|entry| entry.mod_revision).cmp(operand),
            CompareTarget::Value(operand) => match entry {
                Some(entry) => entry.value.cmp(operand),
                None => return false,
            },
        };
        compare.result.holds(ordering)
    }

    /// Validates all operations of a branch before any is applied, so that a rejected transaction has
    /// no effect.
    fn check_ops(&self, ops: &[TxnOp]) -> Result<(), StoreError> {
        let mut written = BTreeSet::new();
        for op in ops {
            let TxnOp::Put { key, value, lease } = op else {
                continue;
            };
            if value.len() > self.limits.max_value_bytes {
                return Err(StoreError::ValueTooLarge(value.len()));
            }
            if *lease != 0 && !self.leases.contains_key(lease) {
                return Err(StoreError::LeaseNotFound);
            }
            if !written.insert(key) {
                return Err(StoreError::DuplicateKey);
            }
        }
        Ok(())
    }

    fn apply_op(&mut self, op: &TxnOp, revision: StoreRevision) -> OpAnswer {
        match op {
            TxnOp::Put { key, value, lease } => {
                self.put(key, value, *lease, revision);
                OpAnswer::Put
            }
            TxnOp::Delete(range) => {
                let keys: Vec<_> = range.select(&self.keys).map(|(key, _)| key.clone()).collect();
                for key in &keys {
                    self.delete(key, revision);
                }
                OpAnswer::Deleted(keys.len())
            }
            TxnOp::Range { range, limit } => OpAnswer::Range(self.read(range, *limit)),
        }
    }

    fn put(&mut self, key: &Bytes, value: &Bytes, lease: LeaseId, revision: StoreRevision) {
        let old = self.keys.get(key);
        let entry = KeyValue {
            key: key.clone(),
            value: value.clone(),
            create_revision: old.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: old.map_or(0, |old| old.version) + 1,
            lease,
        };
        let old_lease = old.map_or(0, |old| old.lease);
        if let Some(old_lease) = self.leases.get_mut(&old_lease) {
            old_lease.keys.remove(key);
        }
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.insert(key.clone());
        }
        self.keys.insert(key.clone(), entry.clone());
        self.record(StoreChange { deleted: false, entry });
    }

    fn delete(&mut self, key: &Bytes, revision: StoreRevision) {
        let Some(old) = self.keys.remove(key) else {
            return;
        };
        if let Some(lease) = self.leases.get_mut(&old.lease) {
            lease.keys.remove(key);
        }
        let entry = KeyValue {
            key: key.clone(),
            value: Bytes::new(),
            create_revision: 0,
            mod_revision: revision,
            version: 0,
            lease: 0,
        };
        self.record(StoreChange { deleted: true, entry });
    }

    /// Appends a change to the history and drops the oldest changes beyond the limit.
    fn record(&mut self, change: StoreChange) {
        self.revision = change.entry.mod_revision;
        self.history.push_back(change);
        while self.history.len() > self.limits.history {
            let Some(dropped) = self.history.pop_front() else {
                return;
            };
            self.compacted_revision = dropped.entry.mod_revision;
        }
    }

    fn first_expired(&self, now: MonotonicTime) -> Option<LeaseId> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        expired.min_by_key(|(_, lease)| lease.expires_at).map(|(id, _)| *id)
    }

    fn end_lease(&mut self, lease: LeaseId) {
        let Some(lease) = self.leases.remove(&lease) else {
            return;
        };
        let revision = self.revision + 1;
        for key in &lease.keys {
            self.delete(key, revision);
        }
    }

    fn count_lease_call(&mut self, now: MonotonicTime) -> Result<(), StoreError> {
        self.count_read(now)?;
        self.counters.lease_calls += 1;
        Ok(())
    }

    fn count_read(&mut self, now: MonotonicTime) -> Result<(), StoreError> {
        self.reset_window_if_over(now);
        let used = self.rate.reads + self.counters.open_watches;
        if self.limits.reads_per_second.is_some_and(|limit| used >= limit) {
            self.counters.rate_limited += 1;
            return Err(StoreError::RateLimited);
        }
        self.rate.reads += 1;
        self.counters.peak_reads_per_second = self.counters.peak_reads_per_second.max(used + 1);
        Ok(())
    }

    fn count_write(&mut self, now: MonotonicTime) -> Result<(), StoreError> {
        self.reset_window_if_over(now);
        if self.limits.writes_per_second.is_some_and(|limit| self.rate.writes >= limit) {
            self.counters.rate_limited += 1;
            return Err(StoreError::RateLimited);
        }
        self.rate.writes += 1;
        let peak = &mut self.counters.peak_writes_per_second;
        *peak = (*peak).max(self.rate.writes);
        Ok(())
    }

    fn reset_window_if_over(&mut self, now: MonotonicTime) {
        if self.rate.second != now.as_secs() {
            self.rate = RateWindow { second: now.as_secs(), reads: 0, writes: 0 };
        }
    }
}
