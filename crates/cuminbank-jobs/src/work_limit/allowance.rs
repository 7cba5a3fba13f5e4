//! Memory for jobs that an instance may accept.

use std::time::Duration;

use super::ledger::{WorkGrant, GRANT_TIME};
use crate::ids::MonotonicTime;

/// Longest time between two requests, so that an owner knows the limit of every instance.
pub(super) const MAX_ASK_INTERVAL: Duration = Duration::from_secs(10);
/// Memory that an instance asks for beyond that of a job, so that it does not ask for each one. A usual
/// job takes about 10 KB.
const GRANT_BYTES: u64 = 64 * 1024;
/// Part of a grant's time in which the instance uses it. The rest is for the write of the job.
const USE_TIME: Duration = GRANT_TIME.checked_div(2).expect("two is not zero");
/// Time for which further jobs are refused without asking after the owner had no memory. A refusal has to
/// cost less than an acceptance.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Bounds of the time after which a refused client may submit its job again. They are spread, so that
/// clients refused together do not return together.
const MIN_RETURN_SECONDS: u64 = 2;
const RETURN_SPREAD_SECONDS: u64 = 4;

/// Decision on a submitted job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllowanceDecision {
    /// There is memory for it.
    Accept,
    /// The owner has to be asked for a grant.
    Ask,
    /// There is none.
    Refuse,
}

/// What an instance may accept for a cell.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkAllowance {
    /// Rest of the last grant, and the time until which it is used.
    granted_bytes: u64,
    usable_until: MonotonicTime,
    /// Memory of jobs accepted without a grant since the owner last answered.
    ungranted_bytes: u64,
    asked_at: Option<MonotonicTime>,
    answer: Option<WorkGrant>,
    /// Memory that the owner had too little for, and the time until which it is not asked again.
    refused: Option<(MonotonicTime, u64)>,
}

impl WorkAllowance {
    /// Decides on a job that needs `bytes`, and counts it if it is accepted.
    pub fn decide(&mut self, now: MonotonicTime, bytes: u64) -> AllowanceDecision {
        if self.refused.is_some_and(|(until, refused)| now < until && bytes >= refused) {
            return AllowanceDecision::Refuse;
        }
        if now >= self.usable_until || bytes > self.granted_bytes {
            return AllowanceDecision::Ask;
        }
        self.granted_bytes -= bytes;
        AllowanceDecision::Accept
    }

    /// Decides on a job that needs `bytes` by the answer of the owner.
    pub fn decide_by_grant(
        &mut self,
        now: MonotonicTime,
        bytes: u64,
        grant: WorkGrant,
    ) -> AllowanceDecision {
        (self.asked_at, self.answer) = (Some(now), Some(grant));
        self.ungranted_bytes = 0;
        if bytes > grant.granted_bytes {
            self.refused = Some((now + REFUSAL_TIME, bytes));
            return AllowanceDecision::Refuse;
        }
        self.refused = None;
        self.granted_bytes = grant.granted_bytes - bytes;
        self.usable_until = now + USE_TIME;
        AllowanceDecision::Accept
    }

    /// Gives back the memory of a job that was not stored by this submission.
    pub fn refund(&mut self, bytes: u64) {
        self.granted_bytes = self.granted_bytes.saturating_add(bytes);
    }

    /// Decides on a job that needs `bytes` while the owner does not answer. Of the limit on accepted
    /// work, each of the `instances` accepts its part. `limit_bytes` is the limit of this instance.
    pub fn decide_unanswered(
        &mut self,
        bytes: u64,
        limit_bytes: u64,
        instances: usize,
    ) -> AllowanceDecision {
        let limit_bytes = self.answer.map_or(limit_bytes, |answer| answer.limit_bytes);
        let part = limit_bytes / (instances.max(1) as u64);
        let needed = self.ungranted_bytes.saturating_add(bytes);
        if self.ungranted_bytes > 0 && needed > part {
            return AllowanceDecision::Refuse;
        }
        self.ungranted_bytes = needed;
        AllowanceDecision::Accept
    }

    /// Returns the memory to ask the owner for, for a job that needs `bytes`.
    pub fn wanted_bytes(bytes: u64) -> u64 {
        bytes.saturating_add(GRANT_BYTES)
    }

    /// Returns whether the owner is asked although no job needs it.
    pub fn is_report_due(&self, now: MonotonicTime) -> bool {
        self.asked_at.is_none_or(|asked_at| now >= asked_at + MAX_ASK_INTERVAL)
    }

    /// Returns the last answer of the owner.
    pub fn answer(&self) -> Option<&WorkGrant> {
        self.answer.as_ref()
    }
}

/// Returns after how many seconds a refused client may submit a job again.
pub fn return_seconds(job: u64) -> u64 {
    MIN_RETURN_SECONDS + job % RETURN_SPREAD_SECONDS
}
