//! Division of the pool into cells, as known to this instance: the plan, the cell of each job and
//! the load of each cell.

use std::{rc::Rc, time::Duration};

use cuminbank::log::{POOL_DIVIDED, POOL_DIVISION_DERIVED, STORE_UNREADABLE};
use cuminbank_jobs::{
    cells::PoolPlan,
    division::{DivisionProposal, ProposalStep},
    ids::{CellId, JobId, StoreRevision},
    job::JobRecord,
    keys::{accepted_key, PLAN_KEY},
    order::ExecutorReport,
    ownership::{claim_delay_factor, OwnershipState},
    peer::{OwnerAnswer, OwnerQuestion},
    relay::uses_relay,
    scheduler::DecisionRecord,
    store::{decode_value, encode_value, StoreCall, StoreItem, StorePut, StoreReply, StoreTxn},
};
use cuminbank_platform::{executor::decode_entry, EXECUTOR_PREFIX};
use monoio::time;

use crate::{cell::CellState, clock, daemon::DaemonState};

/// Delay before an instance with typical resources proposes a division of an undivided pool. Better
/// equipped instances propose earlier, since the division depends on the link of the proposer.
const PLAN_DELAY: Duration = Duration::from_millis(400);
/// Delay between two counts of the executors. The pool is divided once two successive counts agree.
const COUNT_PAUSE: Duration = Duration::from_millis(300);
/// Number of counts without any executor after which the pool becomes a single cell.
const EMPTY_COUNTS: u32 = 15;
/// Interval at which the owners are queried for the load of their cells.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a store call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of jobs outside their home cell whose cell an instance caches. When it is
/// reached, the cache is cleared, and the cells are read from the store again.
const MAX_CACHED_JOBS: usize = 10_000;

/// Location of an accepted job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobLocation {
    /// The job is in this cell.
    Cell(CellId),
    /// No such job was accepted, or its records have been removed.
    Missing,
    /// The store does not reply, or the stored cell is unreadable.
    Unknown,
}

impl DaemonState {
    /// Returns the division of the pool, if it is known.
    pub(crate) fn plan(&self) -> Option<Rc<PoolPlan>> {
        self.plan.borrow().clone()
    }

    /// Returns the cell with an id, if the division is known and has it.
    pub(crate) fn cell(&self, id: CellId) -> Option<Rc<CellState>> {
        self.cells.borrow().get(usize::from(id)).cloned()
    }

    /// Returns all cells in id order. Empty until the division is known.
    pub(crate) fn all_cells(&self) -> Vec<Rc<CellState>> {
        self.cells.borrow().clone()
    }

    /// Returns whether an executor belongs to a cell.
    pub(crate) fn is_in_cell(&self, report: &ExecutorReport, cell: CellId) -> bool {
        self.plan().is_some_and(|plan| plan.cell_of(report) == cell)
    }

    /// Adopts the stored plan and creates the cells. Does nothing once a plan is known, since it
    /// never changes.
    pub(crate) fn adopt_plan(self: &Rc<Self>, item: &StoreItem) {
        if self.plan().is_some() {
            return;
        }
        // A plan without cells would leave every job without a home.
        let plan = decode_value::<PoolPlan>(&item.value).filter(|plan| plan.cells > 0);
        let Some(plan) = plan else {
            let detail = format!("key={} bytes={}", item.key, item.value.len());
            return self.log(&DecisionRecord { code: STORE_UNREADABLE, job: None, detail });
        };
        let detail = format!("cells={} revision={}", plan.cells, item.revision);
        self.log(&DecisionRecord { code: POOL_DIVIDED, job: None, detail });
        let settings = &self.settings;
        let new_cell = |id| {
            let name = settings.instance.clone();
            let ownership = OwnershipState::new(name, self.start, settings.peer_address)
                .with_min_ttl(settings.min_store_ttl())
                .with_cell(id)
                .with_resources(settings.processor_share, settings.link_mbps);
            Rc::new(CellState::new(id, ownership))
        };
        *self.cells.borrow_mut() = (0..plan.cells).map(new_cell).collect();
        *self.plan.borrow_mut() = Some(Rc::new(plan));
    }

    /// Updates the observed owner of every cell from all items under the prefix of owners, read at
    /// a revision. Adopts the plan first if it is among them.
    pub(crate) fn apply_owners(self: &Rc<Self>, items: &[StoreItem], revision: StoreRevision) {
        if let Some(item) = items.iter().find(|item| item.key == PLAN_KEY) {
            self.adopt_plan(item);
        }
        for cell in self.all_cells() {
            let item = items.iter().find(|item| item.key == cell.keys.owner);
            // A present record has the revision of its last change, an absent one that of the read.
            let revision = item.map_or(revision, |item| item.revision);
            cell.observe_owner(self, revision, item);
        }
    }

    /// Chooses the cell for a job that is about to be accepted. Returns `None` while the division
    /// is not known.
    pub(crate) fn choose_cell(&self, job: JobId, record: &JobRecord) -> Option<Rc<CellState>> {
        let plan = self.plan()?;
        let chosen = self.loads.borrow().choose(clock::now(), &plan, job, record);
        if chosen != plan.home_and_fallback(job).0 {
            self.metrics.count("job.away_from_home", "");
            self.remember(job, chosen);
        }
        self.cell(chosen)
    }

