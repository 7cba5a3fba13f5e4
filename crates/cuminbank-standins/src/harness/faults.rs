//! Fault injection: random faults, and single steps for scripted scenarios.

use std::time::Duration;

use cuminbank::{event::EntryEvent, ids::StartNumber};
use rand::Rng;

use super::{
    history::{HistoryEvent, ALL_FAULTS_ENDED},
    network::{NetworkNode, NetworkPartition},
    queue::{Action, EntryIndex, ReplyOrigin, TargetIndex},
    simulation::{Simulation, LIST_LAG},
};

/// Kind of a random fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// An entry instance is killed and restarted.
    KillEntry,
    /// An entry instance is paused.
    PauseEntry,
    /// An entry instance is drained and restarted.
    DrainEntry,
    /// A zone cannot reach the store.
    PartitionZoneFromStore,
    /// Two zones cannot reach each other.
    PartitionZones,
    /// An entry instance cannot reach any other node.
    PartitionInstance,
    /// An entry instance cannot reach the store.
    PartitionInstanceFromStore,
    /// An entry instance cannot reach the store, and from 5 s later on its peers either.
    LoseStoreThenPeers,
    /// An entry instance cannot reach one machine.
    PartitionMachine,
    /// Two entry instances cannot reach each other.
    PartitionPeers,
    /// Nobody can reach the store for 20 s.
    StoreDown,
    /// Requests reach the store late.
    StoreSlow,
    /// 40 % of the store's answers are lost.
    LoseStoreAnswers,
    /// A machine crashes and is restarted.
    KillMachine,
    /// A machine is announced as leaving, stops and is started again.
    MachineLeaves,
    /// The platform's list is 10 s out of date.
    ListLag,
    /// Answers to calls on open connections between an entry instance and an executor are lost.
    SilentExecutor,
}

/// Start or end of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultStep {
    /// A process is killed.
    Kill(EntryIndex),
    /// An entry instance is started.
    Start(EntryIndex),
    /// A process stops handling events.
    Pause(EntryIndex),
    /// A paused process resumes.
    Resume(EntryIndex, StartNumber),
    /// A drain begins.
    Drain(EntryIndex),
    /// A partition begins.
    Partition(NetworkPartition),
    /// A partition ends.
    Heal(NetworkPartition),
    /// Sets the share of the store's answers that are lost.
    StoreAnswerLoss(f64),
    /// Sets the least delay of requests to the store.
    StoreDelay(Duration),
    /// Sets the delay until a change becomes visible in the platform's list of instances.
    ListLag(Duration),
    /// A machine stops, with everything that runs on it.
    MachineDown(TargetIndex),
    /// A machine is started again.
    MachineUp(TargetIndex),
    /// A machine is announced as leaving.
    MachineLeaves(TargetIndex),
    /// The executor and the worker of a machine fail all work (`true`) or work normally (`false`).
    FailAll(TargetIndex, bool),
}

