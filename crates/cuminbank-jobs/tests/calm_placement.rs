//! Tests of the placement of best-effort tasks by the risk for latency-critical ones.

mod support;

use std::{thread, time::Duration};

use cuminbank_jobs::{
    calm_placement::{ClearRoom, ImageDemand, NeighbourPressure, NeighbourRisk, SwingRecord},
    colocation::ImageId,
    ids::MonotonicTime,
    placement::opening_cost,
};
use support::{
    simulation::InjectedFault,
    swinging_load::{simulate_day, DayLoad, DayResult},
};

/// Long-running tasks reserve two fifths of the pool, and half of it is idle.
const QUIET: DayLoad = DayLoad { long_running_jobs: 16, processor_share: 1.0 };
/// Long-running tasks reserve four fifths of the pool, and nearly every executor has some.
const CROWDED: DayLoad = DayLoad { long_running_jobs: 31, processor_share: 1.0 };

/// Returns the sums over some days without and with the setting. The results of single days differ by
/// a factor of two.
fn simulate_days(
    days: u64,
    load: DayLoad,
    faults: &[(MonotonicTime, InjectedFault)],
) -> [DayResult; 2] {
    [false, true].map(|calm_placement| {
        let simulate = |seed| {
            let faults = faults.to_vec();
            thread::spawn(move || simulate_day(seed, calm_placement, load, &faults))
        };
        let days: Vec<_> = (0..days).map(simulate).collect();
        let days = days.into_iter().map(|day| day.join().expect("the day ended"));
        days.fold(DayResult::default(), DayResult::plus)
    })
}

// Guards against best-effort tasks that keep latency-critical ones over their targets while other
// executors are idle. The slack of the moment says nothing about a task that outlasts its estimate.
#[test]
fn fewer_tasks_miss_their_target_while_room_is_plentiful() {
    let [off, on] = simulate_days(8, QUIET, &[]);
    assert!(on.over_target * 3 <= off.over_target * 2, "{on:?} {off:?}");
    // Ends are seen each 100 ms.
    assert!(on.best_effort_time <= off.best_effort_time * 101 / 100, "{on:?} {off:?}");
    assert_eq!((on.unfinished, on.without_run), (0, Duration::ZERO), "{on:?}");
}

// Guards against best-effort work that waits for safe executors when nearly all executors have
// latency-critical tasks, or that finds the others occupied by work that could run elsewhere.
#[test]
fn best_effort_work_ends_no_later_when_room_is_short() {
    let [off, on] = simulate_days(4, CROWDED, &[]);
    assert!(on.best_effort_time <= off.best_effort_time, "{on:?} {off:?}");
    assert!(on.quick_time <= off.quick_time * 101 / 100, "{on:?} {off:?}");
    assert!(on.over_target <= off.over_target, "{on:?} {off:?}");
    assert_eq!((on.unfinished, on.without_run), (0, Duration::ZERO), "{on:?}");
}

// Guards against a new owner, which has not learned the swings, that lets best-effort work wait or
// places it worse than without the setting.
#[test]
fn new_owner_places_best_effort_work_before_it_knows_the_swings() {
    let kill = |at, instance| {
        let down = Duration::from_secs(5);
        (Duration::from_secs(at), InjectedFault::KillInstance { instance, down })
    };
    let [off, on] = simulate_days(4, QUIET, &[kill(20, 0), kill(35, 1)]);
    assert!(on.over_target <= off.over_target, "{on:?} {off:?}");
    assert!(on.best_effort_time <= off.best_effort_time * 101 / 100, "{on:?} {off:?}");
    assert_eq!(on.unfinished, 0, "{on:?}");
}

// Guards against calls of the scheduler that take longer because of the risks. The owner may have an
// eighth of a core.
#[test]
fn risks_fit_into_the_budget_of_a_slice() {
    let load = DayLoad { processor_share: 0.12, ..CROWDED };
    let day = simulate_day(1, true, load, &[]);
    // A slice, the evaluation of 96 executors with their risks, and the start of a pass.
    assert!(day.max_units <= 3_840 + 96 * 13 + 1_000, "{day:?}");
    assert_eq!(day.unfinished, 0, "{day:?}");
}

fn at(seconds: u64) -> MonotonicTime {
    Duration::from_secs(seconds)
}

// Guards against taking the slack of a quarter of a swing for the lowest one, and against a high load
// of long ago that keeps best-effort tasks away for good.
#[test]
fn lowest_slack_covers_a_swing() {
    let mut record = SwingRecord::new();
    for second in 0..14 {
        record.record(at(second), if second == 3 { 1.7 } else { 3.0 });
        assert_eq!(record.lowest(at(second)), None);
    }
    (14..18).for_each(|second| record.record(at(second), 3.0));
    assert_eq!(record.lowest(at(17)), Some(1.7));
    (18..30).for_each(|second| record.record(at(second), 3.0));
    assert_eq!(record.lowest(at(29)), Some(3.0));
    // Nothing is known of the load since the last report.
    assert_eq!(record.lowest(at(34)), None);
}

