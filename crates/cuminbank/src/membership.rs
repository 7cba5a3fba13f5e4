//! Tables of targets and peers, built from the platform's list, heartbeats and the observations of
//! this instance.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use slotmap::{new_key_type, SlotMap};

use crate::{
    event::{ListedInstance, ListedRole},
    ids::{
        GroupIndex, InstanceName, MachineName, MonotonicTime, OwnerEpoch, StartNumber, TargetName,
        ZoneName,
    },
    message::{PeerHeartbeat, PeerIdentity},
};

/// A peer is live if its last heartbeat is younger than this.
pub const PEER_LIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer without a heartbeat for this time is silent, and the calls that wait for it fail. This is
/// eight lost heartbeats, and below the limit of 5 s for the detection of silence.
pub const PEER_SILENT_TIMEOUT: Duration = Duration::from_secs(4);
/// A peer without a heartbeat for this time is removed.
const PEER_RETENTION: Duration = Duration::from_secs(600);

new_key_type! {
    /// Key of a target in a [`TargetTable`].
    pub struct TargetKey;
}

/// State of a target, which decides whether it gets new work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum TargetState {
    /// The target answers and gets new work.
    Live,
    /// The target did not answer recently and gets no new work.
    Suspect,
    /// The target is leaving and gets no new work.
    Leaving,
}

/// Target (executor or worker) of the zone.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Name of the target.
    pub name: TargetName,
    /// Role with its capacity.
    pub role: ListedRole,
    /// Address of the target.
    pub address: SocketAddr,
    /// Rack of its machine.
    pub rack: String,
    /// Machine that it runs on.
    pub machine: MachineName,
    /// Group that its machine belongs to.
    pub group: GroupIndex,
    /// State, which decides whether the target gets new work.
    pub state: TargetState,
}

/// Targets of the zone, indexed by key, name and group.
#[derive(Debug, Default)]
pub struct TargetTable {
    /// Targets by key. Add and remove entries only through the methods, which update the indexes.
    pub targets: SlotMap<TargetKey, TargetEntry>,
    names: HashMap<TargetName, TargetKey>,
    groups: HashMap<GroupIndex, Vec<TargetKey>>,
}

impl TargetTable {
    /// Returns the target with a name.
    pub fn by_name(&self, name: &str) -> Option<(TargetKey, &TargetEntry)> {
        let key = *self.names.get(name)?;
        self.targets.get(key).map(|target| (key, target))
    }

    /// Returns the targets of a group.
    pub fn in_group(&self, group: GroupIndex) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        let keys = self.groups.get(&group).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.targets.get(*key).map(|target| (*key, target)))
    }

    /// Adds a target, replacing one with the same name.
    pub fn insert(&mut self, target: TargetEntry) -> TargetKey {
        self.remove(&target.name);
        let (name, group) = (target.name.clone(), target.group);
        let key = self.targets.insert(target);
        self.names.insert(name, key);
        self.groups.entry(group).or_default().push(key);
        key
    }

    /// Removes and returns the target with a name.
    pub fn remove(&mut self, name: &str) -> Option<TargetEntry> {
        let key = self.names.remove(name)?;
        let target = self.targets.remove(key)?;
        if let Some(keys) = self.groups.get_mut(&target.group) {
            keys.retain(|other| *other != key);
        }
        Some(target)
    }

    /// Sets the state of a target. Returns whether it changed; false for an unknown target.
    pub fn set_state(&mut self, name: &str, state: TargetState) -> bool {
        let Some(target) = self.names.get(name).and_then(|key| self.targets.get_mut(*key)) else {
            return false;
        };
        std::mem::replace(&mut target.state, state) != state
    }

    /// Updates the role and rack of a target whose name, address and machine are unchanged in the
    /// list. Returns whether anything changed; false for an unknown target.
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
    /// Creates a target from its entry in the platform's list; `groups` is the number of groups in
    /// the zone.
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

/// Returns the group of a machine. Groups are assigned by machine so that all its targets have the
/// same owner.
///
/// CRC-32 is linear: its low bits alone would put names that differ in one digit into only a few
/// groups. Multiplication by an odd constant mixes all bits into the upper half, which is used.
pub fn group_of_machine(machine: &str, groups: GroupIndex) -> GroupIndex {
    const MIXER: u32 = 0x9e37_79b1;
    let mixed = crc32fast::hash(machine.as_bytes()).wrapping_mul(MIXER) >> 16;
    (mixed % u32::from(groups.max(1))) as GroupIndex
}

/// Peer with its last heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerEntry {
    /// Last heartbeat of the peer.
    pub heartbeat: PeerHeartbeat,
    /// Time at which that heartbeat arrived.
    pub last_heard: MonotonicTime,
    /// Start numbers of earlier processes with this name; their late heartbeats are ignored.
    replaced_starts: Vec<StartNumber>,
}

impl PeerEntry {
    /// Returns whether the last heartbeat is younger than [`PEER_LIVE_TIMEOUT`].
    pub fn is_live(&self, now: MonotonicTime) -> bool {
        now < self.last_heard + PEER_LIVE_TIMEOUT
    }

