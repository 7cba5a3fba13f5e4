//! Journal writes. Each group has at most one write in flight. If its answer is lost, the key is
//! read back to find out whether the write took effect.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;

use crate::{
    effect::{CallerAnswer, EntryEffect},
    event::ExchangeError,
    ids::{AttemptNumber, ExchangeId, MonotonicTime, TargetName},
    ledger::{JournalEntry, JournalSegment, OperationId, SnapshotHead, TaskBody, TaskId},
    log::JOURNAL_FENCED,
    message::decode,
    reducer::step::{ReducerPart, StepContext},
    store::{
        batch_prefix, epoch_key, StoreCompare, StoreReply, StoreRequest, StoreValue, StoreWrite,
    },
};

use super::{
    group::{GroupExchange, GroupView, TaskGroup, TaskModels, TaskSample, TaskWaiter},
    snapshot::SnapshotPlan,
};

/// Minimum time between two segments.
pub const JOURNAL_INTERVAL: Duration = Duration::from_millis(300);
/// Size in bytes at which a segment is closed and written without waiting for the interval.
pub const SEGMENT_BYTES: usize = 256 * 1024;
/// Age of an unconfirmed write from which new submissions and cancellations are refused.
pub const STORE_STALL_LIMIT: Duration = Duration::from_secs(2);
/// Maximum wait of a caller for a staged change, after which the change is withdrawn.
pub const STAGED_WAIT_LIMIT: Duration = Duration::from_secs(3);
/// Maximum wait of a caller for a write in flight, after which its outcome is reported as unknown.
pub const COMMIT_WAIT_LIMIT: Duration = Duration::from_secs(5);

const STORE_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// A submission that is in no segment yet.
#[derive(Debug)]
pub struct StagedSubmission {
    pub(super) body: TaskBody,
    pub(super) oversized: bool,
    pub(super) waiters: Vec<TaskWaiter>,
    pub(super) since: MonotonicTime,
}

/// Changes waiting for the next segment.
#[derive(Debug, Default)]
pub struct StagedChanges {
    pub(super) entries: VecDeque<(JournalEntry, Option<TargetName>)>,
    pub(super) bytes: usize,
    pub(super) submissions: BTreeMap<TaskId, StagedSubmission>,
    pub(super) submission_order: VecDeque<TaskId>,
    pub(super) cancels: BTreeMap<TaskId, (MonotonicTime, Vec<TaskWaiter>)>,
    pub(super) cancel_order: VecDeque<TaskId>,
}

impl StagedChanges {
    /// Adds the end of an attempt. `worker` names the worker that reported the end; `None` if no
    /// worker did.
    pub fn push(&mut self, entry: JournalEntry, worker: Option<TargetName>) {
        self.bytes += entry.approximate_bytes();
        self.entries.push_back((entry, worker));
    }

    /// Adds a submission; submissions are written in the order of arrival.
    pub fn submit(&mut self, task: TaskId, submission: StagedSubmission) {
        self.bytes += submission.body.input.len();
        self.submission_order.push_back(task);
        self.submissions.insert(task, submission);
    }

    /// Adds a cancellation, or a further waiter for one that is staged already.
    pub fn cancel(&mut self, now: MonotonicTime, task: TaskId, waiter: TaskWaiter) {
        let cancel = self.cancels.entry(task).or_insert_with(|| {
            self.cancel_order.push_back(task);
            (now, Vec::new())
        });
        cancel.1.push(waiter);
    }

    pub(super) fn take_submission(&mut self) -> Option<(TaskId, StagedSubmission)> {
        let task = self.submission_order.pop_front()?;
        let submission = self.submissions.remove(&task)?;
        self.bytes = self.bytes.saturating_sub(submission.body.input.len());
        Some((task, submission))
    }

    pub(super) fn take_cancel(&mut self) -> Option<(TaskId, Vec<TaskWaiter>)> {
        let task = self.cancel_order.pop_front()?;
        let (_, waiters) = self.cancels.remove(&task)?;
        Some((task, waiters))
    }
}

