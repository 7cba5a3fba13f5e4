//! The cases. Each returns whether its rule held, and writes `record.txt`.

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};

use crate::{
    deployment::{call, free_ports, Deployment, HOST},
    platform::{executor, Executor, Platform},
};

const PROGRAM: &str = "target/release/cuminbank-jobd";
/// Bounds of the small sites.
const CONTACT_MS: u64 = 3_000;

/// What was sent, answered and run.
struct Record {
    folder: String,
    lines: Vec<String>,
}

impl Record {
    fn new(folder: &str) -> Self {
        Self { folder: folder.to_owned(), lines: Vec::new() }
    }

    fn add(&mut self, at_ms: u64, text: &str) {
        let line = format!("{:7.3} s  {text}", at_ms as f64 / 1_000.0);
        println!("{line}");
        self.lines.push(line);
    }

    /// Adds the starts and ends that the executors saw, and writes the file.
    fn write(mut self, platform: &Platform, verdict: &str) {
        let world = platform.world.lock().expect("no thread has failed");
        let mut rows: Vec<(u64, String)> = Vec::new();
        for start in &world.starts {
            let checkpoint = match start.checkpoint.as_str() {
                "" => "none",
                text => text,
            };
            rows.push((
                start.at_ms,
                format!(
                    "{} run {} start at {}, checkpoint {checkpoint}: {}",
                    start.task, start.run, start.executor, start.answer
                ),
            ));
        }
        for (at_ms, executor, task, run, how) in &world.ends {
            rows.push((*at_ms, format!("{task} run {run} ended at {executor}: {how}")));
        }
        rows.sort();
        self.lines.push("at the executors:".to_owned());
        for (at_ms, text) in rows {
            self.lines.push(format!("{:7.3} s  {text}", at_ms as f64 / 1_000.0));
        }
        self.lines.push(verdict.to_owned());
        println!("{verdict}");
        let _ = fs::write(format!("{}/record.txt", self.folder), self.lines.join("\n") + "\n");
    }
}

pub fn play(case: &str, folder: &str, trouble: bool) -> Result<bool, String> {
    match case {
        "connections" => connections(folder, trouble),
        "gang" => gang(folder, trouble),
        "images" => images(folder, trouble),
        _ => Err("no such case".into()),
    }
}

fn route(name: &str, prefix: &str, service: &str, priority: u32) -> Value {
    json!({"name": name, "host": HOST, "prefix": prefix, "kind": "unsafe", "timeout-ms": 3_000,
        "target-latency-ms": 250, "priority": priority, "service": service, "max-attempts": 3,
        "stretch": 2.0})
}

fn config(routes: &[Value]) -> Value {
    json!({"version": 1, "routes": routes, "services": []})
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Job ids that differ in all parts.
struct Ids(u64);

impl Ids {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        self.0
    }
}

fn submit(at: SocketAddr, prefix: &str, id: u64, body: &Value) -> u16 {
    call(at, "POST", &format!("{prefix}{id:016x}"), Some(body)).0
}

fn state(at: SocketAddr, prefix: &str, id: u64) -> String {
    let (status, body) = call(at, "GET", &format!("{prefix}{id:016x}"), None);
    format!("{status} {}", body["state"].as_str().unwrap_or("-"))
}

fn pool(ports: &[SocketAddr], service: &str, first: usize, cpu: u64) -> Vec<Executor> {
    let labels = |number: usize| format!("r{}", (first + number) / 3);
    let named = ports.iter().enumerate().map(|(number, address)| {
        let id = format!("i-{}", first + number);
        executor(&id, *address, service, &["a", &labels(number)], cpu)
    });
    named.collect()
}