    fn announced(&self, group: GroupIndex) -> Option<(OwnerEpoch, u32)> {
        let mut groups = self.heartbeat.groups.iter();
        groups.find(|(other, ..)| *other == group).map(|(_, epoch, wait)| (*epoch, *wait))
    }
}

/// Peers by name, with an index of the groups that they announce in their heartbeats.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<InstanceName, PeerEntry>,
    /// Names of the peers that announce each group, by zone.
    announcers: HashMap<ZoneName, BTreeMap<GroupIndex, Vec<InstanceName>>>,
}

impl PeerTable {
    /// Records a heartbeat that arrived at `now`. Returns false and ignores it if the sender is an
    /// earlier process of a restarted instance.
    pub fn record_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: MonotonicTime) -> bool {
        let name = heartbeat.from.instance.clone();
        let mut replaced_starts = Vec::new();
        if let Some(entry) = self.peers.get_mut(&name) {
            let start = entry.heartbeat.from.start;
            replaced_starts = std::mem::take(&mut entry.replaced_starts);
            if replaced_starts.contains(&heartbeat.from.start) {
                entry.replaced_starts = replaced_starts;
                return false;
            }
            if start != heartbeat.from.start {
                replaced_starts.push(start);
            }
        }
        self.remove_announcements(&name);
        let zone = self.announcers.entry(heartbeat.zone.clone()).or_default();
        for (group, ..) in &heartbeat.groups {
            zone.entry(*group).or_default().push(name.clone());
        }
        self.peers.insert(name, PeerEntry { heartbeat, last_heard: now, replaced_starts });
        true
    }

    /// Removes peers without a heartbeat for `PEER_RETENTION`.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        let is_expired = |entry: &PeerEntry| now > entry.last_heard + PEER_RETENTION;
        let names = self.peers.iter().filter(|(_, entry)| is_expired(entry));
        let names: Vec<_> = names.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.remove_announcements(&name);
            self.peers.remove(&name);
        }
    }

    fn remove_announcements(&mut self, name: &str) {
        let Some(entry) = self.peers.get(name) else { return };
        let Some(zone) = self.announcers.get_mut(&entry.heartbeat.zone) else { return };
        for (group, ..) in &entry.heartbeat.groups {
            if let Some(names) = zone.get_mut(group) {
                names.retain(|other| other != name);
            }
        }
    }

    /// Returns all peers, ordered by name.
    pub fn all(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values()
    }

    /// Returns the live peers, ordered by name.
    pub fn live(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerEntry> {
        self.all().filter(move |entry| entry.is_live(now))
    }

    /// Returns the live peers of a zone that are not draining, ordered by name.
    pub fn available<'a>(
        &'a self,
        zone: &'a str,
        now: MonotonicTime,
    ) -> impl Iterator<Item = &'a PeerEntry> {
        self.live(now)
            .filter(move |entry| entry.heartbeat.zone == zone && !entry.heartbeat.draining)
    }

    /// Returns the owner of a group and the expected waiting time of a call there. The owner is the
    /// live peer that announces the group with the highest epoch.
    pub fn owner_of(
        &self,
        zone: &str,
        group: GroupIndex,
        now: MonotonicTime,
    ) -> Option<(&PeerEntry, Duration)> {
        let names = self.announcers.get(zone)?.get(&group)?;
        let entries = names.iter().filter_map(|name| self.peers.get(name));
        let announced = entries
            .filter(|entry| entry.is_live(now))
            .filter_map(|entry| entry.announced(group).map(|(epoch, wait)| (epoch, wait, entry)));
        let (_, wait, entry) = announced.max_by_key(|(epoch, ..)| *epoch)?;
        Some((entry, Duration::from_millis(u64::from(wait))))
    }

    /// Returns the addresses of peers without a heartbeat for [`PEER_SILENT_TIMEOUT`], except those
    /// at which another peer is live.
    pub fn silent(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let silent = |entry: &&PeerEntry| now >= entry.last_heard + PEER_SILENT_TIMEOUT;
        let addresses = self.all().filter(silent).map(|entry| entry.heartbeat.address);
        let replaced =
            |address: &SocketAddr| self.live(now).any(|entry| entry.heartbeat.address == *address);
        addresses.filter(|address| !replaced(address)).collect()
    }

    /// Returns the time of the last heartbeat of the instance of `identity` if another process than
    /// `identity` sent it.
    pub fn other_process_heard(&self, identity: &PeerIdentity) -> Option<MonotonicTime> {
        let entry = self.peers.get(&identity.instance)?;
        Some(entry.last_heard).filter(|_| entry.heartbeat.from.start != identity.start)
    }

    /// Returns whether this process, and not another one of the same instance, is live.
    pub fn is_process_live(&self, identity: &PeerIdentity, now: MonotonicTime) -> bool {
        let entry = self.peers.get(&identity.instance);
        entry.is_some_and(|entry| entry.heartbeat.from == *identity && entry.is_live(now))
    }
}
