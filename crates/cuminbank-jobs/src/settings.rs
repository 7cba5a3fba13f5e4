//! Settings of the job daemon.

use std::{net::SocketAddr, path::Path, time::Duration};

use cuminbank::profile::DocumentError;
use serde::{Deserialize, Serialize};

use crate::{
    cells::PlanLimits,
    division::InstanceResources,
    ids::{CellId, InstanceName, ZoneName},
};

/// Settings of one instance, read from a JSON file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSettings {
    /// Instance name, unique among all instances.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Listen address for clients.
    pub client_address: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// TCP listen address for other instances.
    pub peer_address: SocketAddr,
    /// Listen address for metrics and the operators' interface.
    pub operator_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the advice service, if there is one.
    #[serde(default)]
    pub advice_address: Option<SocketAddr>,
    /// Longest lease that an executor grants, in milliseconds.
    pub max_lease_ms: u64,
    /// Longest time that an executor takes to stop a run, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Grace period between the request to shut down and the kill, in milliseconds.
    pub grace_ms: u64,
    /// Minimum time to live of a store lease, in milliseconds.
    pub min_store_ttl_ms: u64,
    /// Longest time for which best-effort tasks may keep a tail latency above its target, in
    /// milliseconds.
    pub harm_ms: u64,
    /// Longest time until a change of the configuration takes effect, in milliseconds.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: u64,
    /// Longest time until the evacuation of a zone takes effect, in milliseconds.
    #[serde(default = "default_evacuate_ms")]
    pub evacuate_ms: u64,
    /// Share of a core available to the instance, from 0.01 to 64.
    pub processor_share: f64,
    /// Link bandwidth of the instance in Mbit/s, from 0.1 to 1,000,000.
    pub link_mbps: f64,
    /// Maximum number of executors in a cell, from 1 to 5,000. Only used when the pool is first
    /// divided.
    #[serde(default = "default_cell_executors")]
    pub cell_executors: usize,
    /// Fixed number of cells, from 1 to 64. By default it follows from the number of executors and
    /// the link bandwidth. Only used when the pool is first divided.
    #[serde(default)]
    pub cells: Option<CellId>,
    /// How long the outcome of an ended job is stored, in milliseconds.
    pub retention_ms: u64,
    /// Memory that the process may use, in MB, from 32 to 1,048,576. Bounds what its connections may
    /// hold.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Whether submissions are refused while the pool has no room for them.
    #[serde(default)]
    pub admission: bool,
    /// Whether executors are reserved for large tasks that wait.
    #[serde(default)]
    pub task_reservations: bool,
    /// Whether best-effort tasks avoid latency-critical ones whose load swings, as long as other
    /// executors have room.
    #[serde(default)]
    pub calm_placement: bool,
    /// Whether the latency-critical tasks of a step are spread over executors.
    #[serde(default)]
    pub step_spread: bool,
    /// Whether the division of the pool follows from the registered instances.
    #[serde(default)]
    pub adaptive_division: bool,
}

/// Returns the default of `memory_mb`, the memory of the smallest machines in use.
fn default_memory_mb() -> u64 {
    160
}

/// Returns the default of `cell_executors`. An owner with half a core handles this many with CPU to
/// spare.
fn default_cell_executors() -> usize {
    700
}

fn default_config_apply_ms() -> u64 {
    2_000
}

fn default_evacuate_ms() -> u64 {
    5_000
}

impl JobSettings {
    /// Reads and validates a settings file. Errors include the path of the file.
    pub fn read(path: &Path) -> Result<Self, String> {
        let json = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Self::from_json(&json).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// Parses settings from JSON and validates every field. An error names the field, its value and
    /// the allowed values.
    pub fn from_json(json: &[u8]) -> Result<Self, DocumentError> {
        let deserializer = &mut serde_json::Deserializer::from_slice(json);
        let settings: Self =
            serde_path_to_error::deserialize(&mut *deserializer).map_err(|error| {
                DocumentError {
                    path: error.path().to_string(),
                    value: "the document".to_owned(),
                    allowed: error.inner().to_string(),
                }
            })?;
        deserializer.end().map_err(|error| DocumentError {
            path: ".".to_owned(),
            value: "text after the document".to_owned(),
            allowed: error.to_string(),
        })?;
        settings.validate()?;
        Ok(settings)
    }

    /// Returns the limits by which the pool is divided into cells.
    pub fn plan_limits(&self) -> PlanLimits {
        let Self { cell_executors, link_mbps, cells, .. } = *self;
        PlanLimits { max_executors: cell_executors, link_mbps, cells }
    }

    /// Returns the resources of the instance, which determine the cells that it can own.
    pub fn resources(&self) -> InstanceResources {
        InstanceResources::new(self.link_mbps, self.processor_share)
    }

    /// Returns the longest lease of an executor.
    pub fn max_lease(&self) -> Duration {
        Duration::from_millis(self.max_lease_ms)
    }

    /// Returns the longest time that an executor takes to stop a run.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_timeout_ms)
    }

    /// Returns the minimum time to live of a store lease.
    pub fn min_store_ttl(&self) -> Duration {
        Duration::from_millis(self.min_store_ttl_ms)
    }

    /// Returns the longest time until a change of the configuration takes effect.
    pub fn config_apply(&self) -> Duration {
        Duration::from_millis(self.config_apply_ms)
    }

    /// Returns the longest time until a request of an operator takes effect, whichever kind it is.
    pub fn operator_bound(&self) -> Duration {
        Duration::from_millis(self.config_apply_ms.min(self.evacuate_ms))
    }

    /// Returns the grace period between the request to shut down and the kill.
    pub fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }

    fn validate(&self) -> Result<(), DocumentError> {
        check_range("max_lease_ms", self.max_lease_ms, 1_000, 600_000)?;
        check_range("stop_timeout_ms", self.stop_timeout_ms, 1, 60_000)?;
        check_range("grace_ms", self.grace_ms, 500, 600_000)?;
        check_range("min_store_ttl_ms", self.min_store_ttl_ms, 1, 600_000)?;
        check_range("harm_ms", self.harm_ms, 100, 600_000)?;
        check_range("config_apply_ms", self.config_apply_ms, 500, 600_000)?;
        check_range("evacuate_ms", self.evacuate_ms, 500, 600_000)?;
        if !(0.01..=64.0).contains(&self.processor_share) {
            return Err(DocumentError {
                path: "processor_share".to_owned(),
                value: self.processor_share.to_string(),
                allowed: "0.01 to 64".to_owned(),
            });
        }
        if !(0.1..=1_000_000.0).contains(&self.link_mbps) {
            return Err(DocumentError {
                path: "link_mbps".to_owned(),
                value: self.link_mbps.to_string(),
                allowed: "0.1 to 1000000".to_owned(),
            });
        }
        check_range("memory_mb", self.memory_mb, 32, 1_048_576)?;
        check_range("cells", u64::from(self.cells.unwrap_or(1)), 1, 64)?;
        check_range("cell_executors", self.cell_executors as u64, 1, 5_000)?;
        check_range("retention_ms", self.retention_ms, 1_000, 86_400_000)
    }
}

fn check_range(path: &str, value: u64, min: u64, max: u64) -> Result<(), DocumentError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(DocumentError {
        path: path.to_owned(),
        value: value.to_string(),
        allowed: format!("{min} to {max}"),
    })
}
