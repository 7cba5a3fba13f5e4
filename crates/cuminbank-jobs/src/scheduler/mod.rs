//! Job scheduler of one cell, a partition of the executor pool.
//!
//! The owner of a cell reads accepted jobs from the store, starts their tasks on executors and
//! records how the runs end. It acknowledges an ended run to the executor only after recording it.
//!
//! Starts are not recorded. After a change of owner, the executors in the stored roster report what
//! they run. Tasks of jobs accepted under an earlier owner are only started once each of these
//! executors has replied under the new epoch or its leases must have expired. A task whose run is known
//! only waits until earlier owners can send no more orders, since a task has one run at a time.
//!
//! Tasks are of three kinds. Latency-critical tasks run until their job is cancelled and have a
//! target for their tail latency. Best-effort tasks reserve no CPU and use what the others leave
//! idle. All other tasks, like the latency-critical ones, reserve the CPU that they need.

mod advice;
mod calm;
mod candidates;
mod contact;
mod drains;
mod evacuation;
mod fencing;
mod gathering;
mod handover;
mod jobs;
mod journal;
mod missed_placements;
mod moves;
mod orders;
mod pass;
mod pressure;
mod refusals;
mod reservations;
mod room;
mod run_reports;
mod run_watchdog;
mod state;
mod status;
mod survey;
mod tails;
mod takeover;
mod task_placement;
mod wait_reports;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    time::Duration,
};

use cuminbank::log::LogCode;
use slotmap::SlotMap;

pub use missed_placements::MissedPlacement;
pub use state::{ExecutorKey, JobKey, RunKey};
pub(crate) use state::{JOB_STATE_BYTES, TASK_STATE_BYTES};
pub use status::ExecutorTally;

use self::{
    advice::AdviceState,
    calm::CalmState,
    journal::JournalState,
    moves::MoveState,
    orders::{max_starts_in_flight, PendingOrder},
    pass::{slice_units, QueuePass, StarvedJob},
    reservations::ReservationState,
    room::RoomState,
    state::{ExecutorState, JobState, RunState},
};
use crate::{
    cells::CellLoad,
    colocation::{ColocationModel, ImageId},
    division::CellReport,
    guards::JobGuards,
    ids::{
        CellId, ExecutorName, JobId, MonotonicTime, OrderId, OwnerEpoch, RunNumber, StoreRevision,
        WallTime, WriteId, ZoneName,
    },
    job::{JobOutcome, StepId},
    keys::CellKeys,
    lease_bounds::{EarlierOwners, OwnershipEvidence},
    lease_handover::EarlierLease,
    order::{AdviceFailure, AdviceReply, ExecutorOrder, ExecutorReport, OrderFailure, OrderReply},
    ownership::{HeldOwnership, OwnerRecord},
    store::{StoreChange, StoreFailure, StoreItem, StoreTxn, TxnOutcome},
};

/// Interval between [`JobEvent::Tick`] events, which drive all timers.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Limits set by the platform and the settings.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerBounds {
    /// Longest lease that an executor accepts.
    pub max_lease: Duration,
    /// Longest time that an executor takes to stop a run.
    pub stop_timeout: Duration,
    /// Longest time for which best-effort tasks may keep a tail latency above its target.
    pub max_violation_time: Duration,
    /// How long the outcome of an ended job is stored.
    pub retention: Duration,
}

