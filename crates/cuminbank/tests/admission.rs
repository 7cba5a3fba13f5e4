//! Tests the order of waiting calls, retry delays, the retry budget, run time estimates and the
//! quarantine of targets.

use std::time::Duration;

use cuminbank::{
    admission::{CallQueue, QueueItem, QueueOrder, RetryBudget, RetrySchedule},
    health::{HealthChange, HealthGate, TargetHealth},
    runtimes::RuntimeEstimate,
};
use proptest::{collection::vec, prelude::*};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn item(key: u32, customer: &str, weight: u32, deadline: u64) -> QueueItem<u32> {
    QueueItem {
        key,
        customer: customer.to_owned(),
        weight,
        cost: ms(10),
        deadline: ms(deadline),
        latest_start: ms(deadline),
        long: false,
    }
}

fn start_next(queue: &mut CallQueue<u32>) -> Option<u32> {
    let (id, key) = queue.first(false)?;
    queue.start(id).map(|_| key)
}

/// Guards against shares that depend on the number of waiting calls, and against a customer with
/// one waiting call at a time whose calls always start first.
#[test]
fn slots_are_shared_by_weight() {
    let mut queue = CallQueue::new(QueueOrder::Deadline);
    for key in 0..400 {
        queue.push(item(key, "flood", 1, 1_000));
    }
    let (mut flood_starts, mut steady_is_waiting) = (0, false);
    for round in 0..90 {
        if !steady_is_waiting {
            queue.push(item(1_000 + round, "steady", 2, 500));
        }
        steady_is_waiting = start_next(&mut queue).unwrap() < 1_000;
        flood_starts += u32::from(steady_is_waiting);
    }
    assert!(
        (25..=35).contains(&flood_starts),
        "{flood_starts} of 90 starts, expected about a third"
    );
}

/// Guards against slots that stay idle because a customer does not use its share, and against a
/// customer that accumulates its share and delays the others later.
#[test]
fn an_unused_share_is_used_by_others_and_not_accumulated() {
    let mut queue = CallQueue::new(QueueOrder::Deadline);
    (0..50).for_each(|key| {
        queue.push(item(key, "busy", 1, 1_000));
    });
    (0..30).for_each(|_| assert!(start_next(&mut queue).is_some()));
    (100..150).for_each(|key| {
        queue.push(item(key, "idle", 1, 900));
    });
    let idle = (0..20).filter(|_| start_next(&mut queue).unwrap() >= 100).count();
    assert!((9..=11).contains(&idle), "{idle} of 20 starts for the customer that was idle");
}

proptest! {
    /// Guards against calls that the queue loses or returns twice, and against expired calls that
    /// stay in it.
    #[test]
    fn each_call_leaves_the_queue_once(
        calls in vec((0..3_u32, 0..200_u64, any::<bool>()), 1..80),
        by_arrival in any::<bool>(),
    ) {
        let order = if by_arrival { QueueOrder::Arrival } else { QueueOrder::Deadline };
        let mut queue = CallQueue::new(order);
        for (key, (customer, deadline, long)) in calls.iter().enumerate() {
            let customer = format!("c{customer}");
            queue.push(QueueItem { long: *long, ..item(key as u32, &customer, 1, *deadline) });
        }
        let mut removed = Vec::new();
        while let Some(expired) = queue.expire(ms(100)) {
            prop_assert!(expired.latest_start < ms(100));
            removed.push(expired.key);
        }
        for long in [false, true] {
            while let Some((id, key)) = queue.first(long) {
                prop_assert_eq!(queue.start(id).map(|item| item.key), Some(key));
                prop_assert!(calls[key as usize].1 >= 100);
                removed.push(key);
            }
        }
        removed.sort_unstable();
        prop_assert_eq!(removed, (0..calls.len() as u32).collect::<Vec<_>>());
        prop_assert!(queue.is_empty() && queue.cost(false) + queue.cost(true) == Duration::ZERO);
    }
}

/// Guards against retry delays that make refused callers retry faster than they can be served.
#[test]
fn retry_delays_allow_all_refused_calls_to_be_served() {
    let mut schedule = RetrySchedule::default();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let delays: Vec<Duration> =
        (0..1_000).map(|_| schedule.draw_delay(&mut rng, ms(5), ms(500), ms(10))).collect();
    let early = delays.iter().filter(|delay| **delay < ms(1_000)).count();
    assert!(early < 400, "{early} of 1,000 retry within 1 s, in which 100 can be served");
    assert!(delays.iter().all(|delay| *delay >= ms(50) && *delay <= Duration::from_secs(30)));
}

/// Guards against retries that add substantial load during an outage.
#[test]
fn the_retry_budget_is_a_tenth_of_the_calls() {
    let mut budget = RetryBudget::default();
    let at = Duration::from_secs;
    let retries =
        |budget: &mut RetryBudget, now| (0..100).filter(|_| budget.take_retry("c", now)).count();
    assert_eq!(retries(&mut budget, at(1)), 3);
    (0..200).for_each(|_| budget.record_call("c", at(2)));
    assert_eq!(retries(&mut budget, at(3)), 17);
    assert_eq!(retries(&mut budget, at(30)), 3, "the calls are outside the window");
}

/// Guards against run time estimates that do not follow a change, or that are used after too few
/// samples.
#[test]
fn run_times_follow_a_change() {
    let mut runtimes = RuntimeEstimate::default();
    (0..19).for_each(|_| runtimes.record("a", ms(10)));
    assert_eq!(runtimes.median("a"), None);
    (0..400).for_each(|_| runtimes.record("a", ms(10)));
    let median = runtimes.median("a").unwrap();
    assert!(median >= ms(10) && median < ms(12), "{median:?}");
    (0..1_000).for_each(|_| runtimes.record("a", ms(80)));
    assert!(runtimes.median("a").unwrap() >= ms(80));
    assert_eq!(runtimes.is_long("a"), Some(false));
}

/// Guards against a quarantine that ends without a successful trial, or never ends.
#[test]
fn quarantine_doubles_and_ends_with_a_trial() {
    let mut health = TargetHealth::default();
    let at = Duration::from_secs;
    let fail = |health: &mut TargetHealth, now| health.record_failure("t", "a", at(now));
    assert_eq!(fail(&mut health, 1), None);
    assert_eq!(fail(&mut health, 1), None);
    assert_eq!(fail(&mut health, 1), Some(HealthChange::Quarantined(at(11))));
    assert_eq!(health.gate("t", at(5)), HealthGate::Closed(Some(at(11))));
    assert_eq!(
        health.record_success("t", "a", at(6)),
        None,
        "the call was started before the quarantine ended"
    );
    assert_eq!(health.gate("t", at(11)), HealthGate::Trial);
    health.record_start("t", at(11));
    assert_eq!(health.gate("t", at(11)), HealthGate::Closed(None), "one trial at a time");
    assert_eq!(fail(&mut health, 12), Some(HealthChange::Quarantined(at(32))));
    health.record_start("t", at(32));
    assert_eq!(health.record_success("t", "a", at(33)), Some(HealthChange::Released));
    assert_eq!(health.gate("t", at(33)), HealthGate::Open);
}
