//! Release and handover of groups, rebalancing, and planned stops.

use std::time::Duration;

use crate::{
    effect::EntryEffect,
    event::ExchangeError,
    ids::{GroupIndex, MonotonicTime, OwnerEpoch},
    log::{DRAIN_ENDED, DRAIN_STARTED, GROUP_RELEASED},
    message::{PeerIdentity, PeerReply, PeerRequest, TicketHandover},
    ownership::AUTHORITY_HORIZON,
    reducer::{
        calls::CallPart,
        step::{ReducerPart, StepContext},
    },
};

use super::{GroupChange, GroupExchange, GroupPart};

/// Time after the beginning of a planned stop by which the load balancer has seen the failed
/// readiness check.
pub const LOAD_BALANCER_DELAY: Duration = Duration::from_secs(2);
/// Time reserved at the end of a planned stop to save the final day record.
const FINAL_RECORD_TIME: Duration = Duration::from_secs(2);
const BALANCE_INTERVAL: Duration = Duration::from_secs(1);
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which received ticket states are dropped if the group was not claimed.
const HANDOVER_RETENTION: Duration = Duration::from_secs(10);

/// Progress of a planned stop.
#[derive(Debug)]
pub(super) struct DrainState {
    started: MonotonicTime,
    drained: bool,
}

/// Progress of a group's release and handover to a peer.
#[derive(Debug)]
pub(super) struct GroupRelease {
    authority_ends_at: MonotonicTime,
    phase: ReleasePhase,
    tried: Vec<PeerIdentity>,
}

#[derive(Clone, Copy, Debug)]
enum ReleasePhase {
    /// The end of the authority is fixed but not reached.
    Announced,
    /// The ownership record is being written without an owner.
    Writing,
    /// The record names no owner.
    Released { epoch: OwnerEpoch },
    /// The loss of the group is reported; the ticket states can be sent to a peer.
    Reported { epoch: OwnerEpoch },
    /// The ticket states were sent to a peer, which has not answered yet.
    Offered { epoch: OwnerEpoch },
}

/// Ticket states that the last owner of a group handed over to this instance.
#[derive(Debug)]
pub(super) struct ReceivedHandover {
    pub(super) epoch: OwnerEpoch,
    pub(super) next_sequence: u64,
    pub(super) tickets: Vec<TicketHandover>,
    received: MonotonicTime,
}

impl ReceivedHandover {
    pub(super) fn is_valid(&self, now: MonotonicTime) -> bool {
        now < self.received + HANDOVER_RETENTION
    }
}

impl GroupPart {
    /// Begins a planned stop. Further requests are ignored.
    pub fn on_drain_requested(&mut self, step: &mut StepContext) {
        if self.drain.is_some() {
            return;
        }
        step.log(DRAIN_STARTED, format!("{} groups owned", self.table.owned_groups().len()));
        self.drain = Some(DrainState { started: step.now(), drained: false });
        // Announce the stop to the peers at the next tick.
        self.next_heartbeat = step.now();
    }

    /// Returns whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Continues a planned stop, and reports [`GroupChange::Drained`] at its end.
    pub(super) fn tick_drain(&mut self, step: &mut StepContext, calls: &CallPart) {
        let now = step.now();
        let Some(drain) = self.drain.as_ref().filter(|drain| !drain.drained) else { return };
        let started = drain.started;
        // Time for the final record is needed only if the store is available.
        let reserved = if self.store.is_up(now) { FINAL_RECORD_TIME } else { Duration::ZERO };
        let bound = started + step.settings.drain_timeout().saturating_sub(reserved);
        if now < bound && !self.advance_drain(now, started, calls) {
            return;
        }
        self.drain = Some(DrainState { started, drained: true });
        let owned = self.table.owned_groups().len();
        step.log(DRAIN_ENDED, format!("{owned} groups were not handed over"));
        self.changes.push(GroupChange::Drained);
    }

    /// Begins the release of all groups while the store is available. Returns whether the planned
    /// stop is complete.
    fn advance_drain(
        &mut self,
        now: MonotonicTime,
        started: MonotonicTime,
        calls: &CallPart,
    ) -> bool {
        let owned = self.table.owned_groups();
        if self.store.is_up(now) {
            for group in &owned {
                self.announce_release(*group, now);
            }
        }
        let undecided = (0..self.groups_per_zone).any(|group| self.table.is_writing(group));
        let released = owned.is_empty() && self.releases.is_empty() && !undecided;
        now >= started + LOAD_BALANCER_DELAY && released && calls.is_idle()
    }

    /// Begins a release by fixing the time at which the authority over a group ends. No dispatch
    /// that was already issued is valid beyond that time.
    fn announce_release(&mut self, group: GroupIndex, now: MonotonicTime) {
        if self.releases.contains_key(&group) {
            return;
        }
        let authority_ends_at = now + AUTHORITY_HORIZON;
        self.table.end_authority_at(group, authority_ends_at);
        let release =
            GroupRelease { authority_ends_at, phase: ReleasePhase::Announced, tried: Vec::new() };
        self.releases.insert(group, release);
    }

    /// Keeps the group if the store did not apply the write of its release. A planned stop tries
    /// again.
    pub(super) fn on_release_not_applied(&mut self, group: GroupIndex) {
        let release = self.releases.get(&group);
        if release.is_some_and(|release| matches!(release.phase, ReleasePhase::Writing)) {
            self.cancel_release(group);
        }
    }

    fn cancel_release(&mut self, group: GroupIndex) {
        if self.table.epoch(group).is_some() && self.releases.remove(&group).is_some() {
            self.table.restore_authority(group);
        }
    }

