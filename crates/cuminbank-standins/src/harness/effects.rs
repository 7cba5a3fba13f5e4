//! Execution of the effects of entry reducers, and the network exchanges that they start.

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
    network::NetworkNode,
    queue::{Action, EntryIndex, ExchangeRef, ReplyOrigin, TargetIndex},
    simulation::Simulation,
};

/// Delay until a refused connection is reported to the sender.
const CONNECTION_REFUSAL_DELAY: Duration = Duration::from_millis(1);
/// Timeout of a fetch of the platform's list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of sending a message over the network.
pub(super) enum Delivery {
    /// Arrives after this delay.
    Arrives(Duration),
    /// A partition prevents a connection.
    Unreachable,
    /// Sent, but lost in the network.
    Lost,
}

impl Simulation {
    /// Executes an effect of a process, unless that process has ended.
    pub(super) fn execute_effect(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        effect: EntryEffect,
    ) {
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
                self.queue.push(self.now, Action::EndExchange(exchange, event));
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
            (exchange_id(&effect), self.entries[entry].process.as_mut())
        {
            process.open_exchanges.insert(exchange, ());
        }
        let delay = self.network.draw_write_delay(&mut self.rng);
        self.queue.push(self.now + delay, Action::WriteRequest(entry, start, effect));
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
            ReplyOrigin::Caller { request, send, operation } => {
                let delivery = self.draw_delivery(NetworkNode::Entry(entry), NetworkNode::Client);
                let Delivery::Arrives(delay) = delivery else {
                    return;
                };
                let action = Action::Answered(request, send, operation, Some(answer));
                self.queue.push(self.now + delay, action);
            }
            ReplyOrigin::ReadySample => self.entries[entry].ready = answer.status == 200,
            ReplyOrigin::ConfigSample => self.record_config(entry, start, &answer),
            ReplyOrigin::Operator | ReplyOrigin::Peer(_) => {}
        }
    }

    fn answer_peer(&mut self, entry: EntryIndex, reply: ReplyId, answer: PeerReply) {
        let process = self.entries[entry].process.as_mut();
        let origin = process.and_then(|process| process.replies.remove(&reply));
        let Some(ReplyOrigin::Peer(requester)) = origin else {
            return;
        };
        let event =
            EntryEvent::PeerCallCompleted { exchange: requester.exchange, result: Ok(answer) };
        self.send_answer(NetworkNode::Entry(entry), requester, event);
    }

    /// Sends the answer of an exchange. If it is lost, the exchange ends at its timeout.
    pub(super) fn send_answer(
        &mut self,
        from: NetworkNode,
        exchange: ExchangeRef,
        event: EntryEvent,
    ) {
        if let Delivery::Arrives(delay) =
            self.draw_delivery(from, NetworkNode::Entry(exchange.entry))
        {
            self.queue.push(self.now + delay, Action::EndExchange(exchange, event));
        }
    }

    /// Tells the requester that its connection broke, since the answering process has ended.
    pub(super) fn end_lost_reply(&mut self, entry: EntryIndex, origin: ReplyOrigin) {
        match origin {
            ReplyOrigin::Caller { request, send, operation } => {
                let action = Action::Answered(request, send, operation, None);
                self.queue.push(self.now + CONNECTION_REFUSAL_DELAY, action);
            }
            ReplyOrigin::Peer(requester) => {
                let result = Err(ExchangeError::Lost);
                let event = EntryEvent::PeerCallCompleted { exchange: requester.exchange, result };
                self.send_answer(NetworkNode::Entry(entry), requester, event);
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
        if let Delivery::Arrives(delay) =
            self.draw_delivery(NetworkNode::Entry(entry), NetworkNode::Entry(receiver))
        {
            self.queue.push(self.now + delay, Action::DeliverEvent(receiver, start, event));
        }
    }

    fn entry_by_address(&self, address: std::net::SocketAddr) -> Option<EntryIndex> {
        self.entries.iter().position(|host| host.settings.peer_address == address)
    }

    fn fetch_list(&mut self, entry: EntryIndex, start: StartNumber) {
        let (delay, result) = match self.draw_delivery(NetworkNode::Entry(entry), NetworkNode::List)
        {
            Delivery::Arrives(delay) => (delay * 2, Ok(self.visible_list())),
            Delivery::Unreachable | Delivery::Lost => (LIST_TIMEOUT, Err(ExchangeError::NotSent)),
        };
        let event = EntryEvent::ListFetched { result };
        self.queue.push(self.now + delay, Action::DeliverEvent(entry, start, event));
    }

    /// Ends an exchange and passes the result to the reducer. A late answer to an exchange that has
    /// ended is dropped or, where enabled, misdelivered.
    pub(super) fn end_exchange(&mut self, exchange: ExchangeRef, event: EntryEvent) {
        let ExchangeRef { entry, start, .. } = exchange;
        if !self.runs_or_defers(entry, start, || Action::EndExchange(exchange, event.clone())) {
            return;
        }
        let process = self.entries[entry].process.as_mut();
        let was_open =
            process.and_then(|process| process.open_exchanges.remove(&exchange.exchange));
        if was_open.is_some() {
            self.apply(entry, event);
        } else if self.misdelivers_answers {
            self.misdeliver_answer(entry, event);
        }
    }

    /// Draws the outcome of sending a message between two nodes.
    pub(super) fn draw_delivery(&mut self, from: NetworkNode, to: NetworkNode) -> Delivery {
        if !self.reaches(from, to) {
            return Delivery::Unreachable;
        }
        if self.network.draw_loss(&mut self.rng) {
            return Delivery::Lost;
        }
        Delivery::Arrives(self.network.draw_delay(&mut self.rng))
    }

    /// Writes the request of an exchange to its connection, unless it was aborted or is past its
    /// `valid_until`. Up to here the request is known not to have been sent.
    pub(super) fn write_request(
        &mut self,
        entry: EntryIndex,
        start: StartNumber,
        effect: EntryEffect,
    ) {
        if !self.runs_or_defers(entry, start, || Action::WriteRequest(entry, start, effect.clone()))
        {
            return;
        }
        let Some(id) = exchange_id(&effect) else {
            return;
        };
        let Some(process) = self.entries[entry].process.as_ref() else {
            return;
        };
        if !process.open_exchanges.contains_key(&id) {
            return;
        }
        let exchange = ExchangeRef { entry, start, exchange: id };
        let local = process.local_time(self.now);
        let late = valid_until(&effect).is_some_and(|until| local >= until);
        if late && self.plan.guards.authority_checked_at_send {
            self.schedule_failure(exchange, &effect, ExchangeError::NotSent, Duration::ZERO);
            return;
        }
        self.send_request(exchange, effect);
    }

    fn send_request(&mut self, exchange: ExchangeRef, effect: EntryEffect) {
        let receiver = self.receiver(&effect);
        let timeout = timeout_of(&effect);
        self.schedule_failure(exchange, &effect, ExchangeError::Lost, timeout);
        let Some(receiver) = receiver.filter(|receiver| self.accepts(*receiver)) else {
            self.schedule_failure(
                exchange,
                &effect,
                ExchangeError::NotSent,
                CONNECTION_REFUSAL_DELAY,
            );
            return;
        };
        match self.draw_delivery(NetworkNode::Entry(exchange.entry), receiver) {
            Delivery::Arrives(delay) => {
                self.record_send(exchange, receiver, &effect);
                self.deliver(exchange, receiver, effect, delay);
            }
            Delivery::Lost => {}
            // A new connection fails as not sent; on an open connection the bytes are sent and
            // lost. Both are equally likely.
            Delivery::Unreachable => {
                if self.rng.random_bool(0.5) {
                    let just_before = timeout.saturating_sub(Duration::from_millis(1));
                    self.schedule_failure(exchange, &effect, ExchangeError::NotSent, just_before);
                }
            }
        }
    }

    fn deliver(
        &mut self,
        exchange: ExchangeRef,
        receiver: NetworkNode,
        effect: EntryEffect,
        delay: Duration,
    ) {
        let action = match (effect, receiver) {
            (EntryEffect::Dispatch { call_id, body, .. }, NetworkNode::Target(target)) => {
                Action::Call(exchange, target, call_id, body)
            }
            (EntryEffect::Probe { .. }, NetworkNode::Target(target)) => {
                Action::Probe(exchange, target)
            }
            (EntryEffect::CallWorker { request, .. }, NetworkNode::Target(target)) => {
                Action::WorkerRequest(exchange, target, request)
            }
            (EntryEffect::CallStore { request, .. }, _) => Action::StoreRequest(exchange, request),
            (EntryEffect::CallPeer { request, .. }, NetworkNode::Entry(receiver)) => {
                let Some(start) = self.start_of(receiver) else {
                    return;
                };
                let event = EntryEvent::PeerRequestReceived { reply: 0, request };
                Action::DeliverRequest(receiver, start, ReplyOrigin::Peer(exchange), event)
            }
            _ => return,
        };
        let slow =
            if matches!(action, Action::StoreRequest(..)) { self.store_delay } else { delay };
        self.queue.push(self.now + delay.max(slow), action);
    }

    fn record_send(&mut self, exchange: ExchangeRef, receiver: NetworkNode, effect: &EntryEffect) {
        let process = (exchange.entry, exchange.start);
        let NetworkNode::Target(index) = receiver else {
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

    /// Schedules the failure of an exchange; without effect if it ends with an answer before.
    fn schedule_failure(
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
        self.queue.push(self.now + after, Action::EndExchange(exchange, event));
    }

    fn receiver(&self, effect: &EntryEffect) -> Option<NetworkNode> {
        let target = |matches: &dyn Fn(TargetIndex) -> bool| {
            (0..self.targets.len()).find(|index| matches(*index)).map(NetworkNode::Target)
        };
        match effect {
            EntryEffect::Dispatch { address, .. } | EntryEffect::Probe { address, .. } => {
                target(&|index| self.targets[index].executor_address == *address)
            }
            EntryEffect::CallWorker { address, .. } => {
                target(&|index| self.targets[index].worker_address == *address)
            }
            EntryEffect::CallStore { .. } => Some(NetworkNode::Store),
            EntryEffect::CallPeer { to, .. } => self.entry_by_address(*to).map(NetworkNode::Entry),
            _ => None,
        }
    }

    /// Tells whether the receiver's process runs and accepts connections.
    fn accepts(&self, receiver: NetworkNode) -> bool {
        match receiver {
            NetworkNode::Target(index) => !self.targets[index].down,
            NetworkNode::Entry(index) => self.entries[index].process.is_some(),
            _ => true,
        }
    }
}

fn exchange_id(effect: &EntryEffect) -> Option<ExchangeId> {
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
