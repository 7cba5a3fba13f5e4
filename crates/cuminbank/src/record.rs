//! Day records: what an instance counted in an interval, merged by the evening report.

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

/// Largest encoded record. The store accepts values up to 1 MB.
pub const MAX_RECORD_BYTES: usize = 1_000_000;
/// Largest number of (profile, customer) pairs in a record. Callers choose the customer's name, so
/// that without a limit one caller could fill the memory of an instance.
pub const MAX_CLASSES: usize = 1_000;
/// Customer that counts for all others once a record has [`MAX_CLASSES`] pairs.
pub const OTHER_CUSTOMER: &str = "(other)";
/// Largest number of store outages in a record; further ones extend the last.
const MAX_OUTAGES: usize = 200;
/// Version of the encoding, the first byte of a stored record.
const RECORD_VERSION: u8 = 1;

/// Minute of the day in UTC, from 0.
pub type DayMinute = u16;

/// Pair that counters are kept for.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClassKey {
    /// Profile.
    pub profile: ProfileName,
    /// Customer.
    pub customer: CustomerName,
}

impl ClassKey {
    /// Creates a key.
    pub fn new(profile: &str, customer: &str) -> Self {
        Self { profile: profile.to_owned(), customer: customer.to_owned() }
    }
}

/// Calls of one minute.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MinuteCounters {
    /// Calls that got their final answer in the minute; those that arrived and have none are not
    /// in it.
    pub received: u64,
    /// Of these, done after the deadline.
    pub late: u64,
    /// Of these, refused.
    pub refused: u64,
    /// Of these, with an unknown outcome.
    pub unknown: u64,
    /// Of these, confirmed slots answered after the deadline.
    pub slots_late: u64,
    /// Times of the calls that were done.
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

/// Urgent calls of a profile and customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassCounters {
    /// Calls that arrived: the sum of the next four and of those without an answer.
    pub received: u64,
    /// Done within the deadline.
    pub on_time: u64,
    /// Done after the deadline.
    pub late: u64,
    /// Not run.
    pub refused: u64,
    /// Outcome unknown.
    pub unknown: u64,
    /// Confirmed slots answered within the deadline: delivered as booked.
    pub slots_on_time: u64,
    /// Confirmed slots answered after the deadline.
    pub slots_late: u64,
    /// Times of the calls that were done.
    pub latency: TimeHistogram,
    /// Times that short calls waited behind long ones.
    pub short_delay: TimeHistogram,
    /// Counters of each minute.
    pub minutes: BTreeMap<DayMinute, MinuteCounters>,
}

impl Default for ClassCounters {
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

impl ClassCounters {
    /// Counts the final answer in `minute` of a call that was counted as received.
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

    /// Returns how many calls have an answer.
    pub fn answered(&self) -> u64 {
        self.on_time + self.late + self.refused + self.unknown
    }

    /// Returns how many calls were received and have no recorded answer.
    pub fn open(&self) -> u64 {
        self.received.saturating_sub(self.answered())
    }

    /// Tells whether every call received is in exactly one of the four outcomes or open, which
    /// fails if there are more answers than calls.
    pub fn adds_up(&self) -> bool {
        self.received == self.answered() + self.open()
    }
}

/// Batch tasks of a profile and customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskCounters {
    /// Accepted.
    pub accepted: u64,
    /// Attempts begun.
    pub started: u64,
    /// Finished.
    pub finished: u64,
    /// Ended without a result.
    pub failed: u64,
    /// Cancelled.
    pub cancelled: u64,
    /// Evictions.
    pub evicted: u64,
    /// Starts after an eviction or a lost worker.
    pub resumed: u64,
    /// Tasks with two results.
    pub doubled: u64,
    /// Times from the acceptance to the end of finished tasks.
    pub elapsed: TimeHistogram,
    /// Tasks accepted in each minute, to find those past their deadline.
    pub accepted_minutes: BTreeMap<DayMinute, u64>,
    /// Second results reported in each minute.
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
    /// Counts an event of a task in `minute`.
    pub fn count(&mut self, mark: TaskEvent, elapsed: Duration, minute: DayMinute) {
        match mark {
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

    /// Returns how many tasks ended.
    pub fn ended(&self) -> u64 {
        self.finished + self.failed + self.cancelled
    }
}

/// Time in which the store did not answer an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreOutage {
    /// First call without an answer.
    pub from: SystemTime,
    /// First answer after it, or the end of the interval of the record.
    pub to: SystemTime,
}

/// What an instance counted in an interval of one day.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DayRecord {
    /// Instance.
    pub instance: InstanceName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its start number.
    pub start: StartNumber,
    /// Begin of the interval.
    pub from: SystemTime,
    /// End of the interval; never after the end of the day of `from`.
    pub to: SystemTime,
    /// Whether a planned stop ended the instance with this record.
    pub is_final: bool,
    /// Peers, with the time at which each was last heard.
    pub peers: BTreeMap<InstanceName, SystemTime>,
    /// Outages of the store.
    pub outages: Vec<StoreOutage>,
    /// Urgent calls.
    pub calls: BTreeMap<ClassKey, ClassCounters>,
    /// Batch tasks.
    pub tasks: BTreeMap<ClassKey, TaskCounters>,
}

