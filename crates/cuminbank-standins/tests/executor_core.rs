//! Tests of the executor state in virtual time.

use std::time::Duration;

use cuminbank_standins::{
    executor::{BookingTable, CallStart, ExecutorCore},
    interference::{InterferenceFactors, MachineLoad},
};
use serde_json::json;

fn body(op: &str, booking: &str) -> Vec<u8> {
    json!({"op": op, "key": "k", "work_ms": 10, "slot": "s1", "booking": booking})
        .to_string()
        .into_bytes()
}

/// An executor must reject and count calls beyond its slots, and free the slot of a call that has
/// ended.
#[test]
fn full_executor_refuses_and_counts() {
    let mut core = ExecutorCore::new("executor-1", 1);
    let mut table = BookingTable::default();
    let done_at = Duration::from_millis(20);
    let started = core.start(Duration::ZERO, "a", &body("plan", ""), 2.0);
    assert_eq!(started, CallStart::Started { done_at });
    assert_eq!(core.start(Duration::ZERO, "a", &body("plan", ""), 1.0), CallStart::Repeated);
    assert_eq!(core.start(Duration::ZERO, "b", &body("plan", ""), 1.0), CallStart::Full);
    assert_eq!((core.running(), core.counters().overfilled), (vec!["a".to_owned()], 1));
    let (status, answer) = core.finish(done_at, "a", &mut table).unwrap();
    assert_eq!((status, &answer["call"]), (200, &json!("a")));
    let again = core.start(done_at, "b", &body("plan", ""), 1.0);
    assert!(matches!(again, CallStart::Started { .. }));
    let execution = core.executions().next().unwrap();
    assert_eq!((execution.start_ms, execution.end_ms), (0, Some(20)));
}

/// A delivery slot must not be confirmed for a booking that does not hold it.
#[test]
fn confirmation_needs_the_reservation_of_the_same_booking() {
    let mut core = ExecutorCore::new("executor-1", 8);
    let mut table = BookingTable::default();
    let mut run = |op: &str, booking: &str| {
        core.start(Duration::ZERO, "c", &body(op, booking), 1.0);
        core.finish(Duration::ZERO, "c", &mut table).unwrap().1
    };
    assert_eq!(run("confirm", "x")["confirmed"], json!(false));
    assert_eq!(run("reserve", "x")["reserved"], json!(true));
    assert_eq!(run("reserve", "y")["reserved"], json!(false));
    assert_eq!(run("confirm", "y")["confirmed"], json!(false));
    let confirmed = run("confirm", "x");
    assert_eq!((&confirmed["confirmed"], &confirmed["slot"]), (&json!(true), &json!("s1")));
}

/// The slowdown must differ between pairs of classes and be the same in all runs with one seed.
#[test]
fn slowdown_depends_on_the_pair_and_the_seed() {
    let factors = InterferenceFactors::new(7);
    let classes = ["standing", "proving", "route", "compact", "index"];
    let drawn: Vec<_> = classes.iter().map(|class| factors.factor("reserve", class)).collect();
    let again = InterferenceFactors::new(7);
    assert!(classes.iter().zip(&drawn).all(|(class, old)| again.factor("reserve", class) == *old));
    assert!(drawn.windows(2).all(|pair| pair[0] != pair[1]), "{drawn:?}");
    let load = MachineLoad { cores: [("standing".to_owned(), 10.0)].into() };
    assert_eq!(factors.slowdown("reserve", &load), 1.0 + 10.0 * drawn[0]);
    assert_eq!(factors.slowdown("reserve", &MachineLoad::default()), 1.0);
}
