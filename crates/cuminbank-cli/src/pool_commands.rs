//! The commands `pool`, `job` and `explain`, which query the instances of the job daemon.

use std::{collections::BTreeMap, net::SocketAddr};

use cuminbank_net::client::ClientRequest;
use serde_json::{json, Value};

use crate::{
    exit::{CommandOutcome, ExitStatus},
    session::{CliSession, STATE_TIMEOUT},
};

/// Number of hexadecimal digits of a job id.
const JOB_ID_DIGITS: usize = 16;

/// Operator address of an instance, with its answer or the reason why there is none.
type InstanceAnswer = (SocketAddr, Result<Value, String>);

/// Shows the state of each instance, and the owner, executors and load of each cell of the pool.
pub async fn pool(session: &CliSession) -> Result<CommandOutcome, CommandOutcome> {
    let answers = query_all(session, "/v1/status").await?;
    let mut lines = vec![format!(
        "{:<21} {:<20} {:<6} {:>8} {:>13} {:>6}  {:<16} {:>5} {:>6}",
        "instance", "name", "ready", "config", "store silent", "cells", "build", "reads", "writes"
    )];
    let mut cells = Vec::new();
    for (address, answer) in &answers {
        match answer {
            Ok(status) => {
                let all = status["cells"].as_array().cloned().unwrap_or_default();
                let owned: Vec<Value> =
                    all.into_iter().filter(|cell| cell["owned_here"] == json!(true)).collect();
                lines.push(format!(
                    "{:<21} {:<20} {:<6} {:>8} {:>10} ms {:>6}  {:<16} {:>5} {:>6}",
                    address.to_string(),
                    status["instance"].as_str().unwrap_or("?"),
                    status["ready"] == json!(true),
                    number_text(&status["config_version"]),
                    number_text(&status["store_silent_ms"]),
                    owned.len(),
                    status["build"].as_str().unwrap_or("-"),
                    number_text(&status["formats"]["newest"]),
                    number_text(&status["formats"]["written"])
                ));
                cells.extend(owned.into_iter().map(|cell| (status["instance"].clone(), cell)));
            }
            Err(error) => lines.push(format!("{:<21} {error}", address.to_string())),
        }
    }
    if let Some(formats) = formats_text(&answers) {
        lines.push(formats);
    }
    lines.push(format!(
        "\n{:>4} {:<20} {:>6} {:>9} {:>7} {:>8} {:>9} {:>6} {:>7} {:>9} {:>5} {:>12}",
        "cell",
        "owner",
        "epoch",
        "executors",
        "usable",
        "draining",
        "evacuated",
        "silent",
        "shunned",
        "unsettled",
        "runs",
        "waiting jobs"
    ));
    cells.sort_by_key(|(_, cell)| cell["cell"].as_u64());
    for (owner, cell) in &cells {
        let tally = |name: &str| number_text(&cell["tally"][name]);
        lines.push(format!(
            "{:>4} {:<20} {:>6} {:>9} {:>7} {:>8} {:>9} {:>6} {:>7} {:>9} {:>5} {:>12}",
            number_text(&cell["cell"]),
            owner.as_str().unwrap_or("?"),
            number_text(&cell["epoch"]),
            tally("known"),
            tally("usable"),
            tally("draining"),
            tally("evacuated"),
            tally("silent"),
            tally("shunned"),
            tally("unsettled"),
            tally("runs"),
            tally("waiting_jobs")
        ));
    }
    if let Some(zones) = evacuations_text(&answers) {
        lines.push(zones);
    }
    Ok(gathered_outcome(&answers, lines.join("\n")))
}

/// Returns a line with the zones under evacuation, each with the number of instances that know of
/// it, or `None` if no instance knows of any.
fn evacuations_text(answers: &[InstanceAnswer]) -> Option<String> {
    let statuses = || answers.iter().filter_map(|(_, answer)| answer.as_ref().ok());
    let mut informed: BTreeMap<&str, usize> = BTreeMap::new();
    for zone in statuses().flat_map(|status| status["evacuated_zones"].as_array()).flatten() {
        *informed.entry(zone.as_str()?).or_default() += 1;
    }
    let total = statuses().count();
    let zones: Vec<String> = informed
        .into_iter()
        .map(|(zone, count)| format!("{zone} (known to {count} of {total} instances)"))
        .collect();
    (!zones.is_empty()).then(|| format!("\nzones under evacuation: {}", zones.join(", ")))
}

