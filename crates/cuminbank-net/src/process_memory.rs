//! Memory of a process as the platform counts it: resident pages, and the bytes that its sockets hold.

use std::{
    collections::{BTreeSet, HashSet},
    io,
};

use procfs::{
    net::{self, TcpNetEntry, TcpState},
    process::{FDTarget, Process},
    ProcError,
};

/// Memory of a process at one moment, in bytes.
///
/// Connections that the process has not accepted yet have no descriptor. They are counted by the port
/// on which they arrived.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessMemory {
    /// Resident pages.
    pub resident: u64,
    /// Bytes that sockets have received and the process has not read.
    pub received: u64,
    /// Bytes that the process has written and the other side has not acknowledged.
    pub unsent: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ProcessMemory {
    /// Reads the memory of the calling process.
    ///
    /// Fails if the kernel does not provide it.
    pub fn read_own() -> io::Result<Self> {
        Self::read_process(Process::myself())
    }

    /// Reads the memory of a process.
    ///
    /// Fails if the process does not exist, or belongs to another user.
    pub fn read(pid: u32) -> io::Result<Self> {
        Self::read_process(Process::new(pid.cast_signed()))
    }

    /// Returns the bytes that count towards the memory of the machine.
    pub fn total(&self) -> u64 {
        self.resident + self.received + self.unsent
    }

    fn read_process(process: Result<Process, ProcError>) -> io::Result<Self> {
        let process = process.map_err(io::Error::other)?;
        let pages = process.statm().map_err(io::Error::other)?.resident;
        let mut memory = Self { resident: pages * procfs::page_size(), ..Self::default() };
        let mut sockets = HashSet::new();
        for descriptor in process.fd().map_err(io::Error::other)?.flatten() {
            memory.descriptors += 1;
            if let FDTarget::Socket(inode) = descriptor.target {
                sockets.insert(inode);
            }
        }
        let entries = net::tcp().map_err(io::Error::other)?;
        let is_listener = |entry: &&TcpNetEntry| {
            entry.state == TcpState::Listen && sockets.contains(&entry.inode)
        };
        let ports: BTreeSet<u16> =
            entries.iter().filter(is_listener).map(|entry| entry.local_address.port()).collect();
        // The queue of a listener is a number of connections, which are listed on their own.
        let connections = entries.iter().filter(|entry| entry.state != TcpState::Listen);
        for entry in connections {
            let is_pending = entry.inode == 0 && ports.contains(&entry.local_address.port());
            if is_pending || sockets.contains(&entry.inode) {
                memory.received += u64::from(entry.rx_queue);
                memory.unsent += u64::from(entry.tx_queue);
            }
        }
        Ok(memory)
    }
}
