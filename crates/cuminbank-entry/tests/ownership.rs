//! Tests of takeovers between two entry instances of a zone.

mod support;

use std::{collections::BTreeMap, net::SocketAddr, thread, time::Duration};

use nix::sys::signal::Signal;

use support::{
    callers::{self, CallLoad, FinishedCall},
    wait_for, wait_for_instance, Deployment,
};

/// Longest time of a call while the other instance is paused. A silent peer is detected within 5 s,
/// later on a busy machine; without detection a call waits 40 s: its deadline, the maximum run time
/// and 5 s.
const MAX_CALL_TIME: Duration = Duration::from_secs(20);

/// Sends one booking per ticket, each from its own thread and to the instances in turn.
fn book_all(entries: &[SocketAddr], tickets: &[String], work_ms: u64) -> Vec<FinishedCall> {
    thread::scope(|scope| {
        let send = |(index, ticket): (usize, &'_ String)| {
            let (entry, ticket) = (entries[index % entries.len()], ticket.clone());
            scope.spawn(move || callers::book(entry, &ticket, work_ms))
        };
        let threads: Vec<_> = tickets.iter().enumerate().map(send).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("the sending thread does not panic"))
            .collect()
    })
}

fn assert_no_ticket_ran_twice(deployment: &Deployment) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    let bookings = deployment.platform.calls().into_iter().filter(|call| call.op == "reserve");
    bookings.for_each(|call| *runs.entry(call.key).or_default() += 1);
    assert!(!runs.is_empty(), "no booking ran");
    runs.retain(|_, count| *count > 1);
    assert!(runs.is_empty(), "tickets that ran more than once: {runs:?}");
}

/// Guards against a zone without service after its owner was killed, and against a booking that
/// runs twice because the ticket state was lost with the owner.
#[test]
fn peer_takes_over_from_a_killed_owner_and_knows_no_ticket_of_it() {
    let deployment = Deployment::start(2, 2, 1);
    let owner = deployment.owner();
    let (dying, peer) = (&deployment.entries[owner], &deployment.entries[1 - owner]);
    let tickets = callers::tickets(dying.http, 24);
    let (finished, rest) = tickets.split_at(4);
    let (running, unused) = rest.split_at(16);
    assert!(book_all(&[dying.http], finished, 1).iter().all(FinishedCall::is_done));
    let entries = [dying.http, peer.http];
    thread::scope(|scope| {
        let sending = scope.spawn(|| book_all(&entries, running, 3_000));
        wait_for("the bookings run", || deployment.platform.executor_counter("running") == 16);
        dying.signal(Signal::SIGKILL);
        for end in sending.join().expect("the sending thread does not panic") {
            // Callers of the killed instance lose their connection; those of the peer get
            // "unknown".
            assert!(end.is_cut_off() || end.outcome() == "unknown", "{end:?}");
        }
    });
    wait_for("the peer owns the group", || peer.owns(0).is_some());
    wait_for("the peer serves", || callers::plan(peer.http, "after", 1).is_done());
    for end in book_all(&[peer.http], &tickets, 1) {
        let status = end.result.as_ref().map(|answer| answer.status);
        assert_eq!((status, end.outcome()), (Ok(504), "unknown"), "{end:?}");
    }
    let fresh = callers::tickets(peer.http, 1);
    assert!(book_all(&[peer.http], &fresh, 1)[0].is_done());
    let ran: Vec<_> = deployment.platform.calls().into_iter().map(|call| call.key).collect();
    assert!(unused.iter().all(|ticket| !ran.contains(ticket)), "an unused ticket ran");
    assert_no_ticket_ran_twice(&deployment);
    deployment.platform.assert_history();
}

/// Guards against callers of a live instance that wait for a paused peer for the whole time that
/// their calls may take, and against an owner that resumes after its lease and promises have
/// expired and dispatches to executors whose slots its successor is using.
#[test]
fn paused_owner_does_not_act_after_its_right_has_ended() {
    let deployment = Deployment::start(2, 2, 1);
    let owner = deployment.owner();
    let (paused, peer) = (&deployment.entries[owner], &deployment.entries[1 - owner]);
    // More callers than the 16 slots, so that calls are queued at the paused instance. Callers of
    // the paused instance itself wait until it resumes.
    let held = CallLoad::start("held", 12, &[paused.http], 50);
    let load = CallLoad::start("load", 24, &[peer.http], 50);
    let bookings = callers::tickets(paused.http, 8);
    thread::scope(|scope| {
        let sending = scope.spawn(|| book_all(&[paused.http, peer.http], &bookings, 200));
        wait_for("calls are served", || load.done() > 100 && held.done() > 100);
        paused.signal(Signal::SIGSTOP);
        wait_for("the peer owns the group", || peer.owns(0).is_some());
        let before = load.done();
        wait_for("the peer serves", || load.done() > before + 5);
        paused.signal(Signal::SIGCONT);
        let name = Some(peer.name.clone());
        wait_for_instance(paused, "the paused instance sees the new owner", || {
            paused.owners() == [name.clone()]
        });
        let before = (load.done(), held.done());
        wait_for_instance(paused, "both serve", || {
            load.done() > before.0 + 100 && held.done() > before.1 + 100
        });
        sending.join().expect("the sending thread does not panic");
    });
    book_all(&[paused.http, peer.http], &bookings, 1);
    let served = load.finish();
    let longest = served.iter().map(|end| end.elapsed).max();
    assert!(longest < Some(MAX_CALL_TIME), "a call waited {longest:?} for the paused peer");
    let ends = [served, held.finish()].concat();
    let cut_off: Vec<_> = ends.iter().filter(|end| end.is_cut_off()).collect();
    assert!(cut_off.is_empty(), "calls without a whole answer: {cut_off:?}");
    assert_no_ticket_ran_twice(&deployment);
    deployment.platform.assert_history();
}
