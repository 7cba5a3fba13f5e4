//! Tests of the memory and the descriptors of an instance under clients that do not finish their
//! requests.

mod support;

use std::net::SocketAddr;

use serde_json::json;

use support::{
    callers,
    crowd::{take_turn, Crowd, ProcessWatch, UnfinishedInput},
    entry::EntryProcess,
    http::post,
    wait_for, Deployment,
};

/// Memory of the instance in MB, and most descriptors that it may have open.
const BOUNDS: [u64; 2] = [48, 900];
/// The same in the test of many connections.
const SMALL_BOUNDS: [u64; 2] = [32, 700];
/// Largest body that the instance reads.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Times that a crowd comes. Memory that is not released after the first time is missing later.
const WAVES: usize = 2;

/// Sends `inputs` by `clients` clients; each input goes to the address of the same index. Checks that
/// the instance stays alive and within its bounds, and that it serves a call while they hold their
/// connections.
fn assert_withstands(
    [memory_mb, descriptors]: [u64; 2],
    clients: usize,
    inputs: impl Fn(&EntryProcess) -> Vec<(SocketAddr, UnfinishedInput)>,
) {
    let _turn = take_turn();
    // The limit on the time of a request has to be longer than the test: it would end the requests.
    let changes = json!({ "memory_mb": memory_mb, "request_read_ms": 60_000 });
    let mut deployment = Deployment::start_with(1, 1, 1, &changes);
    let entry = &deployment.entries[0];
    let watch = ProcessWatch::start(entry.pid());
    for wave in 0..WAVES {
        let _crowd = Crowd::send(&inputs(entry), clients);
        wait_for("an ordinary call is served", || {
            callers::plan(entry.http, &format!("ordinary-{wave}"), 1).is_done()
        });
    }
    watch.assert_bounded(memory_mb, descriptors as usize);
    assert!(!deployment.entries[0].has_exited(), "the instance has ended");
}

fn whole_body() -> UnfinishedInput {
    UnfinishedInput::whole_body("/v1/calls", MAX_BODY_BYTES, MAX_BODY_BYTES - 1)
}

fn chunked_body() -> UnfinishedInput {
    UnfinishedInput::chunked_body("/v1/calls", 16 * 1024, 240)
}

fn tiny_chunks() -> UnfinishedInput {
    UnfinishedInput::chunked_body("/v1/calls", 1, 200_000)
}

fn peer_message() -> UnfinishedInput {
    UnfinishedInput::peer_message(60 * 1024 * 1024, 6 * 1024 * 1024)
}

/// Message of a length that is still read with the memory of [`BOUNDS`], up to its last byte.
fn legal_peer_message() -> UnfinishedInput {
    let length = BOUNDS[0] as u32 * 1_000_000 / 8 - 1;
    UnfinishedInput::peer_message(length, length as usize - 1)
}

/// Guards against bodies of legal size that are held for as long as their last byte is missing.
#[test]
fn unfinished_whole_bodies_are_bounded() {
    assert_withstands(BOUNDS, 40, |entry| vec![(entry.http, whole_body())]);
}

/// Guards against chunked bodies of legal size that are held for as long as their end is missing.
#[test]
fn unfinished_chunked_bodies_are_bounded() {
    assert_withstands(BOUNDS, 40, |entry| vec![(entry.http, chunked_body())]);
}

/// Guards against chunks that take many times their size in memory.
#[test]
fn unfinished_bodies_of_tiny_chunks_are_bounded() {
    assert_withstands(BOUNDS, 20, |entry| vec![(entry.http, tiny_chunks())]);
}

/// Guards against bodies over the limit, announced or not, that are read into memory.
#[test]
fn bodies_far_over_the_limit_are_bounded() {
    let announced = UnfinishedInput::whole_body("/v1/calls", 1 << 30, 4 * MAX_BODY_BYTES);
    let sent = UnfinishedInput::chunked_body("/v1/calls", 16 * 1024, 1_024);
    assert_withstands(BOUNDS, 80, |entry| {
        vec![(entry.http, announced.clone()), (entry.http, sent.clone())]
    });
}

/// Guards against heads that are held for as long as their end is missing.
#[test]
fn unfinished_large_heads_are_bounded() {
    assert_withstands(BOUNDS, 500, |entry| vec![(entry.http, UnfinishedInput::head(120_000))]);
}

/// Guards against connections that take all descriptors of the machine.
#[test]
fn many_connections_are_bounded() {
    let input = UnfinishedInput::head(1_000);
    assert_withstands(SMALL_BOUNDS, 900, |entry| {
        vec![(entry.http, input.clone()), (entry.peer, input.clone())]
    });
}

/// Guards against memory that a message of another instance takes before it has arrived, and
/// against messages that never end.
#[test]
fn unfinished_peer_messages_are_bounded() {
    assert_withstands(BOUNDS, 20, |entry| vec![(entry.peer, peer_message())]);
}

/// Guards against messages of another instance that are each within the limit, but not together. Those
/// over it are refused by their length, before they take memory.
#[test]
fn unfinished_legal_peer_messages_are_bounded() {
    assert_withstands(BOUNDS, 20, |entry| vec![(entry.peer, legal_peer_message())]);
}

/// Guards against a bound that holds for each kind of input but not for all together.
#[test]
fn unfinished_inputs_of_all_kinds_are_bounded_together() {
    assert_withstands(BOUNDS, 150, |entry| {
        let http = [whole_body(), chunked_body(), tiny_chunks(), UnfinishedInput::head(120_000)];
        let inputs = http.into_iter().map(|input| (entry.http, input));
        inputs.chain([(entry.peer, peer_message())]).collect()
    });
}

/// Guards against a bound under which the largest legal body is refused in calm conditions.
#[test]
fn largest_body_is_served_with_the_least_memory() {
    let _turn = take_turn();
    let deployment = Deployment::start_with(1, 1, 1, &json!({ "memory_mb": 32 }));
    let profile = json!({ "name": "large", "kind": "urgent", "deadline_ms": 10_000,
        "idempotent": true, "max_body_bytes": MAX_BODY_BYTES });
    deployment.platform.put_profile(&profile.to_string());
    let call = |padding: usize| {
        let body =
            json!({ "op": "plan", "key": "large", "work_ms": 1, "pad": "x".repeat(padding) });
        let headers = [("x-profile", "large"), ("x-customer", "griddle")];
        post(deployment.entries[0].http, "/v1/calls", &headers, &body)
    };
    let is_done = |padding| call(padding).is_ok_and(|answer| answer.outcome() == "done");
    wait_for("the profile is in force", || is_done(1));
    let fixed = json!({ "op": "plan", "key": "large", "work_ms": 1, "pad": "" }).to_string().len();
    wait_for("the largest body is served", || is_done(MAX_BODY_BYTES - fixed));
}
