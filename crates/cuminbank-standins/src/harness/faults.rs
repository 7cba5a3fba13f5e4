//! Faults: drawn at random, or begun one by one by a scenario.

use std::time::Duration;

use cuminbank::{event::EntryEvent, ids::StartNumber};
use rand::Rng;

use super::{
    history::HistoryEvent,
    network::{Cut, Party},
    queue::{Action, EntryIndex, ReplyOrigin, TargetIndex},
    world::{World, LIST_LAG},
};

/// Kind of a random fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// An entry instance dies and is restarted.
    KillEntry,
    /// An entry instance is paused.
    PauseEntry,
    /// An entry instance makes a planned stop and is restarted.
    DrainEntry,
    /// A zone is cut off from the store.
    CutZoneFromStore,
    /// Two zones are cut off from each other.
    CutZones,
    /// An entry instance is cut off from everything.
    CutInstance,
    /// An entry instance is cut off from the store.
    CutInstanceFromStore,
    /// An entry instance is cut off from the store, and 5 s later from its peers too.
    LoseStoreThenPeers,
    /// An entry instance is cut off from one machine.
    CutMachine,
    /// Two entry instances are cut off from each other.
    CutPeers,
    /// The store is down for 20 s.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// Answers of the store are lost.
    LoseStoreAnswers,
    /// A machine dies and is restarted.
    KillMachine,
    /// A machine leaves, ends and comes back.
    LeaveMachine,
    /// The platform's list lags by 10 s.
    ListLag,
    /// Connections to an executor go silent.
    SilentExecutor,
}

/// Begin or end of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultStep {
    /// A process dies.
    Kill(EntryIndex),
    /// An entry instance is started.
    Start(EntryIndex),
    /// A process stops handling events.
    Pause(EntryIndex),
    /// A paused process goes on.
    Resume(EntryIndex, StartNumber),
    /// A planned stop begins.
    Drain(EntryIndex),
    /// A cut begins.
    Cut(Cut),
    /// A cut ends.
    Heal(Cut),
    /// Share of the store's answers that are lost.
    StoreAnswerLoss(f64),
    /// Time that a request takes to the store.
    StoreDelay(Duration),
    /// Lag of the platform's list.
    ListLag(Duration),
    /// A machine dies.
    MachineDown(TargetIndex),
    /// A machine comes back.
    MachineUp(TargetIndex),
    /// A machine is leaving.
    MachineLeaves(TargetIndex),
    /// A worker and an executor fail everything, or stop doing so.
    FailAll(TargetIndex, bool),
}

impl World {
    pub(super) fn draw_fault(&mut self) {
        if self.quiet {
            return;
        }
        let every = self.plan.faults.every;
        let next = every.mul_f64(self.rng.random_range(0.2..1.8));
        self.queue.push(self.now + next, Action::DrawFault);
        let kinds = &self.plan.faults.kinds;
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let entry = self.rng.random_range(0..self.entries.len());
        let other = self.rng.random_range(0..self.entries.len());
        let target = self.rng.random_range(0..self.targets.len());
        let zone = self.rng.random_range(0..self.plan.zones);
        let short = Duration::from_millis(self.rng.random_range(200..12_000));
        let (begin, length, end) = match kind {
            FaultKind::KillEntry => (FaultStep::Kill(entry), short, FaultStep::Start(entry)),
            FaultKind::DrainEntry => {
                (FaultStep::Drain(entry), Duration::from_secs(33), FaultStep::Start(entry))
            }
            FaultKind::PauseEntry => return self.pause_for(entry, short),
            FaultKind::CutZoneFromStore => cut_for(Cut::ZoneFromStore(zone), short),
            FaultKind::CutZones => cut_for(Cut::Zones(zone, (zone + 1) % self.plan.zones), short),
            FaultKind::CutInstance => cut_for(Cut::Instance(entry), short),
            FaultKind::CutInstanceFromStore => {
                cut_for(Cut::Pair(Party::Entry(entry), Party::Store), short)
            }
            FaultKind::CutMachine => {
                cut_for(Cut::Pair(Party::Entry(entry), Party::Target(target)), short)
            }
            FaultKind::CutPeers => {
                cut_for(Cut::Pair(Party::Entry(entry), Party::Entry(other)), short)
            }
            FaultKind::StoreDown => cut_for(Cut::Store, Duration::from_secs(20)),
            FaultKind::SilentExecutor => cut_for(Cut::Silent(entry, target), short),
            FaultKind::StoreSlow => {
                let delay = Duration::from_millis(self.rng.random_range(300..6_000));
                (FaultStep::StoreDelay(delay), short, FaultStep::StoreDelay(Duration::ZERO))
            }
            FaultKind::LoseStoreAnswers => {
                (FaultStep::StoreAnswerLoss(0.4), short, FaultStep::StoreAnswerLoss(0.0))
            }
            FaultKind::KillMachine => {
                let length = short + Duration::from_secs(2);
                (FaultStep::MachineDown(target), length, FaultStep::MachineUp(target))
            }
            FaultKind::LeaveMachine => return self.leave_for(target),
            FaultKind::LoseStoreThenPeers => return self.lose_store_then_peers(entry),
            FaultKind::ListLag => {
                (FaultStep::ListLag(Duration::from_secs(10)), short, FaultStep::ListLag(LIST_LAG))
            }
        };
        self.queue.push(self.now, Action::Fault(begin));
        self.queue.push(self.now + length, Action::Fault(end));
    }

