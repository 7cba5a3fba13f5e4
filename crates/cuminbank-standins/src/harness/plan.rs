//! What a run consists of.

use std::time::Duration;

use cuminbank::guards::GuardSwitches;

use super::faults::FaultKind;

/// Size, load and faults of a run.
#[derive(Clone, Debug)]
pub struct HarnessPlan {
    /// Seed of every draw.
    pub seed: u64,
    /// Availability zones.
    pub zones: usize,
    /// Entry instances in each zone.
    pub entries: usize,
    /// Machines in each zone, each with an executor and a worker.
    pub machines: usize,
    /// Target groups in each zone.
    pub groups: u16,
    /// Slots of an executor.
    pub slots: u32,
    /// Cores of a worker.
    pub cores: u64,
    /// Load of callers.
    pub load: LoadPlan,
    /// Random faults.
    pub faults: FaultPlan,
    /// Guards that are on.
    pub guards: GuardSwitches,
    /// End of the faults and of new load; the run goes on until all accepted tasks ended.
    pub load_duration: Duration,
    /// Longest time after `busy` to wait for accepted tasks.
    pub settle_timeout: Duration,
}

/// Load of callers and operators, from the start until the end of the busy time.
#[derive(Clone, Debug, Default)]
pub struct LoadPlan {
    /// Mean time between calls; none without it.
    pub call_interval: Option<Duration>,
    /// Mean time between batch tasks; none without it.
    pub task_interval: Option<Duration>,
    /// Mean time between changes of a profile; none without it.
    pub change_interval: Option<Duration>,
    /// Share of ticketed requests that are sent twice.
    pub duplicate_share: f64,
    /// Share of tasks that their callers cancel within 5 s of the acceptance.
    pub cancel_share: f64,
    /// Longest run time of a call, in milliseconds.
    pub max_call_ms: u64,
    /// Longest run time of a task, in milliseconds.
    pub max_task_ms: u64,
}

/// Random faults.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// Kinds to draw from; listed twice is drawn twice as often.
    pub kinds: Vec<FaultKind>,
    /// Mean time between two faults.
    pub interval: Duration,
    /// Share of exchanges whose request or answer is lost.
    pub loss: f64,
    /// Share of writes that wait 1 s for their connection, since its first packet was lost.
    pub slow_connect_share: f64,
}

impl HarnessPlan {
    /// Creates a plan for two zones without load and faults.
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

    /// Sets the mean time between calls, in milliseconds.
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

    /// Sets the share of tasks that are cancelled.
    pub fn with_cancels(mut self, share: f64) -> Self {
        self.load.cancel_share = share;
        self
    }

    /// Sets the mean time between changes of a profile, in milliseconds.
    pub fn with_profile_changes(mut self, interval_ms: u64) -> Self {
        self.load.change_interval = Some(Duration::from_millis(interval_ms));
        self
    }

    /// Sets the faults to draw from and the share of lost messages.
    pub fn with_faults(mut self, kinds: &[FaultKind], loss: f64) -> Self {
        self.faults.kinds = kinds.to_vec();
        self.faults.loss = loss;
        self.faults.slow_connect_share = 0.01;
        self
    }

    /// Sets the guards.
    pub fn with_guards(mut self, guards: GuardSwitches) -> Self {
        self.guards = guards;
        self
    }
}
