//! A small deployment on loopback: the project's daemons, as the deploy file starts them, beside
//! stand-ins of the store and the executors in this process.

use std::{
    env, fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    executor::{Executor, Record},
    http::{call, CallAnswer, Server},
    json::quote,
    store::Store,
};

/// Command of the deploy file, and the variable with the path of the settings file.
const PROGRAM: &str = "target/release/cuminbank-jobd";
const SETTINGS_VARIABLE: &str = "CUMINBANK_NODE_FILE";

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// How long clients wait.
pub const CLIENT_WAIT: Duration = Duration::from_secs(3);

/// Processes that were started, for the end of a case that takes too long.
static PROCESSES: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_processes() {
    for process in PROCESSES.lock().unwrap().iter() {
        let mut process = process.lock().unwrap();
        let _ = process.kill();
        let _ = process.wait();
    }
}

pub struct Daemon {
    pub name: String,
    pub client: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    process: Option<Arc<Mutex<Child>>>,
}

pub struct World {
    pub record: Arc<Record>,
    pub executors: Vec<Arc<Executor>>,
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
    _server: Server,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound port")
}

impl Daemon {
    pub fn start(&mut self) {
        let output = match env::var_os("REVIEW_LOGS") {
            Some(folder) => {
                let path = PathBuf::from(folder).join(format!("{}.log", self.name));
                let file = fs::OpenOptions::new().create(true).append(true).open(path);
                file.map_or_else(|_| Stdio::null(), Stdio::from)
            }
            None => Stdio::null(),
        };
        let mut command = Command::new(PROGRAM);
        command.env_clear().env(SETTINGS_VARIABLE, &self.settings);
        command.stdin(Stdio::null()).stdout(output).stderr(Stdio::null());
        let process = command.spawn().expect("the program of the deploy file is built");
        let process = Arc::new(Mutex::new(process));
        PROCESSES.lock().unwrap().push(process.clone());
        self.process = Some(process);
    }

    pub fn kill(&mut self) {
        if let Some(process) = self.process.take() {
            let mut process = process.lock().unwrap();
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer =
            call(self.readiness, ("GET", "ready", "/ready"), "", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl World {
    pub fn start(daemons: usize, executors: usize, cpu: u64) -> World {
        let record = Record::new();
        let store = Arc::new(Store::default());
        let route = |name: &str, prefix: &str, priority: u32, target: u32| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"unsafe\",\
                 \"timeout-ms\":3000,\"target-latency-ms\":{target},\"priority\":{priority},\
                 \"service\":\"{SERVICE}\",\"max-attempts\":3,\"stretch\":2.0}}"
            )
        };
        let config = format!(
            "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health-path\":\"/health\",\"max-connections\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"rejects-overload\":true,\"standby\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
             \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
            route("r-3hwrr6x", PREFIX, 0, 1_000)
        );
        store.write("op/config", &config);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let handler = store.clone();
        let server = Server::start(listener, move |request| handler.handle(&request));
        let server = server.expect("the store can be served");
        let racks = executors.div_ceil(6);
        let executors: Vec<Arc<Executor>> = (0..executors)
            .map(|number| Executor::new(number, (cpu, racks, &ZONES), SERVICE, &store, &record))
            .collect();
        let moving: Vec<Arc<Executor>> = executors.clone();
        thread::spawn(move || loop {
            moving.iter().for_each(|executor| executor.advance());
            thread::sleep(Duration::from_millis(10));
        });
        let folder = env::temp_dir().join(format!("cuminbank-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        let daemons = (0..daemons)
            .map(|number| {
                let zone = ZONES[number % ZONES.len()];
                let name = format!("frontend-{zone}-{}", number / ZONES.len() + 1);
                let (client, readiness) = (free_address(), free_address());
                // The fields of the template of the settings.
                let settings = format!(
                    "{{\"instance\":{},\"zone\":{},\"client_address\":\"{client}\",\
                     \"readiness_address\":\"{readiness}\",\"peer_address\":\"{}\",\
                     \"operator_address\":\"{}\",\"store_address\":\"{address}\",\
                     \"max_lease_ms\":6000,\"stop_timeout_ms\":200,\"grace_ms\":6000,\
                     \"min_store_ttl_ms\":1000,\"harm_ms\":4000,\"config_apply_ms\":2000,\
                     \"processor_share\":0.25,\"link_mbps\":1000.0,\"adaptive_division\":true,\
                     \"admission\":true,\"step_spread\":true,\"task_reservations\":true,\
                     \"calm_placement\":true,\"memory_mb\":260,\"retention_ms\":120000}}",
                    quote(&name),
                    quote(zone),
                    free_address(),
                    free_address(),
                );
                let path = folder.join(format!("{name}.json"));
                fs::write(&path, settings).expect("the temporary folder can be written");
                let mut daemon =
                    Daemon { name, client, readiness, settings: path, process: None };
                daemon.start();
                daemon
            })
            .collect();
        World { record, executors, daemons, folder, _server: server }
    }

    /// Waits until all daemons are ready and a job has run.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.daemons.iter().all(Daemon::is_ready) {
                thread::sleep(Duration::from_secs(3));
                let body = job("cpu=1000 ms=200", &[(1, 1_000, 200)]);
                let id = "00000000000000a0";
                if !matches!(self.submit(id, &body), Some((200, _))) {
                    return false;
                }
                return self.wait_for_state(id, "completed", Duration::from_secs(10));
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Hands a job in, with up to four retries at the other daemons.
    pub fn submit(&self, id: &str, body: &str) -> CallAnswer {
        let mut last = None;
        for attempt in 0..5 {
            let hash = id.bytes().fold(attempt, |sum, byte| sum * 31 + usize::from(byte));
            let daemon = &self.daemons[hash % self.daemons.len()];
            last = self.ask(daemon, "POST", id, body);
            match &last {
                Some((503 | 429, _)) => thread::sleep(Duration::from_millis(1_000)),
                Some((502 | 504, _)) | None => thread::sleep(Duration::from_millis(200)),
                Some(_) => return last,
            }
        }
        last
    }

    pub fn ask(&self, daemon: &Daemon, method: &str, id: &str, body: &str) -> CallAnswer {
        let sent = self.record.now();
        let answer = call(daemon.client, (method, HOST, &format!("{PREFIX}{id}")), body, CLIENT_WAIT);
        let took = self.record.now().saturating_sub(sent).as_millis();
        let text = match &answer {
            Some((status, text)) => format!("{status} {text}"),
            None => "no answer".to_owned(),
        };
        self.record.note(format!("{} {method} {id} -> {text} ({took} ms)", daemon.name));
        answer
    }

    pub fn wait_for_state(&self, id: &str, state: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let wanted = format!("\"{state}\"");
        for daemon in self.daemons.iter().cycle() {
            let answer = self.ask(daemon, "GET", id, "");
            if answer.is_some_and(|(status, text)| status == 200 && text.contains(&wanted)) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::kill);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a job with steps that follow each other, given by count, processor need and estimate.
pub fn job(spec: &str, steps: &[(u32, u64, u64)]) -> String {
    let steps: Vec<String> = steps
        .iter()
        .enumerate()
        .map(|(number, (count, cpu, estimate))| {
            let after =
                if number > 0 { format!(",\"after\":[{}]", number - 1) } else { String::new() };
            format!("{{\"count\":{count},\"cpu\":{cpu},\"mem-mb\":256,\"estimate-ms\":{estimate}{after}}}")
        })
        .collect();
    format!("{{\"spec\":{},\"steps\":[{}]}}", quote(spec), steps.join(","))
}
