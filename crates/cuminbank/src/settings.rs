//! Settings of an entry instance, parsed from JSON and fully validated.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_path_to_error::Segment;

use crate::{
    ids::{GroupIndex, InstanceName, ZoneName},
    profile::{trailing_text_error, DocumentError},
};

/// Settings file of an entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the instance, unique among the entry instances.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// HTTP address for callers and operators.
    pub http_address: SocketAddr,
    /// Address for messages of other entry instances; TCP and UDP use the same port.
    pub peer_address: SocketAddr,
    /// Addresses of the platform's store, tried one after the other.
    pub store_addresses: Vec<SocketAddr>,
    /// Address of the platform's list of instances.
    pub list_address: SocketAddr,
    /// Peer addresses of entry instances that are known in advance, by zone.
    #[serde(default)]
    pub peers: BTreeMap<ZoneName, Vec<SocketAddr>>,
    /// Address of the statsd server that metrics are sent to over UDP; without it no metrics are
    /// sent.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Number of target groups in the zone, 1 to 64. It must be the same on all instances of the
    /// zone.
    #[serde(default = "default_groups")]
    pub groups_per_zone: GroupIndex,
    /// Number of slots per executor that long calls may occupy, 1 to 64.
    #[serde(default = "default_long_slots")]
    pub long_slots: u32,
    /// Placement policy. The baselines exist only for comparison.
    #[serde(default)]
    pub policy: PlacementPolicy,
    /// Time limit of a planned stop, in milliseconds, 1,000 to 600,000.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Time limit for receiving the head of a request, and separately for its body, in
    /// milliseconds, 100 to 60,000.
    #[serde(default = "default_request_read_ms")]
    pub request_read_ms: u64,
    /// Memory that the process may use, in MB, 32 to 1,048,576. Bounds what its connections may hold.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
}

fn default_groups() -> GroupIndex {
    4
}

fn default_long_slots() -> u32 {
    4
}

fn default_drain_ms() -> u64 {
    30_000
}

fn default_request_read_ms() -> u64 {
    10_000
}

/// Returns the default of `memory_mb`, the memory of the smallest machines in use.
fn default_memory_mb() -> u64 {
    160
}

/// Policy for the choice of a target and the order of waiting calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Predicts slowdowns from learned interference, limits the slots of long calls, and admits
    /// only calls that can meet their deadline.
    #[default]
    Learned,
    /// Baseline: chooses the target with the fewest calls, without learning; first come, first
    /// served.
    LeastLoaded,
    /// Baseline: chooses a random target, each with its own queue; first come, first served.
    RandomQueue,
}

impl EntrySettings {
    /// Parses settings from JSON and validates them. Returns an error for malformed JSON, unknown
    /// fields, text after the document and values out of range.
    pub fn from_json(text: &[u8]) -> Result<Self, DocumentError> {
        let deserializer = &mut serde_json::Deserializer::from_slice(text);
        let settings: Self = serde_path_to_error::deserialize(&mut *deserializer)
            .map_err(|error| type_error(text, &error))?;
        deserializer.end().map_err(|error| trailing_text_error(&error))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Returns the time limit of a planned stop.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns the time limit for receiving the head of a request, and separately for its body.
    pub fn request_read_timeout(&self) -> Duration {
        Duration::from_millis(self.request_read_ms)
    }

    fn validate(&self) -> Result<(), DocumentError> {
        check_name("instance", &self.instance)?;
        check_name("zone", &self.zone)?;
        if self.store_addresses.is_empty() {
            return Err(range_error("store_addresses", "[]", "at least one address"));
        }
        if !(1..=64).contains(&self.groups_per_zone) {
            return Err(range_error("groups_per_zone", self.groups_per_zone, "1 to 64"));
        }
        if !(1..=64).contains(&self.long_slots) {
            return Err(range_error("long_slots", self.long_slots, "1 to 64"));
        }
        if !(1_000..=600_000).contains(&self.drain_ms) {
            return Err(range_error("drain_ms", self.drain_ms, "1000 to 600000"));
        }
        if !(100..=60_000).contains(&self.request_read_ms) {
            return Err(range_error("request_read_ms", self.request_read_ms, "100 to 60000"));
        }
        if !(32..=1_048_576).contains(&self.memory_mb) {
            return Err(range_error("memory_mb", self.memory_mb, "32 to 1048576"));
        }
        Ok(())
    }
}

/// Creates the error for a value of the wrong type, with the value found at its path.
fn type_error(text: &[u8], error: &serde_path_to_error::Error<serde_json::Error>) -> DocumentError {
    let tree: Value = serde_json::from_slice(text).unwrap_or_default();
    let found = error.path().iter().try_fold(&tree, |value, segment| match segment {
        Segment::Map { key } => value.get(key),
        Segment::Seq { index } => value.get(index),
        _ => None,
    });
    let value = match found {
        Some(Value::Object(_)) | None => "the document".to_owned(),
        Some(value) => value.to_string(),
    };
    let reason = error.inner().to_string();
    let allowed = match reason.contains("socket address") {
        true => "an address in the form IP:port".to_owned(),
        false => reason,
    };
    DocumentError { path: error.path().to_string(), value, allowed }
}

fn check_name(path: &str, name: &str) -> Result<(), DocumentError> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if (1..=64).contains(&name.len()) && name.chars().all(allowed) {
        return Ok(());
    }
    Err(range_error(path, name, "1 to 64 letters, digits, '-', '_' or '.'"))
}

fn range_error(path: &str, value: impl ToString, allowed: &str) -> DocumentError {
    DocumentError { path: path.to_owned(), value: value.to_string(), allowed: allowed.to_owned() }
}
