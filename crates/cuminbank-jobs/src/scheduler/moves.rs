//! Moves of jobs that wait in this cell, and of which no task has ever been started, to cells with
//! room.
//!
//! A move is one transaction. It removes the record here, creates it in the other cell and sets the
//! cell in the key of the accepted job. It requires that this owner still has the cell, that the
//! record and the key are unchanged and that no cancellation is stored. While its outcome is
//! unknown, no task of the job starts here. docs/design/adaptive-division.md has the argument.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use cuminbank::log::{JOB_MOVED, JOB_MOVE_REFUSED, JOB_MOVE_UNANSWERED};

use super::{
    state::{JobKey, JobState, TaskPhase},
    JobEffect, JobScheduler,
};
use crate::{
    cells::HOME_MAX_LOAD_PERCENT,
    division::{CellReport, MoveTargets},
    ids::{CellId, JobId, MonotonicTime, ServiceName, StoreRevision, WriteId},
    job::{JobRecord, TaskNeeds},
    keys::{accepted_key, CellKeys},
    priority::STARVED_WAIT,
    store::{decode_value, encode_value, StoreFailure, StoreItem, StorePut, StoreTxn, TxnOutcome},
};

/// Time for which a job has waited before it moves. Above the time between two passes, and a part of
/// the shortest latency objective.
const MIN_WAIT: Duration = Duration::from_millis(300);
/// Maximum number of moves with an unknown outcome. Their jobs cannot start anywhere while the store
/// is away.
const MAX_MOVES_IN_FLIGHT: usize = 8;
/// Time after which a move without a definite reply is sent again.
const MOVE_RETRY: Duration = Duration::from_millis(200);
/// Minimum remaining authority of the owner that begins a move. Covers three attempts, so that the
/// owner usually learns the outcome.
const MIN_AUTHORITY: Duration = Duration::from_secs(2);
/// Number of moved jobs that are remembered. A read of the cell that began before a move may show
/// the job once more. At most 32 jobs a second move, so that the number covers reads of 30 s.
const MAX_REMEMBERED: usize = 1_000;

/// Whether a job can move to another cell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum MovePhase {
    /// No move has been sent, or none of those sent can have taken effect.
    #[default]
    Local,
    /// The outcome of a move is unknown, so none of its tasks may start here.
    InFlight,
    /// A move was refused for good, so the job stays.
    Fixed,
}

/// State of the moves out of this cell.
#[derive(Debug, Default)]
pub(super) struct MoveState {
    targets: MoveTargets,
    in_flight: Vec<JobMove>,
    /// Jobs that have moved, in the order of their moves.
    moved: VecDeque<JobId>,
    /// The same jobs, with the revision at which the moved record was created in this cell.
    moved_revisions: HashMap<JobId, StoreRevision>,
}

/// Sizes of the executors of this cell, by service, with the number of executors of each size.
#[derive(Debug, Default)]
struct ExecutorSizes(HashMap<ServiceName, Vec<(TaskNeeds, usize)>>);

/// Move without a definite outcome.
#[derive(Debug)]
struct JobMove {
    key: JobKey,
    job: JobId,
    target: CellId,
    txn: StoreTxn,
    owner_revision: StoreRevision,
    record_revision: StoreRevision,
    /// Id of the latest attempt.
    attempt: WriteId,
    attempted_at: MonotonicTime,
    /// Whether the latest attempt ended without a definite reply.
    unanswered: bool,
    /// Whether an attempt may have taken effect or may still do so.
    uncertain: bool,
}

/// What the items of a conflict show about a move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MoveConflict {
    /// The record is no longer in this cell.
    Gone,
    /// The record is in this cell, and no attempt can take effect any more.
    Refused,
    /// The items do not explain the conflict.
    Unexplained,
}

impl MoveState {
    /// Creates the state of the owner of a cell.
    pub(super) fn new(own: CellId, cells: CellId) -> Self {
        Self { targets: MoveTargets::new(own, cells), ..Self::default() }
    }

