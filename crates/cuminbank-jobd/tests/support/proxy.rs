//! Loopback TCP proxy that can delay, block or reset connections.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, AtomicU8, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// Interval at which a connection checks the state of its link.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of a slow link per chunk of bytes.
const SLOW_DELAY: Duration = Duration::from_millis(300);

/// How a link treats the bytes of existing and new connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum LinkMode {
    /// Forwards them.
    Pass,
    /// Forwards them with a delay.
    Slow,
    /// Holds them back in both directions until the mode changes.
    Silent,
    /// Forwards requests and holds back responses.
    AnswersHeld,
}

#[derive(Debug, Default)]
struct LinkState {
    mode: AtomicU8,
    /// Number of resets. Connections opened before the latest one are closed.
    resets: AtomicU64,
    /// Number of blackholes. Connections opened before the latest one stay open and forward
    /// nothing.
    blackholes: AtomicU64,
}

impl LinkState {
    fn mode(&self) -> LinkMode {
        match self.mode.load(Ordering::Relaxed) {
            1 => LinkMode::Slow,
            2 => LinkMode::Silent,
            3 => LinkMode::AnswersHeld,
            _ => LinkMode::Pass,
        }
    }
}

/// Link with a proxy that injects faults.
#[derive(Clone, Debug)]
pub struct FaultLink {
    state: Arc<LinkState>,
}

impl FaultLink {
    /// Starts a proxy that listens on an address and connects each client to the target.
    pub fn start(listens: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listens).expect("the port of the proxy is free");
        let state = Arc::new(LinkState::default());
        let link = Self { state: Arc::clone(&state) };
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                connect(client, server, &state);
            }
        });
        link
    }

    /// Sets the mode of existing and new connections.
    pub fn set(&self, mode: LinkMode) {
        self.state.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Closes all existing connections.
    pub fn reset(&self) {
        self.state.resets.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops forwarding on all existing connections for good, without closing them. New ones work.
    pub fn blackhole(&self) {
        self.state.blackholes.fetch_add(1, Ordering::Relaxed);
    }
}

/// One direction of a proxied connection.
struct ProxyDirection {
    from: TcpStream,
    to: TcpStream,
    answers: bool,
    state: Arc<LinkState>,
    resets: u64,
    blackholes: u64,
}

fn connect(client: TcpStream, server: TcpStream, state: &Arc<LinkState>) {
    let (resets, blackholes) =
        (state.resets.load(Ordering::Relaxed), state.blackholes.load(Ordering::Relaxed));
    let clones = (client.try_clone(), server.try_clone());
    let (Ok(client_clone), Ok(server_clone)) = clones else { return };
    for (from, to, answers) in [(client, server, false), (server_clone, client_clone, true)] {
        let path =
            ProxyDirection { from, to, answers, state: Arc::clone(state), resets, blackholes };
        thread::spawn(move || forward(path));
    }
}

/// Forwards bytes until either end closes the connection or the link is reset.
fn forward(mut path: ProxyDirection) {
    let _ = path.from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = path.to.set_nodelay(true);
    let mut buffer = vec![0; 64 * 1024];
    while path.state.resets.load(Ordering::Relaxed) == path.resets {
        let length = match path.from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        if path.state.mode() == LinkMode::Slow {
            thread::sleep(SLOW_DELAY);
        }
        while is_held(&path) && path.state.resets.load(Ordering::Relaxed) == path.resets {
            thread::sleep(POLL_INTERVAL);
        }
        let reset = path.state.resets.load(Ordering::Relaxed) != path.resets;
        if reset || path.to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    // Shutting down both sockets also ends the other direction.
    let _ = path.from.shutdown(Shutdown::Both);
    let _ = path.to.shutdown(Shutdown::Both);
}

fn is_held(path: &ProxyDirection) -> bool {
    let blackholed = path.state.blackholes.load(Ordering::Relaxed) != path.blackholes;
    blackholed
        || match path.state.mode() {
            LinkMode::Pass | LinkMode::Slow => false,
            LinkMode::Silent => true,
            LinkMode::AnswersHeld => path.answers,
        }
}
