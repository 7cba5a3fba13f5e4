//! Outcomes of commands and exit codes.

use cuminbank::event::ExchangeError;
use serde_json::{json, Value};

/// Exit code of the process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ExitStatus {
    /// The command was carried out.
    #[default]
    Done = 0,
    /// The request was refused, or the work did not run.
    NotRun = 1,
    /// Invalid arguments or input; nothing was changed.
    Usage = 2,
    /// Another change was committed first; nothing was changed.
    Conflict = 3,
    /// The change may or may not have taken effect.
    Unknown = 4,
    /// The store or an instance could not be reached.
    Unreachable = 5,
}

impl ExitStatus {
    /// Returns the exit code, 0 to 5.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Returns the name in JSON output.
    fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Usage => "usage",
            Self::Conflict => "conflict",
            Self::Unknown => "unknown",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Output and exit code of a command.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommandOutcome {
    /// Exit code.
    pub status: ExitStatus,
    /// Text for standard output if the status is [`ExitStatus::Done`], else for standard error.
    pub text: String,
    /// Machine-readable output for `--json`; `Null` if the text has no structured form.
    pub data: Value,
}

impl CommandOutcome {
    /// Creates the outcome of a command that was carried out.
    pub fn new_done(text: impl Into<String>, data: Value) -> Self {
        Self { status: ExitStatus::Done, text: text.into(), data }
    }

    /// Creates the outcome of a command that failed, without data.
    pub fn new_failed(status: ExitStatus, text: impl Into<String>) -> Self {
        Self { status, text: text.into(), data: Value::Null }
    }

    /// Creates the outcome of a command whose exchange with `server` failed.
    pub fn from_error(server: &str, error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent => {
                Self::new_failed(ExitStatus::Unreachable, format!("{server} cannot be reached"))
            }
            ExchangeError::Lost => {
                Self::new_failed(ExitStatus::Unreachable, format!("{server} did not answer"))
            }
            ExchangeError::Refused(status) => Self::new_failed(
                ExitStatus::NotRun,
                format!("{server} refused with status {status}"),
            ),
        }
    }

    /// Sets the machine-readable output.
    pub fn with_data(mut self, data: Value) -> Self {
        self.data = data;
        self
    }

    /// Returns the status, text and data as one JSON document.
    pub fn to_json(&self) -> String {
        json!({ "status": self.status.name(), "text": self.text, "data": self.data }).to_string()
    }
}
