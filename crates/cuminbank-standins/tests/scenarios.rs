//! Scripted scenarios in virtual time; each file under `tests/scenarios` tells one story.
//!
//! Guards against a change of what an operator or a caller sees in a known situation. `REWRITE=1`
//! writes the outcomes anew.

use std::{fmt::Write, time::Duration};

use cuminbank_standins::harness::{
    checks, Cut, FaultStep, HarnessPlan, HistoryEvent, Party, RequestKind, RequestState,
    WorkDefect, World, BOOKINGS, MORNING_RUSH, STANDING_ORDERS,
};
use datadriven::{walk, TestCase};

const ZONES: [&str; 4] = ["dublin", "kildare", "wicklow", "homagama"];

#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut world = None;
        file.run(|case| run_command(&mut world, case));
    });
}

fn run_command(world: &mut Option<World>, case: &mut TestCase) -> String {
    if case.directive == "start" {
        *world = Some(start(case));
    }
    let world = world.as_mut().expect("a scenario begins with start");
    let text = match case.directive.as_str() {
        "start" => ready(world),
        "call" | "task" => submit(world, case),
        "wait" => {
            let seconds: f64 = arg(case, "seconds");
            world.run_for(Duration::from_secs_f64(seconds));
            format!("{:.1} s\n", world.now().as_secs_f64())
        }
        "kill" | "restart" | "pause" | "resume" | "drain" => change_entry(world, case),
        "store" | "cut" | "heal" => change_network(world, case),
        "silence" | "fail" | "leave" | "crash" => change_machine(world, case),
        "apply" => apply(world, case),
        "outcome" => outcome(world),
        "owners" => owners(world),
        "ready" => ready(world),
        "in-force" => in_force(world, case),
        "starts" => starts(world, case),
        "check" => check(world),
        other => panic!("{other} is no command"),
    };
    case.expect_empty().expect("all arguments are known");
    text
}

fn arg<T: std::str::FromStr>(case: &mut TestCase, name: &str) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.take_arg(name).unwrap_or_else(|error| panic!("{}: {error:?}", case.directive))
}

fn optional<T: std::str::FromStr>(case: &mut TestCase, name: &str, default: T) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name).expect("the argument can be read").unwrap_or(default)
}

fn start(case: &mut TestCase) -> World {
    let mut plan = HarnessPlan::new(7);
    plan.zones = optional(case, "zones", 1);
    plan.entries = optional(case, "entries", 2);
    plan.machines = optional(case, "machines", 2);
    plan.slots = optional(case, "slots", 4);
    plan.cores = optional(case, "cores", 4);
    plan.groups = optional(case, "groups", 2);
    let mut world = World::new(plan);
    world.run_for(Duration::from_secs(8));
    world
}

fn ready(world: &World) -> String {
    let state = |(name, ready)| match ready {
        Some(true) => format!("{name} ready"),
        Some(false) => format!("{name} not ready"),
        None => format!("{name} gone"),
    };
    world.readiness().into_iter().map(state).collect::<Vec<_>>().join(", ") + "\n"
}

fn submit(world: &mut World, case: &mut TestCase) -> String {
    let kind = match case.directive.as_str() {
        "task" => RequestKind::Task,
        _ => match optional(case, "profile", "bookings".to_owned()).as_str() {
            "morning-rush" => RequestKind::Plan,
            _ => RequestKind::Booking,
        },
    };
    let count: u32 = optional(case, "count", 1);
    let run_ms = optional(case, "run_ms", 200);
    let over = Duration::from_secs_f64(optional(case, "over_seconds", 0.0));
    let defect = match optional(case, "defect", String::new()).as_str() {
        "fails" => Some(WorkDefect::Fails),
        "too-large" => Some(WorkDefect::TooLarge),
        _ => None,
    };
    for number in 0..count {
        let at = world.now() + over * number / count;
        let request = world.add_request(kind, run_ms, at);
        if let Some(defect) = defect {
            world.set_defect(request, defect);
        }
    }
    String::new()
}

fn entry(world: &World, case: &mut TestCase) -> usize {
    let name: String = arg(case, "entry");
    world.entry_by_name(&name).expect("the entry instance exists")
}

fn change_entry(world: &mut World, case: &mut TestCase) -> String {
    let entry = entry(world, case);
    match case.directive.as_str() {
        "kill" => world.carry_out_fault(FaultStep::Kill(entry)),
        "restart" => world.carry_out_fault(FaultStep::Start(entry)),
        "pause" => world.carry_out_fault(FaultStep::Pause(entry)),
        "resume" => world.resume_entry(entry),
        _ => world.carry_out_fault(FaultStep::Drain(entry)),
    }
    String::new()
}

fn zone(name: &str) -> usize {
    ZONES.iter().position(|zone| *zone == name).expect("the zone exists")
}

