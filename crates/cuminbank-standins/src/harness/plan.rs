//! Parameters of a simulation run.

use std::time::Duration;

use cuminbank::guards::GuardSwitches;

use super::faults::FaultKind;

/// Topology, load and faults of a run.
#[derive(Clone, Debug)]
pub struct HarnessPlan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of availability zones.
    pub zones: usize,
    /// Entry instances in each zone.
    pub entries: usize,
    /// Machines in each zone, each with an executor and a worker.
    pub machines: usize,
    /// Target groups in each zone.
    pub groups: u16,
    /// Slots of each executor.
    pub slots: u32,
    /// Cores of each worker.
    pub cores: u64,
    /// Load of callers and operators.
    pub load: LoadPlan,
    /// Random faults.
    pub faults: FaultPlan,
    /// Safety rules of the reducers that are switched on.
    pub guards: GuardSwitches,
    /// Virtual time at which new load and faults end. The run goes on until accepted tasks have
    /// ended.
    pub load_duration: Duration,
    /// Longest wait after `load_duration` for all requests to end.
    pub settle_timeout: Duration,
}

/// Load of callers and operators until `load_duration` ends.
#[derive(Clone, Debug, Default)]
pub struct LoadPlan {
    /// Mean time between calls; no calls if `None`.
    pub call_interval: Option<Duration>,
    /// Mean time between batch tasks; no tasks if `None`.
    pub task_interval: Option<Duration>,
    /// Mean time between changes of a profile; no changes if `None`.
    pub change_interval: Option<Duration>,
    /// Share of requests with a ticket that are sent twice, from 0 to 1.
    pub duplicate_share: f64,
    /// Share of tasks that are cancelled within 5 s after their acceptance, from 0 to 1.
    pub cancel_share: f64,
    /// Longest run time of a call, in milliseconds.
    pub max_call_ms: u64,
    /// Longest run time of a task, in milliseconds.
    pub max_task_ms: u64,
}

/// Kinds and rates of random faults.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// Kinds to draw from. A kind listed twice is drawn twice as often.
    pub kinds: Vec<FaultKind>,
    /// Mean time between the starts of two faults.
    pub interval: Duration,
    /// Share of messages (requests, answers and datagrams) that are lost, from 0 to 1.
    pub loss: f64,
    /// Share of writes, from 0 to 1, that wait 1 s for their connection because its first packet
    /// was lost.
    pub slow_connect_share: f64,
}

impl HarnessPlan {
    /// Creates a plan with two zones, without load or faults.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            zones: 2,
            entries: 2,
            machines: 2,
            groups: 2,
            slots: 3,
            cores: 4,
            load: LoadPlan { max_call_ms: 400, max_task_ms: 6_000, ..LoadPlan::default() },
            faults: FaultPlan { interval: Duration::from_secs(4), ..FaultPlan::default() },
            guards: GuardSwitches::default(),
            load_duration: Duration::from_secs(40),
            settle_timeout: Duration::from_secs(90),
        }
    }

    /// Sets the mean time between calls, in milliseconds, and makes callers send 20 % of the
    /// requests with a ticket twice.
    pub fn with_calls(mut self, interval_ms: u64) -> Self {
        self.load.call_interval = Some(Duration::from_millis(interval_ms));
        self.load.duplicate_share = 0.2;
        self
    }

    /// Sets the mean time between tasks, in milliseconds.
    pub fn with_tasks(mut self, interval_ms: u64) -> Self {
        self.load.task_interval = Some(Duration::from_millis(interval_ms));
        self
    }

    /// Sets the share of tasks that are cancelled, from 0 to 1.
    pub fn with_cancels(mut self, share: f64) -> Self {
        self.load.cancel_share = share;
        self
    }

    /// Sets the mean time between changes of a profile, in milliseconds.
    pub fn with_profile_changes(mut self, interval_ms: u64) -> Self {
        self.load.change_interval = Some(Duration::from_millis(interval_ms));
        self
    }

    /// Sets the faults to draw from and the share of lost messages, from 0 to 1. Also makes 1 % of
    /// the writes wait for their connection.
    pub fn with_faults(mut self, kinds: &[FaultKind], loss: f64) -> Self {
        self.faults.kinds = kinds.to_vec();
        self.faults.loss = loss;
        self.faults.slow_connect_share = 0.01;
        self
    }

    /// Sets which safety rules of the reducers are switched on.
    pub fn with_guards(mut self, guards: GuardSwitches) -> Self {
        self.guards = guards;
        self
    }
}
