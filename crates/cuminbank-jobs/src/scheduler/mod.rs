//! Decisions of the owner of a cell, a part of the pool of executors.
//!
//! The owner reads accepted jobs from the store, starts their tasks on executors, records how runs
//! end and acknowledges an end only after it is recorded. Starts are not recorded: after a change of
//! owner the executors of the durable roster say what they run, and tasks of earlier jobs wait until
//! each of them has answered under the new epoch or its leases have surely ended.

mod advice;
mod candidates;
mod contact;
mod ends;
mod jobs;
mod journal;
mod orders;
mod pass;
mod placing;
mod pressure;
mod state;
mod status;
mod survey;
mod tails;
mod takeover;
mod waits;
mod watching;

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use cuminbank::log::LogCode;
use slotmap::SlotMap;

pub use state::{ExecutorKey, JobKey, RunKey};

use self::{
    advice::AdviceBook,
    journal::JournalState,
    orders::{most_starts, PendingOrder},
    pass::{part_units, QueuePass},
    state::{ExecutorState, JobState, RunState},
};
use crate::{
    cells::CellLoad,
    colocation::{ColocationModel, ImageId},
    guards::JobGuards,
    ids::{
        CellId, ExecutorName, JobId, MonotonicTime, OrderId, OwnerEpoch, StoreRevision, WallTime,
        WriteId,
    },
    job::{JobOutcome, StepName},
    keys::CellKeys,
    order::{AdviceFailure, AdviceReply, ExecutorOrder, ExecutorReport, OrderFailure, OrderReply},
    ownership::HeldOwnership,
    store::{StoreChange, StoreFailure, StoreItem, StoreTxn, TxnOutcome},
};

/// Interval of the ticks that drive timers.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Bounds of the platform that the scheduler needs.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerBounds {
    /// Longest lease that an executor grants.
    pub max_lease: Duration,
    /// Longest time in which an executor stops a run.
    pub stop_timeout: Duration,
    /// How long a tail latency may stay above its bound because of filling tasks.
    pub harm_time: Duration,
    /// How long the outcome of an ended job is kept.
    pub retention: Duration,
}

/// What the scheduler reacts to.
#[derive(Clone, Debug)]
pub enum JobEvent {
    /// The records of the pool were read.
    Loaded {
        /// All items of the pool and of its ledger.
        items: Vec<StoreItem>,
    },
    /// The watch of the pool delivered changes, or a repeated read did.
    PoolChanged {
        /// Changes in order.
        changes: Vec<StoreChange>,
    },
    /// The ownership record stands again or its right was extended.
    OwnershipChanged(HeldOwnership),
    /// The owner of the epoch before gives no more orders.
    PredecessorEnded {
        /// For how long at least it has given none.
        stopped: Duration,
    },
    /// The list of executors was read.
    Listed {
        /// Usable entries.
        reports: Vec<ExecutorReport>,
    },
    /// An order ended.
    OrderEnded {
        /// The order.
        id: OrderId,
        /// The answer, or why there is none.
        result: Result<OrderReply, OrderFailure>,
    },
    /// A call of the advice service ended.
    AdviceEnded {
        /// The call.
        id: OrderId,
        /// The tickets, or why there are none.
        result: Result<AdviceReply, AdviceFailure>,
    },
    /// A commit ended.
    CommitEnded {
        /// The write.
        id: WriteId,
        /// The answer, or why there is none.
        result: Result<TxnOutcome, StoreFailure>,
    },
    /// Time has passed.
    Tick,
}

impl JobEvent {
    /// Returns the name of the kind of event, for measurements.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Loaded { .. } => "loaded",
            Self::PoolChanged { .. } => "pool_changed",
            Self::OwnershipChanged(_) => "tenure_changed",
            Self::PredecessorEnded { .. } => "predecessor_ended",
            Self::Listed { .. } => "listed",
            Self::OrderEnded { .. } => "order_ended",
            Self::AdviceEnded { .. } => "advice_ended",
            Self::CommitEnded { .. } => "commit_ended",
            Self::Tick => "tick",
        }
    }
}

