//! Task ledger of a group: task states and attempts, as journal entries and a snapshot.
//!
//! The ledger is the fold of its entries: every owner that applies the snapshot and the segments
//! after it in order holds the same state.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    event::TaskSubmission,
    ids::{
        AttemptNumber, ClassName, CustomerName, GroupIndex, OwnerEpoch, ProfileName, RequestTicket,
        TargetName,
    },
    message::{decode, encode},
    store::StoreValue,
    worker::ResourceSize,
};

/// Longest input or result of a task. Together with the limit of a segment it keeps every value
/// below the store's 1 MB.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Longest checkpoint that is kept; a longer one is ignored.
pub const MAX_CHECKPOINT_BYTES: usize = 64 * 1024;
/// Size at which a snapshot chunk is closed; one record may follow it.
const CHUNK_BYTES: usize = 128 * 1024;

/// Id of a task in its group: the ticket without zone and group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// Epoch of the ticket.
    pub epoch: OwnerEpoch,
    /// Sequence number of the ticket.
    pub sequence: u64,
}

impl TaskId {
    /// Returns the id of the task with this ticket.
    pub fn of(ticket: &RequestTicket) -> Self {
        Self { epoch: ticket.epoch, sequence: ticket.sequence }
    }

    /// Returns the ticket of the task.
    pub fn ticket(self, zone: &str, group: GroupIndex) -> RequestTicket {
        RequestTicket { zone: zone.to_owned(), group, epoch: self.epoch, sequence: self.sequence }
    }
}

/// What was submitted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskBody {
    /// Profile.
    pub profile: ProfileName,
    /// Customer.
    pub customer: CustomerName,
    /// Class.
    pub class: ClassName,
    /// Declared size.
    pub size: ResourceSize,
    /// Declared run time.
    pub declared_run_ms: Option<u64>,
    /// Input as JSON text; dropped once the task has ended.
    pub input: String,
}

impl From<TaskSubmission> for TaskBody {
    fn from(submission: TaskSubmission) -> Self {
        Self {
            profile: submission.profile,
            customer: submission.customer,
            class: submission.class,
            size: submission.size,
            declared_run_ms: submission.declared_run_ms,
            input: submission.input,
        }
    }
}

/// Checksum and length of a body; tells whether a ticket is submitted again with another body.
pub type BodyFingerprint = (u32, u32);

impl TaskBody {
    /// Returns the fingerprint of the body.
    pub fn fingerprint(&self) -> BodyFingerprint {
        let bytes = encode(self);
        (crc32fast::hash(&bytes), bytes.len() as u32)
    }
}

/// An attempt that is not known to have ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Placement {
    /// Attempt number.
    pub attempt: AttemptNumber,
    /// Worker.
    pub worker: TargetName,
    /// Size set aside on the worker.
    pub reserved: ResourceSize,
}

/// State of a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum TaskState {
    /// Waits for a start.
    Queued,
    /// An attempt was given to a worker.
    Placed,
    /// Ended with this result (JSON text).
    Finished(String),
    /// Ended without a result for this reason.
    Failed(String),
    /// Cancelled.
    Cancelled,
}

impl TaskState {
    /// Returns the name shown to callers.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Placed => "running",
            Self::Finished(_) => "finished",
            Self::Failed(_) => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Tells whether the state is final.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Queued | Self::Placed)
    }
}

/// A task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskRecord {
    /// What was submitted.
    pub body: TaskBody,
    /// Fingerprint of the body as submitted.
    pub fingerprint: BodyFingerprint,
    /// State.
    pub state: TaskState,
    /// Attempt that still occupies a worker, also after a cancellation.
    pub placement: Option<Placement>,
    /// Number of the last attempt.
    pub last_attempt: AttemptNumber,
    /// Checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// Whether the last attempt was evicted or lost its worker, so that the next one resumes.
    pub interrupted: bool,
    /// Number of evictions.
    pub evictions: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// Workers on which an attempt failed.
    pub failed_on: Vec<TargetName>,
    /// Attempt whose result is kept.
    pub finished_by: Option<AttemptNumber>,
    /// Wall clock at the acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// Wall clock at the last start.
    pub started_ms: Option<u64>,
    /// Wall clock at the end.
    pub ended_ms: Option<u64>,
}

