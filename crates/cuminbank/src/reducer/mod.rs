//! The entry instance as a deterministic state machine. The reducer passes each event to the part
//! whose state it concerns and returns the effects that the daemon executes.

pub mod calls;
pub mod config;
pub mod groups;
pub mod records;
pub mod step;
pub mod tasks;

use std::{collections::BTreeMap, time::Duration};

use crate::{
    effect::{CallerAnswer, EntryEffect},
    event::{EntryEvent, StateQuery},
    guards::GuardSwitches,
    ids::{ExchangeId, MonotonicTime, ReplyId, StartNumber},
    message::{PeerDatagram, PeerReply, PeerRequest},
    settings::EntrySettings,
};

use self::{
    calls::{CallPart, ForwardedCall},
    config::ConfigPart,
    groups::{GroupChange, GroupPart},
    records::RecordPart,
    step::{ReducerPart, StepContext},
    tasks::TaskPart,
};

/// Read access of the call part to other parts.
#[derive(Clone, Copy, Debug)]
pub struct CallView<'a> {
    /// Group ownership and membership.
    pub groups: &'a GroupPart,
    /// Active configuration.
    pub config: &'a ConfigPart,
    /// Batch tasks, which can slow down calls on the same machine.
    pub tasks: &'a TaskPart,
}

/// Read access of the task part to other parts.
#[derive(Clone, Copy, Debug)]
pub struct TaskView<'a> {
    /// Group ownership and membership.
    pub groups: &'a GroupPart,
    /// Active configuration.
    pub config: &'a ConfigPart,
    /// Urgent calls. The classes of those on a machine are used to predict how much a batch task
    /// would slow them down.
    pub calls: &'a CallPart,
}

// These are macros because a method would borrow the whole reducer, while the part that receives
// the view is borrowed mutably.
macro_rules! call_view {
    ($reducer:ident) => {
        CallView { groups: &$reducer.groups, config: &$reducer.config, tasks: &$reducer.tasks }
    };
}

macro_rules! task_view {
    ($reducer:ident) => {
        TaskView { groups: &$reducer.groups, config: &$reducer.config, calls: &$reducer.calls }
    };
}

/// Interval between two [`EntryEvent::Tick`] events.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Upper bound on the time between the send and the arrival of bytes, also of those sent before a
/// failure of the connection or before the end of an owner's authority.
pub const TRANSIT_BOUND: Duration = Duration::from_secs(1);

/// State of an entry instance.
///
/// ```
/// use std::time::{Duration, SystemTime};
///
/// use cuminbank::{event::EntryEvent, reducer::EntryReducer, settings::EntrySettings};
///
/// let text = br#"{"instance":"d1","zone":"dublin","http_address":"127.0.0.1:8080",
///     "peer_address":"127.0.0.1:8081","store_addresses":["127.0.0.1:2379"],
///     "list_address":"127.0.0.1:8500"}"#;
/// let settings = EntrySettings::from_json(text).expect("the settings are valid");
/// let mut reducer = EntryReducer::new(settings, 7);
/// let tick = EntryEvent::Tick { wall: SystemTime::UNIX_EPOCH };
/// let effects = reducer.apply(Duration::ZERO, tick);
/// assert!(!effects.is_empty());
/// ```
#[derive(Debug)]
pub struct EntryReducer {
    step: StepContext,
    calls: CallPart,
    tasks: TaskPart,
    groups: GroupPart,
    config: ConfigPart,
    records: RecordPart,
    /// Whether the planned stop is complete except for the requests in [`Self::outstanding`].
    exit_pending: bool,
    /// Requests without an answer, with `true` if a peer sent the request and `false` if a caller
    /// did.
    outstanding: BTreeMap<ReplyId, bool>,
}

impl EntryReducer {
    /// Creates the state of an instance that has just started.
    ///
    /// `start` must differ between two starts of the same instance; it is also the seed of the
    /// random number generator.
    pub fn new(settings: EntrySettings, start: StartNumber) -> Self {
        Self {
            calls: CallPart::new(&settings),
            tasks: TaskPart::new(&settings),
            groups: GroupPart::new(&settings, start),
            config: ConfigPart::new(&settings),
            records: RecordPart::new(&settings, start),
            step: StepContext::new(settings, start),
            exit_pending: false,
            outstanding: BTreeMap::new(),
        }
    }

    /// Sets the guards. Only tests switch a guard off.
    pub fn with_guards(mut self, guards: GuardSwitches) -> Self {
        self.step.guards = guards;
        self.groups = self.groups.with_guards(guards.ownership);
        self
    }

    /// Applies an event that happened at `now` and returns the effects to execute.
    pub fn apply(&mut self, now: MonotonicTime, event: EntryEvent) -> Vec<EntryEffect> {
        self.step.begin(now);
        self.track_outstanding(&event);
        self.route(event);
        for observation in self.step.take_observations() {
            self.groups.observe_target(&mut self.step, &observation);
        }
        self.pass_group_changes();
        self.groups.hand_over_groups(&mut self.step, &self.calls);
        let effects = self.step.take_effects();
        for effect in &effects {
            if let EntryEffect::Answer { reply, .. } | EntryEffect::AnswerPeer { reply, .. } =
                effect
            {
                self.outstanding.remove(reply);
            }
        }
        self.delay_exit(effects)
    }

