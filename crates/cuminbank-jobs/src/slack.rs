//! Slack of latency-critical tasks: the tail latency target divided by the measured tail latency.
//!
//! Undisturbed slack is the slack without interference from best-effort tasks. It falls linearly
//! with the load. All tasks of a job have the same load at any time, so the slack of those without
//! interference shows the undisturbed slack of the others.

use std::time::Duration;

use crate::{colocation::SlackLoss, ids::MonotonicTime};

/// Slack of a latency-critical task at peak load without interference. At the users' sites the
/// target is five times the tail latency without load, and the load peaks at 0.675.
pub const PEAK_SLACK: f64 = 1.63;
/// Slack kept in reserve, because reports are imprecise.
const SLACK_RESERVE: f64 = 0.2;
/// Loss of slack that a latency-critical task tolerates at peak load.
pub const PEAK_TOLERABLE_LOSS: f64 = PEAK_SLACK - 1.0 - SLACK_RESERVE;
/// Fastest decline of the slack per second as the load rises. The load has a period of 14 s.
const MAX_SLACK_DECLINE: f64 = 0.5;
/// Slack that the eviction of best-effort tasks is meant to restore after a latency-critical task
/// has missed its target.
pub const RELIEF_SLACK: f64 = 1.2;
/// Undisturbed slack, and its variance, of a job without reports.
const INITIAL_SLACK: f64 = 2.5;
const INITIAL_VARIANCE: f64 = 1.0;
/// Standard deviation of a reported slack as a fraction of the slack, and the minimum variance of a
/// report.
const REPORT_DEVIATION: f64 = 0.12;
const MIN_REPORT_VARIANCE: f64 = 0.01;
/// Time without a report over the target after which a violation ends. Spans two reporting windows.
const VIOLATION_GAP: Duration = Duration::from_millis(900);
/// Increase of an estimate's variance per second, because the load varies.
const SLACK_DRIFT: f64 = 0.15;

/// Returns the loss of slack that a latency-critical task tolerates for the time `ahead`, given its
/// last undisturbed slack and the age of that value. Its load may rise meanwhile, but not above its
/// peak.
pub fn tolerable_loss(slack: f64, age: Duration, ahead: Duration) -> f64 {
    let lowest = slack - MAX_SLACK_DECLINE * (age + ahead).as_secs_f64();
    lowest_tolerable_loss(lowest)
}

/// Returns the loss of slack that a latency-critical task tolerates at the lowest slack that its load
/// leaves.
pub fn lowest_tolerable_loss(lowest: f64) -> f64 {
    lowest.max(PEAK_SLACK) - 1.0 - SLACK_RESERVE
}

/// Slack of a job's tasks on one executor, all of which suffer the same interference.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlackReport {
    /// Mean slack of the tasks.
    pub slack: f64,
    /// Lowest slack of any task.
    pub min_slack: f64,
    tasks: u32,
}

impl SlackReport {
    /// Adds the slack of one task.
    pub fn add(&mut self, slack: f64) {
        let tasks = f64::from(self.tasks);
        self.min_slack = if self.tasks == 0 { slack } else { self.min_slack.min(slack) };
        self.slack = (self.slack * tasks + slack) / (tasks + 1.0);
        self.tasks += 1;
    }

    /// Returns the variance of the mean. Measured tail latencies are imprecise.
    fn variance(&self) -> f64 {
        let deviation = self.slack * REPORT_DEVIATION;
        (deviation * deviation + MIN_REPORT_VARIANCE) / f64::from(self.tasks.max(1))
    }
}

/// Estimate of the undisturbed slack of a job's tasks, which changes with the job's load.
///
/// Reports are weighted by their certainty: a report from an executor with little best-effort work
/// counts more than one from an executor with much, whose loss is only estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlackEstimate {
    mean: f64,
    variance: f64,
    at: MonotonicTime,
}

impl SlackEstimate {
    /// Creates the initial estimate, for a job without reports.
    pub fn new() -> Self {
        Self { mean: INITIAL_SLACK, variance: INITIAL_VARIANCE, at: MonotonicTime::ZERO }
    }

    /// Updates the estimate with a report. `lost` is the loss that colocated tasks are expected to
    /// have caused in it.
    pub fn update(&mut self, now: MonotonicTime, report: &SlackReport, lost: SlackLoss) {
        let variance = self.variance_at(now);
        let gain = variance / (variance + lost.variance + report.variance());
        let mean = self.mean + gain * (report.slack + lost.mean - self.mean);
        // Load alone never reduces the slack below that at peak load.
        *self = Self { mean: mean.max(PEAK_SLACK), variance: variance * (1.0 - gain), at: now };
    }

    /// Returns the undisturbed slack.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the loss of slack that colocated tasks caused in a report.
    pub fn loss_of(&self, now: MonotonicTime, report: &SlackReport) -> SlackLoss {
        let variance = self.variance_at(now) + report.variance();
        SlackLoss { mean: self.mean - report.slack, variance }
    }

    fn variance_at(&self, now: MonotonicTime) -> f64 {
        let drift = SLACK_DRIFT * now.saturating_sub(self.at).as_secs_f64();
        (self.variance + drift).min(INITIAL_VARIANCE)
    }
}

impl Default for SlackEstimate {
    fn default() -> Self {
        Self::new()
    }
}

/// Measures how long tasks have missed their tail latency target. A task slightly over its target
/// is sometimes reported within it, so a violation only ends after a period without any report over
/// the target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ViolationTimer {
    /// Times of the first and the last report over the target.
    violation: Option<(MonotonicTime, MonotonicTime)>,
}

impl ViolationTimer {
    /// Records whether the tail latency in a report is over the target. Returns how long the
    /// violation has lasted, or `None` if there is none.
    pub fn update(&mut self, now: MonotonicTime, over: bool) -> Option<Duration> {
        self.violation = match (self.violation, over) {
            (Some((first, _)), true) => Some((first, now)),
            (None, true) => Some((now, now)),
            (violation, false) => violation.filter(|(_, last)| now < *last + VIOLATION_GAP),
        };
        self.violation.map(|(first, _)| now.saturating_sub(first))
    }

    /// Returns whether a violation was in progress at the last update, even if the last report was
    /// within the target.
    pub fn is_violated(&self) -> bool {
        self.violation.is_some()
    }
}
