//! Starts that other instances send on behalf of an owner.
//!
//! Answers narrow links: a start carries the payload of its job, 1,200 bytes at the mean, and the link of
//! one instance does not carry the starts of a cell of usual size where it has a few Mbit/s. The owner
//! hands several starts of a job with one copy of the payload to another instance, which sends them over
//! its own link. The owner alone decides; a carrier sends what it was given while it is valid, and says
//! what came of each. The epoch and the end of the lease in each order fence one that comes late.

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

/// Bandwidth in Mbit/s below which an owner has its starts carried. Above it, the further connections to
/// executors cost more than they relieve.
const NARROW_LINK_MBPS: f64 = 25.0;
/// Most starts in a bundle: on a link of 2 Mbit/s these take 60 ms, and several bundles may meet there.
const MAX_BUNDLE_STARTS: usize = 8;
/// Least starts for which a bundle is worth its further way.
const MIN_BUNDLE_STARTS: usize = 2;
/// Time after its last question in which an instance counts as up.
const RELAY_EXPIRY: Duration = Duration::from_millis(1_200);
/// Longest time between the arrival of a bundle and the sending of its starts.
const VALID_TIME: Duration = Duration::from_millis(700);
/// Time for the way to the carrier and back, beyond that for the orders.
const RELAY_MARGIN: Duration = Duration::from_millis(250);

/// Tells whether an owner with such a link has its starts carried.
pub fn uses_relay(link_mbps: f64) -> bool {
    link_mbps < NARROW_LINK_MBPS
}

/// One start of a bundle.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayedStart {
    /// Number of the order.
    pub id: OrderId,
    /// The life of the executor that is meant.
    pub executor: ExecutorName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// End of the lease, on the executor's clock.
    pub lease_until: ExecutorMillis,
    /// Checkpoint from which to resume.
    pub checkpoint: Option<String>,
    /// Ticket of the advice service.
    pub ticket: Option<String>,
}

/// Starts of a job that an instance sends for an owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StartBundle {
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
    /// Text for the tasks.
    pub payload: String,
    /// Longest wait for each answer.
    pub timeout: Duration,
    /// How long after its arrival it may be sent.
    pub valid: Duration,
    /// The starts.
    pub starts: Vec<RelayedStart>,
}

/// What came of a carried start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RelayedResult {
    /// The executor has it.
    Done,
    /// The executor rejected it.
    Rejected(RejectReason),
    /// There is no answer of use.
    Failed(OrderFailure),
}

impl StartBundle {
    /// Makes a bundle of starts of one job; orders of another kind are left out.
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
            valid: until.saturating_sub(now).min(VALID_TIME),
            starts: starts.collect(),
        }
    }

    /// Returns the orders for a carrier that has received the bundle just now.
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
            valid_until: now + valid.min(VALID_TIME),
        };
        starts.into_iter().map(order).collect()
    }

    /// Returns how long the owner waits for the carrier.
    pub fn wait(&self) -> Duration {
        self.timeout + RELAY_MARGIN
    }
}

impl RelayedResult {
    /// Takes what came of an order.
    pub fn new(result: &Result<OrderReply, OrderFailure>) -> Self {
        match result {
            Ok(OrderReply::Done { .. }) => Self::Done,
            Ok(OrderReply::Rejected { reason }) => Self::Rejected(*reason),
            // No start is answered like a hold.
            Ok(OrderReply::Held(_)) => Self::Failed(OrderFailure::Lost),
            Err(failure) => Self::Failed(*failure),
        }
    }

    /// Returns what came of the order for its owner.
    pub fn into_result(self) -> Result<OrderReply, OrderFailure> {
        match self {
            Self::Done => Ok(OrderReply::Done { clock: None }),
            Self::Rejected(reason) => Ok(OrderReply::Rejected { reason }),
            Self::Failed(failure) => Err(failure),
        }
    }
}

/// Orders of one turn, sorted by who sends them.
#[derive(Debug, Default)]
pub struct SortedOrders {
    /// Orders that the owner sends.
    pub direct: Vec<ExecutorOrder>,
    /// Groups of starts of one job that others may send.
    pub groups: Vec<Vec<ExecutorOrder>>,
}

impl SortedOrders {
    /// Sorts the orders of a turn: starts of a job go together.
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

/// Instances that are up, in turn.
#[derive(Clone, Debug, Default)]
pub struct RelayPool {
    known: VecDeque<(SocketAddr, MonotonicTime)>,
}

impl RelayPool {
    /// Takes that an instance has asked something.
    pub fn mark_live(&mut self, now: MonotonicTime, address: SocketAddr) {
        match self.known.iter_mut().find(|(known, _)| *known == address) {
            Some((_, seen)) => *seen = now,
            None => self.known.push_back((address, now)),
        }
    }

    /// Returns the next instance in turn, if one is up.
    pub fn next_relay(&mut self, now: MonotonicTime) -> Option<SocketAddr> {
        self.known.retain(|(_, seen)| now <= *seen + RELAY_EXPIRY);
        self.known.rotate_left(1.min(self.known.len()));
        self.known.back().map(|(address, _)| *address)
    }

    /// Returns how many instances are up.
    pub fn count(&self, now: MonotonicTime) -> usize {
        self.known.iter().filter(|(_, seen)| now <= *seen + RELAY_EXPIRY).count()
    }

    /// Forgets an instance that did not answer, until it asks again.
    pub fn remove(&mut self, address: SocketAddr) {
        self.known.retain(|(known, _)| *known != address);
    }
}
