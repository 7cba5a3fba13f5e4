//! Sends each arrival at its time and collects the results.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future::poll_fn,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use monoio::time;
use serde_json::Value;

use super::{
    arrivals::{generate_arrivals, Arrival, CallArrival, LoadWork, TaskArrival},
    client::{LoadClient, RequestOutcome, TaskState},
    result::{CountedOutcome, LoadResult, ResultCollector},
    LoadSettings,
};
use crate::clock::unix_millis;

/// Maximum number of concurrent requests. A call beyond it is not sent and counts as an error, a
/// task as refused.
const MAX_IN_PROGRESS: usize = 8_000;
/// Maximum number of concurrent status requests. They are sent once all arrivals have been sent.
const MAX_STATUS_REQUESTS: usize = 32;

struct LoadRun {
    client: Rc<LoadClient>,
    collector: RefCell<ResultCollector>,
    accepted: RefCell<Vec<AcceptedTask>>,
    in_progress: Cell<usize>,
    deadline: Duration,
    started: Instant,
}

#[derive(Clone, Debug)]
struct AcceptedTask {
    id: String,
    run_ms: u64,
}

/// Runs a load on the current runtime. `settings` must satisfy
/// [`LoadSettings::check`].
pub async fn run_load(settings: &LoadSettings) -> LoadResult {
    let arrivals = generate_arrivals(settings);
    let client = LoadClient::new(settings.entries.clone(), settings.timeout);
    client.poll_readiness();
    if arrivals.iter().any(needs_ticket) {
        client.prefetch_tickets().await;
    }
    let mut collector = ResultCollector::default();
    collector.result.plan = settings.plan.name().to_owned();
    collector.result.seed = settings.seed;
    collector.result.seconds = settings.seconds;
    let run = Rc::new(LoadRun {
        client,
        collector: RefCell::new(collector),
        accepted: RefCell::default(),
        in_progress: Cell::new(0),
        deadline: settings.deadline,
        started: Instant::now(),
    });
    for (index, arrival) in arrivals.into_iter().enumerate() {
        wait_until(&run, arrival.at).await;
        run.record_send_lag(arrival.at);
        run.send(index, arrival);
    }
    let length = Duration::from_secs(settings.seconds);
    time::sleep(length.saturating_sub(run.started.elapsed())).await;
    wait_for_tasks(&run, settings.settle_timeout).await;
    wait_for_answers(&run, settings.timeout).await;
    let mut result = run.collector.borrow_mut().finish();
    result.connections = run.client.connections();
    result
}

/// Waits until an arrival is due. For one that is already due, it only yields: a timer takes at least
/// a millisecond, which would limit the rate and add to the latency.
async fn wait_until(run: &LoadRun, at: Duration) {
    let wait = at.saturating_sub(run.started.elapsed());
    if wait.is_zero() {
        yield_now().await;
    } else {
        time::sleep(wait).await;
    }
}

/// Yields once to the other tasks of the runtime.
async fn yield_now() {
    let mut yielded = false;
    let step = |context: &mut Context<'_>| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    };
    poll_fn(step).await;
}

fn needs_ticket(arrival: &Arrival) -> bool {
    match &arrival.work {
        LoadWork::Call(call) => call.ticketed,
        LoadWork::Task(_) => true,
    }
}

impl LoadRun {
    /// Returns the time since an arrival was due.
    fn send_lag(&self, at: Duration) -> Duration {
        self.started.elapsed().saturating_sub(at)
    }

    fn record_send_lag(&self, at: Duration) {
        let lag = self.send_lag(at).as_secs_f64() * 1_000.0;
        let result = &mut self.collector.borrow_mut().result;
        result.max_send_lag_ms = result.max_send_lag_ms.max(lag);
    }

    fn send(self: &Rc<Self>, index: usize, arrival: Arrival) {
        let run = Rc::clone(self);
        if run.in_progress.get() >= MAX_IN_PROGRESS {
            run.count_unsent(&arrival);
            return;
        }
        run.in_progress.set(run.in_progress.get() + 1);
        let due = unix_millis().saturating_sub(run.send_lag(arrival.at).as_millis() as u64);
        monoio::spawn(async move {
            match &arrival.work {
                LoadWork::Call(call) => {
                    let result = run.client.call(index, &arrival.customer, call).await;
                    run.count_call(&arrival, call, result);
                }
                LoadWork::Task(task) => {
                    let result = run.client.submit(index, &arrival.customer, task, due).await;
                    run.count_task(task, result);
                }
            }
            run.in_progress.set(run.in_progress.get() - 1);
        });
    }

    fn count_unsent(&self, arrival: &Arrival) {
        let reason = format!("not sent, {MAX_IN_PROGRESS} requests are in progress");
        match &arrival.work {
            LoadWork::Call(call) => self.count_call(arrival, call, RequestOutcome::Error(reason)),
            LoadWork::Task(task) => self.count_task(task, RequestOutcome::Refused(reason)),
        }
    }

