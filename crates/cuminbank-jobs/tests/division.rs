//! Tests of the division that follows from the registered instances.

use std::{collections::BTreeMap, time::Duration};

use cuminbank_jobs::{
    cells::{PlanLimits, PoolPlan},
    division::{
        CellCount, DivisionEntries, DivisionProposal, HandoverCandidate, HandoverWatch,
        InstanceResources, ProposalStep, Redundancy, ENTRY_WAIT,
    },
    formats::SUPPORTED_FORMATS,
    instances::{InstanceEntry, InstanceRegistry},
    job::TaskNeeds,
    keys::{CellKeys, PLAN_KEY, REGISTRATION_KEY},
    order::ExecutorReport,
    ownership::OwnerRecord,
    store::{decode_value, encode_value, StoreItem, StoreTxn},
};
use proptest::prelude::*;

const LIMITS: PlanLimits = PlanLimits { max_executors: 700, link_mbps: 10.0, cells: None };
const DELAY: Duration = Duration::from_millis(400);
const POOL: usize = 490;

fn resources(link_mbps: f64, share: f64) -> InstanceResources {
    InstanceResources::new(link_mbps, share)
}

fn executors(count: usize) -> Vec<ExecutorReport> {
    let report = |number: usize| ExecutorReport {
        name: format!("i-{number}"),
        service: "plans".to_owned(),
        address: "127.0.0.1:1".parse().expect("valid socket address"),
        zone: "z".to_owned(),
        draining: false,
        remaining: None,
        capacity: TaskNeeds::default(),
        labels: vec![format!("r{}", number / 8)],
        started_at: None,
    };
    (0..count).map(report).collect()
}

fn entry(number: usize) -> InstanceEntry {
    InstanceEntry {
        instance: format!("i{number:02}"),
        start: 7,
        peer_address: "127.0.0.1:9".parse().expect("valid socket address"),
        build: "test".to_owned(),
        formats: SUPPORTED_FORMATS,
    }
}

fn entries(resources: Vec<InstanceResources>) -> DivisionEntries {
    DivisionEntries { resources, has_own: true, registration: 40 }
}

fn proposed(step: ProposalStep) -> Option<(StoreTxn, PoolPlan)> {
    let ProposalStep::Propose(txn, _) = step else { return None };
    let plan = decode_value(&txn.puts[0].value).expect("a proposed plan can be decoded");
    Some((txn, plan))
}

// Guards against a division that only one instance can serve, and against one into more cells than
// the best-equipped instances need.
#[test]
fn cells_are_as_few_as_instances_can_own_twice_over() {
    let count = |strong: usize, medium: usize, weak: usize| {
        let mut all = vec![resources(200.0, 0.5); strong];
        all.extend(vec![resources(25.0, 0.25); medium]);
        all.extend(vec![resources(10.0, 0.12); weak]);
        let count = CellCount::new(POOL, &all, &LIMITS);
        (count.cells, count.owners, count.redundancy)
    };
    assert_eq!(count(2, 0, 40), (1, 2, Redundancy::Double));
    assert_eq!(count(1, 3, 38), (2, 4, Redundancy::Double));
    assert_eq!(count(0, 0, 42), (4, 42, Redundancy::Double));
    // Too few instances for a replacement of each owner.
    assert_eq!(count(1, 0, 0), (1, 1, Redundancy::Single));
    assert_eq!(count(0, 3, 0), (2, 3, Redundancy::Single));
    assert_eq!(count(0, 0, 3).2, Redundancy::Insufficient);
    // A fixed number and the maximum size of a cell are kept.
    let all = [resources(200.0, 0.5); 6];
    assert_eq!(CellCount::new(POOL, &all, &PlanLimits { cells: Some(3), ..LIMITS }).cells, 3);
    assert_eq!(CellCount::new(POOL, &all, &PlanLimits { max_executors: 250, ..LIMITS }).cells, 2);
}

// Guards against a wide link whose instance has too little processor for a large cell.
#[test]
fn processor_share_counts_as_well_as_the_link() {
    assert!(resources(200.0, 0.5).can_own(POOL));
    assert!(!resources(200.0, 0.12).can_own(POOL));
    assert!(!resources(10.0, 0.5).can_own(POOL));
    assert!(resources(200.0, 0.12).can_own(POOL / 4));
}

