//! Tests of starts, leases, takeovers, evictions, placement and faulty workers.

mod tasks_support;

use std::time::Duration;

use cuminbank::{
    event::TaskQuery,
    ids::RequestTicket,
    ledger::TaskId,
    membership::TargetState,
    reducer::records::TaskEvent,
    settings::PlacementPolicy,
    worker::{AttemptEnd, EndedTask, ResourceSize, UsageWindow},
};
use tasks_support::{
    cores, millis, secs,
    worker::{FakeRun, FakeWorker},
    MessageFault, TaskSimulation,
};

fn count_events(simulation: &TaskSimulation, event: TaskEvent) -> usize {
    simulation.samples.iter().filter(|sample| sample.event == event).count()
}

/// Returns the checkpoint from which the last start of a task resumed, as remaining run time in
/// milliseconds.
fn last_checkpoint(simulation: &TaskSimulation, ticket: &RequestTicket) -> Option<u64> {
    let starts = simulation.starts_of(ticket);
    starts
        .last()?
        .2
        .checkpoint
        .as_ref()
        .map(|text| text.parse().expect("a checkpoint is a number of milliseconds"))
}

/// Guards against a second attempt while an attempt whose start was not answered may run.
#[test]
fn unanswered_start_is_resolved_by_a_list() {
    let late = MessageFault::Late(1_300);
    for fault in [MessageFault::AnswerLost, MessageFault::RequestLost, MessageFault::Unsent, late] {
        let mut simulation = TaskSimulation::new(2, 1);
        let faulty = |simulation: &mut TaskSimulation, fault| {
            simulation.workers.values_mut().for_each(|worker| worker.fault = fault);
        };
        let (ticket, _) = simulation.submit(3_000);
        simulation.run(millis(60));
        faulty(&mut simulation, fault);
        simulation.run_until("the start", |simulation| !simulation.group().runs().is_empty());
        simulation.run(millis(100));
        faulty(&mut simulation, MessageFault::None);
        simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
        assert_eq!(simulation.starts_of(&ticket).len(), 1, "{fault:?}");
    }
}

/// Guards against running a task twice, or losing it, when its worker becomes unreachable. The next
/// attempt must begin after the lease on that worker has expired, and late reports of the first
/// attempt must change nothing.
#[test]
fn silent_worker_loses_its_tasks_after_the_lease() {
    let mut simulation = TaskSimulation::new(2, 1);
    let (ticket, _) = simulation.submit(20_000);
    simulation.run(secs(3));
    let first = simulation.worker_of(&ticket).expect("the task runs");
    simulation.workers.get_mut(&first).unwrap().fault = MessageFault::RequestLost;
    let unreachable_at = simulation.now;
    simulation.run_until("the second start", |simulation| simulation.starts_of(&ticket).len() == 2);
    let (at, second, _) = simulation.starts_of(&ticket)[1].clone();
    assert!(
        at >= unreachable_at + secs(5),
        "restarted at {at:?}, before the lease expired; worker unreachable at {unreachable_at:?}"
    );
    assert!(
        at <= unreachable_at + secs(13),
        "restarted at {at:?}; worker unreachable at {unreachable_at:?}"
    );
    assert_ne!(first, second);
    assert!(
        last_checkpoint(&simulation, &ticket).is_some(),
        "the second attempt has no checkpoint"
    );
    simulation.workers.get_mut(&first).unwrap().fault = MessageFault::None;
    simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
    simulation.run(secs(3));
    assert_eq!(count_events(&simulation, TaskEvent::Finished), 1);
    assert_eq!(count_events(&simulation, TaskEvent::Resumed), 1);
    assert_eq!(count_events(&simulation, TaskEvent::Doubled), 0);
}

/// Guards against starting a task again that runs in an attempt of the previous owner, after one or
/// several takeovers.
#[test]
fn takeover_adopts_running_attempts() {
    let mut simulation = TaskSimulation::new(2, 1);
    let (ticket, _) = simulation.submit(30_000);
    simulation.run(secs(1));
    for _ in 0..3 {
        simulation.take_over();
        simulation.run(millis(700));
    }
    simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
    assert_eq!(simulation.starts_of(&ticket).len(), 1);
}

