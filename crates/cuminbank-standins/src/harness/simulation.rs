//! The main loop of a simulation: executes queued actions in the order of virtual time.

use std::{
    collections::VecDeque,
    time::{Duration, SystemTime},
};

use cuminbank::{
    event::{EntryEvent, ListedInstance, StateQuery},
    ids::{ReplyId, StartNumber},
    reducer::{EntryReducer, TICK_INTERVAL},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    callers::CallerRequest,
    history::{History, HistoryEvent},
    hosts::{entry_name, new_entries, new_targets, EntryHost, EntryProcess, TargetHost},
    network::{NetworkNode, NetworkState},
    plan::HarnessPlan,
    queue::{Action, ActionQueue, EntryIndex, ReplyOrigin},
};
use crate::{
    executor::BookingTable,
    store::{StoreCore, StoreLimits},
};

/// Interval at which readiness, configuration and the platform's list are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the last answer during which duplicates of refused requests are still sent.
const DUPLICATE_WINDOW: Duration = Duration::from_secs(12);
/// Time allowed for the answer to the last duplicate; shorter than the timeout of its caller.
const ANSWER_WINDOW: Duration = Duration::from_secs(13);
/// Delay until a change becomes visible in the platform's list of instances, when no fault is
/// active.
pub(super) const LIST_LAG: Duration = Duration::from_secs(1);

/// Entry instances, targets, store, list, callers and network under one virtual clock.
#[derive(Debug)]
pub struct Simulation {
    pub(super) plan: HarnessPlan,
    pub(super) now: Duration,
    pub(super) rng: ChaCha8Rng,
    pub(super) queue: ActionQueue,
    pub(super) network: NetworkState,
    pub(super) store: StoreCore,
    pub(super) store_answer_loss: f64,
    pub(super) store_delay: Duration,
    pub(super) entries: Vec<EntryHost>,
    pub(super) targets: Vec<TargetHost>,
    pub(super) requests: Vec<CallerRequest>,
    pub(super) booking_table: BookingTable,
    pub(super) list_snapshots: VecDeque<(Duration, Vec<ListedInstance>)>,
    /// Delay until a change becomes visible in the platform's list of instances.
    pub(super) list_lag: Duration,
    pub(super) changes_made: u64,
    pub(super) faults_ended: bool,
    /// Whether a late answer may be delivered to a later call on the same connection.
    pub(super) misdelivers_answers: bool,
    /// Events recorded so far.
    pub history: History,
}

