//! Configuration: first load, watch, exchange between peers, changes sent by the operator's tool,
//! and no return to older revisions.

mod groups_support;

use std::time::Duration;

use cuminbank::{
    effect::EntryEffect,
    event::{EntryEvent, StateQuery},
    ids::StoreRevision,
    profile::ProfileChange,
    profile_set::{MergeOutcome, ProfileSet},
    store::{StoreReply, StoreValue, PROFILE_PREFIX},
};
use proptest::prelude::*;

use self::groups_support::GroupSimulation;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn profile_text(name: &str, deadline_ms: u64) -> String {
    serde_json::json!({ "name": name, "kind": "urgent", "deadline_ms": deadline_ms }).to_string()
}

fn change(name: &str, revision: StoreRevision, profile: Option<String>) -> ProfileChange {
    ProfileChange { name: name.to_owned(), revision, profile }
}

fn key(name: &str) -> String {
    format!("{PROFILE_PREFIX}{name}")
}

/// Returns name, revision and deletion flag of each profile known to an instance.
fn profiles_of(simulation: &mut GroupSimulation, node: usize) -> Vec<(String, i64, bool)> {
    let (_, changes) = simulation.query(node, StateQuery::Config);
    let changes: Vec<ProfileChange> =
        serde_json::from_value(changes).expect("the answer is a list of profile changes");
    let shown = |change: ProfileChange| (change.name, change.revision, change.profile.is_none());
    changes.into_iter().map(shown).collect()
}

/// Guards against a change that only reaches the instances connected to the store (I9).
#[test]
fn change_reaches_an_instance_without_the_store() {
    let mut simulation = GroupSimulation::new(3);
    simulation.run(seconds(3));
    simulation.nodes[2].store_up = false;
    let revision = simulation.store.put(&key("rush"), &profile_text("rush", 500));
    let expected = vec![("rush".to_owned(), revision, false)];
    let reached = |simulation: &mut GroupSimulation| {
        (0..3).all(|node| profiles_of(simulation, node) == expected)
    };
    assert!(simulation.run_until(seconds(3), reached));
    simulation.store.remove(&key("rush"));
    let deleted =
        |simulation: &mut GroupSimulation| (0..3).all(|node| profiles_of(simulation, node)[0].2);
    assert!(simulation.run_until(seconds(3), deleted));
}

/// Guards against losing a change that the operator's tool sends when the store fails right after
/// the commit, and against replacing it by an older one.
#[test]
fn offered_change_is_in_force_and_older_ones_are_ignored() {
    let mut simulation = GroupSimulation::new(2);
    simulation.run(seconds(2));
    simulation.nodes[0].store_up = false;
    simulation.nodes[1].store_up = false;
    for revision in [90, 80] {
        let changes = vec![change("rush", revision, Some(profile_text("rush", 500)))];
        simulation.deliver(0, EntryEvent::ConfigOffered { reply: 1, changes });
        assert_eq!(profiles_of(&mut simulation, 0), [("rush".to_owned(), 90, false)]);
    }
    simulation.run(seconds(2));
    assert_eq!(profiles_of(&mut simulation, 1), [("rush".to_owned(), 90, false)]);
}

/// Guards against an instance that serves without configuration, or that waits forever for the
/// store although a peer has the configuration.
#[test]
fn new_instance_starts_from_peers_without_the_store() {
    let mut simulation = GroupSimulation::new(2);
    simulation.nodes[1].up = false;
    simulation.store.put(&key("rush"), &profile_text("rush", 500));
    simulation.run(seconds(2));
    simulation.nodes[0].store_up = false;
    simulation.nodes[1].store_up = false;
    simulation.restart(1, 77);
    simulation.run(Duration::from_millis(1_900));
    assert_eq!(simulation.query(1, StateQuery::Ready).0, 503);
    assert!(simulation
        .run_until(seconds(2), |simulation| simulation.query(1, StateQuery::Ready).0 == 200));
    assert_eq!(profiles_of(&mut simulation, 1).len(), 1);
}

/// Guards against instances that restart without the store and accept each other's empty sets as
/// the configuration.
#[test]
fn instances_without_any_set_are_not_ready() {
    let mut simulation = GroupSimulation::new(2);
    simulation.nodes[0].store_up = false;
    simulation.nodes[1].store_up = false;
    simulation.run(seconds(10));
    assert_eq!(simulation.query(0, StateQuery::Ready).0, 503);
    assert_eq!(simulation.query(1, StateQuery::Ready).0, 503);
    simulation.nodes[0].store_up = true;
    simulation.run(seconds(6));
    assert_eq!(simulation.query(0, StateQuery::Ready).0, 200);
    assert_eq!(simulation.query(1, StateQuery::Ready).0, 200);
}

/// Guards against a change that is in force too late when the connections to the store go silent: the
/// watch delivers nothing, and the next full read gets no reply before its timeout (I9).
#[test]
fn change_is_in_force_in_time_after_a_lost_read() {
    // The time of the change covers every phase of the full reads.
    for tenths in 0..60 {
        let mut simulation = GroupSimulation::new(1);
        simulation.run(seconds(3) + Duration::from_millis(tenths * 100));
        simulation.silence_watch(0);
        simulation.lost_config_reads = 1;
        simulation.store.put(&key("rush"), &profile_text("rush", 500));
        let in_force =
            simulation.run_until(seconds(6), |simulation| profiles_of(simulation, 0).len() == 1);
        assert!(in_force, "changed after {} s", 3.0 + tenths as f64 / 10.0);
    }
}

