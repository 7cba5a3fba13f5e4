//! Starts, leases, takeovers, evictions and faulty workers.

mod tasks_support;

use std::time::Duration;

use cuminbank::{
    event::TaskQuery,
    ids::RequestTicket,
    ledger::TaskId,
    membership::TargetState,
    reducer::records::TaskEvent,
    settings::PlacementPolicy,
    worker::{AttemptEnd, EndedTask, UsageWindow},
};
use tasks_support::{
    cores, millis, secs,
    worker::{FakeRun, FakeWorker},
    Fault, World,
};

fn marks(world: &World, mark: TaskEvent) -> usize {
    world.samples.iter().filter(|sample| sample.mark == mark).count()
}

/// Returns the checkpoint of the last start.
fn last_checkpoint(world: &World, ticket: &RequestTicket) -> Option<u64> {
    let starts = world.starts_of(ticket);
    starts.last()?.2.checkpoint.as_ref().map(|text| text.parse().expect("a number"))
}

/// Guards against a second attempt beside one whose start had its answer lost.
#[test]
fn lost_start_is_looked_up() {
    let late = Fault::Late(1_300);
    for fault in [Fault::AnswerLost, Fault::RequestLost, Fault::Unsent, late] {
        let mut world = World::new(2, 1);
        let faulty = |world: &mut World, fault| {
            world.workers.values_mut().for_each(|worker| worker.fault = fault);
        };
        let (ticket, _) = world.submit(3_000);
        world.run(millis(60));
        faulty(&mut world, fault);
        world.run_until("the start", |world| !world.group().runs().is_empty());
        world.run(millis(100));
        faulty(&mut world, Fault::None);
        world.run_until("the end", |world| world.state(&ticket) == "finished");
        assert_eq!(world.starts_of(&ticket).len(), 1, "{fault:?}");
    }
}

/// Guards against running a task twice, or losing it, when its worker is cut off: the next
/// attempt begins after the lease has lapsed there, and late news of the first changes nothing.
#[test]
fn silent_worker_loses_its_tasks_after_the_lease() {
    let mut world = World::new(2, 1);
    let (ticket, _) = world.submit(20_000);
    world.run(secs(3));
    let first = world.worker_of(&ticket).expect("the task runs");
    world.workers.get_mut(&first).unwrap().fault = Fault::RequestLost;
    let cut_at = world.now;
    world.run_until("the second start", |world| world.starts_of(&ticket).len() == 2);
    let (at, second, _) = world.starts_of(&ticket)[1].clone();
    assert!(at >= cut_at + secs(5), "the lease has not lapsed: {at:?} after {cut_at:?}");
    assert!(at <= cut_at + secs(13), "{at:?} after {cut_at:?}");
    assert_ne!(first, second);
    assert!(last_checkpoint(&world, &ticket).is_some(), "it resumes from the last checkpoint");
    world.workers.get_mut(&first).unwrap().fault = Fault::None;
    world.run_until("the end", |world| world.state(&ticket) == "finished");
    world.run(secs(3));
    assert_eq!(marks(&world, TaskEvent::Finished), 1);
    assert_eq!(marks(&world, TaskEvent::Resumed), 1);
    assert_eq!(marks(&world, TaskEvent::Doubled), 0);
}

/// Guards against starting an inherited attempt again, once or after a second takeover.
#[test]
fn takeover_adopts_running_attempts() {
    let mut world = World::new(2, 1);
    let (ticket, _) = world.submit(30_000);
    world.run(secs(1));
    for _ in 0..3 {
        world.take_over();
        world.run(millis(700));
    }
    world.run_until("the end", |world| world.state(&ticket) == "finished");
    assert_eq!(world.starts_of(&ticket).len(), 1);
}

/// Guards against a next attempt before an unreachable worker of the last owner has stopped.
#[test]
fn takeover_waits_for_unreachable_workers() {
    let mut world = World::new(2, 1);
    let (ticket, _) = world.submit(30_000);
    world.run(secs(1));
    let first = world.worker_of(&ticket).expect("the task runs");
    world.workers.get_mut(&first).unwrap().fault = Fault::RequestLost;
    world.take_over();
    let taken_at = world.now;
    world.run_until("the second start", |world| world.starts_of(&ticket).len() == 2);
    let (at, second, _) = world.starts_of(&ticket)[1].clone();
    assert!(at >= taken_at + secs(7), "{at:?} after {taken_at:?}");
    assert_ne!(first, second);
}

