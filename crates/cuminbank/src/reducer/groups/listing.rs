//! Entry instances in the platform's list.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::ids::{InstanceName, MonotonicTime};

/// An instance counts as ended once successful lists lack it for this time.
const ENDED_AFTER: Duration = Duration::from_secs(5);
/// A list that is older than this says nothing about ended instances.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// Names that are absent for this time are forgotten; an unknown name counts as absent too.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);

/// What the platform's list says about entry instances.
#[derive(Debug, Default)]
pub struct EntryListing {
    first: Option<MonotonicTime>,
    last: MonotonicTime,
    listed: HashSet<InstanceName>,
    absent_since: HashMap<InstanceName, MonotonicTime>,
}

impl EntryListing {
    /// Notes the entry instances of a list that was fetched.
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
            .retain(|name, since| !listed.contains(name) && now < *since + FORGET_AFTER);
    }

    /// Tells whether the list reports an instance as ended: all lists of the last
    /// [`ENDED_AFTER`] lack it.
    pub fn is_ended(&self, instance: &str, now: MonotonicTime) -> bool {
        let Some(first) = self.first else { return false };
        if self.listed.contains(instance) || now > self.last + MAX_LIST_AGE {
            return false;
        }
        let since = self.absent_since.get(instance).copied().unwrap_or(first);
        self.last >= since + ENDED_AFTER
    }
}
