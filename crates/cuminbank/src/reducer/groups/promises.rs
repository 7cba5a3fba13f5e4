//! Heartbeats between peers, and promises, by which electors extend the authority of owners while
//! the store is unavailable.

use std::{net::SocketAddr, time::Duration};

use crate::{
    effect::EntryEffect,
    ids::{GroupIndex, MonotonicTime, OwnerEpoch},
    message::{PeerDatagram, PeerHeartbeat, PeerIdentity},
    reducer::{calls::CallPart, config::ConfigPart, step::StepContext},
};

use super::GroupPart;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the set of live peers must be unchanged before it becomes the electorate.
const STABLE_PEERS_TIME: Duration = Duration::from_secs(2);
/// Time without a heartbeat from a peer after which none are sent to it any more, unless its
/// address is in the settings.
const HEARTBEAT_RETENTION: Duration = Duration::from_secs(60);

/// Live peers of the zone. Once they are stable, they become the next electorate.
#[derive(Debug, Default)]
pub(super) struct ElectorCandidates {
    pub(super) members: Vec<PeerIdentity>,
    changed: MonotonicTime,
}

impl ElectorCandidates {
    pub(super) fn is_stable(&self, now: MonotonicTime) -> bool {
        now >= self.changed + STABLE_PEERS_TIME
    }
}

impl GroupPart {
    /// Updates the elector candidates. At each heartbeat interval, sends heartbeats and requests
    /// promises.
    pub(super) fn tick_peers(
        &mut self,
        step: &mut StepContext,
        config: &ConfigPart,
        calls: &CallPart,
    ) {
        let now = step.now();
        let serving = self.peers.available(&self.zone, now);
        let members: Vec<_> = serving.map(|peer| peer.heartbeat.from.clone()).collect();
        if members != self.candidates.members {
            self.candidates = ElectorCandidates { members, changed: now };
        }
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.peers.remove_expired(now);
        self.send_heartbeats(step, config, calls);
        for group in self.table.owned_groups() {
            self.request_promises(step, group);
        }
    }

    fn send_heartbeats(&mut self, step: &mut StepContext, config: &ConfigPart, calls: &CallPart) {
        let now = step.now();
        let announce = |group: GroupIndex| {
            let wait = calls.expected_wait(group, now).as_millis();
            let wait = u32::try_from(wait).unwrap_or(u32::MAX);
            self.epoch(group).map(|epoch| (group, epoch, wait))
        };
        let heartbeat = PeerHeartbeat {
            from: self.identity.clone(),
            zone: self.zone.clone(),
            address: self.peer_address,
            groups: self.owned(now).into_iter().filter_map(announce).collect(),
            config_revision: config.revision(),
            config_checksum: config.checksum(),
            draining: self.drain.is_some(),
        };
        for to in self.heartbeat_receivers(now) {
            let datagram = PeerDatagram::Heartbeat(heartbeat.clone());
            step.push(EntryEffect::SendDatagram { to, datagram });
        }
    }

    fn heartbeat_receivers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let recent = self.peers.all().filter(|peer| now < peer.last_heard + HEARTBEAT_RETENTION);
        let mut addresses: Vec<_> = recent.map(|peer| peer.heartbeat.address).collect();
        addresses.extend(&self.known_addresses);
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.peer_address);
        addresses
    }

    /// Requests promises from the electors and from the peers that may become electors.
    fn request_promises(&mut self, step: &mut StepContext, group: GroupIndex) {
        let mut electors = self.table.electors(group);
        electors.extend(self.candidates.members.iter().cloned());
        electors.sort_unstable();
        electors.dedup();
        let peers = self.peers.all().filter(|peer| electors.contains(&peer.heartbeat.from));
        let addresses: Vec<_> = peers.map(|peer| peer.heartbeat.address).collect();
        if addresses.is_empty() {
            return;
        }
        let Some((epoch, sequence)) = self.table.begin_promise_request(group, step.now()) else {
            return;
        };
        for to in addresses {
            let from = self.identity.clone();
            let datagram = PeerDatagram::PromiseRequest { from, group, epoch, sequence };
            step.push(EntryEffect::SendDatagram { to, datagram });
        }
    }

    /// Handles a heartbeat, a promise request or a promise from a peer.
    pub fn on_datagram(
        &mut self,
        step: &mut StepContext,
        _config: &ConfigPart,
        from: SocketAddr,
        datagram: PeerDatagram,
    ) {
        match datagram {
            PeerDatagram::Heartbeat(heartbeat) => self.on_heartbeat(step, heartbeat),
            PeerDatagram::PromiseRequest { from: owner, group, epoch, sequence } => {
                if group >= self.groups_per_zone || owner == self.identity {
                    return;
                }
                self.observe_epoch(step, group, epoch);
                if !self.fixed_authority.contains_key(&group)
                    && self.table.on_promise_request(group, epoch, step.now())
                {
                    let elector = self.identity.clone();
                    let datagram =
                        PeerDatagram::PromiseGrant { from: elector, group, epoch, sequence };
                    step.push(EntryEffect::SendDatagram { to: from, datagram });
                }
            }
            PeerDatagram::PromiseGrant { from: elector, group, epoch, sequence } => {
                self.table.on_promise_grant(group, &elector, epoch, sequence, step.now());
            }
        }
    }

    fn on_heartbeat(&mut self, step: &mut StepContext, heartbeat: PeerHeartbeat) {
        if heartbeat.from.instance == self.identity.instance {
            return;
        }
        let groups = heartbeat.groups.clone();
        let same_zone = heartbeat.zone == self.zone;
        if !self.peers.record_heartbeat(heartbeat, step.now()) || !same_zone {
            return;
        }
        for (group, epoch, _) in groups {
            if group < self.groups_per_zone {
                self.observe_epoch(step, group, epoch);
            }
        }
    }

    /// Handles an epoch that a peer announces. If it is later than the own epoch, the ownership
    /// ends.
    fn observe_epoch(&mut self, step: &mut StepContext, group: GroupIndex, epoch: OwnerEpoch) {
        if self.table.record_epoch(group, epoch) {
            self.lose_group(step, group);
        }
    }
}
