//! Effects of an entry instance, and the exchanges that they begin.

use std::time::Duration;

use cuminbank::{
    effect::{CallerAnswer, EntryEffect},
    event::{EntryEvent, ExchangeError},
    ids::{ExchangeId, ReplyId, StartNumber},
    message::PeerReply,
    worker::WorkerRequest,
};
use rand::Rng;

use super::{
    history::HistoryEvent,
    network::Party,
    queue::{Action, EntryIndex, ExchangeRef, ReplyOrigin, TargetIndex},
    world::World,
};

/// Time after which a refused connection is seen.
const REFUSED_AFTER: Duration = Duration::from_millis(1);
/// Longest wait for the platform's list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// How a message fares.
pub(super) enum Leg {
    /// It arrives after this time.
    Arrives(Duration),
    /// No connection can be made.
    Unreachable,
    /// It left and does not arrive.
    Lost,
}

impl World {
    /// Carries out an effect of a process.
    pub(super) fn carry(&mut self, entry: EntryIndex, start: StartNumber, effect: EntryEffect) {
        if self.start_of(entry) != Some(start) {
            return;
        }
        match effect {
            EntryEffect::Answer { reply, answer } => self.answer(entry, start, reply, answer),
            EntryEffect::AnswerPeer { reply, answer } => self.answer_peer(entry, reply, answer),
            EntryEffect::AbortDispatch { exchange } => {
                let event =
                    EntryEvent::DispatchCompleted { exchange, result: Err(ExchangeError::Lost) };
                let exchange = ExchangeRef { entry, start, exchange };
                self.queue.push(self.now, Action::End(exchange, event));
            }
            EntryEffect::SendDatagram { to, datagram } => {
                let from = self.entries[entry].settings.peer_address;
                let event = EntryEvent::DatagramReceived { from, datagram };
                self.send_datagram(entry, to, event);
            }
            EntryEffect::WatchConfig { from } => self.open_watch(entry, start, from),
            EntryEffect::FetchList => self.fetch_list(entry, start),
            EntryEffect::Exit => self.exit(entry, start),
            EntryEffect::Log(log) => {
                let text = format!("EV{:04} {}", log.code.number, log.detail);
                self.record(HistoryEvent::Logged { process: (entry, start), text });
            }
            EntryEffect::Metric(_) => {}
            effect => self.begin_exchange(entry, start, effect),
        }
    }

    fn begin_exchange(&mut self, entry: EntryIndex, start: StartNumber, effect: EntryEffect) {
        if let (Some(exchange), Some(process)) =
            (exchange_of(&effect), self.entries[entry].process.as_mut())
        {
            process.open.insert(exchange, ());
        }
        let delay = self.network.write_delay(&mut self.rng);
        self.queue.push(self.now + delay, Action::Write(entry, start, effect));
    }

    fn answer(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        reply: ReplyId,
        answer: CallerAnswer,
    ) {
        let process = self.entries[entry].process.as_mut();
        let Some(origin) = process.and_then(|process| process.replies.remove(&reply)) else {
            return;
        };
        match origin {
            ReplyOrigin::Caller { request, send, asked } => {
                let leg = self.leg(Party::Entry(entry), Party::Outside);
                let Leg::Arrives(delay) = leg else {
                    return;
                };
                let action = Action::Answered(request, send, asked, Some(answer));
                self.queue.push(self.now + delay, action);
            }
            ReplyOrigin::ReadySample => self.entries[entry].ready = answer.status == 200,
            ReplyOrigin::ConfigSample => self.note_config(entry, start, &answer),
            ReplyOrigin::Operator | ReplyOrigin::Peer(_) => {}
        }
    }

    fn answer_peer(&mut self, entry: EntryIndex, reply: ReplyId, answer: PeerReply) {
        let process = self.entries[entry].process.as_mut();
        let origin = process.and_then(|process| process.replies.remove(&reply));
        let Some(ReplyOrigin::Peer(asker)) = origin else {
            return;
        };
        let event = EntryEvent::PeerCallCompleted { exchange: asker.exchange, result: Ok(answer) };
        self.send_back(Party::Entry(entry), asker, event);
    }

    /// Sends the answer of an exchange; a lost one ends at the exchange's timeout.
    pub(super) fn send_back(&mut self, from: Party, exchange: ExchangeRef, event: EntryEvent) {
        if let Leg::Arrives(delay) = self.leg(from, Party::Entry(exchange.entry)) {
            self.queue.push(self.now + delay, Action::End(exchange, event));
        }
    }

