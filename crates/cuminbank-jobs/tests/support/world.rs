//! A world in virtual time: instances that share a store and executors, with faults between them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminbank_jobs::{
    guards::JobGuards,
    ids::{JobId, MonotonicTime, OrderId, StoreRevision, WriteId},
    job::{JobOutcome, JobPhase, JobRecord, TaskName},
    keys::{cancel_key, job_key, LEDGER_PREFIX, OWNER_KEY, POOL_PREFIX},
    order::{
        AdviceFailure, AdviceReply, ExecutorOrder, OrderFailure, OrderReply, OrderRequest, RunEnd,
    },
    scheduler::{JobEffect, JobEvent, JobScheduler, SchedulerBounds},
    store::{
        encode_value, StoreCall, StoreChange, StoreFailure, StorePut, StoreReply, StoreTxn,
        TxnOutcome,
    },
    tenure::{OwnerRecord, TenureEffect, TenureState},
};
use cuminbank_platform_standin::{
    executor::{FakeExecutor, RunPlan, MOST_LEASE_MS},
    store::FakeStore,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::checks::HistoryChecks;

const TICK: Duration = Duration::from_millis(20);
const ADVANCE: Duration = Duration::from_millis(10);
const LIST: Duration = Duration::from_millis(500);
/// Time of silence after which the list forgets an executor.
const LIST_SILENCE: Duration = Duration::from_millis(3_300);

/// A process of the system.
struct FakeInstance {
    name: String,
    up: bool,
    /// Number of the process, so that nothing of an earlier one reaches it.
    start: u64,
    tenure: TenureState,
    scheduler: Option<JobScheduler>,
    /// Number of the tenure.
    held: u64,
    watched: Option<StoreRevision>,
    pool_watched: StoreRevision,
    loads_at: Option<MonotonicTime>,
    lists_at: MonotonicTime,
    frozen_until: MonotonicTime,
    store_cut_until: MonotonicTime,
    executors_cut: BTreeMap<usize, MonotonicTime>,
}

enum Action {
    Tick(usize),
    Advance,
    OrderArrives {
        from: usize,
        start: u64,
        held: u64,
        at: usize,
        /// Life of the executor that is meant.
        life: MonotonicTime,
        order: ExecutorOrder,
        lost: bool,
    },
    OrderEnds {
        to: usize,
        start: u64,
        held: u64,
        id: OrderId,
        result: Result<OrderReply, OrderFailure>,
    },
    TenureCallArrives {
        from: usize,
        start: u64,
        id: WriteId,
        call: StoreCall,
        lost: bool,
    },
    TenureCallEnds {
        to: usize,
        start: u64,
        id: WriteId,
        result: Result<StoreReply, StoreFailure>,
    },
    AdviceEnds {
        to: usize,
        start: u64,
        held: u64,
        id: OrderId,
        result: Result<AdviceReply, AdviceFailure>,
    },
    CommitArrives {
        from: usize,
        start: u64,
        held: u64,
        id: WriteId,
        txn: StoreTxn,
        lost: bool,
    },
    CommitEnds {
        to: usize,
        start: u64,
        held: u64,
        id: WriteId,
        result: Result<TxnOutcome, StoreFailure>,
    },
    Fault(WorldFault),
}

/// A hold that waits for an end.
struct WaitingHold {
    to: usize,
    start: u64,
    held: u64,
    at: usize,
    life: MonotonicTime,
    id: OrderId,
    until: MonotonicTime,
}

/// A fault of the world.
#[derive(Clone, Debug)]
pub enum WorldFault {
    /// A process is killed and starts again.
    KillInstance { instance: usize, down: Duration },
    /// A process stands still.
    FreezeInstance { instance: usize, span: Duration },
    /// A process has no way to the store.
    CutFromStore { instance: usize, span: Duration },
    /// The store removes the ownership record, and the owner is not told.
    RevokeOwner,
    /// A process has no way to some executors.
    CutFromExecutors { instance: usize, executors: Vec<usize>, span: Duration },
    /// An executor crashes and starts again, or never does.
    CrashExecutor { executor: usize, down: Option<Duration> },
    /// An executor drains and leaves.
    DrainExecutor { executor: usize },
    /// The process is told to stop.
    StopInstance { instance: usize, down: Duration },
}

/// Shares of calls whose answers are lost or that are carried out late, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorldLosses {
    /// Orders that are carried out and not answered.
    pub orders_lost: u32,
    /// Orders that are carried out seconds later and not answered.
    pub orders_late: u32,
    /// Writes that are carried out and not answered.
    pub writes_lost: u32,
}

