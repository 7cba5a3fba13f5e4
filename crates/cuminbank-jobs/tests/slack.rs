//! Tests of the slack of latency-critical tasks.

use std::time::Duration;

use cuminbank_jobs::{
    colocation::SlackLoss,
    slack::{
        tolerable_loss, SlackEstimate, SlackReport, ViolationTimer, PEAK_SLACK, PEAK_TOLERABLE_LOSS,
    },
};

// Guards against work waiting for a service's load peak to pass although it will end before the
// peak, and against work that is still running when the peak comes.
#[test]
fn service_tolerates_more_before_its_peak() {
    let (none, short, long) = (Duration::ZERO, Duration::from_secs(1), Duration::from_secs(9));
    assert!(tolerable_loss(3.8, none, short) > 3.0 * PEAK_TOLERABLE_LOSS);
    assert!((tolerable_loss(3.8, none, long) - PEAK_TOLERABLE_LOSS).abs() < 1e-9);
    // For an older report the load is assumed to have risen since.
    assert!(tolerable_loss(3.8, short, short) < tolerable_loss(3.8, none, short));
    assert!((tolerable_loss(PEAK_SLACK, none, none) - PEAK_TOLERABLE_LOSS).abs() < 1e-9);
}

/// Returns a loss of slack that is known exactly.
fn known_loss(mean: f64) -> SlackLoss {
    SlackLoss { mean, variance: 0.0 }
}

/// Returns the report of a single task.
fn report(slack: f64) -> SlackReport {
    let mut report = SlackReport::default();
    report.add(slack);
    report
}

/// Returns an estimate updated with reports, each with its expected loss.
fn estimate(reports: &[(f64, SlackLoss)]) -> SlackEstimate {
    let mut estimate = SlackEstimate::new();
    for (slack, lost) in reports {
        estimate.update(Duration::from_secs(1), &report(*slack), *lost);
    }
    estimate
}

// Guards against attributing a load peak to the tasks next to the service.
#[test]
fn undisturbed_slack_follows_undisturbed_executors() {
    let calm = known_loss(0.0);
    let estimate = estimate(&[(1.9, calm), (2.0, calm), (1.8, calm), (1.9, calm)]);
    let now = Duration::from_secs(1);
    assert!(estimate.loss_of(now, &report(1.9)).mean.abs() < 0.1, "{estimate:?}");
    assert!((estimate.loss_of(now, &report(0.8)).mean - 1.1).abs() < 0.1, "{estimate:?}");
    // An older report says less about the current load.
    let later = now + Duration::from_secs(4);
    assert!(
        estimate.loss_of(later, &report(1.9)).variance
            > 3.0 * estimate.loss_of(now, &report(1.9)).variance
    );
}

// Guards against assuming little slack, and blaming no task, when best-effort tasks run next to the
// service on every executor. All reports then show a loss.
#[test]
fn slack_is_estimated_when_all_executors_are_disturbed() {
    let lost = SlackLoss { mean: 1.5, variance: 0.3 };
    let estimate = estimate(&[(2.0, lost), (2.1, lost), (1.9, lost), (2.0, lost), (2.0, lost)]);
    let loss = estimate.loss_of(Duration::from_secs(1), &report(2.0)).mean;
    assert!((loss - 1.5).abs() < 0.25, "{loss}");
}

// Guards against an uncertain loss on a crowded executor outweighing undisturbed executors.
#[test]
fn undisturbed_executors_weigh_more() {
    let guessed = SlackLoss { mean: 3.0, variance: 2.0 };
    let estimate =
        estimate(&[(2.0, known_loss(0.0)), (2.0, known_loss(0.0)), (1.0, guessed), (1.0, guessed)]);
    let calm = estimate.loss_of(Duration::from_secs(1), &report(2.0)).mean;
    assert!(calm.abs() < 0.25, "{calm}");
}

// Guards against taking a loss shared by all executors for load. The load never takes the slack
// below that at peak load.
#[test]
fn slack_of_the_peak_is_the_least() {
    let estimate = estimate(&[(0.6, known_loss(0.0)); 10]);
    let loss = estimate.loss_of(Duration::from_secs(1), &report(0.6)).mean;
    assert!((loss - (PEAK_SLACK - 0.6)).abs() < 1e-9, "{loss}");
}

// Guards against treating one imprecise report as a violation. Tasks of a job on one executor are
// disturbed equally, and their reports differ by an eighth.
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

// Guards against prolonged violations of a service slightly over its target. A single report within
// the target once ended the violation, and the disturbing tasks stayed for 4.5 s.
#[test]
fn single_report_within_target_does_not_end_violation() {
    let mut timer = ViolationTimer::default();
    let at = |part: u32| Duration::from_secs(10) + Duration::from_millis(500) * part;
    assert_eq!(timer.update(at(0), false), None);
    assert_eq!(timer.update(at(1), true), Some(Duration::ZERO));
    assert_eq!(timer.update(at(2), false), Some(Duration::from_millis(500)));
    assert_eq!(timer.update(at(3), true), Some(Duration::from_millis(1_000)));
    assert_eq!(timer.update(at(4), false), Some(Duration::from_millis(1_500)));
    // Two reports within the target in a row end the violation.
    assert_eq!(timer.update(at(5), false), None);
    assert_eq!(timer.update(at(6), true), Some(Duration::ZERO));
}
