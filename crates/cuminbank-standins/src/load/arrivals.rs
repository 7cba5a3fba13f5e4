//! Generates the arrivals of a load from its settings alone.

use std::time::Duration;

use cuminbank::worker::ResourceSize;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

use super::{LoadPlan, LoadSettings};

/// Time between a reservation and its confirmation.
const CONFIRM_DELAY: Duration = Duration::from_secs(2);
/// Share of long calls in [`LoadPlan::MixedLengths`].
const LONG_SHARE: f64 = 0.01;
/// Factor on the service time of a long call.
const LONG_FACTOR: u64 = 100;
/// Number of task waves in [`LoadPlan::Crest`].
const WAVES: u32 = 6;
/// Classes of the tasks in waves. How much they slow calls depends on the seed of the fleet.
const WAVE_CLASSES: [&str; 4] = ["proving", "standing", "index", "audit"];

/// Call or task to send at a set time.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time to send it, since the start of the run.
    pub at: Duration,
    /// Whether it falls into the rate peak.
    pub in_peak: bool,
    /// Customer that it is sent for.
    pub customer: String,
    /// Call or task.
    pub work: LoadWork,
}

/// Work that an arrival sends.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadWork {
    /// An urgent call.
    Call(CallArrival),
    /// A batch task.
    Task(TaskArrival),
}

/// Urgent call of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct CallArrival {
    /// Work profile.
    pub profile: String,
    /// Class sent in the header `x-class`.
    pub class: String,
    /// Class under which the result is counted.
    pub counted_as: String,
    /// Whether it is sent with a ticket.
    pub ticketed: bool,
    /// Delivery slot to book, if any.
    pub slot: Option<String>,
    /// Key that the response must repeat.
    pub key: String,
    /// JSON body of the request.
    pub body: Value,
}

/// Batch task of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskArrival {
    /// Work profile.
    pub profile: String,
    /// Class sent in the header `x-class`.
    pub class: String,
    /// Run time in milliseconds.
    pub run_ms: u64,
    /// JSON body of the request.
    pub body: Value,
}

/// Returns all arrivals in order of time. The same settings always give the same arrivals.
pub fn generate_arrivals(settings: &LoadSettings) -> Vec<Arrival> {
    let mut generator = ArrivalGenerator {
        rng: ChaCha8Rng::seed_from_u64(settings.seed),
        settings,
        arrivals: Vec::new(),
    };
    generator.generate();
    let mut arrivals = generator.arrivals;
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

struct ArrivalGenerator<'a> {
    rng: ChaCha8Rng,
    settings: &'a LoadSettings,
    arrivals: Vec<Arrival>,
}

