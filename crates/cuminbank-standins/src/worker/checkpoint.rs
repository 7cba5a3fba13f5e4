//! Text form of a batch task's checkpoints.

use std::{fmt, str::FromStr, time::Duration};

use cuminbank::ids::AttemptNumber;

/// Checkpoint of a batch task, with those it was resumed from before.
///
/// The text form is `<attempt>:<milliseconds>` for each step, joined by `/`. The result of a task
/// contains the steps, which shows whether the task was resumed exactly once after an eviction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TaskCheckpoint {
    /// Attempt that took each checkpoint and the task's total progress at that time, oldest first.
    pub steps: Vec<(AttemptNumber, Duration)>,
}

impl TaskCheckpoint {
    /// Returns the progress of the task at the latest checkpoint.
    pub fn progress(&self) -> Duration {
        self.steps.last().map_or(Duration::ZERO, |(_, progress)| *progress)
    }

    /// Returns the checkpoint that `attempt`, which was resumed from `self`, takes at `progress`.
    pub fn with_step(&self, attempt: AttemptNumber, progress: Duration) -> Self {
        let mut steps = self.steps.clone();
        steps.push((attempt, progress));
        Self { steps }
    }
}

impl fmt::Display for TaskCheckpoint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let steps = self.steps.iter();
        let steps: Vec<_> = steps
            .map(|(attempt, progress)| format!("{attempt}:{}", progress.as_millis()))
            .collect();
        formatter.write_str(&steps.join("/"))
    }
}

impl FromStr for TaskCheckpoint {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let steps: Option<Vec<_>> = text.split('/').map(parse_step).collect();
        match steps {
            Some(steps) => Ok(Self { steps }),
            None => Err(format!("checkpoint \"{text}\" is not <attempt>:<milliseconds>/...")),
        }
    }
}

fn parse_step(text: &str) -> Option<(AttemptNumber, Duration)> {
    let (attempt, progress) = text.split_once(':')?;
    Some((attempt.parse().ok()?, Duration::from_millis(progress.parse().ok()?)))
}
