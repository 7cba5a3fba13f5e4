//! Takeovers, lost responses, silent connections and failing executors.

mod calls_support;

use std::time::Duration;

use calls_support::{
    answers, dispatches, done, executor, ms, outcome, plan, CallFixture, SentDispatch, TICK,
};
use cuminbank::{
    effect::{CallOutcome, EntryEffect},
    event::{ExchangeError, ListedRole},
    reducer::groups::GroupChange,
    settings::PlacementPolicy::Learned,
};

fn address_of(name: &str) -> std::net::SocketAddr {
    executor(name, 0, 1).address
}

fn send(fixture: &mut CallFixture, reply: u64) -> SentDispatch {
    let sent = dispatches(&fixture.call(reply, plan("a")));
    assert_eq!(sent.len(), 1, "call {reply} starts at once");
    sent[0].clone()
}

/// Guards against dispatching to an executor whose slots are occupied by calls of an owner that
/// crashed.
#[test]
fn inherited_calls_occupy_their_slots_until_a_later_probe() {
    let mut fixture = CallFixture::new(Learned);
    fixture.fixed.targets = vec![executor("e1", 0, 2)];
    fixture.take_group(0, 5, Duration::from_secs(3), None);
    fixture.call(1, plan("a"));
    fixture.run_for(ms(1_900));
    assert!(fixture.take_probes().is_empty(), "bytes of the old owner may still be in transit");
    fixture.run_for(ms(200));
    let probe = fixture.take_probes()[0].0;
    assert!(
        fixture.end_probe(probe, Err(ExchangeError::Lost)).is_empty(),
        "the executor still counts as full"
    );
    fixture.run_for(ms(1_000));
    let old = ["dublin-0-4-8", "dublin-0-4-9"];
    assert!(fixture.answer_probes(&old).is_empty(), "two inherited calls occupy both slots");
    fixture.run_for(ms(1_000));
    let effects = fixture.answer_probes(&old[..1]);
    let sent = dispatches(&effects);
    assert_eq!(sent.len(), 0, "call 1 was refused at its deadline: {effects:?}");
    let sent = send(&mut fixture, 2);
    assert!(
        fixture.call(3, plan("a")).is_empty(),
        "an inherited call and call 2 occupy both slots"
    );
    fixture.run_for(ms(1_000));
    assert_eq!(dispatches(&fixture.answer_probes(&[&sent.call_id])).len(), 1);
}

/// Guards against miscounted slots when a probe overlaps with a dispatch of this owner or its
/// response.
#[test]
fn own_calls_do_not_count_as_inherited() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 2)]);
    let sent = send(&mut fixture, 1);
    fixture.run_for(ms(1_100));
    fixture.end_dispatch(sent.exchange, done(200));
    fixture.answer_probes(&[&sent.call_id]);
    send(&mut fixture, 2);
    send(&mut fixture, 3);
    assert!(fixture.call(4, plan("a")).is_empty());
}

/// Guards against a second run of a call while its first run may still be in progress.
#[test]
fn a_lost_call_does_not_run_again_while_it_may_run() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 1), ("e2", 1)]);
    let sent = send(&mut fixture, 1);
    fixture.run_for(ms(400));
    assert!(fixture.end_dispatch(sent.exchange, Err(ExchangeError::Lost)).is_empty());
    fixture.answer_probes(&[]);
    fixture.run_for(TICK);
    assert!(fixture.answer_probes(&[]).is_empty(), "this probe may arrive before the dispatch");
    fixture.run_for(ms(980));
    assert!(fixture.answer_probes(&[&sent.call_id]).is_empty(), "the call still runs");
    let effects = fixture.run_for(ms(100));
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(outcome(&fixture.run_for(ms(700))).0, CallOutcome::Unknown);
}

/// Guards against a call with a lost response that is never retried, or is retried on the executor
/// that failed.
#[test]
fn a_retry_goes_to_another_executor() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 1), ("e2", 1)]);
    let sent = send(&mut fixture, 1);
    fixture.end_dispatch(sent.exchange, Err(ExchangeError::Lost));
    fixture.run_for(ms(20));
    fixture.answer_probes(&[]);
    fixture.run_for(ms(1_000));
    let again = dispatches(&fixture.answer_probes(&[]));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].address, sent.address);
    assert_eq!(outcome(&fixture.end_dispatch(again[0].exchange, done(200))).1, 200);
}

/// Guards against a second run of a call that is not idempotent, and against freeing its slot too
/// early.
#[test]
fn a_lost_call_that_is_not_idempotent_is_unknown_and_keeps_its_slot() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 1)]);
    let ticket = fixture.tickets(1).remove(0);
    let sent = dispatches(&fixture.call(1, calls_support::book(Some(ticket))));
    let effects = fixture.end_dispatch(sent[0].exchange, Err(ExchangeError::Lost));
    assert_eq!(outcome(&effects), (CallOutcome::Unknown, 504));
    fixture.run_for(TICK);
    fixture.answer_probes(&[&sent[0].call_id]);
    assert!(fixture.call(2, plan("a")).is_empty(), "the slot is still occupied");
    fixture.run_for(ms(1_000));
    assert_eq!(dispatches(&fixture.answer_probes(&[])).len(), 1);
}

/// Guards against connections that stay silent forever, and against aborting a call that still runs
/// or whose response is in transit.
#[test]
fn a_silent_dispatch_is_closed_once_a_probe_does_not_list_it() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 3)]);
    let silent = send(&mut fixture, 1);
    let running = send(&mut fixture, 2);
    let answered_late = send(&mut fixture, 3);
    let mut aborted = Vec::new();
    for round in 0..5 {
        let effects = fixture.run_for(ms(1_000));
        aborted.extend(effects.into_iter().filter_map(|effect| match effect {
            EntryEffect::AbortDispatch { exchange } => Some((round, exchange)),
            _ => None,
        }));
        fixture.answer_probes(&[&running.call_id]);
        if round == 2 {
            fixture.end_dispatch(answered_late.exchange, done(200));
        }
    }
    assert_eq!(aborted, [(3, silent.exchange)], "only the silent dispatch is aborted, within 5 s");
}

