//! Tests of the decisions on reservations: demand by size, expected run times, forecasts of room, and
//! what may run on a reserved executor.

use std::time::Duration;

use cuminbank_jobs::{
    backfill::{
        forecast_room, remaining_time, BackfillTask, PoolSize, ReservationHolder, ReservationTable,
        RoomForecast, RunLengths, RunningTask, SizeDemand, SuitableExecutors,
    },
    job::TaskNeeds,
    scheduler::{ExecutorKey, JobKey},
};
use slotmap::SlotMap;

const NOW: Duration = Duration::from_secs(10);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn cores(count: u32) -> TaskNeeds {
    TaskNeeds { cpu_millis: count * 1_000, memory_mb: count * 10, gpus: 0 }
}

fn keys(executors: usize) -> (ReservationHolder, ReservationHolder, Vec<ExecutorKey>) {
    let mut jobs: SlotMap<JobKey, ()> = SlotMap::with_key();
    let mut pool: SlotMap<ExecutorKey, ()> = SlotMap::with_key();
    let (holder, other) = ((jobs.insert(()), 0, 0), (jobs.insert(()), 0, 0));
    (holder, other, (0..executors).map(|_| pool.insert(())).collect())
}

// Guards against leaving 9 cores free where all tasks in demand need 10 or 13: nothing and room for a
// further task are both better.
#[test]
fn free_cpu_below_the_sizes_in_demand_is_unusable() {
    let mut demand = SizeDemand::default();
    demand.update(NOW, [10_000, 10_000, 10_000, 13_000].into_iter());
    assert_eq!(demand.unusable_part(0), 0);
    assert_eq!(demand.unusable_part(9_000), 9_000);
    let only_for_small = demand.unusable_part(12_000);
    assert!((3_000..4_500).contains(&only_for_small), "{only_for_small}");
    assert_eq!(demand.unusable_part(13_000), 0);
    assert_eq!(demand.unusable_part(300_000), 0);
    assert_eq!((demand.smaller_percent(10_000), demand.smaller_percent(13_000)), (0, 69));
}

// Guards against tasks that are all placed on one executor after a time without any, as if all free
// CPU were unusable.
#[test]
fn free_cpu_is_usable_without_demand() {
    let mut demand = SizeDemand::default();
    demand.update(NOW, std::iter::empty());
    assert_eq!((demand.unusable_part(7_000), demand.smaller_percent(7_000)), (0, 0));
}

// Guards against an overflow, since clients may request any amount.
#[test]
fn needs_of_any_size_are_counted() {
    let mut demand = SizeDemand::default();
    (0..1_000).for_each(|_| demand.record_start(u32::MAX));
    demand.update(NOW, std::iter::repeat_n(u32::MAX, 20_000).chain([128_000]));
    assert_eq!((demand.unusable_part(127_999), demand.smaller_percent(u32::MAX)), (127_999, 0));
    let mut lengths = RunLengths::default();
    lengths.record(&String::new(), Duration::ZERO, Duration::MAX);
    lengths.record(&String::new(), Duration::from_nanos(1), Duration::MAX);
    assert!(lengths.expected(&String::new(), Duration::MAX).longest < Duration::MAX);
    let all = TaskNeeds { cpu_millis: u32::MAX, memory_mb: u32::MAX, gpus: u32::MAX };
    let mut runs = [RunningTask { ends: NOW, needs: all }; 2];
    assert!(forecast_room(NOW, all, &mut runs, &all).is_some());
}

// Guards against a demand that is forgotten as soon as its tasks have started, or never.
#[test]
fn recent_starts_count_towards_the_demand() {
    let mut demand = SizeDemand::default();
    (0..10).for_each(|_| demand.record_start(10_000));
    demand.update(NOW, std::iter::empty());
    assert!(!demand.is_due(NOW) && demand.is_due(NOW + millis(250)));
    assert_eq!(demand.unusable_part(4_000), 4_000);
    for round in 1..=240 {
        demand.update(NOW + millis(250) * round, [4_000].into_iter());
    }
    assert!(demand.unusable_part(4_000) < 2_000, "{}", demand.unusable_part(4_000));
}

