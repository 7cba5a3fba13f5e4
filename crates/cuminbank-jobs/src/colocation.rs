//! Interference model for colocated tasks.
//!
//! A best-effort task uses only capacity that others leave idle. On the same executor as a
//! latency-critical task, the victim, it can lower the victim's slack (see `slack.rs`), in
//! proportion to its share of the executor. For each pair of a latency-critical and a best-effort
//! image the model estimates the loss of slack if the best-effort image used an entire executor,
//! with a variance. The loss in a report is divided among the images that may have caused it.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{ids::MonotonicTime, slack::PEAK_TOLERABLE_LOSS};

/// Index of an image in the model.
pub type ImageId = u32;

/// Id shared by all images without a place in the model.
pub const UNMODELLED_IMAGE: ImageId = ImageId::MAX;
/// Maximum number of images in the model, whose memory and stored size grow with the square.
pub const MAX_IMAGES: usize = 64;

/// Mean and variance assumed for a pair before any report. Every loss of a pair is stated for a
/// best-effort image that uses an entire executor. More than half of the pairs lose 3 to 20, the
/// others almost nothing.
const PRIOR_MEAN: f64 = 2.0;
const PRIOR_VARIANCE: f64 = 25.0;
/// Lower limit of the variance of a pair's estimate.
const MIN_VARIANCE: f64 = 0.2;
/// Estimated loss of a pair at which half of it is attributed to other images.
const MINOR_LOSS_MEAN: f64 = 1.5;
/// Upper limit of the estimated loss of a pair.
const MAX_LOSS: f64 = 30.0;
/// Variance of a reported slack. Measured tail latencies are imprecise.
const REPORT_VARIANCE: f64 = 0.05;
/// Standard deviation of a task's interference over time, as a fraction of its mean.
const VARIATION_COEFFICIENT: f64 = 0.5;
/// Time in which an estimate above the prior mean decays halfway to the prior if no report updates
/// it, as for a pair that is no longer colocated.
const EFFECT_HALF_LIFE: Duration = Duration::from_secs(90);
/// Standard deviation of the estimate above which a pair is uncertain and colocated on at most
/// [`MAX_TRIALS`] executors.
const UNCERTAIN_DEVIATION: f64 = 2.5;
/// Weight of the estimate's variance in the variance of a loss; the variation over time has the
/// weight 1. Less than 1, because an image must not be kept off an executor only because little is
/// known about it.
const UNCERTAINTY_WEIGHT: f64 = 0.25;
/// Safety margin of placement, in standard deviations of the loss. A missed latency target costs
/// about five times the value of the best-effort task that causes it.
const SAFETY_DEVIATIONS: f64 = 2.0;
/// Maximum number of executors on which the two images of an uncertain pair run together at the
/// same time.
pub const MAX_TRIALS: u32 = 2;
/// Maximum pressure (see [`SlackLoss::pressure`]) at which best-effort tasks are placed.
pub const MAX_PRESSURE: f64 = 1.0;
/// Share of an executor that a best-effort task typically uses.
const TYPICAL_SHARE: f64 = 0.08;
/// Minimum expected loss of slack for which a best-effort task is evicted, unless all are evicted
/// because a violation has lasted too long.
pub const MIN_MOVE_LOSS: f64 = 0.04;

/// Expected loss of slack caused by a set of best-effort tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlackLoss {
    /// Expected loss.
    pub mean: f64,
    /// Variance of the loss.
    pub variance: f64,
}

impl SlackLoss {
    /// Returns the sum of this loss and one caused by further tasks.
    pub fn plus(self, other: Self) -> Self {
        Self { mean: self.mean + other.mean, variance: self.variance + other.variance }
    }

    /// Returns the loss, including a safety margin, as a fraction of the tolerable loss.
    pub fn pressure(&self, tolerable: f64) -> f64 {
        (self.mean + SAFETY_DEVIATIONS * self.variance.sqrt()) / tolerable
    }
}

/// Whether to count minor losses, which are so small that other images may have caused them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MinorLoss {
    /// Counted, for tasks that can still wait for a better executor.
    Counted,
    /// Reduced towards zero, for tasks that have waited long enough.
    Ignored,
}

