//! Targets and peers: own observations and the platform's list.

use std::net::SocketAddr;

use slotmap::{new_key_type, SlotMap};

use crate::{
    event::ListedRole,
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

/// Targets of the zone by key and by name.
#[derive(Debug, Default)]
pub struct TargetTable {
    /// Targets.
    pub targets: SlotMap<TargetKey, TargetEntry>,
}

impl TargetTable {
    /// Returns a target by its name.
    pub fn by_name(&self, name: &str) -> Option<(TargetKey, &TargetEntry)> {
        self.targets.iter().find(|(_, target)| target.name == name)
    }

    /// Returns the targets of a group.
    pub fn in_group(&self, group: GroupIndex) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        self.targets.iter().filter(move |(_, target)| target.group == group)
    }
}

/// Returns the group of a machine, so that all targets of a machine share an owner.
pub fn group_of_machine(machine: &str, groups: GroupIndex) -> GroupIndex {
    (crc32fast::hash(machine.as_bytes()) % u32::from(groups.max(1))) as GroupIndex
}
