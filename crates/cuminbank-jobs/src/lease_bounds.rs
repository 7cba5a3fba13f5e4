//! Ends of the leases that an owner grants to runs, and the wait of a new owner for the leases of
//! earlier ones.
//!
//! An owner grants leases only on evidence that no successor had begun: a conditional write that the
//! store confirmed, or replies of a majority of the executors in the stored roster. Each successor
//! contacts a majority, too, and an executor that has replied to a higher epoch rejects the owner's
//! orders. So a new owner can tell when the leases end that owners it cannot reach may still grant on
//! executors that it cannot reach.

use std::{collections::VecDeque, time::Duration};

use crate::{
    ids::{ExecutorMillis, MonotonicTime, StoreRevision},
    ownership::MAX_STORE_SILENCE,
};

/// Longest lease. Longer than a change of owner, which takes about 3 s, and than a network partition
/// of a few seconds. A longer lease would delay the restart of lost work and the tasks that wait for
/// the leases of earlier owners.
pub const LEASE_TIME: Duration = Duration::from_millis(6_000);
/// Time after a confirmation of the ownership by which all leases granted on it end. Longer than
/// [`LEASE_TIME`] by the interval between confirmations, so that these do not shorten leases.
pub const CONFIRMED_LEASE_TIME: Duration = LEASE_TIME.saturating_add(CONFIRM_INTERVAL);
/// Time without a confirmation after which an owner writes only to be confirmed.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
/// Time after a majority of the executors has replied by which all leases granted on it end. Shorter
/// than [`CONFIRMED_LEASE_TIME`], since a successor contacts the executors only after the lease of
/// the ownership has expired.
pub const QUORUM_LEASE_TIME: Duration = Duration::from_millis(5_000);
/// Longest lease of owners whose build grants leases without such evidence.
const UNBOUNDED_LEASE_TIME: Duration = Duration::from_millis(7_000);
/// Maximum percentage by which an executor's clock runs slower than this instance's clock.
const CLOCK_DRIFT_PERCENT: u32 = 2;
/// Error in the estimate of an executor's clock: the latency of the reply and the drift since.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(200);
/// Number of revisions that a [`RevisionClock`] remembers, which cover at least the longest wait for
/// an earlier owner.
const MAX_SAMPLES: usize = 512;
/// Minimum interval between two remembered revisions.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Evidence that no successor had begun.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnershipEvidence {
    /// When the last conditional write was sent that the store has confirmed, or zero.
    pub confirmed_at: MonotonicTime,
    /// Time after which a majority of the executors in the stored roster was sent orders that they
    /// have accepted.
    pub quorum_at: MonotonicTime,
}

impl OwnershipEvidence {
    /// Returns the time until which a lease may be granted at `now`, or `None` if the evidence is
    /// too old. Executors shorten leases to `max_lease`.
    pub fn lease_until(&self, now: MonotonicTime, max_lease: Duration) -> Option<MonotonicTime> {
        if self.confirmed_at.is_zero() {
            return None;
        }
        let confirmed_until = self.confirmed_at + CONFIRMED_LEASE_TIME;
        let quorum_until = self.quorum_at + QUORUM_LEASE_TIME;
        let until = confirmed_until.max(quorum_until).min(now + LEASE_TIME.min(max_lease));
        (until > now).then_some(until)
    }
}

/// Returns whether a lease is for the incarnation of an executor whose clock is at `clock`. After a
/// restart the clock begins anew, so that a lease for an earlier incarnation ends later than any
/// owner would grant it.
pub fn is_lease_for(clock: ExecutorMillis, lease_until: ExecutorMillis) -> bool {
    let latest = LEASE_TIME + CLOCK_TOLERANCE;
    lease_until <= clock.saturating_add(latest.as_millis() as u64)
}

/// What a new owner knows of the owners before it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EarlierOwners {
    /// Whether all of them granted leases on evidence only.
    pub bounded: bool,
    /// Time by which the last of them was confirmed as the owner.
    pub confirmed_by: MonotonicTime,
    /// Time since which none of them has sent orders, if known.
    pub stopped_at: Option<MonotonicTime>,
    /// When this owner had contacted a majority of the executors in the stored roster, if it has.
    pub quorum_at: Option<MonotonicTime>,
    /// When this owner began.
    pub replaced_at: MonotonicTime,
}

impl EarlierOwners {
    /// Returns the time from which on none of them sends orders.
    pub fn orders_until(&self) -> MonotonicTime {
        self.stopped_at.unwrap_or(self.replaced_at + MAX_STORE_SILENCE)
    }

    /// Returns whether [`Self::leases_until`] no longer becomes earlier.
    pub fn has_final_bound(&self) -> bool {
        self.quorum_at.is_some() || self.stopped_at.is_some()
    }

    /// Returns the longest lease that they grant, on a slow clock.
    pub fn longest_lease(&self, max_lease: Duration) -> Duration {
        let lease = if self.bounded { LEASE_TIME } else { UNBOUNDED_LEASE_TIME };
        slowest(lease.min(max_lease))
    }

    /// Returns the time by which all leases that they have granted have expired, on clocks that run
    /// slower by [`CLOCK_DRIFT_PERCENT`]. Executors shorten leases to `max_lease`.
    pub fn leases_until(&self, max_lease: Duration) -> MonotonicTime {
        if !self.bounded {
            return self.orders_until() + self.longest_lease(max_lease);
        }
        let confirmed_until = self.confirmed_by + slowest(CONFIRMED_LEASE_TIME);
        let quorum_until = match self.quorum_at {
            Some(quorum_at) => quorum_at + slowest(QUORUM_LEASE_TIME),
            None => self.orders_until() + slowest(QUORUM_LEASE_TIME.min(max_lease)),
        };
        let until = confirmed_until.max(quorum_until);
        match self.stopped_at {
            Some(stopped_at) => until.min(stopped_at + self.longest_lease(max_lease)),
            None => until,
        }
    }
}

/// Revisions of the store, each with a time at which the store had reached it.
#[derive(Clone, Debug, Default)]
pub struct RevisionClock {
    samples: VecDeque<(MonotonicTime, StoreRevision)>,
}

impl RevisionClock {
    /// Notes a revision in a reply of the store that was received at `now`.
    pub fn note(&mut self, now: MonotonicTime, revision: StoreRevision) {
        if let Some((at, last)) = self.samples.back() {
            if revision <= *last || now < *at + SAMPLE_INTERVAL {
                return;
            }
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, revision));
    }

    /// Returns a time by which the store had reached a revision, if known.
    pub fn reached_by(&self, revision: StoreRevision) -> Option<MonotonicTime> {
        let reached = self.samples.iter().find(|(_, sample)| *sample >= revision);
        reached.map(|(at, _)| *at)
    }
}

/// Returns the latest time for which a majority of `times` is not earlier, or zero if there are
/// none.
pub fn majority_time(mut times: Vec<MonotonicTime>) -> MonotonicTime {
    if times.is_empty() {
        return MonotonicTime::ZERO;
    }
    let index = (times.len() - 1) / 2;
    *times.select_nth_unstable(index).1
}

/// Returns the longest time that a span takes on a slow clock.
pub fn slowest(span: Duration) -> Duration {
    span * 100 / (100 - CLOCK_DRIFT_PERCENT)
}
