//! Tests of what an instance holds for clients that send more than it reads, or read nothing.
//!
//! The memory includes bytes that sockets have received and the process has not read, and bytes that
//! it has written and the client has not read.

mod support;

use std::net::SocketAddr;

use serde_json::json;

use support::{
    callers,
    crowd::take_turn,
    entry::EntryProcess,
    flood::{Flood, FloodInput, MemoryWatch, TricklingClients},
    wait_for, Deployment,
};

/// Memory of the instance in MB, and most descriptors that it may have open.
const BOUNDS: [u64; 2] = [48, 900];
/// Clients of a flood.
const CLIENTS: usize = 400;
/// Times that a flood comes. Memory that is not released after the first time is missing later.
const WAVES: usize = 2;
const STATUS: &str = "GET /v1/status HTTP/1.1\r\nhost: plans.example\r\n\r\n";
/// Connections for each port that send a byte at a time.
const TRICKLING: usize = 150;

/// Starts an instance with [`BOUNDS`].
fn start() -> Deployment {
    // The limit on the time of a request has to be longer than the test: it would end the requests.
    let changes = json!({ "memory_mb": BOUNDS[0], "request_read_ms": 60_000 });
    Deployment::start_with(1, 1, 1, &changes)
}

/// Sends the inputs by [`CLIENTS`] clients. Checks that the instance stays alive and within its bounds,
/// and that it serves a call while they hold their connections.
fn assert_withstands(inputs: impl Fn(&EntryProcess) -> Vec<(SocketAddr, FloodInput)>) {
    let _turn = take_turn();
    let mut deployment = start();
    let entry = &deployment.entries[0];
    let watch = MemoryWatch::start(entry.pid());
    for wave in 0..WAVES {
        let _flood = Flood::send(&inputs(entry), CLIENTS);
        wait_for("an ordinary call is served", || {
            callers::plan(entry.http, &format!("ordinary-{wave}"), 1).is_done()
        });
    }
    watch.assert_bounded(BOUNDS[0], BOUNDS[1] as usize);
    assert!(!deployment.entries[0].has_exited(), "the instance has ended");
}

fn call() -> String {
    let body = json!({ "op": "plan", "key": "flood", "work_ms": 1 }).to_string();
    format!(
        "POST /v1/calls HTTP/1.1\r\nhost: plans.example\r\nx-profile: plans\r\nx-customer: griddle\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against input that waits in the sockets of requests that are being handled.
#[test]
fn input_behind_complete_calls_is_bounded() {
    assert_withstands(|entry| vec![(entry.http, FloodInput::behind_request(&call()))]);
}

/// Guards against responses that wait in the sockets of clients that read nothing.
#[test]
fn responses_that_are_not_read_are_bounded() {
    assert_withstands(|entry| vec![(entry.http, FloodInput::repeated_request(STATUS))]);
}

/// The same for calls, each of which is handled for a while.
#[test]
fn answers_to_calls_that_are_not_read_are_bounded() {
    assert_withstands(|entry| vec![(entry.http, FloodInput::repeated_request(&call()))]);
}

/// Guards against messages that wait in the sockets of instances.
#[test]
fn messages_of_instances_that_are_not_read_are_bounded() {
    assert_withstands(|entry| vec![(entry.peer, FloodInput::repeated_message(1_000))]);
}

/// Guards against a bound that holds for each port and kind of input but not for all together.
#[test]
fn floods_on_all_ports_are_bounded_together() {
    assert_withstands(|entry| {
        vec![
            (entry.http, FloodInput::behind_request(&call())),
            (entry.http, FloodInput::repeated_request(STATUS)),
            (entry.http, FloodInput::repeated_request(&call())),
            (entry.peer, FloodInput::repeated_message(1_000)),
        ]
    });
}

/// Guards against clients that hold connections on all ports by sending a byte now and then, and against
/// a limit on connections that keeps ordinary clients out.
#[test]
fn ordinary_calls_are_served_beside_trickling_clients() {
    let _turn = take_turn();
    let mut deployment = start();
    let entry = &deployment.entries[0];
    let watch = MemoryWatch::start(entry.pid());
    for wave in 0..WAVES {
        let _trickling = TricklingClients::start(&[entry.http, entry.peer], TRICKLING);
        for number in 0..20 {
            wait_for("an ordinary call is served", || {
                callers::plan(entry.http, &format!("ordinary-{wave}-{number}"), 1).is_done()
            });
        }
    }
    watch.assert_bounded(BOUNDS[0], BOUNDS[1] as usize);
    assert!(!deployment.entries[0].has_exited(), "the instance has ended");
}
