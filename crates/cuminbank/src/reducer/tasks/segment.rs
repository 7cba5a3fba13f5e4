//! Contents of a journal segment, and the actions that follow its commit.

use std::time::SystemTime;

use rand::Rng;

use crate::{
    effect::CallerAnswer,
    ids::TargetName,
    ledger::{segment_key, JournalEntry, JournalSegment},
    log::{TASK_DOUBLED, TASK_EVICTED, TASK_FAILED, TASK_RESUMED},
    message::encode,
    reducer::{records::TaskEvent, step::StepContext},
};

use super::{
    group::{GroupView, TaskGroup, TaskModels},
    journal::{SegmentWrite, WriteKind, SEGMENT_BYTES},
};

impl TaskGroup {
    /// Writes the staged changes and the starts that are possible now as the next segment.
    pub(super) fn flush(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &TaskModels,
    ) {
        let at_ms = wall_ms(step);
        let mut segment = SegmentWrite { at_ms, ..SegmentWrite::default() };
        self.add_ends(step, view, &mut segment);
        self.add_submissions(step, view, &mut segment);
        self.add_cancels(step, view, &mut segment);
        self.add_starts(step, view, models, &mut segment);
        if segment.entries.is_empty() {
            self.mark_ends_committed(&segment.workers);
            return;
        }
        let operation = (self.epoch, step.rng.random());
        let entries = segment.entries.clone();
        let value = encode(&JournalSegment { operation, at_ms, entries });
        let key = segment_key(&self.prefix(), self.journal.next_segment);
        self.journal.last_flush = Some(step.now());
        self.begin_write(step, WriteKind::Segment(Box::new(segment)), operation, key, value);
    }

    fn add_ends(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        segment: &mut SegmentWrite,
    ) {
        while segment.bytes < SEGMENT_BYTES {
            let Some((entry, worker)) = self.staged.entries.pop_front() else { return };
            self.staged.bytes = self.staged.bytes.saturating_sub(entry.approximate_bytes());
            segment.workers.extend(worker);
            self.record_duplicate_result(step, &entry, segment.at_ms);
            let task = entry.task();
            self.add_entry(step, view, segment, entry);
            if let Some(reason) = self.give_up_reason(view, task) {
                self.add_entry(step, view, segment, JournalEntry::Failed(task, reason));
            }
        }
    }

    fn add_submissions(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        segment: &mut SegmentWrite,
    ) {
        while segment.bytes < SEGMENT_BYTES {
            let Some((task, submission)) = self.staged.take_submission() else { return };
            let entry = JournalEntry::Accepted(task, submission.body);
            self.add_entry(step, view, segment, entry);
            segment.accepted.insert(task, submission.waiters);
            if submission.oversized {
                let reason = "cannot run: larger than every worker".to_owned();
                self.add_entry(step, view, segment, JournalEntry::Failed(task, reason));
            }
        }
    }

    fn add_cancels(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        segment: &mut SegmentWrite,
    ) {
        while segment.bytes < SEGMENT_BYTES {
            let Some((task, waiters)) = self.staged.take_cancel() else { return };
            let changed = self.add_entry(step, view, segment, JournalEntry::Cancelled(task));
            if changed || segment.committed_states.contains_key(&task) {
                segment.cancelled.insert(task, waiters);
            } else {
                for waiter in waiters {
                    waiter.answer(step, self.status_answer(task));
                }
            }
        }
    }

    /// Applies an entry to the ledger, and adds it to the segment if it had an effect. Returns
    /// whether it had one.
    pub(super) fn add_entry(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        segment: &mut SegmentWrite,
        entry: JournalEntry,
    ) -> bool {
        let task = entry.task();
        let before = self.ledger.get(task);
        let resumes = before.is_some_and(|record| record.interrupted);
        let was_final = before.is_some_and(|record| record.state.is_final());
        let name = before.map_or("", |record| record.state.name());
        if !self.apply(step, view, &entry, segment.at_ms) {
            return false;
        }
        segment.committed_states.entry(task).or_insert(name);
        for event in entry_events(&entry, resumes, was_final) {
            segment.samples.extend(self.sample(task, event, segment.at_ms));
        }
        if let JournalEntry::Started(_, placement) = &entry {
            segment.starts.push((task, placement.attempt));
        }
        segment.bytes += entry.approximate_bytes();
        segment.entries.push(entry);
        true
    }

