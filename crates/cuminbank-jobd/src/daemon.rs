//! The daemon: what its tasks share, and how it starts and stops.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    path::PathBuf,
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};

use cuminbank::log::{DRAIN_ENDED, DRAIN_STARTED, PROCESS_STARTED, SETTINGS_CHECKED};
use cuminbank_jobs::{
    cells::{CellLoads, PoolPlan},
    config::ActiveConfig,
    ids::{CellId, ExecutorName, JobId, MonotonicTime, WallTime},
    job::StepName,
    order::{AdviceFailure, AdviceReply, ExecutorOrder, OrderFailure, OrderReply},
    peer::{PeerReply, PeerRequest},
    relay::RelayPool,
    scheduler::{DecisionRecord, TICK_INTERVAL},
    settings::JobSettings,
    store::{StoreCall, StoreFailure, StoreReply},
};
use cuminbank_net::{
    client::HttpPool,
    peer::{self, PeerPool},
    runtime,
    server::{self, ServerGate, ServerLimits},
};
use cuminbank_platform::{
    advice,
    order::{decode_reply, encode_order},
};
use monoio::{net::TcpListener, time};
use serde_json::{json, Value};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::{
    cell::CellState, clients, clock, division, logging::DecisionLog, metrics::JobMetrics,
    operators, store::StoreClient, watches,
};

/// Time after a planned stop begins in which the load balancer still sends connections: it asks
/// once a second and believes the second miss.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_600);
/// Time before the kill at which a planned stop ends whatever is open.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time without an answer of the store after which the instance takes no new connections.
const MAX_READY_SILENCE: Duration = Duration::from_millis(2_500);
/// Time without an answer of the store up to which it counts as reachable for a handover.
const MAX_HANDOVER_SILENCE: Duration = Duration::from_millis(1_000);
/// Interval at which idle connections are looked over.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of the ticks of an instance that owns nothing while every cell has an owner. Claims of a
/// vacant cell are spread over a tenth of a second, which ticks must not bring together again.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Everything that the tasks of the daemon share.
pub(crate) struct DaemonState {
    pub(crate) settings: JobSettings,
    settings_path: PathBuf,
    pub(crate) store: StoreClient,
    pub(crate) config: RefCell<ActiveConfig>,
    /// How the pool is divided, once that is known, and its cells in order.
    pub(crate) plan: RefCell<Option<Rc<PoolPlan>>>,
    pub(crate) cells: RefCell<Vec<Rc<CellState>>>,
    pub(crate) loads: RefCell<CellLoads>,
    /// Cells of jobs that are not in their home cell, as far as this instance has met them.
    pub(crate) non_home_cells: RefCell<HashMap<JobId, CellId>>,
    /// Instances that may send starts for this one.
    pub(crate) relays: RefCell<RelayPool>,
    /// Number of this start of the process.
    pub(crate) start: u64,
    pub(crate) peers: PeerPool,
    pub(crate) metrics: JobMetrics,
    executors: HttpPool,
    log: DecisionLog,
    gate: ServerGate,
    draining_since: Cell<Option<MonotonicTime>>,
    /// Whether the pool was handed over for a planned stop.
    handed_over: Cell<bool>,
}

impl DaemonState {
    pub(crate) fn log(&self, record: &DecisionRecord) {
        self.log.write(record);
    }

    /// Returns what this instance has decided about a job of late, oldest first.
    pub(crate) fn decisions(&self, job: JobId) -> Vec<(WallTime, DecisionRecord)> {
        self.log.decisions(job)
    }

    /// Calls the store.
    pub(crate) async fn call_store(
        &self,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        self.metrics.count("store.calls", "");
        self.store.call(call, timeout, |record| self.log(&record)).await
    }

