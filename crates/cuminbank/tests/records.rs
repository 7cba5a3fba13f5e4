//! Tests that the counters of day records are consistent, and that store faults neither lose
//! records nor cause calls to be counted twice.

mod records_support;

use std::time::{Duration, SystemTime};

use cuminbank::{
    effect::{CallOutcome, EntryEffect},
    event::EntryEvent,
    histogram::{TimeHistogram, COARSE_DIGITS, FINE_DIGITS},
    ids::ExchangeId,
    message::{PeerDatagram, PeerHeartbeat, PeerIdentity},
    record::{
        day_end, day_minute, day_name, day_prefix, day_start, CallCounters, CounterKey, DayRecord,
        StoredRecord, MAX_COUNTER_KEYS, OTHER_CUSTOMER,
    },
    reducer::{
        groups::GroupPart,
        records::{CallSample, RecordPart, TaskEvent},
        step::StepContext,
        EntryReducer,
    },
    settings::EntrySettings,
    store::{StoreRequest, StoreWrite},
};
use proptest::prelude::*;
use records_support::{FakeStore, StoreMode};

const DAY: &str = "2026-12-04";

#[derive(Debug)]
struct RecordFixture {
    part: RecordPart,
    step: StepContext,
    groups: GroupPart,
    store: FakeStore,
    start_wall: SystemTime,
    now: Duration,
    exits: usize,
}

impl RecordFixture {
    fn new(start_wall: SystemTime) -> Self {
        let settings = settings();
        let mut fixture = Self {
            part: RecordPart::new(&settings, 7),
            groups: GroupPart::new(&settings, 7),
            step: StepContext::new(settings, 7),
            store: FakeStore::new(),
            start_wall,
            now: Duration::ZERO,
            exits: 0,
        };
        fixture.run(Duration::ZERO);
        fixture
    }

    /// Advances the time in ticks of 100 ms.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            self.step.begin(self.now);
            self.step.set_wall(self.start_wall + self.now);
            self.part.on_tick(&mut self.step, &self.groups);
            self.apply_effects();
            if self.now >= end {
                return;
            }
            self.now += Duration::from_millis(100);
        }
    }

    fn apply_effects(&mut self) {
        loop {
            let effects = self.step.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    EntryEffect::CallStore { exchange, request, .. } => {
                        self.answer(exchange, &request);
                    }
                    EntryEffect::Exit => self.exits += 1,
                    _ => {}
                }
            }
        }
    }

    fn answer(&mut self, exchange: ExchangeId, request: &StoreRequest) {
        let result = self.store.call(request);
        self.part.observe_store(&self.step, result.as_ref().err().copied());
        self.part.on_store_ended(&mut self.step, exchange, result);
    }

    fn count(&mut self, customer: &str, outcome: CallOutcome, on_time: bool) {
        let sample = sample(customer, outcome, on_time);
        self.part.count_received(&sample.profile, &sample.customer);
        self.part.count_call(&sample);
    }

    fn stop(&mut self) {
        self.part.save_final(&mut self.step, &self.groups);
        self.apply_effects();
    }

    fn merged(&self, day: &str) -> DayRecord {
        let mut records = self.store.records(day).into_iter();
        let mut merged = records.next().expect("no record of the day is saved");
        records.for_each(|record| merged.merge(&record));
        merged
    }
}

fn settings() -> EntrySettings {
    EntrySettings::from_json(
        br#"{"instance":"d1","zone":"dublin","http_address":"127.0.0.1:8080",
            "peer_address":"127.0.0.1:8081","store_addresses":["127.0.0.1:2379"],
            "list_address":"127.0.0.1:8500"}"#,
    )
    .expect("the settings of the fixture are valid")
}

fn sample(customer: &str, outcome: CallOutcome, on_time: bool) -> CallSample {
    CallSample {
        profile: "morning rush".to_owned(),
        customer: customer.to_owned(),
        class: "plan".to_owned(),
        outcome,
        on_time,
        confirms_slot: true,
        elapsed: Duration::from_millis(40),
    }
}

fn noon() -> SystemTime {
    day_start(DAY).expect("the day is valid") + Duration::from_secs(12 * 3_600)
}

// Guards against a report without an instance that ran for only a few seconds.
#[test]
fn the_first_record_is_saved_within_two_seconds() {
    let mut fixture = RecordFixture::new(noon());
    fixture.run(Duration::from_secs(2));
    let records = fixture.store.records(DAY);
    assert_eq!(records.len(), 1);
    assert_eq!((records[0].from, records[0].is_final), (noon(), false));
}