/// Guards against a new attempt before an unreachable worker has stopped the one that the previous
/// owner started.
#[test]
fn takeover_waits_for_unreachable_workers() {
    let mut simulation = TaskSimulation::new(2, 1);
    let (ticket, _) = simulation.submit(30_000);
    simulation.run(secs(1));
    let first = simulation.worker_of(&ticket).expect("the task runs");
    simulation.workers.get_mut(&first).unwrap().fault = MessageFault::RequestLost;
    simulation.take_over();
    let taken_at = simulation.now;
    simulation.run_until("the second start", |simulation| simulation.starts_of(&ticket).len() == 2);
    let (at, second, _) = simulation.starts_of(&ticket)[1].clone();
    assert!(at >= taken_at + secs(7), "restarted at {at:?}, taken over at {taken_at:?}");
    assert_ne!(first, second);
}

/// Guards against sending a start before its segment is committed, and against a new owner that
/// loses a committed start.
#[test]
fn committed_start_of_a_crashed_owner_is_resolved() {
    let mut simulation = TaskSimulation::new(1, 1);
    simulation.workers.get_mut("w0").unwrap().fault = MessageFault::RequestLost;
    let (ticket, _) = simulation.submit(1_000);
    simulation.run(millis(400));
    assert_eq!(simulation.group().runs().len(), 1);
    simulation.take_over();
    simulation.workers.get_mut("w0").unwrap().fault = MessageFault::None;
    simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
    let starts = simulation.starts_of(&ticket);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].2.attempt, 2, "the first attempt never reached the worker");
}

/// Guards against ignoring the ends of a worker that restarted and numbers them from the beginning
/// again. Their tasks would run again.
#[test]
fn restarted_worker_loses_no_end() {
    for busy in [false, true] {
        let mut simulation = TaskSimulation::new(1, 1);
        for _ in 0..5 {
            simulation.submit(100);
        }
        simulation.run(secs(4));
        let (lost, _) = simulation.submit(if busy { 20_000 } else { 100 });
        simulation.run(secs(3));
        let worker = simulation.workers.get_mut("w0").expect("w0 exists");
        worker.restart();
        worker.fault = MessageFault::Unsent;
        simulation.run(secs(2));
        simulation.workers.get_mut("w0").expect("w0 exists").fault = MessageFault::None;
        let (ticket, _) = simulation.submit(1_500);
        simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
        assert_eq!(simulation.starts_of(&ticket).len(), 1);
        simulation.run_until("the end", |simulation| simulation.state(&lost) == "finished");
        assert_eq!(simulation.starts_of(&lost).len(), if busy { 2 } else { 1 });
    }
}

/// Guards against an eviction that loses its checkpoint, resumes the task twice or on the same
/// machine, or stays uncommitted.
#[test]
fn evicted_task_resumes_once_from_its_checkpoint_elsewhere() {
    for fault in [MessageFault::None, MessageFault::AnswerLost] {
        let mut simulation = TaskSimulation::new(2, 1);
        let (ticket, _) = simulation.submit(30_000);
        simulation.run(secs(2));
        let first = simulation.worker_of(&ticket).expect("the task runs");
        let mut reports = 0;
        while simulation.workers[&first].running.contains_key(&ticket.to_string()) {
            let worker = simulation.workers.get_mut(&first).unwrap();
            reports += 1;
            // The fault hits the answer to the stop, not those of the reports that lead to it.
            worker.fault = if reports > 5 { fault } else { MessageFault::None };
            worker.usage.push(UsageWindow {
                length_ms: 1_000,
                age_ms: 500,
                neighbours: vec![("plan".to_owned(), 1.0)],
                slowdowns: vec![("reserve".to_owned(), 3.0)],
            });
            simulation.run(secs(1));
            assert!(reports < 10, "no eviction from {first} after {reports} reports of a slowdown");
        }
        simulation.workers.get_mut(&first).unwrap().fault = MessageFault::None;
        assert_eq!(simulation.workers[&first].throttles[0].1, 50, "throttled before the eviction");
        simulation.run_until("the resume", |simulation| simulation.starts_of(&ticket).len() == 2);
        let (_, second, start) = simulation.starts_of(&ticket)[1].clone();
        assert_ne!(first, second);
        assert_eq!(start.attempt, 2);
        assert!(last_checkpoint(&simulation, &ticket).is_some());
        simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
        assert_eq!(simulation.starts_of(&ticket).len(), 2);
        assert_eq!(count_events(&simulation, TaskEvent::Resumed), 1);
        let record =
            simulation.group().ledger().get(TaskId::of(&ticket)).expect("the record is kept");
        assert!(record.evictions <= 1);
    }
}

