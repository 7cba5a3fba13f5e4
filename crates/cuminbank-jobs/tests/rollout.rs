//! Seeded histories of instances that are replaced by other builds one after the other and back,
//! with watches that lag, and tests of what holds the format version of the pool back.

use std::time::Duration;

use cuminbank_jobs::{
    formats::{encode_versioned, split_version, FormatSupport, FormatVersion},
    ids::{LeaseId, MonotonicTime},
    instances::{InstanceEntry, InstanceRegistry, ENTRY_RENEW_INTERVAL, ENTRY_TTL},
    keys::{CellKeys, FORMAT_KEY, INSTANCE_PREFIX, OWNER_PREFIX},
    ownership::OwnerRecord,
    store::{decode_value, encode_value, StoreCall, StoreItem, StorePut, StoreReply, StoreTxn},
};
use cuminbank_platform_standin::store::FakeStore;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const OLD: FormatSupport = FormatSupport { oldest: 1, newest: 1, written: 1 };
/// Reads the second version and does not write it yet.
const READER: FormatSupport = FormatSupport { oldest: 1, newest: 2, written: 1 };
const WRITER: FormatSupport = FormatSupport { oldest: 1, newest: 2, written: 2 };
const INSTANCES: usize = 4;
const SEEDS: u64 = 60;
const STEP: Duration = Duration::from_millis(1_000);
/// Time for all watches to catch up and for entries of processes that are gone to expire.
const SETTLE: Duration = Duration::from_secs(ENTRY_TTL.as_secs() + 60);
/// Shorter and longer cuts from the store than the time to live of an entry.
const SHORT_CUT_SECS: u64 = ENTRY_TTL.as_secs() / 2;
const LONG_CUT_SECS: u64 = ENTRY_TTL.as_secs() * 2;

/// Mechanisms that a history switches off.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum MissingGuard {
    #[default]
    None,
    /// Writers use the version of their build.
    Floor,
    /// The version is raised although an instance has registered meanwhile.
    RaiseCondition,
}

/// Record of the second version, which has one field more.
type FirstRecord = u32;
type SecondRecord = (u32, u32);

fn read_record(support: FormatSupport, bytes: &[u8]) -> Option<SecondRecord> {
    match split_version(bytes) {
        (1, body) => decode_value::<FirstRecord>(body).map(|value| (value, 0)),
        (2, body) if support.newest >= 2 => decode_value(body),
        _ => None,
    }
}

fn write_record(version: FormatVersion, value: u32) -> Vec<u8> {
    match version {
        1 => encode_versioned::<FirstRecord>(1, &value),
        _ => encode_versioned::<SecondRecord>(version, &(value, 7)),
    }
}

/// Process of an instance.
struct Process {
    entry: InstanceEntry,
    registry: InstanceRegistry,
    /// Number of changes that its watch has delivered; `None` before the first read.
    seen: Option<usize>,
    lease: Option<LeaseId>,
    renew_at: MonotonicTime,
    /// Time until which it cannot reach the store.
    cut_until: MonotonicTime,
}

fn entry(number: usize, start: u64, formats: FormatSupport) -> InstanceEntry {
    InstanceEntry {
        instance: format!("i{number}"),
        start,
        peer_address: ([10, 0, 0, number as u8], 7100).into(),
        build: "test".to_owned(),
        formats,
    }
}

impl Process {
    fn new(number: usize, start: u64, formats: FormatSupport) -> Self {
        Self {
            entry: entry(number, start, formats),
            registry: InstanceRegistry::new(formats),
            seen: None,
            lease: None,
            renew_at: MonotonicTime::ZERO,
            cut_until: MonotonicTime::ZERO,
        }
    }

