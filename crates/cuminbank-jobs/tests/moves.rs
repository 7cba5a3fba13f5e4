//! Tests of jobs that wait in a full cell and move to another one, with each interruption of a move.

mod support;

use std::time::Duration;

use cuminbank_jobs::{
    cells::CellLoad,
    division::{cell_position, CellReport, MoveTargets},
    ids::{CellId, JobId},
    job::{AdviceTerms, JobOutcome, JobPhase, JobRecord, JobStep, RepeatPlan, TaskNeeds},
    keys::CellKeys,
};
use cuminbank_platform_standin::executor::FakeExecutor;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    jobs::{job, step},
    two_cells::{MoveFate, TwoCells},
};

/// Time for which cell 0 is full.
const FULL: Duration = Duration::from_secs(4);
/// Time after which a waiting job has moved, if nothing interferes.
const MOVED: Duration = Duration::from_millis(800);

fn waiting() -> JobRecord {
    job(vec![step(2, &[]), step(1, &[0])])
}

fn completed(cells: &TwoCells, id: JobId, cell: usize) -> bool {
    cells.phase(id, cell) == Some(JobPhase::Ended(JobOutcome::Completed))
}

fn assert_clean(cells: &mut TwoCells) {
    cells.check_end();
    assert_eq!(cells.violations, Vec::<String>::new());
}

// Guards against work that waits in a full cell beside another one with room.
#[test]
fn waiting_job_moves_to_a_cell_with_room() {
    let mut cells = TwoCells::new(2);
    let id = cells.submit_waiting(FULL, &waiting());
    cells.run_for(MOVED);
    assert_eq!(cells.cell_of(id), Some(1));
    assert_eq!((cells.starts(id, 0), cells.starts(id, 1)), (0, 2));
    assert_eq!((cells.phase(id, 0), cells.phase(id, 1)), (None, Some(JobPhase::Running)));
    cells.run_for(Duration::from_secs(2));
    assert!(completed(&cells, id, 1));
    cells.run_for(FULL);
    assert_eq!(cells.attempts.len(), 1);
    assert_clean(&mut cells);
}

// Guards against moves while the setting is off, in which case the owners get no loads.
#[test]
fn nothing_moves_without_loads() {
    let mut cells = TwoCells::new(2);
    cells.reports_loads = false;
    let id = cells.submit_waiting(FULL, &waiting());
    cells.run_for(FULL + Duration::from_secs(3));
    assert!(cells.attempts.is_empty() && completed(&cells, id, 0));
    assert_clean(&mut cells);
}

// Guards against a move that leaves the job in no cell or in both: the transaction is lost before
// or after it happened, is late or arrives twice. Room appears in the old cell meanwhile.
#[test]
fn job_runs_once_whatever_happens_to_its_move() {
    let delays = [20, 300, 690, 900, 2_500, 6_000].map(Duration::from_millis);
    let mut fates = vec![MoveFate::RequestLost, MoveFate::ReplyLost, MoveFate::NotDone];
    fates.extend(delays.map(MoveFate::Late));
    fates.extend(delays.map(MoveFate::Doubled));
    for fate in fates {
        for times in [1, 2, 6] {
            for full in [600, 1_500, 4_000].map(Duration::from_millis) {
                let mut cells = TwoCells::new(2);
                let mut left = times;
                cells.fate = Box::new(move |_| {
                    left -= 1;
                    if left >= 0 {
                        fate
                    } else {
                        MoveFate::Delivered
                    }
                });
                let id = cells.submit_waiting(full, &waiting());
                cells.run_for(Duration::from_secs(20));
                let cell = cells.cell_of(id).map(usize::from).unwrap_or_default();
                assert!(completed(&cells, id, cell), "{fate:?} {times} {full:?}");
                assert_eq!(cells.starts(id, 1 - cell), 0, "{fate:?} {times} {full:?}");
                assert_clean(&mut cells);
            }
        }
    }
}

