//! The daemon: what its tasks share, and how it starts and stops.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use cuminbank::log::{
    DRAIN_ENDED, DRAIN_STARTED, PROCESS_STARTED, SETTINGS_CHECKED, TENURE_BEGAN, TENURE_ENDED,
    TENURE_RESUMED,
};
use cuminbank_jobs::{
    config::ConfigInForce,
    ids::{ExecutorName, MonotonicTime, OwnerEpoch, StoreRevision},
    job::StepName,
    order::{AdviceFailure, AdviceReply, ExecutorOrder, OrderFailure, OrderReply},
    peer::OwnerQuestion,
    scheduler::{
        DecisionRecord, JobEffect, JobEvent, JobScheduler, SchedulerBounds, TICK_INTERVAL,
    },
    settings::JobSettings,
    store::{StoreCall, StoreFailure, StoreItem, StoreReply},
    tenure::{HeldTenure, OwnerRecord, TenureEffect, TenureState},
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
    clients, clock, logging::DecisionLog, metrics::JobMetrics, operators, store::StoreClient,
    watches,
};

/// Longest time for a write of the owner; a slow store answers after about 250 ms.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after a planned stop begins in which the load balancer still sends connections: it asks
/// once a second and believes the second miss.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);
/// Time before the kill at which a planned stop ends whatever is open.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time without an answer of the store after which the instance takes no new connections.
const READY_SILENCE: Duration = Duration::from_millis(2_500);
/// Time without an answer of the store up to which it counts as reachable for a handover.
const RELEASE_SILENCE: Duration = Duration::from_millis(1_000);
/// Interval at which idle connections are looked over.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of the ticks of an instance that does not own the pool.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Everything that the tasks of the daemon share.
pub(crate) struct DaemonState {
    pub(crate) settings: JobSettings,
    settings_path: PathBuf,
    pub(crate) store: StoreClient,
    pub(crate) config: RefCell<ConfigInForce>,
    pub(crate) scheduler: RefCell<Option<JobScheduler>>,
    pub(crate) peers: PeerPool,
    pub(crate) metrics: JobMetrics,
    executors: HttpPool,
    tenure: RefCell<TenureState>,
    /// Number of the current tenure of this process; tasks of an earlier one end.
    tenures: Cell<u64>,
    log: DecisionLog,
    gate: ServerGate,
    draining_since: Cell<Option<MonotonicTime>>,
    /// Whether the pool was handed over for a planned stop.
    released: Cell<bool>,
}

impl DaemonState {
    pub(crate) fn log(&self, record: &DecisionRecord) {
        self.log.write(record);
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

    /// Tells whether a tenure of this process still lasts.
    pub(crate) fn is_tenure(&self, tenure: u64) -> bool {
        self.tenures.get() == tenure && self.scheduler.borrow().is_some()
    }

    /// Returns where the owner of the pool answers questions.
    pub(crate) fn owner_address(&self) -> Option<SocketAddr> {
        self.tenure.borrow().observed().map(|owner| owner.peer_address)
    }

    /// Tells whether the instance takes new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.draining_since.get().is_none()
            && self.config.borrow().current().is_some()
            && self.store.silence() < READY_SILENCE
    }

    /// Returns the state of the instance for operators.
    pub(crate) fn status(&self) -> Value {
        let tenure = self.tenure.borrow();
        json!({
            "instance": self.settings.instance,
            "zone": self.settings.zone,
            "ready": self.is_ready(),
            "config_version": self.config.borrow().current().map(|config| config.version),
            "owner": tenure.observed().map(|owner| owner.instance.clone()),
            "owns_pool": tenure.held().is_some(),
            "store_lost": self.store.is_lost(),
            "store_silent_ms": self.store.silence().as_millis() as u64,
        })
    }

    /// Applies an event to the scheduler, if this process owns the pool.
    pub(crate) fn apply(self: &Rc<Self>, event: JobEvent) {
        let (started, name) = (Instant::now(), event.name());
        let effects = match self.scheduler.borrow_mut().as_mut() {
            Some(scheduler) => scheduler.apply(clock::now(), clock::wall(), event),
            None => return,
        };
        let tenure = self.tenures.get();
        for effect in effects {
            self.carry_out(tenure, effect);
        }
        self.metrics.time("turn", name, started.elapsed());
    }