proptest! {
    // Guards against a division that depends on the order of the entries or on the proposer, and
    // against proposing early although a later entry would change the number of cells.
    #[test]
    fn further_entries_never_add_cells(
        all in prop::collection::vec((1_u32..200, 5_u32..60), 1..30),
        more in prop::collection::vec((1_u32..200, 5_u32..60), 0..10),
        size in 1_usize..1_500,
        own_mbps in 1_u32..200,
    ) {
        let read = |pairs: &[(u32, u32)]| -> Vec<InstanceResources> {
            let pairs = pairs.iter();
            pairs.map(|(mbps, share)| resources(f64::from(*mbps), f64::from(*share) / 100.0)).collect()
        };
        let mut known = read(&all);
        let first = CellCount::new(size, &known, &LIMITS);
        known.reverse();
        let limits = PlanLimits { link_mbps: f64::from(own_mbps), ..LIMITS };
        prop_assert_eq!(CellCount::new(size, &known, &limits), first);
        known.extend(read(&more));
        let later = CellCount::new(size, &known, &limits);
        if first.redundancy == Redundancy::Double {
            prop_assert!(later.cells <= first.cells);
            prop_assert_eq!(later.redundancy, Redundancy::Double);
            prop_assert!(!first.minimal || later.cells == first.cells);
        }
    }
}

// Guards against an entry that other builds cannot read, and against taking an instance without
// resources for one that can own a cell.
#[test]
fn resources_follow_the_known_fields_of_an_entry() {
    let (old, new) = (entry(0), entry(1));
    let own = resources(200.0, 0.5);
    let plain = encode_value(&new);
    let txn = new.registration_with(&own, 5);
    let bytes = &txn.puts[0].value;
    assert_eq!(&bytes[..plain.len()], plain, "the known fields keep their bytes");
    let (read, rest) = postcard::take_from_bytes::<InstanceEntry>(bytes).expect("old readers");
    assert_eq!((read, rest.len()), (new.clone(), bytes.len() - plain.len()));
    assert_eq!(old.registration(5).puts[0].value, encode_value(&old));

    let mut registry = InstanceRegistry::new(SUPPORTED_FORMATS);
    let mut items: Vec<StoreItem> = Vec::new();
    for txn in [old.registration(5), txn.clone()] {
        items.extend(txn.puts.into_iter().map(|put| StoreItem {
            key: put.key,
            value: put.value,
            revision: 9,
            created: 9,
        }));
    }
    registry.replace(&items, 9);
    let seen = registry.division_entries(&new.instance, new.start);
    assert_eq!(seen, DivisionEntries { resources: vec![own], has_own: true, registration: 9 });
    assert!(registry.contains(&new) && registry.contains(&old));
    assert!(!registry.division_entries(&new.instance, 8).has_own, "an earlier start");
    assert!(!registry.division_entries(&"other".to_owned(), 7).has_own);
    // A build without resources replaces the entry, for example when an upgrade is taken back.
    let value = encode_value(&new);
    items.retain(|item| item.key.ends_with("i01"));
    items[0].value = value;
    registry.replace(&items, 10);
    assert!(registry.division_entries(&new.instance, 7).resources.is_empty());
}

// Guards against a proposal before the entries of better-equipped instances are stored, and against
// one that ignores an instance that registers at the same time.
#[test]
fn proposal_waits_for_entries_that_can_change_it() {
    let pool = executors(POOL);
    let mut proposal = DivisionProposal::new(LIMITS, DELAY);
    let start = Duration::from_secs(1);
    let unregistered = DivisionEntries { has_own: false, ..entries(Vec::new()) };
    assert!(!proposal.needs_count(start, &unregistered));
    assert!(!proposal.needs_count(start + Duration::from_secs(9), &unregistered));
    let weak = entries(vec![resources(10.0, 0.12); 30]);
    let seen = start + Duration::from_secs(10);
    assert!(!proposal.needs_count(seen, &weak));
    assert!(proposal.needs_count(seen + DELAY, &weak));
    assert_eq!(proposal.decide(seen + DELAY, &weak, &pool), ProposalStep::Wait);
    assert_eq!(proposal.decide(seen + DELAY, &weak, &pool), ProposalStep::Wait);
    let late = seen + ENTRY_WAIT + DELAY;
    // A count that differs from the one before is not used.
    assert_eq!(proposal.decide(late, &weak, &pool[1..]), ProposalStep::Wait);
    assert_eq!(proposal.decide(late, &weak, &pool), ProposalStep::Wait);
    let (txn, plan) = proposed(proposal.decide(late, &weak, &pool)).expect("a proposal");
    assert_eq!(plan.cells, 4);
    let expected = vec![(PLAN_KEY.to_owned(), 0), (REGISTRATION_KEY.to_owned(), 40)];
    assert_eq!(txn.expected, expected);
}

