//! HTTP server of the store.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use cuminbank::ids::StoreRevision;
use cuminbank_net::server::{ServerAction, ServerRequest, ServerResponse};
use http::Method;
use monoio::{net::TcpListener, time};
use monoio_http::h1::payload::{stream_payload_pair, StreamPayloadSender};
use serde_json::{json, Value};

use super::{
    core::StoreCore,
    json::{
        header, read_limit, read_number, read_range, read_txn, write_changes, write_range,
        write_txn,
    },
    types::{StoreError, StoreLimits, WatchCursor},
};
use crate::{
    clock::StandinClock,
    control::{self, error_response, json_response, ConnectionId, FaultControl, FaultMode},
};

/// Interval at which expired leases are ended and changes that a pause held back are delivered.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of progress notifications. Sending them also detects watches with a disconnected client.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// HTTP server of the store.
#[derive(Clone)]
pub struct StoreServer(Rc<StoreState>);

struct StoreState {
    core: RefCell<StoreCore>,
    watches: RefCell<Vec<OpenWatch>>,
    clock: StandinClock,
    control: Rc<FaultControl>,
}

struct OpenWatch {
    connection: ConnectionId,
    cursor: WatchCursor,
    sender: StreamPayloadSender,
    /// Time of the last message, on the store's clock.
    last_sent: Duration,
}

impl StoreServer {
    /// Creates an empty store. `seed` determines which responses are lost.
    pub fn new(limits: StoreLimits, seed: u64) -> Self {
        Self(Rc::new(StoreState {
            core: RefCell::new(StoreCore::new(limits)),
            watches: RefCell::default(),
            clock: StandinClock::new(),
            control: FaultControl::new(seed),
        }))
    }

    /// Returns the fault control.
    pub fn control(&self) -> Rc<FaultControl> {
        Rc::clone(&self.0.control)
    }

    /// Returns the store's own counters and its revision for `GET /control`.
    pub fn counters(&self) -> Value {
        let core = self.0.core.borrow();
        let mut counters = json!(core.counters());
        counters["revision"] = json!(core.revision());
        counters
    }

    /// Serves forever.
    pub async fn serve(self, listener: TcpListener) {
        let ticking = self.clone();
        monoio::spawn(async move {
            loop {
                time::sleep(TICK_INTERVAL).await;
                ticking.tick();
            }
        });
        let reporter = self.clone();
        let handler = move |request, connection| {
            let server = self.clone();
            async move { server.handle(&request, connection) }
        };
        let control = reporter.control();
        control::serve(listener, control, move || reporter.counters(), handler).await;
    }

    fn tick(&self) {
        self.0.core.borrow_mut().advance(self.0.clock.now());
        self.deliver_changes();
    }

    fn handle(&self, request: &ServerRequest, connection: ConnectionId) -> ServerAction {
        if request.method != Method::POST {
            return ServerAction::Respond(error_response(405, "only POST is supported"));
        }
        if self.0.control.fails_all() {
            return ServerAction::Respond(error_response(500, "etcdserver: request failed"));
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return ServerAction::Respond(error_response(400, "the body is not JSON"));
        };
        if request.path == "/v3/watch" {
            return self.open_watch(&body, connection).unwrap_or_else(ServerAction::Respond);
        }
        let answer = self.call(&request.path, &body);
        self.deliver_changes();
        ServerAction::Respond(match answer {
            Ok(answer) => json_response(200, &answer),
            Err(response) => response,
        })
    }

