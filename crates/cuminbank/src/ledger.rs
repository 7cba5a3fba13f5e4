//! Task ledger of a group: states and attempts of its tasks, stored as journal segments and
//! snapshots.
//!
//! The ledger is a fold over its journal entries. Every owner that applies the snapshot and the
//! later segments in order reaches the same state.

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

/// Maximum length of a task's input or result in bytes. Together with the segment limit it keeps
/// every value below the store's limit of 1 MB.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Maximum length of a checkpoint in bytes; a longer one is ignored.
pub const MAX_CHECKPOINT_BYTES: usize = 64 * 1024;
/// Size in bytes at which a snapshot chunk is closed. A larger record is stored in a chunk of its
/// own.
const CHUNK_BYTES: usize = 128 * 1024;

/// Id of a task within its group: its ticket without zone and group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// Owner epoch under which the ticket was issued.
    pub epoch: OwnerEpoch,
    /// Sequence number of the ticket in its epoch.
    pub sequence: u64,
}

impl TaskId {
    /// Returns the id of the task that was submitted with a ticket.
    pub fn of(ticket: &RequestTicket) -> Self {
        Self { epoch: ticket.epoch, sequence: ticket.sequence }
    }

    /// Returns the ticket of the task, with the zone and group of its ledger.
    pub fn ticket(self, zone: &str, group: GroupIndex) -> RequestTicket {
        RequestTicket { zone: zone.to_owned(), group, epoch: self.epoch, sequence: self.sequence }
    }
}

/// Content of a submitted task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskBody {
    /// Profile that the task was submitted under.
    pub profile: ProfileName,
    /// Customer that submitted the task.
    pub customer: CustomerName,
    /// Class of work, by which sizes, run times and interference are learned.
    pub class: ClassName,
    /// Size declared by the caller.
    pub size: ResourceSize,
    /// Run time declared by the caller, in milliseconds.
    pub declared_run_ms: Option<u64>,
    /// Input as JSON text; cleared when the task ends.
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

/// CRC-32 and length of an encoded body. It detects a ticket that is submitted again with another
/// body.
pub type BodyFingerprint = (u32, u32);

impl TaskBody {
    /// Returns the fingerprint of the encoded body.
    pub fn fingerprint(&self) -> BodyFingerprint {
        let bytes = encode(self);
        (crc32fast::hash(&bytes), bytes.len() as u32)
    }
}

/// Attempt that occupies a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Placement {
    /// Number of the attempt, from 1.
    pub attempt: AttemptNumber,
    /// Worker that the attempt is placed on.
    pub worker: TargetName,
    /// Size reserved on the worker.
    pub reserved: ResourceSize,
}

/// State of a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum TaskState {
    /// Waiting to be placed on a worker.
    Queued,
    /// Placed on a worker; the attempt has possibly not started yet.
    Placed,
    /// Finished with this result, as JSON text.
    Finished(String),
    /// Failed for good, for this reason.
    Failed(String),
    /// Cancelled by its caller.
    Cancelled,
}

impl TaskState {
    /// Returns the state name shown to callers.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Placed => "running",
            Self::Finished(_) => "finished",
            Self::Failed(_) => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns whether the task has ended.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Queued | Self::Placed)
    }
}

/// Record of a task in the ledger.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskRecord {
    /// Content of the submitted task.
    pub body: TaskBody,
    /// Fingerprint of the body as it was submitted.
    pub fingerprint: BodyFingerprint,
    /// Current state.
    pub state: TaskState,
    /// Attempt that occupies a worker. It can outlast the end of the task, for instance after a
    /// cancellation.
    pub placement: Option<Placement>,
    /// Number of the last attempt; 0 before the first.
    pub last_attempt: AttemptNumber,
    /// Checkpoint that the next attempt resumes from.
    pub checkpoint: Option<String>,
    /// Whether the last attempt was evicted or lost its worker, so that the next start counts as a
    /// resume.
    pub interrupted: bool,
    /// Number of evicted attempts.
    pub evictions: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// Workers on which an attempt failed, without duplicates.
    pub failed_on: Vec<TargetName>,
    /// Attempt whose result was recorded.
    pub finished_by: Option<AttemptNumber>,
    /// Wall-clock time of the acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Wall-clock time of the last start, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// Wall-clock time of the end, in milliseconds since the Unix epoch.
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

    /// Removes the placement if it belongs to `attempt`, and queues the task again unless it has
    /// ended.
    fn release(&mut self, attempt: AttemptNumber) -> Option<Placement> {
        if self.placement.as_ref()?.attempt != attempt {
            return None;
        }
        if self.state == TaskState::Placed {
            self.state = TaskState::Queued;
        }
        self.placement.take()
    }

    fn store_checkpoint(&mut self, checkpoint: &Option<String>) {
        let Some(text) = checkpoint else { return };
        if !self.state.is_final() && text.len() <= MAX_CHECKPOINT_BYTES {
            self.checkpoint = Some(text.clone());
        }
    }
}

