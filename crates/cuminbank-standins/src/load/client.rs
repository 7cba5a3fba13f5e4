//! Client that sends calls and tasks to the entry instances.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use cuminbank::event::ExchangeError;
use cuminbank_net::client::{ClientAnswer, ClientRequest, HttpPool};
use monoio::time;
use serde_json::{json, Value};

use super::{
    arrivals::{CallArrival, TaskArrival},
    result::ConnectionResult,
};

/// Tickets fetched with one request.
const TICKET_BATCH: u32 = 100;
/// Number of cached tickets of an entry instance below which more are fetched.
const REFILL_THRESHOLD: usize = 50;
/// Age above which a cached ticket is discarded. A takeover invalidates tickets, so old ones would
/// show up as unknown outcomes that a caller with fresh tickets does not get.
const MAX_TICKET_AGE: Duration = Duration::from_secs(20);

/// Interval and timeout of readiness checks, as the load balancer makes them.
const READY_INTERVAL: Duration = Duration::from_millis(500);
/// Reason of a request that was not sent.
const NO_CONNECTION: &str = "no entry instance accepts connections";

/// Outcome of a request, as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RequestOutcome {
    /// The work ran; contains the JSON body of the response.
    Done(Value),
    /// The task was accepted; contains its id.
    Accepted(String),
    /// The work did not run; contains the reason.
    Refused(String),
    /// The entry instance does not know whether the work ran; contains the reason.
    Unknown(String),
    /// There was no response, or it was malformed or unexpected.
    Error(String),
}

/// Reason why an entry instance gave no tickets.
enum TicketFailure {
    /// The instance accepts no connections.
    NotSent,
    /// The request failed or was refused.
    Failed(String),
}

/// State of a task, as an entry instance reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct TaskState {
    pub(super) state: String,
    pub(super) evictions: u64,
}

/// Client that spreads requests over the entry instances as a load balancer does.
pub(super) struct LoadClient {
    entries: Vec<SocketAddr>,
    pool: HttpPool,
    timeout: Duration,
    /// Cached tickets of each entry instance with the time of their fetch, oldest first.
    tickets: RefCell<HashMap<SocketAddr, VecDeque<(Instant, String)>>>,
    /// Entry instances with a ticket request in progress.
    refilling: RefCell<HashSet<SocketAddr>>,
    connections: Cell<ConnectionResult>,
    /// Entry instances that are tried last.
    not_ready: RefCell<HashSet<SocketAddr>>,
}

impl LoadClient {
    pub(super) fn new(entries: Vec<SocketAddr>, timeout: Duration) -> Rc<Self> {
        Rc::new(Self {
            entries,
            pool: HttpPool::new(),
            timeout,
            tickets: RefCell::default(),
            refilling: RefCell::default(),
            connections: Cell::default(),
            not_ready: RefCell::default(),
        })
    }

    /// Polls the readiness of the entry instances as long as the client is in use. Like the load
    /// balancer, the client avoids an instance that reports not ready or refuses connections.
    pub(super) fn poll_readiness(self: &Rc<Self>) {
        for entry in self.entries.clone() {
            let client = Rc::downgrade(self);
            monoio::spawn(async move {
                let pool = HttpPool::new();
                while let Some(client) = client.upgrade() {
                    let request = ClientRequest::new_get("/v1/ready");
                    match pool.exchange(entry, request, READY_INTERVAL).await {
                        Ok(answer) => client.set_not_ready(entry, answer.status == 503),
                        Err(ExchangeError::NotSent) => client.set_not_ready(entry, true),
                        // A slow response does not mean that the instance is not ready.
                        Err(_) => {}
                    }
                    drop(client);
                    time::sleep(READY_INTERVAL).await;
                }
            });
        }
    }

    fn set_not_ready(&self, entry: SocketAddr, not_ready: bool) {
        let mut entries = self.not_ready.borrow_mut();
        if not_ready {
            entries.insert(entry);
        } else {
            entries.remove(&entry);
        }
    }

    /// Returns the entry instances in the order in which request number `index` tries them: round
    /// robin, those that are not ready last.
    fn route(&self, index: usize) -> Vec<SocketAddr> {
        let length = self.entries.len();
        let not_ready = self.not_ready.borrow();
        let mut route: Vec<_> =
            (0..length).map(|step| self.entries[(index + step) % length]).collect();
        route.sort_by_key(|entry| not_ready.contains(entry));
        route
    }

