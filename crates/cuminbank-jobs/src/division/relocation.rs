//! To which cell a job moves that waits in a full one.

use std::collections::BTreeMap;

use crate::{
    cells::{home_cell, CellLoad, HOME_MAX_LOAD_PERCENT, MOVE_MARGIN_PERCENT},
    ids::{CellId, JobId, MonotonicTime},
    job::JobRecord,
};

/// Load of another cell, in percent, up to which jobs move there: the load at which a job would be
/// assigned to it instead of a full home cell.
const MAX_TARGET_LOAD_PERCENT: u32 = HOME_MAX_LOAD_PERCENT - MOVE_MARGIN_PERCENT;

/// Load of a cell, and when it was reported.
#[derive(Clone, Debug, PartialEq)]
pub struct CellReport {
    /// The cell.
    pub cell: CellId,
    /// Time of the report.
    pub at: MonotonicTime,
    /// The load.
    pub load: CellLoad,
}

/// Room of other cells that this owner may use until their next reports.
#[derive(Clone, Debug, Default)]
pub struct MoveTargets {
    own: CellId,
    cells: CellId,
    targets: BTreeMap<CellId, MoveTarget>,
}

#[derive(Clone, Debug)]
struct MoveTarget {
    report: CellReport,
    /// CPU that all owners together may use, in thousandths of a core.
    room: u64,
    /// Part of it that this owner may still use.
    left: u64,
    /// Whether this owner has used none of it.
    untouched: bool,
}

impl MoveTargets {
    /// Creates the targets of the owner of a cell. None is known.
    pub fn new(own: CellId, cells: CellId) -> Self {
        Self { own, cells, targets: BTreeMap::new() }
    }

    /// Replaces all reports. A cell without one is no target. `executor_millis` is the CPU of a
    /// typical executor; each of the other owners may use an equal part of the room of a cell.
    pub fn update(&mut self, reports: Vec<CellReport>, executor_millis: u64) {
        let mut known = std::mem::take(&mut self.targets);
        let owners = u64::from(self.cells.max(2) - 1);
        for report in reports.into_iter().filter(|report| report.cell != self.own) {
            let (cell, load) = (report.cell, &report.load);
            let kept = known.remove(&cell).filter(|target| target.report.at == report.at);
            let free = u64::from(MAX_TARGET_LOAD_PERCENT.saturating_sub(load.use_percent));
            let room = free * u64::from(load.executors) * executor_millis / 100;
            let target =
                kept.unwrap_or(MoveTarget { report, room, left: room / owners, untouched: true });
            self.targets.insert(cell, target);
        }
    }

    /// Chooses the cell for a job whose ready tasks request this CPU, in thousandths of a core, and
    /// deducts its room. A job only moves forward in its order of cells, so that it never returns
    /// to a cell that it has left. A job larger than the part of this owner moves if it fits into the
    /// whole room and is the first one, so that large jobs move too.
    pub fn choose(&mut self, id: JobId, record: &JobRecord, cpu_millis: u64) -> Option<CellId> {
        let (own, cells) = (self.own, self.cells);
        let position = cell_position(cells, id, own);
        let fits = |target: &MoveTarget| {
            cpu_millis <= target.left || (target.untouched && cpu_millis <= target.room)
        };
        let eligible = self.targets.iter_mut().filter(|(cell, target)| {
            **cell < cells
                && cell_position(cells, id, **cell) > position
                && fits(target)
                && target.report.load.can_run(record)
        });
        let (cell, target) = eligible.max_by_key(|(_, target)| target.left)?;
        target.left = target.left.saturating_sub(cpu_millis);
        target.untouched = false;
        Some(*cell)
    }
}

/// Returns the position of a cell in the order in which a job may move through the cells. Its home
/// cell is the first.
pub fn cell_position(cells: CellId, job: JobId, cell: CellId) -> u32 {
    let cells_count = u32::from(cells.max(1));
    (u32::from(cell) + cells_count - u32::from(home_cell(cells, job))) % cells_count
}