    fn track_outstanding(&mut self, event: &EntryEvent) {
        match event {
            EntryEvent::CallArrived { reply, .. }
            | EntryEvent::TaskArrived { reply, .. }
            | EntryEvent::TaskQueried { reply, .. }
            | EntryEvent::TicketsRequested { reply, .. } => {
                self.outstanding.insert(*reply, false);
            }
            EntryEvent::PeerRequestReceived { reply, .. } => {
                self.outstanding.insert(*reply, true);
            }
            EntryEvent::CallerDisconnected { reply } => {
                self.outstanding.remove(reply);
            }
            _ => {}
        }
    }

    /// Delays the exit until the requests received after the planned stop was complete are
    /// answered. At the time limit of the stop the remaining ones get the outcome "unknown".
    fn delay_exit(&mut self, mut effects: Vec<EntryEffect>) -> Vec<EntryEffect> {
        if !self.groups.is_draining() {
            return effects;
        }
        let count = effects.len();
        effects.retain(|effect| *effect != EntryEffect::Exit);
        self.exit_pending |= effects.len() < count;
        let overdue = self.step.now() >= self.records.exit_deadline(&self.step);
        if !self.exit_pending || !(overdue || self.outstanding.is_empty()) {
            return effects;
        }
        self.exit_pending = false;
        for (reply, is_peer) in std::mem::take(&mut self.outstanding) {
            let answer = CallerAnswer::new_unknown("the instance has to stop now");
            effects.push(match is_peer {
                true => EntryEffect::AnswerPeer { reply, answer: PeerReply::Answer(answer) },
                false => EntryEffect::Answer { reply, answer },
            });
        }
        effects.push(EntryEffect::Exit);
        effects
    }

    fn route(&mut self, event: EntryEvent) {
        match event {
            EntryEvent::Tick { wall } => self.on_tick(wall),
            EntryEvent::CallArrived { reply, call } => {
                self.calls.on_call(&mut self.step, call_view!(self), &mut self.records, reply, call)
            }
            EntryEvent::TaskArrived { reply, submission } => self.tasks.on_submission(
                &mut self.step,
                task_view!(self),
                &mut self.records,
                reply,
                submission,
            ),
            EntryEvent::TaskQueried { reply, ticket, query } => {
                self.tasks.on_query(&mut self.step, task_view!(self), reply, ticket, query);
            }
            EntryEvent::TicketsRequested { reply, count } => {
                self.calls.on_tickets_requested(&mut self.step, call_view!(self), reply, count);
            }
            EntryEvent::CallerDisconnected { reply } => {
                self.calls.on_caller_disconnected(&mut self.step, reply)
            }
            EntryEvent::DispatchCompleted { exchange, result } => self.calls.on_dispatch_ended(
                &mut self.step,
                call_view!(self),
                &mut self.records,
                exchange,
                result,
            ),
            EntryEvent::ProbeCompleted { exchange, result } => self.calls.on_probe_ended(
                &mut self.step,
                call_view!(self),
                &mut self.records,
                exchange,
                result,
            ),
            EntryEvent::WorkerCallCompleted { exchange, result } => self.tasks.on_worker_ended(
                &mut self.step,
                task_view!(self),
                &mut self.records,
                exchange,
                result,
            ),
            EntryEvent::StoreCallCompleted { exchange, result } => {
                self.on_store_ended(exchange, result);
            }
            EntryEvent::WatchChanged { revision, changes } => {
                self.config.on_watch_changed(&mut self.step, revision, changes);
            }
            EntryEvent::WatchLost => self.config.on_watch_lost(&mut self.step),
            EntryEvent::ListFetched { result } => {
                self.groups.on_list_fetched(&mut self.step, result);
            }
            EntryEvent::DatagramReceived { from, datagram } => {
                self.compare_config(&datagram);
                self.groups.on_datagram(&mut self.step, &self.config, from, datagram);
            }
            EntryEvent::PeerRequestReceived { reply, request } => {
                self.on_peer_request(reply, request)
            }
            EntryEvent::PeerCallCompleted { exchange, result } => {
                self.on_peer_ended(exchange, result)
            }
            EntryEvent::ConfigOffered { reply, changes } => {
                self.config.on_offered(&mut self.step, reply, changes);
            }
            EntryEvent::StateRequested { reply, query } => self.on_state_requested(reply, query),
            EntryEvent::DrainRequested => self.groups.on_drain_requested(&mut self.step),
        }
    }

    /// Compares the configuration in a peer's heartbeat with the local one.
    fn compare_config(&mut self, datagram: &PeerDatagram) {
        let PeerDatagram::Heartbeat(heartbeat) = datagram else { return };
        if heartbeat.from.instance == self.step.settings.instance {
            return;
        }
        let (revision, checksum) = (heartbeat.config_revision, heartbeat.config_checksum);
        self.config.on_peer_set(&mut self.step, heartbeat.address, revision, checksum);
    }

