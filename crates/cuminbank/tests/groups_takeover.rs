//! Claims, takeovers and rebalancing of groups between simulated instances.

mod groups_support;

use std::time::Duration;

use cuminbank::event::{ListedRole, StateQuery};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::groups_support::{listed, GroupSimulation};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against an instance that never begins to serve, because it claims no group, knows no
/// target or never becomes ready.
#[test]
fn single_instance_claims_all_groups_and_becomes_ready() {
    let mut simulation = GroupSimulation::new(1);
    let executor = ListedRole::Executor { slots: 8, connections: 60 };
    simulation.list.as_mut().expect("the list is available").push(listed("x1", executor));
    simulation.run(seconds(1));
    assert_eq!(simulation.owned(0), [0, 1, 2, 3]);
    assert_eq!(simulation.query(0, StateQuery::Ready).0, 200);
    let (_, status) = simulation.query(0, StateQuery::Status);
    assert_eq!(status["groups"]["targets"][0]["name"], "x1");
    assert_eq!(simulation.stored_epoch(0).as_deref(), Some("1"));
}

/// Runs the simulation and checks every 100 ms that no group has two owners.
fn run_checked(simulation: &mut GroupSimulation, time: Duration) {
    for _ in 0..time.as_millis() / 100 {
        simulation.run(Duration::from_millis(100));
        let mut owned: Vec<_> =
            (0..simulation.nodes.len()).flat_map(|node| simulation.owned(node)).collect();
        let count = owned.len();
        owned.sort_unstable();
        owned.dedup();
        assert_eq!(owned.len(), count, "a group has two owners at {:?}", simulation.now);
    }
}

fn all_owned(simulation: &mut GroupSimulation) -> bool {
    (0..simulation.nodes.len()).map(|node| simulation.owned(node).len()).sum::<usize>() == 4
}

/// Guards against one instance that keeps all groups of the zone, and against groups that are moved
/// again and again.
#[test]
fn groups_are_balanced_and_then_stay() {
    let mut simulation = GroupSimulation::new(1);
    run_checked(&mut simulation, seconds(3));
    simulation.add_node(2, 2);
    run_checked(&mut simulation, seconds(15));
    assert_eq!((simulation.owned(0).len(), simulation.owned(1).len()), (2, 2));
    let epochs: Vec<_> = (0..4).map(|group| simulation.stored_epoch(group)).collect();
    run_checked(&mut simulation, seconds(20));
    let later: Vec<_> = (0..4).map(|group| simulation.stored_epoch(group)).collect();
    assert_eq!(epochs, later);
}

/// Guards against groups that stay unowned after their owner crashed.
#[test]
fn groups_of_a_dead_instance_are_taken_over() {
    let mut simulation = GroupSimulation::new(3);
    run_checked(&mut simulation, seconds(12));
    assert!(all_owned(&mut simulation));
    simulation.nodes[0].up = false;
    let killed = simulation.now;
    assert!(simulation.run_until(seconds(12), all_owned));
    assert!(simulation.now - killed < seconds(7), "taken over after {:?}", simulation.now - killed);
    run_checked(&mut simulation, seconds(10));
    assert!(all_owned(&mut simulation));
}

/// Guards against owners that stop, or are replaced, during a long outage of the store.
#[test]
fn owners_continue_with_promises_during_a_store_outage() {
    let mut simulation = GroupSimulation::new(2);
    run_checked(&mut simulation, seconds(12));
    let owned = (simulation.owned(0), simulation.owned(1));
    for node in 0..2 {
        simulation.nodes[node].store_up = false;
    }
    for _ in 0..60 {
        run_checked(&mut simulation, seconds(1));
        assert_eq!((simulation.owned(0), simulation.owned(1)), owned, "at {:?}", simulation.now);
    }
    assert!(simulation.logged(0, 404));
    simulation.nodes[0].store_up = true;
    simulation.nodes[1].store_up = true;
    run_checked(&mut simulation, seconds(10));
    assert!(simulation.logged(0, 405));
    assert_eq!((simulation.owned(0), simulation.owned(1)), owned);
}

/// Guards against an owner that continues without a lease and promises.
#[test]
fn owner_without_store_and_peers_stops_and_is_replaced() {
    let mut simulation = GroupSimulation::new(2);
    run_checked(&mut simulation, seconds(12));
    simulation.nodes[0].store_up = false;
    simulation.partitions.push((0, 1));
    run_checked(&mut simulation, seconds(12));
    assert_eq!((simulation.owned(0).len(), simulation.owned(1).len()), (0, 4));
    simulation.nodes[0].store_up = true;
    simulation.partitions.clear();
    run_checked(&mut simulation, seconds(20));
    assert!(simulation.logged(0, 403), "the first owner does not log the later one");
    assert_eq!((simulation.owned(0).len(), simulation.owned(1).len()), (2, 2));
}

