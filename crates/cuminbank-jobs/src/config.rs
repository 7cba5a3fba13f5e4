//! Queues, services and limits that operators put in force.

use crate::{
    ids::{QueueName, ServiceName},
    job::{AdviceTerms, QueueTerms},
};

/// A queue: where its requests arrive and how its jobs are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct JobQueue {
    /// Name.
    pub name: QueueName,
    /// Host that clients name.
    pub host: String,
    /// Prefix of the path.
    pub prefix: String,
    /// Service whose executors run the tasks.
    pub service: ServiceName,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub max_attempts: u32,
    /// The objective in multiples of the longest chain of work.
    pub stretch: f64,
    /// Time added to the objective, in milliseconds.
    pub target_latency_ms: u32,
    /// Longest time for an answer, in milliseconds.
    pub timeout_ms: u32,
    /// Present if starts need a ticket.
    pub advice: Option<AdviceTerms>,
}

impl JobQueue {
    /// Returns the terms under which a job is accepted now.
    pub fn terms(&self) -> QueueTerms {
        QueueTerms {
            queue: self.name.clone(),
            service: self.service.clone(),
            priority: self.priority,
            max_attempts: self.max_attempts,
            stretch: self.stretch,
            target_latency_ms: self.target_latency_ms,
            advice: self.advice,
        }
    }
}

/// Limits on clients' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest head in bytes.
    pub max_head_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time between requests of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A configuration in full.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolConfig {
    /// Version; rises in uneven steps.
    pub version: u64,
    /// Queues.
    pub queues: Vec<JobQueue>,
    /// Limits on requests, if given.
    pub limits: Option<RequestLimits>,
}

impl PoolConfig {
    /// Returns the queue with the longest prefix that a path begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&JobQueue> {
        // A host may carry a port, and its case does not matter.
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}

/// The configuration in force in this process.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    current: Option<PoolConfig>,
}

impl ActiveConfig {
    /// Puts a configuration in force if its version is higher; tells whether it is.
    pub fn offer(&mut self, config: PoolConfig) -> bool {
        if self.current.as_ref().is_some_and(|current| current.version >= config.version) {
            return false;
        }
        self.current = Some(config);
        true
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&PoolConfig> {
        self.current.as_ref()
    }
}
