//! Division of the pool into cells, each with an owner of its own.
//!
//! Answers size: one owner carries every order and every lease of its executors over its own link and
//! with its own share of a core, and hundreds of executors are more than the weaker instances can
//! carry. Executors belong to a cell by their rack, for as long as they live. A job goes to a cell when
//! it is accepted and stays there. Its home cell follows from its id, so that every instance knows whom
//! to ask first; it goes elsewhere if its home is loaded much more, or lacks a label that it needs.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{CellId, JobId, MonotonicTime, ServiceName},
    job::JobRecord,
    order::ExecutorReport,
};

/// Traffic of an executor through its owner in kbit/s, at the usual load: starts with their payload,
/// holds and their answers.
const EXECUTOR_KBPS: f64 = 30.0;
/// Part of its link that an owner may use at the usual load; bursts take over twice as much.
const LINK_FRACTION: f64 = 0.4;
/// Least executors of a cell. A step whose tasks keep apart needs as many executors as it has tasks,
/// and its job cannot be completed in a smaller cell.
const MIN_CELL_EXECUTORS: usize = 64;
/// Most cells; every instance asks each of their owners for its load.
const MAX_CELLS: usize = 64;
/// Use of its home cell, in percent, up to which a job goes there: it will hardly wait.
const HOME_MAX_PERCENT: u32 = 85;
/// By how much less another cell must be used before a job goes there, in percent: loads are old.
const MOVE_MARGIN_PERCENT: u32 = 10;
/// Use that counts for a cell whose owner has not answered lately: it may have none.
const UNKNOWN_PERCENT: u32 = 200;
/// Age up to which a load counts.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1_800);

/// How the pool is divided.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolPlan {
    /// Number of cells.
    pub cells: CellId,
    /// Cells of the racks that were there when the pool was divided.
    pub racks: BTreeMap<String, CellId>,
}

/// What an owner can carry, by which a pool is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanLimits {
    /// Most executors of a cell.
    pub max_executors: usize,
    /// Bandwidth of an owner's link in Mbit/s.
    pub link_mbps: f64,
    /// Number of cells, if it is fixed.
    pub cells: Option<CellId>,
}

/// Use of a cell as its owner tells it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CellLoad {
    /// Processor share that is in use or wanted, in percent of what there is.
    pub use_percent: u32,
    /// Number of its executors.
    pub executors: u32,
    /// Kinds and racks of its executors.
    pub labels: Vec<String>,
    /// Services of its executors.
    pub services: Vec<ServiceName>,
}

impl PlanLimits {
    /// Returns into how many cells so many executors are divided.
    pub fn cells_for(&self, executors: usize) -> CellId {
        if let Some(cells) = self.cells {
            return cells.max(1);
        }
        let by_count = executors.div_ceil(self.max_executors.max(1));
        let wanted_kbps = executors as f64 * EXECUTOR_KBPS;
        let by_link = (wanted_kbps / (self.link_mbps * 1_000.0 * LINK_FRACTION)).ceil() as usize;
        let most = (executors / MIN_CELL_EXECUTORS).clamp(1, MAX_CELLS);
        by_count.max(by_link).clamp(1, most) as CellId
    }
}

impl PoolPlan {
    /// Divides a pool so that each owner can carry its executors, and each cell has about the same
    /// number of each service.
    pub fn new(reports: &[ExecutorReport], limits: &PlanLimits) -> Self {
        let cells = limits.cells_for(reports.len());
        let mut sizes: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for report in reports {
            *sizes.entry((report.service.as_str(), rack_of(report))).or_default() += 1;
        }
        let mut places: Vec<((&str, &str), usize)> = sizes.into_iter().collect();
        places.sort_by_key(|((service, rack), size)| (*service, std::cmp::Reverse(*size), *rack));
        let mut filled: BTreeMap<(&str, CellId), usize> = BTreeMap::new();
        let mut racks = BTreeMap::new();
        for ((service, rack), size) in places {
            let count = |cell| filled.get(&(service, cell)).copied().unwrap_or_default();
            let least = (0..cells).min_by_key(|cell| (count(*cell), *cell)).unwrap_or_default();
            let cell = *racks.entry(rack.to_owned()).or_insert(least);
            *filled.entry((service, cell)).or_default() += size;
        }
        Self { cells, racks }
    }

    /// Returns the cell of an executor. Those of a rack are in one cell, for the sake of gangs and of
    /// work near its data.
    pub fn cell_of(&self, report: &ExecutorReport) -> CellId {
        let rack = rack_of(report);
        let known = self.racks.get(rack).copied().filter(|cell| *cell < self.cells);
        known.unwrap_or_else(|| self.cell_for_hash(crc32fast::hash(rack.as_bytes())))
    }

    /// Returns the home cell of a job, and the one to which it may go instead.
    pub fn home_and_fallback(&self, job: JobId) -> (CellId, CellId) {
        let bytes = job.to_be_bytes();
        let home = self.cell_for_hash(crc32fast::hash(&bytes));
        let others = u32::from(self.cells.max(2) - 1);
        let step = 1 + crc32fast::hash(&bytes[1..]) % others;
        (home, ((u32::from(home) + step) % u32::from(self.cells)) as CellId)
    }

    fn cell_for_hash(&self, hash: u32) -> CellId {
        (hash % u32::from(self.cells.max(1))) as CellId
    }
}

/// Returns the rack of an executor, the last of its labels; one without any stands alone.
fn rack_of(report: &ExecutorReport) -> &str {
    report.labels.last().unwrap_or(&report.name)
}

/// Returns how many executors a job needs at least because tasks of a step keep apart.
fn min_executors_for(record: &JobRecord) -> u32 {
    let apart = record.steps.iter().filter(|step| step.max_per_executor > 0);
    apart.map(|step| step.count.div_ceil(step.max_per_executor)).max().unwrap_or_default()
}

/// What an instance knows of the loads of the cells.
#[derive(Clone, Debug, Default)]
pub struct CellLoads {
    loads: BTreeMap<CellId, (MonotonicTime, CellLoad)>,
}

impl CellLoads {
    /// Takes the load of a cell.
    pub fn update(&mut self, now: MonotonicTime, cell: CellId, load: CellLoad) {
        self.loads.insert(cell, (now, load));
    }

    /// Chooses the cell of a job that is about to be accepted.
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
                let better = here > HOME_MAX_PERCENT && there + MOVE_MARGIN_PERCENT < here;
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
        known.map_or(UNKNOWN_PERCENT, |(_, load)| load.use_percent)
    }

    /// Tells whether a cell has executors of the service of a job, enough of them for tasks that keep
    /// apart, and every label and rack that it wants, as far as that is known.
    fn can_run(&self, cell: CellId, record: &JobRecord) -> bool {
        let wanted = || {
            record.steps.iter().flat_map(|step| [&step.required_label, &step.data_rack]).flatten()
        };
        match self.loads.get(&cell) {
            Some((_, load)) => {
                load.services.contains(&record.terms.service)
                    && min_executors_for(record) <= load.executors
                    && wanted().all(|label| load.labels.contains(label))
            }
            None => wanted().next().is_none(),
        }
    }
}