/// Guards against a paused owner that acts after its groups were taken over.
#[test]
fn paused_owner_detects_the_takeover_of_its_groups() {
    let mut simulation = GroupSimulation::new(2);
    run_checked(&mut simulation, seconds(12));
    simulation.nodes[0].paused = true;
    simulation.run(seconds(12));
    assert_eq!(simulation.owned(1).len(), 4);
    simulation.nodes[0].paused = false;
    run_checked(&mut simulation, seconds(15));
    assert!(all_owned(&mut simulation));
}

/// Guards against a group left unowned because the response to its claim was lost, and against a
/// second claim for the same term.
#[test]
fn claim_with_a_lost_answer_is_found_by_a_read() {
    let mut simulation = GroupSimulation::new(1);
    simulation.lost_answers = 4;
    run_checked(&mut simulation, seconds(5));
    assert_eq!(simulation.owned(0).len(), 4);
    assert_eq!(simulation.stored_epoch(3).as_deref(), Some("1"));
}

/// Guards against an instance, alone in its zone, that waits forever for its own earlier process.
#[test]
fn restarted_single_instance_takes_its_groups_again() {
    let mut simulation = GroupSimulation::new(1);
    run_checked(&mut simulation, seconds(3));
    simulation.restart(0, 99);
    run_checked(&mut simulation, seconds(8));
    assert_eq!(simulation.owned(0).len(), 4);
    assert_eq!(simulation.stored_epoch(0).as_deref(), Some("2"));
}

/// Guards against a takeover from the only owner of a zone while it is live but cannot reach the
/// store. The takeover must wait until the platform's list shows that the owner has ended.
#[test]
fn instance_outside_the_electorate_waits_for_the_list() {
    let mut simulation = GroupSimulation::new(1);
    run_checked(&mut simulation, seconds(3));
    simulation.nodes[0].store_up = false;
    simulation.partitions.push((0, 1));
    simulation.add_node(2, 2);
    run_checked(&mut simulation, seconds(15));
    assert_eq!((simulation.owned(0).len(), simulation.owned(1).len()), (4, 0));
    simulation.nodes[0].up = false;
    simulation.list.as_mut().expect("the list is available").retain(|listed| listed.name != "d0");
    run_checked(&mut simulation, seconds(4));
    assert_eq!(simulation.owned(1).len(), 0, "the list has to lack the owner for 5 s");
    run_checked(&mut simulation, seconds(4));
    assert_eq!(simulation.owned(1).len(), 4);
}

/// Guards against groups that stay unowned because the instances wait for earlier processes whose
/// names are in use again.
#[test]
fn restarted_instances_do_not_wait_for_their_earlier_processes() {
    let mut simulation = GroupSimulation::new(2);
    run_checked(&mut simulation, seconds(12));
    simulation.restart(0, 90);
    simulation.restart(1, 91);
    run_checked(&mut simulation, seconds(12));
    assert!(all_owned(&mut simulation));
    simulation.nodes[0].up = false;
    simulation.list.as_mut().expect("the list is available").retain(|listed| listed.name != "d0");
    simulation.restart(1, 92);
    run_checked(&mut simulation, seconds(12));
    assert_eq!(simulation.owned(1).len(), 4);
}

/// Guards against combinations of faults that give a group two owners, or leave it unowned after
/// all faults have ended.
#[test]
fn groups_recover_from_random_faults() {
    for seed in 0..6 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = GroupSimulation::new(3);
        run_checked(&mut simulation, seconds(5));
        for start in 0..15 {
            let node = rng.random_range(0..3);
            match rng.random_range(0..7) {
                0 => simulation.restart(node, 1_000 + start),
                1 => simulation.nodes[node].paused ^= true,
                2 => simulation.nodes[node].store_up ^= true,
                3 => simulation.partitions.push((rng.random_range(0..2), 2)),
                4 => simulation.partitions.push((0, 1)),
                5 => simulation.lost_answers += 3,
                _ => simulation.list = simulation.list.take().filter(|_| rng.random()),
            }
            run_checked(&mut simulation, Duration::from_millis(rng.random_range(200..6_000)));
        }
        let names = ["d0", "d1", "d2"].map(|name| listed(name, ListedRole::Entry));
        simulation.list = Some(names.to_vec());
        simulation.partitions.clear();
        for node in &mut simulation.nodes {
            (node.paused, node.store_up) = (false, true);
        }
        run_checked(&mut simulation, seconds(25));
        assert!(all_owned(&mut simulation), "seed {seed}");
        let share = (0..3).all(|node| simulation.owned(node).len() <= 2);
        assert!(share, "an instance owns more than its share, seed {seed}");
    }
}
