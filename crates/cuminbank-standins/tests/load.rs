//! Tests of the load command against a fake entry instance in the same process.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use cuminbank_net::{
    runtime,
    server::{self, ServerAction, ServerGate, ServerLimits, ServerRequest, ServerResponse},
};
use cuminbank_standins::load::{generate_arrivals, run_load, LoadPlan, LoadSettings, LoadWork};
use serde_json::{json, Value};

/// Serves a fake entry instance in which every task finishes and every booking is confirmed. It
/// stops responding for 1 s, beginning `stall` after its start.
fn spawn_entry(stall: Duration) -> SocketAddr {
    let listener = runtime::listen(([127, 0, 0, 1], 0).into()).expect("no free port on 127.0.0.1");
    let address = listener.local_addr().expect("bound socket has no local address");
    let next_ticket = Rc::new(Cell::new(0));
    let started = std::time::Instant::now();
    let handler = move |request: ServerRequest| {
        let next_ticket = Rc::clone(&next_ticket);
        async move {
            let since = started.elapsed().checked_sub(stall);
            if let Some(left) = since.and_then(|since| Duration::from_secs(1).checked_sub(since)) {
                monoio::time::sleep(left).await;
            }
            ServerAction::Respond(answer(&request, &next_ticket))
        }
    };
    monoio::spawn(server::serve(listener, ServerLimits::default(), ServerGate::default(), handler));
    address
}

fn answer(request: &ServerRequest, next_ticket: &Cell<u64>) -> ServerResponse {
    let respond = |status, body: Value, outcome| {
        ServerResponse::new_json(status, body.to_string()).with_header("x-outcome", outcome)
    };
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    match request.path.as_str() {
        "/v1/tickets" => {
            let first = next_ticket.get();
            next_ticket.set(first + body["count"].as_u64().unwrap_or(1));
            let tickets: Vec<_> =
                (first..next_ticket.get()).map(|n| format!("z-0-1-{n}")).collect();
            respond(200, json!({ "tickets": tickets }), "done")
        }
        "/v1/tasks" => respond(202, json!({"task": request.header("idempotency-key")}), "accepted"),
        "/v1/calls" if body["op"] == "confirm" && request.header("idempotency-key").is_none() => {
            respond(400, json!({"reason": "no ticket"}), "not_run")
        }
        "/v1/calls" => {
            let slot = &body["slot"];
            respond(200, json!({"key": body["key"], "slot": slot, "confirmed": true}), "done")
        }
        _ => respond(200, json!({"state": "Finished", "evictions": 1}), "done"),
    }
}

fn settings(plan: LoadPlan, entries: Vec<SocketAddr>) -> LoadSettings {
    LoadSettings { rate: 60.0, seconds: 3, seed: 5, ..LoadSettings::new(plan, entries) }
}

