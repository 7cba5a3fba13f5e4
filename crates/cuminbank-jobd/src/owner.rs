//! Requests to the owners of cells, and the answers to those of other instances.

use std::{rc::Rc, time::Duration};

use cuminbank_jobs::{
    ids::{JobId, QueueName},
    job::JobPhase,
    keys::CellKeys,
    ownership::OwnerRecord,
    peer::{OwnerAnswer, OwnerQuestion, PeerReply, PeerRequest},
    progress::JobProgress,
    scheduler::JobEvent,
    store::{decode_value, StoreCall, StoreReply},
};
use monoio::time;

use crate::{cell::CellState, clock, daemon::DaemonState, division::JobLocation};

/// Timeout of a request to another instance. The latency between instances is about 1 ms.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a store read on behalf of a client.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay between two requests to the previous owner to yield.
const YIELD_PAUSE: Duration = Duration::from_millis(200);

/// Phase of a job, as far as it can be determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PhaseAnswer {
    /// The job exists and is in this phase.
    Known(JobPhase),
    /// No such job exists.
    Missing,
    /// Neither the owner nor the store replies, or the stored progress is unreadable.
    Unavailable,
}

/// Why the owner of a cell gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum QueryFailure {
    /// It did not reply in time, or with something else than an answer.
    NoReply,
    /// It replied that it does not know the question, as an owner of an earlier build does.
    Unsupported,
}

impl DaemonState {
    /// Asks the owner of a cell, which may be this instance. Returns [`OwnerAnswer::NotOwner`] if
    /// no owner is known or it does not reply.
    pub(crate) async fn ask_owner(self: &Rc<Self>, question: &OwnerQuestion) -> OwnerAnswer {
        self.query_owner(question).await.unwrap_or(OwnerAnswer::NotOwner)
    }

    /// Asks the owner of a cell, which may be this instance. Returns [`OwnerAnswer::NotOwner`] if
    /// no owner is known.
    pub(crate) async fn query_owner(
        self: &Rc<Self>,
        question: &OwnerQuestion,
    ) -> Result<OwnerAnswer, QueryFailure> {
        let Some(cell) = self.cell(question.cell()) else { return Ok(OwnerAnswer::NotOwner) };
        if cell.owns() {
            return Ok(self.answer_as_owner(&cell, question));
        }
        let Some(address) = cell.owner_address() else { return Ok(OwnerAnswer::NotOwner) };
        let request = PeerRequest::Ask(question.clone());
        match self.peers.exchange(address, &request, OWNER_TIMEOUT).await {
            Ok(PeerReply::Answer(answer)) => Ok(answer),
            Ok(PeerReply::Unsupported { .. }) => Err(QueryFailure::Unsupported),
            _ => {
                self.metrics.count("owner.unreachable", "");
                Err(QueryFailure::NoReply)
            }
        }
    }

    /// Returns the phase of a job, from the owner of its cell or else from the store.
    pub(crate) async fn phase_of(self: &Rc<Self>, job: JobId) -> PhaseAnswer {
        let Some(likely) = self.likely_cell(job) else { return PhaseAnswer::Unavailable };
        let question = OwnerQuestion::Phase { cell: likely, job };
        if let OwnerAnswer::Phase(phase) = self.ask_owner(&question).await {
            return PhaseAnswer::Known(phase);
        }
        self.metrics.count("phase.from_store", "");
        let cell = match self.find_job(job).await {
            JobLocation::Cell(cell) => cell,
            JobLocation::Missing => return PhaseAnswer::Missing,
            JobLocation::Unknown => return PhaseAnswer::Unavailable,
        };
        if cell != likely {
            let question = OwnerQuestion::Phase { cell, job };
            if let OwnerAnswer::Phase(phase) = self.ask_owner(&question).await {
                return PhaseAnswer::Known(phase);
            }
        }
        let progress = StoreCall::ReadKey { key: CellKeys::new(cell).progress(job) };
        let Ok(StoreReply::Items { items, .. }) = self.call_store(&progress, READ_TIMEOUT).await
        else {
            return PhaseAnswer::Unavailable;
        };
        let Some(item) = items.first() else { return PhaseAnswer::Known(JobPhase::Queued) };
        match decode_value::<JobProgress>(&item.value) {
            Some(progress) => {
                PhaseAnswer::Known(progress.outcome.map_or(JobPhase::Running, JobPhase::Ended))
            }
            None => PhaseAnswer::Unavailable,
        }
    }

    /// Returns the number of accepted jobs of a queue that have not started, over all cells.
    /// Returns `None` if the cells are not known yet or an owner does not reply.
    pub(crate) async fn pending_jobs(self: &Rc<Self>, queue: &QueueName) -> Option<u64> {
        let answers: Vec<_> = self
            .all_cells()
            .into_iter()
            .map(|cell| {
                let (state, queue) = (Rc::clone(self), queue.clone());
                monoio::spawn(async move {
                    state.ask_owner(&OwnerQuestion::Pending { cell: cell.id, queue }).await
                })
            })
            .collect();
        let mut sum = None;
        for answer in answers {
            let OwnerAnswer::Pending(count) = answer.await else { return None };
            sum = Some(sum.unwrap_or_default() + count);
        }
        sum
    }

    /// Answers a request of another instance. Returns `None` if the cell is not known here.
    pub(crate) fn answer_peer(self: &Rc<Self>, question: &OwnerQuestion) -> Option<OwnerAnswer> {
        let cell = self.cell(question.cell())?;
        if let OwnerQuestion::Yield { start, epoch, .. } = question {
            let stopped = cell.yield_ownership(self, *start, *epoch);
            return Some(OwnerAnswer::Yielded { stopped_ms: stopped.as_millis() as u64 });
        }
        if let OwnerQuestion::Load { asker, .. } | OwnerQuestion::Room { asker, .. } = question {
            if cell.owns() {
                self.relays.borrow_mut().mark_live(clock::now(), *asker);
            }
        }
        // Only the owner answers. Requests are never forwarded.
        Some(self.answer_as_owner(&cell, question))
    }

    /// Asks the previous owner to yield, until it confirms that it sends no more orders or the
    /// generation is over.
    pub(crate) async fn end_predecessor(
        self: Rc<Self>,
        cell: Rc<CellState>,
        generation: u64,
        predecessor: OwnerRecord,
    ) {
        let Some(epoch) = cell.held_epoch() else { return };
        let (cell_id, start) = (cell.id, predecessor.start);
        let question = PeerRequest::Ask(OwnerQuestion::Yield { cell: cell_id, start, epoch });
        while cell.is_current(generation) {
            let reply =
                self.peers.exchange(predecessor.peer_address, &question, OWNER_TIMEOUT).await;
            let answered = match reply {
                Ok(PeerReply::Answer(OwnerAnswer::Yielded { stopped_ms })) => Some(stopped_ms),
                _ => None,
            };
            if let (Some(stopped_ms), true) = (answered, cell.is_current(generation)) {
                let stopped = Duration::from_millis(stopped_ms);
                return cell.apply(&self, JobEvent::PredecessorStopped { stopped });
            }
            time::sleep(YIELD_PAUSE).await;
        }
    }
}
