//! Slack of serving tasks.

use std::time::Duration;

use cuminbank_jobs::{
    colocation::SlackLoss,
    slack::{
        tolerable_loss, SlackEstimate, SlackReport, ViolationTimer, PEAK_SLACK, PEAK_TOLERABLE_LOSS,
    },
};

// Guards against work that waits for the peak of a service's load to pass though it will have ended
// before the peak comes, and against work that is still there when it has come.
#[test]
fn service_tolerates_more_before_its_peak() {
    let (none, short, long) = (Duration::ZERO, Duration::from_secs(1), Duration::from_secs(9));
    assert!(tolerable_loss(3.8, none, short) > 3.0 * PEAK_TOLERABLE_LOSS);
    assert!((tolerable_loss(3.8, none, long) - PEAK_TOLERABLE_LOSS).abs() < 1e-9);
    // What was reported a while ago counts as if the load had risen since.
    assert!(tolerable_loss(3.8, short, short) < tolerable_loss(3.8, none, short));
    assert!((tolerable_loss(PEAK_SLACK, none, none) - PEAK_TOLERABLE_LOSS).abs() < 1e-9);
}

/// Loss of slack that is known exactly.
fn known_loss(mean: f64) -> SlackLoss {
    SlackLoss { mean, variance: 0.0 }
}

/// Returns the report of one task.
fn report(slack: f64) -> SlackReport {
    let mut report = SlackReport::default();
    report.add(slack);
    report
}

/// Returns the estimate after reports of tasks that lose as much slack as is expected.
fn estimate(reports: &[(f64, SlackLoss)]) -> SlackEstimate {
    let mut estimate = SlackEstimate::new();
    for (slack, lost) in reports {
        estimate.update(Duration::from_secs(1), &report(*slack), *lost);
    }
    estimate
}

// Guards against a peak of the load that is put down to the tasks beside the service.
#[test]
fn undisturbed_slack_follows_undisturbed_executors() {
    let calm = known_loss(0.0);
    let estimate = estimate(&[(1.9, calm), (2.0, calm), (1.8, calm), (1.9, calm)]);
    let now = Duration::from_secs(1);
    assert!(estimate.loss_of(now, &report(1.9)).mean.abs() < 0.1, "{estimate:?}");
    assert!((estimate.loss_of(now, &report(0.8)).mean - 1.1).abs() < 0.1, "{estimate:?}");
    // What was reported a while ago tells less of the load now.
    let later = now + Duration::from_secs(4);
    assert!(
        estimate.loss_of(later, &report(1.9)).variance
            > 3.0 * estimate.loss_of(now, &report(1.9)).variance
    );
}

// Guards against a service that is taken to have little slack, so that nobody is blamed, once filling
// tasks run on every executor beside it: the reports of all of them show a loss.
#[test]
fn slack_is_estimated_when_all_executors_are_disturbed() {
    let lost = SlackLoss { mean: 1.5, variance: 0.3 };
    let estimate = estimate(&[(2.0, lost), (2.1, lost), (1.9, lost), (2.0, lost), (2.0, lost)]);
    let loss = estimate.loss_of(Duration::from_secs(1), &report(2.0)).mean;
    assert!((loss - 1.5).abs() < 0.25, "{loss}");
}

// Guards against a rough guess at the loss on a crowded executor that outweighs calm ones.
#[test]
fn undisturbed_executors_weigh_more() {
    let guessed = SlackLoss { mean: 3.0, variance: 2.0 };
    let estimate =
        estimate(&[(2.0, known_loss(0.0)), (2.0, known_loss(0.0)), (1.0, guessed), (1.0, guessed)]);
    let calm = estimate.loss_of(Duration::from_secs(1), &report(2.0)).mean;
    assert!(calm.abs() < 0.25, "{calm}");
}

// Guards against a loss that all executors share and that is taken for the load: no load takes the slack
// below that of its peak.
#[test]
fn slack_of_the_peak_is_the_least() {
    let estimate = estimate(&[(0.6, known_loss(0.0)); 10]);
    let loss = estimate.loss_of(Duration::from_secs(1), &report(0.6)).mean;
    assert!((loss - (PEAK_SLACK - 0.6)).abs() < 1e-9, "{loss}");
}

// Guards against one rough figure that counts as a bound passed: tasks of a job on one executor are
// disturbed alike, and their figures differ by an eighth.
#[test]
fn reports_of_a_job_are_averaged() {
    let mut together = SlackReport::default();
    for slack in [1.3, 0.95, 1.2, 1.15] {
        together.add(slack);
    }
    assert!((together.slack - 1.15).abs() < 1e-9, "{together:?}");
    let now = Duration::from_secs(1);
    let estimate = SlackEstimate::new();
    let rough = estimate.loss_of(now, &report(1.15)).variance;
    assert!(estimate.loss_of(now, &together).variance < rough);
}

// Guards against harm to a service that is just over its bound: a single figure within the bound once
// counted as the end of the time over it, and what pressed on the service stayed for 4.5 s.
#[test]
fn single_report_within_target_does_not_end_violation() {
    let mut timer = ViolationTimer::default();
    let at = |part: u32| Duration::from_secs(10) + Duration::from_millis(500) * part;
    assert_eq!(timer.update(at(0), false), None);
    assert_eq!(timer.update(at(1), true), Some(Duration::ZERO));
    assert_eq!(timer.update(at(2), false), Some(Duration::from_millis(500)));
    assert_eq!(timer.update(at(3), true), Some(Duration::from_millis(1_000)));
    assert_eq!(timer.update(at(4), false), Some(Duration::from_millis(1_500)));
    // Two in a row do.
    assert_eq!(timer.update(at(5), false), None);
    assert_eq!(timer.update(at(6), true), Some(Duration::ZERO));
}