/// Arrivals must depend on the settings alone, since two policies are compared under the same load,
/// and the rate peak must be in the middle third.
#[test]
fn arrivals_depend_on_the_seed_alone() {
    let crest = LoadSettings { seconds: 30, ..settings(LoadPlan::Crest, vec![]) };
    let arrivals = generate_arrivals(&crest);
    assert_eq!(arrivals, generate_arrivals(&crest));
    assert_ne!(arrivals, generate_arrivals(&LoadSettings { seed: 6, ..crest.clone() }));
    assert!(arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let calls = arrivals.iter().filter(|arrival| matches!(arrival.work, LoadWork::Call(_)));
    let (inside, outside): (Vec<_>, Vec<_>) = calls.partition(|arrival| arrival.in_peak);
    let ratio = 2.0 * inside.len() as f64 / outside.len() as f64;
    assert!(
        (4.0..6.0).contains(&ratio),
        "the rate in the peak is {ratio} times the rate outside it"
    );
    let tasks = arrivals.iter().filter(|arrival| matches!(arrival.work, LoadWork::Task(_)));
    assert_eq!(tasks.count(), 6 * 20);
}

/// Guards against coordinated omission: a stall of the server must show in the latency of every call
/// that was due during it, not only in that of one call.
#[test]
fn stall_shows_in_the_latency_of_every_call_due() {
    runtime::run(async {
        let entry = spawn_entry(Duration::from_secs(1));
        let result = run_load(&settings(LoadPlan::Steady, vec![entry])).await;
        let class = &result.classes["plan"];
        assert_eq!(class.on_time + class.late, class.count, "{result:?}");
        assert!((700.0..1_100.0).contains(&class.p90_ms), "{result:?}");
        assert!(class.p50_ms < 600.0, "{result:?}");
        assert_eq!(class.wrong_answers, 0);
    });
}

/// Tasks and bookings must be sent with a ticket and counted exactly once.
#[test]
fn bookings_and_tasks_are_counted_once() {
    runtime::run(async {
        let entry = spawn_entry(Duration::from_secs(3_600));
        let bookings = LoadSettings { task_rate: 10.0, ..settings(LoadPlan::Confirm, vec![entry]) };
        let arrivals = generate_arrivals(&bookings);
        let tasks = arrivals.iter().filter(|arrival| matches!(arrival.work, LoadWork::Task(_)));
        let tasks = tasks.count() as u64;
        let booked = (arrivals.len() as u64 - tasks) / 2;
        let result = run_load(&bookings).await;
        assert_eq!(result.slots.confirmed_as_booked, booked, "{result:?}");
        assert_eq!(result.classes["reserve"].on_time, booked);
        let counted = (result.tasks.accepted, result.tasks.finished, result.tasks.evictions);
        assert_eq!(counted, (tasks, tasks, tasks));
        assert!(result.reasons.is_empty(), "{result:?}");
    });
}

/// Refused connections and requests cut off must be counted apart: a planned stop of an instance may
/// refuse connections, but must not cut off a request.
#[test]
fn refused_connections_and_requests_cut_off_are_told_apart() {
    runtime::run(async {
        let good = spawn_entry(Duration::from_secs(3_600));
        let listener =
            runtime::listen(([127, 0, 0, 1], 0).into()).expect("no free port on 127.0.0.1");
        let closing = listener.local_addr().expect("bound socket has no local address");
        let close = |_| async { ServerAction::Close };
        let (limits, gate) = (ServerLimits::default(), ServerGate::default());
        monoio::spawn(server::serve(listener, limits, gate, close));
        let refused = refusing_address();
        let settings = LoadSettings { seconds: 1, ..settings(LoadPlan::Steady, vec![]) };
        let sent = generate_arrivals(&settings).len() as u64;
        let run = |entries| {
            let settings = LoadSettings { entries, ..settings.clone() };
            async move { run_load(&settings).await }
        };
        let result = run(vec![refused, good]).await;
        let class = &result.classes["plan"];
        assert_eq!((class.on_time + class.late, class.errors), (sent, 0), "{result:?}");
        let result = run(vec![refused]).await;
        let connections = result.connections;
        assert_eq!((connections.refused, connections.cut_off), (sent, 0), "{result:?}");
        let result = run(vec![closing]).await;
        let connections = result.connections;
        assert_eq!((connections.refused, connections.cut_off), (0, sent), "{result:?}");
    });
}

/// Returns an address on which nothing listens.
fn refusing_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("no free port on 127.0.0.1");
    listener.local_addr().expect("bound socket has no local address")
}

/// Guards against requests that no instance accepts and that count once for each instance, or as
/// calls and tasks that may have run; and against answered requests that count as refused.
#[test]
fn request_that_was_not_sent_counts_once_as_refused() {
    runtime::run(async {
        let refusing = vec![refusing_address(), refusing_address()];
        let steady = LoadSettings { seconds: 1, ..settings(LoadPlan::Steady, refusing.clone()) };
        let sent = generate_arrivals(&steady).len() as u64;
        let result = run_load(&steady).await;
        let class = &result.classes["plan"];
        assert_eq!((class.refused, class.errors), (sent, 0), "{result:?}");
        assert_eq!(result.connections.refused, sent, "{result:?}");

        let starts = LoadSettings { seconds: 1, ..settings(LoadPlan::Starts, refusing) };
        let result = run_load(&starts).await;
        let tasks = &result.tasks;
        assert!(tasks.sent > 0);
        assert_eq!((tasks.refused, tasks.unknown), (tasks.sent, 0), "{result:?}");

        let good = spawn_entry(Duration::from_secs(3_600));
        let entries = vec![refusing_address(), good];
        let result = run_load(&LoadSettings { entries, ..steady }).await;
        assert_eq!(result.classes["plan"].on_time, sent, "{result:?}");
        assert_eq!(result.connections.refused, 0, "{result:?}");
    });
}
