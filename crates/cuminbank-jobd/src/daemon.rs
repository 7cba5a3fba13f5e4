//! Daemon state shared by all async tasks, and the start and stop of the process.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    io,
    path::PathBuf,
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};

use bytes::Bytes;
use cuminbank::log::{
    DRAIN_ENDED, DRAIN_STARTED, ORDER_FOR_EARLIER_INCARNATION, PROCESS_STARTED, SETTINGS_CHECKED,
};
use cuminbank_jobs::{
    admission::{AdmissionState, RefusalLog},
    cells::{CellLoads, PoolPlan},
    config::ActiveConfig,
    evacuation::ZoneEvacuations,
    formats::SUPPORTED_FORMATS,
    ids::{CellId, ExecutorName, JobId, MonotonicTime, WallTime},
    instances::InstanceRegistry,
    job::StepId,
    lease_bounds::is_lease_for,
    order::{AdviceFailure, AdviceReply, ExecutorOrder, OrderFailure, OrderReply},
    peer::{PeerReply, PeerRequest},
    relay::RelayPool,
    scheduler::{DecisionRecord, TICK_INTERVAL},
    settings::JobSettings,
    store::{StoreCall, StoreFailure, StoreReply},
    work_limit::{WorkAllowance, WorkLedger},
};
use cuminbank_net::{
    budget_watch::{BudgetChange, BudgetWatch},
    client::{ClientAnswer, ConnectionLabel, ConnectionLabels, HttpPool, LabelCheck},
    input_budget::{BudgetLimits, InputBudget, PortKind},
    memory_plan::MemoryPlan,
    memory_report::memory_parts,
    peer::{self, PeerPool},
    runtime,
    server::{self, ServerBounds, ServerGate, ServerLimits},
};
use cuminbank_platform::{
    advice,
    order::{decode_clock, decode_reply, encode_order},
};
use monoio::{net::TcpListener, time};
use serde_json::{json, Value};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::{
    admission,
    cell::CellState,
    clients, clock,
    confirmation::ConfirmationTurn,
    division, handover,
    logging::DecisionLog,
    metrics::JobMetrics,
    moves, operators,
    registration::{self, BUILD_NAME},
    store::StoreClient,
    watches, work_limit,
};

/// Connections to an executor until a configuration has been read.
const INITIAL_CONNECTION_SHARE: usize = 2;
/// Time after the start of a planned stop during which the load balancer may still send
/// connections. It checks readiness once a second and reacts to the second failed check.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_600);
/// How long before the platform kills the process a planned stop ends, even with open connections.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time without a reply of the store after which the instance reports that it is not ready.
const MAX_READY_SILENCE: Duration = Duration::from_millis(2_500);
/// Time without a reply of the store up to which a planned stop hands over the owned cells.
const MAX_HANDOVER_SILENCE: Duration = Duration::from_millis(1_000);
/// Time for which the text of the metrics is served again. Making it takes as long as many requests.
const MAX_METRICS_AGE: Duration = Duration::from_millis(50);
/// Time for which the gauges of the memory are kept. Reading them goes through all sockets of the machine.
const MAX_MEMORY_AGE: Duration = Duration::from_secs(1);
/// Interval at which idle connections to executors are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Tick interval of an instance that owns no cell while every cell has an owner. Vacant cells need
/// shorter ticks: instances spread their claims over a tenth of a second, and coarse ticks would
/// make the claims coincide again.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// State shared by all async tasks of the daemon.
pub(crate) struct DaemonState {
    pub(crate) settings: JobSettings,
    settings_path: PathBuf,
    pub(crate) store: StoreClient,
    pub(crate) config: RefCell<ActiveConfig>,
    pub(crate) confirmation: ConfirmationTurn,
    pub(crate) evacuations: RefCell<ZoneEvacuations>,
    /// Division of the pool into cells; `None` until known.
    pub(crate) plan: RefCell<Option<Rc<PoolPlan>>>,
    /// Cells in id order; empty until the plan is known.
    pub(crate) cells: RefCell<Vec<Rc<CellState>>>,
    pub(crate) loads: RefCell<CellLoads>,
    /// Latest room of each cell; empty unless submissions are admitted by it.
    pub(crate) admission: RefCell<AdmissionState>,
    /// Queues whose jobs are being refused.
    pub(crate) refusals: RefCell<RefusalLog>,
    /// Parts of the memory of the process.
    pub(crate) memory: MemoryPlan,
    /// Memory that this instance has granted to others as the owner of cells.
    pub(crate) work: RefCell<WorkLedger>,
    /// Memory that the owner of each cell has granted to this instance.
    pub(crate) allowances: RefCell<BTreeMap<CellId, WorkAllowance>>,
    /// Queues whose jobs are being refused for lack of memory.
    pub(crate) work_refusals: RefCell<RefusalLog>,
    /// Cache of the cells of jobs that are outside their home cell.
    pub(crate) non_home_cells: RefCell<HashMap<JobId, CellId>>,
    /// Entries of the live instances.
    pub(crate) registry: RefCell<InstanceRegistry>,
    /// Instances that can relay task starts for this one.
    pub(crate) relays: RefCell<RelayPool>,
    /// Random number that identifies this start of the process.
    pub(crate) start: u64,
    pub(crate) peers: PeerPool,
    pub(crate) metrics: JobMetrics,
    /// Last text of the metrics, and when it was made.
    metrics_text: RefCell<Option<(MonotonicTime, Bytes)>>,
    /// When the gauges of the memory were read.
    memory_read_at: Cell<Option<MonotonicTime>>,
    /// Memory and connections that the servers and clients of the process share.
    budget: InputBudget,
    executors: HttpPool,
    log: DecisionLog,
    gate: ServerGate,
    draining_since: Cell<Option<MonotonicTime>>,
    /// Whether a planned stop has handed over the owned cells.
    handed_over: Cell<bool>,
}