/// Guards against evicting a task during a store outage, when its checkpoint could not be
/// committed.
#[test]
fn evictions_wait_for_the_store() {
    let mut simulation = TaskSimulation::new(2, 1);
    let (ticket, _) = simulation.submit(60_000);
    simulation.run(secs(2));
    let first = simulation.worker_of(&ticket).expect("the task runs");
    simulation.store_fault = MessageFault::RequestLost;
    simulation.submit(10);
    simulation.run(secs(3));
    simulation.workers.get_mut(&first).unwrap().leaving = true;
    simulation.run(secs(3));
    assert_eq!(simulation.worker_of(&ticket), Some(first.clone()));
    simulation.store_fault = MessageFault::None;
    simulation.run_until("the move to the other worker", |simulation| {
        simulation.starts_of(&ticket).len() == 2
    });
    assert_ne!(simulation.worker_of(&ticket), Some(first));
}

/// Guards against starting work on a leaving or suspect worker, and against tasks that remain on a
/// leaving one.
#[test]
fn leaving_workers_are_drained() {
    for own_report in [true, false] {
        let mut simulation = TaskSimulation::new(2, 1);
        let tickets: Vec<_> = (0..3).map(|_| simulation.submit(30_000).0).collect();
        simulation.run(secs(2));
        let first = simulation.worker_of(&tickets[0]).expect("the task runs");
        if own_report {
            simulation.workers.get_mut(&first).unwrap().leaving = true;
        } else {
            simulation.set_state(&first, TargetState::Leaving);
        }
        let leaving_at = simulation.now;
        simulation.run(secs(3));
        assert!(simulation.workers[&first].running.is_empty());
        let late = simulation.workers[&first].starts.iter().filter(|(at, _)| *at > leaving_at);
        assert_eq!(late.count(), 0);
        for ticket in &tickets {
            assert!(simulation.worker_of(ticket).is_some(), "task {ticket} runs on no worker");
        }
    }
    let mut simulation = TaskSimulation::new(1, 1);
    simulation.set_state("w0", TargetState::Suspect);
    simulation.submit(10);
    simulation.run(secs(3));
    assert!(simulation.workers["w0"].starts.is_empty());
}

/// Guards against retrying a task forever although it fails everywhere, or retrying it on one
/// worker only.
#[test]
fn failing_task_ends_after_failures_on_distinct_workers() {
    let mut simulation = TaskSimulation::new(4, 1);
    simulation.workers.values_mut().for_each(|worker| worker.fails_all = true);
    let (ticket, _) = simulation.submit(1_000);
    simulation.run_until("the end", |simulation| simulation.state(&ticket) == "failed");
    let mut names: Vec<_> =
        simulation.starts_of(&ticket).into_iter().map(|(_, name, _)| name).collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 3);
    simulation.run(secs(1));
    let result = simulation.query(&ticket, TaskQuery::Result);
    let body = String::from_utf8_lossy(&simulation.answer(result).body).into_owned();
    assert!(body.contains("cannot run"), "{body}");
}

/// Guards against a worker that fails every attempt and so attracts the tasks of the others. It may
/// get less than 2 % of the starts in the minute after its first failures.
#[test]
fn worker_that_fails_everything_gets_few_starts() {
    let mut simulation = TaskSimulation::new(8, 1);
    simulation.workers.get_mut("w3").unwrap().fails_all = true;
    let began = simulation.now;
    while simulation.now < began + secs(70) {
        simulation.submit(100);
        simulation.submit(100);
        simulation.run(millis(80));
    }
    let first = simulation.workers["w3"].starts.first().expect("the faulty worker gets a start").0;
    // Results are known within a second of the first starts.
    let counted = |at: Duration| at > first + millis(1_500) && at <= first + millis(61_500);
    let starts = |worker: &FakeWorker| worker.starts.iter().filter(|(at, _)| counted(*at)).count();
    let all: usize = simulation.workers.values().map(starts).sum();
    let faulty = starts(&simulation.workers["w3"]);
    assert!(all > 500, "only {all} starts in the counted minute");
    assert!(faulty * 50 < all, "the faulty worker got {faulty} of {all} starts");
}