    /// Fetches tickets from every entry instance before the run.
    pub(super) async fn prefetch_tickets(&self) {
        for entry in &self.entries {
            self.refill_tickets(*entry).await;
        }
    }

    pub(super) async fn call(
        self: &Rc<Self>,
        index: usize,
        customer: &str,
        call: &CallArrival,
    ) -> RequestOutcome {
        let mut request = ClientRequest::new_post("/v1/calls", call.body.to_string())
            .with_header("x-profile", call.profile.as_str())
            .with_header("x-customer", customer)
            .with_header("x-class", call.class.as_str());
        if call.ticketed {
            match self.take_ticket(index).await {
                Ok(ticket) => request = request.with_header("idempotency-key", ticket),
                Err(reason) => return RequestOutcome::Refused(reason),
            }
        }
        self.send(index, request).await.map_or_else(|failure| failure, classify)
    }

    pub(super) async fn submit(
        self: &Rc<Self>,
        index: usize,
        customer: &str,
        task: &TaskArrival,
        due_unix_ms: u64,
    ) -> RequestOutcome {
        let ticket = match self.take_ticket(index).await {
            Ok(ticket) => ticket,
            Err(reason) => return RequestOutcome::Refused(reason),
        };
        let mut body = task.body.clone();
        // The worker stand-in computes the start delay from this field.
        body["input"]["sent_unix_ms"] = json!(due_unix_ms);
        let request = ClientRequest::new_post("/v1/tasks", body.to_string())
            .with_header("x-profile", task.profile.as_str())
            .with_header("x-customer", customer)
            .with_header("x-class", task.class.as_str())
            .with_header("idempotency-key", ticket.as_str());
        match self.send(index, request).await.map_or_else(|failure| failure, classify) {
            RequestOutcome::Accepted(_) => RequestOutcome::Accepted(ticket),
            other => other,
        }
    }

    /// Requests the state of a task. Returns `None` without a valid response.
    pub(super) async fn task_state(&self, index: usize, task: &str) -> Option<TaskState> {
        let request = ClientRequest::new_get(format!("/v1/tasks/{task}"));
        let answer = self.send(index, request).await.ok()?;
        let value: Value = serde_json::from_slice(&answer.body).ok()?;
        let state = find_field(&value, "state")?.as_str()?.to_lowercase();
        let evictions = find_field(&value, "evictions").and_then(Value::as_u64).unwrap_or(0);
        Some(TaskState { state, evictions })
    }

