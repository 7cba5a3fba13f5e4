//! Tests of task acceptance, journal writes and snapshots.

mod tasks_support;

use cuminbank::{
    effect::CallOutcome,
    event::TaskQuery,
    ledger::{head_key, StoredLedger},
    reducer::records::TaskEvent,
    store::{batch_prefix, epoch_key, StoreRequest, StoreValue},
};
use tasks_support::{cores, millis, secs, MessageFault, TaskSimulation, ZONE};

/// Guards against answering "accepted" before the segment that contains the task is committed.
#[test]
fn accepted_is_sent_after_the_commit() {
    let mut simulation = TaskSimulation::new(1, 1);
    simulation.store_fault = MessageFault::RequestLost;
    let (ticket, reply) = simulation.submit(1_000);
    simulation.run(millis(900));
    assert_eq!(simulation.outcome(reply), None);
    assert!(simulation.store.keys.keys().all(|key| !key.contains("segment")));
    simulation.store_fault = MessageFault::None;
    simulation.run_until("the acceptance", |simulation| simulation.outcome(reply).is_some());
    assert_eq!(simulation.outcome(reply), Some(CallOutcome::Accepted));
    assert!(simulation.store.keys.keys().any(|key| key.contains("segment")));
    simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
}

/// Guards against a change that is written twice, or never, because the answer to its write was
/// lost.
#[test]
fn lost_answer_is_read_back_before_anything_else() {
    let mut simulation = TaskSimulation::new(1, 1);
    let writes = simulation.store.writes;
    simulation.store_fault = MessageFault::AnswerLost;
    let (ticket, reply) = simulation.submit(30_000);
    simulation.run(millis(200));
    simulation.store_fault = MessageFault::None;
    simulation.run_until("the acceptance", |simulation| simulation.outcome(reply).is_some());
    assert_eq!(simulation.outcome(reply), Some(CallOutcome::Accepted));
    simulation.run(secs(1));
    assert_eq!(simulation.store.writes, writes + 1, "acceptance and start share one write");
    let requests = &simulation.store.requests;
    let first = requests.iter().position(|request| matches!(request, StoreRequest::Txn { .. }));
    let next = &requests[first.expect("the submission was written") + 1];
    assert!(matches!(next, StoreRequest::Range { prefix: false, .. }), "{next:?}");
    assert_eq!(simulation.starts_of(&ticket).len(), 1);
}

/// Guards against taking the own write for that of another owner when the first copy of the write
/// arrives between the read of its key and the second copy.
#[test]
fn late_copy_of_a_write_is_recognized() {
    for late in (1_020..1_400).step_by(20) {
        let mut simulation = TaskSimulation::new(1, 1);
        let writes = simulation.store.writes;
        simulation.store_fault = MessageFault::Late(late);
        let (ticket, reply) = simulation.submit(30_000);
        simulation.run(millis(200));
        simulation.store_fault = MessageFault::None;
        simulation.run(secs(3));
        assert_eq!(simulation.outcome(reply), Some(CallOutcome::Accepted), "{late} ms");
        assert_eq!(simulation.store.writes, writes + 1, "{late} ms");
        assert_eq!(simulation.starts_of(&ticket).len(), 1, "{late} ms");
    }
}

/// Guards against an owner that continues after the store refused its write because of a later
/// owner.
#[test]
fn refused_write_drops_the_ledger_and_answers_unknown() {
    let mut simulation = TaskSimulation::new(1, 1);
    simulation.store.put(&epoch_key(ZONE, 0), "9");
    let (_, reply) = simulation.submit(1_000);
    simulation.run(millis(500));
    assert_eq!(simulation.outcome(reply), Some(CallOutcome::Unknown));
    assert!(simulation.group().is_fenced());
    assert!(simulation.group().ledger().is_empty());
    assert!(simulation.workers["w0"].starts.is_empty());
}

/// Guards against two tasks or two different answers for one ticket, and against accepting a
/// different submission under a used ticket.
#[test]
fn ticket_submitted_twice_is_one_task() {
    let mut simulation = TaskSimulation::new(2, 1);
    let (ticket, first) = simulation.submit(2_000);
    let second = simulation.send_submission(simulation.submission(&ticket, 2_000));
    let staged_other = simulation.send_submission(simulation.submission(&ticket, 7));
    simulation.run(secs(1));
    let third = simulation.send_submission(simulation.submission(&ticket, 2_000));
    let other = simulation.send_submission(simulation.submission(&ticket, 7));
    simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
    let fourth = simulation.send_submission(simulation.submission(&ticket, 2_000));
    for reply in [second, third, fourth] {
        assert_eq!(simulation.answer(reply), simulation.answer(first));
    }
    assert_eq!(simulation.answer(staged_other).status, 409);
    assert_eq!(simulation.answer(other).status, 409);
    assert_eq!(simulation.starts_of(&ticket).len(), 1);
}

