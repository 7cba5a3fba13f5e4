//! Simulated worker for the task tests.

use std::{collections::BTreeMap, time::Duration};

use cuminbank::{
    ids::MonotonicTime,
    worker::{
        AttemptEnd, EndedTask, ResourceSize, RunningTask, TaskStart, UsageWindow, WorkerReply,
        WorkerReport, WorkerRequest,
    },
};

use super::{millis, MessageFault, TICK};

pub struct FakeRun {
    pub attempt: u32,
    pub size: ResourceSize,
    pub class: String,
    pub left: Duration,
    pub lease_until: MonotonicTime,
}

/// A worker that simulates only the run time of its tasks. A checkpoint contains the remaining run
/// time in milliseconds.
pub struct FakeWorker {
    pub size: ResourceSize,
    pub running: BTreeMap<String, FakeRun>,
    pub last_attempt: BTreeMap<String, u32>,
    /// Reported ends that the owner has not acknowledged.
    pub ended: Vec<EndedTask>,
    /// All results: task, attempt, and whether a restart dropped the result before the owner
    /// acknowledged it.
    pub results: Vec<(String, u32, bool)>,
    pub leaving: bool,
    pub fails_all: bool,
    pub fault: MessageFault,
    pub usage: Vec<UsageWindow>,
    pub sequence: u64,
    pub starts: Vec<(MonotonicTime, TaskStart)>,
    pub stops: usize,
    pub throttles: Vec<(String, u8)>,
}

impl FakeWorker {
    pub(super) fn new(size: ResourceSize) -> Self {
        Self {
            size,
            running: BTreeMap::new(),
            last_attempt: BTreeMap::new(),
            ended: Vec::new(),
            results: Vec::new(),
            sequence: 0,
            leaving: false,
            fails_all: false,
            fault: MessageFault::None,
            usage: Vec::new(),
            starts: Vec::new(),
            stops: 0,
            throttles: Vec::new(),
        }
    }

    /// Drops all state, as a restarted process does.
    pub fn restart(&mut self) {
        self.running.clear();
        self.last_attempt.clear();
        let lost = std::mem::take(&mut self.ended);
        for (task, attempt, is_lost) in &mut self.results {
            *is_lost |= lost.iter().any(|end| end.task == *task && end.attempt == *attempt);
        }
        self.sequence = 0;
    }

    pub fn used(&self) -> ResourceSize {
        self.running.values().fold(ResourceSize::default(), |sum, run| sum.plus(&run.size))
    }

    fn end(&mut self, task: &str, attempt: u32, end: AttemptEnd) {
        self.sequence += 1;
        let sequence = self.sequence;
        if matches!(end, AttemptEnd::Finished { .. }) {
            self.results.push((task.to_owned(), attempt, false));
        }
        self.ended.push(EndedTask { sequence, task: task.to_owned(), attempt, end });
    }

    pub(super) fn advance(&mut self, now: MonotonicTime) {
        let mut ends = Vec::new();
        for (task, run) in &mut self.running {
            run.left = run.left.saturating_sub(TICK);
            if self.fails_all {
                let end = AttemptEnd::Failed { reason: "broken".to_owned() };
                ends.push((task.clone(), run.attempt, end));
            } else if run.left.is_zero() {
                let end = AttemptEnd::Finished { result: serde_json::json!(task) };
                ends.push((task.clone(), run.attempt, end));
            } else if now >= run.lease_until {
                let checkpoint = Some(run.left.as_millis().to_string());
                ends.push((task.clone(), run.attempt, AttemptEnd::LeaseLapsed { checkpoint }));
            }
        }
        for (task, attempt, end) in ends {
            self.running.remove(&task);
            self.end(&task, attempt, end);
        }
    }

    pub(super) fn call(&mut self, now: MonotonicTime, request: &WorkerRequest) -> WorkerReply {
        match request {
            WorkerRequest::Start(start) => self.start(now, start),
            WorkerRequest::Renew { lease_ms, tasks } => {
                let mut missing = Vec::new();
                for (task, attempt) in tasks {
                    match self.running.get_mut(task).filter(|run| run.attempt == *attempt) {
                        Some(run) => run.lease_until = now + millis(*lease_ms),
                        None => missing.push(task.clone()),
                    }
                }
                WorkerReply::Renewed { missing }
            }
            WorkerRequest::Stop { task, attempt, checkpoint } => {
                self.stops += 1;
                let running = self.running.get(task).filter(|run| run.attempt == *attempt);
                let text = running.map(|run| run.left.as_millis().to_string());
                if text.is_some() {
                    self.running.remove(task);
                }
                let same = |ended: &&EndedTask| ended.task == *task && ended.attempt == *attempt;
                let ended = self.ended.iter().find(same).map(|ended| ended.end.clone());
                WorkerReply::Stopped { checkpoint: text.filter(|_| *checkpoint), ended }
            }
            WorkerRequest::Throttle { task, percent, .. } => {
                self.throttles.push((task.clone(), *percent));
                WorkerReply::Accepted
            }
            WorkerRequest::List { since } => {
                // Drops the ends that the owner has acknowledged.
                self.ended.retain(|ended| ended.sequence > *since);
                let running = self.running.iter().map(|(task, run)| RunningTask {
                    task: task.clone(),
                    attempt: run.attempt,
                    checkpoint: Some(run.left.as_millis().to_string()),
                });
                WorkerReply::Listed(WorkerReport {
                    leaving: self.leaving,
                    running: running.collect(),
                    ended: self.ended.clone(),
                    usage: std::mem::take(&mut self.usage),
                })
            }
        }
    }

    fn start(&mut self, now: MonotonicTime, start: &TaskStart) -> WorkerReply {
        let last = self.last_attempt.entry(start.task.clone()).or_default();
        if start.attempt <= *last {
            return WorkerReply::Refused { status: 409 };
        }
        if self.leaving {
            return WorkerReply::Refused { status: 503 };
        }
        *last = start.attempt;
        if !self.used().plus(&start.size).fits(&self.size) {
            return WorkerReply::Refused { status: 507 };
        }
        let left = match &start.checkpoint {
            Some(text) => text.parse().expect("checkpoints are milliseconds as text"),
            None => start.input["run_ms"].as_u64().expect("the input has a number `run_ms`"),
        };
        let run = FakeRun {
            attempt: start.attempt,
            size: start.size,
            class: start.class.clone(),
            left: millis(left),
            lease_until: now + millis(start.lease_ms),
        };
        self.running.insert(start.task.clone(), run);
        self.starts.push((now, start.clone()));
        WorkerReply::Accepted
    }
}
