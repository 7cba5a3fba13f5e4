//! Tests of the division of the pool into cells.

mod support;

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::Stdio,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use cuminbank::log::{POOL_DIVIDED, STORE_UNREADABLE};
use cuminbank_jobs::{
    cells::PoolPlan,
    keys::{accepted_key, PLAN_KEY},
    store::{decode_value, encode_value, StoreCall, StorePut, StoreReply, StoreTxn},
};
use cuminbank_net::{client::HttpPool, runtime};
use cuminbank_platform::{
    store::{decode_reply, encode_call},
    EXECUTOR_PREFIX,
};
use serde_json::{json, Value};

use support::{
    build::DaemonBuild, call, instance_settings, loopback, ports::PortBlock, settings_path,
    start_standin, Deployment, InstanceProcess, PoolShape, EXECUTORS, WAIT_LIMIT,
};

const ATTEMPTS: u32 = 100;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay of the strong instances. Weak ones propose after 1.9 s if they do not wait for entries, and
/// after 4 s if they do.
const STRONG_DELAY: Duration = Duration::from_millis(2_000);

/// Applies a transaction. Panics if the store does not reply.
fn write(store: SocketAddr, txn: StoreTxn) {
    let written = runtime::run(async move {
        let pool = HttpPool::new();
        let call = StoreCall::Commit(txn);
        for _ in 0..ATTEMPTS {
            let answer = pool.exchange(store, encode_call(&call, None), CALL_TIMEOUT).await;
            if decode_reply(&call, answer).is_ok() {
                return true;
            }
            monoio::time::sleep(ATTEMPT_PAUSE).await;
        }
        false
    });
    assert!(written, "the store does not reply");
}

// Guards against a log that reports a division of the pool although the stored plan cannot be
// decoded.
#[test]
fn unreadable_plan_is_not_logged_as_a_division() {
    let ports = PortBlock::take();
    let store = loopback(ports.port(1));
    start_standin(store, 100, 0);
    let txn = StoreTxn {
        expected: Vec::new(),
        puts: vec![StorePut::new(PLAN_KEY, vec![0xff; 7])],
        removes: Vec::new(),
    };
    write(store, txn);
    let port = ports.port(usize::from(2 + EXECUTORS));
    let settings = instance_settings(0, port, store, PoolShape::default());
    let build = DaemonBuild::current();
    let mut process = InstanceProcess::start(build, settings_path(port), settings, Stdio::piped());
    let codes = [POOL_DIVIDED, STORE_UNREADABLE].map(|code| format!("EV{:04}", code.number));
    let mut lines = BufReader::new(process.take_output()).lines().map_while(Result::ok);
    let searched = codes.clone();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let found = lines.find(|line| searched.iter().any(|code| line.contains(code)));
        sender.send(found)
    });
    let first = receiver.recv_timeout(WAIT_LIMIT).ok().flatten();
    let first = first.expect("the daemon logs neither event");
    assert!(first.contains(&codes[1]) && first.contains(PLAN_KEY), "{first}");
}

