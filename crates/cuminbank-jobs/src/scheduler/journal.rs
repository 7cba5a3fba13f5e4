//! Writes the progress of jobs to the store, in batches. Executors may delete the report of an
//! ended run only after the store contains the progress that results from it.

use std::{collections::VecDeque, time::Duration};

use cuminbank::log::{PROGRESS_REFUSED, PROGRESS_UNANSWERED};

use super::{
    handover::HandoverState,
    state::{ExecutorKey, JobKey},
    JobEffect, JobScheduler,
};
use crate::{
    ids::{
        ExecutorName, JobId, MonotonicTime, OwnerEpoch, StartMillis, StoreRevision, WallTime,
        WriteId,
    },
    job::JobOutcome,
    keys::accepted_key,
    lease_bounds::CONFIRM_INTERVAL,
    ownership::OwnerRecord,
    progress::JobProgress,
    roster::{ExecutorRoster, RosterEntry},
    store::{
        decode_value, encode_value, StoreFailure, StoreItem, StorePut, StoreTxn, TxnOutcome,
        MAX_TXN_ENTRIES,
    },
};

/// Interval between two writes of an owner. Store calls are billed, but the completion of a job and
/// the acknowledgement of ended runs wait for a write.
const FLUSH_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between two attempts to send a write.
const FLUSH_RETRY: Duration = Duration::from_millis(60);
/// Minimum interval between writes that also store the colocation model.
const COLOCATION_INTERVAL: Duration = Duration::from_millis(1_500);
/// Number of transaction entries of an ended job: its progress, and the removals of its record and
/// of its cancellation request.
const ENDED_ENTRIES: usize = 3;
/// Number of transaction entries that belong to no job: two conditions, the sequence, the epoch, two
/// marks of bounded leases, the roster, the handover and the colocation model.
const FIXED_ENTRIES: usize = 9;
/// Maximum number of rosters without a definite reply of the store that are remembered.
const MAX_POSSIBLE_ROSTERS: usize = 8;

/// State of the progress writes.
#[derive(Debug, Default)]
pub(super) struct JournalState {
    /// Revision of the sequence key. Each write requires it to be unchanged, so that writes are
    /// applied in order.
    pub(super) sequence_revision: StoreRevision,
    pub(super) roster_dirty: bool,
    /// Whether the store has this owner's mark of bounded leases.
    leases_marked: bool,
    pub(super) handover: HandoverState,
    /// Names in each roster that the store may contain, depending on which writes were done; the
    /// latest one last. An empty one stands for an unknown roster.
    pub(super) possible_rosters: Vec<Vec<ExecutorName>>,
    /// Whether the next write is to raise the epoch.
    pub(super) epoch_raise_needed: bool,
    /// Whether a write is needed to verify the ownership, even if nothing else is to be written.
    pub(super) ownership_check_needed: bool,
    /// Ended jobs whose stored outcomes the next write removes.
    pub(super) expired_jobs: Vec<JobId>,
    dirty: VecDeque<JobKey>,
    in_flight: Option<FlushState>,
    next_at: MonotonicTime,
    /// When the colocation model is next stored; never while the stored one cannot be read.
    pub(super) colocation_at: MonotonicTime,
}

/// Write that has neither succeeded nor failed yet.
#[derive(Debug)]
struct FlushState {
    /// Id of the latest attempt.
    attempt: WriteId,
    /// Number that the write stores under the sequence key; the same for every attempt.
    number: WriteId,
    /// Epoch that it stores with the number, which may be a raised one.
    epoch: OwnerEpoch,
    sent_at: MonotonicTime,
    /// When the latest attempt was sent.
    attempted_at: MonotonicTime,
    /// Whether the latest attempt ended without a definite reply.
    unanswered: bool,
    txn: StoreTxn,
    outcomes: Vec<(JobKey, Option<(JobOutcome, WallTime)>)>,
    acknowledged: Vec<(ExecutorKey, Option<StartMillis>, u64)>,
    /// Executors in the roster that the write stores. Empty if it stores no roster.
    members: Vec<ExecutorKey>,
    has_roster: bool,
    has_handover: bool,
    /// Whether it stores that this owner and all earlier ones bound their leases.
    marks_leases: bool,
    /// Whether the write includes every job that had changed.
    complete: bool,
}

