//! An executor that runs a member of a gang leaves as planned. The next run of the gang has to carry
//! one checkpoint, and the job has to end.

use std::{
    collections::HashMap,
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::Json,
    pool::{JobPlan, Pool, StepPlan},
    site::Site,
    Verdict,
};

const ID: &str = "5c0e7a21d94b36f8";
/// How long the executor goes on after its report: `drain-ms` and a little longer.
const STAY: Duration = Duration::from_millis(2_500);
/// `contact-ms`: what begins later than this after the executor has left has no disruption near.
const CALM_AFTER: Duration = Duration::from_millis(3_000);
/// The job has 8 s of work.
const PLAYED: Duration = Duration::from_secs(50);

pub fn play(pool: &Pool, trouble: bool) -> Verdict {
    let mut site = Site::start(pool.clone(), 3);
    for number in 0..16 {
        let zone = format!("z{}", number % 3 + 1);
        site.pool.add(&site.store, &zone, &format!("r-{}", number / 4), 8_000);
    }
    let verdict = run(&mut site, trouble);
    site.end();
    verdict
}

fn run(site: &mut Site, trouble: bool) -> Verdict {
    if !site.wait_ready() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let step = StepPlan {
        count: 4,
        cpu: 6_000,
        work_ms: 8_000,
        gang: true,
        saves: true,
        ..StepPlan::default()
    };
    if site.submit(0, ID, &JobPlan { steps: vec![step] }) != Some(200) {
        return Verdict::NotRun;
    }
    let began = Instant::now();
    let mut left_at: Option<Instant> = None;
    let mut completed = None;
    while began.elapsed() < PLAYED && completed.is_none() {
        if trouble && left_at.is_none() && began.elapsed() >= Duration::from_secs(5) {
            left_at = Some(Instant::now() + STAY);
            let member = site.pool.lock().starts.first().map(|start| start.executor.clone());
            let Some(member) = member else { return Verdict::NotRun };
            site.pool.drain(&site.store, &member, STAY);
        }
        thread::sleep(Duration::from_millis(1_000));
        let answer = site.ask(1, "GET", ID, "");
        let state = answer.and_then(|(_, body)| Json::parse(&body));
        if state.is_some_and(|body| body.str("state") == "completed") {
            completed = Some(began.elapsed());
        }
    }
    let state = site.pool.lock();
    let mut values: HashMap<u64, Vec<String>> = HashMap::new();
    for start in &state.starts {
        values.entry(start.run).or_default().push(start.checkpoint.clone());
    }
    let mixed =
        values.values().filter(|values| values.iter().any(|value| *value != values[0])).count();
    let is_calm = |at: Instant| left_at.is_none_or(|left| at >= left + CALM_AFTER);
    let alone = state
        .starts
        .iter()
        .filter(|start| is_calm(start.at) && start.ended.is_some_and(|(_, how)| how == "alone"))
        .count();
    let runs = values.len();
    drop(state);
    let line = format!(
        "runs of the gang {runs}, with different checkpoints {mixed}, ends `alone` without a disruption near {alone}, completed {completed:?}"
    );
    site.pool.note(&line);
    println!("{line}");
    match (alone, completed) {
        (0, Some(_)) => Verdict::Held,
        (0, None) => Verdict::NotRun,
        _ => Verdict::Broken,
    }
}
