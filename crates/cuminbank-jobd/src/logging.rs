//! Logging as JSON lines on standard output, bounded in rate and memory.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use cuminbank::log::{LogCode, LogLevel, LINES_DROPPED, TASK_WAITS};
use cuminbank_jobs::{
    ids::{JobId, MonotonicTime, WallTime},
    scheduler::DecisionRecord,
};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::clock;

/// Maximum number of lines buffered for a slow reader. Further lines are dropped.
const MAX_WAITING_LINES: usize = 2_000;
/// Maximum number of lines written per second. Further lines are counted and dropped, so that a
/// flood of decisions costs a bounded share of the CPU.
pub const MAX_LINES_PER_SECOND: u32 = 1_200;
/// Maximum number of lines per second about single requests, jobs, runs and executors. The rest is
/// reserved for the instance, its dependencies and its ownership.
pub const MAX_ITEM_LINES_PER_SECOND: u32 = 1_000;
/// Maximum number of lines per second about single runs. A job has dozens of runs, and a flood of
/// them must not hide lines about requests and executors.
pub const MAX_RUN_LINES_PER_SECOND: u32 = 400;
/// Event numbers about single requests, jobs, runs and executors.
const ITEM_EVENTS: std::ops::Range<u16> = 701..741;
/// Event numbers about single runs.
const RUN_EVENTS: std::ops::Range<u16> = 711..731;
/// Event numbers about reservations of executors, of which there are at most as many as runs.
const RESERVATION_EVENTS: std::ops::Range<u16> = 775..780;
/// Maximum number of decisions about jobs kept for operators, about 200 bytes each.
const MAX_REMEMBERED_DECISIONS: usize = 3_000;

/// Maximum size of the detail of a kept decision. Texts of clients may be part of it.
const MAX_REMEMBERED_BYTES: usize = 2_048;

/// Returns the start of a text, at most `max_bytes` of it.
pub(crate) fn shorten(text: &str, max_bytes: usize) -> &str {
    &text[..text.floor_char_boundary(max_bytes)]
}

/// Keeps the log writer alive. Dropping it flushes the buffered lines.
pub struct LogGuard(
    #[expect(dead_code, reason = "flushes buffered lines when dropped")] WorkerGuard,
);

/// Starts logging. `RUST_LOG` sets the filter, with `info` as the default.
pub fn start() -> LogGuard {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES)
        .finish(std::io::stdout());
    // Fails if logging has already been started in this process, as in tests. The first one stays.
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    LogGuard(guard)
}

/// Rate limiter for log lines, with limits per second.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: MonotonicTime,
    written: u32,
    items_written: u32,
    runs_written: u32,
    dropped: BTreeMap<u16, u64>,
}

impl LineBudget {
    /// Counts a line against the limits. Returns false if the line has to be dropped.
    pub fn take(&mut self, now: MonotonicTime, code: LogCode) -> bool {
        self.begin_second(now);
        let about_reservation = RESERVATION_EVENTS.contains(&code.number);
        let about_item = ITEM_EVENTS.contains(&code.number) || about_reservation;
        // At most one line in two seconds for each job, needed most when many runs are logged.
        let about_run = (RUN_EVENTS.contains(&code.number) || about_reservation)
            && code.number != TASK_WAITS.number;
        let full = self.written >= MAX_LINES_PER_SECOND
            || (about_item && self.items_written >= MAX_ITEM_LINES_PER_SECOND)
            || (about_run && self.runs_written >= MAX_RUN_LINES_PER_SECOND);
        if full {
            *self.dropped.entry(code.number).or_default() += 1;
            return false;
        }
        self.written += 1;
        self.runs_written += u32::from(about_run);
        self.items_written += u32::from(about_item);
        true
    }

    /// Returns and resets the number of dropped lines per event number. Empty until the second in
    /// which they were dropped is over.
    pub fn take_dropped(&mut self, now: MonotonicTime) -> BTreeMap<u16, u64> {
        match self.begin_second(now) {
            true => std::mem::take(&mut self.dropped),
            false => BTreeMap::new(),
        }
    }

    fn begin_second(&mut self, now: MonotonicTime) -> bool {
        if now < self.second + Duration::from_secs(1) {
            return false;
        }
        self.second = now;
        self.written = 0;
        self.items_written = 0;
        self.runs_written = 0;
        true
    }
}

/// Log of decisions, which also keeps recent ones about jobs.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    instance: String,
    budget: RefCell<LineBudget>,
    /// Recent decisions about jobs with the time of day, including those whose lines were dropped.
    recent: RefCell<VecDeque<(WallTime, DecisionRecord)>>,
}

impl DecisionLog {
    pub(crate) fn new(instance: String) -> Self {
        Self { instance, budget: RefCell::default(), recent: RefCell::default() }
    }

    /// Returns the kept decisions about a job, oldest first.
    pub(crate) fn decisions(&self, job: JobId) -> Vec<(WallTime, DecisionRecord)> {
        let recent = self.recent.borrow();
        recent.iter().filter(|(_, record)| record.job == Some(job)).cloned().collect()
    }

    fn remember(&self, record: &DecisionRecord) {
        if record.job.is_none() {
            return;
        }
        let mut recent = self.recent.borrow_mut();
        if recent.len() >= MAX_REMEMBERED_DECISIONS {
            recent.pop_front();
        }
        let detail = shorten(&record.detail, MAX_REMEMBERED_BYTES).to_owned();
        recent.push_back((clock::wall(), DecisionRecord { detail, ..*record }));
    }

    /// Keeps and logs a decision. Logs the dropped lines of the previous second first.
    pub(crate) fn write(&self, record: &DecisionRecord) {
        let now = clock::now();
        let dropped = self.budget.borrow_mut().take_dropped(now);
        self.remember(record);
        if !dropped.is_empty() {
            let lines: u64 = dropped.values().sum();
            let by_event: Vec<String> =
                dropped.iter().map(|(number, count)| format!("EV{number:04}:{count}")).collect();
            let detail = format!("lines={lines} by_event={}", by_event.join(","));
            self.emit(&DecisionRecord { code: LINES_DROPPED, job: None, detail });
        }
        if self.budget.borrow_mut().take(now, record.code) {
            self.emit(record);
        }
    }

    fn emit(&self, record: &DecisionRecord) {
        let event = format!("EV{:04}", record.code.number);
        let job = record.job.map(|job| format!("{job:016x}")).unwrap_or_default();
        let instance = self.instance.as_str();
        let (summary, detail) = (record.code.summary, record.detail.as_str());
        match record.code.level {
            LogLevel::Info => tracing::info!(event, instance, job, detail, "{summary}"),
            LogLevel::Warn => tracing::warn!(event, instance, job, detail, "{summary}"),
            LogLevel::Error => tracing::error!(event, instance, job, detail, "{summary}"),
        }
    }
}