/// Estimated interference of a best-effort image with a latency-critical image: the loss of slack
/// if the best-effort image used an entire executor.
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

    /// Returns the estimate at the time `now`. High estimates decay towards the prior, because
    /// pairs that are no longer colocated produce no reports that would correct them.
    fn at(&self, now: MonotonicTime) -> Self {
        if self.mean <= PRIOR_MEAN {
            return *self;
        }
        let age = now.saturating_sub(self.at).as_secs_f64() / EFFECT_HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(age);
        Self {
            mean: PRIOR_MEAN + (self.mean - PRIOR_MEAN) * weight,
            variance: PRIOR_VARIANCE + (self.variance - PRIOR_VARIANCE) * weight,
            at: now,
        }
    }

    /// Returns the loss caused by a task with this share of the executor.
    fn loss(&self, share: f64, minor: MinorLoss) -> SlackLoss {
        let mean = match minor {
            MinorLoss::Ignored => self.attenuated_mean(),
            MinorLoss::Counted => self.mean,
        };
        let variance = self.variance * UNCERTAINTY_WEIGHT + (mean * VARIATION_COEFFICIENT).powi(2);
        SlackLoss { mean: mean * share, variance: variance * share * share }
    }

    /// Returns the mean, with small values reduced towards zero. Pairs interfere either strongly or
    /// hardly at all, but each report attributes part of its prediction error to every colocated
    /// image, so small means are mostly caused by other images.
    fn attenuated_mean(&self) -> f64 {
        let square = self.mean * self.mean;
        self.mean * square / (square + MINOR_LOSS_MEAN * MINOR_LOSS_MEAN)
    }

    /// Returns the variance of a task's interference over time.
    fn temporal_variance(&self) -> f64 {
        (self.mean * VARIATION_COEFFICIENT).powi(2)
    }

    fn is_uncertain(&self) -> bool {
        self.variance.sqrt() > UNCERTAIN_DEVIATION
    }
}

/// Interference estimates for all pairs of at most [`MAX_IMAGES`] images. Callers choose the names and
/// the number of images. A new one takes the place of the image that no job uses and whose estimates
/// are the oldest; if jobs use all of them, it is not modelled: nothing is learned about it, and
/// its pairs keep the estimate of an unknown pair.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ColocationModel {
    names: Vec<String>,
    /// Indexed by latency-critical image, then by best-effort image.
    pairs: Vec<Vec<PairEffect>>,
    /// Number of job steps that use each image.
    #[serde(skip)]
    users: HashMap<ImageId, u32>,
}

impl ColocationModel {
    /// Returns the index of the image with a name, and adds the image if it is new and there is a
    /// place for it.
    pub fn intern(&mut self, name: &str) -> ImageId {
        if let Some(id) = self.names.iter().position(|known| known == name) {
            return id as ImageId;
        }
        if self.names.len() < MAX_IMAGES {
            return self.append(name);
        }
        let Some(unused) = self.oldest_unused() else { return UNMODELLED_IMAGE };
        self.replace(unused, name);
        unused
    }

    /// Returns the index of the image of a job step, like [`Self::intern`], and keeps its place until
    /// [`Self::release`].
    pub fn acquire(&mut self, name: &str) -> ImageId {
        let id = self.intern(name);
        if id != UNMODELLED_IMAGE {
            *self.users.entry(id).or_default() += 1;
        }
        id
    }

    /// Ends the use of an image by a job step.
    pub fn release(&mut self, id: ImageId) {
        let Some(users) = self.users.get_mut(&id) else { return };
        *users -= 1;
        if *users == 0 {
            self.users.remove(&id);
        }
    }

    /// Returns the number of images in the model.
    pub fn image_count(&self) -> usize {
        self.names.len()
    }

    fn append(&mut self, name: &str) -> ImageId {
        let id = self.names.len();
        self.names.push(name.to_owned());
        for row in &mut self.pairs {
            row.push(PairEffect::new());
        }
        self.pairs.push(vec![PairEffect::new(); id + 1]);
        id as ImageId
    }

    fn replace(&mut self, id: ImageId, name: &str) {
        self.names[id as usize] = name.to_owned();
        for row in &mut self.pairs {
            row[id as usize] = PairEffect::new();
        }
        self.pairs[id as usize].fill(PairEffect::new());
    }

    /// Returns the image that no job uses and whose latest estimate is the oldest.
    fn oldest_unused(&self) -> Option<ImageId> {
        let unused = (0..self.names.len() as ImageId).filter(|id| !self.users.contains_key(id));
        unused.min_by_key(|id| self.learned_at(*id))
    }

    fn learned_at(&self, id: ImageId) -> MonotonicTime {
        let column = self.pairs.iter().map(|row| row[id as usize].at);
        let row = self.pairs[id as usize].iter().map(|pair| pair.at);
        column.chain(row).max().unwrap_or_default()
    }

