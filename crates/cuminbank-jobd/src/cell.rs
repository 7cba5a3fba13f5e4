//! State of one cell of the pool in this process: its observed owner, the scheduler while this
//! process is the owner, and the async tasks that execute the effects of both.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use cuminbank::log::{OWNERSHIP_BEGAN, OWNERSHIP_ENDED, OWNERSHIP_RESUMED, STORE_UNREADABLE};
use cuminbank_jobs::{
    ids::{CellId, MonotonicTime, OwnerEpoch, StoreRevision},
    keys::CellKeys,
    order::ExecutorOrder,
    ownership::{HeldOwnership, OwnerRecord, OwnershipEffect, OwnershipState},
    peer::{OwnerAnswer, OwnerQuestion},
    scheduler::{
        DecisionRecord, ExecutorTally, JobEffect, JobEvent, JobScheduler, SchedulerBounds,
    },
    store::{StoreCall, StoreFailure, StoreItem, StoreReply},
};
use serde_json::{json, Value};

use crate::{clock, daemon::DaemonState, relay::send_orders, watches};

/// Timeout of a write by the owner. A slow store replies after about 250 ms.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(700);

/// Cell of the pool, as seen by this process.
pub(crate) struct CellState {
    pub(crate) id: CellId,
    pub(crate) keys: CellKeys,
    scheduler: RefCell<Option<JobScheduler>>,
    ownership: RefCell<OwnershipState>,
    /// Incremented whenever the ownership of this process begins or ends. Async tasks started in an
    /// earlier generation stop.
    generation: Cell<u64>,
}

impl CellState {
    /// Creates a cell that this process does not own.
    pub(crate) fn new(id: CellId, ownership: OwnershipState) -> Self {
        Self {
            id,
            keys: CellKeys::new(id),
            scheduler: RefCell::default(),
            ownership: RefCell::new(ownership),
            generation: Cell::new(0),
        }
    }

    /// Returns whether the process has owned the cell without interruption since this generation
    /// began.
    pub(crate) fn is_current(&self, generation: u64) -> bool {
        self.generation.get() == generation && self.owns()
    }

    /// Returns whether this process owns the cell.
    pub(crate) fn owns(&self) -> bool {
        self.scheduler.borrow().is_some()
    }

    /// Returns whether the cell needs ticks at short intervals: this process owns it, or nobody
    /// does.
    pub(crate) fn needs_frequent_ticks(&self) -> bool {
        self.owns() || self.ownership.borrow().is_vacant()
    }

    /// Returns whether this process owns the cell or is claiming it.
    pub(crate) fn is_owner_or_claiming(&self) -> bool {
        self.ownership.borrow().is_owner_or_claiming()
    }

    /// Returns the numbers of its executors, if this process owns the cell.
    pub(crate) fn tally(&self) -> Option<ExecutorTally> {
        self.scheduler.borrow().as_ref().map(JobScheduler::counts)
    }

    /// Returns the memory that accepted jobs hold, in bytes, if this process owns the cell and has
    /// loaded them.
    pub(crate) fn held_bytes(&self) -> Option<u64> {
        self.scheduler.borrow().as_ref().and_then(JobScheduler::held_bytes)
    }

    /// Returns the peer address of the observed owner.
    pub(crate) fn owner_address(&self) -> Option<SocketAddr> {
        self.ownership.borrow().observed().map(|owner| owner.peer_address)
    }

    /// Returns the epoch in which this process owns the cell.
    pub(crate) fn held_epoch(&self) -> Option<OwnerEpoch> {
        self.ownership.borrow().held().map(|held| held.epoch)
    }

    /// Returns the status of the cell for the operator API.
    pub(crate) fn status(&self) -> Value {
        let tally = self.tally();
        let ownership = self.ownership.borrow();
        json!({
            "cell": self.id,
            "owner": ownership.observed().map(|owner| owner.instance.clone()),
            "epoch": ownership.observed().map(|owner| owner.epoch),
            "owned_here": ownership.held().is_some(),
            "tally": tally,
        })
    }

    /// Answers a question for the owner, or [`OwnerAnswer::NotOwner`] if this process is not.
    pub(crate) fn answer(&self, question: &OwnerQuestion) -> OwnerAnswer {
        let scheduler = self.scheduler.borrow();
        scheduler.as_ref().map_or(OwnerAnswer::NotOwner, |owner| owner.answer(question))
    }