impl DayRecord {
    /// Creates the record of an interval that begins at `from`.
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

    /// Returns the day of the interval as `YYYY-MM-DD` in UTC.
    pub fn day(&self) -> String {
        day_name(self.from)
    }

    /// Returns the counters of a profile and customer.
    pub fn calls_mut(&mut self, profile: &str, customer: &str) -> &mut ClassCounters {
        let key = bounded_key(&self.calls, profile, customer);
        self.calls.entry(key).or_default()
    }

    /// Returns the task counters of a profile and customer.
    pub fn tasks_mut(&mut self, profile: &str, customer: &str) -> &mut TaskCounters {
        let key = bounded_key(&self.tasks, profile, customer);
        self.tasks.entry(key).or_default()
    }

    /// Notes when a peer was heard.
    pub fn hear_peer(&mut self, peer: InstanceName, heard: SystemTime) {
        let last = self.peers.entry(peer).or_insert(heard);
        *last = heard.max(*last);
    }

    /// Adds an outage of the store; one that continues the last extends it.
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

    /// Adds the record of a later interval of the same instance and day.
    pub fn merge(&mut self, later: &Self) {
        self.from = self.from.min(later.from);
        self.to = self.to.max(later.to);
        self.is_final |= later.is_final;
        for (peer, heard) in &later.peers {
            self.hear_peer(peer.clone(), *heard);
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

    /// Splits the record into two of the same interval, each with half of the pairs.
    pub fn split(mut self) -> (Self, Self) {
        let mut rest = Self::new(&self.instance, &self.zone, self.start, self.from);
        rest.to = self.to;
        rest.is_final = std::mem::take(&mut self.is_final);
        rest.calls = split_half(&mut self.calls);
        rest.tasks = split_half(&mut self.tasks);
        (self, rest)
    }

    /// Tells whether the record can be split.
    pub fn can_split(&self) -> bool {
        self.calls.len() + self.tasks.len() > 1
    }
}

fn split_half<T>(counters: &mut BTreeMap<ClassKey, T>) -> BTreeMap<ClassKey, T> {
    let middle = counters.keys().nth(counters.len() / 2).cloned();
    middle.map_or_else(BTreeMap::new, |key| counters.split_off(&key))
}

fn bounded_key<T>(counters: &BTreeMap<ClassKey, T>, profile: &str, customer: &str) -> ClassKey {
    let key = ClassKey::new(profile, customer);
    if counters.len() < MAX_CLASSES || counters.contains_key(&key) {
        return key;
    }
    ClassKey::new(profile, OTHER_CUSTOMER)
}

/// A record as stored, with the id of the operation that wrote it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredRecord {
    /// Id of the write, to settle a write whose answer was lost.
    pub operation: String,
    /// The record.
    pub record: DayRecord,
}

impl StoredRecord {
    /// Encodes the record as a value of the store.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = vec![RECORD_VERSION];
        postcard::to_extend(self, bytes).expect("a record has no part that cannot be encoded")
    }

    /// Decodes a value of the store.
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

/// Returns the prefix of the records of a day.
pub fn day_prefix(day: &str) -> String {
    format!("{DAY_PREFIX}{day}/")
}

/// Returns the key of a record.
pub fn record_key(day: &str, instance: &str, start: StartNumber, sequence: u64) -> String {
    format!("{DAY_PREFIX}{day}/{instance}.{start}/{sequence:08}")
}

/// Returns the day of a time as `YYYY-MM-DD` in UTC.
pub fn day_name(wall: SystemTime) -> String {
    let date = OffsetDateTime::from(wall).date();
    format!("{:04}-{:02}-{:02}", date.year(), u8::from(date.month()), date.day())
}

/// Returns the begin of a day given as `YYYY-MM-DD` in UTC.
pub fn day_start(day: &str) -> Option<SystemTime> {
    let mut parts = day.splitn(3, '-');
    let year: i32 = parts.next().filter(|part| part.len() == 4)?.parse().ok()?;
    let month: u8 = parts.next()?.parse().ok()?;
    let day: u8 = parts.next()?.parse().ok()?;
    let date = Date::from_calendar_date(year, time::Month::try_from(month).ok()?, day).ok()?;
    Some(PrimitiveDateTime::new(date, Time::MIDNIGHT).assume_utc().into())
}

/// Returns the end of the day of a time.
pub fn day_end(wall: SystemTime) -> SystemTime {
    let midnight = OffsetDateTime::from(wall).replace_time(Time::MIDNIGHT);
    SystemTime::from(midnight) + Duration::from_secs(24 * 3_600)
}

/// Returns the minute of the day of a time.
pub fn day_minute(wall: SystemTime) -> DayMinute {
    let time = OffsetDateTime::from(wall).time();
    DayMinute::from(time.hour()) * 60 + DayMinute::from(time.minute())
}
