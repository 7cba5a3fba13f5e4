//! Simulated pool in virtual time: several instances share a store and executors, with injected
//! faults.

mod effects;
mod executors;
mod fates;
mod faults;
mod waits;
mod watches;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminbank_jobs::{
    guards::JobGuards,
    ids::{JobId, MonotonicTime, OrderId, StoreRevision, WriteId, ZoneName},
    job::{JobOutcome, JobPhase, JobRecord},
    keys::{accepted_key, CellKeys},
    lease_bounds::RevisionClock,
    order::{
        AdviceFailure, AdviceReply, ExecutorOrder, ExecutorReport, OrderFailure, OrderReply, RunEnd,
    },
    ownership::OwnershipState,
    peer::{OwnerAnswer, OwnerQuestion},
    scheduler::{JobEvent, JobScheduler},
    store::{
        encode_value, StoreCall, StoreChange, StoreFailure, StorePut, StoreReply, StoreTxn,
        TxnOutcome,
    },
};
use cuminbank_platform_standin::{
    executor::{FakeExecutor, StartBehavior, MAX_LEASE_MS},
    store::FakeStore,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use self::fates::{FateDecider, MessageFate, MessageKind};
use crate::support::checks::HistoryChecks;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which nothing may be sent to the executors of a zone under evacuation.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Time after which the list of executors no longer contains an executor that is down.
const LIST_EXPIRY: Duration = Duration::from_millis(3_300);

/// Scheduler instance, with the state of its current process.
struct FakeInstance {
    name: String,
    up: bool,
    /// Number of the process. Results for an earlier process are ignored.
    start: u64,
    ownership: OwnershipState,
    scheduler: Option<JobScheduler>,
    /// Number of the current ownership of the process. Results for an earlier one are ignored.
    ownership_number: u64,
    revisions: RevisionClock,
    owner_watch_revision: Option<StoreRevision>,
    pool_watch_revision: StoreRevision,
    pool_read_due: Option<MonotonicTime>,
    list_due: MonotonicTime,
    frozen_until: MonotonicTime,
    store_cut_until: MonotonicTime,
    executors_cut: BTreeMap<usize, MonotonicTime>,
    /// Zones under evacuation, as last read from the store.
    evacuated_zones: BTreeSet<ZoneName>,
}

enum Action {
    Tick(usize),
    Advance,
    SampleWaits,
    OrderArrives {
        from: usize,
        start: u64,
        ownership_number: u64,
        executor_index: usize,
        /// Start time of the incarnation of the executor that received the order.
        incarnation: MonotonicTime,
        order: ExecutorOrder,
        lost: bool,
        reply_delay: Duration,
    },
    OrderCompletes {
        to: usize,
        start: u64,
        ownership_number: u64,
        id: OrderId,
        result: Result<OrderReply, OrderFailure>,
    },
    OwnershipCallArrives {
        from: usize,
        start: u64,
        id: WriteId,
        call: StoreCall,
        lost: bool,
    },
    OwnershipCallCompletes {
        to: usize,
        start: u64,
        id: WriteId,
        result: Result<StoreReply, StoreFailure>,
    },
    AdviceCompletes {
        to: usize,
        start: u64,
        ownership_number: u64,
        id: OrderId,
        result: Result<AdviceReply, AdviceFailure>,
    },
    CommitArrives {
        from: usize,
        start: u64,
        ownership_number: u64,
        id: WriteId,
        txn: StoreTxn,
        lost: bool,
    },
    CommitCompletes {
        to: usize,
        start: u64,
        ownership_number: u64,
        id: WriteId,
        result: Result<TxnOutcome, StoreFailure>,
    },
    Fault(InjectedFault),
}

/// Hold (long poll) that waits for a run to end.
struct PendingHold {
    to: usize,
    start: u64,
    ownership_number: u64,
    executor_index: usize,
    /// Start time of the incarnation of the executor that received the hold.
    incarnation: MonotonicTime,
    id: OrderId,
    until: MonotonicTime,
    reply_delay: Duration,
}

/// Fault to inject.
#[derive(Clone, Debug)]
pub enum InjectedFault {
    /// Kills a process that is up and restarts it after `down`. Restarts one that is down.
    KillInstance { instance: usize, down: Duration },
    /// Suspends a process.
    FreezeInstance { instance: usize, span: Duration },
    /// Cuts a process off from the store.
    CutFromStore { instance: usize, span: Duration },
    /// Removes the ownership record without notifying the owner.
    RevokeOwner,
    /// Cuts a process off from some executors.
    CutFromExecutors { instance: usize, executors: Vec<usize>, span: Duration },
    /// Cuts an executor off from the store and all instances. It keeps running.
    CutOffExecutor { executor: usize, span: Duration },
    /// Lists an executor again that was cut off, if it is up.
    RelistExecutor { executor: usize },
    /// Crashes an executor that is up and restarts it after `down`, or never. Restarts one that is
    /// down unless it has left.
    CrashExecutor { executor: usize, down: Option<Duration> },
    /// Drains an executor, which leaves for good 4 s later.
    DrainExecutor { executor: usize },
    /// Removes an executor for good.
    RemoveExecutor { executor: usize },
    /// Starts an executor that was not part of the pool before.
    JoinExecutor { executor: usize },
    /// Makes all starts on an executor come to nothing while its other replies look healthy.
    FailStarts { executor: usize, span: Duration, how: StartFault },
    /// Begins the evacuation of a zone, and takes it back after `span`.
    EvacuateZone { zone: ZoneName, span: Duration },
    /// Takes the evacuation of a zone back.
    ReopenZone { zone: ZoneName },
    /// Drains a process, kills it 3 s later and restarts it after `down`.
    StopInstance { instance: usize, down: Duration },
}

/// How starts on an executor come to nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartFault {
    /// It replies that it is unhealthy.
    Unhealthy,
    /// It rejects the order.
    Rejected,
    /// The run fails at once.
    Fails,
}

