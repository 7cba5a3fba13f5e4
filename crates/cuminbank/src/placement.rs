//! Placement of calls: slot accounting for each executor, and the choice of an executor for a call.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use rand::Rng;
use slotmap::{new_key_type, SecondaryMap, SlotMap};

use crate::ids::{ClassName, GroupIndex, MachineName, MonotonicTime, TargetName};

new_key_type! {
    /// Key of an executor in a [`SlotLedger`].
    pub struct ExecutorKey;
    /// Key of a slot that is reserved for a call.
    pub struct ReservationKey;
}

/// Number of least loaded executors that a placement scores. A constant keeps the cost of a
/// decision independent of the number of executors.
const LEAST_LOADED_CANDIDATES: usize = 6;
/// Number of random executors that a placement scores in addition. With them it can find an
/// executor with a low slowdown even when others have fewer calls.
const RANDOM_CANDIDATES: usize = 6;
/// Weight of the load (share of slots in use) relative to the predicted slowdown in a score. At
/// 0.5, a half-full executor without a slowdown scores the same as an empty one with a predicted
/// slowdown of 1.25.
const LOAD_WEIGHT: f64 = 0.5;
/// Penalty in the score of the executor to avoid, which is chosen only if there is no other.
const AVOIDED_PENALTY: f64 = 1e9;

/// Properties of an executor from the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutorSpec {
    /// Name of the executor.
    pub name: TargetName,
    /// Machine that it runs on.
    pub machine: MachineName,
    /// Address of the executor.
    pub address: SocketAddr,
    /// Group that its machine belongs to.
    pub group: GroupIndex,
    /// Number of calls that it can run at once.
    pub slots: u32,
}

/// Executor with the calls that occupy its slots.
#[derive(Debug)]
pub struct ExecutorSlots {
    /// Properties of the executor.
    pub spec: ExecutorSpec,
    accepting: bool,
    assumed_full: bool,
    reserved: u32,
    long: u32,
    /// Calls that other processes started, with the time at which a probe first listed each.
    inherited: BTreeMap<String, MonotonicTime>,
    classes: BTreeMap<ClassName, u32>,
}

#[derive(Debug)]
struct SlotReservation {
    executor: ExecutorKey,
    class: ClassName,
    long: bool,
}

/// Executors that can accept a call, in one bucket for each number of slots in use. Unlike an
/// ordered set, buckets keep the cost of a change independent of the number of executors.
#[derive(Debug, Default)]
struct LoadBuckets {
    buckets: Vec<Vec<ExecutorKey>>,
    count: usize,
}

/// Index of the executors of a group that accept calls.
#[derive(Debug, Default)]
struct ExecutorIndex {
    /// Executors with a free slot.
    open: LoadBuckets,
    /// Executors with a free slot that may also run a long call.
    open_long: LoadBuckets,
    accepting: Vec<ExecutorKey>,
    /// Number of slots that calls of this process can use.
    usable_slots: u64,
    /// Number of slots occupied by long calls of this process.
    long_occupied: u64,
}

/// Bucket of an executor and position within the bucket.
type BucketPosition = (u32, u32);

/// Positions of an executor in the index of its group, and its contribution to the totals there.
/// They are stored separately from the executors so that an update, which also changes the
/// positions of other executors, touches little memory.
#[derive(Clone, Copy, Debug, Default)]
struct IndexPosition {
    accepting: Option<u32>,
    open: Option<BucketPosition>,
    open_long: Option<BucketPosition>,
    usable_slots: u32,
    long_occupied: u32,
}

/// Slots in use on all executors, with an index of the executors that have a free one.
///
/// Only [`SlotLedger::reserve`] assigns a slot, and it fails if the executor is full. Each
/// inherited call (one that another process started) occupies a slot. An executor counts as full
/// until it has been probed.
#[derive(Debug)]
pub struct SlotLedger {
    executors: SlotMap<ExecutorKey, ExecutorSlots>,
    reservations: SlotMap<ReservationKey, SlotReservation>,
    by_name: HashMap<TargetName, ExecutorKey>,
    by_machine: HashMap<MachineName, BTreeSet<ExecutorKey>>,
    indexes: BTreeMap<GroupIndex, ExecutorIndex>,
    positions: SecondaryMap<ExecutorKey, IndexPosition>,
    long_limit: u32,
}

