//! Open-loop load: arrivals computed ahead, sent at their time whatever the answers.

mod arrivals;
mod client;
mod result;
mod runner;

pub use self::{
    arrivals::{generate_arrivals, Arrival, CallArrival, LoadWork, TaskArrival},
    result::{compare, BookingResult, ClassResult, ConnectionResult, LoadResult, TaskResult},
    runner::run_load,
};

use std::{net::SocketAddr, str::FromStr, time::Duration};

/// Most arrivals in one run.
const MAX_ARRIVALS: usize = 500_000;
/// Longest run.
const MAX_SECONDS: u64 = 900;

/// Shape of the arrivals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadPlan {
    /// Calls at a constant rate.
    Steady,
    /// Calls with a crest in the middle third, and batch tasks in waves.
    Crest,
    /// Calls of which one in a hundred is 100 times longer.
    MixedLengths,
    /// Bookings: a reservation and, two seconds later, its confirmation.
    Confirm,
    /// Batch tasks at a constant rate.
    Starts,
}

impl FromStr for LoadPlan {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "steady" => Ok(Self::Steady),
            "crest" => Ok(Self::Crest),
            "mixed-lengths" => Ok(Self::MixedLengths),
            "confirm" => Ok(Self::Confirm),
            "starts" => Ok(Self::Starts),
            _ => Err(format!(
                "{text:?} is not allowed: steady, crest, mixed-lengths, confirm or starts"
            )),
        }
    }
}

impl LoadPlan {
    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Crest => "crest",
            Self::MixedLengths => "mixed-lengths",
            Self::Confirm => "confirm",
            Self::Starts => "starts",
        }
    }
}

/// Names of the profiles that the load uses.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadProfiles {
    /// Idempotent urgent calls.
    pub urgent: String,
    /// Urgent calls that are not idempotent: reservations.
    pub reserve: String,
    /// Urgent calls that are not idempotent: confirmations.
    pub confirm: String,
    /// Batch tasks at a rate.
    pub batch: String,
    /// Batch tasks in waves.
    pub wave: String,
}

impl Default for LoadProfiles {
    fn default() -> Self {
        Self {
            urgent: "morning rush".to_owned(),
            reserve: "booking".to_owned(),
            confirm: "booking".to_owned(),
            batch: "standing orders".to_owned(),
            wave: "proving watch".to_owned(),
        }
    }
}

/// Settings of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// Entry instances; each arrival goes to the next one in index.
    pub entries: Vec<SocketAddr>,
    /// Shape of the arrivals.
    pub plan: LoadPlan,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Mean rate of calls, bookings or, for `starts`, tasks, in each second.
    pub rate: f64,
    /// Factor on the rate in the middle third.
    pub peak_factor: f64,
    /// Rate of batch tasks beside the calls, in each second.
    pub task_rate: f64,
    /// Batch tasks in each of the six waves of a crest.
    pub wave_tasks: u32,
    /// Length of the arrivals in seconds.
    pub seconds: u64,
    /// Mean work of a call in milliseconds.
    pub work_ms: u64,
    /// Mean run time of a batch task in milliseconds.
    pub run_ms: u64,
    /// Latency up to which a call is on time.
    pub deadline: Duration,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Longest wait for accepted tasks to finish after the last arrival.
    pub settle_timeout: Duration,
    /// Customers, drawn evenly.
    pub customers: Vec<String>,
    /// Whether long calls carry the class of short ones.
    pub hide_lengths: bool,
    /// Names of the profiles.
    pub profiles: LoadProfiles,
}

impl LoadSettings {
    /// Creates settings for a plan with defaults for everything else.
    pub fn new(plan: LoadPlan, entries: Vec<SocketAddr>) -> Self {
        Self {
            entries,
            plan,
            seed: 1,
            rate: 50.0,
            peak_factor: if plan == LoadPlan::Crest { 5.0 } else { 1.0 },
            task_rate: 0.0,
            wave_tasks: 20,
            seconds: 30,
            work_ms: 20,
            run_ms: 4_000,
            deadline: Duration::from_secs(1),
            timeout: Duration::from_secs(15),
            settle_timeout: Duration::from_secs(30),
            customers: vec!["griddle".to_owned()],
            hide_lengths: false,
            profiles: LoadProfiles::default(),
        }
    }

    /// Checks that the run is bounded.
    pub fn check(&self) -> Result<(), String> {
        if self.entries.is_empty() || self.customers.is_empty() {
            return Err("at least one entry instance and one customer are needed".to_owned());
        }
        if !(1..=MAX_SECONDS).contains(&self.seconds) {
            return Err(format!("seconds: {} is not allowed: 1 to {MAX_SECONDS}", self.seconds));
        }
        let positive = |value: f64| value.is_finite() && value >= 0.0;
        if !(positive(self.rate) && positive(self.task_rate) && positive(self.peak_factor)) {
            return Err("rates and the crest have to be finite and not negative".to_owned());
        }
        let third = (2.0 + self.peak_factor) / 3.0;
        let expected = (self.rate * third * 2.0 + self.task_rate) * self.seconds as f64;
        if expected > MAX_ARRIVALS as f64 {
            return Err(format!("about {expected:.0} arrivals are too many: {MAX_ARRIVALS}"));
        }
        Ok(())
    }
}
