//! Tails of serving tasks: what is learned from them, and relief for services over their bound.

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

/// Window of the tail latency that executors report.
pub(super) const TAIL_WINDOW: Duration = Duration::from_millis(500);
/// Time after a report of a tail over its bound in which the executor gets no filling tasks.
const CALM_TIME: Duration = Duration::from_millis(900);
/// Part of the longest time over the bound after which all filling tasks are moved.
const ALL_SUSPECTS_PART: u32 = 2;

impl JobScheduler {
    /// Learns from an executor's report which filling tasks disturb serving ones, and relieves a
    /// serving task that is over its bound.
    pub(super) fn watch_tails(&mut self, key: ExecutorKey, rows: &[RunReport]) {
        let now = self.now;
        let executor = &self.executors[key];
        // After a takeover an executor may answer before the list says how large it is, and nothing can
        // be told of shares of it.
        if executor.serving == 0 || executor.capacity.cpu_millis == 0 {
            return;
        }
        let filling = self.exposed_filling(key);
        let tails = self.tails_of(key, rows, &filling);
        for tail in tails.iter().filter(|tail| tail.fresh) {
            self.colocation.learn_estimate(now, tail.victim, tail.loss, &filling);
        }
        self.update_losses(key);
        self.note_slacks(key, &tails, &filling);
        let executor = &mut self.executors[key];
        let any_over = tails.iter().any(|tail| tail.report.least < 1.0);
        if any_over {
            executor.no_filling_until = now + CALM_TIME;
        }
        let Some(since) = executor.violation_timer.update(now, any_over) else { return };
        let all_due = since >= self.bounds.harm_time / ALL_SUSPECTS_PART;
        let is_over =
            |report: &SlackReport| report.slack < 1.0 || (all_due && report.least < RELIEF_SLACK);
        let over: Vec<&ServiceTail> = tails.iter().filter(|tail| is_over(&tail.report)).collect();
        if !over.is_empty() {
            self.move_filling(key, &over, since);
        }
    }

    /// Notes the slack that each service would have without the filling tasks that show in it.
    fn note_slacks(&mut self, key: ExecutorKey, tails: &[ServiceTail], filling: &[(ImageId, f64)]) {
        let now = self.now;
        let mut slacks: Vec<SlackReading> = Vec::new();
        for tail in tails {
            let victim = tail.victim;
            let slack = tail.report.slack + self.loss_beside(victim, filling).mean;
            let known = self.executors[key].slacks.iter().find(|reading| reading.victim == victim);
            let reading = match known.filter(|_| !tail.fresh) {
                Some(known) => *known,
                None => SlackReading { victim, slack, at: now },
            };
            // The job that is worst off counts.
            match slacks.iter_mut().find(|other| other.victim == victim) {
                Some(other) if other.slack <= reading.slack => {}
                Some(other) => *other = reading,
                None => slacks.push(reading),
            }
        }
        self.executors[key].slacks = slacks;
    }

    /// Returns the loss of slack that filling images are expected to cause to a service.
    fn loss_beside(&self, victim: ImageId, filling: &[(ImageId, f64)]) -> SlackLoss {
        let loss = |(image, share): &(ImageId, f64)| {
            self.colocation.loss(self.now, victim, *image, *share)
        };
        filling.iter().map(loss).fold(SlackLoss::default(), SlackLoss::plus)
    }

    /// Tells whether a row shows a tail that was not reported before. Executors work tails out at
    /// intervals, and a reading that is taken twice counts for more than it says.
    fn is_fresh(&mut self, key: ExecutorKey, job: JobKey, row: &RunReport) -> bool {
        let now = self.now;
        let task = self.jobs[job].layout.index(&self.jobs[job].record, row.task);
        let run = task.and_then(|task| self.find_run(key, job, task, row.run));
        let (Some(run), Some(usage)) = (run, row.usage) else { return false };
        let tail = &mut self.runs[run].tail;
        let known = tail.is_some_and(|(last, at)| last == usage && now < at + TAIL_WINDOW);
        if !known {
            *tail = Some((usage, now));
        }
        !known
    }

    /// Returns the tails of an executor's report by job.
    fn tails_of(
        &mut self,
        key: ExecutorKey,
        rows: &[RunReport],
        filling: &[(ImageId, f64)],
    ) -> Vec<ServiceTail> {
        let now = self.now;
        let mut tails: Vec<ServiceTail> = Vec::new();
        for row in rows {
            let Some((job, victim, slack)) = self.slack_of(row) else { continue };
            let fresh = self.is_fresh(key, job, row);
            let place = tails.iter().position(|tail| tail.job == job && tail.victim == victim);
            let place = place.unwrap_or_else(|| {
                tails.push(ServiceTail::new(job, victim));
                tails.len() - 1
            });
            tails[place].report.add(slack);
            tails[place].fresh |= fresh;
        }
        for tail in &mut tails {
            let lost = self.loss_beside(tail.victim, filling);
            let estimate = &mut self.jobs[tail.job].slack;
            if tail.fresh {
                estimate.update(now, &tail.report, lost);
            }
            tail.loss = estimate.loss_of(now, &tail.report);
        }
        tails
    }

