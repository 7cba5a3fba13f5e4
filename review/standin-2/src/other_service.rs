//! A service has no room for the jobs that wait for it. A second service has nothing to do; a job of
//! its queue has to run.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    pool::{JobPlan, Pool, StepPlan, SERVICE},
    site::{Site, OTHER_SERVICE},
    Verdict,
};

/// Calls a second of the sheet, and the burst: 2.6 times as many for 4 s.
const CALLS_A_SECOND: f64 = 11.6;
const BURST: f64 = 2.6;
const BURST_TIME: Duration = Duration::from_secs(4);
/// Length of the traffic, and when the bursts begin.
const TRAFFIC: Duration = Duration::from_secs(16);
const BURSTS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(8)];
/// When the first job of the second service comes, and the time between them.
const OTHER_FROM: Duration = Duration::from_secs(10);
const OTHER_PAUSE: Duration = Duration::from_secs(1);
/// `finish_s`, and for how long a job may have nothing running then.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);
const IMAGES: u64 = 60;

pub fn play(pool: &Pool, trouble: bool) -> Verdict {
    let mut site = Site::start(pool.clone(), 3);
    for number in 0..16 {
        let zone = format!("z{}", number % 3 + 1);
        let service = if number < 12 { SERVICE } else { OTHER_SERVICE };
        site.pool.add_to(&site.store, service, &zone, &format!("r-{}", number / 4), 16_000);
    }
    let verdict = run(&mut site, trouble);
    site.end();
    verdict
}

fn run(site: &mut Site, trouble: bool) -> Verdict {
    if !site.wait_ready() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    // Tasks that last reserve the whole of the first service.
    for number in 0..12u64 {
        let step =
            StepPlan { count: 4, cpu: 4_000, work_ms: 1_000, lasts: true, ..StepPlan::default() };
        let plan = JobPlan { steps: vec![step], ..JobPlan::default() };
        if site.submit(number as usize % 3, &format!("00000000000d{number:04x}"), &plan)
            != Some(200)
        {
            return Verdict::NotRun;
        }
    }
    thread::sleep(Duration::from_secs(3));
    if site.pool.lock().starts.len() < 48 {
        return Verdict::NotRun;
    }
    let began = Instant::now();
    let mut handed_in = 0u64;
    let mut owed = 0.0;
    let mut last = began;
    let mut others: Vec<String> = Vec::new();
    let mut next_other = began + OTHER_FROM;
    let mut random = 0x9E37_79B9_7F4A_7C15u64;
    let mut dice = move |from: u64, to: u64| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        from + (random >> 11) % (to - from)
    };
    while began.elapsed() < TRAFFIC {
        let now = Instant::now();
        let at = now - began;
        let bursts = trouble && BURSTS.iter().any(|from| at >= *from && at < *from + BURST_TIME);
        owed += (now - last).as_secs_f64() * CALLS_A_SECOND * if bursts { BURST } else { 1.0 };
        last = now;
        while owed >= 1.0 {
            owed -= 1.0;
            handed_in += 1;
            let step = StepPlan {
                count: 1 + dice(0, 8),
                cpu: dice(1_500, 7_000),
                mem_mb: dice(1_000, 13_000),
                work_ms: dice(9_000, 15_000),
                fills: true,
                image: format!("image-{}", dice(0, IMAGES)),
                ..StepPlan::default()
            };
            let plan = JobPlan { steps: vec![step], ..JobPlan::default() };
            site.submit(handed_in as usize % 3, &format!("00000000000e{handed_in:04x}"), &plan);
        }
        if now >= next_other {
            next_other += OTHER_PAUSE;
            let id = format!("00000000000f{:04x}", others.len());
            let step = StepPlan { count: 1, cpu: 2_000, work_ms: 1_000, ..StepPlan::default() };
            let plan = JobPlan { steps: vec![step], other_queue: true };
            if site.submit(others.len() % 3, &id, &plan) == Some(200) {
                others.push(id);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    site.pool.note("the traffic ends");
    thread::sleep(FINISH + IDLE);
    let mut never = 0;
    for (number, id) in others.iter().enumerate() {
        site.ask(number % 3, "GET", id, "");
        let state = site.pool.lock();
        never += usize::from(!state.starts.iter().any(|start| start.task.starts_with(id.as_str())));
    }
    let line = format!(
        "jobs of the full service {handed_in}; jobs of the idle service {}, not begun {:.0} s after the traffic: {never}",
        others.len(),
        (FINISH + IDLE).as_secs_f64()
    );
    site.pool.note(&line);
    println!("{line}");
    match (others.len(), never) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
