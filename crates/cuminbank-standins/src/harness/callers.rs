//! Simulated callers: they request tickets, send calls and tasks, and ask for results.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use cuminbank::{
    effect::{CallOutcome, CallerAnswer},
    event::{CallRequest, EntryEvent, TaskQuery, TaskSubmission},
    ids::{RequestTicket, StartNumber},
    worker::ResourceSize,
};
use rand::Rng;

use super::{
    effects::Delivery,
    history::HistoryEvent,
    network::NetworkNode,
    platform::{BATCH_PROFILE, IDEMPOTENT_PROFILE, TICKETED_PROFILE},
    queue::{Action, CallerOperation, EntryIndex, ReplyOrigin, RequestIndex},
    simulation::Simulation,
};

/// Time after which a caller closes a connection that brought no answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a caller asks for the result of a task.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Sends of one request after which a ticketed call's outcome counts as unknown.
const MAX_SENDS: u32 = 6;

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Call without a ticket, of an idempotent profile.
    IdempotentCall,
    /// Call with a ticket, repeated while its outcome is unknown.
    TicketedCall,
    /// Batch task.
    Task,
}

/// State of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// No final answer yet.
    Open,
    /// Answered "done".
    Done,
    /// Answered "not run".
    Refused,
    /// The caller stopped retrying without learning the outcome.
    Unknown,
    /// Task accepted, no result yet.
    Accepted,
    /// Task ended with a result.
    Finished,
    /// Task ended without a result.
    Failed,
}

/// Request of a caller, with all its sends.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Unique key in the body, by which runs are matched with requests.
    pub key: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Run time of the work, in milliseconds.
    pub run_ms: u64,
    /// Reason why a task can never finish, if there is one.
    pub defect: Option<WorkDefect>,
    /// Ticket, once one was issued.
    pub ticket: Option<RequestTicket>,
    /// Current state.
    pub state: RequestState,
    sends: u32,
    answered_sends: BTreeSet<u32>,
    duplicated: bool,
}

/// Reason why a task can never finish.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkDefect {
    /// Every attempt fails.
    Fails,
    /// The task needs more resources than any worker has.
    TooLarge,
}

impl Simulation {
    pub(super) fn schedule_load(&mut self) {
        let first = Duration::from_secs(6);
        let load = self.plan.load.clone();
        if let Some(interval) = load.call_interval {
            for at in self.draw_arrivals(first, interval) {
                let ticketed = self.rng.random_bool(0.5);
                let kind =
                    if ticketed { RequestKind::TicketedCall } else { RequestKind::IdempotentCall };
                let run_ms = self.rng.random_range(5..load.max_call_ms);
                self.add_request(kind, run_ms, at);
            }
        }
        if let Some(interval) = load.task_interval {
            for at in self.draw_arrivals(first, interval) {
                let run_ms = self.rng.random_range(100..load.max_task_ms);
                self.add_request(RequestKind::Task, run_ms, at);
            }
        }
        if load.change_interval.is_some() {
            self.queue.push(first, Action::ChangeProfile);
        }
    }

    fn draw_arrivals(&mut self, first: Duration, interval: Duration) -> Vec<Duration> {
        let mut times = Vec::new();
        let mut at = first;
        while at < self.plan.load_duration {
            times.push(at);
            at += interval.mul_f64(self.rng.random_range(0.1..1.9));
        }
        times
    }

    /// Adds a request of `run_ms` milliseconds of work, sent at the virtual time `at`.
    pub fn add_request(&mut self, kind: RequestKind, run_ms: u64, at: Duration) -> RequestIndex {
        let index = self.requests.len();
        self.requests.push(CallerRequest {
            key: format!("key-{index}"),
            kind,
            run_ms,
            defect: None,
            ticket: None,
            state: RequestState::Open,
            sends: 0,
            answered_sends: BTreeSet::new(),
            duplicated: false,
        });
        self.queue.push(at, Action::AdvanceRequest(index));
        index
    }

    /// Gives a task a reason never to finish.
    pub fn set_defect(&mut self, request: RequestIndex, defect: WorkDefect) {
        self.requests[request].defect = Some(defect);
    }

