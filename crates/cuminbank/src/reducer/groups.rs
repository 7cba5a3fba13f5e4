//! Groups of targets: ownership, takeover, handover, membership and planned stops.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    effect::EntryEffect,
    event::{ExchangeError, ListedInstance},
    ids::{ExchangeId, GroupIndex, MonotonicTime, OwnerEpoch, ReplyId, StartNumber, TargetName},
    membership::{TargetEntry, TargetTable},
    message::{PeerDatagram, PeerReply, TicketHandover},
    settings::EntrySettings,
    store::StoreReply,
};

use super::{
    calls::CallPart,
    config::ConfigPart,
    records::RecordPart,
    step::{StepContext, TargetObservation},
};

/// A change that the parts which dispatch work have to follow.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupChange {
    /// The instance became the owner of a group.
    Taken {
        /// Group.
        group: GroupIndex,
        /// Epoch of the new term.
        epoch: OwnerEpoch,
        /// Earliest time for the first probe of an executor: bytes that the last owner sent have
        /// arrived by then.
        probe_from: MonotonicTime,
        /// Ticket states passed on by the last owner: its epoch, next sequence and tickets.
        handed: Option<(OwnerEpoch, u64, Vec<TicketHandover>)>,
    },
    /// The instance is no longer the owner of a group.
    Lost {
        /// Group.
        group: GroupIndex,
    },
    /// A target appeared, or changed its address, size or state.
    TargetChanged {
        /// Target.
        name: TargetName,
    },
    /// A target ended.
    TargetEnded {
        /// Target.
        name: TargetName,
        /// Group that it belonged to.
        group: GroupIndex,
    },
    /// A planned stop has handed over all groups and no call is in progress.
    Drained,
}

/// Groups and membership.
#[derive(Debug)]
pub struct GroupPart {
    changes: Vec<GroupChange>,
    targets: TargetTable,
    groups_per_zone: GroupIndex,
    fixed: BTreeMap<GroupIndex, (OwnerEpoch, MonotonicTime)>,
}

#[allow(clippy::too_many_arguments, unused_variables, reason = "skeleton")]
impl GroupPart {
    /// Creates the part.
    pub fn new(settings: &EntrySettings, start: StartNumber) -> Self {
        Self {
            changes: Vec::new(),
            targets: TargetTable::default(),
            groups_per_zone: settings.groups_per_zone,
            fixed: BTreeMap::new(),
        }
    }

    /// Owns a group under a fixed right to act, for tests of other parts.
    #[doc(hidden)]
    pub fn with_group(
        mut self,
        group: GroupIndex,
        epoch: OwnerEpoch,
        right_until: MonotonicTime,
    ) -> Self {
        self.fixed.insert(group, (epoch, right_until));
        self
    }

    /// Adds a target, for tests of other parts.
    #[doc(hidden)]
    pub fn with_target(mut self, listed: ListedInstance) -> Self {
        self.targets.insert(TargetEntry::from_listed(listed, self.groups_per_zone));
        self
    }

    /// Returns until when the instance may act for a group of its zone; `None` if not at `now`.
    pub fn right_until(&self, group: GroupIndex, now: MonotonicTime) -> Option<MonotonicTime> {
        self.fixed.get(&group).map(|(_, until)| *until).filter(|until| now < *until)
    }

    /// Returns the epoch of a group that the instance owns.
    pub fn epoch(&self, group: GroupIndex) -> Option<OwnerEpoch> {
        self.fixed.get(&group).map(|(epoch, _)| *epoch)
    }

    /// Returns the groups that the instance may act for at `now`.
    pub fn owned(&self, now: MonotonicTime) -> Vec<GroupIndex> {
        self.fixed.keys().copied().filter(|group| self.right_until(*group, now).is_some()).collect()
    }

    /// Returns the peer that announces a group, in any zone, with the wait it expects.
    pub fn owner_of(
        &self,
        zone: &str,
        group: GroupIndex,
        now: MonotonicTime,
    ) -> Option<(SocketAddr, std::time::Duration)> {
        None
    }

    /// Returns the targets of the zone.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Notes what another part saw of a target.
    pub fn observe_target(&mut self, step: &mut StepContext, observation: &TargetObservation) {}

    /// Notes the outcome of any exchange with the store.
    pub fn observe_store(&mut self, step: &mut StepContext, error: Option<ExchangeError>) {}

    /// Returns the peers heard of, with the time since each was last heard.
    pub fn peers_heard(&self, now: MonotonicTime) -> Vec<(String, std::time::Duration)> {
        Vec::new()
    }

    /// Returns the addresses of live peers.
    pub fn peer_addresses(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        Vec::new()
    }

    /// Handles the platform's list.
    pub fn on_list_fetched(
        &mut self,
        step: &mut StepContext,
        result: Result<Vec<ListedInstance>, ExchangeError>,
    ) {
    }

    /// Handles a datagram of a peer.
    pub fn on_datagram(
        &mut self,
        step: &mut StepContext,
        config: &ConfigPart,
        from: SocketAddr,
        datagram: PeerDatagram,
    ) {
    }

    /// Stores the ticket states of a group that a peer gives up, and claims the group.
    pub fn on_hand_over(
        &mut self,
        step: &mut StepContext,
        reply: ReplyId,
        group: GroupIndex,
        epoch: OwnerEpoch,
        next_sequence: u64,
        tickets: Vec<TicketHandover>,
    ) {
        step.push(EntryEffect::AnswerPeer { reply, answer: PeerReply::NotOwner });
    }

    /// Handles the end of an exchange with the store.
    pub fn on_store_ended(
        &mut self,
        step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<StoreReply, ExchangeError>,
    ) {
    }

    /// Handles the end of an exchange with a peer.
    pub fn on_peer_ended(
        &mut self,
        step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<PeerReply, ExchangeError>,
    ) {
    }

    /// Begins a planned stop.
    pub fn on_drain_wanted(&mut self, step: &mut StepContext) {}

    /// Tells whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        false
    }

    /// Renews leases and promises, takes over free groups, and goes on with a planned stop.
    pub fn on_tick(
        &mut self,
        step: &mut StepContext,
        config: &ConfigPart,
        calls: &CallPart,
        records: &mut RecordPart,
    ) {
        step.push(EntryEffect::FetchList);
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<GroupChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the state shown to operators.
    pub fn status(&self, now: MonotonicTime) -> serde_json::Value {
        serde_json::json!({})
    }
}
