//! Tests of the bytes of stored records and of messages between instances. `formats/unversioned.txt`
//! has them as every build since d68395a writes them; `instance`, `pool_format` and `unsupported` are
//! of later builds, and so are the questions and answers `room` and `work`.

use std::{collections::BTreeMap, fmt::Debug, time::Duration};

use cuminbank::message::{decode, encode};
use cuminbank_jobs::{
    admission::{QueueRoom, RoomReport, ServiceRoom},
    cells::{CellLoad, PoolPlan},
    colocation::ColocationModel,
    formats::{FormatSupport, FormatVersion},
    ids::CellId,
    instances::InstanceEntry,
    job::{
        AdviceTerms, JobOutcome, JobPhase, JobRecord, JobStep, QueueTerms, RepeatPlan, TaskName,
        TaskNeeds,
    },
    lease_handover::{GrantState, HandoverEntry, LeaseHandover},
    order::{OrderFailure, RejectReason},
    ownership::OwnerRecord,
    peer::{JobDescription, OwnerAnswer, OwnerQuestion, PeerReply, PeerRequest, WaitReason},
    progress::{JobProgress, TaskProgress},
    relay::{RelayedResult, RelayedStart, StartBundle},
    roster::{ExecutorRoster, RosterEntry},
    store::{decode_value, encode_value},
    work_limit::{WorkGrant, WorkRequest},
};
use serde::{de::DeserializeOwned, Serialize};

const FIXTURES: &str = include_str!("formats/unversioned.txt");

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Compares values with the fixtures and collects the differences.
struct FixtureCheck {
    fixtures: BTreeMap<&'static str, &'static str>,
    differences: Vec<String>,
}

impl FixtureCheck {
    fn new() -> Self {
        let lines = FIXTURES.lines().filter(|line| !line.starts_with('#'));
        let fixtures = lines.filter_map(|line| line.split_once(' ')).collect();
        Self { fixtures, differences: Vec::new() }
    }

    /// Checks that the value has the bytes of the fixture and that these decode to the value.
    fn check<T>(&mut self, name: &str, value: &T, encoded: &[u8], decoded: fn(&[u8]) -> Option<T>)
    where
        T: Debug + PartialEq,
    {
        let hex = to_hex(encoded);
        if self.fixtures.remove(name) != Some(hex.as_str()) {
            self.differences.push(format!("{name} {hex}"));
        } else if decoded(encoded).as_ref() != Some(value) {
            self.differences.push(format!("{name} decodes to {:?}", decoded(encoded)));
        }
    }

    fn record<T: Debug + DeserializeOwned + PartialEq + Serialize>(
        &mut self,
        name: &str,
        value: T,
    ) {
        self.check(name, &value, &encode_value(&value), decode_value);
    }

    fn message<T: Debug + DeserializeOwned + PartialEq + Serialize>(
        &mut self,
        name: &str,
        value: T,
    ) {
        self.check(name, &value, &encode(&value), decode);
    }

    fn finish(self) {
        let unused: Vec<_> = self.fixtures.into_keys().collect();
        let differences = self.differences.join("\n");
        assert!(differences.is_empty() && unused.is_empty(), "{differences}\nunused: {unused:?}");
    }
}

/// Returns a value for each field that has a different encoding than its neighbours.
fn full_step() -> JobStep {
    JobStep {
        count: 300,
        needs: TaskNeeds { cpu_millis: 1_500, memory_mb: 2_048, gpus: 2 },
        estimate_ms: 70_000,
        after: vec![0, 1],
        saves_checkpoints: true,
        gang: false,
        same_rack: true,
        required_label: Some("gpu".to_owned()),
        data_rack: Some("r1-3".to_owned()),
        max_per_executor: 4,
        speculative: false,
        long_running: true,
        image: "web".to_owned(),
        tail_target_ms: 120,
        fills: true,
        may_miss: 5,
    }
}

fn full_job() -> JobRecord {
    JobRecord {
        payload: "payload".to_owned(),
        steps: vec![JobStep { count: 1, ..JobStep::default() }, full_step()],
        repeat: Some(RepeatPlan {
            count: 3,
            first_due: Duration::from_millis(1_700_000_000_123),
            interval: Duration::from_millis(2_500),
        }),
        terms: QueueTerms {
            queue: "plans".to_owned(),
            service: "kiln".to_owned(),
            priority: 2,
            max_attempts: 3,
            stretch: 1.5,
            target_latency_ms: 250,
            advice: Some(AdviceTerms { decision_ms: 40, per_executor_ms: 3, valid_ms: 9_000 }),
        },
        accepted_at: Duration::from_millis(1_700_000_000_456),
    }
}

fn single_job() -> JobRecord {
    let mut job = full_job();
    (job.repeat, job.terms.advice) = (None, None);
    job.steps = vec![JobStep { count: 2, ..JobStep::default() }];
    job
}

fn description(phase: JobPhase, waits: Option<WaitReason>) -> JobDescription {
    JobDescription {
        phase,
        queue: "plans".to_owned(),
        age: Duration::from_millis(1_234),
        left: Duration::from_millis(56),
        blocked: 1,
        ready: 2,
        active: 3,
        done: 400,
        executors: vec!["e1".to_owned(), "e2".to_owned()],
        waits,
    }
}

