//! Tasks that wait for a start, by customer, shape and priority.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    ids::{CustomerName, MonotonicTime},
    ledger::TaskId,
    worker::ResourceSize,
};

/// Tasks of one shape that are looked at past one that finds no room.
const TASKS_PER_SHAPE: usize = 4;
/// Tasks of a customer that are looked at in a step, so that its cost is bounded.
const TASKS_SCANNED: usize = 64;

/// Sizes by powers of two. Tasks of one shape wait for each other, those of different shapes do
/// not: a queue for the few accelerators must not hold up tasks that need none.
type TaskShape = (u32, u32, u32);

#[derive(Debug)]
struct QueuedTask {
    customer: CustomerName,
    shape: TaskShape,
    priority: u8,
    since: MonotonicTime,
}

/// Order of starts.
#[derive(Debug, Default)]
pub struct StartQueue {
    tasks: HashMap<TaskId, QueuedTask>,
    customers: BTreeMap<CustomerName, BTreeMap<TaskShape, BTreeSet<(u8, TaskId)>>>,
    parked: BTreeSet<TaskId>,
}

impl StartQueue {
    /// Adds a task.
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

    /// Removes a task.
    pub fn remove(&mut self, task: TaskId) {
        self.take_from_customer(task);
        self.tasks.remove(&task);
        self.parked.remove(&task);
    }

    /// Sets a task aside that no worker of the group can hold, so that it is not looked at again
    /// before [`Self::unpark`].
    pub fn park(&mut self, task: TaskId) {
        self.take_from_customer(task);
        self.parked.insert(task);
    }

    /// Brings all parked tasks back.
    pub fn unpark(&mut self) {
        for task in std::mem::take(&mut self.parked) {
            self.add_to_customer(task);
        }
    }

    /// Returns the customers with tasks to start.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.customers.keys().map(String::as_str)
    }

    /// Returns the first tasks of a customer in the order of starts, a few of each shape.
    pub fn first(&self, customer: &str) -> Vec<TaskId> {
        let shapes = self.customers.get(customer).into_iter().flatten();
        let mut tasks: Vec<_> =
            shapes.flat_map(|(_, tasks)| tasks.iter().take(TASKS_PER_SHAPE)).copied().collect();
        tasks.sort_unstable();
        tasks.into_iter().take(TASKS_SCANNED).map(|(_, task)| task).collect()
    }

    /// Returns since when a task waits.
    pub fn since(&self, task: TaskId) -> Option<MonotonicTime> {
        self.tasks.get(&task).map(|queued| queued.since)
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Tells whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    fn add_to_customer(&mut self, task: TaskId) {
        let Some(queued) = self.tasks.get(&task) else { return };
        let shapes = self.customers.entry(queued.customer.clone()).or_default();
        shapes.entry(queued.shape).or_default().insert((queued.priority, task));
    }

    fn take_from_customer(&mut self, task: TaskId) {
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
