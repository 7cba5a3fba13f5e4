//! Days on which long-running jobs ask for more than the pool has, with and without admission by
//! room.

mod support;

use std::time::Duration;

use support::{
    hard_load::{DayResult, HardDay, LoadPlan, INSTANCES, POOL_CPU, TRAFFIC_START},
    simulation::InjectedFault,
};

fn play(seed: u64, admission: bool, plan: LoadPlan) -> DayResult {
    let mut day = HardDay::new(seed, admission, plan);
    day.finish();
    day.result
}

// Guards against quick jobs that wait because long-running ones were accepted without end, and
// against a remedy at the cost of long-running jobs or of the large ones among them.
#[test]
fn quick_jobs_are_served_beside_growing_long_running_work() {
    let (mut all, mut large) = (0.0, 0.0);
    for seed in 0..4 {
        let without = play(seed, false, LoadPlan::overload());
        let with = play(seed, true, LoadPlan::overload());
        eprintln!("seed {seed}: without {without:?}\nwith {with:?}");
        assert!(without.quick.share_on_time() < 0.75, "the load is no problem: {without:?}");
        assert!(with.quick.share_on_time() > 0.95, "{with:?}");
        assert_eq!(with.quick.refusals, 0);
        assert!(with.mean_held > without.mean_held * 0.8, "{with:?}");
        assert!(with.longest_wait < Duration::from_secs(6), "{with:?}");
        assert!(with.violations.is_empty() && without.violations.is_empty(), "{with:?}");
        (all, large) = (all + with.all_admitted, large + with.large_admitted);
    }
    assert!(large >= all / 2.0, "of the large jobs {large}, of all {all}");
}

// Guards against refusals in pools that serve their load well, whichever kind of work prevails. With
// room for less than four long-running jobs, each 4 % of the pool, instances take turns, so that some
// clients have to return.
#[test]
fn nothing_is_refused_while_the_pool_has_room() {
    let calm = LoadPlan {
        first_long_running: 8,
        long_running_rate: 0.2,
        batch_rate: 6.0,
        ..LoadPlan::overload()
    };
    let mostly_quick = LoadPlan { first_long_running: 2, quick_rate: 90.0, ..calm };
    let mostly_lasting =
        LoadPlan { first_long_running: 12, long_running_rate: 0.4, quick_rate: 2.0, ..calm };
    for (plan, takes_turns) in [(calm, false), (mostly_quick, false), (mostly_lasting, true)] {
        let result = play(5, true, plan);
        eprintln!("{plan:?}: {result:?}");
        let long_running = &result.long_running;
        assert_eq!(result.quick.refusals + result.batch.refusals, 0, "{result:?}");
        assert!(takes_turns || long_running.refusals == 0, "{result:?}");
        assert_eq!(long_running.refused + long_running.refused_beside_room, 0, "{result:?}");
        assert!(result.violations.is_empty(), "{result:?}");
    }
}

// Guards against instances that refuse by the report of an owner that is gone, and against a new
// owner that reports the room before it knows what runs, so that all long-running jobs are refused
// or all admitted. Some instances do not reach the owner for a while.
#[test]
fn room_is_unknown_while_the_owner_is_lost() {
    let mut day = HardDay::new(2, true, LoadPlan::overload());
    day.run_until(TRAFFIC_START + Duration::from_secs(18));
    assert!(day.report(0).is_some());
    let refusals = day.result.long_running.refusals;
    assert!(refusals > 0);
    let instance = day.pool.owner().expect("the pool has an owner");
    let down = Duration::from_secs(30);
    day.pool.fault_at(day.pool.now, InjectedFault::KillInstance { instance, down });
    day.cut_off = 0..INSTANCES / 3;
    let (mut unknown, mut known) = (0, 0);
    for _ in 0..100 {
        day.run_until(day.pool.now + Duration::from_millis(100));
        let Some(report) = day.report(INSTANCES - 1) else {
            unknown += 1;
            continue;
        };
        known += 1;
        let room = &report.services[0];
        let requested = room.long_running + room.long_running_ready;
        assert!(requested * 10 > room.capacity * 7, "{room:?}");
        assert!(room.capacity * 10 > POOL_CPU * 9, "{room:?}");
    }
    assert!(unknown > 0 && known > 50, "unknown {unknown} times, known {known} times");
    assert!(day.report(0).is_none(), "decides by the report of the lost owner");
    day.cut_off = 0..0;
    let refusals = day.result.long_running.refusals;
    let result = day.finish();
    eprintln!("{result:?}");
    assert!(result.long_running.refusals > refusals);
    assert!(result.violations.is_empty(), "{result:?}");
    assert!(result.quick.share_on_time() > 0.75, "{result:?}");
}