    /// Applies an event to the scheduler and executes the effects, if this process owns the cell.
    pub(crate) fn apply(self: &Rc<Self>, state: &Rc<DaemonState>, event: JobEvent) {
        let (started, name) = (Instant::now(), event.name());
        let effects = match self.scheduler.borrow_mut().as_mut() {
            Some(scheduler) => scheduler.apply(clock::now(), clock::wall(), event),
            None => return,
        };
        let generation = self.generation.get();
        let mut orders = Vec::new();
        for effect in effects {
            self.execute_effect(state, generation, effect, &mut orders);
        }
        send_orders(state, self, generation, orders);
        state.metrics.observe("turn", name, started.elapsed());
    }

    /// Applies an event from an async task, unless the task's generation is over.
    pub(crate) fn apply_if_current(
        self: &Rc<Self>,
        state: &Rc<DaemonState>,
        generation: u64,
        event: JobEvent,
    ) {
        if self.is_current(generation) {
            self.apply(state, event);
        }
    }

    /// Executes an effect of the scheduler. Orders are only collected, so that those of one
    /// event can be sent together.
    fn execute_effect(
        self: &Rc<Self>,
        state: &Rc<DaemonState>,
        generation: u64,
        effect: JobEffect,
        orders: &mut Vec<ExecutorOrder>,
    ) {
        let (cell, task_state) = (Rc::clone(self), Rc::clone(state));
        match effect {
            JobEffect::Log(record) => state.log(&record),
            JobEffect::Measure(measure) => state.metrics.record(&measure),
            JobEffect::Fenced => {
                let effects = self.ownership.borrow_mut().on_fenced(clock::now());
                self.execute_ownership_effects(state, effects);
            }
            JobEffect::EpochRaised(epoch) => {
                self.ownership.borrow_mut().on_epoch_raised(clock::now(), epoch);
            }
            JobEffect::OwnerSeen(Some(item)) => {
                self.observe_owner(state, item.revision, Some(&item));
            }
            JobEffect::OwnerSeen(None) => {
                let effects = self.ownership.borrow_mut().on_record_missing(clock::now());
                self.execute_ownership_effects(state, effects);
            }
            JobEffect::Order(order) => orders.push(order),
            JobEffect::AskAdvice { id, step, executors, timeout } => {
                monoio::spawn(async move {
                    let result = task_state.ask_advice(step, &executors, timeout).await;
                    cell.apply_if_current(
                        &task_state,
                        generation,
                        JobEvent::AdviceCompleted { id, result },
                    );
                });
            }
            JobEffect::Commit { id, txn } => {
                monoio::spawn(async move {
                    let call = StoreCall::Commit(txn);
                    let result = match task_state.call_store(&call, COMMIT_TIMEOUT).await {
                        Ok(StoreReply::Txn(outcome)) => Ok(outcome),
                        Ok(_) => Err(StoreFailure::Unknown),
                        Err(failure) => Err(failure),
                    };
                    cell.apply_if_current(
                        &task_state,
                        generation,
                        JobEvent::CommitCompleted { id, result },
                    );
                });
            }
        }
    }

    /// Processes the ownership record as the store has it at a revision; `None` if it is absent.
    pub(crate) fn observe_owner(
        self: &Rc<Self>,
        state: &Rc<DaemonState>,
        revision: StoreRevision,
        item: Option<&StoreItem>,
    ) {
        let effects = self.ownership.borrow_mut().observe(clock::now(), revision, item);
        self.execute_ownership_effects(state, effects);
    }

    /// Runs the timers of the ownership and the scheduler. `other_cells` is the number of other
    /// cells that this process owns or claims.
    pub(crate) fn tick(self: &Rc<Self>, state: &Rc<DaemonState>, other_cells: u32) {
        self.ownership.borrow_mut().set_other_cells(other_cells);
        let effects = self.ownership.borrow_mut().tick(clock::now());
        self.execute_ownership_effects(state, effects);
        let held = self.ownership.borrow().held().copied();
        if let Some(held) = held {
            self.apply(state, JobEvent::OwnershipChanged(held));
        }
        self.apply(state, JobEvent::Tick);
    }

    /// Releases the ownership for a planned stop.
    pub(crate) fn release(self: &Rc<Self>, state: &Rc<DaemonState>) {
        let effects = self.ownership.borrow_mut().drain(clock::now());
        self.execute_ownership_effects(state, effects);
    }

