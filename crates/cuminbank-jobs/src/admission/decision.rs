//! Decision of an instance on a submitted job.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::report::{RoomReport, ServiceRoom};
use crate::{
    cells::MAX_LOAD_AGE,
    ids::{CellId, MonotonicTime, ServiceName},
    job::JobRecord,
};

/// Multiple of its objective after which the result of a job has no value.
const LATE_MULTIPLE: u64 = 3;

/// Time before a report arrived from which on an admitted job may be missing in it: the owner
/// computes the room every 200 ms, and a slow store needs about 250 ms to write a job.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time in which instances may admit jobs that no report shows: [`REPORT_DELAY`], and 500 ms until the
/// next report.
const UNSEEN_TIME: Duration = Duration::from_secs(1);
/// Part of the reserve that instances may use together in that time, since jobs are admitted whole.
/// What is left of it covers quick callers at their usual rate, as bursts are up to 2.5 times that.
const OVERDRAFT_DIVISOR: u64 = 2;
/// Time over which an instance counts the long-running jobs that it is asked to admit. It concludes
/// from them how many come to all instances, as a load balancer spreads them evenly. About one comes
/// per second to several tens of instances, so that a shorter time would often contain none.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(30);
/// Number of jobs that an instance adds to those that it has counted, since the one to be decided on
/// is not among them.
const ARRIVAL_MARGIN: u64 = 1;
/// Least number of jobs that are expected to come in [`UNSEEN_TIME`]: clients try up to four times, and
/// those that were refused at the same time return together.
const MIN_ARRIVALS: u64 = 4;
/// Maximum number of counted jobs. With so many, all instances count as having been asked.
const MAX_ARRIVALS: usize = 64;
/// Maximum number of instances, so that no figure in a report makes the arithmetic overflow.
const MAX_INSTANCES: u64 = 10_000;
/// How many times longer the expected wait of an infeasible job is than its value lasts. Estimated run
/// times are off by up to 90 %.
const INFEASIBLE_EXCESS: u64 = 2;
/// Bounds of the time after which a refused client returns. Clients try up to four times and give
/// up after some seconds.
const MIN_RETURN: Duration = Duration::from_secs(1);
const MAX_RETURN: Duration = Duration::from_secs(5);

/// Why a job is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// Long-running jobs hold all that the reserve leaves.
    NoRoom,
    /// The job cannot end before its result has lost its value.
    Infeasible,
}

impl RefusalCause {
    /// Returns the cause for the client and the log. It promises that nothing has run.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoRoom => "not accepted, not stored and never run: no room for long-running jobs",
            Self::Infeasible => {
                "not accepted, not stored and never run: the work ahead takes too long"
            }
        }
    }
}

/// Refusal of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// Time after which the client should submit the job again, in whole seconds.
    pub retry_after_s: u64,
}

/// Decision on a submitted job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Accept the job.
    Admit,
    /// Refuse it, unless it is stored already.
    Refuse(AdmissionRefusal),
}

/// Long-running job that this instance has admitted.
#[derive(Clone, Debug)]
struct AdmittedJob {
    at: MonotonicTime,
    service: ServiceName,
    cpu_millis: u64,
}

/// Return of a refused client.
#[derive(Clone, Copy, Debug, Default)]
struct ReturnTime {
    /// When room is expected for its job.
    expected_at: MonotonicTime,
    /// The same after rounding up to the whole seconds that the client is told. The time of the next
    /// client follows from the former, as the roundings would add up. It only may not be earlier.
    returns_at: MonotonicTime,
}

/// What an instance knows of a cell.
#[derive(Clone, Debug, Default)]
struct CellRoom {
    received_at: MonotonicTime,
    report: RoomReport,
    /// Long-running jobs that may be missing in the report.
    admitted: VecDeque<AdmittedJob>,
    /// Times at which this instance was asked to admit a long-running job.
    arrivals: VecDeque<MonotonicTime>,
    /// When the client that was refused last for lack of room returns, by service.
    last_returns: BTreeMap<ServiceName, ReturnTime>,
}

/// Latest room of each cell, and what this instance has admitted since.
#[derive(Clone, Debug, Default)]
pub struct AdmissionState {
    cells: BTreeMap<CellId, CellRoom>,
}

