//! How much filling tasks press on serving tasks of the same executor, by what they run.
//!
//! A filling task that disturbs a service lowers its slack (see `slack.rs`) in proportion to the share
//! of the executor that it uses. The model keeps for each pair of images the loss of slack for a whole
//! executor, with its variance, and shares the loss of a report among the images that may have caused
//! it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ids::MonotonicTime, slack::PEAK_TOLERABLE_LOSS};

/// Number of an image.
pub type ImageId = u32;

/// Expected loss of slack for a whole executor, and its variance, before any report: more than
/// half of the pairs lose 3 to 20, the others next to nothing.
const PRIOR_MEAN: f64 = 2.0;
const PRIOR_VARIANCE: f64 = 25.0;
/// Least variance of what is known of a pair.
const MIN_VARIANCE: f64 = 0.2;
/// Loss of slack for a whole executor of which half is put down to other images.
const MINOR_LOSS_MEAN: f64 = 1.5;
/// Greatest loss of slack for a whole executor.
const MAX_LOSS: f64 = 30.0;
/// Variance of a reported slack: tails are rough figures.
const REPORT_VARIANCE: f64 = 0.05;
/// Standard deviation of what a task presses over time, in parts of its mean.
const VARIATION_COEFFICIENT: f64 = 0.5;
/// Time in which what is known of a pair that is kept apart fades to a half.
const EFFECT_HALF_LIFE: Duration = Duration::from_secs(90);
/// Standard deviation above which a pair is only tried on a few executors.
const UNCERTAIN_DEVIATION: f64 = 2.5;
/// Part of the variance of what is known that counts beside the temporal_variance: an image must not be kept away
/// because little is known of it.
const UNCERTAINTY_WEIGHT: f64 = 0.25;
/// Standard deviations of the loss that placement allows for: a service over its bound costs about
/// five times what the filling task that causes it is worth.
const SAFETY_DEVIATIONS: f64 = 2.0;
/// Most executors on which a pair of which little is known is tried at a time.
pub const MAX_TRIALS: u32 = 2;
/// Pressure up to which filling tasks are placed.
pub const MAX_PRESSURE: f64 = 1.0;
/// Share of an executor that a filling task usually takes.
const TYPICAL_SHARE: f64 = 0.08;
/// Least expected loss of slack for which a filling task is moved.
pub const MIN_MOVE_LOSS: f64 = 0.04;

/// Loss of slack that filling tasks are expected to cause together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlackLoss {
    /// Expected loss.
    pub mean: f64,
    /// Its variance.
    pub variance: f64,
}

impl SlackLoss {
    /// Returns the loss with that of further tasks.
    pub fn plus(self, other: Self) -> Self {
        Self { mean: self.mean + other.mean, variance: self.variance + other.variance }
    }

    /// Returns the loss in parts of what is tolerable, with some caution.
    pub fn pressure(&self, tolerable: f64) -> f64 {
        (self.mean + SAFETY_DEVIATIONS * self.variance.sqrt()) / tolerable
    }
}

/// Whether losses count that are so small that they may be due to other images.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MinorLoss {
    /// They count: for work that can wait a moment for a better place.
    Counted,
    /// They do not: for work that has waited.
    Ignored,
}

/// What is known of a pair: the loss of slack for a whole executor.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct PairEffect {
    mean: f64,
    variance: f64,
    at: MonotonicTime,
}

impl PairEffect {
    fn new() -> Self {
        Self { mean: PRIOR_MEAN, variance: PRIOR_VARIANCE, at: MonotonicTime::ZERO }
    }

    /// Returns the effect as it is known now. A pair that is kept apart gives no reports.
    fn at(&self, now: MonotonicTime) -> Self {
        if self.mean <= PRIOR_MEAN {
            return *self;
        }
        let age = now.saturating_sub(self.at).as_secs_f64() / EFFECT_HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(age);
        Self {
            mean: PRIOR_MEAN + (self.mean - PRIOR_MEAN) * kept,
            variance: PRIOR_VARIANCE + (self.variance - PRIOR_VARIANCE) * kept,
            at: now,
        }
    }

    /// Returns the loss that a task with a share of the executor causes.
    fn loss(&self, share: f64, minor: MinorLoss) -> SlackLoss {
        let mean = match minor {
            MinorLoss::Ignored => self.attenuated_mean(),
            MinorLoss::Counted => self.mean,
        };
        let variance = self.variance * UNCERTAINTY_WEIGHT + (mean * VARIATION_COEFFICIENT).powi(2);
        SlackLoss { mean: mean * share, variance: variance * share * share }
    }

    /// Returns the mean with small ones taken for nothing. Pairs either disturb clearly or hardly at all,
    /// and each report leaves a little of its surprise with every image beside the service.
    fn attenuated_mean(&self) -> f64 {
        let square = self.mean * self.mean;
        self.mean * square / (square + MINOR_LOSS_MEAN * MINOR_LOSS_MEAN)
    }

    /// Returns the variance of what a task presses over time.
    fn temporal_variance(&self) -> f64 {
        (self.mean * VARIATION_COEFFICIENT).powi(2)
    }

