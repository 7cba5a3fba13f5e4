//! The commands `status`, `drain` and `report`, which operate the entry instances.

use std::{net::SocketAddr, path::Path, time::SystemTime};

use cuminbank::{
    event::ExchangeError,
    profile::WorkProfile,
    record::{day_name, day_prefix, day_start, StoredRecord},
    store::{StoreValue, PROFILE_PREFIX},
};
use cuminbank_net::client::ClientRequest;
use serde_json::{json, Value};

use crate::{
    exit::{CommandOutcome, ExitStatus},
    report::{html::to_html, text::to_text, DayReport, ReportInput},
    session::{CliSession, STATE_TIMEOUT},
};

/// Records in one read: a record is up to 1 MB, and the client accepts answers up to 64 MiB.
const PAGE_RECORDS: u32 = 40;

/// Shows the state of every entry instance, including those that do not answer.
pub async fn status(session: &CliSession) -> Result<CommandOutcome, CommandOutcome> {
    session.require_entry()?;
    let mut outcome = CommandOutcome::new_done(String::new(), Value::Null);
    let mut lines = Vec::new();
    let mut data = Vec::new();
    for address in &session.settings.entry {
        match query_status(session, *address).await {
            Ok(status) => {
                lines.push(format!("{address}:"));
                lines.extend(status_lines(&status));
                data.push(json!({ "entry": address, "status": status }));
            }
            Err(error) => {
                outcome.status = ExitStatus::Unreachable;
                lines.push(format!("{address}: {error}"));
                data.push(json!({ "entry": address, "error": error }));
            }
        }
    }
    outcome.text = lines.join("\n");
    outcome.data = json!(data);
    Ok(outcome)
}

async fn query_status(session: &CliSession, address: SocketAddr) -> Result<Value, String> {
    let request = ClientRequest::new_get("/v1/status");
    let answer = session.send(address, request, STATE_TIMEOUT).await;
    let answer = answer.map_err(|error| CommandOutcome::from_error("it", error).text)?;
    serde_json::from_slice(&answer.body)
        .map_err(|error| format!("its answer is not valid JSON: {error}"))
}

/// Returns one line for each part of an instance's state.
fn status_lines(status: &Value) -> Vec<String> {
    let parts = status.as_object().into_iter().flatten();
    parts.map(|(name, state)| format!("  {name}: {state}")).collect()
}

/// Begins the planned stop (drain) of an entry instance. The request is idempotent, so it is sent
/// again after a lost answer.
pub async fn drain(session: &CliSession, address: SocketAddr) -> CommandOutcome {
    let request = ClientRequest::new_post("/v1/drain", "");
    let mut result = session.send(address, request.clone(), STATE_TIMEOUT).await;
    let lost = result.as_ref().err() == Some(&ExchangeError::Lost);
    if lost {
        result = session.send(address, request, STATE_TIMEOUT).await;
    }
    match result {
        Ok(answer) if answer.status == 200 => {
            let data = json!({ "entry": address, "draining": true });
            CommandOutcome::new_done(format!("{address}: the planned stop has begun"), data)
        }
        Ok(answer) => {
            let text = format!("{address}: refused with status {}", answer.status);
            CommandOutcome::new_failed(ExitStatus::NotRun, text)
        }
        // The first request may have taken effect and the instance stopped before the second.
        Err(_) if lost => {
            let text = format!("{address}: the answer was lost; the planned stop may have begun");
            CommandOutcome::new_failed(ExitStatus::Unknown, text)
        }
        Err(error) => CommandOutcome::from_error(&address.to_string(), error),
    }
}

/// Prints the report of a day (`YYYY-MM-DD` in UTC, today if `None`), and writes it as a page to
/// `html` if given.
pub async fn report(
    session: &CliSession,
    day: Option<&str>,
    html: Option<&Path>,
) -> Result<CommandOutcome, CommandOutcome> {
    let now = SystemTime::now();
    let day = day.map_or_else(|| day_name(now), str::to_owned);
    if day_start(&day).is_none() {
        let text = format!("--day: \"{day}\" is not allowed: a day as YYYY-MM-DD");
        return Err(CommandOutcome::new_failed(ExitStatus::Usage, text));
    }
    let input = read_input(session, &day, now).await?;
    let report = DayReport::new(&input);
    if let Some(path) = html {
        write_page(&report, path)?;
    }
    let faults: Vec<String> = report.faults.iter().map(ToString::to_string).collect();
    let data = json!({
        "day": report.day,
        "headline": report.headline(),
        "went_well": faults.is_empty(),
        "faults": faults,
        "gaps": report.gaps.iter().map(ToString::to_string).collect::<Vec<_>>(),
    });
    Ok(CommandOutcome::new_done(to_text(&report).trim_end(), data))
}

fn write_page(report: &DayReport, path: &Path) -> Result<(), CommandOutcome> {
    let page = to_html(report).map_err(|error| format!("the plots could not be drawn: {error}"));
    let written = page.and_then(|page| {
        std::fs::write(path, page).map_err(|error| format!("{}: {error}", path.display()))
    });
    written.map_err(|text| CommandOutcome::new_failed(ExitStatus::NotRun, text))
}

/// Reads the records of a day (`YYYY-MM-DD`) and the stored profiles. Records that cannot be
/// decoded are listed in the input; profiles that cannot be decoded are left out.
pub async fn read_input(
    session: &CliSession,
    day: &str,
    now: SystemTime,
) -> Result<ReportInput, CommandOutcome> {
    let mut input = ReportInput::new(day, now);
    for value in session.read(PROFILE_PREFIX, true).await? {
        if let Ok(profile) = WorkProfile::from_json(&value.value) {
            input.profiles.insert(profile.name.clone(), profile);
        }
    }
    let prefix = day_prefix(day);
    let mut after: Option<String> = None;
    loop {
        let values = session.read_page(&prefix, after.as_deref(), PAGE_RECORDS).await?;
        let Some(last) = values.last() else { return Ok(input) };
        after = Some(last.key.clone());
        values.iter().for_each(|value| add_value(&mut input, value));
    }
}

/// Adds a stored record to the input, or its key and error if it cannot be decoded.
fn add_value(input: &mut ReportInput, value: &StoreValue) {
    match StoredRecord::decode(&value.value) {
        Ok(stored) => input.push_record(stored.record),
        Err(error) => input.unreadable.push(format!("{}: {error}", value.key)),
    }
}
