//! Tail latencies of latency-critical tasks: learning which best-effort images interfere with them,
//! and evicting best-effort tasks where a target is missed.

use std::time::Duration;

use cuminbank::log::BEST_EFFORT_MOVED;

use super::{
    state::{ExecutorKey, JobKey, RunKey, RunPhase, SlackReading},
    JobScheduler,
};
use crate::{
    colocation::{ImageId, SlackLoss, MIN_MOVE_LOSS},
    order::RunReport,
    slack::{SlackReport, RELIEF_SLACK},
};

/// Time window over which executors compute tail latencies.
pub(super) const TAIL_WINDOW: Duration = Duration::from_millis(500);
/// How long an executor gets no new best-effort tasks after a report of a missed target.
const BEST_EFFORT_COOLDOWN: Duration = Duration::from_millis(900);
/// Divisor of [`max_violation_time`](super::SchedulerBounds::max_violation_time). After a violation
/// of the resulting length, all best-effort tasks of the executor are evicted.
const EVICT_ALL_DIVISOR: u32 = 2;

impl JobScheduler {
    /// Updates the interference model from an executor's report, and evicts best-effort tasks if a
    /// latency-critical task misses its target.
    pub(super) fn process_tails(&mut self, key: ExecutorKey, run_reports: &[RunReport]) {
        let now = self.now;
        let executor = &self.executors[key];
        // After a takeover an executor may answer before the list provides its capacity, without
        // which CPU shares cannot be computed.
        if executor.latency_critical_tasks == 0 || executor.capacity.cpu_millis == 0 {
            return;
        }
        let best_effort_shares = self.best_effort_exposures(key);
        let tails = self.collect_tails(key, run_reports, &best_effort_shares);
        for tail in tails.iter().filter(|tail| tail.is_new) {
            self.colocation.learn_estimate(now, tail.victim, tail.loss, &best_effort_shares);
        }
        self.update_losses(key);
        self.record_slacks(key, &tails, &best_effort_shares);
        let executor = &mut self.executors[key];
        let any_violating = tails.iter().any(|tail| tail.report.min_slack < 1.0);
        if any_violating {
            executor.no_best_effort_until = now + BEST_EFFORT_COOLDOWN;
        }
        let Some(violation_time) = executor.violation_timer.update(now, any_violating) else {
            return;
        };
        let evict_all = violation_time >= self.bounds.max_violation_time / EVICT_ALL_DIVISOR;
        let is_violating = |report: &SlackReport| {
            report.slack < 1.0 || (evict_all && report.min_slack < RELIEF_SLACK)
        };
        let violating: Vec<&JobTail> =
            tails.iter().filter(|tail| is_violating(&tail.report)).collect();
        if !violating.is_empty() {
            self.evict_best_effort(key, &violating, violation_time);
        }
    }

    /// Records the slack that each latency-critical image would have without the best-effort tasks
    /// in the window.
    fn record_slacks(
        &mut self,
        key: ExecutorKey,
        tails: &[JobTail],
        best_effort_shares: &[(ImageId, f64)],
    ) {
        let now = self.now;
        let mut slacks: Vec<SlackReading> = Vec::new();
        for tail in tails {
            let victim = tail.victim;
            let slack = tail.report.slack + self.expected_loss(victim, best_effort_shares).mean;
            let known = self.executors[key].slacks.iter().find(|reading| reading.victim == victim);
            let reading = match known.filter(|_| !tail.is_new) {
                Some(known) => *known,
                None => SlackReading { victim, slack, at: now },
            };
            // Of several jobs with the same image, the one with the lowest slack is recorded.
            match slacks.iter_mut().find(|other| other.victim == victim) {
                Some(other) if other.slack <= reading.slack => {}
                Some(other) => *other = reading,
                None => slacks.push(reading),
            }
        }
        self.executors[key].slacks = slacks;
    }

