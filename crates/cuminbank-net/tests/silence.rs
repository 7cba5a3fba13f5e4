//! Tests of connection pools whose connections go silent without being closed.

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

use cuminbank_net::{
    client::{ClientRequest, HttpPool},
    peer::PeerPool,
    runtime,
};

/// Timeout of an exchange on a connection that answers.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of an exchange that may be on a silent connection.
const SHORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Numbers of connections that go silent at the same time.
const SILENT_CONNECTIONS: [usize; 4] = [1, 2, 3, 9];

/// Server that answers the first requests only once a number of connections has sent one.
struct SilenceServer {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    /// Number of the first connection that is answered.
    first_heard: Arc<AtomicUsize>,
}

impl SilenceServer {
    /// Starts a server that reads requests with `read_request`, which returns false at the end of
    /// the connection, and answers them with `reply`.
    fn new(
        connections: usize,
        read_request: fn(&mut TcpStream) -> bool,
        reply: &'static [u8],
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("the socket is bound");
        let accepted = Arc::new(AtomicUsize::new(0));
        let first_heard = Arc::new(AtomicUsize::new(0));
        let server = Self { address, accepted, first_heard };
        let (accepted, first_heard) =
            (Arc::clone(&server.accepted), Arc::clone(&server.first_heard));
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let number = accepted.fetch_add(1, Ordering::SeqCst);
                let (accepted, first_heard) = (Arc::clone(&accepted), Arc::clone(&first_heard));
                thread::spawn(move || {
                    while read_request(&mut stream) {
                        while accepted.load(Ordering::SeqCst) < connections {
                            thread::sleep(Duration::from_millis(1));
                        }
                        let heard = number >= first_heard.load(Ordering::SeqCst);
                        if heard && stream.write_all(reply).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        server
    }

    /// Stops answering on the connections that have been accepted.
    fn silence(&self) {
        self.first_heard.store(self.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

fn read_http(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read_exact(&mut byte).is_err() {
            return false;
        }
        head.push(byte[0]);
    }
    true
}

/// Reads a message with a length prefix of 4 bytes.
fn read_message(stream: &mut TcpStream) -> bool {
    let mut prefix = [0; 4];
    if stream.read_exact(&mut prefix).is_err() {
        return false;
    }
    let mut body = vec![0; u32::from_be_bytes(prefix) as usize];
    stream.read_exact(&mut body).is_ok()
}

/// Opens `count` connections, silences them, and returns how many of the next exchanges fail before
/// one is answered. `exchange` returns whether it was answered in time.
async fn failures_after_silence<F>(
    server: &SilenceServer,
    count: usize,
    exchange: impl Fn(Duration) -> F,
) -> usize
where
    F: std::future::Future<Output = bool> + 'static,
{
    let first: Vec<_> = (0..count).map(|_| monoio::spawn(exchange(TIMEOUT))).collect();
    for exchange in first {
        assert!(exchange.await, "an exchange failed before the silence");
    }
    server.silence();
    let mut failures = 0;
    while !exchange(SHORT_TIMEOUT).await {
        failures += 1;
    }
    failures
}

// Guards against retries that time out on one pooled connection after another, all of them silent,
// while a new connection would be answered.
#[test]
fn silent_idle_connections_cost_one_timeout() {
    for count in SILENT_CONNECTIONS {
        let server =
            SilenceServer::new(count, read_http, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
        let failures = runtime::run(async {
            let (pool, address) = (Rc::new(HttpPool::new()), server.address);
            let exchange = |timeout| {
                let pool = Rc::clone(&pool);
                async move { pool.exchange(address, ClientRequest::new_get("/"), timeout).await.is_ok() }
            };
            failures_after_silence(&server, count, exchange).await
        });
        assert_eq!(failures, 1, "{count} silent connections");
    }
}

// Guards against the same retries between instances.
#[test]
fn silent_idle_connections_of_a_peer_cost_one_timeout() {
    for count in SILENT_CONNECTIONS {
        let server = SilenceServer::new(count, read_message, &[0, 0, 0, 1, 7]);
        let failures = runtime::run(async {
            let (pool, address) = (Rc::new(PeerPool::new()), server.address);
            let exchange = |timeout| {
                let pool = Rc::clone(&pool);
                async move { pool.exchange::<u32, u32>(address, &1, timeout).await == Ok(7) }
            };
            failures_after_silence(&server, count, exchange).await
        });
        assert_eq!(failures, 1, "{count} silent connections");
    }
}