    pub(super) fn on_released(&mut self, group: GroupIndex, epoch: OwnerEpoch) {
        if let Some(release) = self.releases.get_mut(&group) {
            release.phase = ReleasePhase::Released { epoch };
        }
    }

    pub(super) fn tick_releases(&mut self, step: &mut StepContext) {
        self.balance(step.now());
        let groups: Vec<_> = self.releases.keys().copied().collect();
        for group in groups {
            self.tick_release(step, group);
        }
    }

    fn tick_release(&mut self, step: &mut StepContext, group: GroupIndex) {
        let now = step.now();
        let Some(release) = self.releases.get_mut(&group) else { return };
        match release.phase {
            ReleasePhase::Announced => {
                let ended = now >= release.authority_ends_at;
                if !self.store.is_up(now) {
                    self.cancel_release(group);
                } else if ended {
                    self.write_release(step, group);
                }
            }
            ReleasePhase::Released { epoch } => {
                release.phase = ReleasePhase::Reported { epoch };
                step.log(GROUP_RELEASED, format!("group {group} epoch {epoch}"));
                self.changes.push(GroupChange::Lost { group });
            }
            ReleasePhase::Writing
            | ReleasePhase::Reported { .. }
            | ReleasePhase::Offered { .. } => {}
        }
    }

    fn write_release(&mut self, step: &mut StepContext, group: GroupIndex) {
        // If there is no write, an earlier one of the record is still unconfirmed. The next tick
        // tries again.
        let Some(write) = self.table.begin_release(group) else { return };
        if let Some(release) = self.releases.get_mut(&group) {
            release.phase = ReleasePhase::Writing;
        }
        self.send_write(step, group, Some(write));
    }

    /// Hands over the groups whose loss is reported. Call this after the changes of the step have
    /// been taken and applied: the end of a term refuses its queued calls, and these answers belong
    /// to the ticket states.
    pub fn hand_over_groups(&mut self, step: &mut StepContext, calls: &CallPart) {
        let reported = self.releases.iter().filter_map(|(group, release)| match release.phase {
            ReleasePhase::Reported { epoch } => Some((*group, epoch)),
            _ => None,
        });
        let reported: Vec<_> = reported.collect();
        for (group, epoch) in reported {
            self.hand_over(step, calls, group, epoch);
        }
    }

    /// Sends the ticket states to the live peer with the fewest groups to which they were not sent
    /// before. Without such a peer the release ends.
    fn hand_over(
        &mut self,
        step: &mut StepContext,
        calls: &CallPart,
        group: GroupIndex,
        epoch: OwnerEpoch,
    ) {
        let Some(release) = self.releases.get_mut(&group) else { return };
        let peers = self.peers.available(&self.zone, step.now());
        let untried = peers.filter(|peer| !release.tried.contains(&peer.heartbeat.from));
        let Some(peer) = untried.min_by_key(|peer| peer.heartbeat.groups.len()) else {
            self.releases.remove(&group);
            return;
        };
        let (to, address) = (peer.heartbeat.from.clone(), peer.heartbeat.address);
        release.tried.push(to.clone());
        release.phase = ReleasePhase::Offered { epoch };
        let (next_sequence, tickets) = calls.handover_state(group, epoch, step.now());
        let exchange = step.begin_exchange(ReducerPart::Groups);
        self.exchanges.insert(exchange, GroupExchange::HandOver { group, to });
        let request = PeerRequest::HandOver { group, epoch, next_sequence, tickets };
        let timeout = HANDOVER_TIMEOUT;
        step.push(EntryEffect::CallPeer { exchange, to: address, request, timeout });
    }

    pub(super) fn on_handover_ended(
        &mut self,
        group: GroupIndex,
        to: &PeerIdentity,
        result: &Result<PeerReply, ExchangeError>,
    ) {
        let Some(release) = self.releases.get_mut(&group) else { return };
        if release.tried.last() != Some(to) {
            return;
        }
        if matches!(result, Ok(PeerReply::HandedOver)) {
            self.releases.remove(&group);
            return;
        }
        if let ReleasePhase::Offered { epoch } = release.phase {
            release.phase = ReleasePhase::Reported { epoch };
        }
    }

    /// Begins the release of a group if this instance owns more than its share and a peer that
    /// takes over the group would own no more groups than this instance keeps.
    fn balance(&mut self, now: MonotonicTime) {
        let ready = now >= self.next_balance && self.candidates.is_stable(now);
        if !ready || self.drain.is_some() || !self.store.is_up(now) {
            return;
        }
        let releasing = self.releases.len();
        let kept: Vec<_> = self.table.owned_groups();
        let kept: Vec<_> =
            kept.into_iter().filter(|group| !self.releases.contains_key(group)).collect();
        let peers = self.peers.available(&self.zone, now);
        let Some(fewest) = peers.map(|peer| peer.heartbeat.groups.len()).min() else { return };
        if kept.len() > self.share(now) && fewest + releasing + 1 < kept.len() {
            self.next_balance = now + BALANCE_INTERVAL;
            if let Some(group) = kept.last() {
                self.announce_release(*group, now);
            }
        }
    }

    /// Stores the ticket states that a peer hands over. Returns false if this instance does not
    /// accept the group.
    pub(super) fn accept_handover(
        &mut self,
        now: MonotonicTime,
        group: GroupIndex,
        epoch: OwnerEpoch,
        next_sequence: u64,
        tickets: Vec<TicketHandover>,
    ) -> bool {
        let usable = group < self.groups_per_zone && !self.fixed_authority.contains_key(&group);
        if !usable || self.drain.is_some() || self.table.epoch(group).is_some() {
            return false;
        }
        self.claims.entry(group).or_default().next_at = now;
        let handover = ReceivedHandover { epoch, next_sequence, tickets, received: now };
        self.handovers.insert(group, handover);
        true
    }
}