/// Input of the scheduler.
#[derive(Clone, Debug)]
pub enum JobEvent {
    /// The stored state of the cell was read.
    Loaded {
        /// All items of the cell's pool and ledger prefixes.
        items: Vec<StoreItem>,
        /// Time by which the last write of an earlier owner was done, if known.
        written_by: Option<MonotonicTime>,
        /// Time by which the store had the handover of an earlier owner, if known.
        handed_over_by: Option<MonotonicTime>,
    },
    /// Items under the pool prefix changed, according to the watch or to another full read.
    PoolChanged {
        /// Changes in the order of their revisions.
        changes: Vec<StoreChange>,
    },
    /// Current state of the ownership, sent on every tick and when the ownership record was written
    /// again. Its record or its authority may have changed.
    OwnershipChanged(HeldOwnership),
    /// The owner of the previous epoch has stopped sending orders.
    PredecessorStopped {
        /// Minimum time since its last order.
        stopped: Duration,
    },
    /// The list of executors was read.
    Listed {
        /// Entries that could be parsed.
        reports: Vec<ExecutorReport>,
    },
    /// The zones under evacuation changed, or were read for the first time.
    EvacuationsChanged {
        /// All zones under evacuation.
        zones: BTreeSet<ZoneName>,
    },
    /// The loads of the cells were read from their owners. Jobs that wait in a full cell then move to
    /// cells with room.
    CellsReported {
        /// Recent reports. A cell without one gets no jobs.
        reports: Vec<CellReport>,
    },
    /// An order to an executor completed.
    OrderCompleted {
        /// Id of the order.
        id: OrderId,
        /// The reply, or why there is no usable one.
        result: Result<OrderReply, OrderFailure>,
    },
    /// A call to the advice service completed.
    AdviceCompleted {
        /// Id of the call.
        id: OrderId,
        /// The tickets, or why there are none.
        result: Result<AdviceReply, AdviceFailure>,
    },
    /// A store transaction completed.
    CommitCompleted {
        /// Id of the write.
        id: WriteId,
        /// Its outcome, or why there is none.
        result: Result<TxnOutcome, StoreFailure>,
    },
    /// Periodic timer event, sent every [`TICK_INTERVAL`].
    Tick,
}

impl JobEvent {
    /// Returns the name of the event kind, used as a metric label.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Loaded { .. } => "loaded",
            Self::PoolChanged { .. } => "pool_changed",
            Self::OwnershipChanged(_) => "tenure_changed",
            Self::PredecessorStopped { .. } => "predecessor_ended",
            Self::Listed { .. } => "listed",
            Self::EvacuationsChanged { .. } => "evacuations_changed",
            Self::CellsReported { .. } => "cells_reported",
            Self::OrderCompleted { .. } => "order_ended",
            Self::AdviceCompleted { .. } => "advice_ended",
            Self::CommitCompleted { .. } => "commit_ended",
            Self::Tick => "tick",
        }
    }
}

/// Action that the caller of [`JobScheduler::apply`] carries out.
#[derive(Clone, Debug)]
pub enum JobEffect {
    /// Send an order to an executor.
    Order(ExecutorOrder),
    /// Query the advice service on which executors a step may run.
    AskAdvice {
        /// Id of the call.
        id: OrderId,
        /// Step to be placed.
        step: StepId,
        /// Executors to include in the query.
        executors: Vec<ExecutorName>,
        /// Time limit for the reply.
        timeout: Duration,
    },
    /// Commit a store transaction.
    Commit {
        /// Id of the write.
        id: WriteId,
        /// Transaction to commit.
        txn: StoreTxn,
    },
    /// A conflict or the watch returned the ownership record, or a conflict showed that none
    /// exists.
    OwnerSeen(Option<StoreItem>),
    /// An executor has accepted a higher epoch, so this owner has been replaced.
    Fenced,
    /// This owner has raised its epoch in the store.
    EpochRaised(OwnerEpoch),
    /// Log a decision.
    Log(DecisionRecord),
    /// Update a metric.
    Measure(JobMeasure),
}

/// Log entry of a scheduling decision and its inputs.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionRecord {
    /// Log event code.
    pub code: LogCode,
    /// Job concerned, if any.
    pub job: Option<JobId>,
    /// Inputs and outcome as `name=value` pairs.
    pub detail: String,
}

/// Sample for a metric.
#[derive(Clone, Debug, PartialEq)]
pub struct JobMeasure {
    /// Name of the metric.
    pub name: &'static str,
    /// Queue label; empty if the sample belongs to no queue.
    pub queue: String,
    /// Duration to record, or `None` to increment a counter.
    pub time: Option<Duration>,
}

