//! Simulated executors and workers: handling of calls, probes and worker requests.

use std::time::Duration;

use bytes::Bytes;
use cuminbank::{
    event::{EntryEvent, ExchangeError, ExecutorAnswer},
    worker::{WorkerReply, WorkerRequest},
};

use super::{
    history::HistoryEvent,
    network::NetworkNode,
    queue::{Action, EntryIndex, ExchangeRef, TargetIndex},
    simulation::Simulation,
};
use crate::executor::CallStart;

impl Simulation {
    pub(super) fn on_call(
        &mut self,
        exchange: ExchangeRef,
        target: TargetIndex,
        call: String,
        body: &Bytes,
    ) {
        let now = self.now;
        let host = &mut self.targets[target];
        if host.down {
            self.send_answer(NetworkNode::Target(target), exchange, dispatch_lost(exchange));
            return;
        }
        let key = body_key(body);
        let name = host.executor_name.clone();
        match host.executor.start(now, &call, body, 1.0) {
            CallStart::Started { done_at } => {
                host.calls.insert(call.clone(), (exchange, key.clone()));
                self.queue.push(done_at, Action::CallsDue(target));
                self.record(HistoryEvent::CallStarted { target: name, call, key });
            }
            refused => {
                let status = match refused {
                    CallStart::Full => 503,
                    CallStart::Repeated => 409,
                    _ => 400,
                };
                self.record(HistoryEvent::CallRefused { target: name, call, status });
                self.answer_call(exchange, target, status, Bytes::from_static(b"{}"));
            }
        }
    }

    pub(super) fn on_calls_due(&mut self, target: TargetIndex) {
        let now = self.now;
        for call in self.targets[target].executor.due(now) {
            let host = &mut self.targets[target];
            let Some((status, answer)) = host.executor.finish(now, &call, &mut self.booking_table)
            else {
                continue;
            };
            let Some((exchange, key)) = host.calls.remove(&call) else {
                continue;
            };
            let name = host.executor_name.clone();
            self.record(HistoryEvent::CallEnded { target: name, call, key });
            self.answer_call(exchange, target, status, Bytes::from(answer.to_string()));
        }
    }

    fn answer_call(
        &mut self,
        exchange: ExchangeRef,
        target: TargetIndex,
        status: u16,
        body: Bytes,
    ) {
        let silent = self.network.is_silent(exchange.entry, target);
        if silent && !self.misdelivers_answers {
            return;
        }
        // The reducer estimates run times from the elapsed time; the checks do not depend on it.
        let elapsed = Duration::from_millis(50);
        let event = EntryEvent::DispatchCompleted {
            exchange: exchange.exchange,
            result: Ok(ExecutorAnswer { status, body, elapsed }),
        };
        if silent {
            // The connection delivers again once the entry instance may have given up the call.
            self.queue
                .push(self.now + Duration::from_secs(6), Action::EndExchange(exchange, event));
            return;
        }
        self.send_answer(NetworkNode::Target(target), exchange, event);
    }

    pub(super) fn on_probe(&mut self, exchange: ExchangeRef, target: TargetIndex) {
        if self.targets[target].down {
            return;
        }
        let result = Ok(self.targets[target].executor.running());
        let event = EntryEvent::ProbeCompleted { exchange: exchange.exchange, result };
        self.send_answer(NetworkNode::Target(target), exchange, event);
    }

    /// Delivers an answer that no exchange waits for to another open call of the same process, as
    /// happens when a connection returns to the pool too early. The daemon, not the reducer,
    /// compares call ids, so the simulation applies the guard `answers_matched` itself.
    pub(super) fn misdeliver_answer(&mut self, entry: EntryIndex, event: EntryEvent) {
        let EntryEvent::DispatchCompleted { result: Ok(answer), .. } = event else {
            return;
        };
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        let start = process.start;
        let waiting = self.targets.iter().flat_map(|host| host.calls.values());
        let mut waiting = waiting.filter(|(exchange, _)| {
            exchange.entry == entry
                && exchange.start == start
                && process.open_exchanges.contains_key(&exchange.exchange)
        });
        let Some((exchange, _)) = waiting.next().cloned() else {
            return;
        };
        process.open_exchanges.remove(&exchange.exchange);
        let matched = self.plan.guards.answers_matched;
        let result = if matched { Err(ExchangeError::Lost) } else { Ok(answer) };
        self.apply(entry, EntryEvent::DispatchCompleted { exchange: exchange.exchange, result });
    }

    pub(super) fn on_worker_request(
        &mut self,
        exchange: ExchangeRef,
        target: TargetIndex,
        request: WorkerRequest,
    ) {
        let host = &mut self.targets[target];
        let id = exchange.exchange;
        if host.down {
            let event =
                EntryEvent::WorkerCallCompleted { exchange: id, result: Err(ExchangeError::Lost) };
            self.send_answer(NetworkNode::Target(target), exchange, event);
            return;
        }
        let local = host.local_time(self.now);
        host.worker.advance(local);
        self.record_task_ends(target);
        let host = &mut self.targets[target];
        let was_running = stopped_attempt(&request).is_some_and(|(task, attempt)| {
            let open = host.open_executions.iter();
            let mut open = open.filter_map(|index| host.worker.executions().nth(*index));
            open.any(|run| run.task == task && run.attempt == attempt)
        });
        let reply = host.worker.apply(local, request.clone());
        self.record_task_ends(target);
        self.record_worker_reply(target, &request, &reply, was_running);
        self.record_task_start(target, &request, &reply);
        self.schedule_attempts(target);
        let event = EntryEvent::WorkerCallCompleted { exchange: id, result: Ok(reply) };
        self.send_answer(NetworkNode::Target(target), exchange, event);
    }

