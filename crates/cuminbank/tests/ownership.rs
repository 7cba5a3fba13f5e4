//! Simulates several [`OwnershipTable`]s in random histories with drifting clocks, pauses, killed
//! processes, lost and late messages and store outages. Checks that at no time more than one
//! process has authority to act for the group.

mod groups_support;

use std::{collections::BTreeMap, time::Duration};

use cuminbank::{
    event::ExchangeError,
    ids::{LeaseId, OwnerEpoch},
    message::PeerIdentity,
    ownership::{NumberedWrite, OwnershipGuards, OwnershipTable, StoredGroup, WriteOutcome},
    store::{epoch_key, group_key, owner_lease_key, StoreReply, StoreRequest, StoreValue},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::groups_support::FakeStore;

const GROUP: u16 = 0;
const TICK: Duration = Duration::from_millis(50);
const HISTORY_LENGTH: Duration = Duration::from_secs(60);
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
const LISTED_ENDED_AFTER: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    /// One process cannot reach the store.
    StoreCut(usize),
    /// No process can reach the store.
    StoreDown,
    /// The process does nothing, and messages to it are delivered afterwards.
    Pause(usize),
    /// All datagrams from and to the process are lost.
    PeersCut(usize),
    /// The process is killed and restarted with another start number.
    Kill(usize),
}

#[derive(Clone, Debug)]
struct History {
    seed: u64,
    /// Clock rates of the three processes and of the store, in millionths of real time.
    rates: [u32; 4],
    /// Share of store messages that are lost or late, in percent; of datagrams, half as many are
    /// lost.
    loss: u32,
    /// Start and length of each fault, in milliseconds.
    faults: Vec<(u64, u64, FaultKind)>,
}

fn histories() -> impl Strategy<Value = History> {
    let kind = prop_oneof![
        3 => (0..3_usize).prop_map(FaultKind::StoreCut),
        1 => Just(FaultKind::StoreDown),
        2 => (0..3_usize).prop_map(FaultKind::Pause),
        1 => (0..3_usize).prop_map(FaultKind::PeersCut),
        1 => (0..3_usize).prop_map(FaultKind::Kill),
    ];
    let fault = (0..60_000_u64, 500..20_000_u64, kind);
    let rates = prop::array::uniform4(990_000..=1_010_000_u32);
    (any::<u64>(), rates, 0..40_u32, prop::collection::vec(fault, 0..8))
        .prop_map(|(seed, rates, loss, faults)| History { seed, rates, loss, faults })
}

#[derive(Clone, Debug)]
enum Purpose {
    GrantLease(Duration),
    RenewLease(LeaseId, Duration),
    ReadGroup,
    Write(u64),
    ReadBack,
}

#[derive(Clone, Debug)]
enum Message {
    ToStore(Purpose, Option<StoreRequest>, bool),
    FromStore(Purpose, Result<StoreReply, ExchangeError>, StoredGroup),
    PromiseRequest { from: usize, start: u64, epoch: OwnerEpoch, sequence: u64 },
    PromiseGrant { from: PeerIdentity, epoch: OwnerEpoch, sequence: u64 },
}

struct Process {
    table: OwnershipTable,
    identity: PeerIdentity,
    next_renewal: Duration,
    next_promise_request: Duration,
    next_group_step: Duration,
    reading: bool,
    lease_requested: bool,
    release_at: Option<Duration>,
    /// Latest end of authority that the table has reported, on the clock of the process. The daemon
    /// may act until then.
    authority_until: Duration,
}

struct Simulation {
    history: History,
    guards: OwnershipGuards,
    rng: ChaCha8Rng,
    now: Duration,
    store: FakeStore,
    processes: Vec<Process>,
    killed: BTreeMap<PeerIdentity, Duration>,
    queue: BTreeMap<(Duration, u64), (usize, u64, Message)>,
    sent: u64,
    acquisitions: u64,
}

