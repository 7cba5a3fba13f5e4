//! HTTP routes for callers and operators.

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

/// Most tickets in one request.
const MAX_TICKETS: u32 = 100;

/// Handles a request of a caller or an operator.
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
            let call = read_call(request)?;
            state.ask(|reply| EntryEvent::CallArrived { reply, call }).await
        }
        (&Method::POST, ["v1", "tickets"]) => {
            let count = read_count(&request)?;
            state.ask(|reply| EntryEvent::TicketsRequested { reply, count }).await
        }
        (&Method::POST, ["v1", "tasks"]) => {
            let submission = read_submission(&request)?;
            state.ask(|reply| EntryEvent::TaskArrived { reply, submission }).await
        }
        (&Method::GET, ["v1", "tasks", id]) => query(state, id, TaskQuery::Status).await?,
        (&Method::GET, ["v1", "tasks", id, "result"]) => {
            query(state, id, TaskQuery::Result).await?
        }
        (&Method::POST, ["v1", "tasks", id, "cancel"]) => {
            query(state, id, TaskQuery::Cancel).await?
        }
        (&Method::GET, ["v1", "status"]) => ask_state(state, StateQuery::Status).await,
        (&Method::GET, ["v1", "config"]) => ask_state(state, StateQuery::Config).await,
        (&Method::GET, ["v1", "ready"]) => ask_state(state, StateQuery::Ready).await,
        (&Method::POST, ["v1", "config"]) => {
            let changes = read_changes(&request)?;
            state.ask(|reply| EntryEvent::ConfigOffered { reply, changes }).await
        }
        (&Method::POST, ["v1", "drain"]) => {
            state.begin_drain();
            CallerAnswer::new_done(200, r#"{"draining":true}"#.into())
        }
        (_, known) if is_known(known) => {
            CallerAnswer::new_not_run(405, "the method is not allowed on this path")
        }
        _ => CallerAnswer::new_not_run(404, "no such path"),
    };
    Ok(answer)
}

fn is_known(segments: &[&str]) -> bool {
    match segments {
        ["v1", name] => {
            ["calls", "tickets", "tasks", "status", "config", "ready", "drain"].contains(name)
        }
        ["v1", "tasks", ..] => true,
        _ => false,
    }
}

async fn ask_state(state: &Rc<DaemonState>, query: StateQuery) -> CallerAnswer {
    state.ask(|reply| EntryEvent::StateRequested { reply, query }).await
}

async fn query(
    state: &Rc<DaemonState>,
    id: &str,
    query: TaskQuery,
) -> Result<CallerAnswer, CallerAnswer> {
    let ticket = read_ticket(id)?;
    Ok(state.ask(|reply| EntryEvent::TaskQueried { reply, ticket, query }).await)
}

fn bad(reason: impl AsRef<str>) -> CallerAnswer {
    CallerAnswer::new_not_run(400, reason.as_ref())
}

fn read_ticket(text: &str) -> Result<RequestTicket, CallerAnswer> {
    text.parse().map_err(|error| bad(format!("{text:?} is no ticket: {error}")))
}

fn required(request: &ServerRequest, name: &str) -> Result<String, CallerAnswer> {
    let value = request.header(name).unwrap_or_default().trim();
    let allowed = (1..=64).contains(&value.chars().count());
    if !allowed {
        return Err(bad(format!("the header {name} has to have 1 to 64 characters")));
    }
    Ok(value.to_owned())
}

fn read_call(request: ServerRequest) -> Result<CallRequest, CallerAnswer> {
    let profile = required(&request, "x-profile")?;
    let customer = required(&request, "x-customer")?;
    let class = match request.header("x-class") {
        Some(_) => required(&request, "x-class")?,
        None => profile.clone(),
    };
    let ticket = request.header("idempotency-key").map(read_ticket).transpose()?;
    Ok(CallRequest { profile, customer, class, ticket, body: request.body })
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketBody {
    #[serde(default = "one")]
    count: u32,
}

fn one() -> u32 {
    1
}

fn read_count(request: &ServerRequest) -> Result<u32, CallerAnswer> {
    if request.body.is_empty() {
        return Ok(1);
    }
    let body: TicketBody =
        serde_json::from_slice(&request.body).map_err(|error| bad(format!("body: {error}")))?;
    if !(1..=MAX_TICKETS).contains(&body.count) {
        return Err(bad(format!("count: {} is not allowed: 1 to {MAX_TICKETS}", body.count)));
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

fn read_submission(request: &ServerRequest) -> Result<TaskSubmission, CallerAnswer> {
    let profile = required(request, "x-profile")?;
    let customer = required(request, "x-customer")?;
    let Some(key) = request.header("idempotency-key") else {
        return Err(bad("the header Idempotency-Key has to carry a ticket of POST /v1/tickets"));
    };
    let ticket = read_ticket(key)?;
    let body: TaskBody =
        serde_json::from_slice(&request.body).map_err(|error| bad(format!("body: {error}")))?;
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

fn read_changes(request: &ServerRequest) -> Result<Vec<ProfileChange>, CallerAnswer> {
    serde_json::from_slice(&request.body).map_err(|error| bad(format!("body: {error}")))
}
