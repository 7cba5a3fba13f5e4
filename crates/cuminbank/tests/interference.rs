//! Tests of the interference model, mitigation actions, quotas, learned sizes, worker health and
//! the start queue.

use std::time::Duration;

use cuminbank::{
    health::{HealthChange, HealthRecord},
    interference::{InterferenceMitigator, InterferenceModel, MitigationAction},
    ledger::TaskId,
    quota::QuotaTable,
    reducer::tasks::{queue::StartQueue, sizes::SizeEstimator},
    worker::{ResourceSize, UsageWindow},
};

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn window(neighbours: &[(&str, f64)], slowdown: f64) -> UsageWindow {
    let to_entry = |(class, cores): &(&str, f64)| ((*class).to_owned(), *cores);
    UsageWindow {
        length_ms: 1_000,
        age_ms: 1_000,
        neighbours: neighbours.iter().map(to_entry).collect(),
        slowdowns: vec![("reserve".to_owned(), slowdown)],
    }
}

/// Guards against attributing a slowdown to the wrong neighbour. The model has to separate two
/// classes that run together in varying amounts.
#[test]
fn model_separates_neighbours() {
    let mut model = InterferenceModel::default();
    let actual = |noisy: f64, quiet: f64| 1.0 + 0.5 * noisy + 0.02 * quiet;
    for round in 0..200 {
        let (noisy, quiet) = (f64::from(round % 3), f64::from(round % 5));
        model.learn(&window(&[("noisy", noisy), ("quiet", quiet)], actual(noisy, quiet)));
    }
    let predicted = model.predict("reserve", [("noisy", 2.0), ("quiet", 4.0)].into_iter());
    assert!((predicted - actual(2.0, 4.0)).abs() < 0.05, "{predicted}");
    assert!(model.coefficient("reserve", "quiet") < 0.05);
    assert_eq!(model.predict("other", [("noisy", 2.0)].into_iter()), 1.0);
}

/// Guards against reports with impossible values that make predictions invalid.
#[test]
fn model_tolerates_impossible_reports() {
    let mut model = InterferenceModel::default();
    for value in [f64::NAN, f64::INFINITY, -3.0, 0.0, 1e300] {
        model.learn(&window(&[("noisy", value)], 2.0));
        model.learn(&window(&[("noisy", 1.0)], value));
    }
    let predicted = model.predict("reserve", [("noisy", 8.0)].into_iter());
    assert!((1.0..=100.0).contains(&predicted), "{predicted}");
}

/// Guards against acting on a single report, and against alternating between throttling and
/// unthrottling.
#[test]
fn mitigation_follows_the_hysteresis() {
    use MitigationAction::{Evict, Keep, Throttle, Unthrottle};
    let cases: [(&[f64], &[MitigationAction]); 5] = [
        (&[2.0, 1.0, 2.0, 1.0], &[Keep, Keep, Keep, Keep]),
        (&[2.0, 2.0, 2.0, 2.0, 2.0], &[Keep, Throttle, Keep, Keep, Evict]),
        (&[2.0, 2.0, 2.0, 1.4, 2.0, 2.0], &[Keep, Throttle, Keep, Keep, Keep, Keep]),
        (&[2.0, 2.0, 1.1, 1.1, 1.1, 1.1], &[Keep, Throttle, Keep, Keep, Keep, Unthrottle]),
        (&[2.0, 2.0, 1.1, 1.1, 1.3, 1.1, 1.1], &[Keep, Throttle, Keep, Keep, Keep, Keep, Keep]),
    ];
    for (reports, expected) in cases {
        let mut mitigator = InterferenceMitigator::default();
        let actions: Vec<_> = reports
            .iter()
            .enumerate()
            .map(|(second, slowdown)| mitigator.on_report(secs(second as u64), *slowdown))
            .collect();
        assert_eq!(actions, expected, "{reports:?}");
    }
}

/// Guards against evicting all tasks of a machine in quick succession.
#[test]
fn evictions_on_a_machine_are_at_least_5_s_apart() {
    let mut mitigator = InterferenceMitigator::default();
    let mut evictions = Vec::new();
    for report in 0..200u64 {
        let now = Duration::from_millis(report * 100);
        if mitigator.on_report(now, 9.0) == MitigationAction::Evict {
            evictions.push(now);
        }
    }
    assert!(evictions.len() >= 3);
    assert!(evictions.windows(2).all(|pair| pair[1] >= pair[0] + secs(5)), "{evictions:?}");
}