impl AdmissionState {
    /// Stores the reported room of a cell.
    pub fn update(&mut self, now: MonotonicTime, cell: CellId, report: RoomReport) {
        let room = self.cells.entry(cell).or_default();
        room.admitted.retain(|job| now < job.at + REPORT_DELAY);
        (room.received_at, room.report) = (now, report);
    }

    /// Forgets the room of a cell, whose owner does not know it.
    pub fn forget(&mut self, cell: CellId) {
        self.cells.remove(&cell);
    }

    /// Returns the latest report of a cell that is recent enough to decide by it.
    pub fn report(&self, now: MonotonicTime, cell: CellId) -> Option<&RoomReport> {
        self.room(now, cell).map(|room| &room.report)
    }

    fn room(&self, now: MonotonicTime, cell: CellId) -> Option<&CellRoom> {
        self.cells.get(&cell).filter(|room| now <= room.received_at + MAX_LOAD_AGE)
    }

    /// Returns whether a cell is known to admit a job now.
    pub fn has_room(&self, now: MonotonicTime, cell: CellId, record: &JobRecord) -> bool {
        self.room(now, cell).is_some_and(|room| room.refusal_cause(now, record).is_none())
    }

    /// Decides on a job for a cell. Counts it if it is admitted.
    pub fn decide(
        &mut self,
        now: MonotonicTime,
        cell: CellId,
        record: &JobRecord,
    ) -> AdmissionDecision {
        let known = self.cells.get_mut(&cell);
        let Some(room) = known.filter(|room| now <= room.received_at + MAX_LOAD_AGE) else {
            return AdmissionDecision::Admit;
        };
        let cause = room.refusal_cause(now, record);
        if record.holds_cpu() {
            room.count_arrival(now);
        }
        match cause {
            Some(cause) => {
                let retry_after_s = room.next_return(now, cause, record);
                AdmissionDecision::Refuse(AdmissionRefusal { cause, retry_after_s })
            }
            None => {
                if record.holds_cpu() {
                    let service = record.terms.service.clone();
                    let cpu_millis = record.held_cpu();
                    room.admitted.push_back(AdmittedJob { at: now, service, cpu_millis });
                }
                AdmissionDecision::Admit
            }
        }
    }
}

impl CellRoom {
    fn count_arrival(&mut self, now: MonotonicTime) {
        self.arrivals.retain(|at| now < *at + ARRIVAL_WINDOW);
        self.arrivals.push_back(now);
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
    }

    fn refusal_cause(&self, now: MonotonicTime, record: &JobRecord) -> Option<RefusalCause> {
        let room = self.report.service(&record.terms.service)?;
        if record.holds_cpu() {
            return (!self.may_admit(now, room, record)).then_some(RefusalCause::NoRoom);
        }
        self.is_infeasible(room, record).then_some(RefusalCause::Infeasible)
    }

    /// Returns whether the next long-running job of a service may be admitted, whatever its size.
    /// Jobs admitted since the report count with the mean size, so that a large job delays the next
    /// one no longer than a small job does. Only while no long-running job is known in the cell does
    /// the size of the submitted ones count.
    fn may_admit(&self, now: MonotonicTime, room: &ServiceRoom, record: &JobRecord) -> bool {
        let Some(left) = u64::try_from(room.long_running_room()).ok().filter(|left| *left > 0)
        else {
            return false;
        };
        let of_service = || self.admitted.iter().filter(|job| job.service == room.service);
        let admitted = of_service().count() as u64;
        let instances = u64::from(self.report.instances).clamp(1, MAX_INSTANCES);
        let mean_job = match room.mean_job {
            // The cell has no long-running job yet, whose size could be expected of the next ones.
            0 => {
                let known = of_service().map(|job| job.cpu_millis).chain([record.held_cpu()]);
                known.fold(0, u64::saturating_add) / (admitted + 1)
            }
            mean_job => mean_job,
        };
        let mean_job = mean_job.max(1);
        // Jobs are admitted whole, so that the last one may exceed the room.
        let overdraft = (room.reserve / OVERDRAFT_DIVISOR / mean_job).max(1);
        let jobs = (left / mean_job).saturating_add(overdraft);
        // The room is divided into as many parts as long-running jobs are expected to come to all
        // instances, and into one part for each instance if more are expected. With a part for each,
        // most jobs would be refused beside room, as few jobs come to many instances.
        let recent = self.arrivals.iter().filter(|at| now < **at + ARRIVAL_WINDOW).count() as u64;
        let window = ARRIVAL_WINDOW.as_secs();
        let expected = (recent + ARRIVAL_MARGIN) * instances * UNSEEN_TIME.as_secs();
        // The jobs that come at the start of a pool or after an outage of the store are many at once.
        let expected = expected.max(room.accepted_recently.saturating_mul(window));
        let parts = expected.max(MIN_ARRIVALS * window).min(instances * window);
        let (part, rest) =
            (jobs.saturating_mul(window) / parts, jobs.saturating_mul(window) % parts);
        // What cannot be divided goes to some instances, with each report to others.
        let place = u64::from(self.report.index).wrapping_add(self.report.number) % instances;
        let has_turn = place < rest * instances / parts;
        // Few jobs do not come evenly, so that an instance may be asked twice while most are not.
        let is_uneven = part > 0 && parts < instances * window;
        admitted < part.saturating_add(u64::from(has_turn)).saturating_add(u64::from(is_uneven))
    }

