//! Day records: the counters of one instance over an interval, which the daily report merges.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};
use time::{Date, OffsetDateTime, PrimitiveDateTime, Time};

use crate::{
    effect::CallOutcome,
    histogram::{TimeHistogram, COARSE_DIGITS, FINE_DIGITS},
    ids::{CustomerName, InstanceName, ProfileName, StartNumber, ZoneName},
    reducer::records::{CallSample, TaskEvent},
    store::DAY_PREFIX,
};

/// Maximum size of an encoded record, in bytes. The store accepts values up to 1 MB.
pub const MAX_RECORD_BYTES: usize = 1_000_000;
/// Maximum number of (profile, customer) pairs in a record. Callers choose the customer names, so
/// without a limit a single caller could exhaust the memory of an instance.
pub const MAX_COUNTER_KEYS: usize = 1_000;
/// Customer name under which further customers are counted together once a record has
/// [`MAX_COUNTER_KEYS`] pairs.
pub const OTHER_CUSTOMER: &str = "(other)";
/// Maximum number of store outages in a record; a further outage extends the last one.
const MAX_OUTAGES: usize = 200;
/// Version of the encoding, written as the first byte of a stored record.
const RECORD_VERSION: u8 = 1;

/// Minute of the day in UTC, counted from 0.
pub type DayMinute = u16;

/// Profile and customer, the key of all counters.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CounterKey {
    /// Name of the profile.
    pub profile: ProfileName,
    /// Name of the customer.
    pub customer: CustomerName,
}

impl CounterKey {
    /// Creates the key of a profile and customer.
    pub fn new(profile: &str, customer: &str) -> Self {
        Self { profile: profile.to_owned(), customer: customer.to_owned() }
    }
}

/// Counters of the calls that were answered in one minute.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MinuteCounters {
    /// Calls that got their final answer in the minute, whenever they arrived.
    pub received: u64,
    /// Of these, calls completed after the deadline.
    pub late: u64,
    /// Of these, refused calls.
    pub refused: u64,
    /// Of these, calls with an unknown outcome.
    pub unknown: u64,
    /// Of these, calls that confirmed a booked delivery slot after the deadline.
    pub slots_late: u64,
    /// Response times of the calls that an executor completed.
    pub latency: TimeHistogram,
}

impl Default for MinuteCounters {
    fn default() -> Self {
        Self {
            received: 0,
            late: 0,
            refused: 0,
            unknown: 0,
            slots_late: 0,
            latency: TimeHistogram::new(COARSE_DIGITS),
        }
    }
}

impl MinuteCounters {
    /// Adds the counters of another instance or interval.
    pub fn merge(&mut self, other: &Self) {
        self.received += other.received;
        self.late += other.late;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.slots_late += other.slots_late;
        self.latency.merge(&other.latency);
    }
}

/// Counters of the urgent calls of a profile and customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallCounters {
    /// Calls that arrived: the sum of the next four counters and of the calls without an answer.
    pub received: u64,
    /// Calls completed within the deadline.
    pub on_time: u64,
    /// Calls completed after the deadline.
    pub late: u64,
    /// Calls that were refused and not run.
    pub refused: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Calls that confirmed a booked delivery slot within the deadline, which the report counts as
    /// delivered as booked.
    pub slots_on_time: u64,
    /// Calls that confirmed a booked delivery slot after the deadline.
    pub slots_late: u64,
    /// Response times of the calls that an executor completed.
    pub latency: TimeHistogram,
    /// Waiting times of short calls behind long ones.
    pub short_delay: TimeHistogram,
    /// Counters by minute of the day.
    pub minutes: BTreeMap<DayMinute, MinuteCounters>,
}

impl Default for CallCounters {
    fn default() -> Self {
        Self {
            received: 0,
            on_time: 0,
            late: 0,
            refused: 0,
            unknown: 0,
            slots_on_time: 0,
            slots_late: 0,
            latency: TimeHistogram::new(FINE_DIGITS),
            short_delay: TimeHistogram::new(FINE_DIGITS),
            minutes: BTreeMap::new(),
        }
    }
}

