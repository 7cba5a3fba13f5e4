//! Clients that send more than the daemon reads or do not read its answers, and measurements of the
//! memory that its process holds for them.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex, PoisonError,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use cuminbank_net::process_memory::ProcessMemory;

/// Bytes that a client writes at once.
const WRITE_BYTES: usize = 64 * 1024;
/// Most bytes that a client sends.
const MAX_SENT_BYTES: usize = 1024 * 1024;
/// Interval between two rounds in which each client writes as much as the kernel takes.
const ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Rounds without a byte taken after which the clients stop sending.
const QUIET_ROUNDS: usize = 40;
/// Longest time for a connection to be opened. A crowd fills the queue of a listener.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Threads that open connections.
const OPENERS: usize = 40;
/// Longest time for which the clients send.
const MAX_FLOOD_TIME: Duration = Duration::from_secs(10);
/// Interval at which the memory is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Bytes that a client sends: `start` once, then `unit` until the kernel takes no more.
#[derive(Clone, Debug)]
pub struct FloodInput {
    start: Vec<u8>,
    unit: Vec<u8>,
}

impl FloodInput {
    /// Returns a complete request, followed by bytes that are no request.
    pub fn behind_request(request: &str) -> Self {
        Self { start: request.as_bytes().to_vec(), unit: vec![b'x'] }
    }

    /// Returns a request that is repeated without waiting for the answers.
    pub fn repeated_request(request: &str) -> Self {
        Self { start: Vec::new(), unit: request.as_bytes().to_vec() }
    }

    /// Returns complete messages of an instance that no build can decode.
    pub fn repeated_message(length: u32) -> Self {
        let mut message = length.to_be_bytes().to_vec();
        message.resize(message.len() + length as usize, 0xff);
        Self { start: Vec::new(), unit: message }
    }
}

/// Client of a flood with its connection.
struct FloodClient {
    stream: TcpStream,
    block: Vec<u8>,
    /// Bytes of the start, and then of the repeated block, that were sent.
    sent: usize,
    start: Vec<u8>,
    ended: bool,
}

impl FloodClient {
    fn open(address: SocketAddr, input: &FloodInput) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        let block = input.unit.repeat(WRITE_BYTES.div_ceil(input.unit.len()));
        Some(Self { stream, block, sent: 0, start: input.start.clone(), ended: false })
    }

    /// Writes as much as the kernel takes. Returns whether it took anything.
    fn write(&mut self) -> bool {
        let before = self.sent;
        while !self.ended && self.sent < MAX_SENT_BYTES {
            let rest = match self.sent.checked_sub(self.start.len()) {
                None => &self.start[self.sent..],
                Some(sent) => &self.block[sent % self.block.len()..],
            };
            match self.stream.write(rest) {
                Ok(0) => self.ended = true,
                Ok(count) => self.sent += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The daemon may close such a connection.
                Err(_) => self.ended = true,
            }
        }
        self.sent > before
    }
}

/// Connections of clients that have sent as much as the kernel took. They stay open, and unread, until
/// the value is dropped.
pub struct Flood(#[expect(dead_code, reason = "keeps the connections open")] Vec<FloodClient>);

impl Flood {
    /// Sends inputs to their addresses by `clients` clients, which take the inputs in turn.
    pub fn send(inputs: &[(SocketAddr, FloodInput)], clients: usize) -> Self {
        let (next, opened) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
        let open = || loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            if index >= clients {
                return;
            }
            let (address, input) = &inputs[index % inputs.len()];
            let client = FloodClient::open(*address, input);
            opened.lock().unwrap_or_else(PoisonError::into_inner).extend(client);
        };
        thread::scope(|scope| {
            (0..OPENERS.min(clients)).for_each(|_| {
                scope.spawn(open);
            });
        });
        let mut clients = opened.into_inner().unwrap_or_else(PoisonError::into_inner);
        let (started, mut quiet) = (Instant::now(), 0);
        while quiet < QUIET_ROUNDS && started.elapsed() < MAX_FLOOD_TIME {
            let mut taken = false;
            for client in &mut clients {
                taken |= client.write();
            }
            quiet = if taken { 0 } else { quiet + 1 };
            thread::sleep(ROUND_INTERVAL);
        }
        Self(clients)
    }
}

/// Sends a request a byte at a time, until the value is dropped or the daemon closes the connection.
pub struct TricklingClients {
    stop: Arc<AtomicBool>,
    sender: Option<JoinHandle<()>>,
}

impl TricklingClients {
    /// Opens `count` connections for each address and begins to send on them.
    pub fn start(addresses: &[SocketAddr], count: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let addresses: Vec<_> =
            addresses.iter().copied().cycle().take(count * addresses.len()).collect();
        let sender = thread::spawn(move || {
            let mut streams: Vec<Option<TcpStream>> = addresses.iter().map(|_| None).collect();
            while !stopped.load(Ordering::Relaxed) {
                for (stream, address) in streams.iter_mut().zip(&addresses) {
                    *stream = match stream.take() {
                        Some(open) => trickle(open),
                        None => TcpStream::connect(address).ok().and_then(trickle),
                    };
                }
                thread::sleep(ROUND_INTERVAL);
            }
        });
        Self { stop, sender: Some(sender) }
    }
}

/// Sends one more byte; `None` if the daemon has closed the connection.
fn trickle(mut stream: TcpStream) -> Option<TcpStream> {
    stream.set_nonblocking(true).ok()?;
    match stream.read(&mut [0; 512]) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        _ => return None,
    }
    stream.write_all(b"a").ok()?;
    Some(stream)
}

impl Drop for TricklingClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(sender) = self.sender.take() {
            // A panic of the sender shows on its own.
            let _ = sender.join();
        }
    }
}

/// Watch over what a process holds.
pub struct MemoryWatch {
    stop: Arc<AtomicBool>,
    sampler: Option<JoinHandle<ProcessPeak>>,
}

/// Highest values of a process.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessPeak {
    /// Memory at the moment of the highest total.
    memory: ProcessMemory,
    descriptors: usize,
}

impl MemoryWatch {
    /// Begins to read the memory and the descriptors of a process.
    pub fn start(pid: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let sampler = thread::spawn(move || {
            let mut peak = ProcessPeak::default();
            while !stopped.load(Ordering::Relaxed) {
                // Tests check on their own that the process has not ended.
                let Ok(memory) = ProcessMemory::read(pid) else { break };
                peak.descriptors = peak.descriptors.max(memory.descriptors);
                if memory.total() > peak.memory.total() {
                    peak.memory = memory;
                }
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { stop, sampler: Some(sampler) }
    }

    /// Checks that the process has never held more than `memory_mb` of memory, nor had more than
    /// `descriptors` open at a time.
    pub fn assert_bounded(mut self, memory_mb: u64, descriptors: usize) {
        self.stop.store(true, Ordering::Relaxed);
        let sampler = self.sampler.take().expect("the watch is stopped once");
        let peak = sampler.join().expect("the sampler does not panic");
        println!("peak {:?}, {} descriptors", peak.memory, peak.descriptors);
        let total = peak.memory.total();
        assert!(total <= memory_mb * 1_000_000, "{:?} with {memory_mb} MB", peak.memory);
        assert!(
            peak.descriptors <= descriptors,
            "{} descriptors, allowed are {descriptors}",
            peak.descriptors
        );
    }
}
