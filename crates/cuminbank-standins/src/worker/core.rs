//! State of a worker, without clock or I/O.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use cuminbank::{
    ids::{AttemptNumber, ClassName, MonotonicTime},
    worker::{
        AttemptEnd, EndedTask, ResourceSize, RunningTask, TaskStart, WorkerReply, WorkerReport,
        WorkerRequest,
    },
};
use serde::Deserialize;
use serde_json::json;

use super::{
    checkpoint::TaskCheckpoint,
    types::{ExecutionEnd, TaskExecution, WorkerCounters, WorkerSettings},
    usage::UsageCollector,
};
use crate::interference::MachineLoad;

/// Most executions kept in the log, and most ends kept for the owner's list requests. The oldest
/// are dropped.
const MAX_LOG_ENTRIES: usize = 200_000;
/// Run time of an attempt that fails because of `fail_all` or an invalid input.
const FAILURE_DELAY: Duration = Duration::from_millis(10);

/// Worker that runs attempts of batch tasks under leases and logs their executions.
#[derive(Clone, Debug)]
pub struct WorkerCore {
    settings: WorkerSettings,
    running: BTreeMap<String, RunningAttempt>,
    /// Highest attempt number seen of each task, kept after the attempt has ended.
    highest_attempts: BTreeMap<String, AttemptNumber>,
    /// Attempt and checkpoint of the last stop of each task, so that a repeated stop request gets
    /// the same reply.
    last_stops: BTreeMap<String, (AttemptNumber, Option<String>)>,
    ended: VecDeque<EndedTask>,
    last_end_sequence: u64,
    log: VecDeque<TaskExecution>,
    /// Number of executions dropped from the log, and so the number of its first entry.
    first_log_index: u64,
    usage: UsageCollector,
    counters: WorkerCounters,
    now: MonotonicTime,
    leaving: bool,
    fail_all: bool,
}

#[derive(Clone, Debug)]
struct RunningAttempt {
    attempt: AttemptNumber,
    class: ClassName,
    size: ResourceSize,
    used_cores: f64,
    lease_expires_at: MonotonicTime,
    resumed_from: TaskCheckpoint,
    progress: Duration,
    /// Total work of the task, as run time without throttling.
    total_work: Duration,
    failure: Option<String>,
    /// Share of full speed that the throttle allows, in percent.
    percent: u8,
    /// Number of the entry in the execution log, which a restart keeps.
    execution: u64,
}

/// Fields of a task's input that the worker uses; all others are ignored.
#[derive(Clone, Debug, Deserialize)]
struct TaskInput {
    run_ms: u64,
    #[serde(default)]
    fail: bool,
    /// Cores actually used, in thousandths; the declared size if absent.
    used_millicores: Option<u64>,
}

impl RunningAttempt {
    /// Returns the time until the work is complete at the current throttle.
    fn remaining(&self) -> Duration {
        let left = self.total_work.saturating_sub(self.progress);
        let micros = (left.as_micros() * 100).div_ceil(u128::from(self.percent.max(1)));
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn advance(&mut self, elapsed: Duration) {
        self.progress += elapsed * u32::from(self.percent) / 100;
    }

    /// Returns the latest periodic checkpoint that this attempt has taken, if any.
    fn periodic_checkpoint(&self, interval: Duration) -> Option<TaskCheckpoint> {
        let steps = self.progress.as_millis() / interval.as_millis().max(1);
        let saved = interval * u32::try_from(steps).unwrap_or(u32::MAX);
        (saved > self.resumed_from.progress())
            .then(|| self.resumed_from.with_step(self.attempt, saved))
    }

    fn stop_checkpoint(&self) -> String {
        self.resumed_from.with_step(self.attempt, self.progress).to_string()
    }
}

impl WorkerCore {
    /// Creates an idle worker.
    pub fn new(settings: WorkerSettings) -> Self {
        Self {
            settings,
            running: BTreeMap::new(),
            highest_attempts: BTreeMap::new(),
            last_stops: BTreeMap::new(),
            ended: VecDeque::new(),
            last_end_sequence: 0,
            log: VecDeque::new(),
            first_log_index: 0,
            usage: UsageCollector::default(),
            counters: WorkerCounters::default(),
            now: Duration::ZERO,
            leaving: false,
            fail_all: false,
        }
    }

