//! Tests of invalid requests: malformed, without a valid ticket, oversized or slow.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

use serde_json::json;

use support::{
    callers,
    http::{exchange, request, Answer},
    Deployment, MAX_WAIT,
};

const CUSTOMER: (&str, &str) = ("x-customer", "griddle");
const PLANS: [(&str, &str); 2] = [("x-profile", "plans"), CUSTOMER];
const BOOKINGS: [(&str, &str); 2] = [("x-profile", "bookings"), CUSTOMER];
const ORDERS: [(&str, &str); 2] = [("x-profile", "orders"), CUSTOMER];

/// Checks that the answer is a refusal with `status`, in the documented format, and that its reason
/// contains `reason`.
fn assert_refused(what: &str, answer: &Answer, status: u16, reason: &str) {
    let text = answer.body["reason"].as_str().unwrap_or_default();
    let found = (answer.status, answer.outcome(), answer.body["outcome"].as_str());
    assert_eq!(found, (status, "not_run", Some("not_run")), "{what}: {answer:?}");
    assert!(text.contains(reason), "{what}: {reason:?} is not in {text:?}");
}

fn send(entry: SocketAddr, what: &str, text: &str) -> Answer {
    let answer = exchange(entry, text.as_bytes());
    answer.unwrap_or_else(|failure| panic!("{what}: {failure:?}"))
}

/// Guards against an invalid request that gets the wrong status or no reason, that is partly
/// executed, or that stops the server.
#[test]
fn wrong_requests_are_refused_and_nothing_runs() {
    let deployment = Deployment::start(1, 1, 1);
    let entry = deployment.entries[0].http;
    let started = deployment.platform.executor_counter("started");
    let ticket = callers::tickets(entry, 1).remove(0);
    let ticketed = [("x-profile", "orders"), CUSTOMER, ("idempotency-key", ticket.as_str())];
    let never = [("x-profile", "bookings"), CUSTOMER, ("idempotency-key", "dublin-0-1-999999")];
    let unreadable = [("x-profile", "bookings"), CUSTOMER, ("idempotency-key", "mine")];
    let call = |headers: &[(&str, &str)], body: &str| request("POST", "/v1/calls", headers, body);
    let task = |headers: &[(&str, &str)], body: &str| request("POST", "/v1/tasks", headers, body);
    let unknown_profile = [("x-profile", "elevenses"), CUSTOMER];
    let size = r#""size":{"millicores":1000,"memory_mib":64}"#;
    let large = format!("{{\"key\":\"{}\"}}", "x".repeat(300 * 1024));
    let oversized = format!("{{\"key\":\"{}\"}}", "x".repeat(5 * 1024 * 1024));
    let cases = [
        ("malformed HTTP", "BREW /tea\r\n\r\n".to_owned(), 400, "malformed HTTP"),
        ("no profile", call(&[CUSTOMER], "{}"), 400, "x-profile"),
        ("no customer", call(&PLANS[..1], "{}"), 400, "x-customer"),
        ("unknown profile", call(&unknown_profile, "{}"), 404, "profile"),
        ("missing ticket", call(&BOOKINGS, "{}"), 400, "Idempotency-Key"),
        ("unreadable ticket", call(&unreadable, "{}"), 400, "ticket"),
        ("ticket never issued", call(&never, "{}"), 400, "never issued"),
        ("body over the profile's limit", call(&PLANS, &large), 413, ""),
        ("oversized body", call(&PLANS, &oversized), 413, "too large"),
        ("task without a ticket", task(&ORDERS, "{}"), 400, "Idempotency-Key"),
        ("malformed JSON", task(&ticketed, "{\"size\":"), 400, "EOF"),
        ("no size", task(&ticketed, "{}"), 400, "size"),
        ("unknown field", task(&ticketed, &format!("{{{size},\"colour\":1}}")), 400, "colour"),
        ("tickets: unknown field", request("POST", "/v1/tickets", &[], "{\"n\":1}"), 400, "`n`"),
        ("tickets: count", request("POST", "/v1/tickets", &[], "{\"count\":101}"), 400, "101"),
        ("offer: malformed", request("POST", "/v1/config", &[], "{"), 400, "body"),
        ("wrong method", request("PUT", "/v1/calls", &PLANS, "{}"), 405, "method"),
        ("unknown path", request("GET", "/v2/calls", &[], ""), 404, "no such path"),
        ("unknown task", request("GET", "/v1/tasks/mine", &[], ""), 400, "ticket"),
    ];
    for (what, text, status, reason) in cases {
        assert_refused(what, &send(entry, what, &text), status, reason);
    }
    assert_eq!(deployment.platform.executor_counter("started"), started, "a refused call ran");
    assert!(deployment.platform.tasks().is_empty(), "a refused task ran");
    assert!(callers::plan(entry, "afterwards", 1).is_done());
    assert_eq!(
        callers::submit(entry, &ticket, 1).outcome(),
        "accepted",
        "a refused task used up its ticket"
    );
}

/// Guards against a slow caller that holds its connection forever or is disconnected without an
/// answer, and against running an incomplete request.
#[test]
fn slow_bodies_time_out_with_an_answer() {
    let deployment = Deployment::start(1, 1, 1);
    let entry = deployment.entries[0].http;
    let started = deployment.platform.executor_counter("started");
    let text = request("POST", "/v1/calls", &PLANS, &json!({ "key": "slow" }).to_string());
    for (what, sent) in [("head", 20), ("body", text.len() - 3)] {
        let answer = send(entry, what, &text[..sent]);
        assert_refused(what, &answer, 408, "did not arrive in time");
    }
    assert_eq!(deployment.platform.executor_counter("started"), started, "an incomplete call ran");
    assert!(callers::plan(entry, "afterwards", 1).is_done());
}

/// Guards against a refusal after which the next request on the connection fails.
#[test]
fn connection_goes_on_after_a_refusal() {
    let deployment = Deployment::start(1, 1, 1);
    let mut stream =
        TcpStream::connect(deployment.entries[0].http).expect("the entry instance listens");
    stream.set_read_timeout(Some(MAX_WAIT)).expect("the bound is not zero");
    let wrong = request("POST", "/v1/calls", &BOOKINGS, "{}").replace("connection: close\r\n", "");
    let right = request("POST", "/v1/calls", &PLANS, r#"{"op":"plan","key":"right"}"#);
    stream.write_all((wrong + &right).as_bytes()).expect("the connection is open");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("the connection is closed after the second answer");
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
    assert!(text.contains("HTTP/1.1 200") && text.contains(r#""key":"right""#), "{text}");
}
