//! The daemon: sockets, timers and the reducer that they feed.

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
    effect::CallerAnswer,
    event::EntryEvent,
    ids::{ExchangeId, MonotonicTime, ReplyId, StartNumber},
    log::{LogRecord, PROCESS_STARTED},
    message::{decode, PeerReply},
    reducer::{groups::LOAD_BALANCER_DELAY, EntryReducer, TICK_INTERVAL},
    settings::EntrySettings,
};
use cuminbank_net::{
    client::HttpPool,
    etcd::StoreClient,
    logging,
    peer::{self, PeerPool},
    runtime,
    server::{self, ServerGate, ServerLimits},
};
use local_sync::oneshot;
use monoio::{net::udp::UdpSocket, time};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::{metrics::MetricSender, routes};

/// Largest datagram between peers.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Longest time that a stop waits for the last writes to callers.
const LAST_WRITES: Duration = Duration::from_secs(5);

/// Everything that the tasks of the daemon share.
pub(crate) struct DaemonState {
    pub(crate) settings: EntrySettings,
    pub(crate) executors: HttpPool,
    pub(crate) workers: HttpPool,
    pub(crate) platform: HttpPool,
    pub(crate) store: StoreClient,
    pub(crate) peers: PeerPool,
    pub(crate) socket: UdpSocket,
    pub(crate) metrics: MetricSender,
    /// Senders that end a dispatch when the reducer aborts it.
    pub(crate) aborts: RefCell<HashMap<ExchangeId, oneshot::Sender<()>>>,
    /// Number of the current watch; an older one stops when it sees a newer.
    pub(crate) watch: Cell<u64>,
    pub(crate) exiting: Cell<bool>,
    gate: ServerGate,
    draining_since: Cell<Option<Instant>>,
    reducer: RefCell<EntryReducer>,
    started: Instant,
    replies: Cell<ReplyId>,
    callers: RefCell<HashMap<ReplyId, oneshot::Sender<CallerAnswer>>>,
    askers: RefCell<HashMap<ReplyId, oneshot::Sender<PeerReply>>>,
}

impl DaemonState {
    /// Returns the time since the start.
    pub(crate) fn now(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    /// Applies an event and carries out its effects.
    pub(crate) fn apply(self: &Rc<Self>, event: EntryEvent) {
        let effects = self.reducer.borrow_mut().apply(self.now(), event);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Applies the event that `make` returns for a new reply and waits for the answer.
    pub(crate) async fn ask(
        self: &Rc<Self>,
        make: impl FnOnce(ReplyId) -> EntryEvent,
    ) -> CallerAnswer {
        let reply = self.next_reply();
        let (sender, receiver) = oneshot::channel();
        self.callers.borrow_mut().insert(reply, sender);
        self.apply(make(reply));
        let _waiting = WaitingCaller { state: Rc::clone(self), reply };
        receiver.await.unwrap_or_else(|_| CallerAnswer::new_unknown("the instance stopped"))
    }

    async fn ask_for_peer(
        self: &Rc<Self>,
        make: impl FnOnce(ReplyId) -> EntryEvent,
    ) -> Option<PeerReply> {
        let reply = self.next_reply();
        let (sender, receiver) = oneshot::channel();
        self.askers.borrow_mut().insert(reply, sender);
        self.apply(make(reply));
        receiver.await.ok()
    }

    pub(crate) fn answer_caller(&self, reply: ReplyId, answer: CallerAnswer) {
        if let Some(sender) = self.callers.borrow_mut().remove(&reply) {
            let _ = sender.send(answer);
        }
    }

    pub(crate) fn answer_peer(&self, reply: ReplyId, answer: PeerReply) {
        if let Some(sender) = self.askers.borrow_mut().remove(&reply) {
            let _ = sender.send(answer);
        }
    }

    pub(crate) fn log(&self, record: &LogRecord) {
        logging::write(&self.settings.instance, record);
    }

    /// Begins a planned stop.
    pub(crate) fn begin_drain(self: &Rc<Self>) {
        if self.draining_since.get().is_none() {
            self.draining_since.set(Some(Instant::now()));
            self.gate.drain();
            self.apply(EntryEvent::DrainRequested);
        }
    }

    /// Closes to callers once the load balancer has seen the failed readiness.
    fn close_when_unused(&self) {
        if self.draining_since.get().is_some_and(|since| since.elapsed() >= LOAD_BALANCER_DELAY) {
            self.gate.close();
        }
    }

    fn next_reply(&self) -> ReplyId {
        self.replies.set(self.replies.get() + 1);
        self.replies.get()
    }
}

/// Caller that waits for an answer; dropped before the answer, the caller is gone.
struct WaitingCaller {
    state: Rc<DaemonState>,
    reply: ReplyId,
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        let waiting = self.state.callers.borrow_mut().remove(&self.reply).is_some();
        // At the end of the process the runtime drops all tasks and carries out no effects.
        if waiting && !self.state.exiting.get() {
            self.state.apply(EntryEvent::CallerDisconnected { reply: self.reply });
        }
    }
}

/// An entry instance.
pub struct EntryDaemon {
    state: Rc<DaemonState>,
    http: monoio::net::TcpListener,
    peer: monoio::net::TcpListener,
    stop: Arc<AtomicBool>,
}

impl EntryDaemon {
    /// Binds the addresses of the settings.
    pub fn new(settings: EntrySettings, start: StartNumber) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
        let state = DaemonState {
            executors: HttpPool::new(),
            workers: HttpPool::new(),
            platform: HttpPool::new(),
            store: StoreClient::new(settings.store_addresses.clone()),
            peers: PeerPool::new(),
            socket: runtime::bind_datagrams(settings.peer_address)?,
            metrics: MetricSender::new(settings.metrics_address)?,
            aborts: RefCell::default(),
            watch: Cell::new(0),
            exiting: Cell::new(false),
            gate: ServerGate::default(),
            draining_since: Cell::new(None),
            reducer: RefCell::new(EntryReducer::new(settings.clone(), start)),
            started: Instant::now(),
            replies: Cell::new(0),
            callers: RefCell::default(),
            askers: RefCell::default(),
            settings,
        };
        Ok(Self {
            http: runtime::listen(state.settings.http_address)?,
            peer: runtime::listen(state.settings.peer_address)?,
            state: Rc::new(state),
            stop,
        })
    }