/// Guards against counting a repeated report as a second result, and against missing a real second
/// result.
#[test]
fn second_result_is_counted_and_changes_nothing() {
    let mut simulation = TaskSimulation::new(2, 1);
    let (ticket, _) = simulation.submit(500);
    simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
    simulation.run(secs(2));
    simulation.take_over();
    simulation.run(secs(4));
    assert_eq!(
        count_events(&simulation, TaskEvent::Doubled),
        0,
        "a repeated report counts as a second result"
    );
    let before = simulation.group().ledger().get(TaskId::of(&ticket)).cloned();
    simulation.workers.get_mut("w1").unwrap().ended.push(EndedTask {
        sequence: 77,
        task: ticket.to_string(),
        attempt: 0,
        end: AttemptEnd::Finished { result: serde_json::json!("other") },
    });
    simulation.run(secs(3));
    assert_eq!(count_events(&simulation, TaskEvent::Doubled), 1);
    assert_eq!(simulation.group().ledger().get(TaskId::of(&ticket)).cloned(), before);
}

/// Guards against a first start that is delayed by more than the commit and the request to the
/// worker.
#[test]
fn first_start_follows_acceptance_at_once() {
    let mut simulation = TaskSimulation::new(2, 1);
    let submitted_at = simulation.now;
    let (ticket, _) = simulation.submit(1_000);
    simulation.run_until("the start", |simulation| !simulation.starts_of(&ticket).is_empty());
    assert!(simulation.now <= submitted_at + millis(1_300), "{:?}", simulation.now - submitted_at);
}

/// Guards against a placement policy that does not place tasks although there is enough free
/// capacity.
#[test]
fn every_policy_places_tasks() {
    for policy in
        [PlacementPolicy::Learned, PlacementPolicy::LeastLoaded, PlacementPolicy::RandomQueue]
    {
        let mut simulation = TaskSimulation::new(3, 1);
        simulation.owners[0].step.settings.policy = policy;
        let tickets: Vec<_> = (0..6).map(|_| simulation.submit(20_000).0).collect();
        simulation.run(secs(2));
        assert!(tickets.iter().all(|ticket| simulation.worker_of(ticket).is_some()), "{policy:?}");
    }
}

/// Guards against a large task that never starts because small tasks use all free capacity.
#[test]
fn large_task_is_not_starved() {
    let mut simulation = TaskSimulation::new(1, 1);
    let ticket = simulation.next_ticket();
    let mut submission = simulation.submission(&ticket, 500);
    submission.size = cores(4);
    for run_ms in [1_000, 3_000, 5_000, 7_000] {
        simulation.submit(run_ms);
    }
    simulation.run(secs(1));
    simulation.send_submission(submission);
    let began = simulation.now;
    let mut count = 0;
    while simulation.starts_of(&ticket).is_empty() {
        // Different run times keep the tasks from ending at the same time.
        count += 1;
        simulation.submit(4_000 + count * 1_700 % 8_000);
        simulation.run(millis(230));
        assert!(
            simulation.now < began + secs(80),
            "the large task has not started at {:?}",
            simulation.now
        );
    }
}

/// Guards against empty workers that are hidden behind many with too few free cores. A class that
/// uses more cores than it declares has to start on one of the empty ones.
#[test]
fn underdeclared_task_starts_on_an_empty_worker_among_many_full_ones() {
    let mut simulation = TaskSimulation::new(70, 1);
    let submit_underdeclared = |simulation: &mut TaskSimulation| {
        let ticket = simulation.next_ticket();
        let mut submission = simulation.submission(&ticket, 300_000);
        (submission.class, submission.size) = ("grown".to_owned(), cores(1));
        simulation.send_submission(submission);
        ticket
    };
    let first = submit_underdeclared(&mut simulation);
    simulation.run_until("the start of the first task", |simulation| {
        simulation.worker_of(&first).is_some()
    });
    let worker = simulation.worker_of(&first).expect("the first task runs");
    for _ in 0..30 {
        let neighbours = vec![("grown".to_owned(), 3.0)];
        let window = UsageWindow { length_ms: 1_000, age_ms: 0, neighbours, slowdowns: vec![] };
        simulation.workers.get_mut(&worker).expect("the worker exists").usage.push(window);
        simulation.run(secs(1));
    }
    let mut fillers = Vec::new();
    for _ in 0..66 {
        let ticket = simulation.next_ticket();
        let mut submission = simulation.submission(&ticket, 300_000);
        submission.size = cores(3);
        simulation.send_submission(submission);
        fillers.push(ticket);
        simulation.run(millis(50));
    }
    simulation.run(secs(5));
    let second = submit_underdeclared(&mut simulation);
    simulation.run(secs(10));
    assert!(
        simulation.worker_of(&second).is_some(),
        "the second task is {}",
        simulation.state(&second)
    );
}