/// The machine of the owner is removed for good, and a new one comes 2 s later at another address.
/// The removed process stands still from then on: its connections are neither closed nor reset.
fn connections(folder: &str, trouble: bool) -> Result<bool, String> {
    const LASTING: u64 = 8;
    let mut record = Record::new(folder);
    let ports = free_ports(9);
    let executors = pool(&ports[1..], "plans", 0, 32_000);
    let platform =
        Platform::start(ports[0], &config(&[route("plans", "/p/", "plans", 0)]), executors);
    let mut deployment = Deployment::start(PROGRAM, 3, ports[0])?;
    pause(4_000);
    let owner = deployment.owner().ok_or("the pool has no owner")?;
    let client = deployment.instances[(owner + 1) % 3].client;
    let mut ids = Ids(17);
    let lasting = ids.next();
    let body = json!({"spec": json!({"cpu": 2_000}).to_string(), "steps": [{"count": LASTING,
        "cpu": 2_000, "mem-mb": 100, "estimate-ms": 500, "long-running": true, "anti-affinity": 1}]});
    let status = submit(client, "/p/", lasting, &body);
    record
        .add(now(&platform), &format!("POST {lasting:016x}, {LASTING} tasks that last: {status}"));
    pause(1_500);
    // A job of many small tasks, which its client cancels: the owner stops them all at once.
    let wide = ids.next();
    let body = json!({"spec": json!({"ms": 60_000, "cpu": 400}).to_string(), "steps": [{"count": 560,
        "cpu": 400, "mem-mb": 50, "estimate-ms": 60_000}]});
    let status = submit(client, "/p/", wide, &body);
    record.add(now(&platform), &format!("POST {wide:016x}, 560 tasks: {status}"));
    pause(3_000);
    let status = call(client, "DELETE", &format!("/p/{wide:016x}"), None).0;
    record.add(now(&platform), &format!("DELETE {wide:016x}: {status}"));
    let tally = |record: &mut Record, platform: &Platform| {
        let world = platform.world.lock().expect("no thread has failed");
        let of = |value: fn(&Executor) -> usize| -> String {
            world.executors.iter().map(|e| value(e).to_string()).collect::<Vec<_>>().join(" ")
        };
        let text = format!(
            "by executor: open connections {}; reset over the cap of 64 so far {}; runs {}",
            of(|e| e.connections),
            of(|e| e.resets),
            of(|e| e.running().len())
        );
        let at = world.ms();
        drop(world);
        record.add(at, &text);
    };
    pause(1_500);
    tally(&mut record, &platform);
    let begun = now(&platform);
    if trouble {
        deployment.signal(owner, "STOP");
        record.add(begun, "the machine of the owner is gone for good");
        pause(2_000);
        deployment.add(PROGRAM, ports[0])?;
        record.add(now(&platform), "a new machine has come at another address");
    }
    // The rule asks for 3 s after 4 s without disruption; `contact-ms` is left besides.
    let calm = now(&platform) + CONTACT_MS + 4_000;
    let name = |index: u64| format!("{lasting:016x}.0.0.{index}");
    let mut absent_since: HashMap<u64, u64> = HashMap::new();
    let mut broken: HashMap<u64, u64> = HashMap::new();
    let mut reported = 0;
    while now(&platform) < begun + 45_000 {
        let world = platform.world.lock().expect("no thread has failed");
        let at = world.ms();
        let running: Vec<String> =
            world.executors.iter().flat_map(Executor::running).map(|(task, _)| task).collect();
        let free = world.executors.iter().filter(|e| e.up && e.cpu - e.used_cpu() >= 4_000).count();
        for index in 0..LASTING {
            if running.contains(&name(index)) || free < 2 {
                absent_since.remove(&index);
                continue;
            }
            let since = *absent_since.entry(index).or_insert(at);
            // From 6 s after its last run, for 3 s on end, all in a calm span.
            let from = (since + 6_000).max(calm);
            if at >= from + 3_000 {
                broken.entry(index).or_insert(at);
            }
        }
        drop(world);
        if at / 5_000 != reported {
            reported = at / 5_000;
            tally(&mut record, &platform);
        }
        pause(100);
    }
    let mut rows: Vec<_> = broken.iter().collect();
    rows.sort();
    for (index, at) in rows {
        record.add(
            *at,
            &format!(
                "LOST: {} is to last and has not run for over 9 s, with room for it",
                name(*index)
            ),
        );
    }
    let held = broken.is_empty();
    record.write(&platform, if held { "held" } else { "broken: LOST" });
    Ok(held)
}

