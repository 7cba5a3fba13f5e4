//! Parts that the soaks share: the ends of faults, and the seeds to run.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;

use super::{proxy::LinkMode, Deployment};

/// Action that ends a fault, with the number of the instance or executor.
#[derive(Clone, Copy)]
pub enum FaultEnd {
    Continue(usize),
    Restart(usize),
    StoreLink(usize),
    AllStoreLinks,
    ExecutorLink(usize),
}

fn end_fault(deployment: &mut Deployment, end: FaultEnd) {
    match end {
        FaultEnd::Continue(instance) => {
            if !deployment.instances[instance].has_exited() {
                deployment.instances[instance].signal(Signal::SIGCONT);
            }
        }
        FaultEnd::Restart(instance) => {
            // Like the platform, kills a process that takes long to stop.
            deployment.instances[instance].kill();
            deployment.instances[instance].restart();
        }
        FaultEnd::AllStoreLinks => {
            deployment.store_links.iter().for_each(|link| link.set(LinkMode::Pass));
        }
        FaultEnd::StoreLink(instance) => deployment.store_links[instance].set(LinkMode::Pass),
        FaultEnd::ExecutorLink(executor) => {
            deployment.executor_links[executor].set(LinkMode::Pass);
        }
    }
}

/// Faults that have not ended yet.
#[derive(Default)]
pub struct OpenFaults {
    ends: Vec<(Instant, FaultEnd)>,
}

impl OpenFaults {
    /// Adds the actions that end a fault that began at `now`, each with its delay.
    pub fn add(&mut self, now: Instant, ends: impl IntoIterator<Item = (Duration, FaultEnd)>) {
        self.ends.extend(ends.into_iter().map(|(span, end)| (now + span, end)));
    }

    /// Ends the faults that are due.
    pub fn end_due(&mut self, deployment: &mut Deployment, now: Instant) {
        let ends = std::mem::take(&mut self.ends);
        let (due, later) = ends.into_iter().partition(|(at, _)| *at <= now);
        self.ends = later;
        let due: Vec<(Instant, FaultEnd)> = due;
        due.into_iter().for_each(|(_, end)| end_fault(deployment, end));
    }

    /// Ends all faults.
    pub fn end_all(self, deployment: &mut Deployment) {
        self.ends.into_iter().for_each(|(_, end)| end_fault(deployment, end));
    }
}

/// Sets a flag when it is dropped.
pub struct StopOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Returns the seeds to run: that of `CUMINBANK_SOAK_SEED`, as many new random ones as
/// `CUMINBANK_SOAK_SEEDS` tells, or else the default ones. New seeds come after the `regressions`.
pub fn soak_seeds(regressions: &[u64], defaults: &[u64]) -> Vec<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    if let Some(seed) = number("CUMINBANK_SOAK_SEED") {
        return vec![seed];
    }
    let mut seeds = regressions.to_vec();
    match number("CUMINBANK_SOAK_SEEDS") {
        Some(count) => seeds.extend((0..count).map(|_| rand::random::<u64>())),
        None => seeds.extend(defaults),
    }
    seeds
}