// Guards against a call that is counted under no outcome or under two.
#[test]
fn the_four_outcomes_add_up_to_the_calls_received() {
    let mut fixture = RecordFixture::new(noon());
    fixture.count("griddle", CallOutcome::Done, true);
    fixture.count("griddle", CallOutcome::Done, false);
    fixture.count("griddle", CallOutcome::NotRun, true);
    fixture.count("griddle", CallOutcome::Unknown, false);
    fixture.run(Duration::from_secs(31));
    fixture.count("griddle", CallOutcome::Done, true);
    fixture.run(Duration::from_secs(31));
    let merged = fixture.merged(DAY);
    let counters = &merged.calls[&CounterKey::new("morning rush", "griddle")];
    assert!(counters.is_consistent());
    assert_eq!(counters.unanswered(), 0);
    let outcomes = (counters.on_time, counters.late, counters.refused, counters.unknown);
    assert_eq!((counters.received, outcomes), (5, (2, 1, 1, 1)));
    assert_eq!((counters.slots_on_time, counters.slots_late), (2, 1));
    assert_eq!(counters.latency.count(), 3);
    let in_minutes: u64 = counters.minutes.values().map(|minute| minute.received).sum();
    assert_eq!(in_minutes, 5);
}

type CounterDamage = fn(&mut CallCounters);

// Guards against a damaged record that passes as sound because only its totals are compared: the
// report takes late, refused and unknown calls at the peak from the minutes.
#[test]
fn counters_that_contradict_each_other_are_inconsistent() {
    let minute = 720;
    let mut sound = CallCounters { received: 5, ..CallCounters::default() };
    for (outcome, on_time) in [
        (CallOutcome::Done, true),
        (CallOutcome::Done, false),
        (CallOutcome::NotRun, true),
        (CallOutcome::Unknown, false),
    ] {
        sound.count(&sample("griddle", outcome, on_time), minute);
    }
    assert!(sound.is_consistent(), "one call has no answer yet");
    let damages: [(&str, CounterDamage); 8] = [
        ("more answers than calls", |calls| calls.received = 3),
        ("a late call in no minute", |calls| calls.late += 1),
        ("a minute without its calls", |calls| calls.minutes.clear()),
        ("a refusal in no minute", |calls| {
            (calls.refused, calls.on_time) = (calls.refused + 1, calls.on_time - 1);
        }),
        ("an unknown call in no minute", |calls| {
            (calls.unknown, calls.on_time) = (calls.unknown + 1, calls.on_time - 1);
        }),
        ("more slots than calls on time", |calls| calls.slots_on_time = 2),
        ("a late slot in no minute", |calls| calls.slots_late = 0),
        ("a completed call without its time", |calls| calls.latency = calls.short_delay.clone()),
    ];
    for (what, damage) in damages {
        let mut counters = sound.clone();
        damage(&mut counters);
        assert!(!counters.is_consistent(), "{what}");
    }
}

// Guards against losing calls from all counters because the instance crashed before it answered
// them.
#[test]
fn a_call_without_an_answer_is_counted_as_unanswered() {
    let mut fixture = RecordFixture::new(noon());
    fixture.count("griddle", CallOutcome::Done, true);
    fixture.part.count_received("morning rush", "griddle");
    fixture.run(Duration::from_secs(31));
    let merged = fixture.merged(DAY);
    let counters = &merged.calls[&CounterKey::new("morning rush", "griddle")];
    assert_eq!((counters.received, counters.on_time, counters.unanswered()), (2, 1, 1));
    assert!(counters.is_consistent());
}

// Guards against a planned stop that loses the counts of answers given after its final record.
#[test]
fn a_planned_stop_saves_answers_that_follow_the_final_record() {
    let mut fixture = RecordFixture::new(noon());
    fixture.run(Duration::from_secs(31));
    fixture.part.count_received("morning rush", "griddle");
    fixture.stop();
    fixture.part.count_call(&sample("griddle", CallOutcome::Done, true));
    fixture.run(Duration::from_secs(5));
    let merged = fixture.merged(DAY);
    let counters = &merged.calls[&CounterKey::new("morning rush", "griddle")];
    assert_eq!((counters.received, counters.on_time, counters.unanswered()), (1, 1, 0));
}

// Guards against a day with more answers than received calls because of calls that are in progress
// at midnight.
#[test]
fn a_call_in_progress_at_midnight_counts_on_both_days() {
    let end = day_end(noon());
    let mut fixture = RecordFixture::new(end - Duration::from_secs(20));
    fixture.run(Duration::from_secs(5));
    fixture.part.count_received("morning rush", "griddle");
    fixture.run(Duration::from_secs(20));
    fixture.part.count_call(&sample("griddle", CallOutcome::Done, true));
    fixture.run(Duration::from_secs(31));
    let key = CounterKey::new("morning rush", "griddle");
    let (before, after) = (fixture.merged(DAY), fixture.merged(&day_name(end)));
    assert_eq!((before.calls[&key].received, before.calls[&key].unanswered()), (1, 1));
    assert_eq!((after.calls[&key].received, after.calls[&key].unanswered()), (1, 0));
}