/// Percentages of messages whose replies are lost or that are executed late.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MessageLosses {
    /// Orders executed without a reply.
    pub orders_lost: u32,
    /// Orders executed 2 to 12 seconds late and without a reply.
    pub orders_late: u32,
    /// Store calls executed without a reply. Half of the schedulers' writes among them are executed
    /// 1 to 6 seconds late.
    pub writes_lost: u32,
}

/// Simulated pool with its instances and executors.
pub struct SimulatedPool {
    pub now: MonotonicTime,
    pub store: FakeStore,
    pub executors: Vec<FakeExecutor>,
    pub checks: HistoryChecks,
    pub losses: MessageLosses,
    pub trace: Vec<String>,
    /// Executors for which the advice service issues tickets.
    pub advised: BTreeSet<String>,
    /// Further entries in the list of executors, at whose addresses nothing listens.
    pub odd_entries: Vec<ExecutorReport>,
    /// Executors that refuse each start because they count as unhealthy.
    pub refusing: BTreeSet<String>,
    /// Executors that get no start, as if each was lost.
    pub without_starts: BTreeSet<String>,
    /// Starts refused for this reason.
    pub refused_starts: usize,
    /// Number of passes that were checked for missed placements.
    pub settled_passes: usize,
    /// Whether a crash leaves the holds of the executor unanswered instead of failing them.
    pub silent_crashes: bool,
    /// Whether an executor that has replied to an owner carries out orders that its earlier
    /// incarnation had received. Otherwise it rejects them.
    pub late_orders_cross_restarts: bool,
    /// Whether orders with a lease are only sent on connections whose executor's clock fits.
    pub binds_leases: bool,
    /// Number of executors in each request to the advice service.
    pub advice_requests: Vec<usize>,
    /// Highest number of work units that a scheduler used in one call, and highest number of starts
    /// that one had in flight.
    pub max_units: u32,
    pub max_starts: usize,
    max_lease_ms: u64,
    processor_share: f64,
    link_mbps: f64,
    step_spread: bool,
    admission: bool,
    task_reservations: bool,
    calm_placement: bool,
    instances: Vec<FakeInstance>,
    silent_since: Vec<Option<MonotonicTime>>,
    removed_executors: BTreeSet<usize>,
    checked_end_numbers: Vec<u64>,
    /// Zones under evacuation, each with the time at which it began.
    evacuations: BTreeMap<ZoneName, MonotonicTime>,
    /// Executors on which starts come to nothing, and until when.
    starts_fail_until: BTreeMap<usize, (MonotonicTime, StartFault)>,
    holds: Vec<PendingHold>,
    queue: BTreeMap<(MonotonicTime, u64), Action>,
    actions: u64,
    starts: u64,
    plan: StartBehavior,
    guards: JobGuards,
    decider: Option<FateDecider>,
    random: ChaCha8Rng,
}

