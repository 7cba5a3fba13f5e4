//! Workers of a group: their reserved sizes, the index of free capacity and the poll schedule.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    ops::Range,
    time::Duration,
};

use crate::{
    event::ListedRole,
    health::HealthRecord,
    ids::{ClassName, MachineName, MonotonicTime, TargetName},
    interference::InterferenceMitigator,
    ledger::TaskId,
    membership::{TargetEntry, TargetState},
    worker::ResourceSize,
};

const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// State of one worker.
#[derive(Debug)]
pub struct WorkerState {
    /// Network address of the worker.
    pub address: SocketAddr,
    /// Machine that the worker runs on.
    pub machine: MachineName,
    /// Total size of the worker.
    pub size: ResourceSize,
    /// State according to the platform's list and the worker's own report.
    pub state: TargetState,
    /// Whether the worker is gone from the platform's list.
    pub ended: bool,
    /// Whether the worker has reported its attempts since the takeover.
    pub listed: bool,
    /// Tasks with an attempt on the worker whose end is not committed.
    pub runs: BTreeSet<TaskId>,
    /// Sum of the sizes reserved for [`Self::runs`].
    pub reserved: ResourceSize,
    /// Sum of the sizes of attempts that the worker reports but the ledger does not place there.
    pub foreign: ResourceSize,
    /// Recent results of attempts, and the quarantine that follows from failures.
    pub health: HealthRecord<TaskId>,
    /// Time before which no task is started on the worker, after a start that did not reach it or
    /// did not fit.
    pub backoff_until: MonotonicTime,
    /// Throttle and eviction state of the worker's machine.
    pub mitigator: InterferenceMitigator,
    /// Task that is throttled now, if any.
    pub throttled: Option<TaskId>,
    /// Time of the last answer.
    pub answered_at: Option<MonotonicTime>,
    /// Time at which the last completed list request was sent, if it failed.
    pub unanswered_list_at: Option<MonotonicTime>,
    /// Highest sequence number of an end that the worker reported.
    pub last_seen_end: u64,
    /// Sequence number up to which all ends are committed.
    pub committed_end: u64,
    /// Number of reported ends that are not committed yet.
    pub uncommitted_ends: u32,
    /// Whether a lease renewal is in flight.
    pub renewing: bool,
    /// Whether a list is in flight.
    pub listing: bool,
    /// Time of the last start or end of a task, by class.
    pub class_changed_at: HashMap<ClassName, MonotonicTime>,
    due: MonotonicTime,
    /// Slowdown level and free millicores by which the worker is in the index of free capacity.
    index_key: Option<(u8, u64)>,
}

impl WorkerState {
    fn new(entry: &TargetEntry, size: ResourceSize, due: MonotonicTime) -> Self {
        Self {
            address: entry.address,
            machine: entry.machine.clone(),
            size,
            state: entry.state,
            ended: false,
            listed: false,
            runs: BTreeSet::new(),
            reserved: ResourceSize::default(),
            foreign: ResourceSize::default(),
            health: HealthRecord::default(),
            backoff_until: MonotonicTime::ZERO,
            mitigator: InterferenceMitigator::default(),
            throttled: None,
            answered_at: None,
            unanswered_list_at: None,
            last_seen_end: 0,
            committed_end: 0,
            uncommitted_ends: 0,
            renewing: false,
            listing: false,
            class_changed_at: HashMap::new(),
            due,
            index_key: None,
        }
    }

    /// Returns the free size: the total size minus reservations and foreign attempts.
    pub fn free(&self) -> ResourceSize {
        self.size.minus(&self.reserved).minus(&self.foreign)
    }

    /// Whether the worker has not answered for 3 s, which spans several lists. Its leases are no
    /// longer renewed then, so that they certainly expire, and no task is started on it.
    pub fn is_silent(&self, now: MonotonicTime) -> bool {
        self.answered_at.is_none_or(|at| now >= at + SILENCE_TIMEOUT)
    }

    /// Whether a task may be started on the worker now.
    pub fn can_start(&self, now: MonotonicTime) -> bool {
        self.state == TargetState::Live
            && !self.ended
            && self.listed
            && !self.is_silent(now)
            && now >= self.backoff_until
            && self.health.allows_start(now)
    }
}

/// Workers of a group, with indexes by machine, free capacity and poll time.
#[derive(Debug, Default)]
pub struct WorkerTable {
    workers: BTreeMap<TargetName, WorkerState>,
    machines: HashMap<MachineName, BTreeSet<TargetName>>,
    /// Slowdown level, free millicores and name of each worker that can start a task.
    free_index: BTreeSet<(u8, u64, TargetName)>,
    due: BTreeSet<(MonotonicTime, TargetName)>,
    /// Distinct sizes of listed workers, with the number of workers of each.
    sizes: Vec<(ResourceSize, usize)>,
}

impl WorkerTable {
    /// Looks up a worker by name.
    pub fn get(&self, name: &str) -> Option<&WorkerState> {
        self.workers.get(name)
    }

