//! The one client of the platform's store.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use cuminbank::log::{POOL_STORE_REACHABLE, POOL_STORE_UNREACHABLE, STORE_UNREADABLE};
use cuminbank_jobs::{
    ids::{MonotonicTime, StoreRevision},
    scheduler::DecisionRecord,
    store::{StoreCall, StoreFailure, StoreItem, StoreReply},
};
use cuminbank_net::client::HttpPool;
use cuminbank_platform::{
    store::{decode_page_reply, decode_reply, decode_watch, encode_call, encode_watch, WatchReply},
    EXECUTOR_PREFIX,
};

use crate::clock;

/// Answers missed in a row after which the store counts as lost.
const UNREACHABLE_MISSES: u32 = 3;
/// Answers missed in a row, and time without one, after which clients are refused at once. A slow
/// store answers within 250 ms.
const UNRESPONSIVE_MISSES: u32 = 2;
const UNRESPONSIVE_SILENCE: Duration = Duration::from_millis(600);
/// Most pages of one read; a page holds about 500 items.
const MAX_PAGES: usize = 1_000;

/// Client of the platform's store.
pub(crate) struct StoreClient {
    address: SocketAddr,
    pool: HttpPool,
    missed: Cell<u32>,
    answered_at: Cell<MonotonicTime>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pool: HttpPool::new(),
            missed: Cell::new(0),
            // A process that has just started has not been refused anything yet.
            answered_at: Cell::new(clock::now()),
        }
    }

    /// Returns the time since the store last carried out a call of this process.
    pub(crate) fn silence(&self) -> Duration {
        clock::now().saturating_sub(self.answered_at.get())
    }

    /// Tells whether a call would surely go unanswered, by the last calls of this process.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.missed.get() >= UNRESPONSIVE_MISSES && self.silence() > UNRESPONSIVE_SILENCE
    }

    /// Returns whether the store counts as lost.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.missed.get() >= UNREACHABLE_MISSES
    }

    /// Calls the store; a read of a prefix reads all its pages.
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
            // Pages are not a snapshot: changes since the first one have to be watched.
            let first = *revision.get_or_insert(page.revision);
            items.extend(page.items);
            for key in &page.unreadable {
                let detail = format!("key={key} revision={}", page.revision);
                log(DecisionRecord { code: STORE_UNREADABLE, job: None, detail });
            }
            // What others wrote may be left out; of our own records none may be missing.
            if !page.unreadable.is_empty() && prefix != EXECUTOR_PREFIX {
                return Err(StoreFailure::Unknown);
            }
            match page.next {
                Some(next) => after = Some(next),
                None => return Ok(StoreReply::Items { items, revision: first }),
            }
        }
        Err(StoreFailure::Unknown)
    }

    /// Waits for changes below a prefix after a revision.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
        margin: Duration,
        log: impl Fn(DecisionRecord),
    ) -> Result<WatchReply, StoreFailure> {
        let request = encode_watch(prefix, after, wait);
        let result = decode_watch(self.pool.exchange(self.address, request, wait + margin).await);
        self.record_call(result.is_ok(), log);
        result
    }

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