impl CallCounters {
    /// Counts the final answer, given in `minute`, of a call that was already counted as received.
    pub fn count(&mut self, sample: &CallSample, minute: DayMinute) {
        let done = matches!(sample.outcome, CallOutcome::Done | CallOutcome::Accepted);
        let late = done && !sample.on_time;
        let slot = done && sample.confirms_slot;
        let refused = sample.outcome == CallOutcome::NotRun;
        let unknown = sample.outcome == CallOutcome::Unknown;
        self.on_time += u64::from(done && !late);
        self.late += u64::from(late);
        self.refused += u64::from(refused);
        self.unknown += u64::from(unknown);
        self.slots_on_time += u64::from(slot && !late);
        self.slots_late += u64::from(slot && late);
        let minute = self.minutes.entry(minute).or_default();
        minute.received += 1;
        minute.late += u64::from(late);
        minute.refused += u64::from(refused);
        minute.unknown += u64::from(unknown);
        minute.slots_late += u64::from(slot && late);
        if done {
            self.latency.record(sample.elapsed);
            minute.latency.record(sample.elapsed);
        }
    }

    /// Adds the counters of another instance or interval.
    pub fn merge(&mut self, other: &Self) {
        self.received += other.received;
        self.on_time += other.on_time;
        self.late += other.late;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.slots_on_time += other.slots_on_time;
        self.slots_late += other.slots_late;
        self.latency.merge(&other.latency);
        self.short_delay.merge(&other.short_delay);
        for (minute, counters) in &other.minutes {
            self.minutes.entry(*minute).or_default().merge(counters);
        }
    }

    /// Returns the number of calls with a recorded answer.
    pub fn answered(&self) -> u64 {
        self.on_time + self.late + self.refused + self.unknown
    }

    /// Returns the number of calls that were received and have no recorded answer.
    pub fn unanswered(&self) -> u64 {
        self.received.saturating_sub(self.answered())
    }

    /// Returns the counters of all minutes together.
    pub fn in_minutes(&self) -> MinuteCounters {
        let mut sum = MinuteCounters::default();
        for counters in self.minutes.values() {
            sum.merge(counters);
        }
        sum
    }

    /// Returns whether no more answers than received calls are counted, and the totals agree with
    /// each other and with the minutes.
    pub fn is_consistent(&self) -> bool {
        let minutes = self.in_minutes();
        let totals = (self.answered(), self.late, self.refused, self.unknown, self.slots_late);
        let done = self.on_time + self.late;
        self.answered() <= self.received
            && totals
                == (
                    minutes.received,
                    minutes.late,
                    minutes.refused,
                    minutes.unknown,
                    minutes.slots_late,
                )
            && self.slots_on_time <= self.on_time
            && self.slots_late <= self.late
            && (self.latency.count(), minutes.latency.count()) == (done, done)
    }
}

/// Counters of the batch tasks of a profile and customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskCounters {
    /// Accepted tasks.
    pub accepted: u64,
    /// Started attempts.
    pub started: u64,
    /// Finished tasks.
    pub finished: u64,
    /// Tasks that ended without a result.
    pub failed: u64,
    /// Cancelled tasks.
    pub cancelled: u64,
    /// Evictions of running tasks.
    pub evicted: u64,
    /// Attempts started after an eviction or the loss of a worker.
    pub resumed: u64,
    /// Second results reported for finished tasks.
    pub doubled: u64,
    /// Times from the acceptance to the end of finished tasks.
    pub elapsed: TimeHistogram,
    /// Accepted tasks by minute, from which the report finds tasks past their deadline.
    pub accepted_minutes: BTreeMap<DayMinute, u64>,
    /// Second results by the minute in which they were reported.
    pub doubled_minutes: BTreeMap<DayMinute, u64>,
}

impl Default for TaskCounters {
    fn default() -> Self {
        Self {
            accepted: 0,
            started: 0,
            finished: 0,
            failed: 0,
            cancelled: 0,
            evicted: 0,
            resumed: 0,
            doubled: 0,
            elapsed: TimeHistogram::new(FINE_DIGITS),
            accepted_minutes: BTreeMap::new(),
            doubled_minutes: BTreeMap::new(),
        }
    }
}

impl TaskCounters {
    /// Counts an event of a task that happened in `minute`; `elapsed` is the time since the task
    /// was accepted and is recorded only for finished tasks.
    pub fn count(&mut self, event: TaskEvent, elapsed: Duration, minute: DayMinute) {
        match event {
            TaskEvent::Accepted => {
                self.accepted += 1;
                *self.accepted_minutes.entry(minute).or_default() += 1;
            }
            TaskEvent::Started => self.started += 1,
            TaskEvent::Finished => {
                self.finished += 1;
                self.elapsed.record(elapsed);
            }
            TaskEvent::Failed => self.failed += 1,
            TaskEvent::Cancelled => self.cancelled += 1,
            TaskEvent::Evicted => self.evicted += 1,
            TaskEvent::Resumed => self.resumed += 1,
            TaskEvent::Doubled => {
                self.doubled += 1;
                *self.doubled_minutes.entry(minute).or_default() += 1;
            }
        }
    }

