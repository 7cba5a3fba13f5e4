//! Interference model: how much the batch work on a machine slows urgent calls there.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use cuminbank::ids::ClassName;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Probability that a pair of classes interferes strongly.
const NOISY_PAIR_SHARE: f64 = 0.3;
/// Slowdown per neighbour core of a strongly interfering pair. With 30 such cores, a call takes
/// three to five times as long.
const NOISY_FACTOR: std::ops::Range<f64> = 0.06..0.13;
/// Slowdown per neighbour core of a weakly interfering pair.
const QUIET_FACTOR: std::ops::Range<f64> = 0.0..0.006;

/// Batch load of one machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineLoad {
    /// Cores in use by batch class.
    pub cores: BTreeMap<ClassName, f64>,
}

/// Slowdown of each urgent class by each batch class.
#[derive(Clone, Debug, Default)]
pub struct InterferenceFactors {
    seed: u64,
    overrides: BTreeMap<(ClassName, ClassName), f64>,
}

impl InterferenceFactors {
    /// Creates factors derived from `seed` and the two class names, so that every pair has its own
    /// factor and the same seed always gives the same ones.
    pub fn new(seed: u64) -> Self {
        Self { seed, overrides: BTreeMap::new() }
    }

    /// Overrides the seeded factor of one pair, in slowdown per neighbour core.
    pub fn with_factor(mut self, victim: &str, neighbour: &str, factor: f64) -> Self {
        self.overrides.insert((victim.to_owned(), neighbour.to_owned()), factor);
        self
    }

    /// Returns the slowdown of the urgent class `victim` per core used by the batch class
    /// `neighbour`.
    pub fn factor(&self, victim: &str, neighbour: &str) -> f64 {
        let pair = (victim.to_owned(), neighbour.to_owned());
        if let Some(factor) = self.overrides.get(&pair) {
            return *factor;
        }
        let mut hasher = DefaultHasher::new();
        (self.seed, &pair).hash(&mut hasher);
        let mut rng = ChaCha8Rng::seed_from_u64(hasher.finish());
        let noisy = rng.random_bool(NOISY_PAIR_SHARE);
        rng.random_range(if noisy { NOISY_FACTOR } else { QUIET_FACTOR })
    }

    /// Returns the factor on the service time of `victim` under `load`; 1.0 on an idle machine.
    pub fn slowdown(&self, victim: &str, load: &MachineLoad) -> f64 {
        let parts = load.cores.iter().map(|(class, cores)| self.factor(victim, class) * cores);
        1.0 + parts.sum::<f64>()
    }
}
