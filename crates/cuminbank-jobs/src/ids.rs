//! Names and numbers of the job scheduler.

use std::time::Duration;

/// Id of a job, chosen by its client.
pub type JobId = u64;
/// Name of one life of an executor.
pub type ExecutorName = String;
/// Name of a queue.
pub type QueueName = String;
/// Name of the service whose executors run a queue.
pub type ServiceName = String;
/// Name of an instance of the system.
pub type InstanceName = String;
/// Name of an availability zone.
pub type ZoneName = String;
/// Number of an ownership of the pool. Executors refuse orders of a lower epoch.
pub type OwnerEpoch = u64;
/// Number of a start of a task; rises with each start.
pub type RunNumber = u32;
/// Place of a task in its job, counted over all occurrences and steps.
pub type TaskIndex = u32;
/// Number of a cell of the pool, from 0.
pub type CellId = u16;
/// Revision of the store.
pub type StoreRevision = u64;
/// Lease of the store.
pub type LeaseId = u64;
/// Number of an order to an executor.
pub type OrderId = u64;
/// Number of a call to the store.
pub type WriteId = u64;
/// Time since the machine booted, including time in suspension.
pub type MonotonicTime = Duration;
/// Time since 1970.
pub type WallTime = Duration;
/// Steady clock of an executor, in milliseconds.
pub type ExecutorMillis = u64;
/// Millisecond since 1970 at which a life of an executor began.
pub type BirthMillis = u64;
