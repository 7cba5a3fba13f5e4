//! Tests of the admission of submitted jobs by the room of their cell.

mod support;

use std::{net::SocketAddr, time::Duration};

use cuminbank_jobs::{
    admission::{
        reserved_cpu, AdmissionDecision, AdmissionRefusal, AdmissionState, DemandSample,
        DemandWindow, NeedsSum, QueueRoom, RefusalCause, RefusalLog, RoomReport, ServiceRoom,
        DEMAND_WINDOW,
    },
    cells::MAX_LOAD_AGE,
    ids::MonotonicTime,
    job::{JobRecord, JobStep, RepeatPlan, TaskNeeds},
};
use proptest::prelude::{any, prop, prop_assert, prop_oneof, proptest, Just, Strategy};
use support::jobs::{job, step};

const NOW: MonotonicTime = Duration::from_secs(100);
const POOL: u64 = 36_600_000;
/// CPU of the mean long-running job: 14 tasks of 13 cores.
const MEAN_JOB: u64 = 14 * 13_000;

fn cores(count: u32) -> TaskNeeds {
    TaskNeeds { cpu_millis: count * 1_000, memory_mb: 0, gpus: 0 }
}

fn long_running(count: u32) -> JobRecord {
    job(vec![JobStep { long_running: true, needs: cores(13), ..step(count, &[]) }])
}

fn quick() -> JobRecord {
    job(vec![JobStep { needs: cores(10), estimate_ms: 1_000, ..step(10, &[]) }])
}

fn best_effort(long_running: bool) -> JobRecord {
    job(vec![JobStep { fills: true, long_running, needs: cores(7), ..step(20, &[]) }])
}

/// Returns a report in which long-running jobs may take `left` thousandths of a core, or hold that
/// much more than they may if it is negative.
fn report(left: i64, instances: u32, index: u32) -> RoomReport {
    let reserve = 6_000_000;
    let room = ServiceRoom {
        service: "plans".to_owned(),
        capacity: POOL,
        long_running: 30_000_000,
        usable: (reserve as i64 + left) as u64,
        fitting: 12_000_000,
        reserve,
        ended_per_second: 165_000,
        mean_job: MEAN_JOB,
        ..ServiceRoom::default()
    };
    RoomReport { number: 1, instances, index, services: vec![room], ..RoomReport::default() }
}

fn state(report: RoomReport) -> AdmissionState {
    let mut state = AdmissionState::default();
    state.update(NOW, 0, report);
    state
}

fn is_admitted(state: &mut AdmissionState, record: &JobRecord) -> bool {
    state.decide(NOW, 0, record) == AdmissionDecision::Admit
}

fn refusal(state: &mut AdmissionState, now: MonotonicTime, record: &JobRecord) -> AdmissionRefusal {
    match state.decide(now, 0, record) {
        AdmissionDecision::Refuse(refusal) => refusal,
        AdmissionDecision::Admit => panic!("the job is admitted"),
    }
}

/// Returns how many of several jobs all instances together admit by the same report.
fn admitted_by_all(left: i64, instances: u32, jobs: usize) -> usize {
    let states = (0..instances).map(|index| state(report(left, instances, index)));
    let admitted = |mut state: AdmissionState| {
        (0..jobs).filter(|_| is_admitted(&mut state, &long_running(14))).count()
    };
    states.map(admitted).sum()
}

// Guards against a refusal by an instance that does not know the room: without a report, with an old
// one, in another cell, for another service, and after the owner no longer knows it.
#[test]
fn jobs_are_admitted_while_the_room_is_unknown() {
    assert!(is_admitted(&mut AdmissionState::default(), &long_running(14)));
    let mut full = state(report(-1, 4, 0));
    assert!(!is_admitted(&mut full, &long_running(14)));
    assert_eq!(full.decide(NOW, 1, &long_running(14)), AdmissionDecision::Admit);
    let mut other = long_running(14);
    other.terms.service = "other".to_owned();
    assert!(is_admitted(&mut full, &other));
    let old = NOW + MAX_LOAD_AGE + Duration::from_millis(1);
    assert_eq!(full.decide(old, 0, &long_running(14)), AdmissionDecision::Admit);
    assert!(!full.has_room(NOW, 0, &long_running(14)));
    assert!(!full.has_room(NOW, 1, &long_running(14)), "another cell is only chosen if known");
    full.update(NOW, 1, report(1_000_000, 4, 0));
    assert!(full.has_room(NOW, 1, &long_running(14)) && !full.has_room(old, 1, &long_running(14)));
    full.forget(0);
    assert!(is_admitted(&mut full, &long_running(14)));
}

