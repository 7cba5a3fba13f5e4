//! Day records: counters and histograms for each profile and customer, saved to the store at
//! regular intervals.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, SystemTime},
};

use bytes::Bytes;

use crate::{
    effect::{CallOutcome, EntryEffect},
    event::ExchangeError,
    ids::{ClassName, CustomerName, ExchangeId, MonotonicTime, ProfileName, StartNumber},
    log::{RECORD_DELAYED, RECORD_SAVED},
    record::{
        day_end, day_minute, day_name, record_key, CounterKey, DayMinute, DayRecord, StoreOutage,
        StoredRecord, MAX_RECORD_BYTES,
    },
    settings::EntrySettings,
    store::{StoreCompare, StoreReply, StoreRequest, StoreValue, StoreWrite},
};

use super::{
    groups::GroupPart,
    step::{ReducerPart, StepContext},
};

/// A call that got its final answer. Only the instance to which its caller is connected counts it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSample {
    /// Name of the profile.
    pub profile: ProfileName,
    /// Name of the customer.
    pub customer: CustomerName,
    /// Class of the call.
    pub class: ClassName,
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Whether the call was done within the deadline of its profile.
    pub on_time: bool,
    /// Whether the answer confirms a booked delivery slot.
    pub confirms_slot: bool,
    /// Time from arrival to answer.
    pub elapsed: Duration,
}

/// An event of a batch task, counted by the owner of its group after the commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskEvent {
    /// The task was accepted.
    Accepted,
    /// An attempt started.
    Started,
    /// The task finished with a result.
    Finished,
    /// The task ended without a result.
    Failed,
    /// The task was cancelled.
    Cancelled,
    /// An attempt was evicted.
    Evicted,
    /// An attempt started after an eviction or the loss of a worker.
    Resumed,
    /// A second result was reported for the same task.
    Doubled,
}

/// Time between two saved records.
pub const SAVE_INTERVAL: Duration = Duration::from_secs(30);
/// Time from the start to the first saved record, so that the report includes short-lived
/// instances.
pub const FIRST_SAVE_DELAY: Duration = Duration::from_secs(1);
/// Time limit for one exchange with the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between attempts to save a record. Each attempt counts towards the rate limits of the
/// store.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Time between attempts during a planned stop, whose duration is limited.
const FINAL_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time at the end of a planned stop reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_secs(1);
/// Minimum time allowed for saving the final record, even late in a planned stop.
const MIN_FINAL_WAIT: Duration = Duration::from_secs(2);
/// Number of consecutive failed store calls that count as an outage. A single failure may be a lost
/// response.
const OUTAGE_FAILURES: u32 = 2;
/// Size in bytes reserved for an operation id: an instance name of up to 64 bytes and two numbers.
const MAX_OPERATION_BYTES: usize = 128;
/// Length of a day. Record days have no leap seconds and no daylight saving time.
const DAY: Duration = Duration::from_secs(24 * 3_600);
/// A new interval begins if the wall clock is behind the start of the current one by more than
/// this.
const MAX_CLOCK_STEP: Duration = Duration::from_secs(60);

/// Counters of the current interval, and records that are not saved yet.
#[derive(Debug)]
pub struct RecordPart {
    current: DayRecord,
    /// Number of received calls that are not answered yet.
    unanswered: BTreeMap<CounterKey, u64>,
    /// Wall-clock time of the last tick.
    last_wall: Option<SystemTime>,
    /// Time at which the current interval is closed and saved.
    next_close: MonotonicTime,
    unsaved: VecDeque<DayRecord>,
    save: Option<PendingSave>,
    next_sequence: u64,
    last_saved: Option<SystemTime>,
    outage: OutageTracker,
    drain_since: Option<MonotonicTime>,
    final_save: Option<FinalSave>,
}

