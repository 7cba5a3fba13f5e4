//! Division of the pool into cells, each with its own owner.
//!
//! An owner sends all orders and leases to its executors over one link and with one share of a
//! core, and instances with few resources cannot handle hundreds of executors. The rack of an
//! executor determines its cell, which never changes. A job is assigned to a cell on acceptance and
//! stays there unless [`crate::division`] moves it before its first start. Its home cell is derived from its id, so that every instance knows which owner to
//! query first. A job is assigned to another cell if its home cell has a much higher load or cannot
//! run it.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    division::CellReport,
    ids::{CellId, JobId, MonotonicTime, ServiceName},
    job::JobRecord,
    order::ExecutorReport,
};

/// Traffic between an owner and one executor in kbit/s under typical load: starts with payload,
/// holds (see [`crate::order::OrderRequest::Hold`]) and replies.
pub(crate) const EXECUTOR_KBPS: f64 = 30.0;
/// Fraction of its link that an owner may use under typical load. Bursts need more than twice as
/// much.
pub(crate) const LINK_FRACTION: f64 = 0.4;
/// Minimum number of executors in a cell. A step with anti-affinity between its tasks needs one
/// executor per task, so its job could never complete in a smaller cell.
const MIN_CELL_EXECUTORS: usize = 64;
/// Maximum number of cells. Every instance polls the owner of each cell for its load.
const MAX_CELLS: usize = 64;
/// Load of the home cell, in percent, up to which jobs are assigned to it, because they hardly
/// wait.
pub(crate) const HOME_MAX_LOAD_PERCENT: u32 = 85;
/// How much lower the load of another cell must be for a job to be assigned to it, in percentage
/// points. Reported loads lag behind the actual ones.
pub(crate) const MOVE_MARGIN_PERCENT: u32 = 10;
/// Load assumed, in percent, for a cell whose owner has not replied recently. It may have no owner.
const UNKNOWN_LOAD_PERCENT: u32 = 200;
/// Maximum age of a reported load.
pub const MAX_LOAD_AGE: Duration = Duration::from_millis(1_800);

/// Stored division of the pool into cells.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolPlan {
    /// Number of cells.
    pub cells: CellId,
    /// Cell of each rack that was known when the pool was divided.
    pub racks: BTreeMap<String, CellId>,
}

/// Limits of an owner, which determine the number of cells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanLimits {
    /// Maximum number of executors in a cell.
    pub max_executors: usize,
    /// Bandwidth of an owner's link in Mbit/s.
    pub link_mbps: f64,
    /// Fixed number of cells, if configured.
    pub cells: Option<CellId>,
}

/// Load of a cell as reported by its owner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CellLoad {
    /// CPU reserved by runs, or requested by best-effort runs and by ready tasks, in percent of the
    /// capacity of the executors that may get new work.
    pub use_percent: u32,
    /// Number of executors.
    pub executors: u32,
    /// Labels of its executors, which are their kinds and racks.
    pub labels: Vec<String>,
    /// Services of its executors.
    pub services: Vec<ServiceName>,
}

impl PlanLimits {
    /// Returns the number of cells for a pool with this number of executors.
    pub fn cell_count(&self, executors: usize) -> CellId {
        if let Some(cells) = self.cells {
            return cells.max(1);
        }
        let by_count = executors.div_ceil(self.max_executors.max(1));
        let required_kbps = executors as f64 * EXECUTOR_KBPS;
        let by_link = (required_kbps / (self.link_mbps * 1_000.0 * LINK_FRACTION)).ceil() as usize;
        by_count.max(by_link).clamp(1, usize::from(Self::max_cells(executors))) as CellId
    }

    /// Returns the minimum number of cells for a pool with this number of executors, whatever the
    /// resources of the owners.
    pub fn min_cells(&self, executors: usize) -> CellId {
        let by_count = executors.div_ceil(self.max_executors.max(1));
        by_count.clamp(1, usize::from(Self::max_cells(executors))) as CellId
    }

    /// Returns the maximum number of cells for a pool with this number of executors.
    pub fn max_cells(executors: usize) -> CellId {
        (executors / MIN_CELL_EXECUTORS).clamp(1, MAX_CELLS) as CellId
    }
}

impl PoolPlan {
    /// Divides a pool so that each owner can handle its executors and every cell contains about the
    /// same number of executors of each service.
    pub fn new(reports: &[ExecutorReport], limits: &PlanLimits) -> Self {
        let cells = limits.cell_count(reports.len());
        let mut sizes: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for report in reports {
            *sizes.entry((report.service.as_str(), rack_of(report))).or_default() += 1;
        }
        let mut groups: Vec<((&str, &str), usize)> = sizes.into_iter().collect();
        groups.sort_by_key(|((service, rack), size)| (*service, std::cmp::Reverse(*size), *rack));
        let mut counts: BTreeMap<(&str, CellId), usize> = BTreeMap::new();
        let mut racks = BTreeMap::new();
        for ((service, rack), size) in groups {
            let count = |cell| counts.get(&(service, cell)).copied().unwrap_or_default();
            let emptiest = (0..cells).min_by_key(|cell| (count(*cell), *cell)).unwrap_or_default();
            let cell = *racks.entry(rack.to_owned()).or_insert(emptiest);
            *counts.entry((service, cell)).or_default() += size;
        }
        Self { cells, racks }
    }