// Guards against the refusal of work that returns its room or uses only what others leave.
#[test]
fn quick_and_best_effort_jobs_are_never_refused_for_lack_of_room() {
    let mut full = state(report(-6_000_000, 4, 0));
    for record in [quick(), best_effort(false), best_effort(true)] {
        assert!(is_admitted(&mut full, &record), "{record:?}");
    }
}

// Guards against long-running jobs that take the reserve of work that ends by itself.
#[test]
fn no_instance_admits_long_running_jobs_without_room() {
    for left in [0, -1, -5_000_000] {
        assert_eq!(admitted_by_all(left, 36, 3), 0);
    }
    let waiting = |ready| {
        let mut report = report(MEAN_JOB as i64, 1, 0);
        report.services[0].long_running_ready = ready;
        state(report)
    };
    assert!(is_admitted(&mut waiting(MEAN_JOB - 1), &long_running(14)));
    assert!(!is_admitted(&mut waiting(MEAN_JOB), &long_running(14)));
}

// Guards against cores that are counted as room although no long-running task fits into them.
#[test]
fn fragments_are_no_room() {
    let mut fragmented = report(2_000_000, 1, 0);
    fragmented.services[0].fitting = 0;
    assert!(!is_admitted(&mut state(fragmented), &long_running(14)));
    let mut sum = NeedsSum::default();
    assert_eq!(sum.usable_cpu(9_000, 0), 9_000);
    sum.add(&TaskNeeds { cpu_millis: 8_000, memory_mb: 1_000, gpus: 0 });
    sum.add(&TaskNeeds { cpu_millis: 12_000, memory_mb: 3_000, gpus: 0 });
    assert_eq!(sum.usable_cpu(9_000, 100_000), 0);
    assert_eq!(sum.usable_cpu(35_000, 100_000), 30_000);
    assert_eq!(sum.usable_cpu(35_000, 3_999), 10_000);
}

// Guards against large jobs that are refused where small ones are admitted.
#[test]
fn decision_does_not_depend_on_the_size_of_the_job() {
    for left in [-1_000_000, 0, 1, 50_000, 500_000, 3_000_000] {
        for (index, earlier) in [(0, 0), (0, 1), (7, 0), (35, 2)] {
            let decide = |count: u32| {
                let mut state = state(report(left, 36, index));
                (0..earlier).for_each(|_| _ = is_admitted(&mut state, &long_running(count)));
                is_admitted(&mut state, &long_running(count))
            };
            assert_eq!(decide(1), decide(400), "left {left} index {index} earlier {earlier}");
        }
    }
}

/// Returns a state that has been asked to admit many long-running jobs in vain.
fn crowded_state(report: &RoomReport) -> AdmissionState {
    let mut full = report.clone();
    full.services[0].usable = 0;
    let mut state = state(full);
    (0..40).for_each(|_| assert!(!is_admitted(&mut state, &long_running(14))));
    state.update(NOW, 0, report.clone());
    state
}

proptest! {
    // Guards against instances that together admit much more than the room that all of them know.
    // Once all of them are asked often, they use at most half of the reserve beyond it. If that comes
    // as a surprise, they stop after a number of jobs that grows with the root of the room.
    #[test]
    fn instances_share_the_room(left in 1i64..20_000_000, instances in 1u32..60, jobs in 1usize..40) {
        let mut report = report(left, instances, 0);
        report.services[0].fitting = POOL;
        let admitted_by = |known: fn(&RoomReport) -> AdmissionState| -> usize {
            let admitted = |index| {
                let mut state = known(&RoomReport { index, ..report.clone() });
                (0..jobs).filter(|_| is_admitted(&mut state, &long_running(14))).count()
            };
            (0..instances).map(admitted).sum()
        };
        let (room, overdraft) = (left / MEAN_JOB as i64, 3_000_000 / MEAN_JOB as i64);
        let crowded = admitted_by(crowded_state);
        prop_assert!(crowded > 0 && crowded as i64 <= room + overdraft, "{crowded}");
        // An instance that has admitted n jobs counts on n / 30 each second at each instance.
        let surprised = admitted_by(|report| state(report.clone()));
        let part = 30.0 * (room + overdraft) as f64 / f64::from(instances);
        let most = f64::from(instances) * ((part + 2.25).sqrt() + 1.5);
        let most = most.max((room + overdraft) as f64);
        prop_assert!(surprised as f64 <= most, "{surprised} of at most {most}");
    }
}