    /// Returns all requests in the order in which they were added.
    pub fn requests(&self) -> &[CallerRequest] {
        &self.requests
    }

    /// Tells whether every request has a final state.
    pub fn all_requests_ended(&self) -> bool {
        let open = |request: &CallerRequest| {
            matches!(request.state, RequestState::Open | RequestState::Accepted)
        };
        !self.requests.iter().any(open)
    }

    /// Sends what a request needs next: a ticket request, the work or a query for the result.
    pub(super) fn advance_request(&mut self, index: RequestIndex) {
        let request = &self.requests[index];
        match request.state {
            RequestState::Open
                if request.kind != RequestKind::IdempotentCall && request.ticket.is_none() =>
            {
                self.send(index, CallerOperation::Tickets);
            }
            RequestState::Open => {
                self.send(index, CallerOperation::Work);
                let duplicate_share = self.plan.load.duplicate_share;
                let duplicated = std::mem::replace(&mut self.requests[index].duplicated, true);
                let ticketed = self.requests[index].kind != RequestKind::IdempotentCall;
                if !duplicated && ticketed && self.rng.random_bool(duplicate_share) {
                    let delay = Duration::from_millis(self.rng.random_range(0..4_000));
                    self.queue.push(self.now + delay, Action::SendDuplicate(index));
                }
            }
            RequestState::Accepted => self.send(index, CallerOperation::Result),
            _ => {}
        }
    }

    /// Sends a delayed duplicate of a request, which may have been answered already.
    pub(super) fn send_duplicate(&mut self, index: RequestIndex) {
        self.send(index, CallerOperation::Work);
    }

    /// Sends the cancellation of an accepted task.
    pub(super) fn send_cancel(&mut self, index: RequestIndex) {
        self.send(index, CallerOperation::Cancel);
    }

    fn send(&mut self, index: RequestIndex, operation: CallerOperation) {
        let Some(event) = self.caller_event(index, operation) else {
            return;
        };
        let request = &mut self.requests[index];
        request.sends += 1;
        let send = request.sends;
        let entry = self.choose_entry();
        let Some((entry, start)) = entry else {
            let action = Action::Answered(index, send, operation, None);
            self.queue.push(self.now + Duration::from_millis(200), action);
            return;
        };
        let origin = ReplyOrigin::Caller { request: index, send, operation };
        let timeout = Action::CallerTimeout(entry, start, index, send, operation);
        self.queue.push(self.now + CALLER_TIMEOUT, timeout);
        if operation == CallerOperation::Work {
            let request = &self.requests[index];
            let sent = HistoryEvent::RequestSent {
                request: index,
                key: request.key.clone(),
                ticket: request.ticket.as_ref().map(RequestTicket::to_string),
                entry,
            };
            self.record(sent);
        }
        if let Delivery::Arrives(delay) =
            self.draw_delivery(NetworkNode::Client, NetworkNode::Entry(entry))
        {
            self.queue.push(self.now + delay, Action::DeliverRequest(entry, start, origin, event));
        }
    }

    /// Chooses a ready entry instance at random, as the load balancer does. In 5 % of the cases,
    /// instances that are not ready are included, since its readiness information lags.
    fn choose_entry(&mut self) -> Option<(EntryIndex, StartNumber)> {
        let stale = self.rng.random_bool(0.05);
        let usable = |index: &EntryIndex| self.entries[*index].ready || stale;
        let running: Vec<_> = (0..self.entries.len()).filter(usable).collect();
        if running.is_empty() {
            return None;
        }
        let entry = running[self.rng.random_range(0..running.len())];
        self.start_of(entry).map(|start| (entry, start))
    }

