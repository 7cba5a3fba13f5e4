//! Active configuration. It is read and watched in the store, exchanged between peers, and sent by
//! the operator's tool.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use serde_json::json;

use crate::{
    effect::{CallerAnswer, EntryEffect},
    event::ExchangeError,
    ids::{ExchangeId, MonotonicTime, ReplyId, StoreRevision},
    log::{CONFIG_IN_FORCE, CONFIG_REJECTED, CONFIG_STARTED},
    message::{PeerReply, PeerRequest},
    profile::{ProfileChange, WorkProfile},
    profile_set::{MergeOutcome, ProfileSet},
    settings::EntrySettings,
    store::{StoreReply, StoreRequest, StoreValue, WatchChange, CONFIG_PREFIX, PROFILE_PREFIX},
};

use super::{
    groups::GroupPart,
    step::{ReducerPart, StepContext},
};

const READ_TIMEOUT: Duration = Duration::from_secs(1);
const READ_RETRY: Duration = Duration::from_millis(500);
/// Interval of full reads, which find changes that a watch missed without an error. A change is active
/// within the required 6 s even if one read is lost: its connection may be as silent as the watch.
const READ_INTERVAL: Duration = Duration::from_secs(3);
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
const FETCH_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an answer of the store after which the configuration of peers is sufficient to
/// start.
const STORE_WAIT: Duration = Duration::from_secs(2);
/// Time after the start at which the configuration of peers is first fetched, so that their replies
/// arrive before [`STORE_WAIT`] has passed.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(500);
/// Number of stored next fetch times at which those that have passed are removed. They no longer
/// delay a fetch.
const MAX_FETCH_TIMES: usize = 256;

/// Result of the last fetch from a peer named in the settings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum PeerMerge {
    #[default]
    NotTried,
    Merged,
    NoAnswer,
}

/// Set of profiles, and the state of its synchronisation with the store and with peers.
#[derive(Debug)]
pub struct ConfigPart {
    set: ProfileSet,
    ready: bool,
    started: Option<MonotonicTime>,
    reading: Option<ExchangeId>,
    next_read: MonotonicTime,
    watching: bool,
    peers: BTreeMap<SocketAddr, PeerMerge>,
    fetches: HashMap<ExchangeId, SocketAddr>,
    next_fetch: HashMap<SocketAddr, MonotonicTime>,
}

impl ConfigPart {
    /// Creates the part without any profile.
    pub fn new(settings: &EntrySettings) -> Self {
        let peers = settings.peers.values().flatten().copied();
        let peers = peers.filter(|address| *address != settings.peer_address);
        Self {
            set: ProfileSet::default(),
            ready: false,
            started: None,
            reading: None,
            next_read: MonotonicTime::ZERO,
            watching: false,
            peers: peers.map(|address| (address, PeerMerge::NotTried)).collect(),
            fetches: HashMap::new(),
            next_fetch: HashMap::new(),
        }
    }

    /// Adds a profile and reports the part as ready, for tests of other parts.
    #[doc(hidden)]
    pub fn with_profile(mut self, profile: WorkProfile) -> Self {
        let text = serde_json::to_string(&profile).expect("a work profile serializes to JSON");
        let revision = self.set.revision() + 1;
        self.set.merge(ProfileChange { name: profile.name, revision, profile: Some(text) });
        self.ready = true;
        self
    }

    /// Returns an active profile by name.
    pub fn profile(&self, name: &str) -> Option<&WorkProfile> {
        self.set.profile(name)
    }

    /// Returns whether a configuration has been loaded, so that calls can be served.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the highest revision in the set.
    pub fn revision(&self) -> StoreRevision {
        self.set.revision()
    }

    /// Returns the checksum of the set.
    pub fn checksum(&self) -> u32 {
        self.set.checksum()
    }

    /// Returns the latest change of each profile, including deletions.
    pub fn changes(&self) -> Vec<ProfileChange> {
        self.set.changes()
    }