/// The world.
pub struct FakeWorld {
    pub now: MonotonicTime,
    pub store: FakeStore,
    pub executors: Vec<FakeExecutor>,
    pub checks: HistoryChecks,
    pub losses: WorldLosses,
    pub trace: Vec<String>,
    /// Executors for which the advice service gives tickets.
    pub advised: BTreeSet<String>,
    /// Numbers of executors that it was asked about.
    pub questions: Vec<usize>,
    instances: Vec<FakeInstance>,
    silent_since: Vec<Option<MonotonicTime>>,
    gone: BTreeSet<usize>,
    checked: Vec<u64>,
    holds: Vec<WaitingHold>,
    queue: BTreeMap<(MonotonicTime, u64), Action>,
    actions: u64,
    starts: u64,
    plan: RunPlan,
    guards: JobGuards,
    random: ChaCha8Rng,
}

impl FakeWorld {
    /// Creates a world in which every process and executor is up.
    pub fn new(seed: u64, instances: usize, executors: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let rates: Vec<u64> = (0..executors).map(|_| random.random_range(980..=1_000)).collect();
        let mut lengths = ChaCha8Rng::seed_from_u64(seed ^ 1);
        let plan: RunPlan = Box::new(move |_, _| {
            let failed = lengths.random_range(0..100) < 4;
            let end = if failed { RunEnd::Failed } else { RunEnd::Done };
            (Some(Duration::from_millis(lengths.random_range(150..1_500))), end)
        });
        let mut world = Self {
            now: Duration::from_secs(1),
            store: FakeStore::default(),
            executors: rates
                .into_iter()
                .enumerate()
                .map(|(number, rate)| FakeExecutor::new(&format!("e{number}"), rate))
                .collect(),
            checks: HistoryChecks::default(),
            losses: WorldLosses::default(),
            trace: Vec::new(),
            advised: BTreeSet::new(),
            questions: Vec::new(),
            instances: Vec::new(),
            silent_since: vec![None; executors],
            gone: BTreeSet::new(),
            checked: vec![0; executors],
            holds: Vec::new(),
            queue: BTreeMap::new(),
            actions: 0,
            starts: 0,
            plan,
            guards: JobGuards::default(),
            random,
        };
        for number in 0..instances {
            let instance = world.new_instance(&format!("i{number}"));
            world.instances.push(instance);
            world.push(world.now + TICK * number as u32 / 7, Action::Tick(number));
        }
        world.push(world.now, Action::Advance);
        world
    }

    /// Decides what becomes of each run.
    pub fn with_plan(mut self, plan: RunPlan) -> Self {
        self.plan = plan;
        self
    }

    /// Loses answers and delays orders.
    pub fn with_losses(mut self, losses: WorldLosses) -> Self {
        self.losses = losses;
        self
    }

    /// Switches guards off.
    pub fn with_guards(mut self, guards: JobGuards) -> Self {
        self.guards = guards;
        self
    }

    /// Stores a job as an entry instance does.
    pub fn submit(&mut self, id: JobId, record: JobRecord) {
        let txn = StoreTxn {
            expected: vec![(job_key(id), 0)],
            puts: vec![StorePut::new(job_key(id), encode_value(&record))],
            removes: Vec::new(),
        };
        self.checks.records.insert(id, record);
        self.store.call(self.now, &StoreCall::Commit(txn));
    }

    /// Stores a request to cancel as an entry instance does.
    pub fn cancel(&mut self, id: JobId) {
        let puts = vec![StorePut::new(cancel_key(id), Vec::new())];
        let txn = StoreTxn { puts, ..StoreTxn::default() };
        self.store.call(self.now, &StoreCall::Commit(txn));
    }

    /// Schedules a fault.
    pub fn fault_at(&mut self, at: MonotonicTime, fault: WorldFault) {
        self.push(at, Action::Fault(fault));
    }

    /// Returns the process that owns the pool.
    pub fn owner(&self) -> Option<usize> {
        self.instances.iter().position(|instance| instance.up && instance.scheduler.is_some())
    }