    /// Adds the counters of another instance or interval.
    pub fn merge(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.started += other.started;
        self.finished += other.finished;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.evicted += other.evicted;
        self.resumed += other.resumed;
        self.doubled += other.doubled;
        self.elapsed.merge(&other.elapsed);
        for (minute, accepted) in &other.accepted_minutes {
            *self.accepted_minutes.entry(*minute).or_default() += accepted;
        }
        for (minute, doubled) in &other.doubled_minutes {
            *self.doubled_minutes.entry(*minute).or_default() += doubled;
        }
    }

    /// Returns the number of tasks that ended.
    pub fn ended(&self) -> u64 {
        self.finished + self.failed + self.cancelled
    }
}

/// Period in which the store did not answer an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreOutage {
    /// Time of the first request without an answer.
    pub from: SystemTime,
    /// Time of the next answer, or the end of the record's interval if there was none.
    pub to: SystemTime,
}

/// Counters of one process over an interval within one day.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DayRecord {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Zone of the instance.
    pub zone: ZoneName,
    /// Start number of the process.
    pub start: StartNumber,
    /// Start of the interval.
    pub from: SystemTime,
    /// End of the interval, at most the end of the day of `from`.
    pub to: SystemTime,
    /// Whether this is the last record of a process that ended by a planned stop.
    pub is_final: bool,
    /// Peers, each with the time of its last heartbeat.
    pub peers: BTreeMap<InstanceName, SystemTime>,
    /// Outages of the store in the interval.
    pub outages: Vec<StoreOutage>,
    /// Counters of urgent calls.
    pub calls: BTreeMap<CounterKey, CallCounters>,
    /// Counters of batch tasks.
    pub tasks: BTreeMap<CounterKey, TaskCounters>,
}

impl DayRecord {
    /// Creates an empty record of an interval that starts at `from`.
    pub fn new(instance: &str, zone: &str, start: StartNumber, from: SystemTime) -> Self {
        Self {
            instance: instance.to_owned(),
            zone: zone.to_owned(),
            start,
            from,
            to: from,
            is_final: false,
            peers: BTreeMap::new(),
            outages: Vec::new(),
            calls: BTreeMap::new(),
            tasks: BTreeMap::new(),
        }
    }

    /// Returns the day of the interval in UTC as `YYYY-MM-DD`.
    pub fn day(&self) -> String {
        day_name(self.from)
    }

    /// Returns the call counters of a profile and customer, creating them if needed.
    pub fn calls_mut(&mut self, profile: &str, customer: &str) -> &mut CallCounters {
        let key = bounded_key(&self.calls, profile, customer);
        self.calls.entry(key).or_default()
    }

    /// Returns the task counters of a profile and customer, creating them if needed.
    pub fn tasks_mut(&mut self, profile: &str, customer: &str) -> &mut TaskCounters {
        let key = bounded_key(&self.tasks, profile, customer);
        self.tasks.entry(key).or_default()
    }

    /// Records the time of a heartbeat of a peer; only the latest one is kept.
    pub fn record_peer_heard(&mut self, peer: InstanceName, heard: SystemTime) {
        let last = self.peers.entry(peer).or_insert(heard);
        *last = heard.max(*last);
    }

    /// Adds an outage of the store. An outage that overlaps the last one, or that exceeds the limit
    /// of outages per record, extends the last one.
    pub fn add_outage(&mut self, outage: StoreOutage) {
        let full = self.outages.len() >= MAX_OUTAGES;
        if let Some(last) = self.outages.last_mut() {
            if full || (last.from <= outage.to && outage.from <= last.to) {
                last.from = last.from.min(outage.from);
                last.to = last.to.max(outage.to);
                return;
            }
        }
        self.outages.push(outage);
    }

    /// Adds the record of a later interval of the same instance and day to this one.
    pub fn merge(&mut self, later: &Self) {
        self.from = self.from.min(later.from);
        self.to = self.to.max(later.to);
        self.is_final |= later.is_final;
        for (peer, heard) in &later.peers {
            self.record_peer_heard(peer.clone(), *heard);
        }
        for outage in &later.outages {
            self.add_outage(*outage);
        }
        for (key, counters) in &later.calls {
            self.calls_mut(&key.profile, &key.customer).merge(counters);
        }
        for (key, counters) in &later.tasks {
            self.tasks_mut(&key.profile, &key.customer).merge(counters);
        }
    }