// Guards against forecasts that trust estimates which are always off in the same direction.
#[test]
fn run_times_follow_the_error_of_earlier_estimates() {
    let mut lengths = RunLengths::default();
    let queue = "batch".to_owned();
    let estimate = millis(1_000);
    assert_eq!(lengths.expected(&queue, estimate).mean, estimate);
    (0..200).for_each(|_| lengths.record(&queue, estimate, millis(1_900)));
    let length = lengths.expected(&queue, estimate);
    assert!((millis(1_880)..=millis(1_900)).contains(&length.mean), "{length:?}");
    assert!(length.longest < millis(1_950), "{length:?}");
    (0..200).for_each(|round| lengths.record(&queue, estimate, millis(100 + round % 2 * 1_800)));
    let length = lengths.expected(&queue, estimate);
    assert!(length.longest > millis(1_900), "longer than the mean if the errors vary: {length:?}");
    assert_eq!(lengths.expected(&"other".to_owned(), estimate).mean, estimate);
}

// Guards against tasks without an estimate that make all others of their queue look ten times as long
// as their estimates.
#[test]
fn tasks_without_an_estimate_do_not_change_the_error() {
    let mut lengths = RunLengths::default();
    let queue = "batch".to_owned();
    let before = lengths.expected(&queue, millis(1_000));
    (0..200).for_each(|_| lengths.record(&queue, Duration::ZERO, millis(900)));
    assert_eq!(lengths.expected(&queue, millis(1_000)), before);
}

// Guards against a run that has exceeded its estimate and is expected to end at any moment, so that
// an executor stays reserved behind it.
#[test]
fn overdue_run_is_expected_to_go_on() {
    assert_eq!(remaining_time(millis(300), millis(1_000)), millis(700));
    assert_eq!(remaining_time(millis(4_000), millis(1_000)), millis(1_000));
    assert_eq!(remaining_time(millis(1_000), millis(1_000)), millis(250));
    assert_eq!(remaining_time(millis(999), millis(1_000)), millis(20));
}

// Guards against a forecast that ignores the order of the ends, memory, or runs without an end.
#[test]
fn room_begins_when_enough_runs_have_ended() {
    let run =
        |after: u64, count: u32| RunningTask { ends: NOW + millis(after), needs: cores(count) };
    let mut runs = [run(900, 4), run(100, 2), run(500, 3)];
    let forecast = |runs: &mut [RunningTask], needs: &TaskNeeds| {
        forecast_room(NOW, cores(1), runs, needs).map(|room| (room.begins, room.spare))
    };
    assert_eq!(forecast(&mut runs, &cores(1)), Some((NOW, cores(0))));
    assert_eq!(forecast(&mut runs, &cores(5)), Some((NOW + millis(500), cores(1))));
    let memory = TaskNeeds { memory_mb: 100, ..cores(5) };
    let room = forecast(&mut runs, &memory).expect("all runs together have enough memory");
    assert_eq!((room.0, room.1.cpu_millis, room.1.memory_mb), (NOW + millis(900), 5_000, 0));
    assert_eq!(forecast(&mut runs, &cores(11)), None);
}

// Guards against tasks that delay the one for which an executor is reserved, and against reserved
// executors that stay idle although a task would not delay it.
#[test]
fn only_tasks_that_keep_the_room_free_run_meanwhile() {
    let (holder, other, executors) = keys(2);
    let mut table = ReservationTable::default();
    let room = RoomForecast { begins: NOW + millis(500), spare: cores(2) };
    table.insert(NOW, holder, executors[0], cores(6), room);
    let task = |count: u32, longest: Option<u64>| BackfillTask {
        needs: cores(count),
        longest: longest.map(millis),
    };
    let allows = |table: &ReservationTable, task| table.allows(NOW, other, executors[0], &task);
    assert!(allows(&table, task(8, Some(500))), "ends in time");
    assert!(!allows(&table, task(8, Some(501))), "ends too late");
    assert!(allows(&table, task(2, None)), "needs spare room only");
    assert!(!allows(&table, task(3, None)));
    assert!(table.allows(NOW, holder, executors[0], &task(6, None)), "it is reserved for this one");
    assert!(table.allows(NOW, other, executors[1], &task(6, None)), "not reserved");
    table.note_start(NOW, executors[0], &task(1, Some(400)));
    assert!(allows(&table, task(2, None)), "a task that ends in time takes no spare room");
    table.note_start(NOW, executors[0], &task(1, None));
    assert!(!allows(&table, task(2, None)) && allows(&table, task(1, None)));
}

