//! Tests of exchanges between instances over the peer transport.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use cuminbank::event::ExchangeError;
use cuminbank_net::{
    peer::{self, PeerPool},
    runtime,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a peer that answers a number with its successor and counts the requests.
fn start_peer() -> (SocketAddr, Rc<Cell<u32>>) {
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    let listener = runtime::listen(any).expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let seen = Rc::new(Cell::new(0));
    let counter = Rc::clone(&seen);
    monoio::spawn(peer::serve(listener, move |number: u32| {
        counter.set(counter.get() + 1);
        async move { Some(number + 1) }
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
