//! Loading of the task ledger from the store after a takeover.

use std::time::Duration;

use crate::{
    event::ExchangeError,
    ids::MonotonicTime,
    ledger::{StoredLedger, TaskState},
    log::{JOURNAL_LOADED, JOURNAL_UNREADABLE},
    reducer::step::StepContext,
    store::{StoreReply, StoreRequest},
};

use super::group::{GroupExchange, GroupView, RunPhase, TaskGroup, LEASE_EXPIRY_BOUND};

const RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl TaskGroup {
    /// Requests the ledger from the store, unless a read is in flight or the retry interval has not
    /// passed.
    pub(super) fn load(&mut self, step: &mut StepContext) {
        if self.journal.loading || step.now() < self.journal.retry_at {
            return;
        }
        self.journal.loading = true;
        let request = StoreRequest::Range { key: self.prefix(), prefix: true };
        self.call_store(step, request, GroupExchange::Load);
    }

    pub(super) fn on_loaded(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        result: &Result<StoreReply, ExchangeError>,
    ) {
        self.journal.loading = false;
        self.journal.retry_at = step.now() + RETRY_INTERVAL;
        let Ok(StoreReply::Range { values, .. }) = result else { return };
        match StoredLedger::read(&self.prefix(), values) {
            Ok(stored) => self.adopt_ledger(step, view, stored),
            Err(error) => {
                let detail = format!("{}/{}: {error:?}", self.zone, self.group);
                step.log(JOURNAL_UNREADABLE, detail);
            }
        }
    }

    fn adopt_ledger(&mut self, step: &mut StepContext, view: &GroupView<'_>, stored: StoredLedger) {
        let now = step.now();
        self.journal.loaded = true;
        self.journal.next_segment = stored.next_segment();
        self.journal.head = stored.head;
        self.journal.segments = stored.segments;
        self.ledger = stored.ledger;
        let mut ids: Vec<_> = self.ledger.tasks().map(|(task, _)| task).collect();
        ids.sort_unstable();
        for task in ids {
            self.index_task(now, view, task);
        }
        self.retired.extend(self.ledger.retired().map(|task| (now, task)));
        self.scheduling_needed = true;
        let detail = format!(
            "{}/{} epoch {}: {} tasks",
            self.zone,
            self.group,
            self.epoch,
            self.ledger.len()
        );
        step.log(JOURNAL_LOADED, detail);
    }

    /// Adds a loaded task to the state derived from the ledger. An attempt that the previous owner
    /// started may still run. The list of its worker shows whether it does; without a list the
    /// attempt ends when the lease granted before the takeover expires.
    fn index_task(
        &mut self,
        now: MonotonicTime,
        view: &GroupView<'_>,
        task: crate::ledger::TaskId,
    ) {
        let Some(record) = self.ledger.get(task) else { return };
        let (is_queued, is_final) = (record.state == TaskState::Queued, record.state.is_final());
        if let Some(placement) = record.placement.clone() {
            let lease_expires_at = self.acquired_at + LEASE_EXPIRY_BOUND;
            let phase = RunPhase::Unconfirmed(self.probe_from);
            self.add_run(view, task, &placement, phase, lease_expires_at);
        }
        if is_queued {
            self.requeue(now, view, task);
        }
        if is_final {
            // The clocks of owners are not comparable, so the time of the end is unknown. Counting
            // from the takeover can only keep tasks longer than needed.
            self.ended.push_back((now, task));
        }
    }
}
