//! A small deployment on loopback: the store, executors, and instances of the job daemon as
//! separate processes.

use std::{
    fs,
    io::Write as _,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Gate},
    json::Json,
    obj,
    pool::{JobPlan, Pool, StepPlan, SERVICE},
    store::Store,
};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// Queue of the second service, of lower priority.
pub const OTHER_PREFIX: &str = "/pule252/";
pub const OTHER_SERVICE: &str = "desk";
/// How long clients wait for an answer.
pub const CLIENT_WAIT: Duration = Duration::from_millis(3_000);

pub struct Instance {
    pub name: String,
    pub client: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    child: Child,
}

pub struct Site {
    pub store: Store,
    pub pool: Pool,
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

/// Returns a free port below those that the system gives to outgoing connections.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = std::process::id() * 61 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (offset % 12_000) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("the socket is bound");
        }
    }
}

fn spawn(program: &str, settings: &PathBuf) -> Child {
    let log = fs::File::create(settings.with_extension("log")).expect("the folder is writable");
    let errors = log.try_clone().expect("the file is open");
    Command::new(program)
        .env("CUMINBANK_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program of the deploy file was built")
}

const PROGRAM: &str = "target/release/cuminbank-jobd";

impl Site {
    pub fn start(pool: Pool, instances: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let store = Store::start();
        let route = |name: &str, prefix: &str, priority: u64, service: &str| {
            obj! {
                "name" => name, "host" => HOST, "prefix" => prefix, "kind" => "unsafe",
                "timeout-ms" => 3_000u64, "target-latency-ms" => 1_000u64, "priority" => priority,
                "service" => service, "max-attempts" => 3u64, "stretch" => 2.0,
            }
        };
        let service = |name: &str| {
            obj! {
                "name" => name, "health-path" => "/health", "max-connections" => 64u64,
                "protocol" => "h1", "tls" => false, "rejects-overload" => true, "standby" => false,
            }
        };
        let config = obj! {
            "version" => 7u64,
            "routes" => vec![
                route("r-3hwrr6x", PREFIX, 0, SERVICE),
                route("r-9n73hh2", OTHER_PREFIX, 2, OTHER_SERVICE),
            ],
            "services" => vec![service(SERVICE), service(OTHER_SERVICE)],
            "limits" => obj! {
                "max-header-bytes" => 16_384u64, "max-body-bytes" => 262_144u64,
                "header-timeout-ms" => 3_000u64, "idle-timeout-ms" => 15_000u64,
            },
        };
        store.write("op/config", &config);
        let mut site = Site { store, pool, instances: Vec::new(), folder };
        for number in 1..=instances {
            site.add_instance(number);
        }
        site
    }

    fn add_instance(&mut self, number: usize) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let store_address = listener.local_addr().expect("the socket is bound");
        let store = self.store.clone();
        http::serve(listener, Gate::default(), move |request| store.handle(&request));
        let (client, readiness) = (free_port(), free_port());
        let name = format!("frontend-z{}-{number}", (number - 1) % 3 + 1);
        let settings = obj! {
            "instance" => name.clone(),
            "zone" => format!("z{}", (number - 1) % 3 + 1),
            "client_address" => client.to_string(),
            "readiness_address" => readiness.to_string(),
            "peer_address" => free_port().to_string(),
            "operator_address" => free_port().to_string(),
            "store_address" => store_address.to_string(),
            "max_lease_ms" => 6_000u64, "stop_timeout_ms" => 200u64, "grace_ms" => 6_000u64,
            "min_store_ttl_ms" => 1_000u64, "harm_ms" => 4_000u64, "config_apply_ms" => 2_000u64,
            "processor_share" => 0.25, "link_mbps" => 1_000.0, "retention_ms" => 120_000u64,
        };
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the temporary folder is writable");
        let child = spawn(PROGRAM, &path);
        self.instances.push(Instance { name, client, readiness, settings: path, child });
    }

    /// Waits until each instance reports that it is ready.
    pub fn wait_ready(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let ready = self.instances.iter().all(|instance| {
                let answer = http::call(
                    instance.readiness,
                    "GET",
                    HOST,
                    "/ready",
                    "",
                    Duration::from_millis(300),
                );
                answer.is_some_and(|(status, _)| status == 200)
            });
            if ready {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Hands a job in at an instance, as a client does that gets an answer.
    pub fn submit(&self, instance: usize, id: &str, plan: &JobPlan) -> Option<u16> {
        self.pool.plan_job(id, plan.clone());
        let answer = self.ask(instance, "POST", id, &self.body(id, plan));
        answer.map(|(status, _)| status)
    }

    /// Returns the body with which a client submits a job.
    pub fn body(&self, id: &str, plan: &JobPlan) -> String {
        let steps = plan.steps.iter().map(step_json).collect::<Vec<Json>>();
        obj! { "spec" => format!("work of {id}"), "steps" => steps }.to_string()
    }

    pub fn ask(
        &self,
        instance: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let client = self.instances[instance].client;
        let other = self.pool.lock().is_of_other_queue(id);
        let path = format!("{}{id}", if other { OTHER_PREFIX } else { PREFIX });
        let answer = http::call(client, method, HOST, &path, body, CLIENT_WAIT);
        let name = &self.instances[instance].name;
        let said = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.pool.note(&format!("client: {method} {path} at {name} -> {said}"));
        answer
    }

    /// Asks the process of an instance to stop, as the platform does.
    pub fn terminate(&self, instance: usize) {
        self.pool.note(&format!("{} gets SIGTERM", self.instances[instance].name));
        let id = self.instances[instance].child.id().to_string();
        let _ = Command::new("kill").arg("-TERM").arg(id).status();
    }

    /// Returns whether the process of an instance has ended.
    pub fn has_ended(&mut self, instance: usize) -> bool {
        matches!(self.instances[instance].child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self, instance: usize) {
        let name = self.instances[instance].name.clone();
        self.pool.note(&format!("{name} is killed"));
        let child = &mut self.instances[instance].child;
        let _ = child.kill();
        let _ = child.wait();
    }

    pub fn restart(&mut self, instance: usize) {
        let name = self.instances[instance].name.clone();
        self.pool.note(&format!("{name} starts again"));
        let settings = self.instances[instance].settings.clone();
        self.instances[instance].child = spawn(PROGRAM, &settings);
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            let _ = writeln!(std::io::stderr(), "kept {}", self.folder.display());
        }
    }
}

fn step_json(step: &StepPlan) -> Json {
    let mut fields = vec![
        ("count".to_owned(), Json::from(step.count)),
        ("cpu".to_owned(), step.cpu.into()),
        ("mem-mb".to_owned(), step.mem_mb.max(100).into()),
        ("estimate-ms".to_owned(), step.work_ms.into()),
    ];
    let mut flag = |name: &str, value: bool| {
        if value {
            fields.push((name.to_owned(), true.into()));
        }
    };
    flag("gang", step.gang);
    flag("checkpointing", step.saves);
    flag("long-running", step.lasts);
    flag("fills", step.fills);
    if !step.image.is_empty() {
        fields.push(("image".to_owned(), step.image.as_str().into()));
    }
    if !step.after.is_empty() {
        let after = step.after.iter().map(|number| Json::from(*number)).collect::<Vec<Json>>();
        fields.push(("after".to_owned(), after.into()));
    }
    Json::Obj(fields)
}
