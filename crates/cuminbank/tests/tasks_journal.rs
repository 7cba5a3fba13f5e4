//! Tests of task acceptance, journal writes and snapshots.

mod tasks_support;

use cuminbank::{
    effect::CallOutcome,
    event::TaskQuery,
    ledger::{head_key, StoredLedger},
    reducer::records::TaskEvent,
    store::{batch_prefix, epoch_key, StoreRequest, StoreValue},
};
use tasks_support::{cores, millis, secs, Fault, World, ZONE};

/// Guards against answering "accepted" before the segment that contains the task is committed.
#[test]
fn accepted_is_sent_after_the_commit() {
    let mut world = World::new(1, 1);
    world.store_fault = Fault::RequestLost;
    let (ticket, reply) = world.submit(1_000);
    world.run(millis(900));
    assert_eq!(world.outcome(reply), None);
    assert!(world.store.keys.keys().all(|key| !key.contains("segment")));
    world.store_fault = Fault::None;
    world.run_until("the acceptance", |world| world.outcome(reply).is_some());
    assert_eq!(world.outcome(reply), Some(CallOutcome::Accepted));
    assert!(world.store.keys.keys().any(|key| key.contains("segment")));
    world.run_until("the end", |world| world.state(&ticket) == "finished");
}

/// Guards against a change that is written twice, or never, because the answer to its write was
/// lost.
#[test]
fn lost_answer_is_read_back_before_anything_else() {
    let mut world = World::new(1, 1);
    let writes = world.store.writes;
    world.store_fault = Fault::AnswerLost;
    let (ticket, reply) = world.submit(30_000);
    world.run(millis(200));
    world.store_fault = Fault::None;
    world.run_until("the acceptance", |world| world.outcome(reply).is_some());
    assert_eq!(world.outcome(reply), Some(CallOutcome::Accepted));
    world.run(secs(1));
    assert_eq!(world.store.writes, writes + 1, "acceptance and start share one write");
    let requests = &world.store.requests;
    let first = requests.iter().position(|request| matches!(request, StoreRequest::Txn { .. }));
    let next = &requests[first.expect("the submission was written") + 1];
    assert!(matches!(next, StoreRequest::Range { prefix: false, .. }), "{next:?}");
    assert_eq!(world.starts_of(&ticket).len(), 1);
}

/// Guards against mistaking an own write for another owner's. This happens when the first copy of
/// the write arrives between the read of its key and the second copy.
#[test]
fn late_copy_of_a_write_is_recognized() {
    for late in (1_020..1_400).step_by(20) {
        let mut world = World::new(1, 1);
        let writes = world.store.writes;
        world.store_fault = Fault::Late(late);
        let (ticket, reply) = world.submit(30_000);
        world.run(millis(200));
        world.store_fault = Fault::None;
        world.run(secs(3));
        assert_eq!(world.outcome(reply), Some(CallOutcome::Accepted), "{late} ms");
        assert_eq!(world.store.writes, writes + 1, "{late} ms");
        assert_eq!(world.starts_of(&ticket).len(), 1, "{late} ms");
    }
}

/// Guards against a previous owner that continues after its write was refused.
#[test]
fn refused_write_drops_the_ledger_and_answers_unknown() {
    let mut world = World::new(1, 1);
    world.store.put(&epoch_key(ZONE, 0), "9");
    let (_, reply) = world.submit(1_000);
    world.run(millis(500));
    assert_eq!(world.outcome(reply), Some(CallOutcome::Unknown));
    assert!(world.group().is_fenced());
    assert!(world.group().ledger().is_empty());
    assert!(world.workers["w0"].starts.is_empty());
}

/// Guards against two tasks or two different answers for one ticket, and against accepting another
/// body under a used ticket.
#[test]
fn ticket_submitted_twice_is_one_task() {
    let mut world = World::new(2, 1);
    let (ticket, first) = world.submit(2_000);
    let second = world.send_submission(world.submission(&ticket, 2_000));
    let staged_other = world.send_submission(world.submission(&ticket, 7));
    world.run(secs(1));
    let third = world.send_submission(world.submission(&ticket, 2_000));
    let other = world.send_submission(world.submission(&ticket, 7));
    world.run_until("the end", |world| world.state(&ticket) == "finished");
    let fourth = world.send_submission(world.submission(&ticket, 2_000));
    for reply in [second, third, fourth] {
        assert_eq!(world.answer(reply), world.answer(first));
    }
    assert_eq!(world.answer(staged_other).status, 409);
    assert_eq!(world.answer(other).status, 409);
    assert_eq!(world.starts_of(&ticket).len(), 1);
}