// Guards against executors that stay reserved although the room does not come, and against
// reservations that end at each small delay.
#[test]
fn reservation_expires_when_its_time_has_passed_by_a_margin() {
    let (holder, _, executors) = keys(1);
    let mut table = ReservationTable::default();
    let room = |after: u64| Some(RoomForecast { begins: NOW + millis(after), spare: cores(0) });
    let key = table.insert(NOW, holder, executors[0], cores(6), room(400).expect("given"));
    assert!(table.update(NOW + millis(300), key, room(700)), "a small delay");
    assert!(!table.update(NOW + millis(300), key, room(900)), "expected too late");
    assert!(!table.update(NOW + millis(300), key, None), "no longer expected");
    assert!(!table.update(NOW + millis(800), key, room(700)), "overdue");
    assert!(table.remove(key).is_some() && table.is_empty() && table.count(holder) == 0);
}

// Guards against a step that reserves an executor again and again beside a run that hangs, and against
// an executor that no other step may reserve after that.
#[test]
fn executor_is_not_reserved_again_soon_after_expiry() {
    let (holder, other, executors) = keys(2);
    let mut table = ReservationTable::default();
    let room = RoomForecast { begins: NOW, spare: cores(0) };
    let key = table.insert(NOW, holder, executors[0], cores(6), room);
    assert!(!table.may_reserve(NOW, other, executors[0]));
    assert!(table.expire(NOW, key).is_some() && table.is_empty());
    assert!(!table.may_reserve(NOW + millis(4_999), holder, executors[0]));
    assert!(table.may_reserve(NOW, holder, executors[1]));
    assert!(table.may_reserve(NOW, other, executors[0]));
    assert!(table.may_reserve(NOW + millis(5_000), holder, executors[0]));
    let key = table.insert(NOW, holder, executors[1], cores(6), room);
    assert!(table.remove(key).is_some(), "used");
    assert!(table.may_reserve(NOW, holder, executors[1]));
}

// Guards against reservations that take much of the pool, or much of what long-running tasks leave of
// it, and against one step that takes them all.
#[test]
fn reservations_are_few_and_shared() {
    let (holder, other, executors) = keys(490);
    let pool = |executors, cores: u64| PoolSize { executors, passing_cpu: cores * 1_000 };
    let wide = pool(490, 36_000);
    let all = SuitableExecutors { count: 490, reserved: 0 };
    let mut table = ReservationTable::default();
    assert_eq!(table.quota(holder, pool(3, 200), all, 6_000, 20), 0);
    assert_eq!(table.quota(holder, pool(10, 700), all, 6_000, 20), 1);
    assert_eq!(table.quota(holder, wide, all, 6_000, 2), 2, "no more than ready tasks");
    assert_eq!(table.quota(holder, pool(490, 480), all, 6_000, 20), 5, "a sixteenth of 480 cores");
    assert_eq!(table.quota(holder, pool(490, 48), all, 6_000, 20), 1, "one at least");
    let room = RoomForecast { begins: NOW, spare: cores(0) };
    let reserve = |table: &mut ReservationTable, executors: &[ExecutorKey]| {
        for executor in executors {
            if table.quota(holder, wide, all, 6_000, 20) == 0 {
                break;
            }
            table.insert(NOW, holder, *executor, cores(6), room);
        }
    };
    reserve(&mut table, &executors);
    assert_eq!((table.len(), table.quota(other, wide, all, 6_000, 20)), (8, 8));
    assert_eq!(
        table.quota(other, pool(490, 800), all, 6_000, 20),
        0,
        "48 of 50 cores are reserved"
    );
    let key = table.of_step(holder)[0];
    assert!(table.remove(key).is_some());
    assert_eq!(table.quota(other, pool(490, 800), all, 6_000, 20), 1);
}

// Guards against a step that reserves all of the few executors with the label that it and others
// require.
#[test]
fn reservations_are_few_among_the_executors_that_suit() {
    let (holder, other, executors) = keys(490);
    let pool = PoolSize { executors: 490, passing_cpu: 36_000_000 };
    let mut table = ReservationTable::default();
    let quota = |table: &ReservationTable, holder, count, reserved| {
        table.quota(holder, pool, SuitableExecutors { count, reserved }, 6_000, 20)
    };
    assert_eq!(quota(&table, holder, 3, 0), 0, "one is a large part of them");
    assert_eq!(quota(&table, holder, 4, 0), 1);
    assert_eq!(quota(&table, holder, 40, 0), 2);
    assert_eq!(quota(&table, holder, 490, 0), 8);
    let room = RoomForecast { begins: NOW, spare: cores(0) };
    table.insert(NOW, holder, executors[0], cores(6), room);
    assert_eq!(quota(&table, other, 4, 1), 0, "reserved for another step");
    assert_eq!(quota(&table, other, 4, 0), 1, "the reserved one does not suit it");
}