/// Guards against missing the changes that were made while the watch was lost.
#[test]
fn lost_watch_is_followed_by_a_full_read() {
    let mut simulation = GroupSimulation::new(1);
    simulation.store.put(&key("gone"), &profile_text("gone", 500));
    simulation.run(seconds(2));
    simulation.lose_watch(0);
    simulation.nodes[0].store_up = false;
    simulation.store.remove(&key("gone"));
    let revision = simulation.store.put(&key("rush"), &profile_text("rush", 500));
    simulation.run(seconds(1));
    assert_eq!(profiles_of(&mut simulation, 0).len(), 1);
    simulation.nodes[0].store_up = true;
    simulation.run(seconds(3));
    let expected = [("gone".to_owned(), revision, true), ("rush".to_owned(), revision, false)];
    assert_eq!(profiles_of(&mut simulation, 0), expected);
}

/// Guards against an invalid profile that replaces the last valid one.
#[test]
fn profile_that_does_not_parse_is_logged_and_not_in_force() {
    let mut set = ProfileSet::default();
    assert_eq!(
        set.merge(change("rush", 3, Some(profile_text("rush", 500)))),
        MergeOutcome::InForce
    );
    let wrong =
        [(4, "{".to_owned()), (5, profile_text("other", 500)), (6, profile_text("rush", 1))];
    for (revision, text) in wrong {
        let outcome = set.merge(change("rush", revision, Some(text)));
        assert!(matches!(outcome, MergeOutcome::Rejected(_)));
        assert_eq!(set.profile("rush").map(|profile| profile.deadline_ms), Some(500));
    }
    assert_eq!(set.merge(change("rush", 3, None)), MergeOutcome::Known);
    assert_eq!(set.merge(change("rush", 7, None)), MergeOutcome::InForce);
    assert_eq!(set.profile("rush"), None);

    let mut simulation = GroupSimulation::new(1);
    simulation.run(seconds(1));
    simulation.store.put(&key("rush"), "{");
    simulation.run(seconds(1));
    assert!(simulation.logged(0, 502));
}

/// Guards against concurrent reads or watches, which count towards the store's rate limits.
#[test]
fn there_is_one_read_at_a_time_and_one_watch() {
    let settings = groups_support::settings("d0", 7_000, &[]);
    let mut reducer = cuminbank::reducer::EntryReducer::new(settings, 1);
    let (mut reads, mut watches, mut pending) = (0, Vec::new(), None);
    for tick in 0..1_000_u64 {
        let now = Duration::from_millis(tick * 20);
        let wall = std::time::SystemTime::UNIX_EPOCH;
        let mut effects = reducer.apply(now, EntryEvent::Tick { wall });
        // The first read is answered after 3 s.
        if let Some(exchange) = pending.filter(|_| tick == 150) {
            let value = StoreValue {
                key: key("rush"),
                value: profile_text("rush", 500).into(),
                mod_revision: 4,
            };
            let result = Ok(StoreReply::Range { revision: 9, values: vec![value] });
            effects.extend(reducer.apply(now, EntryEvent::StoreCallCompleted { exchange, result }));
        }
        for effect in effects {
            match effect {
                EntryEffect::CallStore { exchange, request, .. } => {
                    if matches!(request, cuminbank::store::StoreRequest::Range { prefix: true, .. })
                    {
                        reads += 1;
                        pending = Some(exchange);
                    }
                }
                EntryEffect::WatchConfig { from } => watches.push(from),
                _ => {}
            }
        }
    }
    // The second read starts 4 s after the answer to the first one and stays unanswered, so no
    // third one may begin.
    assert_eq!((reads, watches), (2, vec![10]));
}

fn changes() -> impl Strategy<Value = Vec<ProfileChange>> {
    let change = (0..3_u8, 1..20_i64).prop_map(|(name, revision)| {
        // Each revision of a name must have the same content everywhere.
        let name = format!("p{name}");
        let profile = (revision % 3 != 0).then(|| profile_text(&name, 100 + revision as u64));
        ProfileChange { name, revision, profile }
    });
    prop::collection::vec(change, 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against sets that depend on the order of changes, and against a return to an older
    /// revision (I9).
    #[test]
    fn merge_does_not_depend_on_the_order(changes in changes(), seed in any::<u64>()) {
        let mut shuffled = changes.clone();
        for index in (1..shuffled.len()).rev() {
            shuffled.swap(index, (seed.rotate_left(index as u32) % (index as u64 + 1)) as usize);
        }
        let mut sets = [ProfileSet::default(), ProfileSet::default()];
        for (set, changes) in sets.iter_mut().zip([changes, shuffled]) {
            let mut highest = 0;
            for change in changes {
                let (name, before) = (change.name.clone(), set.changes());
                set.merge(change);
                let revision = |changes: &[ProfileChange]| {
                    changes.iter().find(|change| change.name == name).map_or(0, |found| found.revision)
                };
                prop_assert!(revision(&set.changes()) >= revision(&before));
                prop_assert!(set.revision() >= highest);
                highest = set.revision();
            }
        }
        prop_assert_eq!(sets[0].changes(), sets[1].changes());
        prop_assert_eq!(sets[0].checksum(), sets[1].checksum());
    }
}
