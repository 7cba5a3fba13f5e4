//! Readiness check of the load balancer, metrics and the operator API.

use std::rc::Rc;

use cuminbank_jobs::{
    ids::JobId,
    job::{JobOutcome, JobPhase},
    peer::{OwnerAnswer, OwnerQuestion, WaitReason},
};
use cuminbank_net::server::{ServerAction, ServerRequest, ServerResponse};
use serde_json::json;

use crate::{daemon::DaemonState, owner::PhaseAnswer};

/// Handles the readiness check of the load balancer: 200 if ready, otherwise 503.
pub(crate) async fn handle_readiness(
    state: Rc<DaemonState>,
    _request: ServerRequest,
) -> ServerAction {
    let status = if state.is_ready() { 200 } else { 503 };
    ServerAction::Respond(ServerResponse::new_json(status, "{}"))
}

/// Serves the metrics, the status of the instance, and the state and recent decisions of a job.
pub(crate) async fn handle(state: Rc<DaemonState>, request: ServerRequest) -> ServerAction {
    let response = match request.path.as_str() {
        "/metrics" => ServerResponse {
            status: 200,
            headers: vec![("content-type", "text/plain; version=0.0.4".to_owned())],
            body: state.metrics_text(),
        },
        "/v1/status" => ServerResponse::new_json(200, state.status().to_string()),
        path => match path.strip_prefix("/v1/jobs/") {
            Some(id) => match id.strip_suffix("/decisions") {
                Some(id) => decisions_response(&state, id),
                None => job_response(&state, id).await,
            },
            None => ServerResponse::new_json(404, json!({ "error": "no such page" }).to_string()),
        },
    };
    ServerAction::Respond(response)
}

async fn job_response(state: &Rc<DaemonState>, id: &str) -> ServerResponse {
    let Ok(job) = JobId::from_str_radix(id, 16) else { return bad_id() };
    let answer = state.phase_of(job).await;
    let phase = match answer {
        PhaseAnswer::Known(JobPhase::Queued) => "queued",
        PhaseAnswer::Known(JobPhase::Running) => "running",
        PhaseAnswer::Known(JobPhase::Ended(JobOutcome::Completed)) => "completed",
        PhaseAnswer::Known(JobPhase::Ended(JobOutcome::Failed)) => "failed",
        PhaseAnswer::Known(JobPhase::Ended(JobOutcome::Cancelled)) => "cancelled",
        PhaseAnswer::Missing => "missing",
        PhaseAnswer::Unavailable => "unavailable",
    };
    let cell = state.likely_cell(job);
    let question = cell.map(|cell| OwnerQuestion::Describe { cell, job });
    let described = match question {
        Some(question) => state.ask_owner(&question).await,
        None => OwnerAnswer::NotOwner,
    };
    let detail = match described {
        OwnerAnswer::Described(detail) => json!({
            "queue": detail.queue,
            "age_ms": detail.age.as_millis() as u64,
            "left_ms": detail.left.as_millis() as u64,
            "tasks": { "blocked": detail.blocked, "ready": detail.ready, "active": detail.active,
                "done": detail.done },
            "executors": detail.executors,
            "waits_for": detail.waits.map(|reason| match reason {
                WaitReason::EarlierRuns => "runs of an earlier owner",
                WaitReason::Room => "room",
                WaitReason::NoExecutor => "an executor of its service",
            }),
        }),
        _ => serde_json::Value::Null,
    };
    let owner = cell.and_then(|cell| state.cell(cell)).map(|cell| cell.status());
    let body = json!({ "job": id, "phase": phase, "cell": owner, "detail": detail });
    ServerResponse::new_json(200, body.to_string())
}

/// Returns the recent decisions of this instance about a job.
fn decisions_response(state: &Rc<DaemonState>, id: &str) -> ServerResponse {
    let Ok(job) = JobId::from_str_radix(id, 16) else { return bad_id() };
    let rows: Vec<_> = state
        .decisions(job)
        .into_iter()
        .map(|(at, record)| {
            json!({
                "at_ms": at.as_millis() as u64,
                "instance": state.settings.instance,
                "event": format!("EV{:04}", record.code.number),
                "summary": record.code.summary,
                "detail": record.detail,
            })
        })
        .collect();
    ServerResponse::new_json(200, json!({ "job": id, "decisions": rows }).to_string())
}

fn bad_id() -> ServerResponse {
    let body = json!({ "error": "a job id has 16 hexadecimal digits" }).to_string();
    ServerResponse::new_json(400, body)
}
