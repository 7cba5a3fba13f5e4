//! Pauses of a watch whose prefix changes all the time.
//!
//! Answers the heartbeats of thousands of executors: each watch returns with the next one, so that a
//! watch without pauses would be thousands of priced calls, and one with fixed pauses falls behind,
//! since the store bounds what one answer holds.

use std::time::Duration;

/// Changes in one answer from which on more are taken to wait: the store delivers some hundreds.
const LARGE_BATCH: usize = 200;

/// Pace of a watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchPace {
    pause: Duration,
    behind: bool,
}

impl WatchPace {
    /// Creates the pace of a watch that pauses before each call while it keeps up.
    pub fn new(pause: Duration) -> Self {
        Self { pause, behind: false }
    }

    /// Takes how many changes the last answer held.
    pub fn record_answer(&mut self, changes: usize) {
        self.behind = changes >= LARGE_BATCH;
    }

    /// Returns how long to wait before the next call.
    pub fn pause(&self) -> Duration {
        if self.behind {
            Duration::ZERO
        } else {
            self.pause
        }
    }
}
