//! Learned sizes: the cores that tasks of a class really use.

use std::collections::{HashMap, VecDeque};

use crate::{ids::ClassName, worker::ResourceSize};

/// Observations before the declared size is replaced.
pub const OBSERVATIONS_NEEDED: usize = 20;
const OBSERVATIONS_KEPT: usize = 64;

/// Observed cores for each class.
#[derive(Debug, Default)]
pub struct SizeLearner {
    classes: HashMap<ClassName, VecDeque<u64>>,
}

impl SizeLearner {
    /// Notes the mean thousandths of a core that a task of the class used in a window.
    pub fn observe(&mut self, class: &str, millicores: u64) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.to_owned(), VecDeque::new());
        }
        let Some(observed) = self.classes.get_mut(class) else { return };
        if observed.len() == OBSERVATIONS_KEPT {
            observed.pop_front();
        }
        observed.push_back(millicores);
    }

    /// Returns the size to set aside: the 90th percentile of the observed cores with a tenth on
    /// top once there are enough observations. Memory and accelerators stay as declared, since
    /// too little of them makes a task fail.
    pub fn reservation(&self, class: &str, declared: &ResourceSize) -> ResourceSize {
        let Some(observed) = self.classes.get(class) else { return *declared };
        if observed.len() < OBSERVATIONS_NEEDED {
            return *declared;
        }
        let mut sorted: Vec<_> = observed.iter().copied().collect();
        sorted.sort_unstable();
        let usual = sorted[(sorted.len() * 9 / 10).min(sorted.len() - 1)];
        ResourceSize { millicores: (usual + usual / 10).max(1), ..*declared }
    }
}