impl Simulation {
    pub(super) fn inject_random_fault(&mut self) {
        if self.faults_ended {
            return;
        }
        let interval = self.plan.faults.interval;
        let next = interval.mul_f64(self.rng.random_range(0.2..1.8));
        self.queue.push(self.now + next, Action::InjectRandomFault);
        let kinds = &self.plan.faults.kinds;
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let entry = self.rng.random_range(0..self.entries.len());
        let other = self.rng.random_range(0..self.entries.len());
        let target = self.rng.random_range(0..self.targets.len());
        let zone = self.rng.random_range(0..self.plan.zones);
        let random_length = Duration::from_millis(self.rng.random_range(200..12_000));
        let (begin, length, end) = match kind {
            FaultKind::KillEntry => {
                (FaultStep::Kill(entry), random_length, FaultStep::Start(entry))
            }
            FaultKind::DrainEntry => {
                (FaultStep::Drain(entry), Duration::from_secs(33), FaultStep::Start(entry))
            }
            FaultKind::PauseEntry => return self.schedule_pause(entry, random_length),
            FaultKind::PartitionZoneFromStore => {
                partition_for(NetworkPartition::ZoneFromStore(zone), random_length)
            }
            FaultKind::PartitionZones => partition_for(
                NetworkPartition::Zones(zone, (zone + 1) % self.plan.zones),
                random_length,
            ),
            FaultKind::PartitionInstance => {
                partition_for(NetworkPartition::Instance(entry), random_length)
            }
            FaultKind::PartitionInstanceFromStore => partition_for(
                NetworkPartition::Pair(NetworkNode::Entry(entry), NetworkNode::Store),
                random_length,
            ),
            FaultKind::PartitionMachine => partition_for(
                NetworkPartition::Pair(NetworkNode::Entry(entry), NetworkNode::Target(target)),
                random_length,
            ),
            FaultKind::PartitionPeers => partition_for(
                NetworkPartition::Pair(NetworkNode::Entry(entry), NetworkNode::Entry(other)),
                random_length,
            ),
            FaultKind::StoreDown => partition_for(NetworkPartition::Store, Duration::from_secs(20)),
            FaultKind::SilentExecutor => {
                partition_for(NetworkPartition::Silent(entry, target), random_length)
            }
            FaultKind::StoreSlow => {
                let delay = Duration::from_millis(self.rng.random_range(300..6_000));
                (FaultStep::StoreDelay(delay), random_length, FaultStep::StoreDelay(Duration::ZERO))
            }
            FaultKind::LoseStoreAnswers => {
                (FaultStep::StoreAnswerLoss(0.4), random_length, FaultStep::StoreAnswerLoss(0.0))
            }
            FaultKind::KillMachine => {
                let length = random_length + Duration::from_secs(2);
                (FaultStep::MachineDown(target), length, FaultStep::MachineUp(target))
            }
            FaultKind::MachineLeaves => return self.schedule_departure(target),
            FaultKind::LoseStoreThenPeers => return self.schedule_isolation(entry),
            FaultKind::ListLag => (
                FaultStep::ListLag(Duration::from_secs(10)),
                random_length,
                FaultStep::ListLag(LIST_LAG),
            ),
        };
        self.queue.push(self.now, Action::ApplyFault(begin));
        self.queue.push(self.now + length, Action::ApplyFault(end));
    }

    fn schedule_pause(&mut self, entry: EntryIndex, length: Duration) {
        let Some(start) = self.start_of(entry) else {
            return;
        };
        self.queue.push(self.now, Action::ApplyFault(FaultStep::Pause(entry)));
        self.queue.push(self.now + length, Action::ApplyFault(FaultStep::Resume(entry, start)));
    }

    fn schedule_isolation(&mut self, entry: EntryIndex) {
        let after = |seconds| self.now + Duration::from_secs(seconds);
        let (lost, back) = (after(5), after(11));
        let store = NetworkPartition::Pair(NetworkNode::Entry(entry), NetworkNode::Store);
        self.queue.push(self.now, Action::ApplyFault(FaultStep::Partition(store)));
        self.queue.push(back, Action::ApplyFault(FaultStep::Heal(store)));
        for peer in (0..self.entries.len()).filter(|peer| *peer != entry) {
            let partition =
                NetworkPartition::Pair(NetworkNode::Entry(entry), NetworkNode::Entry(peer));
            self.queue.push(lost, Action::ApplyFault(FaultStep::Partition(partition)));
            self.queue.push(back, Action::ApplyFault(FaultStep::Heal(partition)));
        }
    }

    fn schedule_departure(&mut self, target: TargetIndex) {
        let after = |seconds| self.now + Duration::from_secs(seconds);
        let (down, up) = (after(12), after(18));
        self.queue.push(self.now, Action::ApplyFault(FaultStep::MachineLeaves(target)));
        self.queue.push(down, Action::ApplyFault(FaultStep::MachineDown(target)));
        self.queue.push(up, Action::ApplyFault(FaultStep::MachineUp(target)));
    }

    /// Starts or ends a fault now. After [`Simulation::end_faults`], only the ends of faults have
    /// an effect.
    pub fn apply_fault(&mut self, step: FaultStep) {
        let ends = match &step {
            FaultStep::Start(_)
            | FaultStep::Resume(..)
            | FaultStep::Heal(_)
            | FaultStep::MachineUp(_) => true,
            // A machine that is already leaving still stops.
            FaultStep::MachineDown(target) => self.targets[*target].leaving,
            _ => false,
        };
        if self.faults_ended && !ends {
            return;
        }
        self.record(HistoryEvent::Fault(format!("{step:?}")));
        match step {
            FaultStep::Kill(entry) => self.kill(entry),
            FaultStep::Start(entry) => self.start_entry(entry),
            FaultStep::Pause(entry) => self.pause(entry),
            FaultStep::Resume(entry, start) => self.resume(entry, start),
            FaultStep::Drain(entry) => self.drain(entry),
            FaultStep::Partition(partition) => {
                if let NetworkPartition::Instance(entry) = partition {
                    self.record(HistoryEvent::InstanceIsolated(entry));
                }
                self.network.partition(partition);
            }
            FaultStep::Heal(partition) => self.network.heal(partition),
            FaultStep::StoreAnswerLoss(share) => self.store_answer_loss = share,
            FaultStep::StoreDelay(delay) => self.store_delay = delay,
            FaultStep::ListLag(lag) => self.list_lag = lag,
            FaultStep::MachineDown(target) => self.stop_target(target),
            FaultStep::MachineUp(target) => self.start_target(target),
            FaultStep::MachineLeaves(target) => self.leave_target(target),
            FaultStep::FailAll(target, fail) => {
                self.targets[target].worker.set_fail_all(fail);
                self.targets[target].executor.set_fail_all(fail);
            }
        }
    }

