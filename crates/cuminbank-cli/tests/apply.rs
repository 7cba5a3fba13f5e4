//! Tests of the commit of a profile under lost, delayed and refused requests.

use std::time::Duration;

use cuminbank::{
    event::ExchangeError,
    store::{StoreReply, StoreRequest, StoreValue, StoreWrite},
};
use cuminbank_cli::apply::{history_prefix, profile_key, ApplyOutcome, HistoryEntry, ProfileApply};
use cuminbank_standins::store::{StoreCore, StoreLimits};
use proptest::prelude::*;

const NAME: &str = "morning rush";

/// Fault that the store injects into a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StoreFault {
    None,
    NotSent,
    Refused,
    RequestLost,
    AnswerLost,
    /// The answer is lost, and the request takes effect when the test delivers it.
    RequestDelayed,
    /// Another operator commits a change just before the request takes effect.
    ConcurrentCommit,
}

/// A store with injected faults.
#[derive(Debug)]
struct FaultyStore {
    core: StoreCore,
    delayed: Vec<StoreRequest>,
    concurrent_commits: usize,
}

impl FaultyStore {
    fn new() -> Self {
        let core = StoreCore::new(StoreLimits::default());
        Self { core, delayed: Vec::new(), concurrent_commits: 0 }
    }

    fn apply(&mut self, request: &StoreRequest) -> StoreReply {
        self.core.apply(Duration::ZERO, request).expect("the store has no limits")
    }

    fn call(
        &mut self,
        fault: StoreFault,
        request: &StoreRequest,
    ) -> Result<StoreReply, ExchangeError> {
        match fault {
            StoreFault::None => Ok(self.apply(request)),
            StoreFault::NotSent => Err(ExchangeError::NotSent),
            StoreFault::Refused => Err(ExchangeError::Refused(503)),
            StoreFault::RequestLost => Err(ExchangeError::Lost),
            StoreFault::AnswerLost => {
                self.apply(request);
                Err(ExchangeError::Lost)
            }
            StoreFault::RequestDelayed => {
                self.delayed.push(request.clone());
                Err(ExchangeError::Lost)
            }
            StoreFault::ConcurrentCommit => {
                self.commit_concurrently();
                Ok(self.apply(request))
            }
        }
    }

    fn commit_concurrently(&mut self) {
        self.concurrent_commits += 1;
        let value = format!("concurrent {}", self.concurrent_commits).into();
        let put = StoreWrite::Put { key: profile_key(NAME), value, lease: None };
        let then = vec![put];
        self.apply(&StoreRequest::Txn { compares: Vec::new(), then, otherwise: Vec::new() });
    }

    fn deliver_delayed(&mut self) {
        for request in std::mem::take(&mut self.delayed) {
            self.apply(&request);
        }
    }

    fn read(&mut self, key: &str, prefix: bool) -> Vec<StoreValue> {
        match self.apply(&StoreRequest::Range { key: key.to_owned(), prefix }) {
            StoreReply::Range { values, .. } => values,
            other => panic!("unexpected reply to a read of {key}: {other:?}"),
        }
    }
}

fn entry(operation: &str, document: &str) -> HistoryEntry {
    HistoryEntry {
        at: 0,
        operation: operation.to_owned(),
        by: "test".to_owned(),
        document: document.to_owned(),
    }
}

/// Runs a commit to its outcome; after the given faults the store works.
fn run(
    store: &mut FaultyStore,
    mut apply: ProfileApply,
    faults: impl IntoIterator<Item = StoreFault>,
) -> ApplyOutcome {
    let mut faults = faults.into_iter();
    loop {
        let fault = faults.next().unwrap_or(StoreFault::None);
        let result = store.call(fault, &apply.request());
        if let Some(outcome) = apply.on_reply(result) {
            return outcome;
        }
    }
}

fn own() -> ProfileApply {
    ProfileApply::new(NAME, entry("op-1", "own"), None)
}