/// Guards against accepting a ticket from a future epoch, a missing profile, a size without cores,
/// or an input that is not JSON or too long.
#[test]
fn bad_submissions_are_refused() {
    let mut world = World::new(1, 1);
    let ticket = world.next_ticket();
    let mut future = world.submission(&ticket, 10);
    future.ticket.epoch += 1;
    let mut cases = vec![(400, future)];
    for (status, change) in [(404, 0), (400, 1), (400, 2), (413, 3)] {
        let ticket = world.next_ticket();
        let mut submission = world.submission(&ticket, 10);
        match change {
            0 => submission.profile = "absent".to_owned(),
            1 => submission.size = cores(0),
            2 => submission.input = "{".to_owned(),
            _ => submission.input = format!("\"{}\"", "x".repeat(300_000)),
        }
        cases.push((status, submission));
    }
    for (status, submission) in cases {
        let reply = world.send_submission(submission);
        assert_eq!(world.answer(reply).status, status);
        assert_eq!(world.answer(reply).outcome, CallOutcome::NotRun);
    }
}

/// Guards against a delayed copy that undoes a refusal, and against withholding a refusal during a
/// store outage.
#[test]
fn store_outage_refuses_at_once_and_for_good() {
    let mut world = World::new(1, 1);
    world.store_fault = Fault::RequestLost;
    let (_, in_flight) = world.submit(10);
    world.run(millis(100));
    let (staged, withdrawn) = world.submit(10);
    world.run(secs(4));
    assert_eq!(world.outcome(withdrawn), Some(CallOutcome::NotRun));
    let (late, refused) = world.submit(10);
    assert_eq!(world.answer(refused).status, 503);
    assert!(world.answer(refused).retry_after.is_some());
    world.run(secs(2));
    assert_eq!(world.outcome(in_flight), Some(CallOutcome::Unknown));
    world.store_fault = Fault::None;
    world.run(secs(3));
    for ticket in [staged, late] {
        let copy = world.send_submission(world.submission(&ticket, 10));
        world.run(secs(1));
        assert_eq!(world.outcome(copy), Some(CallOutcome::NotRun));
        assert_eq!(world.state(&ticket), "absent");
    }
}

/// Guards against answering "not run" for a ticket that the ledger of an earlier owner may contain.
#[test]
fn ticket_of_an_earlier_epoch_is_unknown_until_the_ledger_is_read() {
    let mut world = World::new(1, 1);
    let (ticket, first) = world.submit(20_000);
    world.run(secs(1));
    world.store_fault = Fault::Unsent;
    world.take_over();
    let early = world.send_submission(world.submission(&ticket, 20_000));
    assert_eq!(world.outcome(early), Some(CallOutcome::Unknown));
    let (_, fresh) = world.submit(10);
    assert_eq!(world.answer(fresh).status, 503);
    world.store_fault = Fault::None;
    world.run(secs(1));
    let late = world.send_submission(world.submission(&ticket, 20_000));
    assert_eq!(world.answer(late), world.answer(first));
}