fn now(platform: &Platform) -> u64 {
    platform.world.lock().expect("no thread has failed").ms()
}

/// An executor crashes for good while a gang that saves checkpoints runs there.
fn gang(folder: &str, trouble: bool) -> Result<bool, String> {
    let mut record = Record::new(folder);
    let ports = free_ports(9);
    let executors = pool(&ports[1..], "plans", 0, 8_000);
    let platform =
        Platform::start(ports[0], &config(&[route("plans", "/p/", "plans", 0)]), executors);
    let deployment = Deployment::start(PROGRAM, 2, ports[0])?;
    pause(4_000);
    let client = deployment.instances[0].client;
    let id = Ids(5).next();
    let spec = json!({"ms": 6_000, "gang": 3, "cpu": 5_000, "saves": true}).to_string();
    let body = json!({"spec": spec, "steps": [{"count": 3, "cpu": 5_000, "mem-mb": 1_000,
        "estimate-ms": 6_000, "gang": true, "checkpointing": true}]});
    let status = submit(client, "/p/", id, &body);
    record.add(now(&platform), &format!("POST {id:016x}, a gang of 3: {status}"));
    if status != 200 {
        return Err("the job was not accepted".to_owned());
    }
    pause(3_300);
    let mut crashed_at = 0;
    if trouble {
        let mut world = platform.world.lock().expect("no thread has failed");
        let found = world.executors.iter().position(|executor| !executor.running().is_empty());
        let executor = &mut world.executors[found.ok_or("nothing runs")?];
        executor.crash();
        let text = format!("{} crashes for good", executor.id);
        crashed_at = world.ms();
        drop(world);
        platform.changed.notify_all();
        record.add(crashed_at, &text);
    }
    let begun = Instant::now();
    let mut last = String::new();
    while begun.elapsed() < Duration::from_secs(60) && last != "200 completed" {
        let answer = state(client, "/p/", id);
        if answer != last {
            record.add(now(&platform), &format!("GET {id:016x}: {answer}"));
            last = answer;
        }
        pause(200);
    }
    record.add(now(&platform), &format!("GET {id:016x}: {last}"));
    let world = platform.world.lock().expect("no thread has failed");
    // The crash is over at once, but its executor's lease and entry take a while: 15 s are left.
    let calm = crashed_at + 15_000;
    let alone = world.ends.iter().filter(|(at, _, _, _, how)| how == "alone" && *at > calm).count();
    drop(world);
    let held = alone == 0 && last == "200 completed";
    let verdict = match held {
        true => "held".to_owned(),
        false => format!(
            "broken: GANG, {alone} runs ended alone over 15 s after the crash, the job is {last}"
        ),
    };
    record.write(&platform, &verdict);
    Ok(held)
}

