//! Store keys. The pool is divided into cells. Client requests to a cell and the record of its
//! latest epoch share a prefix, so that one watch delivers both in commit order.

use crate::ids::{CellId, JobId};

/// Prefix of the ownership of all cells, the pool plan and the entries of the instances.
pub const OWNER_PREFIX: &str = "cuminbank/owner/";
/// Key of the pool plan, which divides the pool into cells.
pub const PLAN_KEY: &str = "cuminbank/owner/plan";
/// Prefix of the entries of the live instances.
pub const INSTANCE_PREFIX: &str = "cuminbank/owner/instance/";
/// Key that every registration of an instance replaces.
pub const REGISTRATION_KEY: &str = "cuminbank/owner/registration";
/// Key of the highest format version that any instance may have written.
pub const FORMAT_KEY: &str = "cuminbank/owner/format";
/// Prefix of the accepted jobs, whose keys store their cell. A job is accepted by creating its key,
/// so it is accepted only once.
const ACCEPTED_PREFIX: &str = "cuminbank/accepted/";

/// Returns the key that stores the cell of an accepted job.
pub fn accepted_key(job: JobId) -> String {
    format!("{ACCEPTED_PREFIX}{job:016x}")
}

/// Parses the cell from the key of an ownership record.
pub fn parse_owner_cell(key: &str) -> Option<CellId> {
    key.strip_prefix(OWNER_PREFIX)?.strip_suffix("/record")?.parse().ok()
}

/// Store keys of one cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellKeys {
    /// Cell that the keys belong to.
    pub cell: CellId,
    /// Prefix of the ownership record and the epoch.
    pub owner_prefix: String,
    /// Record of the current owner, attached to its lease.
    pub owner: String,
    /// Record of the owner with the highest epoch so far.
    pub epoch: String,
    /// Prefix that the owner watches.
    pub pool_prefix: String,
    /// Highest epoch for which its owner and all earlier ones bound their leases.
    pub bounded_epoch: String,
    /// Number below those of all runs of the last owner.
    pub run_base: String,
    /// Copy of [`CellKeys::epoch`] under the prefix that the owner watches. In the watch a replaced
    /// owner thus receives its successor's epoch before any job accepted under the successor.
    pub epoch_mark: String,
    /// Prefix of the accepted jobs.
    pub job_prefix: String,
    /// Prefix of the cancellation requests.
    pub cancel_prefix: String,
    /// Prefix of the keys that only the owner writes.
    pub ledger_prefix: String,
    /// Prefix of the job progress records.
    pub progress_prefix: String,
    /// Roster of the executors that may run tasks.
    pub roster: String,
    /// Colocation model learned by the owners.
    pub colocation: String,
    /// Epoch and number of the owner's last write.
    pub sequence: String,
    /// Epoch of the last owner that bounded its leases, as all owners before it did.
    pub bounded_leases: String,
    /// Ends of the leases on executors that the owner cannot reach.
    pub lease_handover: String,
}

impl CellKeys {
    /// Returns the keys of the given cell.
    pub fn new(cell: CellId) -> Self {
        let owner_prefix = format!("{OWNER_PREFIX}{cell}/");
        let pool_prefix = format!("cuminbank/pool/{cell}/");
        let ledger_prefix = format!("cuminbank/ledger/{cell}/");
        Self {
            cell,
            owner: format!("{owner_prefix}record"),
            epoch: format!("{owner_prefix}epoch"),
            bounded_epoch: format!("{owner_prefix}bounded_epoch"),
            run_base: format!("{owner_prefix}run_base"),
            owner_prefix,
            epoch_mark: format!("{pool_prefix}epoch"),
            job_prefix: format!("{pool_prefix}job/"),
            cancel_prefix: format!("{pool_prefix}cancel/"),
            pool_prefix,
            progress_prefix: format!("{ledger_prefix}progress/"),
            roster: format!("{ledger_prefix}roster"),
            colocation: format!("{ledger_prefix}colocation"),
            sequence: format!("{ledger_prefix}sequence"),
            bounded_leases: format!("{ledger_prefix}bounded_leases"),
            lease_handover: format!("{ledger_prefix}lease_handover"),
            ledger_prefix,
        }
    }

    /// Returns the key of an accepted job.
    pub fn job(&self, job: JobId) -> String {
        format!("{}{job:016x}", self.job_prefix)
    }

    /// Returns the key of a cancellation request.
    pub fn cancel(&self, job: JobId) -> String {
        format!("{}{job:016x}", self.cancel_prefix)
    }

    /// Returns the key of a job's progress record.
    pub fn progress(&self, job: JobId) -> String {
        format!("{}{job:016x}", self.progress_prefix)
    }

    /// Returns whether a key names the current or the latest owner of the cell.
    pub fn is_owner_key(&self, key: &str) -> bool {
        key == self.owner || key == self.epoch_mark
    }
}

/// Parses the job id from a key with the given prefix.
pub fn parse_job_id(key: &str, prefix: &str) -> Option<JobId> {
    JobId::from_str_radix(key.strip_prefix(prefix)?, 16).ok()
}
