//! Slack of serving tasks: the bound of their tail latency divided by the tail.
//!
//! Slack falls linearly with the load. The tasks of a job have the same load at a time, so that the
//! ones on calm executors tell what the slack of the others would be undisturbed.

use std::{collections::VecDeque, time::Duration};

use crate::ids::MonotonicTime;

/// Number of an executor that tells it from others.
pub type HostRank = u32;

/// Slack that a serving task has at the peaks of its load, undisturbed: on the users' sites the bound
/// is five times the tail without load, and the load reaches 0.675.
pub const PEAK_SLACK: f64 = 1.63;
/// Slack that is kept for the roughness of the reports.
const SLACK_RESERVE: f64 = 0.2;
/// Loss of slack that a service bears at the peaks of its load.
pub const PEAK_BEARABLE: f64 = PEAK_SLACK - 1.0 - SLACK_RESERVE;
/// Most by which the slack falls in a second as the load rises, with a swing of 14 s.
const SLACK_FALL: f64 = 0.5;
/// Slack up to which a serving task over its bound is relieved.
pub const RELIEVED_SLACK: f64 = 1.2;
/// Time for which a reported slack tells something of the load: it swings by a tenth meanwhile.
const SLACK_TIME: Duration = Duration::from_millis(300);
/// Executors from which on the slack of an undisturbed task is not taken from the best one.
const MANY_HOSTS: usize = 3;

/// Returns the loss of slack that a service bears until a time, from the undisturbed slack that it
/// had last and its age: its load may rise meanwhile, but not above its peak.
pub fn bearable_loss(slack: f64, age: Duration, ahead: Duration) -> f64 {
    let fallen = slack - SLACK_FALL * (age + ahead).as_secs_f64();
    fallen.max(PEAK_SLACK) - 1.0 - SLACK_RESERVE
}

/// Slacks of a job's serving tasks in the last moments.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlackWindow {
    samples: VecDeque<(MonotonicTime, HostRank, f64)>,
}

impl SlackWindow {
    /// Takes the slack of a task.
    pub fn push(&mut self, now: MonotonicTime, host: HostRank, slack: f64) {
        while self.samples.front().is_some_and(|(at, _, _)| now > *at + SLACK_TIME) {
            self.samples.pop_front();
        }
        self.samples.push_back((now, host, slack));
    }

    /// Returns the slack of an undisturbed task, if there are reports of several executors.
    pub fn undisturbed(&self) -> Option<f64> {
        let mut hosts: Vec<(HostRank, f64, f64)> = Vec::new();
        for (_, host, slack) in &self.samples {
            match hosts.iter_mut().find(|(known, _, _)| known == host) {
                Some((_, sum, count)) => {
                    *sum += slack;
                    *count += 1.0;
                }
                None => hosts.push((*host, *slack, 1.0)),
            }
        }
        let mut means: Vec<f64> = hosts.into_iter().map(|(_, sum, count)| sum / count).collect();
        means.sort_by(f64::total_cmp);
        match means.len() {
            0 | 1 => None,
            count if count < MANY_HOSTS => means.last().copied(),
            // The upper quartile: more than a quarter of the executors is calm.
            count => Some(means[(count * 3 - 1) / 4]),
        }
    }
}
