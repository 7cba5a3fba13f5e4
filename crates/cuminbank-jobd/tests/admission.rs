//! Tests of submissions to daemons that admit jobs by the room of the pool.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

use serde_json::{json, Value};

use support::{call, read_text, Deployment, PoolShape, QUEUE_PREFIX};

/// Run time of tasks in milliseconds. Long-running ones outlast the test.
const TASK_MS: u64 = 200_000;

fn start(admission: bool) -> Deployment {
    let shape = PoolShape { admission, ..PoolShape::default() };
    Deployment::start_with_shape(2, TASK_MS, shape)
}

fn long_running(count: u32) -> Value {
    let step = json!({ "count": count, "cpu": 1_000, "mem-mb": 100, "long-running": true });
    json!({ "spec": "p", "steps": [step] })
}

fn path(id: u64) -> String {
    format!("{QUEUE_PREFIX}{id:016x}")
}

fn status_of(client: SocketAddr, method: &str, id: u64, body: &Value) -> u16 {
    let answer = call(client, method, &path(id), &body.to_string());
    answer.expect("the instance replies").0
}

/// Submits a job and returns the whole answer as text.
fn submit_raw(client: SocketAddr, id: u64, job: &Value) -> String {
    let body = job.to_string();
    let mut stream = TcpStream::connect(client).expect("the instance listens");
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: plans.example\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        path(id),
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).expect("the instance reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the instance replies");
    answer.to_ascii_lowercase()
}

/// Returns the value of a metric of an instance.
fn metric(deployment: &Deployment, instance: usize, name: &str) -> Option<f64> {
    let text = read_text(deployment.operators[instance], "/metrics")?;
    let line = text.lines().find(|line| line.contains(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Waits until all instances know how much room long-running jobs have, in cores.
fn wait_for_room(deployment: &Deployment, accepts: fn(f64) -> bool) {
    deployment.wait("the room is not as expected", |deployment| {
        (0..2).all(|instance| metric(deployment, instance, "admission.room").is_some_and(accepts))
    });
}

// Guards against parts that work on their own but not together: a refusal that does not reach the
// client as promised, that hits a job which is already accepted or that ends by itself, or that does
// not end when there is room. The four executors have 32 cores, of which an eighth is kept.
#[test]
fn long_running_jobs_are_refused_while_there_is_no_room() {
    let deployment = start(true);
    wait_for_room(&deployment, |room| room > 27.0);
    deployment.submit(1, &long_running(29));
    wait_for_room(&deployment, |room| room <= 0.0);
    let refused_before = metric(&deployment, 0, "admission.refused").unwrap_or_default();
    for client in &deployment.clients {
        let answer = submit_raw(*client, 2, &long_running(1));
        assert!(answer.starts_with("http/1.1 503"), "{answer}");
        let delay = answer.split("retry-after: ").nth(1).and_then(|rest| rest.lines().next());
        let delay = delay.and_then(|delay| delay.parse::<u64>().ok());
        assert!(delay.is_some_and(|delay| (1..=5).contains(&delay)), "{answer}");
        assert!(answer.contains("not stored and never run"), "{answer}");
        assert_eq!(status_of(*client, "GET", 2, &Value::Null), 410);
        assert_eq!(status_of(*client, "POST", 1, &long_running(29)), 200, "already accepted");
    }
    let best_effort = json!({ "spec": "p", "steps": [
        { "count": 1, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 50, "fills": true },
    ]});
    let quick = json!({ "spec": "p", "steps": [
        { "count": 1, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 50 },
    ]});
    assert_eq!(status_of(deployment.clients[0], "POST", 3, &quick), 200);
    assert_eq!(status_of(deployment.clients[1], "POST", 4, &best_effort), 200);
    deployment.wait("job 3 or 4 does not start", |deployment| deployment.starts().len() == 31);
    // An instance serves the text of its metrics again for a short time.
    deployment.wait("the refusal is not counted", |deployment| {
        metric(deployment, 0, "admission.refused").is_some_and(|count| count > refused_before)
    });
    assert_eq!(status_of(deployment.clients[0], "DELETE", 1, &Value::Null), 200);
    deployment.submit(2, &long_running(1));
    deployment.wait("job 2 does not start", |deployment| deployment.starts().len() == 32);
}

// Guards against refusals while the owner is gone, by the last report that it gave, and against a new
// owner that does not report the room.
#[test]
fn jobs_are_admitted_while_the_owner_is_lost() {
    let mut deployment = start(true);
    wait_for_room(&deployment, |room| room > 27.0);
    deployment.submit(1, &long_running(29));
    wait_for_room(&deployment, |room| room <= 0.0);
    let owner = deployment.owner().expect("an instance owns the pool");
    let other = deployment.clients[1 - owner];
    assert_eq!(status_of(other, "POST", 2, &long_running(1)), 503);
    deployment.instances[owner].kill();
    // The room is unknown after 1.8 s, before the leases of the killed owner have ended.
    let mut id = 2;
    deployment.wait("no job is admitted", |_| {
        id += 1;
        status_of(other, "POST", id, &long_running(1)) == 200
    });
    deployment.wait("no job is refused by the report of the new owner", |_| {
        id += 1;
        status_of(other, "POST", id, &long_running(1)) == 503
    });
    assert_eq!(status_of(other, "POST", 1, &long_running(29)), 200, "already accepted");
}

// Guards against refusals although the setting is off.
#[test]
fn nothing_is_refused_without_admission() {
    let deployment = start(false);
    deployment.submit(1, &long_running(29));
    deployment.wait("job 1 does not start", |deployment| deployment.starts().len() == 29);
    for id in 2..6 {
        assert_eq!(status_of(deployment.clients[0], "POST", id, &long_running(20)), 200);
    }
    assert_eq!(metric(&deployment, 0, "admission.room"), None);
}
