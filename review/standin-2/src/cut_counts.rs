//! An executor is cut off while jobs are handed in. The count of jobs that have not begun has to
//! include those whose only start was sent to it.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::Json,
    pool::{JobPlan, Pool, StepPlan},
    site::Site,
    Verdict,
};

const CUT: Duration = Duration::from_millis(5_500);
/// `visible_ms` + 2 s.
const COUNTED_AFTER: Duration = Duration::from_millis(5_000);
const JOBS: u64 = 70;

pub fn play(pool: &Pool, trouble: bool) -> Verdict {
    let mut site = Site::start(pool.clone(), 3);
    let mut gates = Vec::new();
    for number in 0..7 {
        let zone = format!("z{}", number % 3 + 1);
        gates.push(site.pool.add(&site.store, &zone, &format!("r-{}", number / 2), 32_000));
    }
    let verdict = run(&mut site, &gates[3], trouble);
    site.end();
    verdict
}

fn run(site: &mut Site, cut: &(String, http::Gate), trouble: bool) -> Verdict {
    if !site.wait_ready() {
        return Verdict::NotRun;
    }
    let step = StepPlan { count: 1, cpu: 3_100, work_ms: 850, ..StepPlan::default() };
    let plan = JobPlan { steps: vec![step], ..JobPlan::default() };
    // Some work first, so that the pool is known to run.
    for number in 0..10u64 {
        site.submit((number % 3) as usize, &format!("00000000000a{number:04x}"), &plan);
    }
    thread::sleep(Duration::from_secs(4));
    if site.pool.lock().starts.len() < 10 {
        return Verdict::NotRun;
    }
    let began = Instant::now();
    if trouble {
        cut.1.set(http::CUT);
        site.pool.note(&format!("{} is cut off", cut.0));
    }
    let mut accepted: Vec<(String, Instant)> = Vec::new();
    for number in 0..JOBS {
        let id = format!("00000000000b{number:04x}");
        if site.submit((number % 3) as usize, &id, &plan) == Some(200) {
            accepted.push((id, Instant::now()));
        }
        thread::sleep(Duration::from_millis(8));
    }
    let mut broken = 0;
    let mut healed = false;
    while began.elapsed() < Duration::from_secs(14) {
        if !healed && began.elapsed() >= CUT {
            healed = true;
            cut.1.set(http::OPEN);
            site.pool.note(&format!("{} is back", cut.0));
        }
        if began.elapsed() >= COUNTED_AFTER {
            for instance in 0..3 {
                let sent = Instant::now();
                let Some((200, body)) = site.ask(instance, "GET", "", "") else { continue };
                let pending = Json::parse(&body).and_then(|body| body.num("pending"));
                let Some(pending) = pending else { continue };
                // Those that still have not begun after the answer.
                let state = site.pool.lock();
                let begun = |id: &str| state.starts.iter().any(|start| start.task.starts_with(id));
                let due = accepted
                    .iter()
                    .filter(|(id, at)| sent >= *at + COUNTED_AFTER && !begun(id))
                    .count() as u64;
                drop(state);
                if due > 0 {
                    site.pool.note(&format!(
                        "accepted 5 s before and not begun: {due}; pending {pending}"
                    ));
                }
                if pending * 2 < due {
                    broken += 1;
                }
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let state = site.pool.lock();
    let left = accepted
        .iter()
        .filter(|(id, _)| !state.starts.iter().any(|start| start.task.starts_with(id.as_str())))
        .count();
    drop(state);
    site.pool
        .note(&format!("{} accepted, {left} never begun, {broken} wrong counts", accepted.len()));
    println!("accepted {}, never begun {left}, wrong counts {broken}", accepted.len());
    match (accepted.len(), broken) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
