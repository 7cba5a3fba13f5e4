//! Tests of the division into cells and the assignment of executors and jobs to them.

mod support;

use std::{collections::BTreeMap, time::Duration};

use cuminbank_jobs::{
    cells::{CellLoad, CellLoads, PlanLimits, PoolPlan},
    ids::CellId,
    job::{JobRecord, JobStep, TaskNeeds},
    order::ExecutorReport,
    settings::JobSettings,
};
use support::jobs::{job, step};

const NOW: Duration = Duration::from_secs(100);
const LIMITS: PlanLimits = PlanLimits { max_executors: 400, link_mbps: 200.0, cells: None };

fn executors(count: usize, per_rack: usize) -> Vec<ExecutorReport> {
    let report = |number: usize| ExecutorReport {
        name: format!("i-{number}"),
        service: "plans".to_owned(),
        address: "127.0.0.1:1".parse().expect("valid socket address"),
        zone: "z".to_owned(),
        draining: false,
        remaining: None,
        capacity: TaskNeeds::default(),
        labels: vec!["a".to_owned(), format!("r{}", number / per_rack)],
        started_at: None,
    };
    (0..count).map(report).collect()
}

fn load(use_percent: u32, labels: &[&str]) -> CellLoad {
    let labels = labels.iter().map(|label| (*label).to_owned()).collect();
    CellLoad { use_percent, executors: 65, labels, services: vec!["plans".to_owned()] }
}

/// Returns a plan of three cells and a load table with the same load for each.
fn three_cells(use_percent: u32) -> (PoolPlan, CellLoads) {
    let plan = PoolPlan::new(&executors(195, 8), &PlanLimits { link_mbps: 2.0, ..LIMITS });
    assert_eq!(plan.cells, 3);
    let mut loads = CellLoads::default();
    (0..3).for_each(|cell| loads.update(NOW, cell, load(use_percent, &["a", "r1"])));
    (plan, loads)
}

// Guards against an owner with more executors than it can handle, and against cells too small for
// steps with a limit of tasks per executor.
#[test]
fn number_of_cells_follows_from_executors_and_link() {
    let cells = |executors, link_mbps| PlanLimits { link_mbps, ..LIMITS }.cell_count(executors);
    assert_eq!(cells(0, 200.0), 1);
    assert_eq!(cells(350, 200.0), 1);
    assert_eq!(cells(610, 200.0), 2);
    assert_eq!(cells(3_000, 200.0), 8);
    assert_eq!(cells(66, 2.0), 1);
    assert_eq!(cells(195, 2.0), 3);
    assert_eq!(PlanLimits { cells: Some(5), ..LIMITS }.cell_count(10), 5);
}

// Guards against racks split between cells, and against cells of very different sizes.
#[test]
fn racks_are_not_split_and_cells_have_similar_sizes() {
    let reports = executors(610, 8);
    let plan = PoolPlan::new(&reports, &LIMITS);
    let mut sizes: BTreeMap<CellId, usize> = BTreeMap::new();
    let mut racks: BTreeMap<&str, CellId> = BTreeMap::new();
    for report in &reports {
        let cell = plan.cell_of(report);
        *sizes.entry(cell).or_default() += 1;
        assert_eq!(*racks.entry(&report.labels[1]).or_insert(cell), cell);
    }
    let (smallest, largest) = (sizes.values().min().copied(), sizes.values().max().copied());
    assert!(largest.unwrap_or_default() - smallest.unwrap_or_default() <= 8, "{sizes:?}");
    // A rack added later belongs to a cell too, which is the same for every instance.
    let late = &executors(2_000, 8)[1_999];
    assert_eq!(plan.cell_of(late), PoolPlan::new(&reports, &LIMITS).cell_of(late));
}

// Guards against instances looking for a job in different cells.
#[test]
fn job_is_assigned_to_its_home_cell_under_low_load() {
    let (plan, loads) = three_cells(40);
    let mut counts = [0; 3];
    for id in 0..3_000 {
        let chosen = loads.choose(NOW, &plan, id, &job(vec![step(1, &[])]));
        assert_eq!(chosen, plan.home_and_fallback(id).0);
        counts[usize::from(chosen)] += 1;
    }
    assert!(counts.iter().all(|count| (800..1_200).contains(count)), "{counts:?}");
}