/// A record that is being saved. Its key and bytes stay the same until the outcome of the write is
/// known, so a delayed copy of an earlier attempt can only write the same record.
#[derive(Debug)]
struct PendingSave {
    key: String,
    operation: String,
    value: Bytes,
    to: SystemTime,
    delayed: bool,
    state: SaveState,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum SaveState {
    Writing(ExchangeId),
    Reading(ExchangeId),
    Paused { until: MonotonicTime, read_first: bool },
}

#[derive(Debug, Default)]
struct OutageTracker {
    failures: u32,
    since: Option<SystemTime>,
}

#[derive(Debug)]
struct FinalSave {
    deadline: MonotonicTime,
    exited: bool,
}

impl RecordPart {
    /// Creates the part with an empty interval.
    pub fn new(settings: &EntrySettings, start: StartNumber) -> Self {
        let epoch = SystemTime::UNIX_EPOCH;
        Self {
            current: DayRecord::new(&settings.instance, &settings.zone, start, epoch),
            unanswered: BTreeMap::new(),
            last_wall: None,
            next_close: MonotonicTime::ZERO,
            unsaved: VecDeque::new(),
            save: None,
            next_sequence: 0,
            last_saved: None,
            outage: OutageTracker::default(),
            drain_since: None,
            final_save: None,
        }
    }

    /// Counts a call on arrival. If this instance crashes, the saved record shows the call as
    /// unanswered.
    pub fn count_received(&mut self, profile: &str, customer: &str) {
        self.current.calls_mut(profile, customer).received += 1;
        *self.unanswered.entry(CounterKey::new(profile, customer)).or_default() += 1;
    }

    /// Counts the answer of a call that was counted on arrival.
    pub fn count_call(&mut self, sample: &CallSample) {
        let key = CounterKey::new(&sample.profile, &sample.customer);
        if let Some(unanswered) = self.unanswered.get_mut(&key) {
            *unanswered -= 1;
            self.unanswered.retain(|_, unanswered| *unanswered > 0);
        }
        let minute = self.minute();
        self.current.calls_mut(&sample.profile, &sample.customer).count(sample, minute);
    }

    /// Counts the delay of a short call that waited while long calls occupied slots of its group.
    pub fn count_short_delay(&mut self, profile: &str, customer: &str, delay: Duration) {
        self.current.calls_mut(profile, customer).short_delay.record(delay);
    }

    /// Counts an event of a batch task; `elapsed` is the time since the task was accepted.
    pub fn count_task(
        &mut self,
        profile: &str,
        customer: &str,
        event: TaskEvent,
        elapsed: Duration,
    ) {
        let minute = self.minute();
        self.current.tasks_mut(profile, customer).count(event, elapsed, minute);
    }

    /// Updates the store outage from the result of a store call of any part.
    pub fn observe_store(&mut self, step: &StepContext, error: Option<ExchangeError>) {
        // A status below 500 refuses the request but shows that the store is available.
        let answered = matches!(error, None | Some(ExchangeError::Refused(..500)));
        if !answered {
            self.outage.failures += 1;
            self.outage.since.get_or_insert(step.wall());
            return;
        }
        self.record_outage(step.wall());
        self.outage = OutageTracker::default();
    }

    /// Handles the end of an exchange with the store.
    pub fn on_store_ended(
        &mut self,
        step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<StoreReply, ExchangeError>,
    ) {
        match self.save.as_ref().map(|save| save.state) {
            Some(SaveState::Writing(own)) if own == exchange => self.on_written(step, result),
            Some(SaveState::Reading(own)) if own == exchange => self.on_read_back(step, result),
            _ => {}
        }
    }

    /// Closes the interval and saves its record when due. During a planned stop, exits once all
    /// records are saved.
    pub fn on_tick(&mut self, step: &mut StepContext, groups: &GroupPart) {
        let now = step.now();
        if groups.is_draining() {
            self.drain_since.get_or_insert(now);
        }
        self.roll_interval(step, groups);
        if self.final_save.is_none() && now >= self.next_close {
            self.close_interval(step, groups, step.wall(), step.wall());
            self.next_close = now + SAVE_INTERVAL;
        }
        self.continue_save(step);
        self.save_late_counts(step, groups);
        self.exit_when_saved(step);
    }