impl TaskRecord {
    fn new(body: TaskBody, at_ms: u64) -> Self {
        Self {
            fingerprint: body.fingerprint(),
            body,
            state: TaskState::Queued,
            placement: None,
            last_attempt: 0,
            checkpoint: None,
            interrupted: false,
            evictions: 0,
            failures: 0,
            failed_on: Vec::new(),
            finished_by: None,
            accepted_ms: at_ms,
            started_ms: None,
            ended_ms: None,
        }
    }

    fn end(&mut self, state: TaskState, at_ms: u64) {
        self.state = state;
        self.ended_ms = Some(at_ms);
        self.body.input = String::new();
        self.checkpoint = None;
    }

    /// Ends the placement if it is this attempt, and queues the task unless it has ended.
    fn release(&mut self, attempt: AttemptNumber) -> Option<Placement> {
        if self.placement.as_ref()?.attempt != attempt {
            return None;
        }
        if self.state == TaskState::Placed {
            self.state = TaskState::Queued;
        }
        self.placement.take()
    }

    fn keep_checkpoint(&mut self, checkpoint: &Option<String>) {
        let Some(text) = checkpoint else { return };
        if !self.state.is_final() && text.len() <= MAX_CHECKPOINT_BYTES {
            self.checkpoint = Some(text.clone());
        }
    }
}

/// A change of the ledger.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JournalEntry {
    /// A task was accepted.
    Accepted(TaskId, TaskBody),
    /// An attempt may be sent to its worker.
    Started(TaskId, Placement),
    /// The attempt ended and never ran.
    NotRun(TaskId, AttemptNumber),
    /// The attempt failed for this reason.
    AttemptFailed(TaskId, AttemptNumber, String),
    /// The attempt lost its worker or its lease; the checkpoint is the last one reported.
    Interrupted(TaskId, AttemptNumber, Option<String>),
    /// The attempt was stopped to make room.
    Evicted(TaskId, AttemptNumber, Option<String>),
    /// The attempt completed the task with this result.
    Finished(TaskId, AttemptNumber, String),
    /// The task is given up for this reason.
    Failed(TaskId, String),
    /// The task was cancelled.
    Cancelled(TaskId),
}

impl JournalEntry {
    /// Returns the task that the entry concerns.
    pub fn task(&self) -> TaskId {
        match self {
            Self::Accepted(task, _)
            | Self::Started(task, _)
            | Self::NotRun(task, _)
            | Self::AttemptFailed(task, _, _)
            | Self::Interrupted(task, _, _)
            | Self::Evicted(task, _, _)
            | Self::Finished(task, _, _)
            | Self::Failed(task, _)
            | Self::Cancelled(task) => *task,
        }
    }

    /// Returns about how many bytes the entry takes in a segment.
    pub fn approximate_bytes(&self) -> usize {
        let text = match self {
            Self::Accepted(_, body) => body.input.len(),
            Self::Finished(_, _, text)
            | Self::AttemptFailed(_, _, text)
            | Self::Failed(_, text) => text.len(),
            Self::Interrupted(_, _, checkpoint) | Self::Evicted(_, _, checkpoint) => {
                checkpoint.as_ref().map_or(0, String::len)
            }
            Self::Started(..) | Self::NotRun(..) | Self::Cancelled(_) => 0,
        };
        text + 128
    }
}

/// Id of a journal write; tells an own write from another owner's when an answer was lost.
pub type OperationId = (OwnerEpoch, u64);

/// A journal segment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JournalSegment {
    /// Id of the write.
    pub operation: OperationId,
    /// Wall clock of the write in milliseconds, for display only.
    pub at_ms: u64,
    /// Changes in order.
    pub entries: Vec<JournalEntry>,
}

/// Head of the snapshot in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotHead {
    /// Last segment that the snapshot contains.
    pub number: u64,
    /// Number of its chunks.
    pub chunks: u32,
}

#[derive(Debug, Deserialize, Serialize)]
struct SnapshotChunk {
    tasks: Vec<(TaskId, TaskRecord)>,
    retired: Vec<TaskId>,
}

/// Returns the key of a segment.
pub fn segment_key(prefix: &str, number: u64) -> String {
    format!("{prefix}segment/{number:020}")
}

/// Returns the key of the snapshot's head.
pub fn head_key(prefix: &str) -> String {
    format!("{prefix}head")
}

/// Returns the prefix of the chunks of a snapshot.
pub fn chunk_prefix(prefix: &str, number: u64) -> String {
    format!("{prefix}snapshot/{number:020}/")
}