impl JournalState {
    fn add_possible_roster(&mut self, names: Vec<ExecutorName>) {
        if self.possible_rosters.len() == MAX_POSSIBLE_ROSTERS {
            self.possible_rosters = vec![Vec::new()];
        }
        self.possible_rosters.push(names);
    }
}

impl JobScheduler {
    pub(super) fn mark_dirty(&mut self, key: JobKey) {
        if !self.journal.dirty.contains(&key) {
            self.journal.dirty.push_back(key);
        }
    }

    /// Sends a write if there are changes, no other write is in flight and the interval since the
    /// last one has passed.
    pub(super) fn flush_if_due(&mut self) {
        if self.journal.in_flight.is_some() {
            return self.retry_flush();
        }
        if !self.loaded || self.now < self.journal.next_at {
            return;
        }
        if !self.guards.records_before_ack {
            self.acknowledge(self.unrecorded_end_reports());
        }
        // An unreadable roster may name executors with leases that this owner does not know of.
        let has_roster = self.journal.roster_dirty && !self.roster_unreadable;
        let other_changes = has_roster
            || self.journal.handover.is_changed()
            || self.journal.epoch_raise_needed
            || self.journal.ownership_check_needed
            || self.now >= self.evidence.confirmed_at + CONFIRM_INTERVAL
            || !self.journal.expired_jobs.is_empty();
        if self.journal.dirty.is_empty() && !other_changes {
            return self.acknowledge(self.unrecorded_end_reports());
        }
        let Some(owner_revision) = self.owner_revision else { return };
        let mut removes: Vec<String> = std::mem::take(&mut self.journal.expired_jobs)
            .into_iter()
            .flat_map(|job| [self.keys.progress(job), accepted_key(job)])
            .collect();
        let mut entries = FIXED_ENTRIES + removes.len();
        let mut jobs: Vec<JobKey> = Vec::new();
        while let Some(key) = self.journal.dirty.front().copied() {
            let ended = self.jobs.get(key).is_some_and(|job| job.outcome.is_some());
            entries += if ended { ENDED_ENTRIES } else { 1 };
            if entries > MAX_TXN_ENTRIES {
                break;
            }
            self.journal.dirty.pop_front();
            jobs.push(key);
        }
        // If some jobs did not fit into this write, ended runs are only acknowledged after a later
        // write that includes all of them.
        let complete = self.journal.dirty.is_empty();
        let acknowledged = if complete { self.unrecorded_end_reports() } else { Vec::new() };
        self.last_write += 1;
        let number = self.last_write;
        let raised = self.take_raised_epoch();
        let epoch = raised.as_ref().map_or(self.epoch, |record| record.epoch);
        let sequence = encode_value(&(epoch, number));
        let mut puts = vec![StorePut::new(self.keys.sequence.clone(), sequence)];
        if let Some(record) = &raised {
            puts.push(StorePut::new(self.keys.epoch.clone(), encode_value(record)));
        }
        let mut outcomes = Vec::with_capacity(jobs.len());
        for key in jobs {
            let Some(job) = self.jobs.get(key) else { continue };
            if job.outcome.is_some() {
                removes.extend([self.keys.job(job.id), self.keys.cancel(job.id)]);
            }
            let tasks = match job.outcome {
                Some(_) => Vec::new(),
                None => {
                    let numbered = job.tasks.iter().enumerate();
                    numbered.filter_map(|(task, state)| state.progress(task as u32)).collect()
                }
            };
            // An ended job is written again when one of its remaining runs ends.
            let recorded = job.recorded_outcome.or(job.outcome.map(|outcome| (outcome, self.wall)));
            let ended_at = recorded.map(|(_, at)| at);
            let progress = JobProgress { outcome: job.outcome, ended_at, tasks };
            puts.push(StorePut::new(self.keys.progress(job.id), encode_value(&progress)));
            outcomes.push((key, recorded));
        }
        // The leases of all earlier owners have expired once their runs are known.
        let marked = self.journal.leases_marked && raised.is_none();
        let marks_leases = !marked && (self.earlier_owners.bounded || self.is_reconciled());
        if marks_leases {
            let epoch = encode_value(&epoch);
            puts.push(StorePut::new(self.keys.bounded_epoch.clone(), epoch.clone()));
            puts.push(StorePut::new(self.keys.bounded_leases.clone(), epoch));
        }
        let mut members = Vec::new();
        if has_roster {
            self.journal.roster_dirty = false;
            members = self.roster_members();
            for (key, executor) in &mut self.executors {
                // An executor that this write removes from the roster gets no work until the stored
                // roster contains it again.
                executor.in_roster &= members.contains(&key);
            }
            let roster = self.roster(&members);
            self.journal.add_possible_roster(roster.names());
            let roster = encode_value(&roster);
            puts.push(StorePut::new(self.keys.roster.clone(), roster));
        }
        let handover = self.take_handover(epoch);
        let has_handover = handover.is_some();
        if let Some(record) = handover {
            puts.push(StorePut::new(self.keys.lease_handover.clone(), encode_value(&record)));
        }
        if self.now >= self.journal.colocation_at {
            self.journal.colocation_at = self.now + COLOCATION_INTERVAL;
            let learned = encode_value(&self.colocation);
            puts.push(StorePut::new(self.keys.colocation.clone(), learned));
        }
        let expected = vec![
            (self.keys.owner.clone(), owner_revision),
            (self.keys.sequence.clone(), self.journal.sequence_revision),
        ];
        let txn = StoreTxn { expected, puts, removes };
        self.journal.ownership_check_needed = false;
        self.effects.push(JobEffect::Commit { id: number, txn: txn.clone() });
        self.journal.in_flight = Some(FlushState {
            attempt: number,
            number,
            epoch,
            sent_at: self.now,
            attempted_at: self.now,
            unanswered: false,
            txn,
            outcomes,
            acknowledged,
            members,
            has_roster,
            has_handover,
            marks_leases,
            complete,
        });
    }