    /// Returns whether a job that ends by itself would clearly end after its result has lost its
    /// value, if all work that may be placed before it has to run first. Long-running tasks that wait
    /// are not considered, as it is not known for how long they leave less room.
    fn is_infeasible(&self, room: &ServiceRoom, record: &JobRecord) -> bool {
        // Best-effort work has no rate by which it drains, and later occurrences wait anyway.
        if record.repeat.is_some() || record.steps.iter().any(|step| step.fills) {
            return false;
        }
        let ahead: u64 = self
            .report
            .queues
            .iter()
            .filter(|queue| queue.service == room.service)
            .filter(|queue| queue.priority <= record.terms.priority)
            .fold(0, |sum, queue| sum.saturating_add(queue.ready_work));
        let Some(wait_ms) = drain_time_ms(room, ahead) else { return false };
        let path_ms = record.critical_paths_ms().into_iter().max().unwrap_or_default();
        let valued_ms = record.objective_ms().saturating_mul(LATE_MULTIPLE);
        // Estimates may be far too long, so that a task of the queue must have waited for as long.
        let queue = self.report.queues.iter().find(|queue| queue.queue == record.terms.queue);
        let waited_ms = queue.map_or(0, |queue| queue.longest_wait.as_millis() as u64);
        // A job without an estimate has no known objective.
        path_ms > 0
            && path_ms.saturating_add(wait_ms / INFEASIBLE_EXCESS) > valued_ms
            && path_ms.saturating_add(waited_ms) > valued_ms
    }

    /// Returns the seconds after which the client of a refused job returns: when room is expected,
    /// and after those of the service that were refused before.
    fn next_return(&mut self, now: MonotonicTime, cause: RefusalCause, record: &JobRecord) -> u64 {
        let service = self.report.service(&record.terms.service);
        let (RefusalCause::NoRoom, Some(room)) = (cause, service) else {
            return MAX_RETURN.as_secs();
        };
        let time_to_end = |cpu_millis: u64| {
            let seconds = cpu_millis as f64 / room.ended_per_second.max(1) as f64;
            Duration::from_secs_f64(seconds.min(MAX_RETURN.as_secs_f64()))
        };
        let lacking = room.long_running_room().min(0).unsigned_abs();
        let wait = if lacking == 0 { MIN_RETURN } else { time_to_end(lacking) };
        let pause = time_to_end(room.mean_job);
        let last = self.last_returns.entry(room.service.clone()).or_default();
        let expected = (now + wait).max(last.expected_at + pause);
        last.expected_at = expected.clamp(now + MIN_RETURN, now + MAX_RETURN);
        let delay = last.expected_at.max(last.returns_at).saturating_sub(now);
        let seconds = (delay.as_millis().div_ceil(1_000) as u64).min(MAX_RETURN.as_secs());
        last.returns_at = now + Duration::from_secs(seconds);
        seconds
    }
}

/// Returns how long work takes that ends by itself, given in thousandths of a core times milliseconds,
/// if long-running jobs end as recently and no other follows them. `None` if that is not known.
fn drain_time_ms(room: &ServiceRoom, work: u64) -> Option<u64> {
    let (usable, work) = (room.usable as f64, work as f64 / 1_000.0);
    let growth = room.ended_per_second as f64;
    let seconds = match (room.usable, room.ended_per_second) {
        (0, 0) => return None,
        (_, 0) => work / usable,
        _ => ((usable * usable + 2.0 * growth * work).sqrt() - usable) / growth,
    };
    Some((seconds * 1_000.0) as u64)
}
