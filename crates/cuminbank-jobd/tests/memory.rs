//! Tests of the memory and the descriptors of an instance under clients that do not finish their
//! requests.

mod support;

use std::net::SocketAddr;

use serde_json::json;

use support::{
    call,
    crowd::{take_turn, Crowd, ProcessWatch, UnfinishedInput},
    Deployment,
};

/// Memory of the instance in MB, and most descriptors that it may have open.
const BOUNDS: [u64; 2] = [48, 900];
/// The same in the test of many connections.
const SMALL_BOUNDS: [u64; 2] = [32, 700];
/// Largest body in the configuration.
const MAX_BODY_BYTES: usize = 262_144;
/// Path of a job that is never submitted whole.
const PATH: &str = "/p/00000000000000ee";
/// Times that a crowd comes. Memory that is not released after the first time is missing later.
const WAVES: u64 = 2;

/// Ports of an instance.
struct InstancePorts {
    client: SocketAddr,
    readiness: SocketAddr,
    peer: SocketAddr,
    operator: SocketAddr,
}

/// Puts [`MAX_BODY_BYTES`] into force.
fn limit_bodies(deployment: &Deployment) {
    let path = format!("/standin/config?version=2&prefixes=/p/&max-body={MAX_BODY_BYTES}");
    call(deployment.store, "GET", &path, "").expect("the stand-in replies");
    deployment.wait("the body limit is not in force", |_| {
        let status = call(deployment.operators[0], "GET", "/v1/status", "");
        status.is_some_and(|(_, status)| status["config_version"] == json!(2))
    });
}

/// Sends the inputs by `clients` clients, which take them in turn. Checks that the instance stays
/// alive and within its bounds, and that it runs a job while they hold their connections.
fn assert_withstands(
    [memory_mb, descriptors]: [u64; 2],
    clients: usize,
    inputs: impl Fn(&InstancePorts) -> Vec<(SocketAddr, UnfinishedInput)>,
) {
    let _turn = take_turn();
    let mut deployment = Deployment::start_with_settings(20, &json!({ "memory_mb": memory_mb }));
    let (client, operator) = (deployment.clients[0], deployment.operators[0]);
    let port = |offset| SocketAddr::new(client.ip(), client.port() + offset);
    let ports = InstancePorts { client, readiness: port(1), peer: port(2), operator };
    limit_bodies(&deployment);
    let watch = ProcessWatch::start(deployment.instances[0].pid());
    let job = json!({ "spec": "p", "steps": [
        { "count": 2, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 20 },
    ]});
    for wave in 0..WAVES {
        let _crowd = Crowd::send(&inputs(&ports), clients);
        deployment.submit(wave, &job);
        deployment.wait("the job is not completed", |deployment| deployment.is_completed(wave));
    }
    watch.assert_bounded(memory_mb, descriptors as usize);
    assert!(!deployment.instances[0].has_exited(), "the instance has ended");
}

fn whole_body() -> UnfinishedInput {
    UnfinishedInput::whole_body(PATH, MAX_BODY_BYTES, MAX_BODY_BYTES - 1)
}

fn chunked_body() -> UnfinishedInput {
    UnfinishedInput::chunked_body(PATH, 16 * 1024, 15)
}

fn tiny_chunks() -> UnfinishedInput {
    UnfinishedInput::chunked_body(PATH, 1, 200_000)
}

fn peer_message() -> UnfinishedInput {
    UnfinishedInput::peer_message(60 * 1024 * 1024, 6 * 1024 * 1024)
}

/// Message of a length that is still read with the memory of [`BOUNDS`], up to its last byte.
fn legal_peer_message() -> UnfinishedInput {
    let length = BOUNDS[0] as u32 * 1_000_000 / 8 - 1;
    UnfinishedInput::peer_message(length, length as usize - 1)
}

// Guards against bodies of legal size that are held for as long as their last byte is missing.
#[test]
fn unfinished_whole_bodies_are_bounded() {
    assert_withstands(BOUNDS, 400, |ports| vec![(ports.client, whole_body())]);
}

// Guards against chunked bodies of legal size that are held for as long as their end is missing.
#[test]
fn unfinished_chunked_bodies_are_bounded() {
    assert_withstands(BOUNDS, 400, |ports| vec![(ports.client, chunked_body())]);
}

// Guards against chunks that take many times their size in memory.
#[test]
fn unfinished_bodies_of_tiny_chunks_are_bounded() {
    assert_withstands(BOUNDS, 20, |ports| vec![(ports.client, tiny_chunks())]);
}

