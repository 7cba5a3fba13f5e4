//! Tests of the bound on the memory and the number of all connections of a process, and of the
//! reading of bodies, over raw TCP connections.

use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use cuminbank::{event::ExchangeError, log::CONNECTIONS_BOUNDED};
use cuminbank_net::{
    budget_watch::BudgetWatch,
    client::{ClientRequest, HttpPool},
    input_budget::{BudgetLimits, InputBudget, PortKind},
    peer, runtime,
    server::{
        self, ServerAction, ServerBounds, ServerGate, ServerLimits, ServerRequest, ServerResponse,
    },
};
use monoio::time;

/// Timeout of a wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(20);
const UNFINISHED: &str = "POST /echo HTTP/1.1\r\ncontent-length: 300000\r\n\r\n";

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < MAX_WAIT, "{what}");
        time::sleep(Duration::from_millis(5)).await;
    }
}

fn small_limits() -> BudgetLimits {
    BudgetLimits {
        input_bytes: 400_000,
        handling_bytes: 800_000,
        answer_bytes: 500_000,
        message_bytes: 300_000,
        connections: 100,
    }
}

/// Starts a server that echoes bodies, but answers `/held` only once `released` is set and `/large`
/// with 8 MB.
fn spawn_server(bounds: ServerBounds, released: &Rc<RefCell<bool>>) -> SocketAddr {
    let listener = runtime::listen(([127, 0, 0, 1], 0).into()).expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    let released = Rc::clone(released);
    let handler = move |request: ServerRequest| {
        let released = Rc::clone(&released);
        async move {
            while request.path == "/held" && !*released.borrow() {
                time::sleep(Duration::from_millis(5)).await;
            }
            let response = match (request.oversized, request.path.as_str()) {
                (true, _) => ServerResponse::new_json(413, request.body),
                (false, "/large") => ServerResponse::new_json(200, vec![b'x'; 8_000_000]),
                _ => ServerResponse::new_json(200, request.body),
            };
            ServerAction::Respond(response)
        }
    };
    let (limits, gate) = (ServerLimits::default(), ServerGate::default());
    monoio::spawn(server::serve_within(listener, limits, bounds, gate, handler));
    address
}

fn spawn_echo(limits: BudgetLimits) -> (SocketAddr, InputBudget) {
    let budget = InputBudget::new(limits);
    (spawn_server(ServerBounds::new(&budget, PortKind::Clients), &Rc::default()), budget)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(MAX_WAIT)).expect("the timeout is not zero");
    stream
}

/// Reads until the end of the stream on a separate thread, also if the connection is reset then.
fn read_rest(mut stream: TcpStream) -> JoinHandle<String> {
    thread::spawn(move || {
        let mut text = Vec::new();
        let _ = stream.read_to_end(&mut text);
        String::from_utf8_lossy(&text).to_lowercase()
    })
}

/// Sends parts with a short pause after each, and returns everything received.
async fn exchange(address: SocketAddr, parts: Vec<Vec<u8>>) -> String {
    let sender = thread::spawn(move || {
        let mut stream = connect(address);
        for part in parts {
            // The server may have closed the connection.
            let _ = stream.write_all(&part);
            thread::sleep(Duration::from_millis(2));
        }
        read_rest(stream).join().expect("the reader does not panic")
    });
    wait_until("no answer came", || sender.is_finished()).await;
    sender.join().expect("the sender does not panic")
}

fn chunked(body: &str) -> String {
    format!("POST /echo HTTP/1.1\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n{body}")
}

fn whole(path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nconnection: close\r\ncontent-length: {length}");
    format!("{head}\r\n\r\n{body}").into_bytes()
}