impl Simulation {
    fn new(history: History, guards: OwnershipGuards) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(history.seed);
        let mut simulation = Self {
            history,
            guards,
            rng,
            now: Duration::ZERO,
            store: FakeStore::default(),
            processes: Vec::new(),
            killed: BTreeMap::new(),
            queue: BTreeMap::new(),
            sent: 0,
            acquisitions: 0,
        };
        simulation.processes = (0..3).map(|index| simulation.new_process(index, 1)).collect();
        simulation
    }

    fn new_process(&self, index: usize, start: u64) -> Process {
        let identity = PeerIdentity { instance: format!("d{index}"), start };
        let table = OwnershipTable::new(identity.clone(), "dublin").with_guards(self.guards);
        Process {
            table,
            identity,
            next_renewal: Duration::ZERO,
            next_promise_request: Duration::ZERO,
            next_group_step: Duration::ZERO,
            reading: false,
            lease_requested: false,
            release_at: None,
            authority_until: Duration::ZERO,
        }
    }

    fn clock(&self, index: usize) -> Duration {
        // Clocks also differ by an offset, which must not affect the result.
        let offset = Duration::from_secs(100 * index as u64);
        offset + self.now.mul_f64(f64::from(self.history.rates[index]) / 1e6)
    }

    fn has_fault(&self, matches: impl Fn(FaultKind) -> bool) -> bool {
        let now = self.now.as_millis() as u64;
        let mut faults = self.history.faults.iter();
        faults.any(|(from, length, kind)| (*from..from + length).contains(&now) && matches(*kind))
    }

    fn run(mut self) -> Result<u64, String> {
        while self.now < HISTORY_LENGTH {
            self.now += TICK;
            let store_now = self.clock(3);
            self.store.expire(store_now);
            self.kill_processes();
            self.deliver_due();
            for index in 0..3 {
                if !self.has_fault(|kind| matches!(kind, FaultKind::Pause(at) if at == index)) {
                    self.step_process(index);
                }
            }
            let may_act =
                |index: &usize| self.clock(*index) < self.processes[*index].authority_until;
            let acting: Vec<_> = (0..3).filter(may_act).collect();
            if acting.len() > 1 {
                return Err(format!("processes {acting:?} may act at once at {:?}", self.now));
            }
        }
        Ok(self.acquisitions)
    }

    fn kill_processes(&mut self) {
        let (from, to) = ((self.now - TICK).as_millis() as u64, self.now.as_millis() as u64);
        for (at, _, kind) in self.history.faults.clone() {
            let FaultKind::Kill(index) = kind else { continue };
            if (from..to).contains(&at) {
                let identity = self.processes[index].identity.clone();
                self.processes[index] = self.new_process(index, identity.start + 1);
                self.killed.insert(identity, self.now);
            }
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (index, start, message) = entry.remove();
            let paused = self.has_fault(|kind| matches!(kind, FaultKind::Pause(at) if at == index));
            if let Message::ToStore(purpose, request, answered) = message {
                self.deliver_to_store(index, start, purpose, request, answered);
            } else if paused {
                self.enqueue(index, start, TICK, message);
            } else if self.processes[index].identity.start == start {
                self.deliver(index, message);
            }
        }
    }

    fn enqueue(&mut self, index: usize, start: u64, after: Duration, message: Message) {
        self.sent += 1;
        self.queue.insert((self.now + after, self.sent), (index, start, message));
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(1..150))
    }

    /// Sends a request to the store. The request or its answer may be lost or late; the process
    /// then observes only that the answer is lost.
    fn call_store(&mut self, index: usize, purpose: Purpose, request: Option<StoreRequest>) {
        let start = self.processes[index].identity.start;
        let cut = |kind| matches!(kind, FaultKind::StoreCut(at) if at == index);
        let cut = self.has_fault(|kind| cut(kind) || matches!(kind, FaultKind::StoreDown));
        let answered = !cut && self.rng.random_range(0..100) >= self.history.loss;
        let arrives = answered || self.rng.random_range(0..3) > 0;
        let mut after = self.delay();
        if cut || (!answered && self.rng.random_range(0..2) == 0) {
            after += Duration::from_millis(self.rng.random_range(0..12_000));
        }
        if arrives {
            self.enqueue(index, start, after, Message::ToStore(purpose.clone(), request, answered));
        }
        if !answered {
            let lost =
                Message::FromStore(purpose, Err(ExchangeError::Lost), StoredGroup::default());
            self.enqueue(index, start, STORE_TIMEOUT, lost);
        }
    }

    fn deliver_to_store(
        &mut self,
        index: usize,
        start: u64,
        purpose: Purpose,
        request: Option<StoreRequest>,
        answered: bool,
    ) {
        let now = self.clock(3);
        let result = match &request {
            Some(request) => self.store.apply(now, request),
            None => Ok(StoreReply::Revoked),
        };
        let epoch = self.store.read(&epoch_key("dublin", GROUP));
        let parse = |value: StoreValue| String::from_utf8_lossy(&value.value).parse().ok();
        let stored = StoredGroup {
            value: self.store.read(&group_key("dublin", GROUP)),
            lease_key_exists: self.store.read(&owner_lease_key("dublin", GROUP)).is_some(),
            epoch: epoch.and_then(parse).unwrap_or(0),
        };
        if answered {
            let after = self.delay();
            self.enqueue(index, start, after, Message::FromStore(purpose, result, stored));
        }
    }

    fn deliver(&mut self, index: usize, message: Message) {
        let now = self.clock(index);
        let process = &mut self.processes[index];
        match message {
            Message::ToStore(..) => {}
            Message::PromiseRequest { from, start, epoch, sequence } => {
                process.table.record_epoch(GROUP, epoch);
                if process.table.on_promise_request(GROUP, epoch, now) {
                    let grant =
                        Message::PromiseGrant { from: process.identity.clone(), epoch, sequence };
                    self.send_datagram(index, from, start, grant);
                }
            }
            Message::PromiseGrant { from, epoch, sequence } => {
                process.table.on_promise_grant(GROUP, &from, epoch, sequence, now);
            }
            Message::FromStore(purpose, result, stored) => match purpose {
                Purpose::GrantLease(sent) => {
                    process.lease_requested = false;
                    if let Ok(StoreReply::Granted { lease }) = result {
                        process.table.on_lease_granted(lease, sent, now);
                    }
                }
                Purpose::RenewLease(lease, sent) => {
                    if let Ok(StoreReply::Renewed { alive }) = result {
                        process.table.on_lease_renewed(lease, alive, sent, now);
                    }
                }
                Purpose::ReadGroup => {
                    process.reading = false;
                    if result.is_ok() {
                        self.claim(index, &stored);
                    }
                }
                Purpose::Write(number) => {
                    let outcome = process.table.on_write_ended(GROUP, number, &result);
                    self.handle_outcome(index, outcome);
                }
                Purpose::ReadBack => {
                    process.reading = false;
                    if result.is_ok() {
                        let outcome = process.table.on_read_back(GROUP, stored.value.as_ref());
                        self.handle_outcome(index, outcome);
                    }
                }
            },
        }
    }

    fn handle_outcome(&mut self, index: usize, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Acquired { .. } => self.acquisitions += 1,
            WriteOutcome::Resend(write) => self.write(index, Some(write)),
            WriteOutcome::Released { .. } => self.processes[index].release_at = None,
            _ => {}
        }
    }

    fn claim(&mut self, index: usize, stored: &StoredGroup) {
        let now = self.clock(index);
        let listed_as_ended = |peer: &PeerIdentity| {
            self.killed.get(peer).is_some_and(|killed| self.now >= *killed + LISTED_ENDED_AFTER)
        };
        if self.processes[index].table.may_claim(GROUP, stored, listed_as_ended, now) {
            let electorate = self.random_peers(index);
            let write = self.processes[index].table.begin_claim(GROUP, stored, electorate);
            self.write(index, write);
        }
    }

    fn write(&mut self, index: usize, write: Option<NumberedWrite>) {
        let Some(NumberedWrite { number, request }) = write else { return };
        self.call_store(index, Purpose::Write(number), Some(request));
    }

    fn random_peers(&mut self, index: usize) -> Vec<PeerIdentity> {
        let mut peers = Vec::new();
        for (other, process) in self.processes.iter().enumerate() {
            if other != index && self.rng.random_range(0..5) > 0 {
                peers.push(process.identity.clone());
            }
        }
        peers
    }

    fn send_datagram(&mut self, from: usize, to: usize, start: u64, message: Message) {
        let cut = |kind| matches!(kind, FaultKind::PeersCut(at) if at == from || at == to);
        if self.has_fault(cut) || self.rng.random_range(0..100) < self.history.loss / 2 {
            return;
        }
        for _ in 0..self.rng.random_range(1..3) {
            let mut after = self.delay();
            if self.rng.random_range(0..10) == 0 {
                after += Duration::from_millis(self.rng.random_range(0..5_000));
            }
            self.enqueue(to, start, after, message.clone());
        }
    }

    fn step_process(&mut self, index: usize) {
        let now = self.clock(index);
        if now >= self.processes[index].next_renewal {
            self.processes[index].next_renewal = now + Duration::from_secs(1);
            self.renew(index, now);
        }
        if now >= self.processes[index].next_promise_request {
            self.processes[index].next_promise_request = now + Duration::from_millis(500);
            self.request_promises(index, now);
        }
        if now >= self.processes[index].next_group_step {
            self.processes[index].next_group_step = now + Duration::from_millis(400);
            self.step_group(index, now);
        }
        let process = &mut self.processes[index];
        if let Some(until) = process.table.authority_until(GROUP, now) {
            process.authority_until = process.authority_until.max(until);
        }
    }

    fn renew(&mut self, index: usize, now: Duration) {
        let process = &mut self.processes[index];
        if let Some(lease) = process.table.lease() {
            let request = StoreRequest::RenewLease { lease };
            self.call_store(index, Purpose::RenewLease(lease, now), Some(request));
        } else if !std::mem::replace(&mut process.lease_requested, true) {
            let request = StoreRequest::GrantLease { ttl_seconds: 4 };
            self.call_store(index, Purpose::GrantLease(now), Some(request));
        }
    }

    fn request_promises(&mut self, index: usize, now: Duration) {
        let start = self.processes[index].identity.start;
        let Some((epoch, sequence)) = self.processes[index].table.begin_promise_request(GROUP, now)
        else {
            return;
        };
        for other in (0..3).filter(|other| *other != index) {
            let to_start = self.processes[other].identity.start;
            let request = Message::PromiseRequest { from: index, start, epoch, sequence };
            self.send_datagram(index, other, to_start, request);
        }
    }

    fn step_group(&mut self, index: usize, now: Duration) {
        let roll = self.rng.random_range(0..100);
        let process = &mut self.processes[index];
        if process.table.needs_read_back(GROUP) {
            if !std::mem::replace(&mut process.reading, true) {
                self.call_store(index, Purpose::ReadBack, None);
            }
        } else if process.table.is_writing(GROUP) {
        } else if process.table.epoch(GROUP).is_none() {
            process.release_at = None;
            if !std::mem::replace(&mut process.reading, true) {
                self.call_store(index, Purpose::ReadGroup, None);
            }
        } else if let Some(release_at) = process.release_at {
            if now >= release_at {
                let write = process.table.begin_release(GROUP);
                self.write(index, write);
            }
        } else if roll < 2 {
            let release_at = now + cuminbank::ownership::AUTHORITY_HORIZON;
            process.table.end_authority_at(GROUP, release_at);
            process.release_at = Some(release_at);
        } else if roll < 25 || process.table.needs_binding(GROUP) {
            let electorate = self.random_peers(index);
            let write = self.processes[index].table.begin_update(GROUP, electorate, now);
            self.write(index, write);
        }
    }
}

