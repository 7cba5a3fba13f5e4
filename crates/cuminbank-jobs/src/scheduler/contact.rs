//! Contact with executors: the list, holds, leases and unreachable executors.
//!
//! A hold is a long poll. It renews the lease of an executor's runs, acknowledges ended runs and
//! returns a report of the running and ended runs.

use std::{collections::HashSet, time::Duration};

use cuminbank::log::{
    EXECUTOR_DRAINING, EXECUTOR_LEASES_EXPIRED, EXECUTOR_LISTED, EXECUTOR_REACHED,
    EXECUTOR_REMOVED, EXECUTOR_RESTARTED, EXECUTOR_UNREACHABLE,
};

use super::{
    orders::{OrderKind, PendingOrder},
    state::{ClockSample, ExecutorKey, ExecutorState, HoldState},
    JobScheduler,
};
use crate::{
    ids::{ExecutorMillis, ExecutorName, MonotonicTime, ZoneName},
    job::TaskNeeds,
    lease_bounds::slowest,
    order::{ExecutorReport, HoldReport, OrderFailure, OrderReply, OrderRequest},
    placement::ExecutorRecord,
    roster::RosterEntry,
    slack::ViolationTimer,
};

/// How long an executor waits for a run to end before it replies to a hold. An unreachable executor
/// is detected after this time plus [`HOLD_MARGIN`], and the lease of a reachable one has about
/// [`crate::lease_bounds::LEASE_TIME`] minus this time left at least.
const HOLD_WAIT: Duration = Duration::from_millis(1_000);
/// The same for executors with both best-effort and latency-critical tasks, since reported tail
/// latencies only cover half a second, and for all executors while leases depend on their replies.
const SHORT_HOLD_WAIT: Duration = Duration::from_millis(400);
/// Time allowed for the reply to a hold in addition to its wait.
const HOLD_MARGIN: Duration = Duration::from_millis(500);
/// Delay before the next hold after a failed one.
pub(super) const HOLD_RETRY: Duration = Duration::from_millis(250);
/// Longest wait of a hold that an executor accepts.
const MAX_HOLD_WAIT: Duration = Duration::from_millis(2_000);
/// Time after the first of an executor's replies from which on each reply was made later than the
/// last one to a hold of an earlier owner.
pub(super) const EARLIER_HOLDS_TIME: Duration =
    MAX_HOLD_WAIT.saturating_add(HOLD_WAIT).saturating_add(HOLD_MARGIN);
/// Delay between holds, so that one reply reports several runs that end shortly after each other.
const HOLD_GAP: Duration = Duration::from_millis(15);
/// Delay between holds while ended runs are unrecorded, since the executor would immediately reply
/// with them again, and while the executor may get no leases, since these holds do not wait.
const UNRECORDED_GAP: Duration = Duration::from_millis(300);
/// Highest valid clock value of an executor in milliseconds, which is thousands of years. A lease
/// computed from a higher value would never expire.
const MAX_CLOCK: ExecutorMillis = 1 << 48;
/// How long an executor missing from the list may still get work while it replies, and stays known
/// without work. List entries that expired during a store outage reappear within 2 s of its end.
const ABSENCE_GRACE: Duration = Duration::from_millis(2_500);

impl JobScheduler {
    pub(super) fn on_listed(&mut self, reports: Vec<ExecutorReport>) {
        // The roster must be loaded first, since its executors may run tasks of an earlier owner.
        if !self.loaded {
            return;
        }
        let now = self.now;
        let mut listed: HashSet<ExecutorName> = HashSet::with_capacity(reports.len());
        for report in reports {
            listed.insert(report.name.clone());
            match self.executor_names.get(&report.name).copied() {
                Some(key) => self.update_executor(key, report),
                None => self.add_listed_executor(report),
            }
        }
        for executor in self.executors.values_mut() {
            if listed.contains(&executor.name) {
                executor.absent_since = None;
            } else {
                executor.absent_since.get_or_insert(now);
            }
        }
        self.update_open_zones();
        self.pass_needed = true;
    }

