//! Executor probes. A probe lists the calls that an executor runs. It shows calls of earlier
//! owners, and whether a call with a lost response or a silent connection still runs.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    effect::EntryEffect,
    event::ExchangeError,
    ids::{ExchangeId, GroupIndex, MonotonicTime, OwnerEpoch, RequestTicket},
    log,
    placement::ExecutorKey,
    reducer::step::{ReducerPart, TargetObservation},
};

use super::{
    state::{ExecutorMonitor, PendingProbe},
    CallContext, CallPart,
};

/// Time between probes of an executor that has, or may have, running calls.
pub(super) const BUSY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between probes of an idle executor.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// Time limit for one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a response after which a dispatch is aborted if a probe does not list its call.
const SILENT_AFTER: Duration = Duration::from_secs(3);
/// Delay between such a probe and the abort, so that a response already in transit can arrive.
const ABORT_GRACE: Duration = Duration::from_millis(200);

impl CallPart {
    /// Schedules a probe of an executor at `at`, unless an earlier one is already planned.
    pub(super) fn schedule_probe(&mut self, key: ExecutorKey, at: MonotonicTime) {
        let Some(monitor) = self.monitors.get_mut(key) else { return };
        if monitor.next_probe.is_some_and(|planned| planned <= at) {
            return;
        }
        if let Some(planned) = monitor.next_probe.replace(at) {
            self.probe_times.remove(&(planned, key));
        }
        self.probe_times.insert((at, key));
    }

    /// Sends all probes whose time has come.
    pub(super) fn send_due_probes(&mut self, context: &mut CallContext<'_>) {
        let now = context.now();
        while let Some(&(at, key)) = self.probe_times.first() {
            if now < at {
                return;
            }
            self.probe_times.pop_first();
            self.send_probe(context, key);
        }
    }

    fn send_probe(&mut self, context: &mut CallContext<'_>, key: ExecutorKey) {
        let Some(monitor) = self.monitors.get_mut(key) else { return };
        monitor.next_probe = None;
        // Only one probe is in flight for an executor. Its result schedules the next one.
        if monitor.probing {
            return;
        }
        let Some(executor) = self.executors.get(key) else { return };
        monitor.probing = true;
        let exchange = context.step.begin_exchange(ReducerPart::Calls);
        context.step.push(EntryEffect::Probe {
            exchange,
            address: executor.spec.address,
            timeout: PROBE_TIMEOUT,
        });
        self.probes.insert(exchange, PendingProbe { executor: key, sent_at: context.now() });
    }

    /// Handles the result of a probe and schedules the next one.
    pub(super) fn end_probe(
        &mut self,
        context: &mut CallContext<'_>,
        exchange: ExchangeId,
        result: Result<Vec<String>, ExchangeError>,
    ) {
        let Some(PendingProbe { executor: key, sent_at }) = self.probes.remove(&exchange) else {
            return;
        };
        let Some(monitor) = self.monitors.get_mut(key) else { return };
        let Some(executor) = self.executors.get(key) else { return };
        let (name, group) = (executor.spec.name.clone(), executor.spec.group);
        monitor.probing = false;
        monitor.probe_failed = result.is_err();
        match result {
            Ok(ids) => {
                if monitor.silent_since.is_some_and(|since| since <= sent_at) {
                    monitor.silent_since = None;
                }
                context.step.observe(TargetObservation::Answered(name));
                let ids: BTreeSet<String> = ids.into_iter().collect();
                self.reconcile_inherited(context, key, &ids, sent_at);
                self.reconcile_lost(context, key, &ids, sent_at);
                self.schedule_aborts(context, key, &ids, sent_at);
            }
            Err(_) => context.step.observe(TargetObservation::Silent(name)),
        }
        self.update_accepting(key, context.now());
        self.remove_if_unused(key);
        self.schedule_next_probe(key, sent_at, context.now());
        self.start_queued(context, group);
    }

    /// Occupies slots for the calls of earlier owners. Calls of this term are tracked by their
    /// dispatches instead, since the probe may be outdated for them: a listed call may have ended
    /// since, and an unlisted one may have been sent since.
    fn reconcile_inherited(
        &mut self,
        context: &mut CallContext<'_>,
        key: ExecutorKey,
        ids: &BTreeSet<String>,
        sent_at: MonotonicTime,
    ) {
        let (Some(monitor), Some(executor)) = (self.monitors.get(key), self.executors.get(key))
        else {
            return;
        };
        let (group, before) = (executor.spec.group, executor.inherited());
        let Some(term) = self.terms.get(&group).filter(|_| monitor.conclusive_from <= sent_at)
        else {
            return;
        };
        let epoch = term.epoch;
        let mut inherited: Vec<String> = ids
            .iter()
            .filter(|id| !is_tracked(monitor, id, &self.zone, group, epoch))
            .cloned()
            .collect();
        if !context.step.guards.inherited_calls_counted {
            inherited.clear();
        }
        if before == 0 && !inherited.is_empty() {
            let detail = format!("executor {}, {} calls", executor.spec.name, inherited.len());
            context.step.log(log::CALLS_INHERITED, detail);
        }
        self.executors.record_probe(key, inherited, sent_at, context.now());
    }

