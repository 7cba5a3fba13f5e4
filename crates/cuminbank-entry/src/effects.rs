//! Execution of the effects that the reducer returns: network exchanges, answers and log records.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use bytes::Bytes;
use cuminbank::{
    effect::EntryEffect,
    event::{EntryEvent, ExchangeError, ExecutorAnswer},
    ids::{MonotonicTime, StoreRevision},
    message::{encode, PeerDatagram},
    worker::{WorkerReply, WorkerReport, WorkerRequest},
};
use cuminbank_net::{
    client::{ClientAnswer, ClientRequest, HttpPool},
    watch,
};
use local_sync::oneshot;
use serde::Deserialize;
use serde_json::json;

use crate::{daemon::DaemonState, list};

/// Timeout for fetching the platform's instance list.
const LIST_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

impl DaemonState {
    /// Executes an effect. Network exchanges run in tasks of their own, so that this never blocks.
    pub(crate) fn execute(self: &Rc<Self>, effect: EntryEffect) {
        match effect {
            EntryEffect::Answer { reply, answer } => self.answer_caller(reply, answer),
            EntryEffect::AnswerPeer { reply, answer } => self.answer_peer(reply, answer),
            EntryEffect::Log(record) => self.log(&record),
            EntryEffect::Metric(sample) => self.metrics.send(&sample),
            EntryEffect::Exit => self.exiting.set(true),
            EntryEffect::AbortDispatch { exchange } => {
                if let Some(sender) = self.dispatch_aborts.borrow_mut().remove(&exchange) {
                    let _ = sender.send(());
                }
            }
            EntryEffect::SendDatagram { to, datagram } => self.send_datagram(to, datagram),
            EntryEffect::WatchConfig { from } => self.start_watch(from),
            effect => self.start_exchange(effect),
        }
    }

    fn send_datagram(self: &Rc<Self>, to: SocketAddr, datagram: PeerDatagram) {
        let state = Rc::clone(self);
        monoio::spawn(async move {
            let bytes = encode(&datagram);
            let _ = state.socket.send_to(bytes, to).await;
        });
    }

    fn start_watch(self: &Rc<Self>, from: StoreRevision) {
        let number = self.watch_number.get() + 1;
        self.watch_number.set(number);
        let state = Rc::clone(self);
        monoio::spawn(async move {
            if let Some(address) = state.store.address() {
                watch::watch_config(address, from, |revision, changes| {
                    if state.watch_number.get() == number {
                        state.apply(EntryEvent::WatchChanged { revision, changes });
                    }
                })
                .await;
            }
            if state.watch_number.get() == number {
                state.apply(EntryEvent::WatchLost);
            }
        });
    }

    fn start_exchange(self: &Rc<Self>, effect: EntryEffect) {
        let state = Rc::clone(self);
        monoio::spawn(async move {
            if let Some(event) = state.exchange(effect).await {
                state.apply(event);
            }
        });
    }

    /// Runs an exchange and returns the event with its result; `None` if the effect is no exchange.
    async fn exchange(self: &Rc<Self>, effect: EntryEffect) -> Option<EntryEvent> {
        let event = match effect {
            EntryEffect::Dispatch { exchange, address, call_id, body, valid_until, timeout } => {
                let (sender, receiver) = oneshot::channel();
                self.dispatch_aborts.borrow_mut().insert(exchange, sender);
                let result = monoio::select! {
                    result = self.dispatch(address, &call_id, body, valid_until, timeout) => result,
                    _ = receiver => Err(ExchangeError::Lost),
                };
                self.dispatch_aborts.borrow_mut().remove(&exchange);
                EntryEvent::DispatchCompleted { exchange, result }
            }
            EntryEffect::Probe { exchange, address, timeout } => {
                // Each probe opens a new connection: it has to detect a dead peer, and a pooled
                // connection may be half-open without an error.
                let pool = HttpPool::new().with_budget(&self.budget);
                let request = ClientRequest::new_get("/v1/running");
                let result = pool.exchange(address, request, timeout).await;
                EntryEvent::ProbeCompleted {
                    exchange,
                    result: result.and_then(parse_running_calls),
                }
            }
            EntryEffect::CallWorker { exchange, address, request, valid_until, timeout } => {
                let message = worker_message(&request);
                let may_send = || self.may_send(valid_until);
                let result = self.workers.exchange_if(address, message, timeout, may_send).await;
                let result = result.and_then(|answer| parse_worker_reply(&request, &answer));
                EntryEvent::WorkerCallCompleted { exchange, result }
            }
            EntryEffect::CallStore { exchange, request, timeout } => {
                let result = self.store.call(&request, timeout).await;
                EntryEvent::StoreCallCompleted { exchange, result }
            }
            EntryEffect::CallPeer { exchange, to, request, timeout } => {
                let result = self.peers.exchange(to, &request, timeout).await;
                EntryEvent::PeerCallCompleted { exchange, result }
            }
            EntryEffect::FetchList => EntryEvent::ListFetched { result: self.fetch_list().await },
            _ => return None,
        };
        Some(event)
    }