fn room_report(load: CellLoad) -> RoomReport {
    let room = ServiceRoom {
        service: "kiln".to_owned(),
        capacity: 36_600_000,
        long_running: 30_600_000,
        long_running_ready: 13_000,
        usable: 5_000_000,
        fitting: 4_000_000,
        peak_demand: 4_800_000,
        reserve: 4_700_000,
        ended_per_second: 165_000,
        mean_job: 182_000,
        accepted_recently: 3,
    };
    let queue = QueueRoom {
        queue: "plans".to_owned(),
        service: "kiln".to_owned(),
        priority: 2,
        reserved: 70_000,
        ready: 140_000,
        ready_tasks: 300,
        longest_wait: Duration::from_millis(1_234),
        ready_work: u64::MAX,
    };
    let (services, queues) = (vec![room], vec![queue]);
    RoomReport { load, number: 300, instances: 36, index: 7, services, queues }
}

fn bundle() -> StartBundle {
    let start = |id, checkpoint, ticket| RelayedStart {
        id,
        executor: "e1/7".to_owned(),
        address: "10.0.0.1:7001".parse().expect("valid socket address"),
        task: TaskName { job: 0xabcd, occurrence: 1, step: 2, index: 3 },
        run: 4_001,
        lease_until: 123_456,
        checkpoint,
        ticket,
    };
    StartBundle {
        epoch: 9,
        payload: "payload".to_owned(),
        timeout: Duration::from_millis(250),
        valid: Duration::from_millis(700),
        starts: vec![start(1, None, None), start(2, Some("c".to_owned()), Some("t".to_owned()))],
    }
}

// Guards against a change of a stored type that makes the records of other builds unreadable or,
// worse, readable with other values.
#[test]
fn stored_records_keep_their_bytes() {
    let mut check = FixtureCheck::new();
    check.fixtures.retain(|name, _| name.starts_with("record."));
    check.record("record.job.full", full_job());
    check.record("record.job.single", single_job());
    let outcomes = [JobOutcome::Completed, JobOutcome::Failed, JobOutcome::Cancelled];
    for outcome in outcomes {
        let ended_at = Some(Duration::from_millis(1_700_000_000_789));
        let progress = JobProgress { outcome: Some(outcome), ended_at, tasks: Vec::new() };
        check.record(&format!("record.progress.{outcome:?}"), progress);
    }
    let done = TaskProgress { task: 1, done: true, ..TaskProgress::default() };
    let failed = TaskProgress {
        task: 300,
        done: false,
        failed_runs: vec![1, 1_001],
        run: 1_002,
        checkpoint: Some("c7".to_owned()),
    };
    let tasks = vec![done, failed];
    check.record("record.progress.open", JobProgress { tasks, ..JobProgress::default() });
    let entry = |address: &str, started_at| RosterEntry {
        name: "e1/7".to_owned(),
        address: address.parse().expect("valid socket address"),
        service: "kiln".to_owned(),
        started_at,
    };
    let executors =
        vec![entry("10.0.0.1:7001", Some(1_700_000_000_000)), entry("[2001:db8::1]:7002", None)];
    check.record("record.roster", ExecutorRoster { executors });
    let mut model = ColocationModel::default();
    for image in ["web", "batch"] {
        model.intern(image);
    }
    check.record("record.colocation", model.with_time(Duration::from_millis(1_500)));
    check.record(
        "record.owner",
        OwnerRecord {
            instance: "i1".to_owned(),
            start: u64::MAX,
            peer_address: "10.0.0.2:7100".parse().expect("valid socket address"),
            epoch: 300,
        },
    );
    let racks = [("r1".to_owned(), 0), ("r2".to_owned(), 1)].into();
    check.record("record.plan", PoolPlan { cells: 2, racks });
    check.record::<CellId>("record.accepted", 300);
    check.record("record.sequence", (7_u64, 1_234_u64));
    check.record("record.bounded_epoch", 7_u64);
    check.record("record.run_base", 7_000_u32);
    check.record("record.bounded_leases", 7_u64);
    let entry = |executor: &str, grants, left_ms| HandoverEntry {
        executor: executor.to_owned(),
        grants,
        left_ms,
    };
    let entries =
        vec![entry("e1/7", GrantState::Paused, 6_570), entry("e2/7", GrantState::Granting, 0)];
    check.record("record.lease_handover", LeaseHandover { epoch: 300, entries });
    check.record(
        "record.instance",
        InstanceEntry {
            instance: "i1".to_owned(),
            start: u64::MAX,
            peer_address: "10.0.0.2:7100".parse().expect("valid socket address"),
            build: "0.1.0+abcdef0".to_owned(),
            formats: FormatSupport { oldest: 1, newest: 3, written: 2 },
        },
    );
    check.record::<FormatVersion>("record.pool_format", 2);
    check.finish();
}

