//! Fixture that runs the call part alone; the test sets ownership, targets and profiles.

#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use cuminbank::{
    effect::{CallOutcome, CallerAnswer, EntryEffect},
    event::{CallRequest, ExchangeError, ExecutorAnswer, ListedRole},
    ids::{ExchangeId, GroupIndex, MonotonicTime, OwnerEpoch, ReplyId, RequestTicket, ZoneName},
    membership::{TargetEntry, TargetState},
    message::{PeerHeartbeat, PeerIdentity, PeerReply, PeerRequest, TicketHandover},
    profile::WorkProfile,
    reducer::{
        calls::CallPart,
        config::ConfigPart,
        groups::{GroupChange, GroupPart},
        records::RecordPart,
        step::StepContext,
        tasks::TaskPart,
        CallView,
    },
    settings::{EntrySettings, PlacementPolicy},
};

pub const TICK: Duration = Duration::from_millis(20);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn executor(name: &str, group: GroupIndex, slots: u32) -> TargetEntry {
    let port = 1_000 + crc32fast::hash(name.as_bytes()) % 60_000;
    TargetEntry {
        name: name.to_owned(),
        role: ListedRole::Executor { slots, connections: 60 },
        address: ([10, 0, 0, 1], port as u16).into(),
        rack: "r1".to_owned(),
        machine: format!("machine-{name}"),
        group,
        state: TargetState::Live,
    }
}