/// Scheduler of one cell for one period of ownership.
///
/// It does no I/O: [`Self::apply`] takes an event and returns the actions to carry out.
pub struct JobScheduler {
    bounds: SchedulerBounds,
    keys: CellKeys,
    /// Load of the cell as reported to other instances, and when it is next computed.
    load: CellLoad,
    next_load_at: MonotonicTime,
    /// Room of the cell; `None` unless submissions are admitted by it.
    room: Option<RoomState>,
    guards: JobGuards,
    epoch: OwnerEpoch,
    /// When this owner last raised its epoch.
    epoch_raised_at: MonotonicTime,
    /// Record of this process, without which the epoch cannot be raised.
    identity: Option<OwnerRecord>,
    /// Number above those of all runs of earlier owners.
    run_base: RunNumber,
    /// Store revision at which this ownership began. Jobs created later have no earlier runs.
    start_revision: StoreRevision,
    /// Revision of the ownership record, or `None` while it is not known to exist.
    owner_revision: Option<StoreRevision>,
    authority_until: MonotonicTime,
    started_at: MonotonicTime,
    /// Evidence on which leases are granted.
    evidence: OwnershipEvidence,
    earlier_owners: EarlierOwners,
    /// Time from which on no owner before the previous one sends orders.
    earlier_orders_until: MonotonicTime,
    loaded: bool,
    /// Number of executors in the roster that was loaded.
    loaded_executors: usize,
    /// Number of these that have replied, or are known to be gone.
    reconciled_executors: usize,
    /// Executors of the stored roster that may still run tasks started in an earlier epoch.
    unreconciled: HashSet<ExecutorName>,
    /// Leases of earlier owners that their last record tells.
    earlier_leases: HashMap<ExecutorName, EarlierLease>,
    /// Whether the stored roster cannot be read and leases of earlier owners may not have expired.
    roster_unreadable: bool,
    jobs: SlotMap<JobKey, JobState>,
    job_ids: HashMap<JobId, JobKey>,
    /// Outcome of jobs whose details have been dropped, with the time stored as the end of the job.
    ended_jobs: HashMap<JobId, (JobOutcome, WallTime)>,
    /// Accepted jobs whose record or progress cannot be read. Their tasks are not started, and
    /// their runs are left alone.
    unreadable_jobs: HashSet<JobId>,
    /// Jobs whose cancel request arrived before their record.
    early_cancels: HashSet<JobId>,
    executors: SlotMap<ExecutorKey, ExecutorState>,
    executor_names: HashMap<ExecutorName, ExecutorKey>,
    /// Removed executors to which orders of the current epoch were sent.
    departed_executors: HashSet<ExecutorName>,
    /// Zones under evacuation.
    evacuated_zones: BTreeSet<ZoneName>,
    /// Zones in which jobs are gathered.
    open_zones: BTreeSet<ZoneName>,
    runs: SlotMap<RunKey, RunState>,
    orders: HashMap<OrderId, PendingOrder>,
    journal: JournalState,
    /// Number of cells into which the pool is divided.
    cells: CellId,
    moves: MoveState,
    advice: AdviceState,
    /// Reservations for large tasks, if they are enabled.
    reservations: Option<ReservationState>,
    /// Learned interference of best-effort images with latency-critical images.
    colocation: ColocationModel,
    /// How much best-effort images depend on running next to each image, relative to the highest
    /// value (see [`ColocationModel::neighbour_demand`]), and when it is next computed.
    neighbour_demand: Vec<f64>,
    next_neighbour_demand_at: MonotonicTime,
    calm: CalmState,
    /// Earliest time at which the next starving best-effort task may start on an executor where it
    /// interferes with latency-critical ones.
    next_starvation_start_at: MonotonicTime,
    /// When the next summary of the cell is logged.
    next_survey_at: MonotonicTime,
    /// When room is next searched for long-running tasks on draining executors.
    next_moves_at: MonotonicTime,
    /// Whether the latency-critical tasks of a step are spread over executors.
    step_spread: bool,
    /// Whether tasks reserved only a small part of the CPU when the last pass began.
    underutilized: bool,
    last_order: OrderId,
    last_write: WriteId,
    /// Logical clock. Each sent hold and each confirmation of a run gets a higher value, which
    /// tells whether a run was confirmed before a report was requested.
    logical_time: u64,
    /// Jobs with ready tasks.
    waiting: HashSet<JobKey>,
    pass_needed: bool,
    /// Unfinished pass over the queue.
    pass: Option<QueuePass>,
    /// Whether a pass took place in the last call and considered all ready tasks.
    pass_complete: bool,
    /// Starved job after which the last pass left out the remaining ones, if it did.
    last_starved: Option<StarvedJob>,
    /// Work budget of one slice of a pass, and the units spent by the last slice.
    slice_units: u32,
    spent_units: u32,
    /// Limit on starts without a reply, and their current number.
    max_starts_in_flight: usize,
    starts_in_flight: usize,
    /// Number of executors that run both images of each pair of a latency-critical and a
    /// best-effort image.
    pair_counts: HashMap<(ImageId, ImageId), u32>,
    /// When ended jobs are next cleaned up.
    next_removal_at: MonotonicTime,
    /// Earliest time of the next pass, or of the next slice of the current one.
    next_pass_at: MonotonicTime,
    now: MonotonicTime,
    wall: WallTime,
    effects: Vec<JobEffect>,
}

