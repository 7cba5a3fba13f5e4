//! Number of cells that the registered instances can own.

use serde::{Deserialize, Serialize};

use crate::{
    cells::{PlanLimits, EXECUTOR_KBPS, LINK_FRACTION},
    ids::CellId,
};

/// Share of a core that an owner uses for one executor under typical load: 0.20 of a core for 610
/// executors (docs/platform.md, "How the work is divided").
const EXECUTOR_SHARE: f64 = 0.20 / 610.0;
/// Fraction of its share of a core that an owner may use under typical load. Higher than that of the
/// link, since a pass over the queue is cut into slices by the share, while leases and orders have to
/// pass the link in time. Chosen, not measured.
const SHARE_FRACTION: f64 = 0.8;

/// Resources of an instance that determine how many executors it can own. Appended to the entry of
/// the instance. Fields may only be appended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceResources {
    /// Bandwidth of its link in kbit/s.
    pub link_kbps: u64,
    /// Share of a core available to it, in thousandths of a core.
    pub share_permille: u64,
}

/// Number of instances that can own a cell of the division, compared with the number of cells.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Redundancy {
    /// Fewer instances than cells.
    Insufficient,
    /// An instance for each cell.
    Single,
    /// An instance for each cell and at least as many again.
    Double,
}

/// Number of cells with the inputs of the decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CellCount {
    /// Number of cells.
    pub cells: CellId,
    /// Number of instances that can own a cell of this size.
    pub owners: usize,
    /// How the number of owners compares with the number of cells.
    pub redundancy: Redundancy,
    /// Whether no division may have fewer cells, whatever the resources of the instances.
    pub minimal: bool,
}

impl InstanceResources {
    /// Creates the resources from the settings of an instance: its link bandwidth in Mbit/s and its
    /// share of a core.
    pub fn new(link_mbps: f64, share: f64) -> Self {
        Self {
            link_kbps: (link_mbps * 1_000.0).round() as u64,
            share_permille: (share * 1_000.0).round() as u64,
        }
    }

    /// Returns whether an instance can own a cell with this number of executors.
    pub fn can_own(&self, executors: usize) -> bool {
        let kbps = executors as f64 * EXECUTOR_KBPS;
        let share = executors as f64 * EXECUTOR_SHARE;
        kbps <= self.link_kbps as f64 * LINK_FRACTION
            && share * 1_000.0 <= self.share_permille as f64 * SHARE_FRACTION
    }
}

impl CellCount {
    /// Derives the number of cells: as few as the best-equipped instances can own, with an owner for
    /// each cell and at least as many instances again that can replace one. Without enough instances
    /// for that, as few as they can own without replacement, and otherwise the number
    /// that suits the widest link. A fixed number in the limits is used as it is.
    pub fn new(executors: usize, resources: &[InstanceResources], limits: &PlanLimits) -> Self {
        let least = limits.min_cells(executors);
        let count = |cells: CellId| {
            let size = executors.div_ceil(usize::from(cells.max(1)));
            let owners = resources.iter().filter(|resources| resources.can_own(size)).count();
            let redundancy = match owners {
                owners if owners >= usize::from(cells) * 2 => Redundancy::Double,
                owners if owners >= usize::from(cells) => Redundancy::Single,
                _ => Redundancy::Insufficient,
            };
            Self { cells, owners, redundancy, minimal: cells == least }
        };
        if let Some(cells) = limits.cells {
            return Self { minimal: true, ..count(cells.max(1)) };
        }
        let counts = || (least..=PlanLimits::max_cells(executors).max(least)).map(count);
        let with_redundancy = |redundancy| counts().find(|count| count.redundancy >= redundancy);
        let derived = with_redundancy(Redundancy::Double);
        let derived = derived.or_else(|| with_redundancy(Redundancy::Single));
        derived.unwrap_or_else(|| {
            // No division suits the instances, so it suits the link of the best-equipped one.
            let best = resources.iter().map(|resources| resources.link_kbps).max();
            let link_mbps = best.map_or(limits.link_mbps, |kbps| kbps as f64 / 1_000.0);
            count(PlanLimits { link_mbps, ..*limits }.cell_count(executors))
        })
    }
}
