//! Reports when the bounds of a budget take effect.

use std::time::{Duration, Instant};

use cuminbank::log::{LogRecord, CONNECTIONS_BOUNDED, CONNECTIONS_UNBOUNDED};

use crate::input_budget::{BudgetCounts, InputBudget};

/// Time without a connection cut off or refused after which the bounds no longer take effect.
const QUIET_TIME: Duration = Duration::from_secs(10);

/// What has happened to connections since the last poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetChange {
    /// Connections cut off because others needed the memory.
    pub cut: u64,
    /// Inputs refused because nothing could be released.
    pub refused: u64,
    /// Connections cut off or closed because there were too many.
    pub closed: u64,
    /// Answers from outside given up because they were too large, or because others held the memory.
    pub lost_answers: u64,
    /// Event to log.
    pub event: Option<LogRecord>,
}

/// Watch over the counts of a budget.
#[derive(Debug)]
pub struct BudgetWatch {
    budget: InputBudget,
    seen: BudgetCounts,
    /// Time of the last change, and the counts before the first one, while the bounds take effect.
    bounded: Option<(Instant, BudgetCounts)>,
}

impl BudgetWatch {
    /// Creates a watch.
    pub fn new(budget: &InputBudget) -> Self {
        Self { budget: budget.clone(), seen: budget.counts(), bounded: None }
    }

    /// Returns what has changed since the last poll; `None` if nothing has.
    pub fn poll(&mut self) -> Option<BudgetChange> {
        let counts = self.budget.counts();
        let before = std::mem::replace(&mut self.seen, counts);
        let mut change = BudgetChange {
            cut: counts.cut - before.cut,
            refused: counts.refused - before.refused,
            closed: counts.closed - before.closed,
            lost_answers: counts.lost_answers - before.lost_answers,
            event: None,
        };
        if change != BudgetChange::default() {
            let first = self.bounded.map_or(before, |(_, first)| first);
            if self.bounded.replace((Instant::now(), first)).is_none() {
                let limits = self.budget.limits();
                let detail = format!(
                    "used_bytes={} allowed_bytes={} connections={} allowed_connections={} \
                     lost_answers={}",
                    counts.used,
                    limits.input_bytes,
                    counts.connections,
                    limits.connections,
                    change.lost_answers
                );
                change.event = Some(LogRecord::new(CONNECTIONS_BOUNDED, detail));
            }
            return Some(change);
        }
        let (changed_at, first) = self.bounded?;
        if changed_at.elapsed() < QUIET_TIME {
            return None;
        }
        self.bounded = None;
        let detail = format!(
            "cut={} refused={} closed={} lost_answers={}",
            counts.cut - first.cut,
            counts.refused - first.refused,
            counts.closed - first.closed,
            counts.lost_answers - first.lost_answers
        );
        change.event = Some(LogRecord::new(CONNECTIONS_UNBOUNDED, detail));
        Some(change)
    }
}