impl Simulation {
    /// Creates a simulation from a plan. All entry instances start at virtual time zero.
    pub fn new(plan: HarnessPlan) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            queue: ActionQueue::default(),
            network: NetworkState::new(
                plan.zones,
                plan.faults.loss,
                plan.faults.slow_connect_share,
            ),
            store: StoreCore::new(StoreLimits::default()),
            store_answer_loss: 0.0,
            store_delay: Duration::ZERO,
            entries: new_entries(&plan),
            targets: new_targets(&plan),
            requests: Vec::new(),
            booking_table: BookingTable::default(),
            list_snapshots: VecDeque::new(),
            list_lag: LIST_LAG,
            changes_made: 0,
            faults_ended: false,
            misdelivers_answers: false,
            history: History::default(),
            plan,
        };
        simulation.commit_initial_profiles();
        simulation.sample();
        for entry in 0..simulation.entries.len() {
            simulation.start_entry(entry);
        }
        simulation.schedule_load();
        if !simulation.plan.faults.kinds.is_empty() {
            simulation.queue.push(Duration::from_secs(8), Action::InjectRandomFault);
        }
        simulation
    }

    /// Delivers late answers to later calls on the same connection.
    pub fn with_misdelivered_answers(mut self) -> Self {
        self.misdelivers_answers = true;
        self
    }

    /// Runs the complete plan: load with faults, recovery, and the wait for accepted tasks to end.
    pub fn run(mut self) -> History {
        self.run_until(self.plan.load_duration);
        self.end_faults();
        let last = self.plan.load_duration + self.plan.settle_timeout;
        while self.now < last && !self.all_requests_ended() {
            self.run_until(self.now + Duration::from_secs(1));
        }
        // Runs on to detect work that executes late although it must not. Duplicates of refused
        // requests are sent up to 12 s after the last answer, and answered within their deadline
        // of 10 s.
        let (duplicates_end, answers_end) =
            (self.now + DUPLICATE_WINDOW, self.now + DUPLICATE_WINDOW + ANSWER_WINDOW);
        self.run_until(duplicates_end);
        while self.now < answers_end && self.has_waiting_replies() {
            self.run_until(self.now + Duration::from_secs(1));
        }
        self.record_unanswered();
        self.finish()
    }

    fn has_waiting_replies(&self) -> bool {
        let processes = self.entries.iter().filter_map(|host| host.process.as_ref());
        let mut origins = processes.flat_map(|process| process.replies.values());
        origins.any(|origin| matches!(origin, ReplyOrigin::Caller { .. } | ReplyOrigin::Peer(_)))
    }

    /// Records requests that are still unanswered. Skipped unless all callers' requests have ended.
    fn record_unanswered(&mut self) {
        if !self.all_requests_ended() {
            return;
        }
        for entry in 0..self.entries.len() {
            let Some(process) = self.entries[entry].process.as_ref() else {
                continue;
            };
            let waits = |origin: &&ReplyOrigin| {
                matches!(origin, ReplyOrigin::Caller { .. } | ReplyOrigin::Peer(_))
            };
            let waiting: Vec<_> = process
                .replies
                .values()
                .filter(waits)
                .map(|origin| format!("{origin:?}"))
                .collect();
            let process = (entry, process.start);
            if !waiting.is_empty() {
                self.record(HistoryEvent::NeverAnswered { process, waiting });
            }
        }
    }

    /// Ends the run now and returns its history.
    pub fn finish(mut self) -> History {
        self.history.end = self.now;
        self.history
    }

    /// Executes all actions due up to the virtual time `end`.
    pub fn run_until(&mut self, end: Duration) {
        while let Some((at, action)) = self.queue.pop(end) {
            self.now = self.now.max(at);
            self.execute(action);
        }
        self.now = end;
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the index of the entry instance with this name.
    pub fn entry_by_name(&self, name: &str) -> Option<EntryIndex> {
        (0..self.entries.len()).find(|index| entry_name(&self.plan, *index) == name)
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Tick(entry, start) => self.on_tick(entry, start),
            Action::DeliverEvent(entry, start, event) => {
                if self.runs_or_defers(entry, start, || {
                    Action::DeliverEvent(entry, start, event.clone())
                }) {
                    self.apply(entry, event);
                }
            }
            Action::EndExchange(exchange, event) => self.end_exchange(exchange, event),
            Action::WriteRequest(entry, start, effect) => self.write_request(entry, start, effect),
            Action::DeliverRequest(entry, start, origin, event) => {
                self.on_request(entry, start, origin, event);
            }
            Action::StoreRequest(exchange, request) => self.on_store(exchange, &request),
            Action::PollWatch(entry, start, number) => self.poll_watch(entry, start, number),
            Action::Call(exchange, target, call, body) => {
                self.on_call(exchange, target, call, &body)
            }
            Action::CallsDue(target) => self.on_calls_due(target),
            Action::Probe(exchange, target) => self.on_probe(exchange, target),
            Action::WorkerRequest(exchange, target, request) => {
                self.on_worker_request(exchange, target, request)
            }
            Action::AttemptsDue(target) => self.on_attempts_due(target),
            Action::AdvanceRequest(request) => self.advance_request(request),
            Action::SendDuplicate(request) => self.send_duplicate(request),
            Action::Cancel(request) => self.send_cancel(request),
            Action::Answered(request, send, operation, answer) => {
                self.on_answered(request, send, operation, answer);
            }
            Action::CallerTimeout(entry, start, request, send, operation) => {
                self.on_caller_timeout(entry, start, request, send, operation);
            }
            Action::Sample => self.sample(),
            Action::ChangeProfile => self.change_profile(),
            Action::ApplyFault(step) => self.apply_fault(step),
            Action::InjectRandomFault => self.inject_random_fault(),
        }
    }

    /// Tells whether the process with this start number runs now. If it is paused, the action is
    /// kept until it resumes.
    pub(super) fn runs_or_defers(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        action: impl FnOnce() -> Action,
    ) -> bool {
        let process = self.entries[entry].process.as_mut();
        let Some(process) = process.filter(|process| process.start == start) else {
            return false;
        };
        if process.paused {
            process.deferred.push(action());
        }
        !process.paused
    }

    /// Returns the start number of an entry instance's process, unless none runs.
    pub(super) fn start_of(&self, entry: EntryIndex) -> Option<StartNumber> {
        self.entries[entry].process.as_ref().map(|process| process.start)
    }

    fn on_tick(&mut self, entry: EntryIndex, start: StartNumber) {
        if !self.runs_or_defers(entry, start, || Action::Tick(entry, start)) {
            return;
        }
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000) + self.now;
        self.queue.push(self.now + TICK_INTERVAL, Action::Tick(entry, start));
        self.apply(entry, EntryEvent::Tick { wall });
    }

    /// Starts the process of an entry instance, unless it runs already.
    pub(super) fn start_entry(&mut self, entry: EntryIndex) {
        if self.entries[entry].process.is_some() {
            return;
        }
        let start = self.rng.random_range(1..u64::MAX / 2);
        let clock_rate = self.rng.random_range(0.99..1.01);
        let settings = self.entries[entry].settings.clone();
        let reducer = EntryReducer::new(settings, start).with_guards(self.plan.guards);
        self.entries[entry].process = Some(EntryProcess::new(reducer, start, self.now, clock_rate));
        self.entries[entry].down_since = None;
        self.entries[entry].ready = false;
        self.record(HistoryEvent::ProcessStarted((entry, start)));
        let offset = Duration::from_micros(self.rng.random_range(0..20_000));
        self.queue.push(self.now + offset, Action::Tick(entry, start));
    }

    /// Applies an event to the reducer of a running process and executes its effects.
    pub(super) fn apply(&mut self, entry: EntryIndex, event: EntryEvent) {
        let now = self.now;
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        let start = process.start;
        if let EntryEvent::ListFetched { result: Ok(list) } = &event {
            let leaving: Vec<_> =
                list.iter().filter(|listed| listed.leaving).map(|item| item.name.clone()).collect();
            let shown = HistoryEvent::ListReceived { process: (entry, start), leaving };
            self.history.add(now, shown);
        }
        let effects = process.reducer.apply(process.local_time(now), event);
        for effect in effects {
            self.execute_effect(entry, start, effect);
        }
    }

    fn on_request(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        origin: ReplyOrigin,
        event: EntryEvent,
    ) {
        if self.start_of(entry) != Some(start) {
            self.end_lost_reply(entry, origin);
            return;
        }
        let again = || Action::DeliverRequest(entry, start, origin, event.clone());
        if !self.runs_or_defers(entry, start, again) {
            return;
        }
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        process.next_reply += 1;
        let reply = process.next_reply;
        process.replies.insert(reply, origin);
        self.apply(entry, with_reply(event, reply));
    }

    /// Samples readiness, configuration and the platform's list.
    fn sample(&mut self) {
        self.queue.push(self.now + SAMPLE_INTERVAL, Action::Sample);
        self.snapshot_list();
        for entry in 0..self.entries.len() {
            self.check_watch(entry);
            let Some(start) = self.start_of(entry) else {
                self.entries[entry].ready = false;
                continue;
            };
            if self.entries[entry].process.as_ref().is_some_and(|process| process.paused) {
                continue;
            }
            for (origin, query) in [
                (ReplyOrigin::ReadySample, StateQuery::Ready),
                (ReplyOrigin::ConfigSample, StateQuery::Config),
            ] {
                let event = EntryEvent::StateRequested { reply: 0, query };
                self.on_request(entry, start, origin, event);
            }
        }
    }

    /// Tells whether no partition separates two nodes now.
    pub(super) fn reaches(&self, a: NetworkNode, b: NetworkNode) -> bool {
        self.network.reaches(a, b)
    }

    pub(super) fn record(&mut self, event: HistoryEvent) {
        self.history.add(self.now, event);
    }
}

fn with_reply(event: EntryEvent, reply: ReplyId) -> EntryEvent {
    match event {
        EntryEvent::CallArrived { call, .. } => EntryEvent::CallArrived { reply, call },
        EntryEvent::TaskArrived { submission, .. } => EntryEvent::TaskArrived { reply, submission },
        EntryEvent::TaskQueried { ticket, query, .. } => {
            EntryEvent::TaskQueried { reply, ticket, query }
        }
        EntryEvent::TicketsRequested { count, .. } => EntryEvent::TicketsRequested { reply, count },
        EntryEvent::PeerRequestReceived { request, .. } => {
            EntryEvent::PeerRequestReceived { reply, request }
        }
        EntryEvent::ConfigOffered { changes, .. } => EntryEvent::ConfigOffered { reply, changes },
        EntryEvent::StateRequested { query, .. } => EntryEvent::StateRequested { reply, query },
        other => other,
    }
}
