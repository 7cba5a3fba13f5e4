//! The commands `call`, `submit`, `follow` and `cancel`, which send work to entry instances.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cuminbank::{event::ExchangeError, ids::RequestTicket};
use cuminbank_net::client::{ClientAnswer, ClientRequest};
use monoio::time::sleep;
use serde_json::{json, Value};

use crate::{
    exit::{CommandOutcome, ExitStatus},
    flags::{Call, Submit},
    session::{CliSession, FirstAnswer, CALL_TIMEOUT, STATE_TIMEOUT},
};

/// Time between two reads of a task's state.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an answer from any entry instance after which `follow` gives up.
const MAX_FOLLOW_SILENCE: Duration = Duration::from_secs(30);

/// Sends an urgent call. After a lost answer the request is repeated with the same ticket, so that
/// the call runs at most once.
pub async fn call(session: &CliSession, flags: &Call) -> Result<CommandOutcome, CommandOutcome> {
    session.require_entry()?;
    let body = match &flags.body {
        Some(path) => read_file(path)?,
        None => Bytes::new(),
    };
    let ticket = obtain_ticket(session, flags.ticket.as_deref()).await?;
    let mut request = ClientRequest::new_post("/v1/calls", body)
        .with_header("x-profile", &*flags.profile)
        .with_header("x-customer", &*flags.customer)
        .with_header("idempotency-key", &*ticket);
    if let Some(class) = &flags.class {
        request = request.with_header("x-class", &**class);
    }
    let result = session.send_any(&request, CALL_TIMEOUT).await;
    let found = result.map_err(|error| exchange_failure(error, &ticket))?;
    let attempted_before = found.earlier_attempt_lost || flags.ticket.is_some();
    Ok(work_outcome(&found.answer, &ticket, attempted_before))
}

/// Submits a batch task. After a lost answer the request is repeated with the same ticket, so that
/// the task is accepted at most once.
pub async fn submit(
    session: &CliSession,
    flags: &Submit,
) -> Result<CommandOutcome, CommandOutcome> {
    session.require_entry()?;
    let body = read_file(&flags.file)?;
    serde_json::from_slice::<Value>(&body).map_err(|error| {
        let text = format!("{}: {error}", flags.file.display());
        CommandOutcome::new_failed(ExitStatus::Usage, text)
    })?;
    let ticket = obtain_ticket(session, flags.ticket.as_deref()).await?;
    let request = ClientRequest::new_post("/v1/tasks", body)
        .with_header("x-profile", &*flags.profile)
        .with_header("x-customer", &*flags.customer)
        .with_header("idempotency-key", &*ticket);
    let result = session.send_any(&request, CALL_TIMEOUT).await;
    let found = result.map_err(|error| exchange_failure(error, &ticket))?;
    let attempted_before = found.earlier_attempt_lost || flags.ticket.is_some();
    Ok(work_outcome(&found.answer, &ticket, attempted_before))
}

