//! Execution of the effects that the state machines of the instances return.

use std::time::Duration;

use cuminbank_jobs::{
    order::AdviceReply,
    ownership::{OwnerRecord, OwnershipEffect},
    scheduler::{JobEffect, JobEvent, JobScheduler, SchedulerBounds},
    store::StoreFailure,
};
use rand::Rng;

use super::{Action, MessageFate, MessageKind, SimulatedPool, TICK_INTERVAL};
use crate::support::ownership::BOUNDS;

impl SimulatedPool {
    pub(super) fn apply(&mut self, number: usize, event: JobEvent) {
        let (now, wall) = (self.now, Duration::from_secs(1_000) + self.now);
        let Some(scheduler) = self.instances[number].scheduler.as_mut() else { return };
        let effects = scheduler.apply(now, wall, event);
        self.max_units = self.max_units.max(scheduler.spent_units());
        self.max_starts = self.max_starts.max(scheduler.starts_in_flight());
        if scheduler.is_settled() {
            self.settled_passes += 1;
            let missed = scheduler.missed_placements();
            if !missed.is_empty() {
                self.checks.violations.push(format!("{now:?}: tasks left waiting: {missed:?}"));
            }
        }
        for effect in effects {
            self.execute_effect(number, effect);
        }
    }

    pub(super) fn execute_effect(&mut self, number: usize, effect: JobEffect) {
        let (start, ownership_number) =
            (self.instances[number].start, self.instances[number].ownership_number);
        match effect {
            JobEffect::Log(record) => {
                let line = format!(
                    "{:.3} {} {} {:?} {}",
                    self.now.as_secs_f64(),
                    self.instances[number].name,
                    record.code.summary,
                    record.job,
                    record.detail
                );
                self.trace.push(line);
            }
            JobEffect::Measure(_) => {}
            JobEffect::AskAdvice { id, executors, .. } => {
                self.advice_requests.push(executors.len());
                let allowed = executors
                    .into_iter()
                    .filter(|name| self.advised.contains(name))
                    .map(|name| (name.clone(), format!("t-{name}")))
                    .collect();
                let valid = Duration::from_secs(3);
                let result = Ok(AdviceReply { allowed, valid });
                self.push(
                    self.now + TICK_INTERVAL,
                    Action::AdviceCompletes { to: number, start, ownership_number, id, result },
                );
            }
            JobEffect::Fenced => {
                let effects = self.instances[number].ownership.on_fenced(self.now);
                self.execute_ownership_effects(number, effects);
            }
            JobEffect::EpochRaised(epoch) => {
                self.instances[number].ownership.on_epoch_raised(self.now, epoch);
            }
            JobEffect::OwnerSeen(item) => {
                let effects = match &item {
                    Some(found) => self.instances[number].ownership.observe(
                        self.now,
                        found.revision,
                        Some(found),
                    ),
                    None => self.instances[number].ownership.on_record_missing(self.now),
                };
                self.execute_ownership_effects(number, effects);
            }
            JobEffect::Order(order) => self.send_order(number, order),
            JobEffect::Commit { id, txn } => {
                let timeout = self.now + Duration::from_millis(700);
                let failed = || Action::CommitCompletes {
                    to: number,
                    start,
                    ownership_number,
                    id,
                    result: Err(StoreFailure::Unknown),
                };
                if !self.reaches_store(number) {
                    return self.push(timeout, failed());
                }
                let lost = self.chance(self.losses.writes_lost);
                let mut at = self.now + self.delay();
                if lost {
                    self.push(timeout, failed());
                    if self.chance(50) {
                        at += Duration::from_millis(self.random.random_range(1_000..6_000));
                        self.note_late_message(at);
                    }
                }
                let fate = self.decide_fate(MessageKind::Write);
                if fate != MessageFate::Delivered && !lost {
                    self.push(timeout, failed());
                }
                let lost = lost || fate == MessageFate::ReplyLost;
                let action = |txn, lost| Action::CommitArrives {
                    from: number,
                    start,
                    ownership_number,
                    id,
                    txn,
                    lost,
                };
                match fate {
                    MessageFate::RequestLost => return,
                    MessageFate::RequestDelayed(delay) => at += delay,
                    MessageFate::Doubled(delay) => {
                        self.push(at + delay, action(txn.clone(), true));
                    }
                    _ => {}
                }
                self.push(at, action(txn, lost));
            }
        }
    }