    /// Serves until a planned stop is complete.
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
        finish_writes(&state.gate).await;
    }
}

fn serve_callers(state: &Rc<DaemonState>, listener: monoio::net::TcpListener) {
    let handler_state = Rc::clone(state);
    let handler = move |request| routes::handle(Rc::clone(&handler_state), request);
    let limits = ServerLimits {
        read_timeout: state.settings.request_read_timeout(),
        drops_abandoned: true,
        ..ServerLimits::default()
    };
    monoio::spawn(server::serve(listener, limits, state.gate.clone(), handler));
}

fn serve_peers(state: &Rc<DaemonState>, listener: monoio::net::TcpListener) {
    let state = Rc::clone(state);
    monoio::spawn(peer::serve(listener, move |request| {
        let state = Rc::clone(&state);
        async move {
            state.ask_for_peer(|reply| EntryEvent::PeerRequestReceived { reply, request }).await
        }
    }));
}

async fn receive_datagrams(state: Rc<DaemonState>) {
    loop {
        let (result, buffer) = state.socket.recv_from(vec![0; MAX_DATAGRAM_BYTES]).await;
        let Ok((length, from)) = result else {
            // An unreachable peer shows as an error of the next read on some kernels.
            time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        if let Some(datagram) = decode(&buffer[..length]) {
            state.apply(EntryEvent::DatagramReceived { from, datagram });
        }
    }
}

async fn run_ticks(state: &Rc<DaemonState>, stop: &AtomicBool) {
    let mut idle_check = Instant::now();
    while !state.exiting.get() {
        state.apply(EntryEvent::Tick { wall: SystemTime::now() });
        if stop.load(Ordering::Relaxed) {
            state.begin_drain();
        }
        state.close_when_unused();
        if idle_check.elapsed() > Duration::from_secs(5) {
            idle_check = Instant::now();
            state.executors.close_idle();
            state.workers.close_idle();
        }
        time::sleep(TICK_INTERVAL).await;
    }
}

async fn finish_writes(gate: &ServerGate) {
    let started = Instant::now();
    while gate.connections() > 0 && started.elapsed() < LAST_WRITES {
        time::sleep(Duration::from_millis(5)).await;
    }
}
