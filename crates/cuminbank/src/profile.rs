//! Work profiles, which define how a kind of work is scheduled, and changes of them.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerName, ProfileName, StoreRevision};

/// Scheduling parameters of one kind of work, written by operators as JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkProfile {
    /// Name of the profile, 1 to 64 characters.
    pub name: ProfileName,
    /// Kind of work: urgent calls or batch tasks.
    pub kind: WorkKind,
    /// Time after arrival by which the work should be complete, in milliseconds: 10 to 60,000 for
    /// urgent calls, up to 7 days for batch tasks.
    pub deadline_ms: u64,
    /// Whether a failed or lost call may run again once it is known that it no longer runs.
    #[serde(default)]
    pub idempotent: bool,
    /// Longest time that a call may occupy an executor slot, in milliseconds, 10 to 600,000.
    #[serde(default = "default_max_run_ms")]
    pub max_run_ms: u64,
    /// Largest body of a request, in bytes, 1 to 4 MiB.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Whether an answer confirms a booked delivery slot. The report counts the slot as delivered
    /// as booked if the answer is on time.
    #[serde(default)]
    pub confirms_slot: bool,
    /// Priority of batch tasks, 0 to 9; 0 starts first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Number of distinct workers on which a task has to fail before it fails for good, 1 to 10. In
    /// a group with fewer workers, all failed attempts count.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Weight of each customer, 1 to 1,000, in fair sharing. A customer that is not listed has
    /// weight 1.
    #[serde(default)]
    pub weights: BTreeMap<CustomerName, u32>,
}

fn default_max_run_ms() -> u64 {
    30_000
}

fn default_max_body_bytes() -> usize {
    256 * 1024
}

fn default_priority() -> u8 {
    5
}

/// Number of distinct workers on which a task has to fail if its profile does not give it or was
/// deleted.
pub(crate) const DEFAULT_MAX_ATTEMPTS: u32 = 3;

fn default_max_attempts() -> u32 {
    DEFAULT_MAX_ATTEMPTS
}

/// Kind of work that a profile applies to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// Latency-critical calls, for whose answers the callers wait.
    Urgent,
    /// Tasks that are accepted immediately and run later.
    Batch,
}

/// Invalid field of a document that an operator wrote: a profile or settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentError {
    /// Path of the field in the document.
    pub path: String,
    /// Value that was found.
    pub value: String,
    /// Description of the allowed values, or of the error.
    pub allowed: String,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {} is not allowed: {}", self.path, self.value, self.allowed)
    }
}

impl WorkProfile {
    /// Returns the time after arrival by which the work should be complete.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the longest time that a call may occupy an executor slot.
    pub fn max_run(&self) -> Duration {
        Duration::from_millis(self.max_run_ms)
    }

    /// Returns the weight of a customer; 1 if it is not listed.
    pub fn weight(&self, customer: &str) -> u32 {
        self.weights.get(customer).copied().unwrap_or(1)
    }

    /// Parses a profile from JSON and validates it. Returns an error for malformed JSON, unknown
    /// fields, text after the document and values out of range.
    pub fn from_json(text: &[u8]) -> Result<Self, DocumentError> {
        let deserializer = &mut serde_json::Deserializer::from_slice(text);
        let profile: Self =
            serde_path_to_error::deserialize(&mut *deserializer).map_err(|error| {
                DocumentError {
                    path: error.path().to_string(),
                    value: "the document".to_owned(),
                    allowed: error.inner().to_string(),
                }
            })?;
        deserializer.end().map_err(|error| trailing_text_error(&error))?;
        profile.validate()?;
        Ok(profile)
    }

    /// Validates the ranges of all fields. Returns an error for the first field out of range.
    pub fn validate(&self) -> Result<(), DocumentError> {
        let name_length = self.name.chars().count();
        check(
            (1..=64).contains(&name_length) && !self.name.contains(['/', '\n', '\0']),
            "name",
            &self.name,
            "1 to 64 characters without '/', newline or NUL",
        )?;
        let max_deadline_ms = match self.kind {
            WorkKind::Urgent => 60_000,
            WorkKind::Batch => 7 * 24 * 3_600_000,
        };
        check(
            (10..=max_deadline_ms).contains(&self.deadline_ms),
            "deadline_ms",
            self.deadline_ms,
            format!("10 to {max_deadline_ms}"),
        )?;
        check(
            (10..=600_000).contains(&self.max_run_ms),
            "max_run_ms",
            self.max_run_ms,
            "10 to 600000",
        )?;
        check(
            (1..=4 * 1024 * 1024).contains(&self.max_body_bytes),
            "max_body_bytes",
            self.max_body_bytes,
            "1 to 4194304",
        )?;
        check(self.priority <= 9, "priority", self.priority, "0 to 9")?;
        check((1..=10).contains(&self.max_attempts), "max_attempts", self.max_attempts, "1 to 10")?;
        for (customer, weight) in &self.weights {
            let path = format!("weights.{customer}");
            check((1..=1_000).contains(weight), &path, weight, "1 to 1000")?;
        }
        Ok(())
    }
}

/// Creates the error for text after the end of a document.
pub(crate) fn trailing_text_error(error: &serde_json::Error) -> DocumentError {
    DocumentError {
        path: ".".to_owned(),
        value: "text after the document".to_owned(),
        allowed: error.to_string(),
    }
}

fn check(
    valid: bool,
    path: &str,
    value: impl fmt::Display,
    allowed: impl Into<String>,
) -> Result<(), DocumentError> {
    if valid {
        return Ok(());
    }
    Err(DocumentError { path: path.to_owned(), value: value.to_string(), allowed: allowed.into() })
}

/// Change of a profile that was committed to the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProfileChange {
    /// Name of the profile.
    pub name: ProfileName,
    /// Store revision at which the change was committed.
    pub revision: StoreRevision,
    /// Profile as committed, in JSON; `None` if it was deleted.
    pub profile: Option<String>,
}