    fn register(&mut self, store: &mut FakeStore, now: MonotonicTime) {
        if now < self.renew_at {
            return;
        }
        self.renew_at = now + ENTRY_RENEW_INTERVAL;
        if let Some(lease) = self.lease {
            if store.call(now, &StoreCall::Keep { lease }) == (StoreReply::Kept { alive: true }) {
                return;
            }
        }
        let StoreReply::Granted { lease } = store.call(now, &StoreCall::Grant { ttl: ENTRY_TTL })
        else {
            panic!("the store grants leases");
        };
        store.call(now, &StoreCall::Commit(self.entry.registration(lease)));
        self.lease = Some(lease);
    }

    /// Delivers the changes up to a number of them.
    fn watch(&mut self, store: &FakeStore, until: usize) {
        match self.seen {
            None => self.registry.replace(&store.read(OWNER_PREFIX), store.revision),
            Some(seen) if seen < until => {
                store.changes[seen..until].iter().for_each(|change| self.registry.apply(change));
            }
            Some(_) => return,
        }
        self.seen = Some(if self.seen.is_none() { store.changes.len() } else { until });
    }
}

struct History {
    store: FakeStore,
    now: MonotonicTime,
    random: ChaCha8Rng,
    missing: MissingGuard,
    processes: Vec<Process>,
    starts: u64,
    written: u32,
    max_cut_secs: u64,
    violations: Vec<String>,
}

impl History {
    fn new(seed: u64, missing: MissingGuard) -> Self {
        Self {
            store: FakeStore::default(),
            now: Duration::from_secs(1),
            random: ChaCha8Rng::seed_from_u64(seed),
            missing,
            processes: (0..INSTANCES).map(|number| Process::new(number, 0, OLD)).collect(),
            starts: 0,
            written: 0,
            max_cut_secs: SHORT_CUT_SECS,
            violations: Vec::new(),
        }
    }

    /// Replaces the process of an instance.
    fn replace(&mut self, number: usize, formats: FormatSupport) {
        self.starts += 1;
        self.processes[number] = Process::new(number, self.starts, formats);
    }

    /// Plays a span of time. With faults, watches lag and instances are cut off from the store.
    fn play(&mut self, span: Duration, faults: bool) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.store.expire(self.now);
            for number in 0..INSTANCES {
                self.step(number, faults);
            }
        }
    }

    fn step(&mut self, number: usize, faults: bool) {
        let (now, random) = (self.now, &mut self.random);
        let process = &mut self.processes[number];
        if faults && random.random_bool(0.01) {
            process.cut_until =
                now + Duration::from_secs(random.random_range(1..self.max_cut_secs));
        }
        if faults && now < process.cut_until {
            return;
        }
        process.register(&mut self.store, now);
        let all = self.store.changes.len();
        let from = process.seen.unwrap_or_default();
        let lags = faults && random.random_bool(0.9);
        process.watch(&self.store, if lags { random.random_range(from..=all) } else { all });
        if let Some(mut txn) = process.registry.raise() {
            if self.missing == MissingGuard::RaiseCondition {
                txn.expected.truncate(1);
            }
            self.store.call(now, &StoreCall::Commit(txn));
        }
        if self.random.random_bool(0.3) {
            self.write(number);
            self.read(number);
        }
    }

    fn write(&mut self, number: usize) {
        let process = &self.processes[number];
        if process.registry.is_behind() {
            return;
        }
        let version = match self.missing {
            MissingGuard::Floor => process.entry.formats.written,
            _ => process.registry.write_version(),
        };
        self.written += 1;
        let value = write_record(version, self.written);
        let put = StorePut::new(format!("record/{}", self.written % 8), value);
        let txn = StoreTxn { puts: vec![put], ..StoreTxn::default() };
        self.store.call(self.now, &StoreCall::Commit(txn));
        // An instance that registers after the version was raised comes late and serves nothing.
        let raised = self.store.read(FORMAT_KEY).first().map_or(u64::MAX, |item| item.revision);
        for process in &self.processes {
            let key = format!("{INSTANCE_PREFIX}{}", process.entry.instance);
            let stored = self.store.read(&key).into_iter().find(|item| item.revision < raised);
            let entry = stored.and_then(|item| decode_value::<InstanceEntry>(&item.value));
            let registered = entry.as_ref() == Some(&process.entry);
            if registered && process.entry.formats.newest < version {
                let at = self.now;
                let name = &process.entry.instance;
                self.violations.push(format!("{at:?} version {version}: {name} cannot read it"));
            }
        }
    }

    /// Reads all records. One of a version that the build does not know is refused and stays.
    fn read(&mut self, number: usize) {
        let formats = self.processes[number].entry.formats;
        for item in self.store.read("record/") {
            let version = split_version(&item.value).0;
            match read_record(formats, &item.value) {
                Some((_, extra)) if extra == if version == 1 { 0 } else { 7 } => {}
                None if version > formats.newest => {}
                other => self.violations.push(format!("version {version} read as {other:?}")),
            }
        }
    }

    fn versions(&self) -> Vec<FormatVersion> {
        let items = self.store.read("record/");
        items.iter().map(|item| split_version(&item.value).0).collect()
    }

    /// Replaces the instances one after the other by a build.
    fn roll(&mut self, count: usize, formats: FormatSupport) {
        for number in 0..count {
            let span = Duration::from_millis(self.random.random_range(100..20_000));
            self.play(span, true);
            self.replace(number, formats);
        }
        let span = Duration::from_millis(self.random.random_range(100..20_000));
        self.play(span, true);
    }
}