    pub(super) fn on_attempts_due(&mut self, target: TargetIndex) {
        let host = &mut self.targets[target];
        host.next_attempts_due = None;
        if host.down {
            return;
        }
        let local = host.local_time(self.now);
        host.worker.advance(local);
        self.record_task_ends(target);
        self.schedule_attempts(target);
    }

    fn schedule_attempts(&mut self, target: TargetIndex) {
        let host = &mut self.targets[target];
        let Some(due) = host.worker.next_due() else {
            return;
        };
        let due = host.global_time(due).max(self.now) + Duration::from_micros(10);
        if host.next_attempts_due.is_some_and(|scheduled| scheduled <= due) {
            return;
        }
        host.next_attempts_due = Some(due);
        self.queue.push(due, Action::AttemptsDue(target));
    }

    fn record_worker_reply(
        &mut self,
        target: TargetIndex,
        request: &WorkerRequest,
        reply: &WorkerReply,
        was_running: bool,
    ) {
        let name = self.targets[target].worker_name.clone();
        match (request, reply) {
            (WorkerRequest::Start(start), WorkerReply::Refused { status }) => {
                self.record(HistoryEvent::TaskRefused {
                    target: name,
                    task: start.task.clone(),
                    attempt: start.attempt,
                    status: *status,
                });
            }
            (
                WorkerRequest::Stop { task, attempt, .. },
                WorkerReply::Stopped { checkpoint: Some(checkpoint), .. },
            ) if was_running => self.record(HistoryEvent::TaskEvicted {
                target: name,
                task: task.clone(),
                attempt: *attempt,
                checkpoint: checkpoint.clone(),
            }),
            _ => {}
        }
    }

    fn record_task_start(
        &mut self,
        target: TargetIndex,
        request: &WorkerRequest,
        reply: &WorkerReply,
    ) {
        let (WorkerRequest::Start(start), WorkerReply::Accepted) = (request, reply) else {
            return;
        };
        let host = &mut self.targets[target];
        host.open_executions.push(host.recorded_executions);
        host.recorded_executions += 1;
        let name = host.worker_name.clone();
        self.record(HistoryEvent::TaskStarted {
            target: name,
            task: start.task.clone(),
            attempt: start.attempt,
            checkpoint: start.checkpoint.clone(),
            size: start.size,
        });
    }

    /// Records the attempts in the worker's log that have ended since the last call.
    pub(super) fn record_task_ends(&mut self, target: TargetIndex) {
        let now = self.now;
        let host = &mut self.targets[target];
        let worker = &host.worker;
        let name = &host.worker_name;
        let history = &mut self.history;
        host.open_executions.retain(|index| {
            let Some(run) = worker.executions().nth(*index) else {
                return false;
            };
            let Some(end) = run.end else {
                return true;
            };
            history.add(
                now,
                HistoryEvent::TaskEnded {
                    target: name.clone(),
                    task: run.task.clone(),
                    attempt: run.attempt,
                    end,
                },
            );
            false
        });
    }

    /// Stops the executor and the worker of a machine, with everything that runs on them.
    pub(super) fn stop_target(&mut self, target: TargetIndex) {
        let now = self.now;
        let host = &mut self.targets[target];
        if host.down {
            return;
        }
        let local = host.local_time(now);
        host.worker.restart(local);
        host.executor.restart(now);
        host.down = true;
        self.record_task_ends(target);
        let host = &mut self.targets[target];
        let calls = std::mem::take(&mut host.calls);
        let (executor, worker) = (host.executor_name.clone(), host.worker_name.clone());
        for (call, (exchange, key)) in calls {
            self.record(HistoryEvent::CallEnded { target: executor.clone(), call, key });
            self.send_answer(NetworkNode::Target(target), exchange, dispatch_lost(exchange));
        }
        self.record(HistoryEvent::TargetDown(executor));
        self.record(HistoryEvent::TargetDown(worker));
    }

    /// Starts the executor and the worker of a machine again.
    pub(super) fn start_target(&mut self, target: TargetIndex) {
        let host = &mut self.targets[target];
        host.down = false;
        host.leaving = false;
        host.worker.set_leaving(false);
    }

    /// Marks a machine as leaving. Its worker refuses new tasks at once; the list shows it later.
    pub(super) fn leave_target(&mut self, target: TargetIndex) {
        let host = &mut self.targets[target];
        host.leaving = true;
        host.worker.set_leaving(true);
    }
}

fn dispatch_lost(exchange: ExchangeRef) -> EntryEvent {
    let result = Err(ExchangeError::Lost);
    EntryEvent::DispatchCompleted { exchange: exchange.exchange, result }
}

fn stopped_attempt(request: &WorkerRequest) -> Option<(&str, u32)> {
    match request {
        WorkerRequest::Stop { task, attempt, .. } => Some((task, *attempt)),
        _ => None,
    }
}

/// Returns the field `key` of a call's JSON body, or an empty string.
pub(super) fn body_key(body: &[u8]) -> String {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    value["key"].as_str().unwrap_or_default().to_owned()
}
