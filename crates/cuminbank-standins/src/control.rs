//! Fault injection: `POST /control` sets the fault mode of a stand-in, `GET /control` returns it
//! together with the counters.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    future::Future,
    rc::Rc,
    time::{Duration, Instant},
};

use cuminbank_net::server::{
    self, ServerAction, ServerGate, ServerLimits, ServerRequest, ServerResponse,
};
use http::Method;
use monoio::{net::TcpListener, time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// Interval at which a silent connection checks whether the fault has ended.
const SILENT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Connections of one stand-in are numbered from 0 in the order in which they were opened.
pub type ConnectionId = u64;

/// Fault that a stand-in simulates.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "mode")]
pub enum FaultMode {
    /// No fault.
    #[default]
    Normal,
    /// Every request is delayed before it takes effect.
    Slow {
        /// Delay in milliseconds.
        delay_ms: u64,
    },
    /// Connections are accepted, then closed at the first request, which has no effect.
    Down,
    /// Every request takes effect, but a share of the connections is closed without a response.
    LoseAnswers {
        /// Share of lost responses in percent.
        percent: u8,
    },
    /// Connections open at this moment stay open but do not respond until another mode is set; new
    /// connections work.
    Silent,
    /// No request is handled and no response is sent for a while.
    Pause {
        /// Length of the pause in milliseconds.
        ms: u64,
    },
    /// All work fails: an executor responds with 500 at the end of each call, a worker fails each
    /// attempt that it starts, and other stand-ins reject requests with 500 and without effect.
    FailAll,
}

/// Fault mode, open connections and request counters of one stand-in.
#[derive(Debug)]
pub struct FaultControl {
    mode: Cell<FaultMode>,
    pause_end: Cell<Option<Instant>>,
    /// Connections with a lower id are silent.
    first_answering: Cell<ConnectionId>,
    next_connection: Cell<ConnectionId>,
    open: RefCell<BTreeSet<ConnectionId>>,
    peak_connections: Cell<usize>,
    connection_limit: Cell<usize>,
    /// Connections opened while more than `connection_limit` were open.
    over_connections: Cell<u64>,
    requests: Cell<u64>,
    lost_answers: Cell<u64>,
    rng: RefCell<ChaCha8Rng>,
}

impl FaultControl {
    /// Creates a control in normal mode. `seed` determines which responses `LoseAnswers` drops.
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            mode: Cell::default(),
            pause_end: Cell::default(),
            first_answering: Cell::default(),
            next_connection: Cell::default(),
            open: RefCell::default(),
            peak_connections: Cell::default(),
            connection_limit: Cell::new(usize::MAX),
            over_connections: Cell::default(),
            requests: Cell::default(),
            lost_answers: Cell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        })
    }

    /// Sets how many connections may be open at once. Further ones are still accepted, but counted
    /// as `over_connections`.
    pub fn set_connection_limit(&self, limit: usize) {
        self.connection_limit.set(limit);
    }

    /// Sets the fault mode.
    pub fn set_mode(&self, mode: FaultMode) {
        let silences = mode == FaultMode::Silent;
        self.first_answering.set(if silences { self.next_connection.get() } else { 0 });
        match mode {
            FaultMode::Silent => {}
            FaultMode::Pause { ms } => {
                self.pause_end.set(Some(Instant::now() + Duration::from_millis(ms)));
            }
            _ => self.pause_end.set(None),
        }
        self.mode.set(mode);
    }

    /// Returns the fault mode.
    pub fn mode(&self) -> FaultMode {
        self.mode.get()
    }

    /// Returns whether the mode is [`FaultMode::FailAll`].
    pub fn fails_all(&self) -> bool {
        self.mode.get() == FaultMode::FailAll
    }

    /// Returns whether [`FaultMode::Silent`] is in force for the connection.
    pub fn is_silent(&self, connection: ConnectionId) -> bool {
        connection < self.first_answering.get()
    }

    /// Returns whether the connection is open.
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        self.open.borrow().contains(&connection)
    }

    /// Returns whether a pause is in progress.
    pub fn is_paused(&self) -> bool {
        self.pause_end.get().is_some_and(|end| Instant::now() < end)
    }

    /// Returns the body for `GET /control`; `counters` are those specific to the stand-in.
    pub fn report(&self, counters: Value) -> Value {
        let mut report = serde_json::to_value(self.mode.get()).unwrap_or_default();
        report["paused"] = json!(self.is_paused());
        report["requests"] = json!(self.requests.get());
        report["lost_answers"] = json!(self.lost_answers.get());
        report["open_connections"] = json!(self.open.borrow().len());
        report["over_connections"] = json!(self.over_connections.get());
        report["peak_connections"] = json!(self.peak_connections.get());
        report["counters"] = counters;
        report
    }

    async fn wait_for_pause(&self) {
        while let Some(end) = self.pause_end.get().filter(|_| self.is_paused()) {
            time::sleep(end.saturating_duration_since(Instant::now())).await;
        }
    }

    /// Applies the fault mode before a request is handled. A returned action replaces the handling
    /// of the request.
    async fn before_handling(&self, connection: ConnectionId) -> Option<ServerAction> {
        self.wait_for_pause().await;
        if let FaultMode::Slow { delay_ms } = self.mode.get() {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.block_if_silent(connection).await;
        (self.mode.get() == FaultMode::Down).then_some(ServerAction::Close)
    }

    /// Applies the fault mode to a response before it is sent.
    async fn before_answering(
        &self,
        connection: ConnectionId,
        action: ServerAction,
    ) -> ServerAction {
        self.wait_for_pause().await;
        self.block_if_silent(connection).await;
        match self.mode.get() {
            FaultMode::Down => ServerAction::Close,
            FaultMode::LoseAnswers { percent } if self.draw_lost_answer(percent) => {
                ServerAction::Close
            }
            _ => action,
        }
    }

    /// Blocks for as long as the connection is silent. The wait uses a timer because the runtime
    /// drops a task that nothing can wake, and dropping the task would close the connection.
    async fn block_if_silent(&self, connection: ConnectionId) {
        while self.is_silent(connection) {
            time::sleep(SILENT_POLL_INTERVAL).await;
        }
    }

    fn draw_lost_answer(&self, percent: u8) -> bool {
        let lost = self.rng.borrow_mut().random_range(0..100) < percent;
        if lost {
            self.lost_answers.set(self.lost_answers.get() + 1);
        }
        lost
    }

    fn handle(&self, request: &ServerRequest, counters: Value) -> ServerResponse {
        if request.method == Method::POST {
            match serde_json::from_slice(&request.body) {
                Ok(mode) => self.set_mode(mode),
                Err(error) => return error_response(400, &error.to_string()),
            }
        }
        json_response(200, &self.report(counters))
    }
}

