//! Client of the platform's store, shared by all async tasks. Tracks whether the store replies.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use cuminbank::log::{
    POOL_STORE_REACHABLE, POOL_STORE_UNREACHABLE, STORE_UNREADABLE, WATCH_FAILED,
};
use cuminbank_jobs::{
    ids::{MonotonicTime, StoreRevision},
    lease_bounds::RevisionClock,
    scheduler::DecisionRecord,
    store::{StoreCall, StoreFailure, StoreItem, StoreReply, TxnOutcome},
};
use cuminbank_net::{
    client::{ConnectionOrigin, HttpPool},
    input_budget::InputBudget,
};
use cuminbank_platform::{
    store::{decode_page_reply, decode_reply, decode_watch, encode_call, encode_watch, WatchReply},
    EXECUTOR_PREFIX, OPERATOR_PREFIX,
};

use crate::clock;

/// Consecutive calls without a reply after which the store counts as unreachable.
const UNREACHABLE_MISSES: u32 = 3;
/// Consecutive calls without a reply after which client requests are refused without a call, if
/// [`UNRESPONSIVE_SILENCE`] has passed as well.
const UNRESPONSIVE_MISSES: u32 = 2;
/// Time without a reply that [`UNRESPONSIVE_MISSES`] requires. A slow store replies within 250 ms.
const UNRESPONSIVE_SILENCE: Duration = Duration::from_millis(600);
/// Maximum number of pages of one prefix read. A page has about 500 items.
const MAX_PAGES: usize = 1_000;

/// One watch call.
pub(crate) struct WatchCall<'a> {
    pub(crate) prefix: &'a str,
    /// Revision after which changes are returned.
    pub(crate) after: StoreRevision,
    /// Time after which the store replies without changes.
    pub(crate) wait: Duration,
    /// Additional time for the reply to arrive.
    pub(crate) margin: Duration,
    /// Number of failed calls since the last reply.
    pub(crate) misses: u32,
}