/// Guards against a chunked body that is read differently depending on where the reads end.
#[test]
fn chunks_are_joined_wherever_reads_end() {
    runtime::run(async {
        let (address, budget) = spawn_echo(small_limits());
        let text = chunked("3\r\nabc\r\n1\r\n\r\r\n00a\r\n0123456789\r\n0\r\n\r\n").into_bytes();
        let start = text.len() - 40;
        for split in start..text.len() {
            let answer =
                exchange(address, vec![text[..split].to_vec(), text[split..].to_vec()]).await;
            assert!(answer.starts_with("http/1.1 200"), "split at {split}: {answer:?}");
            assert!(answer.ends_with("\r\n\r\nabc\r0123456789"), "split at {split}: {answer:?}");
        }
        wait_until("memory stays in use", || budget.counts().used == 0).await;
        wait_until("connections stay open", || budget.counts().connections == 0).await;
    });
}

/// Guards against malformed chunks that are taken for a body, whose end others may see elsewhere.
#[test]
fn malformed_chunks_are_refused() {
    runtime::run(async {
        let (address, _) = spawn_echo(small_limits());
        for (body, status) in [
            ("3;ext=1\r\nabc\r\n0\r\n\r\n", "400"),
            ("3\r\nabcd\r\n0\r\n\r\n", "400"),
            ("0\r\nx-trailer: 1\r\n\r\n", "400"),
            ("\r\n\r\n", "400"),
            ("+3\r\nabc\r\n0\r\n\r\n", "400"),
            ("3\nabc\n0\n\n", "400"),
            ("ffffffffffffffff\r\n", "413"),
            ("10000000000000000\r\n", "413"),
            ("400001\r\n", "413"),
        ] {
            let answer = exchange(address, vec![chunked(body).into_bytes()]).await;
            assert_eq!(answer.split(' ').nth(1), Some(status), "{body:?}: {answer:?}");
        }
    });
}

/// Guards against a bound under which the largest legal body is not served although nothing else
/// needs memory.
#[test]
fn largest_body_is_served_with_the_least_memory() {
    runtime::run(async {
        let (address, budget) = spawn_echo(BudgetLimits::for_memory(32));
        let size = ServerLimits::default().max_body_bytes;
        let body = "x".repeat(size);
        let answer = exchange(address, vec![whole("/echo", &body)]).await;
        assert!(answer.starts_with("http/1.1 200") && answer.ends_with(&body), "not echoed");
        let chunk = format!("{:x}\r\n{}\r\n", size / 64, "x".repeat(size / 64));
        let text = chunked(&format!("{}0\r\n\r\n", chunk.repeat(64)));
        let answer = exchange(address, vec![text.into_bytes()]).await;
        assert!(answer.starts_with("http/1.1 200") && answer.ends_with(&body), "not echoed");
        assert_eq!((budget.counts().cut, budget.counts().refused), (0, 0));
    });
}

/// Guards against a connection on which a large body is served once, but not again.
#[test]
fn large_bodies_on_one_connection_are_served() {
    runtime::run(async {
        let (address, budget) = spawn_echo(BudgetLimits::for_memory(160));
        let sender = thread::spawn(move || {
            let mut stream = connect(address);
            let body = "x".repeat(250_000);
            let head = format!("POST /echo HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
            let (mut start, mut rest) = ([0; 12], vec![0; 250_000]);
            (0..20).all(|_| {
                stream.write_all(format!("{head}{body}").as_bytes()).is_ok()
                    && stream.read_exact(&mut start).is_ok()
                    && &start == b"HTTP/1.1 200"
                    && skip_head(&mut stream)
                    && stream.read_exact(&mut rest).is_ok()
            })
        });
        wait_until("no answer came", || sender.is_finished()).await;
        assert!(sender.join().expect("the sender does not panic"));
        assert_eq!(budget.counts().refused, 0);
    });
}

/// Reads up to the end of a head; false if the connection ends before.
fn skip_head(stream: &mut TcpStream) -> bool {
    let (mut last, mut byte) = ([0; 4], [0]);
    while &last != b"\r\n\r\n" {
        if stream.read_exact(&mut byte).is_err() {
            return false;
        }
        last.rotate_left(1);
        last[3] = byte[0];
    }
    true
}

/// Guards against a request that is refused because of others that do not end, and against a client
/// that is cut off without being told that its request did not run.
#[test]
fn longest_unfinished_request_gives_way() {
    runtime::run(async {
        let (address, budget) = spawn_echo(small_limits());
        let mut unfinished = Vec::new();
        for number in 1..=2 {
            let mut stream = connect(address);
            stream.write_all(UNFINISHED.as_bytes()).expect("the connection is open");
            stream.write_all(&vec![b'x'; 100_000]).expect("the connection is open");
            wait_until("the body is not read", || budget.counts().used >= number * 100_000).await;
            unfinished.push(stream);
        }
        let answer = exchange(address, vec![whole("/echo", &"x".repeat(200_000))]).await;
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
        let counts = budget.counts();
        assert_eq!((counts.cut, counts.refused), (1, 0), "{counts:?}");
        let reader = read_rest(unfinished.remove(0));
        wait_until("the connection stays open", || reader.is_finished()).await;
        let answer = reader.join().expect("the reader does not panic");
        assert!(answer.starts_with("http/1.1 503"), "{answer:?}");
        assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer:?}");
        assert!(answer.contains("\r\nx-outcome: not_run\r\n"), "{answer:?}");
        // The other one still gets its answer.
        let mut other = unfinished.remove(0);
        other.write_all(&vec![b'x'; 200_000]).expect("the connection is open");
        let mut start = [0; 12];
        let reader = thread::spawn(move || other.read_exact(&mut start).map(|()| start));
        wait_until("no answer came", || reader.is_finished()).await;
        let start = reader.join().expect("the reader does not panic").expect("an answer comes");
        assert_eq!(&start, b"HTTP/1.1 200");
    });
}