    /// Returns the settings of the worker.
    pub fn settings(&self) -> &WorkerSettings {
        &self.settings
    }

    /// Returns the counters of starts and ends so far.
    pub fn counters(&self) -> WorkerCounters {
        self.counters
    }

    /// Sets whether the worker is leaving; if so, it rejects starts with HTTP 503.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets whether every attempt started from now on fails after 10 ms.
    pub fn set_fail_all(&mut self, fail_all: bool) {
        self.fail_all = fail_all;
    }

    /// Advances to `now` and handles a request.
    pub fn apply(&mut self, now: MonotonicTime, request: WorkerRequest) -> WorkerReply {
        self.advance(now);
        match request {
            WorkerRequest::Start(start) => self.start(start),
            WorkerRequest::Renew { lease_ms, tasks } => self.renew(lease_ms, tasks),
            WorkerRequest::Stop { task, attempt, checkpoint } => {
                self.stop(&task, attempt, checkpoint)
            }
            WorkerRequest::Throttle { task, attempt, percent } => {
                self.throttle(&task, attempt, percent)
            }
            WorkerRequest::List { since } => WorkerReply::Listed(self.report(since)),
        }
    }

    /// Advances to `now`: ends attempts that are complete or whose lease has expired, and closes
    /// usage windows, in order of time.
    pub fn advance(&mut self, now: MonotonicTime) {
        loop {
            let window_end = self.usage.window_end(self.settings.usage_window);
            let due = self.next_due().map_or(window_end, |due| due.min(window_end));
            if due > now {
                break;
            }
            self.progress_to(due);
            self.end_due_attempts();
            if due == window_end {
                self.usage.close_window(due, self.settings.usage_window);
            }
        }
        self.progress_to(now);
    }

