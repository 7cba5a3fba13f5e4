//! Minimal HTTP/1.1 server and client over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

pub enum Reply {
    Answer(u16, String),
    /// Nothing more is sent on this connection; it stays open until the server ends.
    Silence,
}

/// Reads a message; `None` at the end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
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
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
    }
    let find = |name: &str| headers.iter().find(|(key, _)| key == name).map(|(_, value)| value);
    let mut body = Vec::new();
    if find("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&part[..size]);
        }
    } else {
        let length = find("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some((first, headers, body))
}

/// Server that can be stopped as a crashed process is: its port is closed and its connections are
/// reset.
pub struct Server {
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start<H>(listener: TcpListener, handler: H) -> io::Result<Server>
    where
        H: Fn(Request) -> Reply + Send + Sync + 'static,
    {
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let server = Server { stopped: stopped.clone(), streams: streams.clone() };
        let handler = Arc::new(handler);
        thread::Builder::new().stack_size(128 * 1024).spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { continue };
                streams.lock().unwrap().push(copy);
                let (handler, stopped) = (handler.clone(), stopped.clone());
                let serve = move || serve_connection(stream, &*handler, &stopped);
                let _ = thread::Builder::new().stack_size(256 * 1024).spawn(serve);
            }
        })?;
        Ok(server)
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Until the thread that accepts has closed the port.
        thread::sleep(Duration::from_millis(20));
    }
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Reply, stopped: &AtomicBool) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader) {
        let mut words = first.split_whitespace();
        let Some(target) = words.nth(1) else { return };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        };
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                while !stopped.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(50));
                }
                return;
            }
        }
    }
}

/// Answer of a call: its status and body, or `None` if there was no complete one in time.
pub type CallAnswer = Option<(u16, String)>;

/// Sends a request on a connection of its own.
pub fn call(
    address: SocketAddr,
    (method, host, path): (&str, &str, &str),
    body: &str,
    limit: Duration,
) -> CallAnswer {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    stream.set_write_timeout(Some(left)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         cuminbank-deadline-ms: {}\r\ncontent-length: {}\r\n\r\n",
        limit.as_millis(),
        body.len()
    );
    writer.write_all(head.as_bytes()).ok()?;
    writer.write_all(body.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, _, body) = read_message(&mut reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
