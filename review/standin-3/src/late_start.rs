//! TWICE: a start that was left unanswered is carried out late, by the next life of its executor.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    executor::{Executor, LateStart, RunRecord},
    world::{job, World},
    Verdict,
};

/// Longest delay of an order that gets no answer.
const DELAY: Duration = Duration::from_secs(12);
/// How long the executor is down.
const DOWN: Duration = Duration::from_secs(8);
const JOB: &str = "3f9a0c1e5d7b2468";

pub fn play(world: &mut World, trouble: bool) -> Verdict {
    world.executors.iter().for_each(|executor| *executor.traced.lock().unwrap() = true);
    if trouble {
        let late = LateStart { job: JOB.to_owned(), delay: DELAY };
        *world.record.late.lock().unwrap() = Some(late);
    }
    if !matches!(world.submit(JOB, &job("cpu=2000 ms=800", &[(1, 2_000, 800)])), Some((200, _))) {
        return Verdict::NotRun("the job was not accepted");
    }
    if !world.wait_for_state(JOB, "completed", Duration::from_secs(10)) {
        return Verdict::NotRun("the job was not completed");
    }
    thread::sleep(Duration::from_millis(500));
    let noted = runs(world).iter().any(|run| run.noted.is_some());
    if !noted {
        return Verdict::NotRun("no end was taken note of");
    }
    if trouble {
        let Some((id, sent)) = world.record.late_at.lock().unwrap().clone() else {
            return Verdict::NotRun("no start was late");
        };
        let executor: Arc<Executor> =
            world.executors.iter().find(|executor| executor.id == id).expect("its id").clone();
        executor.crash();
        thread::sleep(DOWN);
        executor.restart();
        let end = sent + DELAY + Duration::from_secs(3);
        thread::sleep(end.saturating_sub(world.record.now()));
    } else {
        thread::sleep(Duration::from_secs(12));
    }
    let runs = runs(world);
    for run in &runs {
        let RunRecord { task, run, executor, started, ended, noted, .. } = run;
        world.record.note(format!(
            "{executor} started {task} run {run} at {started:.3?}, ended {ended:.3?}, noted {noted:.3?}"
        ));
    }
    let done = runs.iter().filter(|run| {
        run.ended.is_some_and(|(_, how)| how == "done") && run.noted.is_some() && !run.lapsed_since
    });
    let ends: Vec<Duration> = done.filter_map(|run| run.ended.map(|(at, _)| at)).collect();
    match runs.iter().any(|run| ends.iter().any(|end| run.started > *end)) {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn runs(world: &World) -> Vec<RunRecord> {
    let runs = world.record.runs.lock().unwrap();
    runs.iter().filter(|run| run.task.starts_with(JOB)).cloned().collect()
}
