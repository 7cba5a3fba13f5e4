//! Promises of electors to the owner of a group not to claim it for [`PROMISE_TERM`].

use crate::{
    ids::{GroupIndex, MonotonicTime, OwnerEpoch},
    message::PeerIdentity,
};

use super::{GrantedPromise, OwnershipTable, CLOCK_DRIFT, PROMISE_TERM};

/// Number of promise requests per group whose grants are still accepted. Promises counted from
/// older requests would already have expired.
const REMEMBERED_REQUESTS: usize = 16;

impl OwnershipTable {
    /// Records a promise request that is sent to the electors at `now`. Returns its epoch and
    /// sequence number; `None` if the instance does not own the group.
    pub fn begin_promise_request(
        &mut self,
        group: GroupIndex,
        now: MonotonicTime,
    ) -> Option<(OwnerEpoch, u64)> {
        self.last_request += 1;
        let sequence = self.last_request;
        let owned = self.owned_mut(group)?;
        owned.sent_requests.push_back((sequence, now));
        if owned.sent_requests.len() > REMEMBERED_REQUESTS {
            owned.sent_requests.pop_front();
        }
        Some((owned.epoch, sequence))
    }

    /// Handles a grant of an elector. The term of the promise starts when the request with that
    /// sequence number was sent, so a duplicated or delayed grant does not extend it.
    pub fn on_promise_grant(
        &mut self,
        group: GroupIndex,
        from: &PeerIdentity,
        epoch: OwnerEpoch,
        sequence: u64,
        now: MonotonicTime,
    ) {
        let terms_start_at_send = self.guards.terms_start_at_send;
        let Some(owned) = self.owned_mut(group).filter(|owned| owned.epoch == epoch) else {
            return;
        };
        let request = owned.sent_requests.iter().find(|(number, _)| *number == sequence);
        let Some((_, sent)) = request.copied() else { return };
        let start = if terms_start_at_send { sent } else { now };
        let until = start + PROMISE_TERM.mul_f64(1.0 - CLOCK_DRIFT);
        let promise = owned.promises.entry(from.clone()).or_default();
        *promise = until.max(*promise);
    }

    /// Handles the promise request of an owner. Returns whether the promise is granted. It is
    /// refused while the instance owns or claims the group, and for an epoch older than the newest
    /// known one.
    pub fn on_promise_request(
        &mut self,
        group: GroupIndex,
        epoch: OwnerEpoch,
        now: MonotonicTime,
    ) -> bool {
        let claiming = self.is_claiming(group) && self.guards.undecided_claims_block_promises;
        let state = self.groups.entry(group).or_default();
        if claiming || state.owned.is_some() || epoch < state.highest_epoch {
            return false;
        }
        state.highest_epoch = epoch;
        let until = now + PROMISE_TERM.mul_f64(1.0 + CLOCK_DRIFT);
        let earlier =
            state.granted_promise.as_ref().map_or(MonotonicTime::ZERO, |promise| promise.until);
        state.granted_promise = Some(GrantedPromise { epoch, until: until.max(earlier) });
        true
    }
}
