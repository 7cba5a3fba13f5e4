//! Executor monitoring: availability, health and quarantine.

use crate::{
    event::ListedRole,
    health::{HealthChange, HealthGate},
    ids::MonotonicTime,
    log,
    membership::{TargetEntry, TargetState},
    placement::{ExecutorKey, ExecutorSpec},
};

use super::{
    state::{ExecutorMonitor, PendingDispatch},
    CallContext, CallPart,
};

impl CallPart {
    /// Updates the executor of a target that appeared or changed.
    pub(super) fn update_target(&mut self, context: &mut CallContext<'_>, name: &str) {
        let targets = context.view.groups.targets();
        let Some((_, entry)) = targets.by_name(name) else { return };
        if self.terms.contains_key(&entry.group) || self.executors.key_of(name).is_some() {
            self.monitor(context, entry);
            if let Some(key) = self.executors.key_of(name) {
                self.remove_if_unused(key);
            }
            self.start_queued(context, entry.group);
        }
    }

    /// Begins to monitor an executor, or applies a change of its address, slots or state.
    pub(super) fn monitor(&mut self, context: &mut CallContext<'_>, entry: &TargetEntry) {
        let ListedRole::Executor { slots, .. } = entry.role else { return };
        let now = context.now();
        let spec = ExecutorSpec {
            name: entry.name.clone(),
            machine: entry.machine.clone(),
            address: entry.address,
            group: entry.group,
            slots,
        };
        let known = self.executors.key_of(&entry.name);
        let was_full = known
            .and_then(|key| self.executors.get(key))
            .is_some_and(|executor| executor.is_assumed_full());
        let key = self.executors.upsert(spec);
        if !self.monitors.contains_key(key) {
            let first_call = self.terms.get(&entry.group).map_or(0, |term| term.next_call);
            self.monitors.insert(key, ExecutorMonitor { first_call, ..ExecutorMonitor::default() });
        }
        let monitor = &mut self.monitors[key];
        monitor.live = entry.state == TargetState::Live;
        monitor.ended = false;
        let is_full = self.executors.get(key).is_some_and(|executor| executor.is_assumed_full());
        if is_full && !was_full {
            self.assume_full_until_probe(key, now);
        }
        self.update_accepting(key, now);
    }

    /// Treats an executor as full until a conclusive probe: one sent at or after `now`, and not
    /// before the bytes of an earlier owner have arrived.
    pub(super) fn assume_full_until_probe(&mut self, key: ExecutorKey, now: MonotonicTime) {
        let group = self.executors.get(key).map(|executor| executor.spec.group);
        let term = group.and_then(|group| self.terms.get(&group));
        let conclusive_from = term.map_or(now, |term| term.probe_from.max(now));
        self.executors.assume_full(key);
        self.monitors[key].conclusive_from = conclusive_from;
        self.schedule_probe(key, conclusive_from);
    }

    /// Handles a target that has ended. Nothing runs on it any more, so its calls with a lost
    /// response free their slots, and those that could have been retried get their final answer.
    pub(super) fn end_target(&mut self, context: &mut CallContext<'_>, name: &str) {
        let Some(key) = self.executors.key_of(name) else { return };
        let Some(monitor) = self.monitors.get_mut(key) else { return };
        monitor.ended = true;
        let lost = std::mem::take(&mut monitor.lost);
        self.update_accepting(key, context.now());
        for call in lost {
            self.executors.release(call.reservation);
            if let Some(retry) = call.retry {
                self.give_up(context, retry, "the executor ended while the call may have run");
            }
        }
        self.remove_if_unused(key);
    }

    /// Removes an executor that has ended or whose group is no longer owned, once no call of this
    /// instance occupies a slot of it.
    pub(super) fn remove_if_unused(&mut self, key: ExecutorKey) {
        let (Some(monitor), Some(executor)) = (self.monitors.get(key), self.executors.get(key))
        else {
            return;
        };
        let owned = self.terms.contains_key(&executor.spec.group);
        if (owned && !monitor.ended) || !monitor.dispatches.is_empty() || !monitor.lost.is_empty() {
            return;
        }
        let name = executor.spec.name.clone();
        if !self.executors.remove(key) {
            return;
        }
        if let Some(at) = self.monitors.remove(key).and_then(|monitor| monitor.next_probe) {
            self.probe_times.remove(&(at, key));
        }
        self.health.remove(&name);
    }

    /// Recomputes whether an executor accepts calls: it must be healthy, live and answering, and
    /// its group must be owned.
    pub(super) fn update_accepting(&mut self, key: ExecutorKey, now: MonotonicTime) {
        let (Some(monitor), Some(executor)) = (self.monitors.get(key), self.executors.get(key))
        else {
            return;
        };
        let healthy = match self.health.gate(&executor.spec.name, now) {
            HealthGate::Open => true,
            // The trial call after a quarantine must be the only call on the executor.
            HealthGate::Trial => executor.reserved() == 0,
            HealthGate::Closed(until) => {
                if let Some(until) = until {
                    self.quarantine_ends.insert((until, key));
                }
                false
            }
        };
        let accepting = healthy
            && monitor.live
            && !monitor.ended
            && monitor.silent_since.is_none()
            && self.terms.contains_key(&executor.spec.group);
        if accepting != executor.is_accepting() {
            self.executors.set_accepting(key, accepting);
        }
    }

    /// Re-evaluates executors whose quarantine has ended.
    pub(super) fn end_quarantines(&mut self, context: &mut CallContext<'_>) {
        let now = context.now();
        while let Some(&(until, key)) = self.quarantine_ends.first() {
            if now < until {
                return;
            }
            self.quarantine_ends.pop_first();
            self.update_accepting(key, now);
        }
    }

    /// Stops new calls to an executor until a probe sent from now on succeeds.
    pub(super) fn suspend_until_probe(&mut self, key: ExecutorKey, now: MonotonicTime) {
        let Some(monitor) = self.monitors.get_mut(key) else { return };
        monitor.silent_since = Some(now);
        self.schedule_probe(key, now);
    }

    /// Records the result of a dispatch in the health state of its executor.
    pub(super) fn record_health(
        &mut self,
        context: &mut CallContext<'_>,
        dispatch: &PendingDispatch,
        succeeded: bool,
    ) {
        let now = context.now();
        let Some(executor) = self.executors.get(dispatch.executor) else { return };
        let Some(record) = self.calls.get(dispatch.call) else { return };
        let (name, class) = (&executor.spec.name, &record.call.class);
        let change = if succeeded {
            self.health.record_success(name, class, now)
        } else {
            self.health.record_failure(name, class, now)
        };
        match change {
            Some(HealthChange::Quarantined(until)) => {
                let length = until.saturating_sub(now).as_secs();
                let detail = format!("executor {name} for {length} s");
                context.step.log(log::TARGET_QUARANTINED, detail);
            }
            Some(HealthChange::Released) => {
                context.step.log(log::TARGET_RELEASED, format!("executor {name}"));
            }
            None => {}
        }
    }
}
