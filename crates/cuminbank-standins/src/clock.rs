//! Clock of a stand-in process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cuminbank::ids::MonotonicTime;
use monoio::time;

/// Time since the start of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct StandinClock(Instant);

impl StandinClock {
    /// Starts at zero.
    pub fn new() -> Self {
        Self(Instant::now())
    }

    /// Returns the time.
    pub fn now(&self) -> MonotonicTime {
        self.0.elapsed()
    }

    /// Waits until a time of this clock.
    pub async fn sleep_until(&self, until: MonotonicTime) {
        time::sleep(until.saturating_sub(self.now())).await;
    }
}

impl Default for StandinClock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time of day in milliseconds since 1970.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
