//! The entry daemon: turns socket input, timers and signals into events of the reducer.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant, SystemTime},
};

use cuminbank::{
    effect::{CallerAnswer, MetricSample, MetricValue},
    event::EntryEvent,
    ids::{ExchangeId, MonotonicTime, ReplyId, StartNumber},
    log::{LogRecord, PROCESS_STARTED},
    message::{decode, PeerReply, PeerRequest},
    reducer::{groups::LOAD_BALANCER_DELAY, EntryReducer, TICK_INTERVAL},
    settings::EntrySettings,
};
use cuminbank_net::{
    budget_watch::{BudgetChange, BudgetWatch},
    client::HttpPool,
    etcd::StoreClient,
    input_budget::{BudgetLimits, InputBudget, PortKind},
    logging,
    memory_plan::MemoryPlan,
    memory_report::memory_parts,
    peer::{self, PeerPool},
    runtime,
    server::{self, ServerBounds, ServerGate, ServerLimits},
};
use local_sync::oneshot;
use monoio::{net::udp::UdpSocket, time};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::{metrics::MetricSender, routes};

/// Size of the receive buffer for datagrams of peers.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Longest time that a stop waits until all connections of callers are closed.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// State shared by the tasks of the daemon.
pub(crate) struct DaemonState {
    pub(crate) settings: EntrySettings,
    /// Memory and connections that the servers and clients of the process share.
    pub(crate) budget: InputBudget,
    memory: MemoryPlan,
    pub(crate) executors: HttpPool,
    pub(crate) workers: HttpPool,
    pub(crate) platform: HttpPool,
    pub(crate) store: StoreClient,
    pub(crate) peers: PeerPool,
    pub(crate) socket: UdpSocket,
    pub(crate) metrics: MetricSender,
    /// Abort channels of the dispatches in progress.
    pub(crate) dispatch_aborts: RefCell<HashMap<ExchangeId, oneshot::Sender<()>>>,
    /// Number of the current store watch. Changes from a watch with a lower number are ignored.
    pub(crate) watch_number: Cell<u64>,
    pub(crate) exiting: Cell<bool>,
    gate: ServerGate,
    draining_since: Cell<Option<Instant>>,
    reducer: RefCell<EntryReducer>,
    started: Instant,
    last_reply: Cell<ReplyId>,
    waiting_callers: RefCell<HashMap<ReplyId, oneshot::Sender<CallerAnswer>>>,
    waiting_peers: RefCell<HashMap<ReplyId, oneshot::Sender<PeerReply>>>,
}

impl DaemonState {
    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    /// Applies an event to the reducer and executes the resulting effects.
    pub(crate) fn apply(self: &Rc<Self>, event: EntryEvent) {
        let effects = self.reducer.borrow_mut().apply(self.now(), event);
        for effect in effects {
            self.execute(effect);
        }
    }

    /// Applies the event that `new_event` builds for a new reply id, then waits for the answer of
    /// the reducer.
    pub(crate) async fn wait_for_answer(
        self: &Rc<Self>,
        new_event: impl FnOnce(ReplyId) -> EntryEvent,
    ) -> CallerAnswer {
        let reply = self.next_reply();
        let (sender, receiver) = oneshot::channel();
        self.waiting_callers.borrow_mut().insert(reply, sender);
        self.apply(new_event(reply));
        let _guard = CallerGuard { state: Rc::clone(self), reply };
        receiver.await.unwrap_or_else(|_| CallerAnswer::new_unknown("the instance stopped"))
    }

    async fn wait_for_peer_reply(
        self: &Rc<Self>,
        new_event: impl FnOnce(ReplyId) -> EntryEvent,
    ) -> Option<PeerReply> {
        let reply = self.next_reply();
        let (sender, receiver) = oneshot::channel();
        self.waiting_peers.borrow_mut().insert(reply, sender);
        self.apply(new_event(reply));
        receiver.await.ok()
    }