    /// Returns whether this owner has moved the record that was created at a revision. A record with
    /// the same id that is created later belongs to another submission.
    pub(super) fn has_moved(&self, job: JobId, created: StoreRevision) -> bool {
        self.moved_revisions.get(&job).is_some_and(|moved| created <= *moved)
    }

    fn remember(&mut self, job: JobId, record_revision: StoreRevision) {
        if self.moved_revisions.insert(job, record_revision).is_none() {
            self.moved.push_back(job);
        }
        if self.moved.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.moved.pop_front() {
                self.moved_revisions.remove(&oldest);
            }
        }
    }
}

impl ExecutorSizes {
    fn add(&mut self, service: &ServiceName, capacity: TaskNeeds) {
        let sizes = self.0.entry(service.clone()).or_default();
        match sizes.iter_mut().find(|(size, _)| *size == capacity) {
            Some((_, count)) => *count += 1,
            None => sizes.push((capacity, 1)),
        }
    }

    /// Returns whether another cell probably has executors for a job. Loads do not tell the sizes of
    /// executors, and each cell gets about the same number of executors of each service, so that
    /// tasks must fit into at least half of those in this cell. A gang may need the room of one
    /// rack, which is not known either.
    fn suit(&self, record: &JobRecord) -> bool {
        let Some(sizes) = self.0.get(&record.terms.service) else { return false };
        let all: usize = sizes.iter().map(|(_, count)| count).sum();
        record.steps.iter().all(|step| {
            let fits = |size: &TaskNeeds| {
                step.needs.cpu_millis <= size.cpu_millis
                    && step.needs.fits_beside(&TaskNeeds::default(), size)
            };
            let fitting = sizes.iter().filter(|(size, _)| fits(size));
            !step.gang && fitting.map(|(_, count)| 2 * count).sum::<usize>() >= all
        })
    }
}

impl JobMove {
    fn explain(&self, keys: &CellKeys, items: &[StoreItem]) -> MoveConflict {
        let find = |key: &str| items.iter().find(|item| item.key == key);
        let revision = |key: &str| find(key).map_or(0, |item| item.revision);
        let accepted = find(&accepted_key(self.job));
        let cell = accepted.and_then(|item| decode_value::<CellId>(&item.value));
        if cell == Some(self.target) {
            return MoveConflict::Gone;
        }
        if find(&keys.job(self.job)).is_none() {
            // The key of the accepted job is removed some time after its end. A reply without any
            // item proves nothing.
            return match (accepted, items.is_empty()) {
                (None, true) => MoveConflict::Unexplained,
                _ => MoveConflict::Gone,
            };
        }
        // Each of these lasts for as long as the record is in this cell, so that a late copy of the
        // transaction conflicts too.
        let refused = revision(&keys.owner) != self.owner_revision
            || revision(&keys.job(self.job)) != self.record_revision
            || revision(&accepted_key(self.job)) != self.record_revision
            || find(&keys.cancel(self.job)).is_some();
        if refused {
            MoveConflict::Refused
        } else {
            MoveConflict::Unexplained
        }
    }
}

