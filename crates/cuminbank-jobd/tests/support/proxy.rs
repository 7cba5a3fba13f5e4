//! Loopback proxy that delays, silences or resets what passes through it.

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

/// Interval at which a connection looks at the state of its link.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of a slow link for each piece.
const SLOW_DELAY: Duration = Duration::from_millis(300);

/// What a link does with the bytes of open and new connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum LinkMode {
    /// Passes them on.
    Pass,
    /// Passes them on late.
    Slow,
    /// Holds them both ways until the mode changes.
    Silent,
    /// Passes requests on and holds answers.
    AnswersHeld,
}

#[derive(Debug, Default)]
struct LinkState {
    mode: AtomicU8,
    /// Connections of an earlier generation are closed.
    resets: AtomicU64,
    /// Connections of an earlier generation pass nothing any more and stay open.
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

/// A link through a proxy.
#[derive(Clone, Debug)]
pub struct FaultLink {
    state: Arc<LinkState>,
}

impl FaultLink {
    /// Listens on an address and connects each connection with the target.
    pub fn start(listens: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listens).expect("the port is free");
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

    /// Sets what happens to bytes.
    pub fn set(&self, mode: LinkMode) {
        self.state.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.state.resets.fetch_add(1, Ordering::Relaxed);
    }

    /// Silences all open connections for good; new ones work.
    pub fn blackhole(&self) {
        self.state.blackholes.fetch_add(1, Ordering::Relaxed);
    }
}

/// One direction of a connection.
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

/// Passes bytes on until one end closes or the link is reset.
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
    // The other direction ends with the sockets.
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
