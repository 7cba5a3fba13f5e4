//! Stops, throttles and evictions of attempts, and the slowdown predictions that trigger them.

use crate::{
    event::ExchangeError,
    ids::{AttemptNumber, ClassName, MonotonicTime},
    interference::MitigationAction,
    ledger::{JournalEntry, TaskId},
    log::TASK_THROTTLED,
    reducer::{step::StepContext, TRANSIT_BOUND},
    settings::PlacementPolicy,
    worker::{UsageWindow, WorkerReply, WorkerReport, WorkerRequest},
};

use super::group::{
    GroupExchange, GroupView, RunPhase, StopReason, TaskGroup, TaskModels, EVICTION_AVOIDANCE,
};

const THROTTLED_CPU_PERCENT: u8 = 50;

impl TaskGroup {
    /// Returns the class and the expected CPU use, in cores, of each attempt on a worker.
    fn class_cores(&self, name: &str) -> Vec<(&str, f64)> {
        let Some(worker) = self.workers.get(name) else { return Vec::new() };
        let runs = worker.runs.iter().filter_map(|task| self.runs.get(task));
        runs.map(|run| (run.class.as_str(), run.cores())).collect()
    }

    /// Returns the predicted slowdown of a latency-critical class on a machine, as a factor; 1.0 is
    /// none.
    pub fn slowdown_on(&self, models: &TaskModels, machine: &str, class: &str) -> f64 {
        let workers = self.workers.on_machine(machine);
        let runs = workers.flat_map(|worker| &worker.runs).filter_map(|task| self.runs.get(task));
        models.interference.predict(class, runs.map(|run| (run.class.as_str(), run.cores())))
    }

    /// Returns the highest predicted slowdown factor among the latency-critical classes on a
    /// worker's machine, with `added` (class and cores) included if given.
    pub(super) fn worst_slowdown(
        &self,
        view: &GroupView<'_>,
        models: &TaskModels,
        name: &str,
        added: Option<(&str, f64)>,
    ) -> f64 {
        let Some(worker) = self.workers.get(name) else { return 1.0 };
        let victims = (view.classes_on)(&worker.machine);
        if victims.is_empty() {
            return 1.0;
        }
        let cores = self.class_cores(name);
        let predict = |(class, _): &(ClassName, u32)| {
            models.interference.predict(class, cores.iter().copied().chain(added))
        };
        victims.iter().map(predict).fold(1.0, f64::max)
    }

    /// Updates the models with the reported usage windows and reacts to slowdowns. Only the learned
    /// policy throttles and evicts.
    pub(super) fn process_usage(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &mut TaskModels,
        name: &str,
        report: &WorkerReport,
    ) {
        for window in &report.usage {
            models.interference.learn(window);
            self.learn_sizes(step.now(), models, name, window);
            if step.settings.policy != PlacementPolicy::Learned {
                continue;
            }
            let reported = window.slowdowns.iter().map(|(_, value)| *value).fold(1.0, f64::max);
            let slowdown = reported.max(self.worst_slowdown(view, models, name, None));
            let Some(worker) = self.workers.get_mut(name) else { return };
            match worker.mitigator.on_report(step.now(), slowdown) {
                MitigationAction::Keep => {}
                MitigationAction::Throttle => {
                    self.throttle_most_interfering(step, view, models, name)
                }
                MitigationAction::Unthrottle => self.unthrottle(step, view, name),
                MitigationAction::Evict => self.evict_most_interfering(step, view, models, name),
            }
        }
    }

    /// Records the cores used per task of each class. The window reports the sum of a class. It is
    /// used only if the tasks of the class did not change during the window and none of them was
    /// throttled.
    fn learn_sizes(
        &self,
        now: MonotonicTime,
        models: &mut TaskModels,
        name: &str,
        window: &UsageWindow,
    ) {
        let Some(worker) = self.workers.get(name) else { return };
        let length = std::time::Duration::from_millis(window.length_ms);
        let Some(began) = now.checked_sub(window.age() + length) else { return };
        for (class, cores) in &window.neighbours {
            let unchanged = worker.class_changed_at.get(class).is_some_and(|at| *at <= began);
            let runs = worker.runs.iter().filter_map(|task| self.runs.get(task));
            let class_runs: Vec<_> = runs.filter(|run| run.class == *class).collect();
            let unthrottled = class_runs.iter().all(|run| run.percent == 100);
            if unchanged
                && unthrottled
                && !class_runs.is_empty()
                && cores.is_finite()
                && *cores >= 0.0
            {
                models.sizes.observe(class, (cores * 1_000.0) as u64 / class_runs.len() as u64);
            }
        }
    }

    /// Returns the running task of a worker with the highest predicted slowdown of latency-critical
    /// classes; of equal ones, the one with the most cores.
    fn most_interfering_task(
        &self,
        view: &GroupView<'_>,
        models: &TaskModels,
        name: &str,
    ) -> Option<TaskId> {
        let worker = self.workers.get(name)?;
        let victims = (view.classes_on)(&worker.machine);
        let interference = |task: &TaskId| {
            let run = self.runs.get(task)?;
            if run.phase != RunPhase::Running || run.stop.is_some() {
                return None;
            }
            let per_core = victims
                .iter()
                .map(|(victim, _)| models.interference.coefficient(victim, &run.class))
                .fold(0.0, f64::max);
            Some((per_core * run.cores(), run.cores(), *task))
        };
        let tasks = worker.runs.iter().filter_map(interference);
        let worst = tasks.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
        Some(worst.2)
    }

    fn throttle_most_interfering(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &TaskModels,
        name: &str,
    ) {
        let task = self.most_interfering_task(view, models, name);
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(task) = task else { return worker.mitigator.clear_throttle() };
        worker.throttled = Some(task);
        self.set_cpu_share(step, view, name, task, THROTTLED_CPU_PERCENT);
    }

