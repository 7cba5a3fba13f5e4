//! Entry instances in the platform's list, used to detect instances that have ended.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::ids::{InstanceName, MonotonicTime};

/// Time for which all fetched lists must lack an instance for it to count as ended.
const ENDED_AFTER: Duration = Duration::from_secs(5);
/// Maximum age of the last list. An older one is no evidence that an instance has ended.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// Time after which an absent name is removed. A name without an entry counts as absent since the
/// first list.
const ABSENCE_RETENTION: Duration = Duration::from_secs(3_600);

/// Presence of entry instances in the fetched lists.
#[derive(Debug, Default)]
pub struct EntryListing {
    first: Option<MonotonicTime>,
    last: MonotonicTime,
    listed: HashSet<InstanceName>,
    absent_since: HashMap<InstanceName, MonotonicTime>,
}

impl EntryListing {
    /// Records the entry instances of a list fetched at `now`.
    pub fn on_list(&mut self, listed: HashSet<InstanceName>, now: MonotonicTime) {
        self.first.get_or_insert(now);
        self.last = now;
        for name in std::mem::replace(&mut self.listed, listed) {
            if !self.listed.contains(&name) {
                self.absent_since.insert(name, now);
            }
        }
        let listed = &self.listed;
        self.absent_since
            .retain(|name, since| !listed.contains(name) && now < *since + ABSENCE_RETENTION);
    }

    /// Returns whether an instance has ended: all lists of the last [`ENDED_AFTER`] lack it, and
    /// the newest list is recent.
    pub fn is_ended(&self, instance: &str, now: MonotonicTime) -> bool {
        let Some(first) = self.first else { return false };
        if self.listed.contains(instance) || now > self.last + MAX_LIST_AGE {
            return false;
        }
        let since = self.absent_since.get(instance).copied().unwrap_or(first);
        self.last >= since + ENDED_AFTER
    }
}