// Guards against a needless wait, during which the instances are not ready.
#[test]
fn minimal_division_with_replacements_is_proposed_at_once() {
    let pool = executors(POOL);
    let strong = entries(vec![resources(200.0, 0.5); 2]);
    let mut proposal = DivisionProposal::new(LIMITS, DELAY);
    assert!(!proposal.needs_count(DELAY, &strong));
    assert_eq!(proposal.decide(DELAY * 2, &strong, &pool), ProposalStep::Wait);
    let (txn, plan) = proposed(proposal.decide(DELAY * 2, &strong, &pool)).expect("a proposal");
    assert_eq!((plan.cells, txn.expected), (1, vec![(PLAN_KEY.to_owned(), 0)]));
}

// Guards against a pool without executors that is never divided, so that no instance gets ready.
#[test]
fn pool_without_executors_becomes_one_cell() {
    let strong = entries(vec![resources(200.0, 0.5); 2]);
    let mut proposal = DivisionProposal::new(LIMITS, DELAY);
    assert!(!proposal.needs_count(DELAY, &strong));
    let counted = (0..40).position(|_| {
        let step = proposal.decide(DELAY * 2, &strong, &[]);
        proposed(step).is_some_and(|(_, plan)| plan.cells == 1)
    });
    assert_eq!(counted, Some(14));
}

/// Store with the entries and the plan. It applies nothing until `up_at`.
struct FakeStore {
    up_at: Duration,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    revision: u64,
}

impl FakeStore {
    fn commit(&mut self, now: Duration, txn: &StoreTxn) -> bool {
        let revision = |key: &String| self.items.get(key).map_or(0, |(_, revision)| *revision);
        if now < self.up_at || txn.expected.iter().any(|(key, at)| revision(key) != *at) {
            return false;
        }
        self.revision += 1;
        for put in &txn.puts {
            self.items.insert(put.key.clone(), (put.value.clone(), self.revision));
        }
        true
    }

    fn read(&self) -> Vec<StoreItem> {
        let item = |(key, (value, revision)): (&String, &(Vec<u8>, u64))| StoreItem {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
            created: *revision,
        };
        self.items.iter().map(item).collect()
    }
}

/// Starts 42 instances, of which only the last two can own a large cell, against a store that is
/// down until `up_at`. `spread` is the range of their starts, `lag` that of their watches. Returns
/// the number of cells and the time of the division.
fn start_instances(up_at: Duration, spread: Duration, lag: Duration) -> (u16, Duration) {
    const STEP: Duration = Duration::from_millis(20);
    let pool = executors(POOL);
    let mut store = FakeStore { up_at, items: BTreeMap::new(), revision: 3 };
    let mut views: Vec<(Duration, Vec<StoreItem>)> = Vec::new();
    let share = |number: u32| spread.mul_f64(f64::from((number * 17) % 42) / 42.0);
    let mut instances: Vec<_> = (0..42_u32)
        .map(|number| {
            let own = match number {
                40.. => resources(200.0, 0.5),
                _ => resources(10.0, 0.12),
            };
            let delay = if number < 40 { DELAY * 4 } else { DELAY / 2 };
            let hash = Duration::from_millis(u64::from(number * 29 % 42) * 1_000 / 42);
            // Time of the next attempt to register, and of the next count.
            let at = share(number) + hash;
            (entry(number as usize), own, DivisionProposal::new(LIMITS, delay), Some(at), at)
        })
        .collect();
    for now in (0..1_500).map(|step| STEP * step) {
        views.push((now, store.read()));
        let seen = views.iter().rev().find(|(at, _)| *at + lag <= now);
        let mut registry = InstanceRegistry::new(SUPPORTED_FORMATS);
        registry.replace(seen.map_or(&[][..], |(_, items)| items), u64::MAX);
        for (entry, own, proposal, register_at, count_at) in &mut instances {
            if register_at.is_some_and(|at| now >= at) {
                let registered = store.commit(now, &entry.registration_with(own, 1));
                // The timeout of a call and the pause after it.
                *register_at = (!registered).then(|| now + Duration::from_millis(1_200));
            }
            let seen = registry.division_entries(&entry.instance, entry.start);
            if now < *count_at || !proposal.needs_count(now, &seen) || now < up_at {
                continue;
            }
            *count_at = now + Duration::from_millis(300);
            let ProposalStep::Propose(txn, count) = proposal.decide(now, &seen, &pool) else {
                continue;
            };
            if store.commit(now, &txn) {
                return (count.cells, now);
            }
        }
    }
    panic!("the pool is not divided within 30 s");
}

