//! Tests of exchanges between instances over the peer transport.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use cuminbank::event::ExchangeError;
use cuminbank_net::{
    peer::{self, PeerPool},
    runtime,
};
use monoio::{
    io::{AsyncReadRentExt, AsyncWriteRentExt},
    net::TcpStream,
    time,
};
use serde::{de::DeserializeOwned, Serialize};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a peer that answers a number with its successor and counts the requests.
fn start_peer() -> (SocketAddr, Rc<Cell<u32>>) {
    start_peer_of(|number: u32| Some(number + 1))
}

/// Starts a peer with a function that answers requests, and counts those.
fn start_peer_of<Q, R>(answer: fn(Q) -> Option<R>) -> (SocketAddr, Rc<Cell<u32>>)
where
    Q: DeserializeOwned + 'static,
    R: Serialize + 'static,
{
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    let listener = runtime::listen(any).expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let seen = Rc::new(Cell::new(0));
    let counter = Rc::clone(&seen);
    monoio::spawn(peer::serve(listener, move |request: Option<Q>| {
        counter.set(counter.get() + u32::from(request.is_some()));
        async move { request.and_then(answer) }
    }));
    (address, seen)
}

/// Guards against a process that is suspended between a decision and its send and then acts after
/// its authority has expired: the authority is checked directly before the write, and nothing is
/// sent without it.
#[test]
fn nothing_is_sent_without_the_right_to() {
    runtime::run(async {
        let (address, seen) = start_peer();
        let peers = PeerPool::new();
        let refused: Result<u32, _> = peers.exchange_if(address, &1u32, TIMEOUT, || false).await;
        assert_eq!(refused, Err(ExchangeError::NotSent));
        assert_eq!(seen.get(), 0);
        // The connection stays usable for the next request.
        let answered: Result<u32, _> = peers.exchange_if(address, &1u32, TIMEOUT, || true).await;
        assert_eq!((answered, seen.get()), (Ok(2), 1));
        let refused: Result<u32, _> = peers.exchange_if(address, &1u32, TIMEOUT, || false).await;
        assert_eq!((refused, seen.get()), (Err(ExchangeError::NotSent), 1));
    });
}

/// Guards against an instance that breaks on a request of another build: it answers nothing and
/// serves the next request. The asker sees an unanswered question.
#[test]
fn unknown_request_stays_unanswered() {
    runtime::run(async {
        let (address, seen) = start_peer_of(|request: Option<bool>| request.map(u32::from));
        let peers = PeerPool::new();
        // A variant that the receiver does not know, and one without its field.
        for request in [2u32, 1] {
            let lost: Result<u32, _> = peers.exchange(address, &request, TIMEOUT).await;
            assert_eq!((lost, seen.get()), (Err(ExchangeError::Lost), 0));
        }
        let answered: Result<u32, _> = peers.exchange(address, &Some(true), TIMEOUT).await;
        assert_eq!((answered, seen.get()), (Ok(1), 1));
    });
}

/// Guards against a message of another build that is taken for one with other values: its first
/// bytes were used and the rest was ignored.
#[test]
fn message_with_a_rest_is_not_used() {
    runtime::run(async {
        let (address, seen) = start_peer();
        let peers = PeerPool::new();
        let lost: Result<u32, _> = peers.exchange(address, &(1u32, 7u32), TIMEOUT).await;
        assert_eq!((lost, seen.get()), (Err(ExchangeError::Lost), 0));
        let (address, _) = start_peer_of(|number: u32| Some((number, 7u32)));
        let lost: Result<u32, _> = peers.exchange(address, &1u32, TIMEOUT).await;
        assert_eq!(lost, Err(ExchangeError::Lost));
    });
}

/// Number of exchanges that are in progress at the same time in a test.
const BURST: u32 = 100;
/// Maximum number of idle connections to one peer.
const MAX_IDLE: u32 = 64;

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "{what}");
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// Starts a peer that echoes each message once `BURST` connections were made, and counts the
/// connections that were made and those that are open.
fn start_counting_peer() -> (SocketAddr, Rc<Cell<u32>>, Rc<Cell<u32>>) {
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    let listener = runtime::listen(any).expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let (made, open) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (made_count, open_count) = (Rc::clone(&made), Rc::clone(&open));
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            made_count.set(made_count.get() + 1);
            open_count.set(open_count.get() + 1);
            let (made, open) = (Rc::clone(&made_count), Rc::clone(&open_count));
            monoio::spawn(async move {
                echo_messages(stream, &made).await;
                open.set(open.get() - 1);
            });
        }
    });
    (address, made, open)
}

/// Echoes messages until the end of the connection.
async fn echo_messages(mut stream: TcpStream, made: &Cell<u32>) -> Option<()> {
    loop {
        let (result, prefix) = stream.read_exact(vec![0; 4]).await;
        result.ok()?;
        let length = u32::from_be_bytes(prefix.clone().try_into().ok()?);
        let (result, bytes) = stream.read_exact(vec![0; length as usize]).await;
        result.ok()?;
        wait_until("the connections were not made", || made.get() >= BURST).await;
        let (result, _) = stream.write_all([prefix, bytes].concat()).await;
        result.ok()?;
    }
}

/// Guards against a burst of exchanges after which all of its connections stay open: each holds a
/// file descriptor here and at the peer until the process ends.
#[test]
fn idle_connections_of_a_peer_are_limited() {
    runtime::run(async {
        let (address, made, open) = start_counting_peer();
        let peers = Rc::new(PeerPool::new());
        let exchange = |number: u32| {
            let peers = Rc::clone(&peers);
            monoio::spawn(async move { peers.exchange(address, &number, TIMEOUT).await })
        };
        let exchanges: Vec<_> = (0..BURST).map(exchange).collect();
        for (number, exchange) in (0..BURST).zip(exchanges) {
            assert_eq!(exchange.await, Ok(number));
        }
        wait_until("too many idle connections stay open", || open.get() <= MAX_IDLE).await;
        // The others serve the next exchange.
        assert_eq!(peers.exchange(address, &7u32, TIMEOUT).await, Ok(7u32));
        assert_eq!((made.get(), open.get()), (BURST, MAX_IDLE));
    });
}

/// Guards against an asker that cannot tell a request that the other build does not know from one
/// that was lost: the handler can answer it, and the connection stays usable.
#[test]
fn unknown_request_can_be_answered() {
    runtime::run(async {
        let any = "127.0.0.1:0".parse().expect("the address is valid");
        let listener = runtime::listen(any).expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener has an address");
        monoio::spawn(peer::serve(listener, |request: Option<bool>| async move {
            Some(request.map_or(99u32, u32::from))
        }));
        let peers = PeerPool::new();
        for request in [2u32, 300] {
            let answered: Result<u32, _> = peers.exchange(address, &request, TIMEOUT).await;
            assert_eq!(answered, Ok(99));
        }
        let answered: Result<u32, _> = peers.exchange(address, &true, TIMEOUT).await;
        assert_eq!(answered, Ok(1));
    });
}
