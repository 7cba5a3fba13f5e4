//! Fencing of executors that use a name again.
//!
//! An order without a reply may be carried out seconds later, by whichever incarnation of the executor
//! has the name by then. An executor that has replied to an order of a higher epoch rejects all earlier
//! ones, so the owner raises its epoch before it gives work to the next incarnation.

use std::time::Duration;

use cuminbank::log::{EPOCH_RAISED, EXECUTOR_RETURNED};

use super::{
    contact::HOLD_RETRY,
    state::{ExecutorKey, ExecutorState},
    JobEffect, JobScheduler,
};
use crate::{ids::OwnerEpoch, lease_bounds::slowest};

/// Number of remembered executors at which the epoch is raised, so that none needs to be remembered.
const MAX_DEPARTED_EXECUTORS: usize = 1_024;
/// Time after which an executor that has returned is contacted although the epoch has not been raised,
/// so that the runs of late starts on it are reported and stopped.
const UNFENCED_CONTACT_DELAY: Duration = Duration::from_secs(1);
/// Time since the last raised epoch after which a single failed hold has the epoch raised, since the
/// executor may be restarting. Within it two in a row are needed, as many fail while replies are lost.
const FENCE_INTERVAL: Duration = Duration::from_secs(1);

impl JobScheduler {
    /// Accounts for the leases that earlier owners may have granted until an executor rejected their
    /// orders.
    pub(super) fn cover_earlier_leases(&mut self, key: ExecutorKey, restarted: bool) {
        let earlier = self.earlier_leases.remove(&self.executors[key].name);
        if restarted || earlier.is_some() {
            return self.cover_earlier_orders(key);
        }
        let lease = self.earlier_owners.longest_lease(self.bounds.max_lease);
        let expires_at = self.now + lease + self.bounds.stop_timeout + HOLD_RETRY;
        let executor = &mut self.executors[key];
        executor.lease_expires_at = executor.lease_expires_at.max(expires_at);
    }

    /// Accounts for the leases in orders for an earlier incarnation that an executor has carried out
    /// until now. It shortened them to its longest lease.
    fn cover_earlier_orders(&mut self, key: ExecutorKey) {
        let expires_at = self.now + slowest(self.bounds.max_lease) + self.bounds.stop_timeout;
        let executor = &mut self.executors[key];
        executor.earlier_orders_expire_at = expires_at + HOLD_RETRY;
        executor.lease_expires_at =
            executor.lease_expires_at.max(executor.earlier_orders_expire_at);
    }

    /// Returns whether executors are fenced. Without an identity the epoch cannot be raised.
    fn fences_orders(&self) -> bool {
        self.identity.is_some() && self.guards.fences_earlier_orders
    }

    /// Remembers that a removed executor may carry out orders of the current epoch if it returns.
    pub(super) fn remember_departed(&mut self, executor: &ExecutorState) {
        if !self.fences_orders() || !executor.may_carry_out(self.epoch) {
            return;
        }
        self.departed_executors.insert(executor.name.clone());
        self.journal.epoch_raise_needed |= self.departed_executors.len() > MAX_DEPARTED_EXECUTORS;
    }

    /// Has the epoch raised before an executor is contacted that returns under the name of a removed
    /// one. The write that adds it to the roster also raises the epoch.
    pub(super) fn fence_returned_executor(&mut self, key: ExecutorKey) {
        let executor = &mut self.executors[key];
        if !self.departed_executors.remove(&executor.name) {
            return;
        }
        executor.unfenced_epoch = Some(self.epoch);
        executor.hold.next_at = self.now + UNFENCED_CONTACT_DELAY;
        self.journal.epoch_raise_needed = true;
        let detail = format!("executor={} epoch={}", executor.name, self.epoch);
        self.log(EXECUTOR_RETURNED, None, detail);
    }

    /// Has the epoch raised while an executor does not answer, so that its next incarnation rejects
    /// earlier orders from its first reply on.
    pub(super) fn fence_unreachable_executor(&mut self, key: ExecutorKey) {
        let executor = &self.executors[key];
        let due = executor.hold.failures > 1 || self.now >= self.epoch_raised_at + FENCE_INTERVAL;
        if due && self.fences_orders() && executor.may_carry_out(self.epoch) {
            self.journal.epoch_raise_needed = true;
        }
    }

    /// Rules out, after a reply, that orders for earlier incarnations of the executor are carried out
    /// from now on. If the reply was to a hold of their epoch, has the epoch raised and waits for a
    /// reply to a hold of the new one.
    pub(super) fn fence_earlier_orders(&mut self, key: ExecutorKey, restarted: bool) {
        let fences_orders = self.fences_orders();
        let executor = &mut self.executors[key];
        if restarted && fences_orders {
            executor.unfenced_epoch = executor.unfenced_epoch.max(executor.ordered_epoch);
        }
        let Some(unfenced_epoch) = executor.unfenced_epoch else { return };
        if executor.hold.epoch > unfenced_epoch {
            executor.unfenced_epoch = None;
            self.journal.roster_dirty = true;
            self.cover_earlier_orders(key);
        } else if restarted {
            self.journal.epoch_raise_needed = true;
            self.cover_earlier_orders(key);
        }
    }

    /// Sends holds of the raised epoch to the executors that wait for it.
    pub(super) fn on_epoch_raised(&mut self, epoch: OwnerEpoch) {
        self.epoch = epoch;
        self.epoch_raised_at = self.now;
        // Their first hold will be of the raised epoch, whenever they return.
        self.departed_executors.clear();
        // All executors that need a raised epoch need one above that of orders sent before.
        self.journal.epoch_raise_needed = false;
        let mut waiting = 0;
        for executor in self.executors.values_mut() {
            if executor.unfenced_epoch.is_some() {
                executor.hold.next_at = self.now;
                waiting += 1;
            }
        }
        self.log(EPOCH_RAISED, None, format!("epoch={epoch} executors={waiting}"));
        self.effects.push(JobEffect::EpochRaised(epoch));
    }
}
