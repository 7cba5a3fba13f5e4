//! Configuration in force: the store's watch, spread between peers, and operators' offers.

use std::collections::BTreeMap;

use crate::{
    effect::CallerAnswer,
    event::ExchangeError,
    ids::{ExchangeId, ProfileName, ReplyId, StoreRevision},
    message::PeerReply,
    profile::{ProfileChange, WorkProfile},
    settings::EntrySettings,
    store::{StoreReply, WatchChange},
};

use super::{groups::GroupPart, step::StepContext};

/// Configuration in force.
#[derive(Debug)]
pub struct ConfigPart {
    profiles: BTreeMap<ProfileName, WorkProfile>,
}

#[allow(unused_variables, reason = "skeleton")]
impl ConfigPart {
    /// Creates the part.
    pub fn new(settings: &EntrySettings) -> Self {
        Self { profiles: BTreeMap::new() }
    }

    /// Puts a profile in force, for tests of other parts.
    #[doc(hidden)]
    pub fn with_profile(mut self, profile: WorkProfile) -> Self {
        self.profiles.insert(profile.name.clone(), profile);
        self
    }

    /// Returns a profile in force.
    pub fn profile(&self, name: &str) -> Option<&WorkProfile> {
        self.profiles.get(name)
    }

    /// Tells whether a first configuration was read, so that calls may be served.
    pub fn is_ready(&self) -> bool {
        false
    }

    /// Returns the highest revision in force.
    pub fn revision(&self) -> StoreRevision {
        0
    }

    /// Returns the checksum of the set in force.
    pub fn checksum(&self) -> u32 {
        0
    }

    /// Returns all profiles, deleted ones included.
    pub fn changes(&self) -> Vec<ProfileChange> {
        Vec::new()
    }

    /// Handles changes seen by the watch.
    pub fn on_watch_changed(
        &mut self,
        step: &mut StepContext,
        revision: StoreRevision,
        changes: Vec<WatchChange>,
    ) {
    }

    /// Reads everything again after the watch ended.
    pub fn on_watch_lost(&mut self, step: &mut StepContext) {}

    /// Handles changes that an operator offers after their commit.
    pub fn on_offered(
        &mut self,
        step: &mut StepContext,
        reply: ReplyId,
        changes: Vec<ProfileChange>,
    ) {
        step.answer(reply, CallerAnswer::new_not_run(503, "not implemented"));
    }

    /// Compares a peer's set with the own one and fetches it if it differs.
    pub fn on_peer_set(
        &mut self,
        step: &mut StepContext,
        peer: std::net::SocketAddr,
        revision: StoreRevision,
        checksum: u32,
    ) {
    }

    /// Handles the end of an exchange with the store.
    pub fn on_store_ended(
        &mut self,
        step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<StoreReply, ExchangeError>,
    ) {
    }

    /// Handles the end of an exchange with a peer.
    pub fn on_peer_ended(
        &mut self,
        step: &mut StepContext,
        exchange: ExchangeId,
        result: Result<PeerReply, ExchangeError>,
    ) {
    }

    /// Starts the first read, the watch, and reads that failed.
    pub fn on_tick(&mut self, step: &mut StepContext, groups: &GroupPart) {}

    /// Returns the state shown to operators.
    pub fn status(&self) -> serde_json::Value {
        serde_json::json!({})
    }
}