    fn may_send(&self, valid_until: MonotonicTime) -> bool {
        self.now() < valid_until
    }

    async fn dispatch(
        &self,
        address: SocketAddr,
        call_id: &str,
        body: Bytes,
        valid_until: MonotonicTime,
        timeout: std::time::Duration,
    ) -> Result<ExecutorAnswer, ExchangeError> {
        let request = ClientRequest::new_post("/v1/run", body).with_header("x-call-id", call_id);
        let sent = Instant::now();
        let may_send = || self.may_send(valid_until);
        let answer = self.executors.exchange_if(address, request, timeout, may_send).await?;
        // The executor must echo the call id; an answer to another call must not reach this caller.
        if answer.header("x-call-id") != Some(call_id) {
            return Err(ExchangeError::Lost);
        }
        Ok(ExecutorAnswer { status: answer.status, body: answer.body, elapsed: sent.elapsed() })
    }

    async fn fetch_list(&self) -> Result<Vec<cuminbank::event::ListedInstance>, ExchangeError> {
        // Filtered by zone: other zones are not needed, and the full list grows with the fleet.
        let path = format!("/v1/health/service/cuminbank?tag={}", self.settings.zone);
        let request = ClientRequest::new_get(path);
        let answer =
            self.platform.exchange(self.settings.list_address, request, LIST_TIMEOUT).await?;
        if answer.status != 200 {
            return Err(ExchangeError::Refused(answer.status));
        }
        list::parse(&answer.body).ok_or(ExchangeError::Lost)
    }
}

fn parse_running_calls(answer: ClientAnswer) -> Result<Vec<String>, ExchangeError> {
    if answer.status != 200 {
        return Err(ExchangeError::Refused(answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|_| ExchangeError::Lost)
}

/// Encodes a request to a worker as an HTTP request.
pub fn worker_message(request: &WorkerRequest) -> ClientRequest {
    match request {
        WorkerRequest::Start(start) => {
            let body = serde_json::to_vec(start).expect("a task start serializes to JSON");
            ClientRequest::new_post("/v1/tasks", body)
        }
        WorkerRequest::Renew { lease_ms, tasks } => {
            let body = json!({ "lease_ms": lease_ms, "tasks": tasks });
            ClientRequest::new_post("/v1/renew", body.to_string())
        }
        WorkerRequest::Stop { task, attempt, checkpoint } => {
            let body = json!({ "task": task, "attempt": attempt, "checkpoint": checkpoint });
            ClientRequest::new_post("/v1/stop", body.to_string())
        }
        WorkerRequest::Throttle { task, attempt, percent } => {
            let body = json!({ "task": task, "attempt": attempt, "percent": percent });
            ClientRequest::new_post("/v1/throttle", body.to_string())
        }
        WorkerRequest::List { since } => ClientRequest::new_get(format!("/v1/tasks?since={since}")),
    }
}

#[derive(Deserialize)]
struct RenewReply {
    missing: Vec<String>,
}

#[derive(Deserialize)]
struct StopReply {
    checkpoint: Option<String>,
    ended: Option<cuminbank::worker::AttemptEnd>,
}

fn parse_worker_reply(
    request: &WorkerRequest,
    answer: &ClientAnswer,
) -> Result<WorkerReply, ExchangeError> {
    if answer.status != 200 {
        return Ok(WorkerReply::Refused { status: answer.status });
    }
    let body = &answer.body;
    let reply = match request {
        WorkerRequest::Start(_) | WorkerRequest::Throttle { .. } => Some(WorkerReply::Accepted),
        WorkerRequest::Renew { .. } => serde_json::from_slice::<RenewReply>(body)
            .ok()
            .map(|reply| WorkerReply::Renewed { missing: reply.missing }),
        WorkerRequest::Stop { .. } => serde_json::from_slice::<StopReply>(body)
            .ok()
            .map(|reply| WorkerReply::Stopped { checkpoint: reply.checkpoint, ended: reply.ended }),
        WorkerRequest::List { .. } => {
            serde_json::from_slice::<WorkerReport>(body).ok().map(WorkerReply::Listed)
        }
    };
    reply.ok_or(ExchangeError::Lost)
}
