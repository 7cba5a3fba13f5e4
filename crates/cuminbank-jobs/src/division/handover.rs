//! When an owner hands its cell over to an instance whose link can carry the cell's traffic.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::InstanceResources;
use crate::{
    cells::{EXECUTOR_KBPS, LINK_FRACTION},
    ids::{InstanceName, MonotonicTime},
};

/// Time for which an instance must have been registered, and the owner must have owned the cell,
/// before a hand-over. An instance that has just started may end again, and a change of owner costs
/// about a second in which waiting tasks do not start.
const MIN_REGISTERED: Duration = Duration::from_secs(10);
/// Minimum time between two hand-overs by one process.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(60);

/// Registered instance that owns no cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HandoverCandidate {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Start number of its process.
    pub start: u64,
    /// Address at which other instances reach it.
    pub peer_address: SocketAddr,
    /// Its resources.
    pub resources: InstanceResources,
}

/// State of an instance that may hand its cells over.
#[derive(Clone, Debug)]
pub struct HandoverWatch {
    own: InstanceResources,
    /// Time at which each process was first seen as registered.
    registered: BTreeMap<(InstanceName, u64), MonotonicTime>,
    next_at: MonotonicTime,
}

impl HandoverWatch {
    /// Creates the state of an instance with these resources.
    pub fn new(own: InstanceResources) -> Self {
        Self { own, registered: BTreeMap::new(), next_at: MonotonicTime::ZERO }
    }

    /// Notes which instances are registered.
    pub fn note(&mut self, now: MonotonicTime, candidates: &[HandoverCandidate]) {
        let name = |candidate: &HandoverCandidate| (candidate.instance.clone(), candidate.start);
        let known = std::mem::take(&mut self.registered);
        let since = |key: &(InstanceName, u64)| known.get(key).copied().unwrap_or(now);
        let names = candidates.iter().map(name);
        self.registered = names.map(|key| (key.clone(), since(&key))).collect();
    }

    /// Returns the best-equipped candidate that can own a cell with this number of executors, if
    /// the own link cannot carry its traffic and the cell has been owned since `owned_since`.
    pub fn choose<'a>(
        &self,
        now: MonotonicTime,
        owned_since: MonotonicTime,
        executors: usize,
        candidates: &'a [HandoverCandidate],
    ) -> Option<&'a HandoverCandidate> {
        let required_kbps = executors as f64 * EXECUTOR_KBPS;
        let carries = required_kbps <= self.own.link_kbps as f64 * LINK_FRACTION;
        if carries || now < self.next_at || now < owned_since + MIN_REGISTERED {
            return None;
        }
        let is_known = |candidate: &&HandoverCandidate| {
            let key = (candidate.instance.clone(), candidate.start);
            self.registered.get(&key).is_some_and(|since| now >= *since + MIN_REGISTERED)
        };
        let suitable = candidates.iter().filter(|other| other.resources.can_own(executors));
        suitable
            .filter(is_known)
            .max_by_key(|other| (other.resources.link_kbps, other.resources.share_permille))
    }

    /// Notes that a cell was handed over.
    pub fn on_handed_over(&mut self, now: MonotonicTime) {
        self.next_at = now + HANDOVER_INTERVAL;
    }
}
