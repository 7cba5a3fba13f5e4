//! Keys of the store. The pool is divided into cells; clients' requests to a cell and the record of its
//! last epoch share a prefix, so that one watch delivers both in the order in which they were committed.

use crate::ids::{CellId, JobId};

/// Ownership of all cells, and the plan that divides the pool.
pub const OWNER_PREFIX: &str = "cuminbank/owner/";
/// How the pool is divided.
pub const PLAN_KEY: &str = "cuminbank/owner/plan";
/// Accepted jobs, each with its cell. A job is accepted once by the absence of this key.
const ACCEPTED_PREFIX: &str = "cuminbank/accepted/";

/// Returns the key that says in which cell an accepted job is.
pub fn accepted_key(job: JobId) -> String {
    format!("{ACCEPTED_PREFIX}{job:016x}")
}

/// Reads the cell from the key of an ownership record.
pub fn parse_owner_cell(key: &str) -> Option<CellId> {
    key.strip_prefix(OWNER_PREFIX)?.strip_suffix("/record")?.parse().ok()
}

/// Keys of one cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellKeys {
    /// The cell.
    pub cell: CellId,
    /// Ownership record and epoch.
    pub owner_prefix: String,
    /// Record of the current owner, under its lease.
    pub owner: String,
    /// Record of the owner of the highest epoch.
    pub epoch: String,
    /// Everything that the owner watches.
    pub pool_prefix: String,
    /// Copy of [`CellKeys::epoch`] below the prefix that the owner watches: an owner that has been
    /// replaced learns it before it sees a job accepted under its successor.
    pub epoch_mark: String,
    /// Accepted jobs.
    pub job_prefix: String,
    /// Requests to cancel a job.
    pub cancel_prefix: String,
    /// Everything that only the owner writes.
    pub ledger_prefix: String,
    /// Progress of jobs.
    pub progress_prefix: String,
    /// Executors that may hold work.
    pub roster: String,
    /// What owners have learned about pairs of images.
    pub colocation: String,
    /// Number of the last write of an owner.
    pub sequence: String,
}

impl CellKeys {
    /// Returns the keys of a cell.
    pub fn new(cell: CellId) -> Self {
        let owner_prefix = format!("{OWNER_PREFIX}{cell}/");
        let pool_prefix = format!("cuminbank/pool/{cell}/");
        let ledger_prefix = format!("cuminbank/ledger/{cell}/");
        Self {
            cell,
            owner: format!("{owner_prefix}record"),
            epoch: format!("{owner_prefix}epoch"),
            owner_prefix,
            epoch_mark: format!("{pool_prefix}epoch"),
            job_prefix: format!("{pool_prefix}job/"),
            cancel_prefix: format!("{pool_prefix}cancel/"),
            pool_prefix,
            progress_prefix: format!("{ledger_prefix}progress/"),
            roster: format!("{ledger_prefix}roster"),
            colocation: format!("{ledger_prefix}colocation"),
            sequence: format!("{ledger_prefix}sequence"),
            ledger_prefix,
        }
    }

    /// Returns the key of an accepted job.
    pub fn job(&self, job: JobId) -> String {
        format!("{}{job:016x}", self.job_prefix)
    }

    /// Returns the key of a request to cancel.
    pub fn cancel(&self, job: JobId) -> String {
        format!("{}{job:016x}", self.cancel_prefix)
    }

    /// Returns the key of a job's progress.
    pub fn progress(&self, job: JobId) -> String {
        format!("{}{job:016x}", self.progress_prefix)
    }

    /// Tells whether a key holds who owns the cell, or owned it last.
    pub fn is_owner_key(&self, key: &str) -> bool {
        key == self.owner || key == self.epoch_mark
    }
}

/// Reads the job's id from a key below a prefix.
pub fn parse_job_id(key: &str, prefix: &str) -> Option<JobId> {
    JobId::from_str_radix(key.strip_prefix(prefix)?, 16).ok()
}
