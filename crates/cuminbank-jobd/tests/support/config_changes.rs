//! Changes the configuration under faults, and checks that no instance answers by an older version.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Mutex,
    },
    thread,
    time::Duration,
};

use super::{call, CONFIG_APPLY, QUEUE_PREFIX};

/// Pause between two rounds of requests under the same version.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
/// Rounds of requests under each version.
const ROUNDS: usize = 12;

/// Answers by an older version, and the number of requests answered by the version in force.
#[derive(Debug, Default)]
pub struct ConfigRecord {
    pub violations: Vec<String>,
    pub current: usize,
}

/// Puts one version after the other in force until `stop` is set. Each adds a queue and removes that
/// of the one before. Once a version has been acknowledged for longer than a change may take, asks
/// every instance for both. An instance may refuse for the time being or not answer at all.
pub fn change_configuration(
    store: SocketAddr,
    clients: &[SocketAddr],
    record: &Mutex<ConfigRecord>,
    stop: &AtomicBool,
) {
    for version in 2_u64.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let queues = format!("{QUEUE_PREFIX},/q{version}/");
        let path = format!("/standin/config?version={version}&prefixes={queues}");
        call(store, "GET", &path, "").expect("the stand-in replies");
        thread::sleep(CONFIG_APPLY);
        for round in 0..ROUNDS {
            thread::scope(|scope| {
                for client in clients {
                    scope.spawn(move || check_answers(*client, version, round, record));
                }
            });
            thread::sleep(ROUND_PAUSE);
        }
    }
}

/// Checks that an instance knows the queue of a version and not the one before.
fn check_answers(client: SocketAddr, version: u64, round: usize, record: &Mutex<ConfigRecord>) {
    let added = call(client, "GET", &format!("/q{version}/"), "");
    let job = r#"{"spec":"p","steps":[{"count":1,"cpu":100,"mem-mb":10}]}"#;
    let removed = format!("/q{}/{:016x}", version - 1, (version << 8) + round as u64);
    let removed = call(client, "POST", &removed, job);
    let mut record = record.lock().expect("no thread has panicked with the lock");
    for (what, answer, outdated, current) in
        [("added", added, 404, 200), ("removed", removed, 200, 404)]
    {
        match answer.map(|(status, _)| status) {
            Some(status) if status == outdated => {
                let violation = format!("{client}: {status} for the queue {what} by {version}");
                record.violations.push(violation);
            }
            Some(status) if status == current => record.current += 1,
            _ => {}
        }
    }
}