/// Starts two weak instances in a pool of 490 executors, and two strong ones 2 s later, or without
/// the setting once the pool is divided. Returns the cells of the division as each instance knows
/// it, and the time until all know it.
fn divide_pool(adaptive: bool, stored: Option<&PoolPlan>) -> (Vec<usize>, Duration) {
    let ports = PortBlock::take();
    let store = loopback(ports.port(1));
    start_standin(store, 100, 0);
    // Nothing listens at the addresses of these executors.
    let entry = |number: usize| {
        let value = json!({
            "service": "plans", "address": "127.0.0.1:9", "zone": "z", "version": "v1", "slots": 8,
            "state": "ready", "cold-remaining-ms": 0, "seq": 1,
            "labels": ["a", format!("rack-{}", number / 8)],
            "capacity": { "cpu": 64_000, "mem-mb": 64_000, "gpus": 0 },
        });
        StorePut::new(format!("{EXECUTOR_PREFIX}far-{number:03}"), value.to_string().into_bytes())
    };
    let puts: Vec<StorePut> = (0..490).map(entry).collect();
    for puts in puts.chunks(30) {
        write(store, StoreTxn { puts: puts.to_vec(), ..StoreTxn::default() });
    }
    if let Some(plan) = stored {
        let puts = vec![StorePut::new(PLAN_KEY, encode_value(plan))];
        write(store, StoreTxn { puts, ..StoreTxn::default() });
    }
    let cells = |operator: &SocketAddr| {
        let (_, status) = call(*operator, "GET", "/v1/status", "")?;
        status["cells"].as_array().map(Vec::len).filter(|cells| *cells > 0)
    };
    let started = Instant::now();
    let mut processes = Vec::new();
    let mut operators = Vec::new();
    for number in 0..4 {
        let port = ports.port(usize::from(2 + EXECUTORS + number * 4));
        let mut settings = instance_settings(number, port, store, PoolShape::default());
        let is_weak = number < 2;
        settings["cells"] = Value::Null;
        settings["adaptive_division"] = json!(adaptive);
        settings["link_mbps"] = json!(if is_weak { 10.0 } else { 200.0 });
        settings["processor_share"] = json!(if is_weak { 0.25 } else { 0.5 });
        if number == 2 {
            thread::sleep(STRONG_DELAY);
            while !adaptive && cells(&operators[0]).is_none() {
                assert!(started.elapsed() < WAIT_LIMIT, "the pool is not divided");
                thread::sleep(ATTEMPT_PAUSE);
            }
        }
        let build = DaemonBuild::current();
        let path = settings_path(port);
        processes.push(InstanceProcess::start(build, path, settings, Stdio::null()));
        operators.push(loopback(port + 3));
    }
    loop {
        let known: Option<Vec<usize>> = operators.iter().map(cells).collect();
        if let Some(known) = known {
            return (known, started.elapsed());
        }
        assert!(started.elapsed() < WAIT_LIMIT, "the pool is not divided");
        thread::sleep(ATTEMPT_PAUSE);
    }
}

// Guards against a division by whichever instance proposes first: the weak ones need four cells.
#[test]
fn late_strong_instances_decide_the_division() {
    let (cells, elapsed) = divide_pool(true, None);
    println!("divided after {elapsed:?}");
    assert_eq!(cells, [1; 4]);
}

// Guards against a change of the division while the setting is off, and shows that the test above
// depends on the setting.
#[test]
fn first_proposer_decides_the_division_without_the_setting() {
    let (cells, elapsed) = divide_pool(false, None);
    println!("divided after {elapsed:?}");
    assert_eq!(cells, [4; 4]);
}

// Guards against a pool in use that is divided anew when the setting is switched on.
#[test]
fn stored_division_is_kept() {
    let plan = PoolPlan { cells: 3, racks: BTreeMap::new() };
    let (cells, _) = divide_pool(true, Some(&plan));
    assert_eq!(cells, [3; 4]);
}

/// Returns the cell that the store names for a job.
fn stored_cell(store: SocketAddr, id: u64) -> Option<u16> {
    runtime::run(async move {
        let pool = HttpPool::new();
        let call = StoreCall::ReadKey { key: accepted_key(id) };
        let answer = pool.exchange(store, encode_call(&call, None), CALL_TIMEOUT).await;
        let Ok(StoreReply::Items { items, .. }) = decode_reply(&call, answer) else { return None };
        decode_value(&items.first()?.value)
    })
}

