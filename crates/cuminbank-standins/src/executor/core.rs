//! State of an executor, without clock or I/O.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use cuminbank::ids::MonotonicTime;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::bookings::BookingTable;

/// Most executions kept in the log; the oldest are dropped.
const MAX_LOG_ENTRIES: usize = 200_000;

/// Executor that runs a limited number of calls at once and logs their executions.
#[derive(Clone, Debug, Default)]
pub struct ExecutorCore {
    name: String,
    slots: usize,
    running: BTreeMap<String, RunningCall>,
    log: VecDeque<CallExecution>,
    /// Number of executions dropped from the log, and so the number of its first entry.
    first_log_index: u64,
    counters: ExecutorCounters,
    fail_all: bool,
}

#[derive(Clone, Debug)]
struct RunningCall {
    /// Number of the log entry, counted from the start of the executor.
    execution: u64,
    done_at: MonotonicTime,
    body: CallBody,
}

/// Fields of a call's body that the executor uses; all others are ignored.
#[derive(Clone, Debug, Default, Deserialize)]
struct CallBody {
    #[serde(default)]
    op: String,
    #[serde(default)]
    key: String,
    #[serde(default)]
    work_ms: u64,
    #[serde(default)]
    slot: String,
    /// Holder of the delivery slot; a confirmation must name the same one as the reservation.
    #[serde(default)]
    booking: String,
}

/// Calls received by an executor, by result.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ExecutorCounters {
    /// Calls that were started.
    pub started: u64,
    /// Calls that ran to their end.
    pub finished: u64,
    /// Calls rejected because every slot was in use.
    pub overfilled: u64,
    /// Calls rejected because a call with the same id was still running.
    pub repeated: u64,
    /// Calls rejected because the body was not valid.
    pub unreadable: u64,
}

/// Log entry of one execution of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallExecution {
    /// Call id assigned by the entry instance.
    pub call: String,
    /// Field `key` of the body, by which the caller identifies the call.
    pub key: String,
    /// Field `op` of the body.
    pub op: String,
    /// Start time in milliseconds of the executor's clock.
    pub start_ms: u64,
    /// End time in milliseconds; `None` while the call runs.
    pub end_ms: Option<u64>,
}

/// Result of starting a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStart {
    /// The call was started.
    Started {
        /// When the call is due to be ended by [`ExecutorCore::finish`].
        done_at: MonotonicTime,
    },
    /// Every slot is in use; HTTP 503.
    Full,
    /// A call with the same id is still running; HTTP 409.
    Repeated,
    /// The body is not valid, for the reason given; HTTP 400.
    Unreadable(String),
}

impl ExecutorCore {
    /// Creates an idle executor that runs up to `slots` calls at once.
    pub fn new(name: impl Into<String>, slots: usize) -> Self {
        Self { name: name.into(), slots, ..Self::default() }
    }

    /// Returns the name of the executor.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the counters of the calls received so far.
    pub fn counters(&self) -> ExecutorCounters {
        self.counters
    }

    /// Sets whether every call that ends from now on fails with HTTP 500.
    pub fn set_fail_all(&mut self, fail_all: bool) {
        self.fail_all = fail_all;
    }

    /// Starts the call with the id `call`. Its service time is `work_ms` of the body times
    /// `slowdown`.
    pub fn start(
        &mut self,
        now: MonotonicTime,
        call: &str,
        body: &[u8],
        slowdown: f64,
    ) -> CallStart {
        let body = match serde_json::from_slice::<CallBody>(body) {
            Ok(body) => body,
            Err(error) => {
                self.counters.unreadable += 1;
                return CallStart::Unreadable(error.to_string());
            }
        };
        if self.running.contains_key(call) {
            self.counters.repeated += 1;
            return CallStart::Repeated;
        }
        if self.running.len() >= self.slots {
            self.counters.overfilled += 1;
            return CallStart::Full;
        }
        self.counters.started += 1;
        let service = Duration::from_millis(body.work_ms).mul_f64(slowdown.max(0.0));
        let done_at = now + service;
        let execution = self.log_execution_start(now, call, &body);
        self.running.insert(call.to_owned(), RunningCall { execution, done_at, body });
        CallStart::Started { done_at }
    }

    /// Ends a call and returns the HTTP status and the response body, or `None` if the call is not
    /// running. `reserve` and `confirm` take effect on `table` here.
    pub fn finish(
        &mut self,
        now: MonotonicTime,
        call: &str,
        table: &mut BookingTable,
    ) -> Option<(u16, Value)> {
        let running = self.running.remove(call)?;
        self.counters.finished += 1;
        self.log_execution_end(now, running.execution);
        if self.fail_all {
            return Some((500, json!({"error": "the executor fails everything"})));
        }
        Some((200, self.build_answer(call, &running.body, table)))
    }

    /// Returns the ids of the running calls.
    pub fn running(&self) -> Vec<String> {
        self.running.keys().cloned().collect()
    }

    /// Returns the ids of the running calls that are due to end by `now`, earliest first.
    pub fn due(&self, now: MonotonicTime) -> Vec<String> {
        let due = self.running.iter().filter(|(_, running)| running.done_at <= now);
        let mut due: Vec<_> = due.map(|(call, running)| (running.done_at, call.clone())).collect();
        due.sort();
        due.into_iter().map(|(_, call)| call).collect()
    }

    /// Returns when the next running call is due to end.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.running.values().map(|running| running.done_at).min()
    }

    /// Returns the latest executions, oldest first; at most 200,000.
    pub fn executions(&self) -> impl Iterator<Item = &CallExecution> {
        self.log.iter()
    }

    /// Drops the running calls without an answer, as a restart of the process does.
    pub fn restart(&mut self, now: MonotonicTime) {
        for (_, running) in std::mem::take(&mut self.running) {
            self.log_execution_end(now, running.execution);
        }
    }

    fn build_answer(&self, call: &str, body: &CallBody, table: &mut BookingTable) -> Value {
        let mut answer = json!({
            "call": call, "key": body.key, "op": body.op, "executor": self.name,
        });
        match body.op.as_str() {
            "reserve" => {
                answer["slot"] = json!(body.slot);
                answer["reserved"] = json!(table.reserve(&body.slot, &body.booking));
            }
            "confirm" => {
                answer["slot"] = json!(body.slot);
                answer["confirmed"] = json!(table.confirm(&body.slot, &body.booking));
            }
            _ => {}
        }
        answer
    }

    fn log_execution_start(&mut self, now: MonotonicTime, call: &str, body: &CallBody) -> u64 {
        self.log.push_back(CallExecution {
            call: call.to_owned(),
            key: body.key.clone(),
            op: body.op.clone(),
            start_ms: to_millis(now),
            end_ms: None,
        });
        if self.log.len() > MAX_LOG_ENTRIES {
            self.log.pop_front();
            self.first_log_index += 1;
        }
        self.first_log_index + self.log.len() as u64 - 1
    }

    fn log_execution_end(&mut self, now: MonotonicTime, execution: u64) {
        let Some(index) = execution.checked_sub(self.first_log_index) else {
            return;
        };
        if let Some(entry) = usize::try_from(index).ok().and_then(|index| self.log.get_mut(index)) {
            entry.end_ms = Some(to_millis(now));
        }
    }
}

fn to_millis(time: MonotonicTime) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