/// A segment whose write is in flight.
#[derive(Debug, Default)]
pub(super) struct SegmentWrite {
    /// Wall clock time of its changes in milliseconds, for display only.
    pub(super) at_ms: u64,
    pub(super) entries: Vec<JournalEntry>,
    pub(super) bytes: usize,
    /// Worker names, one for each end in this segment that a worker reported.
    pub(super) workers: Vec<TargetName>,
    /// Events to count after the commit.
    pub(super) samples: Vec<TaskSample>,
    /// Attempts to start after the commit.
    pub(super) starts: Vec<(TaskId, AttemptNumber)>,
    /// Callers to answer after the commit, by accepted task.
    pub(super) accepted: BTreeMap<TaskId, Vec<TaskWaiter>>,
    /// Callers to answer after the commit, by cancelled task.
    pub(super) cancelled: BTreeMap<TaskId, Vec<TaskWaiter>>,
    /// Names of the last committed states of the changed tasks, shown to callers until the changes
    /// are committed; empty for a new task.
    pub(super) committed_states: HashMap<TaskId, &'static str>,
}

/// What a journal write commits.
#[derive(Debug)]
pub(super) enum WriteKind {
    /// The next segment.
    Segment(Box<SegmentWrite>),
    /// A chunk of a snapshot.
    Chunk,
    /// The head of a snapshot, which makes it the current one.
    Head,
}

/// A journal write that is not confirmed.
#[derive(Debug)]
pub(super) struct JournalWrite {
    pub(super) kind: WriteKind,
    operation: OperationId,
    key: String,
    value: Bytes,
    pub(super) since: MonotonicTime,
    /// Time of the next attempt after a failure.
    retry_at: Option<MonotonicTime>,
    /// Whether the write may have taken effect although no answer arrived. The key has to be read
    /// before the write is sent again.
    outcome_unknown: bool,
}

/// Journal state of a group.
#[derive(Debug, Default)]
pub struct GroupJournal {
    pub(super) loaded: bool,
    pub(super) loading: bool,
    pub(super) retry_at: MonotonicTime,
    /// Whether the ledger was dropped and no write is allowed.
    pub(super) fenced: bool,
    pub(super) next_segment: u64,
    /// Numbers of the segments in the store.
    pub(super) segments: BTreeSet<u64>,
    pub(super) head: Option<SnapshotHead>,
    pub(super) write: Option<JournalWrite>,
    pub(super) last_flush: Option<MonotonicTime>,
    /// Snapshot that is being written.
    pub(super) plan: Option<SnapshotPlan>,
}

impl GroupJournal {
    /// Whether the write in flight has been unconfirmed for [`STORE_STALL_LIMIT`] or longer.
    pub fn is_stalled(&self, now: MonotonicTime) -> bool {
        self.write.as_ref().is_some_and(|write| now >= write.since + STORE_STALL_LIMIT)
    }

    /// Returns the segment whose write is in flight.
    pub(super) fn segment(&self) -> Option<&SegmentWrite> {
        match &self.write.as_ref()?.kind {
            WriteKind::Segment(segment) => Some(segment),
            WriteKind::Chunk | WriteKind::Head => None,
        }
    }

    pub(super) fn segment_mut(&mut self) -> Option<(&mut SegmentWrite, MonotonicTime)> {
        let write = self.write.as_mut()?;
        match &mut write.kind {
            WriteKind::Segment(segment) => Some((segment, write.since)),
            WriteKind::Chunk | WriteKind::Head => None,
        }
    }
}

impl TaskGroup {
    /// Retries the unconfirmed write if that is due, or begins the next one.
    pub(super) fn advance_journal(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &mut TaskModels,
    ) {
        let now = step.now();
        if let Some(write) = &mut self.journal.write {
            if write.retry_at.is_some_and(|at| now >= at) {
                write.retry_at = None;
                if write.outcome_unknown {
                    self.read_back_write(step);
                } else {
                    self.send_write(step);
                }
            }
            return;
        }
        let interval_elapsed =
            self.journal.last_flush.is_none_or(|at| now >= at + JOURNAL_INTERVAL);
        if interval_elapsed || self.staged.bytes >= SEGMENT_BYTES {
            self.flush(step, view, models);
        }
        if self.journal.write.is_none() {
            self.advance_snapshot(step);
        }
    }