    fn add_listed_executor(&mut self, report: ExecutorReport) {
        self.log(
            EXECUTOR_LISTED,
            None,
            format!(
                "executor={} incarnation={:?} address={} service={} cpu={} memory_mb={} labels={} \
                 draining={}",
                report.name,
                report.started_at,
                report.address,
                report.service,
                report.capacity.cpu_millis,
                report.capacity.memory_mb,
                report.labels.join(","),
                report.draining
            ),
        );
        let entry = RosterEntry {
            name: report.name.clone(),
            address: report.address,
            service: report.service.clone(),
            started_at: report.started_at,
        };
        let key = self.add_executor(entry);
        self.fence_returned_executor(key);
        self.update_executor(key, report);
        self.journal.roster_dirty = true;
    }

    pub(super) fn add_executor(&mut self, entry: RosterEntry) -> ExecutorKey {
        let rank = self.executors.len() as u32;
        let executor = ExecutorState {
            name: entry.name.clone(),
            service: entry.service,
            address: entry.address,
            started_at: entry.started_at,
            capacity: TaskNeeds::default(),
            labels: Vec::new(),
            zone: ZoneName::new(),
            evacuated: false,
            draining: false,
            leaves_at: None,
            absent_since: Some(self.now),
            in_roster: false,
            contacted: false,
            in_contact_since: self.now,
            accepted_at: MonotonicTime::ZERO,
            clock: None,
            lease_expires_at: MonotonicTime::ZERO,
            ordered_epoch: None,
            unfenced_epoch: None,
            earlier_orders_expire_at: MonotonicTime::ZERO,
            handed_over: None,
            grants_paused: false,
            hold: HoldState { next_at: self.now, ..HoldState::default() },
            last_end_number: 0,
            acknowledged: 0,
            unreadable_end: None,
            runs: Vec::new(),
            reserved: TaskNeeds::default(),
            latency_critical_cpu: 0,
            long_running_cpu: 0,
            best_effort_cpu: 0,
            best_effort_tasks: 0,
            latency_critical_tasks: 0,
            no_starts_until: MonotonicTime::ZERO,
            record: ExecutorRecord::default(),
            rank,
            violation_timer: ViolationTimer::default(),
            latency_critical_images: Vec::new(),
            best_effort_images: Vec::new(),
            losses: Vec::new(),
            slacks: Vec::new(),
            recently_ended: Vec::new(),
            no_best_effort_until: MonotonicTime::ZERO,
        };
        let key = self.executors.insert(executor);
        self.executor_names.insert(entry.name, key);
        key
    }

    fn update_executor(&mut self, key: ExecutorKey, report: ExecutorReport) {
        let now = self.now;
        let executor = &mut self.executors[key];
        let begins_drain = report.draining && !executor.draining;
        executor.absent_since = None;
        executor.address = report.address;
        executor.capacity = report.capacity;
        executor.labels = report.labels;
        executor.evacuated = self.evacuated_zones.contains(&report.zone);
        executor.zone = report.zone;
        executor.service = report.service;
        executor.draining = report.draining;
        let leaves_at = report.remaining.map(|remaining| now + remaining);
        executor.leaves_at = match begins_drain {
            true => leaves_at,
            // The earlier report may have been received later after it was sent.
            false => executor.leaves_at.into_iter().chain(leaves_at).min(),
        };
        if begins_drain {
            let detail = format!(
                "executor={} remaining_ms={:?} runs={}",
                executor.name,
                report.remaining.map(|remaining| remaining.as_millis()),
                executor.runs.len()
            );
            self.log(EXECUTOR_DRAINING, None, detail);
        }
    }

    /// Sends due holds, drops the runs of unreachable executors whose leases have expired, and
    /// removes executors that have left.
    pub(super) fn poll_executors(&mut self) {
        let now = self.now;
        let keys: Vec<ExecutorKey> = self.executors.keys().collect();
        for key in keys {
            let executor = &self.executors[key];
            let lease_over = now > executor.lease_expires_at;
            if executor.hold.failures > 0 && lease_over && !executor.runs.is_empty() {
                // A later owner may have reached the executor and renewed its leases. Only a
                // successful write of this owner, sent after the leases expired, rules that out.
                if self.evidence.confirmed_at > executor.lease_expires_at
                    || !self.guards.verifies_ownership
                {
                    self.expire_runs(key, "leases expired while unreachable");
                } else {
                    self.journal.ownership_check_needed = true;
                }
            }
            let executor = &self.executors[key];
            if executor.in_roster != self.belongs_in_roster(executor) && executor.contacted {
                self.journal.roster_dirty = true;
            }
            self.update_handover(key);
            let executor = &self.executors[key];
            let absent = self.is_absent(executor);
            let needed = !executor.runs.is_empty()
                || !lease_over
                || self.unreconciled.contains(&executor.name);
            if absent && !needed && executor.hold.order.is_none() {
                self.remove_executor(key, "missing from the list");
                continue;
            }
            if executor.hold.order.is_none() && now >= executor.hold.next_at {
                self.send_hold(key);
            }
        }
    }

