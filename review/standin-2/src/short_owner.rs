//! The owner is killed, and its successor too, while the store is slow. An executor has crashed for
//! good meanwhile. Tasks that last have to run again a few seconds after all that.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    pool::{JobPlan, Pool, StepPlan},
    site::Site,
    store::ANSWER_TIME,
    Verdict,
};

/// `platform_slow`: x 60, for 4.5 s.
const SLOW_TIME: Duration = Duration::from_millis(4_500);
/// How long a killed process stays away.
const AWAY: Duration = Duration::from_millis(500);
/// Planned restarts of the owner, and the time between them.
const RESTARTS: u32 = 5;
const RESTART_PAUSE: Duration = Duration::from_millis(3_500);
const JOBS: u64 = 8;
const PLAYED: Duration = Duration::from_secs(28);
const OWNER_KEY: &str = "cuminbank/owner/0/record";

pub fn play(pool: &Pool, trouble: bool) -> Verdict {
    play_with(pool, trouble, run)
}

/// Plays planned restarts of the owner in series, after an executor has crashed for good.
pub fn play_restarts(pool: &Pool, trouble: bool) -> Verdict {
    play_with(pool, trouble, run_restarts)
}

fn play_with(pool: &Pool, trouble: bool, run: impl FnOnce(&mut Site, bool) -> Verdict) -> Verdict {
    let mut site = Site::start(pool.clone(), 7);
    let mut ids = Vec::new();
    for number in 0..8 {
        let zone = format!("z{}", number % 3 + 1);
        ids.push(site.pool.add(&site.store, &zone, &format!("r-{}", number / 2), 32_000).0);
    }
    let verdict = run(&mut site, trouble);
    site.end();
    verdict
}

/// Returns the instance that the stored record of the owner names.
fn owner(site: &Site) -> Option<usize> {
    let text = decode(&site.store.value(OWNER_KEY)?);
    let names = site.instances.iter().map(|instance| instance.name.as_bytes().to_vec());
    names
        .enumerate()
        .find(|(_, name)| text.windows(name.len()).any(|part| part == &name[..]))
        .map(|(n, _)| n)
}

