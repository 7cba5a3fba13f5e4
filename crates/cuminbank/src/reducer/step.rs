//! Inputs and outputs of one reducer step, shared by all parts.

use std::time::SystemTime;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    effect::{CallerAnswer, EntryEffect, MetricSample},
    guards::GuardSwitches,
    ids::{ExchangeId, MonotonicTime, ReplyId, TargetName},
    log::{LogCode, LogRecord},
    settings::EntrySettings,
};

/// Part of the reducer. The result of an exchange is passed to the part that began it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReducerPart {
    /// Urgent calls.
    Calls,
    /// Batch tasks.
    Tasks,
    /// Group ownership and membership.
    Groups,
    /// Configuration.
    Config,
    /// Day records.
    Records,
}

const PARTS: [ReducerPart; 5] = [
    ReducerPart::Calls,
    ReducerPart::Tasks,
    ReducerPart::Groups,
    ReducerPart::Config,
    ReducerPart::Records,
];

impl ReducerPart {
    /// Returns the part that began an exchange. The id encodes the index of the part.
    pub fn of(exchange: ExchangeId) -> Self {
        PARTS[(exchange % PARTS.len() as u64) as usize]
    }
}

/// What the result of an exchange shows about a target.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetObservation {
    /// The target answered.
    Answered(TargetName),
    /// The target did not answer or could not be reached.
    Silent(TargetName),
    /// The target itself reported that it is leaving.
    Leaving(TargetName),
    /// The target itself reported that it is not, or no longer, leaving.
    Staying(TargetName),
}

/// Time, settings, random numbers and collected effects of a step.
#[derive(Debug)]
pub struct StepContext {
    /// Settings of the instance.
    pub settings: EntrySettings,
    /// Random number generator, seeded at the start of the instance.
    pub rng: ChaCha8Rng,
    /// Guards. Tests switch one off to show that a check detects the resulting fault.
    pub guards: GuardSwitches,
    now: MonotonicTime,
    wall: SystemTime,
    exchanges: u64,
    effects: Vec<EntryEffect>,
    observations: Vec<TargetObservation>,
}

impl StepContext {
    /// Creates a context with `seed` for the random number generator.
    pub fn new(settings: EntrySettings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            guards: GuardSwitches::default(),
            now: MonotonicTime::ZERO,
            wall: SystemTime::UNIX_EPOCH,
            exchanges: 0,
            effects: Vec::new(),
            observations: Vec::new(),
        }
    }

    /// Begins a step at `now`. If that is before the time of the last step, the step has the time
    /// of the last one.
    pub fn begin(&mut self, now: MonotonicTime) {
        self.now = self.now.max(now);
    }

    /// Returns the time of the current step.
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Returns the wall-clock time of the last tick.
    pub fn wall(&self) -> SystemTime {
        self.wall
    }

    /// Sets the wall-clock time.
    pub fn set_wall(&mut self, wall: SystemTime) {
        self.wall = wall;
    }

    /// Returns a new exchange id for `part`.
    pub fn begin_exchange(&mut self, part: ReducerPart) -> ExchangeId {
        self.exchanges += 1;
        self.exchanges * PARTS.len() as u64 + part as u64
    }

    /// Adds an effect to the step.
    pub fn push(&mut self, effect: EntryEffect) {
        self.effects.push(effect);
    }

    /// Adds the answer to a caller.
    pub fn answer(&mut self, reply: ReplyId, answer: CallerAnswer) {
        self.push(EntryEffect::Answer { reply, answer });
    }

    /// Adds a log event; `detail` holds its names and values.
    pub fn log(&mut self, code: LogCode, detail: impl Into<String>) {
        self.push(EntryEffect::Log(LogRecord::new(code, detail)));
    }

    /// Adds a metric sample.
    pub fn metric(&mut self, sample: MetricSample) {
        self.push(EntryEffect::Metric(sample));
    }

    /// Reports an observation of a target, which the group part handles at the end of the step.
    pub fn observe(&mut self, observation: TargetObservation) {
        self.observations.push(observation);
    }

    /// Returns the observations of the step and clears them.
    pub fn take_observations(&mut self) -> Vec<TargetObservation> {
        std::mem::take(&mut self.observations)
    }

    /// Returns the effects of the step and clears them.
    pub fn take_effects(&mut self) -> Vec<EntryEffect> {
        std::mem::take(&mut self.effects)
    }
}
