//! Faults of the world.

use std::time::Duration;

use cuminbank_jobs::keys::CellKeys;

use super::{Action, FakeWorld, WorldFault};

impl FakeWorld {
    pub(super) fn inject(&mut self, fault: WorldFault) {
        self.trace.push(format!("{:?} {fault:?}", self.now));
        match fault {
            WorldFault::KillInstance { instance, down } => self.restart(instance, down),
            WorldFault::StopInstance { instance, down } => {
                let effects = self.instances[instance].ownership.drain(self.now);
                self.carry_out_ownership(instance, effects);
                self.push(
                    self.now + Duration::from_secs(3),
                    Action::Fault(WorldFault::KillInstance { instance, down }),
                );
            }
            WorldFault::FreezeInstance { instance, span } => {
                self.instances[instance].frozen_until = self.now + span;
            }
            WorldFault::CutFromStore { instance, span } => {
                self.instances[instance].store_cut_until = self.now + span;
            }
            WorldFault::RevokeOwner => self.store.remove(&CellKeys::new(0).owner),
            WorldFault::CutFromExecutors { instance, executors, span } => {
                let until = self.now + span;
                let cut = &mut self.instances[instance].executors_cut;
                cut.extend(executors.into_iter().map(|executor| (executor, until)));
            }
            WorldFault::CrashExecutor { executor, down } => {
                match (self.executors[executor].up, down) {
                    (false, _) if !self.gone.contains(&executor) => {
                        self.executors[executor].restart(self.now);
                        self.checked[executor] = 0;
                        self.silent_since[executor] = None;
                    }
                    (false, _) => {}
                    (true, down) => {
                        self.executors[executor].crash();
                        self.silent_since[executor] = Some(self.now);
                        match down {
                            Some(down) => self.push(
                                self.now + down,
                                Action::Fault(WorldFault::CrashExecutor { executor, down: None }),
                            ),
                            None => {
                                self.gone.insert(executor);
                            }
                        }
                    }
                }
            }
            WorldFault::DrainExecutor { executor } => {
                self.executors[executor].draining = true;
                self.push(
                    self.now + Duration::from_secs(4),
                    Action::Fault(WorldFault::CrashExecutor { executor, down: None }),
                );
            }
        }
    }

    pub(super) fn restart(&mut self, number: usize, down: Duration) {
        if self.instances[number].up {
            self.instances[number].up = false;
            self.instances[number].scheduler = None;
            let again = WorldFault::KillInstance { instance: number, down: Duration::ZERO };
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
