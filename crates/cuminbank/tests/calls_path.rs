//! Handling of a call: validation, placement, queueing, refusal and forwarding.

mod calls_support;

use std::{collections::BTreeSet, time::Duration};

use calls_support::{
    answers, dispatches, done, done_after, executor, forwarded, ms, outcome, plan, CallFixture,
    TICK,
};
use cuminbank::{
    effect::{CallOutcome, CallerAnswer, EntryEffect},
    event::{CallRequest, ExchangeError},
    membership::TargetState,
    message::{PeerReply, PeerRequest},
    reducer::{calls::ForwardedCall, config::ConfigPart, groups::GroupChange},
    settings::PlacementPolicy,
};

const LEARNED: PlacementPolicy = PlacementPolicy::Learned;

/// Guards against a call that gets the answer of another call or a wrong status.
#[test]
fn a_plain_call_gets_its_own_answer() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 2)]);
    let first = dispatches(&fixture.call(1, plan("a")));
    let second = dispatches(&fixture.call(2, plan("a")));
    let effects = fixture.end_dispatch(second[0].exchange, done(200));
    assert_eq!(answers(&effects).keys().copied().collect::<Vec<_>>(), [2]);
    let effects = fixture.end_dispatch(first[0].exchange, done(404));
    assert_eq!(outcome(&effects), (CallOutcome::Done, 404));
    assert!(fixture.calls.is_idle());
}

/// Guards against invalid requests that run or are refused with a wrong status.
#[test]
fn bad_requests_are_refused_with_their_status() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 2)]);
    let with = |profile: &str| CallRequest { profile: profile.to_owned(), ..plan("a") };
    assert_eq!(outcome(&fixture.call(1, with("nothing"))), (CallOutcome::NotRun, 404));
    assert_eq!(outcome(&fixture.call(2, with("orders"))), (CallOutcome::NotRun, 400));
    assert_eq!(outcome(&fixture.call(3, with("book"))), (CallOutcome::NotRun, 400));
    let large = CallRequest { body: vec![0; 300_000].into(), ..plan("a") };
    assert_eq!(outcome(&fixture.call(4, large)), (CallOutcome::NotRun, 413));
    fixture.config = ConfigPart::new(&fixture.step.settings);
    assert_eq!(outcome(&fixture.call(5, plan("a"))), (CallOutcome::NotRun, 503));
}

/// Guards against more dispatches than slots, and against dispatches without authority to act.
#[test]
fn a_call_waits_for_a_slot_and_for_authority() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 1)]);
    let sent = dispatches(&fixture.call(1, plan("a")));
    assert!(fixture.call(2, plan("a")).is_empty(), "the second call has no slot");
    fixture.fixed.owned.insert(0, (1, fixture.now));
    let effects = fixture.end_dispatch(sent[0].exchange, done(200));
    assert!(dispatches(&effects).is_empty(), "the authority to act has ended");
    fixture.fixed.owned.insert(0, (1, fixture.now + ms(500)));
    let sent = fixture.run_for(TICK);
    assert!(matches!(sent[..], [EntryEffect::Dispatch { valid_until, .. }]
        if valid_until == fixture.now - TICK + ms(500)));
}

/// Guards against new calls to a target that is leaving, suspect or ended.
#[test]
fn a_target_that_is_not_live_gets_no_call() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 4), ("e2", 4)]);
    fixture.set_state("e1", TargetState::Leaving);
    let ended = GroupChange::TargetEnded { name: "e2".to_owned(), group: 0 };
    fixture.set_state("e2", TargetState::Suspect);
    assert!(dispatches(&fixture.call(1, plan("a"))).is_empty());
    fixture.set_state("e2", TargetState::Live);
    assert_eq!(dispatches(&fixture.effects()).len(), 1);
    fixture.change(&ended);
    assert!(dispatches(&fixture.call(2, plan("a"))).is_empty());
}

/// Guards against accepting more calls than can be started before their deadlines, and against
/// refused callers that all retry at the same time.
#[test]
fn calls_that_cannot_be_on_time_are_refused_with_varied_delays() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 1)]);
    learn_run_time(&mut fixture, "a", ms(200), 25);
    let mut refused = Vec::new();
    for reply in 100..160 {
        let effects = fixture.call(reply, plan("a"));
        refused.extend(answers(&effects).into_values());
    }
    let running_and_waiting = 60 - refused.len();
    assert!((5..=11).contains(&running_and_waiting), "{running_and_waiting} calls of 200 ms");
    let delays: BTreeSet<Duration> = refused
        .iter()
        .map(|answer| answer.retry_after.expect("a refusal has a retry delay"))
        .collect();
    assert!(refused.iter().all(|answer| answer.outcome == CallOutcome::NotRun));
    assert!(delays.len() > refused.len() / 2, "the retry delays differ");
    let spread = *delays.last().unwrap() - *delays.first().unwrap();
    assert!(spread > ms(2_000), "{spread:?} is shorter than the queue takes to drain");
}

