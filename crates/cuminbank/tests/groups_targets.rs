//! Targets of the zone, from the platform's list and from the results of exchanges.

mod groups_support;

use std::time::Duration;

use cuminbank::{
    effect::EntryEffect,
    event::{ExchangeError, ListedInstance, ListedRole},
    membership::TargetState,
    reducer::{
        calls::CallPart,
        config::ConfigPart,
        groups::{GroupChange, GroupPart},
        records::RecordPart,
        step::{StepContext, TargetObservation},
    },
};

use self::groups_support::{listed, settings};

struct TargetFixture {
    part: GroupPart,
    step: StepContext,
    now: Duration,
}

fn executor(name: &str) -> ListedInstance {
    listed(name, ListedRole::Executor { slots: 8, connections: 60 })
}

impl TargetFixture {
    fn new() -> Self {
        let settings = settings("d0", 7_000, &[]);
        let part = GroupPart::new(&settings, 1);
        Self { part, step: StepContext::new(settings, 1), now: Duration::ZERO }
    }

    fn list(&mut self, list: &[ListedInstance]) -> Vec<GroupChange> {
        self.now += Duration::from_secs(1);
        self.step.begin(self.now);
        self.part.on_list_fetched(&mut self.step, Ok(list.to_vec()));
        self.part.take_changes()
    }

    fn observe(&mut self, observation: TargetObservation) {
        self.part.observe_target(&mut self.step, &observation);
    }

    fn state(&self, name: &str) -> Option<TargetState> {
        self.part.targets().by_name(name).map(|(_, target)| target.state)
    }
}

/// Guards against dispatching to targets of other zones or to entry instances.
#[test]
fn only_targets_of_the_own_zone_are_listed() {
    let mut fixture = TargetFixture::new();
    let other_zone = ListedInstance { zone: "kildare".to_owned(), ..executor("x2") };
    let changes = fixture.list(&[executor("x1"), other_zone, listed("d1", ListedRole::Entry)]);
    assert_eq!(changes, [GroupChange::TargetChanged { name: "x1".to_owned() }]);
    let (_, target) = fixture.part.targets().by_name("x1").expect("x1 is listed");
    assert_eq!(fixture.part.targets().in_group(target.group).count(), 1);
}

/// Guards against ending a target because a single list lacks it or could not be fetched.
#[test]
fn target_ends_after_three_lists_without_it() {
    let mut fixture = TargetFixture::new();
    fixture.list(&[executor("x1")]);
    assert_eq!(fixture.list(&[]), []);
    assert_eq!(fixture.list(&[]), []);
    assert_eq!(fixture.list(&[executor("x1")]), []);
    fixture.list(&[]);
    fixture.part.on_list_fetched(&mut fixture.step, Err(ExchangeError::Lost));
    assert_eq!(fixture.list(&[]), []);
    let changes = fixture.list(&[]);
    assert!(matches!(&changes[..], [GroupChange::TargetEnded { name, .. }] if name == "x1"));
    assert_eq!(fixture.state("x1"), None);
}

/// Guards against a stale list that marks an unresponsive target as live.
#[test]
fn only_an_answer_makes_a_suspect_target_live() {
    let mut fixture = TargetFixture::new();
    fixture.list(&[executor("x1")]);
    let silent = || TargetObservation::Silent("x1".to_owned());
    let answered = || TargetObservation::Answered("x1".to_owned());
    for observation in [silent(), silent(), answered(), silent(), silent()] {
        fixture.observe(observation);
    }
    assert_eq!(
        fixture.state("x1"),
        Some(TargetState::Live),
        "only consecutive unanswered exchanges count"
    );
    fixture.observe(silent());
    assert_eq!(fixture.state("x1"), Some(TargetState::Suspect));
    fixture.list(&[executor("x1")]);
    assert_eq!(fixture.state("x1"), Some(TargetState::Suspect));
    fixture.observe(answered());
    assert_eq!(fixture.state("x1"), Some(TargetState::Live));
}

/// Guards against new work for a leaving target (I7): the target's own report overrides an outdated
/// list.
#[test]
fn leaving_target_stays_leaving() {
    let mut fixture = TargetFixture::new();
    let leaving = ListedInstance { leaving: true, ..executor("x1") };
    fixture.list(&[executor("x1"), executor("x2")]);
    fixture.list(&[leaving, executor("x2")]);
    assert_eq!(fixture.state("x1"), Some(TargetState::Leaving));
    fixture.observe(TargetObservation::Leaving("x2".to_owned()));
    fixture.list(&[executor("x2")]);
    fixture.observe(TargetObservation::Answered("x2".to_owned()));
    assert_eq!(fixture.state("x2"), Some(TargetState::Leaving));
}

/// Guards against counting the calls of an ended process for its successor of the same name.
#[test]
fn name_with_another_address_is_a_new_target() {
    let mut fixture = TargetFixture::new();
    fixture.list(&[executor("x1")]);
    let moved = ListedInstance {
        address: "127.0.0.1:9001".parse().expect("the address is valid"),
        ..executor("x1")
    };
    let changes = fixture.list(&[moved]);
    let ended = matches!(&changes[0], GroupChange::TargetEnded { name, .. } if name == "x1");
    assert!(ended && changes[1] == GroupChange::TargetChanged { name: "x1".to_owned() });
}

/// Guards against fetching the list at each tick or twice at the same time, and against not
/// fetching it again after a lost answer.
#[test]
fn list_is_fetched_each_second_and_times_out_after_three() {
    let mut fixture = TargetFixture::new();
    let settings = fixture.step.settings.clone();
    let (calls, config) = (CallPart::new(&settings), ConfigPart::new(&settings));
    let mut records = RecordPart::new(&settings, 1);
    let mut fetched = Vec::new();
    for tick in 0..300_u64 {
        fixture.step.begin(Duration::from_millis(tick * 20));
        fixture.part.on_tick(&mut fixture.step, &config, &calls, &mut records);
        if fixture.step.take_effects().contains(&EntryEffect::FetchList) {
            fetched.push(tick * 20);
            if fetched.len() < 3 {
                fixture.part.on_list_fetched(&mut fixture.step, Ok(Vec::new()));
            }
        }
    }
    assert_eq!(fetched, [0, 1_000, 2_000, 5_000]);
}
