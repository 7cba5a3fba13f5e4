//! Runs daemons as child processes with the stand-in for the platform.

#![allow(dead_code, reason = "each test uses only some of the helpers")]

pub mod build;
pub mod config_changes;
#[path = "../../../cuminbank-entry/tests/support/crowd.rs"]
pub mod crowd;
#[path = "../../../cuminbank-entry/tests/support/flood.rs"]
pub mod flood;
pub mod history;
pub mod misbehaving;
#[path = "../../../cuminbank-entry/tests/support/ports.rs"]
pub mod ports;
pub mod proxy;
pub mod soak;

use std::{
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use cuminbank_net::runtime;
use cuminbank_platform_standin::server::{self, StandinSettings};
use nix::{
    sys::signal::{kill, Signal},
    unistd::Pid,
};
use serde_json::{json, Value};

use self::{build::DaemonBuild, ports::PortBlock, proxy::FaultLink};

/// Time limit for a condition to become true.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Number of executors of the stand-in.
pub const EXECUTORS: u16 = 4;
/// Path prefix of the only queue.
pub const QUEUE_PREFIX: &str = "/p/";
/// Timeout of a request on a persistent connection.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a request for the status of an instance that may be paused.
const STATUS_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time until a change of the configuration takes effect, in the settings of the instances.
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Grace period of a planned stop in the settings of the instances, in milliseconds.
pub const GRACE_MS: u64 = 6_000;
/// Number of ports of an instance.
const INSTANCE_PORTS: u16 = 4;

/// Process of an instance, killed when the value is dropped.
pub struct InstanceProcess {
    path: PathBuf,
    settings: Value,
    build: DaemonBuild,
    child: Child,
}

/// Starts a build with those of the settings that it knows.
fn spawn(build: &DaemonBuild, path: &PathBuf, settings: &Value, output: Stdio) -> Child {
    let text = build.select_settings(settings).to_string();
    fs::write(path, text).expect("the temporary directory is writable");
    let mut command = Command::new(build.program());
    command.arg("--settings").arg(path).stdout(output);
    ports::spawn(&mut command).expect("the daemon binary starts")
}

impl InstanceProcess {
    pub fn start(build: DaemonBuild, path: PathBuf, settings: Value, output: Stdio) -> Self {
        let child = spawn(&build, &path, &settings, output);
        Self { path, settings, build, child }
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process was started here");
        self.child.wait().expect("the process was started here");
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the standard output of the process, if it was started with a pipe.
    pub fn take_output(&mut self) -> ChildStdout {
        self.child.stdout.take().expect("the standard output is a pipe")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).expect("the process has not been reaped");
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the process was started here").is_some()
    }

    /// Starts the process again with the same build and settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.build, &self.path, &self.settings, Stdio::null());
    }

    /// Starts a build in place of the process, which has exited.
    pub fn start_build(&mut self, build: &DaemonBuild, output: Stdio) {
        self.build = build.clone();
        self.child = spawn(build, &self.path, &self.settings, output);
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        // The process may already have exited, which is not an error.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-in for the platform with instances of the daemon.
pub struct Deployment {
    pub store: SocketAddr,
    pub clients: Vec<SocketAddr>,
    pub operators: Vec<SocketAddr>,
    pub instances: Vec<InstanceProcess>,
    /// Proxies between each instance and the store, if enabled.
    pub store_links: Vec<FaultLink>,
    /// Proxies between all instances and each executor, if enabled.
    pub executor_links: Vec<FaultLink>,
    _ports: PortBlock,
}

pub fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Number of cells of the pool and bandwidth of the instances.
#[derive(Clone, Copy, Debug)]
pub struct PoolShape {
    pub cells: u16,
    /// Bandwidth in the settings of the instances, in Mbit/s. Below 25, owners relay their starts.
    pub link_mbps: f64,
    /// Whether the instances admit jobs by the room of the pool.
    pub admission: bool,
    /// Whether the division follows from the instances, and waiting jobs move between cells.
    pub adaptive_division: bool,
}

impl Default for PoolShape {
    fn default() -> Self {
        Self { cells: 1, link_mbps: 1_000.0, admission: false, adaptive_division: false }
    }
}

impl Deployment {
    /// Starts instances that connect to the platform directly, with the default pool.
    pub fn start(count: u16, task_ms: u64, output: impl Fn() -> Stdio) -> Self {
        Self::build(
            &DaemonBuild::current(),
            count,
            task_ms,
            |_| output(),
            false,
            PoolShape::default(),
            &json!({}),
        )
    }

    /// Starts an instance that connects to the platform directly, with `changes` to its settings.
    pub fn start_with_settings(task_ms: u64, changes: &Value) -> Self {
        let (build, shape) = (DaemonBuild::current(), PoolShape::default());
        Self::build(&build, 1, task_ms, |_| Stdio::null(), false, shape, changes)
    }

    /// Starts instances that connect to the platform directly, with a pool of the given shape.
    pub fn start_with_shape(count: u16, task_ms: u64, shape: PoolShape) -> Self {
        let (build, output) = (DaemonBuild::current(), |_| Stdio::null());
        Self::build(&build, count, task_ms, output, false, shape, &json!({}))
    }

    /// Starts instances that connect to the store and the executors through proxies.
    pub fn start_with_proxies(count: u16, task_ms: u64, shape: PoolShape) -> Self {
        Self::start_with_proxies_and_settings(count, task_ms, shape, &json!({}))
    }

    /// Starts instances like [`Self::start_with_proxies`], with `changes` to their settings.
    pub fn start_with_proxies_and_settings(
        count: u16,
        task_ms: u64,
        shape: PoolShape,
        changes: &Value,
    ) -> Self {
        let output = |_| Stdio::null();
        Self::build(&DaemonBuild::current(), count, task_ms, output, true, shape, changes)
    }

    /// Starts instances of a build that connect to the store and the executors through proxies.
    /// `output` gets the number of the instance.
    pub fn start_build(
        build: &DaemonBuild,
        count: u16,
        task_ms: u64,
        output: impl Fn(u16) -> Stdio,
        shape: PoolShape,
    ) -> Self {
        Self::build(build, count, task_ms, output, true, shape, &json!({}))
    }

    fn build(
        build: &DaemonBuild,
        count: u16,
        task_ms: u64,
        output: impl Fn(u16) -> Stdio,
        proxied: bool,
        shape: PoolShape,
        changes: &Value,
    ) -> Self {
        // Ports, in order: the store, the executors, the proxies to both, and the instances.
        let proxies = if proxied { EXECUTORS + count } else { 0 };
        let ports = PortBlock::take();
        let first = ports.port(1);
        let store = loopback(first);
        start_standin(store, task_ms, if proxied { EXECUTORS } else { 0 });
        let mut deployment = Self {
            store,
            clients: Vec::new(),
            operators: Vec::new(),
            instances: Vec::new(),
            store_links: Vec::new(),
            executor_links: Vec::new(),
            _ports: ports,
        };
        if proxied {
            let executors = first + 1..=first + EXECUTORS;
            let link = |port| FaultLink::start(loopback(port + EXECUTORS), loopback(port));
            deployment.executor_links = executors.map(link).collect();
        }
        for number in 0..count {
            let mut store_address = store;
            if proxied {
                store_address = loopback(first + 1 + EXECUTORS * 2 + number);
                deployment.store_links.push(FaultLink::start(store_address, store));
            }
            let port = first + 1 + EXECUTORS + proxies + number * INSTANCE_PORTS;
            let mut settings = instance_settings(number, port, store_address, shape);
            for (name, value) in changes.as_object().into_iter().flatten() {
                settings[name] = value.clone();
            }
            let path = settings_path(port);
            deployment.clients.push(loopback(port));
            deployment.operators.push(loopback(port + 3));
            let process = InstanceProcess::start(build.clone(), path, settings, output(number));
            deployment.instances.push(process);
        }
        deployment.wait("a cell has no owner", |deployment| {
            deployment.owner().is_some() && deployment.owned_cells() == usize::from(shape.cells)
        });
        deployment
    }

    /// Returns the number of an instance that owns a cell and has the configuration.
    pub fn owner(&self) -> Option<usize> {
        self.operators.iter().position(|operator| {
            let status = call(*operator, "GET", "/v1/status", "");
            status.is_some_and(|(_, body)| {
                body["owns_pool"] == json!(true) && body["config_version"] == json!(1)
            })
        })
    }

    /// Returns the numbers of the instances that own a cell, of those that reply at once.
    pub fn live_owners(&self) -> Vec<usize> {
        let owns = |operator: &SocketAddr| {
            let stream = connect(*operator, STATUS_TIMEOUT)?;
            let (_, _, body) = exchange_on(stream, "GET", "/v1/status", "").ok()?;
            let status: Value = serde_json::from_slice(&body).ok()?;
            Some(status["owns_pool"] == json!(true))
        };
        let owners = self.operators.iter().enumerate();
        owners.filter(|(_, operator)| owns(operator) == Some(true)).map(|(n, _)| n).collect()
    }

    /// Returns the number of cells with an owner, as known to the first instance that replies.
    pub fn owned_cells(&self) -> usize {
        let status =
            self.operators.iter().find_map(|operator| call(*operator, "GET", "/v1/status", ""));
        let cells = status.and_then(|(_, body)| body["cells"].as_array().cloned());
        let owned = |cell: &&Value| !cell["owner"].is_null();
        cells.map_or(0, |cells| cells.iter().filter(owned).count())
    }

    /// Waits for a condition. Panics with `what` after [`WAIT_LIMIT`].
    pub fn wait(&self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        let started = Instant::now();
        while !condition(self) {
            assert!(started.elapsed() < WAIT_LIMIT, "{what}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Submits a job to all instances in turn until one accepts it.
    pub fn submit(&self, id: u64, job: &Value) {
        let path = format!("{QUEUE_PREFIX}{id:016x}");
        self.wait(&format!("no instance accepts job {id:x}"), |deployment| {
            deployment.clients.iter().any(|client| {
                let answer = call(*client, "POST", &path, &job.to_string());
                answer.is_some_and(|(status, _)| status == 200)
            })
        });
    }

    pub fn is_completed(&self, id: u64) -> bool {
        let path = format!("{QUEUE_PREFIX}{id:016x}");
        self.clients.iter().any(|client| {
            let answer = call(*client, "GET", &path, "");
            answer.is_some_and(|(_, body)| body["state"] == json!("completed"))
        })
    }

    /// Returns the names of all tasks that executors have started, in order.
    pub fn starts(&self) -> Vec<String> {
        let answer = call(self.store, "GET", "/standin/starts", "");
        let (_, body) = answer.expect("the stand-in replies");
        serde_json::from_value(body).expect("the starts are a list of names")
    }
}

/// Starts the stand-in for the platform. It ends with the test process.
pub fn start_standin(store: SocketAddr, task_ms: u64, entry_offset: u16) {
    let settings = StandinSettings {
        store,
        executors: EXECUTORS,
        task_time: Duration::from_millis(task_ms),
        prefix: QUEUE_PREFIX.to_owned(),
        entry_offset,
    };
    thread::spawn(move || {
        runtime::run(server::run(settings)).expect("the ports of the stand-in are free")
    });
}

/// Returns the settings of an instance that listens on `port` and the following ones.
pub fn instance_settings(number: u16, port: u16, store: SocketAddr, shape: PoolShape) -> Value {
    json!({
        "instance": format!("i{number}"), "zone": "z",
        "client_address": loopback(port), "readiness_address": loopback(port + 1),
        "peer_address": loopback(port + 2), "operator_address": loopback(port + 3),
        "store_address": store, "max_lease_ms": 6_000, "stop_timeout_ms": 200,
        "grace_ms": GRACE_MS, "min_store_ttl_ms": 1_000, "harm_ms": 4_000,
        "config_apply_ms": CONFIG_APPLY.as_millis() as u64, "evacuate_ms": 5_000,
        "processor_share": 1.0, "link_mbps": shape.link_mbps, "cells": shape.cells,
        "retention_ms": 120_000, "admission": shape.admission,
        "adaptive_division": shape.adaptive_division,
    })
}

/// Returns the path of the settings of the instance on `port`.
pub fn settings_path(port: u16) -> PathBuf {
    std::env::temp_dir().join(format!("cuminbank-jobd-{port}.json"))
}

/// Sends a request on a new connection. Returns the status and the JSON body of the response.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
    let stream = connect(address, Duration::from_secs(5))?;
    let (_, status, body) = exchange_on(stream, method, path, body).ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or_default()))
}

/// Returns the body of a page as text.
pub fn read_text(address: SocketAddr, path: &str) -> Option<String> {
    let stream = connect(address, Duration::from_secs(5))?;
    let (_, _, body) = exchange_on(stream, "GET", path, "").ok()?;
    String::from_utf8(body).ok()
}

fn connect(address: SocketAddr, deadline: Duration) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(deadline)).ok()?;
    Some(BufReader::new(stream))
}

