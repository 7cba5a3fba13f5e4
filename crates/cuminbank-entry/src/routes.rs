//! HTTP API for callers and operators.

use std::rc::Rc;

use cuminbank::{
    effect::CallerAnswer,
    event::{CallRequest, EntryEvent, StateQuery, TaskQuery, TaskSubmission},
    ids::RequestTicket,
    profile::ProfileChange,
    worker::ResourceSize,
};
use cuminbank_net::server::{ServerAction, ServerRequest, ServerResponse};
use http::Method;
use serde::Deserialize;

use crate::daemon::DaemonState;

/// Maximum number of tickets in one request.
const MAX_TICKETS: u32 = 100;

/// Routes a request and returns the response, also for a malformed or unknown one.
pub(crate) async fn handle(state: Rc<DaemonState>, request: ServerRequest) -> ServerAction {
    let answer = match route(&state, request).await {
        Ok(answer) | Err(answer) => answer,
    };
    ServerAction::Respond(ServerResponse::from_answer(answer))
}

async fn route(
    state: &Rc<DaemonState>,
    request: ServerRequest,
) -> Result<CallerAnswer, CallerAnswer> {
    let path = request.path.clone();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let answer = match (&request.method, segments.as_slice()) {
        (&Method::POST, ["v1", "calls"]) => {
            let call = parse_call(request)?;
            state.wait_for_answer(|reply| EntryEvent::CallArrived { reply, call }).await
        }
        (&Method::POST, ["v1", "tickets"]) => {
            let count = parse_ticket_count(&request)?;
            state.wait_for_answer(|reply| EntryEvent::TicketsRequested { reply, count }).await
        }
        (&Method::POST, ["v1", "tasks"]) => {
            let submission = parse_submission(&request)?;
            state.wait_for_answer(|reply| EntryEvent::TaskArrived { reply, submission }).await
        }
        (&Method::GET, ["v1", "tasks", id]) => query_task(state, id, TaskQuery::Status).await?,
        (&Method::GET, ["v1", "tasks", id, "result"]) => {
            query_task(state, id, TaskQuery::Result).await?
        }
        (&Method::POST, ["v1", "tasks", id, "cancel"]) => {
            query_task(state, id, TaskQuery::Cancel).await?
        }
        (&Method::GET, ["v1", "status"]) => query_state(state, StateQuery::Status).await,
        (&Method::GET, ["v1", "config"]) => query_state(state, StateQuery::Config).await,
        (&Method::GET, ["v1", "ready"]) => query_state(state, StateQuery::Ready).await,
        (&Method::POST, ["v1", "config"]) => {
            let changes = parse_changes(&request)?;
            state.wait_for_answer(|reply| EntryEvent::ConfigOffered { reply, changes }).await
        }
        (&Method::POST, ["v1", "drain"]) => {
            state.begin_drain();
            CallerAnswer::new_done(200, r#"{"draining":true}"#.into())
        }
        (_, known) if is_known_path(known) => {
            CallerAnswer::new_not_run(405, "the method is not allowed on this path")
        }
        _ => CallerAnswer::new_not_run(404, "no such path"),
    };
    Ok(answer)
}

fn is_known_path(segments: &[&str]) -> bool {
    match segments {
        ["v1", name] => {
            ["calls", "tickets", "tasks", "status", "config", "ready", "drain"].contains(name)
        }
        ["v1", "tasks", ..] => true,
        _ => false,
    }
}

async fn query_state(state: &Rc<DaemonState>, query: StateQuery) -> CallerAnswer {
    state.wait_for_answer(|reply| EntryEvent::StateRequested { reply, query }).await
}

async fn query_task(
    state: &Rc<DaemonState>,
    id: &str,
    query: TaskQuery,
) -> Result<CallerAnswer, CallerAnswer> {
    let ticket = parse_ticket(id)?;
    Ok(state.wait_for_answer(|reply| EntryEvent::TaskQueried { reply, ticket, query }).await)
}

fn bad_request(reason: impl AsRef<str>) -> CallerAnswer {
    CallerAnswer::new_not_run(400, reason.as_ref())
}

fn parse_ticket(text: &str) -> Result<RequestTicket, CallerAnswer> {
    text.parse().map_err(|error| bad_request(format!("{text:?} is no ticket: {error}")))
}

fn required_header(request: &ServerRequest, name: &str) -> Result<String, CallerAnswer> {
    let value = request.header(name).unwrap_or_default().trim();
    let allowed = (1..=64).contains(&value.chars().count());
    if !allowed {
        return Err(bad_request(format!("the header {name} has to have 1 to 64 characters")));
    }
    Ok(value.to_owned())
}

fn parse_call(request: ServerRequest) -> Result<CallRequest, CallerAnswer> {
    let profile = required_header(&request, "x-profile")?;
    let customer = required_header(&request, "x-customer")?;
    let class = match request.header("x-class") {
        Some(_) => required_header(&request, "x-class")?,
        None => profile.clone(),
    };
    let ticket = request.header("idempotency-key").map(parse_ticket).transpose()?;
    Ok(CallRequest { profile, customer, class, ticket, body: request.body })
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketBody {
    #[serde(default = "default_ticket_count")]
    count: u32,
}

fn default_ticket_count() -> u32 {
    1
}

fn parse_ticket_count(request: &ServerRequest) -> Result<u32, CallerAnswer> {
    if request.body.is_empty() {
        return Ok(1);
    }
    let body: TicketBody = serde_json::from_slice(&request.body)
        .map_err(|error| bad_request(format!("body: {error}")))?;
    if !(1..=MAX_TICKETS).contains(&body.count) {
        return Err(bad_request(format!(
            "count: {} is not allowed: 1 to {MAX_TICKETS}",
            body.count
        )));
    }
    Ok(body.count)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskBody {
    class: Option<String>,
    size: ResourceSize,
    declared_run_ms: Option<u64>,
    #[serde(default)]
    input: serde_json::Value,
}

fn parse_submission(request: &ServerRequest) -> Result<TaskSubmission, CallerAnswer> {
    let profile = required_header(request, "x-profile")?;
    let customer = required_header(request, "x-customer")?;
    let Some(key) = request.header("idempotency-key") else {
        return Err(bad_request(
            "the header Idempotency-Key has to carry a ticket of POST /v1/tickets",
        ));
    };
    let ticket = parse_ticket(key)?;
    let body: TaskBody = serde_json::from_slice(&request.body)
        .map_err(|error| bad_request(format!("body: {error}")))?;
    Ok(TaskSubmission {
        ticket,
        class: body.class.unwrap_or_else(|| profile.clone()),
        profile,
        customer,
        size: body.size,
        declared_run_ms: body.declared_run_ms,
        input: body.input.to_string(),
    })
}

fn parse_changes(request: &ServerRequest) -> Result<Vec<ProfileChange>, CallerAnswer> {
    serde_json::from_slice(&request.body).map_err(|error| bad_request(format!("body: {error}")))
}
