//! Expected interference of best-effort tasks with the latency-critical tasks of an executor.

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

/// Time for a best-effort task to start or resume, plus the time until its interference no longer
/// affects the reported tail latencies.
const START_AND_DECAY_TIME: Duration = Duration::from_millis(600);
/// Interval at which [`JobScheduler::neighbour_demand`] is computed.
const NEIGHBOUR_DEMAND_INTERVAL: Duration = Duration::from_millis(250);

impl JobScheduler {
    /// Recomputes the loss of slack that the best-effort tasks of an executor cause to its
    /// latency-critical tasks.
    pub(super) fn update_losses(&mut self, key: ExecutorKey) {
        let executor = &self.executors[key];
        let losses = executor
            .latency_critical_images
            .iter()
            .map(|(victim, _)| VictimLoss {
                victim: *victim,
                significant: self.loss_on(executor, *victim, MinorLoss::Ignored),
                total: self.loss_on(executor, *victim, MinorLoss::Counted),
            })
            .collect();
        self.executors[key].losses = losses;
    }

    /// Returns the highest pressure (see [`SlackLoss::pressure`]) on the latency-critical tasks of
    /// `executor` if a task of the step with this spec and image were started on it.
    pub(super) fn pressure_with(
        &self,
        executor: &ExecutorState,
        image: ImageId,
        spec: &JobStep,
        minor_loss: MinorLoss,
    ) -> f64 {
        let share = executor.share_of(spec.needs.cpu_millis);
        executor
            .losses
            .iter()
            .map(|loss| {
                let added =
                    self.colocation.trial_loss(minor_loss, self.now, loss.victim, image, share);
                let sum = loss.with(minor_loss).plus(added);
                sum.pressure(self.tolerable_loss_until_end(executor, loss.victim, spec))
            })
            .fold(0.0, f64::max)
    }

    /// Returns the loss of slack that a latency-critical image can tolerate until a task of the step
    /// with this spec would end.
    pub(super) fn tolerable_loss_until_end(
        &self,
        executor: &ExecutorState,
        victim: ImageId,
        spec: &JobStep,
    ) -> f64 {
        let ahead = Duration::from_millis(u64::from(spec.estimate_ms)) + START_AND_DECAY_TIME;
        let reading = executor.slacks.iter().find(|reading| reading.victim == victim);
        reading.map_or(PEAK_TOLERABLE_LOSS, |reading| {
            tolerable_loss(reading.slack, self.now.saturating_sub(reading.at), ahead)
        })
    }

    /// Returns whether a best-effort image must not start on `executor` because it would form an
    /// uncertain pair with a latency-critical image there, and that pair already runs on
    /// [`MAX_TRIALS`] executors.
    pub(super) fn exceeds_trial_limit(&self, executor: &ExecutorState, image: ImageId) -> bool {
        let known_here = executor.best_effort_images.iter().any(|(known, _)| *known == image);
        !known_here
            && executor
                .latency_critical_images
                .iter()
                .filter(|(victim, _)| self.colocation.is_uncertain(self.now, *victim, image))
                .any(|(victim, _)| {
                    let count =
                        self.pair_counts.get(&(*victim, image)).copied().unwrap_or_default();
                    count >= MAX_TRIALS
                })
    }

    /// Adds the image pairs of an executor to the pair counts, or removes them. Must be called with
    /// `present` false before the images of the executor change, and with true afterwards.
    pub(super) fn update_pair_counts(&mut self, key: ExecutorKey, present: bool) {
        let Some(executor) = self.executors.get(key) else { return };
        for (victim, _) in &executor.latency_critical_images {
            for (image, _) in &executor.best_effort_images {
                let count = self.pair_counts.entry((*victim, *image)).or_default();
                *count = if present { *count + 1 } else { count.saturating_sub(1) };
            }
        }
    }

    /// Recomputes, if due, how much best-effort images depend on running next to each
    /// latency-critical image, relative to the highest value.
    pub(super) fn update_neighbour_demand(&mut self) {
        if self.now < self.next_neighbour_demand_at {
            return;
        }
        self.next_neighbour_demand_at = self.now + NEIGHBOUR_DEMAND_INTERVAL;
        let mut demands = self.colocation.neighbour_demand(self.now);
        let highest = demands.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        demands.iter_mut().for_each(|demand| *demand /= highest);
        self.neighbour_demand = demands;
    }

    /// Returns how much best-effort images depend on the latency-critical tasks of `executor`, from
    /// 0 to 1. With several latency-critical images it is the lowest value, since all of them must
    /// tolerate a best-effort image; without any it is 1.
    pub(super) fn neighbour_demand_on(&self, executor: &ExecutorState) -> f64 {
        let images = executor.latency_critical_images.iter();
        let demands =
            images.filter_map(|(image, _)| self.neighbour_demand.get(*image as usize).copied());
        demands.fold(1.0, f64::min)
    }

    /// Returns the pressure of the best-effort tasks of `executor` on a latency-critical image,
    /// which need not run on it yet.
    pub(super) fn pressure_on(&self, executor: &ExecutorState, victim: ImageId) -> f64 {
        self.loss_on(executor, victim, MinorLoss::Ignored).pressure(PEAK_TOLERABLE_LOSS)
    }

    fn loss_on(
        &self,
        executor: &ExecutorState,
        victim: ImageId,
        minor_loss: MinorLoss,
    ) -> SlackLoss {
        let part = |(image, cpu_millis): &(ImageId, u32)| {
            let share = executor.share_of(*cpu_millis);
            self.colocation.loss_with(minor_loss, self.now, victim, *image, share)
        };
        executor.best_effort_images.iter().map(part).fold(SlackLoss::default(), SlackLoss::plus)
    }
}
