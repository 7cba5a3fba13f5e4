//! Tests of the division of the pool into cells.

mod support;

use std::{
    io::{BufRead, BufReader},
    process::Stdio,
    sync::mpsc,
    thread,
    time::Duration,
};

use cuminbank::log::{POOL_DIVIDED, STORE_UNREADABLE};
use cuminbank_jobs::{
    keys::PLAN_KEY,
    store::{StoreCall, StorePut, StoreTxn},
};
use cuminbank_net::{client::HttpPool, runtime};
use cuminbank_platform::store::{decode_reply, encode_call};

use support::{
    build::DaemonBuild, instance_settings, loopback, ports::PortBlock, settings_path,
    start_standin, InstanceProcess, PoolShape, EXECUTORS, WAIT_LIMIT,
};

const ATTEMPTS: u32 = 100;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

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
