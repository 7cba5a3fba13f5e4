//! Learned sizes: the cores that tasks of a class really use.

use std::collections::{HashMap, VecDeque};

use crate::{ids::ClassName, worker::ResourceSize};

/// Observations before the declared size is replaced.
pub const MIN_OBSERVATIONS: usize = 20;
const MAX_OBSERVATIONS: usize = 64;

/// Observed cores for each class.
#[derive(Debug, Default)]
pub struct SizeEstimator {
    classes: HashMap<ClassName, VecDeque<u64>>,
}

impl SizeEstimator {
    /// Notes the mean thousandths of a core that a task of the class used in a window.
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

    /// Returns the size to set aside: the 90th percentile of the observed cores with a tenth on
    /// top once there are enough observations. Memory and accelerators stay as declared, since
    /// too little of them makes a task fail.
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
