//! Commits a profile with a compare-and-swap that records the operation id in the same transaction.

use bytes::Bytes;
use cuminbank::{
    event::ExchangeError,
    ids::{ProfileName, StoreRevision},
    store::{StoreCompare, StoreReply, StoreRequest, StoreValue, StoreWrite, PROFILE_PREFIX},
};
use serde::{Deserialize, Serialize};

/// Key prefix of the change history of all profiles.
pub const HISTORY_PREFIX: &str = "/cuminbank/history/";
/// Failed attempts after which a commit ends, as unknown if a write may have arrived and as
/// unreachable otherwise.
const MAX_ATTEMPTS: u32 = 6;

/// Returns the store key of a profile.
pub fn profile_key(name: &str) -> String {
    format!("{PROFILE_PREFIX}{name}")
}

/// Returns the key prefix of the change history of a profile.
pub fn history_prefix(name: &str) -> String {
    format!("{HISTORY_PREFIX}{name}/")
}

/// One committed change in the history of a profile, stored as JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Unix time in seconds, by the clock of the operator's machine.
    pub at: u64,
    /// Operation id, which identifies the commit after a lost answer.
    pub operation: String,
    /// Name of the operator.
    pub by: String,
    /// Profile document as applied.
    pub document: String,
}

/// Outcome of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The profile was committed at this revision.
    Committed(StoreRevision),
    /// The stored document, at this revision, is already identical.
    Unchanged(StoreRevision),
    /// Another change was committed first: its revision and document, or 0 and `None` if the
    /// profile does not exist.
    Conflict(StoreRevision, Option<String>),
    /// The store refused the request with this HTTP status.
    Refused(u16),
    /// The commit may or may not have taken effect.
    Unknown,
    /// The store could not be reached; nothing was changed.
    Unreachable,
}

/// Step of a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ApplyPhase {
    /// Reads the stored profile and its revision.
    Reading,
    /// Sends the transaction.
    Writing,
    /// Reads the history entry after a lost answer, to learn whether the transaction took effect.
    ReadingBack,
}

/// State machine of a commit: the caller sends each [`request`](Self::request) to the store and
/// passes the reply to [`on_reply`](Self::on_reply).
#[derive(Debug)]
pub struct ProfileApply {
    name: ProfileName,
    entry: HistoryEntry,
    /// Revision that the operator requires; 0 if the profile must not exist.
    expected: Option<StoreRevision>,
    /// Revision that the transaction compares with.
    base_revision: StoreRevision,
    phase: ApplyPhase,
    /// Whether a transaction was sent whose answer was lost.
    may_have_written: bool,
    /// Failed attempts so far.
    attempts: u32,
}

impl ProfileApply {
    /// Creates a commit of the document in `entry`.
    ///
    /// With `expected` the profile must be at this revision (0: it must not exist); without it, the
    /// transaction compares with the revision that is read first.
    pub fn new(name: &str, entry: HistoryEntry, expected: Option<StoreRevision>) -> Self {
        Self {
            name: name.to_owned(),
            entry,
            expected,
            base_revision: 0,
            phase: ApplyPhase::Reading,
            may_have_written: false,
            attempts: 0,
        }
    }

    /// Returns the next request to send to the store.
    pub fn request(&self) -> StoreRequest {
        match self.phase {
            ApplyPhase::Reading => {
                StoreRequest::Range { key: profile_key(&self.name), prefix: false }
            }
            ApplyPhase::Writing => self.write_request(),
            ApplyPhase::ReadingBack => {
                StoreRequest::Range { key: self.history_key(), prefix: false }
            }
        }
    }

