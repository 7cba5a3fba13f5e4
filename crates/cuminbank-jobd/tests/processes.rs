//! The daemon as real processes on the stand-in of the platform.

mod support;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    process::Stdio,
};

use serde_json::{json, Value};

use support::{call, read_text, Deployment, PoolShape};

fn two_steps() -> Value {
    json!({ "spec": "p", "steps": [
        { "count": 6, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 300 },
        { "count": 2, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 300, "after": [0] },
    ]})
}

// Guards against a path from client to executor that only works piece by piece.
#[test]
fn job_is_accepted_run_and_told() {
    let deployment = Deployment::start(2, 100, Stdio::null);
    let client = deployment.clients[0];
    deployment.submit(1, &two_steps());
    deployment.wait("the job is not completed", |deployment| deployment.is_completed(1));
    assert_eq!(deployment.starts().len(), 8);
    // The same request again is the same job.
    deployment.submit(1, &two_steps());
    assert!(deployment.is_completed(1));
    assert_eq!(deployment.starts().len(), 8);
    let status =
        |method, path: &str, body: &str| call(client, method, path, body).map(|(status, _)| status);
    assert_eq!(status("GET", "/p/00000000000000ff", ""), Some(410));
    assert_eq!(status("GET", "/other/00000000000000ff", ""), Some(404));
    assert_eq!(status("POST", "/p/00000000000000ff", "{}"), Some(400));
    assert_eq!(status("GET", "/p/", ""), Some(200));
    assert_eq!(status("DELETE", "/p/00000000000000ff", ""), Some(410));
}

// Guards against work that is lost or doubled with the process that owned the pool.
#[test]
fn killed_owner_loses_and_doubles_nothing() {
    let mut deployment = Deployment::start(3, 3_000, Stdio::null);
    deployment.submit(2, &two_steps());
    deployment.wait("the job does not run", |deployment| deployment.starts().len() == 6);
    let owner = deployment.owner().expect("the pool had an owner");
    deployment.instances[owner].kill();
    deployment.wait("the job is not completed", |deployment| deployment.is_completed(2));
    let mut starts = deployment.starts();
    starts.sort();
    starts.dedup();
    assert_eq!((starts.len(), deployment.starts().len()), (8, 8));
}

// Guards against submissions that are refused or lost for good after an outage of the store.
#[test]
fn silent_store_is_survived() {
    let deployment = Deployment::start(2, 1_500, Stdio::null);
    deployment.submit(3, &two_steps());
    deployment.wait("the job does not run", |deployment| deployment.starts().len() == 6);
    call(deployment.store, "GET", "/standin/silence?ms=3000", "").expect("the stand-in answers");
    deployment.submit(4, &two_steps());
    deployment.wait("a job is not completed", |deployment| {
        deployment.is_completed(3) && deployment.is_completed(4)
    });
    assert_eq!(deployment.starts().len(), 16);
}

// Guards against a daemon that waits for whoever reads its log.
#[test]
fn unread_log_blocks_nothing() {
    let deployment = Deployment::start(1, 20, Stdio::piped);
    let wide = json!({ "spec": "p", "steps": [
        { "count": 300, "cpu": 100, "mem-mb": 10, "estimate-ms": 20 },
    ]});
    // Far more lines than a pipe holds.
    for id in 10..14 {
        deployment.submit(id, &wide);
    }
    deployment.wait("a job is not completed", |deployment| {
        (10..14).all(|id| deployment.is_completed(id))
    });
}

// Guards against jobs that one instance cannot find because another put them into another cell, and
// against a request that is accepted twice, once in each cell.
#[test]
fn two_cells_are_one_pool_to_clients() {
    let shape = PoolShape { cells: 2, ..PoolShape::default() };
    let deployment = Deployment::start_with_shape(3, 100, shape);
    (20..32).for_each(|id| deployment.submit(id, &two_steps()));
    deployment.wait("a job is not completed", |deployment| {
        (20..32).all(|id| deployment.is_completed(id))
    });
    for client in &deployment.clients {
        for id in 20..32 {
            let path = format!("/p/{id:016x}");
            let answer = call(*client, "GET", &path, "");
            assert_eq!(answer.map(|(_, body)| body["state"].clone()), Some(json!("completed")));
            let again = call(*client, "POST", &path, &two_steps().to_string());
            assert_eq!(again.map(|(status, _)| status), Some(200));
        }
        assert_eq!(call(*client, "GET", "/p/", "").map(|(status, _)| status), Some(200));
    }
    assert_eq!(deployment.starts().len(), 12 * 8);
}

// Guards against starts that are lost or doubled on their way through another instance.
#[test]
fn carried_starts_run_once() {
    let shape = PoolShape { link_mbps: 2.0, ..PoolShape::default() };
    let mut deployment = Deployment::start_with_shape(3, 1_000, shape);
    let owner = deployment.owner().expect("the pool has an owner");
    let operator = deployment.operators[owner];
    deployment.wait("the owner knows no carrier", |_| {
        let status = call(operator, "GET", "/v1/status", "");
        status.is_some_and(|(_, body)| body["carriers"] == json!(2))
    });
    (40..44).for_each(|id| deployment.submit(id, &two_steps()));
    // One of the two others carries starts, and is lost.
    deployment.instances[(owner + 1) % 3].kill();
    (44..48).for_each(|id| deployment.submit(id, &two_steps()));
    deployment.wait("a job is not completed", |deployment| {
        (40..48).all(|id| deployment.is_completed(id))
    });
    let mut starts = deployment.starts();
    let count = starts.len();
    starts.sort();
    starts.dedup();
    assert_eq!((starts.len(), count), (8 * 8, 8 * 8));
    let mut pages =
        deployment.operators.iter().filter_map(|operator| read_text(*operator, "/metrics"));
    assert!(pages.any(|page| page.contains("bundle.carried")), "no start was carried");
}

// Guards against a process that one malformed message brings down, on whichever port it comes.
#[test]
fn malformed_messages_bring_no_process_down() {
    let deployment = Deployment::start(1, 100, Stdio::null);
    let operator = deployment.operators[0];
    let peer = SocketAddr::new(operator.ip(), operator.port() - 1);
    let readiness = SocketAddr::new(operator.ip(), operator.port() - 2);
    let huge_length = [0x03, 0xff, 0xff, 0xff, 1, 2, 3];
    let messages: [&[u8]; 6] = [
        &huge_length,
        &[0, 0, 0, 3, 0xff, 0xff, 0xff],
        &[0, 0, 0, 0],
        b"POST /p/1 HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n",
        b"GET / HTTP/9.9\r\n\xff\xfe: x\r\n\r\n",
        &[0xff; 4_096],
    ];
    for address in [deployment.clients[0], operator, peer, readiness] {
        for message in messages {
            let mut stream = TcpStream::connect(address).expect("the port is open");
            // The other side may close before it has read everything.
            let _ = stream.write_all(message);
        }
    }
    let endless = json!({ "spec": "p", "repeat-count": 4, "start-at-ms": 1,
        "interval-ms": u64::MAX, "steps": [{ "count": 1, "cpu": u32::MAX, "mem-mb": u32::MAX,
        "estimate-ms": 1e300 }] });
    deployment.submit(50, &endless);
    deployment.submit(51, &two_steps());
    deployment.wait("the job is not completed", |deployment| deployment.is_completed(51));
    let status = call(operator, "GET", "/v1/status", "").map(|(status, _)| status);
    assert_eq!(status, Some(200));
}
