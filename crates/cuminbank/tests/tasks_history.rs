//! Random histories of a group, generated from seeds, with lost messages, silent workers, evictions
//! and takeovers.

mod tasks_support;

use std::collections::{BTreeMap, BTreeSet};

use cuminbank::{
    effect::CallOutcome,
    event::TaskQuery,
    ids::{ReplyId, RequestTicket},
    reducer::records::TaskEvent,
    worker::UsageWindow,
};
use rand::Rng;
use tasks_support::{millis, secs, MessageFault, TaskSimulation};

struct TaskHistory {
    simulation: TaskSimulation,
    sent: Vec<(RequestTicket, u64, ReplyId)>,
    cancelled: BTreeSet<RequestTicket>,
}

impl TaskHistory {
    fn submit(&mut self) {
        let run_ms = self.simulation.rng.random_range(50..8_000);
        let (ticket, reply) = self.simulation.submit(run_ms);
        self.sent.push((ticket, run_ms, reply));
    }

    fn submit_again(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let index = self.simulation.rng.random_range(0..self.sent.len());
        let (ticket, run_ms, _) = self.sent[index].clone();
        // A refusal is final for its ticket, so callers do not submit the ticket again afterwards.
        // Copies sent before the refusal may still be in transit.
        let mut copies = self.sent.iter().filter(|(sent, ..)| *sent == ticket);
        if copies.any(|(.., reply)| self.simulation.outcome(*reply) == Some(CallOutcome::NotRun)) {
            return;
        }
        let reply = self.simulation.send_submission(self.simulation.submission(&ticket, run_ms));
        self.sent.push((ticket, run_ms, reply));
    }

    fn cancel(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let index = self.simulation.rng.random_range(0..self.sent.len());
        let ticket = self.sent[index].0.clone();
        self.simulation.query(&ticket, TaskQuery::Cancel);
        self.cancelled.insert(ticket);
    }

    fn inject_worker_fault(&mut self) {
        let name = format!("w{}", self.simulation.rng.random_range(0..4));
        let choice = self.simulation.rng.random_range(0..6);
        let worker = self.simulation.workers.get_mut(&name).expect("workers w0 to w3 exist");
        match choice {
            0 => worker.fault = MessageFault::RequestLost,
            1 => worker.fault = MessageFault::AnswerLost,
            2 | 3 => worker.fault = MessageFault::None,
            // A restart takes longer than one second, so that at least one list fails.
            4 => {
                worker.restart();
                worker.fault = MessageFault::Unsent;
                self.simulation.run(millis(1_500));
            }
            _ => worker.usage.extend((0..6).map(|_| UsageWindow {
                length_ms: 1_000,
                age_ms: 1_000,
                neighbours: vec![("plan".to_owned(), 2.0)],
                slowdowns: vec![("reserve".to_owned(), 2.5)],
            })),
        }
    }

    fn take_over(&mut self) {
        // The authority of the previous owner ends before the next one takes over.
        self.simulation.owners.iter_mut().for_each(|owner| owner.has_authority = false);
        self.simulation.run(millis(500));
        self.simulation.take_over();
    }

    fn step(&mut self) {
        match self.simulation.rng.random_range(0..100) {
            0..45 => self.submit(),
            45..55 => self.submit_again(),
            55..60 => self.cancel(),
            60..75 => self.inject_worker_fault(),
            75..79 => self.take_over(),
            79..82 => self.simulation.store_fault = MessageFault::RequestLost,
            82..84 => self.simulation.store_fault = MessageFault::AnswerLost,
            84..92 => self.simulation.store_fault = MessageFault::None,
            _ => {}
        }
        let pause = self.simulation.rng.random_range(20..600);
        self.simulation.run(millis(pause));
    }

    fn clear_faults(&mut self) {
        self.simulation.fault_percent = 0;
        self.simulation.store_fault = MessageFault::None;
        for worker in self.simulation.workers.values_mut() {
            worker.fault = MessageFault::None;
        }
        // The current owner may still have to read the ledger.
        self.simulation.run(secs(3));
        self.simulation.run_until("the end of all tasks", |simulation| {
            let tasks = simulation.group().ledger().tasks();
            simulation.group().runs().is_empty()
                && tasks.fold(true, |all, (_, r)| all && r.state.is_final())
        });
        self.simulation.run(secs(12));
    }

