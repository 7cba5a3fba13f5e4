//! Slowdown between classes of work that share a machine.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use cuminbank::ids::ClassName;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Share of the pairs that slow each other strongly.
const NOISY_PAIR_SHARE: f64 = 0.3;
/// Slowdown per neighbour core of a strong pair. 30 cores of it triple to quintuple a call.
const NOISY_FACTOR: std::ops::Range<f64> = 0.06..0.13;
/// Slowdown per neighbour core of any other pair.
const QUIET_FACTOR: std::ops::Range<f64> = 0.0..0.006;

/// Cores that the batch classes use on one machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineLoad {
    /// Cores in use, for each batch class.
    pub cores: BTreeMap<ClassName, f64>,
}

/// Factors by which a batch class slows an urgent class, for each pair.
#[derive(Clone, Debug, Default)]
pub struct InterferenceFactors {
    seed: u64,
    overrides: BTreeMap<(ClassName, ClassName), f64>,
}

impl InterferenceFactors {
    /// Creates factors that are drawn from `seed` and the names of the pair.
    pub fn new(seed: u64) -> Self {
        Self { seed, overrides: BTreeMap::new() }
    }

    /// Sets the factor of one pair, in slowdown per neighbour core.
    pub fn with_factor(mut self, victim: &str, neighbour: &str, factor: f64) -> Self {
        self.overrides.insert((victim.to_owned(), neighbour.to_owned()), factor);
        self
    }

    /// Returns the slowdown of `victim` for each core of `neighbour`.
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

    /// Returns the slowdown of `victim` under `load`; 1.0 is its time alone.
    pub fn slowdown(&self, victim: &str, load: &MachineLoad) -> f64 {
        let parts = load.cores.iter().map(|(class, cores)| self.factor(victim, class) * cores);
        1.0 + parts.sum::<f64>()
    }
}