    /// Returns the phase of a job as its owner tells it.
    pub fn phase(&self, id: JobId) -> Option<JobPhase> {
        let owner = &self.instances[self.owner()?];
        owner.scheduler.as_ref()?.phase(id)
    }

    /// Returns how many runs of a job are on executors that are up.
    pub fn running(&self, id: JobId) -> usize {
        let up = self.executors.iter().filter(|executor| executor.up);
        up.flat_map(|executor| &executor.running).filter(|run| run.task.job == id).count()
    }

    /// Returns a random number.
    pub fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random.random_range(range)
    }

    /// Plays until a time.
    pub fn play_until(&mut self, end: MonotonicTime) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = self.now.max(entry.key().0);
            let action = entry.remove();
            self.act(action);
        }
        self.now = end;
    }

    /// Checks that every job has its outcome and that what is told is true.
    pub fn check_end(&mut self) {
        let ids: Vec<JobId> = self.checks.records.keys().copied().collect();
        for id in ids {
            match self.phase(id) {
                Some(JobPhase::Ended(JobOutcome::Completed)) if !self.checks.is_done(id) => {
                    self.checks.breaches.push(format!("{id:x} is told to be complete and is not"));
                }
                Some(JobPhase::Ended(_)) => {}
                other => self.checks.breaches.push(format!("{id:x} has no outcome: {other:?}")),
            }
        }
    }

    fn new_instance(&mut self, name: &str) -> FakeInstance {
        self.starts += 1;
        let address = "127.0.0.1:2".parse().expect("a valid address");
        FakeInstance {
            name: name.to_owned(),
            up: true,
            start: self.starts,
            tenure: TenureState::new(name.to_owned(), self.starts, address),
            scheduler: None,
            held: 0,
            watched: None,
            pool_watched: 0,
            loads_at: None,
            lists_at: Duration::ZERO,
            frozen_until: Duration::ZERO,
            store_cut_until: Duration::ZERO,
            executors_cut: BTreeMap::new(),
        }
    }

    fn push(&mut self, at: MonotonicTime, action: Action) {
        self.actions += 1;
        self.queue.insert((at, self.actions), action);
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..2_500))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn act(&mut self, action: Action) {
        // What is meant for a process that stands still reaches it when it goes on.
        if let Some(instance) = target_of(&action) {
            let until = self.instances[instance].frozen_until;
            if self.now < until {
                self.push(until, action);
                return;
            }
        }
        match action {
            Action::Tick(instance) => self.tick(instance),
            Action::Advance => self.advance(),
            Action::OrderArrives { from, start, held, at, life, order, lost } => {
                // The order names a life of the executor, and a later one refuses it.
                let result = Err(OrderFailure::Replaced);
                if self.executors[at].up && self.executors[at].born != life {
                    if !lost {
                        let id = order.id;
                        self.push(
                            self.now,
                            Action::OrderEnds { to: from, start, held, id, result },
                        );
                    }
                    return;
                }
                self.order_arrives(from, start, held, at, order, lost);
            }
            Action::OrderEnds { to, start, held, id, result } => {
                if self.is_current(to, start, held) {
                    self.apply(to, JobEvent::OrderEnded { id, result });
                }
            }
            Action::TenureCallArrives { from, start, id, call, lost } => {
                let reply = self.store.call(self.now, &call);
                if !lost {
                    let at = self.now + self.delay();
                    let action = Action::TenureCallEnds { to: from, start, id, result: Ok(reply) };
                    self.push(at, action);
                }
            }
            Action::TenureCallEnds { to, start, id, result } => {
                if self.instances[to].up && self.instances[to].start == start {
                    let effects = self.instances[to].tenure.ended(self.now, id, result);
                    self.carry_out_tenure(to, effects);
                }
            }
            Action::AdviceEnds { to, start, held, id, result } => {
                if self.is_current(to, start, held) {
                    self.apply(to, JobEvent::AdviceEnded { id, result });
                }
            }
            Action::CommitArrives { from, start, held, id, txn, lost } => {
                let reply = self.store.call(self.now, &StoreCall::Commit(txn));
                let StoreReply::Txn(outcome) = reply else { unreachable!("a commit was sent") };
                if !lost {
                    let at = self.now + self.delay();
                    let result = Ok(outcome);
                    self.push(at, Action::CommitEnds { to: from, start, held, id, result });
                }
            }
            Action::CommitEnds { to, start, held, id, result } => {
                if self.is_current(to, start, held) {
                    self.apply(to, JobEvent::CommitEnded { id, result });
                }
            }
            Action::Fault(fault) => self.strike(fault),
        }
    }

    fn is_current(&self, instance: usize, start: u64, held: u64) -> bool {
        let instance = &self.instances[instance];
        instance.up
            && instance.start == start
            && instance.held == held
            && instance.scheduler.is_some()
    }

    fn tick(&mut self, number: usize) {
        self.push(self.now + TICK, Action::Tick(number));
        if !self.instances[number].up {
            return;
        }
        self.store.expire(self.now);
        if self.reaches_store(number) {
            self.watch(number);
        }
        let effects = self.instances[number].tenure.tick(self.now);
        self.carry_out_tenure(number, effects);
        if let Some(held) = self.instances[number].tenure.held().copied() {
            self.apply(number, JobEvent::TenureChanged(held));
        }
        self.apply(number, JobEvent::Tick);
    }

    fn reaches_store(&self, number: usize) -> bool {
        self.now >= self.instances[number].store_cut_until
    }

    fn watch(&mut self, number: usize) {
        let revision = self.store.revision;
        let owner = self.store.read(OWNER_KEY).into_iter().next();
        let Some(watched) = self.instances[number].watched else {
            self.instances[number].watched = Some(revision);
            let seen = owner.as_ref().map_or(revision, |item| item.revision);
            let effects = self.instances[number].tenure.observe(self.now, seen, owner.as_ref());
            return self.carry_out_tenure(number, effects);
        };
        self.instances[number].watched = Some(revision);
        let news: Vec<StoreChange> = self
            .store
            .changes
            .iter()
            .filter(|change| revision_of(change) > watched)
            .cloned()
            .collect();
        for change in &news {
            let effects = match change {
                StoreChange::Written(item) if item.key == OWNER_KEY => {
                    self.instances[number].tenure.observe(self.now, item.revision, Some(item))
                }
                StoreChange::Removed { key, revision } if key == OWNER_KEY => {
                    self.instances[number].tenure.observe(self.now, *revision, None)
                }
                _ => continue,
            };
            self.carry_out_tenure(number, effects);
        }
        self.feed_scheduler(number);
    }

    fn feed_scheduler(&mut self, number: usize) {
        let now = self.now;
        if self.instances[number].scheduler.is_none() {
            return;
        }
        if self.instances[number].loads_at.is_some_and(|at| now >= at) {
            self.instances[number].loads_at = None;
            self.instances[number].pool_watched = self.store.revision;
            let mut items = self.store.read(LEDGER_PREFIX);
            items.extend(self.store.read(POOL_PREFIX));
            self.apply(number, JobEvent::Loaded { items });
        }
        if self.instances[number].loads_at.is_some() {
            return;
        }
        let after = self.instances[number].pool_watched;
        let changes: Vec<StoreChange> = self
            .store
            .changes
            .iter()
            .filter(|change| revision_of(change) > after && key_of(change).starts_with(POOL_PREFIX))
            .cloned()
            .collect();
        self.instances[number].pool_watched = self.store.revision;
        if !changes.is_empty() {
            self.apply(number, JobEvent::PoolChanged { changes });
        }
        if now >= self.instances[number].lists_at {
            self.instances[number].lists_at = now + LIST;
            let listed = self
                .silent_since
                .iter()
                .map(|since| since.is_none_or(|since| now < since + LIST_SILENCE));
            let reports = self
                .executors
                .iter()
                .zip(listed)
                .filter(|(_, listed)| *listed)
                .map(|(executor, _)| executor.report())
                .collect();
            self.apply(number, JobEvent::Listed { reports });
        }
    }

    fn apply(&mut self, number: usize, event: JobEvent) {
        let (now, wall) = (self.now, Duration::from_secs(1_000) + self.now);
        let Some(scheduler) = self.instances[number].scheduler.as_mut() else { return };
        let effects = scheduler.apply(now, wall, event);
        for effect in effects {
            self.carry_out(number, effect);
        }
    }

    fn carry_out(&mut self, number: usize, effect: JobEffect) {
        let (start, held) = (self.instances[number].start, self.instances[number].held);
        match effect {
            JobEffect::Log(record) => {
                let line = format!(
                    "{:.3} {} {} {:?} {}",
                    self.now.as_secs_f64(),
                    self.instances[number].name,
                    record.code.summary,
                    record.job,
                    record.detail
                );
                self.trace.push(line);
            }
            JobEffect::Measure(_) => {}
            JobEffect::AskAdvice { id, executors, .. } => {
                self.questions.push(executors.len());
                let allowed = executors
                    .into_iter()
                    .filter(|name| self.advised.contains(name))
                    .map(|name| (name.clone(), format!("t-{name}")))
                    .collect();
                let valid = Duration::from_secs(3);
                let result = Ok(AdviceReply { allowed, valid });
                self.push(
                    self.now + TICK,
                    Action::AdviceEnds { to: number, start, held, id, result },
                );
            }
            JobEffect::Fenced => {
                let effects = self.instances[number].tenure.fenced(self.now);
                self.carry_out_tenure(number, effects);
            }
            JobEffect::OwnerSeen(item) => {
                let effects = match &item {
                    Some(found) => {
                        self.instances[number].tenure.observe(self.now, found.revision, Some(found))
                    }
                    None => self.instances[number].tenure.doubt(self.now),
                };
                self.carry_out_tenure(number, effects);
            }
            JobEffect::Order(order) => self.send_order(number, order),
            JobEffect::Commit { id, txn } => {
                let timeout = self.now + Duration::from_millis(700);
                let failed = Action::CommitEnds {
                    to: number,
                    start,
                    held,
                    id,
                    result: Err(StoreFailure::Unknown),
                };
                if !self.reaches_store(number) {
                    return self.push(timeout, failed);
                }
                let lost = self.chance(self.losses.writes_lost);
                let mut at = self.now + self.delay();
                if lost {
                    self.push(timeout, failed);
                    if self.chance(50) {
                        at += Duration::from_millis(self.random.random_range(1_000..6_000));
                    }
                }
                self.push(at, Action::CommitArrives { from: number, start, held, id, txn, lost });
            }
        }
    }

    fn carry_out_tenure(&mut self, number: usize, effects: Vec<TenureEffect>) {
        for effect in effects {
            match effect {
                TenureEffect::Call { id, call, timeout } => {
                    let start = self.instances[number].start;
                    let lost = self.chance(self.losses.writes_lost);
                    if lost || !self.reaches_store(number) {
                        let result = Err(StoreFailure::Unknown);
                        let action = Action::TenureCallEnds { to: number, start, id, result };
                        self.push(self.now + timeout, action);
                    }
                    if self.reaches_store(number) {
                        let at = self.now + self.delay();
                        let action =
                            Action::TenureCallArrives { from: number, start, id, call, lost };
                        self.push(at, action);
                    }
                }
                TenureEffect::Began(held, predecessor) => {
                    let bounds = SchedulerBounds {
                        max_lease: Duration::from_millis(MOST_LEASE_MS),
                        stop_timeout: Duration::from_millis(200),
                        harm_time: Duration::from_secs(4),
                        retention: Duration::from_secs(600),
                    };
                    let scheduler =
                        JobScheduler::new(bounds, &held, self.now).with_guards(self.guards);
                    self.trace.push(format!("{:?} {} began {held:?}", self.now, number));
                    let delay = self.delay() * 4;
                    let instance = &mut self.instances[number];
                    instance.scheduler = Some(scheduler);
                    instance.held += 1;
                    instance.loads_at = Some(self.now + delay);
                    self.end_predecessor(number, held.epoch, predecessor);
                }
                TenureEffect::Resumed(held) => {
                    self.apply(number, JobEvent::TenureChanged(held));
                }
                TenureEffect::Ended(reason) => {
                    self.trace.push(format!("{:?} {number} ended: {reason}", self.now));
                    self.instances[number].scheduler = None;
                    self.instances[number].held += 1;
                }
            }
        }
    }

    /// Asks the predecessor to give no more orders, if its process is up or was replaced.
    fn end_predecessor(&mut self, number: usize, epoch: u64, predecessor: Option<OwnerRecord>) {
        let Some(predecessor) = predecessor else { return };
        let found =
            self.instances.iter().position(|instance| instance.name == predecessor.instance);
        let Some(asked) = found else { return };
        let until = self.instances[asked].frozen_until;
        // A process that is cut off from the store is cut off from the others too.
        if !self.instances[asked].up || self.now < until || !self.reaches_store(asked) {
            return;
        }
        let tenure = &mut self.instances[asked].tenure;
        let (stopped, effects) = tenure.yield_to(self.now, predecessor.start, epoch);
        self.carry_out_tenure(asked, effects);
        self.apply(number, JobEvent::PredecessorEnded { stopped });
    }

    fn send_order(&mut self, number: usize, order: ExecutorOrder) {
        let (start, held) = (self.instances[number].start, self.instances[number].held);
        let Some(at) = self.executors.iter().position(|other| other.name == order.executor) else {
            return;
        };
        let timeout = self.now + order.timeout;
        let cut = self.instances[number].executors_cut.get(&at).copied().unwrap_or_default();
        let fail = |id, result| Action::OrderEnds { to: number, start, held, id, result };
        if self.now >= order.valid_until {
            return self.push(self.now, fail(order.id, Err(OrderFailure::NotSent)));
        }
        if self.now < cut || !self.executors[at].up {
            return self.push(timeout, fail(order.id, Err(OrderFailure::Lost)));
        }
        let late = self.chance(self.losses.orders_late);
        let lost = late || self.chance(self.losses.orders_lost);
        let mut arrives = self.now + self.delay();
        if lost {
            self.push(timeout, fail(order.id, Err(OrderFailure::Lost)));
        }
        if late {
            arrives += Duration::from_millis(self.random.random_range(2_000..12_000));
        }
        let life = self.executors[at].born;
        let action = Action::OrderArrives { from: number, start, held, at, life, order, lost };
        self.push(arrives, action);
    }

    fn order_arrives(
        &mut self,
        from: usize,
        start: u64,
        held: u64,
        at: usize,
        order: ExecutorOrder,
        lost: bool,
    ) {
        if !self.executors[at].up {
            if !lost {
                let result = Err(OrderFailure::Lost);
                let action = Action::OrderEnds { to: from, start, held, id: order.id, result };
                self.push(self.now + order.timeout, action);
            }
            return;
        }
        self.advance_one(at);
        if let OrderRequest::Hold { acknowledged, .. } = &order.request {
            if order.epoch >= self.executors[at].token {
                let noted: Vec<_> = self.executors[at]
                    .ended
                    .iter()
                    .filter(|end| end.report.number <= *acknowledged)
                    .cloned()
                    .collect();
                for end in noted {
                    self.checks.noted(self.now, &end);
                }
            }
        }
        let before: Vec<(TaskName, u32)> =
            self.executors[at].running.iter().map(|run| (run.task, run.run)).collect();
        let reply = self.executors[at].carry_out(self.now, &order, &mut self.plan);
        let begun: Vec<TaskName> = self.executors[at]
            .running
            .iter()
            .filter(|run| !before.contains(&(run.task, run.run)))
            .map(|run| run.task)
            .collect();
        for task in begun {
            self.checks.started(self.now, task, &self.executors);
        }
        self.note_ends(at);
        if lost {
            return;
        }
        if let (OrderRequest::Hold { wait, .. }, OrderReply::Held(report)) =
            (&order.request, &reply)
        {
            if report.ended.is_empty() && !wait.is_zero() {
                let until = self.now + *wait;
                let life = self.executors[at].born;
                let (to, id) = (from, order.id);
                return self.holds.push(WaitingHold { to, start, held, at, life, id, until });
            }
        }
        let ends = self.now + self.delay();
        let action = Action::OrderEnds { to: from, start, held, id: order.id, result: Ok(reply) };
        self.push(ends, action);
    }

    fn advance(&mut self) {
        self.push(self.now + ADVANCE, Action::Advance);
        for at in 0..self.executors.len() {
            self.advance_one(at);
        }
        let holds = std::mem::take(&mut self.holds);
        for hold in holds {
            let WaitingHold { to, start, held, at, life, id, until } = hold;
            let executor = &self.executors[at];
            let cut = self.instances[to].executors_cut.get(&at).copied().unwrap_or_default();
            if !executor.up || executor.born != life {
                // The crash has reset the connection.
                let result = Err(OrderFailure::Lost);
                self.push(self.now, Action::OrderEnds { to, start, held, id, result });
            } else if self.now >= until || !executor.ended.is_empty() {
                let result = match self.now < cut {
                    true => Err(OrderFailure::Lost),
                    false => Ok(OrderReply::Held(executor.held(self.now))),
                };
                self.push(self.now, Action::OrderEnds { to, start, held, id, result });
            } else {
                self.holds.push(hold);
            }
        }
    }

    fn advance_one(&mut self, at: usize) {
        let now = self.now;
        self.executors[at].advance(now);
        self.note_ends(at);
    }

    fn note_ends(&mut self, at: usize) {
        let checked = self.checked[at];
        for end in &self.executors[at].ended {
            if end.report.number > checked {
                self.checks.ended(end);
                self.checked[at] = end.report.number;
            }
        }
    }

    fn strike(&mut self, fault: WorldFault) {
        self.trace.push(format!("{:?} {fault:?}", self.now));
        match fault {
            WorldFault::KillInstance { instance, down } => self.restart(instance, down),
            WorldFault::StopInstance { instance, down } => {
                let effects = self.instances[instance].tenure.drain(self.now);
                self.carry_out_tenure(instance, effects);
                self.push(
                    self.now + Duration::from_secs(3),
                    Action::Fault(WorldFault::KillInstance { instance, down }),
                );
            }
            WorldFault::FreezeInstance { instance, span } => {
                self.instances[instance].frozen_until = self.now + span;
            }
            WorldFault::CutFromStore { instance, span } => {
                self.instances[instance].store_cut_until = self.now + span;
            }
            WorldFault::RevokeOwner => self.store.remove(OWNER_KEY),
            WorldFault::CutFromExecutors { instance, executors, span } => {
                let until = self.now + span;
                let cut = &mut self.instances[instance].executors_cut;
                cut.extend(executors.into_iter().map(|executor| (executor, until)));
            }
            WorldFault::CrashExecutor { executor, down } => {
                match (self.executors[executor].up, down) {
                    (false, _) if !self.gone.contains(&executor) => {
                        self.executors[executor].restart(self.now);
                        self.checked[executor] = 0;
                        self.silent_since[executor] = None;
                    }
                    (false, _) => {}
                    (true, down) => {
                        self.executors[executor].crash();
                        self.silent_since[executor] = Some(self.now);
                        match down {
                            Some(down) => self.push(
                                self.now + down,
                                Action::Fault(WorldFault::CrashExecutor { executor, down: None }),
                            ),
                            None => {
                                self.gone.insert(executor);
                            }
                        }
                    }
                }
            }
            WorldFault::DrainExecutor { executor } => {
                self.executors[executor].draining = true;
                self.push(
                    self.now + Duration::from_secs(4),
                    Action::Fault(WorldFault::CrashExecutor { executor, down: None }),
                );
            }
        }
    }

    fn restart(&mut self, number: usize, down: Duration) {
        if self.instances[number].up {
            self.instances[number].up = false;
            self.instances[number].scheduler = None;
            let again = WorldFault::KillInstance { instance: number, down: Duration::ZERO };
            return self.push(self.now + down, Action::Fault(again));
        }
        let name = self.instances[number].name.clone();
        let cut = std::mem::take(&mut self.instances[number].executors_cut);
        let store_cut = self.instances[number].store_cut_until;
        self.instances[number] = self.new_instance(&name);
        self.instances[number].executors_cut = cut;
        self.instances[number].store_cut_until = store_cut;
    }
}

fn target_of(action: &Action) -> Option<usize> {
    match action {
        Action::Tick(instance) => Some(*instance),
        Action::OrderEnds { to, .. }
        | Action::TenureCallEnds { to, .. }
        | Action::CommitEnds { to, .. } => Some(*to),
        _ => None,
    }
}

fn revision_of(change: &StoreChange) -> StoreRevision {
    match change {
        StoreChange::Written(item) => item.revision,
        StoreChange::Removed { revision, .. } => *revision,
    }
}

fn key_of(change: &StoreChange) -> &str {
    match change {
        StoreChange::Written(item) => &item.key,
        StoreChange::Removed { key, .. } => key,
    }
}