// Guards against a refusal of a later attempt that is taken for one of an earlier attempt, which is
// still under way.
#[test]
fn refused_attempt_says_nothing_about_an_earlier_one() {
    for delay in [900, 2_000, 3_500].map(Duration::from_millis) {
        let mut cells = TwoCells::new(2);
        let until = cells.now + Duration::from_secs(6);
        let mut first = true;
        cells.fate = Box::new(move |now| match (std::mem::take(&mut first), now < until) {
            (true, _) => MoveFate::Late(delay),
            (_, true) => MoveFate::NotDone,
            (_, false) => MoveFate::Delivered,
        });
        let id = cells.submit_waiting(Duration::from_millis(1_200), &waiting());
        cells.run_for(Duration::from_secs(14));
        assert!(completed(&cells, id, 1));
        assert_eq!(cells.starts(id, 0), 0);
        assert_clean(&mut cells);
    }
}

// Guards against a start in the old cell while the outcome of the move is unknown, also if there is
// room again.
#[test]
fn job_does_not_start_while_its_move_is_undecided() {
    let mut cells = TwoCells::new(2);
    let lost_until = cells.now + Duration::from_secs(8);
    cells.fate =
        Box::new(
            move |now| {
                if now < lost_until {
                    MoveFate::RequestLost
                } else {
                    MoveFate::Delivered
                }
            },
        );
    let id = cells.submit_waiting(Duration::from_secs(1), &waiting());
    cells.run_for(Duration::from_secs(5));
    assert!(cells.attempts.len() > 1);
    assert_eq!((cells.starts(id, 0), cells.starts(id, 1)), (0, 0));
    assert_eq!(cells.phase(id, 0), None);
    cells.run_for(Duration::from_secs(8));
    assert!(completed(&cells, id, 1));
    assert_clean(&mut cells);
}

// Guards against a job that runs in both cells or in none after the owner ended during the move,
// with the transaction applied, lost, or late: before or after the next owner claims.
#[test]
fn owner_may_end_during_a_move() {
    let delays = [100, 1_400, 1_600, 1_740, 1_760, 4_000].map(Duration::from_millis);
    let mut fates = vec![MoveFate::Delivered, MoveFate::RequestLost, MoveFate::ReplyLost];
    fates.extend(delays.map(MoveFate::Late));
    for fate in fates {
        for ended in [0, 1] {
            for later in [0, 10, 20, 400, 800].map(Duration::from_millis) {
                for process_goes_on in [false, true] {
                    let mut cells = TwoCells::new(2);
                    cells.fate = Box::new(move |_| fate);
                    let id = cells.submit_waiting(FULL, &waiting());
                    while cells.attempts.is_empty() {
                        cells.run_for(Duration::from_millis(10));
                    }
                    cells.run_for(later);
                    cells.fate = Box::new(|_| MoveFate::Delivered);
                    match process_goes_on {
                        true => cells.revoke_owner(ended),
                        false => cells.kill_owner(ended),
                    }
                    cells.run_for(Duration::from_secs(25));
                    let cell = cells.cell_of(id).map(usize::from).unwrap_or_default();
                    let what = format!("{fate:?} {ended} {later:?} {process_goes_on}");
                    assert!(completed(&cells, id, cell), "{what}");
                    assert_eq!(cells.starts(id, 1 - cell), 0, "{what}");
                    assert_clean(&mut cells);
                }
            }
        }
    }
}

// Guards against a cancellation that is lost because the job moves at the same time, and against a
// move of a cancelled job.
#[test]
fn cancellation_and_move_exclude_each_other() {
    for fate in
        [MoveFate::Delivered, MoveFate::ReplyLost, MoveFate::Late(Duration::from_millis(900))]
    {
        for later in (0..1_500).step_by(50).map(Duration::from_millis) {
            let mut cells = TwoCells::new(2);
            cells.fate = Box::new(move |_| fate);
            let id = cells.submit_waiting(FULL, &waiting());
            cells.run_for(Duration::from_millis(300));
            let read = cells.record_revision(id, 0).expect("the job waits in cell 0");
            cells.run_for(later);
            let left = cells.cell_of(id) == Some(1);
            // The write of the instance that has read the record in cell 0.
            assert_eq!(cells.cancel(id, 0, read), !left, "{fate:?} {later:?}");
            if left {
                let Some(read) = cells.record_revision(id, 1) else { continue };
                assert!(cells.cancel(id, 1, read), "{fate:?} {later:?}");
            }
            cells.run_for(Duration::from_secs(8));
            let cell = usize::from(left);
            assert_eq!(cells.cell_of(id), Some(cell as CellId), "{fate:?} {later:?}");
            let cancelled = Some(JobPhase::Ended(JobOutcome::Cancelled));
            assert_eq!(cells.phase(id, cell), cancelled, "{fate:?} {later:?}");
            assert_eq!(cells.starts(id, 1 - cell), 0, "{fate:?} {later:?}");
            assert_clean(&mut cells);
        }
    }
}

