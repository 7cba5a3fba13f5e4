//! Scripted scenarios in virtual time, one in each file under `tests/scenarios`.
//!
//! They guard against unintended changes of what operators and callers see in known situations.
//! `REWRITE=1` updates the expected outcomes.

use std::{fmt::Write, time::Duration};

use cuminbank_standins::harness::{
    checks, FaultStep, HarnessPlan, HistoryEvent, NetworkNode, NetworkPartition, RequestKind,
    RequestState, Simulation, WorkDefect, BATCH_PROFILE, IDEMPOTENT_PROFILE, TICKETED_PROFILE,
};
use datadriven::{walk, TestCase};

const ZONES: [&str; 4] = ["dublin", "kildare", "wicklow", "homagama"];

#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut simulation = None;
        file.run(|case| run_command(&mut simulation, case));
    });
}

fn run_command(simulation: &mut Option<Simulation>, case: &mut TestCase) -> String {
    if case.directive == "start" {
        *simulation = Some(start(case));
    }
    let simulation = simulation.as_mut().expect("a scenario must begin with the command start");
    let text = match case.directive.as_str() {
        "start" => ready(simulation),
        "call" | "task" => submit(simulation, case),
        "wait" => {
            let seconds: f64 = arg(case, "seconds");
            simulation.run_for(Duration::from_secs_f64(seconds));
            format!("{:.1} s\n", simulation.now().as_secs_f64())
        }
        "kill" | "restart" | "pause" | "resume" | "drain" => change_entry(simulation, case),
        "store" | "cut" | "heal" => change_network(simulation, case),
        "silence" | "fail" | "leave" | "crash" => change_machine(simulation, case),
        "apply" => apply(simulation, case),
        "outcome" => outcome(simulation),
        "answered" => answered(simulation),
        "owners" => owners(simulation),
        "ready" => ready(simulation),
        "in-force" => in_force(simulation, case),
        "starts" => starts(simulation, case),
        "check" => check(simulation),
        other => panic!("unknown scenario command {other:?}"),
    };
    case.expect_empty().expect("a scenario command has unknown arguments");
    text
}

fn arg<T: std::str::FromStr>(case: &mut TestCase, name: &str) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.take_arg(name)
        .unwrap_or_else(|error| panic!("argument {name} of {}: {error:?}", case.directive))
}

fn optional<T: std::str::FromStr>(case: &mut TestCase, name: &str, default: T) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let value = case.try_take_arg(name);
    value
        .unwrap_or_else(|error| panic!("argument {name} of {}: {error:?}", case.directive))
        .unwrap_or(default)
}

fn start(case: &mut TestCase) -> Simulation {
    let mut plan = HarnessPlan::new(7);
    plan.zones = optional(case, "zones", 1);
    plan.entries = optional(case, "entries", 2);
    plan.machines = optional(case, "machines", 2);
    plan.slots = optional(case, "slots", 4);
    plan.cores = optional(case, "cores", 4);
    plan.groups = optional(case, "groups", 2);
    let mut simulation = Simulation::new(plan);
    simulation.run_for(Duration::from_secs(8));
    simulation
}

fn ready(simulation: &Simulation) -> String {
    let state = |(name, ready)| match ready {
        Some(true) => format!("{name} ready"),
        Some(false) => format!("{name} not ready"),
        None => format!("{name} gone"),
    };
    simulation.readiness().into_iter().map(state).collect::<Vec<_>>().join(", ") + "\n"
}

