//! Tests of the slack of latency-critical tasks.

use std::time::Duration;

use cuminbank_jobs::{
    colocation::SlackLoss,
    slack::{
        tolerable_loss, SlackEstimate, SlackReport, ViolationTimer, PEAK_SLACK, PEAK_TOLERABLE_LOSS,
    },
};

// Guards against delaying best-effort work until the load peak of a service has passed although the
// work would end before the peak, and against work that still runs at the peak.
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

// Guards against attributing the effect of a load peak to best-effort tasks.
#[test]
fn slack_without_interference_follows_executors_without_it() {
    let no_loss = known_loss(0.0);
    let estimate = estimate(&[(1.9, no_loss), (2.0, no_loss), (1.8, no_loss), (1.9, no_loss)]);
    let now = Duration::from_secs(1);
    assert!(estimate.loss_of(now, &report(1.9)).mean.abs() < 0.1, "{estimate:?}");
    assert!((estimate.loss_of(now, &report(0.8)).mean - 1.1).abs() < 0.1, "{estimate:?}");
    // The estimate becomes less certain as its last report gets older.
    let later = now + Duration::from_secs(4);
    assert!(
        estimate.loss_of(later, &report(1.9)).variance
            > 3.0 * estimate.loss_of(now, &report(1.9)).variance
    );
}

// Guards against underestimating the slack, and attributing no loss to best-effort tasks, when they
// run next to the service on every executor, so that all reports include a loss.
#[test]
fn slack_is_estimated_with_interference_on_all_executors() {
    let lost = SlackLoss { mean: 1.5, variance: 0.3 };
    let estimate = estimate(&[(2.0, lost), (2.1, lost), (1.9, lost), (2.0, lost), (2.0, lost)]);
    let loss = estimate.loss_of(Duration::from_secs(1), &report(2.0)).mean;
    assert!((loss - 1.5).abs() < 0.25, "{loss}");
}

// Guards against reports with an uncertain loss outweighing those without interference.
#[test]
fn reports_without_interference_weigh_more() {
    let uncertain = SlackLoss { mean: 3.0, variance: 2.0 };
    let estimate = estimate(&[
        (2.0, known_loss(0.0)),
        (2.0, known_loss(0.0)),
        (1.0, uncertain),
        (1.0, uncertain),
    ]);
    let loss = estimate.loss_of(Duration::from_secs(1), &report(2.0)).mean;
    assert!(loss.abs() < 0.25, "{loss}");
}

// Guards against attributing a loss that occurs on all executors to load. Load alone never reduces
// the slack below that at peak load.
#[test]
fn estimated_slack_is_at_least_that_at_peak_load() {
    let estimate = estimate(&[(0.6, known_loss(0.0)); 10]);
    let loss = estimate.loss_of(Duration::from_secs(1), &report(0.6)).mean;
    assert!((loss - (PEAK_SLACK - 0.6)).abs() < 1e-9, "{loss}");
}

// Guards against treating one imprecise report as a violation. Tasks of a job on one executor
// suffer the same interference, but their reports differ by an eighth.
#[test]
fn reports_of_a_job_are_averaged() {
    let mut combined = SlackReport::default();
    for slack in [1.3, 0.95, 1.2, 1.15] {
        combined.add(slack);
    }
    assert!((combined.slack - 1.15).abs() < 1e-9, "{combined:?}");
    let now = Duration::from_secs(1);
    let estimate = SlackEstimate::new();
    let single_variance = estimate.loss_of(now, &report(1.15)).variance;
    assert!(estimate.loss_of(now, &combined).variance < single_variance);
}

// Guards against a long violation by a latency-critical task whose tail latency is slightly over
// its target. A single report within the target once ended the violation, and the interfering tasks
// were not evicted for 4.5 s.
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
