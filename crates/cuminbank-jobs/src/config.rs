//! Queue configuration and request limits set by operators.

use std::time::Duration;

use crate::{
    ids::{MonotonicTime, QueueName, ServiceName},
    job::{AdviceTerms, QueueTerms},
};

/// Number of instances, with those that are gone, that share the connections of an executor.
const CONNECTION_SHARES: u32 = 16;
/// Connections that an executor accepts if the configuration does not say.
const DEFAULT_EXECUTOR_CONNECTIONS: u32 = 64;
/// One connection for the hold, which waits, and one for other orders.
const MIN_CONNECTION_SHARE: usize = 2;
/// Upper limit of the connections to an executor.
const MAX_CONNECTION_SHARE: usize = 8;

/// Queue: which requests it receives and the terms for its jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct JobQueue {
    /// Queue name.
    pub name: QueueName,
    /// Host name in requests for this queue.
    pub host: String,
    /// Path prefix of requests for this queue.
    pub prefix: String,
    /// Service whose executors run the tasks.
    pub service: ServiceName,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task fails for good.
    pub max_attempts: u32,
    /// Multiple of the critical path's run time that the latency objective allows.
    pub stretch: f64,
    /// Constant added to the latency objective, in milliseconds.
    pub target_latency_ms: u32,
    /// Request timeout in milliseconds.
    pub timeout_ms: u32,
    /// Cost model of the advice service, if the queue uses it. A task may then only start with a
    /// ticket from the service.
    pub advice: Option<AdviceTerms>,
}

impl JobQueue {
    /// Returns the terms for a job that is accepted under this configuration.
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

/// Limits on client requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum idle time between requests on a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Complete configuration as published by operators.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolConfig {
    /// Version number. Increases with each change, not necessarily by 1.
    pub version: u64,
    /// All queues.
    pub queues: Vec<JobQueue>,
    /// Request limits, if configured.
    pub limits: Option<RequestLimits>,
    /// Lowest number of connections that the executors of a service accept, if configured.
    pub executor_connections: Option<u32>,
}

impl PoolConfig {
    /// Returns how many connections an instance may open to an executor. An executor keeps those of
    /// an instance that is gone for good until its idle timeout, which covers several changes of
    /// owner, and must accept those of the next owner.
    pub fn connection_share(&self) -> usize {
        let accepted = self.executor_connections.unwrap_or(DEFAULT_EXECUTOR_CONNECTIONS);
        ((accepted / CONNECTION_SHARES) as usize).clamp(MIN_CONNECTION_SHARE, MAX_CONNECTION_SHARE)
    }

    /// Returns the queue of a request: the one for this host with the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&JobQueue> {
        // Ignores the port and the case of the host name.
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}

/// Decision on which queue receives a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDecision {
    /// No configuration has been read yet.
    NoConfig,
    /// The configuration may be too old for a decision.
    Unconfirmed,
    /// No queue receives the request.
    NoQueue,
    /// This queue does.
    Queue(JobQueue),
}

/// Configuration currently active in this process.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    current: Option<PoolConfig>,
    /// Time at which the store had no newer version.
    confirmed_at: Option<MonotonicTime>,
}

impl ActiveConfig {
    /// Activates a configuration if its version is higher than the current one. Returns whether it
    /// was activated.
    pub fn offer(&mut self, config: PoolConfig) -> bool {
        if self.current.as_ref().is_some_and(|current| current.version >= config.version) {
            return false;
        }
        self.current = Some(config);
        true
    }

    /// Returns the active configuration, if there is one.
    pub fn current(&self) -> Option<&PoolConfig> {
        self.current.as_ref()
    }

    /// Records that everything the store contained at a time has been offered.
    pub fn confirm(&mut self, at: MonotonicTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns whether the configuration was confirmed within the last `bound`.
    pub fn is_confirmed(&self, now: MonotonicTime, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }

    /// Decides which queue receives a request. If a change of the configuration must take effect
    /// within `bound`, an older confirmation is not enough to accept new work, to answer about a queue,
    /// or to say that there is none. Requests about a single job, as told by `concerns_job`, are still
    /// served: their answers do not depend on the configuration.
    pub fn route(
        &self,
        (host, path): (&str, &str),
        concerns_job: impl FnOnce(&JobQueue) -> bool,
        now: MonotonicTime,
        bound: Duration,
    ) -> RouteDecision {
        let Some(current) = &self.current else { return RouteDecision::NoConfig };
        let confirmed = self.is_confirmed(now, bound);
        match current.find(host, path) {
            Some(queue) if confirmed || concerns_job(queue) => RouteDecision::Queue(queue.clone()),
            None if confirmed => RouteDecision::NoQueue,
            _ => RouteDecision::Unconfirmed,
        }
    }

    /// Returns the time since the configuration was last confirmed; `None` if it never was.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }
}