// Guards against jobs waiting in an overloaded cell, or in one without an owner, while another cell
// has capacity.
#[test]
fn cells_with_high_or_unknown_load_are_avoided() {
    let (plan, mut loads) = three_cells(40);
    loads.update(NOW, 1, load(150, &["a", "r1"]));
    let chosen = |loads: &CellLoads, now| -> Vec<CellId> {
        (0..300).map(|id| loads.choose(now, &plan, id, &job(vec![step(1, &[])]))).collect()
    };
    assert!(!chosen(&loads, NOW).contains(&1));
    // The owner of cell 1 has not reported its load for 5 s.
    let later = NOW + Duration::from_secs(5);
    loads.update(later, 0, load(40, &["a", "r1"]));
    loads.update(later, 2, load(40, &["a", "r1"]));
    assert!(!chosen(&loads, later).contains(&1));
}

// Guards against assigning a job to a cell without the rack of its data or a label that it
// requires.
#[test]
fn job_is_assigned_to_a_cell_with_its_labels() {
    let (plan, mut loads) = three_cells(40);
    loads.update(NOW, 2, load(90, &["a", "r7"]));
    let near = JobStep { data_rack: Some("r7".to_owned()), ..step(1, &[]) };
    for id in 0..50 {
        assert_eq!(loads.choose(NOW, &plan, id, &job(vec![near.clone()])), 2);
    }
    // No cell has executors of this service, so the job is assigned to its home cell.
    let mut record: JobRecord = job(vec![step(1, &[])]);
    record.terms.service = "elsewhere".to_owned();
    assert_eq!(loads.choose(NOW, &plan, 9, &record), plan.home_and_fallback(9).0);
}

// Guards against assigning a step with one task per executor to a cell with fewer executors than
// tasks, where it could never complete.
#[test]
fn job_is_assigned_to_a_cell_with_enough_executors() {
    let (plan, mut loads) = three_cells(40);
    loads.update(NOW, 1, CellLoad { executors: 120, ..load(80, &["a", "r1"]) });
    let limited = JobStep { max_per_executor: 1, ..step(100, &[]) };
    for id in 0..50 {
        assert_eq!(loads.choose(NOW, &plan, id, &job(vec![limited.clone()])), 1);
    }
}

// Guards against a stored plan without cells, written by another version, that ends the process.
#[test]
fn plan_without_cells_does_not_panic() {
    let plan = PoolPlan { cells: 0, racks: BTreeMap::new() };
    assert_eq!(plan.home_and_fallback(7), (0, 0));
    assert_eq!(plan.cell_of(&executors(1, 1)[0]), 0);
    assert_eq!(CellLoads::default().choose(NOW, &plan, 7, &job(vec![step(1, &[])])), 0);
}

// Guards against settings with which a pool would have no cells or a cell no executors.
#[test]
fn settings_of_cells_are_validated() {
    let text = |cells: &str| {
        format!(
            r#"{{"instance": "i", "zone": "z", "client_address": "127.0.0.1:1",
            "readiness_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3",
            "operator_address": "127.0.0.1:4", "store_address": "127.0.0.1:5",
            "max_lease_ms": 6000, "stop_timeout_ms": 200, "grace_ms": 6000,
            "min_store_ttl_ms": 1000, "harm_ms": 4000, "processor_share": 1.0,
            "link_mbps": 100.0, "retention_ms": 120000{cells}}}"#
        )
    };
    let read = |cells: &str| JobSettings::from_json(text(cells).as_bytes());
    assert_eq!(
        read("").expect("valid settings").plan_limits(),
        PlanLimits { link_mbps: 100.0, max_executors: 700, ..LIMITS }
    );
    assert_eq!(read(r#", "cells": 0"#).expect_err("0 cells are rejected").path, "cells");
    assert_eq!(read(r#", "cells": 65"#).expect_err("65 cells are rejected").path, "cells");
    assert_eq!(
        read(r#", "cell_executors": 0"#).expect_err("0 executors are rejected").path,
        "cell_executors"
    );
}