/// Prints each change of a task's state to standard error until the task ends; the outcome holds
/// its result.
pub async fn follow(session: &CliSession, task: &str) -> Result<CommandOutcome, CommandOutcome> {
    session.require_entry()?;
    check_ticket(task)?;
    let mut last_state = String::new();
    let mut last_answer = Instant::now();
    loop {
        let request = ClientRequest::new_get(format!("/v1/tasks/{task}"));
        match session.send_any(&request, STATE_TIMEOUT).await {
            Ok(FirstAnswer { answer, .. }) if answer.status == 200 => {
                last_answer = Instant::now();
                let status = json_body(&answer);
                let state = status["state"].as_str().unwrap_or("unknown").to_owned();
                if state != last_state {
                    eprintln!("{task}: {state}");
                    last_state.clone_from(&state);
                }
                if is_final(&state) {
                    return task_outcome(session, task, &state, status).await;
                }
            }
            Ok(FirstAnswer { answer, .. }) if answer.status < 500 => {
                return Ok(query_outcome(&answer, task));
            }
            Ok(_) => last_answer = Instant::now(),
            Err(error) if last_answer.elapsed() >= MAX_FOLLOW_SILENCE => {
                return Err(CommandOutcome::from_error("every entry instance", error));
            }
            Err(_) => {}
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether a task in this state has ended.
fn is_final(state: &str) -> bool {
    ["finished", "failed", "cancelled", "expired"].contains(&state)
}

/// Returns the outcome of `follow` for a task that has ended, with its result if it finished.
async fn task_outcome(
    session: &CliSession,
    task: &str,
    state: &str,
    status: Value,
) -> Result<CommandOutcome, CommandOutcome> {
    if state != "finished" {
        let reason = status["reason"].as_str().map(|reason| format!(": {reason}"));
        let text = format!("{task} is {state}{}", reason.unwrap_or_default());
        return Ok(CommandOutcome::new_failed(ExitStatus::NotRun, text).with_data(status));
    }
    let request = ClientRequest::new_get(format!("/v1/tasks/{task}/result"));
    let result = session.send_any(&request, STATE_TIMEOUT).await;
    let found =
        result.map_err(|error| CommandOutcome::from_error("every entry instance", error))?;
    Ok(query_outcome(&found.answer, task))
}

/// Cancels a task. Cancelling is idempotent, so the request is repeated after a lost answer.
pub async fn cancel(session: &CliSession, task: &str) -> Result<CommandOutcome, CommandOutcome> {
    session.require_entry()?;
    check_ticket(task)?;
    let request = ClientRequest::new_post(format!("/v1/tasks/{task}/cancel"), Bytes::new());
    let result = session.send_any(&request, STATE_TIMEOUT).await;
    let found = result.map_err(|error| exchange_failure(error, task))?;
    let answer = found.answer;
    let status = json_body(&answer);
    let state = status["state"].as_str().unwrap_or_default();
    if answer.status == 200 && is_final(state) && state != "cancelled" {
        let text = format!("{task} was not cancelled: it is {state}");
        return Ok(CommandOutcome::new_failed(ExitStatus::NotRun, text).with_data(status));
    }
    Ok(work_outcome(&answer, task, found.earlier_attempt_lost))
}

/// Converts the answer to a query of a task into the outcome of the command.
fn query_outcome(answer: &ClientAnswer, task: &str) -> CommandOutcome {
    if answer.status == 200 {
        return work_outcome(answer, task, false);
    }
    let value = json_body(answer);
    let reason = value["reason"].as_str().unwrap_or("the answer names no reason");
    let text = format!("{task}: status {}: {reason}", answer.status);
    CommandOutcome::new_failed(ExitStatus::NotRun, text).with_data(value)
}

/// Converts the answer to a request for work into the outcome of the command.
///
/// A refusal holds only for the attempt that it answers: with `attempted_before`, an earlier
/// attempt may have run, so the outcome is unknown.
pub fn work_outcome(answer: &ClientAnswer, ticket: &str, attempted_before: bool) -> CommandOutcome {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let value = json_body(answer);
    let data = json!({ "http_status": answer.status, "ticket": ticket, "body": value });
    let reason = value["reason"].as_str().unwrap_or(&body).to_owned();
    match answer.header("x-outcome").or_else(|| value["outcome"].as_str()) {
        Some("done" | "accepted") => CommandOutcome::new_done(body, data),
        Some("not_run") if attempted_before => {
            let text = format!(
                "the outcome of {ticket} is unknown: an earlier attempt may have run, and this \
                 one was refused: {reason}"
            );
            CommandOutcome::new_failed(ExitStatus::Unknown, text).with_data(data)
        }
        Some("not_run") => {
            let again = value["retry_after_ms"].as_u64();
            let again = again.map(|delay| format!("; try again in {delay} ms"));
            let text = format!("{ticket} did not run: {reason}{}", again.unwrap_or_default());
            CommandOutcome::new_failed(ExitStatus::NotRun, text).with_data(data)
        }
        Some("unknown") => {
            let text = format!("the outcome of {ticket} is unknown: {reason}");
            CommandOutcome::new_failed(ExitStatus::Unknown, text).with_data(data)
        }
        _ => {
            let text = format!("unexpected answer with status {}: {body}", answer.status);
            CommandOutcome::new_failed(ExitStatus::Unknown, text).with_data(data)
        }
    }
}

/// Returns the outcome of a request for work that no entry instance answered.
fn exchange_failure(error: ExchangeError, ticket: &str) -> CommandOutcome {
    if error != ExchangeError::Lost {
        return CommandOutcome::from_error("every entry instance", error);
    }
    let text = format!(
        "the outcome of {ticket} is unknown: the answer was lost. Repeating the command with \
         this ticket does not run it twice"
    );
    CommandOutcome::new_failed(ExitStatus::Unknown, text).with_data(json!({ "ticket": ticket }))
}

/// Returns the given ticket, or a new one issued by an entry instance.
async fn obtain_ticket(
    session: &CliSession,
    given: Option<&str>,
) -> Result<String, CommandOutcome> {
    if let Some(ticket) = given {
        check_ticket(ticket)?;
        return Ok(ticket.to_owned());
    }
    let request = ClientRequest::new_post("/v1/tickets", r#"{"count":1}"#);
    let result = session.send_any(&request, STATE_TIMEOUT).await;
    let found =
        result.map_err(|error| CommandOutcome::from_error("every entry instance", error))?;
    let answer = found.answer;
    let value = json_body(&answer);
    match value["tickets"][0].as_str() {
        Some(ticket) if answer.status == 200 => Ok(ticket.to_owned()),
        _ => {
            let reason = value["reason"].as_str().unwrap_or("the answer holds no ticket");
            let text = format!("no ticket was issued, so no work was sent: {reason}");
            Err(CommandOutcome::new_failed(ExitStatus::NotRun, text))
        }
    }
}

fn check_ticket(text: &str) -> Result<(), CommandOutcome> {
    let parsed: Result<RequestTicket, _> = text.parse();
    parsed.map(|_| ()).map_err(|error| {
        let text = format!("\"{text}\" is not a ticket or task id: {error}");
        CommandOutcome::new_failed(ExitStatus::Usage, text)
    })
}

fn json_body(answer: &ClientAnswer) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

fn read_file(path: &Path) -> Result<Bytes, CommandOutcome> {
    std::fs::read(path).map(Bytes::from).map_err(|error| {
        CommandOutcome::new_failed(ExitStatus::Usage, format!("{}: {error}", path.display()))
    })
}
