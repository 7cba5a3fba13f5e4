//! The driver: takes one action after the other from the queue and carries it out.

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
    network::{NetworkState, Party},
    parties::{entry_name, new_entries, new_targets, EntryHost, EntryProcess, TargetHost},
    plan::HarnessPlan,
    queue::{Action, EntryIndex, EventQueue, ReplyOrigin},
};
use crate::{
    executor::BookingTable,
    store::{StoreCore, StoreLimits},
};

/// Time between two samples of readiness, configuration and the platform's list.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the last answer in which copies of refused requests are sent.
const LAST_COPY: Duration = Duration::from_secs(12);
/// Time in which the last copy is answered: below the time after which its caller gives up.
const LAST_ANSWER: Duration = Duration::from_secs(13);
/// Lag of the platform's list without a fault.
pub(super) const LIST_LAG: Duration = Duration::from_secs(1);

/// A whole system in virtual time.
#[derive(Debug)]
pub struct World {
    pub(super) plan: HarnessPlan,
    pub(super) now: Duration,
    pub(super) rng: ChaCha8Rng,
    pub(super) queue: EventQueue,
    pub(super) network: NetworkState,
    pub(super) store: StoreCore,
    pub(super) store_answer_loss: f64,
    pub(super) store_delay: Duration,
    pub(super) entries: Vec<EntryHost>,
    pub(super) targets: Vec<TargetHost>,
    pub(super) requests: Vec<CallerRequest>,
    pub(super) slot_table: BookingTable,
    pub(super) lists: VecDeque<(Duration, Vec<ListedInstance>)>,
    pub(super) list_lag: Duration,
    pub(super) changes_made: u64,
    pub(super) quiet: bool,
    /// Whether late answers may arrive on a connection that another call uses by then.
    pub(super) mixed_answers: bool,
    /// The history of the run.
    pub history: History,
}

