//! Limit on accepted work by the memory of the owner of its cell.

use std::{rc::Rc, time::Duration};

use cuminbank::log::{WORK_ACCEPTED_AGAIN, WORK_REFUSED};
use cuminbank_jobs::{
    ids::QueueName,
    peer::{OwnerAnswer, OwnerQuestion},
    scheduler::DecisionRecord,
    work_limit::{AllowanceDecision, WorkAllowance, WorkRequest},
};
use monoio::time;

use crate::{cell::CellState, clock, daemon::DaemonState, owner::QueryFailure};

/// Interval at which the instance checks whether an owner has to be told its limit.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl DaemonState {
    /// Decides whether the owner of a cell has memory for a job that needs `bytes`.
    pub(crate) async fn admit_work(self: &Rc<Self>, cell: &CellState, bytes: u64) -> bool {
        let decision = self.with_allowance(cell, |allowance| allowance.decide(clock::now(), bytes));
        let decision = match decision {
            AllowanceDecision::Ask => {
                self.ask_for_work(cell, bytes, WorkAllowance::wanted_bytes(bytes)).await
            }
            decision => decision,
        };
        decision == AllowanceDecision::Accept
    }

    /// Gives back the memory of a job that was not stored by its submission.
    pub(crate) fn refund_work(&self, cell: &CellState, bytes: u64) {
        self.with_allowance(cell, |allowance| allowance.refund(bytes));
    }

    /// Asks the owner of a cell for memory for a job, and decides by its answer.
    async fn ask_for_work(
        self: &Rc<Self>,
        cell: &CellState,
        needed_bytes: u64,
        wanted_bytes: u64,
    ) -> AllowanceDecision {
        let limit_bytes = self.memory.accepted_work as u64;
        let asker = self.settings.peer_address;
        let request = WorkRequest { asker, limit_bytes, needed_bytes, wanted_bytes };
        let answer = self.query_owner(&OwnerQuestion::Work { cell: cell.id, request }).await;
        let now = clock::now();
        self.with_allowance(cell, |allowance| match answer {
            Ok(OwnerAnswer::Work(grant)) => allowance.decide_by_grant(now, needed_bytes, grant),
            // An owner of an earlier build has no limit.
            Err(QueryFailure::Unsupported) => AllowanceDecision::Accept,
            Ok(_) | Err(QueryFailure::NoReply) => {
                let instances = self.registry.borrow().count();
                allowance.decide_unanswered(needed_bytes, limit_bytes, instances)
            }
        })
    }

    fn with_allowance<T>(
        &self,
        cell: &CellState,
        decide: impl FnOnce(&mut WorkAllowance) -> T,
    ) -> T {
        decide(self.allowances.borrow_mut().entry(cell.id).or_default())
    }

    /// Answers a request for memory. Returns [`OwnerAnswer::NotOwner`] unless this process owns the
    /// cell and has loaded its jobs.
    pub(crate) fn grant_work(&self, cell: &CellState, request: &WorkRequest) -> OwnerAnswer {
        if cell.held_bytes().is_none() {
            return OwnerAnswer::NotOwner;
        }
        let held = self.held_work();
        OwnerAnswer::Work(self.work.borrow_mut().grant(clock::now(), held, request))
    }

    /// Returns the memory in bytes that the accepted work of all owned cells holds.
    pub(crate) fn held_work(&self) -> u64 {
        self.all_cells().iter().filter_map(|cell| cell.held_bytes()).sum()
    }

    /// Counts the refusal of a job, and logs the first one of a queue.
    pub(crate) fn note_work_refusal(&self, cell: &CellState, queue: &QueueName, bytes: u64) {
        self.metrics.count("work.refused", queue);
        if !self.work_refusals.borrow_mut().record_refusal(clock::now(), queue) {
            return;
        }
        let answer = self.with_allowance(cell, |allowance| allowance.answer().copied());
        let known = answer.unwrap_or_default();
        let detail = format!(
            "queue={queue} cell={} needed_bytes={bytes} held_bytes={} limit_bytes={} instances={} \
             answered={}",
            cell.id,
            known.held_bytes,
            known.limit_bytes,
            known.instances,
            answer.is_some()
        );
        self.log(&DecisionRecord { code: WORK_REFUSED, job: None, detail });
    }

    fn report_work(&self) {
        for episode in self.work_refusals.borrow_mut().take_ended(clock::now()) {
            let detail = format!("queue={} refusals={}", episode.queue, episode.refusals);
            self.log(&DecisionRecord { code: WORK_ACCEPTED_AGAIN, job: None, detail });
        }
    }
}

/// Tells the owners of all cells the limit of this instance periodically, and logs when refusals end.
pub(crate) async fn follow_work(state: Rc<DaemonState>) {
    loop {
        time::sleep(REPORT_INTERVAL).await;
        state.report_work();
        for cell in state.all_cells() {
            let is_due = |allowance: &mut WorkAllowance| allowance.is_report_due(clock::now());
            if state.with_allowance(&cell, is_due) {
                state.ask_for_work(&cell, 0, 0).await;
            }
        }
    }
}