/// Returns the key of a chunk.
pub fn chunk_key(prefix: &str, number: u64, chunk: usize) -> String {
    format!("{}{chunk:06}", chunk_prefix(prefix, number))
}

/// The stored journal cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerError {
    /// This key holds no valid value.
    Undecodable(String),
    /// This key is missing.
    Missing(String),
}

/// A ledger read from the store.
#[derive(Debug, Default)]
pub struct StoredLedger {
    /// The ledger.
    pub ledger: TaskLedger,
    /// Head of the snapshot it was read from.
    pub head: Option<SnapshotHead>,
    /// Numbers of the segments in the store, contained in the snapshot or not.
    pub segments: BTreeSet<u64>,
}

impl StoredLedger {
    /// Restores a ledger from all values below its prefix.
    pub fn read(prefix: &str, values: &[StoreValue]) -> Result<Self, LedgerError> {
        let by_key: HashMap<&str, &Bytes> =
            values.iter().map(|value| (value.key.as_str(), &value.value)).collect();
        let mut stored = Self::default();
        let head: Option<SnapshotHead> = match by_key.get(head_key(prefix).as_str()) {
            Some(bytes) => Some(read_value(&head_key(prefix), bytes)?),
            None => None,
        };
        if let Some(head) = head {
            for chunk in 0..head.chunks as usize {
                let key = chunk_key(prefix, head.number, chunk);
                let bytes = by_key.get(key.as_str()).ok_or(LedgerError::Missing(key.clone()))?;
                stored.ledger.add_chunk(read_value(&key, bytes)?);
            }
        }
        stored.head = head;
        stored.apply_segments(prefix, values)?;
        Ok(stored)
    }

    /// Returns the number of the next segment.
    pub fn next_segment(&self) -> u64 {
        let last = self.segments.last().copied().unwrap_or(0);
        last.max(self.head.map_or(0, |head| head.number)) + 1
    }

    fn apply_segments(&mut self, prefix: &str, values: &[StoreValue]) -> Result<(), LedgerError> {
        let segment_prefix = format!("{prefix}segment/");
        let mut expected = self.head.map_or(0, |head| head.number) + 1;
        for value in values {
            let Some(number) = value.key.strip_prefix(&segment_prefix) else { continue };
            let number: u64 =
                number.parse().map_err(|_| LedgerError::Undecodable(value.key.clone()))?;
            self.segments.insert(number);
            if number < expected {
                continue;
            }
            if number > expected {
                return Err(LedgerError::Missing(segment_key(prefix, expected)));
            }
            let segment: JournalSegment = read_value(&value.key, &value.value)?;
            for entry in &segment.entries {
                self.ledger.apply(entry, segment.at_ms);
            }
            expected += 1;
        }
        Ok(())
    }
}

fn read_value<T: for<'a> Deserialize<'a>>(key: &str, bytes: &[u8]) -> Result<T, LedgerError> {
    decode(bytes).ok_or_else(|| LedgerError::Undecodable(key.to_owned()))
}

/// Tasks of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskLedger {
    tasks: BTreeMap<TaskId, TaskRecord>,
    retired: BTreeSet<TaskId>,
}

impl TaskLedger {
    /// Returns a task.
    pub fn get(&self, task: TaskId) -> Option<&TaskRecord> {
        self.tasks.get(&task)
    }

    /// Tells whether the task has ended and its record was dropped.
    pub fn is_retired(&self, task: TaskId) -> bool {
        self.retired.contains(&task)
    }