/// Connections to the store and the state of recent calls.
pub(crate) struct StoreClient {
    address: SocketAddr,
    pool: HttpPool,
    missed: Cell<u32>,
    answered_at: Cell<MonotonicTime>,
    revisions: RefCell<RevisionClock>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, budget: &InputBudget) -> Self {
        Self {
            address,
            pool: HttpPool::new().with_budget(budget),
            missed: Cell::new(0),
            // The silence is measured from the start of the process, since no call has failed yet.
            answered_at: Cell::new(clock::now()),
            revisions: RefCell::default(),
        }
    }

    /// Returns the time since the last successful call of this process.
    pub(crate) fn silence(&self) -> Duration {
        clock::now().saturating_sub(self.answered_at.get())
    }

    /// Returns a time by which the store had reached a revision, if known.
    pub(crate) fn reached_by(&self, revision: StoreRevision) -> Option<MonotonicTime> {
        self.revisions.borrow().reached_by(revision)
    }

    fn note_revision(&self, revision: StoreRevision) {
        self.revisions.borrow_mut().note(clock::now(), revision);
    }

    /// Returns whether the recent calls suggest that the next one would get no reply either.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.missed.get() >= UNRESPONSIVE_MISSES && self.silence() > UNRESPONSIVE_SILENCE
    }

    /// Returns whether the store counts as unreachable.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.missed.get() >= UNREACHABLE_MISSES
    }

    /// Calls the store and reads all pages of a prefix. `timeout` applies to each HTTP request.
    ///
    /// # Errors
    ///
    /// `NotDone` if the call certainly had no effect, `Unknown` if it may have had one or a reply
    /// cannot be read.
    pub(crate) async fn call(
        &self,
        call: &StoreCall,
        timeout: Duration,
        log: impl Fn(DecisionRecord),
    ) -> Result<StoreReply, StoreFailure> {
        let result = match call {
            StoreCall::Read { prefix } => self.read_pages(prefix, timeout, &log).await,
            _ => {
                let answer = self.pool.exchange(self.address, encode_call(call, None), timeout);
                decode_reply(call, answer.await)
            }
        };
        if let Ok(StoreReply::Txn(TxnOutcome::Committed { revision })) = result {
            self.note_revision(revision);
        }
        self.record_call(result.is_ok(), log);
        result
    }

    async fn read_pages(
        &self,
        prefix: &str,
        timeout: Duration,
        log: &impl Fn(DecisionRecord),
    ) -> Result<StoreReply, StoreFailure> {
        let call = StoreCall::Read { prefix: prefix.to_owned() };
        let mut items: Vec<StoreItem> = Vec::new();
        let mut revision: Option<StoreRevision> = None;
        let mut after = None;
        for _ in 0..MAX_PAGES {
            let request = encode_call(&call, after.as_deref());
            let answer = self.pool.exchange(self.address, request, timeout).await;
            let page = decode_page_reply(answer)?;
            self.note_revision(page.revision);
            // The pages are not one snapshot, so changes have to be watched from the first
            // revision.
            let first = *revision.get_or_insert(page.revision);
            items.extend(page.items);
            for key in &page.unreadable {
                let detail = format!("key={key} revision={}", page.revision);
                log(DecisionRecord { code: STORE_UNREADABLE, job: None, detail });
            }
            match prefix {
                // Executor entries are written by others and may be left out if unreadable.
                EXECUTOR_PREFIX => {}
                // The key alone may matter, and one unreadable item must not hide the others.
                OPERATOR_PREFIX => items.extend(page.unreadable.iter().map(|key| empty_item(key))),
                // Of this system's own records, none may be missing.
                _ if !page.unreadable.is_empty() => return Err(StoreFailure::Unknown),
                _ => {}
            }
            match page.next {
                Some(next) => after = Some(next),
                None => return Ok(StoreReply::Items { items, revision: first }),
            }
        }
        Err(StoreFailure::Unknown)
    }

    /// Waits for changes under a prefix after a revision. Logs a call that fails.
    ///
    /// # Errors
    ///
    /// `NotDone` if the request was not sent or was refused, `Unknown` otherwise.
    pub(crate) async fn watch(
        &self,
        call: &WatchCall<'_>,
        log: impl Fn(DecisionRecord),
    ) -> Result<WatchReply, StoreFailure> {
        let request = encode_watch(call.prefix, call.after, call.wait);
        let mut origin = None;
        let timeout = call.wait + call.margin;
        let answer = self
            .pool
            .exchange_observed(self.address, request, timeout, |connection| {
                origin = Some(connection);
            })
            .await;
        let result = decode_watch(answer);
        if let Ok(WatchReply::Changes(_, revision)) = &result {
            self.note_revision(*revision);
        }
        if let Err(failure) = result {
            log(describe_failed_watch(call, failure, origin));
        }
        self.record_call(result.is_ok(), log);
        result
    }

    /// Updates the state of recent calls and logs when the store becomes unreachable or reachable.
    fn record_call(&self, answered: bool, log: impl Fn(DecisionRecord)) {
        if answered {
            let missed = self.missed.replace(0);
            if missed >= UNREACHABLE_MISSES {
                let silent = self.silence().as_millis();
                let detail = format!("silent_ms={silent} missed={missed}");
                log(DecisionRecord { code: POOL_STORE_REACHABLE, job: None, detail });
            }
            self.answered_at.set(clock::now());
            return;
        }
        self.missed.set(self.missed.get().saturating_add(1));
        if self.missed.get() == UNREACHABLE_MISSES {
            let detail = format!("silent_ms={}", self.silence().as_millis());
            log(DecisionRecord { code: POOL_STORE_UNREACHABLE, job: None, detail });
        }
    }
}

/// Returns an item without a value, in place of one whose value cannot be read.
fn empty_item(key: &str) -> StoreItem {
    StoreItem { key: key.to_owned(), value: Vec::new(), revision: 0, created: 0 }
}

fn describe_failed_watch(
    call: &WatchCall,
    failure: StoreFailure,
    origin: Option<ConnectionOrigin>,
) -> DecisionRecord {
    let connection = match origin {
        None => "none".to_owned(),
        Some(ConnectionOrigin::New) => "new".to_owned(),
        Some(ConnectionOrigin::Pooled(idle)) => format!("pooled idle_ms={}", idle.as_millis()),
    };
    let detail = format!(
        "prefix={} after={} failure={failure:?} wait_ms={} margin_ms={} misses={} \
         connection={connection}",
        call.prefix,
        call.after,
        call.wait.as_millis(),
        call.margin.as_millis(),
        call.misses + 1,
    );
    DecisionRecord { code: WATCH_FAILED, job: None, detail }
}