/// Registers a connection on clone and removes it on drop. The server clones its handler, which
/// owns this guard, once for each new connection.
#[derive(Debug)]
struct ConnectionGuard {
    control: Rc<FaultControl>,
    connection: Option<ConnectionId>,
}

impl Clone for ConnectionGuard {
    fn clone(&self) -> Self {
        let control = Rc::clone(&self.control);
        let connection = control.next_connection.get();
        control.next_connection.set(connection + 1);
        let mut open = control.open.borrow_mut();
        open.insert(connection);
        control.peak_connections.set(control.peak_connections.get().max(open.len()));
        if open.len() > control.connection_limit.get() {
            control.over_connections.set(control.over_connections.get() + 1);
        }
        drop(open);
        Self { control, connection: Some(connection) }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(connection) = self.connection {
            self.control.open.borrow_mut().remove(&connection);
        }
    }
}

/// Serves `handler` and applies the fault mode of `control` to every request except `/control`.
/// `counters` returns the stand-in's own counters for `GET /control`.
pub async fn serve<C, H, F>(
    listener: TcpListener,
    control: Rc<FaultControl>,
    counters: C,
    handler: H,
) where
    C: Fn() -> Value + Clone + 'static,
    H: Fn(ServerRequest, ConnectionId) -> F + Clone + 'static,
    F: Future<Output = ServerAction> + 'static,
{
    let limits = ServerLimits { idle_timeout: Duration::from_secs(300), ..ServerLimits::default() };
    let guard = ConnectionGuard { control, connection: None };
    let faulty_handler = move |request: ServerRequest| {
        let guard = &guard;
        let control = Rc::clone(&guard.control);
        let connection = guard.connection.unwrap_or_default();
        let (counters, handler) = (counters.clone(), handler.clone());
        async move {
            if request.path == "/control" {
                return ServerAction::Respond(control.handle(&request, counters()));
            }
            control.requests.set(control.requests.get() + 1);
            if let Some(action) = control.before_handling(connection).await {
                return action;
            }
            let action = handler(request, connection).await;
            control.before_answering(connection, action).await
        }
    };
    server::serve(listener, limits, ServerGate::default(), faulty_handler).await;
}

/// Creates a response with a JSON body.
pub(crate) fn json_response(status: u16, body: &impl Serialize) -> ServerResponse {
    ServerResponse::new_json(status, serde_json::to_vec(body).unwrap_or_default())
}

/// Creates a response with the body `{"error": error}`.
pub(crate) fn error_response(status: u16, error: &str) -> ServerResponse {
    json_response(status, &json!({ "error": error }))
}