/// Guards against shares that do not follow the weights, and against withholding the share of a
/// customer without work from the others.
#[test]
fn quota_follows_the_weights_and_reuses_idle_shares() {
    let mut quota = QuotaTable::default();
    let weights = [("a", 3), ("b", 1)];
    let mut starts = [0, 0];
    let mut charges = Vec::new();
    for _ in 0..40 {
        let names = weights.iter().map(|(name, _)| *name);
        let name = quota.least_used(names).expect("there are two customers");
        let index = usize::from(name == "b");
        starts[index] += 1;
        charges.push((name, quota.charge(name, 1_000, weights[index].1)));
    }
    assert_eq!(starts, [30, 10]);
    assert_eq!(
        quota.least_used(["b"].into_iter()),
        Some("b"),
        "customer b uses the idle share of a"
    );
    for (name, charge) in charges {
        quota.release(name, charge);
    }
    assert_eq!(quota.used("a") + quota.used("b"), 0);
}

/// Guards against replacing a declared size after too few observations, and against reserving less
/// memory than declared.
#[test]
fn sizes_are_learned_from_twenty_observations() {
    let mut sizes = SizeEstimator::default();
    let declared = ResourceSize { millicores: 8_000, memory_mib: 64, accelerators: 1 };
    for _ in 0..19 {
        sizes.observe("plan", 1_000);
    }
    assert_eq!(sizes.reservation("plan", &declared), declared);
    sizes.observe("plan", 1_000);
    let expected = ResourceSize { millicores: 1_100, ..declared };
    assert_eq!(sizes.reservation("plan", &declared), expected);
}

/// Guards against a quarantine that never ends or never gets longer, that one burst of failures
/// extends repeatedly, or that ends because of a task started before it.
#[test]
fn quarantine_doubles_and_allows_one_trial() {
    let task = |sequence| TaskId { epoch: 1, sequence };
    let mut health = HealthRecord::default();
    for failure in 0..30 {
        health.record_failure(secs(1), &task(failure));
    }
    assert!(!health.allows_start(secs(10)));
    assert!(health.allows_start(secs(11)));
    health.record_start(secs(11), task(40));
    assert!(!health.allows_start(secs(12)), "one trial at a time");
    assert_eq!(
        health.record_success(secs(12), &task(31)),
        None,
        "work started before the quarantine does not count as a trial"
    );
    assert!(!health.allows_start(secs(12)) && health.is_suspect());
    health.record_failure(secs(12), &task(40));
    assert!(!health.allows_start(secs(31)));
    assert!(health.allows_start(secs(32)));
    health.record_start(secs(32), task(41));
    assert_eq!(health.record_success(secs(33), &task(41)), Some(HealthChange::Released));
    assert!(health.allows_start(secs(33)) && !health.is_suspect());
}

/// Guards against a second concurrent start after a failure, and against a long task that blocks a
/// worker for other tasks indefinitely.
#[test]
fn failure_allows_one_start_at_a_time() {
    let task = |sequence| TaskId { epoch: 1, sequence };
    let mut health = HealthRecord::default();
    health.record_failure(secs(1), &task(1));
    assert!(health.allows_start(secs(1)));
    health.record_start(secs(1), task(2));
    assert!(!health.allows_start(secs(60)));
    assert!(health.allows_start(secs(61)), "after 60 s a trial no longer blocks other work");
    health.record_inconclusive(&task(2));
    assert!(health.allows_start(secs(2)));
}

/// Guards against a worker that fails most of its tasks and is never quarantined because of
/// occasional successes.
#[test]
fn ratio_of_failures_quarantines_a_worker() {
    let task = |sequence| TaskId { epoch: 1, sequence };
    let mut health = HealthRecord::default();
    for sequence in 0..6 {
        let change = match sequence {
            2 | 5 => health.record_success(secs(1), &task(sequence)),
            _ => health.record_failure(secs(1), &task(sequence)),
        };
        assert_eq!(change, None);
    }
    let change = health.record_failure(secs(1), &task(6));
    assert_eq!(change, Some(HealthChange::Quarantined(secs(11))));
}

/// Guards against ignoring priorities, against tasks without accelerators that wait behind tasks
/// that need them, and against losing parked tasks.
#[test]
fn queue_orders_by_priority_and_parks() {
    let task = |sequence| TaskId { epoch: 1, sequence };
    let size = |accelerators| ResourceSize { millicores: 1_000, memory_mib: 10, accelerators };
    let mut queue = StartQueue::default();
    for (sequence, priority) in [(1, 5), (2, 0), (3, 5)] {
        queue.push(secs(0), task(sequence), "a", &size(0), priority);
    }
    assert_eq!(queue.next_tasks("a"), [task(2), task(1), task(3)]);
    queue.park(task(2));
    queue.park(task(3));
    assert_eq!(queue.next_tasks("a"), [task(1)]);
    queue.remove(task(3));
    queue.unpark();
    assert_eq!(queue.next_tasks("a"), [task(2), task(1)]);
    for sequence in 10..1_000 {
        queue.push(secs(0), task(sequence), "a", &size(1), 0);
    }
    assert!(queue.next_tasks("a").contains(&task(1)));
    assert!(queue.next_tasks("a").len() < 10, "the queue returned too many candidates");
    assert_eq!(queue.len(), 992);
}
