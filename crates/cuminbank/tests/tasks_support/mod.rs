//! Simulation of the owners of one group in virtual time, with a store and workers that lose
//! messages.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod store;
pub mod worker;

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use cuminbank::{
    effect::{CallOutcome, CallerAnswer, EntryEffect},
    event::{ExchangeError, ListedRole, TaskQuery, TaskSubmission},
    ids::{ExchangeId, MonotonicTime, ReplyId, RequestTicket},
    ledger::TaskId,
    log::LogRecord,
    membership::{TargetEntry, TargetState},
    message::PeerReply,
    profile::WorkProfile,
    reducer::{
        step::StepContext,
        tasks::group::{GroupView, TaskGroup, TaskModels, TaskSample, TaskWaiter},
    },
    settings::EntrySettings,
    store::{epoch_key, StoreReply, StoreRequest},
    worker::{AttemptEnd, ResourceSize, TaskStart, WorkerReply, WorkerRequest},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::{store::FakeStore, worker::FakeWorker};

pub const TICK: Duration = Duration::from_millis(20);
pub const ZONE: &str = "dublin";

pub fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn cores(count: u64) -> ResourceSize {
    ResourceSize { millicores: count * 1_000, memory_mib: count * 100, accelerators: 0 }
}

/// MessageFault injected into a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageFault {
    None,
    /// The message cannot be sent.
    Unsent,
    /// The request is lost in transit.
    RequestLost,
    /// The request takes effect, but its answer is lost.
    AnswerLost,
    /// The request takes effect after this many milliseconds. Its sender stops waiting after 1 s.
    Late(u64),
}

/// An entry instance that owns the group or owned it earlier.
pub struct GroupOwner {
    pub group: TaskGroup,
    pub step: StepContext,
    pub models: TaskModels,
    pub has_authority: bool,
}

enum PendingMessage {
    Store(StoreRequest, MessageFault),
    Worker(String, WorkerRequest, MessageFault),
    StoreEnd(Result<StoreReply, ExchangeError>),
    WorkerEnd(Result<WorkerReply, ExchangeError>),
}

/// Simulated owners, store and workers, with the messages in transit and the observed results.
pub struct TaskSimulation {
    pub now: MonotonicTime,
    pub owners: Vec<GroupOwner>,
    pub store: FakeStore,
    pub store_fault: MessageFault,
    pub workers: BTreeMap<String, FakeWorker>,
    pub latency_critical_classes: Vec<(String, u32)>,
    /// Machines without latency-critical work.
    pub quiet_machines: Vec<String>,
    pub profiles: BTreeMap<String, WorkProfile>,
    pub answers: BTreeMap<ReplyId, CallerAnswer>,
    pub samples: Vec<TaskSample>,
    pub logs: Vec<LogRecord>,
    /// Probability of a fault for each message, in percent.
    pub fault_percent: u32,
    pub rng: ChaCha8Rng,
    pub tickets: u64,
    /// Time at which a result of a task was first reported, by owner and task id.
    reported: BTreeMap<(usize, String), MonotonicTime>,
    replies: ReplyId,
    queue: Vec<(MonotonicTime, usize, ExchangeId, PendingMessage)>,
}

pub fn profile(name: &str, attempts: u32) -> WorkProfile {
    let text = format!(
        r#"{{"name":"{name}","kind":"batch","deadline_ms":60000,"max_attempts":{attempts}}}"#
    );
    WorkProfile::from_json(text.as_bytes())
        .unwrap_or_else(|error| panic!("invalid test profile {text}: {error:?}"))
}

fn settings() -> EntrySettings {
    EntrySettings::from_json(
        br#"{"instance":"d1","zone":"dublin","http_address":"127.0.0.1:8080",
        "peer_address":"127.0.0.1:8081","store_addresses":["127.0.0.1:2379"],
        "list_address":"127.0.0.1:8500"}"#,
    )
    .expect("the test settings are valid")
}