/// What the scheduler wants done.
#[derive(Clone, Debug)]
pub enum JobEffect {
    /// Send an order.
    Order(ExecutorOrder),
    /// Ask the advice service on which executors a step may run.
    AskAdvice {
        /// Number of the call.
        id: OrderId,
        /// The step.
        step: StepName,
        /// Executors to ask about.
        executors: Vec<ExecutorName>,
        /// Longest wait.
        timeout: Duration,
    },
    /// Change the store.
    Commit {
        /// Number of the write.
        id: WriteId,
        /// The change.
        txn: StoreTxn,
    },
    /// A conflict showed the ownership record, or that there is none.
    OwnerSeen(Option<StoreItem>),
    /// An executor has seen a later epoch.
    Fenced,
    /// Log a decision.
    Log(DecisionRecord),
    /// Count or time something.
    Measure(JobMeasure),
}

/// A decision with what decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionRecord {
    /// Kind of event.
    pub code: LogCode,
    /// The job that it touches.
    pub job: Option<JobId>,
    /// Inputs and outcome, as `name=value` pairs.
    pub detail: String,
}

/// A measurement.
#[derive(Clone, Debug, PartialEq)]
pub struct JobMeasure {
    /// What is measured.
    pub name: &'static str,
    /// Queue that it belongs to; empty if none.
    pub queue: String,
    /// Duration, or `None` for an event to count.
    pub time: Option<Duration>,
}

/// Scheduler of one tenure of a cell.
pub struct JobScheduler {
    bounds: SchedulerBounds,
    keys: CellKeys,
    /// Use of the cell, and when it is worked out again.
    load: CellLoad,
    next_load_at: MonotonicTime,
    guards: JobGuards,
    epoch: OwnerEpoch,
    /// Revision at which the tenure began: jobs created later have no earlier runs.
    began: StoreRevision,
    /// Revision of the ownership record while it stands.
    owner_revision: Option<StoreRevision>,
    authority_until: MonotonicTime,
    /// Latest time at which the ownership surely stood: the last write under it was sent then.
    owned_at: MonotonicTime,
    started_at: MonotonicTime,
    /// Since when the owner of the epoch before surely gives no orders.
    predecessor_ended: Option<MonotonicTime>,
    loaded: bool,
    /// Executors of the roster that may still run tasks of an earlier epoch.
    unsettled: HashSet<ExecutorName>,
    jobs: SlotMap<JobKey, JobState>,
    job_ids: HashMap<JobId, JobKey>,
    /// Jobs that have ended, with the time of their end.
    ended_jobs: HashMap<JobId, (JobOutcome, WallTime)>,
    /// Cancelled jobs whose record has not arrived yet.
    early_cancels: HashSet<JobId>,
    executors: SlotMap<ExecutorKey, ExecutorState>,
    executor_names: HashMap<ExecutorName, ExecutorKey>,
    runs: SlotMap<RunKey, RunState>,
    orders: HashMap<OrderId, PendingOrder>,
    journal: JournalState,
    /// Number of cells of the pool.
    cells: CellId,
    advice: AdviceBook,
    /// How much filling tasks slow serving tasks down, by image.
    colocation: ColocationModel,
    /// How much each serving image is sought as a neighbour, and when that is worked out again.
    sought: Vec<f64>,
    next_sought_at: MonotonicTime,
    /// Earliest time of the next task that may disturb services.
    next_starved_at: MonotonicTime,
    /// When the room of the pool is logged next.
    next_survey_at: MonotonicTime,
    /// Whether tasks reserved little of the pool at the last pass.
    little_used: bool,
    last_order: OrderId,
    last_write: WriteId,
    /// Counts orders and answers, to tell which came first.
    stamp: u64,
    /// Jobs with ready tasks.
    waiting: HashSet<JobKey>,
    placing_wanted: bool,
    /// Pass over the queue that is not complete.
    pass: Option<QueuePass>,
    /// Units of work that one part of a pass may take, and that the last one took.
    part_units: u32,
    spent_units: u32,
    /// Starts that may be in flight at a time, and that are.
    most_starts: usize,
    starts_in_flight: usize,
    /// On how many executors each pair of a serving and a filling image meets.
    meetings: HashMap<(ImageId, ImageId), u32>,
    /// When ended jobs are looked through next.
    next_forget_at: MonotonicTime,
    /// Earliest time of the next pass, or of the next part of this one.
    next_pass_at: MonotonicTime,
    now: MonotonicTime,
    wall: WallTime,
    effects: Vec<JobEffect>,
}