impl SimulatedPool {
    /// Creates a pool in which all processes and executors are up.
    pub fn new(seed: u64, instances: usize, executors: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let rates: Vec<u64> = (0..executors).map(|_| random.random_range(980..=1_000)).collect();
        let mut lengths = ChaCha8Rng::seed_from_u64(seed ^ 1);
        let plan: StartBehavior = Box::new(move |_, _| {
            let failed = lengths.random_range(0..100) < 4;
            let end = if failed { RunEnd::Failed } else { RunEnd::Done };
            (Some(Duration::from_millis(lengths.random_range(150..1_500))), end)
        });
        let mut pool = Self {
            now: Duration::from_secs(1),
            store: FakeStore::default(),
            executors: rates
                .into_iter()
                .enumerate()
                .map(|(number, rate)| FakeExecutor::new(&format!("e{number}"), rate))
                .collect(),
            checks: HistoryChecks::default(),
            losses: MessageLosses::default(),
            trace: Vec::new(),
            advised: BTreeSet::new(),
            odd_entries: Vec::new(),
            refusing: BTreeSet::new(),
            without_starts: BTreeSet::new(),
            refused_starts: 0,
            settled_passes: 0,
            silent_crashes: false,
            late_orders_cross_restarts: false,
            binds_leases: true,
            max_lease_ms: MAX_LEASE_MS,
            advice_requests: Vec::new(),
            max_units: 0,
            max_starts: 0,
            processor_share: 1.0,
            link_mbps: 1_000.0,
            step_spread: false,
            admission: false,
            task_reservations: false,
            calm_placement: false,
            instances: Vec::new(),
            silent_since: vec![None; executors],
            removed_executors: BTreeSet::new(),
            checked_end_numbers: vec![0; executors],
            evacuations: BTreeMap::new(),
            starts_fail_until: BTreeMap::new(),
            holds: Vec::new(),
            queue: BTreeMap::new(),
            actions: 0,
            starts: 0,
            plan,
            guards: JobGuards::default(),
            decider: None,
            random,
        };
        for number in 0..instances {
            let instance = pool.new_instance(&format!("i{number}"));
            pool.instances.push(instance);
            pool.push(pool.now + TICK_INTERVAL * number as u32 / 7, Action::Tick(number));
        }
        pool.push(pool.now, Action::Advance);
        pool.push(pool.now, Action::SampleWaits);
        pool
    }

    /// Sets the function that decides how long each run takes and how it ends.
    pub fn with_plan(mut self, plan: StartBehavior) -> Self {
        self.plan = plan;
        self
    }

    /// Sets the percentages of lost and late messages.
    pub fn with_losses(mut self, losses: MessageLosses) -> Self {
        self.losses = losses;
        self
    }

    /// Sets the longest lease that executors grant.
    pub fn with_max_lease(mut self, max_lease: Duration) -> Self {
        self.max_lease_ms = max_lease.as_millis() as u64;
        self.executors.iter_mut().for_each(|executor| executor.max_lease_ms = self.max_lease_ms);
        self
    }

    /// Sets the share of a core of each instance.
    pub fn with_processor_share(mut self, share: f64) -> Self {
        self.processor_share = share;
        self
    }

    /// Sets the link bandwidth of each instance in Mbit/s.
    pub fn with_link(mut self, mbps: f64) -> Self {
        self.link_mbps = mbps;
        self
    }

    /// Sets whether the latency-critical tasks of a step are spread over executors.
    pub fn with_step_spread(mut self, enabled: bool) -> Self {
        self.step_spread = enabled;
        self
    }

    /// Sets whether the owner reports the room of the pool.
    pub fn with_admission(mut self, enabled: bool) -> Self {
        self.admission = enabled;
        self
    }

    /// Sets whether executors are reserved for large tasks that wait.
    pub fn with_task_reservations(mut self, enabled: bool) -> Self {
        self.task_reservations = enabled;
        self
    }

    /// Sets whether best-effort tasks are placed where no latency-critical task is at risk.
    pub fn with_calm_placement(mut self, enabled: bool) -> Self {
        self.calm_placement = enabled;
        self
    }

    /// Sets the enabled safety mechanisms.
    pub fn with_guards(mut self, guards: JobGuards) -> Self {
        self.guards = guards;
        self
    }

    /// Sets the function that decides the fate of each message, in addition to the losses.
    pub fn with_decider(mut self, decider: FateDecider) -> Self {
        self.decider = Some(decider);
        self
    }

