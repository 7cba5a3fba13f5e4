//! Pacing of a store watch.
//!
//! Thousands of executors write heartbeats, and each watch call on their entries returns as soon as
//! there is a change. Without pauses between the calls, that takes thousands of billed calls. With
//! fixed pauses the watch falls behind, because the store limits the changes in one reply.
//!
//! A watch that got no reply does not wait for changes in its next calls: a long poll sent to a
//! silent store would only be given up a second or two later, although the store may answer again.

use std::time::Duration;

/// Number of changes in a reply from which on the store is assumed to have more. It returns a few
/// hundred at most.
const LARGE_BATCH: usize = 200;
/// Time that a call may take beyond its long-poll timeout. A slow store replies after about 250 ms.
const CALL_MARGIN: Duration = Duration::from_millis(450);

/// Delays and timeouts of the calls of a watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchPace {
    wait: Duration,
    pause: Duration,
    behind: bool,
    /// Time that the next call may take beyond its long-poll timeout.
    margin: Duration,
    failed: bool,
}

impl WatchPace {
    /// Creates the state of a watch with the long-poll timeout `wait` that waits for `pause` before
    /// each call unless it is behind.
    pub fn new(wait: Duration, pause: Duration) -> Self {
        Self { wait, pause, behind: false, margin: CALL_MARGIN, failed: false }
    }

    /// Records the number of changes in the last reply.
    pub fn record_answer(&mut self, changes: usize) {
        self.behind = changes >= LARGE_BATCH;
        self.margin = CALL_MARGIN;
        self.failed = false;
    }

    /// Records that the last call got no reply in time. The store may be slow rather than silent,
    /// so further calls without a reply get more time.
    pub fn record_failure(&mut self) {
        if self.failed {
            self.margin = (self.margin * 2).min(self.wait.max(CALL_MARGIN));
        }
        self.failed = true;
    }

    /// Returns how long to wait before the next call; zero while the watch is behind.
    pub fn pause(&self) -> Duration {
        if self.behind {
            Duration::ZERO
        } else {
            self.pause
        }
    }

    /// Returns the long-poll timeout of the next call; zero after a failure.
    pub fn wait(&self) -> Duration {
        if self.failed {
            Duration::ZERO
        } else {
            self.wait
        }
    }

    /// Returns the time that the next call may take beyond its long-poll timeout.
    pub fn margin(&self) -> Duration {
        self.margin
    }
}