    /// Returns the serving image of a row with its job and its slack.
    fn slack_of(&self, row: &RunReport) -> Option<(JobKey, ImageId, f64)> {
        let job_key = *self.job_ids.get(&row.task.job)?;
        let job = &self.jobs[job_key];
        let step = job.record.steps.get(row.task.step as usize)?;
        let serving = step.tail_target_ms > 0 && !step.fills && row.percent == 100;
        let tail = row.usage.filter(|_| serving)?.max(1);
        let slack = f64::from(step.tail_target_ms) / tail as f64;
        Some((job_key, job.images[row.task.step as usize], slack))
    }

    /// Returns the filling images that show in the tails now, each with its share of the executor,
    /// lessened by the part of the window in which it did not run.
    fn exposed_filling(&self, key: ExecutorKey) -> Vec<(ImageId, f64)> {
        let now = self.now;
        let executor = &self.executors[key];
        let running = executor.runs.iter().map(|run| &self.runs[*run]);
        let running = running
            .filter(|run| run.fills && run.phase != RunPhase::Starting)
            .map(|run| (run.image, run.needs.cpu_millis, run.since, now));
        let departed = executor.departed.iter();
        let departed = departed.map(|task| (task.image, task.cpu_millis, task.since, task.at));
        let mut images: Vec<(ImageId, f64)> = Vec::new();
        for (image, cpu_millis, from, until) in running.chain(departed) {
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

    /// Moves filling tasks away from serving tasks that are over their bound: those that press most
    /// until the rest is expected to be harmless, and all of them before the bound has been passed
    /// for too long.
    fn move_filling(&mut self, key: ExecutorKey, over: &[&ServiceTail], since: Duration) {
        let now = self.now;
        let executor = &self.executors[key];
        let victims: Vec<ImageId> = over.iter().map(|tail| tail.victim).collect();
        let mut wanted: Vec<f64> = over.iter().map(|tail| tail.relief()).collect();
        let mut suspects: Vec<(Vec<f64>, RunKey)> = executor
            .runs
            .iter()
            .map(|run_key| (&self.runs[*run_key], *run_key))
            .filter(|(run, _)| run.fills && run.phase == RunPhase::Running)
            .map(|(run, run_key)| {
                let share = executor.share_of(run.needs.cpu_millis);
                let part =
                    |victim: &ImageId| self.colocation.loss(now, *victim, run.image, share).mean;
                (victims.iter().map(part).collect(), run_key)
            })
            .collect();
        let most = |parts: &[f64]| parts.iter().copied().fold(0.0, f64::max);
        suspects.sort_by(|left, right| most(&right.0).total_cmp(&most(&left.0)));
        let all_due = since >= self.bounds.harm_time / ALL_SUSPECTS_PART;
        for (parts, run_key) in suspects {
            let relieves = wanted
                .iter()
                .zip(&parts)
                .any(|(relief, part)| *relief > 0.0 && *part >= MIN_MOVE_LOSS);
            if !relieves && !all_due {
                continue;
            }
            for (relief, part) in wanted.iter_mut().zip(&parts) {
                *relief -= part;
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
                most(&parts),
                since.as_millis(),
                now.saturating_sub(run.since).as_millis(),
                run.percent
            );
            self.log(BEST_EFFORT_MOVED, Some(id), detail);
            self.measure("filling.moved", "", None);
            self.stop_run(run_key, "it disturbs a service");
        }
    }
}

/// Tails of a job's serving tasks on an executor.
struct ServiceTail {
    job: JobKey,
    victim: ImageId,
    report: SlackReport,
    /// Loss of slack that others cause to the tasks.
    loss: SlackLoss,
    /// Whether any of them was not reported before.
    fresh: bool,
}

impl ServiceTail {
    fn new(job: JobKey, victim: ImageId) -> Self {
        let report = SlackReport::default();
        Self { job, victim, report, loss: SlackLoss::default(), fresh: false }
    }

    /// Returns how much slack has to be won back, as far as others have caused the loss.
    fn relief(&self) -> f64 {
        (RELIEF_SLACK - self.report.slack).min(self.loss.mean)
    }
}