    pub(crate) fn answer_caller(&self, reply: ReplyId, answer: CallerAnswer) {
        if let Some(sender) = self.waiting_callers.borrow_mut().remove(&reply) {
            let _ = sender.send(answer);
        }
    }

    pub(crate) fn answer_peer(&self, reply: ReplyId, answer: PeerReply) {
        if let Some(sender) = self.waiting_peers.borrow_mut().remove(&reply) {
            let _ = sender.send(answer);
        }
    }

    pub(crate) fn log(&self, record: &LogRecord) {
        logging::write(&self.settings.instance, record);
    }

    fn report_budget(&self, change: &BudgetChange) {
        let counts = [
            ("connections.cut", change.cut),
            ("connections.refused", change.refused),
            ("connections.closed", change.closed),
            ("connections.lost_answers", change.lost_answers),
        ];
        for (name, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
            let (class, customer, value) =
                (String::new(), String::new(), MetricValue::Count(count));
            self.metrics.send(&MetricSample { name, class, customer, value });
        }
        change.event.iter().for_each(|record| self.log(record));
    }

    /// Sends the gauges of the memory and of its limits.
    fn report_memory(&self) {
        // Tasks of a group are not limited.
        for part in memory_parts(&self.memory, &self.budget, 0) {
            for (name, value) in [("memory", part.used), ("memory_limit", part.limit)] {
                let (class, customer, value) =
                    (part.name.to_owned(), String::new(), MetricValue::Gauge(value));
                self.metrics.send(&MetricSample { name, class, customer, value });
            }
        }
    }

    /// Starts a planned stop; has no effect if one is in progress.
    pub(crate) fn begin_drain(self: &Rc<Self>) {
        if self.draining_since.get().is_none() {
            self.draining_since.set(Some(Instant::now()));
            self.gate.drain();
            self.apply(EntryEvent::DrainRequested);
        }
    }

    /// Closes the HTTP server once the load balancer has had time to notice the failed readiness.
    fn close_after_drain_delay(&self) {
        if self.draining_since.get().is_some_and(|since| since.elapsed() >= LOAD_BALANCER_DELAY) {
            self.gate.close();
        }
    }

    fn next_reply(&self) -> ReplyId {
        self.last_reply.set(self.last_reply.get() + 1);
        self.last_reply.get()
    }
}

/// Guard of a waiting caller. Dropping it before the answer reports the caller as disconnected.
struct CallerGuard {
    state: Rc<DaemonState>,
    reply: ReplyId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let waiting = self.state.waiting_callers.borrow_mut().remove(&self.reply).is_some();
        // When the process exits, the runtime drops all tasks and effects can no longer run.
        if waiting && !self.state.exiting.get() {
            self.state.apply(EntryEvent::CallerDisconnected { reply: self.reply });
        }
    }
}

/// Entry instance with its bound sockets.
pub struct EntryDaemon {
    state: Rc<DaemonState>,
    http: monoio::net::TcpListener,
    peer: monoio::net::TcpListener,
    stop: Arc<AtomicBool>,
}