// Guards against jobs that wait in a full cell while another one is idle, and against moved jobs
// that run twice, are not found by an instance or cannot be cancelled.
#[test]
fn waiting_jobs_move_to_an_idle_cell() {
    let shape = PoolShape { cells: 2, adaptive_division: true, ..PoolShape::default() };
    let deployment = Deployment::start_with_shape(3, 1_500, shape);
    // All instances have registered by now, without which no job moves.
    thread::sleep(Duration::from_secs(2));
    let plan = PoolPlan { cells: 2, racks: BTreeMap::new() };
    let homes = (100..).filter(|id| plan.home_and_fallback(*id).0 == 0);
    let ids: Vec<u64> = homes.take(9).collect();
    let body = json!({ "spec": "p", "steps": [
        { "count": 4, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 1_500 },
        { "count": 1, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 1_500, "after": [0] },
    ]});
    // Each cell has 16 cores.
    ids.iter().for_each(|id| deployment.submit(*id, &body));
    deployment.wait("no job has moved", |deployment| {
        ids.iter().any(|id| stored_cell(deployment.store, *id) == Some(1))
    });
    let moved: Vec<u64> =
        ids.iter().copied().filter(|id| stored_cell(deployment.store, *id) == Some(1)).collect();
    let path = |id: u64| format!("/p/{id:016x}");
    for client in &deployment.clients {
        for id in &moved {
            let answer = call(*client, "GET", &path(*id), "");
            assert_eq!(answer.map(|(status, _)| status), Some(200), "job {id:x}");
        }
    }
    let cancelled = moved[0];
    let answer = call(deployment.clients[0], "DELETE", &path(cancelled), "");
    assert_eq!(answer.map(|(status, _)| status), Some(200));
    let has_state = |id: u64, state: &str| {
        deployment.clients.iter().all(|client| {
            let answer = call(*client, "GET", &path(id), "");
            answer.is_some_and(|(_, body)| body["state"] == json!(state))
        })
    };
    deployment.wait("a job has not ended everywhere", |_| {
        has_state(cancelled, "cancelled")
            && ids.iter().filter(|id| **id != cancelled).all(|id| has_state(*id, "completed"))
    });
    let mut starts = deployment.starts();
    starts.retain(|start| !start.contains(&format!("{cancelled:x}")));
    let count = starts.len();
    starts.sort();
    starts.dedup();
    assert_eq!((starts.len(), count), ((ids.len() - 1) * 5, (ids.len() - 1) * 5));
}

// Guards against a cell that stays with an owner whose link cannot carry its traffic, and against
// tasks that run twice or not at all because it is handed over.
#[test]
fn weak_owner_hands_its_cell_over() {
    let ports = PortBlock::take();
    let store = loopback(ports.port(1));
    start_standin(store, 3_000, 0);
    let start = |number: u16, link_mbps: f64| {
        let port = ports.port(usize::from(2 + EXECUTORS + number * 4));
        // Four executors need 0.3 Mbit/s.
        let shape = PoolShape { link_mbps, adaptive_division: true, ..PoolShape::default() };
        let settings = instance_settings(number, port, store, shape);
        let path = settings_path(port);
        let process = InstanceProcess::start(DaemonBuild::current(), path, settings, Stdio::null());
        (process, loopback(port), loopback(port + 3))
    };
    let (_weak, client, operator) = start(0, 0.2);
    let owner = || {
        let (_, status) = call(operator, "GET", "/v1/status", "")?;
        status["cells"][0]["owner"].as_str().map(str::to_owned)
    };
    let wait = |what: &str, condition: &dyn Fn() -> bool| {
        let started = Instant::now();
        while !condition() {
            assert!(started.elapsed() < WAIT_LIMIT, "{what}");
            thread::sleep(ATTEMPT_PAUSE);
        }
    };
    wait("the weak instance does not own the cell", &|| owner().as_deref() == Some("i0"));
    let (_strong, _, _) = start(1, 1_000.0);
    let body = json!({ "spec": "p", "steps": [
        { "count": 3, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 3_000 },
        { "count": 3, "cpu": 1_000, "mem-mb": 100, "estimate-ms": 3_000, "after": [0] },
    ]});
    let mut ids: Vec<u64> = Vec::new();
    let started = Instant::now();
    while owner().as_deref() != Some("i1") {
        assert!(started.elapsed() < WAIT_LIMIT, "the cell is not handed over");
        let id = 200 + ids.len() as u64;
        let answer = call(client, "POST", &format!("/p/{id:016x}"), &body.to_string());
        if answer.is_some_and(|(status, _)| status == 200) {
            ids.push(id);
        }
        thread::sleep(Duration::from_secs(1));
    }
    println!("handed over after {:?}", started.elapsed());
    wait("a job is not completed", &|| {
        ids.iter().all(|id| {
            let answer = call(client, "GET", &format!("/p/{id:016x}"), "");
            answer.is_some_and(|(_, body)| body["state"] == json!("completed"))
        })
    });
    assert_eq!(owner().as_deref(), Some("i1"));
    let (_, starts) = call(store, "GET", "/standin/starts", "").expect("the stand-in replies");
    let mut starts: Vec<String> = serde_json::from_value(starts).expect("a list of names");
    let count = starts.len();
    starts.sort();
    starts.dedup();
    assert!(ids.len() >= 5, "{ids:?}");
    assert_eq!((starts.len(), count), (ids.len() * 6, ids.len() * 6));
}