impl JobScheduler {
    /// Creates the scheduler for an ownership that begins at `now`.
    pub fn new(bounds: SchedulerBounds, ownership: &HeldOwnership, now: MonotonicTime) -> Self {
        Self {
            bounds,
            keys: CellKeys::new(0),
            load: CellLoad::default(),
            next_load_at: MonotonicTime::ZERO,
            room: None,
            guards: JobGuards::default(),
            epoch: ownership.epoch,
            epoch_raised_at: now,
            identity: None,
            run_base: ownership.run_base,
            start_revision: ownership.start_revision,
            owner_revision: ownership.revision,
            authority_until: ownership.authority_until,
            started_at: now,
            evidence: OwnershipEvidence::default(),
            earlier_owners: EarlierOwners {
                bounded: ownership.earlier_bounded,
                replaced_at: now,
                ..EarlierOwners::default()
            },
            earlier_orders_until: ownership.earlier_orders_until,
            loaded: false,
            loaded_executors: 0,
            reconciled_executors: 0,
            unreconciled: HashSet::new(),
            earlier_leases: HashMap::new(),
            roster_unreadable: false,
            jobs: SlotMap::with_key(),
            job_ids: HashMap::new(),
            ended_jobs: HashMap::new(),
            unreadable_jobs: HashSet::new(),
            early_cancels: HashSet::new(),
            executors: SlotMap::with_key(),
            executor_names: HashMap::new(),
            departed_executors: HashSet::new(),
            evacuated_zones: BTreeSet::new(),
            open_zones: BTreeSet::new(),
            runs: SlotMap::with_key(),
            orders: HashMap::new(),
            journal: JournalState::default(),
            cells: 1,
            moves: MoveState::default(),
            advice: AdviceState::default(),
            reservations: None,
            colocation: ColocationModel::default(),
            neighbour_demand: Vec::new(),
            next_neighbour_demand_at: MonotonicTime::ZERO,
            calm: CalmState::default(),
            next_starvation_start_at: MonotonicTime::ZERO,
            next_survey_at: MonotonicTime::ZERO,
            next_moves_at: MonotonicTime::ZERO,
            step_spread: false,
            underutilized: false,
            last_order: 0,
            last_write: 0,
            logical_time: 0,
            waiting: HashSet::new(),
            pass_needed: false,
            pass: None,
            pass_complete: false,
            last_starved: None,
            slice_units: slice_units(1.0),
            spent_units: 0,
            max_starts_in_flight: usize::MAX,
            starts_in_flight: 0,
            pair_counts: HashMap::new(),
            next_removal_at: MonotonicTime::ZERO,
            next_pass_at: MonotonicTime::ZERO,
            now,
            wall: WallTime::ZERO,
            effects: Vec::new(),
        }
    }

    /// Sets the cell and the number of cells into which the pool is divided.
    pub fn with_cell(mut self, cell: CellId, cells: CellId) -> Self {
        self.keys = CellKeys::new(cell);
        self.cells = cells;
        self.moves = MoveState::new(cell, cells);
        self
    }