// Guards against a division by weak instances that start first (8 ms decided it on lautamies), and
// against one that comes too late for the traffic, also if the store is down at the start.
#[test]
fn division_does_not_depend_on_the_order_of_the_starts() {
    for up_ms in [0, 700, 2_500, 7_000] {
        for spread_ms in [0, 500, 1_500] {
            for lag_ms in [0, 100, 400] {
                let [up, spread, lag] = [up_ms, spread_ms, lag_ms].map(Duration::from_millis);
                let (cells, at) = start_instances(up, spread, lag);
                assert_eq!(cells, 1, "up={up:?} spread={spread:?} lag={lag:?}");
                assert!(at < up + Duration::from_secs(5), "divided at {at:?}, store up at {up:?}");
            }
        }
    }
}

// Guards against a cell that changes its owner without need, again and again, or to an instance that
// has just started or is no better.
#[test]
fn weak_owner_hands_over_to_a_strong_instance_that_stays() {
    let candidate = |number: usize, start, own| HandoverCandidate {
        instance: format!("i{number:02}"),
        start,
        peer_address: "127.0.0.1:9".parse().expect("valid socket address"),
        resources: own,
    };
    let weak = resources(10.0, 0.5);
    let strong = [candidate(1, 1, resources(100.0, 0.5)), candidate(2, 1, resources(200.0, 0.5))];
    let at = Duration::from_secs;
    let mut watch = HandoverWatch::new(weak);
    watch.note(at(100), &strong);
    assert_eq!(watch.choose(at(105), at(0), POOL, &strong), None, "registered for 5 s");
    assert_eq!(watch.choose(at(111), at(105), POOL, &strong), None, "owned for 6 s");
    let chosen = watch.choose(at(111), at(0), POOL, &strong);
    assert_eq!(chosen.map(|target| target.instance.as_str()), Some("i02"));
    assert_eq!(watch.choose(at(111), at(0), 64, &strong), None, "the own link suffices");
    let others = [candidate(3, 1, resources(20.0, 0.5)), candidate(4, 1, resources(200.0, 0.1))];
    let mut no_better = HandoverWatch::new(weak);
    no_better.note(at(0), &others);
    assert_eq!(no_better.choose(at(60), at(0), POOL, &others), None);
    // A restarted process has to stay for a while, too.
    let restarted = [candidate(2, 2, resources(200.0, 0.5))];
    watch.note(at(112), &restarted);
    assert_eq!(watch.choose(at(113), at(0), POOL, &restarted), None);
    assert!(watch.choose(at(122), at(0), POOL, &restarted).is_some());
    watch.on_handed_over(at(122));
    assert_eq!(watch.choose(at(150), at(0), POOL, &restarted), None);
}

// Guards against a hand-over to an instance that owns a cell already, or that has no resources in its
// entry.
#[test]
fn owners_are_no_candidates_for_a_hand_over() {
    let own = resources(200.0, 0.5);
    let mut registry = InstanceRegistry::new(SUPPORTED_FORMATS);
    let item = |key: String, value| StoreItem { key, value, revision: 9, created: 9 };
    let mut items: Vec<StoreItem> = Vec::new();
    let registrations = [
        entry(0).registration_with(&own, 5),
        entry(1).registration_with(&own, 5),
        entry(2).registration(5),
    ];
    for txn in registrations {
        items.extend(txn.puts.into_iter().map(|put| item(put.key, put.value)));
    }
    let entry = entry(0);
    let record = OwnerRecord {
        instance: entry.instance,
        start: entry.start,
        peer_address: entry.peer_address,
        epoch: 1,
    };
    items.push(item(CellKeys::new(0).owner, encode_value(&record)));
    registry.replace(&items, 9);
    let names: Vec<String> =
        registry.handover_candidates().into_iter().map(|candidate| candidate.instance).collect();
    assert_eq!(names, ["i01"]);
    assert!(!registry.all_have_resources());
    items.retain(|item| !item.key.ends_with("i02"));
    registry.replace(&items, 9);
    assert!(registry.all_have_resources());
}
