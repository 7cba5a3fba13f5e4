//! The executor without clock and I/O.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use cuminbank::ids::MonotonicTime;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::bookings::BookingTable;

/// Executions kept for history checks.
const MAX_LOG_ENTRIES: usize = 200_000;

/// An executor with a fixed number of slots.
#[derive(Clone, Debug, Default)]
pub struct ExecutorCore {
    name: String,
    slots: usize,
    running: BTreeMap<String, RunningCall>,
    log: VecDeque<CallExecution>,
    first_log_index: u64,
    counters: ExecutorCounters,
    fail_all: bool,
}

#[derive(Clone, Debug)]
struct RunningCall {
    execution: u64,
    done_at: MonotonicTime,
    body: CallBody,
}

/// What the executor reads of a call's body; other fields are ignored.
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
    /// Holder of the slot, the same in reserve and confirm.
    #[serde(default)]
    booking: String,
}

/// Calls that the executor has received.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ExecutorCounters {
    /// Calls started.
    pub started: u64,
    /// Calls finished.
    pub finished: u64,
    /// Calls refused because every slot was taken.
    pub overfilled: u64,
    /// Calls refused because a call with the same id was running.
    pub repeated: u64,
    /// Calls refused because the body could not be read.
    pub unreadable: u64,
}

/// One execution of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallExecution {
    /// Call id given by the entry instance.
    pub call: String,
    /// Field `key` of the body, the caller's own name for the call.
    pub key: String,
    /// Field `op` of the body.
    pub op: String,
    /// Start in milliseconds of the executor's clock.
    pub start_ms: u64,
    /// End in milliseconds, if the call has ended.
    pub end_ms: Option<u64>,
}

/// Answer to the arrival of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStart {
    /// The call runs until `done_at`.
    Started {
        /// When to take the answer with [`ExecutorCore::finish`].
        done_at: MonotonicTime,
    },
    /// Every slot is taken; HTTP 503.
    Full,
    /// A call with this id is running; HTTP 409.
    Repeated,
    /// The body could not be read; HTTP 400.
    Unreadable(String),
}

impl ExecutorCore {
    /// Creates an executor with `slots` slots.
    pub fn new(name: impl Into<String>, slots: usize) -> Self {
        Self { name: name.into(), slots, ..Self::default() }
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the calls received so far.
    pub fn counters(&self) -> ExecutorCounters {
        self.counters
    }

    /// Sets whether every call fails with status 500.
    pub fn set_fail_all(&mut self, fail_all: bool) {
        self.fail_all = fail_all;
    }

    /// Starts a call whose service time is its `work_ms` times `slowdown`.
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

    /// Ends a call at its time and returns the HTTP status and the answer; `None` if it is not
    /// running.
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

    /// Returns the running calls whose time has come by `now`, earliest first.
    pub fn due(&self, now: MonotonicTime) -> Vec<String> {
        let due = self.running.iter().filter(|(_, running)| running.done_at <= now);
        let mut due: Vec<_> = due.map(|(call, running)| (running.done_at, call.clone())).collect();
        due.sort();
        due.into_iter().map(|(_, call)| call).collect()
    }

    /// Returns when the next running call is due.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        self.running.values().map(|running| running.done_at).min()
    }

    /// Returns the log of executions, oldest first, up to its bound of 200,000.
    pub fn executions(&self) -> impl Iterator<Item = &CallExecution> {
        self.log.iter()
    }

    /// Forgets the running calls, as a restart does.
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