/// Guards against calls that stay queued although their deadline can no longer be met.
#[test]
fn a_waiting_call_is_refused_when_its_deadline_is_out_of_reach() {
    let policies = [LEARNED, PlacementPolicy::LeastLoaded, PlacementPolicy::RandomQueue];
    for policy in policies {
        let mut fixture = CallFixture::with_executors(policy, &[("e1", 1)]);
        fixture.call(1, plan("a"));
        assert!(fixture.call(2, plan("a")).is_empty());
        assert!(answers(&fixture.run_for(ms(1_990))).is_empty(), "{policy:?}");
        let effects = fixture.run_for(ms(40));
        assert_eq!(outcome(&effects), (CallOutcome::NotRun, 503), "{policy:?}");
    }
}

/// Guards against short calls that wait behind long ones. Long calls must not exceed the limit on
/// their slots.
#[test]
fn long_calls_stay_within_their_slot_limit() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 8)]);
    learn_run_time(&mut fixture, "short", ms(10), 60);
    learn_run_time(&mut fixture, "long", ms(400), 25);
    let long = (100..105).map(|reply| dispatches(&fixture.call(reply, plan("long"))).len());
    assert_eq!(long.collect::<Vec<_>>(), [1, 1, 0, 0, 0]);
    let short = (200..206).map(|reply| dispatches(&fixture.call(reply, plan("short"))).len());
    assert_eq!(short.sum::<usize>(), 6, "short calls use the other slots");
}

/// Guards against calls of a class with unknown run time that exceed the limit on slots of long
/// calls.
#[test]
fn a_call_that_runs_long_counts_as_long() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 8)]);
    learn_run_time(&mut fixture, "short", ms(10), 60);
    learn_run_time(&mut fixture, "long", ms(400), 25);
    fixture.call(1, plan("new"));
    fixture.call(2, plan("new"));
    fixture.run_for(ms(200));
    assert!(dispatches(&fixture.call(3, plan("long"))).is_empty());
}

/// Guards against exceeding the limit on slots of long calls with queued calls whose class is only
/// found to be long while they wait.
#[test]
fn a_queued_call_is_reclassified_with_its_class() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 8)]);
    learn_run_time(&mut fixture, "short", ms(10), 100);
    let calls = (1..=38).flat_map(|reply| dispatches(&fixture.call(reply, plan("late"))));
    let mut running: Vec<_> = calls.collect();
    // A class is classified after 20 completed calls. The 8 calls running by then are completed
    // after 28.
    for _ in 0..28 {
        let sent = running.remove(0);
        running.extend(dispatches(&fixture.end_dispatch(sent.exchange, done_after(200, ms(400)))));
    }
    assert_eq!(running.len(), 2);
}

/// Guards against calls that wait at this instance while a peer has free slots, and against
/// forwarding a call twice.
#[test]
fn a_call_is_forwarded_once_to_an_owner_with_less_wait() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 1)]);
    let peer = "10.0.0.9:9".parse().unwrap();
    fixture.fixed.owners.insert(("dublin".to_owned(), 1), (peer, Duration::ZERO));
    learn_run_time(&mut fixture, "a", ms(200), 25);
    fixture.call(1, plan("a"));
    let sent = forwarded(&fixture.call(2, plan("a")));
    assert!(matches!(sent[0].2, PeerRequest::ForwardCall { group: 1, .. }));
    assert_eq!(outcome(&fixture.end_peer(sent[0].0, Err(ExchangeError::Lost))).1, 504);

    let sent = forwarded(&fixture.call(3, plan("a")));
    let returned = fixture.end_peer(sent[0].0, Ok(PeerReply::NotOwner));
    assert!(returned.is_empty(), "the peer did not accept the call, so it is routed again later");
    let again = forwarded(&fixture.run_for(ms(120)));
    assert_eq!(again.len(), 1);
    let refusal = CallerAnswer::new_not_run(503, "busy");
    let effects = fixture.end_peer(again[0].0, Ok(PeerReply::Answer(refusal.clone())));
    assert_eq!(answers(&effects)[&3], refusal);

    fixture.apply(|calls, step, view, records| {
        let forwarded = ForwardedCall { group: 1, call: plan("a"), waited: ms(5) };
        calls.on_forwarded_call(step, view, records, 4, forwarded);
    });
    let effects = fixture.effects();
    assert!(matches!(
        effects[..],
        [EntryEffect::AnswerPeer { reply: 4, answer: PeerReply::NotOwner }]
    ));
}