/// Guards against a start that goes out although its segment is not committed, and against a
/// committed start that is forgotten by the next owner.
#[test]
fn committed_start_of_a_dead_owner_is_settled() {
    let mut world = World::new(1, 1);
    world.workers.get_mut("w0").unwrap().fault = Fault::RequestLost;
    let (ticket, _) = world.submit(1_000);
    world.run(millis(400));
    assert_eq!(world.group().runs().len(), 1);
    world.take_over();
    world.workers.get_mut("w0").unwrap().fault = Fault::None;
    world.run_until("the end", |world| world.state(&ticket) == "finished");
    let starts = world.starts_of(&ticket);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].2.attempt, 2, "the first attempt never reached the worker");
}

/// Guards against a worker that restarts and numbers its ends anew: they must not be taken for
/// old ones, which would run the tasks again.
#[test]
fn restarted_worker_loses_no_end() {
    for busy in [false, true] {
        let mut world = World::new(1, 1);
        for _ in 0..5 {
            world.submit(100);
        }
        world.run(secs(4));
        let (lost, _) = world.submit(if busy { 20_000 } else { 100 });
        world.run(secs(3));
        let worker = world.workers.get_mut("w0").expect("it exists");
        worker.restart();
        worker.fault = Fault::Unsent;
        world.run(secs(2));
        world.workers.get_mut("w0").expect("it exists").fault = Fault::None;
        let (ticket, _) = world.submit(1_500);
        world.run_until("the end", |world| world.state(&ticket) == "finished");
        assert_eq!(world.starts_of(&ticket).len(), 1);
        world.run_until("the end", |world| world.state(&lost) == "finished");
        assert_eq!(world.starts_of(&lost).len(), if busy { 2 } else { 1 });
    }
}

/// Guards against an eviction that loses its checkpoint, resumes twice, returns to the same
/// machine, or leaves the task uncommitted.
#[test]
fn evicted_task_resumes_once_from_its_checkpoint_elsewhere() {
    for fault in [Fault::None, Fault::AnswerLost] {
        let mut world = World::new(2, 1);
        let (ticket, _) = world.submit(30_000);
        world.run(secs(2));
        let first = world.worker_of(&ticket).expect("the task runs");
        let mut reports = 0;
        while world.workers[&first].running.contains_key(&ticket.to_string()) {
            let worker = world.workers.get_mut(&first).unwrap();
            reports += 1;
            // The answer of the stop is lost, not those of the reports that lead to it.
            worker.fault = if reports > 5 { fault } else { Fault::None };
            worker.usage.push(UsageWindow {
                length_ms: 1_000,
                age_ms: 500,
                neighbours: vec![("plan".to_owned(), 1.0)],
                slowdowns: vec![("reserve".to_owned(), 3.0)],
            });
            world.run(secs(1));
            assert!(reports < 10, "no eviction after {reports} reports");
        }
        world.workers.get_mut(&first).unwrap().fault = Fault::None;
        assert_eq!(world.workers[&first].throttles[0].1, 50, "it is throttled first");
        world.run_until("the resume", |world| world.starts_of(&ticket).len() == 2);
        let (_, second, start) = world.starts_of(&ticket)[1].clone();
        assert_ne!(first, second);
        assert_eq!(start.attempt, 2);
        assert!(last_checkpoint(&world, &ticket).is_some());
        world.run_until("the end", |world| world.state(&ticket) == "finished");
        assert_eq!(world.starts_of(&ticket).len(), 2);
        assert_eq!(marks(&world, TaskEvent::Resumed), 1);
        let record = world.group().ledger().get(TaskId::of(&ticket)).expect("it is kept");
        assert!(record.evictions <= 1);
    }
}

/// Guards against a stop whose checkpoint cannot be committed while the store is down.
#[test]
fn evictions_wait_for_the_store() {
    let mut world = World::new(2, 1);
    let (ticket, _) = world.submit(60_000);
    world.run(secs(2));
    let first = world.worker_of(&ticket).expect("the task runs");
    world.store_fault = Fault::RequestLost;
    world.submit(10);
    world.run(secs(3));
    world.workers.get_mut(&first).unwrap().leaving = true;
    world.run(secs(3));
    assert_eq!(world.worker_of(&ticket), Some(first.clone()));
    world.store_fault = Fault::None;
    world.run_until("the move", |world| world.starts_of(&ticket).len() == 2);
    assert_ne!(world.worker_of(&ticket), Some(first));
}

/// Guards against new work for a leaving or suspect worker, and against tasks left on the
/// leaving one.
#[test]
fn leaving_workers_are_emptied() {
    for own_report in [true, false] {
        let mut world = World::new(2, 1);
        let tickets: Vec<_> = (0..3).map(|_| world.submit(30_000).0).collect();
        world.run(secs(2));
        let first = world.worker_of(&tickets[0]).expect("the task runs");
        if own_report {
            world.workers.get_mut(&first).unwrap().leaving = true;
        } else {
            world.set_state(&first, TargetState::Leaving);
        }
        let left_at = world.now;
        world.run(secs(3));
        assert!(world.workers[&first].running.is_empty());
        let late = world.workers[&first].starts.iter().filter(|(at, _)| *at > left_at);
        assert_eq!(late.count(), 0);
        for ticket in &tickets {
            assert!(world.worker_of(ticket).is_some(), "{ticket} runs elsewhere");
        }
    }
    let mut world = World::new(1, 1);
    world.set_state("w0", TargetState::Suspect);
    world.submit(10);
    world.run(secs(3));
    assert!(world.workers["w0"].starts.is_empty());
}

