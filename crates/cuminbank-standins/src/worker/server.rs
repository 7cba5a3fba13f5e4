//! HTTP server of a worker.

use std::{cell::RefCell, rc::Rc};

use cuminbank::worker::{TaskStart, WorkerReply, WorkerRequest};
use cuminbank_net::server::{ServerAction, ServerRequest, ServerResponse};
use hdrhistogram::Histogram;
use http::Method;
use monoio::net::TcpListener;
use serde::Deserialize;
use serde_json::{json, Value};

use super::{
    core::WorkerCore,
    types::{TaskExecution, WorkerSettings},
};
use crate::{
    clock::{unix_millis, StandinClock},
    control::{self, error_response, json_response, FaultControl},
    interference::MachineLoad,
};

/// HTTP server of a worker.
#[derive(Clone)]
pub struct WorkerServer(Rc<WorkerState>);

struct WorkerState {
    core: RefCell<WorkerCore>,
    clock: StandinClock,
    /// Delays in milliseconds from `sent_unix_ms` of a task's input to the start of its first
    /// attempt.
    start_delays: RefCell<Histogram<u64>>,
    control: Rc<FaultControl>,
}

#[derive(Deserialize)]
struct RenewBody {
    lease_ms: u64,
    tasks: Vec<(String, u32)>,
}

#[derive(Deserialize)]
struct StopBody {
    task: String,
    attempt: u32,
    checkpoint: bool,
}

#[derive(Deserialize)]
struct ThrottleBody {
    task: String,
    attempt: u32,
    percent: u8,
}

#[derive(Deserialize)]
struct LeavingBody {
    leaving: bool,
}

impl WorkerServer {
    /// Creates an idle worker. Execution logs can be compared only between servers that share a
    /// clock. `seed` determines which responses are lost.
    pub fn new(settings: WorkerSettings, clock: StandinClock, seed: u64) -> Self {
        Self(Rc::new(WorkerState {
            core: RefCell::new(WorkerCore::new(settings)),
            clock,
            start_delays: RefCell::new(new_delay_histogram()),
            control: FaultControl::new(seed),
        }))
    }

    /// Returns the fault control.
    pub fn control(&self) -> Rc<FaultControl> {
        Rc::clone(&self.0.control)
    }

    /// Returns the current batch load of the machine.
    pub fn load(&self) -> MachineLoad {
        let mut core = self.0.core.borrow_mut();
        core.advance(self.0.clock.now());
        core.load()
    }

    /// Records the slowdown of an urgent call on this machine for the usage report.
    pub fn record_slowdown(&self, class: &str, slowdown: f64) {
        self.0.core.borrow_mut().record_slowdown(self.0.clock.now(), class, slowdown);
    }

    /// Returns the worker's own counters and its free resources for `GET /control`.
    pub fn counters(&self) -> Value {
        let mut core = self.0.core.borrow_mut();
        core.advance(self.0.clock.now());
        let mut counters = json!(core.counters());
        counters["free"] = json!(core.free());
        counters
    }

    /// Adds the start delays recorded so far, in milliseconds, to `delays`.
    pub fn add_start_delays(&self, delays: &mut Histogram<u64>) {
        // Can't fail, since both histograms have the same bounds.
        let _ = delays.add(&*self.0.start_delays.borrow());
    }

    /// Returns the latest executions, oldest first.
    pub fn executions(&self) -> Vec<TaskExecution> {
        let mut core = self.0.core.borrow_mut();
        core.advance(self.0.clock.now());
        core.executions().cloned().collect()
    }

    /// Serves forever.
    pub async fn serve(self, listener: TcpListener) {
        let reporter = self.clone();
        let control = self.control();
        let handler = move |request, _| {
            let server = self.clone();
            async move { ServerAction::Respond(server.handle(&request)) }
        };
        control::serve(listener, control, move || reporter.counters(), handler).await;
    }

    fn handle(&self, request: &ServerRequest) -> ServerResponse {
        let body = &request.body;
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/tasks") => self.start(body),
            (&Method::POST, "/v1/renew") => self.apply_body(body, |renew: RenewBody| {
                WorkerRequest::Renew { lease_ms: renew.lease_ms, tasks: renew.tasks }
            }),
            (&Method::POST, "/v1/stop") => self.apply_body(body, |stop: StopBody| {
                let StopBody { task, attempt, checkpoint } = stop;
                WorkerRequest::Stop { task, attempt, checkpoint }
            }),
            (&Method::POST, "/v1/throttle") => self.apply_body(body, |throttle: ThrottleBody| {
                let ThrottleBody { task, attempt, percent } = throttle;
                WorkerRequest::Throttle { task, attempt, percent }
            }),
            (&Method::GET, "/v1/tasks") => match parse_since(&request.query) {
                Some(since) => self.apply(WorkerRequest::List { since }),
                None => error_response(400, "since is not a number"),
            },
            (&Method::GET, "/v1/executions") => json_response(200, &self.executions()),
            (&Method::POST, "/v1/leaving") => match serde_json::from_slice::<LeavingBody>(body) {
                Ok(body) => {
                    self.0.core.borrow_mut().set_leaving(body.leaving);
                    json_response(200, &json!({"leaving": body.leaving}))
                }
                Err(error) => error_response(400, &error.to_string()),
            },
            _ => error_response(404, "no such path"),
        }
    }

    fn start(&self, body: &[u8]) -> ServerResponse {
        let start: TaskStart = match serde_json::from_slice(body) {
            Ok(start) => start,
            Err(error) => return error_response(400, &error.to_string()),
        };
        let sent = start.input["sent_unix_ms"].as_u64().filter(|_| start.attempt == 1);
        let response = self.apply(WorkerRequest::Start(start));
        if let Some(sent) = sent.filter(|_| response.status == 200) {
            let delay = unix_millis().saturating_sub(sent);
            self.0.start_delays.borrow_mut().saturating_record(delay);
        }
        response
    }

    fn apply_body<T: for<'a> Deserialize<'a>>(
        &self,
        body: &[u8],
        request: impl Fn(T) -> WorkerRequest,
    ) -> ServerResponse {
        match serde_json::from_slice(body) {
            Ok(body) => self.apply(request(body)),
            Err(error) => error_response(400, &error.to_string()),
        }
    }

    fn apply(&self, request: WorkerRequest) -> ServerResponse {
        let mut core = self.0.core.borrow_mut();
        core.set_fail_all(self.0.control.fails_all());
        let reply = core.apply(self.0.clock.now(), request);
        match reply {
            WorkerReply::Accepted => json_response(200, &json!({})),
            WorkerReply::Refused { status } => error_response(status, "refused"),
            WorkerReply::Renewed { missing } => json_response(200, &json!({"missing": missing})),
            WorkerReply::Stopped { checkpoint, ended } => {
                json_response(200, &json!({"checkpoint": checkpoint, "ended": ended}))
            }
            WorkerReply::Listed(report) => json_response(200, &report),
        }
    }
}

/// Creates a histogram for start delays in milliseconds of up to one hour.
pub(crate) fn new_delay_histogram() -> Histogram<u64> {
    Histogram::new_with_max(3_600_000, 3)
        .expect("histogram bounds of 1 ms to 1 h with 3 digits are valid")
}

fn parse_since(query: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    match pairs.find(|(name, _)| *name == "since") {
        Some((_, since)) => since.parse().ok(),
        None => Some(0),
    }
}
