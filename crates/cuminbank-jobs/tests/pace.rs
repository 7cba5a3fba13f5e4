//! Tests of the pacing of store watches.

use std::time::Duration;

use cuminbank_jobs::pace::WatchPace;

/// Maximum number of changes in a reply of the store.
const MAX_CHANGES: usize = 500;
const HEARTBEAT: Duration = Duration::from_millis(1_100);
const REPLY_TIME: Duration = Duration::from_millis(15);

/// Simulates a minute of heartbeats. Returns the longest time by which the watch lagged behind and
/// the number of calls.
fn simulate(executors: usize) -> (Duration, usize) {
    let mut pace = WatchPace::new(Duration::from_secs(1), Duration::from_millis(400));
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

/// Simulates a watch of a store that replies to nothing from 10 s on until `back`. Returns the time
/// at which the watch gets a reply again.
fn first_reply_after(back: Duration) -> Duration {
    const RETRY_PAUSE: Duration = Duration::from_millis(150);
    let mut pace = WatchPace::new(Duration::from_millis(900), Duration::ZERO);
    let mut now = Duration::from_millis(9_990);
    loop {
        if now >= back {
            return now;
        }
        now += pace.wait() + pace.margin() + RETRY_PAUSE;
        pace.record_failure();
    }
}

// Guards against instances that refuse requests for up to 2 s after a silent store has come back,
// since their last long poll has not timed out yet.
#[test]
fn watch_hears_a_store_soon_after_its_return() {
    for millis in (12_000..17_000).step_by(50) {
        let back = Duration::from_millis(millis);
        let lag = first_reply_after(back) - back;
        assert!(lag <= Duration::from_millis(1_050), "{lag:?} after a return at {back:?}");
    }
}

// Guards against a watch of a slow store that gives up each call before its reply, and against one
// that never waits for changes again, whose calls are billed.
#[test]
fn watch_gives_a_slow_store_time_and_waits_again_after_a_reply() {
    let mut pace = WatchPace::new(Duration::from_millis(900), Duration::ZERO);
    let first = pace.margin();
    (0..4).for_each(|_| pace.record_failure());
    assert!(pace.margin() >= first * 2 && pace.wait().is_zero());
    pace.record_answer(0);
    assert_eq!((pace.wait(), pace.margin()), (Duration::from_millis(900), first));
}
