//! What a step of the reducer reads and collects.

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

/// Part of the reducer; the end of an exchange goes to the part that began it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReducerPart {
    /// Urgent calls.
    Calls,
    /// Batch tasks.
    Tasks,
    /// Groups and membership.
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
    /// Returns the part that began an exchange.
    pub fn of(exchange: ExchangeId) -> Self {
        PARTS[(exchange % PARTS.len() as u64) as usize]
    }
}

/// What a part saw of a target in an exchange.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetObservation {
    /// The target answered.
    Answered(TargetName),
    /// The target did not answer, or could not be reached.
    Silent(TargetName),
    /// The target said itself that it is leaving.
    Leaving(TargetName),
    /// The target said itself that it is not leaving, or no longer.
    Staying(TargetName),
}

/// Time, settings, draws and collected effects of a step.
#[derive(Debug)]
pub struct StepContext {
    /// Settings of the instance.
    pub settings: EntrySettings,
    /// Source of all draws, seeded at the start.
    pub rng: ChaCha8Rng,
    /// Guards; tests switch one off to show that a check finds the fault.
    pub guards: GuardSwitches,
    now: MonotonicTime,
    wall: SystemTime,
    exchanges: u64,
    effects: Vec<EntryEffect>,
    observations: Vec<TargetObservation>,
}

impl StepContext {
    /// Creates a context.
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

    /// Begins a step at `now`; time never runs backwards.
    pub fn begin(&mut self, now: MonotonicTime) {
        self.now = self.now.max(now);
    }

    /// Returns the time of the step.
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Returns the time of day at the last tick.
    pub fn wall(&self) -> SystemTime {
        self.wall
    }

    /// Sets the time of day.
    pub fn set_wall(&mut self, wall: SystemTime) {
        self.wall = wall;
    }

    /// Returns the id of a new exchange of `part`.
    pub fn begin_exchange(&mut self, part: ReducerPart) -> ExchangeId {
        self.exchanges += 1;
        self.exchanges * PARTS.len() as u64 + part as u64
    }

    /// Adds an effect.
    pub fn push(&mut self, effect: EntryEffect) {
        self.effects.push(effect);
    }

    /// Answers a caller.
    pub fn answer(&mut self, reply: ReplyId, answer: CallerAnswer) {
        self.push(EntryEffect::Answer { reply, answer });
    }

    /// Writes a log event.
    pub fn log(&mut self, code: LogCode, detail: impl Into<String>) {
        self.push(EntryEffect::Log(LogRecord::new(code, detail)));
    }

    /// Sends a metric.
    pub fn metric(&mut self, sample: MetricSample) {
        self.push(EntryEffect::Metric(sample));
    }

    /// Tells the groups part what was seen of a target.
    pub fn observe(&mut self, observation: TargetObservation) {
        self.observations.push(observation);
    }

    /// Returns what was seen of targets in the step.
    pub fn take_observations(&mut self) -> Vec<TargetObservation> {
        std::mem::take(&mut self.observations)
    }

    /// Returns the effects of the step.
    pub fn take_effects(&mut self) -> Vec<EntryEffect> {
        std::mem::take(&mut self.effects)
    }
}
