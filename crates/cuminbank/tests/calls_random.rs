//! Random histories, generated from seeds: two successive owners of a group, and executors that
//! lose, refuse, fail and delay calls.

mod calls_support;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use calls_support::{book, done, executor, ms, plan, CallFixture, TICK};
use cuminbank::{
    effect::{CallOutcome, EntryEffect},
    event::{CallRequest, ExchangeError, ExecutorAnswer},
    ids::{ExchangeId, ReplyId, RequestTicket},
    reducer::groups::GroupChange,
    settings::PlacementPolicy,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 3;
const EXECUTORS: [&str; 4] = ["e1", "e2", "e3", "e4"];
const TAKEOVER_AT: Duration = Duration::from_secs(12);
const END_TIME: Duration = Duration::from_secs(60);

/// Index of an owner and one of its exchanges.
type OwnerExchange = (usize, ExchangeId);
type DispatchResult = Result<ExecutorAnswer, ExchangeError>;
const LOST: DispatchResult = Err(ExchangeError::Lost);

/// An event scheduled for a later time.
type ScheduledEvent = Box<dyn FnOnce(&mut CallSimulation)>;

/// Two owners, the executors and the outcomes reported to callers.
struct CallSimulation {
    rng: ChaCha8Rng,
    now: Duration,
    owners: Vec<CallFixture>,
    events: BTreeMap<(Duration, u64), ScheduledEvent>,
    sequence: u64,
    open: HashSet<OwnerExchange>,
    running: HashMap<SocketAddr, BTreeMap<String, Bytes>>,
    runs: HashMap<Bytes, u32>,
    requests: HashMap<(usize, ReplyId), CallRequest>,
    outcomes: HashMap<(usize, ReplyId), CallOutcome>,
    tickets: Vec<RequestTicket>,
    reruns: u32,
}

impl CallSimulation {
    fn new(seed: u64, policy: PlacementPolicy) -> Self {
        let owners = vec![CallFixture::new(policy), CallFixture::new(policy)];
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            owners,
            events: BTreeMap::new(),
            sequence: 0,
            open: HashSet::new(),
            running: HashMap::new(),
            runs: HashMap::new(),
            requests: HashMap::new(),
            outcomes: HashMap::new(),
            tickets: Vec::new(),
            reruns: 0,
        };
        for owner in &mut simulation.owners {
            owner.fixed.targets = EXECUTORS.map(|name| executor(name, 0, SLOTS)).into();
        }
        simulation.owners[0].take_group(0, 1, Duration::ZERO, None);
        simulation.tickets = simulation.owners[0].tickets(100);
        simulation
    }

    fn schedule(&mut self, delay_ms: u64, event: impl FnOnce(&mut Self) + 'static) {
        self.sequence += 1;
        self.events.insert((self.now + ms(delay_ms), self.sequence), Box::new(event));
    }

    fn run(&mut self) {
        let mut taken_over = false;
        while self.now < END_TIME {
            self.now += TICK;
            if !taken_over && self.now >= TAKEOVER_AT {
                taken_over = true;
                self.change_owner();
            }
            while let Some((&(at, _), _)) = self.events.first_key_value() {
                if at > self.now {
                    break;
                }
                let Some((_, event)) = self.events.pop_first() else { break };
                event(self);
            }
            for owner in 0..self.owners.len() {
                let effects = {
                    let fixture = &mut self.owners[owner];
                    fixture.now = self.now - TICK;
                    fixture.run_for(TICK)
                };
                self.apply_effects(owner, effects);
            }
            if self.now < Duration::from_secs(30) {
                self.send_calls(usize::from(taken_over));
            }
        }
    }

    fn change_owner(&mut self) {
        let old = &mut self.owners[0];
        old.fixed.owned.clear();
        old.now = self.now;
        old.change(&GroupChange::Lost { group: 0 });
        let effects = old.effects();
        let (next, states) = old.calls.handover_state(0, 1, self.now);
        self.apply_effects(0, effects);
        let handover = self.rng.random_bool(0.5).then_some((1, next, states));
        self.owners[1].now = self.now;
        self.owners[1].take_group(0, 2, self.now + ms(1_000), handover);
    }

    fn send_calls(&mut self, owner: usize) {
        for _ in 0..self.rng.random_range(0..3) {
            let reply = self.requests.len() as u64 + 1_000;
            let call = if self.rng.random_bool(0.3) {
                // Copies of ticketed requests arrive at random times and at both owners.
                let ticket = self.tickets[self.rng.random_range(0..self.tickets.len())].clone();
                CallRequest { body: Bytes::from(ticket.to_string()), ..book(Some(ticket)) }
            } else {
                CallRequest { body: Bytes::from(format!("plan {reply}")), ..plan("a") }
            };
            self.requests.insert((owner, reply), call.clone());
            self.owners[owner].now = self.now;
            let effects = self.owners[owner].call(reply, call);
            self.apply_effects(owner, effects);
        }
    }

    fn apply_effects(&mut self, owner: usize, effects: Vec<EntryEffect>) {
        for effect in effects {
            match effect {
                EntryEffect::Dispatch { exchange, address, call_id, body, timeout, .. } => {
                    self.open.insert((owner, exchange));
                    self.send((owner, exchange), address, call_id, body);
                    self.end_later(timeout.as_millis() as u64, (owner, exchange), LOST);
                }
                EntryEffect::AbortDispatch { exchange } => {
                    self.end_later(0, (owner, exchange), LOST);
                }
                EntryEffect::Answer { reply, answer } if reply >= 1_000 => {
                    assert!(self.requests.contains_key(&(owner, reply)));
                    let earlier = self.outcomes.insert((owner, reply), answer.outcome);
                    assert!(earlier.is_none(), "I4: reply {reply} was answered twice");
                }
                _ => {}
            }
        }
        for (exchange, address) in self.owners[owner].take_probes() {
            let (there, back) = (self.rng.random_range(0..400), self.rng.random_range(0..400));
            if self.rng.random_bool(0.05) {
                let lost = Err(ExchangeError::Lost);
                self.schedule(1_000, move |simulation| simulation.end_probe(owner, exchange, lost));
                continue;
            }
            self.schedule(there, move |simulation| {
                let ids = simulation.running.entry(address).or_default().keys().cloned().collect();
                simulation.schedule(back, move |simulation| {
                    simulation.end_probe(owner, exchange, Ok(ids))
                });
            });
        }
    }

    fn send(&mut self, exchange: OwnerExchange, address: SocketAddr, call_id: String, body: Bytes) {
        let delay = self.rng.random_range(0..950);
        let run =
            move |simulation: &mut Self| simulation.begin_run(exchange, address, call_id, &body);
        match self.rng.random_range(0..100) {
            0..3 => self.end_later(5, exchange, Err(ExchangeError::NotSent)),
            3..8 => {
                // The connection breaks at once, but the bytes still arrive.
                self.schedule(delay, run);
                self.end_later(1, exchange, LOST);
            }
            8..10 => {
                // No bytes arrive and the connection stays silent.
            }
            10..14 => self.end_later(delay, exchange, done(503)),
            14..40 => self.schedule(delay, run),
            _ => self.schedule(delay / 20, run),
        }
    }

    fn end_later(&mut self, delay_ms: u64, exchange: OwnerExchange, result: DispatchResult) {
        self.schedule(delay_ms, move |simulation| {
            if simulation.open.remove(&exchange) {
                simulation.owners[exchange.0].now = simulation.now;
                let effects = simulation.owners[exchange.0].end_dispatch(exchange.1, result);
                simulation.apply_effects(exchange.0, effects);
            }
        });
    }

    fn end_probe(
        &mut self,
        owner: usize,
        exchange: ExchangeId,
        result: Result<Vec<String>, ExchangeError>,
    ) {
        self.owners[owner].now = self.now;
        let effects = self.owners[owner].end_probe(exchange, result);
        self.apply_effects(owner, effects);
    }

    fn end_run(&mut self, exchange: OwnerExchange, address: SocketAddr, call_id: &str) {
        let ended = self.running.get_mut(&address).and_then(|calls| calls.remove(call_id));
        assert!(ended.is_some(), "executor {address} does not run call {call_id}");
        let result = match self.rng.random_range(0..100) {
            0..3 => return,
            3..6 => LOST,
            6..10 => done(500),
            _ => done(200),
        };
        self.end_later(1, exchange, result);
    }

    fn begin_run(
        &mut self,
        exchange: OwnerExchange,
        address: SocketAddr,
        call_id: String,
        body: &Bytes,
    ) {
        let elsewhere = self.running.values().any(|calls| calls.values().any(|run| run == body));
        assert!(!elsewhere, "I2: {body:?} runs in two places");
        let calls = self.running.entry(address).or_default();
        calls.insert(call_id.clone(), body.clone());
        assert!(calls.len() <= SLOTS as usize, "I1: {address} runs {calls:?}");
        let runs = self.runs.entry(body.clone()).or_default();
        *runs += 1;
        self.reruns += u32::from(*runs > 1);
        assert!(*runs == 1 || body.starts_with(b"plan"), "I6: {body:?} ran twice");
        let slow = self.rng.random_bool(0.05);
        let time = self.rng.random_range(5..if slow { 6_000 } else { 200 });
        self.schedule(time, move |simulation| simulation.end_run(exchange, address, &call_id));
    }

    fn check_answers(&self) {
        let unanswered: BTreeSet<_> =
            self.requests.keys().filter(|key| !self.outcomes.contains_key(key)).collect();
        assert!(unanswered.is_empty(), "calls without an answer: {unanswered:?}");
        for (key, outcome) in &self.outcomes {
            let body = &self.requests[key].body;
            let ran = self.runs.contains_key(body);
            assert!(*outcome != CallOutcome::NotRun || !ran, "I5: {body:?} ran");
        }
        assert!(self.owners.iter().all(|owner| owner.calls.is_idle()));
    }
}

/// Checks the invariants I1, I2, I4, I5 and I6 while exchanges are lost, delayed and refused and
/// the owner changes. Also guards against calls that never get an answer.
#[test]
fn invariants_hold_through_faults_and_a_takeover() {
    let policies =
        [PlacementPolicy::Learned, PlacementPolicy::LeastLoaded, PlacementPolicy::RandomQueue];
    let mut reruns = 0;
    let mut counts: BTreeMap<CallOutcome, u32> = BTreeMap::new();
    for seed in 0..24 {
        let mut simulation = CallSimulation::new(seed, policies[seed as usize % policies.len()]);
        simulation.run();
        simulation.check_answers();
        reruns += simulation.reruns;
        for outcome in simulation.outcomes.into_values() {
            *counts.entry(outcome).or_default() += 1;
        }
    }
    println!("second runs: {reruns}, outcomes: {counts:?}");
    assert!(reruns > 0, "no seed led to a retry");
    for outcome in [CallOutcome::Done, CallOutcome::NotRun, CallOutcome::Unknown] {
        assert!(counts.contains_key(&outcome), "no seed led to the outcome {outcome:?}");
    }
}
