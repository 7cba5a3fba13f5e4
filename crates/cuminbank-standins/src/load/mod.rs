//! Open-loop load generator: all arrivals are computed before the run and sent at their time,
//! regardless of the responses.

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

/// Most arrivals expected in one run.
const MAX_ARRIVALS: usize = 500_000;
/// Longest run, in seconds of arrivals.
const MAX_SECONDS: u64 = 900;

/// Kind of work in a load and its arrival pattern.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadPlan {
    /// Calls at a constant rate.
    Steady,
    /// Calls with a rate peak in the middle third, and waves of batch tasks.
    Crest,
    /// Calls of which 1 % take 100 times as long as the others.
    MixedLengths,
    /// Bookings, each a reservation and its confirmation two seconds later.
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
                "load plan {text:?} is not allowed: steady, crest, mixed-lengths, confirm or starts"
            )),
        }
    }
}

impl LoadPlan {
    /// Returns the name used in flags and results.
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

/// Names of the work profiles that the load uses.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadProfiles {
    /// Profile of plan calls, which are urgent and idempotent.
    pub urgent: String,
    /// Profile of reservations, which are urgent and not idempotent.
    pub reserve: String,
    /// Profile of confirmations, which are urgent and not idempotent.
    pub confirm: String,
    /// Profile of batch tasks sent at a constant rate.
    pub batch: String,
    /// Profile of batch tasks sent in waves.
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

/// Settings of a load run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// Entry instances, which receive the arrivals round robin.
    pub entries: Vec<SocketAddr>,
    /// Kind of work and arrival pattern.
    pub plan: LoadPlan,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Mean number of calls, bookings or, for [`LoadPlan::Starts`], batch tasks per second.
    pub rate: f64,
    /// Factor on `rate` in the middle third of the run.
    pub peak_factor: f64,
    /// Mean number of batch tasks per second in addition to the calls.
    pub task_rate: f64,
    /// Batch tasks in each of the six waves of [`LoadPlan::Crest`].
    pub wave_tasks: u32,
    /// Time over which arrivals are sent, in seconds.
    pub seconds: u64,
    /// Mean service time of a call on an idle machine, in milliseconds.
    pub work_ms: u64,
    /// Mean run time of a batch task in milliseconds.
    pub run_ms: u64,
    /// Latency up to which a completed call counts as on time.
    pub deadline: Duration,
    /// Longest wait for a response.
    pub timeout: Duration,
    /// Longest wait for accepted tasks to end after the last arrival.
    pub settle_timeout: Duration,
    /// Customers, chosen with equal probability for each arrival.
    pub customers: Vec<String>,
    /// Whether long calls are sent with the class of short ones.
    pub hide_lengths: bool,
    /// Names of the work profiles.
    pub profiles: LoadProfiles,
}

impl LoadSettings {
    /// Creates settings for `plan` with defaults for everything else.
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

    /// Validates the settings, including the expected number of arrivals.
    ///
    /// # Errors
    ///
    /// Returns a message with the setting and the value that is not allowed.
    pub fn check(&self) -> Result<(), String> {
        if self.entries.is_empty() || self.customers.is_empty() {
            return Err("at least one entry instance and one customer are required".to_owned());
        }
        if !(1..=MAX_SECONDS).contains(&self.seconds) {
            return Err(format!("seconds: {} is not allowed: 1 to {MAX_SECONDS}", self.seconds));
        }
        let non_negative = |value: f64| value.is_finite() && value >= 0.0;
        if !(non_negative(self.rate)
            && non_negative(self.task_rate)
            && non_negative(self.peak_factor))
        {
            return Err(
                "rate, task rate and crest factor must be finite and not negative".to_owned()
            );
        }
        let mean_factor = (2.0 + self.peak_factor) / 3.0;
        let expected = (self.rate * mean_factor * 2.0 + self.task_rate) * self.seconds as f64;
        if expected > MAX_ARRIVALS as f64 {
            return Err(format!(
                "about {expected:.0} arrivals are expected, at most {MAX_ARRIVALS} are allowed"
            ));
        }
        Ok(())
    }
}
