//! Tests of platform faults: a store outage and an executor that stops responding.

mod support;

use std::time::{Duration, Instant};

use cuminbank::ownership::LEASE_TTL;
use cuminbank_standins::worker::ExecutionEnd;
use serde_json::json;

use support::{
    callers::{self, FinishedCall},
    http::get,
    set_mode, wait_for, Deployment,
};

/// Run time of a batch task in milliseconds.
const RUN_MS: u64 = 300;

fn submit_all(deployment: &Deployment, tickets: &[String]) -> Vec<FinishedCall> {
    let entry = |index: usize| deployment.entries[index % deployment.entries.len()].http;
    let submit = |(index, ticket): (usize, &String)| callers::submit(entry(index), ticket, RUN_MS);
    tickets.iter().enumerate().map(submit).collect()
}

fn has_finished(deployment: &Deployment, ticket: &str) -> bool {
    let path = format!("/v1/tasks/{ticket}");
    let answer = get(deployment.entries[0].http, &path);
    answer.is_ok_and(|answer| answer.body["state"].as_str() == Some("finished"))
}

fn finished_runs(deployment: &Deployment, ticket: &str) -> usize {
    let tasks = deployment.platform.tasks();
    let ended = Some(ExecutionEnd::Finished);
    tasks.iter().filter(|task| task.task == ticket && task.end == ended).count()
}

/// Guards against urgent calls that depend on the store, against a batch task that is accepted or
/// refused without a committed write to the store, and against one that is lost or runs twice.
#[test]
fn store_outage_stops_no_call_and_loses_no_task() {
    let deployment = Deployment::start(2, 2, 1);
    let tickets = callers::tickets(deployment.entries[0].http, 30);
    let (before, rest) = tickets.split_at(10);
    let (during, after) = rest.split_at(10);
    for end in submit_all(&deployment, before) {
        assert_eq!(end.outcome(), "accepted", "{end:?}");
    }
    set_mode(deployment.platform.store, json!({ "mode": "down" }));
    let started = Instant::now();
    let mut outage_submissions = submit_all(&deployment, during);
    // Twice the lease time: all leases and promises that need the store have expired by then.
    let mut calls = 0;
    while started.elapsed() < 2 * LEASE_TTL {
        let entry = &deployment.entries[calls % 2];
        let end = callers::plan(entry.http, &format!("outage-{calls}"), 10);
        assert!(end.is_done(), "{end:?}");
        calls += 1;
    }
    outage_submissions.extend(submit_all(&deployment, during));
    for end in &outage_submissions {
        assert!(["not_run", "unknown"].contains(&end.outcome()), "{end:?}");
    }
    set_mode(deployment.platform.store, json!({ "mode": "normal" }));
    wait_for("tasks are accepted", || {
        let fresh = callers::tickets(deployment.entries[0].http, 1);
        submit_all(&deployment, &fresh)[0].outcome() == "accepted"
    });
    for end in submit_all(&deployment, after) {
        assert_eq!(end.outcome(), "accepted", "{end:?}");
    }
    for ticket in before.iter().chain(after) {
        wait_for("accepted tasks finish", || has_finished(&deployment, ticket));
        assert_eq!(finished_runs(&deployment, ticket), 1, "{ticket}");
    }
    for ticket in during {
        let refused =
            outage_submissions.iter().any(|end| end.key == *ticket && end.outcome() == "not_run");
        let runs = finished_runs(&deployment, ticket);
        assert!(runs <= usize::from(!refused), "{ticket} ran {runs} times, refused: {refused}");
    }
    deployment.platform.assert_history();
}

/// Guards against callers that wait on connections to an executor that no longer responds, and
/// against an executor that stays unused although new connections to it work.
#[test]
fn silent_executor_gives_outcomes_within_the_bound_and_serves_on_new_connections() {
    /// Limit for the detection: 5 s (section 3.10 of the design), and 3 s for a busy machine.
    const DETECTION_LIMIT: Duration = Duration::from_secs(5 + 3);
    let deployment = Deployment::start(1, 1, 1);
    let entry = deployment.entries[0].http;
    let executor = deployment.platform.executors[0];
    let book = |ticket: String| std::thread::spawn(move || callers::book(entry, &ticket, 1_000));
    let waiting: Vec<_> = callers::tickets(entry, 6).into_iter().map(book).collect();
    wait_for("the calls run", || deployment.platform.executor_counter("running") == 6);
    set_mode(executor, json!({ "mode": "silent" }));
    let silent_since = Instant::now();
    let ends: Vec<_> = waiting
        .into_iter()
        .map(|call| call.join().expect("the calling thread does not panic"))
        .collect();
    assert!(
        silent_since.elapsed() < DETECTION_LIMIT,
        "outcomes after {:?}",
        silent_since.elapsed()
    );
    for end in ends {
        assert_eq!(end.outcome(), "unknown", "{end:?}");
    }
    wait_for("new work is served", || callers::plan(entry, "new", 1).is_done());
    for ticket in callers::tickets(entry, 8) {
        let end = callers::book(entry, &ticket, 1);
        assert!(end.is_done(), "{end:?}");
    }
    deployment.platform.assert_history();
}
