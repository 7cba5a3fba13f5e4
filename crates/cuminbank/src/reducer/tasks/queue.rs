//! Queue of tasks that wait for a start, by customer, shape and priority.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    ids::{CustomerName, MonotonicTime},
    ledger::TaskId,
    worker::ResourceSize,
};

/// Maximum number of tasks of one shape to consider, so that a task that does not fit now does not
/// block those behind it.
const MAX_TASKS_PER_SHAPE: usize = 4;
/// Maximum number of tasks of one customer to consider in one step, which bounds the cost of the
/// step.
const MAX_TASKS_SCANNED: usize = 64;

/// Number of accelerators, and the binary logarithms of millicores and memory. Tasks of one shape
/// may block each other, but not those of other shapes: tasks that wait for the few accelerators
/// must not block tasks that need none.
type TaskShape = (u32, u32, u32);

#[derive(Debug)]
struct QueuedTask {
    customer: CustomerName,
    shape: TaskShape,
    priority: u8,
    since: MonotonicTime,
}

/// Start queue of a group. The tasks of a customer start by priority, then in the order of their
/// tickets.
#[derive(Debug, Default)]
pub struct StartQueue {
    tasks: HashMap<TaskId, QueuedTask>,
    customers: BTreeMap<CustomerName, BTreeMap<TaskShape, BTreeSet<(u8, TaskId)>>>,
    parked: BTreeSet<TaskId>,
}

impl StartQueue {
    /// Adds a task, or replaces it if it is queued already. A lower `priority` starts first.
    pub fn push(
        &mut self,
        now: MonotonicTime,
        task: TaskId,
        customer: &str,
        size: &ResourceSize,
        priority: u8,
    ) {
        self.remove(task);
        let shape =
            (size.accelerators, size.millicores.max(1).ilog2(), size.memory_mib.max(1).ilog2());
        let customer = customer.to_owned();
        self.tasks.insert(task, QueuedTask { customer, shape, priority, since: now });
        self.add_to_customer(task);
    }

    /// Removes a task, parked or not.
    pub fn remove(&mut self, task: TaskId) {
        self.remove_from_customer(task);
        self.tasks.remove(&task);
        self.parked.remove(&task);
    }

    /// Parks a task that fits no worker of the group. The scan skips it until [`Self::unpark`].
    pub fn park(&mut self, task: TaskId) {
        self.remove_from_customer(task);
        self.parked.insert(task);
    }

    /// Makes all parked tasks eligible again.
    pub fn unpark(&mut self) {
        for task in std::mem::take(&mut self.parked) {
            self.add_to_customer(task);
        }
    }

    /// Returns the customers that have eligible tasks.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.customers.keys().map(String::as_str)
    }

    /// Returns the next tasks of a customer in start order, with at most a few of each shape.
    pub fn next_tasks(&self, customer: &str) -> Vec<TaskId> {
        let shapes = self.customers.get(customer).into_iter().flatten();
        let mut tasks: Vec<_> =
            shapes.flat_map(|(_, tasks)| tasks.iter().take(MAX_TASKS_PER_SHAPE)).copied().collect();
        tasks.sort_unstable();
        tasks.into_iter().take(MAX_TASKS_SCANNED).map(|(_, task)| task).collect()
    }

    /// Returns when a task was queued; `None` if it is not queued.
    pub fn queued_since(&self, task: TaskId) -> Option<MonotonicTime> {
        self.tasks.get(&task).map(|queued| queued.since)
    }

    /// Returns the number of queued tasks, including parked ones.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    fn add_to_customer(&mut self, task: TaskId) {
        let Some(queued) = self.tasks.get(&task) else { return };
        let shapes = self.customers.entry(queued.customer.clone()).or_default();
        shapes.entry(queued.shape).or_default().insert((queued.priority, task));
    }

    fn remove_from_customer(&mut self, task: TaskId) {
        let Some(queued) = self.tasks.get(&task) else { return };
        let Some(shapes) = self.customers.get_mut(&queued.customer) else { return };
        let Some(tasks) = shapes.get_mut(&queued.shape) else { return };
        tasks.remove(&(queued.priority, task));
        if tasks.is_empty() {
            shapes.remove(&queued.shape);
        }
        if shapes.is_empty() {
            self.customers.remove(&queued.customer);
        }
    }
}