    pub(super) fn begin_write(
        &mut self,
        step: &mut StepContext,
        kind: WriteKind,
        operation: OperationId,
        key: String,
        value: Bytes,
    ) {
        let since = step.now();
        self.journal.write = Some(JournalWrite {
            kind,
            operation,
            key,
            value,
            since,
            retry_at: None,
            outcome_unknown: false,
        });
        self.send_write(step);
    }

    fn send_write(&mut self, step: &mut StepContext) {
        let Some(write) = &self.journal.write else { return };
        let epoch_key = epoch_key(&self.zone, self.group);
        let epoch = Bytes::from(self.epoch.to_string());
        let mut compares = vec![StoreCompare::Value(epoch_key.clone(), epoch)];
        if matches!(write.kind, WriteKind::Segment(_)) {
            compares.push(StoreCompare::ModRevision(write.key.clone(), 0));
        }
        let put =
            StoreWrite::Put { key: write.key.clone(), value: write.value.clone(), lease: None };
        let mut then = vec![put];
        if matches!(write.kind, WriteKind::Head) {
            then.extend(self.snapshot_deletes());
        }
        let otherwise = vec![epoch_key, write.key.clone()];
        let request = StoreRequest::Txn { compares, then, otherwise };
        self.call_store(step, request, GroupExchange::Write);
    }

    fn read_back_write(&mut self, step: &mut StepContext) {
        let Some(write) = &self.journal.write else { return };
        let request = StoreRequest::Range { key: write.key.clone(), prefix: false };
        self.call_store(step, request, GroupExchange::ReadBack);
    }

    pub(super) fn call_store(
        &mut self,
        step: &mut StepContext,
        request: StoreRequest,
        kind: GroupExchange,
    ) -> ExchangeId {
        let exchange = step.begin_exchange(ReducerPart::Tasks);
        self.exchanges.insert(exchange, kind);
        step.push(EntryEffect::CallStore { exchange, request, timeout: STORE_TIMEOUT });
        exchange
    }

    pub(super) fn on_written(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        result: &Result<StoreReply, ExchangeError>,
    ) {
        match result {
            Ok(StoreReply::Txn { succeeded: true, .. }) => self.on_committed(step, view),
            Ok(StoreReply::Txn { values, .. }) => {
                if self.is_written(values) {
                    return self.on_committed(step, view);
                }
                self.fence(step);
            }
            Err(ExchangeError::NotSent | ExchangeError::Refused(_)) => {
                self.retry_write(step, false)
            }
            Ok(_) | Err(ExchangeError::Lost) => self.retry_write(step, true),
        }
    }

    pub(super) fn on_read_back(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        result: &Result<StoreReply, ExchangeError>,
    ) {
        let Ok(StoreReply::Range { values, .. }) = result else {
            return self.retry_write(step, true);
        };
        if self.is_written(values) {
            return self.on_committed(step, view);
        }
        // The key is absent or holds an older value of a snapshot. The same bytes can be sent again
        // while the first write may still be in transit, since the comparison lets only one of them
        // take effect.
        if let Some(write) = &mut self.journal.write {
            write.outcome_unknown = false;
        }
        self.send_write(step);
    }

    /// Whether the key of the write holds the written value. Chunks and heads are compared byte by
    /// byte, a segment by its operation id.
    fn is_written(&self, values: &[StoreValue]) -> bool {
        let Some(write) = &self.journal.write else { return false };
        let Some(value) = values.iter().find(|value| value.key == write.key) else { return false };
        match write.kind {
            WriteKind::Segment(_) => decode::<JournalSegment>(&value.value)
                .is_some_and(|segment| segment.operation == write.operation),
            WriteKind::Chunk | WriteKind::Head => value.value == write.value,
        }
    }

    fn retry_write(&mut self, step: &mut StepContext, outcome_unknown: bool) {
        let Some(write) = &mut self.journal.write else { return };
        write.outcome_unknown |= outcome_unknown;
        write.retry_at = Some(step.now() + RETRY_INTERVAL);
    }

