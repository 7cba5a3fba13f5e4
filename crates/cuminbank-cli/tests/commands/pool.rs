//! Tests of the commands `pool`, `job` and `explain` against job daemon instances in the test
//! process.

use cuminbank_cli::exit::ExitStatus;
use cuminbank_net::{
    runtime,
    server::{ServerAction, ServerRequest},
};
use serde_json::{json, Value};

use super::common::{json_answer, run_line, start_server};

const JOB: &str = "5c0e7a21d94b36f8";
/// Address without a listener.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";

/// Starts a server that answers like an instance of the job daemon; returns its address.
///
/// `owns` makes it the owner of cell 0, and its one decision is made at `at_ms`.
fn start_instance(name: &'static str, owns: bool, at_ms: u64) -> String {
    let address = start_server(move |request: ServerRequest| -> ServerAction {
        let cell = json!({ "cell": 0, "owner": "i0", "epoch": 4, "owned_here": owns, "tally": {
            "known": 66, "usable": 60, "draining": 2, "evacuated": 22, "silent": 1, "shunned": 3, "unsettled": 0,
            "runs": 140, "waiting_jobs": 5 } });
        let body: Value = match request.path.as_str() {
            "/v1/status" => json!({ "instance": name, "ready": true, "config_version": 7,
                "store_silent_ms": 12, "build": "0.1.0+abc",
                "formats": { "oldest": 1, "newest": 2, "written": 1, "pool": 1,
                    "floor": if owns { 1 } else { 2 },
                    "held_by": if owns { vec!["i7"] } else { vec![] } }, "evacuated_zones": if owns { vec!["b"] } else { vec![] },
                "cells": [cell] }),
            "/v1/jobs/5c0e7a21d94b36f8" => json!({ "job": JOB, "phase": "running", "cell": cell,
                "detail": { "queue": "batch-plan", "age_ms": 900, "left_ms": 300,
                    "tasks": { "blocked": 2, "ready": 3, "active": 1, "done": 4 },
                    "executors": ["i-7"], "waits_for": "room" } }),
            "/v1/jobs/5c0e7a21d94b36f8/decisions" => json!({ "job": JOB, "decisions": [
                { "at_ms": at_ms, "instance": name, "event": "EV0711", "summary": "Started.",
                  "detail": "task=1" }] }),
            "/v1/jobs/00000000000000ff" => json!({ "phase": "missing" }),
            path => panic!("unexpected request to instance {name}: {path}"),
        };
        json_answer(200, &body)
    });
    address.to_string()
}

// Guards against different states of a job depending on the instance that is queried: every
// instance has to pass on the answer of the job's owner.
#[test]
fn job_is_the_same_through_every_instance() {
    runtime::run(async {
        let (first, second) = (start_instance("i0", true, 1), start_instance("i1", false, 2));
        let show_job =
            |address: String| async move { run_line(&["--operator", &address, "job", JOB]).await };
        let (through_first, through_second) = (show_job(first).await, show_job(second).await);
        assert_eq!(through_first.status, ExitStatus::Done);
        assert_eq!(through_first.text.replace("owned_here", ""), through_second.text);
        for part in ["running", "batch-plan", "4 done, 1 running, 3 ready, 2 blocked", "room"] {
            assert!(
                through_first.text.contains(part),
                "{part} is missing in:\n{}",
                through_first.text
            );
        }
    });
}

// Guards against decisions that are missing unnoticed: those of all instances are listed in order
// of time, and an instance that does not answer is named.
#[test]
fn explain_merges_decisions_and_names_missing_instances() {
    runtime::run(async {
        let (late, early) = (start_instance("i0", true, 500), start_instance("i1", false, 100));
        let line = ["--operator", &late, "--operator", &early, "explain", JOB];
        let outcome = run_line(&line).await;
        assert_eq!(outcome.status, ExitStatus::Done);
        let places = (outcome.text.find("i1"), outcome.text.find("i0"));
        assert!(places.0 < places.1, "{}", outcome.text);
        let line = ["--operator", &late, "--operator", UNREACHABLE_ADDRESS, "explain", JOB];
        let outcome = run_line(&line).await;
        assert_eq!(outcome.status, ExitStatus::Unreachable);
        assert!(
            outcome.text.contains("i0") && outcome.text.contains("are missing here"),
            "{}",
            outcome.text
        );
    });
}

// Guards against cells, instances or evacuated zones that are missing from the table, also if only
// some instances know of the evacuation.
#[test]
fn pool_shows_owners_executors_and_instances() {
    runtime::run(async {
        let (first, second) = (start_instance("i0", true, 1), start_instance("i1", false, 2));
        let outcome = run_line(&["--operator", &first, "--operator", &second, "pool"]).await;
        assert_eq!(outcome.status, ExitStatus::Done);
        let rows: Vec<&str> = outcome.text.lines().collect();
        assert_eq!(rows.iter().filter(|row| row.contains("true")).count(), 2, "{}", outcome.text);
        assert!(outcome.text.contains("66") && outcome.text.contains("140"), "{}", outcome.text);
        let zones = "zones under evacuation: b (known to 1 of 2 instances)";
        assert!(outcome.text.contains(zones) && outcome.text.contains("22"), "{}", outcome.text);
        let down = run_line(&["--operator", UNREACHABLE_ADDRESS, "pool"]).await;
        assert_eq!(down.status, ExitStatus::Unreachable);
    });
}

// Guards against an upgrade whose state is not visible: builds, their versions, and what holds the
// version back. The owner of the first cell decides, as it sees instances without an entry.
#[test]
fn pool_shows_builds_and_what_holds_the_format_back() {
    runtime::run(async {
        let (first, second) = (start_instance("i0", false, 1), start_instance("i1", true, 2));
        let outcome = run_line(&["--operator", &first, "--operator", &second, "pool"]).await;
        let builds = outcome.text.matches("0.1.0+abc            2      1").count();
        assert_eq!(builds, 2, "{}", outcome.text);
        let line = "format version: 1 in use, all live instances read 1, held back by i7";
        assert!(outcome.text.contains(line), "{}", outcome.text);
    });
}

// Guards against a malformed job id that is reported as a missing job.
#[test]
fn ids_are_checked_and_missing_jobs_named() {
    runtime::run(async {
        let address = start_instance("i0", true, 1);
        let outcome = run_line(&["--operator", &address, "job", "17"]).await;
        assert_eq!(outcome.status, ExitStatus::Usage);
        let outcome = run_line(&["--operator", &address, "job", "00000000000000ff"]).await;
        assert_eq!(outcome.status, ExitStatus::NotRun);
        let outcome = run_line(&["explain", JOB]).await;
        assert_eq!(outcome.status, ExitStatus::Usage);
    });
}