// Guards against instances that do not notice that many long-running jobs come at once, since each of
// them gets only a few.
#[test]
fn accepted_jobs_of_all_instances_divide_the_room() {
    let admitted = |accepted_recently| -> usize {
        let mut report = report(10 * MEAN_JOB as i64, 36, 0);
        report.services[0].accepted_recently = accepted_recently;
        let states = (0..36).map(|index| state(RoomReport { index, ..report.clone() }));
        states.map(|mut state| usize::from(is_admitted(&mut state, &long_running(14)))).sum()
    };
    let jobs = 10 + 3_000_000 / MEAN_JOB as usize;
    assert_eq!((admitted(0), admitted(36), admitted(500)), (36, jobs, jobs));
}

// Guards against an instance that never gets a turn, so that its clients are always refused, and
// against turns of few instances while few jobs come, so that most are refused beside room.
#[test]
fn each_instance_gets_a_turn() {
    for index in 0..36 {
        let turns = |known: fn(&RoomReport) -> AdmissionState| {
            let turn = |number: &u64| {
                let report = RoomReport { number: *number, ..report(1_000, 36, index) };
                is_admitted(&mut known(&report), &long_running(14))
            };
            (0..36).filter(turn).count()
        };
        assert_eq!(turns(crowded_state), 3_000_000 / MEAN_JOB as usize, "instance {index}");
        assert_eq!(turns(|report| state(report.clone())), 36, "instance {index}");
    }
}

// Guards against an idle pool whose room does not bound what is admitted, since no long-running job
// tells how large the next ones are.
#[test]
fn room_is_a_bound_before_the_first_long_running_job() {
    let admitted = |mean_job, instance| {
        let mut report = report(10 * MEAN_JOB as i64, 4, instance);
        report.services[0].mean_job = mean_job;
        let mut state = state(report);
        (0..200).filter(|_| is_admitted(&mut state, &long_running(14))).count()
    };
    for instance in 0..4 {
        assert_eq!(admitted(0, instance), admitted(MEAN_JOB, instance));
    }
    assert!(admitted(0, 0) < 40);
    // Sizes that differ count with their mean.
    let mut report = report(10 * MEAN_JOB as i64, 1, 0);
    report.services[0].mean_job = 0;
    let mut state = state(report);
    let mut held = 0;
    for number in 0..200 {
        let job = long_running(7 + number % 2 * 14);
        held += if is_admitted(&mut state, &job) { job.held_cpu() } else { 0 };
    }
    assert!(held <= 10 * MEAN_JOB + 3_000_000 + 21 * 13_000, "{held}");
}

// Guards against jobs that a report does not contain yet and that are no longer counted.
#[test]
fn recently_admitted_jobs_count_beside_the_next_report() {
    let report = |left: i64| {
        let mut report = report(left, 1, 0);
        report.services[0].reserve = MEAN_JOB;
        report.services[0].usable = MEAN_JOB + left as u64;
        report
    };
    let mut state = state(report(MEAN_JOB as i64));
    // One fits into the room, and one more may exceed it.
    assert!(is_admitted(&mut state, &long_running(14)));
    assert!(is_admitted(&mut state, &long_running(14)));
    assert!(!is_admitted(&mut state, &long_running(14)));
    state.update(NOW + Duration::from_millis(400), 0, report(MEAN_JOB as i64));
    refusal(&mut state, NOW + Duration::from_millis(410), &long_running(14));
    state.update(NOW + Duration::from_millis(900), 0, report(MEAN_JOB as i64));
    let later = NOW + Duration::from_millis(910);
    assert_eq!(state.decide(later, 0, &long_running(14)), AdmissionDecision::Admit);
}

