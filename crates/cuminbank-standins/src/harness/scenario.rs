//! Queries and commands of a simulation for scripted scenarios.

use std::time::Duration;

use cuminbank::{
    effect::EntryEffect,
    event::{EntryEvent, StateQuery},
};

use super::{
    checks::{check_all, Violation},
    history::HistoryEvent,
    hosts::{entry_name, ZONE_NAMES},
    queue::EntryIndex,
    simulation::Simulation,
};

impl Simulation {
    /// Advances the simulation by a length of virtual time.
    pub fn run_for(&mut self, length: Duration) {
        self.run_until(self.now + length);
    }

    /// Returns the name of each entry instance and whether it was ready at the latest sample;
    /// `None` if it does not run.
    pub fn readiness(&self) -> Vec<(String, Option<bool>)> {
        let ready = |index: usize| {
            let host = &self.entries[index];
            (entry_name(&self.plan, index), host.process.as_ref().map(|_| host.ready))
        };
        (0..self.entries.len()).map(ready).collect()
    }

    /// Resumes a paused entry instance.
    pub fn resume_entry(&mut self, entry: EntryIndex) {
        if let Some(start) = self.start_of(entry) {
            self.apply_fault(super::faults::FaultStep::Resume(entry, start));
        }
    }

    /// Returns each target group with the entry instances that have the authority to act for it.
    pub fn owners(&mut self) -> Vec<(String, Vec<String>)> {
        let groups = self.plan.groups;
        let zones = ZONE_NAMES.iter().take(self.plan.zones);
        let names = zones.flat_map(|zone| (0..groups).map(move |group| format!("{zone}/{group}")));
        let mut owners: Vec<_> = names.map(|name| (name, Vec::new())).collect();
        for entry in 0..self.entries.len() {
            for group in self.owned_groups(entry) {
                let index = self.entries[entry].zone * usize::from(groups) + group;
                owners[index].1.push(entry_name(&self.plan, entry));
            }
        }
        owners
    }

    fn owned_groups(&mut self, entry: EntryIndex) -> Vec<usize> {
        let now = self.now;
        let running = self.entries[entry].process.as_mut().filter(|process| !process.paused);
        let Some(process) = running else {
            return Vec::new();
        };
        let (start, local) = (process.start, process.local_time(now));
        let event = EntryEvent::StateRequested { reply: u64::MAX, query: StateQuery::Status };
        let effects = process.reducer.apply(local, event);
        let answer = effects.iter().find_map(|effect| match effect {
            EntryEffect::Answer { answer, .. } => Some(answer.body.clone()),
            _ => None,
        });
        for effect in effects {
            self.execute_effect(entry, start, effect);
        }
        let status: serde_json::Value =
            serde_json::from_slice(&answer.unwrap_or_default()).unwrap_or_default();
        let groups = status["groups"]["groups"].as_array().cloned().unwrap_or_default();
        let owned = groups.iter().filter(|group| !group["right_left_ms"].is_null());
        owned.filter_map(|group| group["group"].as_u64()).map(|group| group as usize).collect()
    }

    /// Returns the latest sampled revision of a profile for each running instance that has one.
    pub fn revisions(&self, profile: &str) -> Vec<(String, i64)> {
        let shown = |entry: EntryIndex| {
            let start = self.start_of(entry)?;
            let last =
                self.history.entries.iter().rev().find_map(|recorded| match &recorded.event {
                    HistoryEvent::ConfigSampled { process, revisions, .. }
                        if *process == (entry, start) =>
                    {
                        Some(revisions)
                    }
                    _ => None,
                })?;
            let revision = last.iter().find(|(name, _)| name == profile)?.1;
            Some((entry_name(&self.plan, entry), revision))
        };
        (0..self.entries.len()).filter_map(shown).collect()
    }

    /// Checks the history recorded so far and returns the violations.
    pub fn check_now(&mut self) -> Vec<Violation> {
        self.history.end = self.now;
        check_all(&self.history)
    }

    /// Returns the index of a machine, given its zone and its index within the zone.
    pub fn machine(&self, zone: usize, place: usize) -> usize {
        place * self.plan.zones + zone
    }
}
