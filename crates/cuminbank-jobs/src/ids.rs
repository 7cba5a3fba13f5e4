//! Identifier and time types of the job scheduler.

use std::time::Duration;

/// Job id, chosen by the client.
pub type JobId = u64;
/// Name of one incarnation of an executor.
pub type ExecutorName = String;
/// Name of a queue.
pub type QueueName = String;
/// Name of a service. Its executors run the tasks of its queues.
pub type ServiceName = String;
/// Name of a scheduler instance.
pub type InstanceName = String;
/// Name of an availability zone.
pub type ZoneName = String;
/// Epoch of an ownership, used as a fencing token. Executors reject orders with a lower epoch than
/// the highest that they have seen.
pub type OwnerEpoch = u64;
/// Number of a run of a task. Each run has a higher number than the one before.
pub type RunNumber = u32;
/// Index of a task within its job, counted over all occurrences and steps.
pub type TaskIndex = u32;
/// Number of a cell, starting at 0.
pub type CellId = u16;
/// Revision number of the store.
pub type StoreRevision = u64;
/// Id of a store lease.
pub type LeaseId = u64;
/// Id of an order to an executor.
pub type OrderId = u64;
/// Id of a store call.
pub type WriteId = u64;
/// Time since the machine booted, including time suspended.
pub type MonotonicTime = Duration;
/// Time since the Unix epoch (1970).
pub type WallTime = Duration;
/// Monotonic clock of an executor, in milliseconds.
pub type ExecutorMillis = u64;
/// Start time of an incarnation of an executor, in milliseconds since the Unix epoch.
pub type StartMillis = u64;
