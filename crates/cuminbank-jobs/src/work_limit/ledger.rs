//! Memory that an owner has granted to the instances that accept jobs for it.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::MonotonicTime;

/// Time for which a grant counts. A job accepted within it reaches the owner by then, even if the write
/// is repeated and the store is slow.
pub(super) const GRANT_TIME: Duration = Duration::from_secs(5);
/// Time for which the limit of an instance counts after it last asked. Every instance asks within
/// [`super::allowance::MAX_ASK_INTERVAL`].
const ASKER_TIME: Duration = Duration::from_secs(30);

/// Request of an instance for a grant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkRequest {
    /// Address of the instance.
    pub asker: SocketAddr,
    /// Accepted work for which the instance has memory, in bytes. It may be the next owner.
    pub limit_bytes: u64,
    /// Memory that its next job needs.
    pub needed_bytes: u64,
    /// Memory that it uses if there is enough, at least as much.
    pub wanted_bytes: u64,
}

/// Answer to a [`WorkRequest`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkGrant {
    /// Memory for further jobs, in bytes; 0 if there is not enough for the next one.
    pub granted_bytes: u64,
    /// Memory that accepted work holds.
    pub held_bytes: u64,
    /// Limit on accepted work.
    pub limit_bytes: u64,
    /// Number of instances that have asked recently.
    pub instances: u32,
}

#[derive(Clone, Debug, Default)]
struct AskerState {
    limit_bytes: u64,
    asked_at: MonotonicTime,
    /// Grants, each with the time until which it counts.
    grants: Vec<(MonotonicTime, u64)>,
}

/// Grants of an owner.
#[derive(Clone, Debug, Default)]
pub struct WorkLedger {
    limit_bytes: u64,
    askers: BTreeMap<SocketAddr, AskerState>,
}

impl WorkLedger {
    /// Creates a ledger for an owner with memory for `limit_bytes` of accepted work.
    pub fn new(limit_bytes: u64) -> Self {
        Self { limit_bytes, askers: BTreeMap::new() }
    }

    /// Returns the limit on accepted work: the least of all instances, any of which may own the cell
    /// next.
    pub fn limit_bytes(&self) -> u64 {
        self.askers.values().map(|asker| asker.limit_bytes).fold(self.limit_bytes, u64::min)
    }

    /// Decides on a request while accepted work holds `held_bytes`.
    ///
    /// A job that needs more than the limit is only accepted if nothing else is held, since it could
    /// never be served otherwise.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        held_bytes: u64,
        request: &WorkRequest,
    ) -> WorkGrant {
        self.forget_expired(now);
        let asker = self.askers.entry(request.asker).or_default();
        (asker.limit_bytes, asker.asked_at) = (request.limit_bytes, now);
        let limit_bytes = self.limit_bytes();
        let outstanding = self.outstanding_bytes();
        let free = limit_bytes.saturating_sub(held_bytes.saturating_add(outstanding));
        let is_only = held_bytes == 0 && outstanding == 0;
        let granted_bytes = match request.needed_bytes {
            needed if needed <= free => request.wanted_bytes.clamp(needed, free),
            needed if is_only => needed,
            _ => 0,
        };
        if let (1.., Some(asker)) = (granted_bytes, self.askers.get_mut(&request.asker)) {
            asker.grants.push((now + GRANT_TIME, granted_bytes));
        }
        let instances = self.askers.len() as u32;
        WorkGrant { granted_bytes, held_bytes, limit_bytes, instances }
    }

    fn outstanding_bytes(&self) -> u64 {
        let grants = self.askers.values().flat_map(|asker| &asker.grants);
        grants.fold(0, |sum, (_, bytes)| sum.saturating_add(*bytes))
    }

    fn forget_expired(&mut self, now: MonotonicTime) {
        for asker in self.askers.values_mut() {
            asker.grants.retain(|(until, _)| now < *until);
        }
        self.askers.retain(|_, asker| now < asker.asked_at + ASKER_TIME);
    }
}
