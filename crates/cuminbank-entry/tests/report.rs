//! Tests of the daily report against the answers that callers received.

mod support;

use std::{collections::BTreeMap, net::SocketAddr, thread};

use cuminbank::record::CallCounters;
use cuminbank_cli::report::{faults::FaultKind, gaps::GapBound};
use cuminbank_standins::worker::ExecutionEnd;
use nix::sys::signal::Signal;
use serde_json::{json, Value};

use support::{
    callers::{self, CallLoad, FinishedCall},
    entry::EntryProcess,
    http::{get, post},
    report::{seconds_now, wait_for_day, ReadReport},
    set_mode, wait_for, Deployment,
};

const CALLS: &str = "Urgent calls";
/// Profile and customer of [`CallLoad`].
const LOAD: [&str; 2] = ["plans", "griddle"];
const TASKS: &str = "Batch tasks";

fn stop_as_planned(entry: &mut EntryProcess) {
    entry.signal(Signal::SIGTERM);
    let status = entry.wait();
    assert_eq!(status.code(), Some(0), "{}: {status}", entry.name);
}

fn wait_for_save(entry: &EntryProcess) {
    let counted = seconds_now();
    wait_for("the instance has saved its counts", || {
        entry.status()["records"]["saved_until"].as_u64().is_some_and(|saved| saved >= counted)
    });
}

fn answered_by(ends: &[FinishedCall], entry: SocketAddr) -> u64 {
    ends.iter().filter(|end| end.entry == entry && end.result.is_ok()).count() as u64
}

/// Guards against a report that shows an instance which was killed under load as idle, and against
/// the loss of the counts that it had saved.
#[test]
fn killed_instance_is_a_gap_and_its_saved_counts_stay() {
    wait_for_day();
    let mut deployment = Deployment::start(2, 2, 1);
    let dying = deployment.owner();
    let addresses = [deployment.entries[0].http, deployment.entries[1].http];
    let early = CallLoad::start("early", 8, &addresses, 5);
    wait_for("calls are served", || early.done() > 200);
    let early = early.finish();
    wait_for_save(&deployment.entries[dying]);
    let late = CallLoad::start("late", 8, &addresses, 5);
    wait_for("calls are served", || late.done() > 200);
    deployment.entries[dying].signal(Signal::SIGKILL);
    let peer = &deployment.entries[1 - dying];
    wait_for("the peer owns the group", || peer.owns(0).is_some());
    let late = late.finish();
    // A record of the peer that begins after the last heartbeat shows since when the killed
    // instance was silent.
    wait_for_save(&deployment.entries[1 - dying]);
    stop_as_planned(&mut deployment.entries[1 - dying]);

    let read = ReadReport::read(deployment.platform.store);
    let name = deployment.entries[dying].name.as_str();
    let gaps = &read.report.gaps;
    assert!(gaps.len() == 1 && gaps[0].instance == name, "{gaps:?}");
    assert!(matches!(gaps[0].bound, GapBound::LastHeard(_)), "{gaps:?}");
    assert!(gaps[0].until > gaps[0].from, "{gaps:?}");
    assert!(read.text.starts_with("Today did not go well: "), "{}", read.text);
    let fault = read.report.faults.iter().find(|fault| fault.kind == FaultKind::RecordGap);
    let reason = fault.expect("the gap is among the faults").to_string();
    assert!(reason.contains(name) && reason.contains("until at most"), "{reason}");
    assert!(read.page.contains(&reason) && read.text.contains(&reason), "{reason}");
    let headline = html_escape(&read.report.headline());
    assert!(read.page.contains(&format!("<h1 class=\"failed\">{headline}</h1>")), "{headline}");

    let [ours, theirs] = [dying, 1 - dying].map(|index| addresses[index]);
    let peer = deployment.entries[1 - dying].name.as_str();
    let answered = |instance| read.sum_at(instance, LOAD, CallCounters::answered);
    let (least, most) = (answered_by(&early, ours), answered_by(&late, ours));
    let saved = answered(name);
    assert!((least..=least + most).contains(&saved), "{saved}, not {least} and up to {most} more");
    let seen = answered_by(&early, theirs) + answered_by(&late, theirs);
    assert_eq!(answered(peer), seen, "{}", read.text);
    assert_eq!(read.sum_at(peer, LOAD, CallCounters::unanswered), 0);
    let page: u64 = ["on time", "late", "refused", "unknown"]
        .map(|column| read.figure(CALLS, LOAD, column))
        .into_iter()
        .sum();
    assert_eq!(page, saved + seen, "{}", read.text);
}