/// Requirements of a call on its executor.
#[derive(Clone, Copy, Debug)]
pub struct PickQuery {
    /// Group whose executors may be chosen.
    pub group: GroupIndex,
    /// Whether the call counts towards the limit of long calls per executor.
    pub long: bool,
    /// Executor to choose only if there is no other.
    pub avoid: Option<ExecutorKey>,
}

impl ExecutorSlots {
    /// Returns the number of slots in use, including those of inherited calls; all slots while the
    /// executor is assumed to be full.
    pub fn used(&self) -> u32 {
        if self.assumed_full {
            return self.spec.slots.max(self.reserved);
        }
        self.reserved + self.inherited.len() as u32
    }

    /// Returns the number of slots reserved for calls of this process.
    pub fn reserved(&self) -> u32 {
        self.reserved
    }

    /// Returns the number of slots occupied by long calls of this process.
    pub fn long_occupied(&self) -> u32 {
        self.long
    }

    /// Returns the number of running calls that other processes started.
    pub fn inherited(&self) -> usize {
        self.inherited.len()
    }

    /// Returns whether the executor counts as full because it is unknown which calls it runs.
    pub fn is_assumed_full(&self) -> bool {
        self.assumed_full
    }

    /// Returns whether the executor accepts new calls, with or without a free slot.
    pub fn is_accepting(&self) -> bool {
        self.accepting
    }

    fn can_accept_call(&self) -> bool {
        self.accepting && self.used() < self.spec.slots
    }

    fn load(&self) -> f64 {
        f64::from(self.used()) / f64::from(self.spec.slots.max(1))
    }
}

impl SlotLedger {
    /// Creates an empty ledger that lets long calls occupy at most `long_limit` slots per executor.
    pub fn new(long_limit: u32) -> Self {
        Self {
            executors: SlotMap::with_key(),
            reservations: SlotMap::with_key(),
            by_name: HashMap::new(),
            by_machine: HashMap::new(),
            indexes: BTreeMap::new(),
            positions: SecondaryMap::new(),
            long_limit,
        }
    }

    /// Adds an executor or updates its properties. A new executor, or one with a new address or
    /// group, counts as full until [`SlotLedger::record_probe`]. A new executor accepts no calls
    /// until [`SlotLedger::set_accepting`].
    pub fn upsert(&mut self, spec: ExecutorSpec) -> ExecutorKey {
        let Some(&key) = self.by_name.get(&spec.name) else { return self.insert(spec) };
        if self.executors[key].spec == spec {
            return key;
        }
        self.remove_from_index(key);
        let known = &self.executors[key].spec;
        let moved = known.address != spec.address || known.group != spec.group;
        let machine = std::mem::replace(&mut self.executors[key].spec, spec).machine;
        if let Some(keys) = self.by_machine.get_mut(&machine) {
            keys.remove(&key);
        }
        let machine = self.executors[key].spec.machine.clone();
        self.by_machine.entry(machine).or_default().insert(key);
        self.executors[key].assumed_full |= moved;
        self.update_index(key);
        key
    }

    fn insert(&mut self, spec: ExecutorSpec) -> ExecutorKey {
        let (name, machine) = (spec.name.clone(), spec.machine.clone());
        let key = self.executors.insert(ExecutorSlots {
            spec,
            accepting: false,
            assumed_full: true,
            reserved: 0,
            long: 0,
            inherited: BTreeMap::new(),
            classes: BTreeMap::new(),
        });
        self.positions.insert(key, IndexPosition::default());
        self.by_name.insert(name, key);
        self.by_machine.entry(machine).or_default().insert(key);
        key
    }

