//! Status of groups, targets and peers for operators.

use serde_json::{json, Value};

use crate::{ids::MonotonicTime, membership::TargetState};

use super::GroupPart;

impl GroupPart {
    /// Returns the status of groups, targets and peers as JSON.
    pub fn status(&self, now: MonotonicTime) -> Value {
        json!({
            "instance": self.identity,
            "zone": self.zone,
            "draining": self.drain.is_some(),
            "store_reachable": !self.store.is_down(),
            "groups": self.group_status(now),
            "targets": self.target_status(),
            "peers": self.peer_status(now),
        })
    }

    fn group_status(&self, now: MonotonicTime) -> Vec<Value> {
        let shown = (0..self.groups_per_zone).map(|group| {
            let authority = self.authority_until(group, now).map(|until| (until - now).as_millis() as u64);
            let peer = self.peers.owner_of(&self.zone, group, now).map(|(peer, _)| peer);
            let peer_name = peer.map(|peer| peer.heartbeat.from.instance.clone());
            let own = self.epoch(group);
            let announced = peer
                .and_then(|peer| peer.heartbeat.groups.iter().find(|(other, ..)| *other == group));
            json!({
                "group": group,
                "owner": if own.is_some() { Some(self.identity.instance.clone()) } else { peer_name },
                "epoch": own.or(announced.map(|(_, epoch, _)| *epoch)),
                "right_left_ms": authority,
                "electorate": self.table.electorate(group),
                "write_undecided": self.table.is_writing(group),
                "being_released": self.releases.contains_key(&group),
            })
        });
        shown.collect()
    }

    fn target_status(&self) -> Vec<Value> {
        let mut targets: Vec<_> = self.targets.targets.values().collect();
        targets.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        let shown = targets.into_iter().map(|target| {
            let state = match target.state {
                TargetState::Live => "live",
                TargetState::Suspect => "suspect",
                TargetState::Leaving => "leaving",
            };
            json!({
                "name": target.name,
                "role": target.role,
                "address": target.address,
                "machine": target.machine,
                "group": target.group,
                "state": state,
            })
        });
        shown.collect()
    }

    fn peer_status(&self, now: MonotonicTime) -> Vec<Value> {
        let shown = self.peers.all().map(|peer| {
            json!({
                "name": peer.heartbeat.from.instance,
                "zone": peer.heartbeat.zone,
                "address": peer.heartbeat.address,
                "groups": peer.heartbeat.groups.iter().map(|(group, ..)| *group).collect::<Vec<_>>(),
                "draining": peer.heartbeat.draining,
                "live": peer.is_live(now),
                "heard_ms_ago": now.saturating_sub(peer.last_heard).as_millis() as u64,
            })
        });
        shown.collect()
    }
}
