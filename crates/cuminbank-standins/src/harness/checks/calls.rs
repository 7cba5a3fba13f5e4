//! Checks of urgent calls (invariants I1, I2, I4, I5 and I6).

use std::collections::{BTreeMap, BTreeSet};

use cuminbank::effect::CallOutcome;

use super::{Violation, ViolationKind};
use crate::harness::history::{History, HistoryEvent};

/// I1: an executor is never sent a call while it has no free slot.
pub fn check_call_capacity(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for entry in &history.entries {
        let HistoryEvent::CallRefused { target, call, status: 503 } = &entry.event else {
            continue;
        };
        let kind = ViolationKind::OverCapacity { target: target.clone(), work: call.clone() };
        violations.push(Violation { at: entry.at, kind });
    }
    violations
}

/// I2: two runs of the same call never overlap.
pub fn check_call_concurrency(history: &History) -> Vec<Violation> {
    let mut running: BTreeMap<&str, Vec<(&str, &str)>> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::CallStarted { target, call, key } => {
                let places = running.entry(key).or_default();
                if let Some((other, _)) = places.first() {
                    let targets = ((*other).to_owned(), target.clone());
                    let kind = ViolationKind::ConcurrentRuns { work: key.clone(), targets };
                    violations.push(Violation { at: entry.at, kind });
                }
                places.push((target, call));
            }
            HistoryEvent::CallEnded { target, call, key } => {
                if let Some(places) = running.get_mut(key.as_str()) {
                    places.retain(|place| *place != (target, call));
                }
            }
            HistoryEvent::CallRefused { target, call, status: 409 } => {
                let targets = (target.clone(), target.clone());
                let kind = ViolationKind::ConcurrentRuns { work: call.clone(), targets };
                violations.push(Violation { at: entry.at, kind });
            }
            _ => {}
        }
    }
    violations
}

/// I4: every successful answer is complete and repeats the key of its request.
pub fn check_answers(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for entry in &history.entries {
        let HistoryEvent::RequestAnswered { key, outcome, status, body, .. } = &entry.event else {
            continue;
        };
        // An executor that fails all calls answers 500 and does not repeat the key.
        if *outcome != CallOutcome::Done || *status != 200 || is_answer_to(key, body) {
            continue;
        }
        let body = String::from_utf8_lossy(body).into_owned();
        let kind = ViolationKind::WrongAnswer { key: key.clone(), body };
        violations.push(Violation { at: entry.at, kind });
    }
    violations
}

fn is_answer_to(key: &str, body: &[u8]) -> bool {
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(body) else {
        return false;
    };
    answer["key"] == key && ["call", "op", "executor"].iter().all(|field| answer[field].is_string())
}

/// I5: work whose caller received the answer "not run" runs neither before nor after that answer.
pub fn check_not_run(history: &History) -> Vec<Violation> {
    let mut tickets: BTreeMap<&str, &str> = BTreeMap::new();
    let mut refused: BTreeMap<&str, std::time::Duration> = BTreeMap::new();
    let mut ran: BTreeMap<&str, std::time::Duration> = BTreeMap::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::RequestSent { key, ticket: Some(ticket), .. } => {
                tickets.insert(key, ticket);
            }
            HistoryEvent::RequestAnswered { key, outcome: CallOutcome::NotRun, .. } => {
                refused.entry(key).or_insert(entry.at);
            }
            HistoryEvent::CallStarted { key, .. } => {
                ran.insert(key, entry.at);
            }
            HistoryEvent::TaskStarted { task, .. } => {
                ran.insert(task, entry.at);
            }
            _ => {}
        }
    }
    let mut violations = Vec::new();
    for (key, refused_at) in refused {
        let by_ticket = tickets.get(key).and_then(|ticket| ran.get(ticket));
        if let Some(ran_at) = ran.get(key).or(by_ticket) {
            let kind = ViolationKind::RanDespiteRefusal { key: key.to_owned() };
            violations.push(Violation { at: refused_at.max(*ran_at), kind });
        }
    }
    violations
}

/// I6: a call with a ticket runs at most once.
pub fn check_ticket_repeats(history: &History) -> Vec<Violation> {
    let mut ticketed: BTreeSet<&str> = BTreeSet::new();
    let mut ran: BTreeSet<&str> = BTreeSet::new();
    let mut violations = Vec::new();
    for entry in &history.entries {
        match &entry.event {
            HistoryEvent::RequestSent { key, ticket: Some(_), .. } => {
                ticketed.insert(key);
            }
            HistoryEvent::CallStarted { key, .. } => {
                let again = !ran.insert(key);
                if again && ticketed.contains(key.as_str()) {
                    let kind = ViolationKind::TicketRepeated { key: key.clone() };
                    violations.push(Violation { at: entry.at, kind });
                }
            }
            _ => {}
        }
    }
    violations
}