impl DaemonState {
    pub(crate) fn log(&self, record: &DecisionRecord) {
        self.log.write(record);
    }

    /// Returns the recent decisions of this instance about a job, oldest first.
    pub(crate) fn decisions(&self, job: JobId) -> Vec<(WallTime, DecisionRecord)> {
        self.log.decisions(job)
    }

    /// Calls the store and counts the call. `timeout` applies to each page of a prefix read.
    pub(crate) async fn call_store(
        &self,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        self.metrics.count("store.calls", "");
        self.store.call(call, timeout, |record| self.log(&record)).await
    }

    /// Returns whether the instance is ready for new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.draining_since.get().is_none()
            && self.config.borrow().current().is_some()
            && self.plan().is_some()
            && !self.is_behind()
            && self.store.silence() < MAX_READY_SILENCE
    }

    /// Returns the status of the instance for the operator API.
    pub(crate) fn status(&self) -> Value {
        let cells = self.all_cells();
        let config_age = self.config.borrow().age(clock::now());
        json!({
            "instance": self.settings.instance,
            "zone": self.settings.zone,
            "build": BUILD_NAME,
            "formats": self.format_status(),
            "ready": self.is_ready(),
            "evacuated_zones": self.evacuations.borrow().zones(),
            "config_version": self.config.borrow().current().map(|config| config.version),
            "config_age_ms": config_age.map(|age| age.as_millis() as u64),
            "cells": cells.iter().map(|cell| cell.status()).collect::<Vec<_>>(),
            "owns_pool": cells.iter().any(|cell| cell.held_epoch().is_some()),
            "carriers": self.relays.borrow().count(clock::now()),
            "store_lost": self.store.is_unreachable(),
            "store_silent_ms": self.store.silence().as_millis() as u64,
        })
    }

    /// Sets how many connections to an executor this process may open.
    pub(crate) fn set_connection_share(&self, count: usize) {
        self.executors.set_max_connections(count);
    }

    /// Sends an order to an executor, unless its validity has expired by the time of sending.
    pub(crate) async fn send_order(
        &self,
        order: ExecutorOrder,
    ) -> Result<OrderReply, OrderFailure> {
        let message = encode_order(&order);
        let valid_until = order.valid_until;
        let may_send = || clock::now() < valid_until;
        // A restarted executor takes orders for its earlier incarnation, but not on a connection that
        // the earlier one had accepted. The label of a connection is the time at which the clock of
        // its executor was zero. It counts from the time of sending, as this process may get the
        // response late.
        let now_ms = || clock::now().as_millis() as u64;
        let read = |answer: &ClientAnswer, elapsed: Duration| {
            let sent_ms = now_ms().saturating_sub(elapsed.as_millis() as u64);
            Some(sent_ms.wrapping_sub(decode_clock(answer)?))
        };
        let rejected = Cell::new(None);
        let accepts = |label: ConnectionLabel| {
            let (executor_clock, lease) =
                (now_ms().wrapping_sub(label), order.request.lease_until());
            let accepted = lease.is_none_or(|until| is_lease_for(executor_clock, until));
            if !accepted {
                rejected.set(Some(executor_clock));
            }
            accepted
        };
        let check = order
            .request
            .lease_until()
            .map(|_| LabelCheck { probe: encode_order(&order.clock_probe()), accepts: &accepts });
        let labels = ConnectionLabels { read: &read, check };
        let (address, timeout) = (order.address, order.timeout);
        let exchange =
            self.executors.exchange_labelled(address, message, timeout, may_send, labels);
        let answer = exchange.await;
        if let Some(executor_clock) = rejected.get() {
            let detail = format!(
                "executor={} lease_until={:?} clock={executor_clock}",
                order.executor,
                order.request.lease_until()
            );
            self.log(&DecisionRecord { code: ORDER_FOR_EARLIER_INCARNATION, job: None, detail });
        }
        decode_reply(&order.request, answer)
    }

    /// Asks the advice service which of the executors may run a step.
    pub(crate) async fn ask_advice(
        &self,
        step: StepId,
        executors: &[ExecutorName],
        timeout: Duration,
    ) -> Result<AdviceReply, AdviceFailure> {
        let Some(address) = self.settings.advice_address else {
            return Err(AdviceFailure::NoAnswer);
        };
        self.metrics.count("advice.calls", "");
        let question = advice::encode_question(step, executors);
        advice::decode_answer(self.executors.exchange(address, question, timeout).await)
    }

    /// Returns all metrics, as of at most [`MAX_METRICS_AGE`] ago.
    pub(crate) fn metrics_text(&self) -> Bytes {
        let now = clock::now();
        if let Some((made_at, text)) = &*self.metrics_text.borrow() {
            if now < *made_at + MAX_METRICS_AGE {
                return text.clone();
            }
        }
        if self.memory_read_at.get().is_none_or(|read_at| now >= read_at + MAX_MEMORY_AGE) {
            self.memory_read_at.set(Some(now));
            let parts = memory_parts(&self.memory, &self.budget, self.held_work());
            parts.iter().for_each(|part| self.metrics.set_memory(part));
        }
        let text = Bytes::from(self.metrics.text());
        *self.metrics_text.borrow_mut() = Some((now, text.clone()));
        text
    }

    fn report_budget(&self, change: BudgetChange) {
        let counts = [
            ("connections.cut", change.cut),
            ("connections.refused", change.refused),
            ("connections.closed", change.closed),
            ("connections.lost_answers", change.lost_answers),
        ];
        counts.into_iter().for_each(|(name, count)| self.metrics.add(name, "", count));
        if let Some(record) = change.event {
            let (code, detail) = (record.code, record.detail);
            self.log(&DecisionRecord { code, job: None, detail });
        }
    }

    fn begin_drain(self: &Rc<Self>) {
        if self.draining_since.get().is_some() {
            return;
        }
        self.draining_since.set(Some(clock::now()));
        let held = self.all_cells().iter().filter(|cell| cell.held_epoch().is_some()).count();
        let detail = format!("owned_cells={held}");
        self.log(&DecisionRecord { code: DRAIN_STARTED, job: None, detail });
        self.gate.drain();
    }

    /// Hands over the owned cells during a planned stop, once. Waits until the store is reachable,
    /// since no other instance can claim a cell before.
    fn hand_over_cells(self: &Rc<Self>) {
        let draining = self.draining_since.get().is_some();
        if draining && !self.handed_over.get() && self.store.silence() < MAX_HANDOVER_SILENCE {
            self.handed_over.set(true);
            self.all_cells().iter().for_each(|cell| cell.release(self));
        }
    }

    /// Validates the settings file again and logs whether it has changed. Changes take effect with
    /// the next start, since the addresses are bound only once.
    fn check_settings(&self) {
        let detail = match JobSettings::read(&self.settings_path) {
            Ok(settings) => format!("changed={}", settings != self.settings),
            Err(error) => format!("error={error}"),
        };
        self.log(&DecisionRecord { code: SETTINGS_CHECKED, job: None, detail });
    }

    /// Returns whether a planned stop is complete. Stops accepting connections once the load
    /// balancer sends no more.
    fn is_drained(&self) -> bool {
        let Some(since) = self.draining_since.get() else { return false };
        let elapsed = clock::now().saturating_sub(since);
        if elapsed >= LOAD_BALANCER_DELAY {
            self.gate.close();
        }
        let unused = elapsed >= LOAD_BALANCER_DELAY && self.gate.connections() == 0;
        unused || elapsed + STOP_MARGIN >= self.settings.grace()
    }
}

