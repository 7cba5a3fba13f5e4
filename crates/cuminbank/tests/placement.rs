//! Tests the slots of executors and the choice of an executor for a call.

use std::time::Duration;

use cuminbank::placement::{ExecutorKey, ExecutorSpec, PickQuery, ReservationKey, SlotLedger};
use proptest::{collection::vec, prelude::*};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LONG_LIMIT: u32 = 2;

fn spec(number: usize, slots: u32) -> ExecutorSpec {
    ExecutorSpec {
        name: format!("e{number}"),
        machine: format!("m{}", number / 2),
        address: ([10, 0, 0, 1], 80).into(),
        group: 0,
        slots,
    }
}

fn query(long: bool) -> PickQuery {
    PickQuery { group: 0, long, avoid: None }
}

#[derive(Clone, Debug)]
enum LedgerStep {
    Pick { long: bool, random: bool },
    Reserve(usize),
    Release(usize),
    MarkLong(usize),
    Accept(usize, bool),
    AssumeFull(usize),
    Probe { executor: usize, foreign: usize, sent_before: u64 },
    Resize(usize, u32),
}

fn any_step() -> impl Strategy<Value = LedgerStep> {
    let executor = 0..4_usize;
    prop_oneof![
        6 => (any::<bool>(), any::<bool>())
            .prop_map(|(long, random)| LedgerStep::Pick { long, random }),
        2 => executor.clone().prop_map(LedgerStep::Reserve),
        4 => any::<usize>().prop_map(LedgerStep::Release),
        1 => any::<usize>().prop_map(LedgerStep::MarkLong),
        2 => (executor.clone(), any::<bool>()).prop_map(|(key, on)| LedgerStep::Accept(key, on)),
        1 => executor.clone().prop_map(LedgerStep::AssumeFull),
        2 => (executor.clone(), 0..5_usize, 0..3_u64).prop_map(|(executor, foreign, before)| {
            LedgerStep::Probe { executor, foreign, sent_before: before }
        }),
        1 => (executor, 1..6_u32).prop_map(|(key, slots)| LedgerStep::Resize(key, slots)),
    ]
}

/// Applies a step. Returns the executor that got a call, and whether the limit of long calls
/// applied to the choice.
fn apply(
    ledger: &mut SlotLedger,
    keys: &[ExecutorKey],
    reservations: &mut Vec<ReservationKey>,
    step: &LedgerStep,
    now: Duration,
) -> Option<(ExecutorKey, bool)> {
    let mut rng = ChaCha8Rng::seed_from_u64(now.as_secs());
    match *step {
        LedgerStep::Pick { long, random } => {
            let picked = if random {
                ledger.least_loaded(query(false), &mut rng)
            } else {
                ledger.pick(query(long), &mut rng, |_| 1.0)
            };
            let key = picked?;
            reservations
                .push(ledger.reserve(key, "a", long).expect("the picked executor has a free slot"));
            return Some((key, long && !random));
        }
        LedgerStep::Reserve(number) => {
            reservations.push(ledger.reserve(keys[number], "b", false)?);
            return Some((keys[number], false));
        }
        LedgerStep::Release(number) if !reservations.is_empty() => {
            ledger.release(reservations.swap_remove(number % reservations.len()));
        }
        LedgerStep::MarkLong(number) if !reservations.is_empty() => {
            ledger.mark_long(reservations[number % reservations.len()]);
        }
        LedgerStep::Release(_) | LedgerStep::MarkLong(_) => {}
        LedgerStep::Accept(number, accepting) => ledger.set_accepting(keys[number], accepting),
        LedgerStep::AssumeFull(number) => ledger.assume_full(keys[number]),
        LedgerStep::Probe { executor, foreign, sent_before } => {
            let ids = (0..foreign).map(|id| format!("z-0-1-{id}"));
            let sent_at = now.saturating_sub(Duration::from_secs(sent_before));
            ledger.record_probe(keys[executor], ids, sent_at, now);
        }
        LedgerStep::Resize(number, slots) => {
            ledger.upsert(spec(number, slots));
        }
    }
    None
}

