//! Tests of the pacing of the watch on executor entries in large pools.

use std::time::Duration;

use cuminbank_jobs::pace::WatchPace;

/// Maximum number of changes in a reply of the store.
const MAX_CHANGES: usize = 500;
const HEARTBEAT: Duration = Duration::from_millis(1_100);
const REPLY_TIME: Duration = Duration::from_millis(15);

/// Simulates a minute of heartbeats. Returns the longest time by which the watch lagged behind and
/// the number of calls.
fn simulate(executors: usize) -> (Duration, usize) {
    let mut pace = WatchPace::new(Duration::from_millis(400));
    let rate = executors as f64 / HEARTBEAT.as_secs_f64();
    let (mut now, mut seen, mut longest, mut calls) = (Duration::ZERO, 0.0, Duration::ZERO, 0);
    while now < Duration::from_secs(60) {
        now += pace.pause() + REPLY_TIME;
        let waiting = now.as_secs_f64() * rate - seen;
        let returned = waiting.min(MAX_CHANGES as f64);
        longest = longest.max(Duration::from_secs_f64(waiting / rate));
        seen += returned;
        pace.record_answer(returned as usize);
        calls += 1;
    }
    (longest, calls)
}

// Guards against an owner that learns seconds too late that an executor is draining. With 3,000
// executors a watch with fixed pauses fell behind, and work was started on draining executors.
#[test]
fn watch_keeps_up_with_the_heartbeats_of_a_large_pool() {
    for executors in [66, 610, 3_000, 5_200] {
        let (longest, calls) = simulate(executors);
        assert!(longest < Duration::from_secs(1), "{executors} executors: {longest:?}");
        assert!(calls < 60 * 20, "{executors} executors: {calls} calls in a minute");
    }
}