impl World {
    /// Creates the system of a plan; all instances start at time zero.
    pub fn new(plan: HarnessPlan) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            queue: EventQueue::default(),
            network: NetworkState::new(plan.zones, plan.faults.loss, plan.faults.slow_connects),
            store: StoreCore::new(StoreLimits::default()),
            store_answer_loss: 0.0,
            store_delay: Duration::ZERO,
            entries: new_entries(&plan),
            targets: new_targets(&plan),
            requests: Vec::new(),
            slot_table: BookingTable::default(),
            lists: VecDeque::new(),
            list_lag: LIST_LAG,
            changes_made: 0,
            quiet: false,
            mixed_answers: false,
            history: History::default(),
            plan,
        };
        world.seed_profiles();
        world.sample();
        for entry in 0..world.entries.len() {
            world.start_entry(entry);
        }
        world.plan_load();
        if !world.plan.faults.kinds.is_empty() {
            world.queue.push(Duration::from_secs(8), Action::DrawFault);
        }
        world
    }

    /// Lets late answers arrive on connections that another call uses by then.
    pub fn with_mixed_answers(mut self) -> Self {
        self.mixed_answers = true;
        self
    }

    /// Runs the whole plan: busy time, end of the faults, and the wait for accepted tasks.
    pub fn run(mut self) -> History {
        self.run_until(self.plan.busy);
        self.end_faults();
        let last = self.plan.busy + self.plan.settle;
        while self.now < last && !self.is_settled() {
            self.run_until(self.now + Duration::from_secs(1));
        }
        // Late work that should not run shows itself after the last answer. Copies of refused
        // requests are sent up to 12 s after it, and their answers take up to a deadline of 10 s.
        let (copied, answered) = (self.now + LAST_COPY, self.now + LAST_COPY + LAST_ANSWER);
        self.run_until(copied);
        while self.now < answered && self.waits_for_answers() {
            self.run_until(self.now + Duration::from_secs(1));
        }
        self.note_unanswered();
        self.finish()
    }

    fn waits_for_answers(&self) -> bool {
        let processes = self.entries.iter().filter_map(|host| host.process.as_ref());
        let mut origins = processes.flat_map(|process| process.replies.values());
        origins.any(|origin| matches!(origin, ReplyOrigin::Caller { .. } | ReplyOrigin::Peer(_)))
    }

    /// Records requests that wait for longer than they may; only settled runs are looked at.
    fn note_unanswered(&mut self) {
        if !self.is_settled() {
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

    /// Ends the run and returns its history.
    pub fn finish(mut self) -> History {
        self.history.end = self.now;
        self.history
    }

    /// Runs up to a moment of virtual time.
    pub fn run_until(&mut self, end: Duration) {
        while let Some((at, action)) = self.queue.pop(end) {
            self.now = self.now.max(at);
            self.carry_out(action);
        }
        self.now = end;
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the index of an entry instance by its name.
    pub fn entry_by_name(&self, name: &str) -> Option<EntryIndex> {
        (0..self.entries.len()).find(|index| entry_name(&self.plan, *index) == name)
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Tick(entry, start) => self.on_tick(entry, start),
            Action::Event(entry, start, event) => {
                if self.is_awake(entry, start, || Action::Event(entry, start, event.clone())) {
                    self.apply(entry, event);
                }
            }
            Action::End(exchange, event) => self.on_end(exchange, event),
            Action::Write(entry, start, effect) => self.on_write(entry, start, effect),
            Action::Arrive(entry, start, origin, event) => {
                self.on_arrive(entry, start, origin, event);
            }
            Action::Store(exchange, request) => self.on_store(exchange, &request),
            Action::Watch(entry, start, number) => self.poll_watch(entry, start, number),
            Action::Run(exchange, target, call, body) => self.on_run(exchange, target, call, &body),
            Action::RunDue(target) => self.on_run_due(target),
            Action::Probe(exchange, target) => self.on_probe(exchange, target),
            Action::Work(exchange, target, request) => self.on_work(exchange, target, request),
            Action::WorkDue(target) => self.on_work_due(target),
            Action::Caller(request) => self.caller_step(request),
            Action::Copy(request) => self.send_copy(request),
            Action::Cancel(request) => self.send_cancel(request),
            Action::Answered(request, send, asked, answer) => {
                self.on_answered(request, send, asked, answer);
            }
            Action::GiveUp(entry, start, request, send, asked) => {
                self.give_up(entry, start, request, send, asked);
            }
            Action::Sample => self.sample(),
            Action::Operator => self.change_profile(),
            Action::Fault(step) => self.carry_out_fault(step),
            Action::DrawFault => self.draw_fault(),
        }
    }

    /// Tells whether a process handles events now; a paused one gets the action after the pause.
    pub(super) fn is_awake(
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
            process.buffer.push(action());
        }
        !process.paused
    }

    /// Returns the start number of a running process.
    pub(super) fn start_of(&self, entry: EntryIndex) -> Option<StartNumber> {
        self.entries[entry].process.as_ref().map(|process| process.start)
    }

    fn on_tick(&mut self, entry: EntryIndex, start: StartNumber) {
        if !self.is_awake(entry, start, || Action::Tick(entry, start)) {
            return;
        }
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000) + self.now;
        self.queue.push(self.now + TICK_INTERVAL, Action::Tick(entry, start));
        self.apply(entry, EntryEvent::Tick { wall });
    }

    /// Starts a process of an entry instance.
    pub(super) fn start_entry(&mut self, entry: EntryIndex) {
        if self.entries[entry].process.is_some() {
            return;
        }
        let start = self.rng.random_range(1..u64::MAX / 2);
        let rate = self.rng.random_range(0.99..1.01);
        let settings = self.entries[entry].settings.clone();
        let reducer = EntryReducer::new(settings, start).with_guards(self.plan.guards);
        self.entries[entry].process = Some(EntryProcess::new(reducer, start, self.now, rate));
        self.entries[entry].down_since = None;
        self.entries[entry].ready = false;
        self.record(HistoryEvent::ProcessStarted((entry, start)));
        let offset = Duration::from_micros(self.rng.random_range(0..20_000));
        self.queue.push(self.now + offset, Action::Tick(entry, start));
    }

    /// Applies an event to a running process and carries out the effects.
    pub(super) fn apply(&mut self, entry: EntryIndex, event: EntryEvent) {
        let now = self.now;
        let Some(process) = self.entries[entry].process.as_mut() else {
            return;
        };
        let start = process.start;
        if let EntryEvent::ListFetched { result: Ok(list) } = &event {
            let leaving: Vec<_> =
                list.iter().filter(|listed| listed.leaving).map(|item| item.name.clone()).collect();
            let shown = HistoryEvent::ListShown { process: (entry, start), leaving };
            self.history.add(now, shown);
        }
        let effects = process.reducer.apply(process.local(now), event);
        for effect in effects {
            self.carry(entry, start, effect);
        }
    }

    fn on_arrive(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        origin: ReplyOrigin,
        event: EntryEvent,
    ) {
        if self.start_of(entry) != Some(start) {
            self.lose_reply(entry, origin);
            return;
        }
        let again = || Action::Arrive(entry, start, origin, event.clone());
        if !self.is_awake(entry, start, again) {
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

    /// Records readiness, configuration and the platform's list.
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
                self.on_arrive(entry, start, origin, event);
            }
        }
    }

    /// Tells whether two parties reach each other now.
    pub(super) fn reaches(&self, a: Party, b: Party) -> bool {
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
