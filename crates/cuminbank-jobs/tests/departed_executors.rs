//! Tests of executors that leave the pool and are listed again, on the scheduler alone.

mod support;

use std::{collections::VecDeque, time::Duration};

use cuminbank_jobs::{
    ids::{MonotonicTime, OwnerEpoch, StoreRevision},
    job::TaskName,
    order::{ExecutorOrder, OrderFailure, OrderReply, OrderRequest, RunEnd},
    ownership::OwnerRecord,
    scheduler::{JobEffect, JobEvent, JobScheduler, TICK_INTERVAL},
    store::TxnOutcome,
};
use cuminbank_platform_standin::executor::{FakeExecutor, StartBehavior};
use support::ownership::{held_ownership, BOUNDS};

const START: MonotonicTime = Duration::from_secs(10);

/// Run time of tasks.
const RUN_TIME: Duration = Duration::from_millis(10);

/// Scheduler with executors that answer at once, and a store that accepts each write.
struct OwnerDriver {
    scheduler: JobScheduler,
    executors: Vec<FakeExecutor>,
    /// Executors at whose address there is another one.
    replaced: Vec<String>,
    holds: Vec<(String, OwnerEpoch)>,
    now: MonotonicTime,
    revision: StoreRevision,
    behavior: StartBehavior,
}

impl OwnerDriver {
    fn new(executors: usize) -> Self {
        let held = held_ownership(START);
        let identity = OwnerRecord {
            instance: "a".to_owned(),
            start: 1,
            peer_address: "127.0.0.1:2".parse().expect("valid socket address"),
            epoch: 0,
        };
        let mut driver = Self {
            scheduler: JobScheduler::new(BOUNDS, &held, START).with_identity(identity),
            executors: (0..executors)
                .map(|number| FakeExecutor::new(&format!("e{number}"), 1_000))
                .collect(),
            replaced: Vec::new(),
            holds: Vec::new(),
            now: START,
            revision: held.start_revision,
            behavior: Box::new(|_, _| (Some(RUN_TIME), RunEnd::Done)),
        };
        driver.apply(JobEvent::Loaded {
            items: Vec::new(),
            written_by: None,
            handed_over_by: None,
        });
        driver.list();
        driver
    }

    fn list(&mut self) {
        let reports = self.executors.iter().map(FakeExecutor::report).collect();
        self.apply(JobEvent::Listed { reports });
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.apply(JobEvent::Tick);
        }
    }

    fn apply(&mut self, event: JobEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for effect in self.scheduler.apply(self.now, self.now, event) {
                match effect {
                    JobEffect::Commit { id, .. } => {
                        self.revision += 1;
                        let result = Ok(TxnOutcome::Committed { revision: self.revision });
                        events.push_back(JobEvent::CommitCompleted { id, result });
                    }
                    JobEffect::Order(order) => {
                        let (id, result) = (order.id, self.carry_out(&order));
                        events.push_back(JobEvent::OrderCompleted { id, result });
                    }
                    _ => {}
                }
            }
        }
    }

    fn carry_out(&mut self, order: &ExecutorOrder) -> Result<OrderReply, OrderFailure> {
        if let OrderRequest::Hold { .. } = order.request {
            self.holds.push((order.executor.clone(), order.epoch));
        }
        if self.replaced.contains(&order.executor) {
            return Err(OrderFailure::Replaced);
        }
        let executor = self.executors.iter_mut().find(|other| other.name == order.executor);
        let executor = executor.expect("orders name an executor of the list");
        Ok(executor.handle_order(self.now, order, &mut self.behavior))
    }

    /// Returns the epochs of all holds to an executor.
    fn hold_epochs(&self, name: &str) -> Vec<OwnerEpoch> {
        let holds = self.holds.iter().filter(|(executor, _)| executor == name);
        holds.map(|(_, epoch)| *epoch).collect()
    }
}

// Guards against a late order on an executor that was removed because another one had its address.
#[test]
fn replaced_executor_is_fenced_when_it_is_listed_again() {
    let mut driver = OwnerDriver::new(2);
    driver.run_for(Duration::from_secs(1));
    driver.replaced.push("e1".to_owned());
    driver.run_for(Duration::from_secs(1));
    assert_eq!(driver.scheduler.counts().known, 1);
    assert_eq!(driver.scheduler.counts().departed, 1);
    let last = *driver.hold_epochs("e1").last().expect("it was contacted before");
    driver.replaced.clear();
    driver.holds.clear();
    driver.list();
    driver.run_for(Duration::from_secs(1));
    assert_eq!(driver.scheduler.counts().usable, 2);
    assert!(driver.hold_epochs("e1").iter().all(|epoch| *epoch > last), "{:?}", driver.holds);
    assert_eq!(driver.scheduler.counts().departed, 0);
}

// Guards against a raised epoch for each look at an entry whose address belongs to another executor.
#[test]
fn executor_that_is_not_reached_raises_the_epoch_once() {
    let mut driver = OwnerDriver::new(2);
    driver.run_for(Duration::from_secs(1));
    driver.replaced.push("e1".to_owned());
    driver.run_for(Duration::from_secs(1));
    driver.holds.clear();
    for _ in 0..6 {
        driver.list();
        driver.run_for(Duration::from_millis(500));
    }
    let mut epochs = driver.hold_epochs("e0");
    epochs.dedup();
    assert!(epochs.len() <= 2, "{epochs:?}");
}

// Guards against memory that grows with the number of executors that have left.
#[test]
fn departed_executors_are_forgotten_once_the_epoch_is_raised() {
    let mut driver = OwnerDriver::new(1_100);
    driver.run_for(Duration::from_secs(1));
    assert_eq!(driver.scheduler.counts().usable, 1_100);
    let names = driver.executors.iter().map(|executor| executor.name.clone());
    driver.replaced = names.collect();
    driver.run_for(Duration::from_secs(2));
    assert_eq!(driver.scheduler.counts().known, 0);
    assert!(driver.scheduler.counts().departed <= 1_024);
}

// Guards against a restarted executor that gets no work for good: it lists an end from before its first
// reply, so that all further holds acknowledge ends.
#[test]
fn restarted_executor_with_ended_runs_gets_work_again() {
    let mut driver = OwnerDriver::new(2);
    driver.run_for(Duration::from_secs(1));
    let epoch = *driver.hold_epochs("e1").last().expect("it was contacted");
    let now = driver.now;
    let executor = &mut driver.executors[1];
    executor.crash(now);
    executor.restart(now);
    let task = TaskName { job: 1, occurrence: 0, step: 0, index: 0 };
    let request = OrderRequest::Start {
        task,
        run: 1,
        payload: "p".to_owned(),
        lease_until: 5_000,
        checkpoint: None,
        ticket: None,
    };
    let late_start = ExecutorOrder {
        id: 0,
        executor: "e1".to_owned(),
        address: executor.report().address,
        epoch,
        request,
        timeout: Duration::ZERO,
        valid_until: now,
    };
    executor.handle_order(now, &late_start, &mut driver.behavior);
    executor.advance(now + RUN_TIME);
    assert_eq!(executor.ended.len(), 1);
    driver.run_for(Duration::from_secs(2));
    assert!(driver.executors[1].ended.is_empty());
    assert_eq!(driver.scheduler.counts().usable, 2);
}