/// Guards against a job that fails everywhere and is tried for ever, or on one worker only.
#[test]
fn failing_job_ends_after_distinct_workers() {
    let mut world = World::new(4, 1);
    world.workers.values_mut().for_each(|worker| worker.fails_all = true);
    let (ticket, _) = world.submit(1_000);
    world.run_until("the end", |world| world.state(&ticket) == "failed");
    let mut names: Vec<_> = world.starts_of(&ticket).into_iter().map(|(_, name, _)| name).collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 3);
    world.run(secs(1));
    let result = world.ask(&ticket, TaskQuery::Result);
    let body = String::from_utf8_lossy(&world.answer(result).body).into_owned();
    assert!(body.contains("cannot run"), "{body}");
}

/// Guards against a worker that fails everything and draws the work of the others: it gets under
/// 2 % of the starts in the minute after its first failures.
#[test]
fn worker_that_fails_everything_gets_few_starts() {
    let mut world = World::new(8, 1);
    world.workers.get_mut("w3").unwrap().fails_all = true;
    let began = world.now;
    while world.now < began + secs(70) {
        world.submit(100);
        world.submit(100);
        world.run(millis(80));
    }
    let first = world.workers["w3"].starts.first().expect("it got some work").0;
    // Results are known a second after the first starts at the latest.
    let counted = |at: Duration| at > first + millis(1_500) && at <= first + millis(61_500);
    let starts = |worker: &FakeWorker| worker.starts.iter().filter(|(at, _)| counted(*at)).count();
    let all: usize = world.workers.values().map(starts).sum();
    let faulty = starts(&world.workers["w3"]);
    assert!(all > 500, "{all} starts");
    assert!(faulty * 50 < all, "{faulty} of {all} starts");
}

/// Guards against counting a repeated report as a second result, and against missing a real one.
#[test]
fn second_result_is_counted_and_changes_nothing() {
    let mut world = World::new(2, 1);
    let (ticket, _) = world.submit(500);
    world.run_until("the end", |world| world.state(&ticket) == "finished");
    world.run(secs(2));
    world.take_over();
    world.run(secs(4));
    assert_eq!(marks(&world, TaskEvent::Doubled), 0, "the same end was reported again");
    let before = world.group().ledger().get(TaskId::of(&ticket)).cloned();
    world.workers.get_mut("w1").unwrap().ended.push(EndedTask {
        sequence: 77,
        task: ticket.to_string(),
        attempt: 0,
        end: AttemptEnd::Finished { result: serde_json::json!("other") },
    });
    world.run(secs(3));
    assert_eq!(marks(&world, TaskEvent::Doubled), 1);
    assert_eq!(world.group().ledger().get(TaskId::of(&ticket)).cloned(), before);
}

/// Guards against urgent batch work that waits for more than the commit and the call.
#[test]
fn first_start_follows_acceptance_at_once() {
    let mut world = World::new(2, 1);
    let submitted_at = world.now;
    let (ticket, _) = world.submit(1_000);
    world.run_until("the start", |world| !world.starts_of(&ticket).is_empty());
    assert!(world.now <= submitted_at + millis(1_300), "{:?}", world.now - submitted_at);
}

/// Guards against placing work where it is known to slow urgent calls while there is a better
/// machine, and against a baseline that cannot place at all.
#[test]
fn policies_place() {
    for policy in
        [PlacementPolicy::Learned, PlacementPolicy::LeastLoaded, PlacementPolicy::RandomQueue]
    {
        let mut world = World::new(3, 1);
        world.owners[0].step.settings.policy = policy;
        let tickets: Vec<_> = (0..6).map(|_| world.submit(20_000).0).collect();
        world.run(secs(2));
        assert!(tickets.iter().all(|ticket| world.worker_of(ticket).is_some()), "{policy:?}");
    }
}

/// Guards against a large task that never starts because small ones fill every gap.
#[test]
fn large_task_gets_room() {
    let mut world = World::new(1, 1);
    let ticket = world.next_ticket();
    let mut submission = world.submission(&ticket, 500);
    submission.size = cores(4);
    for run_ms in [1_000, 3_000, 5_000, 7_000] {
        world.submit(run_ms);
    }
    world.run(secs(1));
    world.send_submission(submission);
    let began = world.now;
    let mut count = 0;
    while world.starts_of(&ticket).is_empty() {
        // Run times that differ keep the ends from coming all at once.
        count += 1;
        world.submit(4_000 + count * 1_700 % 8_000);
        world.run(millis(230));
        assert!(world.now < began + secs(80), "it has no room");
    }
}