/// Jobs that wait for room name an image of their own in each step; twice many of them come at once.
fn images(folder: &str, trouble: bool) -> Result<bool, String> {
    const INSTANCES: usize = 3;
    /// `memory-mb` of the settings; the platform kills a process that takes more.
    const MEMORY_MB: u64 = 260;
    /// Pause after which the platform starts a killed process again.
    const RESTART: Duration = Duration::from_millis(2_500);
    /// Calls a second of the usual traffic, as on the sheet, and the largest number of steps there.
    const USUAL: f64 = 11.6;
    const STEPS: u64 = 5;
    let mut record = Record::new(folder);
    let ports = free_ports(7);
    let executors = pool(&ports[1..], "plans", 0, 32_000);
    let platform =
        Platform::start(ports[0], &config(&[route("plans", "/p/", "plans", 0)]), executors);
    let mut deployment = Deployment::start(PROGRAM, INSTANCES, ports[0])?;
    pause(4_000);
    let mut ids = Ids(71);
    let clients: Vec<SocketAddr> =
        deployment.instances.iter().map(|instance| instance.client).collect();
    let body = json!({"spec": json!({"cpu": 28_000}).to_string(), "steps": [{"count": 6,
        "cpu": 28_000, "mem-mb": 1_000, "estimate-ms": 500, "long-running": true, "image": "service"}]});
    let status = submit(clients[0], "/p/", ids.next(), &body);
    record.add(now(&platform), &format!("POST, 6 tasks that last: {status}"));
    pause(1_500);
    let begun = Instant::now();
    let (mut owed, mut owed_short, mut last) = (0.0, 0.0, Duration::ZERO);
    let mut statuses: HashMap<u16, u32> = HashMap::new();
    let mut sent = 0;
    let mut most = 0;
    let mut kills = [0; INSTANCES];
    let mut down: Vec<(usize, Instant)> = Vec::new();
    let mut seconds = 0;
    while begun.elapsed() < Duration::from_secs(70) {
        let at = begun.elapsed();
        let second = at.as_secs();
        // 2.6 times the traffic for 4 s, twice.
        let burst = trouble && ((6..10).contains(&second) || (13..17).contains(&second));
        let passed = (at - last).as_secs_f64();
        last = at;
        if second < 18 {
            owed += passed * USUAL * if burst { 2.6 } else { 1.0 };
        }
        owed_short += passed * 3.0;
        let up = |turn: usize| {
            let candidates = (0..INSTANCES).map(|offset| (turn + offset) % INSTANCES);
            candidates.into_iter().find(|number| !down.iter().any(|(other, _)| other == number))
        };
        while owed >= 1.0 {
            owed -= 1.0;
            sent += 1;
            let rows: Vec<Value> = (0..STEPS)
                .map(|step| {
                    let after: Vec<u64> = step.checked_sub(1).into_iter().collect();
                    json!({"count": 1, "cpu": 6_000, "mem-mb": 100, "estimate-ms": 1_000,
                        "after": after, "image": format!("build-{sent}-{step}")})
                })
                .collect();
            let spec = json!({"ms": 1_000, "cpu": 6_000}).to_string();
            let body = json!({"spec": spec, "steps": rows});
            let status = match up(sent as usize) {
                Some(number) => submit(clients[number], "/p/", ids.next(), &body),
                None => 0,
            };
            *statuses.entry(status).or_default() += 1;
        }
        if owed_short >= 1.0 {
            // Some short jobs that find room, so that runs end all the time.
            owed_short -= 1.0;
            let spec = json!({"ms": 400, "cpu": 500}).to_string();
            let body = json!({"spec": spec, "steps": [{"count": 1, "cpu": 500, "mem-mb": 100,
                "estimate-ms": 400, "image": "usual"}]});
            if let Some(number) = up(second as usize) {
                submit(clients[number], "/p/", ids.next(), &body);
            }
        }
        for number in 0..INSTANCES {
            let memory = deployment.memory_mb(number);
            most = most.max(memory);
            if memory > MEMORY_MB {
                deployment.kill(number);
                kills[number] += 1;
                down.push((number, Instant::now()));
                record.add(
                    now(&platform),
                    &format!("frontend-{number} takes {memory} MB and is killed"),
                );
            }
        }
        let back = |(_, since): &(usize, Instant)| since.elapsed() >= RESTART;
        while let Some(place) = down.iter().position(back) {
            let (number, _) = down.remove(place);
            deployment.restart(number, PROGRAM)?;
        }
        if second / 5 != seconds {
            seconds = second / 5;
            record.add(
                now(&platform),
                &format!("{sent} jobs of {STEPS} steps were sent, most memory so far {most} MB"),
            );
        }
        pause(5);
    }
    record.add(
        now(&platform),
        &format!("answers to the jobs by status {statuses:?}; a 0 stands for none"),
    );
    let often = kills.iter().filter(|count| **count >= 3).count();
    let held = often < 2;
    let verdict = match held {
        true => format!("held; ends by memory over the limit, by process: {kills:?}"),
        false => format!("broken: Fault, ends by memory over the limit, by process: {kills:?}"),
    };
    record.write(&platform, &verdict);
    Ok(held)
}
