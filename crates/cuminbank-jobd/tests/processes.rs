//! Tests of daemon processes with the stand-in for the platform.

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

// Guards against parts that work on their own but not together: runs a job from the submission to
// the result, and checks the responses to invalid requests.
#[test]
fn job_is_accepted_run_and_reported() {
    let deployment = Deployment::start(2, 100, Stdio::null);
    let client = deployment.clients[0];
    deployment.submit(1, &two_steps());
    deployment.wait("job 1 is not completed", |deployment| deployment.is_completed(1));
    assert_eq!(deployment.starts().len(), 8);
    // Repeating the request does not create another job.
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

// Guards against tasks that are lost or started twice when the owner of the pool is killed.
#[test]
fn killed_owner_loses_and_repeats_no_task() {
    let mut deployment = Deployment::start(3, 3_000, Stdio::null);
    deployment.submit(2, &two_steps());
    deployment.wait("the first step of job 2 does not start", |deployment| {
        deployment.starts().len() == 6
    });
    let owner = deployment.owner().expect("an instance owns the pool");
    deployment.instances[owner].kill();
    deployment.wait("job 2 is not completed", |deployment| deployment.is_completed(2));
    let mut starts = deployment.starts();
    starts.sort();
    starts.dedup();
    assert_eq!((starts.len(), deployment.starts().len()), (8, 8));
}

// Guards against submissions that are refused or lost even after the store replies again.
#[test]
fn jobs_survive_unresponsive_store() {
    let deployment = Deployment::start(2, 1_500, Stdio::null);
    deployment.submit(3, &two_steps());
    deployment.wait("the first step of job 3 does not start", |deployment| {
        deployment.starts().len() == 6
    });
    call(deployment.store, "GET", "/standin/silence?ms=3000", "").expect("the stand-in replies");
    deployment.submit(4, &two_steps());
    deployment.wait("job 3 or 4 is not completed", |deployment| {
        deployment.is_completed(3) && deployment.is_completed(4)
    });
    assert_eq!(deployment.starts().len(), 16);
}

// Guards against a daemon that blocks when nothing reads its log.
#[test]
fn unread_log_does_not_block() {
    let deployment = Deployment::start(1, 20, Stdio::piped);
    let wide = json!({ "spec": "p", "steps": [
        { "count": 300, "cpu": 100, "mem-mb": 10, "estimate-ms": 20 },
    ]});
    // Logs far more lines than the buffer of a pipe holds.
    for id in 10..14 {
        deployment.submit(id, &wide);
    }
    deployment.wait("one of jobs 10 to 13 is not completed", |deployment| {
        (10..14).all(|id| deployment.is_completed(id))
    });
}

// Guards against an odd entry of another writer among those of the executors that ends the daemons,
// or after which they no longer follow the list.
#[test]
fn odd_entry_of_an_executor_is_passed_over() {
    let mut deployment = Deployment::start(3, 100, Stdio::null);
    let entry = |port: &str, cpu: &str, zone: &str| {
        format!(
            r#"{{"service":"plans","address":"127.0.0.1:{port}","zone":{zone},"state":"ready",
                "remaining-ms":18446744073709551615,"born":18446744073709551615,"labels":[],
                "capacity":{{"cpu":{cpu},"mem-mb":4294967295}}}}"#
        )
    };
    let deep = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    let odd = [
        deep.clone(),
        entry("9", "1000", &deep),
        entry("65536", "1000", "\"z0\""),
        entry("9", "1e999", "\"z0\""),
        entry("9", "4294967296", "\"z0\""),
        entry("0", "4294967295", "\"z0\""),
        entry("9", "4294967295", "\"\""),
    ];
    for (number, value) in odd.iter().enumerate() {
        let path = format!("/standin/entry?name=odd-{number}");
        call(deployment.store, "POST", &path, value).expect("the stand-in replies");
    }
    (60..64).for_each(|id| deployment.submit(id, &two_steps()));
    deployment.wait("one of jobs 60 to 63 is not completed", |deployment| {
        (60..64).all(|id| deployment.is_completed(id))
    });
    // The successor reads the whole list.
    let owner = deployment.owner().expect("an instance owns the pool");
    deployment.instances[owner].kill();
    (64..68).for_each(|id| deployment.submit(id, &two_steps()));
    deployment.wait("one of jobs 64 to 67 is not completed", |deployment| {
        (64..68).all(|id| deployment.is_completed(id))
    });
    for (number, instance) in deployment.instances.iter_mut().enumerate() {
        assert!(number == owner || !instance.has_exited(), "instance {number} has exited");
    }
}