    fn call(&self, path: &str, body: &Value) -> Result<Value, ServerResponse> {
        let now = self.0.clock.now();
        let core = &mut *self.0.core.borrow_mut();
        match path {
            "/v3/kv/range" => {
                let range = read_range(body).map_err(bad_request)?;
                let limit = read_limit(body).map_err(bad_request)?;
                Ok(write_range(&core.range(now, &range, limit).map_err(store_error_response)?))
            }
            "/v3/kv/txn" => {
                let txn = read_txn(body).map_err(bad_request)?;
                Ok(write_txn(&core.txn(now, &txn).map_err(store_error_response)?))
            }
            "/v3/lease/grant" => {
                let ttl = read_number(&body["TTL"]).map_err(bad_request)?.max(1);
                let ttl = Duration::from_secs(ttl.unsigned_abs());
                let lease = core.grant_lease(now, ttl).map_err(store_error_response)?;
                let (id, ttl) = (lease.to_string(), ttl.as_secs().to_string());
                Ok(json!({"header": header(core.revision()), "ID": id, "TTL": ttl}))
            }
            "/v3/lease/keepalive" => {
                let lease = read_number(&body["ID"]).map_err(bad_request)?;
                let ttl = core.renew_lease(now, lease).map_err(store_error_response)?;
                let mut result =
                    json!({"header": header(core.revision()), "ID": lease.to_string()});
                if let Some(ttl) = ttl {
                    result["TTL"] = json!(ttl.as_secs().to_string());
                }
                Ok(json!({ "result": result }))
            }
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                let lease = read_number(&body["ID"]).map_err(bad_request)?;
                core.revoke_lease(now, lease).map_err(store_error_response)?;
                Ok(json!({"header": header(core.revision())}))
            }
            _ => Err(error_response(404, "no such path")),
        }
    }

    fn open_watch(
        &self,
        body: &Value,
        connection: ConnectionId,
    ) -> Result<ServerAction, ServerResponse> {
        let create = match &body["create_request"] {
            Value::Null => &body["createRequest"],
            create => create,
        };
        let range = read_range(create).map_err(bad_request)?;
        let start = match &create["start_revision"] {
            Value::Null => &create["startRevision"],
            start => start,
        };
        let start: StoreRevision = read_number(start).map_err(bad_request)?;
        let now = self.0.clock.now();
        let (receiver, mut sender) = stream_payload_pair();
        let mut core = self.0.core.borrow_mut();
        let created = json!({"result": {"header": header(core.revision()), "created": true}});
        sender.feed_data(Some(json_line(&created)));
        match core.open_watch(now, range, start) {
            Ok(cursor) => {
                let watch = OpenWatch { connection, cursor, sender, last_sent: now };
                self.0.watches.borrow_mut().push(watch);
            }
            Err(StoreError::Compacted(compacted)) => {
                sender.feed_data(Some(json_line(&canceled_message(core.revision(), compacted))));
                sender.feed_data(None);
            }
            Err(error) => return Err(store_error_response(error)),
        }
        drop(core);
        self.deliver_changes();
        Ok(ServerAction::Stream(receiver))
    }

    /// Sends new changes to the open watches and closes those with a disconnected client.
    fn deliver_changes(&self) {
        if self.0.control.is_paused() {
            return;
        }
        let now = self.0.clock.now();
        let mut core = self.0.core.borrow_mut();
        self.0.watches.borrow_mut().retain_mut(|watch| {
            let keep = deliver_to_watch(&core, &self.0.control, now, watch);
            if !keep {
                core.close_watch();
            }
            keep
        });
    }
}

/// Sends new changes or a progress notification to one watch. Returns whether it stays open.
fn deliver_to_watch(
    core: &StoreCore,
    control: &FaultControl,
    now: Duration,
    watch: &mut OpenWatch,
) -> bool {
    if !control.is_open(watch.connection) {
        return false;
    }
    if control.is_silent(watch.connection) {
        return true;
    }
    if control.mode() == FaultMode::Down {
        watch.sender.feed_data(None);
        return false;
    }
    let message = match core.poll_watch(&mut watch.cursor) {
        Ok(changes) if changes.is_empty() && now < watch.last_sent + PROGRESS_INTERVAL => {
            return true;
        }
        Ok(changes) => write_changes(core.revision(), &changes),
        Err(StoreError::Compacted(compacted)) => {
            watch.sender.feed_data(Some(json_line(&canceled_message(core.revision(), compacted))));
            watch.sender.feed_data(None);
            return false;
        }
        Err(_) => return false,
    };
    watch.last_sent = now;
    watch.sender.feed_data(Some(json_line(&message)));
    true
}

/// Encodes the message that cancels a watch whose next revision has been compacted.
fn canceled_message(revision: StoreRevision, compacted: StoreRevision) -> Value {
    json!({"result": {
        "header": header(revision), "canceled": true,
        "compact_revision": (compacted + 1).to_string(),
    }})
}

fn json_line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

fn bad_request(error: String) -> ServerResponse {
    error_response(400, &error)
}

fn store_error_response(error: StoreError) -> ServerResponse {
    let status = match error {
        StoreError::RateLimited => 429,
        StoreError::LeaseNotFound => 404,
        _ => 400,
    };
    error_response(status, &error.to_string())
}