    /// Tells whether the instance takes new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.draining_since.get().is_none()
            && self.config.borrow().current().is_some()
            && self.plan().is_some()
            && self.store.silence() < MAX_READY_SILENCE
    }

    /// Returns the state of the instance for operators.
    pub(crate) fn status(&self) -> Value {
        let cells = self.all_cells();
        json!({
            "instance": self.settings.instance,
            "zone": self.settings.zone,
            "ready": self.is_ready(),
            "config_version": self.config.borrow().current().map(|config| config.version),
            "cells": cells.iter().map(|cell| cell.status()).collect::<Vec<_>>(),
            "owns_pool": cells.iter().any(|cell| cell.held_epoch().is_some()),
            "carriers": self.relays.borrow().count(clock::now()),
            "store_lost": self.store.is_unreachable(),
            "store_silent_ms": self.store.silence().as_millis() as u64,
        })
    }

    /// Sends an order to an executor.
    pub(crate) async fn send_order(
        &self,
        order: ExecutorOrder,
    ) -> Result<OrderReply, OrderFailure> {
        let message = encode_order(&order);
        let valid_until = order.valid_until;
        let may_send = || clock::now() < valid_until;
        let answer =
            self.executors.exchange_if(order.address, message, order.timeout, may_send).await;
        decode_reply(&order.request, answer)
    }

    /// Asks the advice service about a step.
    pub(crate) async fn ask_advice(
        &self,
        step: StepName,
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

    /// Hands the pool over during a planned stop, once another instance can take it: while the store
    /// is non_home_cells, nobody can.
    fn hand_over_cells(self: &Rc<Self>) {
        let draining = self.draining_since.get().is_some();
        if draining && !self.handed_over.get() && self.store.silence() < MAX_HANDOVER_SILENCE {
            self.handed_over.set(true);
            self.all_cells().iter().for_each(|cell| cell.release(self));
        }
    }

    /// Checks the settings file again. Addresses are bound once, so that a change takes effect with
    /// the next start.
    fn check_settings(&self) {
        let detail = match JobSettings::read(&self.settings_path) {
            Ok(settings) => format!("changed={}", settings != self.settings),
            Err(error) => format!("error={error}"),
        };
        self.log(&DecisionRecord { code: SETTINGS_CHECKED, job: None, detail });
    }

    /// Tells whether a planned stop is complete.
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

/// An instance of the job daemon.
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
    /// Binds the addresses of the settings.
    pub fn new(settings_path: PathBuf, settings: JobSettings, start: u64) -> io::Result<Self> {
        let (stop, reload) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
        signal_hook::flag::register(SIGHUP, Arc::clone(&reload))?;
        let state = DaemonState {
            store: StoreClient::new(settings.store_address),
            config: RefCell::default(),
            plan: RefCell::default(),
            cells: RefCell::default(),
            loads: RefCell::default(),
            non_home_cells: RefCell::default(),
            relays: RefCell::default(),
            start,
            peers: PeerPool::new(),
            metrics: JobMetrics::new().map_err(io::Error::other)?,
            executors: HttpPool::new(),
            log: DecisionLog::new(settings.instance.clone()),
            gate: ServerGate::default(),
            draining_since: Cell::new(None),
            handed_over: Cell::new(false),
            settings_path,
            settings,
        };
        Ok(Self {
            clients: runtime::listen(state.settings.client_address)?,
            readiness: runtime::listen(state.settings.readiness_address)?,
            peers: runtime::listen(state.settings.peer_address)?,
            operators: runtime::listen(state.settings.operator_address)?,
            state: Rc::new(state),
            stop,
            reload,
        })
    }

    /// Serves until a planned stop is complete.
    pub async fn run(self) {
        let Self { state, clients, readiness, peers, operators, stop, reload } = self;
        let detail = format!(
            "zone={} clients={} store={}",
            state.settings.zone, state.settings.client_address, state.settings.store_address
        );
        state.log(&DecisionRecord { code: PROCESS_STARTED, job: None, detail });
        serve(&state, clients, state.gate.clone(), clients::handle);
        serve(&state, readiness, ServerGate::default(), operators::handle_readiness);
        serve(&state, operators, ServerGate::default(), operators::handle);
        serve_peers(&state, peers);
        monoio::spawn(watches::follow_config(Rc::clone(&state)));
        monoio::spawn(watches::follow_owners(Rc::clone(&state)));
        monoio::spawn(division::propose_plan(Rc::clone(&state)));
        monoio::spawn(division::follow_loads(Rc::clone(&state)));
        run_ticks(&state, &stop, &reload).await;
        state.log(&DecisionRecord { code: DRAIN_ENDED, job: None, detail: String::new() });
    }
}

fn serve<H, F>(state: &Rc<DaemonState>, listener: TcpListener, gate: ServerGate, handler: H)
where
    H: Fn(Rc<DaemonState>, server::ServerRequest) -> F + Copy + 'static,
    F: std::future::Future<Output = server::ServerAction> + 'static,
{
    let state = Rc::clone(state);
    let limits = ServerLimits::default();
    let answer = move |request| handler(Rc::clone(&state), request);
    monoio::spawn(server::serve(listener, limits, gate, answer));
}

fn serve_peers(state: &Rc<DaemonState>, listener: TcpListener) {
    let state = Rc::clone(state);
    monoio::spawn(peer::serve(listener, move |request: PeerRequest| {
        let state = Rc::clone(&state);
        async move {
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
        }
        let frequent = cells.iter().any(|cell| cell.needs_frequent_ticks());
        time::sleep(if frequent { TICK_INTERVAL } else { IDLE_TICK_INTERVAL }).await;
    }
}