/// Client connection that is reused until it fails.
pub struct PersistentConnection {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl PersistentConnection {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Sends a request and returns the status and the JSON body of the response. A connection that
    /// has failed is not reused.
    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<(u16, Value), ExchangeFailure> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => connect(self.address, CLIENT_TIMEOUT).ok_or(ExchangeFailure::NotConnected)?,
        };
        let exchange = exchange_on(stream, method, path, body);
        let (stream, status, body) = exchange.map_err(|error| match error.kind() {
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => ExchangeFailure::TimedOut,
            _ => ExchangeFailure::Broken,
        })?;
        self.stream = Some(stream);
        Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
    }
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeFailure {
    NotConnected,
    /// The connection ended before the whole response.
    Broken,
    TimedOut,
}

fn exchange_on(
    mut stream: BufReader<TcpStream>,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(BufReader<TcpStream>, u16, Vec<u8>)> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: plans.example\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.get_mut().write_all(format!("{head}{body}").as_bytes())?;
    let mut line = String::new();
    stream.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let mut length = 0;
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let header = line.trim().to_ascii_lowercase();
        if let Some(value) = header.strip_prefix("content-length: ") {
            length = value.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        }
        if header.is_empty() {
            break;
        }
    }
    let mut answer = vec![0; length];
    stream.read_exact(&mut answer)?;
    Ok((stream, status, answer))
}
