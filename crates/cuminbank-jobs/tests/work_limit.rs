//! Tests of the limit on accepted work.

use std::{net::SocketAddr, time::Duration};

use cuminbank_jobs::{
    job::{JobRecord, JobStep, RepeatPlan},
    work_limit::{AllowanceDecision, WorkAllowance, WorkGrant, WorkLedger, WorkRequest},
};

const LIMIT: u64 = 1_000_000;

fn asker(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + number).into()
}

fn request(number: u16, needed_bytes: u64) -> WorkRequest {
    let wanted_bytes = WorkAllowance::wanted_bytes(needed_bytes);
    WorkRequest { asker: asker(number), limit_bytes: LIMIT, needed_bytes, wanted_bytes }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against instances that together accept more than the owner has memory for.
#[test]
fn grants_and_held_work_stay_within_the_limit() {
    let mut ledger = WorkLedger::new(LIMIT);
    let mut granted = 0;
    for number in 0..100 {
        granted += ledger.grant(seconds(1), 400_000, &request(number, 20_000)).granted_bytes;
    }
    assert!(granted > 500_000 && granted <= 600_000, "{granted}");
    // What was granted reaches the owner, or is not used, within a few seconds.
    let grant = ledger.grant(seconds(7), 400_000, &request(0, 20_000));
    assert!(grant.granted_bytes >= 20_000, "{grant:?}");
}

/// Guards against a limit under which a legal job can never be accepted.
#[test]
fn a_job_over_the_limit_is_accepted_alone() {
    let mut ledger = WorkLedger::new(LIMIT);
    assert_eq!(ledger.grant(seconds(1), 1, &request(1, LIMIT * 3)).granted_bytes, 0);
    assert_eq!(ledger.grant(seconds(1), 0, &request(1, LIMIT * 3)).granted_bytes, LIMIT * 3);
    assert_eq!(ledger.grant(seconds(2), 0, &request(2, LIMIT * 3)).granted_bytes, 0);
}

/// Guards against work that the next owner, on a smaller machine, has no memory for.
#[test]
fn the_smallest_instance_sets_the_limit() {
    let mut ledger = WorkLedger::new(LIMIT);
    let small = WorkRequest { limit_bytes: 100_000, wanted_bytes: 0, ..request(1, 0) };
    ledger.grant(seconds(1), 0, &small);
    let grant = ledger.grant(seconds(2), 0, &request(2, 90_000));
    assert_eq!((grant.limit_bytes, grant.granted_bytes), (100_000, 100_000));
    // An instance that has left no longer asks.
    let grant = ledger.grant(seconds(60), 0, &request(2, 90_000));
    assert_eq!((grant.limit_bytes, grant.instances), (LIMIT, 1));
}

/// Guards against a grant that is used more than once, or too late.
#[test]
fn an_instance_accepts_within_its_grant() {
    let mut allowance = WorkAllowance::default();
    assert_eq!(allowance.decide(seconds(1), 10), AllowanceDecision::Ask);
    let grant = WorkGrant { granted_bytes: 100, limit_bytes: LIMIT, ..WorkGrant::default() };
    assert_eq!(allowance.decide_by_grant(seconds(1), 60, grant), AllowanceDecision::Accept);
    assert_eq!(allowance.decide(seconds(1), 30), AllowanceDecision::Accept);
    assert_eq!(allowance.decide(seconds(1), 30), AllowanceDecision::Ask);
    allowance.refund(30);
    assert_eq!(allowance.decide(seconds(2), 30), AllowanceDecision::Accept);
    allowance.refund(30);
    assert_eq!(allowance.decide(seconds(5), 30), AllowanceDecision::Ask);
}

/// Guards against a question to the owner for each refused job.
#[test]
fn a_refused_job_is_refused_again_without_a_question() {
    let mut allowance = WorkAllowance::default();
    let none = WorkGrant { limit_bytes: LIMIT, ..WorkGrant::default() };
    assert_eq!(allowance.decide_by_grant(seconds(1), 60, none), AllowanceDecision::Refuse);
    assert_eq!(allowance.decide(seconds(1), 60), AllowanceDecision::Refuse);
    assert_eq!(allowance.decide(seconds(1), 59), AllowanceDecision::Ask);
    assert_eq!(allowance.decide(seconds(2), 60), AllowanceDecision::Ask);
}

/// Guards against jobs that are refused, or accepted without a limit, while the cell has no owner.
#[test]
fn an_instance_accepts_its_part_without_an_owner() {
    let mut allowance = WorkAllowance::default();
    let mut accepted = 0;
    while allowance.decide_unanswered(10_000, LIMIT, 10) == AllowanceDecision::Accept {
        accepted += 1;
    }
    assert_eq!(accepted, 10);
    let grant = WorkGrant { granted_bytes: 1, limit_bytes: LIMIT, ..WorkGrant::default() };
    allowance.decide_by_grant(seconds(1), 0, grant);
    let decision = allowance.decide_unanswered(10_000, LIMIT, 10);
    assert_eq!(decision, AllowanceDecision::Accept, "the owner has answered since");
}

/// Guards against a job whose small body stands for many tasks.
#[test]
fn the_memory_of_a_job_grows_with_its_tasks() {
    let step = JobStep { count: 10, ..JobStep::default() };
    let small = JobRecord {
        payload: String::new(),
        steps: vec![step],
        repeat: None,
        terms: serde_json::from_value(serde_json::json!({
            "queue": "q", "service": "s", "priority": 0, "max_attempts": 3, "stretch": 2.0,
            "target_latency_ms": 250, "advice": null,
        }))
        .expect("the terms are valid"),
        accepted_at: Duration::ZERO,
    };
    let plan = RepeatPlan { count: 1_000, first_due: Duration::ZERO, interval: seconds(1) };
    let large = JobRecord { repeat: Some(plan), ..small.clone() };
    assert!(small.held_bytes() < 10_000, "{}", small.held_bytes());
    assert!(large.held_bytes() > 1_000_000, "{}", large.held_bytes());
}
