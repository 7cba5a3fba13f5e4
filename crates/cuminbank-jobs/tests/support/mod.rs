//! Helpers for tests: builders of jobs, an ownership, checks of the guarantees, and a simulated
//! pool in virtual time.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

pub mod checks;
pub mod crowded_day;
pub mod exploration;
pub mod extremes;
pub mod hard_load;
pub mod jobs;
pub mod lost_tasks;
pub mod ownership;
pub mod simulation;
pub mod swinging_load;
pub mod two_cells;
pub mod waiting;

/// Returns the number of seeds to run: `CUMINBANK_SEEDS` if set, otherwise the default.
pub fn seed_count(default: u64) -> u64 {
    std::env::var("CUMINBANK_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