    fn unthrottle(&mut self, step: &mut StepContext, view: &GroupView<'_>, name: &str) {
        let throttled = self.workers.get_mut(name).and_then(|worker| worker.throttled.take());
        if let Some(task) = throttled {
            self.set_cpu_share(step, view, name, task, 100);
        }
    }

    pub(super) fn set_cpu_share(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        name: &str,
        task: TaskId,
        percent: u8,
    ) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        run.percent = percent;
        let attempt = run.placement.attempt;
        let wire_id = self.wire_id(task);
        step.log(TASK_THROTTLED, format!("{wire_id} on {name}: {percent} %"));
        let request = WorkerRequest::Throttle { task: wire_id, attempt, percent };
        let exchange = GroupExchange::Throttle(name.to_owned());
        self.call_worker(step, view, name, request, exchange);
    }

    fn evict_most_interfering(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        models: &TaskModels,
        name: &str,
    ) {
        let throttled = self.workers.get_mut(name).and_then(|worker| worker.throttled.take());
        let Some(task) = throttled.or_else(|| self.most_interfering_task(view, models, name))
        else {
            return;
        };
        self.request_stop(task, StopReason::Evict);
        self.try_stop(step, view, task);
    }

    /// Stops all attempts on a leaving worker, with checkpoints.
    pub(super) fn drain_worker(
        &mut self,
        step: &mut StepContext,
        view: &GroupView<'_>,
        name: &str,
    ) {
        let Some(worker) = self.workers.get(name) else { return };
        for task in worker.runs.iter().copied().collect::<Vec<_>>() {
            self.request_stop(task, StopReason::Leave);
            self.try_stop(step, view, task);
        }
    }

    fn request_stop(&mut self, task: TaskId, reason: StopReason) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.stop.get_or_insert(reason);
        }
    }

    /// Resends the stop requests for those attempts of a worker that are still to be stopped.
    pub(super) fn retry_stops(&mut self, step: &mut StepContext, view: &GroupView<'_>, name: &str) {
        let Some(worker) = self.workers.get(name) else { return };
        let to_stop = |task: &TaskId| self.runs.get(task).is_some_and(|run| run.stop.is_some());
        for task in worker.runs.iter().copied().filter(to_stop).collect::<Vec<_>>() {
            self.try_stop(step, view, task);
        }
    }

    /// Sends the stop request for a running attempt that is to be stopped, unless it must wait. A
    /// stop with a checkpoint waits while the store does not confirm writes, since the checkpoint
    /// could not be committed. Any stop waits while a change of the task is being committed.
    pub(super) fn try_stop(&mut self, step: &mut StepContext, view: &GroupView<'_>, task: TaskId) {
        let Some(run) = self.runs.get(&task) else { return };
        let Some(reason) = run.stop.filter(|_| run.phase == RunPhase::Running && !run.stopping)
        else {
            return;
        };
        let uncommitted = self
            .journal
            .segment()
            .is_some_and(|segment| segment.committed_states.contains_key(&task));
        if uncommitted || (reason != StopReason::Cancel && self.journal.is_stalled(step.now())) {
            return;
        }
        let (attempt, name) = (run.placement.attempt, run.placement.worker.clone());
        let checkpoint = reason != StopReason::Cancel;
        let request = WorkerRequest::Stop { task: self.wire_id(task), attempt, checkpoint };
        let exchange = GroupExchange::Stop(task, attempt, name.clone());
        if self.call_worker(step, view, &name, request, exchange).is_some() {
            if let Some(run) = self.runs.get_mut(&task) {
                run.stopping = true;
            }
        }
    }

    pub(super) fn on_stop_ended(
        &mut self,
        step: &mut StepContext,
        task: TaskId,
        attempt: AttemptNumber,
        result: &Result<WorkerReply, ExchangeError>,
    ) {
        let now = step.now();
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.placement.attempt != attempt || !run.stopping {
            return;
        }
        run.stopping = false;
        if run.phase == RunPhase::Ended {
            return;
        }
        let name = run.placement.worker.clone();
        match result {
            Ok(WorkerReply::Stopped { ended: Some(end), .. }) => {
                self.process_end(step, &name, task, attempt, end);
            }
            Ok(WorkerReply::Stopped { checkpoint, .. }) => {
                self.process_stop(now, task, attempt, checkpoint.clone());
            }
            Err(ExchangeError::NotSent) => {}
            Ok(_) | Err(ExchangeError::Refused(_)) => {
                self.mark_unconfirmed(now, &name, task, attempt)
            }
            Err(ExchangeError::Lost) => {
                self.mark_unconfirmed(now + TRANSIT_BOUND, &name, task, attempt)
            }
        }
    }

    /// Stages the end of an attempt that was still running when it was stopped. An evicted task
    /// avoids the machine for [`EVICTION_AVOIDANCE`].
    fn process_stop(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        attempt: AttemptNumber,
        checkpoint: Option<String>,
    ) {
        let Some(run) = self.runs.get(&task) else { return };
        let checkpoint = checkpoint.or_else(|| run.checkpoint.clone());
        if run.stop == Some(StopReason::Cancel) {
            return self.stage_end(JournalEntry::Interrupted(task, attempt, None), None);
        }
        if run.stop == Some(StopReason::Evict) {
            if let Some(worker) = self.workers.get(&run.placement.worker) {
                self.avoided_machines
                    .insert(task, (worker.machine.clone(), now + EVICTION_AVOIDANCE));
            }
        }
        self.stage_end(JournalEntry::Evicted(task, attempt, checkpoint), None);
    }
}
