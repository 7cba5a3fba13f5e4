//! Test servers: a store and scripted HTTP servers in the test process.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use cuminbank::store::{StoreCompare, StoreReply, StoreRequest, StoreWrite};
use cuminbank_cli::{
    exit::CommandOutcome,
    run::{parse, run, ParsedLine},
};
use cuminbank_net::{
    etcd::{from_base64, parse_number, to_base64},
    runtime::listen,
    server::{serve, ServerAction, ServerGate, ServerLimits, ServerRequest, ServerResponse},
};
use cuminbank_standins::store::{KeyRange, KeyValue, StoreCore, StoreLimits};
use serde_json::{json, Value};

/// Fault that the store injects into a transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TxnFault {
    /// The transaction takes effect, and its answer is lost.
    AnswerLost,
    /// The transaction is lost before it takes effect.
    RequestLost,
}

/// A store that is reached over its JSON gateway.
#[derive(Debug)]
pub struct TestStore {
    /// State of the store.
    pub core: StoreCore,
    /// Faults of the next transactions, in order.
    pub faults: VecDeque<TxnFault>,
}

/// Starts a store without faults; returns it with its address.
pub fn start_store() -> (Rc<RefCell<TestStore>>, SocketAddr) {
    let core = StoreCore::new(StoreLimits::default());
    let store = Rc::new(RefCell::new(TestStore { core, faults: VecDeque::new() }));
    let shared = store.clone();
    let address = start_server(move |request| answer_store(&mut shared.borrow_mut(), &request));
    (store, address)
}

/// Starts an HTTP server that answers with `handler`; returns its address.
pub fn start_server(
    handler: impl Fn(ServerRequest) -> ServerAction + Clone + 'static,
) -> SocketAddr {
    let any = "127.0.0.1:0".parse().expect("127.0.0.1:0 is an address");
    let listener = listen(any).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let handler = move |request| std::future::ready(handler(request));
    monoio::spawn(serve(listener, ServerLimits::default(), ServerGate::default(), handler));
    address
}

/// Returns a JSON answer, whose field `outcome` is also its header `x-outcome`.
pub fn json_answer(status: u16, value: &Value) -> ServerAction {
    let mut response = ServerResponse::new_json(status, value.to_string());
    if let Some(outcome) = value["outcome"].as_str() {
        response = response.with_header("x-outcome", outcome);
    }
    ServerAction::Respond(response)
}

/// Parses and runs a command line, without the program name.
pub async fn run_line(args: &[&str]) -> CommandOutcome {
    match parse(args.iter().map(Into::into).collect()) {
        ParsedLine::Printed(outcome) => outcome,
        ParsedLine::Command(flags) => run(&flags).await,
    }
}

fn answer_store(store: &mut TestStore, request: &ServerRequest) -> ServerAction {
    let body: Value =
        serde_json::from_slice(&request.body).expect("the body of a request to the store is JSON");
    match request.path.as_str() {
        "/v3/kv/range" => json_answer(200, &answer_range(&mut store.core, &body)),
        "/v3/kv/txn" => match store.faults.pop_front() {
            Some(TxnFault::RequestLost) => ServerAction::Close,
            Some(TxnFault::AnswerLost) => {
                answer_txn(&mut store.core, &body);
                ServerAction::Close
            }
            None => json_answer(200, &answer_txn(&mut store.core, &body)),
        },
        path => panic!("unexpected request to the store: {path}"),
    }
}

fn bytes(value: &Value) -> bytes::Bytes {
    from_base64(value.as_str().unwrap_or_default()).expect("keys and values are base64")
}

fn text(value: &Value) -> String {
    String::from_utf8(bytes(value).to_vec()).expect("keys are UTF-8")
}

/// Answers a range read of the JSON gateway.
fn answer_range(core: &mut StoreCore, body: &Value) -> Value {
    let range = KeyRange { key: bytes(&body["key"]), end: bytes(&body["range_end"]) };
    let limit = parse_number(&body["limit"]).expect("the limit is a number");
    let limit = limit.try_into().expect("the limit is not negative");
    let answer = core.range(Duration::ZERO, &range, limit).expect("the store has no limits");
    let values: Vec<Value> = answer.values.iter().map(encode_value).collect();
    json!({ "header": { "revision": answer.revision.to_string() }, "kvs": values })
}

fn encode_value(value: &KeyValue) -> Value {
    json!({
        "key": to_base64(&value.key),
        "value": to_base64(&value.value),
        "mod_revision": value.mod_revision.to_string(),
    })
}

/// Answers a transaction of the JSON gateway.
fn answer_txn(core: &mut StoreCore, body: &Value) -> Value {
    let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let compares = list("compare").into_iter().map(|compare| {
        let revision = parse_number(&compare["mod_revision"]).expect("the revision is a number");
        StoreCompare::ModRevision(text(&compare["key"]), revision)
    });
    let then = list("success").into_iter().map(|op| {
        let put = &op["requestPut"];
        StoreWrite::Put { key: text(&put["key"]), value: bytes(&put["value"]), lease: None }
    });
    let otherwise = list("failure").into_iter().map(|op| text(&op["requestRange"]["key"]));
    let request = StoreRequest::Txn {
        compares: compares.collect(),
        then: then.collect(),
        otherwise: otherwise.collect(),
    };
    let reply = core.apply(Duration::ZERO, &request).expect("the store has no limits");
    let StoreReply::Txn { revision, succeeded, values } = reply else {
        panic!("unexpected reply to a transaction: {reply:?}");
    };
    let responses: Vec<Value> = values
        .iter()
        .map(|value| {
            let found = json!({
                "key": to_base64(value.key.as_bytes()),
                "value": to_base64(&value.value),
                "mod_revision": value.mod_revision.to_string(),
            });
            json!({ "response_range": { "kvs": [found] } })
        })
        .collect();
    let header = json!({ "revision": revision.to_string() });
    json!({ "header": header, "succeeded": succeeded, "responses": responses })
}