    /// Frees the slots of calls with a lost response that the executor no longer runs, and retries
    /// those that may run again.
    fn reconcile_lost(
        &mut self,
        context: &mut CallContext<'_>,
        key: ExecutorKey,
        ids: &BTreeSet<String>,
        sent_at: MonotonicTime,
    ) {
        let Some(monitor) = self.monitors.get_mut(key) else { return };
        let (ended, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut monitor.lost)
            .into_iter()
            .partition(|call| call.conclusive_from <= sent_at && !ids.contains(&call.call_id));
        monitor.lost = kept;
        for call in ended {
            self.executors.release(call.reservation);
            if let Some(retry) = call.retry {
                self.retry_lost(context, retry);
            }
        }
    }

    /// Schedules the abort of dispatches that had no response for [`SILENT_AFTER`] when the probe
    /// was sent, and whose call the probe does not list.
    fn schedule_aborts(
        &mut self,
        context: &CallContext<'_>,
        key: ExecutorKey,
        ids: &BTreeSet<String>,
        sent_at: MonotonicTime,
    ) {
        let Some(monitor) = self.monitors.get(key) else { return };
        for (call_id, exchange) in &monitor.dispatches {
            let Some(dispatch) = self.dispatches.get_mut(exchange) else { continue };
            let silent = dispatch.started + SILENT_AFTER <= sent_at;
            if silent && !dispatch.aborting && !ids.contains(call_id) {
                dispatch.aborting = true;
                self.aborts.insert((context.step.now() + ABORT_GRACE, *exchange));
            }
        }
    }

    /// Aborts dispatches whose response did not arrive within the grace time.
    pub(super) fn send_due_aborts(&mut self, context: &mut CallContext<'_>) {
        while let Some(&(at, exchange)) = self.aborts.first() {
            if context.now() < at {
                return;
            }
            self.aborts.pop_first();
            let Some(dispatch) = self.dispatches.get(&exchange) else { continue };
            let name = self.executors.get(dispatch.executor).map(|slots| slots.spec.name.as_str());
            let detail = format!("executor {}, call {}", name.unwrap_or("?"), dispatch.call_id);
            context.step.log(log::CONNECTION_SILENT, detail);
            context.step.push(EntryEffect::AbortDispatch { exchange });
        }
    }

    fn schedule_next_probe(
        &mut self,
        key: ExecutorKey,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let (Some(monitor), Some(executor)) = (self.monitors.get(key), self.executors.get(key))
        else {
            return;
        };
        let busy = executor.used() > 0
            || executor.is_assumed_full()
            || monitor.probe_failed
            || monitor.silent_since.is_some()
            || !monitor.lost.is_empty();
        let interval = if busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
        let mut at = (sent_at + interval).max(now);
        // If this probe was sent too early to be conclusive, send the next one as soon as it can
        // be.
        let conclusive_times =
            monitor.lost.iter().map(|call| call.conclusive_from).chain(monitor.silent_since);
        let conclusive_times =
            conclusive_times.chain(executor.is_assumed_full().then_some(monitor.conclusive_from));
        if let Some(conclusive) = conclusive_times.filter(|&from| from > sent_at).min() {
            at = at.min(conclusive.max(now));
        }
        self.schedule_probe(key, at);
    }
}

/// Returns whether this instance tracks a call itself, because it sent the call in this term, or
/// because an earlier dispatch of it still occupies a slot.
fn is_tracked(
    monitor: &ExecutorMonitor,
    id: &str,
    zone: &str,
    group: GroupIndex,
    epoch: OwnerEpoch,
) -> bool {
    if monitor.dispatches.contains_key(id) || monitor.lost.iter().any(|call| call.call_id == id) {
        return true;
    }
    id.parse::<RequestTicket>().is_ok_and(|id| {
        id.zone == zone
            && id.group == group
            && id.epoch == epoch
            && id.sequence >= monitor.first_call
    })
}