/// Guards against empty workers that are hidden behind many with too little room: a class that uses
/// more than it declares has to start on one of the empty ones.
#[test]
fn grown_task_finds_an_empty_worker_behind_many_filled_ones() {
    let mut world = World::new(70, 1);
    let grown = |world: &mut World| {
        let ticket = world.next_ticket();
        let mut submission = world.submission(&ticket, 300_000);
        (submission.class, submission.size) = ("grown".to_owned(), cores(1));
        world.send_submission(submission);
        ticket
    };
    let first = grown(&mut world);
    world.run_until("the first task runs", |world| world.worker_of(&first).is_some());
    let worker = world.worker_of(&first).expect("it runs");
    for _ in 0..30 {
        let neighbours = vec![("grown".to_owned(), 3.0)];
        let window = UsageWindow { length_ms: 1_000, age_ms: 0, neighbours, slowdowns: vec![] };
        world.workers.get_mut(&worker).expect("it exists").usage.push(window);
        world.run(secs(1));
    }
    let mut fillers = Vec::new();
    for _ in 0..66 {
        let ticket = world.next_ticket();
        let mut submission = world.submission(&ticket, 300_000);
        submission.size = cores(3);
        world.send_submission(submission);
        fillers.push(ticket);
        world.run(millis(50));
    }
    world.run(secs(5));
    let second = grown(&mut world);
    world.run(secs(10));
    assert!(world.worker_of(&second).is_some(), "it waits: {}", world.state(&second));
}

/// Guards against tasks that fit behind tasks that no worker of the group can hold, and against
/// forgetting the latter when a larger worker comes.
#[test]
fn tasks_too_large_for_the_group_wait_aside() {
    let mut world = World::new(2, 1);
    world.workers.get_mut("w1").expect("it exists").size = cores(9);
    let large: Vec<_> = (0..100).map(|_| world.next_ticket()).collect();
    for ticket in &large {
        let mut submission = world.submission(ticket, 50);
        submission.size = cores(9);
        world.send_submission(submission);
    }
    let (small, _) = world.submit(50);
    world.run(secs(3));
    assert_eq!(world.state(&small), "finished");
    assert_eq!(world.state(&large[0]), "queued");
    world.set_state("w1", TargetState::Live);
    world.run(secs(3));
    assert_eq!(world.state(&large[0]), "finished");
}

/// Guards against confirming an end to a worker before it is committed: the next owner would
/// never hear of it and run the task again.
#[test]
fn ends_are_confirmed_after_their_commit() {
    let mut world = World::new(1, 1);
    let (ticket, _) = world.submit(1_000);
    world.run(millis(500));
    world.store_fault = Fault::RequestLost;
    world.submit(10);
    world.run(secs(6));
    assert!(world.workers["w0"].results.len() == 1 && world.state(&ticket) != "finished");
    world.take_over();
    world.store_fault = Fault::None;
    world.run_until("the end", |world| world.state(&ticket) == "finished");
    assert_eq!(world.starts_of(&ticket).len(), 1);
}

/// Guards against an attempt that the ledger does not place on a worker and that runs on there,
/// beside another attempt of its task.
#[test]
fn attempts_of_no_placement_are_stopped() {
    let mut world = World::new(1, 1);
    let (ticket, _) = world.submit(100);
    world.run_until("the end", |world| world.state(&ticket) == "finished");
    let run = FakeRun {
        attempt: 9,
        size: cores(1),
        class: "plan".to_owned(),
        left: secs(60),
        lease_until: world.now + secs(60),
    };
    let worker = world.workers.get_mut("w0").expect("it exists");
    worker.running.insert(ticket.to_string(), run);
    world.run(secs(2));
    assert!(world.workers["w0"].running.is_empty());
}

/// Guards against a start that was committed before its worker began to leave, or stopped
/// answering, and is sent after.
#[test]
fn committed_start_is_not_sent_to_a_worker_out_of_use() {
    for state in [TargetState::Leaving, TargetState::Suspect] {
        let mut world = World::new(2, 1);
        let (ticket, _) = world.submit(1_000);
        world.run_until("the commit", |world| !world.group().runs().is_empty());
        let run = world.group().runs().values().next().expect("there is an attempt");
        let name = run.placement.worker.clone();
        world.set_state(&name, state);
        world.run_until("the end", |world| world.state(&ticket) == "finished");
        assert!(world.workers[&name].starts.is_empty(), "{state:?}");
    }
}
