//! Decides how the instance that received a submission answers it, based on the results of the
//! writes to the store.
//!
//! A job is accepted by creating its key. The write can be retried safely because it only succeeds
//! while the key does not exist. A submission is refused only if no attempt can have taken effect
//! or can still do so.

use std::time::Duration;

use crate::{
    ids::MonotonicTime,
    store::{StoreFailure, TxnOutcome},
};

/// Time limit of a submission, measured from its arrival. Clients wait 3 s, which leaves time to
/// deliver the answer.
pub const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Time after the arrival of a submission during which a write that certainly had no effect is
/// retried. Then the submission is refused. A quarter of the shortest latency objective, after
/// which a refusal counts as late.
pub const REFUSE_AFTER: Duration = Duration::from_millis(60);
/// Delay between two attempts.
pub const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Seconds after which a refused client should retry. Store outages last a few seconds, and clients
/// retry at most four times.
pub const RETRY_AFTER_SECONDS: u64 = 1;

/// Next step for a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptStep {
    /// Write again after [`RETRY_PAUSE`].
    Retry,
    /// The job is stored.
    Accepted,
    /// The job is not stored, and no attempt can store it later.
    Refused,
    /// The job may or may not be stored.
    Unknown,
}

/// State of a submission in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceptState {
    arrived: MonotonicTime,
    uncertain: bool,
}

impl AcceptState {
    /// Creates the state of a submission that arrived at the given time.
    pub fn new(arrived: MonotonicTime) -> Self {
        Self { arrived, uncertain: false }
    }

    /// Returns whether an attempt may have taken effect or may still do so.
    pub fn is_uncertain(&self) -> bool {
        self.uncertain
    }

    /// Handles the result of an attempt and returns the next step.
    pub fn handle_result(
        &mut self,
        now: MonotonicTime,
        result: &Result<TxnOutcome, StoreFailure>,
    ) -> AcceptStep {
        let elapsed = now.saturating_sub(self.arrived);
        match result {
            // On a conflict the key exists: an earlier attempt or an earlier copy of the request
            // created it.
            Ok(TxnOutcome::Committed { .. } | TxnOutcome::Conflict { .. }) => AcceptStep::Accepted,
            Err(StoreFailure::Unknown) => {
                self.uncertain = true;
                if elapsed < ACCEPT_TIMEOUT {
                    AcceptStep::Retry
                } else {
                    AcceptStep::Unknown
                }
            }
            Ok(TxnOutcome::NoLease) | Err(StoreFailure::NotDone) => match self.uncertain {
                true if elapsed < ACCEPT_TIMEOUT => AcceptStep::Retry,
                true => AcceptStep::Unknown,
                false if elapsed < REFUSE_AFTER => AcceptStep::Retry,
                false => AcceptStep::Refused,
            },
        }
    }
}