    /// Returns all tasks.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &TaskRecord)> {
        self.tasks.iter().map(|(task, record)| (*task, record))
    }

    /// Returns the ids of tasks whose records were dropped.
    pub fn retired(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.retired.iter().copied()
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Tells whether there is no task.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Drops the record of a task that has ended and keeps only its id.
    pub fn retire(&mut self, task: TaskId) {
        let Some(record) = self.tasks.get(&task) else { return };
        if record.state.is_final() && record.placement.is_none() {
            self.tasks.remove(&task);
            self.retired.insert(task);
        }
    }

    /// Drops the id of a retired task, once its ticket can no longer be in use.
    pub fn forget(&mut self, task: TaskId) {
        self.retired.remove(&task);
    }

    /// Applies a change and tells whether it had an effect. A change that does not fit the state
    /// has none, so that a late report of a past attempt is harmless.
    pub fn apply(&mut self, entry: &JournalEntry, at_ms: u64) -> bool {
        if let JournalEntry::Accepted(task, body) = entry {
            if self.tasks.contains_key(task) || self.retired.contains(task) {
                return false;
            }
            self.tasks.insert(*task, TaskRecord::new(body.clone(), at_ms));
            return true;
        }
        let Some(record) = self.tasks.get_mut(&entry.task()) else { return false };
        apply_to_record(record, entry, at_ms)
    }

    /// Encodes the ledger in chunks.
    pub fn to_chunks(&self) -> Vec<Bytes> {
        let mut chunks = Vec::new();
        let mut tasks = Vec::new();
        let mut bytes = 0;
        let mut ids: Vec<_> = self.tasks.keys().copied().collect();
        ids.sort_unstable();
        for task in ids {
            let record = &self.tasks[&task];
            let size = encode(record).len() + 20;
            if bytes + size > CHUNK_BYTES && !tasks.is_empty() {
                chunks.push(encode(&SnapshotChunk { tasks, retired: Vec::new() }));
                (tasks, bytes) = (Vec::new(), 0);
            }
            bytes += size;
            tasks.push((task, record.clone()));
        }
        chunks.push(encode(&SnapshotChunk { tasks, retired: Vec::new() }));
        let retired: Vec<_> = self.retired.iter().copied().collect();
        for part in retired.chunks(CHUNK_BYTES / 20) {
            chunks.push(encode(&SnapshotChunk { tasks: Vec::new(), retired: part.to_vec() }));
        }
        chunks
    }

    fn add_chunk(&mut self, chunk: SnapshotChunk) {
        self.tasks.extend(chunk.tasks);
        self.retired.extend(chunk.retired);
    }
}

fn apply_to_record(record: &mut TaskRecord, entry: &JournalEntry, at_ms: u64) -> bool {
    match entry {
        JournalEntry::Accepted(..) => false,
        JournalEntry::Started(_, placement) => start_record(record, placement, at_ms),
        JournalEntry::NotRun(_, attempt) => record.release(*attempt).is_some(),
        JournalEntry::AttemptFailed(_, attempt, _) => fail_attempt(record, *attempt),
        JournalEntry::Interrupted(_, attempt, checkpoint) => {
            interrupt_record(record, *attempt, checkpoint)
        }
        JournalEntry::Evicted(_, attempt, checkpoint) => {
            let evicted = interrupt_record(record, *attempt, checkpoint);
            record.evictions += u32::from(evicted && !record.state.is_final());
            evicted
        }
        JournalEntry::Finished(_, attempt, result) => {
            let released = record.release(*attempt).is_some();
            if record.state.is_final() {
                return released;
            }
            record.end(TaskState::Finished(result.clone()), at_ms);
            record.finished_by = Some(*attempt);
            true
        }
        JournalEntry::Failed(_, reason) => {
            end_unless_final(record, TaskState::Failed(reason.clone()), at_ms)
        }
        JournalEntry::Cancelled(_) => end_unless_final(record, TaskState::Cancelled, at_ms),
    }
}

fn start_record(record: &mut TaskRecord, placement: &Placement, at_ms: u64) -> bool {
    let can_start = record.state == TaskState::Queued && record.placement.is_none();
    if !can_start || placement.attempt <= record.last_attempt {
        return false;
    }
    record.last_attempt = placement.attempt;
    record.placement = Some(placement.clone());
    record.state = TaskState::Placed;
    record.interrupted = false;
    record.started_ms = Some(at_ms);
    true
}

fn fail_attempt(record: &mut TaskRecord, attempt: AttemptNumber) -> bool {
    let Some(placement) = record.release(attempt) else { return false };
    if record.state.is_final() {
        return true;
    }
    record.failures += 1;
    if !record.failed_on.contains(&placement.worker) {
        record.failed_on.push(placement.worker);
    }
    true
}

fn interrupt_record(
    record: &mut TaskRecord,
    attempt: AttemptNumber,
    checkpoint: &Option<String>,
) -> bool {
    if record.release(attempt).is_none() {
        return false;
    }
    record.keep_checkpoint(checkpoint);
    record.interrupted = !record.state.is_final();
    true
}

fn end_unless_final(record: &mut TaskRecord, state: TaskState, at_ms: u64) -> bool {
    if record.state.is_final() {
        return false;
    }
    record.end(state, at_ms);
    true
}