/// Job daemon with its bound sockets.
pub struct JobDaemon {
    state: Rc<DaemonState>,
    clients: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl JobDaemon {
    /// Registers the signal handlers and binds the addresses in the settings. `start` identifies
    /// this start of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a signal handler cannot be registered.
    pub fn new(settings_path: PathBuf, settings: JobSettings, start: u64) -> io::Result<Self> {
        let (stop, reload) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
        signal_hook::flag::register(SIGHUP, Arc::clone(&reload))?;
        let plan = MemoryPlan::new(settings.memory_mb);
        let budget = InputBudget::new(BudgetLimits::new(&plan));
        let listen =
            |address, backlog| runtime::listen_bounded(address, backlog, plan.socket_buffer);
        let state = DaemonState {
            store: StoreClient::new(settings.store_address, &budget),
            config: RefCell::default(),
            confirmation: ConfirmationTurn::new(),
            evacuations: RefCell::default(),
            plan: RefCell::default(),
            cells: RefCell::default(),
            loads: RefCell::default(),
            admission: RefCell::default(),
            refusals: RefCell::default(),
            memory: plan,
            work: RefCell::new(WorkLedger::new(plan.accepted_work as u64)),
            allowances: RefCell::default(),
            work_refusals: RefCell::default(),
            non_home_cells: RefCell::default(),
            registry: RefCell::new(InstanceRegistry::new(SUPPORTED_FORMATS)),
            relays: RefCell::default(),
            start,
            peers: PeerPool::new().with_budget(&budget),
            metrics_text: RefCell::default(),
            memory_read_at: Cell::new(None),
            metrics: JobMetrics::new().map_err(io::Error::other)?,
            executors: HttpPool::new()
                .with_max_connections(INITIAL_CONNECTION_SHARE)
                .with_budget(&budget),
            budget,
            log: DecisionLog::new(settings.instance.clone()),
            gate: ServerGate::default(),
            draining_since: Cell::new(None),
            handed_over: Cell::new(false),
            settings_path,
            settings,
        };
        Ok(Self {
            clients: listen(state.settings.client_address, plan.client_backlog)?,
            readiness: listen(state.settings.readiness_address, plan.backlog)?,
            peers: listen(state.settings.peer_address, plan.backlog)?,
            operators: listen(state.settings.operator_address, plan.backlog)?,
            state: Rc::new(state),
            stop,
            reload,
        })
    }

    /// Runs until a planned stop, requested by SIGTERM or SIGINT, is complete.
    pub async fn run(self) {
        let Self { state, clients, readiness, peers, operators, stop, reload } = self;
        let detail = format!(
            "zone={} build={BUILD_NAME} clients={} store={}",
            state.settings.zone, state.settings.client_address, state.settings.store_address
        );
        state.log(&DecisionRecord { code: PROCESS_STARTED, job: None, detail });
        let bounds = |port| ServerBounds::new(&state.budget, port);
        let body_state = Rc::clone(&state);
        let client_bounds =
            bounds(PortKind::Clients).with_body_limit(move || clients::body_limit(&body_state));
        serve(&state, clients, client_bounds, state.gate.clone(), clients::handle);
        let readiness_bounds = bounds(PortKind::Readiness);
        let gate = ServerGate::default();
        serve(&state, readiness, readiness_bounds, gate, operators::handle_readiness);
        let operator_bounds = bounds(PortKind::Operators);
        serve(&state, operators, operator_bounds, ServerGate::default(), operators::handle);
        serve_peers(&state, peers);
        monoio::spawn(watches::follow_operator_requests(Rc::clone(&state)));
        monoio::spawn(watches::follow_owners(Rc::clone(&state)));
        monoio::spawn(registration::keep_registered(Rc::clone(&state)));
        monoio::spawn(division::propose_plan(Rc::clone(&state)));
        match state.settings.admission {
            true => monoio::spawn(admission::follow_rooms(Rc::clone(&state))),
            false => monoio::spawn(division::follow_loads(Rc::clone(&state))),
        };
        monoio::spawn(work_limit::follow_work(Rc::clone(&state)));
        monoio::spawn(moves::follow_cell_loads(Rc::clone(&state)));
        monoio::spawn(handover::hand_over_cells(Rc::clone(&state)));
        run_ticks(&state, &stop, &reload).await;
        state.log(&DecisionRecord { code: DRAIN_ENDED, job: None, detail: String::new() });
    }
}

fn serve<H, F>(
    state: &Rc<DaemonState>,
    listener: TcpListener,
    bounds: ServerBounds,
    gate: ServerGate,
    handler: H,
) where
    H: Fn(Rc<DaemonState>, server::ServerRequest) -> F + Copy + 'static,
    F: std::future::Future<Output = server::ServerAction> + 'static,
{
    let state = Rc::clone(state);
    let limits = ServerLimits::default();
    let answer = move |request| handler(Rc::clone(&state), request);
    monoio::spawn(server::serve_within(listener, limits, bounds, gate, answer));
}

fn serve_peers(state: &Rc<DaemonState>, listener: TcpListener) {
    let (state, budget) = (Rc::clone(state), state.budget.clone());
    monoio::spawn(peer::serve_within(listener, budget, move |request: Option<PeerRequest>| {
        let state = Rc::clone(&state);
        async move {
            let Some(request) = request else {
                state.metrics.count("peer.unknown_request", "");
                return Some(PeerReply::Unsupported { newest: SUPPORTED_FORMATS.newest });
            };
            match request {
                PeerRequest::Ask(question) => state.answer_peer(&question).map(PeerReply::Answer),
                PeerRequest::Carry(bundle) => {
                    Some(PeerReply::Carried(state.relay_starts(bundle).await))
                }
            }
        }
    }));
}

async fn run_ticks(state: &Rc<DaemonState>, stop: &AtomicBool, reload: &AtomicBool) {
    let mut idle_check = clock::now();
    let mut watch = BudgetWatch::new(&state.budget);
    while !state.is_drained() {
        let cells = state.all_cells();
        for cell in &cells {
            let others =
                cells.iter().filter(|other| other.id != cell.id && other.is_owner_or_claiming());
            cell.tick(state, others.count() as u32);
        }
        if stop.load(Ordering::Relaxed) {
            state.begin_drain();
        }
        state.hand_over_cells();
        if reload.swap(false, Ordering::Relaxed) {
            state.check_settings();
        }
        if clock::now().saturating_sub(idle_check) > IDLE_CHECK_INTERVAL {
            idle_check = clock::now();
            state.executors.close_idle();
            state.peers.close_idle();
        }
        if let Some(change) = watch.poll() {
            state.report_budget(change);
        }
        let frequent = cells.iter().any(|cell| cell.needs_frequent_ticks());
        time::sleep(if frequent { TICK_INTERVAL } else { IDLE_TICK_INTERVAL }).await;
    }
}
