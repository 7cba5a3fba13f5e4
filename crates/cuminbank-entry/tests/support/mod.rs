//! Test fixture: entry daemons as child processes and the platform's stand-ins on a thread. Tests
//! wait for conditions, with a timeout that is not reached even on a busy machine.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

pub mod callers;
pub mod crowd;
pub mod entry;
pub mod flood;
pub mod http;
pub mod platform;
pub mod ports;
pub mod report;

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};

use self::{
    entry::EntryProcess,
    http::{get, post},
    platform::Platform,
    ports::PortBlock,
};

/// Timeout of a wait for a condition.
pub const MAX_WAIT: Duration = Duration::from_secs(90);
/// Pause between two checks of a condition.
const WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition holds; panics with `what` after [`MAX_WAIT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for_some(what, || condition().then_some(()));
}

/// Waits until a condition on an instance holds; panics after [`MAX_WAIT`] with `what`, the number of
/// tries and what the instance does then.
pub fn wait_for_instance(entry: &EntryProcess, what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    let mut tries = 0;
    while !condition() {
        tries += 1;
        if started.elapsed() >= MAX_WAIT {
            let found = entry.describe_activity();
            panic!("not reached within {MAX_WAIT:?}, {tries} tries: {what}\n{found}");
        }
        thread::sleep(WAIT_INTERVAL);
    }
}

/// Waits until `read` returns a value; panics with `what` after [`MAX_WAIT`].
pub fn wait_for_some<T>(what: &str, mut read: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = read() {
            return found;
        }
        assert!(started.elapsed() < MAX_WAIT, "not reached within {MAX_WAIT:?}: {what}");
        thread::sleep(WAIT_INTERVAL);
    }
}

/// Running zone: entry instances and the platform stand-ins.
pub struct Deployment {
    pub entries: Vec<EntryProcess>,
    pub platform: Platform,
    _ports: PortBlock,
}

impl Deployment {
    /// Starts a zone and waits until every group has an owner and each instance serves calls.
    pub fn start(entries: usize, machines: usize, groups: u16) -> Self {
        Self::start_with(entries, machines, groups, &json!({}))
    }

    /// Starts a zone like [`Self::start`], with `changes` to the settings of the instances.
    pub fn start_with(entries: usize, machines: usize, groups: u16, changes: &Value) -> Self {
        let (ports, platform) = start_platform(machines);
        let settings = |index| {
            let mut settings = entry::settings(&ports, &platform, [index, entries], groups);
            for (name, value) in changes.as_object().into_iter().flatten() {
                settings[name] = value.clone();
            }
            settings
        };
        let entries: Vec<_> =
            (0..entries).map(|index| EntryProcess::start(&settings(index))).collect();
        let deployment = Self { entries, platform, _ports: ports };
        for entry in &deployment.entries {
            wait_for("the entry instance is ready", || {
                get(entry.http, "/v1/ready").is_ok_and(|answer| answer.status == 200)
            });
        }
        deployment.wait_for_owners(|owners| owners.iter().all(|owner| owner.is_some()));
        for entry in &deployment.entries {
            wait_for("calls are served", || callers::warm_up(entry.http).is_done());
        }
        deployment
    }

    /// Waits until group 0 has an owner and returns the index of that instance.
    pub fn owner(&self) -> usize {
        wait_for_some("group 0 has an owner", || {
            self.entries.iter().position(|entry| entry.owns(0).is_some())
        })
    }

    fn wait_for_owners(&self, condition: impl Fn(&[Option<String>]) -> bool) {
        for entry in &self.entries {
            wait_for("the groups have their owners", || condition(&entry.owners()));
        }
    }
}

/// Starts the platform on a block of ports, and retries on another one if a port is in use by
/// then.
fn start_platform(machines: usize) -> (PortBlock, Platform) {
    let mut taken = Vec::new();
    wait_for_some("the platform finds free ports", || {
        let ports = PortBlock::take();
        let platform = Platform::start(&ports, machines);
        // Holds the failed block, so that the next attempt gets a different one.
        let Some(platform) = platform else {
            taken.push(ports);
            return None;
        };
        Some((ports, platform))
    })
}

/// Sets the fault mode of a stand-in, as a document of its control interface.
pub fn set_mode(stand_in: std::net::SocketAddr, mode: Value) {
    let answer = post(stand_in, "/control", &[], &mode).expect("the control answers");
    assert_eq!(answer.status, 200, "{mode}: {answer:?}");
}