    fn count_call(&self, arrival: &Arrival, call: &CallArrival, result: RequestOutcome) {
        let latency = self.started.elapsed().saturating_sub(arrival.at);
        let collector = &mut *self.collector.borrow_mut();
        let outcome = match result {
            RequestOutcome::Done(body) => {
                count_slot(collector, call, &body);
                let wrong = body["key"].as_str() != Some(&call.key);
                CountedOutcome::Done { late: latency > self.deadline, wrong }
            }
            RequestOutcome::Refused(reason) => {
                collector.count_reason(format!("refused, {reason}"));
                CountedOutcome::Refused
            }
            RequestOutcome::Unknown(reason) => {
                collector.count_reason(format!("unknown, {reason}"));
                CountedOutcome::Unknown
            }
            RequestOutcome::Error(reason) => {
                collector.count_reason(format!("error, {reason}"));
                CountedOutcome::Error
            }
            RequestOutcome::Accepted(_) => {
                collector.count_reason("error, a call was accepted as a task".to_owned());
                CountedOutcome::Error
            }
        };
        collector.count(&call.counted_as, outcome, latency);
        if arrival.in_peak {
            collector.count(&format!("{} at crest", call.counted_as), outcome, latency);
        }
    }

    fn count_task(&self, task: &TaskArrival, result: RequestOutcome) {
        let collector = &mut *self.collector.borrow_mut();
        let tasks = &mut collector.result.tasks;
        tasks.sent += 1;
        match result {
            RequestOutcome::Accepted(id) => {
                tasks.accepted += 1;
                self.accepted.borrow_mut().push(AcceptedTask { id, run_ms: task.run_ms });
            }
            RequestOutcome::Refused(reason) => {
                tasks.refused += 1;
                collector.count_reason(format!("task refused, {reason}"));
            }
            RequestOutcome::Unknown(reason) | RequestOutcome::Error(reason) => {
                tasks.unknown += 1;
                collector.count_reason(format!("task unknown, {reason}"));
            }
            RequestOutcome::Done(_) => {
                tasks.unknown += 1;
                collector.count_reason("task unknown, answered as done".to_owned());
            }
        }
    }

    /// Counts a task if it has ended. Returns whether it has.
    fn count_if_ended(&self, task: &AcceptedTask, state: &TaskState, in_run: bool) -> bool {
        let result = &mut self.collector.borrow_mut().result;
        let load_seconds = result.seconds.max(1) as f64;
        let tasks = &mut result.tasks;
        match state.state.as_str() {
            "finished" => {
                tasks.finished += 1;
                if in_run {
                    tasks.finished_in_run += 1;
                    tasks.work_per_second += task.run_ms as f64 / 1_000.0 / load_seconds;
                }
            }
            "failed" | "cancelled" => tasks.failed += 1,
            _ => return false,
        }
        tasks.evictions += state.evictions;
        true
    }
}

/// Counts the response to a confirmation by the slot in it; other calls are ignored.
fn count_slot(collector: &mut ResultCollector, call: &CallArrival, body: &Value) {
    let (Some(slot), "confirm") = (&call.slot, call.counted_as.as_str()) else {
        return;
    };
    let slots = &mut collector.result.slots;
    if body["confirmed"].as_bool() != Some(true) {
        slots.not_reserved += 1;
    } else if body["slot"].as_str() == Some(slot) {
        slots.confirmed_as_booked += 1;
    } else {
        slots.confirmed_wrong += 1;
    }
}

/// Polls the accepted tasks until all have ended or `wait` is over.
async fn wait_for_tasks(run: &Rc<LoadRun>, wait: Duration) {
    let end = Instant::now() + wait;
    let mut unfinished = run.accepted.take();
    let mut first = true;
    loop {
        unfinished = poll_tasks(run, unfinished, first).await;
        first = false;
        unfinished.append(&mut run.accepted.borrow_mut());
        let idle = unfinished.is_empty() && run.in_progress.get() == 0;
        if idle || Instant::now() >= end {
            break;
        }
        time::sleep(Duration::from_secs(1)).await;
    }
    run.collector.borrow_mut().result.tasks.unfinished = unfinished.len() as u64;
}

/// Requests the state of each task, counts those that have ended and returns the others. `in_run`
/// marks the first poll after the last arrival.
async fn poll_tasks(
    run: &Rc<LoadRun>,
    tasks: Vec<AcceptedTask>,
    in_run: bool,
) -> Vec<AcceptedTask> {
    let queue = Rc::new(RefCell::new(VecDeque::from(tasks)));
    let stream = |index| {
        let (run, queue) = (Rc::clone(run), Rc::clone(&queue));
        monoio::spawn(async move {
            let mut unfinished = Vec::new();
            while let Some(task) = pop_task(&queue) {
                let state = run.client.task_state(index, &task.id).await.unwrap_or_default();
                if !run.count_if_ended(&task, &state, in_run) {
                    unfinished.push(task);
                }
            }
            unfinished
        })
    };
    let streams: Vec<_> = (0..MAX_STATUS_REQUESTS).map(stream).collect();
    let mut unfinished = Vec::new();
    for stream in streams {
        unfinished.append(&mut stream.await);
    }
    unfinished
}

fn pop_task(queue: &RefCell<VecDeque<AcceptedTask>>) -> Option<AcceptedTask> {
    queue.borrow_mut().pop_front()
}

/// Waits for the responses in progress, at most one second longer than their timeout.
async fn wait_for_answers(run: &Rc<LoadRun>, timeout: Duration) {
    let end = Instant::now() + timeout + Duration::from_secs(1);
    while run.in_progress.get() > 0 && Instant::now() < end {
        time::sleep(Duration::from_millis(20)).await;
    }
}