impl TaskSimulation {
    /// Creates workers `w0`, `w1` and so on with 4 cores each, and an owner that has read the empty
    /// ledger.
    pub fn new(workers: usize, seed: u64) -> Self {
        let worker = |index| (format!("w{index}"), FakeWorker::new(cores(4)));
        let mut simulation = Self {
            now: secs(1),
            owners: Vec::new(),
            store: FakeStore::default(),
            store_fault: MessageFault::None,
            workers: (0..workers).map(worker).collect(),
            latency_critical_classes: Vec::new(),
            quiet_machines: Vec::new(),
            profiles: BTreeMap::from([("orders".to_owned(), profile("orders", 3))]),
            answers: BTreeMap::new(),
            samples: Vec::new(),
            logs: Vec::new(),
            fault_percent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tickets: 0,
            reported: BTreeMap::new(),
            replies: 0,
            queue: Vec::new(),
        };
        simulation.take_over();
        simulation.run(millis(500));
        simulation
    }

    /// Adds an owner that takes over the group. The authority of the previous owner has ended.
    pub fn take_over(&mut self) {
        self.owners.iter_mut().for_each(|owner| owner.has_authority = false);
        let epoch = self.owners.len() as u64 + 1;
        self.store.put(&epoch_key(ZONE, 0), epoch.to_string());
        let mut step = StepContext::new(settings(), epoch);
        step.begin(self.now);
        let probe_from = if epoch == 1 { self.now } else { self.now + secs(1) };
        let group = TaskGroup::new(ZONE, 0, epoch, self.now, probe_from);
        let models = TaskModels::default();
        self.owners.push(GroupOwner { group, step, models, has_authority: true });
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.set_state(&name, TargetState::Live);
        }
    }

    /// Sets the size of a worker and lists it again.
    pub fn set_size(&mut self, name: &str, size: ResourceSize) {
        self.workers.get_mut(name).unwrap_or_else(|| panic!("no worker {name}")).size = size;
        self.set_state(name, TargetState::Live);
        self.run(secs(1));
    }

    pub fn set_state(&mut self, name: &str, state: TargetState) {
        let target = TargetEntry {
            name: name.to_owned(),
            role: ListedRole::Worker { size: self.workers[name].size },
            address: format!(
                "10.0.0.1:{}",
                name[1..].parse::<u16>().expect("worker names are `w` and a number")
            )
            .parse()
            .expect("the address is valid"),
            rack: "r".to_owned(),
            machine: format!("machine-{name}"),
            group: 0,
            state,
        };
        let owner = self.owners.len() - 1;
        self.with_owner(owner, |group, step, _, view| group.on_target(step, view, &target));
    }

    pub fn with_owner(
        &mut self,
        index: usize,
        run: impl FnOnce(&mut TaskGroup, &mut StepContext, &mut TaskModels, &GroupView<'_>),
    ) {
        let (now, profiles, workers) = (self.now, &self.profiles, &self.workers);
        let (classes, quiet_machines) = (&self.latency_critical_classes, &self.quiet_machines);
        let classes_on = |machine: &str| {
            let quiet = quiet_machines.iter().any(|quiet| quiet == machine);
            if quiet {
                Vec::new()
            } else {
                classes.clone()
            }
        };
        let owner = &mut self.owners[index];
        let view = GroupView {
            authority_until: owner.has_authority.then_some(now + secs(2)),
            profile: &|name| profiles.get(name),
            classes_on: &classes_on,
            fits_any_worker: &|size| Some(workers.values().any(|worker| size.fits(&worker.size))),
        };
        owner.step.begin(now);
        owner.step.set_wall(SystemTime::UNIX_EPOCH + now);
        run(&mut owner.group, &mut owner.step, &mut owner.models, &view);
        self.samples.extend(owner.group.take_samples());
        owner.step.take_observations();
        for effect in owner.step.take_effects() {
            self.apply_effect(index, effect);
        }
    }

    fn draw_fault(&mut self, forced: MessageFault) -> MessageFault {
        if forced != MessageFault::None || !self.rng.random_ratio(self.fault_percent, 100) {
            return forced;
        }
        [MessageFault::Unsent, MessageFault::RequestLost, MessageFault::AnswerLost]
            [self.rng.random_range(0..3)]
    }

    fn apply_effect(&mut self, owner: usize, effect: EntryEffect) {
        // With faults enabled, 5 % of the messages are slow, but within the transit bound.
        let slow = self.fault_percent > 0 && self.rng.random_ratio(1, 20);
        let delay = if slow { millis(self.rng.random_range(20..900)) } else { TICK };
        match effect {
            EntryEffect::Answer { reply, answer }
            | EntryEffect::AnswerPeer { reply, answer: PeerReply::Answer(answer) } => {
                let earlier = self.answers.insert(reply, answer);
                assert!(
                    earlier.is_none(),
                    "reply {reply} was answered twice, first with {earlier:?}"
                );
            }
            EntryEffect::CallStore { exchange, request, .. } => {
                let fault = self.draw_fault(self.store_fault);
                self.send(owner, exchange, delay, fault, PendingMessage::Store(request, fault));
            }
            EntryEffect::CallWorker { exchange, address, request, .. } => {
                let name = format!("w{}", address.port());
                let fault = self.draw_fault(self.workers[&name].fault);
                let message = PendingMessage::Worker(name, request, fault);
                self.send(owner, exchange, delay, fault, message);
            }
            EntryEffect::Log(record) => self.logs.push(record),
            other => panic!("unexpected effect of owner {owner}: {other:?}"),
        }
    }

    fn send(
        &mut self,
        owner: usize,
        id: ExchangeId,
        delay: Duration,
        fault: MessageFault,
        sent: PendingMessage,
    ) {
        let is_store = matches!(sent, PendingMessage::Store(..));
        let failed = |error| {
            if is_store {
                PendingMessage::StoreEnd(Err(error))
            } else {
                PendingMessage::WorkerEnd(Err(error))
            }
        };
        match fault {
            MessageFault::None => self.queue.push((self.now + delay, owner, id, sent)),
            MessageFault::Unsent => {
                let end = failed(ExchangeError::NotSent);
                self.queue.push((self.now + TICK, owner, id, end));
            }
            MessageFault::RequestLost => {
                self.queue.push((self.now + secs(1), owner, id, failed(ExchangeError::Lost)));
            }
            MessageFault::AnswerLost | MessageFault::Late(_) => {
                let delay = if let MessageFault::Late(late) = fault { millis(late) } else { delay };
                self.queue.push((self.now + delay, owner, id, sent));
                self.queue.push((self.now + secs(1), owner, id, failed(ExchangeError::Lost)));
            }
        }
    }

    fn deliver(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.queue).into_iter().partition(|(at, ..)| *at <= self.now);
        self.queue = later;
        let due: Vec<(MonotonicTime, usize, ExchangeId, PendingMessage)> = due;
        for (_, owner, id, message) in due {
            match message {
                PendingMessage::Store(request, fault) => {
                    let reply = self.store.call(&request);
                    if fault == MessageFault::None {
                        let end = PendingMessage::StoreEnd(Ok(reply));
                        self.queue.push((self.now + TICK, owner, id, end));
                    }
                }
                PendingMessage::Worker(name, request, fault) => {
                    self.check_start(owner, &request);
                    let worker = self.workers.get_mut(&name).expect("requests go to known workers");
                    let reply = worker.call(self.now, &request);
                    if fault == MessageFault::None {
                        let end = PendingMessage::WorkerEnd(Ok(reply));
                        self.queue.push((self.now + TICK, owner, id, end));
                    }
                }
                PendingMessage::StoreEnd(result) => {
                    self.with_owner(owner, |group, step, _, view| {
                        group.on_store_ended(step, view, id, &result);
                    })
                }
                PendingMessage::WorkerEnd(result) => {
                    self.record_results(owner, &result);
                    self.with_owner(owner, |group, step, models, view| {
                        group.on_worker_ended(step, view, models, id, &result);
                    });
                }
            }
        }
    }

    fn record_results(&mut self, owner: usize, result: &Result<WorkerReply, ExchangeError>) {
        let Ok(WorkerReply::Listed(report)) = result else { return };
        for ended in &report.ended {
            if matches!(ended.end, AttemptEnd::Finished { .. }) {
                self.reported.entry((owner, ended.task.clone())).or_insert(self.now);
            }
        }
    }

    /// Checks that no task starts again after its result was reported. A start may be in transit
    /// for a second.
    fn check_start(&self, owner: usize, request: &WorkerRequest) {
        let WorkerRequest::Start(start) = request else { return };
        if let Some(at) = self.reported.get(&(owner, start.task.clone())) {
            assert!(
                self.now <= *at + secs(1),
                "task {} starts at {:?}, after its result at {at:?}",
                start.task,
                self.now
            );
        }
    }

    /// Advances the simulation by a duration and checks the invariants after each tick.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let now = self.now;
            self.workers.values_mut().for_each(|worker| worker.advance(now));
            self.deliver();
            for owner in 0..self.owners.len() {
                self.with_owner(owner, |group, step, models, view| {
                    group.on_tick(step, view, models);
                });
            }
            self.check();
        }
    }

    /// Advances the simulation until a condition holds. Panics after a simulated minute.
    pub fn run_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = self.now + secs(60);
        while !condition(self) {
            assert!(self.now < end, "{what}: not reached by {end:?}, within a minute");
            self.run(TICK);
        }
    }

    /// Checks I1 and I2: the tasks of no worker exceed its size, and no task runs in two places.
    fn check(&self) {
        let mut seen = BTreeMap::new();
        for (name, worker) in &self.workers {
            let (used, size) = (worker.used(), worker.size);
            assert!(used.fits(&size), "tasks of {used:?} exceed worker {name} of {size:?}");
            for task in worker.running.keys() {
                if let Some(other) = seen.insert(task, name) {
                    panic!("task {task} runs on workers {other} and {name} at {:?}", self.now);
                }
            }
        }
    }

    pub fn next_ticket(&mut self) -> RequestTicket {
        self.tickets += 1;
        let epoch = self.owners.len() as u64;
        RequestTicket { zone: ZONE.to_owned(), group: 0, epoch, sequence: self.tickets }
    }

    pub fn submission(&self, ticket: &RequestTicket, run_ms: u64) -> TaskSubmission {
        TaskSubmission {
            ticket: ticket.clone(),
            profile: "orders".to_owned(),
            customer: "griddle".to_owned(),
            class: "plan".to_owned(),
            size: cores(1),
            declared_run_ms: None,
            input: format!(r#"{{"run_ms":{run_ms}}}"#),
        }
    }

    pub fn send_submission(&mut self, submission: TaskSubmission) -> ReplyId {
        self.replies += 1;
        let waiter = TaskWaiter { reply: self.replies, from_peer: false };
        let owner = self.owners.len() - 1;
        self.with_owner(owner, |group, step, _, view| {
            group.submit(step, view, waiter, submission);
        });
        self.replies
    }

    /// Submits a task to the current owner and returns its ticket and the reply id.
    pub fn submit(&mut self, run_ms: u64) -> (RequestTicket, ReplyId) {
        let ticket = self.next_ticket();
        let reply = self.send_submission(self.submission(&ticket, run_ms));
        (ticket, reply)
    }

    pub fn query(&mut self, ticket: &RequestTicket, query: TaskQuery) -> ReplyId {
        self.replies += 1;
        let waiter = TaskWaiter { reply: self.replies, from_peer: false };
        let (owner, task) = (self.owners.len() - 1, TaskId::of(ticket));
        self.with_owner(owner, |group, step, _, _| group.query(step, waiter, task, query));
        self.replies
    }

    pub fn answer(&self, reply: ReplyId) -> &CallerAnswer {
        self.answers.get(&reply).unwrap_or_else(|| panic!("reply {reply} has no answer"))
    }

    pub fn outcome(&self, reply: ReplyId) -> Option<CallOutcome> {
        self.answers.get(&reply).map(|answer| answer.outcome)
    }

    pub fn group(&self) -> &TaskGroup {
        &self.owners.last().expect("the simulation has an owner from its start").group
    }

    /// Returns the state name of a task in the ledger of the current owner.
    pub fn state(&self, ticket: &RequestTicket) -> &'static str {
        let record = self.group().ledger().get(TaskId::of(ticket));
        record.map_or("absent", |record| record.state.name())
    }

    /// Returns the name of the worker that runs a task.
    pub fn worker_of(&self, ticket: &RequestTicket) -> Option<String> {
        let id = ticket.to_string();
        let found = self.workers.iter().find(|(_, worker)| worker.running.contains_key(&id));
        found.map(|(name, _)| name.clone())
    }

    /// Returns all starts of a task that a worker accepted, in order of time.
    pub fn starts_of(&self, ticket: &RequestTicket) -> Vec<(MonotonicTime, String, TaskStart)> {
        let id = ticket.to_string();
        let mut starts: Vec<_> = self
            .workers
            .iter()
            .flat_map(|(name, worker)| {
                worker.starts.iter().map(move |(at, start)| (*at, name.clone(), start.clone()))
            })
            .filter(|(_, _, start)| start.task == id)
            .collect();
        starts.sort_by_key(|(at, ..)| *at);
        starts
    }
}