    /// Returns the expected loss of slack that best-effort images cause to a latency-critical
    /// image.
    fn expected_loss(&self, victim: ImageId, best_effort_shares: &[(ImageId, f64)]) -> SlackLoss {
        let loss = |(image, share): &(ImageId, f64)| {
            self.colocation.loss(self.now, victim, *image, *share)
        };
        best_effort_shares.iter().map(loss).fold(SlackLoss::default(), SlackLoss::plus)
    }

    /// Returns whether a report contains a new tail latency, and stores it if so. Executors compute
    /// tail latencies at intervals, and using one twice would give it too much weight.
    fn is_new_reading(&mut self, key: ExecutorKey, job: JobKey, run_report: &RunReport) -> bool {
        let now = self.now;
        let task = self.jobs[job].layout.index(&self.jobs[job].record, run_report.task);
        let run = task.and_then(|task| self.find_run(key, job, task, run_report.run));
        let (Some(run), Some(usage)) = (run, run_report.usage) else { return false };
        let tail = &mut self.runs[run].tail;
        let known = tail.is_some_and(|(last, at)| last == usage && now < at + TAIL_WINDOW);
        if !known {
            *tail = Some((usage, now));
        }
        !known
    }

    /// Groups the tail latencies in an executor's report by job and image, and updates the jobs'
    /// slack estimates with the new ones.
    fn collect_tails(
        &mut self,
        key: ExecutorKey,
        run_reports: &[RunReport],
        best_effort_shares: &[(ImageId, f64)],
    ) -> Vec<JobTail> {
        let now = self.now;
        let mut tails: Vec<JobTail> = Vec::new();
        for run_report in run_reports {
            let Some((job, victim, slack)) = self.slack_of(run_report) else { continue };
            let is_new = self.is_new_reading(key, job, run_report);
            let index = tails.iter().position(|tail| tail.job == job && tail.victim == victim);
            let index = index.unwrap_or_else(|| {
                tails.push(JobTail::new(job, victim));
                tails.len() - 1
            });
            tails[index].report.add(slack);
            tails[index].is_new |= is_new;
        }
        for tail in &mut tails {
            let lost = self.expected_loss(tail.victim, best_effort_shares);
            let estimate = &mut self.jobs[tail.job].slack;
            if tail.is_new {
                estimate.update(now, &tail.report, lost);
                self.calm.record_slack(now, tail.victim, estimate.mean());
            }
            tail.loss = estimate.loss_of(now, &tail.report);
        }
        tails
    }

    /// Returns the job, the image and the slack of a reported latency-critical task.
    fn slack_of(&self, run_report: &RunReport) -> Option<(JobKey, ImageId, f64)> {
        let job_key = *self.job_ids.get(&run_report.task.job)?;
        let job = &self.jobs[job_key];
        let step = job.record.steps.get(run_report.task.step as usize)?;
        let latency_critical = step.tail_target_ms > 0 && !step.fills && run_report.percent == 100;
        let tail = run_report.usage.filter(|_| latency_critical)?.max(1);
        let slack = f64::from(step.tail_target_ms) / tail as f64;
        Some((job_key, job.images[run_report.task.step as usize], slack))
    }

    /// Returns the best-effort images that ran in the current window, each with its share of the
    /// executor's CPU, multiplied by the fraction of the window in which it ran.
    fn best_effort_exposures(&self, key: ExecutorKey) -> Vec<(ImageId, f64)> {
        let now = self.now;
        let executor = &self.executors[key];
        let running = executor.runs.iter().map(|run| &self.runs[*run]);
        let running = running
            .filter(|run| run.best_effort && run.phase != RunPhase::Starting)
            .map(|run| (run.image, run.needs.cpu_millis, run.since, now));
        let recently_ended = executor.recently_ended.iter();
        let recently_ended =
            recently_ended.map(|task| (task.image, task.cpu_millis, task.since, task.at));
        let mut images: Vec<(ImageId, f64)> = Vec::new();
        for (image, cpu_millis, from, until) in running.chain(recently_ended) {
            let from = from.max(now.saturating_sub(TAIL_WINDOW));
            let exposed = until.saturating_sub(from).as_secs_f64() / TAIL_WINDOW.as_secs_f64();
            let share = executor.share_of(cpu_millis) * exposed;
            match images.iter_mut().find(|(known, _)| *known == image) {
                Some((_, sum)) => *sum += share,
                None => images.push((image, share)),
            }
        }
        images.retain(|(_, share)| *share > 0.0);
        images
    }