    /// Ends the wait for a reply that will not come, because the process has ended.
    pub(super) fn lose_reply(&mut self, entry: EntryIndex, origin: ReplyOrigin) {
        match origin {
            ReplyOrigin::Caller { request, send, asked } => {
                let action = Action::Answered(request, send, asked, None);
                self.queue.push(self.now + REFUSED_AFTER, action);
            }
            ReplyOrigin::Peer(asker) => {
                let result = Err(ExchangeError::Lost);
                let event = EntryEvent::PeerCallCompleted { exchange: asker.exchange, result };
                self.send_back(Party::Entry(entry), asker, event);
            }
            _ => {}
        }
    }

    fn send_datagram(&mut self, entry: EntryIndex, to: std::net::SocketAddr, event: EntryEvent) {
        let Some(receiver) = self.entry_by_address(to) else {
            return;
        };
        let Some(start) = self.start_of(receiver) else {
            return;
        };
        if let Leg::Arrives(delay) = self.leg(Party::Entry(entry), Party::Entry(receiver)) {
            self.queue.push(self.now + delay, Action::Event(receiver, start, event));
        }
    }

    fn entry_by_address(&self, address: std::net::SocketAddr) -> Option<EntryIndex> {
        self.entries.iter().position(|host| host.settings.peer_address == address)
    }

    fn fetch_list(&mut self, entry: EntryIndex, start: StartNumber) {
        let (delay, result) = match self.leg(Party::Entry(entry), Party::List) {
            Leg::Arrives(delay) => (delay * 2, Ok(self.listed())),
            Leg::Unreachable | Leg::Lost => (LIST_TIMEOUT, Err(ExchangeError::NotSent)),
        };
        let event = EntryEvent::ListFetched { result };
        self.queue.push(self.now + delay, Action::Event(entry, start, event));
    }

    /// Ends an exchange, unless it has ended.
    pub(super) fn on_end(&mut self, exchange: ExchangeRef, event: EntryEvent) {
        let ExchangeRef { entry, start, .. } = exchange;
        if !self.is_awake(entry, start, || Action::End(exchange, event.clone())) {
            return;
        }
        let process = self.entries[entry].process.as_mut();
        let was_open = process.and_then(|process| process.open.remove(&exchange.exchange));
        if was_open.is_some() {
            self.apply(entry, event);
        } else if self.mixed_answers {
            self.mix_answer(entry, event);
        }
    }

    /// Draws how a message between two parties fares.
    pub(super) fn leg(&mut self, from: Party, to: Party) -> Leg {
        if !self.reaches(from, to) {
            return Leg::Unreachable;
        }
        if self.network.loses(&mut self.rng) {
            return Leg::Lost;
        }
        Leg::Arrives(self.network.delay(&mut self.rng))
    }

    /// Writes the request of an exchange; the last moment at which it can still be not sent.
    pub(super) fn on_write(&mut self, entry: EntryIndex, start: StartNumber, effect: EntryEffect) {
        if !self.is_awake(entry, start, || Action::Write(entry, start, effect.clone())) {
            return;
        }
        let Some(id) = exchange_of(&effect) else {
            return;
        };
        let Some(process) = self.entries[entry].process.as_ref() else {
            return;
        };
        if !process.open.contains_key(&id) {
            return;
        }
        let exchange = ExchangeRef { entry, start, exchange: id };
        let local = process.local(self.now);
        let late = valid_until(&effect).is_some_and(|until| local >= until);
        if late && self.plan.guards.authority_checked_at_send {
            self.fail(exchange, &effect, ExchangeError::NotSent, Duration::ZERO);
            return;
        }
        self.write(exchange, effect);
    }

    fn write(&mut self, exchange: ExchangeRef, effect: EntryEffect) {
        let receiver = self.receiver(&effect);
        let timeout = timeout_of(&effect);
        self.fail(exchange, &effect, ExchangeError::Lost, timeout);
        let Some(receiver) = receiver.filter(|receiver| self.accepts(*receiver)) else {
            self.fail(exchange, &effect, ExchangeError::NotSent, REFUSED_AFTER);
            return;
        };
        match self.leg(Party::Entry(exchange.entry), receiver) {
            Leg::Arrives(delay) => {
                self.note_send(exchange, receiver, &effect);
                self.deliver(exchange, receiver, effect, delay);
            }
            Leg::Lost => {}
            // A new connection cannot be made; on an open one the bytes leave and are lost.
            Leg::Unreachable => {
                if self.rng.random_bool(0.5) {
                    let just_before = timeout.saturating_sub(Duration::from_millis(1));
                    self.fail(exchange, &effect, ExchangeError::NotSent, just_before);
                }
            }
        }
    }

