//! Two cells with an owner each, on one store, in virtual time. The test decides what happens to the
//! transactions that move jobs.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use cuminbank_jobs::{
    cells::PoolPlan,
    division::CellReport,
    ids::{CellId, JobId, MonotonicTime, OrderId, StoreRevision, WriteId},
    job::{JobOutcome, JobPhase, JobRecord, TaskName},
    keys::{accepted_key, CellKeys},
    order::{ExecutorOrder, OrderFailure, OrderReply, OrderRequest, RejectReason, RunEnd},
    ownership::{HeldOwnership, OwnershipEffect, OwnershipState, MAX_STORE_SILENCE},
    peer::{OwnerAnswer, OwnerQuestion},
    progress::JobProgress,
    scheduler::{JobEffect, JobEvent, JobScheduler, SchedulerBounds},
    store::{
        decode_value, encode_value, StoreCall, StoreChange, StoreFailure, StoreItem, StorePut,
        StoreReply, StoreTxn, TxnOutcome,
    },
};
use cuminbank_platform_standin::{
    executor::{FakeExecutor, StartBehavior},
    store::FakeStore,
};

use super::{
    jobs::{job, step},
    ownership,
};

const TICK: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a transaction without a reply counts as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time from the end of an owner until its record expires, and until the next one claims.
const EXPIRY: Duration = Duration::from_millis(1_500);
const CLAIM: Duration = Duration::from_millis(250);
const BOUNDS: SchedulerBounds =
    SchedulerBounds { retention: Duration::from_secs(600), ..ownership::BOUNDS };

/// What happens to an attempt to move a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveFate {
    Delivered,
    /// It never reaches the store.
    RequestLost,
    /// It takes effect at once, without a reply.
    ReplyLost,
    /// It reaches the store late, without a reply.
    Late(Duration),
    /// It takes effect at once, with a reply, and a copy of it reaches the store later.
    Doubled(Duration),
    /// The store certainly does not execute it.
    NotDone,
}

/// Decides what happens to each attempt to move a job.
pub type FateChoice = Box<dyn FnMut(MonotonicTime) -> MoveFate>;

enum Action {
    CommitArrives { to: Option<(usize, u64, WriteId)>, txn: StoreTxn },
    CommitCompletes((usize, u64, WriteId), Result<TxnOutcome, StoreFailure>),
    HoldEnds((usize, u64, OrderId), usize),
    OrderCompletes((usize, u64, OrderId), Result<OrderReply, OrderFailure>),
    RecordExpires(usize),
    Claim(usize),
}

struct FakeOwner {
    number: u64,
    held: HeldOwnership,
    scheduler: JobScheduler,
    watched: StoreRevision,
}

/// Two cells of a pool.
pub struct TwoCells {
    pub now: MonotonicTime,
    pub store: FakeStore,
    pub executors: [Vec<FakeExecutor>; 2],
    /// Attempts to move a job, each with its time.
    pub attempts: Vec<(MonotonicTime, JobId)>,
    pub violations: Vec<String>,
    /// Jobs whose starts the executors refuse for want of room.
    pub refused: BTreeSet<JobId>,
    /// Whether the owners get the loads of the cells.
    pub reports_loads: bool,
    pub fate: FateChoice,
    owners: [Option<FakeOwner>; 2],
    claims: u64,
    lengths: Rc<RefCell<BTreeMap<JobId, Duration>>>,
    behavior: StartBehavior,
    accepted: BTreeMap<JobId, JobRecord>,
    cancelled: BTreeSet<JobId>,
    queue: BTreeMap<(MonotonicTime, u64), Action>,
    actions: u64,
}

fn moved_job(txn: &StoreTxn) -> Option<JobId> {
    let prefix = accepted_key(0);
    let prefix = prefix.trim_end_matches('0');
    let put = txn.puts.iter().find(|put| put.key.starts_with(prefix))?;
    JobId::from_str_radix(&put.key[prefix.len()..], 16).ok()
}