/// Guards against accepting a ticket from a future epoch, a missing profile, a size without cores,
/// or an input that is not JSON or too long.
#[test]
fn bad_submissions_are_refused() {
    let mut simulation = TaskSimulation::new(1, 1);
    let ticket = simulation.next_ticket();
    let mut future = simulation.submission(&ticket, 10);
    future.ticket.epoch += 1;
    let mut cases = vec![(400, future)];
    for (status, change) in [(404, 0), (400, 1), (400, 2), (413, 3)] {
        let ticket = simulation.next_ticket();
        let mut submission = simulation.submission(&ticket, 10);
        match change {
            0 => submission.profile = "absent".to_owned(),
            1 => submission.size = cores(0),
            2 => submission.input = "{".to_owned(),
            _ => submission.input = format!("\"{}\"", "x".repeat(300_000)),
        }
        cases.push((status, submission));
    }
    for (status, submission) in cases {
        let reply = simulation.send_submission(submission);
        assert_eq!(simulation.answer(reply).status, status);
        assert_eq!(simulation.answer(reply).outcome, CallOutcome::NotRun);
    }
}

/// Guards against accepting a delayed copy of a refused submission, and against delaying refusals
/// during a store outage.
#[test]
fn refusals_in_a_store_outage_are_immediate_and_final() {
    let mut simulation = TaskSimulation::new(1, 1);
    simulation.store_fault = MessageFault::RequestLost;
    let (_, in_flight) = simulation.submit(10);
    simulation.run(millis(100));
    let (staged, withdrawn) = simulation.submit(10);
    simulation.run(secs(4));
    assert_eq!(simulation.outcome(withdrawn), Some(CallOutcome::NotRun));
    let (late, refused) = simulation.submit(10);
    assert_eq!(simulation.answer(refused).status, 503);
    assert!(simulation.answer(refused).retry_after.is_some());
    simulation.run(secs(2));
    assert_eq!(simulation.outcome(in_flight), Some(CallOutcome::Unknown));
    simulation.store_fault = MessageFault::None;
    simulation.run(secs(3));
    for ticket in [staged, late] {
        let copy = simulation.send_submission(simulation.submission(&ticket, 10));
        simulation.run(secs(1));
        assert_eq!(simulation.outcome(copy), Some(CallOutcome::NotRun));
        assert_eq!(simulation.state(&ticket), "absent");
    }
}

/// Guards against answering "not run" for a ticket that the ledger of an earlier owner may contain.
#[test]
fn ticket_of_an_earlier_epoch_is_unknown_until_the_ledger_is_read() {
    let mut simulation = TaskSimulation::new(1, 1);
    let (ticket, first) = simulation.submit(20_000);
    simulation.run(secs(1));
    simulation.store_fault = MessageFault::Unsent;
    simulation.take_over();
    let early = simulation.send_submission(simulation.submission(&ticket, 20_000));
    assert_eq!(simulation.outcome(early), Some(CallOutcome::Unknown));
    let (_, fresh) = simulation.submit(10);
    assert_eq!(simulation.answer(fresh).status, 503);
    simulation.store_fault = MessageFault::None;
    simulation.run(secs(1));
    let late = simulation.send_submission(simulation.submission(&ticket, 20_000));
    assert_eq!(simulation.answer(late), simulation.answer(first));
}

