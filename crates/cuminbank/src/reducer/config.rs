//! Configuration in force: the store's watch, spread between peers, and operators' offers.

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

const READ_TIMEOUT: Duration = Duration::from_secs(2);
const READ_RETRY: Duration = Duration::from_millis(500);
/// A full read finds changes that a watch missed without noticing: its connection can go silent for
/// good. With 2 s for the read this stays within the 6 s in which a change has to be in force.
const READ_INTERVAL: Duration = Duration::from_secs(4);
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
const FETCH_INTERVAL: Duration = Duration::from_secs(1);
/// Without the store for this time, the sets of the peers are enough to start with.
const STORE_WAIT: Duration = Duration::from_secs(2);
/// Peers are asked this long after the start, so that their answers are known in time.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(500);
/// Addresses whose last fetch is remembered; a peer that comes back is simply fetched again.
const MAX_FETCH_TIMES: usize = 256;

/// Result of the last fetch from a peer of the settings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum PeerMerge {
    #[default]
    NotTried,
    Merged,
    NoAnswer,
}

/// Configuration in force.
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
    /// Creates the part.
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

    /// Puts a profile in force, for tests of other parts.
    #[doc(hidden)]
    pub fn with_profile(mut self, profile: WorkProfile) -> Self {
        let text = serde_json::to_string(&profile).expect("profiles hold only plain values");
        let revision = self.set.revision() + 1;
        self.set.merge(ProfileChange { name: profile.name, revision, profile: Some(text) });
        self.ready = true;
        self
    }

    /// Returns a profile in force.
    pub fn profile(&self, name: &str) -> Option<&WorkProfile> {
        self.set.profile(name)
    }

    /// Tells whether a first configuration was read, so that calls may be served.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the highest revision in force.
    pub fn revision(&self) -> StoreRevision {
        self.set.revision()
    }

    /// Returns the checksum of the set in force.
    pub fn checksum(&self) -> u32 {
        self.set.checksum()
    }

    /// Returns all profiles, deleted ones included.
    pub fn changes(&self) -> Vec<ProfileChange> {
        self.set.changes()
    }

    /// Answers a peer that wants the set. An instance that has not read a set yet has nothing that
    /// the peer could start with.
    pub fn peer_reply(&self) -> PeerReply {
        if self.ready {
            PeerReply::Config(self.changes())
        } else {
            PeerReply::NotOwner
        }
    }

    /// Handles changes seen by the watch.
    pub fn on_watch_changed(
        &mut self,
        step: &mut StepContext,
        _revision: StoreRevision,
        changes: Vec<WatchChange>,
    ) {
        for change in changes {
            let change = match change {
                WatchChange::Put(value) => change_of(&value),
                WatchChange::Delete(key, revision) => key
                    .strip_prefix(PROFILE_PREFIX)
                    .map(|name| ProfileChange { name: name.to_owned(), revision, profile: None }),
            };
            if let Some(change) = change {
                self.merge(step, change);
            }
        }
    }

    /// Reads everything again after the watch ended.
    pub fn on_watch_lost(&mut self, step: &mut StepContext) {
        self.watching = false;
        self.next_read = step.now() + READ_RETRY;
    }

    /// Handles changes that an operator offers after their commit.
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

    /// Compares a peer's set with the own one and fetches it if it differs.
    pub fn on_peer_set(
        &mut self,
        step: &mut StepContext,
        peer: SocketAddr,
        revision: StoreRevision,
        checksum: u32,
    ) {
        let differs = checksum != self.checksum() || revision != self.revision();
        // A peer without any change has nothing to give.
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

    /// Handles the end of an exchange with the store.
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
        // News in a read mean that the watch is not delivering.
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
        let found: Vec<_> = values.iter().filter_map(change_of).collect();
        let deletions = self.set.deletions(&found, revision);
        let mut changed = false;
        for change in found.into_iter().chain(deletions) {
            changed |= self.merge(step, change);
        }
        changed
    }

    /// Handles the end of an exchange with a peer.
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

    /// Starts the first read, the watch, and reads that failed.
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

    /// Fetches the sets of the peers of the settings; they are enough once every peer that
    /// answers was merged.
    fn start_from_peers(&mut self, step: &mut StepContext, waited: bool) {
        let unmerged = self.peers.iter().filter(|(_, merge)| **merge != PeerMerge::Merged);
        let unmerged: Vec<_> = unmerged.map(|(address, _)| *address).collect();
        for address in unmerged {
            self.fetch(step, address);
        }
        let tried = self.peers.values().all(|merge| *merge != PeerMerge::NotTried);
        let merged = self.peers.values().any(|merge| *merge == PeerMerge::Merged);
        if waited && tried && merged {
            self.set_ready(step, "read from peers");
        }
    }

    fn set_ready(&mut self, step: &mut StepContext, source: &str) {
        if !std::mem::replace(&mut self.ready, true) {
            step.log(CONFIG_STARTED, format!("revision {}, {source}", self.revision()));
        }
    }

    /// Merges a change and tells whether it was news.
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

    /// Returns the state shown to operators.
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

fn change_of(value: &StoreValue) -> Option<ProfileChange> {
    let name = value.key.strip_prefix(PROFILE_PREFIX)?;
    // Text that is no UTF-8 is no valid profile either; the merge rejects and logs it.
    let text = String::from_utf8_lossy(&value.value).into_owned();
    Some(ProfileChange { name: name.to_owned(), revision: value.mod_revision, profile: Some(text) })
}