    fn on_committed(&mut self, step: &mut StepContext, view: &GroupView<'_>) {
        let Some(write) = self.journal.write.take() else { return };
        match write.kind {
            WriteKind::Segment(segment) => {
                self.journal.segments.insert(self.journal.next_segment);
                self.journal.next_segment += 1;
                self.on_segment_committed(step, view, *segment);
            }
            WriteKind::Chunk => {
                if let Some(plan) = &mut self.journal.plan {
                    plan.chunks.pop_front();
                }
            }
            WriteKind::Head => self.on_snapshot_committed(),
        }
    }

    /// Drops the ledger after the store refused a write because another owner has taken over or has
    /// written the key. The outcome of the changes in the segment is unknown: a copy of a request
    /// may reach the next owner, and an earlier copy of the write may have taken effect and been
    /// replaced by a snapshot of the next owner.
    fn fence(&mut self, step: &mut StepContext) {
        step.log(JOURNAL_FENCED, format!("{}/{} epoch {}", self.zone, self.group, self.epoch));
        self.close(step);
    }

    /// Answers all waiting callers and drops the ledger at the end of the ownership.
    pub fn close(&mut self, step: &mut StepContext) {
        self.journal.fenced = true;
        if let Some(write) = self.journal.write.take() {
            if let WriteKind::Segment(segment) = write.kind {
                let waiters = segment.accepted.into_values().chain(segment.cancelled.into_values());
                for waiter in waiters.flatten() {
                    waiter.answer(step, CallerAnswer::new_unknown("the group changed its owner"));
                }
            }
        }
        let staged = std::mem::take(&mut self.staged);
        let submitted = staged.submissions.into_values().map(|submission| submission.waiters);
        let cancelled = staged.cancels.into_values().map(|(_, waiters)| waiters);
        for waiter in submitted.chain(cancelled).flatten() {
            // This owner did not write these changes, but a copy of the request may reach the next
            // owner.
            waiter.answer(step, CallerAnswer::new_unknown("the group changed its owner"));
        }
        self.drop_state(step.now());
    }

    fn drop_state(&mut self, now: MonotonicTime) {
        let mut next =
            Self::new(&self.zone, self.group, self.epoch, self.acquired_at, self.probe_from);
        next.samples = std::mem::take(&mut self.samples);
        next.refused = std::mem::take(&mut self.refused);
        next.reopened = true;
        next.journal.fenced = true;
        next.journal.retry_at = now + REOPEN_INTERVAL;
        *self = next;
    }

    /// Answers callers that have waited too long for the store.
    pub(super) fn expire_waiters(&mut self, step: &mut StepContext, view: &GroupView<'_>) {
        let now = step.now();
        if let Some((segment, since)) = self.journal.segment_mut() {
            if now >= since + COMMIT_WAIT_LIMIT {
                let accepted = std::mem::take(&mut segment.accepted);
                let cancelled = std::mem::take(&mut segment.cancelled);
                for waiter in accepted.into_values().chain(cancelled.into_values()).flatten() {
                    waiter.answer(step, CallerAnswer::new_unknown("the store does not answer"));
                }
            }
        }
        // A refusal is final only while this instance has authority over the group. Otherwise the
        // next owner may accept a copy of the request.
        let has_authority = view.authority_until.is_some_and(|until| until > now);
        let reason = "the store does not answer";
        let refusal = || match has_authority {
            true => CallerAnswer::new_busy(reason, STORE_STALL_LIMIT),
            false => CallerAnswer::new_unknown(reason),
        };
        let within_limit = |since: MonotonicTime| now < since + STAGED_WAIT_LIMIT;
        while let Some(task) = self.staged.submission_order.front() {
            if self.staged.submissions.get(task).is_some_and(|staged| within_limit(staged.since)) {
                break;
            }
            let Some((task, submission)) = self.staged.take_submission() else { break };
            self.refused.insert(now, task);
            submission.waiters.into_iter().for_each(|waiter| waiter.answer(step, refusal()));
        }
        while let Some(task) = self.staged.cancel_order.front() {
            if self.staged.cancels.get(task).is_some_and(|(since, _)| within_limit(*since)) {
                break;
            }
            let Some((_, waiters)) = self.staged.take_cancel() else { break };
            waiters.into_iter().for_each(|waiter| waiter.answer(step, refusal()));
        }
    }

    pub(super) fn prefix(&self) -> String {
        batch_prefix(&self.zone, self.group)
    }
}
