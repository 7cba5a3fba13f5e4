//! Tests of daemon processes that cannot follow the configuration.

mod support;

use std::{net::SocketAddr, process::Stdio};

use serde_json::json;

use support::{call, proxy::LinkMode, Deployment, PoolShape, CONFIG_APPLY};

fn status_of(client: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let job = json!({ "spec": "p", "steps": [{ "count": 1, "cpu": 1_000, "mem-mb": 100 }] });
    call(client, method, path, &job.to_string()).map(|(status, _)| status)
}

/// Repeats a request until its answer is not 503, which must be `expected`.
fn wait_for_answer(deployment: &Deployment, method: &str, path: &str, expected: u16) {
    deployment.wait(&format!("{method} {path} stays unavailable"), |deployment| {
        let status = status_of(deployment.clients[0], method, path);
        assert!(status == Some(503) || status == Some(expected), "{method} {path}: {status:?}");
        status == Some(expected)
    });
}

/// Waits until the first instance has not confirmed its configuration for longer than it may.
fn wait_for_outdated_config(deployment: &Deployment) {
    deployment.wait("the configuration stays confirmed", |deployment| {
        let status = call(deployment.operators[0], "GET", "/v1/status", "");
        let age = status.and_then(|(_, status)| status["config_age_ms"].as_u64());
        age.is_some_and(|age| u128::from(age) > CONFIG_APPLY.as_millis())
    });
}

// Guards against a final 404 for a queue that was added while an instance could not reach the
// store, against an answer about a queue that may have been removed, and against a 503 that stays
// once it reaches the store again.
#[test]
fn unreachable_store_makes_no_queue_unknown() {
    let deployment = Deployment::start_with_proxies(1, 100, PoolShape::default());
    let client = deployment.clients[0];
    wait_for_answer(&deployment, "GET", "/q/", 404);
    deployment.store_links[0].set(LinkMode::Silent);
    wait_for_outdated_config(&deployment);
    call(deployment.store, "GET", "/standin/config?version=2&prefixes=/p/,/q/", "")
        .expect("the stand-in replies");
    assert_eq!(status_of(client, "GET", "/q/"), Some(503));
    assert_eq!(status_of(client, "POST", "/q/00000000000000a1"), Some(503));
    assert_eq!(status_of(client, "GET", "/p/"), Some(503));
    deployment.store_links[0].set(LinkMode::Pass);
    wait_for_answer(&deployment, "GET", "/q/", 200);
    wait_for_answer(&deployment, "GET", "/unknown/", 404);
}

// Guards against answers by an older version while only the watch gets no reply: a 404 for a queue
// that was added, and a job that is accepted for one that was removed.
#[test]
fn late_watch_does_not_decide_by_an_older_version() {
    let deployment = Deployment::start(1, 100, Stdio::null);
    let store = deployment.store;
    call(store, "GET", "/standin/hold-watches?prefix=op/", "").expect("the stand-in replies");
    call(store, "GET", "/standin/config?version=2&prefixes=/q/", "").expect("the stand-in replies");
    wait_for_outdated_config(&deployment);
    wait_for_answer(&deployment, "GET", "/q/", 200);
    wait_for_answer(&deployment, "POST", "/p/00000000000000b1", 404);
    wait_for_answer(&deployment, "POST", "/q/00000000000000b2", 200);
}