/// Guards against returning an executor's failure although another executor could run the call, and
/// against unlimited retries.
#[test]
fn failures_are_retried_within_the_budget() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 4), ("e2", 4), ("e3", 4)]);
    let mut sent = send(&mut fixture, 1);
    for _ in 0..3 {
        let again = dispatches(&fixture.end_dispatch(sent.exchange, done(500)));
        assert_ne!(again[0].address, sent.address);
        sent = again[0].clone();
    }
    let effects = fixture.end_dispatch(sent.exchange, done(500));
    assert_eq!(outcome(&effects), (CallOutcome::Done, 500), "the budget of 3 retries is used up");

    let ticket = fixture.tickets(1).remove(0);
    let sent = dispatches(&fixture.call(2, calls_support::book(Some(ticket))));
    let effects = fixture.end_dispatch(sent[0].exchange, done(500));
    assert_eq!(outcome(&effects), (CallOutcome::Done, 500), "not idempotent: no second run");
}

/// Guards against the outcome "not run" after bytes may have been sent, and against refused calls
/// that are not retried.
#[test]
fn a_refused_call_is_tried_elsewhere_and_then_unknown() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 4), ("e2", 4)]);
    let ticket = fixture.tickets(1).remove(0);
    let mut sent = dispatches(&fixture.call(1, calls_support::book(Some(ticket))));
    for _ in 0..3 {
        sent = dispatches(&fixture.end_dispatch(sent[0].exchange, done(503)));
    }
    let effects = fixture.end_dispatch(sent[0].exchange, done(503));
    assert_eq!(outcome(&effects), (CallOutcome::Unknown, 504));
}

/// Guards against the outcome "unknown" for a call that was never sent, and against repeated
/// dispatches to an unreachable executor.
#[test]
fn a_call_that_was_not_sent_goes_elsewhere_or_is_not_run() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 4), ("e2", 4)]);
    let sent = send(&mut fixture, 1);
    let again = dispatches(&fixture.end_dispatch(sent.exchange, Err(ExchangeError::NotSent)));
    assert_ne!(again[0].address, sent.address);
    let effects = fixture.end_dispatch(again[0].exchange, Err(ExchangeError::NotSent));
    assert!(effects.is_empty(), "both executors wait for a probe: {effects:?}");
    let effects = fixture.run_for(ms(2_100));
    assert_eq!(outcome(&effects), (CallOutcome::NotRun, 503));
}

/// Guards against an executor that fails every call. Its failures make it less loaded, so it would
/// attract more calls.
#[test]
fn a_failing_executor_is_quarantined_and_tried_once() {
    let mut fixture = CallFixture::with_executors(Learned, &[("bad", 8), ("good", 8)]);
    let bad = address_of("bad");
    let mut starts = 0;
    for reply in 1..=200 {
        let mut sent = dispatches(&fixture.call(reply, plan("a")));
        while let Some(next) = sent.pop() {
            starts += u32::from(next.address == bad);
            let status = if next.address == bad { 500 } else { 200 };
            sent = dispatches(&fixture.end_dispatch(next.exchange, done(status)));
        }
        fixture.run_for(ms(100));
        fixture.answer_probes(&[]);
    }
    assert!((3..=6).contains(&starts), "{starts} calls to the failing executor in 20 s");
}

/// Guards against quarantine of all executors because one class of calls always fails.
#[test]
fn a_failing_class_does_not_quarantine_the_fleet() {
    let names: Vec<String> = (0..6).map(|number| format!("e{number}")).collect();
    let executors: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let mut fixture = CallFixture::with_executors(Learned, &executors);
    for reply in 1..=60 {
        let mut sent = dispatches(&fixture.call(reply, plan("broken")));
        while let Some(next) = sent.pop() {
            sent = dispatches(&fixture.end_dispatch(next.exchange, done(500)));
        }
    }
    // Up to two executors can have three failures each before the class has failed on a third
    // executor.
    let started = (101..=106).map(|reply| dispatches(&fixture.call(reply, plan("a"))).len());
    assert!(started.sum::<usize>() >= 4);
}

/// Guards against a call with a lost response that waits for a probe although its executor has
/// ended.
#[test]
fn a_lost_call_on_an_ended_executor_is_unknown_at_once() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 1)]);
    let sent = send(&mut fixture, 1);
    fixture.end_dispatch(sent.exchange, Err(ExchangeError::Lost));
    fixture.change(&GroupChange::TargetEnded { name: "e1".to_owned(), group: 0 });
    assert_eq!(outcome(&fixture.effects()).0, CallOutcome::Unknown);
}

/// Guards against counting a call on the wrong machine, where it would distort the predicted
/// slowdown by batch tasks, and against ignoring a changed number of slots.
#[test]
fn running_classes_and_changed_slots_are_known() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 1)]);
    let sent = send(&mut fixture, 1);
    assert_eq!(fixture.calls.classes_on("machine-e1"), [("a".to_owned(), 1)]);
    fixture.fixed.targets[0].role = ListedRole::Executor { slots: 2, connections: 60 };
    fixture.change(&GroupChange::TargetChanged { name: "e1".to_owned() });
    send(&mut fixture, 2);
    let effects = fixture.end_dispatch(sent.exchange, done(200));
    assert_eq!(answers(&effects).len(), 1);
    assert_eq!(fixture.calls.status(fixture.now)["executors"][0]["held"], 1);
}