/// Guards against showing a result that is not committed, since a takeover could still undo it.
#[test]
fn result_is_shown_after_its_commit_only() {
    let mut simulation = TaskSimulation::new(1, 1);
    let (ticket, _) = simulation.submit(1_000);
    simulation.run(millis(800));
    let early = simulation.query(&ticket, TaskQuery::Result);
    assert_eq!(simulation.answer(early).status, 409);
    simulation.store_fault = MessageFault::RequestLost;
    simulation.run(secs(3));
    let unstored = simulation.query(&ticket, TaskQuery::Result);
    assert_eq!(simulation.answer(unstored).status, 409);
    let status = simulation.query(&ticket, TaskQuery::Status);
    assert!(
        String::from_utf8_lossy(&simulation.answer(status).body).contains(r#""state":"running""#)
    );
    simulation.store_fault = MessageFault::None;
    simulation.run(secs(2));
    let late = simulation.query(&ticket, TaskQuery::Result);
    let expected = format!(r#"{{"task":"{ticket}","state":"finished","result":"{ticket}"}}"#);
    assert_eq!(simulation.answer(late).body, expected);
}

/// Guards against a snapshot that loses or changes tasks, a journal that grows without bound, and
/// more than one write per journal interval.
#[test]
fn snapshot_replaces_segments_and_restores_the_ledger() {
    let mut simulation = TaskSimulation::new(2, 1);
    let (began, writes) = (simulation.now, simulation.store.writes);
    for _ in 0..100 {
        simulation.submit(150);
        simulation.run(millis(320));
    }
    simulation.run(secs(5));
    let intervals = (simulation.now - began).as_millis() / 300;
    assert!(
        simulation.store.writes - writes <= intervals as usize + 6,
        "{}",
        simulation.store.writes
    );
    let prefix = batch_prefix(ZONE, 0);
    assert!(simulation.store.keys.contains_key(&head_key(&prefix)), "a snapshot was written");
    let segments = simulation.store.keys.keys().filter(|key| key.contains("segment")).count();
    assert!(segments < 100, "{segments} segments remain after a snapshot");
    let values: Vec<_> = simulation
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
    assert!(stored.ledger == *simulation.group().ledger(), "the restored ledger differs");
    let finished = simulation.samples.iter().filter(|sample| sample.event == TaskEvent::Finished);
    assert_eq!(finished.count(), 100);
}

/// Guards against a cancelled task that keeps running or keeps its reserved size, and against a
/// cancellation with an unknown outcome during a store outage.
#[test]
fn cancelled_tasks_stop() {
    let mut simulation = TaskSimulation::new(1, 1);
    let (running, _) = simulation.submit(60_000);
    simulation.run(secs(1));
    let cancel = simulation.query(&running, TaskQuery::Cancel);
    simulation.run(secs(1));
    assert!(simulation.workers["w0"].running.is_empty());
    assert_eq!(simulation.outcome(cancel), Some(CallOutcome::Done));
    assert_eq!(simulation.state(&running), "cancelled");
    let (other, _) = simulation.submit(60_000);
    simulation.run(secs(2));
    assert!(simulation.group().runs().len() == 1, "only the second task occupies the worker");
    simulation.store_fault = MessageFault::RequestLost;
    simulation.submit(10);
    simulation.run(secs(3));
    let refused = simulation.query(&other, TaskQuery::Cancel);
    assert_eq!(simulation.answer(refused).outcome, CallOutcome::NotRun);
    assert_eq!(simulation.worker_of(&other), Some("w0".to_owned()));
}

/// Guards against a task that waits forever although no worker of the zone is large enough.
#[test]
fn oversized_task_ends_as_failed() {
    let mut simulation = TaskSimulation::new(1, 1);
    let ticket = simulation.next_ticket();
    let mut submission = simulation.submission(&ticket, 10);
    submission.size = cores(5);
    let reply = simulation.send_submission(submission);
    simulation.run(secs(1));
    assert_eq!(simulation.outcome(reply), Some(CallOutcome::Accepted));
    let result = simulation.query(&ticket, TaskQuery::Result);
    let body = String::from_utf8_lossy(&simulation.answer(result).body).into_owned();
    assert!(body.contains("cannot run: larger than every worker"), "{body}");
}

/// Guards against a ledger that grows without bound, and against running a ticket again after its
/// record was dropped.
#[test]
fn old_tasks_are_dropped_and_their_tickets_stay_used() {
    let mut simulation = TaskSimulation::new(2, 1);
    let (ticket, first) = simulation.submit(50);
    simulation.run(secs(605));
    for _ in 0..70 {
        simulation.submit(50);
        simulation.run(millis(320));
    }
    simulation.run(secs(2));
    assert_eq!(simulation.state(&ticket), "absent");
    for _ in 0..2 {
        let again = simulation.send_submission(simulation.submission(&ticket, 50));
        assert_eq!(simulation.answer(again), simulation.answer(first));
        let status = simulation.query(&ticket, TaskQuery::Status);
        assert!(String::from_utf8_lossy(&simulation.answer(status).body).contains("expired"));
        simulation.take_over();
        simulation.run(secs(3));
    }
    assert_eq!(simulation.starts_of(&ticket).len(), 1);
}