    /// Saves the final record of a planned stop. The process exits once it is saved and all calls
    /// are answered, or at the deadline set here.
    pub fn save_final(&mut self, step: &mut StepContext, groups: &GroupPart) {
        if self.final_save.is_some() {
            return;
        }
        let now = step.now();
        let bound = self.drain_since.unwrap_or(now) + step.settings.drain_timeout();
        // While the store is down the final record cannot be saved, so there is no wait beyond the
        // time limit.
        let last_wait =
            if self.outage.failures >= OUTAGE_FAILURES { now } else { now + MIN_FINAL_WAIT };
        let deadline = bound.saturating_sub(EXIT_MARGIN).max(last_wait.min(bound.max(now)));
        self.final_save = Some(FinalSave { deadline, exited: false });
        self.current.is_final = true;
        self.close_interval(step, groups, step.wall(), step.wall());
        self.continue_save(step);
    }

    /// Returns the time limit of a planned stop.
    pub fn exit_deadline(&self, step: &StepContext) -> MonotonicTime {
        self.drain_since.unwrap_or(step.now()) + step.settings.drain_timeout()
    }

    /// Returns the status of saved and unsaved records as JSON.
    pub fn status(&self) -> serde_json::Value {
        let seconds = |wall: SystemTime| {
            wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
        };
        serde_json::json!({
            "saved_until": self.last_saved.map(seconds),
            "next_sequence": self.next_sequence,
            "unsaved_records": self.unsaved.len() + usize::from(self.save.is_some()),
            "store_failures_in_a_row": self.outage.failures,
        })
    }

    fn minute(&self) -> DayMinute {
        day_minute(self.last_wall.unwrap_or(self.current.from).max(self.current.from))
    }

    /// Begins a new interval at the first tick, at the end of a day, and after the wall clock was
    /// set back to more than [`MAX_CLOCK_STEP`] before the start of the current one.
    fn roll_interval(&mut self, step: &mut StepContext, groups: &GroupPart) {
        let wall = step.wall();
        let Some(last) = self.last_wall.replace(wall) else {
            self.begin_first_interval(step.now(), wall);
            return;
        };
        let end = day_end(self.current.from);
        if wall >= end {
            // After a jump over several days the next interval begins with the current day. The
            // skipped days get no record.
            let next = end.max(day_end(wall) - DAY);
            self.close_interval(step, groups, end, next);
        } else if wall + MAX_CLOCK_STEP < self.current.from {
            self.close_interval(step, groups, last, wall);
        }
    }

    /// Sets the start of the first interval. Counts made before the first tick, when the wall-clock
    /// time was unknown, are assigned to the minute of that start.
    fn begin_first_interval(&mut self, now: MonotonicTime, wall: SystemTime) {
        let minute = day_minute(wall);
        self.current.from = wall;
        for counters in self.current.calls.values_mut() {
            let early = std::mem::take(&mut counters.minutes).into_values();
            counters.minutes = early.map(|counts| (minute, counts)).collect();
        }
        for counters in self.current.tasks.values_mut() {
            let early = std::mem::take(&mut counters.accepted_minutes).into_values();
            counters.accepted_minutes = early.map(|count| (minute, count)).collect();
            let early = std::mem::take(&mut counters.doubled_minutes).into_values();
            counters.doubled_minutes = early.map(|count| (minute, count)).collect();
        }
        self.next_close = now + FIRST_SAVE_DELAY;
    }