// Guards against a change that is committed twice after its answer was lost.
#[test]
fn a_lost_answer_is_read_back_without_a_second_write() {
    let mut store = FaultyStore::new();
    let outcome = run(&mut store, own(), [StoreFault::None, StoreFault::AnswerLost]);
    let revision = store.core.revision();
    assert_eq!(outcome, ApplyOutcome::Committed(revision));
    assert_eq!(store.core.counters().writes, 1);
    assert_eq!(store.read(&history_prefix(NAME), true).len(), 1);
}

// Guards against a second write before a read has shown that the first did not take effect.
#[test]
fn a_lost_request_is_written_again_only_after_a_read() {
    let mut apply = own();
    let mut store = FaultyStore::new();
    assert_eq!(apply.on_reply(store.call(StoreFault::None, &apply.request())), None);
    assert!(matches!(apply.request(), StoreRequest::Txn { .. }));
    assert_eq!(apply.on_reply(Err(ExchangeError::Lost)), None);
    assert!(matches!(apply.request(), StoreRequest::Range { .. }));
    assert!(matches!(run(&mut store, apply, []), ApplyOutcome::Committed(_)));
}

// Guards against overwriting a change that the operator has not seen.
#[test]
fn an_expected_revision_that_is_old_is_a_conflict() {
    let mut store = FaultyStore::new();
    store.commit_concurrently();
    let revision = store.core.revision();
    let apply = ProfileApply::new(NAME, entry("op-1", "own"), Some(0));
    let outcome = run(&mut store, apply, []);
    assert_eq!(outcome, ApplyOutcome::Conflict(revision, Some("concurrent 1".to_owned())));
}

// Guards against two concurrent commits that both report success.
#[test]
fn of_two_concurrent_commits_one_gets_a_conflict() {
    let mut store = FaultyStore::new();
    let outcome = run(&mut store, own(), [StoreFault::None, StoreFault::ConcurrentCommit]);
    assert!(matches!(outcome, ApplyOutcome::Conflict(_, Some(text)) if text == "concurrent 1"));
    assert!(store.read(&history_prefix(NAME), true).is_empty());
}

// Guards against a history with several entries for the same document.
#[test]
fn the_same_document_is_not_committed_again() {
    let mut store = FaultyStore::new();
    run(&mut store, own(), []);
    let again = ProfileApply::new(NAME, entry("op-2", "own"), None);
    assert!(matches!(run(&mut store, again, []), ApplyOutcome::Unchanged(_)));
    assert_eq!(store.core.counters().writes, 1);
}

// Guards against endless retries when the store loses every answer.
#[test]
fn a_store_that_loses_every_answer_leaves_the_outcome_unknown() {
    let mut store = FaultyStore::new();
    let faults = [StoreFault::None].into_iter().chain(std::iter::repeat(StoreFault::RequestLost));
    assert_eq!(run(&mut store, own(), faults), ApplyOutcome::Unknown);
}

proptest! {
    // Guards against an outcome that contradicts the stored history, also when delayed copies of
    // requests take effect later.
    #[test]
    fn the_outcome_of_a_commit_is_true_under_any_faults(
        faults in prop::collection::vec(prop::sample::select(vec![
            StoreFault::None,
            StoreFault::NotSent,
            StoreFault::Refused,
            StoreFault::RequestLost,
            StoreFault::AnswerLost,
            StoreFault::RequestDelayed,
            StoreFault::ConcurrentCommit,
        ]), 0..10),
        delivered_at in 0_usize..10,
    ) {
        let mut store = FaultyStore::new();
        let mut apply = own();
        let mut outcome = None;
        for index in 0.. {
            if index == delivered_at {
                store.deliver_delayed();
            }
            let fault = faults.get(index).copied().unwrap_or(StoreFault::None);
            outcome = apply.on_reply(store.call(fault, &apply.request()));
            if outcome.is_some() {
                break;
            }
        }
        store.deliver_delayed();
        let history = store.read(&history_prefix(NAME), true);
        prop_assert!(history.len() <= 1);
        match outcome {
            Some(ApplyOutcome::Committed(revision)) => {
                prop_assert_eq!(history.first().map(|value| value.mod_revision), Some(revision));
            }
            Some(ApplyOutcome::Unknown) => {}
            other => prop_assert!(history.is_empty(), "{:?} and {:?}", other, history),
        }
    }
}