/// Plays one seed and returns the violations.
fn play_seed(seed: u64, missing: MissingGuard) -> Vec<String> {
    let mut history = History::new(seed, missing);
    history.play(Duration::from_secs(5), true);
    // A build that writes the second version replaces some instances and is taken back.
    let some = history.random.random_range(1..INSTANCES);
    history.roll(some, WRITER);
    history.roll(some, OLD);
    if missing == MissingGuard::None {
        assert_eq!(history.versions().iter().max(), Some(&1), "seed {seed}");
    }
    history.max_cut_secs = LONG_CUT_SECS;
    // A build that only reads it replaces all, then one that writes it, which is taken back.
    history.roll(INSTANCES, READER);
    // One instance goes back and forth while another one may raise the version.
    history.replace(1, OLD);
    history.play(STEP * 2, false);
    history.replace(0, WRITER);
    for _ in 0..4 {
        history.replace(1, READER);
        let steps = history.random.random_range(1..3);
        history.play(STEP * steps, true);
        history.replace(1, OLD);
        history.play(STEP * 8, true);
    }
    history.roll(INSTANCES, WRITER);
    history.play(SETTLE, false);
    if missing == MissingGuard::None {
        assert!(history.versions().iter().all(|version| *version == 2), "seed {seed}");
    }
    history.roll(INSTANCES, READER);
    // An instance of the first build comes late.
    history.replace(0, OLD);
    history.play(SETTLE, false);
    let late = &history.processes[0];
    let behind: Vec<bool> = history.processes.iter().map(|p| p.registry.is_behind()).collect();
    assert_eq!(behind, [true, false, false, false], "seed {seed}");
    assert_eq!(late.registry.pool_version(), 2);
    history.violations
}

// Guards against records that a live instance cannot read, against a new version that is never
// used, and against an instance of an older build that serves records that it cannot read.
#[test]
fn live_instances_can_read_what_is_written_while_builds_are_replaced() {
    for seed in 0..SEEDS {
        let found = play_seed(seed, MissingGuard::None);
        assert!(found.is_empty(), "seed {seed}: {found:#?}");
    }
}

// Guards against a check that finds nothing: without the mechanisms it must find violations.
#[test]
fn history_without_the_mechanisms_has_violations() {
    for missing in [MissingGuard::Floor, MissingGuard::RaiseCondition] {
        let found = (0..SEEDS).filter(|seed| !play_seed(*seed, missing).is_empty()).count();
        assert!(found > 0, "{missing:?} was not found in {SEEDS} seeds");
        println!("{missing:?} was found in {found} of {SEEDS} seeds");
    }
}