// Guards against a second copy of a job by a repeated submission before, during or after its move.
#[test]
fn repeated_submission_does_not_copy_a_moving_job() {
    for fate in
        [MoveFate::Delivered, MoveFate::ReplyLost, MoveFate::Late(Duration::from_millis(900))]
    {
        for repeated in [0, 1] {
            let mut cells = TwoCells::new(2);
            cells.fate = Box::new(move |_| fate);
            let id = cells.submit_waiting(FULL, &waiting());
            for _ in 0..60 {
                cells.run_for(Duration::from_millis(40));
                assert!(!cells.submit(id, repeated, waiting()));
            }
            cells.run_for(Duration::from_secs(6));
            assert_clean(&mut cells);
        }
    }
}

// Guards against a moved job that is loaded again from a read that began before the move.
#[test]
fn earlier_read_does_not_bring_a_moved_job_back() {
    let mut cells = TwoCells::new(2);
    let id = cells.submit_waiting(Duration::from_millis(900), &waiting());
    cells.run_for(Duration::from_millis(200));
    let read = cells.item(&CellKeys::new(0).job(id)).expect("the job waits in cell 0");
    cells.run_for(MOVED);
    assert_eq!(cells.cell_of(id), Some(1));
    cells.deliver_again(0, vec![read]);
    cells.run_for(Duration::from_secs(3));
    assert_eq!(cells.starts(id, 0), 0);
    assert_clean(&mut cells);
}

// Guards against a move of a job that has a run, may have one, or has state besides its record.
#[test]
fn only_jobs_without_any_start_move() {
    let advice = AdviceTerms { decision_ms: 5, per_executor_ms: 1, valid_ms: 3_000 };
    let mut advised = waiting();
    advised.terms.advice = Some(advice);
    let repeat =
        RepeatPlan { count: 2, first_due: Duration::ZERO, interval: Duration::from_secs(1) };
    let repeated = JobRecord { repeat: Some(repeat), ..waiting() };
    for record in [advised, repeated] {
        let mut cells = TwoCells::new(2);
        cells.submit_waiting(FULL, &record);
        cells.run_for(FULL);
        assert!(cells.attempts.is_empty());
    }
    // One task of the second job runs, and eight wait.
    let mut cells = TwoCells::new(2);
    let ids: Vec<JobId> = TwoCells::ids_of(0).take(2).collect();
    cells.submit(ids[0], 0, job(vec![step(7, &[])]));
    cells.run_for(Duration::from_millis(60));
    cells.submit(ids[1], 0, job(vec![JobStep { estimate_ms: 4_000, ..step(9, &[]) }]));
    cells.run_for(Duration::from_secs(6));
    assert!(cells.attempts.is_empty());
    assert_clean(&mut cells);
    // A copy of a refused start may still arrive.
    let mut cells = TwoCells::new(2);
    cells.set_length(ids[0], FULL);
    cells.submit(ids[0], 0, job(vec![step(7, &[])]));
    cells.run_for(Duration::from_millis(60));
    cells.refused.insert(ids[1]);
    cells.submit(ids[1], 0, waiting());
    cells.run_for(Duration::from_secs(3));
    assert!(cells.attempts.is_empty());
    cells.refused.clear();
    cells.run_for(Duration::from_secs(3));
    assert!(cells.attempts.is_empty());
    assert_clean(&mut cells);
    // A new owner does not know what its predecessor has started.
    let mut cells = TwoCells::new(2);
    let id = cells.submit_waiting(Duration::from_secs(8), &waiting());
    cells.kill_owner(0);
    cells.run_for(Duration::from_secs(20));
    assert!(cells.attempts.is_empty() && completed(&cells, id, 0));
}

