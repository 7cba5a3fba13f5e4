//! Workers of a group: what they hold, which have room, and when each is due for a renewal.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
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

/// State of a worker.
#[derive(Debug)]
pub struct WorkerState {
    /// Address.
    pub address: SocketAddr,
    /// Machine.
    pub machine: MachineName,
    /// Size.
    pub size: ResourceSize,
    /// State by the platform's list and own observations.
    pub state: TargetState,
    /// Whether the platform no longer lists the worker.
    pub ended: bool,
    /// Whether the worker has listed its tasks since the takeover.
    pub listed: bool,
    /// Attempts not known to have ended.
    pub runs: BTreeSet<TaskId>,
    /// Size set aside for them.
    pub held: ResourceSize,
    /// Size of attempts that the worker lists and the ledger does not place there.
    pub foreign: ResourceSize,
    /// Results of recent attempts.
    pub health: HealthRecord<TaskId>,
    /// No start before this time, after a start that did not reach the worker or did not fit.
    pub backoff_until: MonotonicTime,
    /// Hysteresis against slowdowns.
    pub mitigator: InterferenceMitigator,
    /// Task that is throttled.
    pub throttled: Option<TaskId>,
    /// Last answer.
    pub answered_at: Option<MonotonicTime>,
    /// When the last list was sent that was not answered.
    pub unanswered_list_at: Option<MonotonicTime>,
    /// Highest end seen.
    pub last_seen_end: u64,
    /// Highest end up to which all are committed.
    pub committed_end: u64,
    /// Ends that are not committed yet.
    pub uncommitted_ends: u32,
    /// Whether a renewal is in progress.
    pub renewing: bool,
    /// Whether a list is in progress.
    pub listing: bool,
    /// When a task of each class last started or ended.
    pub class_changed: HashMap<ClassName, MonotonicTime>,
    due: MonotonicTime,
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
            held: ResourceSize::default(),
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
            class_changed: HashMap::new(),
            due,
            index_key: None,
        }
    }

    /// Returns the size that is free.
    pub fn free(&self) -> ResourceSize {
        self.size.minus(&self.held).minus(&self.foreign)
    }

    /// Tells whether the worker has not answered for several lists. Its leases are not renewed
    /// then, so that they lapse for sure, and it gets no task.
    pub fn is_silent(&self, now: MonotonicTime) -> bool {
        self.answered_at.is_none_or(|at| now >= at + SILENCE_TIMEOUT)
    }

    /// Tells whether the worker may get a task now.
    pub fn can_start(&self, now: MonotonicTime) -> bool {
        self.state == TargetState::Live
            && !self.ended
            && self.listed
            && !self.is_silent(now)
            && now >= self.backoff_until
            && self.health.allows_start(now)
    }
}

/// Workers of a group.
#[derive(Debug, Default)]
pub struct WorkerTable {
    workers: BTreeMap<TargetName, WorkerState>,
    machines: HashMap<MachineName, BTreeSet<TargetName>>,
    free_index: BTreeSet<(u8, u64, TargetName)>,
    due: BTreeSet<(MonotonicTime, TargetName)>,
    sizes: Vec<(ResourceSize, usize)>,
}

impl WorkerTable {
    /// Returns a worker.
    pub fn get(&self, name: &str) -> Option<&WorkerState> {
        self.workers.get(name)
    }

    /// Returns a worker.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut WorkerState> {
        self.workers.get_mut(name)
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &WorkerState)> {
        self.workers.iter()
    }

    /// Returns the workers of a machine.
    pub fn on_machine(&self, machine: &str) -> impl Iterator<Item = &WorkerState> {
        let names = self.machines.get(machine);
        names.into_iter().flatten().filter_map(|name| self.workers.get(name))
    }

    /// Adds a worker or takes over its changed fields. Returns whether its size is new in the
    /// group, so that tasks may fit that did not before.
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

    /// Notes that the platform no longer lists a worker. It is kept until its attempts have ended.
    pub fn end(&mut self, name: &str) {
        self.forget_size(name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.ended = true;
        }
        self.unindex_free(name);
        self.drop_if_unused(name);
    }

    /// Adds a worker that the ledger names and the platform does not list.
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

    /// Sets the size of an attempt aside.
    pub fn hold(&mut self, name: &str, task: TaskId, size: &ResourceSize) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.runs.insert(task) {
            worker.held = worker.held.plus(size);
        }
    }

    /// Gives the size of an attempt back.
    pub fn release(&mut self, name: &str, task: TaskId, size: &ResourceSize) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.runs.remove(&task) {
            worker.held = worker.held.minus(size);
        }
        if worker.throttled == Some(task) {
            worker.throttled = None;
            worker.mitigator.clear_throttle();
        }
        self.drop_if_unused(name);
    }

    /// Puts a worker at its place in the index of free workers, by slowdown and free cores.
    /// Returns whether it is there.
    pub fn index_free(&mut self, now: MonotonicTime, name: &str, slowdown: f64) -> bool {
        self.unindex_free(name);
        let Some(worker) = self.workers.get_mut(name) else { return false };
        if !worker.can_start(now) {
            return false;
        }
        let level = ((slowdown - 1.0) * 4.0).clamp(0.0, 15.0) as u8;
        let index_key = (level, worker.free().millicores);
        worker.index_key = Some(index_key);
        self.free_index.insert((index_key.0, index_key.1, name.to_owned()));
        true
    }

    /// Returns workers with at least these free cores, those with the least slowdown first and
    /// among them those with the least room.
    pub fn with_free_cores(&self, millicores: u64) -> impl Iterator<Item = &TargetName> {
        (0..=15u8).flat_map(move |level| {
            let range = (level, millicores, String::new())..(level + 1, 0, String::new());
            self.free_index.range(range).map(|(_, _, name)| name)
        })
    }

    /// Tells whether a worker of the group is large enough.
    pub fn could_hold(&self, size: &ResourceSize) -> bool {
        self.sizes.iter().any(|(held, _)| size.fits(held))
    }

    /// Returns a worker that is due, and makes it due again at `next`.
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

    /// Makes a worker due at `at` if that is sooner than planned.
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
