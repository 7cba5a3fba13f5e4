//! Tests of what an instance holds for clients that send more than it reads, or read nothing.
//!
//! The memory includes bytes that sockets have received and the process has not read, and bytes that
//! it has written and the client has not read.

mod support;

use std::net::SocketAddr;

use serde_json::{json, Value};

use support::{
    call,
    crowd::take_turn,
    flood::{Flood, FloodInput, MemoryWatch, TricklingClients},
    Deployment,
};

/// Memory of the instance in MB, and most descriptors that it may have open.
const BOUNDS: [u64; 2] = [48, 900];
/// Clients of a flood.
const CLIENTS: usize = 400;
/// Times that a flood comes. Memory that is not released after the first time is missing later.
const WAVES: u64 = 2;
/// Connections for each port that send a byte at a time.
const TRICKLING: usize = 80;

/// Ports of an instance.
struct InstancePorts {
    client: SocketAddr,
    readiness: SocketAddr,
    peer: SocketAddr,
    operator: SocketAddr,
}

impl InstancePorts {
    fn new(deployment: &Deployment) -> Self {
        let client = deployment.clients[0];
        let port = |offset| SocketAddr::new(client.ip(), client.port() + offset);
        Self { client, readiness: port(1), peer: port(2), operator: deployment.operators[0] }
    }

    fn all(&self) -> [SocketAddr; 4] {
        [self.client, self.readiness, self.peer, self.operator]
    }
}

fn start() -> Deployment {
    Deployment::start_with_settings(20, &json!({ "memory_mb": BOUNDS[0] }))
}

/// Returns a job of two short tasks.
fn ordinary_job() -> Value {
    json!({ "spec": "p", "steps": [
        { "count": 2, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 20 },
    ]})
}

fn run_ordinary_job(deployment: &Deployment, id: u64) {
    deployment.submit(id, &ordinary_job());
    deployment.wait("the job is not completed", |deployment| deployment.is_completed(id));
}

/// Sends the inputs by [`CLIENTS`] clients. Checks that the instance stays alive and within its bounds,
/// and that it runs a job while they hold their connections.
fn assert_withstands(inputs: impl Fn(&InstancePorts) -> Vec<(SocketAddr, FloodInput)>) {
    let _turn = take_turn();
    let mut deployment = start();
    let ports = InstancePorts::new(&deployment);
    let watch = MemoryWatch::start(deployment.instances[0].pid());
    for wave in 0..WAVES {
        let _flood = Flood::send(&inputs(&ports), CLIENTS);
        run_ordinary_job(&deployment, wave);
    }
    watch.assert_bounded(BOUNDS[0], BOUNDS[1] as usize);
    assert!(!deployment.instances[0].has_exited(), "the instance has ended");
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: plans.example\r\n\r\n")
}