    /// Logs and counts a result of a task that another attempt has already finished.
    fn record_duplicate_result(
        &mut self,
        step: &mut StepContext,
        entry: &JournalEntry,
        at_ms: u64,
    ) {
        let JournalEntry::Finished(task, attempt, _) = entry else { return };
        let finished_by = self.ledger.get(*task).and_then(|record| record.finished_by);
        if finished_by.is_some_and(|by| by != *attempt) {
            step.log(TASK_DOUBLED, self.wire_id(*task));
            let sample = self.sample(*task, TaskEvent::Doubled, at_ms);
            self.samples.extend(sample);
        }
    }

    pub(super) fn on_segment_committed(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        segment: SegmentWrite,
    ) {
        self.mark_ends_committed(&segment.workers);
        self.samples.extend(segment.samples);
        for (task, waiters) in segment.accepted {
            for waiter in waiters {
                waiter.answer(step, CallerAnswer::new_accepted(&self.wire_id(task)));
            }
        }
        for (task, waiters) in segment.cancelled {
            for waiter in waiters {
                waiter.answer(step, self.status_answer(task));
            }
        }
        for entry in &segment.entries {
            self.log_entry(step, entry);
            self.try_stop(step, view, entry.task());
        }
        self.unsent_starts.extend(segment.starts);
        self.send_starts(step, view);
    }

    fn log_entry(&self, step: &mut StepContext, entry: &JournalEntry) {
        let task = self.wire_id(entry.task());
        match entry {
            JournalEntry::Evicted(..) => step.log(TASK_EVICTED, task),
            JournalEntry::Failed(_, reason) => step.log(TASK_FAILED, format!("{task}: {reason}")),
            JournalEntry::Started(_, placement) if placement.attempt > 1 => {
                let (attempt, worker) = (placement.attempt, &placement.worker);
                step.log(TASK_RESUMED, format!("{task}: attempt {attempt} on {worker}"));
            }
            _ => {}
        }
    }

    /// Decrements the number of uncommitted ends of a worker for each occurrence of its name in
    /// `workers`. Once a worker has none left, the next list request to it acknowledges all ends
    /// received so far.
    fn mark_ends_committed(&mut self, workers: &[TargetName]) {
        for name in workers {
            let Some(worker) = self.workers.get_mut(name) else { continue };
            worker.uncommitted_ends = worker.uncommitted_ends.saturating_sub(1);
            if worker.uncommitted_ends == 0 {
                worker.committed_end = worker.last_seen_end;
            }
        }
    }
}

/// Returns the events to count in the day record for an applied entry.
fn entry_events(entry: &JournalEntry, resumes: bool, was_final: bool) -> Vec<TaskEvent> {
    match entry {
        JournalEntry::Accepted(..) => vec![TaskEvent::Accepted],
        JournalEntry::Started(..) if resumes => vec![TaskEvent::Started, TaskEvent::Resumed],
        JournalEntry::Started(..) => vec![TaskEvent::Started],
        JournalEntry::Evicted(..) if !was_final => vec![TaskEvent::Evicted],
        JournalEntry::Finished(..) if !was_final => vec![TaskEvent::Finished],
        JournalEntry::Failed(..) => vec![TaskEvent::Failed],
        JournalEntry::Cancelled(_) => vec![TaskEvent::Cancelled],
        _ => Vec::new(),
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch. It is only displayed; no
/// decision depends on it.
pub(super) fn wall_ms(step: &StepContext) -> u64 {
    let since = step.wall().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}
