//! Ledger snapshots, written in chunks between journal segments.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;

use crate::{
    ids::MonotonicTime,
    ledger::{chunk_key, chunk_prefix, head_key, segment_key, SnapshotHead},
    message::encode,
    reducer::step::StepContext,
    store::StoreWrite,
};

use super::{group::TaskGroup, journal::WriteKind};

/// Number of segments after which a new snapshot is written.
pub const SEGMENTS_PER_SNAPSHOT: usize = 64;
/// Time for which the record of an ended task is kept. After that only its id is kept, for the same
/// time again.
pub const ENDED_RETENTION: Duration = Duration::from_secs(600);

// etcd limits a transaction to 128 operations.
const MAX_DELETES_PER_WRITE: usize = 100;

/// A snapshot that is being written.
#[derive(Debug)]
pub(super) struct SnapshotPlan {
    /// Number of the last segment that the snapshot contains.
    pub(super) number: u64,
    /// Total number of chunks.
    pub(super) count: usize,
    /// Encoded chunks that are not written yet.
    pub(super) chunks: VecDeque<Bytes>,
}

impl TaskGroup {
    /// Writes the next chunk or the head of a snapshot, or begins a snapshot after enough segments
    /// were written. No write is in flight here, so the ledger contains exactly the committed
    /// state.
    pub(super) fn advance_snapshot(&mut self, step: &mut StepContext) {
        if self.journal.plan.is_none() {
            let head = self.journal.head.map_or(0, |head| head.number);
            let count = self.journal.segments.range(head + 1..).count();
            if count < SEGMENTS_PER_SNAPSHOT {
                return;
            }
            self.drop_old_tasks(step.now());
            let chunks = VecDeque::from(self.ledger.to_chunks());
            let number = self.journal.next_segment - 1;
            self.journal.plan = Some(SnapshotPlan { number, count: chunks.len(), chunks });
        }
        let Some(plan) = &self.journal.plan else { return };
        let (prefix, number) = (self.prefix(), plan.number);
        let operation = (self.epoch, number);
        if let Some(chunk) = plan.chunks.front().cloned() {
            let key = chunk_key(&prefix, number, plan.count - plan.chunks.len());
            return self.begin_write(step, WriteKind::Chunk, operation, key, chunk);
        }
        let head = SnapshotHead { number, chunks: plan.count as u32 };
        self.begin_write(step, WriteKind::Head, operation, head_key(&prefix), encode(&head));
    }

    /// Returns the deletions of the segments and chunks that a new head makes obsolete.
    pub(super) fn snapshot_deletes(&self) -> Vec<StoreWrite> {
        let Some(plan) = &self.journal.plan else { return Vec::new() };
        let prefix = self.prefix();
        let old = self.journal.segments.range(..=plan.number).take(MAX_DELETES_PER_WRITE);
        let mut deletes: Vec<_> =
            old.map(|number| StoreWrite::Delete(segment_key(&prefix, *number))).collect();
        if let Some(head) = self.journal.head.filter(|head| head.number != plan.number) {
            deletes.push(StoreWrite::DeletePrefix(chunk_prefix(&prefix, head.number)));
        }
        deletes
    }

    pub(super) fn on_snapshot_committed(&mut self) {
        let Some(plan) = self.journal.plan.take() else { return };
        let old = self.journal.segments.range(..=plan.number).take(MAX_DELETES_PER_WRITE);
        for number in old.copied().collect::<Vec<_>>() {
            self.journal.segments.remove(&number);
        }
        self.journal.head = Some(SnapshotHead { number: plan.number, chunks: plan.count as u32 });
    }

    /// Drops the records of tasks that ended long ago, and later their ids. A ticket is valid for
    /// 10 minutes, so no valid ticket refers to a record that old.
    fn drop_old_tasks(&mut self, now: MonotonicTime) {
        while self.retired.front().is_some_and(|(at, _)| now >= *at + ENDED_RETENTION) {
            let Some((_, task)) = self.retired.pop_front() else { break };
            self.ledger.remove_retired(task);
        }
        // Tasks with an attempt that still occupies a worker keep their record.
        let mut occupied = Vec::new();
        while self.ended.front().is_some_and(|(at, _)| now >= *at + ENDED_RETENTION) {
            let Some((at, task)) = self.ended.pop_front() else { break };
            self.ledger.retire(task);
            match self.ledger.get(task) {
                Some(_) => occupied.push((at, task)),
                None => self.retired.push_back((now, task)),
            }
        }
        for entry in occupied.into_iter().rev() {
            self.ended.push_front(entry);
        }
    }
}