    /// Returns whether an executor has been missing from the list for longer than
    /// [`ABSENCE_GRACE`].
    pub(super) fn is_absent(&self, executor: &ExecutorState) -> bool {
        executor.absent_since.is_some_and(|since| self.now > since + ABSENCE_GRACE)
    }

    /// Returns whether an executor belongs in the stored roster: it has runs or unrecorded ended
    /// runs, may get work, or may run tasks of an earlier owner. The next owner does not wait for
    /// executors outside the roster.
    pub(super) fn belongs_in_roster(&self, executor: &ExecutorState) -> bool {
        !executor.runs.is_empty()
            || executor.last_end_number > executor.acknowledged
            || !(executor.draining || self.is_absent(executor))
            || self.unreconciled.contains(&executor.name)
    }

    /// Returns the estimated current value of an executor's clock.
    fn clock_now(&self, key: ExecutorKey) -> Option<ExecutorMillis> {
        let sample = self.executors[key].clock?;
        Some(sample.value + self.now.saturating_sub(sample.at).as_millis() as u64)
    }

    /// Returns the end of a new lease on the executor's clock, and records the latest time on this
    /// instance's clock at which it expires. Returns `None` if no lease may be granted now.
    pub(super) fn grant_lease(&mut self, key: ExecutorKey) -> Option<ExecutorMillis> {
        let executor = &self.executors[key];
        if executor.grants_paused && self.guards.hands_over_leases {
            return None;
        }
        if executor.unfenced_epoch.is_some() {
            return None;
        }
        let lease_until = self.evidence.lease_until(self.now, self.bounds.max_lease)?;
        let lease = lease_until - self.now;
        let until = self.clock_now(key)? + lease.as_millis() as u64;
        let stop_timeout = self.bounds.stop_timeout;
        let executor = &mut self.executors[key];
        let sample = executor.clock?;
        let span = Duration::from_millis(until - sample.value);
        let expires_at = sample.at + slowest(span) + stop_timeout + HOLD_RETRY;
        executor.lease_expires_at = executor.lease_expires_at.max(expires_at);
        Some(until)
    }

    /// Sends a hold: it renews the lease, acknowledges the recorded ended runs, and asks the
    /// executor to report its runs when one of them ends, or after a wait.
    pub(super) fn send_hold(&mut self, key: ExecutorKey) {
        let executor = &self.executors[key];
        let reachable = executor.contacted && executor.hold.failures == 0;
        let unrecorded = executor.last_end_number > executor.acknowledged;
        let colocated = executor.latency_critical_tasks > 0 && executor.best_effort_tasks > 0;
        let waits = reachable && !unrecorded && executor.may_get_leases();
        let wait = match (waits, colocated || self.needs_quorum()) {
            (false, _) => Duration::ZERO,
            (true, true) => SHORT_HOLD_WAIT,
            (true, false) => HOLD_WAIT,
        };
        // The executor may have restarted since the failure and then numbers its ended runs from 1
        // again.
        let acknowledged = if reachable { executor.acknowledged } else { 0 };
        // The lease of an unreachable executor is not renewed, so that its tasks can restart
        // elsewhere as soon as possible.
        let lease_until = if reachable { self.grant_lease(key) } else { None };
        let request = OrderRequest::Hold { lease_until, acknowledged, wait };
        let pending = PendingOrder::new(OrderKind::Hold, key, None);
        let order = self.send_order(pending, request, wait + HOLD_MARGIN);
        let sent_logical_time = self.next_logical_time();
        let hold = &mut self.executors[key].hold;
        hold.order = Some(order);
        hold.sent_at = self.now;
        hold.epoch = self.epoch;
        hold.sent_logical_time = sent_logical_time;
    }