impl JobScheduler {
    /// Handles the latest loads of the cells and moves waiting jobs to those with room. Without
    /// this event, no job moves.
    pub(super) fn on_cells_reported(&mut self, reports: Vec<CellReport>) {
        if !self.loaded {
            return;
        }
        let capacities = self.executors.values().map(|executor| executor.capacity.cpu_millis);
        let capacity: u64 = capacities.map(u64::from).sum();
        self.moves.targets.update(reports, capacity / self.executors.len().max(1) as u64);
        let free = MAX_MOVES_IN_FLIGHT.saturating_sub(self.moves.in_flight.len());
        // Without a recent reply of the store, a move would only keep its job from starting.
        if self.load.use_percent <= HOME_MAX_LOAD_PERCENT
            || self.needs_quorum()
            || self.now + MIN_AUTHORITY > self.authority_until
        {
            return;
        }
        let Some(owner_revision) = self.owner_revision else { return };
        let mut sizes = ExecutorSizes::default();
        for executor in self.executors.values() {
            sizes.add(&executor.service, executor.capacity);
        }
        let mut movable: Vec<(MonotonicTime, JobKey)> = self
            .waiting
            .iter()
            .filter_map(|key| Some((*key, self.jobs.get(*key)?)))
            .filter(|(_, job)| is_movable(job) && sizes.suit(&job.record))
            .filter_map(|(key, job)| {
                let since = job.ready.iter().map(|task| job.tasks[*task as usize].ready_since);
                since.min().map(|since| (since, key))
            })
            .filter(|(since, key)| {
                // The other cell counts the wait anew, so that a starved job would lose its tier.
                let starved =
                    self.jobs[*key].is_long_running() && self.now >= *since + STARVED_WAIT;
                !starved && self.now >= *since + MIN_WAIT
            })
            .collect();
        movable.sort_unstable();
        let mut left = free;
        for (_, key) in movable {
            if left == 0 {
                break;
            }
            left -= usize::from(self.begin_move(key, owner_revision));
        }
    }

    /// Sends the move of a job if a cell has room for it. Returns whether it does.
    fn begin_move(&mut self, key: JobKey, owner_revision: StoreRevision) -> bool {
        let job = &self.jobs[key];
        let (id, record_revision) = (job.id, job.record_revision);
        let requested = |task: &u32| {
            let (_, step) = job.layout.position(*task);
            u64::from(job.record.steps[step].needs.cpu_millis)
        };
        let cpu_millis: u64 = job.ready.iter().map(requested).sum();
        let Some(target) = self.moves.targets.choose(id, &job.record, cpu_millis) else {
            return false;
        };
        let there = CellKeys::new(target);
        let txn = StoreTxn {
            expected: vec![
                (self.keys.owner.clone(), owner_revision),
                (self.keys.job(id), record_revision),
                // Written together with the record, and so with the same revision.
                (accepted_key(id), record_revision),
                (self.keys.cancel(id), 0),
            ],
            puts: vec![
                StorePut::new(accepted_key(id), encode_value(&target)),
                StorePut::new(there.job(id), encode_value(&job.record)),
            ],
            removes: vec![self.keys.job(id)],
        };
        self.jobs[key].move_phase = MovePhase::InFlight;
        self.last_write += 1;
        let attempt = self.last_write;
        self.effects.push(JobEffect::Commit { id: attempt, txn: txn.clone() });
        self.moves.in_flight.push(JobMove {
            key,
            job: id,
            target,
            txn,
            owner_revision,
            record_revision,
            attempt,
            attempted_at: self.now,
            unanswered: false,
            uncertain: false,
        });
        true
    }

    /// Sends moves again that got no definite reply.
    pub(super) fn retry_moves(&mut self) {
        let now = self.now;
        for job_move in &mut self.moves.in_flight {
            if job_move.unanswered && now >= job_move.attempted_at + MOVE_RETRY {
                self.last_write += 1;
                job_move.attempt = self.last_write;
                job_move.attempted_at = now;
                job_move.unanswered = false;
                let txn = job_move.txn.clone();
                self.effects.push(JobEffect::Commit { id: job_move.attempt, txn });
            }
        }
    }

