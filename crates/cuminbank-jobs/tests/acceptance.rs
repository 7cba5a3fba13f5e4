//! Tests of the answers to submissions.

use std::time::Duration;

use cuminbank_jobs::{
    acceptance::{AcceptState, AcceptStep, ACCEPT_TIMEOUT, REFUSE_AFTER},
    store::{StoreFailure, TxnOutcome},
};

const ARRIVED: Duration = Duration::from_secs(10);

fn after(time: Duration) -> Duration {
    ARRIVED + time
}

// Guards against refusing a submission when an earlier attempt to store it may have taken effect.
#[test]
fn uncertain_submission_is_never_refused() {
    let mut accept = AcceptState::new(ARRIVED);
    let unknown = Err(StoreFailure::Unknown);
    assert_eq!(
        accept.handle_result(after(Duration::from_millis(600)), &unknown),
        AcceptStep::Retry
    );
    let not_done = Err(StoreFailure::NotDone);
    assert_eq!(
        accept.handle_result(after(Duration::from_millis(700)), &not_done),
        AcceptStep::Retry
    );
    assert_eq!(accept.handle_result(after(ACCEPT_TIMEOUT), &not_done), AcceptStep::Unknown);
}

// Guards against retrying until the timeout instead of refusing the submission after
// `REFUSE_AFTER`, when it is certain that no write to the store took effect.
#[test]
fn submission_without_effect_is_refused_early() {
    let mut accept = AcceptState::new(ARRIVED);
    let not_done = Err(StoreFailure::NotDone);
    assert_eq!(accept.handle_result(after(Duration::ZERO), &not_done), AcceptStep::Retry);
    assert_eq!(accept.handle_result(after(REFUSE_AFTER), &not_done), AcceptStep::Refused);
}

// Guards against a second copy of a request creating a second job.
#[test]
fn existing_job_counts_as_accepted() {
    let mut accept = AcceptState::new(ARRIVED);
    let conflict = Ok(TxnOutcome::Conflict { items: Vec::new() });
    assert_eq!(accept.handle_result(after(Duration::ZERO), &conflict), AcceptStep::Accepted);
}
