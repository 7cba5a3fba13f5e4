//! Questions to the owner of the pool.

use std::{rc::Rc, time::Duration};

use cuminbank_jobs::{
    ids::JobId,
    job::JobPhase,
    keys::{job_key, progress_key},
    peer::{OwnerAnswer, OwnerQuestion},
    progress::JobProgress,
    scheduler::JobEvent,
    store::{decode_value, StoreCall, StoreReply},
    tenure::OwnerRecord,
};
use monoio::time;

use crate::daemon::DaemonState;

/// Time for the answer of another instance, which is about 1 ms away.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a read of the store on behalf of a client.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause between two questions to the owner of the epoch before.
const YIELD_PAUSE: Duration = Duration::from_millis(200);

/// What is known of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PhaseAnswer {
    /// Its phase.
    Known(JobPhase),
    /// There is no such job.
    Missing,
    /// Neither the owner nor the store answers.
    Unavailable,
}

impl DaemonState {
    /// Asks the owner, which may be this instance.
    pub(crate) async fn ask_owner(self: &Rc<Self>, question: &OwnerQuestion) -> OwnerAnswer {
        if let Some(scheduler) = self.scheduler.borrow().as_ref() {
            return scheduler.answer(question);
        }
        let Some(address) = self.owner_address() else { return OwnerAnswer::NotOwner };
        match self.peers.exchange(address, question, OWNER_TIMEOUT).await {
            Ok(answer) => answer,
            Err(_) => {
                self.metrics.count("owner.unreachable", "");
                OwnerAnswer::NotOwner
            }
        }
    }

    /// Returns the phase of a job, from the owner or from the store.
    pub(crate) async fn phase_of(self: &Rc<Self>, job: JobId) -> PhaseAnswer {
        if let OwnerAnswer::Phase(phase) = self.ask_owner(&OwnerQuestion::Phase { job }).await {
            return PhaseAnswer::Known(phase);
        }
        self.metrics.count("phase.from_store", "");
        let record = StoreCall::ReadKey { key: job_key(job) };
        let accepted = match self.call_store(&record, READ_TIMEOUT).await {
            Ok(StoreReply::Items { items, .. }) => !items.is_empty(),
            _ => return PhaseAnswer::Unavailable,
        };
        // The record is removed in the same write that stores the outcome, so that the progress has
        // to be read after it.
        let progress = StoreCall::ReadKey { key: progress_key(job) };
        let Ok(StoreReply::Items { items, .. }) = self.call_store(&progress, READ_TIMEOUT).await
        else {
            return PhaseAnswer::Unavailable;
        };
        let progress = items.first().and_then(|item| decode_value::<JobProgress>(&item.value));
        match progress {
            Some(progress) => {
                PhaseAnswer::Known(progress.outcome.map_or(JobPhase::Running, JobPhase::Ended))
            }
            None if accepted => PhaseAnswer::Known(JobPhase::Queued),
            None => PhaseAnswer::Missing,
        }
    }

    /// Answers a question of another instance.
    pub(crate) fn answer_peer(self: &Rc<Self>, question: &OwnerQuestion) -> OwnerAnswer {
        if let OwnerQuestion::Yield { start, epoch } = question {
            let stopped = self.yield_tenure(*start, *epoch);
            return OwnerAnswer::Yielded { stopped_ms: stopped.as_millis() as u64 };
        }
        // Only the owner answers: a question is never passed on.
        let scheduler = self.scheduler.borrow();
        scheduler.as_ref().map_or(OwnerAnswer::NotOwner, |owner| owner.answer(question))
    }

    /// Asks the owner of the epoch before until it gives no more orders.
    pub(crate) async fn end_predecessor(self: Rc<Self>, tenure: u64, predecessor: OwnerRecord) {
        let Some(epoch) = self.held_epoch() else { return };
        let question = OwnerQuestion::Yield { start: predecessor.start, epoch };
        while self.is_tenure(tenure) {
            let asked =
                self.peers.exchange(predecessor.peer_address, &question, OWNER_TIMEOUT).await;
            if let (Ok(OwnerAnswer::Yielded { stopped_ms }), true) = (asked, self.is_tenure(tenure))
            {
                let stopped = Duration::from_millis(stopped_ms);
                return self.apply(JobEvent::PredecessorEnded { stopped });
            }
            time::sleep(YIELD_PAUSE).await;
        }
    }
}