fn item(key: &str, value: Vec<u8>) -> StoreItem {
    StoreItem { key: key.to_owned(), value, revision: 5, created: 5 }
}

fn entry_item(entry: &InstanceEntry) -> StoreItem {
    item(&format!("{INSTANCE_PREFIX}{}", entry.instance), encode_value(entry))
}

fn owner_item(entry: &InstanceEntry, start: u64) -> StoreItem {
    let InstanceEntry { instance, peer_address, .. } = entry.clone();
    let record = OwnerRecord { instance, start, peer_address, epoch: 3 };
    item(&CellKeys::new(0).owner, encode_value(&record))
}

/// Returns the registry of an instance that has read the items.
fn registry(items: &[StoreItem]) -> InstanceRegistry {
    let mut registry = InstanceRegistry::new(WRITER);
    registry.replace(items, 9);
    registry
}

// Guards against a raised version while an instance of a build without entries is live.
#[test]
fn live_instance_without_an_entry_holds_the_version() {
    let (first, second) = (entry(0, 1, WRITER), entry(1, 2, WRITER));
    let entries = [entry_item(&first), entry_item(&second)];
    let all = registry(&entries);
    assert_eq!((all.floor(), all.holders(), all.raise().is_some()), (2, Vec::new(), true));
    assert_eq!(all.write_version(), 1, "the version was not raised yet");
    assert!(all.contains(&first) && !all.contains(&entry(0, 2, WRITER)));
    // The owner is another process than the one with the entry.
    let old_owner = registry(&[&entries[..], &[owner_item(&first, 7)]].concat());
    assert_eq!((old_owner.floor(), old_owner.holders()), (1, vec!["i0".to_owned()]));
    assert_eq!(registry(&[&entries[..], &[owner_item(&first, 1)]].concat()).floor(), 2);
    // An instance that is both is named once.
    let old_entry = entry(1, 2, OLD);
    let both = registry(&[entry_item(&first), entry_item(&old_entry), owner_item(&old_entry, 9)]);
    assert_eq!(both.holders(), ["i1"]);
    let garbled = item(&CellKeys::new(0).owner, vec![0xff]);
    assert_eq!(registry(&[&entries[..], &[garbled]].concat()).floor(), 1);
    let mut asked = registry(&entries);
    asked.set_peers(["10.0.0.9:7100".parse().expect("valid socket address")]);
    assert_eq!((asked.floor(), asked.holders()), (1, vec!["10.0.0.9:7100".to_owned()]));
    assert_eq!(asked.raise(), None);
    assert_eq!(InstanceRegistry::new(WRITER).raise(), None, "nothing was read yet");
}

// Guards against an entry or version that cannot be read and is taken for one that can.
#[test]
fn unreadable_entries_and_versions_are_not_guessed() {
    let first = entry_item(&entry(0, 1, WRITER));
    let unreadable = registry(&[first.clone(), item(&format!("{INSTANCE_PREFIX}i1"), vec![9])]);
    assert_eq!((unreadable.floor(), unreadable.holders()), (1, vec!["i1".to_owned()]));
    let version = registry(&[first, item(FORMAT_KEY, Vec::new())]);
    assert!(version.is_behind());
    assert_eq!(version.raise(), None);
}

// Guards against entries and versions of later builds, with fields appended, that hold the version
// back or are refused.
#[test]
fn appended_fields_of_entries_are_ignored() {
    let mut longer = entry_item(&entry(0, 1, WRITER));
    longer.value.extend([1, 2, 3]);
    let mut version = item(FORMAT_KEY, encode_value(&2_u8));
    version.value.push(9);
    let registry = registry(&[longer, version]);
    assert_eq!((registry.floor(), registry.pool_version(), registry.is_behind()), (2, 2, false));
}