    /// Ends all faults and the changes of profiles, and restarts what is down.
    pub fn end_faults(&mut self) {
        self.faults_ended = true;
        self.history.faults_ended_at = self.now;
        self.network.recover();
        self.store_answer_loss = 0.0;
        self.store_delay = Duration::ZERO;
        self.list_lag = LIST_LAG;
        for target in 0..self.targets.len() {
            // A leaving machine first stops, and starts again once the list has removed it.
            if !self.targets[target].leaving {
                self.start_target(target);
            }
            self.targets[target].worker.set_fail_all(false);
            self.targets[target].executor.set_fail_all(false);
        }
        for entry in 0..self.entries.len() {
            match self.start_of(entry) {
                Some(start) => self.resume(entry, start),
                None => self.start_entry(entry),
            }
        }
        self.record(HistoryEvent::Fault(ALL_FAULTS_ENDED.to_owned()));
    }

    fn kill(&mut self, entry: EntryIndex) {
        let Some(start) = self.start_of(entry) else {
            return;
        };
        self.record(HistoryEvent::ProcessKilled((entry, start)));
        self.end_process(entry);
    }

    /// Ends a process that has finished its drain.
    pub(super) fn exit(&mut self, entry: EntryIndex, start: StartNumber) {
        let Some(process) = self.entries[entry].process.as_ref() else {
            return;
        };
        let waits = |origin: &&ReplyOrigin| {
            matches!(origin, ReplyOrigin::Caller { .. } | ReplyOrigin::Peer(_))
        };
        let waiting: Vec<_> = process.replies.values().filter(waits).collect();
        let unanswered = waiting.len();
        if unanswered > 0 {
            let text = format!("unanswered requests at the exit: {waiting:?}");
            self.record(HistoryEvent::Logged { process: (entry, start), text });
        }
        self.record(HistoryEvent::ProcessExited { process: (entry, start), unanswered });
        self.end_process(entry);
        if self.faults_ended {
            self.start_entry(entry);
        }
    }

    fn end_process(&mut self, entry: EntryIndex) {
        let Some(process) = self.entries[entry].process.take() else {
            return;
        };
        self.entries[entry].down_since = Some(self.now);
        for origin in process.replies.into_values() {
            self.end_lost_reply(entry, origin);
        }
        for action in process.deferred {
            if let Action::DeliverRequest(_, _, origin, _) = action {
                self.end_lost_reply(entry, origin);
            }
        }
    }

    fn pause(&mut self, entry: EntryIndex) {
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        process.paused = true;
        let id = (entry, process.start);
        self.record(HistoryEvent::ProcessPaused(id));
    }

    fn resume(&mut self, entry: EntryIndex, start: StartNumber) {
        let process = self.entries[entry].process.as_mut();
        let Some(process) = process.filter(|process| process.start == start && process.paused)
        else {
            return;
        };
        process.paused = false;
        let mut deferred = std::mem::take(&mut process.deferred);
        // The threads of a resumed process run in any order; a write may precede the first tick.
        if self.rng.random_bool(0.5) {
            deferred.sort_by_key(|action| !matches!(action, Action::WriteRequest(..)));
        }
        for action in deferred {
            self.queue.push(self.now, action);
        }
        self.record(HistoryEvent::ProcessResumed((entry, start)));
    }

    fn drain(&mut self, entry: EntryIndex) {
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        if std::mem::replace(&mut process.draining, true) {
            return;
        }
        let start = process.start;
        self.record(HistoryEvent::DrainStarted((entry, start)));
        self.queue.push(self.now, Action::DeliverEvent(entry, start, EntryEvent::DrainRequested));
    }
}

fn partition_for(
    partition: NetworkPartition,
    length: Duration,
) -> (FaultStep, Duration, FaultStep) {
    (FaultStep::Partition(partition), length, FaultStep::Heal(partition))
}