    /// Stores a job as the instance that receives its submission does.
    pub fn submit(&mut self, id: JobId, record: JobRecord) {
        let txn = StoreTxn {
            expected: vec![(accepted_key(id), 0)],
            puts: vec![
                StorePut::new(accepted_key(id), encode_value(&0u16)),
                StorePut::new(CellKeys::new(0).job(id), encode_value(&record)),
            ],
            removes: Vec::new(),
        };
        self.checks.lost_tasks.submitted(self.now, id, &record);
        self.checks.records.insert(id, record);
        self.store.call(self.now, &StoreCall::Commit(txn));
    }

    /// Stores a cancellation request as the instance that receives it does.
    pub fn cancel(&mut self, id: JobId) {
        self.checks.lost_tasks.cancelled(id);
        let puts = vec![StorePut::new(CellKeys::new(0).cancel(id), Vec::new())];
        let txn = StoreTxn { puts, ..StoreTxn::default() };
        self.store.call(self.now, &StoreCall::Commit(txn));
    }

    /// Schedules a fault.
    pub fn fault_at(&mut self, at: MonotonicTime, fault: InjectedFault) {
        self.push(at, Action::Fault(fault));
    }

    /// Takes executors out of the pool until they join by [`InjectedFault::JoinExecutor`].
    pub fn with_absent(mut self, executors: std::ops::Range<usize>) -> Self {
        for executor in executors {
            self.executors[executor].up = false;
            self.silent_since[executor] = Some(Duration::ZERO);
            self.removed_executors.insert(executor);
        }
        self
    }

    /// Returns the index of the process that owns the pool, if any.
    pub fn owner(&self) -> Option<usize> {
        self.instances.iter().position(|instance| instance.up && instance.scheduler.is_some())
    }

    /// Returns the indexes of the processes that own the pool or believe that they do.
    pub fn owners(&self) -> Vec<usize> {
        let numbered = self.instances.iter().enumerate();
        let owners = numbered.filter(|(_, instance)| instance.up && instance.scheduler.is_some());
        owners.map(|(index, _)| index).collect()
    }

    /// Returns the phase of a job as reported by its owner.
    pub fn phase(&self, id: JobId) -> Option<JobPhase> {
        let owner = &self.instances[self.owner()?];
        owner.scheduler.as_ref()?.phase(id)
    }

    /// Asks the owner a question. Returns `None` if there is no owner.
    pub fn ask_owner(&self, question: &OwnerQuestion) -> Option<OwnerAnswer> {
        let owner = &self.instances[self.owner()?];
        Some(owner.scheduler.as_ref()?.answer(question))
    }

    /// Returns the number of runs of a job on executors that are up.
    pub fn running(&self, id: JobId) -> usize {
        let up = self.executors.iter().filter(|executor| executor.up);
        up.flat_map(|executor| &executor.running).filter(|run| run.task.job == id).count()
    }

    /// Returns a random number in the range.
    pub fn random_number(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random.random_range(range)
    }

