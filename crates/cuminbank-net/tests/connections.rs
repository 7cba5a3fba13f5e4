//! Tests of the HTTP client and server over raw TCP connections.

use std::{
    cell::Cell,
    future::pending,
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use cuminbank::event::ExchangeError;
use cuminbank_net::{
    client::{ClientRequest, HttpPool},
    runtime,
    server::{self, ServerAction, ServerGate, ServerLimits, ServerRequest, ServerResponse},
};
use monoio::time;

/// Timeout of a wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(20);

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < MAX_WAIT, "{what}");
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// Starts a server that answers `/echo` with the body of the request and `/never` not at all.
/// `dropped` counts the handlers that were cancelled.
fn spawn_server(limits: ServerLimits, gate: &ServerGate, dropped: &Rc<Cell<u32>>) -> SocketAddr {
    spawn_counting_server(limits, gate, dropped, &Rc::default())
}

/// Like [`spawn_server`], and counts in `started` the handlers that were started.
fn spawn_counting_server(
    limits: ServerLimits,
    gate: &ServerGate,
    dropped: &Rc<Cell<u32>>,
    started: &Rc<Cell<u32>>,
) -> SocketAddr {
    struct DropCount(Rc<Cell<u32>>);
    impl Drop for DropCount {
        fn drop(&mut self) {
            self.0.set(self.0.get() + 1);
        }
    }
    let listener = runtime::listen(([127, 0, 0, 1], 0).into()).expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    let (dropped, started) = (Rc::clone(dropped), Rc::clone(started));
    let handler = move |request: ServerRequest| {
        started.set(started.get() + 1);
        let guard = DropCount(Rc::clone(&dropped));
        async move {
            if request.path == "/never" {
                pending::<()>().await;
            }
            std::mem::forget(guard);
            ServerAction::Respond(ServerResponse::new_json(200, request.body))
        }
    };
    monoio::spawn(server::serve(listener, limits, gate.clone(), handler));
    address
}

/// Sends bytes from a separate thread and returns everything received until the end of the stream.
async fn exchange(address: SocketAddr, parts: Vec<Vec<u8>>) -> String {
    let thread = thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("the server listens");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("the timeout is not zero");
        for part in parts {
            stream.write_all(&part).expect("the server reads everything that is sent");
            thread::sleep(Duration::from_millis(20));
        }
        let mut text = Vec::new();
        stream.read_to_end(&mut text).expect("the connection is closed after the answer");
        String::from_utf8_lossy(&text).into_owned()
    });
    wait_until("no answer came", || thread.is_finished()).await;
    thread.join().expect("the connection was not reset")
}

/// Guards against abandoned work that still reaches a target: the bytes of a timed-out request that
/// are in the send buffer of the kernel must not be sent later.
#[test]
fn timed_out_exchange_sends_no_leftover_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    let body = vec![b'x'; 32 * 1024 * 1024];
    let length = body.len();
    let outcome = runtime::run(async {
        let request = ClientRequest::new_post("/v1/run", body);
        HttpPool::new().exchange(address, request, Duration::from_millis(300)).await
    });
    assert_eq!(outcome.map(|_| ()), Err(ExchangeError::Lost));
    let (mut stream, _) = listener.accept().expect("the client has connected");
    let mut received = Vec::new();
    let end = stream.read_to_end(&mut received);
    let reset = end.map_err(|error| error.kind()) == Err(ErrorKind::ConnectionReset);
    assert!(reset, "{} of {length} bytes came, then a plain close", received.len());
}

/// Guards against calls that stay queued after their caller has disconnected, and against a
/// pipelined request that is mistaken for a disconnect.
#[test]
fn handler_is_dropped_when_the_caller_has_gone() {
    runtime::run(async {
        let limits = ServerLimits { cancels_on_disconnect: true, ..ServerLimits::default() };
        let (gate, dropped) = (ServerGate::default(), Rc::new(Cell::new(0)));
        let started = Rc::new(Cell::new(0));
        let address = spawn_counting_server(limits, &gate, &dropped, &started);
        let mut stream = TcpStream::connect(address).expect("the server listens");
        let request = b"GET /never HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(&request.repeat(2)).expect("the connection is open");
        wait_until("the request was not read", || gate.requests() == 1).await;
        time::sleep(Duration::from_millis(200)).await;
        assert_eq!(
            (gate.requests(), dropped.get()),
            (1, 0),
            "the handler of a connected caller was dropped"
        );
        drop(stream);
        let mut stream = TcpStream::connect(address).expect("the server listens");
        stream.write_all(request).expect("the connection is open");
        // The first handler may be dropped before the second starts, so the test cannot wait for
        // both to be active.
        wait_until("the request was not read", || started.get() == 2).await;
        stream.shutdown(Shutdown::Both).expect("the connection is open");
        wait_until("the handler still runs", || dropped.get() >= 1).await;
    });
}

