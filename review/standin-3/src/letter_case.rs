//! UNASKED: executors are told to start a task of an id that no client sent.

use std::{thread, time::Duration};

use crate::{
    world::{job, World},
    Verdict,
};

/// Ids of two jobs that differ in the case of their digits only. Each is a string of 16 hexadecimal
/// digits.
const CAPITALS: &str = "9C0FFEE5BADC0DE1";
const SMALL: &str = "9c0ffee5badc0de1";

pub fn play(world: &mut World, trouble: bool) -> Verdict {
    world.executors.iter().for_each(|executor| *executor.traced.lock().unwrap() = true);
    // Without the capitals, the first job has another id in small digits.
    let first = if trouble { CAPITALS } else { "9c0ffee5badc0de2" };
    let handed_in = [(first, "cpu=1000 ms=500 of=first"), (SMALL, "cpu=2000 ms=500 of=second")];
    for (id, spec) in handed_in {
        if !matches!(world.submit(id, &job(spec, &[(1, 1_000, 500)])), Some((200, _))) {
            return Verdict::NotRun("a job was not accepted");
        }
        thread::sleep(Duration::from_secs(3));
    }
    for (id, _) in handed_in {
        for daemon in &world.daemons {
            world.ask(daemon, "GET", id, "");
        }
    }
    thread::sleep(Duration::from_secs(17));
    let runs = world.record.runs.lock().unwrap();
    let mut broken = false;
    for run in runs.iter() {
        let id = run.task.split('.').next().unwrap_or_default();
        let asked = id == "00000000000000a0"
            || handed_in.iter().any(|(known, spec)| *known == id && *spec == run.spec);
        if !asked {
            let text = format!("{} is told to start {} with {:?}", run.executor, run.task, run.spec);
            world.record.note(format!("{text}, which no client sent"));
            broken = true;
        }
    }
    for (id, spec) in handed_in {
        let starts = runs.iter().filter(|run| run.spec == spec).count();
        world.record.note(format!("job {id}, spec {spec:?}: {starts} starts of its spec"));
    }
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
