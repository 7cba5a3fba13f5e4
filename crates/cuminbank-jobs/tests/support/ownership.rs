//! Ownership and bounds for tests of a single scheduler.

use std::time::Duration;

use cuminbank_jobs::{
    ids::MonotonicTime,
    ownership::{HeldOwnership, OwnershipEffect, OwnershipState},
    scheduler::SchedulerBounds,
    store::{StoreCall, StoreReply},
};
use cuminbank_platform_standin::store::FakeStore;

/// Bounds of a scheduler.
pub const BOUNDS: SchedulerBounds = SchedulerBounds {
    max_lease: Duration::from_secs(6),
    stop_timeout: Duration::from_millis(200),
    max_violation_time: Duration::from_secs(4),
    retention: Duration::from_secs(120),
};

/// Returns an ownership that began at `now`.
pub fn held_ownership(now: MonotonicTime) -> HeldOwnership {
    let (mut store, address) =
        (FakeStore::default(), "127.0.0.1:2".parse().expect("valid socket address"));
    let mut state = OwnershipState::new("a".to_owned(), 1, address);
    let mut effects = state.observe(now - Duration::from_secs(1), store.revision, None);
    effects.extend(state.tick(now));
    while let Some(effect) = effects.pop() {
        match effect {
            OwnershipEffect::Began(held, _) => return held,
            OwnershipEffect::Call { id, call, .. } => {
                let reply: StoreReply = store.call(now, &call as &StoreCall);
                effects.extend(state.on_call_completed(now, id, Ok(reply)));
            }
            _ => {}
        }
    }
    panic!("instance a did not claim cell 0");
}
