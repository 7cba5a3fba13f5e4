//! Targets and peers: own observations and the platform's list.

use std::{collections::HashMap, net::SocketAddr};

use slotmap::{new_key_type, SlotMap};

use crate::{
    event::{ListedInstance, ListedRole},
    ids::{GroupIndex, MachineName, TargetName},
};

new_key_type! {
    /// Key of a target.
    pub struct TargetKey;
}

/// State of a target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TargetState {
    /// Answers and takes new work.
    Live,
    /// Did not answer lately and gets no new work.
    Suspect,
    /// Is leaving and gets no new work.
    Leaving,
}

/// A target of the zone.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Name.
    pub name: TargetName,
    /// Role and size.
    pub role: ListedRole,
    /// Address.
    pub address: SocketAddr,
    /// Rack.
    pub rack: String,
    /// Machine.
    pub machine: MachineName,
    /// Group.
    pub group: GroupIndex,
    /// State.
    pub state: TargetState,
}

/// Targets of the zone by key, by name and by group.
#[derive(Debug, Default)]
pub struct TargetTable {
    /// Targets; entries are added and removed only by the methods, which keep the indexes.
    pub targets: SlotMap<TargetKey, TargetEntry>,
    names: HashMap<TargetName, TargetKey>,
    groups: HashMap<GroupIndex, Vec<TargetKey>>,
}

impl TargetTable {
    /// Returns a target by its name.
    pub fn by_name(&self, name: &str) -> Option<(TargetKey, &TargetEntry)> {
        let key = *self.names.get(name)?;
        self.targets.get(key).map(|target| (key, target))
    }

    /// Returns the targets of a group.
    pub fn in_group(&self, group: GroupIndex) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        let keys = self.groups.get(&group).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.targets.get(*key).map(|target| (*key, target)))
    }

    /// Adds a target, replacing one of the same name.
    pub fn insert(&mut self, target: TargetEntry) -> TargetKey {
        self.remove(&target.name);
        let (name, group) = (target.name.clone(), target.group);
        let key = self.targets.insert(target);
        self.names.insert(name, key);
        self.groups.entry(group).or_default().push(key);
        key
    }

    /// Removes a target.
    pub fn remove(&mut self, name: &str) -> Option<TargetEntry> {
        let key = self.names.remove(name)?;
        let target = self.targets.remove(key)?;
        if let Some(keys) = self.groups.get_mut(&target.group) {
            keys.retain(|other| *other != key);
        }
        Some(target)
    }

    /// Sets the state of a target and tells whether it changed.
    pub fn set_state(&mut self, name: &str, state: TargetState) -> bool {
        let Some(target) = self.names.get(name).and_then(|key| self.targets.get_mut(*key)) else {
            return false;
        };
        std::mem::replace(&mut target.state, state) != state
    }

    /// Sets what the list says about a target whose name, address and machine stay the same.
    pub fn set_listed(&mut self, name: &str, role: ListedRole, rack: String) -> bool {
        let Some(target) = self.names.get(name).and_then(|key| self.targets.get_mut(*key)) else {
            return false;
        };
        let changed = target.role != role || target.rack != rack;
        target.role = role;
        target.rack = rack;
        changed
    }
}

impl TargetEntry {
    /// Creates a target from its entry in the list.
    pub fn from_listed(listed: ListedInstance, groups: GroupIndex) -> Self {
        let state = if listed.leaving { TargetState::Leaving } else { TargetState::Live };
        Self {
            group: group_of_machine(&listed.machine, groups),
            name: listed.name,
            role: listed.role,
            address: listed.address,
            rack: listed.rack,
            machine: listed.machine,
            state,
        }
    }
}

/// Returns the group of a machine, so that all targets of a machine share an owner.
pub fn group_of_machine(machine: &str, groups: GroupIndex) -> GroupIndex {
    (crc32fast::hash(machine.as_bytes()) % u32::from(groups.max(1))) as GroupIndex
}