/// Guards against showing a result that is not committed and that a takeover could still undo.
#[test]
fn result_is_shown_after_its_commit_only() {
    let mut world = World::new(1, 1);
    let (ticket, _) = world.submit(1_000);
    world.run(millis(800));
    let early = world.ask(&ticket, TaskQuery::Result);
    assert_eq!(world.answer(early).status, 409);
    world.store_fault = Fault::RequestLost;
    world.run(secs(3));
    let unstored = world.ask(&ticket, TaskQuery::Result);
    assert_eq!(world.answer(unstored).status, 409);
    let status = world.ask(&ticket, TaskQuery::Status);
    assert!(String::from_utf8_lossy(&world.answer(status).body).contains(r#""state":"running""#));
    world.store_fault = Fault::None;
    world.run(secs(2));
    let late = world.ask(&ticket, TaskQuery::Result);
    let expected = format!(r#"{{"task":"{ticket}","state":"finished","result":"{ticket}"}}"#);
    assert_eq!(world.answer(late).body, expected);
}

/// Guards against a snapshot that loses or changes tasks, a journal that grows without bound, and
/// more than one write per journal interval.
#[test]
fn snapshot_replaces_segments_and_restores_the_ledger() {
    let mut world = World::new(2, 1);
    let (began, writes) = (world.now, world.store.writes);
    for _ in 0..100 {
        world.submit(150);
        world.run(millis(320));
    }
    world.run(secs(5));
    let intervals = (world.now - began).as_millis() / 300;
    assert!(world.store.writes - writes <= intervals as usize + 6, "{}", world.store.writes);
    let prefix = batch_prefix(ZONE, 0);
    assert!(world.store.keys.contains_key(&head_key(&prefix)), "a snapshot was written");
    let segments = world.store.keys.keys().filter(|key| key.contains("segment")).count();
    assert!(segments < 100, "{segments} segments remain after a snapshot");
    let values: Vec<_> = world
        .store
        .keys
        .iter()
        .map(|(key, (value, _))| StoreValue {
            key: key.clone(),
            value: value.clone(),
            mod_revision: 1,
        })
        .filter(|value| value.key.starts_with(&prefix))
        .collect();
    let stored = StoredLedger::read(&prefix, &values).expect("the stored journal is readable");
    assert!(stored.ledger == *world.group().ledger(), "the restored ledger differs");
    let finished = world.samples.iter().filter(|sample| sample.event == TaskEvent::Finished);
    assert_eq!(finished.count(), 100);
}

/// Guards against a cancelled task that keeps running or keeps its reserved size, and against a
/// cancellation with an unclear outcome during a store outage.
#[test]
fn cancelled_tasks_stop() {
    let mut world = World::new(1, 1);
    let (running, _) = world.submit(60_000);
    world.run(secs(1));
    let cancel = world.ask(&running, TaskQuery::Cancel);
    world.run(secs(1));
    assert!(world.workers["w0"].running.is_empty());
    assert_eq!(world.outcome(cancel), Some(CallOutcome::Done));
    assert_eq!(world.state(&running), "cancelled");
    let (other, _) = world.submit(60_000);
    world.run(secs(2));
    assert!(world.group().runs().len() == 1, "only the second task occupies the worker");
    world.store_fault = Fault::RequestLost;
    world.submit(10);
    world.run(secs(3));
    let refused = world.ask(&other, TaskQuery::Cancel);
    assert_eq!(world.answer(refused).outcome, CallOutcome::NotRun);
    assert_eq!(world.worker_of(&other), Some("w0".to_owned()));
}

/// Guards against a task that waits forever although no worker of the zone is large enough.
#[test]
fn oversized_task_ends_as_failed() {
    let mut world = World::new(1, 1);
    let ticket = world.next_ticket();
    let mut submission = world.submission(&ticket, 10);
    submission.size = cores(5);
    let reply = world.send_submission(submission);
    world.run(secs(1));
    assert_eq!(world.outcome(reply), Some(CallOutcome::Accepted));
    let result = world.ask(&ticket, TaskQuery::Result);
    let body = String::from_utf8_lossy(&world.answer(result).body).into_owned();
    assert!(body.contains("cannot run: larger than every worker"), "{body}");
}

/// Guards against a ledger that grows without bound, and against running a ticket again after its
/// record was dropped.
#[test]
fn old_tasks_are_dropped_and_their_tickets_stay_used() {
    let mut world = World::new(2, 1);
    let (ticket, first) = world.submit(50);
    world.run(secs(605));
    for _ in 0..70 {
        world.submit(50);
        world.run(millis(320));
    }
    world.run(secs(2));
    assert_eq!(world.state(&ticket), "absent");
    for _ in 0..2 {
        let again = world.send_submission(world.submission(&ticket, 50));
        assert_eq!(world.answer(again), world.answer(first));
        let status = world.ask(&ticket, TaskQuery::Status);
        assert!(String::from_utf8_lossy(&world.answer(status).body).contains("expired"));
        world.take_over();
        world.run(secs(3));
    }
    assert_eq!(world.starts_of(&ticket).len(), 1);
}
