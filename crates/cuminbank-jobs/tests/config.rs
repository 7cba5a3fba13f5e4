//! Tests of the active configuration.

use cuminbank_jobs::config::{ActiveConfig, JobQueue, PoolConfig};

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
    PoolConfig { version, queues, limits: None }
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
