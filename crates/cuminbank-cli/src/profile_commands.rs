//! The commands `profile check`, `apply`, `show`, `history` and `diff`.

use std::{
    hash::{BuildHasher, Hasher, RandomState},
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use cuminbank::{
    profile::ProfileChange,
    store::{StoreValue, PROFILE_PREFIX},
};
use cuminbank_net::client::ClientRequest;
use monoio::time::sleep;
use serde_json::{json, Value};

use crate::{
    apply::{history_prefix, profile_key, ApplyOutcome, HistoryEntry, ProfileApply},
    exit::{CommandOutcome, ExitStatus},
    flags::Apply,
    profile_file::{check_document, unified_diff, ProfileDocument},
    session::{unix_seconds, CliSession, STATE_TIMEOUT},
};

/// Longest wait of `--wait` until a change is active on every entry instance. The system's own
/// limit for this is 6 s.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two polls of the entry instances during `--wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two progress lines during `--wait`.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a retry after a failed request to the store.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Validates documents; the outcome has a line for each.
pub fn check(files: &[PathBuf]) -> CommandOutcome {
    if files.is_empty() {
        return CommandOutcome::new_failed(
            ExitStatus::Usage,
            "no file to check: give at least one",
        );
    }
    let results: Vec<Result<String, String>> = files
        .iter()
        .map(|file| {
            let document = read_document(file)?;
            Ok(format!("{}: profile \"{}\" is valid", file.display(), document.profile.name))
        })
        .collect();
    let status =
        if results.iter().all(Result::is_ok) { ExitStatus::Done } else { ExitStatus::Usage };
    let lines: Vec<String> =
        results.into_iter().map(|result| result.unwrap_or_else(|error| error)).collect();
    CommandOutcome { status, text: lines.join("\n"), data: Value::Null }
}

/// Validates a document, commits it to the store, and sends the change to every entry instance.
pub async fn apply(session: &CliSession, flags: &Apply) -> Result<CommandOutcome, CommandOutcome> {
    let document = read_document(&flags.file).map_err(usage)?;
    session.require_store()?;
    if flags.wait {
        session.require_entry()?;
    }
    let name = document.profile.name.clone();
    let by = flags.by.clone().or_else(|| session.settings.by.clone());
    let entry = HistoryEntry {
        at: unix_seconds(),
        operation: new_operation_id(),
        by: by.unwrap_or_else(|| "not named".to_owned()),
        document: document.text.clone(),
    };
    let operation = entry.operation.clone();
    let outcome = commit(session, ProfileApply::new(&name, entry, flags.expect_revision)).await;
    let (revision, what) = match outcome {
        ApplyOutcome::Committed(revision) => (revision, "committed"),
        ApplyOutcome::Unchanged(revision) => (revision, "already stored"),
        failed => return Err(apply_failure(&name, &operation, &flags.file, &document, failed)),
    };
    let change = ProfileChange { name, revision, profile: Some(document.text) };
    let push_failures = push_change(session, &change).await;
    let mut lines = vec![format!("profile \"{}\": {what} at revision {revision}", change.name)];
    lines.extend(push_failures);
    let mut status = ExitStatus::Done;
    if flags.wait {
        let (waited, all) = wait_until_active(session, &change).await;
        lines.extend(waited);
        status = if all { ExitStatus::Done } else { ExitStatus::Unknown };
    }
    let data = json!({ "name": change.name, "revision": revision, "operation": operation });
    Ok(CommandOutcome { status, text: lines.join("\n"), data })
}

/// Runs a commit until it has an outcome.
async fn commit(session: &CliSession, mut apply: ProfileApply) -> ApplyOutcome {
    loop {
        let result = session.call_store(&apply.request()).await;
        let failed = result.is_err();
        if let Some(outcome) = apply.on_reply(result) {
            return outcome;
        }
        if failed {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Creates the outcome of a commit that failed, or that may not have taken effect.
pub fn apply_failure(
    name: &str,
    operation: &str,
    file: &Path,
    document: &ProfileDocument,
    outcome: ApplyOutcome,
) -> CommandOutcome {
    match outcome {
        ApplyOutcome::Conflict(revision, stored) => {
            let found = match &stored {
                Some(_) => format!("the stored profile is at revision {revision}"),
                None => "the profile is not stored".to_owned(),
            };
            let stored = stored.unwrap_or_default();
            let old = (&*format!("stored at revision {revision}"), &*stored);
            let own = file.display().to_string();
            let diff = unified_diff(old, (&own, &document.text));
            let text = format!(
                "profile \"{name}\": another change was committed first, {found}; nothing was \
                 changed\n{diff}"
            );
            CommandOutcome::new_failed(ExitStatus::Conflict, text.trim_end())
                .with_data(json!({ "name": name, "revision": revision, "difference": diff }))
        }
        ApplyOutcome::Refused(status) => CommandOutcome::new_failed(
            ExitStatus::NotRun,
            format!(
                "profile \"{name}\": the store refused with status {status}; nothing was changed"
            ),
        ),
        ApplyOutcome::Unreachable => CommandOutcome::new_failed(
            ExitStatus::Unreachable,
            format!("profile \"{name}\": the store cannot be reached; nothing was changed"),
        ),
        ApplyOutcome::Committed(_) | ApplyOutcome::Unchanged(_) | ApplyOutcome::Unknown => {
            CommandOutcome::new_failed(
                ExitStatus::Unknown,
                format!(
                    "profile \"{name}\": the answer of the store was lost; the change may be \
                     active. If it is, `cuminbank profile history \"{name}\"` lists operation \
                     {operation}"
                ),
            )
        }
    }
}

/// Sends a change to every entry instance, so that it becomes active before the store's watch
/// reports it. Returns a line for each instance that did not accept it.
async fn push_change(session: &CliSession, change: &ProfileChange) -> Vec<String> {
    let body = json!([change]).to_string();
    let mut lines = Vec::new();
    for address in &session.settings.entry {
        let request = ClientRequest::new_post("/v1/config", body.clone());
        match session.send(*address, request, STATE_TIMEOUT).await {
            Ok(answer) if answer.status == 200 => {}
            Ok(answer) => lines.push(format!(
                "{address}: the change was answered with status {}; the instance learns it from \
                 the store's watch",
                answer.status
            )),
            Err(_) => {
                lines.push(format!(
                    "{address}: no answer to the change; the instance learns it from the store's \
                     watch"
                ));
            }
        }
    }
    lines
}

/// Waits until a change is active on all entry instances, at most [`ACTIVATION_TIMEOUT`]. Returns a
/// line for each instance, and whether it is active on all.
async fn wait_until_active(session: &CliSession, change: &ProfileChange) -> (Vec<String>, bool) {
    let started = Instant::now();
    let entries = &session.settings.entry;
    let mut since: Vec<Option<Duration>> = vec![None; entries.len()];
    let mut next_progress = PROGRESS_INTERVAL;
    loop {
        for (address, found) in entries.iter().zip(&mut since) {
            if found.is_none() && is_active(session, *address, change).await {
                *found = Some(started.elapsed());
            }
        }
        let missing = since.iter().filter(|found| found.is_none()).count();
        if missing == 0 || started.elapsed() >= ACTIVATION_TIMEOUT {
            break;
        }
        if started.elapsed() >= next_progress {
            next_progress = started.elapsed() + PROGRESS_INTERVAL;
            eprintln!(
                "waiting for {missing} of {} entry instances ({:.0} s)",
                entries.len(),
                started.elapsed().as_secs_f64()
            );
        }
        sleep(POLL_INTERVAL).await;
    }
    let lines = entries.iter().zip(&since).map(|(address, found)| match found {
        Some(time) => format!("{address}: active after {:.1} s", time.as_secs_f64()),
        None => format!("{address}: not known to be active after 10 s"),
    });
    (lines.collect(), since.iter().all(Option::is_some))
}

/// Returns whether an entry instance reports the change, or a later one of the same profile.
async fn is_active(session: &CliSession, address: SocketAddr, change: &ProfileChange) -> bool {
    let request = ClientRequest::new_get("/v1/config");
    let Ok(answer) = session.send(address, request, STATE_TIMEOUT).await else { return false };
    let changes: Vec<ProfileChange> = serde_json::from_slice(&answer.body).unwrap_or_default();
    changes
        .iter()
        .any(|candidate| candidate.name == change.name && candidate.revision >= change.revision)
}

/// Prints one stored profile, or lists all with their revisions if `name` is `None`.
pub async fn show(
    session: &CliSession,
    name: Option<&str>,
) -> Result<CommandOutcome, CommandOutcome> {
    let Some(name) = name else {
        let values = session.read(PROFILE_PREFIX, true).await?;
        let lines: Vec<String> = values.iter().map(list_line).collect();
        let data: Vec<Value> = values.iter().map(profile_data).collect();
        return Ok(CommandOutcome::new_done(lines.join("\n"), json!(data)));
    };
    let value = stored(session, name).await?;
    Ok(CommandOutcome::new_done(document_text(&value).trim_end(), profile_data(&value)))
}

fn list_line(value: &StoreValue) -> String {
    let name = value.key.trim_start_matches(PROFILE_PREFIX);
    format!("{name} (revision {})", value.mod_revision)
}

fn profile_data(value: &StoreValue) -> Value {
    json!({
        "name": value.key.trim_start_matches(PROFILE_PREFIX),
        "revision": value.mod_revision,
        "document": document_text(value),
    })
}

/// Lists the changes of a profile in the order of their commits, each with its diff.
pub async fn history(session: &CliSession, name: &str) -> Result<CommandOutcome, CommandOutcome> {
    let mut values = session.read(&history_prefix(name), true).await?;
    values.sort_by_key(|value| value.mod_revision);
    if values.is_empty() {
        let text = format!("profile \"{name}\" has no history");
        return Err(CommandOutcome::new_failed(ExitStatus::NotRun, text));
    }
    let mut lines = Vec::new();
    let mut data = Vec::new();
    let mut last = (String::from("nothing"), String::new());
    for value in &values {
        let Ok(entry) = serde_json::from_slice::<HistoryEntry>(&value.value) else {
            lines.push(format!(
                "revision {}: the history entry cannot be decoded",
                value.mod_revision
            ));
            continue;
        };
        let title = format!("revision {}", value.mod_revision);
        lines.push(format!(
            "{title} at {} by {}, operation {}",
            time_text(entry.at),
            entry.by,
            entry.operation
        ));
        let diff = unified_diff((&last.0, &last.1), (&title, &entry.document));
        lines.push(diff.trim_end().to_owned());
        data.push(json!({ "revision": value.mod_revision, "entry": entry }));
        last = (title, entry.document);
    }
    Ok(CommandOutcome::new_done(lines.join("\n"), json!(data)))
}

fn time_text(seconds: u64) -> String {
    let time = std::time::SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
    format!("{} {} UTC", cuminbank::record::day_name(time), crate::report::clock_text(time))
}

/// Prints the diff of a stored profile and a file that holds the profile of the same name.
pub async fn diff(
    session: &CliSession,
    name: &str,
    file: &Path,
) -> Result<CommandOutcome, CommandOutcome> {
    let document = read_document(file).map_err(usage)?;
    if document.profile.name != name {
        let found = &document.profile.name;
        let text = format!("{}: name: \"{found}\" is not allowed: \"{name}\"", file.display());
        return Err(usage(text));
    }
    let value = stored(session, name).await?;
    let old = format!("stored at revision {}", value.mod_revision);
    let own = file.display().to_string();
    let diff = unified_diff((&old, &document_text(&value)), (&own, &document.text));
    let data = json!({ "revision": value.mod_revision, "difference": diff });
    if diff.is_empty() {
        return Ok(CommandOutcome::new_done("no difference", data));
    }
    Ok(CommandOutcome::new_done(diff.trim_end(), data))
}

/// Reads a stored profile; fails if there is none.
async fn stored(session: &CliSession, name: &str) -> Result<StoreValue, CommandOutcome> {
    let values = session.read(&profile_key(name), false).await?;
    values.into_iter().next().ok_or_else(|| {
        let text = format!("profile \"{name}\" is not in the store");
        CommandOutcome::new_failed(ExitStatus::NotRun, text)
    })
}

fn read_document(file: &Path) -> Result<ProfileDocument, String> {
    let name = file.display().to_string();
    let bytes = std::fs::read(file).map_err(|error| format!("{name}: {error}"))?;
    check_document(&name, &bytes)
}

fn usage(text: impl Into<String>) -> CommandOutcome {
    CommandOutcome::new_failed(ExitStatus::Usage, text)
}

fn document_text(value: &StoreValue) -> String {
    String::from_utf8_lossy(&value.value).into_owned()
}

/// Returns an operation id that sorts by time, with 64 random bits so that two operators do not
/// choose the same one.
fn new_operation_id() -> String {
    let random = RandomState::new().build_hasher().finish();
    format!("{}-{random:016x}", unix_seconds())
}
