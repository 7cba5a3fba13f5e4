//! Check that long-running tasks do not stay without a run while executors have room, from what the
//! executors run and what was submitted.

use std::{collections::BTreeMap, time::Duration};

use cuminbank_jobs::{
    ids::{JobId, MonotonicTime},
    job::{JobRecord, JobStep, TaskName, TaskNeeds},
};
use cuminbank_platform_standin::executor::FakeExecutor;

/// Time after its last run, or after its job was submitted, from which a task counts as waiting.
const RESTART_TIME: Duration = Duration::from_secs(6);
/// Time for which there must be room throughout while a task waits.
const ROOM_TIME: Duration = Duration::from_secs(3);
/// Time without faults before [`ROOM_TIME`].
const CALM_LEAD: Duration = Duration::from_secs(4);
/// Number of tasks of the same step for which there must be room.
const MIN_ROOM: u32 = 2;

/// Observations of a long-running task.
struct WaitingTask {
    /// Time of its last run, or of the submission of its job.
    last_run: MonotonicTime,
    /// Time since which it has waited beside room.
    beside_room_since: Option<MonotonicTime>,
}

/// Executor as seen at one point in time.
struct ExecutorRoom<'a> {
    executor: &'a FakeExecutor,
    unreserved: TaskNeeds,
}

impl ExecutorRoom<'_> {
    /// Returns how many further tasks of a step the executor can run.
    fn slots(&self, job: &JobRecord, (id, number): (JobId, u32), step: &JobStep) -> u32 {
        let has_label = |label: &String| self.executor.labels.iter().any(|other| other == label);
        if self.executor.service != job.terms.service
            || !step.required_label.as_ref().is_none_or(has_label)
        {
            return 0;
        }
        let fitting = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
        let (free, needs) = (&self.unreserved, &step.needs);
        let slots = fitting(free.cpu_millis, needs.cpu_millis)
            .min(fitting(free.memory_mb, needs.memory_mb))
            .min(fitting(free.gpus, needs.gpus));
        if step.max_per_executor == 0 {
            return slots;
        }
        let own_runs = self.executor.running.iter().map(|run| run.task);
        let own_runs = own_runs.filter(|task| task.job == id && task.step == number).count();
        slots.min(step.max_per_executor.saturating_sub(own_runs as u32))
    }
}

/// Collects the times at which long-running tasks run or wait. Gangs and steps that wait for others
/// are not checked.
#[derive(Default)]
pub struct LostTaskCheck {
    tasks: BTreeMap<TaskName, WaitingTask>,
    /// Time at which the last fault ended.
    disturbed_until: MonotonicTime,
}

impl LostTaskCheck {
    /// Adds the long-running tasks of a job.
    pub fn submitted(&mut self, now: MonotonicTime, job: JobId, record: &JobRecord) {
        for (step, spec) in record.steps.iter().enumerate() {
            if !spec.long_running || spec.gang || !spec.after.is_empty() {
                continue;
            }
            for index in 0..spec.count {
                let name = TaskName { job, occurrence: 0, step: step as u32, index };
                let task = WaitingTask { last_run: now, beside_room_since: None };
                self.tasks.entry(name).or_insert(task);
            }
        }
    }

    /// Removes the tasks of a cancelled job.
    pub fn cancelled(&mut self, job: JobId) {
        self.tasks.retain(|name, _| name.job != job);
    }

    /// Records the start of a run.
    pub fn started(&mut self, now: MonotonicTime, name: TaskName) {
        if let Some(task) = self.tasks.get_mut(&name) {
            *task = WaitingTask { last_run: now, beside_room_since: None };
        }
    }

    /// Records a fault that lasts until a point in time.
    pub fn disturbed(&mut self, until: MonotonicTime) {
        self.disturbed_until = self.disturbed_until.max(until);
    }

    /// Returns the tasks that have waited beside room for too long. `usable` are the executors that
    /// are up, healthy, ready and open for new work.
    pub fn sample<'a>(
        &mut self,
        now: MonotonicTime,
        records: &BTreeMap<JobId, JobRecord>,
        executors: &[FakeExecutor],
        usable: impl Iterator<Item = &'a FakeExecutor>,
    ) -> Vec<String> {
        for run in executors.iter().filter(|executor| executor.up).flat_map(|up| &up.running) {
            self.started(now, run.task);
        }
        let calm = now >= self.disturbed_until + CALM_LEAD;
        let is_waiting = |task: &WaitingTask| now >= task.last_run + RESTART_TIME;
        if !calm || !self.tasks.values().any(is_waiting) {
            self.tasks.values_mut().for_each(|task| task.beside_room_since = None);
            return Vec::new();
        }
        let rooms: Vec<ExecutorRoom> = usable
            .map(|executor| ExecutorRoom { executor, unreserved: unreserved(executor, records) })
            .collect();
        let mut slots_of_step = BTreeMap::new();
        let mut violations = Vec::new();
        for (name, task) in self.tasks.iter_mut().filter(|(_, task)| is_waiting(task)) {
            let step = (name.job, name.step);
            let slots: &Vec<(&str, u32)> = slots_of_step.entry(step).or_insert_with(|| {
                let record = &records[&name.job];
                let spec = &record.steps[name.step as usize];
                let slots = rooms
                    .iter()
                    .map(|room| (room.executor.name.as_str(), room.slots(record, step, spec)));
                slots.filter(|(_, slots)| *slots > 0).collect()
            });
            let total = slots.iter().fold(0u32, |sum, (_, slots)| sum.saturating_add(*slots));
            if total < MIN_ROOM {
                task.beside_room_since = None;
                continue;
            }
            let since = *task.beside_room_since.get_or_insert(now);
            if now >= since + ROOM_TIME {
                violations.push(format!(
                    "{now:?}: {name:?} without a run since {:?}, beside room since {since:?}, now \
                     {slots:?}",
                    task.last_run
                ));
                task.beside_room_since = None;
            }
        }
        violations
    }
}

/// Returns the capacity of an executor that its runs do not reserve.
fn unreserved(executor: &FakeExecutor, records: &BTreeMap<JobId, JobRecord>) -> TaskNeeds {
    let steps = executor.running.iter().filter_map(|run| {
        let step = records.get(&run.task.job)?.steps.get(run.task.step as usize)?;
        (!step.fills).then_some(step.needs)
    });
    steps.fold(executor.capacity, |free, needs| TaskNeeds {
        cpu_millis: free.cpu_millis.saturating_sub(needs.cpu_millis),
        memory_mb: free.memory_mb.saturating_sub(needs.memory_mb),
        gpus: free.gpus.saturating_sub(needs.gpus),
    })
}
