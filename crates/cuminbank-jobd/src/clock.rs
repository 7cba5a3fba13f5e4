//! Monotonic clock and time of day.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cuminbank_jobs::ids::{MonotonicTime, WallTime};
use nix::time::{clock_gettime, ClockId};

/// Returns the time since the machine booted. Unlike [`std::time::Instant`], it includes time
/// during which the machine was suspended: leases keep running then.
pub fn now() -> MonotonicTime {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => unreachable!("Linux has had the boot time clock since 2.6.39: {error}"),
    }
}

/// Returns the time of day, since 1970.
pub fn wall() -> WallTime {
    // A clock set before 1970 is treated as unset. Returning zero means that nothing is due early.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