/// Guards against cutting off a request that is being handled, which would hide its outcome.
#[test]
fn requests_in_progress_are_not_cut_off() {
    runtime::run(async {
        let budget = InputBudget::new(small_limits());
        let released = Rc::new(RefCell::new(false));
        let bounds = ServerBounds::new(&budget, PortKind::Clients);
        let address = spawn_server(bounds, &released);
        let mut held = connect(address);
        held.write_all(&whole("/held", &"x".repeat(200_000))).expect("the connection is open");
        wait_until("the request is not handled", || budget.counts().used > 400_000).await;
        let answer = exchange(address, vec![whole("/echo", &"x".repeat(200_000))]).await;
        assert!(answer.starts_with("http/1.1 503"), "{answer:?}");
        assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer:?}");
        let answer = exchange(address, vec![whole("/echo", "small")]).await;
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
        *released.borrow_mut() = true;
        let reader = read_rest(held);
        wait_until("no answer came", || reader.is_finished()).await;
        let answer = reader.join().expect("the reader does not panic");
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
        wait_until("memory stays in use", || budget.counts().used == 0).await;
    });
}

/// Guards against clients that hold memory by not reading their responses.
#[test]
fn unread_response_gives_way() {
    runtime::run(async {
        let limits = BudgetLimits { input_bytes: 9_000_000, ..small_limits() };
        let (address, budget) = spawn_echo(limits);
        let mut slow = connect(address);
        slow.write_all(b"GET /large HTTP/1.1\r\n\r\n").expect("the connection is open");
        wait_until("no response is written", || budget.counts().used >= 8_000_000).await;
        let answer = exchange(address, vec![whole("/echo", &"x".repeat(2_000_000))]).await;
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
        assert_eq!(budget.counts().cut, 1);
    });
}