    /// Closes the current interval at `end` and begins the next one at `next`.
    fn close_interval(
        &mut self,
        step: &StepContext,
        groups: &GroupPart,
        end: SystemTime,
        next: SystemTime,
    ) {
        let wall = step.wall();
        for (peer, silent) in groups.peers_heard(step.now()) {
            self.current.record_peer_heard(peer, heard_at(wall, silent));
        }
        let end = end.max(self.current.from);
        self.record_outage(end);
        let next_record =
            DayRecord::new(&self.current.instance, &self.current.zone, self.current.start, next);
        let mut record = std::mem::replace(&mut self.current, next_record);
        record.to = end;
        if record.day() != day_name(next) {
            // These calls will be answered on the new day, so the record of that day has to count
            // them as received too.
            for (key, unanswered) in &self.unanswered {
                self.current.calls_mut(&key.profile, &key.customer).received += unanswered;
            }
        }
        self.queue_record(record);
    }

    /// Adds the current outage of the store, up to `to`, to the current record.
    fn record_outage(&mut self, to: SystemTime) {
        let Some(since) = self.outage.since else { return };
        let from = since.max(self.current.from);
        if self.outage.failures >= OUTAGE_FAILURES && from <= to {
            self.current.add_outage(StoreOutage { from, to });
        }
    }

    /// Queues a record for saving. It is merged with the last queued one of the same day if the
    /// result still fits into one value of the store.
    fn queue_record(&mut self, record: DayRecord) {
        if let Some(last) = self.unsaved.back() {
            if last.day() == record.day() {
                let mut merged = last.clone();
                merged.merge(&record);
                if encoded_bytes(&merged) <= MAX_RECORD_BYTES {
                    self.unsaved.pop_back();
                    self.unsaved.push_back(merged);
                    return;
                }
            }
        }
        self.queue_split(record);
    }

    fn queue_split(&mut self, record: DayRecord) {
        if !record.can_split() || encoded_bytes(&record) <= MAX_RECORD_BYTES {
            self.unsaved.push_back(record);
            return;
        }
        let (first, rest) = record.split();
        self.queue_split(first);
        self.queue_split(rest);
    }

    /// Starts saving the oldest queued record, or retries the current save after its pause.
    fn continue_save(&mut self, step: &mut StepContext) {
        if self.save.is_none() {
            let Some(record) = self.unsaved.pop_front() else { return };
            self.save = Some(self.new_save(record));
        }
        let Some(save) = &mut self.save else { return };
        let SaveState::Paused { until, read_first } = save.state else { return };
        if step.now() < until {
            return;
        }
        let exchange = step.begin_exchange(ReducerPart::Records);
        let request = if read_first {
            save.state = SaveState::Reading(exchange);
            StoreRequest::Range { key: save.key.clone(), prefix: false }
        } else {
            save.state = SaveState::Writing(exchange);
            save.write_request()
        };
        step.push(EntryEffect::CallStore { exchange, request, timeout: STORE_TIMEOUT });
    }

    fn new_save(&mut self, record: DayRecord) -> PendingSave {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let operation = format!("{}.{}.{sequence}", record.instance, record.start);
        let key = record_key(&record.day(), &record.instance, record.start, sequence);
        let to = record.to;
        let stored = StoredRecord { operation: operation.clone(), record };
        PendingSave {
            key,
            operation,
            value: Bytes::from(stored.encode()),
            to,
            delayed: false,
            state: SaveState::Paused { until: MonotonicTime::ZERO, read_first: false },
        }
    }

    fn on_written(&mut self, step: &mut StepContext, result: Result<StoreReply, ExchangeError>) {
        match result {
            Ok(StoreReply::Txn { succeeded: true, .. }) => self.on_saved(step),
            Ok(StoreReply::Txn { values, .. }) => self.resolve_write(step, &values),
            Err(ExchangeError::NotSent | ExchangeError::Refused(_)) => self.pause(step, false),
            Ok(_) | Err(ExchangeError::Lost) => self.pause(step, true),
        }
    }

    fn on_read_back(&mut self, step: &mut StepContext, result: Result<StoreReply, ExchangeError>) {
        match result {
            Ok(StoreReply::Range { values, .. }) => self.resolve_write(step, &values),
            _ => self.pause(step, true),
        }
    }