    /// Returns when the next attempt completes or loses its lease.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let due = |running: &RunningAttempt| {
            (self.now + running.remaining()).min(running.lease_expires_at)
        };
        self.running.values().map(due).min()
    }

    /// Returns the cores in use by batch class.
    pub fn load(&self) -> MachineLoad {
        let mut load = MachineLoad::default();
        for running in self.running.values() {
            let cores = running.used_cores * f64::from(running.percent) / 100.0;
            *load.cores.entry(running.class.clone()).or_default() += cores;
        }
        load
    }

    /// Records the slowdown of an urgent call on this machine for the usage report.
    pub fn record_slowdown(&mut self, now: MonotonicTime, class: &str, slowdown: f64) {
        self.advance(now);
        self.usage.add_slowdown(class, slowdown);
    }

    /// Returns the resources not allocated to running attempts.
    pub fn free(&self) -> ResourceSize {
        let sizes = self.running.values().map(|running| running.size);
        self.settings.size.minus(&sizes.fold(ResourceSize::default(), |sum, size| sum.plus(&size)))
    }

    /// Returns the latest executions, oldest first; at most 200,000.
    pub fn executions(&self) -> impl Iterator<Item = &TaskExecution> {
        self.log.iter()
    }

    /// Discards all state except the execution log and the counters, as a restart of the process
    /// does.
    pub fn restart(&mut self, now: MonotonicTime) {
        self.advance(now);
        for running in std::mem::take(&mut self.running).into_values() {
            self.log_execution_end(running.execution, ExecutionEnd::Restarted);
        }
        self.highest_attempts.clear();
        self.last_stops.clear();
        self.ended.clear();
    }

    fn start(&mut self, start: TaskStart) -> WorkerReply {
        if self.leaving {
            return WorkerReply::Refused { status: 503 };
        }
        if self.highest_attempts.get(&start.task).is_some_and(|seen| *seen >= start.attempt) {
            self.counters.fenced += 1;
            return WorkerReply::Refused { status: 409 };
        }
        if !start.size.fits(&self.free()) {
            self.counters.overfilled += 1;
            return WorkerReply::Refused { status: 507 };
        }
        self.highest_attempts.insert(start.task.clone(), start.attempt);
        self.counters.started += 1;
        let execution = self.log_execution_start(&start);
        let running = self.new_attempt(&start, execution);
        // A later attempt replaces an earlier one of the same task; they must never run together.
        if let Some(earlier) = self.running.insert(start.task, running) {
            self.counters.stopped += 1;
            self.log_execution_end(earlier.execution, ExecutionEnd::Stopped);
        }
        WorkerReply::Accepted
    }

    fn new_attempt(&self, start: &TaskStart, execution: u64) -> RunningAttempt {
        let (input, failure) = self.read_input(start);
        let resumed_from = match &start.checkpoint {
            Some(text) => text.parse::<TaskCheckpoint>(),
            None => Ok(TaskCheckpoint::default()),
        };
        let (resumed_from, failure) = match resumed_from {
            Ok(checkpoint) => (checkpoint, failure),
            Err(error) => (TaskCheckpoint::default(), Some(error)),
        };
        let progress = resumed_from.progress();
        let total_work = if self.fail_all || input.is_none() {
            progress + FAILURE_DELAY
        } else {
            Duration::from_millis(input.as_ref().map_or(0, |input| input.run_ms))
        };
        let used = input.and_then(|input| input.used_millicores);
        RunningAttempt {
            attempt: start.attempt,
            class: start.class.clone(),
            size: start.size,
            used_cores: used.unwrap_or(start.size.millicores) as f64 / 1000.0,
            lease_expires_at: self.now + Duration::from_millis(start.lease_ms),
            resumed_from,
            progress,
            total_work,
            failure,
            percent: 100,
            execution,
        }
    }

    fn read_input(&self, start: &TaskStart) -> (Option<TaskInput>, Option<String>) {
        let input = match serde_json::from_value::<TaskInput>(start.input.clone()) {
            Ok(input) => input,
            Err(error) => return (None, Some(format!("input: {error}"))),
        };
        let failure = if self.fail_all {
            Some("the worker fails everything".to_owned())
        } else {
            input.fail.then(|| "the input asks for a failure".to_owned())
        };
        (Some(input), failure)
    }

    fn renew(&mut self, lease_ms: u64, tasks: Vec<(String, AttemptNumber)>) -> WorkerReply {
        let lease_expires_at = self.now + Duration::from_millis(lease_ms);
        let mut missing = Vec::new();
        for (task, attempt) in tasks {
            match self.attempt_mut(&task, attempt) {
                Some(running) => running.lease_expires_at = lease_expires_at,
                None => missing.push(task),
            }
        }
        WorkerReply::Renewed { missing }
    }

    /// Stops an attempt and records its number as seen, so that a copy of its start that arrives
    /// later is refused.
    fn stop(&mut self, task: &str, attempt: AttemptNumber, checkpoint: bool) -> WorkerReply {
        let seen = self.highest_attempts.entry(task.to_owned()).or_default();
        *seen = (*seen).max(attempt);
        if self.attempt_mut(task, attempt).is_none() {
            return self.repeat_stop_reply(task, attempt);
        }
        let Some(running) = self.running.remove(task) else {
            return self.repeat_stop_reply(task, attempt);
        };
        let taken = if checkpoint {
            Some(running.stop_checkpoint())
        } else {
            running
                .periodic_checkpoint(self.settings.checkpoint_interval)
                .map(|own| own.to_string())
        };
        self.counters.stopped += 1;
        self.log_execution_end(running.execution, ExecutionEnd::Stopped);
        self.last_stops.insert(task.to_owned(), (attempt, taken.clone()));
        WorkerReply::Stopped { checkpoint: taken, ended: None }
    }

    /// Returns the reply to a stop of an attempt that is not running: the checkpoint of its earlier
    /// stop or how it ended, if either is known.
    fn repeat_stop_reply(&self, task: &str, attempt: AttemptNumber) -> WorkerReply {
        let stopped = self.last_stops.get(task).filter(|(stopped, _)| *stopped == attempt);
        let checkpoint = stopped.and_then(|(_, checkpoint)| checkpoint.clone());
        let ended = self.ended.iter().rev();
        let ended = ended.into_iter().find(|end| end.task == task && end.attempt == attempt);
        WorkerReply::Stopped { checkpoint, ended: ended.map(|ended| ended.end.clone()) }
    }

    fn throttle(&mut self, task: &str, attempt: AttemptNumber, percent: u8) -> WorkerReply {
        if !(1..=100).contains(&percent) {
            return WorkerReply::Refused { status: 400 };
        }
        let Some(running) = self.attempt_mut(task, attempt) else {
            return WorkerReply::Refused { status: 404 };
        };
        running.percent = percent;
        WorkerReply::Accepted
    }

    fn report(&mut self, since: u64) -> WorkerReport {
        let interval = self.settings.checkpoint_interval;
        let running = |(task, running): (&String, &RunningAttempt)| RunningTask {
            task: task.clone(),
            attempt: running.attempt,
            checkpoint: running.periodic_checkpoint(interval).map(|own| own.to_string()),
        };
        WorkerReport {
            leaving: self.leaving,
            running: self.running.iter().map(running).collect(),
            ended: self.ended.iter().filter(|end| end.sequence > since).cloned().collect(),
            usage: self.usage.take_reports(self.now, self.settings.usage_lag),
        }
    }

    fn attempt_mut(&mut self, task: &str, attempt: AttemptNumber) -> Option<&mut RunningAttempt> {
        self.running.get_mut(task).filter(|running| running.attempt == attempt)
    }

    fn progress_to(&mut self, now: MonotonicTime) {
        let elapsed = now.saturating_sub(self.now);
        if elapsed.is_zero() {
            return;
        }
        self.usage.add_usage(&self.load(), elapsed);
        for running in self.running.values_mut() {
            running.advance(elapsed);
        }
        self.now = now;
    }

    fn end_due_attempts(&mut self) {
        let ended = |running: &RunningAttempt| {
            running.remaining().is_zero() || running.lease_expires_at <= self.now
        };
        let due = self.running.iter().filter(|(_, running)| ended(running));
        for task in due.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
            if let Some(running) = self.running.remove(&task) {
                self.end_attempt(task, running);
            }
        }
    }

    fn end_attempt(&mut self, task: String, running: RunningAttempt) {
        let (end, logged) = if !running.remaining().is_zero() {
            self.counters.lapsed += 1;
            let checkpoint = Some(running.stop_checkpoint());
            (AttemptEnd::LeaseLapsed { checkpoint }, ExecutionEnd::Lapsed)
        } else if let Some(reason) = running.failure {
            self.counters.failed += 1;
            (AttemptEnd::Failed { reason }, ExecutionEnd::Failed)
        } else {
            self.counters.finished += 1;
            let result = self.build_result(&task, &running);
            (AttemptEnd::Finished { result }, ExecutionEnd::Finished)
        };
        self.log_execution_end(running.execution, logged);
        self.last_end_sequence += 1;
        let attempt = running.attempt;
        self.ended.push_back(EndedTask { sequence: self.last_end_sequence, task, attempt, end });
        if self.ended.len() > MAX_LOG_ENTRIES {
            self.ended.pop_front();
        }
    }

    fn build_result(&self, task: &str, running: &RunningAttempt) -> serde_json::Value {
        let step = |(attempt, progress): &(AttemptNumber, Duration)| {
            format!("{attempt}:{}", progress.as_millis())
        };
        let resumed_from: Vec<_> = running.resumed_from.steps.iter().map(step).collect();
        json!({
            "task": task,
            "run_ms": to_millis(running.total_work),
            "resumed_from": resumed_from,
            "attempt": running.attempt,
            "worker": self.settings.name,
        })
    }

    fn log_execution_start(&mut self, start: &TaskStart) -> u64 {
        self.log.push_back(TaskExecution {
            task: start.task.clone(),
            attempt: start.attempt,
            resumed_from: start.checkpoint.clone(),
            start_ms: to_millis(self.now),
            end_ms: None,
            end: None,
        });
        if self.log.len() > MAX_LOG_ENTRIES {
            self.log.pop_front();
            self.first_log_index += 1;
        }
        self.first_log_index + self.log.len() as u64 - 1
    }

    fn log_execution_end(&mut self, execution: u64, end: ExecutionEnd) {
        let now = to_millis(self.now);
        let Some(index) = execution.checked_sub(self.first_log_index) else {
            return;
        };
        if let Some(entry) = usize::try_from(index).ok().and_then(|index| self.log.get_mut(index)) {
            entry.end_ms = Some(now);
            entry.end = Some(end);
        }
    }
}

fn to_millis(time: MonotonicTime) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