/// Returns the number of histories for each check; `PROPTEST_CASES` overrides it for longer runs.
fn case_count() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(400)
}

/// Simulates random histories and returns the first violation found.
fn find_violation(guards: OwnershipGuards) -> Option<String> {
    let config = Config { cases: case_count(), failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let found = runner.run(&histories(), |history| {
        Simulation::new(history, guards).run().map(|_| ()).map_err(TestCaseError::fail)
    });
    found.err().map(|error| error.to_string())
}

/// Guards against two processes that act for the same group at once (invariants I1 and I2).
#[test]
fn no_two_processes_may_act_at_the_same_time() {
    assert_eq!(find_violation(OwnershipGuards::default()), None);
}

/// Guards against a check that passes only because no process ever acquires the group.
#[test]
fn history_without_faults_has_acquisitions_and_releases() {
    let history = History { seed: 1, rates: [1_000_000; 4], loss: 0, faults: Vec::new() };
    let acquisitions = Simulation::new(history, OwnershipGuards::default()).run();
    assert!(acquisitions.as_ref().is_ok_and(|count| *count >= 2), "{acquisitions:?}");
}

/// Shows that the check finds a violation when electors claim despite their promises.
#[test]
fn check_fails_when_electors_ignore_their_promises() {
    let guards = OwnershipGuards { promises_enforced: false, ..OwnershipGuards::default() };
    assert!(find_violation(guards).is_some());
}

/// Shows that the check finds a violation when claims do not compare the lease key of the owner.
#[test]
fn check_fails_when_claims_ignore_the_lease_key() {
    let guards = OwnershipGuards { lease_key_checked: false, ..OwnershipGuards::default() };
    assert!(find_violation(guards).is_some());
}

/// Shows that the check finds a violation when the terms of leases and promises start at the
/// answer.
#[test]
fn check_fails_when_terms_start_at_the_answer() {
    let guards = OwnershipGuards { terms_start_at_send: false, ..OwnershipGuards::default() };
    assert!(find_violation(guards).is_some());
}

/// Guards against an elector that makes a promise while a lost copy of its own claim can still take
/// effect. The second run shows that the promise is made without the rule.
#[test]
fn elector_with_an_undecided_claim_makes_no_promise() {
    for undecided_claims_block_promises in [true, false] {
        let guards =
            OwnershipGuards { undecided_claims_block_promises, ..OwnershipGuards::default() };
        let elector = PeerIdentity { instance: "d1".to_owned(), start: 1 };
        let mut table = OwnershipTable::new(elector, "dublin").with_guards(guards);
        let mut store = FakeStore::default();
        let grant = StoreRequest::GrantLease { ttl_seconds: 60 };
        let Ok(StoreReply::Granted { lease }) = store.apply(Duration::ZERO, &grant) else {
            panic!("the fake store did not grant a lease");
        };
        table.on_lease_granted(lease, Duration::ZERO, Duration::ZERO);
        let stored = StoredGroup::default();
        assert!(table.may_claim(GROUP, &stored, |_| false, Duration::ZERO));
        let claim =
            table.begin_claim(GROUP, &stored, Vec::new()).expect("the instance has a lease");
        let lost = Err(ExchangeError::Lost);
        assert_eq!(table.on_write_ended(GROUP, claim.number, &lost), WriteOutcome::Unknown);
        // The record is unchanged, so the lost copy may still take effect.
        assert!(matches!(table.on_read_back(GROUP, None), WriteOutcome::Resend(_)));
        let promised = table.on_promise_request(GROUP, 5, Duration::from_secs(1));
        let late = store.apply(Duration::from_secs(2), &claim.request);
        assert!(matches!(late, Ok(StoreReply::Txn { succeeded: true, .. })));
        assert_eq!(promised, !undecided_claims_block_promises);
    }
}

/// Guards against an elector without a promise that is added while the owner has no valid lease. It
/// could take over before the authority that was already reported ends. The random histories do not
/// reach this case.
#[test]
fn elector_is_added_only_with_a_valid_lease_or_its_promise() {
    let owner = PeerIdentity { instance: "d0".to_owned(), start: 1 };
    let elector = PeerIdentity { instance: "d1".to_owned(), start: 1 };
    let mut table = OwnershipTable::new(owner, "dublin");
    table.on_lease_granted(7, Duration::ZERO, Duration::ZERO);
    let claim = table
        .begin_claim(GROUP, &StoredGroup::default(), Vec::new())
        .expect("the instance has a lease");
    let reply = Ok(StoreReply::Txn { revision: 1, succeeded: true, values: Vec::new() });
    table.on_write_ended(GROUP, claim.number, &reply);
    let late = Duration::from_secs(3);
    assert!(
        table.authority_until(GROUP, late).is_some(),
        "without electors the authority does not end"
    );
    assert_eq!(table.begin_update(GROUP, vec![elector.clone()], late), None);
    let (epoch, sequence) =
        table.begin_promise_request(GROUP, late).expect("the instance owns the group");
    table.on_promise_grant(GROUP, &elector, epoch, sequence, late);
    assert!(table.begin_update(GROUP, vec![elector], late).is_some());
}
