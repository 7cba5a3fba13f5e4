//! Stored roster of the executors that may run tasks. Runs are only started on executors in the
//! roster, so that a new owner knows every executor that may still run a task of an earlier owner.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ExecutorName, ServiceName, StartMillis};

/// Entry of the roster: one incarnation of an executor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RosterEntry {
    /// Name of this incarnation of the executor.
    pub name: ExecutorName,
    /// Address of the executor.
    pub address: SocketAddr,
    /// Service of the executor.
    pub service: ServiceName,
    /// Start time of this incarnation, if known.
    #[serde(rename = "born")]
    pub started_at: Option<StartMillis>,
}

/// Roster as stored.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ExecutorRoster {
    /// Executors sorted by name.
    pub executors: Vec<RosterEntry>,
}

impl ExecutorRoster {
    /// Returns the names of the executors.
    pub fn names(&self) -> Vec<ExecutorName> {
        self.executors.iter().map(|entry| entry.name.clone()).collect()
    }
}
