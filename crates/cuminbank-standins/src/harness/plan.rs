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
    pub busy: Duration,
    /// Longest time after `busy` to wait for accepted tasks.
    pub settle: Duration,
}

/// Load of callers and operators, from the start until the end of the busy time.
#[derive(Clone, Debug, Default)]
pub struct LoadPlan {
    /// Mean time between calls; none without it.
    pub call_every: Option<Duration>,
    /// Mean time between batch tasks; none without it.
    pub task_every: Option<Duration>,
    /// Mean time between changes of a profile; none without it.
    pub change_every: Option<Duration>,
    /// Share of ticketed requests that are sent twice.
    pub copies: f64,
    /// Share of tasks that their callers cancel within 5 s of the acceptance.
    pub cancels: f64,
    /// Longest run time of a call, in milliseconds.
    pub call_ms: u64,
    /// Longest run time of a task, in milliseconds.
    pub task_ms: u64,
}

/// Random faults.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// Kinds to draw from; listed twice is drawn twice as often.
    pub kinds: Vec<FaultKind>,
    /// Mean time between two faults.
    pub every: Duration,
    /// Share of exchanges whose request or answer is lost.
    pub loss: f64,
    /// Share of writes that wait 1 s for their connection, since its first packet was lost.
    pub slow_connects: f64,
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
            load: LoadPlan { call_ms: 400, task_ms: 6_000, ..LoadPlan::default() },
            faults: FaultPlan { every: Duration::from_secs(4), ..FaultPlan::default() },
            guards: GuardSwitches::default(),
            busy: Duration::from_secs(40),
            settle: Duration::from_secs(90),
        }
    }

    /// Sets the mean time between calls, in milliseconds.
    pub fn with_calls(mut self, every_ms: u64) -> Self {
        self.load.call_every = Some(Duration::from_millis(every_ms));
        self.load.copies = 0.2;
        self
    }

    /// Sets the mean time between tasks, in milliseconds.
    pub fn with_tasks(mut self, every_ms: u64) -> Self {
        self.load.task_every = Some(Duration::from_millis(every_ms));
        self
    }

    /// Sets the share of tasks that are cancelled.
    pub fn with_cancels(mut self, share: f64) -> Self {
        self.load.cancels = share;
        self
    }

    /// Sets the mean time between changes of a profile, in milliseconds.
    pub fn with_changes(mut self, every_ms: u64) -> Self {
        self.load.change_every = Some(Duration::from_millis(every_ms));
        self
    }

    /// Sets the faults to draw from and the share of lost messages.
    pub fn with_faults(mut self, kinds: &[FaultKind], loss: f64) -> Self {
        self.faults.kinds = kinds.to_vec();
        self.faults.loss = loss;
        self.faults.slow_connects = 0.01;
        self
    }

    /// Sets the guards.
    pub fn with_guards(mut self, guards: GuardSwitches) -> Self {
        self.guards = guards;
        self
    }
}