    /// Releases the ownership so that another instance claims the cell.
    pub(crate) fn hand_over(self: &Rc<Self>, state: &Rc<DaemonState>) {
        let effects = self.ownership.borrow_mut().hand_over(clock::now());
        self.execute_ownership_effects(state, effects);
    }

    /// Ends the ownership for a successor if `start` is this process and its own epoch is lower
    /// than `epoch`. Returns for how long this process has sent no orders under earlier epochs.
    pub(crate) fn yield_ownership(
        self: &Rc<Self>,
        state: &Rc<DaemonState>,
        start: u64,
        epoch: OwnerEpoch,
    ) -> Duration {
        let (stopped, effects) = self.ownership.borrow_mut().yield_to(clock::now(), start, epoch);
        self.execute_ownership_effects(state, effects);
        stopped
    }

    fn execute_ownership_effects(
        self: &Rc<Self>,
        state: &Rc<DaemonState>,
        effects: Vec<OwnershipEffect>,
    ) {
        for effect in effects {
            match effect {
                OwnershipEffect::Call { id, call, timeout } => {
                    let (cell, task_state) = (Rc::clone(self), Rc::clone(state));
                    monoio::spawn(async move {
                        let result = task_state.call_store(&call, timeout).await;
                        let effects =
                            cell.ownership.borrow_mut().on_call_completed(clock::now(), id, result);
                        cell.execute_ownership_effects(&task_state, effects);
                    });
                }
                OwnershipEffect::Began(held, predecessor) => {
                    self.begin_ownership(state, &held, predecessor);
                }
                OwnershipEffect::Resumed(held) => {
                    let detail = format!(
                        "cell={} epoch={} revision={:?}",
                        self.id, held.epoch, held.revision
                    );
                    state.log(&DecisionRecord { code: OWNERSHIP_RESUMED, job: None, detail });
                    self.apply(state, JobEvent::OwnershipChanged(held));
                }
                OwnershipEffect::Unreadable { key, detail } => {
                    let detail = format!("key={key} {detail}");
                    state.log(&DecisionRecord { code: STORE_UNREADABLE, job: None, detail });
                }
                OwnershipEffect::Ended(reason) => {
                    *self.scheduler.borrow_mut() = None;
                    self.generation.set(self.generation.get() + 1);
                    let detail = format!("cell={} reason={reason}", self.id);
                    state.log(&DecisionRecord { code: OWNERSHIP_ENDED, job: None, detail });
                }
            }
        }
    }

    fn begin_ownership(
        self: &Rc<Self>,
        state: &Rc<DaemonState>,
        held: &HeldOwnership,
        predecessor: Option<OwnerRecord>,
    ) {
        let detail = format!(
            "cell={} epoch={} revision={:?} predecessor={:?}",
            self.id,
            held.epoch,
            held.revision,
            predecessor.as_ref().map(|owner| owner.instance.as_str())
        );
        state.log(&DecisionRecord { code: OWNERSHIP_BEGAN, job: None, detail });
        let settings = &state.settings;
        let bounds = SchedulerBounds {
            max_lease: settings.max_lease(),
            stop_timeout: settings.stop_timeout(),
            max_violation_time: Duration::from_millis(settings.harm_ms),
            retention: Duration::from_millis(settings.retention_ms),
        };
        let now: MonotonicTime = clock::now();
        let scheduler = JobScheduler::new(bounds, held, now)
            .with_cell(self.id, state.all_cells().len() as CellId)
            .with_identity(self.ownership.borrow().identity().clone())
            .with_admission(settings.admission)
            .with_processor_share(settings.processor_share)
            .with_link(settings.link_mbps)
            .with_step_spread(settings.step_spread)
            .with_task_reservations(settings.task_reservations)
            .with_calm_placement(settings.calm_placement);
        *self.scheduler.borrow_mut() = Some(scheduler);
        self.generation.set(self.generation.get() + 1);
        let generation = self.generation.get();
        monoio::spawn(watches::follow_pool(Rc::clone(state), Rc::clone(self), generation));
        if let Some(predecessor) = predecessor {
            let cell = Rc::clone(self);
            monoio::spawn(Rc::clone(state).end_predecessor(cell, generation, predecessor));
        }
        monoio::spawn(watches::follow_executors(Rc::clone(state), Rc::clone(self), generation));
    }
}