    /// Handles the reply to the last request; returns the outcome once the commit has ended.
    pub fn on_reply(&mut self, result: Result<StoreReply, ExchangeError>) -> Option<ApplyOutcome> {
        match (self.phase, result) {
            (ApplyPhase::Reading, Ok(StoreReply::Range { values, .. })) => self.on_read(&values),
            (ApplyPhase::Writing, Ok(StoreReply::Txn { revision, succeeded, values })) => {
                if succeeded {
                    return Some(ApplyOutcome::Committed(revision));
                }
                Some(self.resolve_failed_compare(&values))
            }
            (ApplyPhase::ReadingBack, Ok(StoreReply::Range { values, .. })) => {
                if let Some(own) = find_value(&values, &self.history_key()) {
                    return Some(ApplyOutcome::Committed(own.mod_revision));
                }
                // Sends the same transaction again. Its compares keep a delayed first copy from
                // committing a second time.
                self.phase = ApplyPhase::Writing;
                self.count_attempt()
            }
            (_, Err(error)) => self.on_error(error),
            (_, Ok(_)) => self.on_error(ExchangeError::Lost),
        }
    }

    fn on_read(&mut self, values: &[StoreValue]) -> Option<ApplyOutcome> {
        let stored = find_value(values, &profile_key(&self.name));
        let revision = stored.map_or(0, |value| value.mod_revision);
        if self.expected.is_some_and(|expected| expected != revision) {
            return Some(ApplyOutcome::Conflict(revision, stored.map(document_text)));
        }
        if stored.is_some_and(|value| value.value == self.entry.document.as_bytes()) {
            return Some(ApplyOutcome::Unchanged(revision));
        }
        self.base_revision = revision;
        self.phase = ApplyPhase::Writing;
        None
    }

    /// Handles a failed compare: either an earlier copy of this transaction took effect, or another
    /// change was committed first.
    fn resolve_failed_compare(&self, values: &[StoreValue]) -> ApplyOutcome {
        if let Some(own) = find_value(values, &self.history_key()) {
            return ApplyOutcome::Committed(own.mod_revision);
        }
        let stored = find_value(values, &profile_key(&self.name));
        ApplyOutcome::Conflict(
            stored.map_or(0, |value| value.mod_revision),
            stored.map(document_text),
        )
    }

    fn on_error(&mut self, error: ExchangeError) -> Option<ApplyOutcome> {
        if self.phase == ApplyPhase::Writing && error == ExchangeError::Lost {
            self.may_have_written = true;
        }
        match error {
            _ if self.may_have_written => self.phase = ApplyPhase::ReadingBack,
            ExchangeError::NotSent => return Some(ApplyOutcome::Unreachable),
            ExchangeError::Refused(status) => return Some(ApplyOutcome::Refused(status)),
            ExchangeError::Lost => {}
        }
        self.count_attempt()
    }

    fn count_attempt(&mut self) -> Option<ApplyOutcome> {
        self.attempts += 1;
        if self.attempts < MAX_ATTEMPTS {
            return None;
        }
        Some(if self.may_have_written { ApplyOutcome::Unknown } else { ApplyOutcome::Unreachable })
    }

    fn history_key(&self) -> String {
        format!("{}{}", history_prefix(&self.name), self.entry.operation)
    }

    fn write_request(&self) -> StoreRequest {
        let history = serde_json::json!(self.entry).to_string();
        let put = |key: String, value: String| StoreWrite::Put {
            key,
            value: Bytes::from(value),
            lease: None,
        };
        StoreRequest::Txn {
            compares: vec![
                StoreCompare::ModRevision(profile_key(&self.name), self.base_revision),
                StoreCompare::ModRevision(self.history_key(), 0),
            ],
            then: vec![
                put(profile_key(&self.name), self.entry.document.clone()),
                put(self.history_key(), history),
            ],
            otherwise: vec![profile_key(&self.name), self.history_key()],
        }
    }
}

fn find_value<'a>(values: &'a [StoreValue], key: &str) -> Option<&'a StoreValue> {
    values.iter().find(|value| value.key == key)
}

fn document_text(value: &StoreValue) -> String {
    String::from_utf8_lossy(&value.value).into_owned()
}
