//! Free loopback ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// Ports in a block; the first is held to keep other tests off the block.
const BLOCK_SIZE: u16 = 40;
/// Blocks lie below the ports that the kernel gives to outgoing connections.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;

/// Consecutive free ports, held as long as this value.
pub struct PortBlock {
    first: u16,
    _held: TcpListener,
}

impl PortBlock {
    /// Takes a free block.
    pub fn take() -> Self {
        let blocks = u32::from((LAST_PORT - FIRST_PORT) / BLOCK_SIZE);
        // Processes begin at different blocks, so that few of them meet.
        let begin = std::process::id().wrapping_mul(7);
        (0..blocks)
            .map(|step| FIRST_PORT + ((begin.wrapping_add(step) % blocks) as u16) * BLOCK_SIZE)
            .find_map(Self::try_take)
            .expect("a block of ports is free")
    }

    fn try_take(first: u16) -> Option<Self> {
        let held = TcpListener::bind(loopback(first)).ok()?;
        let free = |port| {
            TcpListener::bind(loopback(port)).is_ok() && UdpSocket::bind(loopback(port)).is_ok()
        };
        (first + 1..first + BLOCK_SIZE).all(free).then_some(Self { first, _held: held })
    }

    /// Returns a port of the block; 0 is the one that is held.
    pub fn port(&self, index: usize) -> u16 {
        assert!((1..usize::from(BLOCK_SIZE)).contains(&index), "the block has {BLOCK_SIZE} ports");
        self.first + u16::try_from(index).expect("the block is small")
    }

    /// Returns the address of a port of the block.
    pub fn address(&self, index: usize) -> SocketAddr {
        loopback(self.port(index))
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
