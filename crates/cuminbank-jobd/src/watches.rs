//! Store watches: requests of operators, ownership records, jobs of an owned cell and executor
//! entries.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use cuminbank::log::{EVACUATIONS_IN_FORCE, POOL_CONFIG_IN_FORCE, POOL_CONFIG_UNREADABLE};
use cuminbank_jobs::{
    ids::{MonotonicTime, StoreRevision, ZoneName},
    keys::{parse_owner_cell, OWNER_PREFIX, PLAN_KEY},
    order::ExecutorReport,
    pace::WatchPace,
    scheduler::{DecisionRecord, JobEvent},
    store::{StoreCall, StoreChange, StoreItem, StoreReply},
};
use cuminbank_platform::{
    config::decode_config, evacuated_zone, store::WatchReply, CONFIG_KEY, EXECUTOR_PREFIX,
    OPERATOR_PREFIX,
};
use monoio::time;

use crate::{cell::CellState, clock, daemon::DaemonState, store::WatchCall};

/// Longest long-poll timeout of the watch of operators' requests.
const MAX_OPERATOR_WAIT: Duration = Duration::from_millis(900);
/// Share of the time until a request has to take effect that the watch may wait, in percent. The
/// request must take effect in time even if the connection of the watch no longer delivers
/// anything.
const OPERATOR_WAIT_PERCENT: u32 = 45;
/// Long-poll timeout of a watch of the ownership records. Also bounds the time until a dead
/// connection is detected.
const OWNER_WAIT: Duration = Duration::from_millis(1_500);
/// Long-poll timeout of the owner's watch of its cell.
const POOL_WAIT: Duration = Duration::from_millis(1_000);
/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before the next attempt after a read or watch without a reply.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Long-poll timeout of the owner's watch of the executor entries.
const EXECUTORS_WAIT: Duration = Duration::from_millis(1_000);
/// Delay before each watch of the executor entries, which change with every heartbeat. A draining
/// executor must receive no new work after 2 s.
const EXECUTORS_PAUSE: Duration = Duration::from_millis(400);

/// Update that a watch delivers to its consumer.
enum WatchUpdate {
    /// All items under the prefix, and the revision of the read.
    Snapshot(Vec<StoreItem>, StoreRevision),
    /// Changes in order. Also delivered empty after every watch, so that the consumer can stop.
    Changes(Vec<StoreChange>),
}

/// Reads a prefix and then watches it, until `consume` returns false. With `from`, watches from that
/// revision instead of reading first. `consume` also gets the time at which the store had no further
/// changes, or `None` if it has not replied.
async fn follow(
    state: &Rc<DaemonState>,
    prefix: &str,
    mut pace: WatchPace,
    from: Option<StoreRevision>,
    mut consume: impl FnMut(WatchUpdate, Option<MonotonicTime>) -> bool,
) {
    let mut after = from;
    let mut misses = 0;
    loop {
        let Some(revision) = after else {
            let sent_at = clock::now();
            let call = StoreCall::Read { prefix: prefix.to_owned() };
            match state.call_store(&call, READ_TIMEOUT).await {
                Ok(StoreReply::Items { items, revision }) => {
                    after = Some(revision);
                    if !consume(WatchUpdate::Snapshot(items, revision), Some(sent_at)) {
                        return;
                    }
                }
                _ => time::sleep(RETRY_PAUSE).await,
            }
            continue;
        };
        let log = |record| state.log(&record);
        time::sleep(pace.pause()).await;
        let call =
            WatchCall { prefix, after: revision, wait: pace.wait(), margin: pace.margin(), misses };
        let sent_at = clock::now();
        match state.store.watch(&call, log).await {
            Ok(WatchReply::Changes(changes, next)) => {
                after = Some(next.max(revision));
                misses = 0;
                pace.record_answer(changes.len());
                // Without changes, the store has replied at the end of the wait.
                let complete_at = match changes.is_empty() {
                    true => clock::now().min(sent_at + call.wait),
                    false => sent_at,
                };
                if !consume(WatchUpdate::Changes(changes), Some(complete_at)) {
                    return;
                }
            }
            Ok(WatchReply::Compacted) => after = None,
            Err(_) => {
                misses += 1;
                pace.record_failure();
                time::sleep(RETRY_PAUSE).await;
            }
        }
        if !consume(WatchUpdate::Changes(Vec::new()), None) {
            return;
        }
    }
}

