//! Reads the configuration for a client request if its watch is late.

use std::{cell::Cell, rc::Rc};

use cuminbank::log::POOL_CONFIG_READ_AGAIN;
use cuminbank_jobs::{
    ids::MonotonicTime,
    scheduler::DecisionRecord,
    store::{StoreCall, StoreReply},
};
use cuminbank_platform::CONFIG_KEY;
use local_sync::semaphore::Semaphore;

use crate::{clients::CALL_TIMEOUT, clock, daemon::DaemonState, watches};

/// Lets one request at a time read the configuration.
#[derive(Debug)]
pub(crate) struct ConfirmationTurn {
    turn: Semaphore,
    failed_at: Cell<Option<MonotonicTime>>,
}

impl ConfirmationTurn {
    pub(crate) fn new() -> Self {
        Self { turn: Semaphore::new(1), failed_at: Cell::new(None) }
    }
}

/// Reads the configuration unless it is confirmed, or the store is known not to reply. All requests
/// that wait for the same read share its result.
pub(crate) async fn confirm_config(state: &Rc<DaemonState>) {
    let arrived = clock::now();
    if is_confirmed(state) || state.store.is_unresponsive() {
        return;
    }
    let ConfirmationTurn { turn, failed_at } = &state.confirmation;
    let Ok(_permit) = turn.acquire().await else { return };
    if is_confirmed(state) || failed_at.get().is_some_and(|at| at >= arrived) {
        return;
    }
    let sent_at = clock::now();
    let read = StoreCall::ReadKey { key: CONFIG_KEY.to_owned() };
    let reply = state.call_store(&read, CALL_TIMEOUT).await;
    let age = state.config.borrow().age(sent_at);
    match &reply {
        Ok(StoreReply::Items { items, .. }) => {
            items.iter().for_each(|item| watches::apply_config(state, item));
            state.config.borrow_mut().confirm(sent_at);
        }
        _ => failed_at.set(Some(clock::now())),
    }
    let detail = format!(
        "age_ms={} answered={} version={}",
        age.map_or(-1, |age| age.as_millis() as i64),
        reply.is_ok(),
        state.config.borrow().current().map_or(0, |config| config.version),
    );
    state.log(&DecisionRecord { code: POOL_CONFIG_READ_AGAIN, job: None, detail });
}

fn is_confirmed(state: &Rc<DaemonState>) -> bool {
    state.config.borrow().is_confirmed(clock::now(), state.settings.config_apply())
}
