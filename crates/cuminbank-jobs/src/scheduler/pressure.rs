//! How hard filling tasks would press on the services of an executor, for placement.

use std::time::Duration;

use super::{
    state::{ExecutorKey, ExecutorState, VictimLoss},
    JobScheduler,
};
use crate::{
    colocation::{ImageId, MinorLoss, SlackLoss, MAX_TRIALS},
    job::JobStep,
    slack::{tolerable_loss, PEAK_TOLERABLE_LOSS},
};

/// Time in which a task starts or resumes, and in which its effect has left the tails.
const START_TIME: Duration = Duration::from_millis(600);
/// Interval at which the demand for services as neighbours is worked out.
const SOUGHT_INTERVAL: Duration = Duration::from_millis(250);

impl JobScheduler {
    /// Works out again how much slack the filling tasks of an executor cost its serving tasks.
    pub(super) fn update_losses(&mut self, key: ExecutorKey) {
        let executor = &self.executors[key];
        let losses = executor
            .serving_images
            .iter()
            .map(|(victim, _)| VictimLoss {
                victim: *victim,
                distinct: self.loss_on(executor, *victim, MinorLoss::Ignored),
                whole: self.loss_on(executor, *victim, MinorLoss::Counted),
            })
            .collect();
        self.executors[key].losses = losses;
    }

    /// Returns the greatest pressure on a serving task of an executor with one more filling task.
    pub(super) fn pressure_with(
        &self,
        executor: &ExecutorState,
        image: ImageId,
        spec: &JobStep,
        minor: MinorLoss,
    ) -> f64 {
        let share = executor.share_of(spec.needs.cpu_millis);
        let ahead = Duration::from_millis(u64::from(spec.estimate_ms)) + START_TIME;
        executor
            .losses
            .iter()
            .map(|loss| {
                let sum = match minor {
                    MinorLoss::Counted => loss.whole,
                    MinorLoss::Ignored => loss.distinct,
                };
                let added = self.colocation.trial_loss(minor, self.now, loss.victim, image, share);
                sum.plus(added).pressure(self.bearable_by(executor, loss.victim, ahead))
            })
            .fold(0.0, f64::max)
    }

    /// Returns the loss of slack that a service on an executor bears for a while.
    fn bearable_by(&self, executor: &ExecutorState, victim: ImageId, ahead: Duration) -> f64 {
        let reading = executor.slacks.iter().find(|reading| reading.victim == victim);
        reading.map_or(PEAK_TOLERABLE_LOSS, |reading| {
            tolerable_loss(reading.slack, self.now.saturating_sub(reading.at), ahead)
        })
    }

    /// Tells whether a filling image would meet a serving one on an executor that it has met on
    /// enough others while little is known of the pair.
    pub(super) fn is_trial_too_many(&self, executor: &ExecutorState, image: ImageId) -> bool {
        let known_here = executor.filling_images.iter().any(|(known, _)| *known == image);
        !known_here
            && executor
                .serving_images
                .iter()
                .filter(|(victim, _)| self.colocation.is_uncertain(self.now, *victim, image))
                .any(|(victim, _)| {
                    let met = self.meetings.get(&(*victim, image)).copied().unwrap_or_default();
                    met >= MAX_TRIALS
                })
    }

    /// Counts each pair of a serving and a filling image on an executor in or out. To be called before
    /// and after the images there change.
    pub(super) fn count_meetings(&mut self, key: ExecutorKey, present: bool) {
        let Some(executor) = self.executors.get(key) else { return };
        for (victim, _) in &executor.serving_images {
            for (image, _) in &executor.filling_images {
                let met = self.meetings.entry((*victim, *image)).or_default();
                *met = if present { *met + 1 } else { met.saturating_sub(1) };
            }
        }
    }

    /// Works out again which services most filling images depend on.
    pub(super) fn update_sought(&mut self) {
        if self.now < self.next_sought_at {
            return;
        }
        self.next_sought_at = self.now + SOUGHT_INTERVAL;
        let mut sought = self.colocation.neighbour_demand(self.now);
        let most = sought.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        sought.iter_mut().for_each(|demand| *demand /= most);
        self.sought = sought;
    }

    /// Returns how much other filling images depend on an executor, for the services on it: from 0
    /// to 1. Beside several services only what suits all of them fits.
    pub(super) fn sought_by_others(&self, executor: &ExecutorState) -> f64 {
        let images = executor.serving_images.iter();
        let demands = images.filter_map(|(image, _)| self.sought.get(*image as usize).copied());
        demands.fold(1.0, f64::min)
    }

    /// Returns the pressure that a serving image feels or would feel on an executor.
    pub(super) fn pressure_on(&self, executor: &ExecutorState, victim: ImageId) -> f64 {
        self.loss_on(executor, victim, MinorLoss::Ignored).pressure(PEAK_TOLERABLE_LOSS)
    }

    fn loss_on(&self, executor: &ExecutorState, victim: ImageId, minor: MinorLoss) -> SlackLoss {
        let part = |(image, cpu_millis): &(ImageId, u32)| {
            let share = executor.share_of(*cpu_millis);
            self.colocation.loss_with(minor, self.now, victim, *image, share)
        };
        executor.filling_images.iter().map(part).fold(SlackLoss::default(), SlackLoss::plus)
    }
}