fn decode(text: &str) -> Vec<u8> {
    let digit = |letter: u8| match letter {
        b'A'..=b'Z' => letter - b'A',
        b'a'..=b'z' => letter - b'a' + 26,
        b'0'..=b'9' => letter - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut bytes = Vec::new();
    let letters: Vec<u8> = text.bytes().filter(|letter| *letter != b'=').map(digit).collect();
    for chunk in letters.chunks(4) {
        let word = chunk.iter().fold(0u32, |word, digit| (word << 6) | u32::from(*digit));
        let word = word << (6 * (4 - chunk.len()));
        bytes.extend_from_slice(&word.to_be_bytes()[1..chunk.len()]);
    }
    bytes
}

fn run(site: &mut Site, trouble: bool) -> Verdict {
    if !hand_in(site) {
        return Verdict::NotRun;
    }
    let began = Instant::now();
    let mut calm_from = began;
    if trouble {
        site.pool.note("the store takes 60 times as long");
        site.store.set_answer_time(ANSWER_TIME * 60);
        thread::sleep(Duration::from_millis(200));
        let (Some(first), record) = (owner(site), site.store.value(OWNER_KEY)) else {
            return Verdict::NotRun;
        };
        site.kill(first);
        let killed = Instant::now();
        // The executor that runs the first task is lost.
        let lost = site.pool.lock().starts.first().map(|start| start.executor.clone());
        let Some(lost) = lost else { return Verdict::NotRun };
        site.pool.lose(&site.store, &lost);
        let mut first_back = None;
        let second = loop {
            if first_back.is_none() && killed.elapsed() >= AWAY {
                site.restart(first);
                first_back = Some(Instant::now());
            }
            if site.store.value(OWNER_KEY) != record {
                if let Some(next) = owner(site) {
                    break next;
                }
            }
            if began.elapsed() > SLOW_TIME {
                return Verdict::NotRun;
            }
            thread::sleep(Duration::from_millis(5));
        };
        // The process that last wrote to the store under a condition is killed in turn.
        site.pool.note(&format!("{} is the owner", site.instances[second].name));
        thread::sleep(Duration::from_millis(250));
        site.kill(second);
        thread::sleep(AWAY);
        site.restart(second);
        calm_from = Instant::now();
        thread::sleep((began + SLOW_TIME).saturating_duration_since(Instant::now()));
        site.pool.note("the store is as fast as before");
        site.store.set_answer_time(ANSWER_TIME);
        calm_from = calm_from.max(Instant::now());
    }
    thread::sleep(PLAYED.saturating_sub(began.elapsed()));
    judge(site, JOBS, calm_from)
}

/// Checks the runs of the tasks that last. Disruptions are over from `calm_from` on.
fn judge(site: &Site, jobs: u64, calm_from: Instant) -> Verdict {
    let now = Instant::now();
    let state = site.pool.lock();
    let mut broken = 0;
    let mut longest = Duration::ZERO;
    for job in 0..jobs {
        for index in 0..3 {
            let task = format!("00000000000c{job:04x}.0.0.{index}");
            let mut runs: Vec<(Instant, Instant)> = state
                .starts
                .iter()
                .filter(|start| start.task == task)
                .map(|start| (start.at, start.ended.map_or(now, |(at, _)| at)))
                .collect();
            runs.sort();
            let Some((_, mut idle_from)) = runs.first().copied() else { continue };
            let mut gaps = Vec::new();
            for (start, end) in runs.iter().skip(1) {
                gaps.push((idle_from, *start));
                idle_from = (*end).max(idle_from);
            }
            gaps.push((idle_from, now));
            for (from, until) in gaps {
                longest = longest.max(until.saturating_duration_since(from));
                // 6 s after its last run, and the 4 s before the 3 s have to be calm.
                let counted =
                    (from + Duration::from_secs(6)).max(calm_from + Duration::from_secs(4));
                if until >= counted + Duration::from_secs(3) {
                    broken += 1;
                }
            }
        }
    }
    drop(state);
    let line = format!(
        "tasks that last without a run against the rule: {broken}; longest gap {:.1} s",
        longest.as_secs_f64()
    );
    site.pool.note(&line);
    println!("{line}");
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Hands in the jobs that last and lets them begin.
fn hand_in(site: &mut Site) -> bool {
    if !site.wait_ready() {
        return false;
    }
    thread::sleep(Duration::from_secs(1));
    for number in 0..JOBS {
        let step =
            StepPlan { count: 3, cpu: 3_000, work_ms: 1_000, lasts: true, ..StepPlan::default() };
        let plan = JobPlan { steps: vec![step], ..JobPlan::default() };
        if site.submit(number as usize % 7, &format!("00000000000c{number:04x}"), &plan)
            != Some(200)
        {
            return false;
        }
    }
    thread::sleep(Duration::from_secs(4));
    true
}

fn run_restarts(site: &mut Site, trouble: bool) -> Verdict {
    if !hand_in(site) {
        return Verdict::NotRun;
    }
    let began = Instant::now();
    if trouble {
        let lost = site.pool.lock().starts.first().map(|start| start.executor.clone());
        let Some(lost) = lost else { return Verdict::NotRun };
        site.pool.lose(&site.store, &lost);
    }
    let mut next = began + RESTART_PAUSE;
    let mut left = RESTARTS;
    let mut stopping: Vec<usize> = Vec::new();
    while began.elapsed() < PLAYED {
        if left > 0 && Instant::now() >= next {
            if let Some(number) = owner(site).filter(|number| !stopping.contains(number)) {
                site.terminate(number);
                stopping.push(number);
                left -= 1;
                next += RESTART_PAUSE;
            }
        }
        let ended: Vec<usize> =
            stopping.clone().into_iter().filter(|number| site.has_ended(*number)).collect();
        for number in ended {
            stopping.retain(|other| *other != number);
            thread::sleep(AWAY);
            site.restart(number);
        }
        thread::sleep(Duration::from_millis(20));
    }
    // The restarts are planned work; the crash is the only disruption.
    judge(site, JOBS, began)
}