    /// Evicts best-effort tasks that interfere with latency-critical ones, those that cause the
    /// highest loss first, until the expected relief suffices. Evicts all best-effort tasks once
    /// the violation has lasted for `max_violation_time` / [`EVICT_ALL_DIVISOR`].
    fn evict_best_effort(
        &mut self,
        key: ExecutorKey,
        violating: &[&JobTail],
        violation_time: Duration,
    ) {
        let now = self.now;
        let executor = &self.executors[key];
        let victims: Vec<ImageId> = violating.iter().map(|tail| tail.victim).collect();
        let mut remaining: Vec<f64> = violating.iter().map(|tail| tail.required_relief()).collect();
        let mut candidates: Vec<(Vec<f64>, RunKey)> = executor
            .runs
            .iter()
            .map(|run_key| (&self.runs[*run_key], *run_key))
            .filter(|(run, _)| run.best_effort && run.phase == RunPhase::Running)
            .map(|(run, run_key)| {
                let share = executor.share_of(run.needs.cpu_millis);
                let loss =
                    |victim: &ImageId| self.colocation.loss(now, *victim, run.image, share).mean;
                (victims.iter().map(loss).collect(), run_key)
            })
            .collect();
        let max = |losses: &[f64]| losses.iter().copied().fold(0.0, f64::max);
        candidates.sort_by(|left, right| max(&right.0).total_cmp(&max(&left.0)));
        let evict_all = violation_time >= self.bounds.max_violation_time / EVICT_ALL_DIVISOR;
        for (losses, run_key) in candidates {
            let relieves = remaining
                .iter()
                .zip(&losses)
                .any(|(required_relief, loss)| *required_relief > 0.0 && *loss >= MIN_MOVE_LOSS);
            if !relieves && !evict_all {
                continue;
            }
            for (required_relief, loss) in remaining.iter_mut().zip(&losses) {
                *required_relief -= loss;
            }
            let run = &self.runs[run_key];
            let id = self.jobs[run.job].id;
            let detail = format!(
                "task={} run={} executor={} image={} victims={victims:?} loss={:.2} since_ms={} \
                 ran_ms={} percent={}",
                run.task,
                run.number,
                self.executors[key].name,
                run.image,
                max(&losses),
                violation_time.as_millis(),
                now.saturating_sub(run.since).as_millis(),
                run.percent
            );
            self.log(BEST_EFFORT_MOVED, Some(id), detail);
            self.measure("filling.moved", "", None);
            self.stop_run(run_key, "interferes with a latency-critical task");
        }
    }
}

/// Tail latencies of one job's latency-critical tasks on an executor.
struct JobTail {
    job: JobKey,
    victim: ImageId,
    report: SlackReport,
    /// Estimated loss of slack caused by colocated tasks.
    loss: SlackLoss,
    /// Whether any of the tail latencies is new (see [`JobScheduler::is_new_reading`]).
    is_new: bool,
}

impl JobTail {
    fn new(job: JobKey, victim: ImageId) -> Self {
        let report = SlackReport::default();
        Self { job, victim, report, loss: SlackLoss::default(), is_new: false }
    }

    /// Returns the slack that evictions should restore, which is at most the loss caused by
    /// colocated tasks.
    fn required_relief(&self) -> f64 {
        (RELIEF_SLACK - self.report.slack).min(self.loss.mean)
    }
}
