//! HTTP server of an executor.

use std::{cell::RefCell, rc::Rc};

use cuminbank_net::server::{ServerAction, ServerRequest, ServerResponse};
use http::Method;
use monoio::net::TcpListener;
use serde_json::{json, Value};

use super::{
    bookings::BookingTable,
    core::{CallExecution, CallStart, ExecutorCore},
};
use crate::{
    clock::StandinClock,
    control::{self, error_response, json_response, FaultControl},
    interference::{InterferenceFactors, MachineLoad},
    worker::WorkerServer,
};

/// HTTP server of an executor.
#[derive(Clone)]
pub struct ExecutorServer(Rc<ExecutorState>);

struct ExecutorState {
    core: RefCell<ExecutorCore>,
    table: Rc<RefCell<BookingTable>>,
    /// Worker on the same machine; its batch tasks slow the calls.
    worker: Option<WorkerServer>,
    factors: InterferenceFactors,
    clock: StandinClock,
    control: Rc<FaultControl>,
}

impl ExecutorServer {
    /// Creates an executor. All executors of a fleet share `table`; `seed` determines which
    /// responses are lost.
    pub fn new(
        core: ExecutorCore,
        table: Rc<RefCell<BookingTable>>,
        worker: Option<WorkerServer>,
        factors: InterferenceFactors,
        clock: StandinClock,
        seed: u64,
    ) -> Self {
        Self(Rc::new(ExecutorState {
            core: RefCell::new(core),
            table,
            worker,
            factors,
            clock,
            control: FaultControl::new(seed),
        }))
    }

    /// Returns the fault control.
    pub fn control(&self) -> Rc<FaultControl> {
        Rc::clone(&self.0.control)
    }

    /// Returns the executor's own counters for `GET /control`.
    pub fn counters(&self) -> Value {
        let core = self.0.core.borrow();
        let mut counters = json!(core.counters());
        counters["running"] = json!(core.running().len());
        counters
    }

    /// Returns the latest executions, oldest first.
    pub fn executions(&self) -> Vec<CallExecution> {
        self.0.core.borrow().executions().cloned().collect()
    }

    /// Serves forever.
    pub async fn serve(self, listener: TcpListener) {
        let reporter = self.clone();
        let control = self.control();
        let handler = move |request, _| {
            let server = self.clone();
            async move { ServerAction::Respond(server.handle(request).await) }
        };
        control::serve(listener, control, move || reporter.counters(), handler).await;
    }

    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/run") => match request.header("x-call-id") {
                Some(call) => self.run(call, &request.body).await.with_header("x-call-id", call),
                None => error_response(400, "the header x-call-id is missing"),
            },
            (&Method::GET, "/v1/running") => json_response(200, &self.0.core.borrow().running()),
            (&Method::GET, "/v1/executions") => json_response(200, &self.executions()),
            (&Method::GET, "/v1/slots") => {
                let table = self.0.table.borrow();
                let slots: std::collections::BTreeMap<_, _> = table.confirmations().collect();
                json_response(200, &slots)
            }
            _ => error_response(404, "no such path"),
        }
    }

    async fn run(&self, call: &str, body: &[u8]) -> ServerResponse {
        let state = &self.0;
        let slowdown = self.slowdown(body);
        state.core.borrow_mut().set_fail_all(state.control.fails_all());
        let started = state.core.borrow_mut().start(state.clock.now(), call, body, slowdown);
        let done_at = match started {
            CallStart::Started { done_at } => done_at,
            CallStart::Full => return error_response(503, "every slot is taken"),
            CallStart::Repeated => return error_response(409, "a call with this id is running"),
            CallStart::Unreadable(error) => return error_response(400, &error),
        };
        state.clock.sleep_until(done_at).await;
        let now = state.clock.now();
        match state.core.borrow_mut().finish(now, call, &mut state.table.borrow_mut()) {
            Some((status, answer)) => json_response(status, &answer),
            None => error_response(500, "the call was ended by a restart"),
        }
    }

    /// Returns the slowdown of a call by the batch tasks on this machine and records it for the
    /// worker's usage report. The class of the call is the field `class` of its body, or `op` if
    /// there is none.
    fn slowdown(&self, body: &[u8]) -> f64 {
        let Some(worker) = &self.0.worker else {
            return 1.0;
        };
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let class = body["class"].as_str().or(body["op"].as_str()).unwrap_or_default();
        let load: MachineLoad = worker.load();
        let slowdown = self.0.factors.slowdown(class, &load);
        worker.record_slowdown(class, slowdown);
        slowdown
    }
}