fn change_network(world: &mut World, case: &mut TestCase) -> String {
    if case.directive == "store" {
        let state: String = arg(case, "state");
        world.carry_out_fault(match state.as_str() {
            "down" => FaultStep::Cut(Cut::Store),
            "up" => FaultStep::Heal(Cut::Store),
            "loses-answers" => FaultStep::StoreAnswerLoss(1.0),
            "answers" => FaultStep::StoreAnswerLoss(0.0),
            other => panic!("{other} is no state of the store"),
        });
        return String::new();
    }
    let from: Option<String> = case.try_take_arg("zone").expect("the zone can be read");
    let cut = match from {
        Some(name) => Cut::ZoneFromStore(zone(&name)),
        None => Cut::Pair(Party::Entry(entry(world, case)), Party::Store),
    };
    world.carry_out_fault(match case.directive.as_str() {
        "cut" => FaultStep::Cut(cut),
        _ => FaultStep::Heal(cut),
    });
    String::new()
}

fn change_machine(world: &mut World, case: &mut TestCase) -> String {
    let (zone_name, place) = (optional(case, "zone", ZONES[0].to_owned()), arg(case, "machine"));
    let machine = world.machine(zone(&zone_name), place);
    match case.directive.as_str() {
        "silence" => {
            let entry = entry(world, case);
            world.carry_out_fault(FaultStep::Cut(Cut::Silent(entry, machine)));
        }
        "fail" => world.carry_out_fault(FaultStep::FailAll(machine, true)),
        "leave" => world.carry_out_fault(FaultStep::MachineLeaves(machine)),
        _ => world.carry_out_fault(FaultStep::MachineDown(machine)),
    }
    String::new()
}

fn profile(case: &mut TestCase) -> &'static str {
    match arg::<String>(case, "profile").as_str() {
        "morning-rush" => MORNING_RUSH,
        "bookings" => BOOKINGS,
        _ => STANDING_ORDERS,
    }
}

fn apply(world: &mut World, case: &mut TestCase) -> String {
    let committed = world.apply_profile(profile(case));
    if committed {
        "committed\n".to_owned()
    } else {
        "the store does not answer\n".to_owned()
    }
}

fn outcome(world: &World) -> String {
    let count = |task: bool, wanted: RequestState| {
        let requests = world.requests().iter();
        let kind = |kind| (kind == RequestKind::Task) == task;
        requests.filter(|request| kind(request.kind) && request.state == wanted).count()
    };
    let calls = [
        ("done", RequestState::Done),
        ("not run", RequestState::Refused),
        ("unknown", RequestState::Unknown),
        ("waiting", RequestState::Open),
    ];
    let tasks = [
        ("finished", RequestState::Finished),
        ("failed", RequestState::Failed),
        ("not run", RequestState::Refused),
        ("accepted", RequestState::Accepted),
        ("waiting", RequestState::Open),
    ];
    let mut text = String::new();
    for (name, task, states) in [("calls", false, &calls[..]), ("tasks", true, &tasks[..])] {
        let counts = states.iter().map(|(word, state)| (count(task, *state), word));
        let shown: Vec<_> = counts
            .filter(|(count, _)| *count > 0)
            .map(|(count, word)| format!("{count} {word}"))
            .collect();
        if !shown.is_empty() {
            let _ = writeln!(text, "{name}: {}", shown.join(", "));
        }
    }
    text
}

fn owners(world: &mut World) -> String {
    let mut text = String::new();
    for (group, owners) in world.owners() {
        let owners = if owners.is_empty() { "nobody".to_owned() } else { owners.join(" and ") };
        let _ = writeln!(text, "{group}: {owners}");
    }
    text
}

/// Prints which instances have the newest revision of a profile that any of them has.
fn in_force(world: &World, case: &mut TestCase) -> String {
    let revisions = world.revisions(profile(case));
    let newest = revisions.iter().map(|(_, revision)| *revision).max().unwrap_or_default();
    let word = |revision: i64| if revision == newest { "newest" } else { "older" };
    let shown = revisions.iter().map(|(name, revision)| format!("{name} {}", word(*revision)));
    shown.collect::<Vec<_>>().join(", ") + "\n"
}

/// Prints how many attempts were started, in all or on one machine of the first zone.
fn starts(world: &World, case: &mut TestCase) -> String {
    let machine: Option<usize> = case.try_take_arg("machine").expect("the machine can be read");
    let prefix = machine.map_or(String::new(), |place| format!("{}-m{place}x", &ZONES[0][..1]));
    let entries = world.history.entries.iter();
    let started = entries.filter_map(|entry| match &entry.event {
        HistoryEvent::TaskStarted { target, .. } => Some(target.starts_with(&prefix)),
        _ => None,
    });
    let (there, elsewhere): (Vec<bool>, Vec<bool>) = started.partition(|there| *there);
    format!("{} of {} starts\n", there.len(), there.len() + elsewhere.len())
}

fn check(world: &mut World) -> String {
    if std::env::var("CUMINBANK_TRACE").is_ok_and(|wanted| wanted == "scenario") {
        println!("{}", world.history.listing());
    }
    let violations = world.check_now();
    if violations.is_empty() {
        return "no violation\n".to_owned();
    }
    checks::describe(0, &world.history, &violations)
}
