//! Clock of a stand-in process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cuminbank::ids::MonotonicTime;
use monoio::time;

/// Monotonic clock that starts at zero with the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct StandinClock(Instant);

impl StandinClock {
    /// Creates a clock that shows zero now.
    pub fn new() -> Self {
        Self(Instant::now())
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> MonotonicTime {
        self.0.elapsed()
    }

    /// Sleeps until this clock reaches `until`; returns at once if it already has.
    pub async fn sleep_until(&self, until: MonotonicTime) {
        time::sleep(until.saturating_sub(self.now())).await;
    }
}

impl Default for StandinClock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the wall-clock time in milliseconds since 1970-01-01 UTC.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