impl JobScheduler {
    /// Creates the scheduler of a tenure that has just begun.
    pub fn new(bounds: SchedulerBounds, ownership: &HeldOwnership, now: MonotonicTime) -> Self {
        Self {
            bounds,
            keys: CellKeys::new(0),
            load: CellLoad::default(),
            next_load_at: MonotonicTime::ZERO,
            guards: JobGuards::default(),
            epoch: ownership.epoch,
            began: ownership.began,
            owner_revision: ownership.revision,
            authority_until: ownership.authority_until,
            owned_at: now,
            started_at: now,
            predecessor_ended: None,
            loaded: false,
            unsettled: HashSet::new(),
            jobs: SlotMap::with_key(),
            job_ids: HashMap::new(),
            ended_jobs: HashMap::new(),
            early_cancels: HashSet::new(),
            executors: SlotMap::with_key(),
            executor_names: HashMap::new(),
            runs: SlotMap::with_key(),
            orders: HashMap::new(),
            journal: JournalState::default(),
            cells: 1,
            advice: AdviceBook::default(),
            colocation: ColocationModel::default(),
            sought: Vec::new(),
            next_sought_at: MonotonicTime::ZERO,
            next_starved_at: MonotonicTime::ZERO,
            next_survey_at: MonotonicTime::ZERO,
            little_used: false,
            last_order: 0,
            last_write: 0,
            stamp: 0,
            waiting: HashSet::new(),
            placing_wanted: false,
            pass: None,
            part_units: part_units(1.0),
            spent_units: 0,
            most_starts: usize::MAX,
            starts_in_flight: 0,
            meetings: HashMap::new(),
            next_forget_at: MonotonicTime::ZERO,
            next_pass_at: MonotonicTime::ZERO,
            now,
            wall: WallTime::ZERO,
            effects: Vec::new(),
        }
    }

    /// Names the cell, and says of how many it is one.
    pub fn with_cell(mut self, cell: CellId, cells: CellId) -> Self {
        self.keys = CellKeys::new(cell);
        self.cells = cells;
        self
    }

    /// Switches guards off, for tests.
    pub fn with_guards(mut self, guards: JobGuards) -> Self {
        self.guards = guards;
        self
    }

    /// Sets the share of a core that the instance may use, which bounds the work in one turn.
    pub fn with_processor_share(mut self, share: f64) -> Self {
        self.part_units = part_units(share);
        self
    }

    /// Sets the bandwidth of the instance's link in Mbit/s, which bounds the starts in flight.
    pub fn with_link(mut self, mbps: f64) -> Self {
        self.most_starts = most_starts(mbps);
        self
    }

    /// Applies an event and returns what has to be done.
    pub fn apply(&mut self, now: MonotonicTime, wall: WallTime, event: JobEvent) -> Vec<JobEffect> {
        self.now = now;
        self.wall = wall;
        match event {
            JobEvent::Loaded { items } => self.on_loaded(items),
            JobEvent::PoolChanged { changes } => self.on_pool_changed(changes),
            JobEvent::OwnershipChanged(held) => self.on_tenure_changed(&held),
            JobEvent::PredecessorEnded { stopped } => self.on_predecessor_ended(stopped),
            JobEvent::Listed { reports } => self.on_listed(reports),
            JobEvent::OrderEnded { id, result } => self.on_order_ended(id, result),
            JobEvent::AdviceEnded { id, result } => self.on_advice_ended(id, result),
            JobEvent::CommitEnded { id, result } => self.on_commit_ended(id, result),
            JobEvent::Tick => self.on_tick(),
        }
        self.drive_pass();
        self.flush_if_due();
        std::mem::take(&mut self.effects)
    }

    /// Tells whether the records have been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    fn on_tenure_changed(&mut self, held: &HeldOwnership) {
        self.owner_revision = held.revision;
        self.authority_until = held.authority_until;
    }

    fn on_tick(&mut self) {
        if !self.loaded {
            return;
        }
        self.settle_by_time();
        self.forget_ended_jobs();
        self.open_due_occurrences();
        self.drive_contacts();
        self.drive_orders();
        self.watch_runs();
        self.report_waits();
        self.survey_pool();
        self.update_load();
        self.placing_wanted = true;
    }

    fn next_stamp(&mut self) -> u64 {
        self.stamp += 1;
        self.stamp
    }

    fn log(&mut self, code: LogCode, job: Option<JobId>, detail: String) {
        self.effects.push(JobEffect::Log(DecisionRecord { code, job, detail }));
    }

    fn measure(&mut self, name: &'static str, queue: &str, time: Option<Duration>) {
        let queue = queue.to_owned();
        self.effects.push(JobEffect::Measure(JobMeasure { name, queue, time }));
    }
}