    /// Returns the record of this owner with the epoch that the next write is to store, if it is to
    /// raise the epoch. The records of the old epoch are written again.
    fn take_raised_epoch(&mut self) -> Option<OwnerRecord> {
        if !std::mem::take(&mut self.journal.epoch_raise_needed) {
            return None;
        }
        self.journal.handover.invalidate();
        let record = self.identity.clone()?;
        Some(OwnerRecord { epoch: self.epoch + 1, ..record })
    }

    fn roster_members(&self) -> Vec<ExecutorKey> {
        let members =
            self.executors.iter().filter(|(_, executor)| self.belongs_in_roster(executor));
        members.map(|(key, _)| key).collect()
    }

    fn roster(&self, members: &[ExecutorKey]) -> ExecutorRoster {
        let mut executors: Vec<RosterEntry> = members
            .iter()
            .map(|key| &self.executors[*key])
            .map(|executor| RosterEntry {
                name: executor.name.clone(),
                address: executor.address,
                service: executor.service.clone(),
                started_at: executor.started_at,
            })
            .collect();
        executors.sort_by(|left, right| left.name.cmp(&right.name));
        ExecutorRoster { executors }
    }

    /// Returns the executors with unrecorded ended runs, each with its incarnation and the highest
    /// number of these runs.
    fn unrecorded_end_reports(&self) -> Vec<(ExecutorKey, Option<StartMillis>, u64)> {
        self.executors
            .iter()
            .filter(|(_, executor)| executor.recordable_end() > executor.acknowledged)
            .map(|(key, executor)| (key, executor.started_at, executor.recordable_end()))
            .collect()
    }

    /// Marks ended runs as recorded. If an executor then has no unrecorded ones, is reachable and
    /// has no hold in flight, sends it a hold, which acknowledges them.
    fn acknowledge(&mut self, ends: Vec<(ExecutorKey, Option<StartMillis>, u64)>) {
        for (key, started_at, number) in ends {
            let Some(executor) = self.executors.get_mut(key) else { continue };
            if executor.started_at != started_at {
                continue;
            }
            executor.acknowledged = executor.acknowledged.max(number);
            let all_recorded = executor.acknowledged >= executor.last_end_number;
            if all_recorded && executor.hold.failures == 0 && executor.hold.order.is_none() {
                self.send_hold(key);
            }
        }
    }

