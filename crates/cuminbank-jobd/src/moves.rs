//! Moves of waiting jobs between cells: the loads that owners decide by, and where the record of a
//! job is meanwhile.

use std::{rc::Rc, time::Duration};

use cuminbank_jobs::{
    ids::{CellId, JobId},
    scheduler::JobEvent,
};
use monoio::time;

use crate::{clock, daemon::DaemonState, division::JobLocation};

/// Interval at which the owned cells get the loads of the others. Half of that at which these are
/// queried.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Passes the latest loads of all cells to the schedulers of the owned ones, so that jobs move. Does
/// so only while every instance knows that jobs can move: another one could report a job as
/// cancelled that has moved at the same time.
pub(crate) async fn follow_cell_loads(state: Rc<DaemonState>) {
    if !state.settings.adaptive_division {
        return;
    }
    loop {
        time::sleep(REPORT_INTERVAL).await;
        let cells = state.all_cells();
        if cells.len() <= 1 || !cells.iter().any(|cell| cell.owns()) || !state.may_move_jobs() {
            continue;
        }
        let reports = state.loads.borrow().reports(clock::now());
        for cell in &cells {
            cell.apply(&state, JobEvent::CellsReported { reports: reports.clone() });
        }
    }
}

impl DaemonState {
    fn may_move_jobs(&self) -> bool {
        let mut registry = self.registry.borrow_mut();
        registry.set_peers(self.relays.borrow().live(clock::now()));
        registry.all_have_resources()
    }

    /// Returns whether jobs can move between cells.
    pub(crate) fn has_movable_jobs(&self) -> bool {
        self.settings.adaptive_division && self.plan().is_none_or(|plan| plan.cells > 1)
    }

    /// Returns whether a job has moved from a cell to another one. Jobs never return to a cell.
    /// Returns `None` if the store does not reply.
    pub(crate) async fn has_left(&self, job: JobId, cell: CellId) -> Option<bool> {
        if !self.has_movable_jobs() {
            return Some(false);
        }
        match self.find_job(job).await {
            JobLocation::Cell(found) => Some(found != cell),
            JobLocation::Missing => Some(false),
            JobLocation::Unknown => None,
        }
    }
}