    /// Determines from the value stored under the key whether the write took effect.
    fn resolve_write(&mut self, step: &mut StepContext, values: &[StoreValue]) {
        let Some(save) = &mut self.save else { return };
        let Some(value) = values.iter().find(|value| value.key == save.key) else {
            save.state = SaveState::Paused { until: step.now(), read_first: false };
            self.continue_save(step);
            return;
        };
        let stored = StoredRecord::decode(&value.value);
        if stored.as_ref().is_ok_and(|stored| stored.operation == save.operation) {
            self.on_saved(step);
            return;
        }
        // Another process used the same name and start number. Its record is kept, and this one is
        // saved under the next sequence.
        let own = StoredRecord::decode(&save.value).map(|stored| stored.record);
        step.log(RECORD_DELAYED, format!("key {} holds the record of another process", save.key));
        self.save = own.ok().map(|record| self.new_save(record));
        self.continue_save(step);
    }

    fn on_saved(&mut self, step: &mut StepContext) {
        let Some(save) = self.save.take() else { return };
        self.last_saved = Some(save.to);
        step.log(RECORD_SAVED, save.key);
        self.continue_save(step);
    }

    fn pause(&mut self, step: &mut StepContext, read_first: bool) {
        let pause = if self.final_save.is_some() { FINAL_RETRY_PAUSE } else { RETRY_PAUSE };
        let Some(save) = &mut self.save else { return };
        save.state = SaveState::Paused { until: step.now() + pause, read_first };
        if !std::mem::replace(&mut save.delayed, true) {
            step.log(RECORD_DELAYED, save.key.clone());
        }
    }

    /// Saves counts made after the final record. Requests received before the sockets were closed
    /// may be answered after that record.
    fn save_late_counts(&mut self, step: &mut StepContext, groups: &GroupPart) {
        let counted = !self.current.calls.is_empty() || !self.current.tasks.is_empty();
        let stopping = self.final_save.as_ref().is_some_and(|last| !last.exited);
        let in_time = step.now() < self.exit_deadline(step);
        if stopping && in_time && counted && self.save.is_none() && self.unsaved.is_empty() {
            self.current.is_final = true;
            self.close_interval(step, groups, step.wall(), step.wall());
            self.continue_save(step);
        }
    }

    fn exit_when_saved(&mut self, step: &mut StepContext) {
        let saved = self.save.is_none() && self.unsaved.is_empty();
        // After the time limit the reducer itself ends the remaining calls.
        let ended = self.unanswered.is_empty() || step.now() >= self.exit_deadline(step);
        let Some(last) = self.final_save.as_mut().filter(|last| !last.exited) else { return };
        if !(saved && ended) && step.now() < last.deadline {
            return;
        }
        last.exited = true;
        if !saved {
            step.log(RECORD_DELAYED, "the planned stop ended before the final record was saved");
        }
        step.push(EntryEffect::Exit);
    }
}

impl PendingSave {
    fn write_request(&self) -> StoreRequest {
        let value = self.value.clone();
        StoreRequest::Txn {
            compares: vec![StoreCompare::ModRevision(self.key.clone(), 0)],
            then: vec![StoreWrite::Put { key: self.key.clone(), value, lease: None }],
            otherwise: vec![self.key.clone()],
        }
    }
}

/// Returns the encoded size of a record in bytes, including space for its operation id.
fn encoded_bytes(record: &DayRecord) -> usize {
    let stored = StoredRecord { operation: String::new(), record: record.clone() };
    stored.encode().len() + MAX_OPERATION_BYTES
}

/// Returns the wall-clock time of a peer's last heartbeat, at least 1970: earlier times cannot be
/// encoded.
fn heard_at(wall: SystemTime, silent: Duration) -> SystemTime {
    wall.checked_sub(silent).unwrap_or(wall).max(SystemTime::UNIX_EPOCH)
}