/// Follows the requests of operators: activates each new version of the configuration, and begins
/// and ends the evacuation of zones.
pub(crate) async fn follow_operator_requests(state: Rc<DaemonState>) {
    let bound = state.settings.operator_bound() * OPERATOR_WAIT_PERCENT / 100;
    let wait = bound.min(MAX_OPERATOR_WAIT);
    let pace = WatchPace::new(wait, Duration::ZERO);
    follow(&state, OPERATOR_PREFIX, pace, None, |update, complete_at| {
        let changed = match update {
            WatchUpdate::Snapshot(items, _) => {
                items.iter().for_each(|item| apply_config(&state, item));
                let zones = items.iter().filter_map(|item| evacuated_zone(&item.key));
                let zones: BTreeSet<ZoneName> = zones.map(str::to_owned).collect();
                state.evacuations.borrow_mut().replace(zones)
            }
            WatchUpdate::Changes(changes) => {
                let mut changed = false;
                for change in &changes {
                    changed |= apply_operator_change(&state, change);
                }
                changed
            }
        };
        if let Some(at) = complete_at {
            state.config.borrow_mut().confirm(at);
        }
        if changed {
            apply_evacuations(&state);
        }
        true
    })
    .await;
}

/// Returns whether the change begins or ends the evacuation of a zone.
fn apply_operator_change(state: &Rc<DaemonState>, change: &StoreChange) -> bool {
    let (key, evacuated) = match change {
        StoreChange::Written(item) => {
            apply_config(state, item);
            (&item.key, true)
        }
        StoreChange::Removed { key, .. } => (key, false),
    };
    evacuated_zone(key).is_some_and(|zone| state.evacuations.borrow_mut().update(zone, evacuated))
}

/// Passes the zones under evacuation to the schedulers of the owned cells.
fn apply_evacuations(state: &Rc<DaemonState>) {
    let Some(zones) = state.evacuations.borrow().zones().cloned() else { return };
    let detail = format!("zones={}", zones.iter().cloned().collect::<Vec<_>>().join(","));
    state.log(&DecisionRecord { code: EVACUATIONS_IN_FORCE, job: None, detail });
    for cell in state.all_cells() {
        cell.apply(state, JobEvent::EvacuationsChanged { zones: zones.clone() });
    }
}

/// Activates the configuration if the item contains a newer one.
pub(crate) fn apply_config(state: &Rc<DaemonState>, item: &StoreItem) {
    if item.key != CONFIG_KEY {
        return;
    }
    match decode_config(&item.value) {
        Ok(config) => {
            let detail = format!(
                "version={} queues={} revision={}",
                config.version,
                config.queues.len(),
                item.revision
            );
            let share = config.connection_share();
            if state.config.borrow_mut().offer(config) {
                state.set_connection_share(share);
                state.log(&DecisionRecord { code: POOL_CONFIG_IN_FORCE, job: None, detail });
            }
        }
        Err(error) => {
            let detail = format!("revision={} error={error}", item.revision);
            state.log(&DecisionRecord { code: POOL_CONFIG_UNREADABLE, job: None, detail });
        }
    }
}

/// Follows the ownership records, the plan of the pool and the entries of the instances.
pub(crate) async fn follow_owners(state: Rc<DaemonState>) {
    let pace = WatchPace::new(OWNER_WAIT, Duration::ZERO);
    follow(&state, OWNER_PREFIX, pace, None, |update, _| {
        match update {
            WatchUpdate::Snapshot(items, revision) => {
                state.apply_instances(&items, revision);
                state.apply_owners(&items, revision);
            }
            WatchUpdate::Changes(changes) => {
                for change in &changes {
                    state.apply_instance_change(change);
                    apply_owner_change(&state, change);
                }
            }
        }
        state.release_if_behind();
        true
    })
    .await;
}

fn apply_owner_change(state: &Rc<DaemonState>, change: &StoreChange) {
    match change {
        // The cells of a pool that has just been divided have no owner yet.
        StoreChange::Written(item) if item.key == PLAN_KEY => {
            state.apply_owners(std::slice::from_ref(item), item.revision);
        }
        StoreChange::Written(item) => {
            if let Some(cell) = parse_owner_cell(&item.key).and_then(|cell| state.cell(cell)) {
                cell.observe_owner(state, item.revision, Some(item));
            }
        }
        StoreChange::Removed { key, revision } => {
            if let Some(cell) = parse_owner_cell(key).and_then(|cell| state.cell(cell)) {
                cell.observe_owner(state, *revision, None);
            }
        }
    }
}