    /// Returns the reply to a peer that fetches the set; `NotOwner` before the first load, since
    /// the peer must not start with an empty set.
    pub fn peer_reply(&self) -> PeerReply {
        if self.ready {
            PeerReply::Config(self.changes())
        } else {
            PeerReply::NotOwner
        }
    }

    /// Merges changes reported by the watch.
    pub fn on_watch_changed(
        &mut self,
        step: &mut StepContext,
        _revision: StoreRevision,
        changes: Vec<WatchChange>,
    ) {
        for change in changes {
            let change = match change {
                WatchChange::Put(value) => profile_change(&value),
                WatchChange::Delete(key, revision) => key
                    .strip_prefix(PROFILE_PREFIX)
                    .map(|name| ProfileChange { name: name.to_owned(), revision, profile: None }),
            };
            if let Some(change) = change {
                self.merge(step, change);
            }
        }
    }

    /// Schedules a full read after the watch ended.
    pub fn on_watch_lost(&mut self, step: &mut StepContext) {
        self.watching = false;
        self.next_read = step.now() + READ_RETRY;
    }

    /// Merges changes that the operator's tool sends after it committed them to the store.
    pub fn on_offered(
        &mut self,
        step: &mut StepContext,
        reply: ReplyId,
        changes: Vec<ProfileChange>,
    ) {
        for change in changes {
            self.merge(step, change);
        }
        let body = json!({ "revision": self.revision(), "checksum": self.checksum() });
        step.answer(reply, CallerAnswer::new_done(200, Bytes::from(body.to_string())));
    }

    /// Fetches the set of a peer if its revision or checksum differs from the local one.
    pub fn on_peer_set(
        &mut self,
        step: &mut StepContext,
        peer: SocketAddr,
        revision: StoreRevision,
        checksum: u32,
    ) {
        let differs = checksum != self.checksum() || revision != self.revision();
        // Revision 0 means that the peer has no changes to offer.
        if differs && revision > 0 {
            self.fetch(step, peer);
        }
    }

    fn fetch(&mut self, step: &mut StepContext, peer: SocketAddr) {
        let now = step.now();
        if self.next_fetch.get(&peer).is_some_and(|next| now < *next) {
            return;
        }
        if self.next_fetch.len() >= MAX_FETCH_TIMES {
            self.next_fetch.retain(|_, next| now < *next);
        }
        self.next_fetch.insert(peer, now + FETCH_INTERVAL);
        let exchange = step.begin_exchange(ReducerPart::Config);
        self.fetches.insert(exchange, peer);
        let (request, timeout) = (PeerRequest::FetchConfig, FETCH_TIMEOUT);
        step.push(EntryEffect::CallPeer { exchange, to: peer, request, timeout });
    }

    /// Handles the result of a full read, and starts the watch if needed.
    pub fn on_store_ended(
        &mut self,
        step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<StoreReply, ExchangeError>,
    ) {
        if self.reading != Some(exchange) {
            return;
        }
        self.reading = None;
        let Ok(StoreReply::Range { revision, values }) = result else {
            self.next_read = step.now() + READ_RETRY;
            return;
        };
        self.next_read = step.now() + READ_INTERVAL;
        let changed = self.merge_read(step, revision, &values);
        // A read that finds changes shows that the watch does not deliver them, so it is started
        // again.
        if !self.watching || changed {
            self.watching = true;
            step.push(EntryEffect::WatchConfig { from: revision + 1 });
        }
        self.set_ready(step, "read from the store");
    }

    fn merge_read(
        &mut self,
        step: &mut StepContext,
        revision: StoreRevision,
        values: &[StoreValue],
    ) -> bool {
        let found: Vec<_> = values.iter().filter_map(profile_change).collect();
        let deletions = self.set.deletions(&found, revision);
        let mut changed = false;
        for change in found.into_iter().chain(deletions) {
            changed |= self.merge(step, change);
        }
        changed
    }

