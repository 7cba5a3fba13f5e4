//! Tests of the limit on connections to one address.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use cuminbank::event::ExchangeError;
use cuminbank_net::{
    client::{ClientRequest, HttpPool},
    runtime,
};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Connections that the server keeps open.
const SERVER_CONNECTIONS: usize = 64;

/// Starts a server that closes each connection over its limit.
fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    let open = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if open.fetch_add(1, Ordering::SeqCst) >= SERVER_CONNECTIONS {
                open.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let open = Arc::clone(&open);
            thread::spawn(move || {
                answer_requests(stream);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    address
}

fn answer_requests(mut stream: TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while stream.read_exact(&mut byte).is_ok() {
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").is_err() {
                return;
            }
        }
    }
}

// Guards against an executor that refuses the next owner: the owners before it are gone without
// closing their connections, and each of them had sent many orders at once.
#[test]
fn connections_of_lost_owners_leave_room_for_the_next_one() {
    const ORDERS: usize = 70;
    let address = serve();
    runtime::run(async {
        let mut lost = Vec::new();
        for owner in 0..16 {
            let pool = Rc::new(HttpPool::new().with_max_connections(4));
            let exchange = || {
                let pool = Rc::clone(&pool);
                let request = ClientRequest::new_get("/");
                monoio::spawn(async move { pool.exchange(address, request, TIMEOUT).await })
            };
            let exchanges: Vec<_> = (0..ORDERS).map(|_| exchange()).collect();
            for exchange in exchanges {
                let answer = exchange.await;
                assert!(answer.is_ok(), "owner {owner}: {answer:?}");
            }
            lost.push(pool);
        }
    });
}

// Guards against an order that counts as possibly carried out although it was never sent.
#[test]
fn exchange_that_only_waited_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    let outcomes = runtime::run(async {
        let pool = Rc::new(HttpPool::new().with_max_connections(1));
        let exchange = |timeout| {
            let pool = Rc::clone(&pool);
            let request = ClientRequest::new_get("/");
            monoio::spawn(async move { pool.exchange(address, request, timeout).await })
        };
        let first = exchange(Duration::from_millis(600));
        let second = exchange(Duration::from_millis(50));
        [second.await.map(|_| ()), first.await.map(|_| ())]
    });
    assert_eq!(outcomes, [Err(ExchangeError::NotSent), Err(ExchangeError::Lost)]);
}