// Guards against a change of a message that instances of another build cannot read.
#[test]
fn messages_keep_their_bytes() {
    let mut check = FixtureCheck::new();
    check.fixtures.retain(|name, _| name.starts_with("message."));
    let (cell, job) = (3, 0xabcd);
    let asker = "10.0.0.2:7100".parse().expect("valid socket address");
    let request =
        WorkRequest { asker, limit_bytes: 20_000_000, needed_bytes: 10_000, wanted_bytes: 75_536 };
    let grant = WorkGrant {
        granted_bytes: 75_536,
        held_bytes: 3_000_000,
        limit_bytes: 20_000_000,
        instances: 36,
    };
    let questions = [
        ("phase", OwnerQuestion::Phase { cell, job }),
        ("describe", OwnerQuestion::Describe { cell, job }),
        ("pending", OwnerQuestion::Pending { cell, queue: "plans".to_owned() }),
        ("load", OwnerQuestion::Load { cell, asker }),
        ("yield", OwnerQuestion::Yield { cell, start: u64::MAX, epoch: 300 }),
        ("room", OwnerQuestion::Room { cell, asker }),
        ("work", OwnerQuestion::Work { cell, request }),
    ];
    for (name, question) in questions {
        check.message(&format!("message.ask.{name}"), PeerRequest::Ask(question));
    }
    check.message("message.carry", PeerRequest::Carry(bundle()));
    let load = CellLoad {
        use_percent: 150,
        executors: 700,
        labels: vec!["r1".to_owned()],
        services: vec!["kiln".to_owned()],
    };
    let mut answers = vec![
        ("unknown".to_owned(), OwnerAnswer::Unknown),
        ("pending".to_owned(), OwnerAnswer::Pending(300)),
        ("room".to_owned(), OwnerAnswer::Room(room_report(load.clone()))),
        ("work".to_owned(), OwnerAnswer::Work(grant)),
        ("load".to_owned(), OwnerAnswer::Load(load)),
        ("yielded".to_owned(), OwnerAnswer::Yielded { stopped_ms: 300 }),
        ("not_owner".to_owned(), OwnerAnswer::NotOwner),
    ];
    let outcomes = [JobOutcome::Completed, JobOutcome::Failed, JobOutcome::Cancelled];
    let ended = outcomes.into_iter().map(JobPhase::Ended);
    for phase in [JobPhase::Queued, JobPhase::Running].into_iter().chain(ended) {
        answers.push((format!("phase.{phase:?}"), OwnerAnswer::Phase(phase)));
    }
    let reasons = [WaitReason::EarlierRuns, WaitReason::Room, WaitReason::NoExecutor];
    for waits in [None].into_iter().chain(reasons.map(Some)) {
        let described = OwnerAnswer::Described(description(JobPhase::Running, waits));
        answers.push((format!("described.{waits:?}"), described));
    }
    for (name, answer) in answers {
        check.message(&format!("message.answer.{name}"), PeerReply::Answer(answer));
    }
    let rejections = [
        RejectReason::Fence,
        RejectReason::Stale,
        RejectReason::Late,
        RejectReason::Room,
        RejectReason::Ticket,
        RejectReason::Other,
    ];
    let failures = [
        OrderFailure::NotSent,
        OrderFailure::Lost,
        OrderFailure::Unhealthy,
        OrderFailure::Malformed,
        OrderFailure::Replaced,
    ];
    let mut results = vec![RelayedResult::Done];
    results.extend(rejections.map(RelayedResult::Rejected));
    results.extend(failures.map(RelayedResult::Failed));
    check.message("message.carried", PeerReply::Carried(results));
    check.message("message.unsupported", PeerReply::Unsupported { newest: 3 });
    check.finish();
}

/// Returns the number of variants of an enum: every value decodes from its index and enough zeros.
fn variants<T: DeserializeOwned>() -> u8 {
    let decodes = |variant: &u8| {
        (0..64).any(|zeros| {
            let bytes: Vec<u8> = std::iter::once(*variant).chain(vec![0; zeros]).collect();
            decode::<T>(&bytes).is_some()
        })
    };
    (0..).take_while(decodes).count() as u8
}

// Guards against a new variant that is sent to builds that do not know it.
#[test]
fn enums_in_messages_and_records_have_the_known_variants() {
    assert_eq!(variants::<PeerRequest>(), 2);
    // `Unsupported` only answers a request of a build that knows it, or bytes that are no request.
    assert_eq!(variants::<PeerReply>(), 3);
    // `Room` is asked only with `admission`. A build that does not know it answers `Unsupported`, and
    // only the question is answered with the room.
    // The same holds for `Work`, which is always asked: `Unsupported` stands for no limit.
    assert_eq!(variants::<OwnerQuestion>(), 7);
    assert_eq!(variants::<OwnerAnswer>(), 9);
    assert_eq!(variants::<JobPhase>(), 3);
    assert_eq!(variants::<JobOutcome>(), 3);
    assert_eq!(variants::<WaitReason>(), 3);
    assert_eq!(variants::<RelayedResult>(), 3);
    assert_eq!(variants::<RejectReason>(), 6);
    assert_eq!(variants::<OrderFailure>(), 5);
    assert_eq!(variants::<GrantState>(), 2);
}
