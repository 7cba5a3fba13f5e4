//! Rate limits of the log.

use std::{collections::BTreeMap, time::Duration};

use cuminbank::log::{EXECUTOR_REACHED, JOB_ANSWERED, OWNERSHIP_BEGAN, RUN_ENDED, RUN_STARTED};
use cuminbank_jobd::logging::{
    LineBudget, MAX_ITEM_LINES_PER_SECOND, MAX_LINES_PER_SECOND, MAX_RUN_LINES_PER_SECOND,
};

// Guards against a flood of lines about jobs, runs and executors that displaces lines about a
// change of the owner or an unreachable dependency.
#[test]
fn flood_of_items_leaves_room_for_other_lines() {
    let now = Duration::from_secs(5);
    let mut budget = LineBudget::default();
    let written = (0..10_000).filter(|_| budget.take(now, RUN_STARTED)).count();
    assert_eq!(written, MAX_RUN_LINES_PER_SECOND as usize);
    assert!(!budget.take(now, RUN_ENDED));
    // Lines about runs leave part of the limit to those about requests and executors.
    let written = (0..10_000).filter(|_| budget.take(now, JOB_ANSWERED)).count();
    let items = MAX_ITEM_LINES_PER_SECOND - MAX_RUN_LINES_PER_SECOND;
    assert_eq!(written, items as usize);
    assert!(!budget.take(now, EXECUTOR_REACHED));
    let rest = MAX_LINES_PER_SECOND - MAX_ITEM_LINES_PER_SECOND;
    let written = (0..10_000).filter(|_| budget.take(now, OWNERSHIP_BEGAN)).count();
    assert_eq!(written, rest as usize);
}

// Guards against lines that are still dropped in the second after a flood, and against dropped
// lines that are not reported.
#[test]
fn next_second_has_its_own_budget() {
    let now = Duration::from_secs(5);
    let mut budget = LineBudget::default();
    (0..MAX_RUN_LINES_PER_SECOND + 7).for_each(|_| {
        budget.take(now, RUN_STARTED);
    });
    budget.take(now, RUN_ENDED);
    assert!(budget.take_dropped(now).is_empty());
    let later = now + Duration::from_secs(1);
    let dropped = [(RUN_STARTED.number, 7), (RUN_ENDED.number, 1)];
    assert_eq!(budget.take_dropped(later), BTreeMap::from(dropped));
    assert!(budget.take(later, RUN_STARTED));
    assert!(budget.take_dropped(later).is_empty());
}
