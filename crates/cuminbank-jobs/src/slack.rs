//! Slack of serving tasks: the bound of their tail latency divided by the tail.
//!
//! Slack falls linearly with the load. The tasks of a job have the same load at a time, so that the
//! ones on calm executors tell what the slack of the others would be undisturbed.

use std::time::Duration;

use crate::{colocation::SlackLoss, ids::MonotonicTime};

/// Slack that a serving task has at the peaks of its load, undisturbed: on the users' sites the bound
/// is five times the tail without load, and the load reaches 0.675.
pub const PEAK_SLACK: f64 = 1.63;
/// Slack that is kept for the roughness of the reports.
const SLACK_RESERVE: f64 = 0.2;
/// Loss of slack that a service bears at the peaks of its load.
pub const PEAK_TOLERABLE_LOSS: f64 = PEAK_SLACK - 1.0 - SLACK_RESERVE;
/// Most by which the slack falls in a second as the load rises, with a swing of 14 s.
const MAX_SLACK_DECLINE: f64 = 0.5;
/// Slack up to which a serving task over its bound is relieved.
pub const RELIEF_SLACK: f64 = 1.2;
/// Undisturbed slack of a job of which nothing is known, and its variance.
const UNKNOWN_SLACK: f64 = 2.5;
const UNKNOWN_VARIANCE: f64 = 1.0;
/// Standard deviation of a reported slack in parts of it, and the least variance of a report.
const REPORT_DEVIATION: f64 = 0.12;
const MIN_REPORT_VARIANCE: f64 = 0.01;
/// Time without a figure over the bound after which tasks count as within it: two windows of figures.
const VIOLATION_GAP: Duration = Duration::from_millis(900);
/// Growth of the variance of an estimate in a second, as the load swings.
const SLACK_DRIFT: f64 = 0.15;

/// Returns the loss of slack that a service bears until a time, from the undisturbed slack that it
/// had last and its age: its load may rise meanwhile, but not above its peak.
pub fn tolerable_loss(slack: f64, age: Duration, ahead: Duration) -> f64 {
    let fallen = slack - MAX_SLACK_DECLINE * (age + ahead).as_secs_f64();
    fallen.max(PEAK_SLACK) - 1.0 - SLACK_RESERVE
}

/// Slack that tasks of a job report on one executor, where they are disturbed alike.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlackReport {
    /// Mean of their slacks.
    pub slack: f64,
    /// Slack of the task that is worst off.
    pub least: f64,
    tasks: u32,
}

impl SlackReport {
    /// Adds the slack of a task.
    pub fn add(&mut self, slack: f64) {
        let tasks = f64::from(self.tasks);
        self.least = if self.tasks == 0 { slack } else { self.least.min(slack) };
        self.slack = (self.slack * tasks + slack) / (tasks + 1.0);
        self.tasks += 1;
    }

    /// Returns the variance of the mean: tails are rough figures.
    fn variance(&self) -> f64 {
        let deviation = self.slack * REPORT_DEVIATION;
        (deviation * deviation + MIN_REPORT_VARIANCE) / f64::from(self.tasks.max(1))
    }
}

/// Estimate of the slack that the tasks of a job would have undisturbed, which follows its load.
///
/// Each report is weighed by how well it tells: one beside little filling work says more than one beside
/// much, whose loss is only expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlackEstimate {
    mean: f64,
    variance: f64,
    at: MonotonicTime,
}

impl SlackEstimate {
    /// Creates the estimate of a job without reports.
    pub fn new() -> Self {
        Self { mean: UNKNOWN_SLACK, variance: UNKNOWN_VARIANCE, at: MonotonicTime::ZERO }
    }

    /// Takes a report and the loss that is expected to be in it.
    pub fn update(&mut self, now: MonotonicTime, report: &SlackReport, lost: SlackLoss) {
        let variance = self.variance_at(now);
        let gain = variance / (variance + lost.variance + report.variance());
        let mean = self.mean + gain * (report.slack + lost.mean - self.mean);
        // No load takes the slack below that of the peak.
        *self = Self { mean: mean.max(PEAK_SLACK), variance: variance * (1.0 - gain), at: now };
    }

    /// Returns the loss that others cause to the tasks of a report.
    pub fn loss_of(&self, now: MonotonicTime, report: &SlackReport) -> SlackLoss {
        let variance = self.variance_at(now) + report.variance();
        SlackLoss { mean: self.mean - report.slack, variance }
    }

    fn variance_at(&self, now: MonotonicTime) -> f64 {
        let drift = SLACK_DRIFT * now.saturating_sub(self.at).as_secs_f64();
        (self.variance + drift).min(UNKNOWN_VARIANCE)
    }
}

impl Default for SlackEstimate {
    fn default() -> Self {
        Self::new()
    }
}

/// For how long tasks have been over their bounds. Rough figures of a task that is just over its bound are
/// within it at times, so that only a while without any ends the time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ViolationTimer {
    /// First and last time of a figure over the bound.
    violation: Option<(MonotonicTime, MonotonicTime)>,
}

impl ViolationTimer {
    /// Takes whether a report shows a task over its bound; returns for how long that has gone on.
    pub fn update(&mut self, now: MonotonicTime, over: bool) -> Option<Duration> {
        self.violation = match (self.violation, over) {
            (Some((first, _)), true) => Some((first, now)),
            (None, true) => Some((now, now)),
            (violation, false) => violation.filter(|(_, last)| now < *last + VIOLATION_GAP),
        };
        self.violation.map(|(first, _)| now.saturating_sub(first))
    }

    /// Tells whether a task was over its bound by the last reports.
    pub fn is_violated(&self) -> bool {
        self.violation.is_some()
    }
}
