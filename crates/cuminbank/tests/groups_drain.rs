//! Planned stops and handovers of groups.

mod groups_support;

use std::time::Duration;

use cuminbank::{
    effect::{CallOutcome, EntryEffect},
    event::{CallRequest, EntryEvent, StateQuery},
    ids::{ReplyId, RequestTicket},
    message::{PeerReply, TicketHandover},
    profile::WorkProfile,
    reducer::{
        calls::CallPart,
        config::ConfigPart,
        groups::{GroupChange, GroupPart},
        records::RecordPart,
        step::StepContext,
    },
    store::PROFILE_PREFIX,
};

use self::groups_support::{settings, FakeStore, GroupSimulation};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn total(simulation: &mut GroupSimulation) -> usize {
    (0..simulation.nodes.len()).map(|node| simulation.owned(node).len()).sum()
}

/// Guards against a planned stop that leaves its groups unowned until the lease expires, or that is
/// slow to report the instance as not ready.
#[test]
fn planned_stop_hands_all_groups_over() {
    let mut simulation = GroupSimulation::new(2);
    simulation.run(seconds(12));
    let began = simulation.now;
    simulation.deliver(0, EntryEvent::DrainRequested);
    assert_eq!(simulation.query(0, StateQuery::Ready).0, 503);
    simulation.run(Duration::from_millis(1_900));
    assert_eq!(
        simulation.owned(0).len(),
        2,
        "the groups are kept for 2 s, until the load balancer sees the failed readiness check"
    );
    assert!(simulation.run_until(seconds(2), |simulation| simulation.owned(1).len() == 4));
    assert!(simulation.run_until(seconds(2), |simulation| simulation.nodes[0].exited.is_some()));
    assert!(simulation.now - began < seconds(4), "the stop took {:?}", simulation.now - began);
    assert!(simulation.logged(0, 402) && simulation.logged(0, 103) && !simulation.logged(0, 403));
}

/// Guards against a planned stop that releases its groups while the store is down. The instance
/// must serve until the time limit of the stop.
#[test]
fn planned_stop_without_the_store_serves_until_its_time_limit() {
    let mut simulation = GroupSimulation::new(2);
    simulation.run(seconds(12));
    for node in 0..2 {
        simulation.nodes[node].store_up = false;
    }
    simulation.run(seconds(8));
    let began = simulation.now;
    simulation.deliver(0, EntryEvent::DrainRequested);
    simulation.run(Duration::from_millis(11_900));
    assert_eq!(total(&mut simulation), 4);
    simulation.run(seconds(1));
    let exited = simulation.nodes[0].exited.expect("the instance exits within 12 s");
    assert!(exited - began <= Duration::from_millis(12_020));
}

/// Guards against a planned stop that hangs when the response to a release is lost.
#[test]
fn release_with_a_lost_answer_is_found_by_a_read() {
    let mut simulation = GroupSimulation::new(2);
    simulation.run(seconds(12));
    simulation.deliver(0, EntryEvent::DrainRequested);
    simulation.lost_answers = 2;
    simulation.run(seconds(8));
    assert!(simulation.nodes[0].exited.is_some());
    assert_eq!(simulation.owned(1).len(), 4);
}

/// Guards against groups that stay unowned after the last instance of a zone stopped and a new one
/// started.
#[test]
fn released_groups_are_claimed_by_a_new_instance() {
    let mut simulation = GroupSimulation::new(1);
    simulation.run(seconds(3));
    simulation.deliver(0, EntryEvent::DrainRequested);
    simulation.run(seconds(4));
    assert!(simulation.nodes[0].exited.is_some());
    simulation.restart(0, 50);
    simulation.run(seconds(5));
    assert_eq!(simulation.owned(0).len(), 4);
}

/// Has an instance issue tickets until one belongs to a group that it owns.
fn own_ticket(simulation: &mut GroupSimulation, node: usize) -> RequestTicket {
    let owned = simulation.owned(node);
    (0..100)
        .find_map(|reply: ReplyId| {
            simulation.deliver(node, EntryEvent::TicketsRequested { reply, count: 1 });
            simulation.run(Duration::from_millis(20));
            let body = simulation.take_answer(reply)?.body;
            let issued: serde_json::Value = serde_json::from_slice(&body).ok()?;
            let ticket: RequestTicket = issued["tickets"][0].as_str()?.parse().ok()?;
            owned.contains(&u64::from(ticket.group)).then_some(ticket)
        })
        .expect("the instance issues tickets of its groups")
}

/// Guards against ticket states that are copied before the end of the term refuses the queued
/// calls: the next owner answers a repeated request "unknown" although its caller was told "not
/// run".
#[test]
fn refusals_at_the_end_of_the_term_are_handed_over() {
    let mut simulation = GroupSimulation::new(2);
    let profile = r#"{"name":"rush","kind":"urgent","deadline_ms":10000}"#;
    simulation.store.put(&format!("{PROFILE_PREFIX}rush"), profile);
    simulation.run(seconds(12));
    let call = CallRequest {
        profile: "rush".to_owned(),
        customer: "griddle".to_owned(),
        class: "plan".to_owned(),
        ticket: Some(own_ticket(&mut simulation, 0)),
        body: bytes::Bytes::from_static(b"{}"),
    };
    simulation.deliver(0, EntryEvent::CallArrived { reply: 1_000, call: call.clone() });
    assert_eq!(simulation.take_answer(1_000), None, "without executors the call is queued");
    simulation.deliver(0, EntryEvent::DrainRequested);
    assert!(simulation.run_until(seconds(6), |simulation| simulation.owned(1).len() == 4));
    let first = simulation.take_answer(1_000).expect("the end of the term ends the queued call");
    assert_eq!(first.outcome, CallOutcome::NotRun);
    simulation.deliver(1, EntryEvent::CallArrived { reply: 1_001, call });
    assert_eq!(simulation.take_answer(1_001), Some(first));
}