// Guards against a job that moves to a cell which can never run it and from which it does not
// return: loads do not tell the sizes of executors.
#[test]
fn jobs_that_few_executors_can_run_do_not_move() {
    let needs = step(1, &[]).needs;
    let larger = [
        TaskNeeds { cpu_millis: 8_001, ..needs },
        TaskNeeds { memory_mb: 1_000_000, ..needs },
        TaskNeeds { gpus: 100, ..needs },
    ];
    let large = larger.map(|needs| job(vec![step(1, &[]), JobStep { needs, ..step(1, &[0]) }]));
    let gang = job(vec![JobStep { gang: true, ..step(2, &[]) }]);
    for record in large.into_iter().chain([gang]) {
        let mut cells = TwoCells::new(2);
        cells.submit_waiting(FULL, &record);
        cells.run_for(FULL - Duration::from_millis(500));
        assert!(cells.attempts.is_empty(), "{:?}", record.steps);
    }
    // Two of three executors of this cell are smaller, as those of the other cell may be.
    let mut cells = TwoCells::new(2);
    for number in 1..3 {
        let mut small = FakeExecutor::new(&format!("e0-{number}"), 1_000);
        small.capacity.cpu_millis = 500;
        cells.executors[0].push(small);
    }
    cells.run_for(Duration::from_secs(1));
    cells.submit_waiting(FULL, &waiting());
    cells.run_for(FULL - Duration::from_millis(500));
    assert!(cells.attempts.is_empty());
}

// Guards against a starved job that loses its place in the queue, since the other cell counts its
// wait anew.
#[test]
fn starved_jobs_do_not_move() {
    for (starved, moves) in [(false, 1), (true, 0)] {
        let mut cells = TwoCells::new(2);
        cells.reports_loads = !starved;
        let record = job(vec![JobStep { long_running: true, ..step(1, &[]) }]);
        cells.submit_waiting(FULL, &record);
        cells.run_for(Duration::from_millis(2_500));
        cells.reports_loads = true;
        cells.run_for(Duration::from_secs(1));
        assert_eq!(cells.attempts.len(), moves);
    }
}

// Guards against an accepted job that never runs, or a cancellation without effect, because a job
// with the same id moved before its outcome expired.
#[test]
fn id_of_a_moved_job_can_be_submitted_again() {
    for cancels in [false, true] {
        let mut cells = TwoCells::new(2);
        let id = cells.submit_waiting(Duration::from_secs(1), &waiting());
        cells.run_for(Duration::from_secs(4));
        assert!(completed(&cells, id, 1));
        cells.expire(id, 1);
        assert!(cells.submit(id, 0, waiting()));
        if cancels {
            let revision = cells.record_revision(id, 0).expect("the record was just written");
            let item = |cells: &TwoCells, key: String| cells.item(&key).into_iter();
            let record = item(&cells, CellKeys::new(0).job(id));
            assert!(cells.cancel(id, 0, revision));
            // A read of the cell contains the cancellation first.
            let cancellation = item(&cells, CellKeys::new(0).cancel(id));
            cells.deliver_again(0, cancellation.chain(record).collect());
            assert_eq!(cells.phase(id, 0), Some(JobPhase::Running), "not queued any more");
        }
        cells.run_for(Duration::from_secs(2));
        let outcome = if cancels { JobOutcome::Cancelled } else { JobOutcome::Completed };
        assert_eq!(cells.phase(id, 0), Some(JobPhase::Ended(outcome)));
        assert_eq!(cells.starts(id, 0), if cancels { 0 } else { 3 });
    }
}

// Guards against a job that returns to a cell that it has left, whose owner would not accept it.
#[test]
fn jobs_only_move_forward_in_their_order_of_cells() {
    let mut cells = TwoCells::new(2);
    // The home of these jobs is cell 1, so cell 0 is their last one.
    let ids: Vec<JobId> = TwoCells::ids_of(1).take(2).collect();
    cells.set_length(ids[0], FULL);
    cells.submit(ids[0], 0, job(vec![step(8, &[])]));
    cells.submit(ids[1], 0, waiting());
    cells.run_for(FULL + Duration::from_secs(4));
    assert!(cells.attempts.is_empty());
    assert_clean(&mut cells);
    for id in 0..200 {
        let mut order: Vec<CellId> = (0..5).collect();
        order.sort_by_key(|cell| cell_position(5, id, *cell));
        let positions = order.iter().map(|cell| cell_position(5, id, *cell));
        assert!(positions.eq(0..5), "each cell has a position of its own");
    }
}

