//! Watches runs: tasks that stand still, executors that drain, and serving tasks that filling tasks
//! disturb.

use std::time::Duration;

use cuminbank::log::{FILLING_MOVED, RUN_STUCK};

use super::{
    state::{ExecutorKey, ExecutorState, JobKey, RunKey, RunPhase, SlackReading},
    JobScheduler,
};
use crate::{
    colocation::{
        bearable_loss, ImageId, SlackLoss, LEAST_PART, MOST_TRIALS, PEAK_BEARABLE, PEAK_SLACK,
        RELIEVED_SLACK,
    },
    job::JobStep,
    order::RunReport,
};

/// Time without progress after which a run is stopped. At one percent a step, a run that moves at
/// all this slowly would take minutes.
const STUCK_TIME: Duration = Duration::from_millis(1_600);
/// Time before its leave at which a draining executor's runs are stopped, so that their checkpoints
/// are saved.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);
/// Window of the tail latency that executors report.
pub(super) const TAIL_WINDOW: Duration = Duration::from_millis(500);
/// Loss of slack that neither the load nor the roughness of a report explains.
const UNEXPLAINED_LOSS: f64 = 0.25;
/// Time after a report of a tail over its bound in which the executor gets no filling tasks.
const CALM_TIME: Duration = Duration::from_millis(900);
/// Time in which a task starts or resumes, and in which its effect has left the tails.
const START_TIME: Duration = Duration::from_millis(600);
/// Interval at which the demand for services as neighbours is worked out.
const SOUGHT_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the longest time over the bound after which all filling tasks are moved.
const ALL_SUSPECTS_PART: u32 = 2;

impl JobScheduler {
    pub(super) fn watch_runs(&mut self) {
        self.stop_stuck_runs();
        self.empty_draining_executors();
    }