// Guards against a record that is saved twice because the answer to its write was lost.
#[test]
fn a_read_determines_the_outcome_after_a_lost_answer() {
    let mut fixture = RecordFixture::new(noon());
    fixture.count("griddle", CallOutcome::Done, true);
    fixture.store.mode = StoreMode::LosesAnswer;
    fixture.run(Duration::from_secs(2));
    fixture.store.mode = StoreMode::Answers;
    fixture.run(Duration::from_secs(5));
    assert_eq!(fixture.store.writes, 1);
    assert_eq!(fixture.merged(DAY).calls.values().next().unwrap().received, 1);
}

// Guards against counters that are saved under two keys because a lost write takes effect late.
#[test]
fn a_late_copy_of_a_lost_write_adds_no_counters() {
    let mut fixture = RecordFixture::new(noon());
    fixture.count("griddle", CallOutcome::Done, true);
    fixture.store.mode = StoreMode::Delays;
    fixture.run(Duration::from_secs(2));
    fixture.store.mode = StoreMode::Answers;
    fixture.run(Duration::from_secs(40));
    assert_eq!(fixture.merged(DAY).calls.values().next().unwrap().received, 1);
    assert_eq!(fixture.store.writes, fixture.store.values.len());
}

// Guards against counters lost in a long outage of the store, and against an outage that is not
// recorded.
#[test]
fn an_outage_of_the_store_loses_no_counters_and_is_recorded() {
    let mut fixture = RecordFixture::new(noon());
    fixture.run(Duration::from_secs(2));
    fixture.store.mode = StoreMode::Unreachable;
    for _ in 0..20 {
        fixture.count("griddle", CallOutcome::Done, true);
        fixture.run(Duration::from_secs(30));
    }
    fixture.store.mode = StoreMode::Answers;
    fixture.run(Duration::from_secs(40));
    let merged = fixture.merged(DAY);
    assert_eq!(merged.calls.values().next().unwrap().received, 20);
    assert_eq!(merged.outages.len(), 1);
    let outage = merged.outages[0];
    assert!(outage.from <= noon() + Duration::from_secs(33), "{outage:?}");
    assert!(outage.to >= noon() + Duration::from_secs(600), "{outage:?}");
    // At most: the first record, the one whose write failed, one with the merged later intervals,
    // and one after the outage.
    assert!(fixture.store.values.len() <= 4, "{} records", fixture.store.values.len());
}

// Guards against intervals that overlap, or that leave out a period, which the report shows as a
// gap.
#[test]
fn intervals_are_contiguous_across_midnight() {
    let midnight = day_end(noon());
    let mut fixture = RecordFixture::new(midnight - Duration::from_secs(45));
    fixture.count("griddle", CallOutcome::Done, true);
    fixture.run(Duration::from_secs(50));
    fixture.count("griddle", CallOutcome::Done, true);
    fixture.stop();
    let (before, after) = (fixture.merged(DAY), fixture.merged("2026-12-05"));
    assert_eq!((before.to, before.is_final), (midnight, false));
    assert_eq!((after.from, after.is_final), (midnight, true));
    assert_eq!(before.calls.values().next().unwrap().received, 1);
    assert_eq!(after.calls.values().next().unwrap().received, 1);
}

// Guards against a planned stop that exits before its final record is saved.
#[test]
fn the_process_exits_after_the_final_record_is_saved() {
    let mut fixture = RecordFixture::new(noon());
    fixture.run(Duration::from_secs(2));
    fixture.store.mode = StoreMode::Unreachable;
    fixture.stop();
    fixture.run(Duration::from_secs(1));
    assert_eq!(fixture.exits, 0);
    fixture.store.mode = StoreMode::Answers;
    fixture.run(Duration::from_secs(1));
    assert_eq!(fixture.exits, 1);
    assert!(fixture.merged(DAY).is_final);
}

// Guards against a planned stop that never completes while the store is unreachable.
#[test]
fn a_planned_stop_without_the_store_ends_in_time() {
    let mut fixture = RecordFixture::new(noon());
    fixture.store.mode = StoreMode::Unreachable;
    fixture.run(Duration::from_secs(2));
    fixture.stop();
    fixture.run(Duration::from_secs(30));
    assert_eq!(fixture.exits, 1);
    assert_eq!(fixture.store.values.len(), 0);
}