    /// Returns the cell that most likely has a job, without reading the store: the cached cell,
    /// or else its home cell. Returns `None` while the division is not known.
    pub(crate) fn likely_cell(&self, job: JobId) -> Option<CellId> {
        let plan = self.plan()?;
        let known = self.non_home_cells.borrow().get(&job).copied();
        Some(known.unwrap_or_else(|| plan.home_and_fallback(job).0))
    }

    /// Reads from the store which cell has a job.
    pub(crate) async fn find_job(&self, job: JobId) -> JobLocation {
        let call = StoreCall::ReadKey { key: accepted_key(job) };
        let Ok(StoreReply::Items { items, .. }) = self.call_store(&call, CALL_TIMEOUT).await else {
            return JobLocation::Unknown;
        };
        let Some(item) = items.first() else { return JobLocation::Missing };
        let Some(cell) = decode_value::<CellId>(&item.value) else { return JobLocation::Unknown };
        self.remember(job, cell);
        JobLocation::Cell(cell)
    }

    pub(crate) fn remember(&self, job: JobId, cell: CellId) {
        let home = self.plan().map(|plan| plan.home_and_fallback(job).0);
        if home == Some(cell) {
            return;
        }
        let mut cells = self.non_home_cells.borrow_mut();
        if cells.len() >= MAX_CACHED_JOBS {
            cells.clear();
        }
        cells.insert(job, cell);
    }
}

/// Proposes a division of the pool until one is known. The store accepts only the first plan.
pub(crate) async fn propose_plan(state: Rc<DaemonState>) {
    let settings = &state.settings;
    let factor = claim_delay_factor(settings.processor_share, settings.link_mbps);
    let delay = PLAN_DELAY.mul_f64(factor);
    if settings.adaptive_division {
        return propose_division(&state, delay).await;
    }
    time::sleep(delay).await;
    let (mut last, mut empty) = (None, 0);
    while state.plan().is_none() {
        let call = StoreCall::Read { prefix: EXECUTOR_PREFIX.to_owned() };
        if let Ok(StoreReply::Items { items, .. }) = state.call_store(&call, CALL_TIMEOUT).await {
            let reports: Vec<ExecutorReport> = items.iter().filter_map(decode_entry).collect();
            let count = reports.len();
            empty += u32::from(count == 0);
            let stable = last == Some(count) && (count > 0 || empty >= EMPTY_COUNTS);
            last = Some(count);
            if stable {
                let plan = PoolPlan::new(&reports, &settings.plan_limits());
                let txn = StoreTxn {
                    expected: vec![(PLAN_KEY.to_owned(), 0)],
                    puts: vec![StorePut::new(PLAN_KEY, encode_value(&plan))],
                    removes: Vec::new(),
                };
                // The watch of owners delivers the plan that was written first. If the store does
                // not reply, the loop tries again.
                let written = state.call_store(&StoreCall::Commit(txn), CALL_TIMEOUT).await;
                let detail = format!("proposed={} executors={count} {written:?}", plan.cells);
                state.log(&DecisionRecord { code: POOL_DIVIDED, job: None, detail });
            }
        }
        time::sleep(COUNT_PAUSE).await;
    }
}

/// Proposes a division that follows from the entries of the instances, until one is known.
async fn propose_division(state: &Rc<DaemonState>, delay: Duration) {
    let settings = &state.settings;
    let mut proposal = DivisionProposal::new(settings.plan_limits(), delay);
    while state.plan().is_none() {
        let own = &settings.instance;
        let entries = || state.registry.borrow().division_entries(own, state.start);
        if proposal.needs_count(clock::now(), &entries()) {
            let call = StoreCall::Read { prefix: EXECUTOR_PREFIX.to_owned() };
            let Ok(StoreReply::Items { items, .. }) = state.call_store(&call, CALL_TIMEOUT).await
            else {
                time::sleep(COUNT_PAUSE).await;
                continue;
            };
            let reports: Vec<ExecutorReport> = items.iter().filter_map(decode_entry).collect();
            let entries = entries();
            let step = proposal.decide(clock::now(), &entries, &reports);
            if let ProposalStep::Propose(txn, count) = step {
                // The watch of owners delivers the plan that was written first. If the store does
                // not reply, the loop tries again.
                let written = state.call_store(&StoreCall::Commit(txn), CALL_TIMEOUT).await;
                let detail = format!(
                    "proposed={} executors={} entries={} owners={} redundancy={:?} {written:?}",
                    count.cells,
                    reports.len(),
                    entries.resources.len(),
                    count.owners,
                    count.redundancy
                );
                state.log(&DecisionRecord { code: POOL_DIVISION_DERIVED, job: None, detail });
            }
        }
        time::sleep(COUNT_PAUSE).await;
    }
}

/// Asks the owners for the loads of their cells periodically. The request also tells an owner
/// that this instance is live and can relay its starts, so a pool of one cell needs it too if its
/// instances use relays.
pub(crate) async fn follow_loads(state: Rc<DaemonState>) {
    loop {
        time::sleep(LOAD_INTERVAL).await;
        let divided = state.plan().is_some_and(|plan| plan.cells > 1);
        if !divided && !uses_relay(state.settings.link_mbps) {
            continue;
        }
        for cell in state.all_cells() {
            let state = Rc::clone(&state);
            monoio::spawn(async move {
                let asker = state.settings.peer_address;
                let question = OwnerQuestion::Load { cell: cell.id, asker };
                if let OwnerAnswer::Load(load) = state.ask_owner(&question).await {
                    state.loads.borrow_mut().update(clock::now(), cell.id, load);
                }
            });
        }
    }
}