    /// Removes an executor unless a slot on it is reserved for a call of this process. Returns
    /// whether it was removed.
    pub fn remove(&mut self, key: ExecutorKey) -> bool {
        if self.executors.get(key).is_none_or(|executor| executor.reserved > 0) {
            return false;
        }
        self.remove_from_index(key);
        self.positions.remove(key);
        let Some(executor) = self.executors.remove(key) else { return false };
        self.by_name.remove(&executor.spec.name);
        if let Some(keys) = self.by_machine.get_mut(&executor.spec.machine) {
            keys.remove(&key);
            if keys.is_empty() {
                self.by_machine.remove(&executor.spec.machine);
            }
        }
        true
    }

    /// Returns the executor with a key.
    pub fn get(&self, key: ExecutorKey) -> Option<&ExecutorSlots> {
        self.executors.get(key)
    }

    /// Returns the key of the executor with a name.
    pub fn key_of(&self, name: &str) -> Option<ExecutorKey> {
        self.by_name.get(name).copied()
    }

    /// Returns all executors with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (ExecutorKey, &ExecutorSlots)> {
        self.executors.iter()
    }

    /// Sets whether an executor accepts new calls.
    pub fn set_accepting(&mut self, key: ExecutorKey, accepting: bool) {
        self.change(key, |executor| executor.accepting = accepting);
    }

    /// Treats an executor as full until the next [`SlotLedger::record_probe`].
    pub fn assume_full(&mut self, key: ExecutorKey) {
        self.change(key, |executor| executor.assumed_full = true);
    }

    /// Records the calls of other processes that a probe found; the probe was sent at `sent_at` and
    /// answered at `now`. A known call keeps its slot until it is missing from the answer to a
    /// probe that was sent at or after the time at which the call became known.
    pub fn record_probe(
        &mut self,
        key: ExecutorKey,
        foreign: impl IntoIterator<Item = String>,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let listed: BTreeSet<String> = foreign.into_iter().collect();
        self.change(key, |executor| {
            executor.inherited.retain(|id, known_at| listed.contains(id) || sent_at < *known_at);
            for id in listed {
                executor.inherited.entry(id).or_insert(now);
            }
            executor.assumed_full = false;
        });
    }

    /// Reserves a slot for a call. Returns `None` if the executor is full, accepts no calls or is
    /// unknown.
    pub fn reserve(&mut self, key: ExecutorKey, class: &str, long: bool) -> Option<ReservationKey> {
        if !self.executors.get(key)?.can_accept_call() {
            return None;
        }
        self.change(key, |executor| {
            executor.reserved += 1;
            executor.long += u32::from(long);
            *executor.classes.entry(class.to_owned()).or_default() += 1;
        });
        Some(self.reservations.insert(SlotReservation {
            executor: key,
            class: class.to_owned(),
            long,
        }))
    }

    /// Frees a reserved slot; does nothing if it was already freed.
    pub fn release(&mut self, reservation: ReservationKey) {
        let Some(SlotReservation { executor: key, class, long }) =
            self.reservations.remove(reservation)
        else {
            return;
        };
        self.change(key, |executor| {
            executor.reserved -= 1;
            executor.long -= u32::from(long);
            if let Some(count) = executor.classes.get_mut(&class) {
                *count -= 1;
                if *count == 0 {
                    executor.classes.remove(&class);
                }
            }
        });
    }

    /// Counts a running call as a long one from now on.
    pub fn mark_long(&mut self, reservation: ReservationKey) {
        let Some(record) = self.reservations.get_mut(reservation).filter(|record| !record.long)
        else {
            return;
        };
        record.long = true;
        let key = record.executor;
        self.change(key, |executor| executor.long += 1);
    }

    /// Returns the executor with the best score among a constant number of candidates; `None` if no
    /// candidate can accept the call. `slowdown` predicts the factor by which the neighbours on the
    /// machine slow the call down; 1.0 is no slowdown.
    pub fn pick(
        &self,
        query: PickQuery,
        rng: &mut impl Rng,
        mut slowdown: impl FnMut(&ExecutorSlots) -> f64,
    ) -> Option<ExecutorKey> {
        let index = self.indexes.get(&query.group)?;
        let buckets = if query.long { &index.open_long } else { &index.open };
        let mut best: Option<(f64, ExecutorKey)> = None;
        let mut consider = |key: ExecutorKey| {
            let executor = &self.executors[key];
            let is_eligible =
                executor.can_accept_call() && (!query.long || executor.long < self.long_limit);
            if !is_eligible {
                return;
            }
            let penalty = if query.avoid == Some(key) { AVOIDED_PENALTY } else { 0.0 };
            let score = slowdown(executor) + LOAD_WEIGHT * executor.load() + penalty;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, key));
            }
        };
        buckets.least_loaded(LEAST_LOADED_CANDIDATES, rng, &mut consider);
        if buckets.count > LEAST_LOADED_CANDIDATES {
            for _ in 0..RANDOM_CANDIDATES {
                consider(index.accepting[rng.random_range(0..index.accepting.len())]);
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the executor of a group with the fewest slots in use, if any has a free slot. The
    /// executor to avoid is returned only if there is no other.
    pub fn least_loaded(&self, query: PickQuery, rng: &mut impl Rng) -> Option<ExecutorKey> {
        let open = &self.indexes.get(&query.group)?.open;
        let mut first = None;
        let mut other = None;
        open.least_loaded(2, rng, |key| {
            first = first.or(Some(key));
            other = other.or(Some(key).filter(|key| query.avoid != Some(*key)));
        });
        other.or(first)
    }

    /// Returns a random executor of a group that accepts calls, with or without a free slot.
    pub fn random(&self, group: GroupIndex, rng: &mut impl Rng) -> Option<ExecutorKey> {
        let accepting = &self.indexes.get(&group)?.accepting;
        (!accepting.is_empty()).then(|| accepting[rng.random_range(0..accepting.len())])
    }

    /// Returns whether an executor of a group has a free slot for a short or long call.
    pub fn has_free(&self, group: GroupIndex, long: bool) -> bool {
        self.indexes.get(&group).is_some_and(|index| {
            let buckets = if long { &index.open_long } else { &index.open };
            buckets.count > 0
        })
    }

    /// Returns the number of slots that calls of this process can use on the executors of a group
    /// that accept calls.
    pub fn usable_slots(&self, group: GroupIndex) -> u64 {
        self.indexes.get(&group).map_or(0, |index| index.usable_slots)
    }

    /// Returns the number of those slots that long calls can use.
    pub fn usable_long_slots(&self, group: GroupIndex) -> u64 {
        let limit = u64::from(self.long_limit);
        self.indexes
            .get(&group)
            .map_or(0, |index| index.usable_slots.min(limit * index.accepting.len() as u64))
    }

    /// Returns the number of slots occupied by long calls of this process on the executors of a
    /// group that accept calls.
    pub fn long_occupied(&self, group: GroupIndex) -> u64 {
        self.indexes.get(&group).map_or(0, |index| index.long_occupied)
    }

    /// Returns the classes of the calls of this process that run on the executors of a machine,
    /// with the number of calls of each.
    pub fn classes_on(&self, machine: &str) -> Vec<(ClassName, u32)> {
        let mut classes: BTreeMap<&ClassName, u32> = BTreeMap::new();
        let keys = self.by_machine.get(machine).into_iter().flatten();
        for (class, count) in keys.flat_map(|&key| &self.executors[key].classes) {
            *classes.entry(class).or_default() += count;
        }
        classes.into_iter().map(|(class, count)| (class.clone(), count)).collect()
    }

    fn change(&mut self, key: ExecutorKey, change: impl FnOnce(&mut ExecutorSlots)) {
        let Some(executor) = self.executors.get_mut(key) else { return };
        change(executor);
        self.update_index(key);
    }

    /// Removes an executor from the index of its group without changing whether it accepts calls.
    fn remove_from_index(&mut self, key: ExecutorKey) {
        let accepting = self.executors[key].accepting;
        self.change(key, |executor| executor.accepting = false);
        self.executors[key].accepting = accepting;
    }

    /// Updates the index of an executor's group after a change of the executor.
    fn update_index(&mut self, key: ExecutorKey) {
        let executor = &self.executors[key];
        let open = executor.can_accept_call().then(|| executor.used());
        let open_long = open.filter(|_| executor.long < self.long_limit);
        let accepting = executor.accepting;
        let usable_slots = if accepting { slots_for_own_calls(executor) } else { 0 };
        let long_occupied = if accepting { executor.long } else { 0 };
        let index = self.indexes.entry(executor.spec.group).or_default();
        let positions = &mut self.positions;
        let position = positions[key];
        index.usable_slots =
            index.usable_slots + u64::from(usable_slots) - u64::from(position.usable_slots);
        index.long_occupied =
            index.long_occupied + u64::from(long_occupied) - u64::from(position.long_occupied);
        if position.accepting.is_some() != accepting {
            let new = index.set_accepting(key, position.accepting, positions);
            positions[key].accepting = new;
        }
        let open = index.open.relocate(key, position.open, open, |moved, position| {
            positions[moved].open = Some(position);
        });
        let open_long =
            index.open_long.relocate(key, position.open_long, open_long, |moved, position| {
                positions[moved].open_long = Some(position);
            });
        let accepting = positions[key].accepting;
        positions[key] = IndexPosition { accepting, open, open_long, usable_slots, long_occupied };
    }
}

impl ExecutorIndex {
    /// Adds an executor without a position to the list of accepting ones, or removes the one at
    /// `position`. Returns the new position.
    fn set_accepting(
        &mut self,
        key: ExecutorKey,
        position: Option<u32>,
        positions: &mut SecondaryMap<ExecutorKey, IndexPosition>,
    ) -> Option<u32> {
        let Some(position) = position else {
            self.accepting.push(key);
            return Some(self.accepting.len() as u32 - 1);
        };
        self.accepting.swap_remove(position as usize);
        if let Some(&moved) = self.accepting.get(position as usize) {
            positions[moved].accepting = Some(position);
        }
        None
    }
}

impl LoadBuckets {
    /// Moves an executor from its position to the bucket of `load`, or removes it if `load` is
    /// `None`. Returns the new position. `moved` is called for the executor that takes the vacated
    /// position.
    fn relocate(
        &mut self,
        key: ExecutorKey,
        position: Option<BucketPosition>,
        load: Option<u32>,
        mut moved: impl FnMut(ExecutorKey, BucketPosition),
    ) -> Option<BucketPosition> {
        if position.map(|(bucket, _)| bucket) == load {
            return position;
        }
        if let Some((bucket, position)) = position {
            let keys = &mut self.buckets[bucket as usize];
            keys.swap_remove(position as usize);
            self.count -= 1;
            if let Some(&other) = keys.get(position as usize) {
                moved(other, (bucket, position));
            }
        }
        let bucket = load?;
        if self.buckets.len() <= bucket as usize {
            self.buckets.resize_with(bucket as usize + 1, Vec::new);
        }
        let keys = &mut self.buckets[bucket as usize];
        keys.push(key);
        self.count += 1;
        Some((bucket, keys.len() as u32 - 1))
    }

    /// Visits up to `limit` executors in order of increasing load, starting at a random one among
    /// those of equal load.
    fn least_loaded(&self, limit: usize, rng: &mut impl Rng, mut visit: impl FnMut(ExecutorKey)) {
        let mut remaining = limit;
        for keys in self.buckets.iter().filter(|keys| !keys.is_empty()) {
            let first = rng.random_range(0..keys.len());
            let (before, after) = keys.split_at(first);
            let visited = keys.len().min(remaining);
            after.iter().chain(before).take(visited).for_each(|&key| visit(key));
            remaining -= visited;
            if remaining == 0 {
                return;
            }
        }
    }
}

/// Returns the number of slots of an executor that calls of this process can use.
fn slots_for_own_calls(executor: &ExecutorSlots) -> u32 {
    if executor.assumed_full {
        return 0;
    }
    executor.spec.slots.saturating_sub(executor.inherited.len() as u32)
}
