//! The platform's store and list, and operators' changes of profiles.

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
    network::Party,
    parties::{entry_name, WatchState, ZONE_NAMES},
    queue::{Action, EntryIndex, ExchangeRef, ReplyOrigin},
    world::World,
};
use crate::store::StoreError;

/// Time after which a watch that cannot be opened ends.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which the client ends a watch that brings nothing.
const WATCH_SILENCE: Duration = Duration::from_secs(30);
/// Time after which the platform's list drops an instance that has ended.
const LIST_DROPS_AFTER: Duration = Duration::from_secs(3);
/// Snapshots of the list that are kept.
const KEPT_LISTS: usize = 400;

/// Profile of idempotent calls.
pub const MORNING_RUSH: &str = "morning rush";
/// Profile of calls that carry a ticket.
pub const BOOKINGS: &str = "bookings";
/// Profile of batch tasks.
pub const STANDING_ORDERS: &str = "standing orders";

impl World {
    pub(super) fn seed_profiles(&mut self) {
        for name in [MORNING_RUSH, BOOKINGS, STANDING_ORDERS] {
            self.commit_profile(name, 0);
        }
    }

    /// Commits a profile; `variant` changes its deadline. Returns the committed change.
    pub(super) fn commit_profile(&mut self, name: &str, variant: u64) -> Option<ProfileChange> {
        let profile = profile_text(name, variant);
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

    /// Commits a random change and offers it to every entry instance.
    pub(super) fn change_profile(&mut self) {
        if let Some(every) = self.plan.load.change_every.filter(|_| !self.quiet) {
            let next = every.mul_f64(self.rng.random_range(0.3..1.7));
            self.queue.push(self.now + next, Action::Operator);
        }
        let names = [MORNING_RUSH, BOOKINGS, STANDING_ORDERS];
        let name = names[self.rng.random_range(0..names.len())];
        self.apply_profile(name);
    }

    /// Commits a change of one profile and offers it; false if the store cannot be reached.
    pub fn apply_profile(&mut self, name: &str) -> bool {
        if !self.reaches(Party::Store, Party::Outside) {
            return false;
        }
        self.changes_made += 1;
        let Some(change) = self.commit_profile(name, self.changes_made) else {
            return false;
        };
        self.poll_watches();
        // The command line ends after the commit in some runs, before it made its offers.
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
            if let super::carry::Leg::Arrives(delay) = self.leg(Party::Outside, Party::Entry(entry))
            {
                let action = Action::Arrive(entry, start, ReplyOrigin::Operator, event);
                self.queue.push(self.now + delay, action);
            }
        }
    }

    pub(super) fn note_config(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        answer: &CallerAnswer,
    ) {
        let changes: Vec<ProfileChange> = serde_json::from_slice(&answer.body).unwrap_or_default();
        let revisions = changes.into_iter().map(|change| (change.name, change.revision)).collect();
        let ready = self.entries[entry].ready;
        let linked = self.is_linked(entry);
        let process = (entry, start);
        self.record(HistoryEvent::ConfigShown { process, ready, linked, revisions });
    }

    /// Tells whether an instance reaches the store, directly or over live peers.
    fn is_linked(&self, entry: EntryIndex) -> bool {
        let awake = |index: &EntryIndex| {
            self.entries[*index].process.as_ref().is_some_and(|process| !process.paused)
        };
        let mut seen = vec![entry];
        let mut next = 0;
        while let Some(from) = seen.get(next).copied() {
            if self.reaches(Party::Store, Party::Entry(from)) {
                return true;
            }
            let peers = (0..self.entries.len()).filter(awake);
            let reached: Vec<_> = peers
                .filter(|peer| !seen.contains(peer))
                .filter(|peer| self.reaches(Party::Entry(from), Party::Entry(*peer)))
                .collect();
            seen.extend(reached);
            next += 1;
        }
        false
    }

    /// Carries out a request at the store; its answer may be lost afterwards.
    pub(super) fn on_store(&mut self, exchange: ExchangeRef, request: &StoreRequest) {
        if !self.reaches(Party::Store, Party::Entry(exchange.entry)) {
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
        self.send_back(Party::Store, exchange, event);
    }

    pub(super) fn open_watch(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        from: StoreRevision,
    ) {
        let reachable = self.reaches(Party::Store, Party::Entry(entry));
        let cursor = reachable.then(|| self.store.watch_prefix(self.now, CONFIG_PREFIX, from));
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        process.next_watch += 1;
        let number = process.next_watch;
        let cursor = cursor.and_then(Result::ok);
        let opened = cursor.is_some();
        process.watch = Some(WatchState { number, cursor, silent_since: None, ends_at: None });
        let delay = if opened { Duration::from_millis(2) } else { OPEN_TIMEOUT };
        self.queue.push(self.now + delay, Action::Watch(entry, start, number));
    }

    /// Delivers the changes that a watch has not delivered yet.
    pub(super) fn poll_watch(&mut self, entry: EntryIndex, start: StartNumber, number: u64) {
        if !self.is_awake(entry, start, || Action::Watch(entry, start, number)) {
            return;
        }
        let reachable = self.reaches(Party::Store, Party::Entry(entry));
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
        if !reachable || watch.ends_at.is_some() {
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
            let delay = self.network.delay(&mut self.rng);
            self.queue.push(self.now + delay, Action::Watch(entry, start, number));
        }
    }

    /// Notices a cut between a process and the store. After it a watch goes on, ends, or stays
    /// silent until its client ends it.
    pub(super) fn check_watch(&mut self, entry: EntryIndex) {
        let reachable = self.reaches(Party::Store, Party::Entry(entry));
        let now = self.now;
        let fate = self.rng.random_range(0..3);
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        let start = process.start;
        let Some(watch) = process.watch.as_mut() else {
            return;
        };
        if !reachable {
            watch.silent_since.get_or_insert(now);
            return;
        }
        let was_silent = watch.silent_since.take().is_some();
        match fate {
            0 if was_silent => watch.cursor = None,
            1 if was_silent => watch.ends_at = Some(now + WATCH_SILENCE),
            _ => {}
        }
        if watch.ends_at.is_some_and(|end| now >= end) {
            (watch.cursor, watch.ends_at) = (None, None);
        }
        let number = watch.number;
        self.queue.push(now, Action::Watch(entry, start, number));
    }

    /// Keeps the list as it is now; instances are shown it after the lag.
    pub(super) fn snapshot_list(&mut self) {
        let mut list: Vec<ListedInstance> = Vec::new();
        for (index, host) in self.entries.iter().enumerate() {
            let ended = |since: Duration| self.now >= since + LIST_DROPS_AFTER;
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
        self.lists.push_back((self.now, list));
        if self.lists.len() > KEPT_LISTS {
            self.lists.pop_front();
        }
    }

    /// Returns the list as it is shown now.
    pub(super) fn listed(&self) -> Vec<ListedInstance> {
        let shown = self.lists.iter().rev().find(|(at, _)| *at + self.list_lag <= self.now);
        shown.or(self.lists.front()).map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

fn profile_text(name: &str, variant: u64) -> String {
    let (kind, deadline_ms) = match name {
        STANDING_ORDERS => ("batch", 600_000 + variant),
        _ => ("urgent", 10_000 + variant),
    };
    serde_json::json!({
        "name": name,
        "kind": kind,
        "deadline_ms": deadline_ms,
        "idempotent": name == MORNING_RUSH,
        "max_run_ms": 30_000,
    })
    .to_string()
}
