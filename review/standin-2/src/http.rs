//! HTTP/1.1 server with one thread for each connection, and a client. A gate in front of a server
//! cuts it off.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU8, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// Requests are served.
pub const OPEN: u8 = 0;
/// Nothing arrives and nothing is answered; open connections are reset when the cut ends.
pub const CUT: u8 = 1;

#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicU8>);

impl Gate {
    pub fn set(&self, mode: u8) {
        self.0.store(mode, Ordering::SeqCst);
    }

    pub fn mode(&self) -> u8 {
        self.0.load(Ordering::SeqCst)
    }
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Serves until the process ends. The handler returns the status and the body; `None` closes the
/// connection without an answer.
pub fn serve<H>(listener: TcpListener, gate: Gate, handler: H)
where
    H: Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (gate, handler) = (gate.clone(), Arc::clone(&handler));
            thread::spawn(move || serve_connection(stream, &gate, &*handler));
        }
    });
}

fn serve_connection<H>(stream: TcpStream, gate: &Gate, handler: &H)
where
    H: Fn(Request) -> Option<(u16, String)>,
{
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read);
    let mut stream = stream;
    let wait_for_heal = || {
        while gate.mode() == CUT {
            thread::sleep(Duration::from_millis(5));
        }
    };
    loop {
        let Some((first, headers)) = read_head(&mut reader) else { return };
        let Some(body) = read_body(&mut reader, &headers) else { return };
        if gate.mode() == CUT {
            return wait_for_heal();
        }
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request =
            Request { method, path: path.to_owned(), query: query.to_owned(), headers, body };
        let answer = handler(request);
        if gate.mode() == CUT {
            return wait_for_heal();
        }
        let Some((status, body)) = answer else { return };
        let text = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends one request on a new connection. Returns `None` without a complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         cuminbank-deadline-ms: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
