//! Estimates of the cores that tasks of each class use.

use std::collections::{HashMap, VecDeque};

use crate::{ids::ClassName, worker::ResourceSize};

/// Number of observations from which the declared cores of a class are replaced.
pub const MIN_OBSERVATIONS: usize = 20;
const MAX_OBSERVATIONS: usize = 64;

/// Recent core usage of each class.
#[derive(Debug, Default)]
pub struct SizeEstimator {
    classes: HashMap<ClassName, VecDeque<u64>>,
}

impl SizeEstimator {
    /// Records the mean millicores used by a task of the class in a usage window.
    pub fn observe(&mut self, class: &str, millicores: u64) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.to_owned(), VecDeque::new());
        }
        let Some(observed) = self.classes.get_mut(class) else { return };
        if observed.len() == MAX_OBSERVATIONS {
            observed.pop_front();
        }
        observed.push_back(millicores);
    }

    /// Returns the size to reserve for a task. With enough observations its cores are the 90th
    /// percentile of the observed ones plus 10 %. Memory and accelerators stay as declared, since a
    /// task fails if it has too little of them.
    pub fn reservation(&self, class: &str, declared: &ResourceSize) -> ResourceSize {
        let Some(observed) = self.classes.get(class) else { return *declared };
        if observed.len() < MIN_OBSERVATIONS {
            return *declared;
        }
        let mut sorted: Vec<_> = observed.iter().copied().collect();
        sorted.sort_unstable();
        let p90 = sorted[(sorted.len() * 9 / 10).min(sorted.len() - 1)];
        ResourceSize { millicores: (p90 + p90 / 10).max(1), ..*declared }
    }
}
