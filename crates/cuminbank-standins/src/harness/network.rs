//! Delays, losses and cuts between the parties.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::queue::{EntryIndex, TargetIndex};

/// A party of the network.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NetworkNode {
    /// Entry instance.
    Entry(EntryIndex),
    /// Executor and worker of a machine.
    Target(TargetIndex),
    /// The platform's store.
    Store,
    /// The platform's list.
    List,
    /// Callers and operators.
    Client,
}

/// A cut that is active.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NetworkPartition {
    /// The store answers nobody.
    Store,
    /// A zone does not reach the store.
    ZoneFromStore(usize),
    /// Two zones do not reach each other.
    Zones(usize, usize),
    /// An entry instance reaches nobody.
    Instance(EntryIndex),
    /// Two parties do not reach each other.
    Pair(NetworkNode, NetworkNode),
    /// Answers of open connections between an entry instance and a target do not arrive.
    Silent(EntryIndex, TargetIndex),
}

/// State of the network.
#[derive(Debug)]
pub struct NetworkState {
    partitions: Vec<NetworkPartition>,
    zones: usize,
    loss: f64,
    slow_connect_share: f64,
}

impl NetworkState {
    /// Creates a network without cuts.
    pub fn new(zones: usize, loss: f64, slow_connect_share: f64) -> Self {
        Self { partitions: Vec::new(), zones, loss, slow_connect_share }
    }

    /// Ends all cuts, losses and slow connects.
    pub fn recover(&mut self) {
        self.partitions.clear();
        self.loss = 0.0;
        self.slow_connect_share = 0.0;
    }

    /// Begins a cut.
    pub fn partition(&mut self, partition: NetworkPartition) {
        self.partitions.push(partition);
    }

    /// Ends a cut.
    pub fn heal(&mut self, partition: NetworkPartition) {
        if let Some(index) = self.partitions.iter().position(|active| *active == partition) {
            self.partitions.swap_remove(index);
        }
    }

    /// Tells whether two parties reach each other.
    pub fn reaches(&self, a: NetworkNode, b: NetworkNode) -> bool {
        !self
            .partitions
            .iter()
            .any(|partition| self.separates(*partition, a, b) || self.separates(*partition, b, a))
    }

    /// Tells whether answers on open connections to a target are lost.
    pub fn is_silent(&self, entry: EntryIndex, target: TargetIndex) -> bool {
        self.partitions.contains(&NetworkPartition::Silent(entry, target))
    }

    /// Draws whether a message is lost.
    pub fn draw_loss(&self, rng: &mut ChaCha8Rng) -> bool {
        self.loss > 0.0 && rng.random_bool(self.loss)
    }

    /// Draws the delay of a message; it stays under the transit bound of 1 s.
    pub fn draw_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        if self.loss > 0.0 && rng.random_bool(0.01) {
            return Duration::from_millis(rng.random_range(5..700));
        }
        Duration::from_micros(rng.random_range(500..2_500))
    }

    /// Draws the time from an effect to the write of its bytes.
    pub fn draw_write_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        if self.slow_connect_share > 0.0 && rng.random_bool(self.slow_connect_share) {
            // A lost SYN is repeated after one second.
            return Duration::from_millis(rng.random_range(1_000..1_010));
        }
        Duration::from_micros(rng.random_range(20..1_500))
    }

    fn separates(&self, partition: NetworkPartition, a: NetworkNode, b: NetworkNode) -> bool {
        match partition {
            NetworkPartition::Store => a == NetworkNode::Store,
            NetworkPartition::ZoneFromStore(zone) => {
                a == NetworkNode::Store && self.zone(b) == Some(zone)
            }
            NetworkPartition::Zones(x, y) => self.zone(a) == Some(x) && self.zone(b) == Some(y),
            NetworkPartition::Instance(entry) => a == NetworkNode::Entry(entry),
            NetworkPartition::Pair(x, y) => a == x && b == y,
            NetworkPartition::Silent(..) => false,
        }
    }

    fn zone(&self, party: NetworkNode) -> Option<usize> {
        match party {
            NetworkNode::Entry(index) | NetworkNode::Target(index) => Some(index % self.zones),
            NetworkNode::Store | NetworkNode::List | NetworkNode::Client => None,
        }
    }
}
