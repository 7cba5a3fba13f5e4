//! LOST: a client that nobody controls hands in a few large jobs, each within the limits on requests.
//! Ordinary jobs that are accepted meanwhile don't run any more, beside idle executors.
//!
//! In one case, many steps of a large job follow many others, so that the owner of the pool is kept
//! from doing anything else. In the other, a large job has many steps that no executor can run, so
//! that the owner looks for executors only after long pauses.

use std::{thread, time::Duration};

use crate::{
    http::call,
    world::{job, World, CLIENT_WAIT, HOST, PREFIX},
    Verdict,
};

/// Number of ordinary jobs, and of those before the first large one.
const ROUNDS: u32 = 40;
const FIRST_LARGE: u32 = 8;
/// Time from the end of the traffic after which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// Number of large jobs, one after the other.
const LARGE_JOBS: u32 = 5;
/// Steps of a large job without a step before them, and steps that follow all of these.
const FIRST: usize = 100;
const SECOND: usize = 500;
/// Largest number of tasks that the daemon takes in a job.
const MAX_TASKS: usize = 20_000;

fn occurrences() -> usize {
    MAX_TASKS / (FIRST + SECOND)
}

/// Returns the body of a large job. It is within the limit of the configuration on bodies.
fn layered() -> String {
    let mut steps = vec!["{\"count\":1,\"cpu\":10}".to_owned(); FIRST];
    let all: Vec<String> = (0..FIRST).map(|step| step.to_string()).collect();
    let follower = format!("{{\"count\":1,\"cpu\":10,\"after\":[{}]}}", all.join(","));
    steps.extend(vec![follower; SECOND]);
    format!(
        "{{\"spec\":\"cpu=10 ms=500\",\"steps\":[{}],\"repeat-count\":{},\"start-at-ms\":1000,\
         \"interval-ms\":1}}",
        steps.join(","),
        occurrences()
    )
}

/// Steps of a large job that no executor can run.
const UNPLACEABLE: usize = 6_700;

/// Returns the body of a large job whose steps each ask for another label, which no executor has.
fn unplaceable(number: usize) -> String {
    let labels = number * UNPLACEABLE..(number + 1) * UNPLACEABLE;
    let steps: Vec<String> = labels
        .map(|label| format!("{{\"count\":1,\"cpu\":10,\"requires\":\"{label:x}\"}}"))
        .collect();
    format!("{{\"spec\":\"cpu=10 ms=500\",\"steps\":[{}]}}", steps.join(","))
}

pub fn play_layered(world: &mut World, trouble: bool) -> Verdict {
    let heavy = vec![layered(); LARGE_JOBS as usize];
    world.record.note(format!(
        "a large job: {FIRST} steps, {SECOND} steps that each follow all of these, {} occurrences; \
         {} bytes",
        occurrences(),
        heavy[0].len()
    ));
    play(world, trouble, &heavy)
}

pub fn play_unplaceable(world: &mut World, trouble: bool) -> Verdict {
    let heavy: Vec<String> = (0..LARGE_JOBS as usize).map(unplaceable).collect();
    world.record.note(format!(
        "a large job: {UNPLACEABLE} steps, each with a label that no executor has; {} bytes",
        heavy[0].len()
    ));
    play(world, trouble, &heavy)
}

fn play(world: &mut World, trouble: bool, heavy: &[String]) -> Verdict {
    let ordinary = job("cpu=1000 ms=300", &[(2, 1_000, 300), (2, 1_000, 300), (2, 1_000, 300)]);
    let mut accepted: Vec<(String, Duration)> = Vec::new();
    for round in 0..ROUNDS {
        if trouble && (FIRST_LARGE..FIRST_LARGE + LARGE_JOBS).contains(&round) {
            let daemon = &world.daemons[round as usize % world.daemons.len()];
            let body = &heavy[(round - FIRST_LARGE) as usize];
            let path = format!("{PREFIX}{:016x}", 0xbeef_0000u32 + round);
            let answer = call(daemon.client, ("POST", HOST, &path), body, CLIENT_WAIT);
            world.record.note(format!("large job {round}: {:?}", answer.map(|(status, _)| status)));
        }
        let id = format!("{:016x}", 0xaa00_0000u32 + round);
        if matches!(world.submit(&id, &ordinary), Some((200, _))) {
            accepted.push((id, world.record.now()));
        }
        thread::sleep(Duration::from_millis(300));
    }
    let end = world.record.now();
    thread::sleep(FINISH);
    let total: u64 = world.executors.iter().map(|executor| executor.cpu).sum();
    let mut waiting: Vec<&(String, Duration)> = accepted.iter().collect();
    let mut most_used = 0;
    for _ in 0..32 {
        let used: u64 = world.executors.iter().map(|executor| executor.used()).sum();
        most_used = most_used.max(used);
        let runs = world.record.runs.lock().unwrap();
        waiting.retain(|(id, _)| {
            let of_job = || runs.iter().filter(|run| run.task.starts_with(id.as_str()));
            let done = |task: &str| {
                of_job().any(|run| run.task == task && run.ended.is_some_and(|(_, how)| how == "done"))
            };
            let all_done = (0..3).all(|step| (0..2).all(|index| done(&format!("{id}.0.{step}.{index}"))));
            !all_done && of_job().all(|run| run.ended.is_some())
        });
        drop(runs);
        thread::sleep(Duration::from_millis(100));
    }
    let under_half = most_used * 2 < total;
    let mut unanswered = Vec::new();
    for (id, _) in accepted.iter().rev().take(4) {
        let known = world.daemons.iter().any(|daemon| {
            matches!(world.ask(daemon, "GET", id, ""), Some((200, _)))
        });
        if !known {
            unanswered.push(id.clone());
        }
    }
    world.record.note(format!(
        "traffic ended at {:.1} s; accepted {}; after {} s more, for 3 s, {} have nothing running and \
         are not done, while at most {most_used} of {total} thousandths of cores are in use; of the \
         last four, {} get no answer",
        end.as_secs_f64(), accepted.len(), FINISH.as_secs(), waiting.len(), unanswered.len()
    ));
    for (id, at) in &accepted {
        let runs = world.record.runs.lock().unwrap();
        let first = runs.iter().filter(|run| run.task.starts_with(id.as_str())).map(|run| run.started).min();
        drop(runs);
        let first = first.map(|first| first.as_secs_f64());
        world.record.note(format!("job {id} accepted at {:.3}, first start at {first:?}", at.as_secs_f64()));
    }
    match (!waiting.is_empty() && under_half) || !unanswered.is_empty() {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