/// Guards against a body limit that applies only after the body was read, and against a request
/// without its body that is taken for a complete one.
#[test]
fn body_over_a_changing_limit_is_not_read() {
    runtime::run(async {
        let budget = InputBudget::new(small_limits());
        let bounds = ServerBounds::new(&budget, PortKind::Clients).with_body_limit(|| 1_000);
        let address = spawn_server(bounds, &Rc::default());
        let announced = whole("/echo", &"x".repeat(200_000));
        let answer = exchange(address, vec![announced]).await;
        assert!(answer.starts_with("http/1.1 413"), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
        let text = chunked(&format!("3e9\r\n{}\r\n0\r\n\r\n", "x".repeat(1_001)));
        let answer = exchange(address, vec![text.into_bytes()]).await;
        assert!(answer.starts_with("http/1.1 413"), "{answer:?}");
        let answer = exchange(address, vec![whole("/echo", &"x".repeat(1_000))]).await;
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
        assert_eq!(budget.counts().used, 0);
    });
}

/// Guards against idle connections that keep others out, against closing one whose request is being
/// handled, and against bounds that take effect without an event, or with one for each connection.
#[test]
fn longest_idle_connection_gives_way() {
    runtime::run(async {
        let budget = InputBudget::new(BudgetLimits { connections: 4, ..small_limits() });
        let mut watch = BudgetWatch::new(&budget);
        let released = Rc::new(RefCell::new(false));
        let bounds = ServerBounds::new(&budget, PortKind::Clients);
        let address = spawn_server(bounds, &released);
        let mut held = connect(address);
        held.write_all(&whole("/held", "x")).expect("the connection is open");
        let mut idle = Vec::new();
        for number in 2..=4 {
            idle.push(connect(address));
            wait_until("not accepted", || budget.counts().connections == number).await;
        }
        let answer = exchange(address, vec![whole("/echo", "x")]).await;
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
        let reader = read_rest(idle.remove(0));
        wait_until("the connection stays open", || reader.is_finished()).await;
        assert_eq!(budget.counts().closed, 1);
        let change = watch.poll().expect("a connection was closed");
        let event = change.event.map(|record| record.code);
        assert_eq!((change.closed, event), (1, Some(CONNECTIONS_BOUNDED)));
        assert_eq!(watch.poll(), None);
        *released.borrow_mut() = true;
        let reader = read_rest(held);
        wait_until("no answer came", || reader.is_finished()).await;
        let answer = reader.join().expect("the reader does not panic");
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
    });
}

/// Guards against a crowd of new connections that closes those of ordinary clients between requests.
#[test]
fn connection_that_was_served_is_kept() {
    runtime::run(async {
        let budget = InputBudget::new(BudgetLimits { connections: 4, ..small_limits() });
        let bounds = ServerBounds::new(&budget, PortKind::Clients);
        let address = spawn_server(bounds, &Rc::default());
        let mut ordinary = connect(address);
        ordinary.write_all(b"GET /echo HTTP/1.1\r\n\r\n").expect("the connection is open");
        let mut reader = ordinary.try_clone().expect("a descriptor is free");
        let answered = thread::spawn(move || reader.read(&mut [0; 1_024]));
        wait_until("no answer came", || answered.is_finished()).await;
        let crowd: Vec<_> = (0..30).map(|_| connect(address)).collect();
        wait_until("the crowd is not cut off", || budget.counts().closed >= 27).await;
        ordinary.write_all(&whole("/echo", "x")).expect("the connection is open");
        let reader = read_rest(ordinary);
        wait_until("no answer came", || reader.is_finished()).await;
        let answer = reader.join().expect("the reader does not panic");
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
        drop(crowd);
    });
}

/// Guards against a crowd on one port that closes the connections of another.
#[test]
fn crowded_port_gives_way_first() {
    runtime::run(async {
        let budget = InputBudget::new(BudgetLimits { connections: 6, ..small_limits() });
        let server = |port| spawn_server(ServerBounds::new(&budget, port), &Rc::default());
        let (clients, operators) = (server(PortKind::Clients), server(PortKind::Operators));
        let mut operator = connect(operators);
        wait_until("not accepted", || budget.counts().connections == 1).await;
        let crowd: Vec<_> = (0..30).map(|_| connect(clients)).collect();
        wait_until("the crowd is not cut off", || budget.counts().closed >= 25).await;
        operator.write_all(&whole("/echo", "x")).expect("the connection is open");
        let reader = read_rest(operator);
        wait_until("no answer came", || reader.is_finished()).await;
        let answer = reader.join().expect("the reader does not panic");
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
        assert!(budget.counts().connections <= 6);
        drop(crowd);
    });
}

/// Answers one request with `answer`.
fn spawn_answer(answer: impl AsRef<[u8]> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let _ = stream.read(&mut [0; 1_024]);
        let _ = stream.write_all(answer.as_ref());
    });
    address
}

