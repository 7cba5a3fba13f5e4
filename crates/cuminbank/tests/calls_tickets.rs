//! Tickets: each request runs at most once, and all copies of it get the same final answer.

mod calls_support;

use std::time::Duration;

use calls_support::{
    answers, book, dispatches, done, executor, forwarded, ms, outcome, plan, CallFixture,
};
use cuminbank::{
    effect::CallOutcome,
    event::{CallRequest, ExchangeError},
    ids::RequestTicket,
    message::{PeerReply, PeerRequest, TicketHandover},
    reducer::groups::GroupChange,
    settings::PlacementPolicy::Learned,
};

fn ticket(epoch: u64, sequence: u64) -> RequestTicket {
    RequestTicket { zone: "dublin".to_owned(), group: 0, epoch, sequence }
}

fn fixture() -> CallFixture {
    CallFixture::with_executors(Learned, &[("e1", 4)])
}

/// Guards against a second run when a copy of a request arrives during or after the first run.
#[test]
fn copies_of_a_request_share_one_run() {
    let mut fixture = fixture();
    let ticket = fixture.tickets(1).remove(0);
    let sent = dispatches(&fixture.call(1, book(Some(ticket.clone()))));
    assert!(
        fixture.call(2, book(Some(ticket.clone()))).is_empty(),
        "the copy waits for the first run"
    );
    let other = CallRequest { body: vec![1].into(), ..book(Some(ticket.clone())) };
    assert_eq!(outcome(&fixture.call(3, other.clone())), (CallOutcome::NotRun, 409));
    let answered = answers(&fixture.end_dispatch(sent[0].exchange, done(200)));
    assert_eq!(answered[&1], answered[&2]);
    assert_eq!(answers(&fixture.call(4, book(Some(ticket))))[&4], answered[&1]);
    assert_eq!(outcome(&fixture.call(5, other)), (CallOutcome::NotRun, 409));
}

/// Guards against running a request whose ticket was never issued or whose state is lost.
#[test]
fn unknown_tickets_do_not_run() {
    let mut fixture = fixture();
    fixture.tickets(3);
    let cases = [
        (ticket(1, 3), (CallOutcome::NotRun, 400)),
        (ticket(2, 0), (CallOutcome::NotRun, 400)),
        (ticket(0, 0), (CallOutcome::Unknown, 504)),
    ];
    for (reply, (ticket, expected)) in cases.into_iter().enumerate() {
        assert_eq!(outcome(&fixture.call(reply as u64, book(Some(ticket)))), expected);
    }
}

/// Guards against running a delayed copy of a request after the caller received the answer "not
/// run".
#[test]
fn a_refusal_is_final_for_its_ticket() {
    let mut fixture = fixture();
    let ticket = fixture.tickets(1).remove(0);
    let large = CallRequest { body: vec![0; 65].into(), ..book(Some(ticket.clone())) };
    let refusal = answers(&fixture.call(1, large.clone()))[&1].clone();
    assert_eq!((refusal.outcome, refusal.status), (CallOutcome::NotRun, 413));
    assert_eq!(answers(&fixture.call(2, large))[&2], refusal);
    assert_eq!(outcome(&fixture.call(3, book(Some(ticket)))), (CallOutcome::NotRun, 409));
}

/// Guards against running a request whose ticket state has expired, used or not.
#[test]
fn an_expired_ticket_is_unknown() {
    let mut fixture = fixture();
    let tickets = fixture.tickets(2);
    let sent = dispatches(&fixture.call(1, book(Some(tickets[0].clone()))));
    fixture.end_dispatch(sent[0].exchange, done(200));
    fixture.now += Duration::from_secs(601);
    for (reply, ticket) in tickets.into_iter().enumerate() {
        let effects = fixture.call(10 + reply as u64, book(Some(ticket)));
        assert_eq!(outcome(&effects), (CallOutcome::Unknown, 504));
    }
}

/// Guards against a request that runs twice, or can no longer run at all, after the owner of its
/// issuing group changed.
#[test]
fn ticket_states_are_handed_over_to_the_next_owner() {
    let mut old = fixture();
    let tickets = old.tickets(4);
    let sent = dispatches(&old.call(1, book(Some(tickets[0].clone()))));
    let effects = old.end_dispatch(sent[0].exchange, done(200));
    let answer = answers(&effects)[&1].clone();
    old.call(2, book(Some(tickets[1].clone())));
    old.change(&GroupChange::Lost { group: 0 });
    let (next, states) = old.calls.handover_state(0, 1, old.now);

    let mut new = CallFixture::with_executors(Learned, &[]);
    new.fixed.targets = old.fixed.targets.clone();
    new.take_group(0, 2, Duration::ZERO, Some((1, next, states)));
    new.run_for(ms(20));
    new.answer_probes(&[]);
    assert_eq!(answers(&new.call(1, book(Some(tickets[0].clone()))))[&1], answer);
    assert_eq!(outcome(&new.call(2, book(Some(tickets[1].clone())))).0, CallOutcome::Unknown);
    assert_eq!(dispatches(&new.call(3, book(Some(tickets[2].clone())))).len(), 1);
    assert_eq!(outcome(&new.call(4, book(Some(ticket(1, 4))))).1, 400);
    new.change(&GroupChange::Lost { group: 0 });
    new.take_group(0, 3, Duration::ZERO, None);
    assert_eq!(outcome(&new.call(5, book(Some(tickets[3].clone())))).0, CallOutcome::Unknown);
}

