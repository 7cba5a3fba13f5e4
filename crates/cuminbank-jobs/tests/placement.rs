//! Tests of the selection of an executor.

use std::time::Duration;

use cuminbank_jobs::{
    job::TaskNeeds,
    placement::{ExecutorLoad, ExecutorRecord, TaskDemand},
};

fn needs(cpu_millis: u32, memory_mb: u32) -> TaskNeeds {
    TaskNeeds { cpu_millis, memory_mb, gpus: 0 }
}

fn load() -> ExecutorLoad {
    ExecutorLoad { capacity: needs(32_000, 128_000), slowness: 100, ..ExecutorLoad::default() }
}

fn best_effort() -> TaskDemand {
    TaskDemand { needs: needs(3_500, 6_000), best_effort: true, ..TaskDemand::default() }
}

fn latency_critical() -> TaskDemand {
    TaskDemand { needs: needs(6_400, 13_000), latency_critical: true, ..TaskDemand::default() }
}

// Guards against reserving more than the capacity of an executor.
#[test]
fn reserving_task_needs_unreserved_capacity() {
    let demand = TaskDemand { needs: needs(4_000, 1_000), ..TaskDemand::default() };
    let nearly_full = ExecutorLoad { reserved: needs(29_000, 0), ..load() };
    assert!(!nearly_full.has_capacity_for(&demand));
    let without_memory = ExecutorLoad { reserved: needs(0, 127_500), ..load() };
    assert!(!without_memory.has_capacity_for(&demand));
    assert!(load().has_capacity_for(&demand));
}

// Guards against best-effort tasks waiting although latency-critical tasks leave much of their
// reserved CPU idle.
#[test]
fn best_effort_task_uses_idle_reservations() {
    let reserved = needs(30_000, 60_000);
    let latency_critical_host = ExecutorLoad {
        reserved,
        latency_critical_cpu: 30_000,
        latency_critical_tasks: 5,
        ..load()
    };
    assert!(latency_critical_host.has_capacity_for(&best_effort()));
    let busy_host = ExecutorLoad { reserved, ..load() };
    assert!(!busy_host.has_capacity_for(&best_effort()));
}

// Guards against placing a best-effort task that services tolerate on an executor without services.
// Such executors are kept free for the tasks that no service tolerates.
#[test]
fn best_effort_task_prefers_services_that_tolerate_it() {
    let host = ExecutorLoad {
        reserved: needs(6_000, 0),
        latency_critical_cpu: 6_000,
        latency_critical_tasks: 1,
        ..load()
    };
    let low_pressure = ExecutorLoad { pressure: 0.05, ..host };
    let high_pressure = ExecutorLoad { pressure: 0.9, ..host };
    let demand = best_effort();
    assert!(low_pressure.cost(&demand) < load().cost(&demand));
    assert!(load().cost(&demand) < high_pressure.cost(&demand));
}

// Guards against spreading each service over all executors, which leaves no executor for
// best-effort images that interfere with one of them.
#[test]
fn latency_critical_tasks_group_by_image() {
    let host = ExecutorLoad {
        reserved: needs(6_400, 0),
        latency_critical_cpu: 6_400,
        latency_critical_tasks: 1,
        ..load()
    };
    let same = ExecutorLoad { same_image: true, ..host };
    let demand = latency_critical();
    assert!(same.cost(&demand) < load().cost(&demand));
    assert!(load().cost(&demand) < host.cost(&demand));
}

// Guards against placing a whole step on a few executors of its image, and against spreading it so far
// that it takes executors from services of other images.
#[test]
fn latency_critical_step_is_spread_within_limits() {
    let host = ExecutorLoad {
        reserved: needs(6_400, 0),
        latency_critical_cpu: 6_400,
        latency_critical_tasks: 1,
        ..load()
    };
    let same_image = ExecutorLoad { same_image: true, ..host };
    let with_one = ExecutorLoad { same_step_tasks: 1, ..same_image };
    let with_two = ExecutorLoad { same_step_tasks: 2, ..same_image };
    let costs =
        [same_image, with_one, load(), with_two, host].map(|load| load.cost(&latency_critical()));
    assert!(costs.is_sorted(), "{costs:?}");
}

// Guards against preferring an executor that looks idle because it fails every task immediately.
#[test]
fn executor_that_fails_everything_is_quarantined() {
    let mut record = ExecutorRecord::default();
    let now = Duration::from_secs(5);
    record.record_failure(now);
    assert!(record.is_suspect() && !record.is_quarantined(now));
    record.record_failure(now);
    assert!(record.is_quarantined(now));
    assert!(!record.is_quarantined(now + Duration::from_secs(10)));
    record.record_completion(1.0);
    assert!(!record.is_suspect());
}