fn submit(simulation: &mut Simulation, case: &mut TestCase) -> String {
    let kind = match case.directive.as_str() {
        "task" => RequestKind::Task,
        _ => match optional(case, "profile", "bookings".to_owned()).as_str() {
            "morning-rush" => RequestKind::IdempotentCall,
            _ => RequestKind::TicketedCall,
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
        let at = simulation.now() + over * number / count;
        let request = simulation.add_request(kind, run_ms, at);
        if let Some(defect) = defect {
            simulation.set_defect(request, defect);
        }
    }
    String::new()
}

fn entry(simulation: &Simulation, case: &mut TestCase) -> usize {
    let name: String = arg(case, "entry");
    simulation
        .entry_by_name(&name)
        .unwrap_or_else(|| panic!("entry instance {name:?} does not exist"))
}

fn change_entry(simulation: &mut Simulation, case: &mut TestCase) -> String {
    let entry = entry(simulation, case);
    match case.directive.as_str() {
        "kill" => simulation.apply_fault(FaultStep::Kill(entry)),
        "restart" => simulation.apply_fault(FaultStep::Start(entry)),
        "pause" => simulation.apply_fault(FaultStep::Pause(entry)),
        "resume" => simulation.resume_entry(entry),
        _ => simulation.apply_fault(FaultStep::Drain(entry)),
    }
    String::new()
}

fn zone(name: &str) -> usize {
    let index = ZONES.iter().position(|zone| *zone == name);
    index.unwrap_or_else(|| panic!("zone {name:?} does not exist"))
}

fn change_network(simulation: &mut Simulation, case: &mut TestCase) -> String {
    if case.directive == "store" {
        let state: String = arg(case, "state");
        simulation.apply_fault(match state.as_str() {
            "down" => FaultStep::Partition(NetworkPartition::Store),
            "up" => FaultStep::Heal(NetworkPartition::Store),
            "loses-answers" => FaultStep::StoreAnswerLoss(1.0),
            "answers" => FaultStep::StoreAnswerLoss(0.0),
            other => panic!("unknown state {other:?} of the store"),
        });
        return String::new();
    }
    let from: Option<String> = case.try_take_arg("zone").expect("the argument zone is unreadable");
    let partition = match from {
        Some(name) => NetworkPartition::ZoneFromStore(zone(&name)),
        None => {
            NetworkPartition::Pair(NetworkNode::Entry(entry(simulation, case)), NetworkNode::Store)
        }
    };
    simulation.apply_fault(match case.directive.as_str() {
        "cut" => FaultStep::Partition(partition),
        _ => FaultStep::Heal(partition),
    });
    String::new()
}

fn change_machine(simulation: &mut Simulation, case: &mut TestCase) -> String {
    let (zone_name, place) = (optional(case, "zone", ZONES[0].to_owned()), arg(case, "machine"));
    let machine = simulation.machine(zone(&zone_name), place);
    match case.directive.as_str() {
        "silence" => {
            let entry = entry(simulation, case);
            simulation.apply_fault(FaultStep::Partition(NetworkPartition::Silent(entry, machine)));
        }
        "fail" => simulation.apply_fault(FaultStep::FailAll(machine, true)),
        "leave" => simulation.apply_fault(FaultStep::MachineLeaves(machine)),
        _ => simulation.apply_fault(FaultStep::MachineDown(machine)),
    }
    String::new()
}

fn profile(case: &mut TestCase) -> &'static str {
    match arg::<String>(case, "profile").as_str() {
        "morning-rush" => IDEMPOTENT_PROFILE,
        "bookings" => TICKETED_PROFILE,
        _ => BATCH_PROFILE,
    }
}

fn apply(simulation: &mut Simulation, case: &mut TestCase) -> String {
    let committed = simulation.apply_profile(profile(case));
    if committed {
        "committed\n".to_owned()
    } else {
        "the store does not answer\n".to_owned()
    }
}

fn outcome(simulation: &Simulation) -> String {
    let count = |task: bool, wanted: RequestState| {
        let requests = simulation.requests().iter();
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

/// Prints how many requests have been answered, for scenarios in which the number of unknown
/// outcomes depends on the requests in progress at a fault.
fn answered(simulation: &Simulation) -> String {
    let requests = simulation.requests();
    let waiting = requests.iter().filter(|request| request.state == RequestState::Open).count();
    format!("{} of {} answered\n", requests.len() - waiting, requests.len())
}

fn owners(simulation: &mut Simulation) -> String {
    let mut text = String::new();
    for (group, owners) in simulation.owners() {
        let owners = if owners.is_empty() { "nobody".to_owned() } else { owners.join(" and ") };
        let _ = writeln!(text, "{group}: {owners}");
    }
    text
}

/// Prints for each instance whether it has the newest revision of a profile that any of them has.
fn in_force(simulation: &Simulation, case: &mut TestCase) -> String {
    let revisions = simulation.revisions(profile(case));
    let newest = revisions.iter().map(|(_, revision)| *revision).max().unwrap_or_default();
    let word = |revision: i64| if revision == newest { "newest" } else { "older" };
    let shown = revisions.iter().map(|(name, revision)| format!("{name} {}", word(*revision)));
    shown.collect::<Vec<_>>().join(", ") + "\n"
}

/// Prints how many of all started attempts were started on one machine of the first zone, or on
/// any machine.
fn starts(simulation: &Simulation, case: &mut TestCase) -> String {
    let machine: Option<usize> =
        case.try_take_arg("machine").expect("the argument machine is unreadable");
    let prefix = machine.map_or(String::new(), |place| format!("{}-m{place}x", &ZONES[0][..1]));
    let entries = simulation.history.entries.iter();
    let started = entries.filter_map(|entry| match &entry.event {
        HistoryEvent::TaskStarted { target, .. } => Some(target.starts_with(&prefix)),
        _ => None,
    });
    let (there, elsewhere): (Vec<bool>, Vec<bool>) = started.partition(|there| *there);
    format!("{} of {} starts\n", there.len(), there.len() + elsewhere.len())
}

fn check(simulation: &mut Simulation) -> String {
    if std::env::var("CUMINBANK_TRACE").is_ok_and(|wanted| wanted == "scenario") {
        println!("{}", simulation.history.listing());
    }
    let violations = simulation.check_now();
    if violations.is_empty() {
        return "no violation\n".to_owned();
    }
    checks::describe(0, &simulation.history, &violations)
}