    /// Advances the simulation to a point in time.
    pub fn run_until(&mut self, end: MonotonicTime) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = self.now.max(entry.key().0);
            let action = entry.remove();
            self.execute(action);
        }
        self.now = end;
    }

    /// Checks that every job has an outcome and that all tasks of completed jobs have a result.
    pub fn check_end(&mut self) {
        let ids: Vec<JobId> = self.checks.records.keys().copied().collect();
        for id in ids {
            match self.phase(id) {
                Some(JobPhase::Ended(JobOutcome::Completed)) if !self.checks.is_done(id) => {
                    self.checks.violations.push(format!(
                        "job {id:x} is reported as completed but has tasks without a result"
                    ));
                }
                Some(JobPhase::Ended(_)) => {}
                other => {
                    self.checks.violations.push(format!("job {id:x} has no outcome: {other:?}"))
                }
            }
        }
    }

    fn new_instance(&mut self, name: &str) -> FakeInstance {
        self.starts += 1;
        let address = "127.0.0.1:2".parse().expect("valid socket address");
        FakeInstance {
            name: name.to_owned(),
            up: true,
            start: self.starts,
            ownership: OwnershipState::new(name.to_owned(), self.starts, address),
            scheduler: None,
            ownership_number: 0,
            revisions: RevisionClock::default(),
            owner_watch_revision: None,
            pool_watch_revision: 0,
            pool_read_due: None,
            list_due: Duration::ZERO,
            frozen_until: Duration::ZERO,
            store_cut_until: Duration::ZERO,
            executors_cut: BTreeMap::new(),
            evacuated_zones: BTreeSet::new(),
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

    fn execute(&mut self, action: Action) {
        // Messages to a suspended process are delivered when it resumes.
        if let Some(instance) = target_instance(&action) {
            let until = self.instances[instance].frozen_until;
            if self.now < until {
                self.push(until, action);
                return;
            }
        }
        match action {
            Action::Tick(instance) => self.tick(instance),
            Action::Advance => self.advance(),
            Action::SampleWaits => self.sample_waits(),
            Action::OrderArrives {
                from,
                start,
                ownership_number,
                executor_index,
                incarnation,
                order,
                lost,
                reply_delay,
            } => {
                // Nobody can prevent what a later incarnation carries out before its first reply.
                let executor = &self.executors[executor_index];
                let carries_out = self.late_orders_cross_restarts && executor.token > 0;
                let result = Err(OrderFailure::Replaced);
                if executor.up && executor.born != incarnation && !carries_out {
                    if !lost {
                        let id = order.id;
                        self.push(
                            self.now,
                            Action::OrderCompletes {
                                to: from,
                                start,
                                ownership_number,
                                id,
                                result,
                            },
                        );
                    }
                    return;
                }
                let sender = (from, start, ownership_number);
                self.order_arrives(sender, executor_index, order, lost, reply_delay);
            }
            Action::OrderCompletes { to, start, ownership_number, id, result } => {
                if self.is_current(to, start, ownership_number) {
                    self.apply(to, JobEvent::OrderCompleted { id, result });
                }
            }
            Action::OwnershipCallArrives { from, start, id, call, lost } => {
                let reply = self.store.call(self.now, &call);
                if !lost {
                    let at = self.now + self.delay();
                    let action =
                        Action::OwnershipCallCompletes { to: from, start, id, result: Ok(reply) };
                    self.push(at, action);
                }
            }
            Action::OwnershipCallCompletes { to, start, id, result } => {
                if self.instances[to].up && self.instances[to].start == start {
                    let effects =
                        self.instances[to].ownership.on_call_completed(self.now, id, result);
                    self.execute_ownership_effects(to, effects);
                }
            }
            Action::AdviceCompletes { to, start, ownership_number, id, result } => {
                if self.is_current(to, start, ownership_number) {
                    self.apply(to, JobEvent::AdviceCompleted { id, result });
                }
            }
            Action::CommitArrives { from, start, ownership_number, id, txn, lost } => {
                let reply = self.store.call(self.now, &StoreCall::Commit(txn));
                let StoreReply::Txn(outcome) = reply else {
                    unreachable!("the reply to a commit is a transaction outcome")
                };
                if !lost {
                    let at = self.now + self.delay();
                    let result = Ok(outcome);
                    self.push(
                        at,
                        Action::CommitCompletes { to: from, start, ownership_number, id, result },
                    );
                }
            }
            Action::CommitCompletes { to, start, ownership_number, id, result } => {
                if self.is_current(to, start, ownership_number) {
                    self.apply(to, JobEvent::CommitCompleted { id, result });
                }
            }
            Action::Fault(fault) => self.inject(fault),
        }
    }

    fn is_current(&self, instance: usize, start: u64, ownership_number: u64) -> bool {
        let instance = &self.instances[instance];
        instance.up
            && instance.start == start
            && instance.ownership_number == ownership_number
            && instance.scheduler.is_some()
    }

    fn tick(&mut self, number: usize) {
        self.push(self.now + TICK_INTERVAL, Action::Tick(number));
        if !self.instances[number].up {
            return;
        }
        self.store.expire(self.now);
        if self.reaches_store(number) {
            self.watch(number);
        }
        let effects = self.instances[number].ownership.tick(self.now);
        self.execute_ownership_effects(number, effects);
        if let Some(held) = self.instances[number].ownership.held().copied() {
            self.apply(number, JobEvent::OwnershipChanged(held));
        }
        self.apply(number, JobEvent::Tick);
    }
}

fn target_instance(action: &Action) -> Option<usize> {
    match action {
        Action::Tick(instance) => Some(*instance),
        Action::OrderCompletes { to, .. }
        | Action::OwnershipCallCompletes { to, .. }
        | Action::CommitCompletes { to, .. } => Some(*to),
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