    /// Handles the result of a transaction if it was a move. Returns false otherwise.
    pub(super) fn on_move_completed(
        &mut self,
        id: WriteId,
        result: &Result<TxnOutcome, StoreFailure>,
    ) -> bool {
        let Some(at) = self.moves.in_flight.iter().position(|other| other.attempt == id) else {
            return false;
        };
        let mut job_move = self.moves.in_flight.swap_remove(at);
        match result {
            Ok(TxnOutcome::Committed { .. }) => self.finish_move(&job_move),
            Ok(TxnOutcome::Conflict { items }) => self.on_move_conflict(job_move, items),
            Ok(TxnOutcome::NoLease) | Err(StoreFailure::NotDone) if !job_move.uncertain => {
                self.release_job(&job_move, MovePhase::Local);
            }
            Ok(TxnOutcome::NoLease) | Err(StoreFailure::NotDone) => {
                job_move.unanswered = true;
                self.moves.in_flight.push(job_move);
            }
            Err(StoreFailure::Unknown) => {
                if !job_move.uncertain {
                    let detail = format!("cell={}", job_move.target);
                    self.log(JOB_MOVE_UNANSWERED, Some(job_move.job), detail);
                }
                job_move.uncertain = true;
                job_move.unanswered = true;
                self.moves.in_flight.push(job_move);
            }
        }
        true
    }

    fn on_move_conflict(&mut self, mut job_move: JobMove, items: &[StoreItem]) {
        let conflict = job_move.explain(&self.keys, items);
        let ended = self.jobs.get(job_move.key).is_none_or(|job| job.outcome.is_some());
        match conflict {
            // Cancelled here before the move, and so ended here.
            MoveConflict::Gone if ended => self.release_job(&job_move, MovePhase::Fixed),
            MoveConflict::Gone => self.finish_move(&job_move),
            MoveConflict::Refused => {
                let found = items.iter().map(|item| format!("{}@{}", item.key, item.revision));
                let found: Vec<String> = found.collect();
                let detail = format!("cell={} found={}", job_move.target, found.join(","));
                self.log(JOB_MOVE_REFUSED, Some(job_move.job), detail);
                self.release_job(&job_move, MovePhase::Fixed);
            }
            MoveConflict::Unexplained => {
                job_move.unanswered = true;
                self.moves.in_flight.push(job_move);
                return;
            }
        }
        let owner = items.iter().find(|item| item.key == self.keys.owner).cloned();
        let owner_revision = owner.as_ref().map(|item| item.revision);
        // The record may have been written again since the move was sent.
        let current = self.owner_revision == Some(job_move.owner_revision);
        if current && owner_revision != self.owner_revision {
            self.owner_revision = None;
            self.effects.push(JobEffect::OwnerSeen(owner));
        }
    }

    /// Forgets a job whose record is no longer in this cell.
    fn finish_move(&mut self, job_move: &JobMove) {
        self.moves.remember(job_move.job, job_move.record_revision);
        self.waiting.remove(&job_move.key);
        self.drop_advice(job_move.key);
        let Some(job) = self.jobs.remove(job_move.key) else { return };
        self.job_ids.remove(&job.id);
        job.images.iter().for_each(|image| self.colocation.release(*image));
        let waited = self.now.saturating_sub(job.arrived);
        let detail = format!("cell={} age_ms={}", job_move.target, waited.as_millis());
        self.log(JOB_MOVED, Some(job.id), detail);
        let queue = job.record.terms.queue.clone();
        self.measure("job.moved", &queue, None);
    }

    /// Lets a job start here again that has not moved.
    fn release_job(&mut self, job_move: &JobMove, phase: MovePhase) {
        if let Some(job) = self.jobs.get_mut(job_move.key) {
            job.move_phase = phase;
        }
        self.pass_needed = true;
    }
}

/// Returns whether no run of a job is known or possible, anywhere and under any owner, and the job
/// has no state beyond its record.
fn is_movable(job: &JobState) -> bool {
    job.fresh
        && !job.started
        && job.outcome.is_none()
        && job.move_phase == MovePhase::Local
        && job.record.terms.advice.is_none()
        && job.record.repeat.is_none()
        && job.tasks.iter().all(|task| {
            matches!(task.phase, TaskPhase::Blocked | TaskPhase::Ready)
                && task.last_run == 0
                && task.runs.is_empty()
                && task.reported_by.is_none()
        })
}
