//! Slack of serving tasks.

use std::time::Duration;

use cuminbank_jobs::slack::{bearable_loss, SlackWindow, PEAK_BEARABLE, PEAK_SLACK};

// Guards against work that waits for the peak of a service's load to pass though it will have ended
// before the peak comes, and against work that is still there when it has come.
#[test]
fn service_bears_more_before_its_peak_comes() {
    let (none, short, long) = (Duration::ZERO, Duration::from_secs(1), Duration::from_secs(9));
    assert!(bearable_loss(3.8, none, short) > 3.0 * PEAK_BEARABLE);
    assert!((bearable_loss(3.8, none, long) - PEAK_BEARABLE).abs() < 1e-9);
    // What was reported a while ago counts as if the load had risen since.
    assert!(bearable_loss(3.8, short, short) < bearable_loss(3.8, none, short));
    assert!((bearable_loss(PEAK_SLACK, none, none) - PEAK_BEARABLE).abs() < 1e-9);
}

// Guards against a peak of the load that is put down to the tasks beside the service.
#[test]
fn undisturbed_slack_is_that_of_calm_executors() {
    let now = Duration::from_secs(1);
    let mut window = SlackWindow::default();
    window.push(now, 0, 1.9);
    assert_eq!(window.undisturbed(), None);
    window.push(now, 1, 0.8);
    assert_eq!(window.undisturbed(), Some(1.9));
    window.push(now, 2, 2.0);
    window.push(now, 3, 1.8);
    assert_eq!(window.undisturbed(), Some(1.9));
    // What was reported a while ago tells nothing of the load now.
    window.push(now + Duration::from_secs(1), 1, 3.0);
    assert_eq!(window.undisturbed(), None);
}