pub fn profile(name: &str, fields: &str) -> WorkProfile {
    let text = format!(r#"{{"name":"{name}","kind":"urgent","deadline_ms":2000{fields}}}"#);
    WorkProfile::from_json(text.as_bytes()).expect("the profile is valid")
}

/// Returns a call without a ticket. Its profile "plan" is idempotent.
pub fn plan(class: &str) -> CallRequest {
    CallRequest {
        profile: "plan".to_owned(),
        customer: "griddle".to_owned(),
        class: class.to_owned(),
        ticket: None,
        body: Bytes::from_static(b"{}"),
    }
}

/// Returns a call of the profile "book", which is not idempotent.
pub fn book(ticket: Option<RequestTicket>) -> CallRequest {
    CallRequest { profile: "book".to_owned(), ticket, ..plan("book") }
}

/// Group ownership and targets as set by a test.
#[derive(Clone, Debug, Default)]
pub struct FixedGroups {
    /// Epoch and end of the authority of each group that the instance owns.
    pub owned: BTreeMap<GroupIndex, (OwnerEpoch, MonotonicTime)>,
    /// Address and expected wait of the peer that owns a group.
    pub owners: BTreeMap<(ZoneName, GroupIndex), (SocketAddr, Duration)>,
    /// Targets of the zone.
    pub targets: Vec<TargetEntry>,
}

impl FixedGroups {
    fn part(&self, settings: &EntrySettings, now: Duration) -> GroupPart {
        let mut part = GroupPart::new(settings, 1);
        for (group, (epoch, until)) in &self.owned {
            part = part.with_group(*group, *epoch, *until);
        }
        for ((zone, group), (address, wait)) in &self.owners {
            part = part.with_heartbeat(heartbeat(zone, *group, *address, *wait), now);
        }
        self.targets.iter().cloned().fold(part, GroupPart::with_target_entry)
    }
}

fn heartbeat(zone: &str, group: GroupIndex, address: SocketAddr, wait: Duration) -> PeerHeartbeat {
    PeerHeartbeat {
        from: PeerIdentity { instance: format!("peer-{zone}-{group}"), start: 1 },
        zone: zone.to_owned(),
        address,
        groups: vec![(group, 1, wait.as_millis() as u32)],
        config_revision: 0,
        config_checksum: 0,
        draining: false,
    }
}

pub struct CallFixture {
    pub now: Duration,
    pub step: StepContext,
    pub calls: CallPart,
    pub records: RecordPart,
    pub fixed: FixedGroups,
    pub config: ConfigPart,
    settings: EntrySettings,
    tasks: TaskPart,
    probes: Vec<(ExchangeId, SocketAddr)>,
}

impl CallFixture {
    pub fn new(policy: PlacementPolicy) -> Self {
        let text = br#"{"instance":"d1","zone":"dublin","http_address":"127.0.0.1:8080",
            "peer_address":"127.0.0.1:8081","store_addresses":["127.0.0.1:2379"],
            "list_address":"127.0.0.1:8500"}"#;
        let mut settings = EntrySettings::from_json(text).expect("the settings are valid");
        settings.policy = policy;
        settings.long_slots = 2;
        let batch =
            WorkProfile::from_json(br#"{"name":"orders","kind":"batch","deadline_ms":60000}"#)
                .expect("the profile is valid");
        let profiles = vec![
            profile("plan", r#","idempotent":true,"max_run_ms":10000,"weights":{"big":3}"#),
            profile("book", r#","max_body_bytes":64,"confirms_slot":true"#),
            batch,
        ];
        Self {
            now: Duration::from_secs(1),
            step: StepContext::new(settings.clone(), 7),
            calls: CallPart::new(&settings),
            records: RecordPart::new(&settings, 1),
            fixed: FixedGroups::default(),
            config: profiles.into_iter().fold(ConfigPart::new(&settings), ConfigPart::with_profile),
            tasks: TaskPart::new(&settings),
            probes: Vec::new(),
            settings,
        }
    }

    /// Creates a fixture that owns group 0 with these executors and slots, all probed and idle.
    pub fn with_executors(policy: PlacementPolicy, executors: &[(&str, u32)]) -> Self {
        let mut fixture = Self::new(policy);
        fixture.fixed.targets =
            executors.iter().map(|&(name, slots)| executor(name, 0, slots)).collect();
        fixture.take_group(0, 1, Duration::ZERO, None);
        fixture.run_for(TICK);
        fixture.answer_probes(&[]);
        fixture
    }

    /// Runs `action` on the call part with the fixture's view of the other parts.
    pub fn apply<R>(
        &mut self,
        action: impl FnOnce(&mut CallPart, &mut StepContext, CallView<'_>, &mut RecordPart) -> R,
    ) -> R {
        let groups = self.fixed.part(&self.settings, self.now);
        let view = CallView { groups: &groups, config: &self.config, tasks: &self.tasks };
        self.step.begin(self.now);
        action(&mut self.calls, &mut self.step, view, &mut self.records)
    }

    /// Returns the effects since the last call except metrics, log events and probes. The probes
    /// are kept for `take_probes` and `answer_probes`.
    pub fn effects(&mut self) -> Vec<EntryEffect> {
        let mut effects = self.step.take_effects();
        effects.retain(|effect| match effect {
            EntryEffect::Probe { exchange, address, .. } => {
                self.probes.push((*exchange, *address));
                false
            }
            EntryEffect::Metric(_) | EntryEffect::Log(_) => false,
            _ => true,
        });
        effects
    }

    pub fn take_group(
        &mut self,
        group: GroupIndex,
        epoch: OwnerEpoch,
        probe_from: Duration,
        handover: Option<(OwnerEpoch, u64, Vec<TicketHandover>)>,
    ) {
        self.fixed.owned.insert(group, (epoch, Duration::from_secs(100_000)));
        self.change(&GroupChange::Acquired { group, epoch, probe_from, handover });
    }

    pub fn change(&mut self, change: &GroupChange) {
        self.apply(|calls, step, view, records| {
            calls.on_group_change(step, view, records, change);
        });
    }

    pub fn set_state(&mut self, name: &str, state: TargetState) {
        for target in self.fixed.targets.iter_mut().filter(|target| target.name == name) {
            target.state = state;
        }
        self.change(&GroupChange::TargetChanged { name: name.to_owned() });
    }

    /// Advances the time in ticks and returns the effects.
    pub fn run_for(&mut self, time: Duration) -> Vec<EntryEffect> {
        let end = self.now + time;
        let mut effects = Vec::new();
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            self.apply(|calls, step, view, records| calls.on_tick(step, view, records));
            effects.extend(self.effects());
        }
        effects
    }

    pub fn call(&mut self, reply: ReplyId, call: CallRequest) -> Vec<EntryEffect> {
        self.apply(|calls, step, view, records| calls.on_call(step, view, records, reply, call));
        self.effects()
    }

    pub fn end_dispatch(
        &mut self,
        exchange: ExchangeId,
        result: Result<ExecutorAnswer, ExchangeError>,
    ) -> Vec<EntryEffect> {
        self.apply(|calls, step, view, records| {
            calls.on_dispatch_ended(step, view, records, exchange, result);
        });
        self.effects()
    }

    pub fn end_peer(
        &mut self,
        exchange: ExchangeId,
        result: Result<PeerReply, ExchangeError>,
    ) -> Vec<EntryEffect> {
        self.apply(|calls, step, _, records| calls.on_peer_ended(step, records, exchange, result));
        self.effects()
    }

    /// Returns the probes sent since the last call. Fails if other effects would be dropped.
    pub fn take_probes(&mut self) -> Vec<(ExchangeId, SocketAddr)> {
        let effects = self.effects();
        assert!(effects.is_empty(), "effects would be lost: {effects:?}");
        std::mem::take(&mut self.probes)
    }

    pub fn end_probe(
        &mut self,
        exchange: ExchangeId,
        result: Result<Vec<String>, ExchangeError>,
    ) -> Vec<EntryEffect> {
        self.apply(|calls, step, view, records| {
            calls.on_probe_ended(step, view, records, exchange, result);
        });
        self.effects()
    }

    /// Answers each kept probe with `running` as the ids of the running calls, and returns the
    /// effects.
    pub fn answer_probes(&mut self, running: &[&str]) -> Vec<EntryEffect> {
        let ids: Vec<String> = running.iter().map(|id| (*id).to_owned()).collect();
        let probes = std::mem::take(&mut self.probes);
        let ended = probes.into_iter().map(|(probe, _)| self.end_probe(probe, Ok(ids.clone())));
        ended.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    pub fn tickets(&mut self, count: u32) -> Vec<RequestTicket> {
        self.apply(|calls, step, view, _| calls.on_tickets_requested(step, view, 0, count));
        let answers = answers(&self.effects());
        let body = String::from_utf8_lossy(&answers[&0].body).into_owned();
        let body = body.trim_start_matches(r#"{"tickets":["#).trim_end_matches("]}").to_owned();
        let texts = body.split(',').map(|text| text.trim_matches('"'));
        texts.map(|text| text.parse().expect("the answer lists tickets")).collect()
    }
}

pub fn done(status: u16) -> Result<ExecutorAnswer, ExchangeError> {
    done_after(status, ms(10))
}

pub fn done_after(status: u16, elapsed: Duration) -> Result<ExecutorAnswer, ExchangeError> {
    Ok(ExecutorAnswer { status, body: Bytes::from_static(b"answer"), elapsed })
}

/// Fields of a dispatch effect.
#[derive(Clone, Debug)]
pub struct SentDispatch {
    pub exchange: ExchangeId,
    pub address: SocketAddr,
    pub call_id: String,
    pub body: Bytes,
}

pub fn dispatches(effects: &[EntryEffect]) -> Vec<SentDispatch> {
    let sent = effects.iter().filter_map(|effect| match effect {
        EntryEffect::Dispatch { exchange, address, call_id, body, .. } => Some(SentDispatch {
            exchange: *exchange,
            address: *address,
            call_id: call_id.clone(),
            body: body.clone(),
        }),
        _ => None,
    });
    sent.collect()
}

pub fn answers(effects: &[EntryEffect]) -> BTreeMap<ReplyId, CallerAnswer> {
    let mut answers = BTreeMap::new();
    for effect in effects {
        if let EntryEffect::Answer { reply, answer } = effect {
            let earlier = answers.insert(*reply, answer.clone());
            assert!(earlier.is_none(), "reply {reply} was answered twice");
        }
    }
    answers
}

/// Returns outcome and status of the answer; there must be exactly one.
pub fn outcome(effects: &[EntryEffect]) -> (CallOutcome, u16) {
    let answers = answers(effects);
    assert_eq!(answers.len(), 1, "one answer expected: {effects:?}");
    answers.values().next().map(|answer| (answer.outcome, answer.status)).expect("one answer")
}

pub fn forwarded(effects: &[EntryEffect]) -> Vec<(ExchangeId, SocketAddr, PeerRequest)> {
    let forwarded = effects.iter().filter_map(|effect| match effect {
        EntryEffect::CallPeer { exchange, to, request, .. } => {
            Some((*exchange, *to, request.clone()))
        }
        _ => None,
    });
    forwarded.collect()
}