    /// Checks that no accepted task was lost, that no refused task ran, that attempt numbers of a
    /// task ascend, and that no attempt resumed from an older checkpoint than an earlier one.
    fn check_end(&self, seed: u64) {
        let simulation = &self.simulation;
        for (ticket, _, reply) in &self.sent {
            let state = simulation.state(ticket);
            match simulation.outcome(*reply) {
                Some(CallOutcome::Accepted) => {
                    let ended = state == "finished"
                        || (state == "cancelled" && self.cancelled.contains(ticket));
                    assert!(ended, "seed {seed}: accepted task {ticket} is {state}");
                }
                Some(CallOutcome::NotRun) => {
                    assert_eq!(state, "absent", "seed {seed}: state of refused task {ticket}");
                    assert!(
                        simulation.starts_of(ticket).is_empty(),
                        "seed {seed}: refused task {ticket} ran"
                    );
                }
                Some(CallOutcome::Unknown) => {}
                other => panic!("seed {seed}: submission of {ticket} has the outcome {other:?}"),
            }
            let starts = simulation.starts_of(ticket);
            let left = |text: &Option<String>| {
                text.as_ref()
                    .map_or(u64::MAX, |t| t.parse().expect("checkpoints are milliseconds as text"))
            };
            for pair in starts.windows(2) {
                assert!(
                    pair[0].2.attempt < pair[1].2.attempt,
                    "seed {seed}: attempts {} and {} of {ticket} are out of order",
                    pair[0].2.attempt,
                    pair[1].2.attempt
                );
                let (earlier, later) = (left(&pair[0].2.checkpoint), left(&pair[1].2.checkpoint));
                assert!(
                    later <= earlier,
                    "seed {seed}: {ticket} resumed with {later} ms left after {earlier} ms"
                );
            }
        }
        // A worker that finished a task and then became unreachable cannot be distinguished from a
        // crashed one, so its task runs again. Every second result caused by this has to be
        // counted.
        let count = |with_lost: bool| {
            let mut counts = BTreeMap::<&str, usize>::new();
            let results = simulation.workers.values().flat_map(|worker| &worker.results);
            for (task, ..) in results.filter(|(.., is_lost)| with_lost || !is_lost) {
                *counts.entry(task).or_default() += 1;
            }
            let finished = |task: &str| {
                simulation.state(&task.parse().expect("task ids are tickets")) == "finished"
            };
            counts.iter().filter(|(task, n)| **n > 1 && finished(task)).count()
        };
        // The owner may have received a result before the restart that lost it.
        let (min, max) = (count(false), count(true));
        let counted =
            simulation.samples.iter().filter(|sample| sample.event == TaskEvent::Doubled).count();
        assert!(counted >= min, "seed {seed}: {counted} events for {min} doubled tasks");
        assert!(max > 0 || counted == 0, "seed {seed}: {counted} events without a doubled task");
    }
}

/// Checks I1, I2, I3 and I5 for batch work, and that no task is lost or finishes twice uncounted,
/// under any mix of lost messages, silent workers, store outages, evictions and takeovers.
#[test]
fn random_histories_neither_lose_nor_repeat_tasks() {
    let seeds = std::env::var("CUMINBANK_SEEDS").ok().and_then(|text| text.parse().ok());
    let mut accepted = 0;
    for seed in 0..seeds.unwrap_or(40u64) {
        let mut simulation = TaskSimulation::new(4, seed);
        simulation.fault_percent = (seed % 4) as u32 * 4;
        simulation.latency_critical_classes = vec![("reserve".to_owned(), 3)];
        let mut history = TaskHistory { simulation, sent: Vec::new(), cancelled: BTreeSet::new() };
        for _ in 0..120 {
            history.step();
        }
        history.clear_faults();
        history.check_end(seed);
        let outcomes = history.sent.iter().map(|(_, _, reply)| history.simulation.outcome(*reply));
        accepted += outcomes.filter(|outcome| *outcome == Some(CallOutcome::Accepted)).count();
    }
    assert!(accepted > 200, "only {accepted} tasks were accepted");
}
