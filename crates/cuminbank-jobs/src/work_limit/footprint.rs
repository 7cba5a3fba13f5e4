//! Memory that a job takes while its owner holds it.

use crate::{
    job::{JobRecord, JobStep},
    scheduler::{JOB_STATE_BYTES, TASK_STATE_BYTES},
};

/// State of a step beside its record: its image, its place in the layout and its critical path.
const STEP_STATE_BYTES: usize = 24;
/// State of a step for each occurrence of its job.
const OCCURRENCE_STATE_BYTES: usize = 4;

impl JobRecord {
    /// Returns the memory in bytes that the job takes while its owner holds it. Its runs are not
    /// included: executors bound their number.
    pub fn held_bytes(&self) -> u64 {
        let occurrences = self.occurrences() as usize;
        let tasks = self.tasks_per_occurrence() as usize * occurrences;
        let step_bytes = |step: &JobStep| {
            let label = step.required_label.as_ref().map_or(0, String::len);
            let rack = step.data_rack.as_ref().map_or(0, String::len);
            size_of::<JobStep>()
                + STEP_STATE_BYTES
                + OCCURRENCE_STATE_BYTES * occurrences
                + size_of_val(step.after.as_slice())
                + step.image.len()
                + label
                + rack
        };
        let steps: usize = self.steps.iter().map(step_bytes).sum();
        (JOB_STATE_BYTES + self.payload.len() + steps + tasks * TASK_STATE_BYTES) as u64
    }
}