    /// Looks up a worker by name.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut WorkerState> {
        self.workers.get_mut(name)
    }

    /// Returns all workers, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &WorkerState)> {
        self.workers.iter()
    }

    /// Returns the workers on a machine.
    pub fn on_machine(&self, machine: &str) -> impl Iterator<Item = &WorkerState> {
        let names = self.machines.get(machine);
        names.into_iter().flatten().filter_map(|name| self.workers.get(name))
    }

    /// Adds a worker or updates its listed fields. Returns whether the group had no worker of this
    /// size before, so that tasks that did not fit any worker may fit now.
    pub fn update(&mut self, entry: &TargetEntry, due: MonotonicTime) -> bool {
        let ListedRole::Worker { size } = entry.role else { return false };
        let is_new = !self.sizes.iter().any(|(known, _)| *known == size);
        self.forget_size(&entry.name);
        let worker = self
            .workers
            .entry(entry.name.clone())
            .or_insert_with(|| WorkerState::new(entry, size, due));
        if let Some(names) = self.machines.get_mut(&worker.machine) {
            names.remove(&entry.name);
        }
        (worker.address, worker.size) = (entry.address, size);
        (worker.state, worker.ended) = (entry.state, false);
        worker.machine.clone_from(&entry.machine);
        self.due.insert((worker.due, entry.name.clone()));
        self.machines.entry(entry.machine.clone()).or_default().insert(entry.name.clone());
        self.add_size(size);
        is_new
    }

    /// Marks a worker as gone from the platform's list. It is kept until its attempts have ended.
    pub fn end(&mut self, name: &str) {
        self.forget_size(name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.ended = true;
        }
        self.unindex_free(name);
        self.drop_if_unused(name);
    }

    /// Adds a worker that the ledger names but the platform does not list.
    pub fn add_missing(&mut self, name: &str) {
        if self.workers.contains_key(name) {
            return;
        }
        let entry = TargetEntry {
            name: name.to_owned(),
            role: ListedRole::Worker { size: ResourceSize::default() },
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            rack: String::new(),
            machine: String::new(),
            group: 0,
            state: TargetState::Suspect,
        };
        let mut worker = WorkerState::new(&entry, ResourceSize::default(), MonotonicTime::ZERO);
        worker.ended = true;
        self.due.insert((worker.due, name.to_owned()));
        self.workers.insert(name.to_owned(), worker);
    }

    /// Reserves the size of an attempt on its worker.
    pub fn reserve(&mut self, name: &str, task: TaskId, size: &ResourceSize) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.runs.insert(task) {
            worker.reserved = worker.reserved.plus(size);
        }
    }

    /// Frees the size of an attempt, and drops its worker if that is gone from the list and now
    /// empty.
    pub fn release(&mut self, name: &str, task: TaskId, size: &ResourceSize) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.runs.remove(&task) {
            worker.reserved = worker.reserved.minus(size);
        }
        if worker.throttled == Some(task) {
            worker.throttled = None;
            worker.mitigator.clear_throttle();
        }
        self.drop_if_unused(name);
    }

    /// Updates a worker in the index of free capacity, keyed by slowdown and free cores. Returns
    /// whether the worker is in the index, which requires that it can start a task.
    pub fn index_free(&mut self, now: MonotonicTime, name: &str, slowdown: f64) -> bool {
        self.unindex_free(name);
        let Some(worker) = self.workers.get_mut(name) else { return false };
        if !worker.can_start(now) {
            return false;
        }
        // Levels are steps of 0.25 above the slowdown factor 1.0.
        let level = ((slowdown - 1.0) * 4.0).clamp(0.0, 15.0) as u8;
        let index_key = (level, worker.free().millicores);
        worker.index_key = Some(index_key);
        self.free_index.insert((index_key.0, index_key.1, name.to_owned()));
        true
    }

    /// Returns the workers with free millicores in a range, by ascending slowdown level and then by
    /// ascending number of free cores.
    pub fn with_free_cores(&self, millicores: Range<u64>) -> impl Iterator<Item = &TargetName> {
        let levels = if millicores.is_empty() { 0..0 } else { 0..16_u8 };
        levels.flat_map(move |level| {
            let from = (level, millicores.start, String::new());
            let to = (level, millicores.end, String::new());
            self.free_index.range(from..to).map(|(_, _, name)| name)
        })
    }

    /// Whether some worker of the group is large enough for a size, free or not.
    pub fn fits_any_worker(&self, size: &ResourceSize) -> bool {
        self.sizes.iter().any(|(worker_size, _)| size.fits(worker_size))
    }

    /// Returns the next worker due for a poll, and schedules its next poll at `next`.
    pub fn take_due(&mut self, now: MonotonicTime, next: MonotonicTime) -> Option<TargetName> {
        let (due, _) = self.due.first()?;
        if *due > now {
            return None;
        }
        let (_, name) = self.due.pop_first()?;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.due = next;
            self.due.insert((next, name.clone()));
        }
        Some(name)
    }

    /// Brings the next poll of a worker forward to `at`, unless it is due earlier.
    pub fn poll_by(&mut self, name: &str, at: MonotonicTime) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.due <= at {
            return;
        }
        self.due.remove(&(worker.due, name.to_owned()));
        worker.due = at;
        self.due.insert((at, name.to_owned()));
    }

    fn unindex_free(&mut self, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if let Some((level, free)) = worker.index_key.take() {
            self.free_index.remove(&(level, free, name.to_owned()));
        }
    }

    fn drop_if_unused(&mut self, name: &str) {
        let unused = |worker: &WorkerState| worker.ended && worker.runs.is_empty();
        if !self.workers.get(name).is_some_and(unused) {
            return;
        }
        self.unindex_free(name);
        let Some(worker) = self.workers.remove(name) else { return };
        self.due.remove(&(worker.due, name.to_owned()));
        if let Some(names) = self.machines.get_mut(&worker.machine) {
            names.remove(name);
        }
    }

    fn add_size(&mut self, size: ResourceSize) {
        match self.sizes.iter_mut().find(|(known, _)| *known == size) {
            Some((_, count)) => *count += 1,
            None => self.sizes.push((size, 1)),
        }
    }

    fn forget_size(&mut self, name: &str) {
        let Some(worker) = self.workers.get(name).filter(|worker| !worker.ended) else { return };
        let size = worker.size;
        if let Some((_, count)) = self.sizes.iter_mut().find(|(known, _)| *known == size) {
            *count -= 1;
        }
        self.sizes.retain(|(_, count)| *count > 0);
    }
}