/// Guards against a caller that holds a connection with a head or a body that never ends, and
/// against lost pipelined requests.
#[test]
fn slow_requests_time_out_and_pipelined_ones_are_answered() {
    runtime::run(async {
        let read_timeout = Duration::from_millis(300);
        let limits = ServerLimits { read_timeout, ..ServerLimits::default() };
        let address = spawn_server(limits, &ServerGate::default(), &Rc::default());
        let head = b"POST /echo HTTP/1.1\r\nhost: x\r\n".to_vec();
        let answer = exchange(address, vec![head.clone()]).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "a slow head: {answer:?}");
        let body = b"content-length: 10\r\n\r\n12345".to_vec();
        let answer = exchange(address, vec![head, body]).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "a slow body: {answer:?}");
        let request = |body, close| {
            format!("POST /echo HTTP/1.1\r\ncontent-length: 3\r\n{close}\r\n{body}").into_bytes()
        };
        let pair = [request("one", ""), request("two", "connection: close\r\n")].concat();
        let answer = exchange(address, vec![pair]).await;
        let found =
            (answer.matches("HTTP/1.1 200").count(), answer.find("one") < answer.find("two"));
        assert_eq!(found, (2, true), "{answer:?}");
    });
}

/// Guards against losing the answer to a reset while the caller is still sending a large body.
#[test]
fn oversized_body_gets_its_answer() {
    runtime::run(async {
        let limits = ServerLimits { max_body_bytes: 1_000, ..ServerLimits::default() };
        let address = spawn_server(limits, &ServerGate::default(), &Rc::default());
        let declared = b"POST /echo HTTP/1.1\r\ncontent-length: 4000000\r\n\r\n".to_vec();
        let answer = exchange(address, vec![declared, vec![b'x'; 4_000_000]]).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer:?}");
        let chunked =
            b"POST /echo HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3d0900\r\n".to_vec();
        let answer = exchange(address, vec![chunked, vec![b'x'; 4_000_000]]).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer:?}");
    });
}

/// Guards against a planned stop that drops a request whose first bytes have arrived or whose
/// connection is not yet accepted, and against one that keeps accepting connections.
#[test]
fn closing_gate_answers_what_has_arrived() {
    runtime::run(async {
        let gate = ServerGate::default();
        let address = spawn_server(ServerLimits::default(), &gate, &Rc::default());
        let mut begun = TcpStream::connect(address).expect("the server listens");
        begun.write_all(b"POST /echo HTTP/1.1\r\ncon").expect("the connection is open");
        wait_until("nothing was accepted", || gate.connections() == 1).await;
        let mut waiting = TcpStream::connect(address).expect("the server listens");
        waiting.write_all(b"GET /echo HTTP/1.1\r\n\r\n").expect("the connection is open");
        gate.close();
        wait_until("the request was not answered", || gate.connections() == 1).await;
        begun.write_all(b"tent-length: 2\r\n\r\nok").expect("the connection is open");
        wait_until("the connections are not closed", || gate.connections() == 0).await;
        for mut stream in [waiting, begun] {
            let mut answer = String::new();
            stream.read_to_string(&mut answer).expect("the answer is complete");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
            assert!(answer.to_lowercase().contains("connection: close"), "{answer:?}");
        }
        wait_until("the server still accepts connections", || TcpStream::connect(address).is_err())
            .await;
    });
}

fn status_of(text: &str) -> &str {
    text.split(' ').nth(1).unwrap_or_default()
}

/// Sends raw text as a request; returns the status and whether there was a second response.
async fn send_raw(text: String) -> (String, bool) {
    let (gate, dropped) = (ServerGate::default(), Rc::new(Cell::new(0)));
    let address = spawn_server(ServerLimits::default(), &gate, &dropped);
    let answer = exchange(address, vec![text.into_bytes()]).await;
    (status_of(&answer).to_owned(), answer.matches("HTTP/1.1").count() > 1)
}

/// Guards against request smuggling: a request hidden in the body of another, past a load balancer.
#[test]
fn conflicting_lengths_are_refused() {
    runtime::run(async {
        let hidden = "GET /echo HTTP/1.1\r\nhost: t\r\n\r\n";
        for lengths in [
            "content-length: 2\r\ncontent-length: 0",
            "content-length: 2, 0",
            "content-length: 2\r\ntransfer-encoding: chunked",
            "transfer-encoding: chunked\r\ncontent-length: 2",
        ] {
            let text = format!("POST /echo HTTP/1.1\r\nhost: t\r\n{lengths}\r\n\r\n{{}}{hidden}");
            assert_eq!(send_raw(text).await, ("400".to_owned(), false), "{lengths}");
        }
        // Two equal lengths are no conflict.
        let same = "content-length: 2\r\ncontent-length: 2\r\nconnection: close";
        let text = format!("POST /echo HTTP/1.1\r\nhost: t\r\n{same}\r\n\r\n{{}}");
        assert_eq!(send_raw(text).await.0, "200");
    });
}

/// Guards against reading a head of unlimited size.
#[test]
fn large_head_is_refused() {
    runtime::run(async {
        let filler = "x".repeat(1024 * 1024);
        let text = format!("GET /echo HTTP/1.1\r\nhost: t\r\nx-filler: {filler}\r\n\r\n");
        assert_eq!(send_raw(text).await.0, "431");
    });
}