    /// Splits the record into two records of the same interval, each with about half of the
    /// counters. The peers and outages stay in the first one, the mark of a final record moves to
    /// the second.
    pub fn split(mut self) -> (Self, Self) {
        let mut rest = Self::new(&self.instance, &self.zone, self.start, self.from);
        rest.to = self.to;
        rest.is_final = std::mem::take(&mut self.is_final);
        rest.calls = split_half(&mut self.calls);
        rest.tasks = split_half(&mut self.tasks);
        (self, rest)
    }

    /// Returns whether the record has more than one set of counters and so can be split.
    pub fn can_split(&self) -> bool {
        self.calls.len() + self.tasks.len() > 1
    }
}

fn split_half<T>(counters: &mut BTreeMap<CounterKey, T>) -> BTreeMap<CounterKey, T> {
    let middle = counters.keys().nth(counters.len() / 2).cloned();
    middle.map_or_else(BTreeMap::new, |key| counters.split_off(&key))
}

fn bounded_key<T>(counters: &BTreeMap<CounterKey, T>, profile: &str, customer: &str) -> CounterKey {
    let key = CounterKey::new(profile, customer);
    if counters.len() < MAX_COUNTER_KEYS || counters.contains_key(&key) {
        return key;
    }
    CounterKey::new(profile, OTHER_CUSTOMER)
}

/// Day record as stored, with the id of the write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredRecord {
    /// Id of the write. If a write's answer was lost, a read that returns this id proves that it
    /// took effect.
    pub operation: String,
    /// Stored record.
    pub record: DayRecord,
}

impl StoredRecord {
    /// Encodes the record as a store value: the version byte, then postcard.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = vec![RECORD_VERSION];
        postcard::to_extend(self, bytes)
            .expect("a day record has only fields that postcard can encode")
    }

    /// Decodes a store value. Fails with a description if the value is empty, has another version
    /// or cannot be decoded.
    pub fn decode(value: &[u8]) -> Result<Self, String> {
        let Some((&version, bytes)) = value.split_first() else {
            return Err("the value is empty".to_owned());
        };
        if version != RECORD_VERSION {
            return Err(format!("version {version} is unknown, expected {RECORD_VERSION}"));
        }
        postcard::from_bytes(bytes).map_err(|error| error.to_string())
    }
}

/// Returns the store key prefix of the records of a day.
pub fn day_prefix(day: &str) -> String {
    format!("{DAY_PREFIX}{day}/")
}

/// Returns the store key of a record.
pub fn record_key(day: &str, instance: &str, start: StartNumber, sequence: u64) -> String {
    format!("{DAY_PREFIX}{day}/{instance}.{start}/{sequence:08}")
}

/// Returns the day of a time in UTC as `YYYY-MM-DD`.
pub fn day_name(wall: SystemTime) -> String {
    let date = OffsetDateTime::from(wall).date();
    format!("{:04}-{:02}-{:02}", date.year(), u8::from(date.month()), date.day())
}

/// Returns the start of a day in UTC given as `YYYY-MM-DD`; `None` if it is not a valid date.
pub fn day_start(day: &str) -> Option<SystemTime> {
    let mut parts = day.splitn(3, '-');
    let year: i32 = parts.next().filter(|part| part.len() == 4)?.parse().ok()?;
    let month: u8 = parts.next()?.parse().ok()?;
    let day: u8 = parts.next()?.parse().ok()?;
    let date = Date::from_calendar_date(year, time::Month::try_from(month).ok()?, day).ok()?;
    Some(PrimitiveDateTime::new(date, Time::MIDNIGHT).assume_utc().into())
}

/// Returns the end, in UTC, of the day that a time belongs to.
pub fn day_end(wall: SystemTime) -> SystemTime {
    let midnight = OffsetDateTime::from(wall).replace_time(Time::MIDNIGHT);
    SystemTime::from(midnight) + Duration::from_secs(24 * 3_600)
}

/// Returns the minute of the day, in UTC, of a time.
pub fn day_minute(wall: SystemTime) -> DayMinute {
    let time = OffsetDateTime::from(wall).time();
    DayMinute::from(time.hour()) * 60 + DayMinute::from(time.minute())
}
