//! Runs one case of the review: starts the daemons and the stand-ins, plays the case, writes the
//! record and judges by the rule. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod executor;
mod http;
mod json;
mod large_jobs;
mod late_start;
mod letter_case;
mod store;
mod world;

use std::{env, process::ExitCode, thread, time::Duration};

use crate::world::World;

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: cuminbank-review-standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let play: fn(&mut World, bool) -> Verdict = match case.as_str() {
        "late-start" => late_start::play,
        "large-jobs" => large_jobs::play_layered,
        "unplaceable-steps" => large_jobs::play_unplaceable,
        "letter-case" => letter_case::play,
        _ => return ExitCode::from(2),
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        world::end_processes();
        std::process::exit(2);
    });
    let mut world = match case.as_str() {
        "large-jobs" | "unplaceable-steps" => World::start(3, 48, 32_000),
        _ => World::start(3, 12, 16_000),
    };
    world.record.note(format!("case {case}, with its disruption: {trouble}"));
    let verdict = match world.wait_until_ready() {
        true => play(&mut world, trouble),
        false => Verdict::NotRun("the deployment does not become ready"),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(reason) => (2, format!("the case could not run: {reason}")),
    };
    world.record.note(&text);
    println!("{case}: {text}");
    world.record.save(path);
    drop(world);
    ExitCode::from(code)
}