/// Guards against a ticket that has expired, before the handover or after it, but looks unused to
/// the next owner.
#[test]
fn expired_tickets_stay_expired_after_a_handover() {
    let mut old = fixture();
    let early = old.tickets(2);
    let sent = dispatches(&old.call(1, book(Some(early[0].clone()))));
    old.end_dispatch(sent[0].exchange, done(200));
    old.now += Duration::from_secs(590);
    let late = old.tickets(2);
    let sent = dispatches(&old.call(2, book(Some(late[0].clone()))));
    old.end_dispatch(sent[0].exchange, done(200));
    old.run_for(Duration::from_secs(11));
    old.call(3, plan("a"));
    old.call(4, book(Some(early[0].clone())));
    old.change(&GroupChange::Lost { group: 0 });
    let (next, states) = old.calls.handover_state(0, 1, old.now);

    let mut new = fixture();
    new.now = Duration::from_secs(1_000);
    new.change(&GroupChange::Lost { group: 0 });
    new.take_group(0, 2, Duration::ZERO, Some((1, next, states)));
    assert_eq!(outcome(&new.call(1, book(Some(early[0].clone())))).0, CallOutcome::Unknown);
    assert_eq!(outcome(&new.call(2, book(Some(late[0].clone())))).0, CallOutcome::Done);
    new.now += Duration::from_secs(595);
    assert_eq!(outcome(&new.call(3, book(Some(late[0].clone())))).0, CallOutcome::Unknown);
}

/// Guards against running a queued call later although it was answered "not run" when its group was
/// lost.
#[test]
fn refusal_of_a_queued_ticketed_call_is_final_when_its_group_is_lost() {
    let mut fixture = CallFixture::with_executors(Learned, &[("e1", 1)]);
    let ticket = fixture.tickets(1).remove(0);
    fixture.call(1, plan("a"));
    assert!(fixture.call(2, book(Some(ticket.clone()))).is_empty());
    fixture.fixed.owned.clear();
    fixture.change(&GroupChange::Lost { group: 0 });
    assert_eq!(outcome(&fixture.effects()), (CallOutcome::NotRun, 503));
    let (_, states) = fixture.calls.handover_state(0, 1, fixture.now);
    let expected = |state: &TicketHandover| {
        state.answer.as_ref().is_some_and(|answer| answer.outcome == CallOutcome::NotRun)
    };
    assert!(states.len() == 1 && expected(&states[0]), "{states:?}");
}

/// Guards against an instance that runs or refuses a ticketed call although another zone issued the
/// ticket.
#[test]
fn a_ticket_goes_to_its_issuer_in_another_zone() {
    let mut fixture = fixture();
    let issuer = "10.0.9.9:9".parse().unwrap();
    let remote = RequestTicket { zone: "kildare".to_owned(), ..ticket(7, 7) };
    fixture.fixed.owners.insert(("kildare".to_owned(), 0), (issuer, Duration::ZERO));
    let large = CallRequest { body: vec![0; 65].into(), ..book(Some(remote.clone())) };
    let sent = forwarded(&fixture.call(1, large));
    assert!(sent[0].1 == issuer && matches!(sent[0].2, PeerRequest::ForwardCall { .. }));
    fixture.end_peer(sent[0].0, Err(ExchangeError::NotSent));
    fixture.fixed.owners.clear();
    let effects = fixture.run_for(ms(2_100));
    assert_eq!(outcome(&effects), (CallOutcome::Unknown, 504), "an earlier copy may have run");
}

