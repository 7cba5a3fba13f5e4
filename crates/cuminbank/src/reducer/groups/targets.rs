//! Targets of the zone, from the platform's list and from the results of exchanges.

use std::{collections::HashSet, time::Duration};

use crate::{
    effect::EntryEffect,
    event::{ExchangeError, ListedInstance, ListedRole},
    ids::MonotonicTime,
    log::{TARGET_LEAVING, TARGET_RECOVERED, TARGET_SUSPECT},
    membership::{TargetEntry, TargetState},
    reducer::step::{StepContext, TargetObservation},
};

use super::{GroupChange, GroupPart};

const LIST_INTERVAL: Duration = Duration::from_secs(1);
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of consecutive fetched lists that must lack a target for it to count as ended.
const ABSENT_LISTS: u32 = 3;
/// Number of consecutive unanswered exchanges after which a target is suspect.
const SILENT_EXCHANGES: u32 = 3;

/// Schedule of the list fetches.
#[derive(Debug, Default)]
pub(super) struct ListSchedule {
    next_at: MonotonicTime,
    fetching_since: Option<MonotonicTime>,
}

impl GroupPart {
    pub(super) fn fetch_list_if_due(&mut self, step: &mut StepContext) {
        let now = step.now();
        let schedule = &mut self.schedule;
        if schedule.fetching_since.is_some_and(|since| now < since + LIST_TIMEOUT) {
            return;
        }
        if now < schedule.next_at {
            return;
        }
        schedule.next_at = now + LIST_INTERVAL;
        schedule.fetching_since = Some(now);
        step.push(EntryEffect::FetchList);
    }

    /// Updates the membership from the platform's list; a failed fetch changes nothing.
    pub fn on_list_fetched(
        &mut self,
        step: &mut StepContext,
        result: Result<Vec<ListedInstance>, ExchangeError>,
    ) {
        self.schedule.fetching_since = None;
        let Ok(list) = result else { return };
        let entries = list.iter().filter(|listed| listed.role == ListedRole::Entry);
        let entries = entries.map(|listed| listed.name.clone()).collect();
        self.listing.on_list(entries, step.now());
        let mut seen = HashSet::new();
        for listed in list {
            if listed.zone == self.zone && listed.role != ListedRole::Entry {
                seen.insert(listed.name.clone());
                self.update_listed(step, listed);
            }
        }
        self.remove_absent(&seen);
    }

    fn update_listed(&mut self, step: &mut StepContext, mut listed: ListedInstance) {
        listed.leaving &= step.guards.leaving_excluded;
        let name = listed.name.clone();
        self.absences.remove(&name);
        let entry = TargetEntry::from_listed(listed, self.groups_per_zone);
        let Some((_, known)) = self.targets.by_name(&name) else {
            self.add_target(step, entry);
            return;
        };
        if known.address != entry.address || known.machine != entry.machine {
            self.remove_target(&name);
            self.add_target(step, entry);
            return;
        }
        if entry.state == TargetState::Leaving {
            self.mark_leaving(step, &name);
        } else if known.state == TargetState::Leaving && !self.reported_leaving.contains(&name) {
            // The list no longer shows the target as leaving, but it becomes live only after it
            // answers.
            self.set_target_state(&name, TargetState::Suspect);
        }
        if self.targets.set_listed(&name, entry.role, entry.rack) {
            self.changes.push(GroupChange::TargetChanged { name });
        }
    }

    fn add_target(&mut self, step: &mut StepContext, entry: TargetEntry) {
        let name = entry.name.clone();
        if entry.state == TargetState::Leaving {
            step.log(TARGET_LEAVING, name.clone());
        }
        self.targets.insert(entry);
        self.changes.push(GroupChange::TargetChanged { name });
    }

    fn remove_target(&mut self, name: &str) {
        self.absences.remove(name);
        self.unanswered.remove(name);
        self.reported_leaving.remove(name);
        if let Some(target) = self.targets.remove(name) {
            let change = GroupChange::TargetEnded { name: target.name, group: target.group };
            self.changes.push(change);
        }
    }

    fn remove_absent(&mut self, seen: &HashSet<String>) {
        let names = self.targets.targets.values().map(|target| &target.name);
        let absent: Vec<_> = names.filter(|name| !seen.contains(*name)).cloned().collect();
        for name in absent {
            let absences = self.absences.entry(name.clone()).or_default();
            *absences += 1;
            if *absences >= ABSENT_LISTS {
                self.remove_target(&name);
            }
        }
    }

    /// Updates a target from an exchange that another part observed.
    pub fn observe_target(&mut self, step: &mut StepContext, observation: &TargetObservation) {
        match observation {
            TargetObservation::Answered(name) => self.on_target_answered(step, name),
            TargetObservation::Silent(name) => self.on_target_silent(step, name),
            TargetObservation::Leaving(name) => {
                if self.targets.by_name(name).is_some() {
                    self.reported_leaving.insert(name.clone());
                    self.mark_leaving(step, name);
                }
            }
            // Only the report is dropped. The target stays leaving until the list does not show it
            // as leaving either. If the report stayed, a new target that reuses the name while the
            // list is outdated would never be used.
            TargetObservation::Staying(name) => {
                self.reported_leaving.remove(name);
            }
        }
    }

    fn on_target_answered(&mut self, step: &mut StepContext, name: &str) {
        self.unanswered.remove(name);
        if self.state_of(name) == Some(TargetState::Suspect) {
            self.set_target_state(name, TargetState::Live);
            step.log(TARGET_RECOVERED, name);
        }
    }

    fn on_target_silent(&mut self, step: &mut StepContext, name: &str) {
        let Some(state) = self.state_of(name) else { return };
        let unanswered = self.unanswered.entry(name.to_owned()).or_default();
        *unanswered += 1;
        if *unanswered >= SILENT_EXCHANGES && state == TargetState::Live {
            self.set_target_state(name, TargetState::Suspect);
            step.log(TARGET_SUSPECT, name);
        }
    }

    fn mark_leaving(&mut self, step: &mut StepContext, name: &str) {
        if self.set_target_state(name, TargetState::Leaving) {
            step.log(TARGET_LEAVING, name);
        }
    }

    fn set_target_state(&mut self, name: &str, state: TargetState) -> bool {
        let changed = self.targets.set_state(name, state);
        if changed {
            self.changes.push(GroupChange::TargetChanged { name: name.to_owned() });
        }
        changed
    }

    fn state_of(&self, name: &str) -> Option<TargetState> {
        self.targets.by_name(name).map(|(_, target)| target.state)
    }
}
