//! Control traffic of a worker and of an executor in bytes.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use cuminbank::worker::{ResourceSize, TaskStart, WorkerRequest};
use cuminbank_entry::effects::worker_message;
use cuminbank_net::{
    client::{ClientRequest, HttpPool},
    runtime,
};
use cuminbank_standins::{
    clock::StandinClock,
    executor::{BookingTable, ExecutorCore, ExecutorServer},
    interference::InterferenceFactors,
    worker::{WorkerServer, WorkerSettings},
};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};
use serde_json::json;

use crate::table::ResultTable;

const RUNNING_TASKS: [usize; 4] = [0, 10, 20, 60];
/// Timeout of an exchange.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Budget for control traffic of a node in bytes per second.
const NODE_BUDGET: f64 = 3_000.0;
/// IP and TCP headers of an exchange on an open connection, in bytes: two data segments and two
/// acknowledgements with 52 bytes each.
const EXCHANGE_HEADER_BYTES: f64 = 4.0 * 52.0;

/// Counts the bytes that pass a relay in both directions.
#[derive(Debug, Default)]
struct RelayCounter {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl RelayCounter {
    /// Returns the bytes of both directions since the previous call.
    fn take(&self) -> f64 {
        (self.sent.take() + self.received.take()) as f64
    }
}

/// Measures exchanges with a worker and an executor stand-in through a byte-counting relay.
///
/// Fails if no port can be opened.
pub fn measure() -> io::Result<ResultTable> {
    runtime::run(run())
}

async fn run() -> io::Result<ResultTable> {
    let columns = [
        "running",
        "renew B",
        "list B",
        "start B",
        "probe B",
        "worker B/s",
        "with TCP/IP",
        "of 3 KB/s",
    ];
    let mut table = ResultTable::new("nodes: bytes of requests and answers", &columns);
    for running in RUNNING_TASKS {
        let bytes = worker_bytes(running).await?;
        let probe = probe_bytes(running.min(8)).await?;
        let bytes_per_second = bytes.renew + bytes.list;
        let wire = bytes_per_second + 2.0 * EXCHANGE_HEADER_BYTES;
        table.push(vec![
            running.to_string(),
            format!("{:.0}", bytes.renew),
            format!("{:.0}", bytes.list),
            format!("{:.0}", bytes.start),
            format!("{probe:.0}"),
            format!("{bytes_per_second:.0}"),
            format!("{wire:.0}"),
            format!("{:.2}", wire / NODE_BUDGET),
        ]);
    }
    table.note(
        "worker B/s: one renewal and one list each second; the list carries one usage window",
    );
    table.note("with TCP/IP: plus 208 bytes of headers for each exchange, computed");
    table.note("probe: at most 8 running calls, on a new connection, each second while calls run");
    table.note("processor time and memory on a node: none of ours runs there");
    Ok(table)
}

#[derive(Default)]
struct WorkerBytes {
    renew: f64,
    list: f64,
    start: f64,
}

async fn worker_bytes(running: usize) -> io::Result<WorkerBytes> {
    let size = ResourceSize { millicores: 64_000, memory_mib: 250 * 1024, accelerators: 0 };
    let settings =
        WorkerSettings { usage_lag: Duration::ZERO, ..WorkerSettings::new("worker-1", size) };
    let server = WorkerServer::new(settings, StandinClock::new(), 7);
    let listener = runtime::listen(any_port())?;
    let (address, counter) = start_relay(listener.local_addr()?)?;
    monoio::spawn(server.serve(listener));
    let pool = HttpPool::new();
    let send = |request: WorkerRequest| {
        let message = worker_message(&request);
        let pool = &pool;
        async move { pool.exchange(address, message, REQUEST_TIMEOUT).await }
    };
    let mut bytes = WorkerBytes::default();
    for index in 0..running {
        let reply = send(WorkerRequest::Start(task_start(index))).await;
        assert!(
            reply.is_ok_and(|answer| answer.status == 200),
            "the worker did not accept task {index}"
        );
        bytes.start = counter.take();
    }
    // A usage window must end first, as a list that is fetched each second contains one.
    monoio::time::sleep(Duration::from_millis(1_100)).await;
    let tasks = (0..running).map(|index| (task_id(index), 1)).collect();
    let _ = send(WorkerRequest::Renew { lease_ms: 5_000, tasks }).await;
    bytes.renew = counter.take();
    let _ = send(WorkerRequest::List { since: 123_456 }).await;
    bytes.list = counter.take();
    Ok(bytes)
}

async fn probe_bytes(running: usize) -> io::Result<f64> {
    let core = ExecutorCore::new("executor-1", 8);
    let table = Rc::new(RefCell::new(BookingTable::default()));
    let factors = InterferenceFactors::new(7);
    let server = ExecutorServer::new(core, table, None, factors, StandinClock::new(), 7);
    let listener = runtime::listen(any_port())?;
    let (address, counter) = start_relay(listener.local_addr()?)?;
    monoio::spawn(server.serve(listener));
    for index in 0..running {
        let body = json!({ "op": "plan", "key": "k", "work_ms": 20_000 }).to_string();
        let call = format!("dublin-3-12-{}", 100_000 + index);
        let request = ClientRequest::new_post("/v1/run", body).with_header("x-call-id", call);
        monoio::spawn(
            async move { HttpPool::new().exchange(address, request, REQUEST_TIMEOUT).await },
        );
    }
    monoio::time::sleep(Duration::from_millis(200)).await;
    counter.take();
    let _ = HttpPool::new()
        .exchange(address, ClientRequest::new_get("/v1/running"), REQUEST_TIMEOUT)
        .await;
    Ok(counter.take())
}

fn task_id(index: usize) -> String {
    format!("dublin-3-12-{}", 100_000 + index)
}

fn task_start(index: usize) -> TaskStart {
    TaskStart {
        task: task_id(index),
        attempt: 1,
        class: "standing orders".to_owned(),
        size: ResourceSize { millicores: 1_000, memory_mib: 1_024, accelerators: 0 },
        lease_ms: 5_000,
        checkpoint: None,
        input: json!({ "run_ms": 600_000, "order": index }),
    }
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Starts a TCP relay to `to` and returns its address and byte counter.
fn start_relay(to: SocketAddr) -> io::Result<(SocketAddr, Rc<RelayCounter>)> {
    let listener = runtime::listen(any_port())?;
    let address = listener.local_addr()?;
    let counter = Rc::new(RelayCounter::default());
    monoio::spawn(relay(listener, to, Rc::clone(&counter)));
    Ok((address, counter))
}

async fn relay(listener: TcpListener, to: SocketAddr, counter: Rc<RelayCounter>) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect_addr(to).await else { continue };
        let (near_read, near_write) = monoio::io::Splitable::into_split(near);
        let (far_read, far_write) = monoio::io::Splitable::into_split(far);
        let sent = Rc::clone(&counter);
        monoio::spawn(copy(near_read, far_write, move |bytes| {
            sent.sent.set(sent.sent.get() + bytes);
        }));
        let received = Rc::clone(&counter);
        monoio::spawn(copy(far_read, near_write, move |bytes| {
            received.received.set(received.received.get() + bytes);
        }));
    }
}

async fn copy(mut from: impl AsyncReadRent, mut to: impl AsyncWriteRentExt, count: impl Fn(u64)) {
    let mut buffer = Vec::with_capacity(16 * 1024);
    loop {
        let (result, mut read) = from.read(buffer).await;
        let Ok(length) = result else { return };
        if length == 0 {
            return;
        }
        count(length as u64);
        read.truncate(length);
        let (result, written) = to.write_all(read).await;
        if result.is_err() {
            return;
        }
        buffer = written;
        buffer.clear();
    }
}
