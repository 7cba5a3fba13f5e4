//! Entry of this instance in the store, and the format version of the pool.

use std::{rc::Rc, time::Duration};

use cuminbank::log::{POOL_FORMAT_CHANGED, POOL_FORMAT_UNSUPPORTED};
use cuminbank_jobs::{
    formats::SUPPORTED_FORMATS,
    ids::{LeaseId, StoreRevision},
    instances::{InstanceEntry, ENTRY_RENEW_INTERVAL, ENTRY_TTL},
    scheduler::DecisionRecord,
    store::{StoreCall, StoreChange, StoreItem, StoreReply, StoreTxn, TxnOutcome},
};
use monoio::time;
use serde_json::{json, Value};

use crate::{clock, daemon::DaemonState};

/// Version and commit of this build.
pub(crate) const BUILD_NAME: &str = env!("CUMINBANK_BUILD");

/// Range over which instances spread their registrations and renewals, which are calls to the
/// store, when many of them start at the same time.
const REGISTRATION_SPREAD: Duration = Duration::from_secs(3);
/// Range of the registrations if the division of a new pool waits for them. The calls of 42
/// instances are then 84 a second.
const EARLY_SPREAD: Duration = Duration::from_secs(1);
/// Delay before the next attempt to register while the division of a new pool waits for it.
const EARLY_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Delay before the next attempt after a failed registration or renewal.
const RETRY_PAUSE: Duration = Duration::from_secs(3);
/// Timeout of a store call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Registers this instance and renews its entry, and raises the format version of the pool when it
/// can be raised.
pub(crate) async fn keep_registered(state: Rc<DaemonState>) {
    let settings = &state.settings;
    let hash = crc32fast::hash(settings.instance.as_bytes());
    let spread = if settings.adaptive_division { EARLY_SPREAD } else { REGISTRATION_SPREAD };
    time::sleep(spread.mul_f64(f64::from(hash % 1_000) / 1_000.0)).await;
    let entry = InstanceEntry {
        instance: settings.instance.clone(),
        start: state.start,
        peer_address: settings.peer_address,
        build: BUILD_NAME.to_owned(),
        formats: SUPPORTED_FORMATS,
    };
    let mut lease: Option<LeaseId> = None;
    loop {
        let kept = match lease {
            Some(lease) => renew(&state, lease).await,
            None => Some(false),
        };
        let registered = match kept {
            Some(true) if state.registry.borrow().contains(&entry) => true,
            Some(_) => {
                lease = register(&state, &entry).await;
                lease.is_some()
            }
            // The lease may still exist, and the entry with it.
            None => false,
        };
        raise_version(&state).await;
        let awaited = settings.adaptive_division && state.plan().is_none();
        let retry_pause = if awaited { EARLY_RETRY_PAUSE } else { RETRY_PAUSE };
        time::sleep(if registered { ENTRY_RENEW_INTERVAL } else { retry_pause }).await;
    }
}

/// Returns whether the lease still exists, or `None` if the store does not reply.
async fn renew(state: &Rc<DaemonState>, lease: LeaseId) -> Option<bool> {
    match state.call_store(&StoreCall::Keep { lease }, CALL_TIMEOUT).await {
        Ok(StoreReply::Kept { alive }) => Some(alive),
        _ => None,
    }
}

async fn register(state: &Rc<DaemonState>, entry: &InstanceEntry) -> Option<LeaseId> {
    let ttl = ENTRY_TTL.max(state.settings.min_store_ttl());
    let granted = state.call_store(&StoreCall::Grant { ttl }, CALL_TIMEOUT).await;
    let Ok(StoreReply::Granted { lease }) = granted else { return None };
    let settings = &state.settings;
    let registration = match settings.adaptive_division {
        true => entry.registration_with(&settings.resources(), lease),
        false => entry.registration(lease),
    };
    match commit(state, registration).await {
        Some(TxnOutcome::Committed { .. }) => Some(lease),
        _ => None,
    }
}

/// Raises the format version of the pool. Only the owner of the first cell does, which sees the
/// requests of instances that have no entry.
async fn raise_version(state: &Rc<DaemonState>) {
    if !state.cell(0).is_some_and(|cell| cell.owns()) {
        return;
    }
    let raise = {
        let mut registry = state.registry.borrow_mut();
        registry.set_peers(state.relays.borrow().live(clock::now()));
        registry.raise()
    };
    if let Some(txn) = raise {
        // The watch of owners delivers the new version.
        commit(state, txn).await;
    }
}

async fn commit(state: &Rc<DaemonState>, txn: StoreTxn) -> Option<TxnOutcome> {
    match state.call_store(&StoreCall::Commit(txn), CALL_TIMEOUT).await {
        Ok(StoreReply::Txn(outcome)) => Some(outcome),
        _ => None,
    }
}

impl DaemonState {
    /// Returns whether this build cannot read the records of the pool.
    pub(crate) fn is_behind(&self) -> bool {
        self.registry.borrow().is_behind()
    }

    /// Applies all items under the prefix of owners, read at a revision.
    pub(crate) fn apply_instances(&self, items: &[StoreItem], revision: StoreRevision) {
        let before = self.format_detail();
        self.registry.borrow_mut().replace(items, revision);
        self.note_formats(&before);
    }

    /// Applies a change under the prefix of owners.
    pub(crate) fn apply_instance_change(&self, change: &StoreChange) {
        let before = self.format_detail();
        self.registry.borrow_mut().apply(change);
        self.note_formats(&before);
    }

    fn format_detail(&self) -> String {
        let registry = self.registry.borrow();
        format!(
            "version={} floor={} held_by={}",
            registry.pool_version(),
            registry.floor(),
            registry.holders().join(",")
        )
    }

    /// Gives up the cells if this build cannot read the records of the pool.
    pub(crate) fn release_if_behind(self: &Rc<Self>) {
        if self.is_behind() {
            self.all_cells().iter().for_each(|cell| cell.release(self));
        }
    }

    fn note_formats(&self, before: &str) {
        let detail = self.format_detail();
        if detail == before {
            return;
        }
        let code = if self.is_behind() { POOL_FORMAT_UNSUPPORTED } else { POOL_FORMAT_CHANGED };
        let detail = format!("{detail} reads={} build={BUILD_NAME}", SUPPORTED_FORMATS.newest);
        self.log(&DecisionRecord { code, job: None, detail });
    }

    /// Returns the versions of this build and of the pool for the operator API.
    pub(crate) fn format_status(&self) -> Value {
        let mut registry = self.registry.borrow_mut();
        registry.set_peers(self.relays.borrow().live(clock::now()));
        json!({
            "oldest": SUPPORTED_FORMATS.oldest,
            "newest": SUPPORTED_FORMATS.newest,
            "written": registry.write_version(),
            "pool": registry.pool_version(),
            "floor": registry.floor(),
            "held_by": registry.holders(),
        })
    }
}
