//! Relaying of task starts through other instances.
//!
//! A start contains the payload of its job, 1,200 bytes on average. An owner whose link has only a
//! few Mbit/s cannot send all starts of a typical cell itself. It sends a bundle of several starts
//! of a job, with one copy of the payload, to another instance, the relay, which sends them to the
//! executors over its own link. Only the owner makes decisions: the relay sends the starts while
//! the bundle is valid and reports each result. Executors reject late starts by the epoch and the
//! end of the lease in each order.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ExecutorMillis, ExecutorName, MonotonicTime, OrderId, OwnerEpoch, RunNumber},
    job::TaskName,
    order::{ExecutorOrder, OrderFailure, OrderReply, OrderRequest, RejectReason},
};

/// Bandwidth in Mbit/s below which an owner relays its starts. With more bandwidth, the additional
/// connections to executors cost more than relaying saves.
const NARROW_LINK_MBPS: f64 = 25.0;
/// Maximum number of starts in a bundle. Sending them occupies a link of 2 Mbit/s for 60 ms, and
/// one relay may receive several bundles at once.
const MAX_BUNDLE_STARTS: usize = 8;
/// Number of starts from which on a bundle saves more than its additional hop costs.
const MIN_BUNDLE_STARTS: usize = 2;
/// How long after its last request an instance counts as live.
const RELAY_EXPIRY: Duration = Duration::from_millis(1_200);
/// Longest time for which a relay may send the starts of a bundle after receiving it.
const MAX_RELAY_DELAY: Duration = Duration::from_millis(700);
/// Time for the round trip to the relay, added to the timeout of the orders.
const RELAY_MARGIN: Duration = Duration::from_millis(250);

/// Returns whether an owner with a link of this bandwidth relays its starts.
pub fn uses_relay(link_mbps: f64) -> bool {
    link_mbps < NARROW_LINK_MBPS
}

/// Start order within a bundle.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayedStart {
    /// Order id.
    pub id: OrderId,
    /// Name of the incarnation of the executor that the order is for.
    pub executor: ExecutorName,
    /// Address of the executor.
    pub address: SocketAddr,
    /// Task to start.
    pub task: TaskName,
    /// Run number.
    pub run: RunNumber,
    /// End of the lease, in ms on the executor's clock.
    pub lease_until: ExecutorMillis,
    /// Checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// Ticket from the advice service.
    pub ticket: Option<String>,
}

/// Starts of one job, sent by another instance for the owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StartBundle {
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
    /// Payload passed to each task.
    pub payload: String,
    /// Longest time to wait for the reply to each start.
    pub timeout: Duration,
    /// Time after receiving the bundle during which the relay may still send the starts.
    pub valid: Duration,
    /// Starts to send.
    pub starts: Vec<RelayedStart>,
}

/// Result of a relayed start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RelayedResult {
    /// The executor carried out the start.
    Done,
    /// The executor rejected the start.
    Rejected(RejectReason),
    /// No usable reply was received.
    Failed(OrderFailure),
}

impl StartBundle {
    /// Creates a bundle from the start orders of one job and ignores other orders.
    pub fn new(now: MonotonicTime, orders: &[ExecutorOrder]) -> Self {
        let first = orders.first();
        let until = first.map_or(now, |order| order.valid_until);
        let starts = orders.iter().filter_map(|order| match &order.request {
            OrderRequest::Start { task, run, lease_until, checkpoint, ticket, .. } => {
                Some(RelayedStart {
                    id: order.id,
                    executor: order.executor.clone(),
                    address: order.address,
                    task: *task,
                    run: *run,
                    lease_until: *lease_until,
                    checkpoint: checkpoint.clone(),
                    ticket: ticket.clone(),
                })
            }
            _ => None,
        });
        let payload = first.and_then(|order| match &order.request {
            OrderRequest::Start { payload, .. } => Some(payload.clone()),
            _ => None,
        });
        Self {
            epoch: first.map_or(0, |order| order.epoch),
            payload: payload.unwrap_or_default(),
            timeout: first.map_or(Duration::ZERO, |order| order.timeout),
            valid: until.saturating_sub(now).min(MAX_RELAY_DELAY),
            starts: starts.collect(),
        }
    }

