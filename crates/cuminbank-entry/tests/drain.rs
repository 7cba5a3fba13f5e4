//! Test of a planned stop of an entry instance under load.

mod support;

use std::time::Duration;

use nix::sys::signal::Signal;

use support::{callers::CallLoad, wait_for, Deployment};

/// Time after the departure of an instance is visible within which executors may still receive new
/// work from it (I7).
const NEW_WORK_LIMIT: Duration = Duration::from_secs(3);
const GROUPS: usize = 2;

/// Guards against a planned stop that aborts requests in progress, keeps dispatching to executors,
/// leaves its groups without an owner, or exits with an error.
#[test]
fn planned_stop_under_load_cuts_off_nothing_and_hands_its_groups_over() {
    let mut deployment = Deployment::start(2, 2, GROUPS as u16);
    let addresses = [deployment.entries[0].http, deployment.entries[1].http];
    let load = CallLoad::start("load", 20, &addresses, 60);
    wait_for("calls are served", || load.done() > 100);
    let leaving = deployment.owner();
    let owned: Vec<_> = (0..GROUPS)
        .filter_map(|group| Some((group, deployment.entries[leaving].owns(group)?)))
        .collect();
    assert!(!owned.is_empty(), "instance {leaving} owns no group");
    let drain_started_ms = deployment.platform.executor_clock();
    deployment.entries[leaving].signal(Signal::SIGTERM);
    let status = deployment.entries[leaving].wait();
    assert_eq!(status.code(), Some(0), "{status}");
    let peer = &deployment.entries[1 - leaving];
    wait_for("the peer owns every group", || (0..GROUPS).all(|group| peer.owns(group).is_some()));
    let before = load.done();
    wait_for("the peer serves", || load.done() > before + 100);
    let ends = load.finish();
    let cut_off: Vec<_> = ends.iter().filter(|end| end.is_cut_off()).collect();
    assert!(cut_off.is_empty(), "requests cut off: {cut_off:?}");
    let late: Vec<_> = deployment
        .platform
        .calls()
        .into_iter()
        .filter(|call| call.start_ms > drain_started_ms + NEW_WORK_LIMIT.as_millis() as u64)
        .filter(|call| {
            owned
                .iter()
                .any(|(group, epoch)| call.call.starts_with(&format!("dublin-{group}-{epoch}-")))
        })
        .collect();
    assert!(
        late.is_empty(),
        "work received later than {NEW_WORK_LIMIT:?} after the drain began: {late:?}"
    );
    deployment.platform.assert_history();
}