/// Guards against answers from outside that take any amount of memory, and against memory that stays
/// in use after one.
#[test]
fn answers_are_bounded() {
    runtime::run(async {
        let budget = InputBudget::new(small_limits());
        let pool = HttpPool::new().with_budget(&budget);
        let ask =
            |text: String| pool.exchange(spawn_answer(text), ClientRequest::new_get("/"), MAX_WAIT);
        let length = |size: usize| format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
        let chunks = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let body = "x".repeat(250_000);
        let answer = ask(length(250_000) + &body).await.expect("the answer is small enough");
        assert_eq!(answer.body, body.as_bytes());
        let tiny = format!("{chunks}{}0\r\n\r\n", "1\r\nx\r\n".repeat(20_000));
        let answer = ask(tiny).await.expect("the answer is small enough");
        assert_eq!(answer.body, "x".repeat(20_000).as_bytes());
        let endless =
            format!("{chunks}{}", format!("4000\r\n{}\r\n", "x".repeat(16_384)).repeat(20));
        assert_eq!(budget.counts().lost_answers, 0);
        let large_head = format!("HTTP/1.1 200 OK\r\nx-large: {}\r\n", "x".repeat(140_000));
        let mut watch = BudgetWatch::new(&budget);
        for text in [length(300_001) + &"x".repeat(300_001), endless, large_head] {
            assert_eq!(ask(text).await.map(|_| ()), Err(ExchangeError::Lost));
            // An answer that is lost each time it is asked for would be invisible otherwise.
            assert_eq!(watch.poll().map(|change| change.lost_answers), Some(1));
        }
        assert_eq!((budget.counts().used, budget.counts().answer_bytes), (0, 0));
    });
}

/// Guards against answers of the store, of executors or of other instances that are lost because
/// legal requests are being handled, some of which wait for these answers.
#[test]
fn answers_are_read_while_requests_are_handled() {
    runtime::run(async {
        let budget = InputBudget::new(small_limits());
        let released = Rc::new(RefCell::new(false));
        let bounds = ServerBounds::new(&budget, PortKind::Clients);
        let address = spawn_server(bounds, &released);
        let mut held = connect(address);
        held.write_all(&whole("/held", &"x".repeat(250_000))).expect("the connection is open");
        wait_until("the request is not handled", || budget.counts().used > 700_000).await;
        let pool = HttpPool::new().with_budget(&budget);
        let text =
            format!("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n{}", "x".repeat(100_000));
        let answer = pool.exchange(spawn_answer(text), ClientRequest::new_get("/"), MAX_WAIT).await;
        assert_eq!(answer.map(|answer| answer.body.len()), Ok(100_000));
        assert_eq!(budget.counts().lost_answers, 0);
        *released.borrow_mut() = true;
        let reader = read_rest(held);
        wait_until("no answer came", || reader.is_finished()).await;
        let answer = reader.join().expect("the reader does not panic");
        assert!(answer.starts_with("http/1.1 200"), "{answer:?}");
    });
}