/// Guards against tasks that fit no worker of the group. They must not block tasks that fit, and
/// must start after a larger worker is added.
#[test]
fn tasks_too_large_for_the_group_are_parked() {
    let mut simulation = TaskSimulation::new(2, 1);
    simulation.workers.get_mut("w1").expect("w1 exists").size = cores(9);
    let large: Vec<_> = (0..100).map(|_| simulation.next_ticket()).collect();
    for ticket in &large {
        let mut submission = simulation.submission(ticket, 50);
        submission.size = cores(9);
        simulation.send_submission(submission);
    }
    let (small, _) = simulation.submit(50);
    simulation.run(secs(3));
    assert_eq!(simulation.state(&small), "finished");
    assert_eq!(simulation.state(&large[0]), "queued");
    simulation.set_state("w1", TargetState::Live);
    simulation.run(secs(3));
    assert_eq!(simulation.state(&large[0]), "finished");
}

/// Guards against acknowledging an end to its worker before the end is committed. The next owner
/// would not learn of it and would run the task again.
#[test]
fn ends_are_confirmed_after_their_commit() {
    let mut simulation = TaskSimulation::new(1, 1);
    let (ticket, _) = simulation.submit(1_000);
    simulation.run(millis(500));
    simulation.store_fault = MessageFault::RequestLost;
    simulation.submit(10);
    simulation.run(secs(6));
    assert!(simulation.workers["w0"].results.len() == 1 && simulation.state(&ticket) != "finished");
    simulation.take_over();
    simulation.store_fault = MessageFault::None;
    simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
    assert_eq!(simulation.starts_of(&ticket).len(), 1);
}

/// Guards against an attempt that keeps running on a worker although the ledger does not place it
/// there, at the same time as another attempt of its task.
#[test]
fn attempts_without_placement_are_stopped() {
    let mut simulation = TaskSimulation::new(1, 1);
    let (ticket, _) = simulation.submit(100);
    simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
    let run = FakeRun {
        attempt: 9,
        size: cores(1),
        class: "plan".to_owned(),
        left: secs(60),
        lease_until: simulation.now + secs(60),
    };
    let worker = simulation.workers.get_mut("w0").expect("w0 exists");
    worker.running.insert(ticket.to_string(), run);
    simulation.run(secs(2));
    assert!(simulation.workers["w0"].running.is_empty());
}

/// Guards against sending a committed start to a worker that became leaving or suspect after the
/// commit.
#[test]
fn committed_start_is_not_sent_to_an_unusable_worker() {
    for state in [TargetState::Leaving, TargetState::Suspect] {
        let mut simulation = TaskSimulation::new(2, 1);
        let (ticket, _) = simulation.submit(1_000);
        simulation.run_until("the commit of the start", |simulation| {
            !simulation.group().runs().is_empty()
        });
        let run = simulation.group().runs().values().next().expect("a start was committed");
        let name = run.placement.worker.clone();
        simulation.set_state(&name, state);
        simulation.run_until("the end", |simulation| simulation.state(&ticket) == "finished");
        assert!(simulation.workers[&name].starts.is_empty(), "{state:?}");
    }
}

/// Guards against a sum of sizes that overflows, since a worker reports a size near the maximum: the
/// process ended in a debug build, and the worker seemed to have room in a release build.
#[test]
fn sum_of_extreme_sizes_leaves_no_room() {
    let extreme =
        ResourceSize { millicores: u64::MAX, memory_mib: u64::MAX, accelerators: u32::MAX };
    let size = ResourceSize { millicores: 8_000, memory_mib: 16_000, accelerators: 1 };
    assert_eq!(extreme.plus(&size), extreme);
    assert!(!size.fits(&size.minus(&extreme.plus(&size))));
}