    /// Returns the orders for a relay to send, given the time at which it received the bundle.
    pub fn into_orders(self, now: MonotonicTime) -> Vec<ExecutorOrder> {
        let Self { epoch, payload, timeout, valid, starts } = self;
        let order = |start: RelayedStart| ExecutorOrder {
            id: start.id,
            executor: start.executor,
            address: start.address,
            epoch,
            request: OrderRequest::Start {
                task: start.task,
                run: start.run,
                payload: payload.clone(),
                lease_until: start.lease_until,
                checkpoint: start.checkpoint,
                ticket: start.ticket,
            },
            timeout,
            valid_until: now + valid.min(MAX_RELAY_DELAY),
        };
        starts.into_iter().map(order).collect()
    }

    /// Returns how long the owner waits for the reply of the relay.
    pub fn wait(&self) -> Duration {
        self.timeout + RELAY_MARGIN
    }
}

impl RelayedResult {
    /// Converts the result of an order for the reply to the owner.
    pub fn new(result: &Result<OrderReply, OrderFailure>) -> Self {
        match result {
            Ok(OrderReply::Done { .. }) => Self::Done,
            Ok(OrderReply::Rejected { reason }) => Self::Rejected(*reason),
            // Executors only reply to holds with a report, never to starts.
            Ok(OrderReply::Held(_)) => Self::Failed(OrderFailure::Lost),
            Err(failure) => Self::Failed(*failure),
        }
    }

    /// Converts the result back to that of the original order.
    pub fn into_result(self) -> Result<OrderReply, OrderFailure> {
        match self {
            Self::Done => Ok(OrderReply::Done { clock: None }),
            Self::Rejected(reason) => Ok(OrderReply::Rejected { reason }),
            Self::Failed(failure) => Err(failure),
        }
    }
}

/// Orders of one scheduler turn, split into direct and relayed ones.
#[derive(Debug, Default)]
pub struct SortedOrders {
    /// Orders that the owner sends itself.
    pub direct: Vec<ExecutorOrder>,
    /// Groups of starts that a relay may send. The starts of a group belong to one job.
    pub groups: Vec<Vec<ExecutorOrder>>,
}

impl SortedOrders {
    /// Splits the orders of a turn, grouping the starts of each job.
    pub fn new(orders: Vec<ExecutorOrder>) -> Self {
        let mut sorted = Self::default();
        let mut by_job: BTreeMap<u64, Vec<ExecutorOrder>> = BTreeMap::new();
        for order in orders {
            match &order.request {
                OrderRequest::Start { task, .. } => {
                    by_job.entry(task.job).or_default().push(order);
                }
                _ => sorted.direct.push(order),
            }
        }
        for mut starts in by_job.into_values() {
            while !starts.is_empty() {
                let rest = starts.split_off(starts.len().min(MAX_BUNDLE_STARTS));
                if starts.len() < MIN_BUNDLE_STARTS {
                    sorted.direct.append(&mut starts);
                } else {
                    sorted.groups.push(starts);
                }
                starts = rest;
            }
        }
        sorted
    }
}

/// Instances that can act as relays, used in round-robin order.
#[derive(Clone, Debug, Default)]
pub struct RelayPool {
    known: VecDeque<(SocketAddr, MonotonicTime)>,
}

impl RelayPool {
    /// Records a request from an instance, which shows that it is live.
    pub fn mark_live(&mut self, now: MonotonicTime, address: SocketAddr) {
        match self.known.iter_mut().find(|(known, _)| *known == address) {
            Some((_, seen)) => *seen = now,
            None => self.known.push_back((address, now)),
        }
    }

    /// Returns the next live instance in round-robin order, if there is one.
    pub fn next_relay(&mut self, now: MonotonicTime) -> Option<SocketAddr> {
        self.known.retain(|(_, seen)| now <= *seen + RELAY_EXPIRY);
        self.known.rotate_left(1.min(self.known.len()));
        self.known.back().map(|(address, _)| *address)
    }

    /// Returns the number of live instances.
    pub fn count(&self, now: MonotonicTime) -> usize {
        self.live(now).count()
    }

    /// Returns the addresses of the live instances.
    pub fn live(&self, now: MonotonicTime) -> impl Iterator<Item = SocketAddr> + '_ {
        let live = move |(_, seen): &&(SocketAddr, MonotonicTime)| now <= *seen + RELAY_EXPIRY;
        self.known.iter().filter(live).map(|(address, _)| *address)
    }

    /// Removes an instance that did not reply. A request from it adds it again.
    pub fn remove(&mut self, address: SocketAddr) {
        self.known.retain(|(known, _)| *known != address);
    }
}
