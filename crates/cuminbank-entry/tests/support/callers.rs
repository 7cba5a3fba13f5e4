//! Clients that call the entry instances.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use serde_json::{json, Value};

use super::{
    http::{get, post, Answer, Failure},
    wait_for_some,
};

/// Interval of the readiness checks of the load balancer, which has 2 s to notice that an instance
/// is leaving.
const READY_INTERVAL: Duration = Duration::from_millis(200);
const CUSTOMER: (&str, &str) = ("x-customer", "griddle");

/// Request that has ended, with its result and the time that it took.
#[derive(Clone, Debug)]
pub struct FinishedCall {
    pub entry: SocketAddr,
    pub key: String,
    pub result: Result<Answer, Failure>,
    pub elapsed: Duration,
}

impl FinishedCall {
    /// Tells whether the outcome is "done".
    pub fn is_done(&self) -> bool {
        self.outcome() == "done"
    }

    /// Returns the outcome, or an empty text without an answer.
    pub fn outcome(&self) -> &str {
        self.result.as_ref().map_or("", Answer::outcome)
    }

    /// Tells whether a request was sent but got no complete answer.
    pub fn is_cut_off(&self) -> bool {
        matches!(self.result, Err(Failure::CutOff(_)))
    }
}

fn timed(
    entry: SocketAddr,
    key: &str,
    send: impl FnOnce() -> Result<Answer, Failure>,
) -> FinishedCall {
    let started = Instant::now();
    let result = send();
    FinishedCall { entry, key: key.to_owned(), result, elapsed: started.elapsed() }
}

/// Sends an idempotent call of the profile "plans".
pub fn plan(entry: SocketAddr, key: &str, work_ms: u64) -> FinishedCall {
    let body = json!({ "op": "plan", "key": key, "work_ms": work_ms });
    timed(entry, key, || post(entry, "/v1/calls", &[("x-profile", "plans"), CUSTOMER], &body))
}

/// Sends a call under a separate customer, so that it does not change the counts of a test.
pub fn warm_up(entry: SocketAddr) -> FinishedCall {
    let body = json!({ "op": "plan", "key": "warm-up", "work_ms": 1 });
    let headers = [("x-profile", "plans"), ("x-customer", "warm-up")];
    timed(entry, "warm-up", || post(entry, "/v1/calls", &headers, &body))
}

/// Sends a non-idempotent call of the profile "bookings" under a ticket.
pub fn book(entry: SocketAddr, ticket: &str, work_ms: u64) -> FinishedCall {
    let body = json!({ "op": "reserve", "slot": ticket, "booking": ticket, "key": ticket,
        "work_ms": work_ms });
    let headers = [("x-profile", "bookings"), CUSTOMER, ("idempotency-key", ticket)];
    timed(entry, ticket, || post(entry, "/v1/calls", &headers, &body))
}

/// Submits a batch task of the profile "orders" under a ticket.
pub fn submit(entry: SocketAddr, ticket: &str, run_ms: u64) -> FinishedCall {
    let size = json!({ "millicores": 1_000, "memory_mib": 512 });
    let body = json!({ "class": "order", "size": size, "input": { "run_ms": run_ms } });
    let headers = [("x-profile", "orders"), CUSTOMER, ("idempotency-key", ticket)];
    timed(entry, ticket, || post(entry, "/v1/tasks", &headers, &body))
}

/// Waits until `count` tickets are issued and returns them.
pub fn tickets(entry: SocketAddr, count: usize) -> Vec<String> {
    wait_for_some("tickets are issued", || {
        let answer = post(entry, "/v1/tickets", &[], &json!({ "count": count })).ok()?;
        let list = answer.body["tickets"].as_array().cloned()?;
        Some(list.iter().filter_map(Value::as_str).map(str::to_owned).collect())
    })
}

/// Callers that each send idempotent calls one after the other, to the entry instances in turn.
/// Like the platform's load balancer, they skip an instance that reports that it is not ready.
pub struct CallLoad {
    stop: Arc<AtomicBool>,
    done: Arc<AtomicU64>,
    threads: Vec<JoinHandle<Vec<FinishedCall>>>,
}

impl CallLoad {
    /// Starts `callers` callers; the keys of their calls begin with `name`.
    pub fn start(name: &str, callers: usize, entries: &[SocketAddr], work_ms: u64) -> Self {
        let entries: Vec<_> = entries.iter().copied().map(BalancedEntry::new).collect();
        let (stop, done) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let caller = |caller: usize| {
            let (stop, done, entries) = (Arc::clone(&stop), Arc::clone(&done), entries.to_vec());
            let name = format!("{name}-{caller}");
            thread::spawn(move || {
                let mut ends = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let turns = (0..entries.len())
                        .map(|step| &entries[(caller + ends.len() + step) % entries.len()]);
                    let Some(entry) = turns.into_iter().find(|entry| entry.is_ready()) else {
                        thread::sleep(READY_INTERVAL);
                        continue;
                    };
                    let entry = entry.address;
                    ends.push(call_once(entry, &format!("{name}-{}", ends.len()), work_ms, &done));
                }
                ends
            })
        };
        let mut threads: Vec<_> = (0..callers).map(caller).collect();
        let stopped = Arc::clone(&stop);
        threads.push(thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                entries.iter().for_each(BalancedEntry::check);
                thread::sleep(READY_INTERVAL);
            }
            Vec::new()
        }));
        Self { stop, done, threads }
    }

    /// Returns the number of calls with the outcome "done".
    pub fn done(&self) -> u64 {
        self.done.load(Ordering::Relaxed)
    }

    /// Stops the callers after their calls in progress and returns all calls with their results.
    pub fn finish(self) -> Vec<FinishedCall> {
        self.stop.store(true, Ordering::Relaxed);
        let join = |thread: JoinHandle<_>| thread.join().expect("caller threads do not panic");
        self.threads.into_iter().flat_map(join).collect()
    }
}

/// Entry instance with its readiness as seen by the load balancer.
#[derive(Clone)]
struct BalancedEntry {
    address: SocketAddr,
    ready: Arc<AtomicBool>,
}

impl BalancedEntry {
    fn new(address: SocketAddr) -> Self {
        Self { address, ready: Arc::new(AtomicBool::new(true)) }
    }

    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    fn check(&self) {
        let ready = get(self.address, "/v1/ready").is_ok_and(|answer| answer.status == 200);
        self.ready.store(ready, Ordering::Relaxed);
    }
}

fn call_once(entry: SocketAddr, key: &str, work_ms: u64, done: &AtomicU64) -> FinishedCall {
    let end = plan(entry, key, work_ms);
    done.fetch_add(u64::from(end.is_done()), Ordering::Relaxed);
    if !end.is_done() {
        // Backs off before the next call, as a refused caller does.
        thread::sleep(Duration::from_millis(20));
    }
    end
}
