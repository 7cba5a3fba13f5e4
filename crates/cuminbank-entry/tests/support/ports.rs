//! Allocation of free loopback ports for parallel tests.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    process::{Child, Command},
    sync::{PoisonError, RwLock},
};

/// Number of ports in a block. The first stays bound, which reserves the block against other tests.
const BLOCK_SIZE: u16 = 40;
/// Range of the blocks, below the ephemeral ports of the kernel.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;

/// Held for writing while a block is probed, for reading while a process starts. The new process holds
/// copies of all open sockets until it runs its program, and would keep probed ports in use.
static PROBE_LOCK: RwLock<()> = RwLock::new(());

/// Block of consecutive free ports, reserved as long as this value exists.
pub struct PortBlock {
    first: u16,
    _held: TcpListener,
}

impl PortBlock {
    /// Reserves a free block; panics if there is none.
    pub fn take() -> Self {
        let _probing = PROBE_LOCK.write().unwrap_or_else(PoisonError::into_inner);
        let blocks = u32::from((LAST_PORT - FIRST_PORT) / BLOCK_SIZE);
        // Each process starts its search at a different block, to reduce collisions.
        let begin = std::process::id().wrapping_mul(7);
        (0..blocks)
            .map(|step| FIRST_PORT + ((begin.wrapping_add(step) % blocks) as u16) * BLOCK_SIZE)
            .find_map(Self::try_take)
            .expect("a block of ports between 10000 and 32000 is free")
    }

    fn try_take(first: u16) -> Option<Self> {
        let held = TcpListener::bind(loopback(first)).ok()?;
        let free = |port| {
            TcpListener::bind(loopback(port)).is_ok() && UdpSocket::bind(loopback(port)).is_ok()
        };
        (first + 1..first + BLOCK_SIZE).all(free).then_some(Self { first, _held: held })
    }

    /// Returns a port of the block. Index 0 is the reserved one and not allowed.
    pub fn port(&self, index: usize) -> u16 {
        assert!(
            (1..usize::from(BLOCK_SIZE)).contains(&index),
            "port index {index} is not within 1 to {BLOCK_SIZE} - 1"
        );
        self.first + u16::try_from(index).expect("port indices fit into 16 bits")
    }

    /// Returns the address of a port of the block.
    pub fn address(&self, index: usize) -> SocketAddr {
        loopback(self.port(index))
    }
}

/// Starts a process, not while a block is probed. Fails if the program cannot be started.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _starting = PROBE_LOCK.read().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