    fn caller_event(&self, index: RequestIndex, operation: CallerOperation) -> Option<EntryEvent> {
        let request = &self.requests[index];
        let event = match (operation, request.kind) {
            (CallerOperation::Tickets, _) => EntryEvent::TicketsRequested { reply: 0, count: 1 },
            (CallerOperation::Result | CallerOperation::Cancel, _) => EntryEvent::TaskQueried {
                reply: 0,
                ticket: request.ticket.clone()?,
                query: match operation {
                    CallerOperation::Cancel => TaskQuery::Cancel,
                    _ => TaskQuery::Result,
                },
            },
            (CallerOperation::Work, RequestKind::Task) => {
                EntryEvent::TaskArrived { reply: 0, submission: submission(request)? }
            }
            (CallerOperation::Work, _) => EntryEvent::CallArrived { reply: 0, call: call(request) },
        };
        Some(event)
    }

    /// Closes the connection of a caller whose timeout has passed.
    pub(super) fn on_caller_timeout(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        index: RequestIndex,
        send: u32,
        operation: CallerOperation,
    ) {
        if self.requests[index].answered_sends.contains(&send) {
            return;
        }
        self.on_answered(index, send, operation, None);
        let process = self.entries[entry].process.as_mut();
        let Some(process) = process.filter(|process| process.start == start) else {
            return;
        };
        let origin = ReplyOrigin::Caller { request: index, send, operation };
        let waiting = process.replies.iter().find(|(_, waiting)| **waiting == origin);
        if let Some(reply) = waiting.map(|(reply, _)| *reply) {
            // The caller has disconnected, so a drain need not wait for this reply.
            process.replies.remove(&reply);
            let event = EntryEvent::CallerDisconnected { reply };
            self.queue.push(self.now, Action::DeliverEvent(entry, start, event));
        }
    }

    /// Handles the answer to one send of a request; `None` if the connection ended without one.
    pub(super) fn on_answered(
        &mut self,
        index: RequestIndex,
        send: u32,
        operation: CallerOperation,
        answer: Option<CallerAnswer>,
    ) {
        if !self.requests[index].answered_sends.insert(send) {
            return;
        }
        match operation {
            CallerOperation::Tickets => self.on_ticket(index, answer.as_ref()),
            CallerOperation::Work => self.on_work_answer(index, answer),
            CallerOperation::Result => self.on_result(index, answer.as_ref()),
            CallerOperation::Cancel => self.on_cancelled(index, answer.as_ref()),
        }
    }

    fn on_ticket(&mut self, index: RequestIndex, answer: Option<&CallerAnswer>) {
        let ticket = answer.and_then(|answer| first_ticket(&answer.body));
        let delay = match ticket {
            Some(ticket) => {
                self.requests[index].ticket = Some(ticket);
                Duration::from_millis(self.rng.random_range(1..300))
            }
            None => Duration::from_millis(self.rng.random_range(200..800)),
        };
        self.advance_later(index, delay);
    }

    fn on_work_answer(&mut self, index: RequestIndex, answer: Option<CallerAnswer>) {
        let key = self.requests[index].key.clone();
        let Some(answer) = answer else {
            self.record(HistoryEvent::RequestLost { key });
            self.on_unknown(index);
            return;
        };
        self.record(HistoryEvent::RequestAnswered {
            request: index,
            key,
            outcome: answer.outcome,
            status: answer.status,
            body: answer.body.clone(),
        });
        let state = match answer.outcome {
            CallOutcome::Done => RequestState::Done,
            CallOutcome::Accepted => RequestState::Accepted,
            CallOutcome::NotRun => RequestState::Refused,
            CallOutcome::Unknown => {
                self.on_unknown(index);
                return;
            }
        };
        if self.requests[index].state != RequestState::Open {
            return;
        }
        self.requests[index].state = state;
        match state {
            RequestState::Accepted => {
                self.advance_later(index, POLL_INTERVAL);
                let cancel_share = self.plan.load.cancel_share;
                if self.rng.random_bool(cancel_share) {
                    let delay = Duration::from_millis(self.rng.random_range(0..5_000));
                    self.queue.push(self.now + delay, Action::Cancel(index));
                }
            }
            RequestState::Refused => self.follow_up_refusal(index),
            _ => {}
        }
    }