    /// Sends a request to the first entry instance of its route, or to the next if nothing could be
    /// sent: the platform's load balancer does not route to an instance that refuses connections.
    /// Returns the outcome of the request if there is no response.
    async fn send(
        &self,
        index: usize,
        request: ClientRequest,
    ) -> Result<ClientAnswer, RequestOutcome> {
        for entry in self.route(index) {
            match self.exchange(entry, request.clone()).await {
                Err(ExchangeError::NotSent) => continue,
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    return Err(RequestOutcome::Error(format!("no response: {error:?}")));
                }
            }
        }
        self.count_refused();
        Err(RequestOutcome::Refused(NO_CONNECTION.to_owned()))
    }

    /// Returns the counters of failed connections.
    pub(super) fn connections(&self) -> ConnectionResult {
        self.connections.get()
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        request: ClientRequest,
    ) -> Result<ClientAnswer, ExchangeError> {
        let sent = Instant::now();
        let outcome = self.pool.exchange(entry, request, self.timeout).await;
        let mut connections = self.connections.get();
        match &outcome {
            // The request may still be sent to another instance.
            Err(ExchangeError::NotSent) => {}
            Err(_) if sent.elapsed() >= self.timeout => connections.timed_out += 1,
            Err(_) => connections.cut_off += 1,
            Ok(_) => {}
        }
        self.connections.set(connections);
        outcome
    }

    fn count_refused(&self) {
        let mut connections = self.connections.get();
        connections.refused += 1;
        self.connections.set(connections);
    }

    /// Returns a ticket, or the reason why there is none. Without a ticket the work is not sent.
    async fn take_ticket(self: &Rc<Self>, index: usize) -> Result<String, String> {
        let entry = self.entries[index % self.entries.len()];
        if let Some(ticket) = self.cached_ticket(entry) {
            return Ok(ticket);
        }
        let mut failed = None;
        let mut was_sent = false;
        for step in 0..self.entries.len() {
            let entry = self.entries[(index + step) % self.entries.len()];
            match self.fetch_tickets(entry).await {
                Ok(()) => was_sent = true,
                Err(TicketFailure::NotSent) => {}
                Err(TicketFailure::Failed(reason)) => (failed, was_sent) = (Some(reason), true),
            }
            if let Some(ticket) = self.cached_ticket(entry) {
                return Ok(ticket);
            }
        }
        if !was_sent {
            self.count_refused();
        }
        Err(format!("no ticket: {}", failed.as_deref().unwrap_or(NO_CONNECTION)))
    }

    fn cached_ticket(self: &Rc<Self>, entry: SocketAddr) -> Option<String> {
        let mut tickets = self.tickets.borrow_mut();
        let cached = tickets.entry(entry).or_default();
        while cached.front().is_some_and(|(since, _)| since.elapsed() > MAX_TICKET_AGE) {
            cached.pop_front();
        }
        let ticket = cached.pop_front().map(|(_, ticket)| ticket);
        if cached.len() < REFILL_THRESHOLD && self.refilling.borrow_mut().insert(entry) {
            let client = Rc::clone(self);
            monoio::spawn(async move {
                client.refill_tickets(entry).await;
                client.refilling.borrow_mut().remove(&entry);
            });
        }
        ticket
    }

    /// Fetches tickets ahead of their use. A failure shows again when a ticket is needed.
    async fn refill_tickets(&self, entry: SocketAddr) {
        if let Err(TicketFailure::NotSent) = self.fetch_tickets(entry).await {
            self.count_refused();
        }
    }

    async fn fetch_tickets(&self, entry: SocketAddr) -> Result<(), TicketFailure> {
        let body = json!({ "count": TICKET_BATCH }).to_string();
        let request = ClientRequest::new_post("/v1/tickets", body);
        let answer = self.exchange(entry, request).await.map_err(|error| match error {
            ExchangeError::NotSent => TicketFailure::NotSent,
            _ => TicketFailure::Failed(format!("no response: {error:?}")),
        })?;
        let Some(fetched) = read_tickets(&answer.body) else {
            return Err(TicketFailure::Failed(match classify(answer) {
                RequestOutcome::Refused(reason)
                | RequestOutcome::Unknown(reason)
                | RequestOutcome::Error(reason) => reason,
                RequestOutcome::Done(_) | RequestOutcome::Accepted(_) => {
                    "malformed response to a ticket request".to_owned()
                }
            }));
        };
        let now = Instant::now();
        let mut tickets = self.tickets.borrow_mut();
        tickets.entry(entry).or_default().extend(fetched.into_iter().map(|ticket| (now, ticket)));
        Ok(())
    }
}

/// Reads tickets from `["...", ...]` or `{"tickets": ["...", ...]}`.
fn read_tickets(body: &[u8]) -> Option<Vec<String>> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let list = value.as_array().or_else(|| value["tickets"].as_array())?;
    list.iter().map(|ticket| ticket.as_str().map(str::to_owned)).collect()
}

/// Determines the outcome from the header `x-outcome`, or else the field `outcome` of the body, and
/// the status.
fn classify(answer: ClientAnswer) -> RequestOutcome {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let reason = || {
        let text = body["reason"].as_str().unwrap_or("no reason given");
        format!("{}: {text}", answer.status)
    };
    let outcome = answer.header("x-outcome").or_else(|| body["outcome"].as_str());
    match (outcome, answer.status) {
        (Some("done") | None, 200..=299) => RequestOutcome::Done(body),
        (Some("accepted"), _) => {
            RequestOutcome::Accepted(body["task"].as_str().unwrap_or_default().to_owned())
        }
        (Some("not_run"), _) => RequestOutcome::Refused(reason()),
        (Some("unknown"), _) => RequestOutcome::Unknown(reason()),
        (Some("done"), status) => {
            RequestOutcome::Error(format!("the call ran and failed with status {status}"))
        }
        (_, status) => RequestOutcome::Error(format!("status {status} without an outcome")),
    }
}

/// Finds a field at any depth, since the design does not fix the structure of a task's state.
fn find_field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    match value {
        Value::Object(fields) => match fields.get(name) {
            Some(found) => Some(found),
            None => fields.values().find_map(|field| find_field(field, name)),
        },
        Value::Array(items) => items.iter().find_map(|item| find_field(item, name)),
        _ => None,
    }
}
