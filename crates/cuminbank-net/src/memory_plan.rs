//! Division of the memory of a machine among the parts of a process.

use nix::sys::resource::{getrlimit, Resource};

/// State of an accepted connection in the process.
const CONNECTION_STATE_BYTES: usize = 20_000;
/// Directions in which a connection holds bytes in the kernel.
const DIRECTIONS: usize = 2;
/// Factor by which the kernel exceeds the size that a socket buffer was set to.
const KERNEL_FACTOR: usize = 2;
/// Bounds on the size of a socket buffer. A smaller one holds fewer than four segments of Ethernet,
/// and a larger one has no use on links within a data center.
const MIN_SOCKET_BUFFER: usize = 6 * 1024;
const MAX_SOCKET_BUFFER: usize = 64 * 1024;
/// Share of the memory from which the size of a socket buffer follows.
const SOCKET_BUFFER_DIVISOR: usize = 32;
/// Accepted connections for each MB of memory, and their bounds. The smallest machines have 4,100
/// descriptors, of which an owner with 490 executors and 4 connections to each needs 1,960.
const CONNECTIONS_PER_MB: u64 = 6;
const MIN_CONNECTIONS: usize = 300;
const MAX_CONNECTIONS: usize = 1_920;
/// Share of the accepted connections that may wait in the kernel for being accepted, on the port of
/// clients and on each of the other ports. Frozen machines get connections for seconds.
const CLIENT_BACKLOG_DIVISOR: usize = 4;
const BACKLOG_DIVISOR: usize = 16;
/// Largest number of other ports.
const OTHER_PORTS: usize = 3;
/// Maximum size of a message or an answer without a budget.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Lower bound on the size of a message or an answer that has to fit: a body of 4 MiB that an
/// instance forwards, with its head. The largest answer of the platform's store is smaller: a page
/// with 1 MB of values, encoded in base64. An owner whose pages were lost could not load its cell.
const MIN_MESSAGE_BYTES: usize = 5 * 1024 * 1024;
/// Lower bounds on input and its handling. The largest legal body has 4 MiB and is copied twice.
const MIN_INPUT_BYTES: usize = 5_333_333;
const MIN_HANDLING_BYTES: usize = 12_800_000;

/// Parts of the memory of a process, in bytes.
///
/// With 48 MB or more, they add up to no more than the memory. Below that, the lower bounds on bodies
/// and on connections take more if all of them are reached together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryPlan {
    /// Memory of the machine.
    pub memory: usize,
    /// Program, configuration, executors, metrics and log.
    pub process: usize,
    /// Input of all connections together, before it is handled.
    pub input: usize,
    /// The same with the copies that handling takes.
    pub handling: usize,
    /// Answers of the store, executors and other instances.
    pub answers: usize,
    /// Bytes that connections opened by the process hold in the kernel.
    pub own_sockets: usize,
    /// Work that was accepted and has not ended.
    pub accepted_work: usize,
    /// Maximum size of a message of another instance, and of an answer.
    pub message: usize,
    /// Maximum number of accepted connections.
    pub connections: usize,
    /// Size that each socket buffer of an accepted connection is set to.
    pub socket_buffer: usize,
    /// Maximum number of connections on the port of clients that have not been accepted.
    pub client_backlog: usize,
    /// The same for each other port.
    pub backlog: usize,
}

impl MemoryPlan {
    /// Returns the plan for a process that may use `memory_mb` MB of memory.
    pub fn new(memory_mb: u64) -> Self {
        let memory = usize::try_from(memory_mb.saturating_mul(1_000_000)).unwrap_or(usize::MAX);
        let descriptors = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
        let connections = usize::try_from(memory_mb.saturating_mul(CONNECTIONS_PER_MB))
            .unwrap_or(MAX_CONNECTIONS)
            .clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
            .min(descriptors / 2);
        let socket_buffer = memory / SOCKET_BUFFER_DIVISOR / connections.max(1);
        let message = (memory / 8).clamp(MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES);
        Self {
            memory,
            process: memory / 12,
            input: (memory / 6).max(MIN_INPUT_BYTES),
            handling: (memory / 4).max(MIN_HANDLING_BYTES),
            answers: (memory / 10).max(MIN_MESSAGE_BYTES),
            own_sockets: memory / 12,
            accepted_work: memory / 8,
            message,
            connections,
            socket_buffer: socket_buffer.clamp(MIN_SOCKET_BUFFER, MAX_SOCKET_BUFFER),
            client_backlog: connections / CLIENT_BACKLOG_DIVISOR,
            backlog: connections / BACKLOG_DIVISOR,
        }
    }

    /// Returns what accepted connections take: their state, and what the kernel holds for them.
    pub fn connection_bytes(&self) -> usize {
        self.connections * (CONNECTION_STATE_BYTES + DIRECTIONS * self.kernel_bytes())
    }

    /// Returns what connections take that have not been accepted.
    pub fn backlog_bytes(&self) -> usize {
        (self.client_backlog + OTHER_PORTS * self.backlog) * self.kernel_bytes()
    }

    /// Returns the most that the kernel holds for one direction of all connections.
    pub fn socket_bytes(&self) -> usize {
        self.connections * self.kernel_bytes() + self.backlog_bytes() + self.own_sockets
    }

    /// Returns the sum of all parts.
    pub fn total(&self) -> usize {
        self.process
            + self.connection_bytes()
            + self.backlog_bytes()
            + self.handling
            + self.answers
            + self.own_sockets
            + self.accepted_work
    }

    /// Returns the most that the kernel holds for one direction of a connection.
    fn kernel_bytes(&self) -> usize {
        KERNEL_FACTOR * self.socket_buffer
    }
}