    /// Sends late duplicates of 30 % of the refused requests with a ticket, and submits a refused
    /// task again as a new request.
    fn follow_up_refusal(&mut self, index: RequestIndex) {
        let request = &self.requests[index];
        let (kind, run_ms, defect) = (request.kind, request.run_ms, request.defect);
        if kind != RequestKind::IdempotentCall && self.rng.random_bool(0.3) {
            let delay = Duration::from_millis(self.rng.random_range(10..12_000));
            self.queue.push(self.now + delay, Action::SendDuplicate(index));
        }
        if kind == RequestKind::Task {
            let at = self.now + Duration::from_secs(2);
            let again = self.add_request(kind, run_ms, at);
            self.requests[again].defect = defect;
        }
    }

    fn on_unknown(&mut self, index: RequestIndex) {
        let request = &mut self.requests[index];
        if request.state != RequestState::Open {
            return;
        }
        let again = match request.kind {
            RequestKind::IdempotentCall => false,
            RequestKind::TicketedCall => request.sends < MAX_SENDS,
            RequestKind::Task => true,
        };
        if !again {
            request.state = RequestState::Unknown;
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(500..2_000));
        self.advance_later(index, delay);
    }

    fn on_result(&mut self, index: RequestIndex, answer: Option<&CallerAnswer>) {
        let task = self.requests[index].ticket.as_ref().map(ToString::to_string);
        let Some((task, finished)) = task.zip(answer.and_then(task_ended)) else {
            self.advance_later(index, POLL_INTERVAL);
            return;
        };
        if self.requests[index].state != RequestState::Accepted {
            return;
        }
        let state = if finished { RequestState::Finished } else { RequestState::Failed };
        self.requests[index].state = state;
        self.record(HistoryEvent::TaskResult { task, finished });
    }

    fn on_cancelled(&mut self, index: RequestIndex, answer: Option<&CallerAnswer>) {
        let is_cancelled = answer.is_some_and(|answer| {
            answer.outcome == CallOutcome::Done
                && task_state(answer).as_deref() == Some("cancelled")
        });
        if let Some(ticket) = self.requests[index].ticket.as_ref().filter(|_| is_cancelled) {
            let task = ticket.to_string();
            self.record(HistoryEvent::TaskCancelled { task });
        }
    }

    fn advance_later(&mut self, index: RequestIndex, delay: Duration) {
        self.queue.push(self.now + delay, Action::AdvanceRequest(index));
    }
}

fn call(request: &CallerRequest) -> CallRequest {
    let profile = if request.kind == RequestKind::IdempotentCall {
        IDEMPOTENT_PROFILE
    } else {
        TICKETED_PROFILE
    };
    let body = serde_json::json!({ "op": "plan", "key": request.key, "work_ms": request.run_ms });
    CallRequest {
        profile: profile.to_owned(),
        customer: "griddle".to_owned(),
        class: profile.to_owned(),
        ticket: request.ticket.clone(),
        body: Bytes::from(body.to_string()),
    }
}

fn submission(request: &CallerRequest) -> Option<TaskSubmission> {
    let millicores = match request.defect {
        Some(WorkDefect::TooLarge) => 1_000_000,
        _ => 1_000,
    };
    let fail = request.defect == Some(WorkDefect::Fails);
    let input = serde_json::json!({ "run_ms": request.run_ms, "key": request.key, "fail": fail });
    Some(TaskSubmission {
        ticket: request.ticket.clone()?,
        profile: BATCH_PROFILE.to_owned(),
        customer: "griddle".to_owned(),
        class: BATCH_PROFILE.to_owned(),
        size: ResourceSize { millicores, memory_mib: 100, accelerators: 0 },
        declared_run_ms: None,
        input: input.to_string(),
    })
}

fn first_ticket(body: &[u8]) -> Option<RequestTicket> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    let ticket = value.get("tickets")?.get(0)?;
    ticket.as_str()?.parse().ok()
}

/// Returns whether an ended task finished with a result; `None` while it has not ended.
fn task_ended(answer: &CallerAnswer) -> Option<bool> {
    match task_state(answer)?.as_str() {
        "finished" => Some(true),
        "failed" | "cancelled" => Some(false),
        _ => None,
    }
}

fn task_state(answer: &CallerAnswer) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    Some(value.get("state")?.as_str()?.to_owned())
}