impl ArrivalGenerator<'_> {
    fn generate(&mut self) {
        for at in self.draw_times(self.settings.rate, self.settings.peak_factor) {
            match self.settings.plan {
                LoadPlan::Steady | LoadPlan::Crest => self.push_plan_call(at, 1),
                LoadPlan::MixedLengths => {
                    let long = self.rng.random_bool(LONG_SHARE);
                    self.push_plan_call(at, if long { LONG_FACTOR } else { 1 });
                }
                LoadPlan::Confirm => self.push_booking(at),
                LoadPlan::Starts => self.push_task(at, "starts", 1_000),
            }
        }
        for at in self.draw_times(self.settings.task_rate, 1.0) {
            self.push_task(at, "standing", 2_000);
        }
        if self.settings.plan == LoadPlan::Crest {
            self.push_waves();
        }
    }

    /// Draws the times of Poisson arrivals at `rate` per second, multiplied by `peak_factor` in the
    /// middle third of the run.
    fn draw_times(&mut self, rate: f64, peak_factor: f64) -> Vec<Duration> {
        let third = self.settings.seconds as f64 / 3.0;
        let mut times = Vec::new();
        for (index, factor) in [1.0, peak_factor, 1.0].into_iter().enumerate() {
            let rate = rate * factor;
            if rate <= 0.0 {
                continue;
            }
            let (mut time, end) = (third * index as f64, third * (index + 1) as f64);
            loop {
                let draw: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
                time -= draw.ln() / rate;
                if time >= end {
                    break;
                }
                times.push(Duration::from_secs_f64(time));
            }
        }
        times
    }

    fn push(&mut self, at: Duration, work: LoadWork) {
        let third = Duration::from_secs(self.settings.seconds) / 3;
        let customer = self.rng.random_range(0..self.settings.customers.len());
        self.arrivals.push(Arrival {
            at,
            in_peak: self.settings.peak_factor > 1.0 && at >= third && at < third * 2,
            customer: self.settings.customers[customer].clone(),
            work,
        });
    }

    fn push_plan_call(&mut self, at: Duration, factor: u64) {
        let work_ms = self.draw_around(self.settings.work_ms) * factor;
        let counted_as = if factor > 1 { "plan-long" } else { "plan" };
        let class = if self.settings.hide_lengths { "plan" } else { counted_as };
        let key = self.next_key();
        let call = CallArrival {
            profile: self.settings.profiles.urgent.clone(),
            class: class.to_owned(),
            counted_as: counted_as.to_owned(),
            ticketed: false,
            slot: None,
            body: json!({"op": "plan", "class": class, "key": key, "work_ms": work_ms}),
            key,
        };
        self.push(at, LoadWork::Call(call));
    }

    /// Adds a reservation and its confirmation. The confirmation is sent even if the reservation
    /// failed, so that the offered load does not depend on the responses.
    fn push_booking(&mut self, at: Duration) {
        let booking = self.next_key();
        let slot = format!("slot-{booking}");
        for (op, at) in [("reserve", at), ("confirm", at + CONFIRM_DELAY)] {
            let profiles = &self.settings.profiles;
            let profile = if op == "reserve" { &profiles.reserve } else { &profiles.confirm };
            let profile = profile.clone();
            let work_ms = self.draw_around(self.settings.work_ms);
            let key = format!("{booking}-{op}");
            let body = json!({
                "op": op, "class": op, "key": key, "work_ms": work_ms,
                "slot": slot, "booking": booking,
            });
            let call = CallArrival {
                profile,
                class: op.to_owned(),
                counted_as: op.to_owned(),
                ticketed: true,
                slot: Some(slot.clone()),
                key,
                body,
            };
            self.push(at, LoadWork::Call(call));
        }
    }

    fn push_task(&mut self, at: Duration, class: &str, millicores: u64) {
        let profile = self.settings.profiles.batch.clone();
        self.push_sized_task(at, profile, class, millicores);
    }

    fn push_waves(&mut self) {
        let interval = Duration::from_secs(self.settings.seconds) / WAVES;
        for wave in 0..WAVES {
            let class = WAVE_CLASSES[self.rng.random_range(0..WAVE_CLASSES.len())];
            for _ in 0..self.settings.wave_tasks {
                let jitter = self.rng.random_range(0..200);
                let at = interval * wave + Duration::from_millis(jitter);
                let profile = self.settings.profiles.wave.clone();
                self.push_sized_task(at, profile, class, 4_000);
            }
        }
    }

    /// Adds a task whose declared run time is between a quarter and four times the real one.
    fn push_sized_task(&mut self, at: Duration, profile: String, class: &str, millicores: u64) {
        let run_ms = self.draw_around(self.settings.run_ms);
        let declared = (run_ms as f64 * self.rng.random_range(-2.0f64..2.0).exp2()) as u64;
        let size = ResourceSize { millicores, memory_mib: 1_024, accelerators: 0 };
        let key = self.next_key();
        let body = json!({
            "class": class, "size": size, "declared_run_ms": declared.max(1),
            "input": {"run_ms": run_ms, "fail": false, "key": key},
        });
        let task = TaskArrival { profile, class: class.to_owned(), run_ms, body };
        self.push(at, LoadWork::Task(task));
    }

    /// Draws evenly between half and one and a half times `mean`.
    fn draw_around(&mut self, mean: u64) -> u64 {
        (mean as f64 * self.rng.random_range(0.5..1.5)).round().max(1.0) as u64
    }

    fn next_key(&self) -> String {
        format!("{}-{}", self.settings.seed, self.arrivals.len())
    }
}