/// Guards against calls that are lost or never answered when a peer takes over their group.
#[test]
fn waiting_calls_follow_their_group() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 1)]);
    let sent = dispatches(&fixture.call(1, plan("a")));
    fixture.call(2, plan("a"));
    fixture.fixed.owned.clear();
    let peer = "10.0.0.9:9".parse().unwrap();
    fixture.fixed.owners.insert(("dublin".to_owned(), 0), (peer, Duration::ZERO));
    fixture.change(&GroupChange::Lost { group: 0 });
    let effects = fixture.run_for(ms(120));
    assert_eq!(forwarded(&effects).len(), 1);
    assert_eq!(outcome(&fixture.end_dispatch(sent[0].exchange, done(200))).1, 200);
}

/// Guards against one customer that occupies all slots under contention.
#[test]
fn customers_share_slots_by_weight() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 1)]);
    learn_run_time(&mut fixture, "a", ms(20), 25);
    let of = |customer: &str| CallRequest { customer: customer.to_owned(), ..plan("a") };
    let mut sent = dispatches(&fixture.call(1, of("big")));
    for reply in 100..120 {
        let customer = if reply < 110 { "small" } else { "big" };
        assert!(fixture.call(reply, of(customer)).is_empty());
    }
    let mut served = Vec::new();
    for _ in 0..9 {
        let effects = fixture.end_dispatch(sent[0].exchange, done_after(200, ms(20)));
        served.extend(answers(&effects).into_keys());
        sent = dispatches(&effects);
    }
    let big = served.iter().filter(|reply| **reply >= 110).count();
    assert!(
        (5..=7).contains(&big),
        "customer `big` has weight 3 of 4, but the answered calls are {served:?}"
    );
}

/// Guards against baseline policies that exceed the slots of an executor or lose calls.
#[test]
fn baseline_policies_stay_within_the_slots() {
    for policy in [PlacementPolicy::LeastLoaded, PlacementPolicy::RandomQueue] {
        let mut fixture = CallFixture::with_executors(policy, &[("e1", 2), ("e2", 2)]);
        let mut sent = Vec::new();
        for reply in 1..=20 {
            sent.extend(dispatches(&fixture.call(reply, plan("a"))));
        }
        assert!(sent.len() <= 4, "{policy:?}");
        let mut answered = 0;
        while let Some(next) = sent.pop() {
            let effects = fixture.end_dispatch(next.exchange, done(200));
            answered += answers(&effects).len();
            sent.extend(dispatches(&effects));
        }
        assert_eq!(answered, 20, "{policy:?}");
    }
}

/// Guards against running a call whose caller has disconnected.
#[test]
fn a_waiting_call_whose_caller_disconnected_does_not_start() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[("e1", 1)]);
    let sent = dispatches(&fixture.call(1, plan("a")));
    fixture.call(2, plan("a"));
    fixture.apply(|calls, step, _, _| calls.on_caller_disconnected(step, 2));
    let effects = fixture.end_dispatch(sent[0].exchange, done(200));
    assert_eq!(effects.len(), 1, "one answer and no dispatch: {effects:?}");
    assert!(fixture.calls.is_idle());
}

/// Guards against using a new executor before a probe has shown which calls run on it.
#[test]
fn a_new_executor_is_used_after_its_first_probe() {
    let mut fixture = CallFixture::with_executors(LEARNED, &[]);
    fixture.fixed.targets.push(executor("e1", 0, 1));
    fixture.change(&GroupChange::TargetChanged { name: "e1".to_owned() });
    assert!(fixture.call(1, plan("a")).is_empty());
    fixture.run_for(TICK);
    assert_eq!(dispatches(&fixture.answer_probes(&[])).len(), 1);
}

fn learn_run_time(fixture: &mut CallFixture, class: &str, elapsed: Duration, count: u64) {
    for reply in 10_000..10_000 + count {
        let sent = dispatches(&fixture.call(reply, plan(class)));
        fixture.end_dispatch(sent[0].exchange, done_after(200, elapsed));
    }
}