    pub(super) fn on_commit_completed(
        &mut self,
        id: WriteId,
        result: Result<TxnOutcome, StoreFailure>,
    ) {
        if self.on_move_completed(id, &result) {
            return;
        }
        let Some(flush) = self.journal.in_flight.take_if(|flush| flush.attempt == id) else {
            return;
        };
        match result {
            Ok(TxnOutcome::Committed { revision }) => self.finish_flush(flush, revision),
            Ok(TxnOutcome::Conflict { items }) => self.on_flush_conflict(flush, &items),
            Ok(TxnOutcome::NoLease) | Err(StoreFailure::NotDone) => self.requeue_flush(flush),
            Err(StoreFailure::Unknown) => {
                let detail = format!("number={} entries={}", flush.number, flush.txn.puts.len());
                self.log(PROGRESS_UNANSWERED, None, detail);
                self.journal.in_flight = Some(FlushState { unanswered: true, ..flush });
            }
        }
    }

    /// Repeats a write without a definite reply. If an earlier attempt was applied, the repetition
    /// conflicts and the sequence key contains the number of the write.
    fn retry_flush(&mut self) {
        let now = self.now;
        let Some(flush) = &mut self.journal.in_flight else { return };
        if !flush.unanswered || now < flush.attempted_at + FLUSH_RETRY {
            return;
        }
        self.last_write += 1;
        flush.attempt = self.last_write;
        flush.attempted_at = now;
        flush.unanswered = false;
        self.effects.push(JobEffect::Commit { id: flush.attempt, txn: flush.txn.clone() });
    }

    fn finish_flush(&mut self, flush: FlushState, revision: StoreRevision) {
        self.journal.sequence_revision = revision;
        // Under load more jobs change than fit into one write. What is left follows at once, since
        // executors are polled at longer intervals until all their ended runs are acknowledged.
        let interval = if flush.complete { FLUSH_INTERVAL } else { Duration::ZERO };
        self.journal.next_at = self.now + interval;
        self.evidence.confirmed_at = self.evidence.confirmed_at.max(flush.sent_at);
        self.journal.leases_marked |= flush.marks_leases;
        for (key, outcome) in flush.outcomes {
            if let Some(job) = self.jobs.get_mut(key) {
                job.recorded_outcome = outcome;
            }
        }
        if flush.has_roster {
            // Writes are conditional on the number of the one before, so no earlier one is done later.
            let latest = self.journal.possible_rosters.len().saturating_sub(1);
            self.journal.possible_rosters.drain(..latest);
        }
        if flush.has_handover {
            self.on_handover_stored();
        }
        if flush.epoch > self.epoch {
            self.on_epoch_raised(flush.epoch);
        }
        for key in flush.members {
            if let Some(executor) = self.executors.get_mut(key) {
                executor.in_roster = true;
                self.pass_needed = true;
            }
        }
        self.acknowledge(flush.acknowledged);
    }

    fn requeue_flush(&mut self, flush: FlushState) {
        for (key, _) in flush.outcomes {
            self.mark_dirty(key);
        }
        self.journal.roster_dirty |= flush.has_roster;
        if flush.has_handover {
            self.journal.handover.invalidate();
        }
        self.journal.epoch_raise_needed |= flush.epoch > self.epoch;
        self.journal.next_at = self.now + FLUSH_RETRY;
    }

    fn on_flush_conflict(&mut self, flush: FlushState, items: &[StoreItem]) {
        let sequence = items.iter().find(|item| item.key == self.keys.sequence);
        let written = sequence.and_then(|item| decode_value::<(OwnerEpoch, WriteId)>(&item.value));
        if let (Some(item), Some((epoch, number))) = (sequence, written) {
            if epoch == flush.epoch && number == flush.number {
                return self.finish_flush(flush, item.revision);
            }
        }
        let owner = items.iter().find(|item| item.key == self.keys.owner).cloned();
        let detail = format!(
            "number={} sequence={written:?} owner_revision={:?}",
            flush.number,
            owner.as_ref().map(|item| item.revision)
        );
        self.log(PROGRESS_REFUSED, None, detail);
        if let Some(item) = sequence {
            self.journal.sequence_revision = item.revision;
        }
        let still_owner = owner.as_ref().map(|item| item.revision) == self.owner_revision;
        self.requeue_flush(flush);
        if !still_owner {
            self.owner_revision = None;
            self.effects.push(JobEffect::OwnerSeen(owner));
        }
    }
}