    /// Merges the set fetched from a peer.
    pub fn on_peer_ended(
        &mut self,
        step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<PeerReply, ExchangeError>,
    ) {
        let Some(peer) = self.fetches.remove(&exchange) else { return };
        let outcome = match result {
            Ok(PeerReply::Config(changes)) => {
                for change in changes {
                    self.merge(step, change);
                }
                PeerMerge::Merged
            }
            _ => PeerMerge::NoAnswer,
        };
        if let Some(merge) = self.peers.get_mut(&peer) {
            *merge = outcome;
        }
    }

    /// Starts full reads that are due, and fetches from peers until a configuration is loaded.
    pub fn on_tick(&mut self, step: &mut StepContext, _groups: &GroupPart) {
        let now = step.now();
        let started = *self.started.get_or_insert(now);
        if self.reading.is_none() && now >= self.next_read {
            let exchange = step.begin_exchange(ReducerPart::Config);
            self.reading = Some(exchange);
            let request = StoreRequest::Range { key: CONFIG_PREFIX.to_owned(), prefix: true };
            step.push(EntryEffect::CallStore { exchange, request, timeout: READ_TIMEOUT });
        }
        if !self.ready && now >= started + PEER_FETCH_DELAY {
            self.start_from_peers(step, now >= started + STORE_WAIT);
        }
    }

    /// Fetches the sets of all peers in the settings. They are sufficient to start once each peer
    /// was tried and at least one replied.
    fn start_from_peers(&mut self, step: &mut StepContext, store_wait_over: bool) {
        let unmerged = self.peers.iter().filter(|(_, merge)| **merge != PeerMerge::Merged);
        let unmerged: Vec<_> = unmerged.map(|(address, _)| *address).collect();
        for address in unmerged {
            self.fetch(step, address);
        }
        let tried = self.peers.values().all(|merge| *merge != PeerMerge::NotTried);
        let merged = self.peers.values().any(|merge| *merge == PeerMerge::Merged);
        if store_wait_over && tried && merged {
            self.set_ready(step, "read from peers");
        }
    }

    fn set_ready(&mut self, step: &mut StepContext, source: &str) {
        if !std::mem::replace(&mut self.ready, true) {
            step.log(CONFIG_STARTED, format!("revision {}, {source}", self.revision()));
        }
    }

    /// Merges a change. Returns whether it was new.
    fn merge(&mut self, step: &mut StepContext, change: ProfileChange) -> bool {
        let (name, revision) = (change.name.clone(), change.revision);
        let outcome = match step.guards.revision_merge {
            true => self.set.merge(change),
            false => self.set.put(change),
        };
        match outcome {
            MergeOutcome::Known => false,
            MergeOutcome::InForce => {
                step.log(CONFIG_IN_FORCE, format!("profile {name} revision {revision}"));
                true
            }
            MergeOutcome::Rejected(error) => {
                step.log(CONFIG_REJECTED, format!("profile {name} revision {revision}: {error}"));
                true
            }
        }
    }

    /// Returns the status of the configuration as JSON.
    pub fn status(&self) -> serde_json::Value {
        let profiles = self.set.changes().into_iter().map(|change| {
            json!({
                "name": change.name,
                "revision": change.revision,
                "deleted": change.profile.is_none(),
                "in_force": self.profile(&change.name).is_some(),
            })
        });
        json!({
            "ready": self.ready,
            "revision": self.revision(),
            "checksum": self.checksum(),
            "watching": self.watching,
            "profiles": profiles.collect::<Vec<_>>(),
        })
    }
}

fn profile_change(value: &StoreValue) -> Option<ProfileChange> {
    let name = value.key.strip_prefix(PROFILE_PREFIX)?;
    // Invalid UTF-8 becomes an invalid profile, which the merge rejects and logs.
    let text = String::from_utf8_lossy(&value.value).into_owned();
    Some(ProfileChange { name: name.to_owned(), revision: value.mod_revision, profile: Some(text) })
}
