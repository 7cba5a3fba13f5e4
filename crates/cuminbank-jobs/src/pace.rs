//! Pacing of a store watch whose prefix changes constantly.
//!
//! Thousands of executors write heartbeats, and each watch call returns as soon as there is a
//! change. Without pauses between the calls, that takes thousands of billed calls. With fixed
//! pauses the watch falls behind, because the store limits the number of changes in one reply.

use std::time::Duration;

/// Number of changes in a reply from which on the store is assumed to have more. It returns a few
/// hundred at most.
const LARGE_BATCH: usize = 200;

/// Delay between the calls of a watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchPace {
    pause: Duration,
    behind: bool,
}

impl WatchPace {
    /// Creates the state of a watch that waits for `pause` before each call unless it is behind.
    pub fn new(pause: Duration) -> Self {
        Self { pause, behind: false }
    }

    /// Records the number of changes in the last reply.
    pub fn record_answer(&mut self, changes: usize) {
        self.behind = changes >= LARGE_BATCH;
    }

    /// Returns how long to wait before the next call; zero while the watch is behind.
    pub fn pause(&self) -> Duration {
        if self.behind {
            Duration::ZERO
        } else {
            self.pause
        }
    }
}