// Guards against records that the store refuses because they are too large.
#[test]
fn a_record_with_many_customers_is_split_into_small_values() {
    let mut fixture = RecordFixture::new(noon());
    fixture.store.mode = StoreMode::Unreachable;
    let (calls_each, customers) = (25, 900);
    for round in 0..calls_each {
        for customer in 0..customers {
            let mut sample = sample(&format!("team {customer}"), CallOutcome::Done, true);
            sample.elapsed = Duration::from_millis(7 * round + 3 * customer);
            fixture.part.count_received(&sample.profile, &sample.customer);
            fixture.part.count_call(&sample);
        }
        fixture.run(Duration::from_secs(30));
    }
    fixture.store.mode = StoreMode::Answers;
    fixture.run(Duration::from_secs(40));
    assert!(
        fixture.store.values.len() > 2,
        "the counters fit into {} values",
        fixture.store.values.len()
    );
    let merged = fixture.merged(DAY);
    assert_eq!(merged.calls.len() as u64, customers);
    assert!(merged.calls.values().all(|counters| counters.received == calls_each));
}

// Guards against callers that exhaust the memory of an instance by sending many customer names.
#[test]
fn customers_beyond_the_limit_share_counters() {
    let mut record = DayRecord::new("d1", "dublin", 7, noon());
    for customer in 0..MAX_COUNTER_KEYS + 10 {
        record.calls_mut("morning rush", &customer.to_string()).received += 1;
    }
    assert_eq!(record.calls.len(), MAX_COUNTER_KEYS + 1);
    assert_eq!(record.calls[&CounterKey::new("morning rush", OTHER_CUSTOMER)].received, 10);
}

