//! Tests of the division of the memory, and of what the kernel holds for a connection.

use std::{
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use cuminbank_net::{
    client::{ClientRequest, HttpPool},
    memory_plan::MemoryPlan,
    process_memory::ProcessMemory,
    runtime,
};
use monoio::time;

static TURN: Mutex<()> = Mutex::new(());

/// Waits until no other test of this process has sockets that count.
fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Guards against parts that exceed the memory when all of them are used.
#[test]
fn parts_add_up_to_no_more_than_the_memory() {
    for memory_mb in (48..2_000).chain([4_096, 65_536, 1_048_576]) {
        let plan = MemoryPlan::new(memory_mb);
        assert!(plan.total() <= plan.memory, "{} bytes of {plan:?}", plan.total());
    }
}

/// Guards against a kernel that holds more for a listener and its connections than the plan says.
#[test]
fn sockets_of_a_listener_hold_no_more_than_planned() {
    let _turn = take_turn();
    let plan = MemoryPlan::new(48);
    let listen = |address: SocketAddr| {
        runtime::listen_bounded(address, plan.client_backlog, plan.socket_buffer)
    };
    let before = ProcessMemory::read_own().expect("the kernel provides it");
    let listener = runtime::run(async { listen(([127, 0, 0, 1], 0).into()) });
    let listener = listener.expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    let mut streams = Vec::new();
    for _ in 0..plan.client_backlog {
        let stream = TcpStream::connect(address).expect("the queue is not full");
        stream.set_nonblocking(true).expect("the socket is open");
        streams.push(stream);
    }
    for _ in 0..20 {
        for stream in &mut streams {
            match stream.write(&[0; 64 * 1024]) {
                Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
                Ok(count) => assert!(count > 0),
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    // Clients and server share this process; only bytes of the server are received.
    let held = ProcessMemory::read_own().expect("the kernel provides it");
    let received = held.received - before.received;
    assert!(received > 0, "the kernel counts what waits in the queue of a listener");
    assert!(received as usize <= plan.backlog_bytes(), "{received} bytes with {plan:?}");
}

/// Guards against the far end of a connection of ours that sends without end.
#[test]
fn unread_bytes_of_own_connections_are_bounded() {
    /// Connections with a far end that floods them.
    const CONNECTIONS: usize = 20;
    /// Stated in `docs/design/memory.md`: twice the size that the buffer is set to, and the window that
    /// the kernel has offered before.
    const MAX_HELD_BYTES: u64 = 2 * 32 * 1024 + 64 * 1024;
    let _turn = take_turn();
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                // Ends when the client closes the connection.
                let _ = stream.write_all(answer);
                while stream.write_all(&[b'x'; 64 * 1024]).is_ok() {}
            });
        }
    });
    runtime::run(async {
        let before = ProcessMemory::read_own().expect("the kernel provides it");
        let pools: Vec<_> = (0..CONNECTIONS).map(|_| HttpPool::new()).collect();
        for pool in &pools {
            let timeout = Duration::from_secs(10);
            let answer = pool.exchange(address, ClientRequest::new_get("/"), timeout).await;
            assert_eq!(answer.map(|answer| answer.status), Ok(200));
        }
        time::sleep(Duration::from_millis(300)).await;
        let held = ProcessMemory::read_own().expect("the kernel provides it");
        let received = held.received - before.received;
        assert!(received <= MAX_HELD_BYTES * CONNECTIONS as u64, "{received} bytes");
    });
}
