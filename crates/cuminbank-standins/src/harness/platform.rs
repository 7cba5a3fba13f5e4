//! The platform's store with its watches, its list of instances, and operators' profile changes.

use std::time::Duration;

use bytes::Bytes;
use cuminbank::{
    effect::CallerAnswer,
    event::{EntryEvent, ExchangeError, ListedInstance, ListedRole},
    ids::{StartNumber, StoreRevision},
    profile::ProfileChange,
    store::{StoreReply, StoreRequest, StoreWrite, CONFIG_PREFIX, PROFILE_PREFIX},
};
use rand::Rng;

use super::{
    history::HistoryEvent,
    hosts::{entry_name, WatchState, ZONE_NAMES},
    network::NetworkNode,
    queue::{Action, EntryIndex, ExchangeRef, ReplyOrigin},
    simulation::Simulation,
};
use crate::store::StoreError;

/// Time after which the client gives up opening a watch.
const WATCH_OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which the client closes a watch that delivers nothing.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which the platform's list removes an instance that has ended.
const LIST_REMOVAL_DELAY: Duration = Duration::from_secs(3);
/// Number of snapshots of the list that are kept.
const MAX_LIST_SNAPSHOTS: usize = 400;

/// Name of the profile of idempotent calls.
pub const IDEMPOTENT_PROFILE: &str = "morning rush";
/// Name of the profile of calls with a ticket.
pub const TICKETED_PROFILE: &str = "bookings";
/// Name of the profile of batch tasks.
pub const BATCH_PROFILE: &str = "standing orders";

impl Simulation {
    pub(super) fn commit_initial_profiles(&mut self) {
        for name in [IDEMPOTENT_PROFILE, TICKETED_PROFILE, BATCH_PROFILE] {
            self.commit_profile(name, 0);
        }
    }

    /// Commits a profile and returns the change, or `None` if the store refuses it. The deadline is
    /// extended by `deadline_offset_ms` milliseconds, so that each change differs.
    pub(super) fn commit_profile(
        &mut self,
        name: &str,
        deadline_offset_ms: u64,
    ) -> Option<ProfileChange> {
        let profile = profile_text(name, deadline_offset_ms);
        let put = StoreWrite::Put {
            key: format!("{PROFILE_PREFIX}{name}"),
            value: Bytes::from(profile.clone()),
            lease: None,
        };
        let request =
            StoreRequest::Txn { compares: Vec::new(), then: vec![put], otherwise: Vec::new() };
        let Ok(StoreReply::Txn { revision, .. }) = self.store.apply(self.now, &request) else {
            return None;
        };
        self.record(HistoryEvent::ConfigCommitted { name: name.to_owned(), revision });
        Some(ProfileChange { name: name.to_owned(), revision, profile: Some(profile) })
    }

    /// Commits a change of a random profile and schedules the next change.
    pub(super) fn change_profile(&mut self) {
        if let Some(interval) = self.plan.load.change_interval.filter(|_| !self.faults_ended) {
            let next = interval.mul_f64(self.rng.random_range(0.3..1.7));
            self.queue.push(self.now + next, Action::ChangeProfile);
        }
        let names = [IDEMPOTENT_PROFILE, TICKETED_PROFILE, BATCH_PROFILE];
        let name = names[self.rng.random_range(0..names.len())];
        self.apply_profile(name);
    }

    /// Commits a change of one profile and in 70 % of the cases offers it to all entry instances.
    /// Returns false if the operator cannot reach the store or the store refuses the change.
    pub fn apply_profile(&mut self, name: &str) -> bool {
        if !self.reaches(NetworkNode::Store, NetworkNode::Client) {
            return false;
        }
        self.changes_made += 1;
        let Some(change) = self.commit_profile(name, self.changes_made) else {
            return false;
        };
        self.poll_watches();
        // In the other runs the operator's command ends between the commit and the offers.
        if self.rng.random_bool(0.7) {
            self.offer(&change);
        }
        true
    }