    fn stop_stuck_runs(&mut self) {
        let now = self.now;
        let stuck: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == RunPhase::Running)
            .filter(|(_, run)| {
                let executor = &self.executors[run.executor];
                // Progress is only known from answers: the time until the last one counts.
                let still = executor
                    .clock
                    .map_or(Duration::ZERO, |clock| clock.at.saturating_sub(run.moved_at));
                let crowded = executor.reserved.cpu_millis + executor.filling_cpu
                    > executor.capacity.cpu_millis;
                // A filling task may stand still because nothing is left for it.
                still >= STUCK_TIME && !(run.fills && crowded)
            })
            .filter(|(_, run)| {
                let job = &self.jobs[run.job];
                let (_, step) = job.layout.place(run.task);
                let step = &job.record.steps[step];
                !(step.gang || (step.long_running && run.percent == 100))
            })
            .map(|(key, _)| key)
            .collect();
        for key in stuck {
            let run = &self.runs[key];
            let executor = run.executor;
            let detail = format!(
                "task={} run={} executor={} percent={} still_ms={}",
                run.task,
                run.number,
                self.executors[executor].name,
                run.percent,
                now.saturating_sub(run.moved_at).as_millis()
            );
            let id = self.jobs[run.job].id;
            self.log(RUN_STUCK, Some(id), detail);
            self.executors[executor].record.shun(now);
            self.stop_run(key, "it stands still");
        }
    }

    /// Stops long-running tasks on a draining executor at once, and other tasks shortly before it
    /// leaves.
    fn empty_draining_executors(&mut self) {
        let now = self.now;
        let mut leaving: Vec<RunKey> = Vec::new();
        for executor in self.executors.values().filter(|executor| executor.draining) {
            let ends = executor.drain_ends.unwrap_or(now);
            for key in &executor.runs {
                let run = &self.runs[*key];
                let job = &self.jobs[run.job];
                let (_, step) = job.layout.place(run.task);
                let lasting = job.record.steps[step].long_running;
                if run.phase == RunPhase::Running && (lasting || now + LEAVE_MARGIN >= ends) {
                    leaving.push(*key);
                }
            }
        }
        for key in leaving {
            self.stop_run(key, "the executor drains");
        }
    }

    /// Learns from an executor's report which filling tasks disturb serving ones, and relieves a
    /// serving task that is over its bound.
    pub(super) fn watch_tails(&mut self, key: ExecutorKey, rows: &[RunReport]) {
        let now = self.now;
        if self.executors[key].serving == 0 {
            return;
        }
        let tails = self.tails_of(key, rows);
        let filling = self.exposed_filling(key);
        for tail in &tails {
            if let Some(loss) = tail.mean_loss() {
                self.colocation.learn(now, tail.victim, loss, &filling);
            }
        }
        self.update_losses(key);
        self.note_slacks(key, &tails, &filling);
        let over: Vec<&ServiceTail> = tails.iter().filter(|tail| tail.slack < 1.0).collect();
        let executor = &mut self.executors[key];
        if over.is_empty() {
            executor.over_target_since = None;
            return;
        }
        let since = *executor.over_target_since.get_or_insert(now);
        executor.no_filling_until = now + CALM_TIME;
        self.move_filling(key, &over, now.saturating_sub(since));
    }

    /// Notes the slack that each service would have without the filling tasks that show in it.
    fn note_slacks(&mut self, key: ExecutorKey, tails: &[ServiceTail], filling: &[(ImageId, f64)]) {
        let now = self.now;
        let slacks = tails.iter().map(|tail| {
            let loss = |(image, share): &(ImageId, f64)| {
                self.colocation.loss(now, tail.victim, *image, *share).mean
            };
            let lost: f64 = filling.iter().map(loss).sum();
            SlackReading { victim: tail.victim, slack: tail.slack + lost, at: now }
        });
        self.executors[key].slacks = slacks.collect();
    }

    /// Returns the tails of an executor's report by image.
    fn tails_of(&mut self, key: ExecutorKey, rows: &[RunReport]) -> Vec<ServiceTail> {
        let (now, rank) = (self.now, self.executors[key].rank);
        let mut tails: Vec<ServiceTail> = Vec::new();
        for row in rows {
            let Some((job_key, victim, slack)) = self.slack_of(row) else { continue };
            let slacks = &mut self.jobs[job_key].slacks;
            slacks.push(now, rank, slack);
            let loss = match slacks.undisturbed() {
                Some(calm) => Some(calm - slack),
                // Below what its load explains at the most, the rest is due to others.
                None => Some(PEAK_SLACK - slack).filter(|loss| *loss > UNEXPLAINED_LOSS),
            };
            let known = tails.iter_mut().find(|tail| tail.victim == victim);
            match known {
                Some(tail) => tail.add(slack, loss),
                None => {
                    let mut tail = ServiceTail::new(victim);
                    tail.add(slack, loss);
                    tails.push(tail);
                }
            }
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
        let mut wanted: Vec<(ImageId, f64)> =
            over.iter().map(|tail| (tail.victim, tail.relief())).collect();
        let victims: Vec<ImageId> = wanted.iter().map(|(victim, _)| *victim).collect();
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
                .any(|((_, relief), part)| *relief > 0.0 && *part >= LEAST_PART);
            if !relieves && !all_due {
                continue;
            }
            for ((_, relief), part) in wanted.iter_mut().zip(&parts) {
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
            self.log(FILLING_MOVED, Some(id), detail);
            self.measure("filling.moved", "", None);
            self.stop_run(run_key, "it disturbs a service");
        }
    }

    /// Works out again how much slack the filling tasks of an executor cost its serving tasks.
    pub(super) fn update_losses(&mut self, key: ExecutorKey) {
        let executor = &self.executors[key];
        let losses = executor
            .serving_images
            .iter()
            .map(|(victim, _)| (*victim, self.loss_on(executor, *victim)))
            .collect();
        self.executors[key].losses = losses;
    }

    /// Returns the greatest pressure on a serving task of an executor with one more filling task.
    pub(super) fn pressure_with(
        &self,
        executor: &ExecutorState,
        image: ImageId,
        spec: &JobStep,
    ) -> f64 {
        let share = executor.share_of(spec.needs.cpu_millis);
        let ahead = Duration::from_millis(u64::from(spec.estimate_ms)) + START_TIME;
        executor
            .losses
            .iter()
            .map(|(victim, sum)| {
                let loss = sum.plus(self.colocation.trial_loss(self.now, *victim, image, share));
                loss.pressure(self.bearable_by(executor, *victim, ahead))
            })
            .fold(0.0, f64::max)
    }

    /// Returns the loss of slack that a service on an executor bears for a while.
    fn bearable_by(&self, executor: &ExecutorState, victim: ImageId, ahead: Duration) -> f64 {
        let reading = executor.slacks.iter().find(|reading| reading.victim == victim);
        reading.map_or(PEAK_BEARABLE, |reading| {
            bearable_loss(reading.slack, self.now.saturating_sub(reading.at), ahead)
        })
    }

    /// Tells whether a filling image would meet a serving one on an executor that it has met on
    /// enough others while little is known of the pair.
    pub(super) fn is_trial_too_many(&self, executor: &ExecutorState, image: ImageId) -> bool {
        let holds = |rows: &[(ImageId, u32)], image| rows.iter().any(|(known, _)| *known == image);
        executor
            .serving_images
            .iter()
            .filter(|(victim, _)| self.colocation.is_unsure(self.now, *victim, image))
            .any(|(victim, _)| {
                let both = self.executors.values().filter(|other| {
                    holds(&other.filling_images, image) && holds(&other.serving_images, *victim)
                });
                !holds(&executor.filling_images, image)
                    && both.take(MOST_TRIALS).count() == MOST_TRIALS
            })
    }

    /// Works out again which services most filling images depend on.
    pub(super) fn update_sought(&mut self) {
        if self.now < self.next_sought_at {
            return;
        }
        self.next_sought_at = self.now + SOUGHT_INTERVAL;
        let mut sought = self.colocation.demand(self.now);
        let most = sought.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        sought.iter_mut().for_each(|demand| *demand /= most);
        self.sought = sought;
    }

    /// Returns how much other filling images depend on an executor, for the services on it: from 0
    /// to 1. Beside several services only what suits all of them fits.
    pub(super) fn sought_by_others(&self, executor: &ExecutorState) -> f64 {
        let images = executor.serving_images.iter();
        let demands = images.filter_map(|(image, _)| self.sought.get(*image as usize).copied());
        demands.fold(1.0, f64::min)
    }

    /// Returns the pressure that a serving image feels or would feel on an executor.
    pub(super) fn pressure_on(&self, executor: &ExecutorState, victim: ImageId) -> f64 {
        self.loss_on(executor, victim).pressure(PEAK_BEARABLE)
    }

    fn loss_on(&self, executor: &ExecutorState, victim: ImageId) -> SlackLoss {
        let part = |(image, cpu_millis): &(ImageId, u32)| {
            let share = executor.share_of(*cpu_millis);
            self.colocation.loss(self.now, victim, *image, share)
        };
        executor.filling_images.iter().map(part).fold(SlackLoss::default(), SlackLoss::plus)
    }
}

/// Tails of a serving image on an executor.
struct ServiceTail {
    victim: ImageId,
    /// Slack of the task that is worst off.
    slack: f64,
    /// Sum of the losses of slack that others cause, and their number.
    losses: (f64, f64),
}

impl ServiceTail {
    fn new(victim: ImageId) -> Self {
        Self { victim, slack: f64::INFINITY, losses: (0.0, 0.0) }
    }

    fn add(&mut self, slack: f64, loss: Option<f64>) {
        self.slack = self.slack.min(slack);
        if let Some(loss) = loss {
            self.losses.0 += loss;
            self.losses.1 += 1.0;
        }
    }

    fn mean_loss(&self) -> Option<f64> {
        (self.losses.1 > 0.0).then(|| self.losses.0 / self.losses.1)
    }

    /// Returns how much slack has to be won back, as far as others have caused the loss.
    fn relief(&self) -> f64 {
        (RELIEVED_SLACK - self.slack).min(self.mean_loss().unwrap_or_default())
    }
}