// Guards against refused clients that all return at once, that overtake earlier ones, or that return
// after they have given up.
#[test]
fn refused_clients_return_in_order() {
    let mut state = state(report(-200_000, 4, 0));
    let mut last = Duration::ZERO;
    let mut delays = Vec::new();
    for refused in 0..30 {
        let now = NOW + Duration::from_millis(70) * refused;
        state.update(now, 0, report(-200_000, 4, 0));
        let refusal = refusal(&mut state, now, &long_running(14));
        let returns = now + Duration::from_secs(refusal.retry_after_s);
        assert_eq!(refusal.cause, RefusalCause::NoRoom);
        assert!(returns >= last, "client {refused} returns at {returns:?}, the last at {last:?}");
        last = returns;
        delays.push(refusal.retry_after_s);
    }
    // 200 cores are lacking and 165 end each second, so that room is expected for the jobs 1.2, 2.3
    // and 3.4 s after the first refusal.
    assert_eq!(delays[..3], [2, 3, 4]);
    assert!(delays.iter().all(|delay| (1..=5).contains(delay)), "{delays:?}");
    let mut idle = report(-200_000, 4, 0);
    idle.services[0].ended_per_second = 0;
    let mut state = AdmissionState::default();
    state.update(NOW, 0, idle);
    assert_eq!(refusal(&mut state, NOW, &long_running(14)).retry_after_s, 5);
}

// Guards against clients that return late because of refusals that take no room from them, and
// against clients that are told to return before one that was refused earlier.
#[test]
fn return_follows_only_refusals_for_lack_of_room_in_the_service() {
    let mut crowded = backlog(60, 0);
    crowded.services[0].ended_per_second = 4 * MEAN_JOB;
    crowded.services[0].usable = crowded.services[0].reserve - 200_000;
    crowded.queues[0].ready_work = u64::MAX;
    let mut other = crowded.services[0].clone();
    other.service = "other".to_owned();
    crowded.services.push(other);
    let mut state = state(crowded);
    assert_eq!(refusal(&mut state, NOW, &quick()).cause, RefusalCause::Infeasible);
    let mut job = long_running(14);
    job.terms.service = "other".to_owned();
    (0..20).for_each(|_| assert!(!is_admitted(&mut state, &job)));
    // Each job waits for 250 ms longer than the one before it, from 1 s on.
    let delays: Vec<u64> =
        (0..6).map(|_| refusal(&mut state, NOW, &long_running(14)).retry_after_s).collect();
    assert_eq!(delays, [1, 2, 2, 2, 2, 3]);
    let later = NOW + Duration::from_millis(1_100);
    assert_eq!(refusal(&mut state, later, &long_running(14)).retry_after_s, 2);
}

/// Returns a report of a pool in which work that takes some seconds waits before a quick job.
fn backlog(seconds: u64, priority: u32) -> RoomReport {
    let mut report = report(0, 1, 0);
    report.services[0].ended_per_second = 0;
    let ready_work = report.services[0].usable * seconds * 1_000;
    report.queues = vec![QueueRoom {
        queue: "plans".to_owned(),
        service: "plans".to_owned(),
        priority,
        ready_work,
        longest_wait: Duration::from_secs(6),
        ..QueueRoom::default()
    }];
    report
}

// Guards against quick jobs that are accepted although their result can no longer have any value,
// and against the refusal of those that may still be late or that nothing has to wait for.
#[test]
fn only_clearly_infeasible_jobs_are_refused() {
    // The objective is 2.25 s and the job runs for 1 s, so that it may wait for 5.75 s.
    let admitted = |report: RoomReport, record: &JobRecord| is_admitted(&mut state(report), record);
    assert!(admitted(backlog(5, 0), &quick()));
    assert!(admitted(backlog(11, 0), &quick()), "not a clear excess");
    assert!(admitted(backlog(60, 1), &quick()), "work of a lower priority waits");
    let refusal = refusal(&mut state(backlog(13, 0)), NOW, &quick());
    assert_eq!(refusal.cause, RefusalCause::Infeasible);
    assert!((1..=5).contains(&refusal.retry_after_s));
    assert!(admitted(backlog(60, 0), &best_effort(false)));
    let (first_due, interval) = (NOW, Duration::from_secs(60));
    let repeat = Some(RepeatPlan { count: 3, first_due, interval });
    assert!(admitted(backlog(60, 0), &JobRecord { repeat, ..quick() }));
    let mut quiet = backlog(13, 0);
    quiet.queues[0].longest_wait = Duration::from_secs(5);
    assert!(admitted(quiet, &quick()), "nothing has waited for as long");
    let unknown = job(vec![JobStep { needs: cores(10), estimate_ms: 0, ..step(10, &[]) }]);
    assert!(admitted(backlog(60, 0), &unknown), "its run time is not known");
    let mut growing = backlog(13, 0);
    growing.services[0].ended_per_second = 1_000_000;
    assert!(admitted(growing, &quick()), "long-running jobs will end meanwhile");
    let mut starved = backlog(60, 0);
    starved.services[0].usable = 0;
    assert!(admitted(starved, &quick()), "the time until room is not known");
    let mut waiting = backlog(5, 0);
    waiting.services[0].long_running_ready = POOL;
    assert!(admitted(waiting, &quick()), "the time until room is not known");
}

