//! Clients that hold memory of a daemon without finishing their request, and measurements of its
//! process.

use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Bytes that a client writes at once.
const WRITE_BYTES: usize = 64 * 1024;
/// Longest time that a write of a client waits for the daemon to read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections that a client opens in turn, if the daemon closes them before everything is sent.
const MAX_ATTEMPTS: usize = 3;
/// Interval at which descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Threads that send for a crowd.
const SENDERS: usize = 40;

static TURN: Mutex<()> = Mutex::new(());

/// Waits until no other test with a crowd runs in this process. Such tests use much memory.
pub fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes that a client sends: `start` once, then `unit` `count` times. The request has no end.
#[derive(Clone, Debug)]
pub struct UnfinishedInput {
    pub start: Vec<u8>,
    pub unit: Vec<u8>,
    pub count: usize,
}

impl UnfinishedInput {
    /// Returns a request whose head announces `announced` bytes of body, of which `sent` are sent.
    pub fn whole_body(path: &str, announced: usize, sent: usize) -> Self {
        let head = format!("POST {path} HTTP/1.1\r\n{HEADERS}content-length: {announced}\r\n\r\n");
        Self { start: head.into_bytes(), unit: vec![b' '], count: sent }
    }

    /// Returns a request with `count` chunks of `size` bytes, without the last chunk.
    pub fn chunked_body(path: &str, size: usize, count: usize) -> Self {
        let head = format!("POST {path} HTTP/1.1\r\n{HEADERS}transfer-encoding: chunked\r\n\r\n");
        let chunk = format!("{size:x}\r\n{}\r\n", " ".repeat(size));
        Self { start: head.into_bytes(), unit: chunk.into_bytes(), count }
    }

    /// Returns a head of `size` bytes that does not end.
    pub fn head(size: usize) -> Self {
        let header = format!("x-long: {}\r\n", "a".repeat(990));
        let count = size / header.len();
        let start = b"GET /v1/status HTTP/1.1\r\n".to_vec();
        Self { start, unit: header.into_bytes(), count }
    }

    /// Returns a message of an instance that announces `announced` bytes, of which `sent` are sent.
    pub fn peer_message(announced: u32, sent: usize) -> Self {
        Self { start: announced.to_be_bytes().to_vec(), unit: vec![0], count: sent }
    }

    /// Sends the input; `None` if the daemon closes the connection before that.
    fn send(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
        stream.write_all(&self.start).ok()?;
        let units_at_once = WRITE_BYTES.div_ceil(self.unit.len());
        let block = self.unit.repeat(units_at_once.min(self.count));
        let mut left = self.unit.len() * self.count;
        while left > 0 {
            let size = left.min(block.len());
            stream.write_all(&block[..size]).ok()?;
            left -= size;
        }
        Some(stream)
    }
}

/// Headers that both daemons need.
const HEADERS: &str = "host: plans.example\r\nx-profile: plans\r\nx-customer: griddle\r\n";

/// Connections of clients that have sent their input, as far as the daemon took it. They stay open
/// until the value is dropped.
pub struct Crowd(#[expect(dead_code, reason = "keeps the connections open")] Vec<TcpStream>);

impl Crowd {
    /// Sends inputs to their addresses by `clients` clients, which take the inputs in turn.
    pub fn send(inputs: &[(SocketAddr, UnfinishedInput)], clients: usize) -> Self {
        let next = AtomicUsize::new(0);
        let streams = Mutex::new(Vec::new());
        let run = || loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            if index >= clients {
                return;
            }
            let (address, input) = &inputs[index % inputs.len()];
            let sent = (0..MAX_ATTEMPTS).find_map(|_| input.send(*address));
            streams.lock().unwrap_or_else(PoisonError::into_inner).extend(sent);
        };
        thread::scope(|scope| {
            (0..SENDERS.min(clients)).for_each(|_| {
                scope.spawn(run);
            });
        });
        Self(streams.into_inner().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Watch over the memory and the descriptors of a process.
pub struct ProcessWatch {
    pid: u32,
    stop: Arc<AtomicBool>,
    sampler: Option<JoinHandle<usize>>,
}

impl ProcessWatch {
    /// Begins to count the descriptors of a process.
    pub fn start(pid: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let sampler = thread::spawn(move || {
            let mut highest = 0;
            while !stopped.load(Ordering::Relaxed) {
                let count = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
                highest = highest.max(count);
                thread::sleep(SAMPLE_INTERVAL);
            }
            highest
        });
        Self { pid, stop, sampler: Some(sampler) }
    }

    /// Checks that the process has never used more than `memory_mb` of memory, nor had more than
    /// `descriptors` open at a time.
    pub fn assert_bounded(mut self, memory_mb: u64, descriptors: usize) {
        self.stop.store(true, Ordering::Relaxed);
        let sampler = self.sampler.take().expect("the watch is stopped once");
        let highest = sampler.join().expect("the sampler does not panic");
        let peak = read_peak(self.pid);
        println!("peak {} kB, {highest} descriptors", peak / 1_000);
        assert!(peak <= memory_mb * 1_000_000, "peak of {peak} bytes with {memory_mb} MB");
        assert!(highest <= descriptors, "{highest} descriptors, allowed are {descriptors}");
    }
}

/// Returns the highest resident memory of a process in bytes.
fn read_peak(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.expect("the status names the peak") * 1_024
}
