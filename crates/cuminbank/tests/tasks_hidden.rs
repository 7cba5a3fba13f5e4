//! Tests of candidates that a bounded search for a start must not hide.

mod tasks_support;

use cuminbank::{
    ids::RequestTicket,
    membership::TargetState,
    worker::{ResourceSize, UsageWindow},
};

use tasks_support::{cores, millis, secs, TaskSimulation};

const LONG_RUN_MS: u64 = 300_000;

fn submit_sized(
    simulation: &mut TaskSimulation,
    customer: &str,
    size: ResourceSize,
) -> RequestTicket {
    let ticket = simulation.next_ticket();
    let mut submission = simulation.submission(&ticket, LONG_RUN_MS);
    (submission.customer, submission.size) = (customer.to_owned(), size);
    simulation.send_submission(submission);
    ticket
}

fn with_accelerator(size: ResourceSize) -> ResourceSize {
    ResourceSize { accelerators: 1, ..size }
}

// Guards against a task that waits beside an idle worker with its accelerator, because the workers
// without one come first in the index.
#[test]
fn workers_without_accelerators_do_not_hide_one_with_them() {
    let mut simulation = TaskSimulation::new(71, 1);
    simulation.set_size("w70", with_accelerator(cores(8)));
    let ticket = submit_sized(&mut simulation, "griddle", with_accelerator(cores(1)));
    simulation.run(secs(3));
    assert_eq!(simulation.worker_of(&ticket).as_deref(), Some("w70"));
}

// Guards against a task that waits beside an idle worker with enough memory, because the workers
// with too little come first in the index.
#[test]
fn workers_without_memory_do_not_hide_one_with_enough() {
    let mut simulation = TaskSimulation::new(71, 1);
    simulation.set_size("w70", ResourceSize { memory_mib: 8_000, ..cores(8) });
    let size = ResourceSize { memory_mib: 4_000, ..cores(1) };
    let ticket = submit_sized(&mut simulation, "griddle", size);
    simulation.run(secs(3));
    assert_eq!(simulation.worker_of(&ticket).as_deref(), Some("w70"));
}

// Guards against a task that waits for the end of a predicted slowdown on the first workers while a
// later one runs no latency-critical work.
#[test]
fn slowed_workers_do_not_hide_an_unaffected_one() {
    let mut simulation = TaskSimulation::new(10, 1);
    simulation.latency_critical_classes = vec![("reserve".to_owned(), 1)];
    simulation.quiet_machines = vec!["machine-w9".to_owned()];
    let window = UsageWindow {
        length_ms: 1_000,
        age_ms: 0,
        neighbours: vec![("plan".to_owned(), 1.0)],
        slowdowns: vec![("reserve".to_owned(), 3.0)],
    };
    for _ in 0..10 {
        let worker = simulation.workers.get_mut("w0").expect("w0 exists");
        worker.usage.push(window.clone());
        simulation.run(secs(1));
    }
    let ticket = submit_sized(&mut simulation, "griddle", cores(1));
    simulation.run(secs(3));
    assert_eq!(simulation.worker_of(&ticket).as_deref(), Some("w9"));
}

// Guards against a bound on the workers of a pass that always ends it at the same tasks.
#[test]
fn tasks_without_room_do_not_hide_those_of_the_last_customer() {
    let mut simulation = TaskSimulation::new(250, 1);
    simulation.set_size("w249", with_accelerator(cores(1)));
    let first = submit_sized(&mut simulation, "accelerated", with_accelerator(cores(1)));
    simulation.run(secs(2));
    assert!(simulation.worker_of(&first).is_some());
    for customer in 0..120 {
        let customer = format!("customer-{customer:03}");
        submit_sized(&mut simulation, &customer, with_accelerator(cores(1)));
    }
    simulation.run(secs(1));
    let last = submit_sized(&mut simulation, "last", cores(1));
    let submitted_at = simulation.now;
    simulation.run_until("the start", |simulation| simulation.worker_of(&last).is_some());
    let waited = simulation.now - submitted_at;
    assert!(waited < millis(2_500), "the last customer waited {waited:?}");
}

// Guards against a task that waits longest, but for a worker that cannot start anything, and keeps
// every other task from getting a worker reserved.
#[test]
fn task_without_usable_worker_does_not_hide_a_starved_one() {
    let mut simulation = TaskSimulation::new(2, 1);
    simulation.set_size("w1", with_accelerator(cores(4)));
    simulation.set_state("w1", TargetState::Suspect);
    let stuck = submit_sized(&mut simulation, "griddle", with_accelerator(cores(1)));
    simulation.run(secs(1));
    for run_ms in [1_000, 3_000, 5_000, 7_000] {
        simulation.submit(run_ms);
    }
    simulation.run(secs(1));
    let large = submit_sized(&mut simulation, "griddle", cores(4));
    let submitted_at = simulation.now;
    let mut count = 0;
    while simulation.starts_of(&large).is_empty() {
        // Different run times keep the tasks from ending at the same time.
        count += 1;
        simulation.submit(4_000 + count * 1_700 % 8_000);
        simulation.run(millis(230));
        let waited = simulation.now - submitted_at;
        assert!(waited < secs(80), "the large task has waited {waited:?}");
    }
    assert_eq!(simulation.state(&stuck), "queued");
}