/// Returns the submission of a job, the same one each time.
fn submission() -> String {
    let body = ordinary_job().to_string();
    format!(
        "POST /p/00000000000000ee HTTP/1.1\r\nhost: plans.example\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

// Guards against input that waits in the sockets of requests that are being handled.
#[test]
fn input_behind_complete_submissions_is_bounded() {
    assert_withstands(|ports| vec![(ports.client, FloodInput::behind_request(&submission()))]);
}

// Guards against responses that wait in the sockets of clients that read nothing.
#[test]
fn responses_that_are_not_read_are_bounded() {
    assert_withstands(|ports| vec![(ports.client, FloodInput::repeated_request(&submission()))]);
}

#[test]
fn input_behind_readiness_checks_is_bounded() {
    assert_withstands(|ports| vec![(ports.readiness, FloodInput::behind_request(&get("/ready")))]);
}

#[test]
fn readiness_responses_that_are_not_read_are_bounded() {
    assert_withstands(|ports| {
        vec![(ports.readiness, FloodInput::repeated_request(&get("/ready")))]
    });
}

#[test]
fn input_behind_requests_of_operators_is_bounded() {
    assert_withstands(|ports| {
        vec![(ports.operator, FloodInput::behind_request(&get("/v1/status")))]
    });
}

// The metrics are among the largest responses.
#[test]
fn metrics_that_are_not_read_are_bounded() {
    assert_withstands(|ports| {
        vec![(ports.operator, FloodInput::repeated_request(&get("/metrics")))]
    });
}

// Guards against messages that wait in the sockets of instances, and replies to them.
#[test]
fn messages_and_replies_of_instances_that_are_not_read_are_bounded() {
    assert_withstands(|ports| vec![(ports.peer, FloodInput::repeated_message(1_000))]);
}

// Guards against a bound that holds for each port and kind of input but not for all together.
#[test]
fn floods_on_all_ports_are_bounded_together() {
    assert_withstands(|ports| {
        vec![
            (ports.client, FloodInput::behind_request(&submission())),
            (ports.client, FloodInput::repeated_request(&submission())),
            (ports.readiness, FloodInput::repeated_request(&get("/ready"))),
            (ports.operator, FloodInput::repeated_request(&get("/metrics"))),
            (ports.peer, FloodInput::repeated_message(1_000)),
        ]
    });
}

// Guards against clients that hold connections on all ports by sending a byte now and then, and against
// a limit on connections that keeps ordinary clients out.
#[test]
fn ordinary_jobs_run_beside_trickling_clients() {
    let _turn = take_turn();
    let mut deployment = start();
    let ports = InstancePorts::new(&deployment);
    let watch = MemoryWatch::start(deployment.instances[0].pid());
    for wave in 0..WAVES {
        let _trickling = TricklingClients::start(&ports.all(), TRICKLING);
        (0..5).for_each(|number| run_ordinary_job(&deployment, wave * 100 + number));
    }
    watch.assert_bounded(BOUNDS[0], BOUNDS[1] as usize);
    assert!(!deployment.instances[0].has_exited(), "the instance has ended");
}

/// Steps of a large job, each with one task that no executor has room for.
const LARGE_JOB_STEPS: usize = 1_000;
/// Large jobs that are submitted.
const LARGE_JOBS: u64 = 200;

fn large_job() -> Value {
    let step = json!({ "count": 1, "cpu": 4_000_000, "mem-mb": 100, "estimate-ms": 20 });
    json!({ "spec": "p", "steps": vec![step; LARGE_JOB_STEPS] })
}

// Guards against accepted jobs that fill the memory of their owner, against a refusal that is not
// final, and against an accepted job that is given up for others.
#[test]
fn accepted_jobs_are_bounded() {
    let _turn = take_turn();
    let mut deployment = start();
    let watch = MemoryWatch::start(deployment.instances[0].pid());
    let client = deployment.clients[0];
    let body = large_job().to_string();
    let path = |id: u64| format!("/p/{id:016x}");
    let (mut accepted, mut refused, mut unanswered) = (Vec::new(), Vec::new(), 0);
    for id in 1..=LARGE_JOBS {
        match call(client, "POST", &path(id), &body).map(|(status, _)| status) {
            Some(200) => accepted.push(id),
            Some(503) => refused.push(id),
            // Whether the job was accepted is unknown then.
            Some(504) | None => unanswered += 1,
            Some(status) => panic!("status {status} for a job within all limits"),
        }
    }
    println!("{} accepted, {} refused, {unanswered} unanswered", accepted.len(), refused.len());
    assert!(!accepted.is_empty(), "every job is refused");
    for id in accepted {
        deployment.wait("an accepted job is not known", |_| {
            call(client, "GET", &path(id), "").is_some_and(|(status, _)| status == 200)
        });
        deployment.wait("the job is not cancelled", |_| {
            call(client, "DELETE", &path(id), "").is_some_and(|(status, _)| status == 200)
        });
    }
    for id in refused {
        let state = call(client, "GET", &path(id), "").map(|(status, _)| status);
        assert_eq!(state, Some(410), "job {id} was refused");
    }
    run_ordinary_job(&deployment, LARGE_JOBS + 1);
    watch.assert_bounded(BOUNDS[0], BOUNDS[1] as usize);
    assert!(!deployment.instances[0].has_exited(), "the instance has ended");
}
