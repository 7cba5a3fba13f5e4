//! Starts the job daemon as the deploy file does, and calls it as clients do.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};

pub const HOST: &str = "plans.example";
pub const STATUS_S: u64 = 120;

pub struct Instance {
    pub client: SocketAddr,
    pub readiness: SocketAddr,
    operator: SocketAddr,
    child: Child,
}

pub struct Deployment {
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

/// Returns free ports of 127.0.0.1.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let open: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free")).collect();
    open.iter().map(|listener| listener.local_addr().expect("it is bound")).collect()
}

impl Deployment {
    pub fn start(program: &str, count: usize, store: SocketAddr) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut deployment = Self { instances: Vec::new(), folder };
        for _ in 0..count {
            deployment.add(program, store)?;
        }
        let begun = Instant::now();
        for number in 0..count {
            while call(deployment.instances[number].readiness, "GET", "/ready", None).0 != 200 {
                if begun.elapsed() > Duration::from_secs(20) {
                    return Err("an instance is not ready".to_owned());
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(deployment)
    }

    /// Starts one more instance.
    pub fn add(&mut self, program: &str, store: SocketAddr) -> Result<(), String> {
        let number = self.instances.len();
        let ports = free_ports(4);
        let settings = json!({
            "instance": format!("frontend-{number}"), "zone": "z1",
            "client_address": ports[0], "readiness_address": ports[1],
            "peer_address": ports[2], "operator_address": ports[3],
            "store_address": store, "max_lease_ms": 6_000, "stop_timeout_ms": 200,
            "grace_ms": 6_000, "min_store_ttl_ms": 1_000, "harm_ms": 4_000,
            "config_apply_ms": 2_000, "processor_share": 0.25, "link_mbps": 1000.0,
            "retention_ms": STATUS_S * 1_000,
        });
        let path = self.folder.join(format!("{number}.json"));
        fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
        let log = fs::File::create(self.folder.join(format!("{number}.log")))
            .map_err(|error| error.to_string())?;
        let child = Command::new(program)
            .env("CUMINBANK_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        self.instances.push(Instance {
            client: ports[0],
            readiness: ports[1],
            operator: ports[3],
            child,
        });
        Ok(())
    }

    /// Returns the memory that a process has in use, in MB; 0 once it has ended.
    pub fn memory_mb(&self, number: usize) -> u64 {
        let id = self.instances[number].child.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let size = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        size.unwrap_or_default() / 1_024
    }

    /// Starts a process again, at the same addresses.
    pub fn restart(&mut self, number: usize, program: &str) -> Result<(), String> {
        let path = self.folder.join(format!("{number}.json"));
        self.instances[number].child = Command::new(program)
            .env("CUMINBANK_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        Ok(())
    }

    /// Returns the number of the instance that owns the pool.
    pub fn owner(&self) -> Option<usize> {
        self.instances.iter().position(|instance| {
            call(instance.operator, "GET", "/v1/status", None).1["owns_pool"] == json!(true)
        })
    }

    pub fn kill(&mut self, number: usize) {
        let _ = self.instances[number].child.kill();
        let _ = self.instances[number].child.wait();
    }

    /// Stops and continues a process.
    pub fn signal(&self, number: usize, name: &str) {
        let id = self.instances[number].child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for number in 0..self.instances.len() {
            self.kill(number);
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends a request as a client does; status 0 without a response.
pub fn call(address: SocketAddr, method: &str, path: &str, body: Option<&Value>) -> (u16, Value) {
    exchange(address, method, path, body).unwrap_or((0, Value::Null))
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let text = body.map(Value::to_string).unwrap_or_default();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         Cuminbank-Deadline-Ms: 3000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{text}",
        text.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|count| *count > 0)?;
        if header.trim().is_empty() {
            break;
        }
        if let Some((name, text)) = header.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = text.trim().parse().ok()?;
            }
        }
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).ok()?;
    Some((status, serde_json::from_slice(&bytes).unwrap_or_default()))
}