// Guards against an evacuation that the daemons overlook, forget when the owner is killed, or keep
// after it was taken back.
#[test]
fn evacuated_zone_gets_no_starts() {
    let mut deployment = Deployment::start(3, 50, Stdio::null);
    let zones = |deployment: &Deployment| -> Vec<Value> {
        let live = deployment.operators.iter();
        let statuses = live.filter_map(|operator| call(*operator, "GET", "/v1/status", ""));
        statuses.map(|(_, status)| status["evacuated_zones"].clone()).collect()
    };
    // The values have no meaning, and neither has an evacuation of an unknown zone.
    for zone in ["z1", "nowhere"] {
        let path = format!("/standin/evacuate?zone={zone}");
        call(deployment.store, "GET", &path, "").expect("the stand-in replies");
    }
    deployment.wait("an instance does not know of the evacuations", |deployment| {
        zones(deployment).iter().all(|zones| *zones == json!(["nowhere", "z1"]))
    });
    (40..44).for_each(|id| deployment.submit(id, &two_steps()));
    deployment.wait("one of jobs 40 to 43 is not completed", |deployment| {
        (40..44).all(|id| deployment.is_completed(id))
    });
    let owner = deployment.owner().expect("an instance owns the pool");
    deployment.instances[owner].kill();
    (44..48).for_each(|id| deployment.submit(id, &two_steps()));
    deployment.wait("one of jobs 44 to 47 is not completed", |deployment| {
        (44..48).all(|id| deployment.is_completed(id))
    });
    let starts_by_executor = |deployment: &Deployment| {
        let answer = call(deployment.store, "GET", "/standin/history", "");
        let (_, rows) = answer.expect("the stand-in replies");
        let rows = rows.as_array().cloned().unwrap_or_default();
        ["i-0", "i-1", "i-2", "i-3"]
            .map(|executor| rows.iter().filter(|row| row[0] == json!(executor)).count())
    };
    let starts = starts_by_executor(&deployment);
    assert_eq!((starts[0] + starts[1], &starts[2..]), (8 * 8, &[0usize, 0][..]));
    call(deployment.store, "GET", "/standin/reopen?zone=z1", "").expect("the stand-in replies");
    deployment.wait("the evacuation of z1 stays in force", |deployment| {
        zones(deployment).iter().all(|zones| *zones == json!(["nowhere"]))
    });
    let wide = json!({ "spec": "p", "steps": [
        { "count": 32, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 50 },
    ]});
    deployment.submit(48, &wide);
    deployment.wait("job 48 is not completed", |deployment| deployment.is_completed(48));
    let starts = starts_by_executor(&deployment);
    assert!(starts[2] > 0 && starts[3] > 0, "{starts:?}");
}

// Guards against jobs that an instance cannot find because another instance placed them in another
// cell, and against a job that is accepted in both cells.
#[test]
fn two_cells_are_one_pool_to_clients() {
    let shape = PoolShape { cells: 2, ..PoolShape::default() };
    let deployment = Deployment::start_with_shape(3, 100, shape);
    (20..32).for_each(|id| deployment.submit(id, &two_steps()));
    deployment.wait("one of jobs 20 to 31 is not completed", |deployment| {
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

// Guards against task starts that are lost or executed twice when they are sent through a relay,
// also if a relay is killed.
#[test]
fn relayed_starts_run_once() {
    let shape = PoolShape { link_mbps: 2.0, ..PoolShape::default() };
    let mut deployment = Deployment::start_with_shape(3, 1_000, shape);
    let owner = deployment.owner().expect("an instance owns the pool");
    let operator = deployment.operators[owner];
    deployment.wait("the owner does not know both relays", |_| {
        let status = call(operator, "GET", "/v1/status", "");
        status.is_some_and(|(_, body)| body["carriers"] == json!(2))
    });
    (40..44).for_each(|id| deployment.submit(id, &two_steps()));
    // Kills one of the two relays.
    deployment.instances[(owner + 1) % 3].kill();
    (44..48).for_each(|id| deployment.submit(id, &two_steps()));
    deployment.wait("one of jobs 40 to 47 is not completed", |deployment| {
        (40..48).all(|id| deployment.is_completed(id))
    });
    let mut starts = deployment.starts();
    let count = starts.len();
    starts.sort();
    starts.dedup();
    assert_eq!((starts.len(), count), (8 * 8, 8 * 8));
    let mut pages =
        deployment.operators.iter().filter_map(|operator| read_text(*operator, "/metrics"));
    assert!(pages.any(|page| page.contains("bundle.carried")), "no instance has relayed a start");
}

// Guards against a process that crashes on a malformed message on any of its ports, or on a job
// with extreme values.
#[test]
fn malformed_messages_do_not_crash_process() {
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
            let mut stream = TcpStream::connect(address).expect("the daemon accepts connections");
            // The daemon may close the connection before it has read the whole message.
            let _ = stream.write_all(message);
        }
    }
    let endless = json!({ "spec": "p", "repeat-count": 4, "start-at-ms": 1,
        "interval-ms": u64::MAX, "steps": [{ "count": 1, "cpu": u32::MAX, "mem-mb": u32::MAX,
        "estimate-ms": 1e300 }] });
    deployment.submit(50, &endless);
    deployment.submit(51, &two_steps());
    deployment.wait("job 51 is not completed", |deployment| deployment.is_completed(51));
    let status = call(operator, "GET", "/v1/status", "").map(|(status, _)| status);
    assert_eq!(status, Some(200));
}