    fn is_uncertain(&self) -> bool {
        self.variance.sqrt() > UNCERTAIN_DEVIATION
    }
}

/// What is known of pairs of images.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ColocationModel {
    names: Vec<String>,
    /// Effect of the second image on the first.
    pairs: Vec<Vec<PairEffect>>,
}

impl ColocationModel {
    /// Returns the number of an image.
    pub fn intern(&mut self, name: &str) -> ImageId {
        if let Some(id) = self.names.iter().position(|known| known == name) {
            return id as ImageId;
        }
        let id = self.names.len();
        self.names.push(name.to_owned());
        for row in &mut self.pairs {
            row.push(PairEffect::new());
        }
        self.pairs.push(vec![PairEffect::new(); id + 1]);
        id as ImageId
    }

    /// Takes over what an earlier owner learned, as of now: its clock is another one.
    pub fn with_time(mut self, now: MonotonicTime) -> Self {
        for pair in self.pairs.iter_mut().flatten() {
            pair.at = now;
        }
        self
    }

    /// Takes the loss of slack of a serving image beside filling images, each with its share of the
    /// executor.
    pub fn learn(
        &mut self,
        now: MonotonicTime,
        victim: ImageId,
        loss: f64,
        best_effort: &[(ImageId, f64)],
    ) {
        let loss = SlackLoss { mean: loss, variance: REPORT_VARIANCE };
        self.learn_estimate(now, victim, loss, best_effort);
    }

    /// Takes a loss that is only known with some variance.
    pub fn learn_estimate(
        &mut self,
        now: MonotonicTime,
        victim: ImageId,
        loss: SlackLoss,
        best_effort: &[(ImageId, f64)],
    ) {
        let row = &mut self.pairs[victim as usize];
        let known: Vec<PairEffect> =
            best_effort.iter().map(|(image, _)| row[*image as usize].at(now)).collect();
        let shares = || known.iter().zip(best_effort).map(|(effect, (_, share))| (effect, share));
        let expected: f64 = shares().map(|(effect, share)| effect.mean * share).sum();
        let spread: f64 = shares()
            .map(|(effect, share)| (effect.variance + effect.temporal_variance()) * share * share)
            .sum();
        let surprise = loss.mean - expected;
        for (effect, (image, share)) in known.iter().zip(best_effort) {
            // The less is known of an image, the more of the surprise is put down to it.
            let gain = effect.variance * share / (spread + loss.variance);
            row[*image as usize] = PairEffect {
                mean: (effect.mean + gain * surprise).clamp(0.0, MAX_LOSS),
                variance: (effect.variance * (1.0 - gain * share)).max(MIN_VARIANCE),
                at: now,
            };
        }
    }

    /// Tells whether too little is known of a pair to place it on many executors.
    pub fn is_uncertain(&self, now: MonotonicTime, victim: ImageId, image: ImageId) -> bool {
        self.effect(now, victim, image).is_uncertain()
    }

    /// Returns the loss of slack that is clearly due to a filling image with a share of the executor.
    pub fn loss(
        &self,
        now: MonotonicTime,
        victim: ImageId,
        image: ImageId,
        share: f64,
    ) -> SlackLoss {
        self.loss_with(MinorLoss::Ignored, now, victim, image, share)
    }

    /// Returns the loss of slack that a filling image with a share of the executor causes.
    pub fn loss_with(
        &self,
        minor: MinorLoss,
        now: MonotonicTime,
        victim: ImageId,
        image: ImageId,
        share: f64,
    ) -> SlackLoss {
        self.effect(now, victim, image).loss(share, minor)
    }

    /// Returns the loss that counts when a filling image is placed. Of an image that has hardly been
    /// tried only the expected loss counts, or it would never be tried.
    pub fn trial_loss(
        &self,
        minor: MinorLoss,
        now: MonotonicTime,
        victim: ImageId,
        image: ImageId,
        share: f64,
    ) -> SlackLoss {
        let effect = self.effect(now, victim, image);
        let loss = effect.loss(share, minor);
        match effect.is_uncertain() {
            true => SlackLoss { variance: 0.0, ..loss },
            false => loss,
        }
    }

    /// Returns for each image how much it is sought as a neighbour: each filling image counts once,
    /// divided among the serving images that it does not disturb.
    pub fn neighbour_demand(&self, now: MonotonicTime) -> Vec<f64> {
        let mut demand = vec![0.0; self.names.len()];
        for image in 0..self.names.len() as ImageId {
            let tolerates = |victim: &ImageId| {
                let effect = self.effect(now, *victim, image);
                !effect.is_uncertain() && effect.mean * TYPICAL_SHARE <= PEAK_TOLERABLE_LOSS
            };
            let compatible: Vec<ImageId> =
                (0..self.names.len() as ImageId).filter(tolerates).collect();
            for victim in &compatible {
                demand[*victim as usize] += 1.0 / compatible.len() as f64;
            }
        }
        demand
    }

    fn effect(&self, now: MonotonicTime, victim: ImageId, image: ImageId) -> PairEffect {
        self.pairs[victim as usize][image as usize].at(now)
    }
}
