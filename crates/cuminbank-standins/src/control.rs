//! Fault control of a stand-in: `POST /control` sets how it fails, `GET /control` shows it.

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

/// Step of the wait of a silent connection.
const SILENT_POLL_INTERVAL: Duration = Duration::from_secs(60);

/// Number of a connection of one stand-in, in the order of their opening.
pub type ConnectionId = u64;

/// How a stand-in fails.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "mode")]
pub enum FaultMode {
    /// It works.
    #[default]
    Normal,
    /// Every request waits before it takes effect.
    Slow {
        /// The wait.
        delay_ms: u64,
    },
    /// Connections are accepted and closed at the first request, which has no effect.
    Down,
    /// Requests take effect, and a share of them is closed without an answer.
    LoseAnswers {
        /// Share in percent.
        percent: u8,
    },
    /// Connections that are open now stay open and never answer again; new ones work.
    Silent,
    /// Nothing is read or answered for a while.
    Pause {
        /// How long.
        ms: u64,
    },
    /// Work fails: an executor answers 500, a worker fails what it starts, other stand-ins refuse
    /// with 500 and no effect.
    FailAll,
}

/// Fault mode and connections of one stand-in.
#[derive(Debug)]
pub struct FaultControl {
    mode: Cell<FaultMode>,
    pause_end: Cell<Option<Instant>>,
    first_answering: Cell<ConnectionId>,
    next_connection: Cell<ConnectionId>,
    open: RefCell<BTreeSet<ConnectionId>>,
    peak_connections: Cell<usize>,
    connection_limit: Cell<usize>,
    over_connections: Cell<u64>,
    requests: Cell<u64>,
    lost_answers: Cell<u64>,
    rng: RefCell<ChaCha8Rng>,
}

impl FaultControl {
    /// Creates a control in normal mode; `seed` decides which answers are lost.
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

    /// Sets the number of connections above which a further one counts as `over_connections`.
    pub fn set_connection_limit(&self, limit: usize) {
        self.connection_limit.set(limit);
    }

    /// Sets the mode.
    pub fn set_mode(&self, mode: FaultMode) {
        match mode {
            FaultMode::Silent => self.first_answering.set(self.next_connection.get()),
            FaultMode::Pause { ms } => {
                self.pause_end.set(Some(Instant::now() + Duration::from_millis(ms)));
            }
            _ => self.pause_end.set(None),
        }
        self.mode.set(mode);
    }

    /// Returns the mode.
    pub fn mode(&self) -> FaultMode {
        self.mode.get()
    }

    /// Tells whether work is to fail.
    pub fn fails_all(&self) -> bool {
        self.mode.get() == FaultMode::FailAll
    }

    /// Tells whether the connection never answers again.
    pub fn is_silent(&self, connection: ConnectionId) -> bool {
        connection < self.first_answering.get()
    }

    /// Tells whether the connection is open.
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        self.open.borrow().contains(&connection)
    }

    /// Tells whether nothing is to be sent at present.
    pub fn is_paused(&self) -> bool {
        self.pause_end.get().is_some_and(|end| Instant::now() < end)
    }

    /// Returns the state for `GET /control`, with the stand-in's own counters.
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

    /// Applies the mode to a request that was read; an action means that it has no effect.
    async fn before_handling(&self, connection: ConnectionId) -> Option<ServerAction> {
        self.wait_for_pause().await;
        if let FaultMode::Slow { delay_ms } = self.mode.get() {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.block_if_silent(connection).await;
        (self.mode.get() == FaultMode::Down).then_some(ServerAction::Close)
    }

    /// Applies the mode to an answer that is about to be sent.
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

    /// Never ends for a silent connection. A timer keeps the task of the connection alive: the
    /// runtime frees a task that nothing can wake, which would close the connection.
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

/// Registers a connection while it lives. The server clones its handler once for each connection,
/// so that a clone stands for a new connection.
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

/// Serves a stand-in under fault control. `counters` gives its own part of `GET /control`.
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

/// Creates a response from a JSON value.
pub(crate) fn json_response(status: u16, body: &impl Serialize) -> ServerResponse {
    ServerResponse::new_json(status, serde_json::to_vec(body).unwrap_or_default())
}

/// Creates a response that states an error.
pub(crate) fn error_response(status: u16, error: &str) -> ServerResponse {
    json_response(status, &json!({ "error": error }))
}