// Guards against a reserve that forgets a burst before the next one, that never shrinks, or that
// leaves long-running jobs too little.
#[test]
fn reserve_follows_the_recent_peak() {
    let sample = |count: u64| {
        let mut sample = DemandSample::default();
        (0..count).for_each(|_| sample.ending.add(&cores(10)));
        sample
    };
    let mut window = DemandWindow::new(NOW);
    let second = Duration::from_secs(1);
    for at in 0..90 {
        let now = NOW + second * at;
        let burst = at % 10 < 4 && at < 40;
        window.record_sample(now, &sample(if burst { 48 } else { 19 }));
        assert_eq!(window.is_complete(now), at >= 30);
        let expected = if at < 63 { 480_000 } else { 190_000 };
        assert_eq!(window.peak(), expected, "{at} s");
    }
    assert_eq!(window.needs().ending.usable_cpu(19_000, 0), 10_000);
    let now = NOW + second * 90;
    (0..15).for_each(|_| window.record_end(now, MEAN_JOB));
    assert_eq!(window.ended_per_second(now), 15 * MEAN_JOB / DEMAND_WINDOW.as_secs());
    assert_eq!(reserved_cpu(POOL, 0, false), POOL / 8);
    assert_eq!(reserved_cpu(POOL, 0, true), 0);
    assert_eq!(reserved_cpu(POOL, 6_000_000, true), 6_000_000);
    assert_eq!(reserved_cpu(POOL, u64::MAX, true), POOL / 4);
}

// Guards against two instances that take the same turn because they count themselves differently.
#[test]
fn each_asker_has_its_own_index() {
    let address = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    let live = || [3, 1, 4].map(address);
    let asked = |asker| RoomReport::default().with_asker(address(2), address(asker), live());
    let places: Vec<(u32, u32)> =
        (1..=4).map(|asker| (asked(asker).index, asked(asker).instances)).collect();
    assert_eq!(places, [(0, 4), (1, 4), (2, 4), (3, 4)]);
}

// Guards against an event for each refusal, and against an end that is reported while clients of the
// queue are still being refused.
#[test]
fn refusals_are_reported_as_episodes() {
    let mut log = RefusalLog::default();
    let at = |seconds| NOW + Duration::from_secs(seconds);
    assert!(log.record_refusal(at(0), "bench"));
    for seconds in 1..10 {
        assert!(!log.record_refusal(at(seconds), "bench"));
        assert!(log.take_ended(at(seconds)).is_empty());
    }
    let ended = log.take_ended(at(15));
    assert_eq!((ended.len(), ended[0].refusals, ended[0].last_at), (1, 10, at(9)));
    assert!(log.record_refusal(at(16), "bench"));
}

fn figure() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), 1..40_000_000u64, u64::MAX - 2..=u64::MAX, any::<u64>()]
}

proptest! {
    // Guards against figures in a report that stop the instance, or that make a client return never.
    #[test]
    fn any_report_leads_to_a_decision(
        figures in prop::collection::vec(figure(), 11),
        (instances, index) in (any::<u32>(), any::<u32>()),
    ) {
        let room = ServiceRoom {
            service: "plans".to_owned(),
            capacity: figures[0],
            long_running: figures[1],
            long_running_ready: figures[2],
            usable: figures[3],
            fitting: figures[4],
            peak_demand: figures[5],
            reserve: figures[6],
            ended_per_second: figures[7],
            mean_job: figures[8],
            accepted_recently: figures[9],
        };
        let queue = QueueRoom {
            queue: "plans".to_owned(),
            service: "plans".to_owned(),
            ready_work: figures[10],
            longest_wait: Duration::MAX,
            ..QueueRoom::default()
        };
        let (services, queues) = (vec![room], vec![queue.clone(), queue]);
        let number = figures[0];
        let report =
            RoomReport { number, instances, index, services, queues, ..RoomReport::default() };
        let mut state = state(report);
        for record in [quick(), long_running(u32::MAX), long_running(1), best_effort(false)] {
            if let AdmissionDecision::Refuse(refusal) = state.decide(NOW, 0, &record) {
                prop_assert!((1..=5).contains(&refusal.retry_after_s));
            }
        }
    }
}