/// Guards against bodies that fit while they are read, but not once all of them are complete at the
/// same time and each is decoded and encoded.
#[test]
fn bodies_that_are_completed_together_are_bounded() {
    runtime::run(async {
        let budget = InputBudget::new(small_limits());
        let released = Rc::new(RefCell::new(false));
        let bounds = ServerBounds::new(&budget, PortKind::Clients);
        let address = spawn_server(bounds, &released);
        let text = whole("/held", &"x".repeat(90_000));
        let mut held = Vec::new();
        for number in 1..=4 {
            let mut stream = connect(address);
            stream.write_all(&text[..text.len() - 1]).expect("the connection is open");
            wait_until("the body is not read", || budget.counts().used >= number * 90_000).await;
            held.push(stream);
        }
        for stream in &mut held {
            stream.write_all(b"x").expect("the connection is open");
        }
        let readers: Vec<_> = held.into_iter().map(read_rest).collect();
        // Two bodies with their copies and two that are only read take 720,000 bytes.
        wait_until("no body is refused", || readers.iter().any(JoinHandle::is_finished)).await;
        let used = budget.counts().used;
        assert!(used <= small_limits().handling_bytes, "{used}");
        *released.borrow_mut() = true;
        wait_until("no answer came", || readers.iter().all(JoinHandle::is_finished)).await;
        let answers = readers.into_iter().map(|reader| reader.join().expect("it does not panic"));
        let (served, refused): (Vec<_>, Vec<_>) =
            answers.partition(|answer| answer.starts_with("http/1.1 200"));
        assert!(served.len() >= 2 && !refused.is_empty(), "{} served", served.len());
        for answer in refused {
            assert!(answer.starts_with("http/1.1 503"), "{answer:?}");
            assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer:?}");
            assert!(answer.contains("\r\nx-outcome: not_run\r\n"), "{answer:?}");
        }
        wait_until("memory stays in use", || budget.counts().used == 0).await;
    });
}

/// Guards against a message of another instance whose announced length is allocated or that is over
/// the bound.
#[test]
fn messages_of_peers_are_bounded() {
    runtime::run(async {
        let budget = InputBudget::new(small_limits());
        let any = "127.0.0.1:0".parse().expect("the address is valid");
        let listener = runtime::listen(any).expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let answer = |request: Option<String>| async move { request.map(|text| text.len() as u64) };
        monoio::spawn(peer::serve_within(listener, budget.clone(), answer));
        let mut over = connect(address);
        over.write_all(&300_001_u32.to_be_bytes()).expect("the connection is open");
        let reader = read_rest(over);
        wait_until("the connection stays open", || reader.is_finished()).await;
        let mut unfinished = connect(address);
        unfinished.write_all(&300_000_u32.to_be_bytes()).expect("the connection is open");
        unfinished.write_all(b"x").expect("the connection is open");
        let peers = peer::PeerPool::new().with_budget(&budget);
        let text = "x".repeat(200_000);
        let length: u64 = peers.exchange(address, &text, MAX_WAIT).await.expect("it fits");
        assert_eq!(length, 200_000);
        wait_until("memory stays in use", || budget.counts().used <= 65_536).await;
        drop(unfinished);
        wait_until("memory stays in use", || budget.counts().used == 0).await;
        let large = "x".repeat(300_001);
        let result: Result<u64, _> = peers.exchange(address, &large, MAX_WAIT).await;
        assert_eq!(result, Err(ExchangeError::Lost));
        assert_eq!(budget.counts().lost_answers, 0);
        let over = spawn_answer(300_001_u32.to_be_bytes());
        let result: Result<u64, _> = peers.exchange(over, &"x", MAX_WAIT).await;
        assert_eq!(result, Err(ExchangeError::Lost));
        assert_eq!(budget.counts().lost_answers, 1);
    });
}

/// Guards against limits that leave no room for what the protocols need, or that take more than the
/// memory.
#[test]
fn limits_follow_from_the_memory() {
    for memory_mb in [32, 160, 512, 1_048_576] {
        let limits = BudgetLimits::for_memory(memory_mb);
        let memory = memory_mb as usize * 1_000_000;
        assert!(limits.input_bytes + limits.connections * 20_000 <= memory / 2, "{limits:?}");
        assert!(limits.answer_bytes > limits.input_bytes && limits.answer_bytes < memory / 2);
        assert!(limits.message_bytes > ServerLimits::default().max_body_bytes, "{limits:?}");
        assert!(limits.message_bytes < limits.input_bytes, "{limits:?}");
        let answers = limits.message_bytes.max(limits.answer_bytes - limits.input_bytes);
        let total = limits.handling_bytes + answers + limits.connections * 20_000;
        assert!(total < memory / 6 * 5, "{limits:?}");
        let largest = 3 * ServerLimits::default().max_body_bytes;
        assert!(limits.handling_bytes > largest, "{limits:?}");
        assert!((300..=1_920).contains(&limits.connections), "{limits:?}");
    }
}