    fn carry_out(self: &Rc<Self>, tenure: u64, effect: JobEffect) {
        match effect {
            JobEffect::Log(record) => self.log(&record),
            JobEffect::Measure(measure) => self.metrics.take(&measure),
            JobEffect::Fenced => {
                let effects = self.tenure.borrow_mut().fenced(clock::now());
                self.carry_out_tenure(effects);
            }
            JobEffect::OwnerSeen(item) => {
                // An absence is as new as the last thing known of the record.
                let revision = item.as_ref().map_or(StoreRevision::MAX, |item| item.revision);
                match item {
                    Some(item) => self.observe_owner(revision, Some(&item)),
                    None => {
                        let effects = self.tenure.borrow_mut().doubt(clock::now());
                        self.carry_out_tenure(effects);
                    }
                }
            }
            JobEffect::Order(order) => {
                let state = Rc::clone(self);
                monoio::spawn(async move {
                    let id = order.id;
                    let result = state.send_order(order).await;
                    if state.is_tenure(tenure) {
                        state.apply(JobEvent::OrderEnded { id, result });
                    }
                });
            }
            JobEffect::AskAdvice { id, step, executors, timeout } => {
                let state = Rc::clone(self);
                monoio::spawn(async move {
                    let result = state.ask_advice(step, &executors, timeout).await;
                    if state.is_tenure(tenure) {
                        state.apply(JobEvent::AdviceEnded { id, result });
                    }
                });
            }
            JobEffect::Commit { id, txn } => {
                let state = Rc::clone(self);
                monoio::spawn(async move {
                    let call = StoreCall::Commit(txn);
                    let result = match state.call_store(&call, COMMIT_TIMEOUT).await {
                        Ok(StoreReply::Txn(outcome)) => Ok(outcome),
                        Ok(_) => Err(StoreFailure::Unknown),
                        Err(failure) => Err(failure),
                    };
                    if state.is_tenure(tenure) {
                        state.apply(JobEvent::CommitEnded { id, result });
                    }
                });
            }
        }
    }

    async fn send_order(&self, order: ExecutorOrder) -> Result<OrderReply, OrderFailure> {
        let message = encode_order(&order);
        let valid_until = order.valid_until;
        let may_send = || clock::now() < valid_until;
        let answer =
            self.executors.exchange_if(order.address, message, order.timeout, may_send).await;
        decode_reply(&order.request, answer)
    }

