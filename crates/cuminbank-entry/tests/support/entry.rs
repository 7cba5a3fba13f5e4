//! Entry daemon as a child process of the test.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{kill, Signal},
    unistd::Pid,
};
use serde_json::{json, Value};

use super::{
    http::{get, get_within},
    platform::Platform,
    ports::{self, PortBlock},
    wait_for_some,
};

/// Index of the first port of the entry instances in the block; each instance has two.
const FIRST_PORT: usize = 20;

/// Timeout of the request that shows whether an instance answers on a new connection.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// State of a closed socket in `/proc/net/tcp`.
const TIME_WAIT: &str = "06";
/// Number of log lines in the message of a failed test.
const LAST_LOG_LINES: usize = 20;

/// Returns the settings of entry instance `index` of `count`.
pub fn settings(
    ports: &PortBlock,
    platform: &Platform,
    [index, count]: [usize; 2],
    groups: u16,
) -> Value {
    let http = |index: usize| ports.address(FIRST_PORT + 2 * index);
    let peer = |index: usize| ports.address(FIRST_PORT + 2 * index + 1);
    let peers: Vec<_> = (0..count).map(peer).collect();
    json!({
        "instance": format!("dublin-{index}"), "zone": "dublin",
        "http_address": http(index), "peer_address": peer(index),
        "store_addresses": [platform.store], "list_address": platform.list,
        "peers": { "dublin": peers }, "groups_per_zone": groups, "request_read_ms": 1_000,
    })
}

/// Writes a file in the target folder whose name starts with the process id and ends with `name`.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let file = format!("{}-{name}", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    fs::write(&path, text).expect("the target folder is writable");
    path
}

/// Running entry daemon, which is killed on drop.
pub struct EntryProcess {
    pub name: String,
    pub http: SocketAddr,
    pub peer: SocketAddr,
    child: Child,
    files: Vec<PathBuf>,
}

impl EntryProcess {
    /// Starts a daemon with `settings`; its log goes to a file.
    pub fn start(settings: &Value) -> Self {
        let text = |name: &str| settings[name].as_str().expect("the field is text").to_owned();
        let address =
            |name: &str| -> SocketAddr { text(name).parse().expect("the address is valid") };
        let (http, peer) = (address("http_address"), address("peer_address"));
        let path = write_file(&format!("{}.json", http.port()), &settings.to_string());
        let log = path.with_extension("log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_cuminbank-entry"));
        command
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).expect("the target folder is writable"));
        let child = ports::spawn(&mut command).expect("the daemon was built with the test");
        Self { name: text("instance"), http, peer, child, files: vec![path, log] }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).expect("the process has not been waited for");
    }

    /// Describes for the message of a failed test what the process does: whether it runs, answers on a
    /// new connection, has unread input on its sockets, and what it logged last.
    pub fn describe_activity(&self) -> String {
        let read = |name: &str| {
            let path = format!("/proc/{}/{name}", self.child.id());
            fs::read_to_string(&path).unwrap_or_else(|error| format!("{path}: {error}"))
        };
        let status = read("status");
        let fields = ["State:", "Threads:", "SigPnd:", "ShdPnd:", "voluntary", "nonvoluntary"];
        let state = status.lines().filter(|line| fields.iter().any(|name| line.starts_with(name)));
        let state: Vec<_> = state.collect();
        let probe = get_within(PROBE_TIMEOUT, self.http, "/v1/status").map(|answer| answer.status);
        let sockets = read("net/tcp");
        let port = format!(":{:04X}", self.http.port());
        let is_shown = |line: &&str| {
            let fields: Vec<_> = line.split_whitespace().collect();
            fields.len() > 3 && fields[1].ends_with(&port) && fields[3] != TIME_WAIT
        };
        let sockets: Vec<_> = sockets.lines().filter(is_shown).collect();
        let log = self.files.last().map(fs::read_to_string);
        let log =
            log.map_or_else(String::new, |text| text.unwrap_or_else(|error| error.to_string()));
        let lines: Vec<_> = log.lines().collect();
        let last = lines[lines.len().saturating_sub(LAST_LOG_LINES)..].join("\n");
        format!(
            "process: {state:?}\nwaits in: {}\nnew connection: {probe:?}\nsockets of the HTTP port: \
             {sockets:#?}\nlog:\n{last}",
            read("wchan")
        )
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the process is a child of the test").is_some()
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        wait_for_some("the entry instance ends", || {
            self.child.try_wait().expect("the process is a child of the test")
        })
    }

    /// Returns the status document of the instance, or null if it does not answer.
    pub fn status(&self) -> Value {
        get(self.http, "/v1/status").map_or(Value::Null, |answer| answer.body)
    }

    /// Returns the owner of each group as known to the instance.
    pub fn owners(&self) -> Vec<Option<String>> {
        let status = self.status();
        let groups = status["groups"]["groups"].as_array().cloned().unwrap_or_default();
        groups.iter().map(|group| group["owner"].as_str().map(str::to_owned)).collect()
    }

    /// Returns the epoch of a group if the instance owns it and has the authority to act for it.
    pub fn owns(&self, group: usize) -> Option<u64> {
        let status = self.status();
        let group = &status["groups"]["groups"][group];
        let acts = group["owner"] == self.name.as_str() && group["right_left_ms"].is_number();
        acts.then(|| group["epoch"].as_u64()).flatten()
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // Keeps the files of a failed test for analysis.
        if !std::thread::panicking() {
            self.files.iter().for_each(|file| {
                let _ = fs::remove_file(file);
            });
        }
    }
}