impl TwoCells {
    /// Creates the cells: one executor of 8 cores in cell 0, and `executors` of them in cell 1.
    pub fn new(executors: usize) -> Self {
        let lengths: Rc<RefCell<BTreeMap<JobId, Duration>>> = Rc::default();
        let known = Rc::clone(&lengths);
        let behavior = move |task: TaskName, _| {
            let length = known.borrow().get(&task.job).copied();
            (Some(length.unwrap_or(Duration::from_millis(400))), RunEnd::Done)
        };
        let executor = |cell: usize, number: usize| {
            let mut executor = FakeExecutor::new(&format!("e{cell}-{number}"), 1_000);
            executor.labels = vec!["a".to_owned(), format!("r{cell}")];
            executor
        };
        let mut cells = Self {
            now: Duration::from_secs(1),
            store: FakeStore::default(),
            executors: [
                vec![executor(0, 0)],
                (0..executors).map(|number| executor(1, number)).collect(),
            ],
            attempts: Vec::new(),
            violations: Vec::new(),
            refused: BTreeSet::new(),
            reports_loads: true,
            fate: Box::new(|_| MoveFate::Delivered),
            owners: [None, None],
            claims: 0,
            lengths,
            behavior: Box::new(behavior),
            accepted: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            queue: BTreeMap::new(),
            actions: 0,
        };
        (0..2).for_each(|cell| cells.claim(cell));
        cells.run_for(Duration::from_secs(1));
        cells
    }

    /// Returns the ids of jobs whose home is a cell, in ascending order.
    pub fn ids_of(home: CellId) -> impl Iterator<Item = JobId> {
        let plan = PoolPlan { cells: 2, racks: BTreeMap::new() };
        (1..).filter(move |id| plan.home_and_fallback(*id).0 == home)
    }

    /// Stores a job in a cell as the instance that receives its submission does. Returns whether it
    /// was accepted by this call.
    pub fn submit(&mut self, id: JobId, cell: CellId, record: JobRecord) -> bool {
        let record = JobRecord { accepted_at: self.wall(), ..record };
        let txn = StoreTxn {
            expected: vec![(accepted_key(id), 0)],
            puts: vec![
                StorePut::new(accepted_key(id), encode_value(&cell)),
                StorePut::new(CellKeys::new(cell).job(id), encode_value(&record)),
            ],
            removes: Vec::new(),
        };
        self.accepted.entry(id).or_insert(record);
        self.commits(&txn)
    }

    /// Sets the run time of the tasks of a job.
    pub fn set_length(&mut self, id: JobId, length: Duration) {
        self.lengths.borrow_mut().insert(id, length);
    }

    /// Fills cell 0 for a time and then submits a job to it that has to wait there.
    pub fn submit_waiting(&mut self, length: Duration, waiting: &JobRecord) -> JobId {
        let mut ids = Self::ids_of(0).skip(self.accepted.len());
        let [first, id] = [ids.next(), ids.next()].map(Option::unwrap_or_default);
        self.set_length(first, length);
        self.submit(first, 0, job(vec![step(8, &[])]));
        self.run_for(Duration::from_millis(200));
        self.submit(id, 0, waiting.clone());
        id
    }

    /// Reads the record of a job in a cell, as an instance does that gets a cancellation.
    pub fn record_revision(&self, id: JobId, cell: CellId) -> Option<StoreRevision> {
        self.item(&CellKeys::new(cell).job(id)).map(|item| item.revision)
    }

    /// Stores a cancellation, unless the record has changed since it was read.
    pub fn cancel(&mut self, id: JobId, cell: CellId, revision: StoreRevision) -> bool {
        let keys = CellKeys::new(cell);
        let txn = StoreTxn {
            expected: vec![(keys.cancel(id), 0), (keys.job(id), revision)],
            puts: vec![StorePut::new(keys.cancel(id), Vec::new())],
            removes: Vec::new(),
        };
        let committed = self.commits(&txn);
        if committed {
            self.cancelled.insert(id);
        }
        committed
    }

    /// Returns the cell that the store names for an accepted job.
    pub fn cell_of(&self, id: JobId) -> Option<CellId> {
        decode_value(&self.item(&accepted_key(id))?.value)
    }

    /// Returns the phase of a job as the owner of a cell reports it.
    pub fn phase(&self, id: JobId, cell: usize) -> Option<JobPhase> {
        self.owners[cell].as_ref()?.scheduler.phase(id)
    }

    /// Returns the number of runs that executors of a cell have started for a job.
    pub fn starts(&self, id: JobId, cell: usize) -> usize {
        let history = self.executors[cell].iter().flat_map(|executor| &executor.history);
        history.filter(|run| run.task.job == id).count()
    }