/// Returns a line with the format version of the pool and what holds it back, as the owner of the
/// first cell sees it, or else the instance that sees the lowest floor. Returns `None` if no
/// instance reports versions.
fn formats_text(answers: &[InstanceAnswer]) -> Option<String> {
    let owns_first = |status: &Value| {
        let mut cells = status["cells"].as_array().into_iter().flatten();
        cells.any(|cell| cell["cell"] == json!(0) && cell["owned_here"] == json!(true))
    };
    let statuses = answers.iter().filter_map(|(_, answer)| answer.as_ref().ok());
    let reporting = statuses.filter(|status| status["formats"].is_object());
    let best =
        reporting.min_by_key(|s| (!owns_first(s), s["formats"]["floor"].as_u64().unwrap_or(0)))?;
    let formats = &best["formats"];
    let holders = formats["held_by"].as_array().into_iter().flatten();
    let names: Vec<&str> = holders.filter_map(Value::as_str).collect();
    let held = match names.is_empty() {
        true => String::new(),
        false => format!(", held back by {}", names.join(", ")),
    };
    Some(format!(
        "\nformat version: {} in use, all live instances read {}{held}",
        number_text(&formats["pool"]),
        number_text(&formats["floor"])
    ))
}

/// Shows the phase and progress of a job. The first usable answer is enough, since every instance
/// passes on the answer of the job's owner.
pub async fn job(session: &CliSession, id: &str) -> Result<CommandOutcome, CommandOutcome> {
    check_job_id(id)?;
    let answers = query_all(session, &format!("/v1/jobs/{id}")).await?;
    let usable = |answer: &&Value| answer["phase"] != json!("unavailable");
    let found = answers.iter().filter_map(|(_, answer)| answer.as_ref().ok()).find(usable);
    let Some(found) = found else {
        let text =
            format!("{id}: state unavailable: neither the job's owner nor the store answers");
        return Err(CommandOutcome::new_failed(ExitStatus::Unreachable, text));
    };
    if found["phase"] == json!("missing") {
        let text = format!(
            "{id}: the job was never accepted, or its record was removed after the retention time"
        );
        return Ok(CommandOutcome::new_failed(ExitStatus::NotRun, text).with_data(found.clone()));
    }
    let (cell, detail) = (&found["cell"], &found["detail"]);
    let mut lines = vec![
        format!("job        {id}"),
        format!("phase      {}", found["phase"].as_str().unwrap_or("?")),
        format!(
            "cell       {}, owned by {} in epoch {}",
            number_text(&cell["cell"]),
            cell["owner"].as_str().unwrap_or("nobody"),
            number_text(&cell["epoch"])
        ),
    ];
    if detail.is_object() {
        let tasks = &detail["tasks"];
        lines.push(format!("queue      {}", detail["queue"].as_str().unwrap_or("?")));
        lines.push(format!(
            "age        {} ms, {} ms left until its objective",
            number_text(&detail["age_ms"]),
            number_text(&detail["left_ms"])
        ));
        lines.push(format!(
            "tasks      {} done, {} running, {} ready, {} blocked",
            number_text(&tasks["done"]),
            number_text(&tasks["active"]),
            number_text(&tasks["ready"]),
            number_text(&tasks["blocked"])
        ));
        if let Some(reason) = detail["waits_for"].as_str() {
            lines.push(format!("waits for  {reason}"));
        }
        let executors = detail["executors"].as_array().into_iter().flatten();
        let names: Vec<&str> = executors.filter_map(Value::as_str).collect();
        if !names.is_empty() {
            lines.push(format!("runs on    {}", names.join(", ")));
        }
    }
    Ok(CommandOutcome::new_done(lines.join("\n"), found.clone()))
}