/// Escapes the text of an HTML element.
fn html_escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Kind of call that is sent in the test of the page.
#[derive(Clone, Copy)]
struct CallKind {
    profile: &'static str,
    customer: &'static str,
    with_ticket: bool,
    work_ms: u64,
}

const CALL_KINDS: [CallKind; 7] = [
    CallKind { profile: "plans", customer: "griddle", with_ticket: false, work_ms: 5 },
    CallKind { profile: "plans", customer: "hearth", with_ticket: false, work_ms: 20 },
    CallKind { profile: "bookings", customer: "griddle", with_ticket: true, work_ms: 5 },
    // Refused: the ticket is missing, the profile is for batch tasks, the profile does not exist.
    CallKind { profile: "bookings", customer: "hearth", with_ticket: false, work_ms: 5 },
    CallKind { profile: "orders", customer: "griddle", with_ticket: false, work_ms: 5 },
    CallKind { profile: "nowhere", customer: "griddle", with_ticket: false, work_ms: 5 },
    // Runs longer than the deadline of 5,000 ms.
    CallKind { profile: "plans", customer: "slow", with_ticket: false, work_ms: 5_500 },
];
/// Kind of call that is sent while the executors lose their answers.
const LOST_CALL: CallKind =
    CallKind { profile: "bookings", customer: "lost", with_ticket: true, work_ms: 5 };

/// Number of answers by profile and customer as on the page, and by outcome.
type CallerCounts = BTreeMap<[&'static str; 2], BTreeMap<String, u64>>;

fn send(entry: SocketAddr, kind: CallKind, key: &str) -> String {
    let ticket = kind.with_ticket.then(|| callers::tickets(entry, 1).remove(0));
    let mut headers = vec![("x-profile", kind.profile), ("x-customer", kind.customer)];
    headers.push(("x-class", kind.customer));
    headers.extend(ticket.as_deref().map(|ticket| ("idempotency-key", ticket)));
    let body = json!({ "op": "plan", "key": key, "work_ms": kind.work_ms });
    let answer = post(entry, "/v1/calls", &headers, &body).expect("every call gets an answer");
    answer.outcome().to_owned()
}

/// Sends `calls` calls of each kind to the instances in turn, with the kinds in parallel.
fn send_all(entries: &[SocketAddr], kinds: &[CallKind], calls: usize, counts: &mut CallerCounts) {
    let send_kind = |kind: CallKind| {
        let send_one = |index: usize| {
            let key = format!("{}-{}-{index}", kind.profile, kind.customer);
            send(entries[index % entries.len()], kind, &key)
        };
        (0..calls).map(send_one).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> =
            kinds.iter().map(|kind| (kind, scope.spawn(move || send_kind(*kind)))).collect();
        for (kind, thread) in threads {
            let profile = if kind.profile == "nowhere" { "(unknown)" } else { kind.profile };
            let own = counts.entry([profile, kind.customer]).or_default();
            for outcome in thread.join().expect("the sending thread does not panic") {
                *own.entry(outcome).or_default() += 1;
            }
        }
    });
}

fn assert_calls_match(read: &ReadReport, counts: &CallerCounts) {
    for (class, outcomes) in counts {
        let figure = |column| read.figure(CALLS, *class, column);
        let seen = |outcome: &str| outcomes.get(outcome).copied().unwrap_or(0);
        let page = [figure("on time") + figure("late"), figure("refused"), figure("unknown")];
        let callers = [seen("done"), seen("not_run"), seen("unknown")];
        assert_eq!(page, callers, "{class:?}: {outcomes:?}\n{}", read.text);
        assert_eq!(figure("received"), outcomes.values().sum::<u64>(), "{class:?}");
        assert_eq!(figure("no answer"), 0, "{class:?}");
    }
    let listed: u64 = counts.values().flat_map(BTreeMap::values).sum();
    let warm_up = read.figure(CALLS, ["plans", WARM_UP], "received");
    assert_eq!(read.sum(|calls| calls.received), listed + warm_up, "{}", read.text);
}

/// Customer of the calls that [`Deployment::start`] sends until an instance answers them.
const WARM_UP: &str = "warm-up";