proptest! {
    /// Guards against calls that start on an executor without a free slot, on one that accepts no
    /// calls, or beyond the limit of long calls (invariant I1), and against an index that disagrees
    /// with the slots of the executors.
    #[test]
    fn slots_are_never_assigned_twice(steps in vec(any_step(), 1..120)) {
        let mut ledger = SlotLedger::new(LONG_LIMIT);
        let keys: Vec<ExecutorKey> = (0..4).map(|number| ledger.upsert(spec(number, 3))).collect();
        let mut reservations = Vec::new();
        for (second, step) in steps.iter().enumerate() {
            let now = Duration::from_secs(second as u64);
            let before: Vec<(u32, bool, u32)> = keys
                .iter()
                .map(|&key| ledger.get(key).unwrap())
                .map(|slots| (slots.used(), slots.is_accepting(), slots.long_occupied()))
                .collect();
            if let Some((key, long)) = apply(&mut ledger, &keys, &mut reservations, step, now) {
                let slots = ledger.get(key).unwrap();
                let number = keys.iter().position(|&other| other == key).unwrap();
                let (used, accepting, long_before) = before[number];
                prop_assert!(accepting && used < slots.spec.slots);
                prop_assert!(!slots.is_assumed_full());
                prop_assert!(!long || long_before < LONG_LIMIT);
            }
            let reserved: u32 = ledger.iter().map(|(_, slots)| slots.reserved()).sum();
            prop_assert_eq!(reserved as usize, reservations.len());
            let free = ledger.iter().any(|(_, slots)| {
                slots.is_accepting() && slots.used() < slots.spec.slots
            });
            prop_assert_eq!(ledger.has_free(0, false), free);
        }
        reservations.drain(..).for_each(|reservation| ledger.release(reservation));
        prop_assert!(ledger
            .iter()
            .all(|(_, slots)| slots.reserved() == 0 && slots.long_occupied() == 0));
    }
}

/// Guards against an inherited call that loses its slot because of a probe that was sent before the
/// call became known.
#[test]
fn an_inherited_call_is_dropped_only_by_a_later_probe() {
    let mut ledger = SlotLedger::new(LONG_LIMIT);
    let key = ledger.upsert(spec(0, 1));
    let at = Duration::from_secs;
    ledger.record_probe(key, ["z-0-1-1".to_owned()], at(1), at(3));
    ledger.record_probe(key, [], at(2), at(4));
    assert_eq!(
        ledger.get(key).unwrap().inherited(),
        1,
        "this probe was sent before the call became known"
    );
    ledger.record_probe(key, [], at(3), at(5));
    assert_eq!(ledger.get(key).unwrap().inherited(), 0);
}

/// Guards against calls that are always placed beside interfering tasks although one executor on a
/// machine without interference has a free slot.
#[test]
fn the_least_slowed_executor_is_preferred() {
    let mut ledger = ledger_of(50);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let unaffected = ledger.key_of("e17").unwrap();
    let mut on_unaffected = 0;
    for _ in 0..200 {
        let slowdown = |name: &str| if name == "e17" { 1.0 } else { 3.0 };
        let picked = ledger.pick(query(false), &mut rng, |slots| slowdown(&slots.spec.name));
        let reservation = ledger.reserve(picked.unwrap(), "a", false).unwrap();
        on_unaffected += u32::from(picked == Some(unaffected));
        ledger.release(reservation);
    }
    assert!(
        on_unaffected > 10,
        "random candidates found e17 among 50 only {on_unaffected} times of 200"
    );
}

/// Guards against decisions that score all executors: the number scored must not grow with the
/// number of executors. `cuminbank-bench` measures the time.
#[test]
fn a_decision_scores_as_many_of_5200_executors_as_of_50() {
    let (small, large) = (scored_executors(50), scored_executors(5_200));
    assert!(large <= small * 2, "{small} executors scored of 50, {large} of 5,200");
}

fn ledger_of(executors: usize) -> SlotLedger {
    let mut ledger = SlotLedger::new(LONG_LIMIT);
    for number in 0..executors {
        let key = ledger.upsert(spec(number, 8));
        ledger.set_accepting(key, true);
        ledger.record_probe(key, [], Duration::ZERO, Duration::ZERO);
    }
    ledger
}

/// Returns the total number of executors that 2,000 decisions score, with up to 200 running calls.
fn scored_executors(executors: usize) -> usize {
    let mut ledger = ledger_of(executors);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut reservations = std::collections::VecDeque::new();
    let mut scored = 0;
    for _ in 0..2_000 {
        let key = ledger.pick(query(false), &mut rng, |slots| {
            scored += 1;
            f64::from(slots.reserved())
        });
        reservations.extend(key.and_then(|key| ledger.reserve(key, "a", false)));
        if let Some(oldest) = (reservations.len() > 200).then(|| reservations.pop_front()).flatten()
        {
            ledger.release(oldest);
        }
    }
    assert_eq!(reservations.len(), 200, "some decisions found no free slot");
    scored
}