    fn on_tick(&mut self, wall: std::time::SystemTime) {
        self.step.set_wall(wall);
        self.config.on_tick(&mut self.step, &self.groups);
        self.groups.on_tick(&mut self.step, &self.config, &self.calls, &mut self.records);
        self.calls.on_tick(&mut self.step, call_view!(self), &mut self.records);
        self.tasks.on_tick(&mut self.step, task_view!(self), &mut self.records);
        self.records.on_tick(&mut self.step, &self.groups);
    }

    fn on_store_ended(
        &mut self,
        exchange: ExchangeId,
        result: Result<crate::store::StoreReply, crate::event::ExchangeError>,
    ) {
        self.groups.observe_store(&mut self.step, result.as_ref().err().copied());
        self.records.observe_store(&self.step, result.as_ref().err().copied());
        let step = &mut self.step;
        match ReducerPart::of(exchange) {
            ReducerPart::Groups => self.groups.on_store_ended(step, exchange, result),
            ReducerPart::Tasks => self.tasks.on_store_ended(
                step,
                task_view!(self),
                &mut self.records,
                exchange,
                result,
            ),
            ReducerPart::Config => self.config.on_store_ended(step, exchange, result),
            ReducerPart::Records => self.records.on_store_ended(step, exchange, result),
            ReducerPart::Calls => {}
        }
    }

    fn on_peer_request(&mut self, reply: ReplyId, request: PeerRequest) {
        let step = &mut self.step;
        match request {
            PeerRequest::ForwardCall { group, call, waited_ms } => {
                let waited = Duration::from_millis(waited_ms);
                let forwarded = ForwardedCall { group, call, waited };
                let (view, records) = (call_view!(self), &mut self.records);
                self.calls.on_forwarded_call(step, view, records, reply, forwarded);
            }
            PeerRequest::ForwardTask(submission) => self.tasks.on_forwarded_submission(
                step,
                task_view!(self),
                &mut self.records,
                reply,
                submission,
            ),
            PeerRequest::ForwardQuery(ticket, query) => {
                self.tasks.on_forwarded_query(step, task_view!(self), reply, ticket, query);
            }
            PeerRequest::IssueTickets { count } => {
                self.calls.on_peer_ticket_request(step, call_view!(self), reply, count);
            }
            PeerRequest::FetchConfig => {
                let answer = self.config.peer_reply();
                step.push(EntryEffect::AnswerPeer { reply, answer });
            }
            PeerRequest::HandOver { group, epoch, next_sequence, tickets } => {
                self.groups.on_hand_over(step, reply, group, epoch, next_sequence, tickets);
            }
        }
    }

    fn on_peer_ended(
        &mut self,
        exchange: ExchangeId,
        result: Result<PeerReply, crate::event::ExchangeError>,
    ) {
        let step = &mut self.step;
        match ReducerPart::of(exchange) {
            ReducerPart::Groups => self.groups.on_peer_ended(step, exchange, result),
            ReducerPart::Calls => {
                self.calls.on_peer_ended(step, &mut self.records, exchange, result);
            }
            ReducerPart::Tasks => {
                self.tasks.on_peer_ended(step, &mut self.records, exchange, result);
            }
            ReducerPart::Config => self.config.on_peer_ended(step, exchange, result),
            ReducerPart::Records => {}
        }
    }

    fn on_state_requested(&mut self, reply: ReplyId, query: StateQuery) {
        let answer = match query {
            StateQuery::Ready => self.readiness(),
            StateQuery::Config => json_answer(&serde_json::json!(self.config.changes())),
            StateQuery::Status => {
                let now = self.step.now();
                json_answer(&serde_json::json!({
                    "groups": self.groups.status(now),
                    "calls": self.calls.status(now),
                    "tasks": self.tasks.status(now),
                    "config": self.config.status(),
                    "records": self.records.status(),
                }))
            }
        };
        self.step.push(EntryEffect::Answer { reply, answer });
    }

    fn readiness(&self) -> CallerAnswer {
        if self.config.is_ready() && !self.groups.is_draining() {
            return json_answer(&serde_json::json!({ "ready": true }));
        }
        CallerAnswer::new_not_run(503, "the instance is starting or stopping")
    }

    /// Passes changes of ownership and targets to the parts that dispatch work.
    fn pass_group_changes(&mut self) {
        for change in self.groups.take_changes() {
            let step = &mut self.step;
            self.calls.on_group_change(step, call_view!(self), &mut self.records, &change);
            self.tasks.on_group_change(step, task_view!(self), &change);
            if matches!(change, GroupChange::Drained) {
                self.records.save_final(step, &self.groups);
            }
        }
    }
}

fn json_answer(value: &serde_json::Value) -> CallerAnswer {
    CallerAnswer::new_done(200, bytes::Bytes::from(value.to_string()))
}