fn demand(waiting_cpu: u64, running_cpu: u64, tolerated_share: f64) -> ImageDemand {
    ImageDemand { waiting_cpu, running_cpu, tolerated_share }
}

/// Image that few executors with latency-critical tasks tolerate, and one that many do.
const DEPENDENT: ImageId = 1;
const FLEXIBLE: ImageId = 2;

/// Returns a room with the given idle CPU on two executors of the opening costs 10 and 20.
fn room(idle_cpu: u32, dependent: ImageDemand) -> ClearRoom {
    let mut room = ClearRoom::new(vec![(FLEXIBLE, demand(90_000, 0, 0.8)), (DEPENDENT, dependent)]);
    room.add_executor(10, idle_cpu / 2, 1_000);
    room.add_executor(20, idle_cpu / 2, 1_000);
    room
}

const CLEAR: NeighbourRisk = NeighbourRisk::Clear { opening_cost: 10 };
const TOLERATED: NeighbourRisk = NeighbourRisk::Tolerated { pressure: 0.9 };
const EXPOSED: NeighbourRisk = NeighbourRisk::Exposed { pressure: 1.2 };

// Guards against work that could run beside many latency-critical tasks but takes the only room that
// is left for work that cannot.
#[test]
fn flexible_work_leaves_room_to_dependent_work() {
    let mut room = room(60_000, demand(20_000, 60_000, 0.1));
    // 20 cores wait, and the 60 cores that run may grow by half.
    assert_eq!(room.highest_need(), 50_000);
    assert!(room.cost(FLEXIBLE, CLEAR) < room.cost(FLEXIBLE, TOLERATED));
    room.record_start(11_000);
    assert!(room.cost(FLEXIBLE, TOLERATED) < room.cost(FLEXIBLE, CLEAR));
    assert!(room.cost(DEPENDENT, CLEAR) < room.cost(DEPENDENT, TOLERATED));
    // Whatever the room, no latency-critical task is put at risk while another place is left.
    for image in [FLEXIBLE, DEPENDENT] {
        assert!(
            room.cost(image, CLEAR).max(room.cost(image, TOLERATED)) < room.cost(image, EXPOSED)
        );
    }
}

// Guards against counting remainders of executors in which no task fits as room.
#[test]
fn only_whole_tasks_count_as_room() {
    let mut room = ClearRoom::new(Vec::new());
    room.add_executor(1, 6_900, 7_000);
    assert_eq!(room.idle_cpu(), 0);
    assert!(!room.is_ample_for(FLEXIBLE));
    room.add_executor(2, 15_000, 7_000);
    assert_eq!(room.idle_cpu(), 14_000);
}

// Guards against latency-critical tasks that are placed beside best-effort ones because these are
// spread over all executors. Latency-critical tasks open the smallest executors first, and of equal
// ones that of the lowest rank.
#[test]
fn executors_that_are_opened_last_are_used_first() {
    let room = room(60_000, ImageDemand::default());
    let cost = |opening_cost| room.cost(DEPENDENT, NeighbourRisk::Clear { opening_cost });
    assert!(cost(20) < cost(15) && cost(15) < cost(10));
    assert!(opening_cost(64_000, 13_000, 400) < opening_cost(96_000, 13_000, 3));
    assert!(opening_cost(64_000, 13_000, 3) < opening_cost(64_000, 13_000, 4));
    // Executors that were added since may have costs beyond those of the room.
    assert_eq!((cost(9), cost(21)), (cost(10), cost(20)));
}

// Guards against pairs that stay unknown, so that little is known when room runs short, and against
// trials at a time at which the latency-critical task would be over its target.
#[test]
fn unknown_pairs_are_tried_while_the_slack_suffices() {
    let risk = |current, lowest_slack, untried| {
        NeighbourRisk::beside(NeighbourPressure { current, lowest_slack }, || untried)
    };
    assert_eq!(risk(0.9, 3.0, true), NeighbourRisk::Trial);
    assert_eq!(risk(1.1, 3.0, true), NeighbourRisk::Exposed { pressure: 3.0 });
    assert_eq!(risk(0.9, 3.0, false), NeighbourRisk::Exposed { pressure: 3.0 });
    assert_eq!(risk(0.2, 0.9, false), NeighbourRisk::Tolerated { pressure: 0.9 });
    let room = room(60_000, ImageDemand::default());
    assert!(room.cost(FLEXIBLE, NeighbourRisk::Trial) < room.cost(FLEXIBLE, CLEAR));
}