/// A change of one task, the unit of the journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JournalEntry {
    /// The task was accepted.
    Accepted(TaskId, TaskBody),
    /// An attempt was placed. Its start may be sent once this entry is committed.
    Started(TaskId, Placement),
    /// The attempt ended without having run.
    NotRun(TaskId, AttemptNumber),
    /// The attempt failed for this reason.
    AttemptFailed(TaskId, AttemptNumber, String),
    /// The attempt lost its worker or its lease; with the last known checkpoint.
    Interrupted(TaskId, AttemptNumber, Option<String>),
    /// The attempt was stopped by the scheduler, because of a slowdown or a leaving worker; with
    /// its checkpoint.
    Evicted(TaskId, AttemptNumber, Option<String>),
    /// The attempt completed the task with this result.
    Finished(TaskId, AttemptNumber, String),
    /// The task failed for good, for this reason.
    Failed(TaskId, String),
    /// The task was cancelled.
    Cancelled(TaskId),
}

impl JournalEntry {
    /// Returns the task that the entry changes.
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

    /// Returns the approximate encoded size of the entry in bytes.
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

/// Id of a journal write: owner epoch and a number. After a lost answer it distinguishes a write of
/// this owner from that of another owner.
pub type OperationId = (OwnerEpoch, u64);

/// Entries that are committed with one write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JournalSegment {
    /// Id of the write that committed the segment.
    pub operation: OperationId,
    /// Wall-clock time of the write in milliseconds since the Unix epoch, for display only.
    pub at_ms: u64,
    /// Entries in the order of application.
    pub entries: Vec<JournalEntry>,
}

/// Head of the current snapshot. A snapshot takes effect when its head is written.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotHead {
    /// Number of the last segment contained in the snapshot.
    pub number: u64,
    /// Number of chunks of the snapshot.
    pub chunks: u32,
}

#[derive(Debug, Deserialize, Serialize)]
struct SnapshotChunk {
    tasks: Vec<(TaskId, TaskRecord)>,
    retired: Vec<TaskId>,
}

/// Returns the store key of a segment.
pub fn segment_key(prefix: &str, number: u64) -> String {
    format!("{prefix}segment/{number:020}")
}

/// Returns the store key of the snapshot head.
pub fn head_key(prefix: &str) -> String {
    format!("{prefix}head")
}

/// Returns the key prefix of the chunks of a snapshot.
pub fn chunk_prefix(prefix: &str, number: u64) -> String {
    format!("{prefix}snapshot/{number:020}/")
}

/// Returns the store key of a snapshot chunk.
pub fn chunk_key(prefix: &str, number: u64, chunk: usize) -> String {
    format!("{}{chunk:06}", chunk_prefix(prefix, number))
}

/// Error in the stored journal; the ledger cannot be restored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerError {
    /// The value of this key cannot be decoded.
    Undecodable(String),
    /// This key is required and missing.
    Missing(String),
}

/// A ledger restored from the store.
#[derive(Debug, Default)]
pub struct StoredLedger {
    /// The restored ledger.
    pub ledger: TaskLedger,
    /// Head of the snapshot that it was restored from, if there is one.
    pub head: Option<SnapshotHead>,
    /// Numbers of all segments in the store, whether or not the snapshot contains them.
    pub segments: BTreeSet<u64>,
}

impl StoredLedger {
    /// Restores a ledger from all values below its prefix, sorted by key.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError::Missing`] if a chunk or segment is absent and
    /// [`LedgerError::Undecodable`] if a key or value is invalid.
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

    /// Returns the number of the next segment to write.
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

/// Tasks of a group, and the ids of tasks whose records were dropped.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskLedger {
    tasks: BTreeMap<TaskId, TaskRecord>,
    retired: BTreeSet<TaskId>,
}

impl TaskLedger {
    /// Looks up the record of a task.
    pub fn get(&self, task: TaskId) -> Option<&TaskRecord> {
        self.tasks.get(&task)
    }

    /// Returns whether the task has ended and only its id is kept.
    pub fn is_retired(&self, task: TaskId) -> bool {
        self.retired.contains(&task)
    }

    /// Returns all tasks that have a record, ordered by id.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskId, &TaskRecord)> {
        self.tasks.iter().map(|(task, record)| (*task, record))
    }

    /// Returns the ids of the tasks whose records were dropped, in ascending order.
    pub fn retired(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.retired.iter().copied()
    }

    /// Returns the number of tasks that have a record.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether no task has a record.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Drops the record of a task and keeps its id. Does nothing unless the task has ended and no
    /// attempt of it occupies a worker.
    pub fn retire(&mut self, task: TaskId) {
        let Some(record) = self.tasks.get(&task) else { return };
        if record.state.is_final() && record.placement.is_none() {
            self.tasks.remove(&task);
            self.retired.insert(task);
        }
    }

    /// Drops the id of a retired task, once its ticket has expired.
    pub fn remove_retired(&mut self, task: TaskId) {
        self.retired.remove(&task);
    }

    /// Applies an entry and returns whether it had an effect. An entry that is not valid in the
    /// current state of its task has none, so a late report of an earlier attempt is ignored.
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

    /// Encodes the ledger as the chunks of a snapshot.
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
    record.store_checkpoint(checkpoint);
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