    /// Ends the process of an owner. Another one claims the cell after the record has expired.
    pub fn kill_owner(&mut self, cell: usize) {
        self.owners[cell] = None;
        self.push(self.now + EXPIRY, Action::RecordExpires(cell));
        self.push(self.now + EXPIRY + CLAIM, Action::Claim(cell));
    }

    /// Removes the record of an owner while its process goes on.
    pub fn revoke_owner(&mut self, cell: usize) {
        self.push(self.now, Action::RecordExpires(cell));
        self.push(self.now + CLAIM, Action::Claim(cell));
    }

    /// Removes what the store has of an ended job, as the owner of its cell does after the retention
    /// time, so that its id can be submitted again.
    pub fn expire(&mut self, id: JobId, cell: CellId) {
        let removes = vec![accepted_key(id), CellKeys::new(cell).progress(id)];
        assert!(self.commits(&StoreTxn { removes, ..StoreTxn::default() }));
        self.accepted.remove(&id);
    }

    /// Delivers items to the owner of a cell once more, as a read that began earlier does.
    pub fn deliver_again(&mut self, cell: usize, items: Vec<StoreItem>) {
        let changes = items.into_iter().map(StoreChange::Written).collect();
        self.apply(cell, JobEvent::PoolChanged { changes });
    }

