//! Tests of the port allocation of the process tests.

#[path = "support/ports.rs"]
mod ports;

use std::{
    net::TcpListener,
    process::{Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use ports::PortBlock;

const SPAWNING_THREADS: usize = 4;
const BLOCKS: usize = 200;

// Guards against a child of another test that starts while a block is probed: it inherits the
// sockets of the probe and keeps their ports in use until it runs its program.
#[test]
fn free_ports_stay_free_while_processes_start() {
    let done = AtomicBool::new(false);
    let spawn_processes = || {
        while !done.load(Ordering::Relaxed) {
            let mut command = Command::new("true");
            command.stdin(Stdio::null()).stdout(Stdio::null());
            let mut child = ports::spawn(&mut command).expect("the program exists");
            child.wait().expect("the process is a child of the test");
        }
    };
    let taken = thread::scope(|scope| {
        (0..SPAWNING_THREADS).for_each(|_| drop(scope.spawn(spawn_processes)));
        let taken = (0..BLOCKS).filter(|_| {
            let block = PortBlock::take();
            TcpListener::bind(block.address(39)).is_err()
        });
        let taken = taken.count();
        done.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "ports of {taken} of {BLOCKS} blocks were in use after the probe");
}