    fn offer(&mut self, change: &ProfileChange) {
        for entry in 0..self.entries.len() {
            let Some(start) = self.start_of(entry) else {
                continue;
            };
            let changes = vec![change.clone()];
            let event = EntryEvent::ConfigOffered { reply: 0, changes };
            if let super::effects::Delivery::Arrives(delay) =
                self.draw_delivery(NetworkNode::Client, NetworkNode::Entry(entry))
            {
                let action = Action::DeliverRequest(entry, start, ReplyOrigin::Operator, event);
                self.queue.push(self.now + delay, action);
            }
        }
    }

    pub(super) fn record_config(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        answer: &CallerAnswer,
    ) {
        let changes: Vec<ProfileChange> = serde_json::from_slice(&answer.body).unwrap_or_default();
        let revisions = changes.into_iter().map(|change| (change.name, change.revision)).collect();
        let ready = self.entries[entry].ready;
        let reaches_store = self.can_reach_store(entry);
        let process = (entry, start);
        self.record(HistoryEvent::ConfigSampled { process, ready, reaches_store, revisions });
    }

    /// Tells whether an instance can reach the store, directly or over running peers.
    fn can_reach_store(&self, entry: EntryIndex) -> bool {
        let awake = |index: &EntryIndex| {
            self.entries[*index].process.as_ref().is_some_and(|process| !process.paused)
        };
        let mut seen = vec![entry];
        let mut next = 0;
        while let Some(from) = seen.get(next).copied() {
            if self.reaches(NetworkNode::Store, NetworkNode::Entry(from)) {
                return true;
            }
            let peers = (0..self.entries.len()).filter(awake);
            let reached: Vec<_> = peers
                .filter(|peer| !seen.contains(peer))
                .filter(|peer| self.reaches(NetworkNode::Entry(from), NetworkNode::Entry(*peer)))
                .collect();
            seen.extend(reached);
            next += 1;
        }
        false
    }

    /// Executes a request at the store. Its answer may be lost.
    pub(super) fn on_store(&mut self, exchange: ExchangeRef, request: &StoreRequest) {
        if !self.reaches(NetworkNode::Store, NetworkNode::Entry(exchange.entry)) {
            return;
        }
        let result = self.store.apply(self.now, request).map_err(|error| match error {
            StoreError::RateLimited => ExchangeError::Refused(429),
            _ => ExchangeError::Refused(400),
        });
        if self.store_answer_loss > 0.0 && self.rng.random_bool(self.store_answer_loss) {
            return;
        }
        let event = EntryEvent::StoreCallCompleted { exchange: exchange.exchange, result };
        self.send_answer(NetworkNode::Store, exchange, event);
    }

    pub(super) fn open_watch(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        from: StoreRevision,
    ) {
        let reachable = self.reaches(NetworkNode::Store, NetworkNode::Entry(entry));
        let cursor = reachable.then(|| self.store.watch_prefix(self.now, CONFIG_PREFIX, from));
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        process.next_watch += 1;
        let number = process.next_watch;
        let cursor = cursor.and_then(Result::ok);
        let opened = cursor.is_some();
        process.watch =
            Some(WatchState { number, cursor, unreachable_since: None, closes_at: None });
        let delay = if opened { Duration::from_millis(2) } else { WATCH_OPEN_TIMEOUT };
        self.queue.push(self.now + delay, Action::PollWatch(entry, start, number));
    }

    /// Delivers the changes that a watch has not delivered yet, or reports the watch as lost.
    pub(super) fn poll_watch(&mut self, entry: EntryIndex, start: StartNumber, number: u64) {
        if !self.runs_or_defers(entry, start, || Action::PollWatch(entry, start, number)) {
            return;
        }
        let reachable = self.reaches(NetworkNode::Store, NetworkNode::Entry(entry));
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        let Some(watch) = process.watch.as_mut().filter(|watch| watch.number == number) else {
            return;
        };
        let Some(cursor) = watch.cursor.as_mut() else {
            process.watch = None;
            self.apply(entry, EntryEvent::WatchLost);
            return;
        };
        if !reachable || watch.closes_at.is_some() {
            return;
        }
        let revision = self.store.revision();
        let Ok(changes) = self.store.watch_changes(cursor) else {
            process.watch = None;
            self.apply(entry, EntryEvent::WatchLost);
            return;
        };
        if !changes.is_empty() {
            self.apply(entry, EntryEvent::WatchChanged { revision, changes });
        }
    }