    fn pause_for(&mut self, entry: EntryIndex, length: Duration) {
        let Some(start) = self.start_of(entry) else {
            return;
        };
        self.queue.push(self.now, Action::Fault(FaultStep::Pause(entry)));
        self.queue.push(self.now + length, Action::Fault(FaultStep::Resume(entry, start)));
    }

    fn lose_store_then_peers(&mut self, entry: EntryIndex) {
        let after = |seconds| self.now + Duration::from_secs(seconds);
        let (lost, back) = (after(5), after(11));
        let store = Cut::Pair(Party::Entry(entry), Party::Store);
        self.queue.push(self.now, Action::Fault(FaultStep::Cut(store)));
        self.queue.push(back, Action::Fault(FaultStep::Heal(store)));
        for peer in (0..self.entries.len()).filter(|peer| *peer != entry) {
            let cut = Cut::Pair(Party::Entry(entry), Party::Entry(peer));
            self.queue.push(lost, Action::Fault(FaultStep::Cut(cut)));
            self.queue.push(back, Action::Fault(FaultStep::Heal(cut)));
        }
    }

    fn leave_for(&mut self, target: TargetIndex) {
        let after = |seconds| self.now + Duration::from_secs(seconds);
        let (down, up) = (after(12), after(18));
        self.queue.push(self.now, Action::Fault(FaultStep::MachineLeaves(target)));
        self.queue.push(down, Action::Fault(FaultStep::MachineDown(target)));
        self.queue.push(up, Action::Fault(FaultStep::MachineUp(target)));
    }

    /// Begins or ends a fault now.
    pub fn carry_out_fault(&mut self, step: FaultStep) {
        let ends = match &step {
            FaultStep::Start(_)
            | FaultStep::Resume(..)
            | FaultStep::Heal(_)
            | FaultStep::MachineUp(_) => true,
            // A departure that has begun goes on to its end.
            FaultStep::MachineDown(target) => self.targets[*target].leaving,
            _ => false,
        };
        if self.quiet && !ends {
            return;
        }
        self.record(HistoryEvent::Fault(format!("{step:?}")));
        match step {
            FaultStep::Kill(entry) => self.kill(entry),
            FaultStep::Start(entry) => self.start_entry(entry),
            FaultStep::Pause(entry) => self.pause(entry),
            FaultStep::Resume(entry, start) => self.resume(entry, start),
            FaultStep::Drain(entry) => self.drain(entry),
            FaultStep::Cut(cut) => {
                if let Cut::Instance(entry) = cut {
                    self.record(HistoryEvent::CutOff(entry));
                }
                self.network.cut(cut);
            }
            FaultStep::Heal(cut) => self.network.heal(cut),
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

    /// Ends all faults and the load.
    pub fn end_faults(&mut self) {
        self.quiet = true;
        self.history.quiet_from = self.now;
        self.network.recover();
        self.store_answer_loss = 0.0;
        self.store_delay = Duration::ZERO;
        self.list_lag = LIST_LAG;
        for target in 0..self.targets.len() {
            // A machine that leaves ends first, and comes back once the list has dropped it.
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
        self.record(HistoryEvent::Fault("all faults end".to_owned()));
    }

    fn kill(&mut self, entry: EntryIndex) {
        let Some(start) = self.start_of(entry) else {
            return;
        };
        self.record(HistoryEvent::ProcessKilled((entry, start)));
        self.end_process(entry);
    }

    /// Ends a process after its planned stop.
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
            let text = format!("unanswered at the exit: {waiting:?}");
            self.record(HistoryEvent::Logged { process: (entry, start), text });
        }
        self.record(HistoryEvent::ProcessExited { process: (entry, start), unanswered });
        self.end_process(entry);
        if self.quiet {
            self.start_entry(entry);
        }
    }

    fn end_process(&mut self, entry: EntryIndex) {
        let Some(process) = self.entries[entry].process.take() else {
            return;
        };
        self.entries[entry].down_since = Some(self.now);
        for origin in process.replies.into_values() {
            self.lose_reply(entry, origin);
        }
        for action in process.buffer {
            if let Action::Arrive(_, _, origin, _) = action {
                self.lose_reply(entry, origin);
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
        let mut buffer = std::mem::take(&mut process.buffer);
        // The tasks of a process go on in any order; a write may come before the first tick.
        if self.rng.random_bool(0.5) {
            buffer.sort_by_key(|action| !matches!(action, Action::Write(..)));
        }
        for action in buffer {
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
        self.record(HistoryEvent::DrainBegan((entry, start)));
        self.queue.push(self.now, Action::Event(entry, start, EntryEvent::DrainRequested));
    }
}

fn cut_for(cut: Cut, length: Duration) -> (FaultStep, Duration, FaultStep) {
    (FaultStep::Cut(cut), length, FaultStep::Heal(cut))
}