    pub(super) fn execute_ownership_effects(
        &mut self,
        number: usize,
        effects: Vec<OwnershipEffect>,
    ) {
        for effect in effects {
            match effect {
                OwnershipEffect::Call { id, call, timeout } => {
                    let start = self.instances[number].start;
                    let lost = self.chance(self.losses.writes_lost);
                    let fate = match self.reaches_store(number) {
                        true => self.decide_fate(MessageKind::OwnershipCall),
                        false => MessageFate::RequestLost,
                    };
                    if lost || fate != MessageFate::Delivered {
                        let result = Err(StoreFailure::Unknown);
                        let action =
                            Action::OwnershipCallCompletes { to: number, start, id, result };
                        self.push(self.now + timeout, action);
                    }
                    if fate != MessageFate::RequestLost {
                        let delay = match fate {
                            MessageFate::RequestDelayed(delay) => delay,
                            _ => Duration::ZERO,
                        };
                        let at = self.now + self.delay() + delay;
                        let lost = lost || fate == MessageFate::ReplyLost;
                        let action =
                            Action::OwnershipCallArrives { from: number, start, id, call, lost };
                        self.push(at, action);
                    }
                }
                OwnershipEffect::Began(held, predecessor) => {
                    let bounds = SchedulerBounds {
                        max_lease: Duration::from_millis(self.max_lease_ms),
                        retention: Duration::from_secs(600),
                        ..BOUNDS
                    };
                    let scheduler = JobScheduler::new(bounds, &held, self.now)
                        .with_guards(self.guards)
                        .with_identity(self.instances[number].ownership.identity().clone())
                        .with_processor_share(self.processor_share)
                        .with_link(self.link_mbps)
                        .with_step_spread(self.step_spread)
                        .with_admission(self.admission)
                        .with_task_reservations(self.task_reservations)
                        .with_calm_placement(self.calm_placement);
                    self.trace.push(format!("{:?} {} began {held:?}", self.now, number));
                    let delay = self.delay() * 4;
                    let instance = &mut self.instances[number];
                    instance.scheduler = Some(scheduler);
                    instance.ownership_number += 1;
                    instance.pool_read_due = Some(self.now + delay);
                    self.stop_predecessor(number, held.epoch, predecessor);
                }
                OwnershipEffect::Resumed(held) => {
                    self.apply(number, JobEvent::OwnershipChanged(held));
                }
                OwnershipEffect::Unreadable { key, detail } => {
                    self.trace.push(format!("{:?} {number} unreadable: {key} {detail}", self.now));
                }
                OwnershipEffect::Ended(reason) => {
                    self.trace.push(format!("{:?} {number} ended: {reason}", self.now));
                    self.instances[number].scheduler = None;
                    self.instances[number].ownership_number += 1;
                }
            }
        }
    }

    /// Asks the predecessor to stop sending orders, if an instance of that name is up and
    /// reachable.
    pub(super) fn stop_predecessor(
        &mut self,
        number: usize,
        epoch: u64,
        predecessor: Option<OwnerRecord>,
    ) {
        let Some(predecessor) = predecessor else { return };
        let found =
            self.instances.iter().position(|instance| instance.name == predecessor.instance);
        let Some(index) = found else { return };
        let until = self.instances[index].frozen_until;
        // A process cut off from the store is also cut off from the other instances.
        if !self.instances[index].up || self.now < until || !self.reaches_store(index) {
            return;
        }
        let ownership = &mut self.instances[index].ownership;
        let (stopped, effects) = ownership.yield_to(self.now, predecessor.start, epoch);
        self.execute_ownership_effects(index, effects);
        self.apply(number, JobEvent::PredecessorStopped { stopped });
    }
}