// Guards against bodies over the limit of the configuration that are read into memory.
#[test]
fn bodies_far_over_the_limit_are_bounded() {
    let size = 16 * MAX_BODY_BYTES;
    let announced = UnfinishedInput::whole_body(PATH, size, size - 1);
    let sent = UnfinishedInput::chunked_body(PATH, 16 * 1024, 1_024);
    assert_withstands(BOUNDS, 80, |ports| {
        vec![(ports.client, announced.clone()), (ports.client, sent.clone())]
    });
}

// Guards against heads that are held for as long as their end is missing, on any port.
#[test]
fn unfinished_large_heads_are_bounded() {
    let input = UnfinishedInput::head(120_000);
    assert_withstands(BOUNDS, 500, |ports| {
        let addresses = [ports.client, ports.readiness, ports.operator];
        addresses.map(|address| (address, input.clone())).to_vec()
    });
}

// Guards against connections that take all descriptors of the machine, on all ports together.
#[test]
fn many_connections_are_bounded() {
    let input = UnfinishedInput::head(1_000);
    assert_withstands(SMALL_BOUNDS, 900, |ports| {
        let addresses = [ports.client, ports.readiness, ports.operator, ports.peer];
        addresses.map(|address| (address, input.clone())).to_vec()
    });
}

// Guards against memory that a message of another instance takes before it has arrived, and
// against messages that never end.
#[test]
fn unfinished_peer_messages_are_bounded() {
    assert_withstands(BOUNDS, 20, |ports| vec![(ports.peer, peer_message())]);
}

// Guards against messages of another instance that are each within the limit, but not together. Those
// over it are refused by their length, before they take memory.
#[test]
fn unfinished_legal_peer_messages_are_bounded() {
    assert_withstands(BOUNDS, 20, |ports| vec![(ports.peer, legal_peer_message())]);
}

// Guards against a bound that holds for each port and kind of input but not for all together.
#[test]
fn unfinished_inputs_of_all_kinds_are_bounded_together() {
    assert_withstands(BOUNDS, 400, |ports| {
        vec![
            (ports.client, whole_body()),
            (ports.client, chunked_body()),
            (ports.client, tiny_chunks()),
            (ports.operator, UnfinishedInput::head(120_000)),
            (ports.readiness, chunked_body()),
            (ports.peer, peer_message()),
        ]
    });
}

// Guards against a bound under which the largest legal job is refused in calm conditions, and
// against one that is a byte larger and accepted, or answered otherwise than with its cause.
#[test]
fn largest_job_is_accepted_with_the_least_memory() {
    let _turn = take_turn();
    let deployment = Deployment::start_with_settings(20, &json!({ "memory_mb": 32 }));
    limit_bodies(&deployment);
    let job = |size: usize| {
        let job = json!({ "spec": "p", "steps": [
            { "count": 2, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 20 },
        ]});
        let text = job.to_string();
        format!("{text}{}", " ".repeat(size - text.len()))
    };
    let submit = |id: u64, size: usize| {
        call(deployment.clients[0], "POST", &format!("/p/{id:016x}"), &job(size))
    };
    deployment.wait("the largest job is not accepted", |_| {
        submit(7, MAX_BODY_BYTES).is_some_and(|(status, _)| status == 200)
    });
    deployment.wait("the job is not completed", |deployment| deployment.is_completed(7));
    let (status, body) = submit(8, MAX_BODY_BYTES + 1).expect("the instance answers");
    let cause = "the body is larger than the configuration allows";
    assert_eq!((status, &body["outcome"]), (413, &json!(cause)));
}

// Guards against refused requests of which the whole text is kept for operators.
#[test]
fn refused_submissions_are_not_kept() {
    let _turn = take_turn();
    let [memory_mb, descriptors] = BOUNDS;
    let deployment = Deployment::start_with_settings(20, &json!({ "memory_mb": memory_mb }));
    limit_bodies(&deployment);
    let watch = ProcessWatch::start(deployment.instances[0].pid());
    let body = json!({ "steps": "x".repeat(MAX_BODY_BYTES - 100) }).to_string();
    let long = format!("/{}/00000000000000ee", "x".repeat(50_000));
    for (path, body, expected) in [(PATH, body.as_str(), 400), (long.as_str(), "{}", 404)] {
        for _ in 0..400 {
            let answer = call(deployment.clients[0], "POST", path, body);
            assert_eq!(answer.map(|(status, _)| status), Some(expected));
        }
    }
    watch.assert_bounded(memory_mb, descriptors as usize);
}