/// Loads a cell for its new owner, this process, and follows it until the generation is over.
pub(crate) async fn follow_pool(state: Rc<DaemonState>, cell: Rc<CellState>, generation: u64) {
    let Some(revision) = load_pool(&state, &cell, generation).await else { return };
    let pace = WatchPace::new(POOL_WAIT, Duration::ZERO);
    follow(&state, &cell.keys.pool_prefix, pace, Some(revision), |update, _| {
        let changes = match update {
            WatchUpdate::Snapshot(items, _) => {
                items.into_iter().map(StoreChange::Written).collect()
            }
            WatchUpdate::Changes(changes) => changes,
        };
        // Process changes of the owner first, so that this process accepts no job that was written
        // after it lost the ownership.
        for change in &changes {
            if let StoreChange::Written(item) = change {
                if cell.keys.is_owner_key(&item.key) {
                    cell.observe_owner(&state, item.revision, Some(item));
                }
            }
        }
        if !cell.is_current(generation) {
            return false;
        }
        if !changes.is_empty() {
            cell.apply(&state, JobEvent::PoolChanged { changes });
        }
        true
    })
    .await;
}

async fn load_pool(
    state: &Rc<DaemonState>,
    cell: &Rc<CellState>,
    generation: u64,
) -> Option<StoreRevision> {
    while cell.is_current(generation) {
        let ledger = StoreCall::Read { prefix: cell.keys.ledger_prefix.clone() };
        let pool = StoreCall::Read { prefix: cell.keys.pool_prefix.clone() };
        // Only the owner writes the ledger, so it does not change between the two reads.
        let ledger = state.call_store(&ledger, READ_TIMEOUT).await;
        let pool = state.call_store(&pool, READ_TIMEOUT).await;
        let (
            Ok(StoreReply::Items { items: mut all, .. }),
            Ok(StoreReply::Items { items, revision }),
        ) = (ledger, pool)
        else {
            time::sleep(RETRY_PAUSE).await;
            continue;
        };
        if !cell.is_current(generation) {
            return None;
        }
        // Without the zones under evacuation, the owner could start work in one of them.
        let Some(zones) = state.evacuations.borrow().zones().cloned() else {
            time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let stored_by = |key: &str| {
            let item = all.iter().find(|item| item.key == key)?;
            state.store.reached_by(item.revision)
        };
        let written_by = stored_by(&cell.keys.sequence);
        let handed_over_by = stored_by(&cell.keys.lease_handover);
        all.extend(items);
        cell.apply(state, JobEvent::EvacuationsChanged { zones });
        cell.apply(state, JobEvent::Loaded { items: all, written_by, handed_over_by });
        return Some(revision);
    }
    None
}

/// Follows the executor entries until the generation is over. Watches them, since repeated reads of
/// all entries would take several Mbit/s with hundreds of executors.
pub(crate) async fn follow_executors(state: Rc<DaemonState>, cell: Rc<CellState>, generation: u64) {
    let mut entries: BTreeMap<String, ExecutorReport> = BTreeMap::new();
    let mut changed = false;
    let pace = WatchPace::new(EXECUTORS_WAIT, EXECUTORS_PAUSE);
    follow(&state, EXECUTOR_PREFIX, pace, None, |update, _| {
        if !cell.is_current(generation) {
            return false;
        }
        match update {
            WatchUpdate::Snapshot(items, _) => {
                entries.clear();
                items.iter().for_each(|item| apply_entry(&mut entries, item));
                changed = true;
            }
            WatchUpdate::Changes(changes) => {
                changed |= !changes.is_empty();
                for change in &changes {
                    match change {
                        StoreChange::Written(item) => apply_entry(&mut entries, item),
                        StoreChange::Removed { key, .. } => {
                            entries.remove(key);
                        }
                    }
                }
            }
        }
        if std::mem::take(&mut changed) {
            state.metrics.count("list.told", "");
            let own = entries.values().filter(|report| state.is_in_cell(report, cell.id));
            let reports = own.cloned().collect();
            cell.apply(&state, JobEvent::Listed { reports });
        }
        true
    })
    .await;
}

/// Adds, updates or, if the entry is invalid, removes an executor.
fn apply_entry(entries: &mut BTreeMap<String, ExecutorReport>, item: &StoreItem) {
    match cuminbank_platform::executor::decode_entry(item) {
        Some(report) => entries.insert(item.key.clone(), report),
        None => entries.remove(&item.key),
    };
}