fn rush_profile() -> WorkProfile {
    let text = br#"{"name":"rush","kind":"urgent","deadline_ms":500}"#;
    WorkProfile::from_json(text).expect("the profile is valid")
}

/// The group part of one instance and a store, for tests of the changes that it reports.
struct PartFixture {
    part: GroupPart,
    step: StepContext,
    store: FakeStore,
    config: ConfigPart,
    now: Duration,
}

impl PartFixture {
    fn new() -> Self {
        let settings = settings("d0", 7_000, &[7_000]);
        Self {
            part: GroupPart::new(&settings, 1),
            config: ConfigPart::new(&settings).with_profile(rush_profile()),
            step: StepContext::new(settings, 1),
            store: FakeStore::default(),
            now: Duration::ZERO,
        }
    }

    fn run(&mut self, time: Duration) -> Vec<GroupChange> {
        let end = self.now + time;
        let settings = self.step.settings.clone();
        let (calls, mut records) = (CallPart::new(&settings), RecordPart::new(&settings, 1));
        while self.now < end {
            self.now += Duration::from_millis(20);
            self.step.begin(self.now);
            self.part.on_tick(&mut self.step, &self.config, &calls, &mut records);
            for effect in self.step.take_effects() {
                let EntryEffect::CallStore { exchange, request, .. } = effect else { continue };
                let result = self.store.apply(self.now, &request);
                self.part.on_store_ended(&mut self.step, exchange, result);
            }
        }
        self.part.take_changes()
    }

    fn hand_over(&mut self, epoch: u64) -> Option<EntryEffect> {
        let ticket = RequestTicket { zone: "dublin".to_owned(), group: 0, epoch, sequence: 3 };
        let tickets = vec![TicketHandover { ticket, answer: None, age_ms: 10 }];
        self.part.on_hand_over(&mut self.step, 9, 0, epoch, 4, tickets);
        self.step.take_effects().pop()
    }

    fn release(&mut self, group: u16, epoch: u64) {
        let record = serde_json::json!({
            "owner": null, "epoch": epoch, "electorate": [], "operation": "d1-1-9",
        });
        let key = cuminbank::store::group_key("dublin", group);
        self.store.put(&key, &record.to_string());
        let key = cuminbank::store::epoch_key("dublin", group);
        self.store.put(&key, &epoch.to_string());
    }
}

fn acquired(changes: &[GroupChange], wanted: u16) -> Option<(u64, Duration, Option<u64>)> {
    changes.iter().find_map(|change| match change {
        GroupChange::Acquired { group, epoch, probe_from, handover } if *group == wanted => {
            Some((*epoch, *probe_from, handover.as_ref().map(|(epoch, ..)| *epoch)))
        }
        _ => None,
    })
}

/// Guards against ticket states lost in a handover, and against probes sent before the bytes of the
/// last owner have arrived.
#[test]
fn ticket_states_are_handed_over_with_the_group() {
    let mut fixture = PartFixture::new();
    fixture.release(0, 7);
    let answer = fixture.hand_over(7);
    assert!(matches!(answer, Some(EntryEffect::AnswerPeer { answer: PeerReply::HandedOver, .. })));
    let changes = fixture.run(Duration::from_millis(100));
    let (epoch, probe_from, handover) =
        acquired(&changes, 0).expect("the handed over group is claimed");
    assert_eq!((epoch, handover), (8, Some(7)));
    assert!(probe_from >= seconds(1));
    let (epoch, probe_from, _) = acquired(&changes, 1).expect("a never owned group is claimed");
    assert_eq!(epoch, 1);
    assert!(probe_from < seconds(1), "a group without an earlier owner has nothing in transit");
}

/// Guards against using ticket states of a term that was not the last one before the takeover.
#[test]
fn states_of_an_older_term_are_dropped() {
    let mut fixture = PartFixture::new();
    fixture.release(0, 8);
    fixture.hand_over(7);
    let (epoch, _, handover) = acquired(&fixture.run(seconds(5)), 0).expect("the group is claimed");
    assert_eq!((epoch, handover), (9, None));
}

/// Guards against an owner that continues after a peer announced a later term.
#[test]
fn later_term_in_a_heartbeat_ends_the_own_term() {
    let mut fixture = PartFixture::new();
    fixture.run(seconds(1));
    assert_eq!(fixture.part.owned(fixture.now), [0, 1, 2, 3]);
    let from = cuminbank::message::PeerIdentity { instance: "d1".to_owned(), start: 5 };
    let heartbeat = cuminbank::message::PeerHeartbeat {
        from,
        zone: "dublin".to_owned(),
        address: "127.0.0.1:7001".parse().expect("the address is valid"),
        groups: vec![(2, 2, 40)],
        config_revision: 0,
        config_checksum: 0,
        draining: false,
    };
    let address = heartbeat.address;
    let datagram = cuminbank::message::PeerDatagram::Heartbeat(heartbeat);
    fixture.part.on_datagram(&mut fixture.step, &fixture.config, address, datagram);
    assert_eq!(fixture.part.owned(fixture.now), [0, 1, 3]);
    assert_eq!(fixture.part.take_changes(), [GroupChange::Lost { group: 2 }]);
    let owner = fixture.part.owner_of("dublin", 2, fixture.now);
    assert_eq!(owner, Some((address, Duration::from_millis(40))));
}
