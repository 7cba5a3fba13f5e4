//! Expected run times, from the estimates of the clients and the error of earlier estimates.

use std::{collections::HashMap, time::Duration};

use crate::ids::QueueName;

/// Number of queues for which the error is learned. Others use the estimates as they are.
const MAX_QUEUES: usize = 256;
/// Weight of the latest run in the moving averages.
const RUN_WEIGHT: f64 = 0.05;
/// Limits of the run time divided by its estimate. A run that hangs must not spoil the average.
const RATIO_RANGE: (f64, f64) = (0.05, 10.0);
/// Mean error of an estimate, relative to it, before any run of a queue has ended.
const PRIOR_ERROR: f64 = 0.2;
/// Number of mean errors by which a run time is expected to stay below the longest one. Two mean
/// errors include about nine of ten runs.
const SAFETY_ERRORS: f64 = 2.0;
/// Longest expected run time.
const MAX_LENGTH: Duration = Duration::from_secs(1_000_000);

/// Expected run time of a task that ends by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskLength {
    /// Mean run time.
    pub mean: Duration,
    /// Run time that few tasks exceed.
    pub longest: Duration,
}

/// Run time divided by its estimate, for the tasks of a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EstimateError {
    ratio: f64,
    /// Mean distance from the ratio.
    deviation: f64,
}

impl Default for EstimateError {
    fn default() -> Self {
        Self { ratio: 1.0, deviation: PRIOR_ERROR }
    }
}

/// Learned errors of the estimated run times, by queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunLengths {
    errors: HashMap<QueueName, EstimateError>,
}

impl RunLengths {
    /// Records the run time of a task that has completed. A task without an estimate tells nothing
    /// about the error of others and is left out.
    pub fn record(&mut self, queue: &QueueName, estimate: Duration, ran: Duration) {
        if estimate.is_zero() {
            return;
        }
        if !self.errors.contains_key(queue) {
            if self.errors.len() >= MAX_QUEUES {
                return;
            }
            self.errors.insert(queue.clone(), EstimateError::default());
        }
        let Some(error) = self.errors.get_mut(queue) else { return };
        let (lowest, highest) = RATIO_RANGE;
        let ratio = ran.as_secs_f64() / estimate.as_secs_f64();
        let ratio = ratio.clamp(lowest, highest);
        error.deviation += ((ratio - error.ratio).abs() - error.deviation) * RUN_WEIGHT;
        error.ratio += (ratio - error.ratio) * RUN_WEIGHT;
    }

    /// Returns the expected run time of a task of a queue.
    pub fn expected(&self, queue: &QueueName, estimate: Duration) -> TaskLength {
        let error = self.errors.get(queue).copied().unwrap_or_default();
        let estimate = estimate.min(MAX_LENGTH);
        TaskLength {
            mean: estimate.mul_f64(error.ratio),
            longest: estimate.mul_f64(error.ratio + error.deviation * SAFETY_ERRORS),
        }
    }
}
