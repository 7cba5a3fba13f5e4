//! Tests of the active configuration.

use std::time::Duration;

use cuminbank_jobs::config::{ActiveConfig, JobQueue, PoolConfig, RouteDecision};

fn queue(name: &str, prefix: &str) -> JobQueue {
    JobQueue {
        name: name.to_owned(),
        host: "plans.example".to_owned(),
        prefix: prefix.to_owned(),
        service: "plans".to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target_latency_ms: 250,
        timeout_ms: 3_000,
        advice: None,
    }
}

fn config(version: u64, queues: Vec<JobQueue>) -> PoolConfig {
    PoolConfig { version, queues, limits: None, executor_connections: None }
}

// Guards against replacing the configuration by an earlier version.
#[test]
fn lower_version_is_not_activated() {
    let mut active = ActiveConfig::default();
    assert!(active.offer(config(7, Vec::new())));
    assert!(!active.offer(config(5, Vec::new())));
    assert!(!active.offer(config(7, Vec::new())));
    assert_eq!(active.current().map(|config| config.version), Some(7));
}

// Guards against matching a request to a queue with a shorter prefix, or to none.
#[test]
fn longest_matching_prefix_is_selected() {
    let config = config(1, vec![queue("short", "/a/"), queue("long", "/a/b/")]);
    let find = |host, path| config.find(host, path).map(|queue| queue.name.as_str());
    assert_eq!(find("plans.example", "/a/b/1"), Some("long"));
    assert_eq!(find("Plans.Example:8080", "/a/c"), Some("short"));
    assert_eq!(find("plans.example", "/c/"), None);
    assert_eq!(find("other.example", "/a/"), None);
}

const BOUND: Duration = Duration::from_secs(2);

/// Returns a configuration with the queue `/a/`, confirmed at 10 s.
fn confirmed_config() -> ActiveConfig {
    let mut active = ActiveConfig::default();
    active.offer(config(1, vec![queue("a", "/a/")]));
    active.confirm(Duration::from_secs(10));
    active
}

// Guards against a final answer from a configuration that a newer one may have replaced longer ago
// than the bound: a queue that was added is said not to exist, or a removed one gets new work or is
// reported on.
#[test]
fn unconfirmed_configuration_refuses_what_it_cannot_decide() {
    let active = confirmed_config();
    let route = |path, concerns_job, millis| {
        let now = Duration::from_millis(millis);
        active.route(("plans.example", path), |_| concerns_job, now, BOUND)
    };
    let found = RouteDecision::Queue(queue("a", "/a/"));
    for concerns_job in [false, true] {
        assert_eq!(route("/a/1", concerns_job, 12_000), found);
        assert_eq!(route("/b/1", concerns_job, 12_000), RouteDecision::NoQueue);
        assert_eq!(route("/b/1", concerns_job, 12_001), RouteDecision::Unconfirmed);
    }
    assert_eq!(route("/a/1", false, 12_001), RouteDecision::Unconfirmed);
    assert_eq!(route("/a/1", true, 12_001), found);
}

// Guards against an instance that serves before its first read, and against one that treats a
// configuration as confirmed by a read that found none.
#[test]
fn missing_configuration_decides_nothing() {
    let mut active = ActiveConfig::default();
    active.confirm(Duration::from_secs(10));
    let now = Duration::from_secs(10);
    let decision = active.route(("plans.example", "/a/1"), |_| true, now, BOUND);
    assert_eq!(decision, RouteDecision::NoConfig);
}

// Guards against a late reply that makes the configuration appear older than it is known to be.
#[test]
fn earlier_confirmation_does_not_replace_a_later_one() {
    let mut active = confirmed_config();
    active.confirm(Duration::from_secs(9));
    assert_eq!(active.age(Duration::from_secs(11)), Some(Duration::from_secs(1)));
}

// Guards against a next owner that executors refuse, because instances that are gone still hold all of
// their connections.
#[test]
fn connections_to_an_executor_leave_room_for_other_owners() {
    let with_connections =
        |executor_connections| PoolConfig { executor_connections, ..config(1, Vec::new()) };
    let shares = [None, Some(0), Some(16), Some(64), Some(4_096)];
    let shares = shares.map(|accepted| with_connections(accepted).connection_share());
    assert_eq!(shares, [4, 2, 2, 4, 8]);
}
