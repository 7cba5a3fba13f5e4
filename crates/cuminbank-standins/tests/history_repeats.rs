//! A seed must repeat its run exactly, so that a failing seed can be debugged.

use cuminbank_standins::harness::{FaultKind, HarnessPlan, Simulation};

/// Guards against random draws or orders that do not depend on the seed alone, such as the
/// iteration order of a hash map.
#[test]
fn seed_repeats_its_history() {
    let kinds = [FaultKind::KillEntry, FaultKind::LoseStoreAnswers, FaultKind::KillMachine];
    for seed in 1..=4 {
        let run = || {
            let plan = HarnessPlan::new(seed).with_calls(100).with_tasks(1_000);
            Simulation::new(plan.with_profile_changes(2_000).with_faults(&kinds, 0.01))
                .run()
                .listing()
        };
        let (first, second) = (run(), run());
        let difference = first.lines().zip(second.lines()).find(|(a, b)| a != b);
        assert_eq!(difference, None, "seed {seed}");
        assert_eq!(first.lines().count(), second.lines().count(), "seed {seed}");
    }
}