/// Runs tasks, evicts those that run on one worker, and returns the number of all tasks.
fn run_tasks(deployment: &Deployment) -> u64 {
    let entries = [deployment.entries[0].http, deployment.entries[1].http];
    let tickets = callers::tickets(entries[0], 8);
    for (index, ticket) in tickets.iter().enumerate() {
        let end = callers::submit(entries[index % 2], ticket, 8_000);
        assert_eq!(end.outcome(), "accepted", "{end:?}");
    }
    let running = |worker: SocketAddr| {
        let answer = get(worker, "/v1/tasks").expect("the worker is up");
        answer.body["running"].as_array().map_or(0, Vec::len)
    };
    let started = |state: &str| {
        tickets.iter().filter(|ticket| task_state(entries[0], ticket) == state).count()
    };
    wait_for("the tasks run", || started("running") == tickets.len());
    let workers = &deployment.platform.workers;
    let busy = usize::from(running(workers[0]) == 0);
    let list = deployment.platform.list;
    let leaving = format!("/v1/instances/dublin-m{busy:03}-worker/leaving");
    post(list, &leaving, &[], &Value::Null).expect("the list is up");
    wait_for("the tasks finish", || started("finished") == tickets.len());
    tickets.len() as u64
}

fn task_state(entry: SocketAddr, ticket: &str) -> String {
    let answer = get(entry, &format!("/v1/tasks/{ticket}"));
    answer.map_or(String::new(), |answer| answer.body["state"].as_str().unwrap_or("").to_owned())
}

/// Guards against a call or task that the page counts twice, in the wrong column or not at all. It
/// covers done, late, refused and unknown calls, direct and forwarded to the owner, calls that
/// arrive during planned stops, and evicted tasks.
#[test]
fn page_shows_what_callers_and_workers_saw() {
    wait_for_day();
    let mut deployment = Deployment::start(2, 2, 1);
    let entries = [deployment.entries[0].http, deployment.entries[1].http];
    let mut counts = CallerCounts::new();
    send_all(&entries, &CALL_KINDS[..6], 60, &mut counts);
    send_all(&entries, &CALL_KINDS[6..], 2, &mut counts);
    let accepted = run_tasks(&deployment);
    let set_executors = |mode: Value| {
        deployment.platform.executors.iter().for_each(|address| set_mode(*address, mode.clone()));
    };
    set_executors(json!({ "mode": "lose_answers", "percent": 100 }));
    send_all(&entries, &[LOST_CALL], 4, &mut counts);
    set_executors(json!({ "mode": "normal" }));
    assert!(counts[&["bookings", "lost"]].contains_key("unknown"), "{counts:?}");
    assert!(counts[&["plans", "slow"]].contains_key("done"), "{counts:?}");
    let load = CallLoad::start("stops", 8, &entries, 20);
    wait_for("calls are served", || load.done() > 100);
    let owner = deployment.owner();
    stop_as_planned(&mut deployment.entries[owner]);
    stop_as_planned(&mut deployment.entries[1 - owner]);
    let ends = load.finish();
    let griddle = counts.entry(LOAD).or_default();
    for end in ends.iter().filter(|end| end.result.is_ok()) {
        *griddle.entry(end.outcome().to_owned()).or_default() += 1;
    }

    let read = ReadReport::read(deployment.platform.store);
    assert_eq!(read.report.gaps, [], "{}", read.text);
    assert_calls_match(&read, &counts);
    let slow = ["plans", "slow"];
    assert_eq!(read.figure(CALLS, slow, "late"), counts[&slow]["done"], "{}", read.text);
    assert_tasks_match(&deployment, &read, accepted);
    deployment.platform.assert_history();
}

fn assert_tasks_match(deployment: &Deployment, read: &ReadReport, accepted: u64) {
    let runs = deployment.platform.tasks();
    let ended = |end| runs.iter().filter(|run| run.end == Some(end)).count() as u64;
    let resumed = runs.iter().filter(|run| run.attempt > 1).count() as u64;
    let seen = [
        ("accepted", accepted),
        ("started", runs.len() as u64),
        ("finished", accepted),
        ("evicted", ended(ExecutionEnd::Stopped)),
        ("resumed", resumed),
        ("doubled", 0),
        ("overdue", 0),
    ];
    assert!(resumed > 0 && ended(ExecutionEnd::Finished) == accepted, "{runs:?}");
    for (column, seen) in seen {
        let page = read.figure(TASKS, ["orders", "griddle"], column);
        assert_eq!(page, seen, "{column}: {runs:?}\n{}", read.text);
    }
}