    fn poll_watches(&mut self) {
        for entry in 0..self.entries.len() {
            let process = self.entries[entry].process.as_ref();
            let watch = process.and_then(|process| process.watch.as_ref().map(|w| w.number));
            let (Some(start), Some(number)) = (self.start_of(entry), watch) else {
                continue;
            };
            let delay = self.network.draw_delay(&mut self.rng);
            self.queue.push(self.now + delay, Action::PollWatch(entry, start, number));
        }
    }

    /// Tracks partitions between a process and the store. After one, the process's watch at random
    /// continues, ends, or delivers nothing until the client closes it.
    pub(super) fn check_watch(&mut self, entry: EntryIndex) {
        let reachable = self.reaches(NetworkNode::Store, NetworkNode::Entry(entry));
        let now = self.now;
        let watch_outcome = self.rng.random_range(0..3);
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        let start = process.start;
        let Some(watch) = process.watch.as_mut() else {
            return;
        };
        if !reachable {
            watch.unreachable_since.get_or_insert(now);
            return;
        }
        let was_silent = watch.unreachable_since.take().is_some();
        match watch_outcome {
            0 if was_silent => watch.cursor = None,
            1 if was_silent => watch.closes_at = Some(now + WATCH_IDLE_TIMEOUT),
            _ => {}
        }
        if watch.closes_at.is_some_and(|end| now >= end) {
            (watch.cursor, watch.closes_at) = (None, None);
        }
        let number = watch.number;
        self.queue.push(now, Action::PollWatch(entry, start, number));
    }

    /// Saves a snapshot of the list, which becomes visible after the lag.
    pub(super) fn snapshot_list(&mut self) {
        let mut list: Vec<ListedInstance> = Vec::new();
        for (index, host) in self.entries.iter().enumerate() {
            let ended = |since: Duration| self.now >= since + LIST_REMOVAL_DELAY;
            if host.down_since.is_some_and(ended) {
                continue;
            }
            list.push(ListedInstance {
                name: entry_name(&self.plan, index),
                role: ListedRole::Entry,
                address: host.settings.peer_address,
                zone: ZONE_NAMES[host.zone].to_owned(),
                rack: format!("rack-{}", host.zone),
                machine: format!("entry-{index}"),
                leaving: host.process.as_ref().is_some_and(|process| process.draining),
            });
        }
        let up = self.targets.iter().filter(|host| !host.down);
        list.extend(up.flat_map(|host| host.listed()));
        self.list_snapshots.push_back((self.now, list));
        if self.list_snapshots.len() > MAX_LIST_SNAPSHOTS {
            self.list_snapshots.pop_front();
        }
    }

    /// Returns the newest snapshot of the list that is visible now.
    pub(super) fn visible_list(&self) -> Vec<ListedInstance> {
        let visible =
            self.list_snapshots.iter().rev().find(|(at, _)| *at + self.list_lag <= self.now);
        visible.or(self.list_snapshots.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

fn profile_text(name: &str, deadline_offset_ms: u64) -> String {
    let (kind, deadline_ms) = match name {
        BATCH_PROFILE => ("batch", 600_000 + deadline_offset_ms),
        _ => ("urgent", 10_000 + deadline_offset_ms),
    };
    serde_json::json!({
        "name": name,
        "kind": kind,
        "deadline_ms": deadline_ms,
        "idempotent": name == IDEMPOTENT_PROFILE,
        "max_run_ms": 30_000,
    })
    .to_string()
}