/// Guards against an instance without a group that cannot get tickets for its callers.
#[test]
fn tickets_come_from_an_owner() {
    let mut fixture = CallFixture::new(Learned);
    fixture.apply(|calls, step, view, _| calls.on_tickets_requested(step, view, 1, 2));
    assert_eq!(outcome(&fixture.effects()), (CallOutcome::NotRun, 503));
    let issuer = "10.0.9.9:9".parse().unwrap();
    fixture.fixed.owners.insert(("dublin".to_owned(), 3), (issuer, Duration::ZERO));
    fixture.apply(|calls, step, view, _| calls.on_tickets_requested(step, view, 2, 2));
    let sent = forwarded(&fixture.effects());
    let reply = PeerReply::Tickets(vec![ticket(1, 0), ticket(1, 1)]);
    let effects = fixture.end_peer(sent[0].0, Ok(reply));
    let body = answers(&effects)[&2].body.clone();
    assert_eq!(&body[..], br#"{"tickets":["dublin-0-1-0","dublin-0-1-1"]}"#);
}

fn fixture_with_two_groups() -> CallFixture {
    fixture_with_epochs([1, 1])
}

/// Creates a fixture that owns groups 0 and 1 in the given epochs, each with one executor of one
/// slot.
fn fixture_with_epochs(epochs: [u64; 2]) -> CallFixture {
    let mut fixture = CallFixture::new(Learned);
    fixture.fixed.targets = vec![executor("e1", 0, 1), executor("e2", 1, 1)];
    fixture.take_group(0, epochs[0], Duration::ZERO, None);
    fixture.take_group(1, epochs[1], Duration::ZERO, None);
    fixture.run_for(ms(20));
    fixture.answer_probes(&[]);
    fixture
}

/// Guards against a ticketed call that waits in the issuing group while another group of the same
/// owner has free slots.
#[test]
fn ticketed_calls_use_the_slots_of_all_owned_groups() {
    let mut fixture = fixture_with_two_groups();
    let tickets = [ticket_of(&mut fixture, 0), ticket_of(&mut fixture, 0)];
    let [first, second] = tickets.map(|ticket| dispatches(&fixture.call(2, book(Some(ticket)))));
    assert_ne!(first[0].address, second[0].address);
    let answered = answers(&fixture.end_dispatch(second[0].exchange, done(200)));
    assert_eq!(answered[&2].outcome, CallOutcome::Done);
}

/// Guards against answering "unknown" to a copy of a request that ran in another group than the one
/// that issued its ticket, if the two groups are owned in different epochs.
#[test]
fn copy_gets_the_answer_of_a_run_in_another_group() {
    for epochs in [[1, 5], [5, 1]] {
        let mut fixture = fixture_with_epochs(epochs);
        let tickets = [ticket_of(&mut fixture, 0), ticket_of(&mut fixture, 0)];
        for (reply, ticket) in (1..).zip(tickets) {
            let sent = dispatches(&fixture.call(reply, book(Some(ticket.clone()))));
            let first = answers(&fixture.end_dispatch(sent[0].exchange, done(200)));
            let copy = answers(&fixture.call(reply + 10, book(Some(ticket))));
            assert_eq!(copy[&(reply + 10)], first[&reply], "epochs {epochs:?}");
            // Keeps the slot of the first group busy, so that the next call runs in the other.
            let busy = ticket_of(&mut fixture, 0);
            fixture.call(reply + 20, book(Some(busy)));
        }
    }
}

/// Guards against refusing a queued ticketed call when the group it is queued in is lost but the
/// issuing group is still owned.
#[test]
fn waiting_ticketed_call_moves_when_its_group_is_lost() {
    let mut fixture = fixture_with_two_groups();
    let tickets: Vec<_> = (0..4).map(|_| ticket_of(&mut fixture, 0)).collect();
    let mut sent = Vec::new();
    for (reply, ticket) in (1..).zip(tickets) {
        sent.extend(dispatches(&fixture.call(reply, book(Some(ticket)))));
    }
    assert_eq!(sent.len(), 2, "the two groups have two slots");
    fixture.fixed.owned.remove(&1);
    fixture.change(&GroupChange::Lost { group: 1 });
    let mut answered = answers(&fixture.effects());
    while let Some(next) = sent.pop() {
        let effects = fixture.end_dispatch(next.exchange, done(200));
        answered.extend(answers(&effects));
        sent.extend(dispatches(&effects));
    }
    assert_eq!(answered.len(), 4);
    assert!(answered.values().all(|answer| answer.outcome == CallOutcome::Done));
}

/// Requests tickets until one is issued by `group`.
fn ticket_of(fixture: &mut CallFixture, group: u16) -> RequestTicket {
    loop {
        let ticket = fixture.tickets(1).remove(0);
        if ticket.group == group {
            return ticket;
        }
    }
}

/// Guards against issuing all tickets from one group when the expected waits are equal.
#[test]
fn tickets_spread_over_the_groups() {
    let mut fixture = fixture_with_two_groups();
    let groups: Vec<u16> = (0..40).map(|_| fixture.tickets(1)[0].group).collect();
    let second = groups.iter().filter(|group| **group == 1).count();
    assert!((8..=32).contains(&second), "{second} of 40 tickets name group 1");
}