/// Merges the recent decisions of all instances about a job, in order of time.
pub async fn explain(session: &CliSession, id: &str) -> Result<CommandOutcome, CommandOutcome> {
    check_job_id(id)?;
    let answers = query_all(session, &format!("/v1/jobs/{id}/decisions")).await?;
    let mut rows: Vec<Value> = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok()?["decisions"].as_array().cloned())
        .flatten()
        .collect();
    // The order is approximate: the clocks of machines may differ by some milliseconds.
    rows.sort_by_key(|row| row["at_ms"].as_u64());
    let first = rows.first().and_then(|row| row["at_ms"].as_u64()).unwrap_or_default();
    let line = |row: &Value| {
        format!(
            "{:>8} ms  {:<20} {} {} {}",
            row["at_ms"].as_u64().unwrap_or_default() - first,
            row["instance"].as_str().unwrap_or("?"),
            row["event"].as_str().unwrap_or("?"),
            row["summary"].as_str().unwrap_or_default(),
            row["detail"].as_str().unwrap_or_default()
        )
    };
    let mut lines: Vec<String> = rows.iter().map(line).collect();
    for (address, answer) in &answers {
        if let Err(error) = answer {
            lines.push(format!("{address}: {error}; its decisions are missing here"));
        }
    }
    if rows.is_empty() {
        lines.push(format!("{id}: no instance that answered has a recorded decision"));
    }
    let outcome = gathered_outcome(&answers, lines.join("\n"));
    Ok(CommandOutcome { data: json!({ "job": id, "decisions": rows }), ..outcome })
}

/// Sends a GET request to every instance. Fails if none answers, with the reason of each.
async fn query_all(
    session: &CliSession,
    path: &str,
) -> Result<Vec<InstanceAnswer>, CommandOutcome> {
    session.require_operator()?;
    let mut answers = Vec::new();
    for address in &session.settings.operator {
        answers.push((*address, query_instance(session, *address, path).await));
    }
    if answers.iter().all(|(_, answer)| answer.is_err()) {
        let text = answers
            .iter()
            .filter_map(|(address, answer)| Some(format!("{address}: {}", answer.as_ref().err()?)));
        let text = text.collect::<Vec<_>>().join("\n");
        return Err(CommandOutcome::new_failed(ExitStatus::Unreachable, text));
    }
    Ok(answers)
}

/// Sends a GET request to one instance; any status but 200 is an error.
async fn query_instance(
    session: &CliSession,
    address: SocketAddr,
    path: &str,
) -> Result<Value, String> {
    let answer = session.send(address, ClientRequest::new_get(path), STATE_TIMEOUT).await;
    let answer = answer.map_err(|error| CommandOutcome::from_error("it", error).text)?;
    if answer.status != 200 {
        return Err(format!("it answered with status {}", answer.status));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|error| format!("its answer is not valid JSON: {error}"))
}

/// Creates the outcome of a command over all instances; its status is unreachable if any did not
/// answer.
fn gathered_outcome(answers: &[InstanceAnswer], text: String) -> CommandOutcome {
    let data = answers.iter().map(|(address, answer)| match answer {
        Ok(answer) => json!({ "operator": address, "answer": answer }),
        Err(error) => json!({ "operator": address, "error": error }),
    });
    let data = Value::from(data.collect::<Vec<_>>());
    match answers.iter().all(|(_, answer)| answer.is_ok()) {
        true => CommandOutcome::new_done(text, data),
        false => CommandOutcome::new_failed(ExitStatus::Unreachable, text).with_data(data),
    }
}

fn check_job_id(id: &str) -> Result<(), CommandOutcome> {
    if id.len() == JOB_ID_DIGITS && id.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return Ok(());
    }
    let text = format!("\"{id}\" is not a job id: a job id has 16 hexadecimal digits");
    Err(CommandOutcome::new_failed(ExitStatus::Usage, text))
}

/// Returns a number as text, or a dash for any other value.
fn number_text(value: &Value) -> String {
    value.as_u64().map_or_else(|| "-".to_owned(), |number| number.to_string())
}
