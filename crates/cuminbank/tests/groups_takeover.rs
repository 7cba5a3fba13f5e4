//! Claims, takeovers and balance of groups between whole instances.

mod groups_support;

use std::time::Duration;

use cuminbank::event::{ListedRole, StateQuery};

use self::groups_support::{listed, GroupWorld};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against an instance that never begins to serve: no claim, no targets, not ready.
#[test]
fn single_instance_claims_all_groups_and_becomes_ready() {
    let mut world = GroupWorld::new(1);
    let executor = ListedRole::Executor { slots: 8, connections: 60 };
    world.list.as_mut().expect("the list is up").push(listed("x1", executor));
    world.run(seconds(1));
    assert_eq!(world.owned(0), [0, 1, 2, 3]);
    assert_eq!(world.ask(0, StateQuery::Ready).0, 200);
    let (_, status) = world.ask(0, StateQuery::Status);
    assert_eq!(status["groups"]["targets"][0]["name"], "x1");
    assert_eq!(world.stored_epoch(0).as_deref(), Some("1"));
}