    pub(super) fn on_hold_completed(
        &mut self,
        key: ExecutorKey,
        result: Result<OrderReply, OrderFailure>,
    ) {
        let now = self.now;
        self.executors[key].hold.order = None;
        match result {
            Ok(OrderReply::Held(report)) if report.clock <= MAX_CLOCK => self.on_held(key, report),
            Err(OrderFailure::Replaced) => {
                let reason = "address belongs to another executor";
                self.expire_runs(key, reason);
                self.remove_executor(key, reason);
            }
            other => {
                let executor = &mut self.executors[key];
                executor.hold.failures += 1;
                executor.hold.next_at = now + HOLD_RETRY;
                if executor.hold.failures == 1 {
                    let detail = format!(
                        "executor={} cause={other:?} runs={} lease_ends_in_ms={}",
                        executor.name,
                        executor.runs.len(),
                        executor.lease_expires_at.saturating_sub(now).as_millis()
                    );
                    self.log(EXECUTOR_UNREACHABLE, None, detail);
                }
                self.fence_unreachable_executor(key);
            }
        }
    }

    fn on_held(&mut self, key: ExecutorKey, report: HoldReport) {
        let now = self.now;
        let executor = &mut self.executors[key];
        let (failures, sent_logical_time) =
            (executor.hold.failures, executor.hold.sent_logical_time);
        executor.hold.failures = 0;
        executor.accepted_at = executor.hold.sent_at;
        executor.clock = Some(ClockSample { value: report.clock, at: now });
        let restarted = executor.started_at.is_some_and(|started_at| started_at != report.born);
        executor.started_at = Some(report.born);
        let first = !executor.contacted;
        executor.contacted = true;
        let name = executor.name.clone();
        if restarted {
            executor.last_end_number = 0;
            executor.acknowledged = 0;
            executor.unreadable_end = None;
            let detail = format!("executor={name} runs={}", executor.runs.len());
            self.log(EXECUTOR_RESTARTED, None, detail);
        }
        if first {
            self.cover_earlier_leases(key, restarted);
        }
        // Until the first reply, this owner has sent nothing that needs a fence.
        self.fence_earlier_orders(key, restarted && !first);
        if failures > 0 || first || restarted {
            self.executors[key].in_contact_since = now;
        }
        if failures > 0 || first {
            let detail = format!(
                "executor={name} incarnation={} epoch={} failures={failures} running={} ended={}",
                report.born,
                self.executors[key].hold.epoch,
                report.running.len(),
                report.ended.len()
            );
            self.log(EXECUTOR_REACHED, None, detail);
        }
        self.apply_report(key, report, sent_logical_time);
        self.mark_reconciled(&name);
        self.update_handover(key);
        let executor = &mut self.executors[key];
        let unrecorded = executor.last_end_number > executor.acknowledged;
        let short = !unrecorded && executor.may_get_leases();
        let gap = if short { HOLD_GAP } else { UNRECORDED_GAP };
        executor.hold.next_at = now + if first { Duration::ZERO } else { gap };
        self.pass_needed = true;
        if first {
            self.send_hold(key);
        }
    }

    /// Drops all runs of an executor, because its leases have expired or it no longer exists, and
    /// makes their tasks ready again.
    fn expire_runs(&mut self, key: ExecutorKey, reason: &str) {
        let runs = self.executors[key].runs.clone();
        let name = self.executors[key].name.clone();
        let detail = format!("executor={name} runs={} reason={reason}", runs.len());
        self.log(EXECUTOR_LEASES_EXPIRED, None, detail);
        for run in runs {
            self.drop_lost_run(run, reason);
        }
    }

    fn remove_executor(&mut self, key: ExecutorKey, reason: &str) {
        let Some(executor) = self.executors.remove(key) else { return };
        self.executor_names.remove(&executor.name);
        self.remember_departed(&executor);
        if executor.handed_over.is_some() {
            self.journal.handover.invalidate();
        }
        self.orders.retain(|_, pending| pending.executor != key);
        let starts = self.orders.values().filter(|pending| pending.kind == OrderKind::Start);
        self.starts_in_flight = starts.count();
        self.mark_reconciled(&executor.name);
        self.journal.roster_dirty = true;
        let detail = format!(
            "executor={} incarnation={:?} epoch={} ordered_epoch={:?} reason={reason}",
            executor.name, executor.started_at, self.epoch, executor.ordered_epoch
        );
        self.log(EXECUTOR_REMOVED, None, detail);
    }

    /// Returns whether an executor may get new work, which excludes quarantined executors.
    pub(super) fn is_placeable(&self, executor: &ExecutorState) -> bool {
        self.is_usable(executor) && !executor.record.is_quarantined(self.now)
    }
}
