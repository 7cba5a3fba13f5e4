//! Delays, losses and cuts between the parties.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::queue::{EntryIndex, TargetIndex};

/// A party of the network.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Party {
    /// Entry instance.
    Entry(EntryIndex),
    /// Executor and worker of a machine.
    Target(TargetIndex),
    /// The platform's store.
    Store,
    /// The platform's list.
    List,
    /// Callers and operators.
    Outside,
}

/// A cut that is active.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// The store answers nobody.
    Store,
    /// A zone does not reach the store.
    ZoneFromStore(usize),
    /// Two zones do not reach each other.
    Zones(usize, usize),
    /// An entry instance reaches nobody.
    Instance(EntryIndex),
    /// Two parties do not reach each other.
    Pair(Party, Party),
    /// Answers of open connections between an entry instance and a target do not arrive.
    Silent(EntryIndex, TargetIndex),
}

/// State of the network.
#[derive(Debug)]
pub struct NetworkState {
    cuts: Vec<Cut>,
    zones: usize,
    loss: f64,
    slow_connects: f64,
}

impl NetworkState {
    /// Creates a network without cuts.
    pub fn new(zones: usize, loss: f64, slow_connects: f64) -> Self {
        Self { cuts: Vec::new(), zones, loss, slow_connects }
    }

    /// Ends all cuts, losses and slow connects.
    pub fn recover(&mut self) {
        self.cuts.clear();
        self.loss = 0.0;
        self.slow_connects = 0.0;
    }

    /// Begins a cut.
    pub fn cut(&mut self, cut: Cut) {
        self.cuts.push(cut);
    }

    /// Ends a cut.
    pub fn heal(&mut self, cut: Cut) {
        if let Some(index) = self.cuts.iter().position(|active| *active == cut) {
            self.cuts.swap_remove(index);
        }
    }

    /// Tells whether two parties reach each other.
    pub fn reaches(&self, a: Party, b: Party) -> bool {
        !self.cuts.iter().any(|cut| self.severs(*cut, a, b) || self.severs(*cut, b, a))
    }

    /// Tells whether answers on open connections to a target are lost.
    pub fn is_silent(&self, entry: EntryIndex, target: TargetIndex) -> bool {
        self.cuts.contains(&Cut::Silent(entry, target))
    }

    /// Draws whether a message is lost.
    pub fn loses(&self, rng: &mut ChaCha8Rng) -> bool {
        self.loss > 0.0 && rng.random_bool(self.loss)
    }

    /// Draws the delay of a message; it stays under the transit bound of 1 s.
    pub fn delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        if self.loss > 0.0 && rng.random_bool(0.01) {
            return Duration::from_millis(rng.random_range(5..700));
        }
        Duration::from_micros(rng.random_range(500..2_500))
    }

    /// Draws the time from an effect to the write of its bytes.
    pub fn write_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        if self.slow_connects > 0.0 && rng.random_bool(self.slow_connects) {
            // A lost SYN is repeated after one second.
            return Duration::from_millis(rng.random_range(1_000..1_010));
        }
        Duration::from_micros(rng.random_range(20..1_500))
    }

    fn severs(&self, cut: Cut, a: Party, b: Party) -> bool {
        match cut {
            Cut::Store => a == Party::Store,
            Cut::ZoneFromStore(zone) => a == Party::Store && self.zone(b) == Some(zone),
            Cut::Zones(x, y) => self.zone(a) == Some(x) && self.zone(b) == Some(y),
            Cut::Instance(entry) => a == Party::Entry(entry),
            Cut::Pair(x, y) => a == x && b == y,
            Cut::Silent(..) => false,
        }
    }

    fn zone(&self, party: Party) -> Option<usize> {
        match party {
            Party::Entry(index) | Party::Target(index) => Some(index % self.zones),
            Party::Store | Party::List | Party::Outside => None,
        }
    }
}
