//! Simulated network: message delays, losses and partitions.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::queue::{EntryIndex, TargetIndex};

/// Node of the simulated network.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NetworkNode {
    /// An entry instance.
    Entry(EntryIndex),
    /// A machine with its executor and worker.
    Target(TargetIndex),
    /// The platform's store.
    Store,
    /// The platform's list of instances.
    List,
    /// All callers and operators.
    Client,
}

/// Partition between nodes, or loss of the answers on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NetworkPartition {
    /// Between the store and all other nodes.
    Store,
    /// Between a zone and the store.
    ZoneFromStore(usize),
    /// Between two zones.
    Zones(usize, usize),
    /// Between an entry instance and all other nodes.
    Instance(EntryIndex),
    /// Between two nodes.
    Pair(NetworkNode, NetworkNode),
    /// Answers on open connections between an entry instance and a target are lost.
    Silent(EntryIndex, TargetIndex),
}

/// Active partitions and loss rates of the network.
#[derive(Debug)]
pub struct NetworkState {
    partitions: Vec<NetworkPartition>,
    zones: usize,
    loss: f64,
    slow_connect_share: f64,
}

impl NetworkState {
    /// Creates a network without partitions. `loss` is the share of messages that are lost and
    /// `slow_connect_share` that of writes that wait for their connection, each from 0 to 1.
    pub fn new(zones: usize, loss: f64, slow_connect_share: f64) -> Self {
        Self { partitions: Vec::new(), zones, loss, slow_connect_share }
    }

    /// Ends all partitions, losses and slow connects.
    pub fn recover(&mut self) {
        self.partitions.clear();
        self.loss = 0.0;
        self.slow_connect_share = 0.0;
    }

    /// Starts a partition.
    pub fn partition(&mut self, partition: NetworkPartition) {
        self.partitions.push(partition);
    }

    /// Ends a partition; without effect if it is not active.
    pub fn heal(&mut self, partition: NetworkPartition) {
        if let Some(index) = self.partitions.iter().position(|active| *active == partition) {
            self.partitions.swap_remove(index);
        }
    }

    /// Tells whether no partition separates two nodes.
    pub fn reaches(&self, a: NetworkNode, b: NetworkNode) -> bool {
        !self
            .partitions
            .iter()
            .any(|partition| self.separates(*partition, a, b) || self.separates(*partition, b, a))
    }

    /// Tells whether answers on open connections from an entry instance to a target are lost.
    pub fn is_silent(&self, entry: EntryIndex, target: TargetIndex) -> bool {
        self.partitions.contains(&NetworkPartition::Silent(entry, target))
    }

    /// Draws whether the next message is lost.
    pub fn draw_loss(&self, rng: &mut ChaCha8Rng) -> bool {
        self.loss > 0.0 && rng.random_bool(self.loss)
    }

    /// Draws the delay of a message. It is always below the assumed transit bound of 1 s.
    pub fn draw_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        if self.loss > 0.0 && rng.random_bool(0.01) {
            return Duration::from_millis(rng.random_range(5..700));
        }
        Duration::from_micros(rng.random_range(500..2_500))
    }

    /// Draws the time between an effect and the write of its request to a connection.
    pub fn draw_write_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        if self.slow_connect_share > 0.0 && rng.random_bool(self.slow_connect_share) {
            // TCP repeats a lost SYN after one second.
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