// Guards against events of batch tasks that are counted in the wrong counter.
#[test]
fn each_task_event_has_its_own_counter() {
    let mut fixture = RecordFixture::new(noon());
    let events = [
        TaskEvent::Accepted,
        TaskEvent::Started,
        TaskEvent::Evicted,
        TaskEvent::Resumed,
        TaskEvent::Finished,
        TaskEvent::Failed,
        TaskEvent::Cancelled,
        TaskEvent::Doubled,
    ];
    for (index, event) in events.into_iter().enumerate() {
        for _ in 0..=index {
            fixture.part.count_task("standing orders", "griddle", event, Duration::from_secs(90));
        }
    }
    fixture.run(Duration::from_secs(2));
    let merged = fixture.merged(DAY);
    let tasks = &merged.tasks[&CounterKey::new("standing orders", "griddle")];
    let counts = [
        tasks.accepted,
        tasks.started,
        tasks.evicted,
        tasks.resumed,
        tasks.finished,
        tasks.failed,
        tasks.cancelled,
        tasks.doubled,
    ];
    assert_eq!(counts, [1, 2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(tasks.accepted_minutes[&day_minute(noon())], 1);
}

// Guards against counting all calls in one minute after the wall clock was set back.
#[test]
fn a_clock_set_back_begins_a_new_interval() {
    let mut fixture = RecordFixture::new(noon());
    fixture.run(Duration::from_secs(2));
    fixture.start_wall -= Duration::from_secs(7_200);
    fixture.run(Duration::from_secs(1));
    fixture.count("griddle", CallOutcome::Done, true);
    fixture.run(Duration::from_secs(31));
    let merged = fixture.merged(DAY);
    let minutes = &merged.calls.values().next().unwrap().minutes;
    assert_eq!(minutes.keys().copied().collect::<Vec<_>>(), [600]);
}

// Guards against an instance and a report that use different day boundaries.
#[test]
fn days_and_minutes_are_in_utc() {
    let wall = day_start(DAY).unwrap() + Duration::from_secs(6 * 3_600 + 59);
    assert_eq!((day_name(wall).as_str(), day_minute(wall)), (DAY, 360));
    assert_eq!(day_name(day_end(wall)), "2026-12-05");
    assert_eq!(day_start("2026-13-01"), None);
    assert_eq!(day_start("20261204"), None);
}

// Guards against a damaged value, or one of another version, that is decoded as a record or makes
// the whole report fail.
#[test]
fn damaged_values_are_errors() {
    let record = DayRecord::new("d1", "dublin", 7, noon());
    let value = StoredRecord { operation: "d1.7.0".to_owned(), record }.encode();
    assert!(StoredRecord::decode(&value).is_ok());
    assert!(StoredRecord::decode(&value[..value.len() - 1]).is_err());
    assert!(StoredRecord::decode(&[9]).unwrap_err().contains("version 9"));
    assert!(StoredRecord::decode(&[]).is_err());
}

fn heartbeat(instance: &str) -> EntryEvent {
    let address = "127.0.0.1:9001".parse().expect("the address is valid");
    let heartbeat = PeerHeartbeat {
        from: PeerIdentity { instance: instance.to_owned(), start: 3 },
        zone: "dublin".to_owned(),
        address,
        groups: Vec::new(),
        config_revision: 0,
        config_checksum: 0,
        draining: false,
    };
    EntryEvent::DatagramReceived { from: address, datagram: PeerDatagram::Heartbeat(heartbeat) }
}

/// Returns the first day record that the effects write to the store.
fn written_record(effects: &[EntryEffect]) -> Option<DayRecord> {
    effects.iter().find_map(|effect| {
        let EntryEffect::CallStore { request: StoreRequest::Txn { then, .. }, .. } = effect else {
            return None;
        };
        let Some(StoreWrite::Put { key, value, .. }) = then.first() else { return None };
        let is_record = key.starts_with(&day_prefix(DAY));
        is_record.then(|| StoredRecord::decode(value).expect("the value is a record").record)
    })
}

// Guards against records without the time of the last heartbeat of each peer. The report needs it
// to bound the period that is missing for a crashed peer.
#[test]
fn a_record_contains_the_last_heartbeat_of_each_peer() {
    let mut reducer = EntryReducer::new(settings(), 7);
    let mut found = None;
    for tick in 0..20 {
        let now = Duration::from_millis(100 * tick);
        let wall = noon() + now;
        let effects = reducer.apply(now, EntryEvent::Tick { wall });
        found = found.or_else(|| written_record(&effects));
        if tick == 4 {
            reducer.apply(now, heartbeat("d2"));
        }
    }
    let record = found.expect("a day record is written within 2 s");
    assert_eq!(record.peers["d2"], noon() + Duration::from_millis(400));
}

proptest! {
    // Guards against counts that change when histograms are merged, encoded and decoded.
    #[test]
    fn histograms_keep_their_counts(
        first in prop::collection::vec(0_u64..700_000_000, 0..60),
        second in prop::collection::vec(0_u64..700_000_000, 0..60),
    ) {
        let mut left = TimeHistogram::new(FINE_DIGITS);
        let mut right = TimeHistogram::new(COARSE_DIGITS);
        first.iter().for_each(|millis| left.record(Duration::from_millis(*millis)));
        second.iter().for_each(|millis| right.record(Duration::from_millis(*millis)));
        left.merge(&right);
        let bytes = postcard::to_stdvec(&left).unwrap();
        let decoded: TimeHistogram = postcard::from_bytes(&bytes).unwrap();
        prop_assert_eq!(decoded.count(), (first.len() + second.len()) as u64);
        prop_assert_eq!(decoded.buckets(), left.buckets());
        let longest = first.iter().chain(&second).max().copied().map(Duration::from_millis);
        if let (Some(longest), Some(maximum)) = (longest, decoded.quantile(1.0)) {
            let longest = longest.min(Duration::from_secs(7 * 24 * 3_600));
            prop_assert!(maximum.as_secs_f64() >= longest.as_secs_f64() * 0.99);
            prop_assert!(maximum.as_secs_f64() <= longest.as_secs_f64() * 1.12 + 0.001);
        }
    }

    // Guards against counters that are lost or counted twice in some order of store faults.
    #[test]
    fn every_call_is_saved_once_under_any_store_faults(
        modes in prop::collection::vec(
            (prop::sample::select(vec![
                StoreMode::Answers,
                StoreMode::Unreachable,
                StoreMode::LosesRequest,
                StoreMode::LosesAnswer,
                StoreMode::Delays,
            ]), 1_u64..20),
            1..20,
        ),
    ) {
        let mut fixture = RecordFixture::new(noon());
        for (mode, seconds) in &modes {
            fixture.store.mode = *mode;
            fixture.count("griddle", CallOutcome::Done, true);
            fixture.run(Duration::from_secs(*seconds));
        }
        fixture.store.mode = StoreMode::Answers;
        fixture.stop();
        fixture.run(Duration::from_secs(5));
        prop_assert_eq!(fixture.exits, 1);
        let merged = fixture.merged(DAY);
        prop_assert_eq!(merged.calls.values().next().unwrap().received, modes.len() as u64);
        let mut intervals: Vec<_> =
            fixture.store.records(DAY).iter().map(|record| (record.from, record.to)).collect();
        intervals.sort();
        for pair in intervals.windows(2) {
            prop_assert_eq!(pair[0].1, pair[1].0);
        }
    }
}