// Guards against owners that fill a cell beyond its room, or send work to a cell that is full, has
// not reported or cannot run it.
#[test]
fn room_of_a_cell_is_divided_among_the_others() {
    let load = |use_percent| CellLoad {
        use_percent,
        executors: 100,
        labels: vec!["a".to_owned()],
        services: vec!["plans".to_owned()],
    };
    let report = |cell, seconds, use_percent| CellReport {
        cell,
        at: Duration::from_secs(seconds),
        load: load(use_percent),
    };
    let record = waiting();
    let id = (1..).find(|id| cell_position(3, *id, 0) == 0).unwrap_or_default();
    let mut targets = MoveTargets::new(0, 3);
    assert_eq!(targets.choose(id, &record, 1_000), None);
    targets.update(vec![report(0, 1, 10), report(1, 1, 75), report(2, 1, 65)], 8_000);
    // 10 % of 800 cores, half of it for this owner.
    let moved = (0..100).take_while(|_| targets.choose(id, &record, 1_000) == Some(2)).count();
    assert_eq!(moved, 40);
    // The same report again gives no further room.
    targets.update(vec![report(1, 1, 75), report(2, 1, 65)], 8_000);
    assert_eq!(targets.choose(id, &record, 1_000), None);
    targets.update(vec![report(2, 2, 65)], 8_000);
    // A large job is not passed over for good.
    assert_eq!(targets.choose(id, &record, 70_000), Some(2));
    assert_eq!(targets.choose(id, &record, 1_000), None);
    targets.update(vec![report(2, 3, 65)], 8_000);
    let mut labelled = record.clone();
    labelled.steps[0].required_label = Some("b".to_owned());
    assert_eq!(targets.choose(id, &labelled, 1_000), None);
    targets.update(Vec::new(), 8_000);
    assert_eq!(targets.choose(id, &record, 1_000), None);
}

/// Plays random submissions, cancellations, fates of moves and ends of owners.
fn play(seed: u64) -> TwoCells {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fates = ChaCha8Rng::seed_from_u64(seed ^ 1);
    let mut cells = TwoCells::new(2);
    cells.fate = Box::new(move |_| {
        let delay = Duration::from_millis(fates.random_range(0..5_000));
        match fates.random_range(0..10) {
            0 => MoveFate::RequestLost,
            1 => MoveFate::ReplyLost,
            2 => MoveFate::Late(delay),
            3 => MoveFate::Doubled(delay),
            4 => MoveFate::NotDone,
            _ => MoveFate::Delivered,
        }
    });
    let mut ids: Vec<(JobId, CellId)> = Vec::new();
    let mut next: Vec<_> = [0, 1].map(TwoCells::ids_of).into_iter().collect();
    for _ in 0..60 {
        let home = usize::from(random.random_bool(0.2));
        let id = next[home].next().unwrap_or_default();
        let cell = if random.random_bool(0.9) { home as CellId } else { 1 - home as CellId };
        cells.submit(id, cell, job(vec![step(random.random_range(1..7), &[]), step(1, &[0])]));
        ids.push((id, cell));
        cells.run_for(Duration::from_millis(random.random_range(1..30) * 10));
        if random.random_bool(0.1) {
            let (id, cell) = ids[random.random_range(0..ids.len())];
            if let Some(read) = cells.record_revision(id, cell) {
                cells.run_for(Duration::from_millis(random.random_range(0..4) * 10));
                cells.cancel(id, cell, read);
            }
        }
        if random.random_bool(0.1) {
            let (id, _) = ids[random.random_range(0..ids.len())];
            assert!(!cells.submit(id, random.random_range(0..2), waiting()));
        }
        if random.random_bool(0.04) {
            match random.random_bool(0.5) {
                true => cells.kill_owner(random.random_range(0..2)),
                false => cells.revoke_owner(random.random_range(0..2)),
            }
            cells.run_for(Duration::from_secs(2));
        }
    }
    cells.fate = Box::new(|_| MoveFate::Delivered);
    cells.run_for(Duration::from_secs(40));
    cells.check_end();
    cells
}

// Guards against combinations of the above.
#[test]
fn jobs_run_once_under_random_interruptions() {
    let mut attempts = 0;
    for seed in 0..12 {
        let cells = play(seed);
        attempts += cells.attempts.len();
        assert_eq!(cells.violations, Vec::<String>::new(), "seed {seed}");
    }
    assert!(attempts > 60, "{attempts} attempts to move a job");
}