    fn deliver(
        &mut self,
        exchange: ExchangeRef,
        receiver: Party,
        effect: EntryEffect,
        delay: Duration,
    ) {
        let action = match (effect, receiver) {
            (EntryEffect::Dispatch { call_id, body, .. }, Party::Target(target)) => {
                Action::Run(exchange, target, call_id, body)
            }
            (EntryEffect::Probe { .. }, Party::Target(target)) => Action::Probe(exchange, target),
            (EntryEffect::CallWorker { request, .. }, Party::Target(target)) => {
                Action::Work(exchange, target, request)
            }
            (EntryEffect::CallStore { request, .. }, _) => Action::Store(exchange, request),
            (EntryEffect::CallPeer { request, .. }, Party::Entry(receiver)) => {
                let Some(start) = self.start_of(receiver) else {
                    return;
                };
                let event = EntryEvent::PeerRequestReceived { reply: 0, request };
                Action::Arrive(receiver, start, ReplyOrigin::Peer(exchange), event)
            }
            _ => return,
        };
        let slow = if matches!(action, Action::Store(..)) { self.store_delay } else { delay };
        self.queue.push(self.now + delay.max(slow), action);
    }

    fn note_send(&mut self, exchange: ExchangeRef, receiver: Party, effect: &EntryEffect) {
        let process = (exchange.entry, exchange.start);
        let Party::Target(index) = receiver else {
            return;
        };
        let event = match effect {
            EntryEffect::Dispatch { call_id, .. } => HistoryEvent::DispatchSent {
                process,
                target: self.targets[index].executor_name.clone(),
                call: call_id.clone(),
            },
            EntryEffect::CallWorker { request: WorkerRequest::Start(start), .. } => {
                HistoryEvent::StartSent {
                    process,
                    target: self.targets[index].worker_name.clone(),
                    task: start.task.clone(),
                    attempt: start.attempt,
                }
            }
            _ => return,
        };
        self.record(event);
    }

    /// Schedules the end of an exchange without an answer.
    fn fail(
        &mut self,
        exchange: ExchangeRef,
        effect: &EntryEffect,
        error: ExchangeError,
        after: Duration,
    ) {
        let id = exchange.exchange;
        let event = match effect {
            EntryEffect::Dispatch { .. } => {
                EntryEvent::DispatchCompleted { exchange: id, result: Err(error) }
            }
            EntryEffect::Probe { .. } => {
                EntryEvent::ProbeCompleted { exchange: id, result: Err(error) }
            }
            EntryEffect::CallWorker { .. } => {
                EntryEvent::WorkerCallCompleted { exchange: id, result: Err(error) }
            }
            EntryEffect::CallStore { .. } => {
                EntryEvent::StoreCallCompleted { exchange: id, result: Err(error) }
            }
            EntryEffect::CallPeer { .. } => {
                EntryEvent::PeerCallCompleted { exchange: id, result: Err(error) }
            }
            _ => return,
        };
        self.queue.push(self.now + after, Action::End(exchange, event));
    }

    fn receiver(&self, effect: &EntryEffect) -> Option<Party> {
        let target = |matches: &dyn Fn(TargetIndex) -> bool| {
            (0..self.targets.len()).find(|index| matches(*index)).map(Party::Target)
        };
        match effect {
            EntryEffect::Dispatch { address, .. } | EntryEffect::Probe { address, .. } => {
                target(&|index| self.targets[index].executor_address == *address)
            }
            EntryEffect::CallWorker { address, .. } => {
                target(&|index| self.targets[index].worker_address == *address)
            }
            EntryEffect::CallStore { .. } => Some(Party::Store),
            EntryEffect::CallPeer { to, .. } => self.entry_by_address(*to).map(Party::Entry),
            _ => None,
        }
    }

    /// Tells whether the receiver's process takes connections.
    fn accepts(&self, receiver: Party) -> bool {
        match receiver {
            Party::Target(index) => !self.targets[index].down,
            Party::Entry(index) => self.entries[index].process.is_some(),
            _ => true,
        }
    }
}

fn exchange_of(effect: &EntryEffect) -> Option<ExchangeId> {
    match effect {
        EntryEffect::Dispatch { exchange, .. }
        | EntryEffect::Probe { exchange, .. }
        | EntryEffect::CallWorker { exchange, .. }
        | EntryEffect::CallStore { exchange, .. }
        | EntryEffect::CallPeer { exchange, .. } => Some(*exchange),
        _ => None,
    }
}

fn valid_until(effect: &EntryEffect) -> Option<Duration> {
    match effect {
        EntryEffect::Dispatch { valid_until, .. } | EntryEffect::CallWorker { valid_until, .. } => {
            Some(*valid_until)
        }
        _ => None,
    }
}

fn timeout_of(effect: &EntryEffect) -> Duration {
    match effect {
        EntryEffect::Dispatch { timeout, .. }
        | EntryEffect::Probe { timeout, .. }
        | EntryEffect::CallWorker { timeout, .. }
        | EntryEffect::CallStore { timeout, .. }
        | EntryEffect::CallPeer { timeout, .. } => *timeout,
        _ => Duration::ZERO,
    }
}
