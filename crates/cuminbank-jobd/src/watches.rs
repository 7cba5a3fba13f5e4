//! Watches of the store: configuration, ownership and the pool.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use cuminbank::log::{POOL_CONFIG_IN_FORCE, POOL_CONFIG_UNREADABLE};
use cuminbank_jobs::{
    ids::StoreRevision,
    keys::{parse_owner_cell, OWNER_PREFIX, PLAN_KEY},
    order::ExecutorReport,
    pace::WatchPace,
    scheduler::{DecisionRecord, JobEvent},
    store::{StoreCall, StoreChange, StoreItem, StoreReply},
};
use cuminbank_platform::{config::decode_config, store::WatchReply, CONFIG_KEY, EXECUTOR_PREFIX};
use monoio::time;

use crate::{cell::CellState, daemon::DaemonState};

/// Wait of a watch of the configuration. A change must be in force within 2 s also if the watch's
/// connection has gone silent.
const CONFIG_WAIT: Duration = Duration::from_millis(900);
/// Wait of a watch of the ownership record, which also bounds how late a silent connection shows.
const OWNER_WAIT: Duration = Duration::from_millis(1_500);
/// Wait of the owner's watch of the pool.
const POOL_WAIT: Duration = Duration::from_millis(1_000);
/// Time for an answer of the store beyond a wait; a slow store answers after about 250 ms.
const WATCH_MARGIN: Duration = Duration::from_millis(450);
/// Time for an answer to a read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a read or a watch without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Wait of the owner's watch of the executors' entries.
const EXECUTORS_WAIT: Duration = Duration::from_millis(1_000);
/// Pause before each watch of the entries, which change with every heartbeat. An executor that drains
/// must get no new work after 2 s.
const EXECUTORS_PAUSE: Duration = Duration::from_millis(400);

/// What a watch delivers to its consumer.
enum WatchUpdate {
    /// Everything below the prefix, read anew.
    Snapshot(Vec<StoreItem>, StoreRevision),
    /// Changes in order.
    Changes(Vec<StoreChange>),
}

/// Reads a prefix and then watches it until `consume` returns false, with a pause before each watch that
/// waits for so long at most.
async fn follow(
    state: &Rc<DaemonState>,
    prefix: &str,
    (wait, pause): (Duration, Duration),
    from: Option<StoreRevision>,
    mut consume: impl FnMut(WatchUpdate) -> bool,
) {
    let mut after = from;
    let mut margin = WATCH_MARGIN;
    let mut pace = WatchPace::new(pause);
    loop {
        let Some(revision) = after else {
            let call = StoreCall::Read { prefix: prefix.to_owned() };
            match state.call_store(&call, READ_TIMEOUT).await {
                Ok(StoreReply::Items { items, revision }) => {
                    after = Some(revision);
                    if !consume(WatchUpdate::Snapshot(items, revision)) {
                        return;
                    }
                }
                _ => time::sleep(RETRY_PAUSE).await,
            }
            continue;
        };
        let log = |record| state.log(&record);
        time::sleep(pace.pause()).await;
        match state.store.watch(prefix, revision, wait, margin, log).await {
            Ok(WatchReply::Changes(changes, next)) => {
                margin = WATCH_MARGIN;
                after = Some(next.max(revision));
                pace.record_answer(changes.len());
                if !consume(WatchUpdate::Changes(changes)) {
                    return;
                }
            }
            Ok(WatchReply::Compacted) => after = None,
            Err(_) => {
                // A store that is slow rather than silent needs a longer margin.
                margin = (margin * 2).min(wait);
                time::sleep(RETRY_PAUSE).await;
            }
        }
        if !consume(WatchUpdate::Changes(Vec::new())) {
            return;
        }
    }
}

/// Keeps the configuration in force.
pub(crate) async fn follow_config(state: Rc<DaemonState>) {
    follow(&state, CONFIG_KEY, (CONFIG_WAIT, Duration::ZERO), None, |update| {
        let items: Vec<StoreItem> = match update {
            WatchUpdate::Snapshot(items, _) => items,
            WatchUpdate::Changes(changes) => changes.into_iter().filter_map(written_item).collect(),
        };
        for item in items.into_iter().filter(|item| item.key == CONFIG_KEY) {
            apply_config(&state, &item);
        }
        true
    })
    .await;
}

fn written_item(change: StoreChange) -> Option<StoreItem> {
    match change {
        StoreChange::Written(item) => Some(item),
        StoreChange::Removed { .. } => None,
    }
}

fn apply_config(state: &Rc<DaemonState>, item: &StoreItem) {
    match decode_config(&item.value) {
        Ok(config) => {
            let detail = format!(
                "version={} queues={} revision={}",
                config.version,
                config.queues.len(),
                item.revision
            );
            if state.config.borrow_mut().offer(config) {
                state.log(&DecisionRecord { code: POOL_CONFIG_IN_FORCE, job: None, detail });
            }
        }
        Err(error) => {
            let detail = format!("revision={} error={error}", item.revision);
            state.log(&DecisionRecord { code: POOL_CONFIG_UNREADABLE, job: None, detail });
        }
    }
}

/// Follows who owns the cells, and how the pool is divided.
pub(crate) async fn follow_owners(state: Rc<DaemonState>) {
    follow(&state, OWNER_PREFIX, (OWNER_WAIT, Duration::ZERO), None, |update| {
        match update {
            WatchUpdate::Snapshot(items, revision) => state.apply_owners(&items, revision),
            WatchUpdate::Changes(changes) => {
                for change in &changes {
                    apply_owner_change(&state, change);
                }
            }
        }
        true
    })
    .await;
}

fn apply_owner_change(state: &Rc<DaemonState>, change: &StoreChange) {
    match change {
        // Nobody owns a cell of a pool that has just been divided.
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

/// Loads a cell for a tenure and follows it until the tenure ends.
pub(crate) async fn follow_pool(state: Rc<DaemonState>, cell: Rc<CellState>, generation: u64) {
    let Some(revision) = load_pool(&state, &cell, generation).await else { return };
    follow(&state, &cell.keys.pool_prefix, (POOL_WAIT, Duration::ZERO), Some(revision), |update| {
        let changes = match update {
            WatchUpdate::Snapshot(items, _) => {
                items.into_iter().map(StoreChange::Written).collect()
            }
            WatchUpdate::Changes(changes) => changes,
        };
        // A change of the owner ends the tenure before jobs that follow it are taken in.
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
        // Only this tenure writes the ledger now, so that it does not change between the reads.
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
        all.extend(items);
        cell.apply(state, JobEvent::Loaded { items: all });
        return Some(revision);
    }
    None
}

/// Follows the executors' entries for a tenure. Reading them all again and again would take several
/// Mbit/s with hundreds of executors.
pub(crate) async fn follow_executors(state: Rc<DaemonState>, cell: Rc<CellState>, generation: u64) {
    let mut entries: BTreeMap<String, ExecutorReport> = BTreeMap::new();
    let mut changed = false;
    follow(&state, EXECUTOR_PREFIX, (EXECUTORS_WAIT, EXECUTORS_PAUSE), None, |update| {
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

/// Takes an entry; one that cannot be read names no executor.
fn apply_entry(entries: &mut BTreeMap<String, ExecutorReport>, item: &StoreItem) {
    match cuminbank_platform::executor::decode_entry(item) {
        Some(report) => entries.insert(item.key.clone(), report),
        None => entries.remove(&item.key),
    };
}