    /// Sets the record of this process, with which the epoch can be raised.
    pub fn with_identity(mut self, identity: OwnerRecord) -> Self {
        self.identity = Some(identity);
        self
    }

    /// Sets the enabled safety mechanisms, so that tests can show what each of them prevents.
    pub fn with_guards(mut self, guards: JobGuards) -> Self {
        self.guards = guards;
        self
    }

    /// Sets whether the room of the cell is reported, so that submissions are admitted by it.
    pub fn with_admission(mut self, enabled: bool) -> Self {
        self.room = enabled.then(RoomState::default);
        self
    }

    /// Sets the share of a CPU core that this instance may use, which limits the work per event.
    pub fn with_processor_share(mut self, share: f64) -> Self {
        self.slice_units = slice_units(share);
        self
    }

    /// Sets the bandwidth of the instance's network link in Mbit/s, which limits the starts in
    /// flight.
    pub fn with_link(mut self, mbps: f64) -> Self {
        self.max_starts_in_flight = max_starts_in_flight(mbps);
        self
    }

    /// Sets whether the latency-critical tasks of a step are spread over executors.
    pub fn with_step_spread(mut self, enabled: bool) -> Self {
        self.step_spread = enabled;
        self
    }

    /// Sets whether executors are reserved for large tasks that wait.
    pub fn with_task_reservations(mut self, enabled: bool) -> Self {
        self.reservations = enabled.then(ReservationState::default);
        self
    }

    /// Sets whether best-effort tasks are placed where no latency-critical task is at risk.
    pub fn with_calm_placement(mut self, enabled: bool) -> Self {
        self.calm.enabled = enabled;
        self
    }

    /// Applies an event and returns the actions to carry out, in order.
    pub fn apply(&mut self, now: MonotonicTime, wall: WallTime, event: JobEvent) -> Vec<JobEffect> {
        self.now = now;
        self.wall = wall;
        match event {
            JobEvent::Loaded { items, written_by, handed_over_by } => {
                self.on_loaded(items, written_by, handed_over_by);
            }
            JobEvent::PoolChanged { changes } => self.on_pool_changed(changes),
            JobEvent::OwnershipChanged(held) => self.on_ownership_changed(&held),
            JobEvent::PredecessorStopped { stopped } => self.on_predecessor_stopped(stopped),
            JobEvent::Listed { reports } => self.on_listed(reports),
            JobEvent::EvacuationsChanged { zones } => self.on_evacuations_changed(zones),
            JobEvent::CellsReported { reports } => self.on_cells_reported(reports),
            JobEvent::OrderCompleted { id, result } => self.on_order_completed(id, result),
            JobEvent::AdviceCompleted { id, result } => self.on_advice_completed(id, result),
            JobEvent::CommitCompleted { id, result } => self.on_commit_completed(id, result),
            JobEvent::Tick => self.on_tick(),
        }
        self.run_pass();
        self.flush_if_due();
        std::mem::take(&mut self.effects)
    }

    /// Returns whether the stored state has been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    fn on_ownership_changed(&mut self, held: &HeldOwnership) {
        self.owner_revision = held.revision;
        self.authority_until = held.authority_until;
    }

    fn on_tick(&mut self) {
        if !self.loaded {
            return;
        }
        self.reconcile_by_timeout();
        self.update_quorum();
        self.remove_ended_jobs();
        self.open_due_occurrences();
        self.poll_executors();
        self.resend_orders();
        self.retry_moves();
        self.stop_stuck_runs();
        self.stop_runs_on_draining_executors();
        self.report_waits();
        self.survey_pool();
        self.update_load();
        self.update_room();
        self.pass_needed = true;
    }

    fn next_logical_time(&mut self) -> u64 {
        self.logical_time += 1;
        self.logical_time
    }

    fn log(&mut self, code: LogCode, job: Option<JobId>, detail: String) {
        self.effects.push(JobEffect::Log(DecisionRecord { code, job, detail }));
    }

    fn measure(&mut self, name: &'static str, queue: &str, time: Option<Duration>) {
        let queue = queue.to_owned();
        self.effects.push(JobEffect::Measure(JobMeasure { name, queue, time }));
    }
}
