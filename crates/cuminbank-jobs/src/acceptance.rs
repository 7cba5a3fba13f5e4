//! How an entry instance answers a submission, from what the store says of the write.
//!
//! A job is accepted by creating its key. The same write may be repeated safely, since it only
//! takes effect while the key does not exist. "Not accepted" is only said when no try can have
//! taken effect, now or later.

use std::time::Duration;

use crate::{
    ids::MonotonicTime,
    store::{StoreFailure, TxnOutcome},
};

/// Time that a submission may take, counted from its arrival. Clients wait 3 s; the rest is left
/// for the answer's way back.
pub const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Time in which a store that certainly did nothing is tried again before the client is sent away.
/// A quarter of the shortest latency objective, after which a refusal counts as late.
pub const REFUSE_AFTER: Duration = Duration::from_millis(60);
/// Pause between two tries.
pub const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Seconds after which a refused client should return: an outage of the store lasts a few seconds,
/// and clients return four times at most.
pub const RETRY_AFTER_SECONDS: u64 = 1;

/// What to do next with a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptStep {
    /// Write again after a pause.
    Retry,
    /// The job is stored.
    Accepted,
    /// The job is not stored and never will be.
    Refused,
    /// Nobody can tell.
    Unknown,
}

/// A submission in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceptState {
    arrived: MonotonicTime,
    uncertain: bool,
}

impl AcceptState {
    /// Begins a submission.
    pub fn new(arrived: MonotonicTime) -> Self {
        Self { arrived, uncertain: false }
    }

    /// Tells whether a try may have taken effect or may still do so.
    pub fn is_uncertain(&self) -> bool {
        self.uncertain
    }

    /// Takes the result of a try.
    pub fn handle_result(
        &mut self,
        now: MonotonicTime,
        result: &Result<TxnOutcome, StoreFailure>,
    ) -> AcceptStep {
        let elapsed = now.saturating_sub(self.arrived);
        match result {
            // A conflict means that the key exists: an earlier try or an earlier copy created it.
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