    /// Returns the cell of an executor. All executors of a rack share a cell, which keeps gangs on
    /// one rack and tasks near their data.
    pub fn cell_of(&self, report: &ExecutorReport) -> CellId {
        let rack = rack_of(report);
        let planned = self.racks.get(rack).copied().filter(|cell| *cell < self.cells);
        planned.unwrap_or_else(|| self.cell_for_hash(crc32fast::hash(rack.as_bytes())))
    }

    /// Returns the home cell of a job and its fallback, the cell to choose if the home cell is
    /// overloaded or cannot run the job.
    pub fn home_and_fallback(&self, job: JobId) -> (CellId, CellId) {
        let bytes = job.to_be_bytes();
        let home = home_cell(self.cells, job);
        let others = u32::from(self.cells.max(2) - 1);
        let step = 1 + crc32fast::hash(&bytes[1..]) % others;
        (home, self.cell_for_hash(u32::from(home) + step))
    }

    fn cell_for_hash(&self, hash: u32) -> CellId {
        (hash % u32::from(self.cells.max(1))) as CellId
    }
}

/// Returns the home cell of a job in a pool with this number of cells.
pub(crate) fn home_cell(cells: CellId, job: JobId) -> CellId {
    (crc32fast::hash(&job.to_be_bytes()) % u32::from(cells.max(1))) as CellId
}

/// Returns the rack of an executor, which is its last label. An executor without labels forms its
/// own rack.
fn rack_of(report: &ExecutorReport) -> &str {
    report.labels.last().unwrap_or(&report.name)
}

/// Returns the minimum number of executors that a job needs because its steps limit the tasks per
/// executor.
fn min_executors_for(record: &JobRecord) -> u32 {
    let limited = record.steps.iter().filter(|step| step.max_per_executor > 0);
    limited.map(|step| step.count.div_ceil(step.max_per_executor)).max().unwrap_or_default()
}

/// Latest known load of each cell.
#[derive(Clone, Debug, Default)]
pub struct CellLoads {
    loads: BTreeMap<CellId, (MonotonicTime, CellLoad)>,
}

impl CellLoads {
    /// Stores the reported load of a cell.
    pub fn update(&mut self, now: MonotonicTime, cell: CellId, load: CellLoad) {
        self.loads.insert(cell, (now, load));
    }

    /// Chooses the cell for a job that is about to be accepted.
    pub fn choose(
        &self,
        now: MonotonicTime,
        plan: &PoolPlan,
        id: JobId,
        record: &JobRecord,
    ) -> CellId {
        let (home, other) = plan.home_and_fallback(id);
        if plan.cells <= 1 {
            return home;
        }
        match (self.can_run(home, record), self.can_run(other, record)) {
            (true, true) => {
                let (here, there) = (self.utilization(now, home), self.utilization(now, other));
                let better = here > HOME_MAX_LOAD_PERCENT && there + MOVE_MARGIN_PERCENT < here;
                if better {
                    other
                } else {
                    home
                }
            }
            (true, false) => home,
            (false, true) => other,
            (false, false) => (0..plan.cells)
                .filter(|cell| self.can_run(*cell, record))
                .min_by_key(|cell| self.utilization(now, *cell))
                .unwrap_or(home),
        }
    }

    fn utilization(&self, now: MonotonicTime, cell: CellId) -> u32 {
        let known = self.loads.get(&cell).filter(|(at, _)| now <= *at + MAX_LOAD_AGE);
        known.map_or(UNKNOWN_LOAD_PERCENT, |(_, load)| load.use_percent)
    }

    /// Returns whether a cell has executors of the job's service, all labels and racks that the job
    /// requires, and enough executors for its limits of tasks per executor. A cell without a known
    /// load is assumed to run only jobs that require no label or rack.
    pub fn can_run(&self, cell: CellId, record: &JobRecord) -> bool {
        match self.loads.get(&cell) {
            Some((_, load)) => load.can_run(record),
            None => required_labels(record).next().is_none(),
        }
    }

    /// Returns the loads that are not too old to be used.
    pub fn reports(&self, now: MonotonicTime) -> Vec<CellReport> {
        let recent = self.loads.iter().filter(|(_, (at, _))| now <= *at + MAX_LOAD_AGE);
        recent
            .map(|(cell, (at, load))| CellReport { cell: *cell, at: *at, load: load.clone() })
            .collect()
    }
}

impl CellLoad {
    /// Returns whether the cell has executors of the job's service, all labels and racks that the
    /// job requires, and enough executors for its limits of tasks per executor.
    pub fn can_run(&self, record: &JobRecord) -> bool {
        self.services.contains(&record.terms.service)
            && min_executors_for(record) <= self.executors
            && required_labels(record).all(|label| self.labels.contains(label))
    }
}

fn required_labels(record: &JobRecord) -> impl Iterator<Item = &String> {
    record.steps.iter().flat_map(|step| [&step.required_label, &step.data_rack]).flatten()
}
