//! Builders of jobs for tests.

use std::time::Duration;

use cuminbank_jobs::job::{JobRecord, JobStep, QueueTerms, TaskNeeds};

/// Returns queue terms with the given number of attempts.
pub fn terms(max_attempts: u32) -> QueueTerms {
    QueueTerms {
        queue: "plans".to_owned(),
        service: "plans".to_owned(),
        priority: 0,
        max_attempts,
        stretch: 2.0,
        target_latency_ms: 250,
        advice: None,
    }
}

/// Returns a step of `count` tasks that need one core each.
pub fn step(count: u32, after: &[u32]) -> JobStep {
    JobStep {
        count,
        needs: TaskNeeds { cpu_millis: 1_000, memory_mb: 1_000, gpus: 0 },
        estimate_ms: 400,
        after: after.to_vec(),
        ..JobStep::default()
    }
}

/// Returns a job of the given steps.
pub fn job(steps: Vec<JobStep>) -> JobRecord {
    JobRecord {
        payload: "p".to_owned(),
        steps,
        repeat: None,
        terms: terms(3),
        accepted_at: Duration::from_secs(1_000),
    }
}
