//! Tests of the configuration watch against a store that is a raw TCP listener.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread::{self, JoinHandle},
};

use cuminbank::ids::StoreRevision;
use cuminbank_net::{runtime, watch};

/// Maximum length of a line of the watch.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Starts a store that accepts one watch and answers it with `send`, which gets the connection
/// after the head of the response.
fn spawn_store<R: Send + 'static>(
    send: impl FnOnce(&mut TcpStream) -> R + Send + 'static,
) -> (SocketAddr, JoinHandle<R>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    let thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the watch connects");
        let mut request = Vec::new();
        while !request.ends_with(b"}}") {
            let mut part = [0; 1_024];
            let count = stream.read(&mut part).expect("the request is complete");
            request.extend_from_slice(&part[..count]);
        }
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).expect("the watch reads the head");
        send(&mut stream)
    });
    (address, thread)
}

/// Runs a watch until it ends and returns the revisions of its messages.
fn watched(address: SocketAddr) -> Vec<StoreRevision> {
    let mut revisions = Vec::new();
    runtime::run(watch::watch_config(address, 1, |revision, _| revisions.push(revision)));
    revisions
}

/// Returns a message padded to `length` bytes with its line end.
fn line(revision: StoreRevision, length: usize) -> Vec<u8> {
    let message = format!(r#"{{"result":{{"header":{{"revision":"{revision}"}}}}}}"#);
    let mut bytes = message.into_bytes();
    bytes.resize(length - 1, b' ');
    bytes.push(b'\n');
    bytes
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Guards against a limit on lines that holds only for those without their end: a longer line whose
/// end arrives with it is taken.
#[test]
fn line_over_the_limit_ends_the_watch() {
    let (address, _) = spawn_store(|stream| {
        let parts = [line(7, 100), line(8, MAX_LINE_BYTES - 1_000), line(9, MAX_LINE_BYTES + 2)];
        for part in parts.iter().flat_map(|line| line.chunks(1_000_000)) {
            // The watch may have ended.
            let _ = stream.write_all(&chunk(part));
        }
    });
    assert_eq!(watched(address), [7, 8]);
}

/// Guards against a chunk that is read into memory whole before its size is checked.
#[test]
fn chunk_over_the_limit_is_not_read() {
    const SENT_BLOCKS: usize = 64;
    let (address, store) = spawn_store(|stream| {
        let block = vec![b' '; 1024 * 1024];
        stream.write_all(b"40000000\r\n").expect("the watch reads the chunk");
        (0..SENT_BLOCKS).take_while(|_| stream.write_all(&block).is_ok()).count()
    });
    assert!(watched(address).is_empty());
    let read = store.join().expect("the store does not panic");
    assert!(read < SENT_BLOCKS / 2, "the watch took {read} MB of one chunk");
}