impl EntryDaemon {
    /// Registers the signal handlers and binds the addresses in the settings.
    ///
    /// Fails if a handler cannot be registered or an address cannot be bound.
    pub fn new(settings: EntrySettings, start: StartNumber) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
        let plan = MemoryPlan::new(settings.memory_mb);
        let budget = InputBudget::new(BudgetLimits::new(&plan));
        let listen =
            |address, backlog| runtime::listen_bounded(address, backlog, plan.socket_buffer);
        let state = DaemonState {
            executors: HttpPool::new().with_budget(&budget),
            workers: HttpPool::new().with_budget(&budget),
            platform: HttpPool::new().with_budget(&budget),
            store: StoreClient::new(settings.store_addresses.clone()).with_budget(&budget),
            peers: PeerPool::new().with_budget(&budget),
            budget,
            memory: plan,
            socket: runtime::bind_udp(settings.peer_address)?,
            metrics: MetricSender::new(settings.metrics_address)?,
            dispatch_aborts: RefCell::default(),
            watch_number: Cell::new(0),
            exiting: Cell::new(false),
            gate: ServerGate::default(),
            draining_since: Cell::new(None),
            reducer: RefCell::new(EntryReducer::new(settings.clone(), start)),
            started: Instant::now(),
            last_reply: Cell::new(0),
            waiting_callers: RefCell::default(),
            waiting_peers: RefCell::default(),
            settings,
        };
        Ok(Self {
            http: listen(state.settings.http_address, plan.client_backlog)?,
            peer: listen(state.settings.peer_address, plan.backlog)?,
            state: Rc::new(state),
            stop,
        })
    }

    /// Serves until a planned stop, started by SIGTERM, SIGINT or an operator, is complete.
    pub async fn run(self) {
        let Self { state, http, peer, stop } = self;
        let detail = format!(
            "zone {}, callers on {}, peers on {}",
            state.settings.zone, state.settings.http_address, state.settings.peer_address
        );
        state.log(&LogRecord::new(PROCESS_STARTED, detail));
        serve_callers(&state, http);
        serve_peers(&state, peer);
        monoio::spawn(receive_datagrams(Rc::clone(&state)));
        run_ticks(&state, &stop).await;
        state.gate.close();
        wait_for_writes(&state.gate).await;
    }
}

fn serve_callers(state: &Rc<DaemonState>, listener: monoio::net::TcpListener) {
    let handler_state = Rc::clone(state);
    let handler = move |request| routes::handle(Rc::clone(&handler_state), request);
    let limits = ServerLimits {
        read_timeout: state.settings.request_read_timeout(),
        cancels_on_disconnect: true,
        ..ServerLimits::default()
    };
    let bounds = ServerBounds::new(&state.budget, PortKind::Clients);
    monoio::spawn(server::serve_within(listener, limits, bounds, state.gate.clone(), handler));
}

fn serve_peers(state: &Rc<DaemonState>, listener: monoio::net::TcpListener) {
    let (state, budget) = (Rc::clone(state), state.budget.clone());
    monoio::spawn(peer::serve_within(listener, budget, move |request: Option<PeerRequest>| {
        let state = Rc::clone(&state);
        async move {
            let request = request?;
            state
                .wait_for_peer_reply(|reply| EntryEvent::PeerRequestReceived { reply, request })
                .await
        }
    }));
}

async fn receive_datagrams(state: Rc<DaemonState>) {
    loop {
        let (result, buffer) = state.socket.recv_from(vec![0; MAX_DATAGRAM_BYTES]).await;
        let Ok((length, from)) = result else {
            // Some kernels report an unreachable peer as an error of the next receive.
            time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        if let Some(datagram) = decode(&buffer[..length]) {
            state.apply(EntryEvent::DatagramReceived { from, datagram });
        }
    }
}

async fn run_ticks(state: &Rc<DaemonState>, stop: &AtomicBool) {
    let mut last_idle_check = Instant::now();
    let mut watch = BudgetWatch::new(&state.budget);
    while !state.exiting.get() {
        state.apply(EntryEvent::Tick { wall: SystemTime::now() });
        if stop.load(Ordering::Relaxed) {
            state.begin_drain();
        }
        state.close_after_drain_delay();
        if last_idle_check.elapsed() > Duration::from_secs(5) {
            last_idle_check = Instant::now();
            state.executors.close_idle();
            state.peers.close_idle();
            state.workers.close_idle();
            if state.settings.metrics_address.is_some() {
                state.report_memory();
            }
        }
        if let Some(change) = watch.poll() {
            state.report_budget(&change);
        }
        time::sleep(TICK_INTERVAL).await;
    }
}

async fn wait_for_writes(gate: &ServerGate) {
    let started = Instant::now();
    while gate.connections() > 0 && started.elapsed() < FLUSH_TIMEOUT {
        time::sleep(Duration::from_millis(5)).await;
    }
}
