//! Admission of submitted jobs by the room of their cell, as reported by its owner.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use cuminbank::log::{ADMISSION_REFUSED, ADMISSION_RESUMED, ROOM_KNOWN, ROOM_UNKNOWN};
use cuminbank_jobs::{
    admission::{AdmissionDecision, AdmissionRefusal},
    ids::{CellId, JobId},
    job::JobRecord,
    peer::{OwnerAnswer, OwnerQuestion},
    scheduler::DecisionRecord,
};
use monoio::time;

use crate::{cell::CellState, clock, daemon::DaemonState, owner::QueryFailure};

/// Interval at which the owners are queried for the room of their cells.
const ROOM_INTERVAL: Duration = Duration::from_millis(500);
/// Thousandths of a core in a core, the unit of the metrics.
const MILLIS_PER_CORE: f64 = 1_000.0;

impl DaemonState {
    /// Decides on a job for a cell. Returns the cell that gets it, which is another one if only that
    /// is known to have room.
    pub(crate) fn admit(
        &self,
        chosen: &Rc<CellState>,
        job: JobId,
        record: &JobRecord,
    ) -> Result<Rc<CellState>, AdmissionRefusal> {
        if !self.settings.admission {
            return Ok(Rc::clone(chosen));
        }
        let now = clock::now();
        let mut admission = self.admission.borrow_mut();
        let is_refused = admission.report(now, chosen.id).is_some()
            && !admission.has_room(now, chosen.id, record);
        let other = is_refused.then(|| {
            let loads = self.loads.borrow();
            self.all_cells().into_iter().find(|cell| {
                cell.id != chosen.id
                    && loads.can_run(cell.id, record)
                    && admission.has_room(now, cell.id, record)
            })
        });
        let cell = other.flatten().unwrap_or_else(|| Rc::clone(chosen));
        match admission.decide(now, cell.id, record) {
            AdmissionDecision::Admit => {
                if cell.id != chosen.id {
                    self.metrics.count("admission.other_cell", &record.terms.queue);
                    self.remember(job, cell.id);
                }
                Ok(cell)
            }
            AdmissionDecision::Refuse(refusal) => Err(refusal),
        }
    }

    /// Counts the refusal of a job, and logs the first one of a queue.
    pub(crate) fn note_refusal(&self, cell: CellId, record: &JobRecord, refusal: AdmissionRefusal) {
        let queue = &record.terms.queue;
        self.metrics.count("admission.refused", queue);
        if !self.refusals.borrow_mut().record_refusal(clock::now(), queue) {
            return;
        }
        let admission = self.admission.borrow();
        let report = admission.report(clock::now(), cell);
        let room = report.and_then(|report| report.service(&record.terms.service));
        let room = room.map_or_else(String::new, |room| {
            format!(
                " capacity={} long_running={} waiting={} usable={} reserve={} room={}",
                room.capacity,
                room.long_running,
                room.long_running_ready,
                room.usable,
                room.reserve,
                room.long_running_room()
            )
        });
        let detail = format!(
            "queue={queue} cause={:?} cell={cell} retry_after_s={}{room}",
            refusal.cause, refusal.retry_after_s
        );
        self.log(&DecisionRecord { code: ADMISSION_REFUSED, job: None, detail });
    }

    /// Answers a question to the owner of a cell. Adds what only the process knows: the place of an
    /// instance that asks for the room, and the memory for accepted work.
    pub(crate) fn answer_as_owner(
        &self,
        cell: &CellState,
        question: &OwnerQuestion,
    ) -> OwnerAnswer {
        if let OwnerQuestion::Work { request, .. } = question {
            return self.grant_work(cell, request);
        }
        match (question, cell.answer(question)) {
            (OwnerQuestion::Room { asker, .. }, OwnerAnswer::Room(report)) => {
                let relays = self.relays.borrow();
                let live = relays.live(clock::now());
                OwnerAnswer::Room(report.with_asker(self.settings.peer_address, *asker, live))
            }
            (_, answer) => answer,
        }
    }

    /// Processes the answer of an owner to a question for the room.
    fn update_room(&self, cell: CellId, answer: Result<OwnerAnswer, QueryFailure>) {
        let now = clock::now();
        let mut admission = self.admission.borrow_mut();
        match answer {
            Ok(OwnerAnswer::Room(report)) => {
                self.loads.borrow_mut().update(now, cell, report.load.clone());
                admission.update(now, cell, report);
            }
            Ok(answer) => {
                admission.forget(cell);
                if let OwnerAnswer::Load(load) = answer {
                    self.loads.borrow_mut().update(now, cell, load);
                }
            }
            // The report is that of an earlier owner.
            Err(QueryFailure::Unsupported) => admission.forget(cell),
            // The last report may still be recent enough.
            Err(QueryFailure::NoReply) => {}
        }
    }

    /// Updates the metrics of the room, and logs the queues that are served again and the cells whose
    /// room has become known or unknown. `known` are the cells whose room was known before.
    fn report_admission(&self, known: &mut BTreeSet<CellId>) {
        let now = clock::now();
        for episode in self.refusals.borrow_mut().take_ended(now) {
            let detail = format!(
                "queue={} refusals={} lasted_ms={}",
                episode.queue,
                episode.refusals,
                episode.last_at.saturating_sub(episode.began_at).as_millis()
            );
            self.log(&DecisionRecord { code: ADMISSION_RESUMED, job: None, detail });
        }
        self.metrics.clear_values();
        let admission = self.admission.borrow();
        for cell in self.all_cells() {
            if let Some(tally) = cell.tally() {
                self.metrics.add_value("executors.departed", "", tally.departed as f64);
            }
            let report = admission.report(now, cell.id);
            let (code, changed) = match report {
                Some(_) => (ROOM_KNOWN, known.insert(cell.id)),
                None => (ROOM_UNKNOWN, known.remove(&cell.id)),
            };
            if changed {
                let detail = format!("cell={}", cell.id);
                self.log(&DecisionRecord { code, job: None, detail });
            }
            let Some(report) = report else { continue };
            for room in &report.services {
                let service = &room.service;
                let free = room.long_running_room() as f64 / MILLIS_PER_CORE;
                let reserve = room.reserve as f64 / MILLIS_PER_CORE;
                self.metrics.add_value("admission.room", service, free);
                self.metrics.add_value("admission.reserve", service, reserve);
            }
        }
    }
}

/// Asks the owners for the room of their cells periodically, and for the load of those whose room is
/// not known. The request also tells an owner that this instance is live.
pub(crate) async fn follow_rooms(state: Rc<DaemonState>) {
    let mut known = BTreeSet::new();
    loop {
        time::sleep(ROOM_INTERVAL).await;
        state.report_admission(&mut known);
        for cell in state.all_cells() {
            let state = Rc::clone(&state);
            monoio::spawn(async move {
                let (id, asker) = (cell.id, state.settings.peer_address);
                let answer = state.query_owner(&OwnerQuestion::Room { cell: id, asker }).await;
                let has_failed = answer.is_err();
                state.update_room(id, answer);
                // An owner of an earlier build knows only the question for the load, and may close
                // the connection at the other one.
                if has_failed && state.admission.borrow().report(clock::now(), id).is_none() {
                    let question = OwnerQuestion::Load { cell: id, asker };
                    state.update_room(id, state.query_owner(&question).await);
                }
            });
        }
    }
}