    /// Drops the images beyond [`MAX_IMAGES`], which builds without this limit have stored.
    pub fn with_max_images(mut self) -> Self {
        self.names.truncate(MAX_IMAGES);
        self.pairs.truncate(MAX_IMAGES);
        self.pairs.iter_mut().for_each(|row| row.truncate(MAX_IMAGES));
        self
    }

    /// Returns whether the model has a finite estimate for every pair of its images.
    pub fn is_complete(&self) -> bool {
        let count = self.names.len();
        let is_finite = |pair: &PairEffect| pair.mean.is_finite() && pair.variance.is_finite();
        self.pairs.len() == count
            && self.pairs.iter().all(|row| row.len() == count && row.iter().all(is_finite))
    }

    /// Sets the time of every estimate to `now`. Needed for a model loaded from an earlier owner,
    /// whose clock is unrelated to this one.
    pub fn with_time(mut self, now: MonotonicTime) -> Self {
        for pair in self.pairs.iter_mut().flatten() {
            pair.at = now;
        }
        self
    }

    /// Updates the model with the loss of slack reported for a latency-critical image.
    /// `best_effort_shares` contains the best-effort images on its executor, each with its share of
    /// the executor.
    pub fn learn(
        &mut self,
        now: MonotonicTime,
        victim: ImageId,
        loss: f64,
        best_effort_shares: &[(ImageId, f64)],
    ) {
        let loss = SlackLoss { mean: loss, variance: REPORT_VARIANCE };
        self.learn_estimate(now, victim, loss, best_effort_shares);
    }

    /// Does the same for a loss that is an estimate with a variance.
    pub fn learn_estimate(
        &mut self,
        now: MonotonicTime,
        victim: ImageId,
        loss: SlackLoss,
        best_effort_shares: &[(ImageId, f64)],
    ) {
        if best_effort_shares.iter().any(|(image, _)| *image == UNMODELLED_IMAGE) {
            // Part of the loss is due to an image about which nothing is learned.
            return;
        }
        let Some(row) = self.pairs.get_mut(victim as usize) else { return };
        let estimates: Vec<PairEffect> =
            best_effort_shares.iter().map(|(image, _)| row[*image as usize].at(now)).collect();
        let shares =
            || estimates.iter().zip(best_effort_shares).map(|(effect, (_, share))| (effect, share));
        let expected: f64 = shares().map(|(effect, share)| effect.mean * share).sum();
        let expected_variance: f64 = shares()
            .map(|(effect, share)| (effect.variance + effect.temporal_variance()) * share * share)
            .sum();
        let prediction_error = loss.mean - expected;
        for (effect, (image, share)) in estimates.iter().zip(best_effort_shares) {
            // Images with a more uncertain estimate are attributed a larger part of the prediction
            // error.
            let gain = effect.variance * share / (expected_variance + loss.variance);
            row[*image as usize] = PairEffect {
                mean: (effect.mean + gain * prediction_error).clamp(0.0, MAX_LOSS),
                variance: (effect.variance * (1.0 - gain * share)).max(MIN_VARIANCE),
                at: now,
            };
        }
    }

    /// Returns whether too little is known about a pair to colocate it on many executors.
    pub fn is_uncertain(&self, now: MonotonicTime, victim: ImageId, image: ImageId) -> bool {
        self.effect(now, victim, image).is_uncertain()
    }

    /// Returns the loss of slack caused by a best-effort image with this share of the executor,
    /// with minor losses reduced towards zero.
    pub fn loss(
        &self,
        now: MonotonicTime,
        victim: ImageId,
        image: ImageId,
        share: f64,
    ) -> SlackLoss {
        self.loss_with(MinorLoss::Ignored, now, victim, image, share)
    }

    /// Returns the loss of slack caused by a best-effort image with this share of the executor.
    /// `minor` tells whether minor losses count in full.
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

    /// Returns the loss of slack caused by a best-effort task of typical size, with minor losses
    /// reduced towards zero.
    pub fn typical_loss(&self, now: MonotonicTime, victim: ImageId, image: ImageId) -> SlackLoss {
        self.loss(now, victim, image, TYPICAL_SHARE)
    }

    /// Returns the loss to assume when a best-effort image is placed. For an uncertain pair the
    /// variance is ignored, because the pair would otherwise never be colocated and no reports
    /// would reduce it.
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

    /// Returns, indexed by image, how much best-effort images depend on running next to the image.
    /// Every best-effort image contributes 1, divided equally among the latency-critical images
    /// that tolerate it.
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
        let pair = self.pairs.get(victim as usize).and_then(|row| row.get(image as usize));
        pair.map_or_else(PairEffect::new, |pair| pair.at(now))
    }
}