    async fn ask_advice(
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

    /// Takes what the store says of the ownership record.
    pub(crate) fn observe_owner(
        self: &Rc<Self>,
        revision: StoreRevision,
        item: Option<&StoreItem>,
    ) {
        let effects = self.tenure.borrow_mut().observe(clock::now(), revision, item);
        self.carry_out_tenure(effects);
    }

    fn tick_tenure(self: &Rc<Self>) {
        let effects = self.tenure.borrow_mut().tick(clock::now());
        self.carry_out_tenure(effects);
        let held = self.tenure.borrow().held().copied();
        if let Some(held) = held {
            self.apply(JobEvent::TenureChanged(held));
        }
    }

    fn carry_out_tenure(self: &Rc<Self>, effects: Vec<TenureEffect>) {
        for effect in effects {
            match effect {
                TenureEffect::Call { id, call, timeout } => {
                    let state = Rc::clone(self);
                    monoio::spawn(async move {
                        let result = state.call_store(&call, timeout).await;
                        let effects = state.tenure.borrow_mut().ended(clock::now(), id, result);
                        state.carry_out_tenure(effects);
                    });
                }
                TenureEffect::Began(held, predecessor) => self.begin_tenure(&held, predecessor),
                TenureEffect::Resumed(held) => {
                    let detail = format!("epoch={} revision={:?}", held.epoch, held.revision);
                    self.log(&DecisionRecord { code: TENURE_RESUMED, job: None, detail });
                    self.apply(JobEvent::TenureChanged(held));
                }
                TenureEffect::Ended(reason) => {
                    *self.scheduler.borrow_mut() = None;
                    self.tenures.set(self.tenures.get() + 1);
                    let detail = format!("reason={reason}");
                    self.log(&DecisionRecord { code: TENURE_ENDED, job: None, detail });
                }
            }
        }
    }

    /// Returns the epoch in which this instance owns the pool.
    pub(crate) fn held_epoch(&self) -> Option<OwnerEpoch> {
        self.tenure.borrow().held().map(|held| held.epoch)
    }

    /// Gives no more orders if this process has that start and an earlier epoch; returns for how long
    /// it has given none.
    pub(crate) fn yield_tenure(self: &Rc<Self>, start: u64, epoch: OwnerEpoch) -> Duration {
        let (stopped, effects) = self.tenure.borrow_mut().yield_to(clock::now(), start, epoch);
        self.carry_out_tenure(effects);
        stopped
    }

    fn begin_tenure(self: &Rc<Self>, held: &HeldTenure, predecessor: Option<OwnerRecord>) {
        let detail = format!(
            "epoch={} revision={:?} predecessor={:?}",
            held.epoch,
            held.revision,
            predecessor.as_ref().map(|owner| owner.instance.as_str())
        );
        self.log(&DecisionRecord { code: TENURE_BEGAN, job: None, detail });
        let bounds = SchedulerBounds {
            max_lease: self.settings.max_lease(),
            stop_timeout: self.settings.stop_timeout(),
            harm_time: Duration::from_millis(self.settings.harm_ms),
            retention: Duration::from_millis(self.settings.retention_ms),
        };
        let scheduler = JobScheduler::new(bounds, held, clock::now())
            .with_processor_share(self.settings.processor_share)
            .with_link(self.settings.link_mbps);
        *self.scheduler.borrow_mut() = Some(scheduler);
        self.tenures.set(self.tenures.get() + 1);
        let tenure = self.tenures.get();
        monoio::spawn(watches::follow_pool(Rc::clone(self), tenure));
        if let Some(predecessor) = predecessor {
            monoio::spawn(Rc::clone(self).end_predecessor(tenure, predecessor));
        }
        monoio::spawn(watches::follow_list(Rc::clone(self), tenure));
    }

    fn begin_drain(self: &Rc<Self>) {
        if self.draining_since.get().is_some() {
            return;
        }
        self.draining_since.set(Some(clock::now()));
        let detail = format!("owns_pool={}", self.tenure.borrow().held().is_some());
        self.log(&DecisionRecord { code: DRAIN_STARTED, job: None, detail });
        self.gate.drain();
    }

    /// Hands the pool over during a planned stop, once another instance can take it: while the store
    /// is away, nobody can.
    fn release_tenure(self: &Rc<Self>) {
        let draining = self.draining_since.get().is_some();
        if draining && !self.released.get() && self.store.silence() < RELEASE_SILENCE {
            self.released.set(true);
            let effects = self.tenure.borrow_mut().drain(clock::now());
            self.carry_out_tenure(effects);
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
        if elapsed >= BALANCER_DELAY {
            self.gate.close();
        }
        let unused = elapsed >= BALANCER_DELAY && self.gate.connections() == 0;
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
        let tenure = TenureState::new(settings.instance.clone(), start, settings.peer_address)
            .with_min_ttl(settings.min_store_ttl())
            .with_processor_share(settings.processor_share);
        let state = DaemonState {
            store: StoreClient::new(settings.store_address),
            config: RefCell::default(),
            scheduler: RefCell::default(),
            peers: PeerPool::new(),
            metrics: JobMetrics::new().map_err(io::Error::other)?,
            executors: HttpPool::new(),
            tenure: RefCell::new(tenure),
            tenures: Cell::new(0),
            log: DecisionLog::new(settings.instance.clone()),
            gate: ServerGate::default(),
            draining_since: Cell::new(None),
            released: Cell::new(false),
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
        monoio::spawn(watches::follow_owner(Rc::clone(&state)));
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
    monoio::spawn(peer::serve(listener, move |question: OwnerQuestion| {
        let state = Rc::clone(&state);
        async move { Some(state.answer_peer(&question)) }
    }));
}

async fn run_ticks(state: &Rc<DaemonState>, stop: &AtomicBool, reload: &AtomicBool) {
    let mut idle_check = clock::now();
    while !state.is_drained() {
        state.tick_tenure();
        state.apply(JobEvent::Tick);
        if stop.load(Ordering::Relaxed) {
            state.begin_drain();
        }
        state.release_tenure();
        if reload.swap(false, Ordering::Relaxed) {
            state.check_settings();
        }
        if clock::now().saturating_sub(idle_check) > IDLE_INTERVAL {
            idle_check = clock::now();
            state.executors.close_idle();
        }
        let owns = state.scheduler.borrow().is_some();
        time::sleep(if owns { TICK_INTERVAL } else { IDLE_TICK }).await;
    }
}