    pub fn item(&self, key: &str) -> Option<StoreItem> {
        self.store.read(key).into_iter().find(|item| item.key == key)
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.execute_due();
            for cell in 0..2 {
                self.step_cell(cell);
            }
            if self.reports_loads
                && self.now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis())
            {
                self.report_loads();
            }
            if self.now.as_millis().is_multiple_of(50) {
                self.check_records();
            }
        }
    }

    /// Checks that all tasks of each job have run exactly once, or that it was cancelled.
    pub fn check_end(&mut self) {
        for id in self.accepted.keys().copied().collect::<Vec<_>>() {
            let cell = self.cell_of(id).map(usize::from).unwrap_or_default();
            let phase = self.phase(id, cell);
            let wanted = match self.cancelled.contains(&id) {
                true => JobOutcome::Cancelled,
                false => JobOutcome::Completed,
            };
            let completed = Some(JobPhase::Ended(JobOutcome::Completed));
            if phase != Some(JobPhase::Ended(wanted)) && phase != completed {
                self.violations.push(format!("job {id} in cell {cell} is {phase:?}"));
            }
            let tasks: usize =
                self.accepted[&id].steps.iter().map(|step| step.count as usize).sum();
            let starts = self.starts(id, 0) + self.starts(id, 1);
            if phase == completed && starts != tasks {
                self.violations.push(format!("job {id}: {starts} runs of {tasks} tasks"));
            }
        }
    }

    fn wall(&self) -> Duration {
        Duration::from_secs(1_000) + self.now
    }

    fn commits(&mut self, txn: &StoreTxn) -> bool {
        let reply = self.store.call(self.now, &StoreCall::Commit(txn.clone()));
        matches!(reply, StoreReply::Txn(TxnOutcome::Committed { .. }))
    }

    fn push(&mut self, at: MonotonicTime, action: Action) {
        self.actions += 1;
        self.queue.insert((at, self.actions), action);
    }

    fn execute_due(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Action::CommitArrives { to, txn } => {
                    let reply = self.store.call(self.now, &StoreCall::Commit(txn));
                    if let (Some(to), StoreReply::Txn(outcome)) = (to, reply) {
                        self.push(self.now + TICK, Action::CommitCompletes(to, Ok(outcome)));
                    }
                }
                Action::CommitCompletes((cell, number, id), result) => {
                    self.apply_to(cell, number, JobEvent::CommitCompleted { id, result });
                }
                Action::HoldEnds((cell, number, id), executor) => {
                    let executor = &mut self.executors[cell][executor];
                    executor.advance(self.now);
                    let result = Ok(OrderReply::Held(executor.hold_report(self.now)));
                    self.apply_to(cell, number, JobEvent::OrderCompleted { id, result });
                }
                Action::OrderCompletes((cell, number, id), result) => {
                    self.apply_to(cell, number, JobEvent::OrderCompleted { id, result });
                }
                Action::RecordExpires(cell) => {
                    self.store.remove(&CellKeys::new(cell as CellId).owner);
                }
                Action::Claim(cell) => self.claim(cell),
            }
        }
    }

    fn claim(&mut self, cell: usize) {
        self.claims += 1;
        let number = self.claims;
        let address = "127.0.0.1:2".parse().expect("valid socket address");
        let mut state = OwnershipState::new(format!("i{number}"), number, address)
            .with_cell(cell as CellId)
            .with_min_ttl(Duration::from_secs(10_000));
        let seen = self.now.saturating_sub(Duration::from_secs(1));
        // An instance that has not seen the last owner would wait longer.
        if let Some(last) = self.item(&CellKeys::new(cell as CellId).epoch) {
            state.observe(seen, last.revision, Some(&last));
        }
        let mut effects = state.observe(seen, self.store.revision, None);
        effects.extend(state.tick(self.now));
        let mut began = None;
        while let Some(effect) = effects.pop() {
            match effect {
                OwnershipEffect::Began(held, predecessor) => began = Some((held, predecessor)),
                OwnershipEffect::Call { id, call, .. } => {
                    let reply = self.store.call(self.now, &call);
                    effects.extend(state.on_call_completed(self.now, id, Ok(reply)));
                }
                _ => {}
            }
        }
        let (held, predecessor) = began.expect("the cell has no owner");
        let scheduler = JobScheduler::new(BOUNDS, &held, self.now)
            .with_cell(cell as CellId, 2)
            .with_identity(state.identity().clone());
        let watched = self.store.revision;
        self.owners[cell] = Some(FakeOwner { number, held, scheduler, watched });
        let keys = CellKeys::new(cell as CellId);
        let mut items = self.store.read(&keys.ledger_prefix);
        items.extend(self.store.read(&keys.pool_prefix));
        self.apply(cell, JobEvent::EvacuationsChanged { zones: BTreeSet::new() });
        self.apply(cell, JobEvent::Loaded { items, written_by: None, handed_over_by: None });
        if predecessor.is_some() {
            self.apply(cell, JobEvent::PredecessorStopped { stopped: Duration::ZERO });
        }
    }

    fn step_cell(&mut self, cell: usize) {
        let now = self.now;
        self.executors[cell].iter_mut().for_each(|executor| executor.advance(now));
        let prefix = CellKeys::new(cell as CellId).pool_prefix;
        let Some(owner) = &mut self.owners[cell] else { return };
        let revision_of = |change: &StoreChange| match change {
            StoreChange::Written(item) => (item.revision, item.key.starts_with(&prefix)),
            StoreChange::Removed { key, revision } => (*revision, key.starts_with(&prefix)),
        };
        let first =
            self.store.changes.partition_point(|change| revision_of(change).0 <= owner.watched);
        let changes = self.store.changes[first..].iter();
        let changes: Vec<StoreChange> =
            changes.filter(|change| revision_of(change).1).cloned().collect();
        owner.watched = self.store.revision;
        owner.held.authority_until = now + MAX_STORE_SILENCE;
        let held = owner.held;
        if !changes.is_empty() {
            self.apply(cell, JobEvent::PoolChanged { changes });
        }
        self.apply(cell, JobEvent::OwnershipChanged(held));
        if now.as_millis().is_multiple_of(500) {
            let reports = self.executors[cell].iter().map(FakeExecutor::report).collect();
            self.apply(cell, JobEvent::Listed { reports });
        }
        self.apply(cell, JobEvent::Tick);
    }

    fn report_loads(&mut self) {
        let asker = "127.0.0.1:2".parse().expect("valid socket address");
        let mut reports = Vec::new();
        for (cell, owner) in self.owners.iter().enumerate() {
            let cell = cell as CellId;
            let question = OwnerQuestion::Load { cell, asker };
            let answer = owner.as_ref().map(|owner| owner.scheduler.answer(&question));
            if let Some(OwnerAnswer::Load(load)) = answer {
                reports.push(CellReport { cell, at: self.now, load });
            }
        }
        for cell in 0..2 {
            self.apply(cell, JobEvent::CellsReported { reports: reports.clone() });
        }
    }

    fn apply_to(&mut self, cell: usize, number: u64, event: JobEvent) {
        if self.owners[cell].as_ref().is_some_and(|owner| owner.number == number) {
            self.apply(cell, event);
        }
    }

    fn apply(&mut self, cell: usize, event: JobEvent) {
        let wall = self.wall();
        let Some(owner) = &mut self.owners[cell] else { return };
        let number = owner.number;
        for effect in owner.scheduler.apply(self.now, wall, event) {
            match effect {
                JobEffect::Order(order) => self.send_order((cell, number), &order),
                JobEffect::Commit { id, txn } => self.send_commit((cell, number, id), txn),
                JobEffect::OwnerSeen(item) => {
                    let record = item.map(|item| item.revision);
                    if self.owners[cell].as_ref().is_some_and(|o| o.held.revision != record) {
                        self.owners[cell] = None;
                        return;
                    }
                }
                JobEffect::Fenced => {
                    self.owners[cell] = None;
                    return;
                }
                _ => {}
            }
        }
    }

    fn send_commit(&mut self, to: (usize, u64, WriteId), txn: StoreTxn) {
        let fate = match moved_job(&txn) {
            Some(job) => {
                self.attempts.push((self.now, job));
                (self.fate)(self.now)
            }
            None => MoveFate::Delivered,
        };
        let (arrives, times_out) = (self.now + TICK, self.now + COMMIT_TIMEOUT);
        let unknown = Action::CommitCompletes(to, Err(StoreFailure::Unknown));
        match fate {
            MoveFate::Delivered => {
                self.push(arrives, Action::CommitArrives { to: Some(to), txn });
            }
            MoveFate::RequestLost => self.push(times_out, unknown),
            MoveFate::ReplyLost => {
                self.push(arrives, Action::CommitArrives { to: None, txn });
                self.push(times_out, unknown);
            }
            MoveFate::Late(delay) => {
                self.push(arrives + delay, Action::CommitArrives { to: None, txn });
                self.push(times_out, unknown);
            }
            MoveFate::Doubled(delay) => {
                let copy = txn.clone();
                self.push(arrives, Action::CommitArrives { to: Some(to), txn });
                self.push(arrives + delay, Action::CommitArrives { to: None, txn: copy });
            }
            MoveFate::NotDone => {
                let result = Err(StoreFailure::NotDone);
                self.push(arrives, Action::CommitCompletes(to, result));
            }
        }
    }

    fn send_order(&mut self, (cell, number): (usize, u64), order: &ExecutorOrder) {
        let to = (cell, number, order.id);
        let found = self.executors[cell].iter().position(|other| other.name == order.executor);
        let Some(index) = found else {
            return self.push(self.now, Action::OrderCompletes(to, Err(OrderFailure::NotSent)));
        };
        if let OrderRequest::Start { task, .. } = &order.request {
            if self.refused.contains(&task.job) {
                let reply = OrderReply::Rejected { reason: RejectReason::Room };
                return self.push(self.now + TICK, Action::OrderCompletes(to, Ok(reply)));
            }
            self.check_start(*task);
        }
        let executor = &mut self.executors[cell][index];
        let reply = executor.handle_order(self.now, order, &mut self.behavior);
        let action = match reply {
            OrderReply::Held(_) => Action::HoldEnds(to, index),
            reply => Action::OrderCompletes(to, Ok(reply)),
        };
        self.push(self.now + TICK, action);
    }

    /// Checks that a task is not started while it runs or after it is done, in either cell.
    fn check_start(&mut self, task: TaskName) {
        let all = || self.executors.iter().flatten();
        let running = all().flat_map(|executor| &executor.running).any(|run| run.task == task);
        let done = all()
            .flat_map(|executor| &executor.history)
            .any(|run| run.task == task && run.ended.is_some_and(|(_, end)| end == RunEnd::Done));
        if running || done {
            let violation = format!("{:?}: second start of {task:?}", self.now);
            self.violations.push(violation);
        }
    }

    /// Checks that the record of each job, or its outcome, is in the cell that the store names, and
    /// in no other.
    fn check_records(&mut self) {
        for id in self.accepted.keys() {
            let cells: Vec<CellId> = (0..2)
                .filter(|cell| {
                    let keys = CellKeys::new(*cell);
                    let progress = self.item(&keys.progress(*id));
                    let progress =
                        progress.and_then(|item| decode_value::<JobProgress>(&item.value));
                    self.item(&keys.job(*id)).is_some()
                        || progress.is_some_and(|progress| progress.outcome.is_some())
                })
                .collect();
            if Some(cells.as_slice()) != self.cell_of(*id).as_ref().map(std::slice::from_ref) {
                let named = self.cell_of(*id);
                let at = self.now;
                self.violations.push(format!("{at:?}: job {id} is in {cells:?}, named {named:?}"));
            }
        }
    }
}
