//! Injection of faults.

use std::time::Duration;

use cuminbank_jobs::keys::CellKeys;

use super::{Action, InjectedFault, SimulatedPool};

impl SimulatedPool {
    pub(super) fn inject(&mut self, fault: InjectedFault) {
        self.trace.push(format!("{:?} {fault:?}", self.now));
        self.note_fault(&fault);
        match fault {
            InjectedFault::KillInstance { instance, down } => self.kill_or_restart(instance, down),
            InjectedFault::StopInstance { instance, down } => {
                let effects = self.instances[instance].ownership.drain(self.now);
                self.execute_ownership_effects(instance, effects);
                self.push(
                    self.now + Duration::from_secs(3),
                    Action::Fault(InjectedFault::KillInstance { instance, down }),
                );
            }
            InjectedFault::FreezeInstance { instance, span } => {
                self.instances[instance].frozen_until = self.now + span;
            }
            InjectedFault::CutFromStore { instance, span } => {
                self.instances[instance].store_cut_until = self.now + span;
            }
            InjectedFault::RevokeOwner => self.store.remove(&CellKeys::new(0).owner),
            InjectedFault::CutFromExecutors { instance, executors, span } => {
                let until = self.now + span;
                let cut = &mut self.instances[instance].executors_cut;
                cut.extend(executors.into_iter().map(|executor| (executor, until)));
            }
            InjectedFault::CutOffExecutor { executor, span } => {
                let until = self.now + span;
                for instance in &mut self.instances {
                    instance.executors_cut.insert(executor, until);
                }
                self.silent_since[executor].get_or_insert(self.now);
                self.push(until, Action::Fault(InjectedFault::RelistExecutor { executor }));
            }
            InjectedFault::RelistExecutor { executor } => {
                if self.executors[executor].up {
                    self.silent_since[executor] = None;
                }
            }
            // Crashes an executor that is up, and restarts one that is down unless it has left.
            InjectedFault::CrashExecutor { executor, down } => {
                match (self.executors[executor].up, down) {
                    (false, _) if !self.removed_executors.contains(&executor) => {
                        self.executors[executor].restart(self.now);
                        self.checked_end_numbers[executor] = 0;
                        self.silent_since[executor] = None;
                    }
                    (false, _) => {}
                    (true, down) => {
                        self.executors[executor].crash(self.now);
                        self.silent_since[executor] = Some(self.now);
                        match down {
                            Some(down) => self.push(
                                self.now + down,
                                Action::Fault(InjectedFault::CrashExecutor {
                                    executor,
                                    down: None,
                                }),
                            ),
                            None => {
                                self.removed_executors.insert(executor);
                            }
                        }
                    }
                }
            }
            InjectedFault::EvacuateZone { zone, span } => {
                self.evacuations.insert(zone.clone(), self.now);
                let reopen = InjectedFault::ReopenZone { zone };
                self.push(self.now + span, Action::Fault(reopen));
            }
            InjectedFault::ReopenZone { zone } => {
                self.evacuations.remove(&zone);
            }
            InjectedFault::DrainExecutor { executor } => {
                self.executors[executor].draining = true;
                self.push(
                    self.now + Duration::from_secs(4),
                    Action::Fault(InjectedFault::RemoveExecutor { executor }),
                );
            }
            InjectedFault::RemoveExecutor { executor } => {
                if self.removed_executors.insert(executor) && self.executors[executor].up {
                    self.executors[executor].crash(self.now);
                    self.silent_since[executor] = Some(self.now);
                }
            }
            InjectedFault::JoinExecutor { executor } => {
                if self.removed_executors.remove(&executor) {
                    self.executors[executor].restart(self.now);
                    self.silent_since[executor] = None;
                }
            }
            InjectedFault::FailStarts { executor, span, how } => {
                self.starts_fail_until.insert(executor, (self.now + span, how));
            }
        }
    }

    /// Kills a process that is up and schedules its restart. Restarts a process that is down.
    pub(super) fn kill_or_restart(&mut self, number: usize, down: Duration) {
        if self.instances[number].up {
            self.instances[number].up = false;
            self.instances[number].scheduler = None;
            let again = InjectedFault::KillInstance { instance: number, down: Duration::ZERO };
            return self.push(self.now + down, Action::Fault(again));
        }
        let name = self.instances[number].name.clone();
        let cut = std::mem::take(&mut self.instances[number].executors_cut);
        let store_cut = self.instances[number].store_cut_until;
        self.instances[number] = self.new_instance(&name);
        self.instances[number].executors_cut = cut;
        self.instances[number].store_cut_until = store_cut;
    }
}
